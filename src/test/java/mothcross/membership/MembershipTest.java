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
 * Runs the scenario files of the membership, and random histories against a reference model. A line of a scenario is
 * a time in ms and an input:
 *
 * <pre>
 *  snapshot EVENT ID[:HOST][,draining|,removed][,started=MS] ...
 *  delta EVENT ID...                     as in a snapshot
 *  empty EVENT                           an empty snapshot
 *  confirm EVENT                         discovery reports its last event
 *  reset-if-unusable EVENT
 *  purge EVENT GROUP ISSUED_AT
 *  answers ID, refuses ID, resets ID     a node answers, refuses a connection, resets one
 *  tick
 *  restart                               saved, encoded, decoded and restored at that time
 * </pre>
 *
 * or, with no time, an expectation:
 *
 * <pre>
 *  = ID STATE [STARTED_AT|warm]          STATE "unknown": no such entry
 *  = purges COUNT
 *  = event NUMBER
 *  = result RESULT COUNT                 how often updates had the result
 *  = urgent true|false
 * </pre>
 */
public class MembershipTest {
    private static final double PURGE_RETENTION_MS = 20_000;
    private static final AgeLimits LIMITS = new AgeLimits(10_000, 100_000, 5000, 3, 1000, 8000, 0.5, 3000, 1000);

    @DataProvider
    public Object[][] scenarios() throws Exception {
        URL folder = MembershipTest.class.getResource("/membership");
        try (Stream<Path> files = Files.list(Path.of(folder.toURI()))) {
            return files.sorted()
                .map(file -> new Object[] {file.getFileName().toString(), file})
                .toArray(Object[][]::new);
        }
    }

    /** A membership, and what it has reported to its listener. */
    private static final class Harness implements Membership.Listener {
        final AgeLimits limits;
        Membership membership;
        final Map<String, NodeState> reportedStates = new HashMap<>();
        final Map<String, Double> reportedStarts = new HashMap<>();

        Harness(AgeLimits limits, long seed) {
            this.limits = limits;
            membership = new Membership(limits, PURGE_RETENTION_MS, new SplittableRandom(seed), this);
        }

        @Override public void stateChanged(ListedNode node, NodeState was, NodeState is, double startedAt,
                String reason) {
            NodeState reported = reportedStates.get(node.id());
            assertEquals(reported == NodeState.GONE && was == null ? null : reported, was,
                "the state reported before for " + node.id());
            reportedStates.put(node.id(), is);
            reportedStarts.put(node.id(), startedAt);
        }

        /** Simulates a crash and a restart: only what is saved survives. */
        void restart(double now) {
            byte[] bytes = SnapshotFormat.encode(membership.snapshot("f", "d", now));
            SnapshotFormat.Result result = SnapshotFormat.decode(bytes, "f", "d", now, limits.clockSkewMs());
            assertTrue(result.snapshot() != null, result.text());
            reportedStates.clear();
            membership = new Membership(limits, PURGE_RETENTION_MS, new SplittableRandom(1), this);
            membership.restore(result.snapshot(), now);
        }

        /** Applies a snapshot or a delta. */
        void update(double now, boolean isSnapshot, long event, List<String> entries) {
            Membership.UpdateResult result = membership.listStarted(event, isSnapshot, now);
            if (result == Membership.UpdateResult.KNOWN_ALREADY || result == Membership.UpdateResult.OLDER) return;
            for (String entry : entries) {
                String[] parts = entry.split(",");
                String[] idAndHost = parts[0].split(":");
                int status = Director.IN_SERVICE;
                double startedAt = 0;
                for (String part : parts) {
                    if (part.equals("draining")) status = Director.DRAINING;
                    if (part.equals("removed")) status = Director.REMOVED;
                    if (part.startsWith("started=")) startedAt = Double.parseDouble(part.substring(8));
                }
                String host = idAndHost.length > 1 ? idAndHost[1] : idAndHost[0];
                membership.nodeListed(idAndHost[0], host, 1, "here", "cache", 0, status, 4, startedAt, now);
            }
            membership.listFinished(now);
        }
    }

