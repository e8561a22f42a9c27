package mothcross;

import static org.testng.Assert.assertTrue;

import java.util.*;
import mothcross.membership.AgeLimits;
import mothcross.membership.ListedNode;
import mothcross.membership.Membership;
import mothcross.membership.NodeState;
import mothcross.membership.Purge;
import mothcross.membership.SnapshotFormat;
import org.testng.annotations.Test;

/**
 * Checks the five rules of sending over random histories, in virtual time: three directors that keep the node list on
 * disk are killed and restarted, hear of changes late or not at all, and nodes stop, leave, or restart cold while all
 * directors are down. The checks know what each director has been told and what is true, and nothing of its state.
 */
public class BelievedRulesTest {
    private static final double INITIAL_SHARE = 0.2;
    private static final double WARM_UP_MS = 10_000;
    private static final double OVERLOAD_FACTOR = 3;
    private static final double OVERLOAD_WINDOW_MS = 1000;
    private static final double UNITS = 4;
    private static final double TRANSFER_MS = 300;
    private static final double PURGE_TAKES_MS = 6000;
    private static final double TIMEOUT_MS = 3000;
    private static final int DIRECTORS = 3;
    private static final int GROUPS = 12;
    /** The nodes before this index are caches, which slow start is checked for, then come the parent and the origin. */
    private static final int CACHES = 4;
    private static final int IDEMPOTENT = 0;
    private static final int NON_IDEMPOTENT = 1;
    private static final AgeLimits AGES = new AgeLimits(10_000, 100_000, 5000, 3, 1000, 8000, 0.5, 3000, 1000);
    private static final List<String> IDS = List.of("c0", "c1", "c2", "c3", "p", "o");

    /** The true state of a node. */
    private static final class Node {
        boolean up = true;
        /** 0 where it started long ago. */
        double startedAt;
        /** Times of the hops in the last overload window. */
        final ArrayDeque<Double> recentHops = new ArrayDeque<>();
    }

    /** What discovery announces: a node's status, or a purge where {@code id} is null. */
    private record Event(long number, int status, String id, int group, double at) { }

    private record Task(double at, long order, Runnable action) { }

    /** The clock, the nodes, what discovery has announced, and what the checks have counted. */
    private static final class World {
        final SplittableRandom random;
        final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingDouble(Task::at).thenComparingLong(Task::order));
        final Map<String, Node> nodes = new HashMap<>();
        final List<Event> log = new ArrayList<>();
        final String seed;
        long order;
        int answered;
        int sent;
        int sentToOld;
        double now = 1_000_000;
        /** The largest load of a node in slow start, as a share of what overloads it. */
        double largestLoad;

        World(long seed) {
            this.seed = "seed " + seed;
            random = new SplittableRandom(seed);
            for (String id : IDS) nodes.put(id, new Node());
        }

        void at(double time, Runnable action) {
            tasks.add(new Task(time, order++, action));
        }

        void runUntil(double time) {
            while (!tasks.isEmpty() && tasks.peek().at() <= time) {
                Task task = tasks.poll();
                now = task.at();
                task.action().run();
            }
            now = time;
        }

