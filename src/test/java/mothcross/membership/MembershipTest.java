package mothcross.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.*;
import java.util.stream.Stream;
import mothcross.Director;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Plays the scenario files of the membership. A line is a time in ms and what comes: {@code whole EVENT
 * ID[:HOST][,drains|,gone]
 * [,since=MS] ...}, {@code changes EVENT ...}, {@code empty EVENT}, {@code same EVENT} (nothing new), {@code purge
 * EVENT GROUP AT},
 * {@code answers}, {@code refuses}, {@code resets ID}, {@code tick}, {@code restart} (through the bytes of the disk,
 * at that time);
 * or {@code = ID STANDING [cold=MS|long]} and {@code = purges N}, {@code = took WHAT N}. {@code ages recent=MS ...}
 * first.
 */
public class MembershipTest {
    private static final double PURGES_RUN = 20_000;

    @DataProvider
    public Object[][] scenarios() throws Exception {
        URL at = MembershipTest.class.getResource("/membership");
        try (Stream<Path> all = Files.list(Path.of(at.toURI()))) {
            return all.sorted().map(p -> new Object[] {p.getFileName().toString(), p}).toArray(Object[][]::new);
        }
    }

    /** A membership and what it has told the module. */
    private static final class Play implements Membership.Listener {
        AgeLimits ages;
        Membership m;
        final Map<String, NodeState> module = new HashMap<>();
        final Map<String, Double> cold = new HashMap<>();

        Play(AgeLimits ages, long seed) {
            this.ages = ages;
            m = new Membership(ages, PURGES_RUN, new SplittableRandom(seed), this);
        }

        @Override public void stateChanged(ListedNode entry, NodeState was, NodeState is, double coldSince, String why) {
            NodeState had = module.get(entry.id());
            assertEquals(had == NodeState.GONE && was == null ? null : had, was, "what the module was told of "
                + entry.id());
            module.put(entry.id(), is);
            cold.put(entry.id(), coldSince);
        }

        /** Killed and started again: only what the disk holds goes over. */
        void restart(double now) {
            byte[] bytes = SnapshotFormat.encode(m.snapshot("f", "d", now));
            SnapshotFormat.Result r = SnapshotFormat.decode(bytes, "f", "d", now, ages.clockSkewMs());
            assertTrue(r.snapshot() != null, r.text());
            module.clear();
            m = new Membership(ages, PURGES_RUN, new SplittableRandom(1), this);
            m.restore(r.snapshot(), now);
        }

        void list(double t, boolean whole, long event, List<String> entries) {
            Membership.UpdateResult taken = m.listStarted(event, whole, t);
            if (taken == Membership.UpdateResult.KNOWN_ALREADY || taken == Membership.UpdateResult.OLDER) return;
            for (String e : entries) {
                String[] p = e.split(",");
                String[] id = p[0].split(":");
                int standing = Director.IN_SERVICE;
                double since = 0;
                for (String x : p) {
                    if (x.equals("drains")) standing = Director.DRAINING;
                    if (x.equals("gone")) standing = Director.REMOVED;
                    if (x.startsWith("since=")) since = Double.parseDouble(x.substring(6));
                }
                m.nodeListed(id[0], id.length > 1 ? id[1] : id[0], 1, "here", "cache", 0, standing, 4, since, t);
            }
            m.listFinished(t);
        }
    }

    @Test(dataProvider = "scenarios")
    public void plays(String name, Path file) throws Exception {
        Play play = new Play(new AgeLimits(10_000, 100_000, 5000, 3, 1000, 8000, 0.5, 3000, 1000), 7);
        int number = 0, checks = 0;
        for (String raw : Files.readAllLines(file)) {
            number++;
            String line = raw.replaceAll("#.*", "").strip();
            if (line.isEmpty()) continue;
            List<String> p = new ArrayList<>(List.of(line.split(" +")));
            String where = name + ":" + number + " " + line;
            if (p.get(0).equals("=")) {
                checks++;
                check(where, play, p);
                continue;
            }
            double t = Double.parseDouble(p.get(0));
            String what = p.get(1), first = p.size() > 2 ? p.get(2) : "";
            switch (what) {
                case "whole", "changes", "empty" -> play.list(t, !what.equals("changes"), Long.parseLong(first),
                    p.subList(3, p.size()));
                case "same" -> play.m.confirmUpTo(Long.parseLong(first), t);
                case "behind" -> play.m.resetIfUnusable(Long.parseLong(first), t);
                case "purge" -> play.m.purged(Long.parseLong(first), -1, Integer.parseInt(p.get(3)),
                    Double.parseDouble(p.get(4)), t);
                case "answers" -> play.m.nodeAnswered(first, t);
                case "refuses" -> play.m.nodeFailed(first, true, t);
                case "resets" -> play.m.nodeFailed(first, false, t);
                case "tick" -> play.m.tick(t);
                case "restart" -> play.restart(t);
                default -> throw new IllegalArgumentException(where);
            }
        }
        assertTrue(checks > 0, name + " checks nothing");
    }