    @Test(dataProvider = "scenarios")
    public void scenario(String name, Path file) throws Exception {
        Harness harness = new Harness(LIMITS, 7);
        int lineNumber = 0;
        int checks = 0;
        for (String rawLine : Files.readAllLines(file)) {
            lineNumber++;
            String line = rawLine.replaceAll("#.*", "").strip();
            if (line.isEmpty()) continue;
            List<String> words = new ArrayList<>(List.of(line.split(" +")));
            String where = name + ":" + lineNumber + " " + line;
            if (words.get(0).equals("=")) {
                checks++;
                check(where, harness, words);
            } else {
                apply(where, harness, words);
            }
        }
        assertTrue(checks > 0, name + " checks nothing");
    }

    private static void apply(String where, Harness harness, List<String> words) {
        double now = Double.parseDouble(words.get(0));
        String input = words.get(1);
        String argument = words.size() > 2 ? words.get(2) : "";
        Membership membership = harness.membership;
        switch (input) {
            case "snapshot", "delta", "empty" -> harness.update(now, !input.equals("delta"), Long.parseLong(argument),
                words.subList(3, words.size()));
            case "confirm" -> membership.confirmUpTo(Long.parseLong(argument), now);
            case "reset-if-unusable" -> membership.resetIfUnusable(Long.parseLong(argument), now);
            case "purge" -> membership.purged(Long.parseLong(argument), -1, Integer.parseInt(words.get(3)),
                Double.parseDouble(words.get(4)), now);
            case "answers" -> membership.nodeAnswered(argument, now);
            case "refuses" -> membership.nodeFailed(argument, true, now);
            case "resets" -> membership.nodeFailed(argument, false, now);
            case "tick" -> membership.tick(now);
            case "restart" -> harness.restart(now);
            default -> throw new IllegalArgumentException(where);
        }
    }

    private static void check(String where, Harness harness, List<String> words) {
        Membership membership = harness.membership;
        String subject = words.get(1);
        String expected = words.get(2);
        switch (subject) {
            case "purges" -> assertEquals(membership.purges().size(), Integer.parseInt(expected), where);
            case "event" -> assertEquals(membership.lastEvent(), Long.parseLong(expected), where);
            case "result" -> assertEquals(membership.updateCount(Membership.UpdateResult.valueOf(expected)),
                Long.parseLong(words.get(3)), where);
            case "urgent" -> assertEquals(membership.takeUrgent(), Boolean.parseBoolean(expected), where);
            default -> {
                NodeState state = expected.equals("unknown") ? null : NodeState.valueOf(expected);
                assertEquals(membership.stateOf(subject), state, where + ": " + membership.reason(subject));
                if (state != null) assertEquals(harness.reportedStates.get(subject), state, where + ", as reported");
                if (words.size() < 4) return;
                String started = words.get(3);
                double startedAt = started.equals("warm") ? NodeEntry.WARM : Double.parseDouble(started);
                assertEquals(harness.reportedStarts.get(subject), startedAt, where);
            }
        }
    }

    /** How far a state is trusted; draining and removed nodes are not compared. */
    private static int trustLevel(NodeState state) {
        return switch (state) {
            case TOLD -> 5;
            case RECENT -> 4;
            case PROVEN -> 3;
            case OLD -> 2;
            case REFUSED -> 1;
            default -> 0;
        };
    }

    /**
     * Random histories of updates, ageing, answers and restarts against a reference model that keeps only what was
     * listed. A draining or removed node is never used; the event number never falls; a purge survives restarts while
     * it applies; of two nodes with the same evidence the one listed later is trusted at least as far; and the
     * listener was told the state that each node is in.
     */
    @Test public void randomHistories() {
        for (long seed = 1; seed <= 400; seed++) randomHistory(seed);
    }