        void announce(int status, String id, int group) {
            log.add(new Event(log.size() + 1, status, id, group, now));
        }
    }

    private static final class LookupState {
        double expires;
        int workload;
        int group;
        int answers;
        /** A non-idempotent lookup has been executed or may have been. */
        boolean mayHaveRun;
        final List<Boolean> hopEnded = new ArrayList<>();
    }

    private record ListChange(NodeState standing, double startedAt) { }

    /** One run of a director, from its start to its kill, with the checks of what it decides. */
    private static final class DirectorRun implements DecisionWriter, Membership.Listener {
        final World world;
        final String name;
        final Membership membership;
        final CacheDirector director;
        final Map<String, ListChange> pending = new HashMap<>();
        final Map<Integer, LookupState> lookups = new HashMap<>();
        /** The nodes that this director has been told are draining or removed. */
        final Set<String> outOfService = new HashSet<>();
        /** The purges that this director has been told of: the time by group. */
        final Map<Integer, Double> purgedAt = new HashMap<>();
        int nextLookup;
        boolean killed;
        private boolean processing;

        DirectorRun(World world, String name, byte[] disk, Set<String> outOfService, Map<Integer, Double> purgedAt) {
            this.world = world;
            this.name = name;
            this.outOfService.addAll(outOfService);
            this.purgedAt.putAll(purgedAt);
            membership = new Membership(AGES, 2 * PURGE_TAKES_MS, world.random.split(), this);
            Workload idempotent = workload(Workload.Effect.IDEMPOTENT);
            Workload nonIdempotent = workload(Workload.Effect.NON_IDEMPOTENT);
            director = new CacheDirector(world.random.nextLong(), new Workload[] {idempotent, nonIdempotent},
                new Topology(0, new int[] {DIRECTORS}, DIRECTORS, 1, 2),
                new Capabilities(4, true, true, false, true, 1000), new SiteParameters(true, true, false, 10, 0),
                new SlowStartLimits(INITIAL_SHARE, WARM_UP_MS, OVERLOAD_FACTOR, OVERLOAD_WINDOW_MS),
                new SlowStartLimits(0.1, WARM_UP_MS, 2, OVERLOAD_WINDOW_MS), PURGE_TAKES_MS);
            process(to -> {
                to.listStarted(Director.LIST_RESTORED);
                to.listFinished();
                if (disk != null) {
                    membership.restore(SnapshotFormat.decode(disk, "f", name, world.now, 1000).snapshot(), world.now);
                }
                for (Purge p : membership.purges()) {
                    to.purged(p.object(), p.group(), Math.max(0, world.now - p.at()));
                }
            });
            tickLater();
        }

        private static Workload workload(Workload.Effect effect) {
            return new Workload(effect, Workload.DeduplicationScope.ALL, 5000, 400, 2, TIMEOUT_MS, 2, 0.15, 0, 0,
                0.5, false);
        }

        /** Delivers events, then the changes of the node list that they led to. */
        void process(EventBatch events) {
            assertTrue(!processing);
            processing = true;
            director.process(world.now, to -> {
                events.deliverTo(to);
                if (pending.isEmpty()) return;
                to.listStarted(Director.LIST_DELTA);
                for (Map.Entry<String, ListChange> change : pending.entrySet()) {
                    String id = change.getKey();
                    int kind = id.equals("p") ? 1 : id.equals("o") ? 2 : 0;
                    to.nodeListed(IDS.indexOf(id), id, 0, kind, 0, change.getValue().standing().directorStatus, UNITS,
                        change.getValue().startedAt());
                }
                pending.clear();
                to.listFinished();
            }, this);
            processing = false;
        }

        private void tickLater() {
            world.at(world.now + 500, () -> {
                if (killed) return;
                process(to -> membership.tick(world.now));
                tickLater();
            });
        }

        /** Tells this director what discovery has announced since it last heard from it. */
        void hear() {
            for (Event event : List.copyOf(world.log)) {
                if (event.number() <= membership.lastEvent()) continue;
                process(to -> {
                    if (event.id() == null) hearPurge(event, to);
                    else hearStatus(event);
                });
            }
            process(to -> membership.confirmUpTo(world.log.size(), world.now));
        }

        private void hearPurge(Event event, Director to) {
            membership.purged(event.number(), -1, event.group(), event.at(), world.now);
            to.purged(-1, event.group(), Math.max(0, world.now - event.at()));
            purgedAt.put(event.group(), event.at());
        }

        private void hearStatus(Event event) {
            boolean first = event.number() == 1;
            membership.listStarted(event.number(), first, world.now);
            for (String id : first ? IDS : List.of(event.id())) {
                double since = world.nodes.get(id).startedAt;
                int status = first ? Director.IN_SERVICE : event.status();
                membership.nodeListed(id, id, 1, "here", "k", 0, status, UNITS, since, world.now);
            }
            membership.listFinished(world.now);
            if (event.status() == Director.IN_SERVICE) outOfService.remove(event.id());
            else outOfService.add(event.id());
        }

        void lookup(int group) {
            LookupState lookup = new LookupState();
            int index = nextLookup++;
            lookups.put(index, lookup);
            lookup.expires = world.now + TIMEOUT_MS;
            lookup.workload = world.random.nextInt(4) == 0 ? NON_IDEMPOTENT : IDEMPOTENT;
            lookup.group = group;
            process(to -> to.lookup(index, lookup.workload, lookup.expires, world.random.nextInt(200), 0, group,
                10 * TRANSFER_MS, false, false));
            world.at(lookup.expires + 1, () -> assertTrue(killed || lookup.answers == 1,
                world.seed + " rule 1: " + lookup.answers + " answers"));
        }

        @Override public void stateChanged(ListedNode entry, NodeState was, NodeState is, double coldSince, String why) {
            pending.put(entry.id(), new ListChange(is, coldSince));
        }

        // ---- decisions ----

        private void send(int lookupIndex, int node, int source) {
            LookupState lookup = lookups.get(lookupIndex);
            String id = IDS.get(node);
            String sourceId = IDS.get(source);
            String where = world.seed + " " + name + " at " + world.now + " " + id + " from " + sourceId;
            assertTrue(lookup.answers == 0 && world.now < lookup.expires, where + " rule 1: sent after the answer");
            assertTrue(!(lookup.workload == NON_IDEMPOTENT && lookup.mayHaveRun),
                where + " rule 2: non-idempotent lookup sent again");
            assertTrue(!outOfService.contains(id) && !outOfService.contains(sourceId),
                where + " rule 3: known to be draining or removed");
            Node target = world.nodes.get(id);
            checkSlowStart(target, node, where);
            if (membership.stateOf(id) == NodeState.OLD) world.sentToOld++;
            world.sent++;
            int hop = lookup.hopEnded.size();
            lookup.hopEnded.add(false);
            double sentAt = world.now;
            int outcome = drawOutcome(target);
            boolean executed = outcome == Director.SUCCEEDED || outcome == Director.CONNECTION_LOST;
            if (lookup.workload == NON_IDEMPOTENT && executed) lookup.mayHaveRun = true;
            world.at(world.now + (target.up ? 3 + world.random.nextInt(60) : 1),
                () -> end(lookupIndex, hop, node, source, outcome, sentAt));
        }

        private void checkSlowStart(Node target, int node, String where) {
            double age = world.now - target.startedAt;
            if (!target.up || target.startedAt <= 0 || age >= WARM_UP_MS || node >= CACHES) return;
            target.recentHops.removeIf(at -> at < world.now - OVERLOAD_WINDOW_MS);
            target.recentHops.add(world.now);
            double work = target.recentHops.size() * TRANSFER_MS;
            double share = Math.min(1, INITIAL_SHARE + (1 - INITIAL_SHARE) * age / WARM_UP_MS);
            double load = work / (OVERLOAD_FACTOR * share * UNITS * OVERLOAD_WINDOW_MS);
            world.largestLoad = Math.max(world.largestLoad, load);
            assertTrue(load <= 1, where + " rule 4: overloaded, " + load);
        }

        private int drawOutcome(Node target) {
            if (!target.up) return Director.CONNECT_FAILED;
            if (world.random.nextInt(20) == 0) return Director.REJECTED;
            return world.random.nextInt(30) == 0 ? Director.CONNECTION_LOST : Director.SUCCEEDED;
        }

        private void end(int lookupIndex, int hop, int node, int source, int outcome, double sentAt) {
            LookupState lookup = lookups.get(lookupIndex);
            if (killed || lookup.hopEnded.get(hop)) return;
            lookup.hopEnded.set(hop, true);
            if (outcome == Director.SUCCEEDED && lookup.answers == 0) {
                lookup.answers++;
                world.answered++;
            }
            int note = outcome == Director.SUCCEEDED ? Director.HIT : 0;
            process(to -> {
                to.hopEnded(lookupIndex, hop, node, outcome, lookup.answers > 0, note, world.now - sentAt, 0, null);
                membership.hopEnded(IDS.get(node), source == node ? null : IDS.get(source), outcome, note, false,
                    world.now);
            });
        }

        @Override public void sendCacheOnly(int lookup, int node, double deadline) {
            send(lookup, node, node);
        }

        @Override public void sendFetch(int lookup, int node, double deadline, int source, int rank, double maxAge,
                                        int flags) {
            Double at = purgedAt.get(lookups.get(lookup).group);
            if (at != null && world.now - at < PURGE_TAKES_MS) {
                assertTrue(maxAge > 0 && maxAge <= Math.max(1, world.now - at) + 1e-6,
                    world.seed + " rule 5: age " + maxAge + ", purged " + (world.now - at) + " ago");
            }
            send(lookup, node, source);
        }

        @Override public void cancelHop(int lookup, int hop) {
            if (lookups.get(lookup).hopEnded.get(hop)) return;
            world.at(world.now, () -> end(lookup, hop, 0, 0, Director.CANCELLED, world.now));
        }

        private void answer(int lookupIndex, boolean rejected) {
            LookupState lookup = lookups.get(lookupIndex);
            lookup.answers++;
            assertTrue(lookup.answers == 1 && world.now <= lookup.expires,
                world.seed + " rule 1: answers " + lookup.answers);
            assertTrue(!(rejected && lookup.workload == NON_IDEMPOTENT && lookup.mayHaveRun),
                world.seed + " rule 2: rejected a non-idempotent lookup that may have been executed");
        }

        @Override public void reject(int lookup, double retryAfterMs) {
            answer(lookup, true);
        }

        @Override public void fail(int lookup) {
            answer(lookup, false);
        }

        @Override public void probe(int node) { }

        @Override public void setTimer(double at, long timer) {
            world.at(Math.max(at, world.now), () -> {
                if (!killed) process(to -> to.timerFired(timer));
            });
        }

        @Override public void watchNodeList(boolean on) { }

        @Override public void log(String text) { }
    }

    @Test public void fiveRulesOverRandomHistories() {
        int answered = 0;
        int sentToOld = 0;
        double largestLoad = 0;
        for (long seed = 1; seed <= 60; seed++) {
            World world = play(seed);
            answered += world.answered;
            sentToOld += world.sentToOld;
            largestLoad = Math.max(largestLoad, world.largestLoad);
        }
        assertTrue(answered > 20_000 && sentToOld > 100 && largestLoad > 0.05,
            answered + " " + sentToOld + " " + largestLoad);
    }

    /** Plays six lives of the directors; between them all are down at once. */
    private static World play(long seed) {
        World world = new World(seed);
        byte[][] disks = new byte[DIRECTORS][];
        List<Set<String>> outOfService = new ArrayList<>();
        List<Map<Integer, Double>> purgedAt = new ArrayList<>();
        for (int i = 0; i < DIRECTORS; i++) {
            outOfService.add(new HashSet<>());
            purgedAt.add(new HashMap<>());
        }
        world.log.add(new Event(1, Director.IN_SERVICE, "c0", -1, 0));
        for (int life = 0; life < 6; life++) {
            List<DirectorRun> runs = new ArrayList<>();
            for (int i = 0; i < DIRECTORS; i++) {
                runs.add(new DirectorRun(world, "d" + i, disks[i], outOfService.get(i), purgedAt.get(i)));
            }
            playLife(world, runs, life == 0);
            for (int i = 0; i < DIRECTORS; i++) {
                DirectorRun run = runs.get(i);
                run.killed = true;
                disks[i] = SnapshotFormat.encode(run.membership.snapshot("f", "d" + i, world.now));
                outOfService.get(i).clear();
                outOfService.get(i).addAll(run.outOfService);
                purgedAt.get(i).clear();
                purgedAt.get(i).putAll(run.purgedAt);
            }
            world.tasks.clear();
            restartNodes(world);
        }
        return world;
    }

    /** Discovery reaches a director from its start in the first life; later, often only after a while or never. */
    private static void playLife(World world, List<DirectorRun> runs, boolean first) {
        SplittableRandom random = world.random;
        double end = world.now + 4000 + random.nextInt(25_000);
        for (DirectorRun run : runs) {
            boolean hearsAtOnce = first || random.nextInt(3) == 0;
            double hearsFrom = hearsAtOnce ? world.now : world.now + random.nextInt(20_000);
            for (double time = hearsFrom; time < end; time += 200) {
                world.at(time, () -> {
                    if (!run.killed) run.hear();
                });
            }
            for (double time = world.now; time < end; time += 10 + random.nextInt(40)) {
                world.at(time, () -> {
                    if (!run.killed) run.lookup(random.nextInt(GROUPS));
                });
            }
        }
        for (double time = world.now + 500; time < end; time += 300 + random.nextInt(4000)) {
            world.at(time, () -> changeWorld(world));
        }
        world.runUntil(end);
    }

    /**
     * Lets time pass while all directors are down: little, enough for their lists to be old, or enough for them to be
     * unusable. Nodes stop or restart meanwhile only where the lists become old.
     */
    private static void restartNodes(World world) {
        SplittableRandom random = world.random;
        double downMs = new double[] {1000, 20_000, 60_000, 300_000}[random.nextInt(4)];
        world.now += downMs;
        for (String id : IDS) {
            Node node = world.nodes.get(id);
            node.recentHops.clear();
            if (downMs < 15_000 || random.nextInt(2) == 0) continue;
            node.up = id.equals("o") || random.nextInt(4) > 0;
            node.startedAt = node.up ? world.now - random.nextInt(3000) : 0;
            // Discovery announces the restart; a director that does not hear from it yet has to do without.
            if (node.up) world.announce(Director.IN_SERVICE, id, -1);
        }
    }

    /** Announces a change of a node's status or a purge, or stops a node without an announcement. */
    private static void changeWorld(World world) {
        String id = IDS.get(world.random.nextInt(CACHES));
        switch (world.random.nextInt(5)) {
            case 0 -> world.announce(Director.DRAINING, id, -1);
            case 1 -> world.announce(Director.REMOVED, id, -1);
            case 2 -> world.announce(Director.IN_SERVICE, id, -1);
            case 3 -> world.announce(Director.IN_SERVICE, null, world.random.nextInt(GROUPS));
            default -> world.nodes.get(id).up = false;
        }
    }
}