    private static void check(String where, Play play, List<String> p) {
        switch (p.get(1)) {
            case "purges" -> assertEquals(play.m.purges().size(), Integer.parseInt(p.get(2)), where);
            case "event" -> assertEquals(play.m.lastEvent(), Long.parseLong(p.get(2)), where);
            case "took" -> assertEquals(play.m.updateCount(Membership.UpdateResult.valueOf(p.get(2))),
                Long.parseLong(p.get(3)), where);
            case "urgent" -> assertEquals(play.m.takeUrgent(), Boolean.parseBoolean(p.get(2)), where);
            default -> {
                NodeState s = p.get(2).equals("unknown") ? null : NodeState.valueOf(p.get(2));
                assertEquals(play.m.stateOf(p.get(1)), s, where + ": " + play.m.reason(p.get(1)));
                if (s != null) assertEquals(play.module.get(p.get(1)), s, where + ", as the module has it");
                if (p.size() < 4) return;
                double cold = p.get(3).equals("long") ? NodeEntry.WARM : Double.parseDouble(p.get(3));
                assertEquals(play.cold.get(p.get(1)), cold, where);
            }
        }
    }

    /** How far a standing is trusted; what drains or is gone is not compared. */
    private static int trust(NodeState s) {
        return switch (s) {
            case TOLD -> 5;
            case RECENT -> 4;
            case PROVEN -> 3;
            case OLD -> 2;
            case REFUSED -> 1;
            default -> 0;
        };
    }

    /**
     * Random histories of news, ages, answers and restarts, with a checker of its own that keeps only what was told:
     * what drains or is gone is never used; numbers never fall; a purge outlives restarts while it runs; of two entries
     * with the same evidence the one told later is trusted at least as far; the module has just what is believed.
     */
    @Test public void randomHistories() {
        for (long seed = 1; seed <= 400; seed++) {
            SplittableRandom chance = new SplittableRandom(seed);
            Play play = new Play(new AgeLimits(10_000, 100_000, 5000, 3, 1000, 8000, 0.5, 3000, 1000), seed);
            String history = "seed " + seed;
            Map<String, Integer> told = new HashMap<>();          // the checker's own: by id, as told last
            Map<Integer, Double> purges = new HashMap<>();
            double t = 0;
            long event = 0, highest = 0;
            // Twins differ in nothing but when they were told: first the older, then the fresher.
            play.list(t, true, ++event, List.of("a", "b", "c", "d", "e", "older"));
            for (String s : List.of("a", "b", "c", "d", "e")) told.put(s, Director.IN_SERVICE);
            double older = t;
            play.list(t + chance.nextInt(20_000), false, ++event, List.of("fresher"));
            // Nobody stands behind the whole list again in this history, so that ages differ.
            play.list(t, true, ++event, List.of());
            for (int step = 0; step < 120; step++) {
                t += chance.nextInt(100) == 0 ? chance.nextInt(200_000) : chance.nextInt(1500);
                String id = List.of("a", "b", "c", "d", "e").get(chance.nextInt(5));
                int what = chance.nextInt(10);
                if (what == 0) {
                    int standing = chance.nextInt(3);
                    play.list(t, false, ++event, List.of(id + (standing == 1 ? ",drains" : standing == 2 ? ",gone"
                        : "")));
                    if (told.containsKey(id) || standing != Director.REMOVED) told.put(id, standing);
                } else if (what == 1) {
                    play.m.purged(++event, -1, step, t, t);
                    purges.put(step, t);
                } else if (what == 2) {
                    play.restart(t);
                } else if (what <= 5) {
                    play.m.nodeAnswered(id, t);
                    if (what == 5) for (String s : List.of("older", "fresher")) play.m.nodeAnswered(s, t);
                } else if (what <= 7) {
                    play.m.nodeFailed(id, what == 6, t);
                    if (chance.nextInt(4) == 0) for (String s : List.of("older", "fresher")) play.m.nodeFailed(s, false, t);
                } else if (what == 8) {
                    play.list(t, false, event, List.of("a,gone", "b,gone"));     // known already: nothing of it counts
                }
                play.m.tick(t);
                String where = history + ", step " + step;
                for (Map.Entry<String, Integer> e : told.entrySet()) {
                    NodeState s = play.m.stateOf(e.getKey());
                    if (e.getValue() != Director.IN_SERVICE) assertTrue(s == null || !s.usable(), where + " " + e
                        + " " + s);
                    assertEquals(play.module.get(e.getKey()), s == null ? play.module.get(e.getKey()) : s, where);
                }
                assertTrue(play.m.lastEvent() >= highest && play.m.lastEvent() == event, where);
                highest = play.m.lastEvent();
                for (Map.Entry<Integer, Double> e : purges.entrySet()) {
                    boolean kept = play.m.purges().stream().anyMatch(p -> p.group() == e.getKey());
                    if (t - e.getValue() < PURGES_RUN - 1) assertTrue(kept, where + " purge " + e);
                }
                NodeState one = play.m.stateOf("older"), other = play.m.stateOf("fresher");
                if (one != null && other != null) assertTrue(trust(one) <= trust(other), where + ": " + one + " "
                    + other);
            }
            assertTrue(older <= t);
        }
    }