    private static void randomHistory(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Harness harness = new Harness(LIMITS, seed);
        Map<String, Integer> listedStatuses = new HashMap<>();
        Map<Integer, Double> purgeTimes = new HashMap<>();
        List<String> nodes = List.of("a", "b", "c", "d", "e");
        // These two nodes get the same evidence and differ only in when they were listed.
        List<String> twins = List.of("older", "fresher");
        double now = 0;
        long event = 0;
        long highestEvent = 0;
        harness.update(now, true, ++event, List.of("a", "b", "c", "d", "e", "older"));
        for (String id : nodes) listedStatuses.put(id, Director.IN_SERVICE);
        double olderListedAt = now;
        harness.update(now + random.nextInt(20_000), false, ++event, List.of("fresher"));
        // Nothing confirms the whole list after this empty snapshot, so the ages of the twins stay different.
        harness.update(now, true, ++event, List.of());
        for (int step = 0; step < 120; step++) {
            now += random.nextInt(100) == 0 ? random.nextInt(200_000) : random.nextInt(1500);
            String id = nodes.get(random.nextInt(5));
            int input = random.nextInt(10);
            if (input == 0) {
                int status = random.nextInt(3);
                String suffix = status == Director.DRAINING ? ",draining"
                    : status == Director.REMOVED ? ",removed" : "";
                harness.update(now, false, ++event, List.of(id + suffix));
                if (listedStatuses.containsKey(id) || status != Director.REMOVED) listedStatuses.put(id, status);
            } else if (input == 1) {
                harness.membership.purged(++event, -1, step, now, now);
                purgeTimes.put(step, now);
            } else if (input == 2) {
                harness.restart(now);
            } else if (input <= 5) {
                harness.membership.nodeAnswered(id, now);
                if (input == 5) for (String twin : twins) harness.membership.nodeAnswered(twin, now);
            } else if (input <= 7) {
                harness.membership.nodeFailed(id, input == 6, now);
                if (random.nextInt(4) == 0) {
                    for (String twin : twins) harness.membership.nodeFailed(twin, false, now);
                }
            } else if (input == 8) {
                // This event was applied already, so the delta must be ignored.
                harness.update(now, false, event, List.of("a,removed", "b,removed"));
            }
            harness.membership.tick(now);
            String where = "seed " + seed + ", step " + step;
            checkStatuses(where, harness, listedStatuses);
            long lastEvent = harness.membership.lastEvent();
            assertTrue(lastEvent >= highestEvent && lastEvent == event, where);
            highestEvent = lastEvent;
            checkPurges(where, harness, purgeTimes, now);
            NodeState older = harness.membership.stateOf("older");
            NodeState fresher = harness.membership.stateOf("fresher");
            if (older != null && fresher != null) {
                assertTrue(trustLevel(older) <= trustLevel(fresher), where + ": " + older + " " + fresher);
            }
        }
        assertTrue(olderListedAt <= now);
    }

    /** Draining and removed nodes are not used, and the listener was told each node's state. */
    private static void checkStatuses(String where, Harness harness, Map<String, Integer> listedStatuses) {
        for (Map.Entry<String, Integer> listed : listedStatuses.entrySet()) {
            NodeState state = harness.membership.stateOf(listed.getKey());
            if (listed.getValue() != Director.IN_SERVICE) {
                assertTrue(state == null || !state.usable(), where + " " + listed + " " + state);
            }
            NodeState reported = harness.reportedStates.get(listed.getKey());
            assertEquals(reported, state == null ? reported : state, where);
        }
    }

    private static void checkPurges(String where, Harness harness, Map<Integer, Double> purgeTimes, double now) {
        for (Map.Entry<Integer, Double> issued : purgeTimes.entrySet()) {
            boolean kept = harness.membership.purges().stream().anyMatch(purge -> purge.group() == issued.getKey());
            if (now - issued.getValue() < PURGE_RETENTION_MS - 1) assertTrue(kept, where + " purge " + issued);
        }
    }

