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
 * Kills directors in processes of their own at random moments while events arrive. Every event sent longer than the
 * write delay before the kill must be in the stored snapshot, and the snapshot must be the list after some event.
 * {@code -Dkills=200} sets the number of kills.
 */
public class KilledTest {
    /** The delay within which an event is stored; with the default of 100 ms a busy scheduler would fail the test. */
    private static final double WRITE_DELAY_MS = 400;
    private static final double CLOCK_SKEW_MS = 5000;

    /** The main class of the process that is killed: serves with a configuration and a snapshot file. */
    public static final class KilledDirector {
        private KilledDirector() { }

        public static void main(String[] args) throws Exception {
            StartupConfig config = StartupConfig.read(Path.of(args[0]), null, false);
            new DirectorServer(config, new MembershipSettings(Path.of(args[1]), "fleet", Fleet.AGES, WRITE_DELAY_MS,
                1000)).start();
            Thread.currentThread().join();
        }
    }

    @Test(timeOut = 600_000) public void eventsBeforeTheWriteDelaySurviveAKill() throws Exception {
        int kills = Integer.getInteger("kills", 16);
        ExecutorService executor = Executors.newFixedThreadPool(4);
        int checkedEvents = 0;
        try {
            List<Future<Integer>> results = new ArrayList<>();
            for (int i = 1; i <= kills; i++) {
                int seed = i;
                results.add(executor.submit(() -> killAndCheck(seed)));
            }
            for (Future<Integer> result : results) checkedEvents += result.get();
        } finally {
            executor.shutdownNow();
        }
        System.out.println("killed " + kills + " times, " + checkedEvents + " events were due on disk and there");
        assertTrue(checkedEvents > kills, "events checked: " + checkedEvents);
    }

    /** Kills one director and checks its snapshot; returns the number of events that had to be in it. */
    private static int killAndCheck(int seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        try (Fleet fleet = new Fleet(5)) {
            Path config = Files.writeString(fleet.directory.resolve("told.json"), fleet.startupConfigText("d1"));
            List<Map<String, Integer>> listAfterEvent = new ArrayList<>(List.of(new TreeMap<>()));
            fleet.discovery.sendSnapshot(fleet.all());
            Map<String, Integer> list = new TreeMap<>();
            for (FakeNode node : fleet.all()) list.put(node.id(), Director.IN_SERVICE);
            listAfterEvent.add(new TreeMap<>(list));
            fleet.discovery.startListening();
            String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
            Process process = new ProcessBuilder(java, "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-cp",
                System.getProperty("java.class.path"), KilledDirector.class.getName(), config.toString(),
                fleet.snapshotFile("d1").toString()).redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
            long killedAt;
            try (var log = process.errorReader()) {
                for (String line; !(line = log.readLine()).contains(" serves on ");) assertTrue(line != null);
                long killAt = System.nanoTime() + (long) ((WRITE_DELAY_MS + 100 + random.nextInt(600)) * 1e6);
                while (System.nanoTime() < killAt) {
                    FakeNode node = fleet.caches.get(random.nextInt(5));
                    int status = random.nextInt(3);
                    if (status == FakeDiscovery.REMOVED && !list.containsKey(node.id())) continue;
                    fleet.discovery.sendChanges(status, node);
                    if (status == FakeDiscovery.REMOVED) list.remove(node.id());
                    else list.put(node.id(), status);
                    listAfterEvent.add(new TreeMap<>(list));
                    long nextEventAt = System.nanoTime() + random.nextInt(30) * 1_000_000L;
                    while (System.nanoTime() < nextEventAt) Thread.onSpinWait();
                }
                killedAt = System.nanoTime();
            } finally {
                process.destroyForcibly().waitFor();
            }
            SnapshotFormat.Result result = new SnapshotFileStore(fleet.snapshotFile("d1"), "fleet", "d1")
                .read(System.currentTimeMillis(), CLOCK_SKEW_MS);
            assertTrue(result != null && result.snapshot() != null, "seed " + seed + ": " + result);
            MembershipSnapshot snapshot = result.snapshot();
            int dueEvents = 0;
            for (Map.Entry<Long, Long> sent : fleet.discovery.sentAtNanos.entrySet()) {
                if (killedAt - sent.getValue() <= WRITE_DELAY_MS * 1e6) continue;
                dueEvents++;
                double sentBeforeMs = (killedAt - sent.getValue()) / 1e6;
                assertTrue(snapshot.lastEvent() >= sent.getKey(), "seed " + seed + ": event " + sent.getKey()
                    + ", sent " + sentBeforeMs + " ms before the kill, is not on disk; the last is "
                    + snapshot.lastEvent());
            }
            Map<String, Integer> stored = new TreeMap<>();
            for (ListedNode node : snapshot.entries().values()) {
                if (node.status() != Director.REMOVED) stored.put(node.id(), node.status());
            }
            assertEquals(stored, listAfterEvent.get((int) snapshot.lastEvent()), "seed " + seed
                + ": the list after event " + snapshot.lastEvent());
            return dueEvents;
        }
    }
}