    private static MembershipSnapshot sample(int boxes) {
        Play play = new Play(AgeLimits.DEFAULTS, 1);
        List<String> all = new ArrayList<>();
        for (int i = 0; i < boxes; i++) all.add("s-" + i + (i % 3 == 1 ? ",drains" : "") + (i % 4 == 0 ? ",since=5"
            : ""));
        play.list(1000, true, 41, all);
        play.m.purged(42, 77, -1, 1500, 1600);
        play.m.purged(43, -1, 9, 1500, 1600);
        return play.m.snapshot("fleet", "d1", 2000);
    }

    /** Each byte cut, each bit flipped: a refusal with its reason, never half a list. */
    @Test public void everyByteCutOrFlipped() {
        byte[] whole = SnapshotFormat.encode(sample(7));
        assertEquals(SnapshotFormat.decode(whole, "fleet", "d1", 2000, 0).snapshot(), sample(7));
        for (int n = 0; n < whole.length; n++) {
            SnapshotFormat.Result r = SnapshotFormat.decode(java.util.Arrays.copyOf(whole, n), "fleet", "d1", 2000, 0);
            assertTrue(r.snapshot() == null && (n == 0) == (r.error() == SnapshotFormat.ReadError.EMPTY),
                "cut at " + n);
            for (int bit = 0; bit < 8; bit++) {
                byte[] b = whole.clone();
                b[n] ^= (byte) (1 << bit);
                SnapshotFormat.Result x = SnapshotFormat.decode(b, "fleet", "d1", 2000, 0);
                assertTrue(x.snapshot() == null && !x.text().isEmpty(), "byte " + n + " bit " + bit);
            }
        }
        byte[] longer = java.util.Arrays.copyOf(whole, whole.length + 1);
        assertEquals(SnapshotFormat.decode(longer, null, null, 2000, 0).error(), SnapshotFormat.ReadError.TORN);
    }

    @Test public void anothersListIsRefused() {
        byte[] b = SnapshotFormat.encode(sample(3));
        Object[][] cases = {{"other", "d1", 2000.0, SnapshotFormat.ReadError.OTHER_FLEET},
            {"fleet", "d2", 2000.0, SnapshotFormat.ReadError.OTHER_DIRECTOR},
            {"fleet", "d1", 900.0, SnapshotFormat.ReadError.FUTURE}, {null, null, 1500.0, null},
            {"fleet", "d1", 31.5e9, null}};
        for (Object[] c : cases) {
            assertEquals(SnapshotFormat.decode(b, (String) c[0], (String) c[1], (double) c[2], 500).error(), c[3]);
        }
    }

    /** Random changes and writes of random length: urgent ones begin within half the bound, and writes keep apart. */
    @Test public void writesKeepTheirBoundsOfDelayAndRate() {
        for (long seed = 1; seed <= 200; seed++) {
            SplittableRandom chance = new SplittableRandom(seed);
            WriteScheduler plan = new WriteScheduler(100, 1000);
            double t = 0, began = -1e9, urgentSince = Double.NaN, freeSince = 0, endsAt = Double.NaN;
            int writes = 0;
            for (int i = 0; i < 3000; i++, t += 1) {
                if (chance.nextInt(40) == 0) {
                    boolean urgent = chance.nextInt(4) == 0;
                    plan.changed(urgent, t);
                    if (urgent && Double.isNaN(urgentSince)) urgentSince = t;
                }
                if (t >= endsAt) {
                    plan.writeEnded(true, t);
                    endsAt = Double.NaN;
                    freeSince = t;
                }
                if (plan.nextWriteAt() > t) {
                    double waits = t - Math.max(urgentSince, Math.max(freeSince, began + 50));
                    assertTrue(Double.isNaN(urgentSince) || !Double.isNaN(endsAt) || waits <= 0, seed + " waits "
                        + waits);
                    continue;
                }
                assertTrue(t - began >= 50, seed + ": writes " + (t - began) + " ms apart");
                plan.writeStarted(t);
                writes++;
                began = t;
                urgentSince = Double.NaN;
                endsAt = t + chance.nextInt(30);
            }
            assertTrue(writes > 5, "writes " + writes);
        }
        WriteScheduler full = new WriteScheduler(100, 1000);
        full.changed(true, 0);
        double t = 0;
        for (int i = 0; i < 10; i++) {
            full.writeStarted(t = full.nextWriteAt());
            full.writeEnded(false, t);
            assertTrue(full.nextWriteAt() - t >= Math.min(60_000, 1000 << i), "after failure " + i);
        }
    }
}