    private static MembershipSnapshot sampleSnapshot(int nodeCount) {
        Harness harness = new Harness(AgeLimits.DEFAULTS, 1);
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < nodeCount; i++) {
            entries.add("s-" + i + (i % 3 == 1 ? ",draining" : "") + (i % 4 == 0 ? ",started=5" : ""));
        }
        harness.update(1000, true, 41, entries);
        harness.membership.purged(42, 77, -1, 1500, 1600);
        harness.membership.purged(43, -1, 9, 1500, 1600);
        return harness.membership.snapshot("fleet", "d1", 2000);
    }

    /** A file cut at any byte or with any bit flipped is rejected with a reason, and no part of it is returned. */
    @Test public void truncatedOrCorruptSnapshotIsRejected() {
        byte[] bytes = SnapshotFormat.encode(sampleSnapshot(7));
        assertEquals(SnapshotFormat.decode(bytes, "fleet", "d1", 2000, 0).snapshot(), sampleSnapshot(7));
        for (int at = 0; at < bytes.length; at++) {
            SnapshotFormat.Result truncated = SnapshotFormat.decode(Arrays.copyOf(bytes, at), "fleet", "d1", 2000, 0);
            boolean isEmpty = truncated.error() == SnapshotFormat.ReadError.EMPTY;
            assertTrue(truncated.snapshot() == null && (at == 0) == isEmpty, "cut at " + at);
            for (int bit = 0; bit < 8; bit++) {
                byte[] corrupt = bytes.clone();
                corrupt[at] ^= (byte) (1 << bit);
                SnapshotFormat.Result result = SnapshotFormat.decode(corrupt, "fleet", "d1", 2000, 0);
                assertTrue(result.snapshot() == null && !result.text().isEmpty(), "byte " + at + " bit " + bit);
            }
        }
        byte[] longer = Arrays.copyOf(bytes, bytes.length + 1);
        assertEquals(SnapshotFormat.decode(longer, null, null, 2000, 0).error(), SnapshotFormat.ReadError.TORN);
    }

    /** A snapshot of another fleet or director, or from the future, is rejected. */
    @Test public void foreignSnapshotIsRejected() {
        byte[] bytes = SnapshotFormat.encode(sampleSnapshot(3));
        Object[][] cases = {{"other", "d1", 2000.0, SnapshotFormat.ReadError.OTHER_FLEET},
            {"fleet", "d2", 2000.0, SnapshotFormat.ReadError.OTHER_DIRECTOR},
            {"fleet", "d1", 900.0, SnapshotFormat.ReadError.FUTURE}, {null, null, 1500.0, null},
            {"fleet", "d1", 31.5e9, null}};
        for (Object[] c : cases) {
            SnapshotFormat.Result result = SnapshotFormat.decode(bytes, (String) c[0], (String) c[1], (double) c[2],
                500);
            assertEquals(result.error(), c[3]);
        }
    }

    /** Random changes and write durations: urgent writes start within half their bound, and writes keep apart. */
    @Test public void writesKeepTheirBoundsOfDelayAndRate() {
        for (long seed = 1; seed <= 200; seed++) checkWriteTimes(seed);
    }

    private static void checkWriteTimes(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        WriteScheduler scheduler = new WriteScheduler(100, 1000);
        double now = 0;
        double writeStartedAt = -1e9;
        double urgentSince = Double.NaN;
        double idleSince = 0;
        double writeEndsAt = Double.NaN;
        int writes = 0;
        for (int i = 0; i < 3000; i++, now += 1) {
            if (random.nextInt(40) == 0) {
                boolean urgent = random.nextInt(4) == 0;
                scheduler.changed(urgent, now);
                if (urgent && Double.isNaN(urgentSince)) urgentSince = now;
            }
            if (now >= writeEndsAt) {
                scheduler.writeEnded(true, now);
                writeEndsAt = Double.NaN;
                idleSince = now;
            }
            if (scheduler.nextWriteAt() > now) {
                double overdueMs = now - Math.max(urgentSince, Math.max(idleSince, writeStartedAt + 50));
                assertTrue(Double.isNaN(urgentSince) || !Double.isNaN(writeEndsAt) || overdueMs <= 0,
                    seed + " overdue by " + overdueMs);
                continue;
            }
            assertTrue(now - writeStartedAt >= 50, seed + ": writes " + (now - writeStartedAt) + " ms apart");
            scheduler.writeStarted(now);
            writes++;
            writeStartedAt = now;
            urgentSince = Double.NaN;
            writeEndsAt = now + random.nextInt(30);
        }
        assertTrue(writes > 5, "writes " + writes);
    }

    /** Failed writes are retried with exponential backoff up to a minute. */
    @Test public void failedWritesBackOff() {
        WriteScheduler scheduler = new WriteScheduler(100, 1000);
        scheduler.changed(true, 0);
        for (int i = 0; i < 10; i++) {
            double now = scheduler.nextWriteAt();
            scheduler.writeStarted(now);
            scheduler.writeEnded(false, now);
            assertTrue(scheduler.nextWriteAt() - now >= Math.min(60_000, 1000 << i), "after failure " + i);
        }
    }
}
