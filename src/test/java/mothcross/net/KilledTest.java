package mothcross.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import mothcross.Director;
import mothcross.membership.ListedNode;
import mothcross.membership.MembershipSnapshot;
import mothcross.membership.SnapshotFormat;
import mothcross.operators.MembershipSettings;
import mothcross.standin.FakeDiscovery;
import mothcross.standin.FakeNode;
import org.testng.annotations.Test;

/**
 * Directors in processes of their own, killed outright at random moments while news comes. What was told longer than
 * the stated delay before the kill must be on disk, and what is on disk must be the list as it stood after some event.
 * {@code -Dkills=200} plays them all; without it a few, for CI.
 */
public class KilledTest {
    /** The stated delay; the usual 100 ms would blame a busy machine's scheduler. */
    private static final double STATED_MS = 400;

    /** The director that is killed: ROUTER-less, told by the fleet of the test. */
    public static final class Victim {
        private Victim() { }

        public static void main(String[] args) throws Exception {
            StartupConfig start = StartupConfig.read(Path.of(args[0]), null, false);
            new DirectorServer(start, new MembershipSettings(Path.of(args[1]), "fleet", Fleet.AGES, STATED_MS,
                1000)).start();
            Thread.currentThread().join();
        }
    }

    @Test(timeOut = 600_000) public void nothingToldLongerAgoIsForgotten() throws Exception {
        int kills = Integer.getInteger("kills", 16);
        ExecutorService some = Executors.newFixedThreadPool(4);
        int checked = 0;
        try {
            List<Future<Integer>> all = new ArrayList<>();
            for (int seed = 1; seed <= kills; seed++) {
                int s = seed;
                all.add(some.submit(() -> kill(s)));
            }
            for (Future<Integer> f : all) checked += f.get();
        } finally {
            some.shutdownNow();
        }
        System.out.println("killed " + kills + " times, " + checked + " events were due on disk and there");
        assertTrue(checked > kills, "events checked: " + checked);
    }

    private static int kill(int seed) throws Exception {
        SplittableRandom chance = new SplittableRandom(seed);
        try (Fleet f = new Fleet(5)) {
            Path told = Files.writeString(f.directory.resolve("told.json"), f.startupConfigText("d1"));
            List<Map<String, Integer>> after = new ArrayList<>(List.of(new TreeMap<>()));   // by event: the list
            f.discovery.sendSnapshot(f.all());
            Map<String, Integer> list = new TreeMap<>();
            for (FakeNode b : f.all()) list.put(b.id(), Director.IN_SERVICE);
            after.add(new TreeMap<>(list));
            f.discovery.startListening();
            String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
            Process p = new ProcessBuilder(java, "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-cp",
                System.getProperty("java.class.path"), Victim.class.getName(), told.toString(),
                f.snapshotFile("d1").toString()).redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
            long killed;
            try (var err = p.errorReader()) {
                for (String l; !(l = err.readLine()).contains(" serves on ");) assertTrue(l != null);
                long until = System.nanoTime() + (long) ((STATED_MS + 100 + chance.nextInt(600)) * 1e6);
                while (System.nanoTime() < until) {
                    FakeNode b = f.caches.get(chance.nextInt(5));
                    int standing = chance.nextInt(3);
                    if (standing == FakeDiscovery.REMOVED && !list.containsKey(b.id())) continue;
                    f.discovery.sendChanges(standing, b);
                    if (standing == FakeDiscovery.REMOVED) list.remove(b.id());
                    else list.put(b.id(), standing);
                    after.add(new TreeMap<>(list));
                    long next = System.nanoTime() + chance.nextInt(30) * 1_000_000L;
                    while (System.nanoTime() < next) Thread.onSpinWait();
                }
                killed = System.nanoTime();
            } finally {
                p.destroyForcibly().waitFor();
            }
            SnapshotFormat.Result r = new SnapshotFileStore(f.snapshotFile("d1"), "fleet", "d1")
                .read(System.currentTimeMillis(), 5000);
            assertTrue(r != null && r.snapshot() != null, "seed " + seed + ": " + r);
            MembershipSnapshot k = r.snapshot();
            int due = 0;
            for (Map.Entry<Long, Long> e : f.discovery.sentAtNanos.entrySet()) {
                if (killed - e.getValue() <= STATED_MS * 1e6) continue;
                due++;
                assertTrue(k.lastEvent() >= e.getKey(), "seed " + seed + ": event " + e.getKey() + ", told "
                    + (killed - e.getValue()) / 1e6 + " ms before the kill, is not on disk; the last is "
                    + k.lastEvent());
            }
            Map<String, Integer> onDisk = new TreeMap<>();
            for (ListedNode t : k.entries().values()) if (t.status() != Director.REMOVED) onDisk.put(t.id(),
                t.status());
            assertEquals(onDisk, after.get((int) k.lastEvent()), "seed " + seed + ": the list after event "
                + k.lastEvent());
            return due;
        }
    }
}
