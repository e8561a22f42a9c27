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
 * Three directors on kept lists, in virtual time: random news, ages, answers, kills and restarts, boxes that go and
 * come
 * back cold while all directors are down. A checker that knows only what was told and what is true watches the five
 * rules.
 */
public class BelievedRulesTest {
    private static final double FLOOR = 0.2, WARM = 10_000, BREAKS = 3, SPAN = 1000, UNITS = 4, WORK_MS = 300,
        PURGE_TAKES = 6000;
    private static final AgeLimits AGES = new AgeLimits(10_000, 100_000, 5000, 3, 1000, 8000, 0.5, 3000, 1000);
    private static final List<String> IDS = List.of("c0", "c1", "c2", "c3", "p", "o");

    private static final class Box {
        boolean up = true;
        double startedAt;                                   // the truth; 0: long ago
        final List<double[]> work = new ArrayList<>();
    }

    private record Event(long number, int standing, String id, int group, double at) { }

    /** The world: one clock, the boxes, what discovery tells, and the checker's counts. */
    private static final class World {
        final SplittableRandom chance;
        final PriorityQueue<Object[]> due = new PriorityQueue<>((a, b) -> {
            int c = Double.compare((double) a[0], (double) b[0]);
            return c != 0 ? c : Long.compare((long) a[1], (long) b[1]);
        });
        final Map<String, Box> boxes = new HashMap<>();
        final List<Event> log = new ArrayList<>();
        final String seed;
        long order;
        int answered, sent, cautious;
        double now = 1_000_000, worst;

        World(long seed) {
            this.seed = "seed " + seed;
            chance = new SplittableRandom(seed);
            for (String id : IDS) boxes.put(id, new Box());
        }

        void at(double t, Runnable r) {
            due.add(new Object[] {t, order++, r});
        }

        void until(double t) {
            while (!due.isEmpty() && (double) due.peek()[0] <= t) {
                Object[] e = due.poll();
                now = (double) e[0];
                ((Runnable) e[2]).run();
            }
            now = t;
        }
    }

    private static final class Ask {
        double expires, sentAt;
        int workload, group, hops, answers, out;
        boolean mayHaveRun;
        final List<Boolean> ended = new ArrayList<>();
    }

    /** One run of a director, from its start to its kill. */
    private static final class Run implements DecisionWriter, Membership.Listener {
        final World w;
        final String name;
        final Membership m;
        final CacheDirector decide;
        final Map<String, Object[]> pending = new HashMap<>();
        final Map<Integer, Ask> asks = new HashMap<>();
        final Set<String> out = new HashSet<>();            // the checker's: told as draining or gone
        final Map<Integer, Double> purged = new HashMap<>();  // the checker's: by group, when
        int next;
        boolean dead, heard;
        private boolean atWork;

        Run(World w, String name, byte[] disk, Set<String> toldOut, Map<Integer, Double> toldPurged) {
            this.w = w;
            this.name = name;
            out.addAll(toldOut);
            purged.putAll(toldPurged);
            m = new Membership(AGES, 2 * PURGE_TAKES, w.chance.split(), this);
            Workload safe = new Workload(Workload.Effect.IDEMPOTENT, Workload.DeduplicationScope.ALL, 5000, 400, 2,
                3000, 2, 0.15, 0, 0,
                0.5, false);
            Workload once = new Workload(Workload.Effect.NON_IDEMPOTENT, Workload.DeduplicationScope.ALL, 5000, 400, 2,
                3000, 2, 0.15, 0, 0, 0.5,
                false);
            decide = new CacheDirector(w.chance.nextLong(), new Workload[] {safe, once},
                new Topology(0, new int[] {3}, 3, 1, 2),
                new Capabilities(4, true, true, false, true, 1000), new SiteParameters(true, true, false, 10, 0),
                new SlowStartLimits(FLOOR, WARM, BREAKS, SPAN), new SlowStartLimits(0.1, WARM, 2, SPAN), PURGE_TAKES);
            round(to -> {
                to.listStarted(Director.LIST_RESTORED);
                to.listFinished();
                if (disk != null) m.restore(SnapshotFormat.decode(disk, "f", name, w.now, 1000).snapshot(), w.now);
                for (Purge p : m.purges()) to.purged(p.object(), p.group(), Math.max(0, w.now - p.at()));
            });
            tick();
        }

        void round(EventBatch in) {
            assertTrue(!atWork);
            atWork = true;
            decide.process(w.now, to -> {
                in.deliverTo(to);
                if (pending.isEmpty()) return;
                to.listStarted(Director.LIST_DELTA);
                for (Map.Entry<String, Object[]> e : pending.entrySet()) {
                    String id = e.getKey();
                    to.nodeListed(IDS.indexOf(id), id, 0, id.equals("p") ? 1 : id.equals("o") ? 2 : 0, 0,
                        ((NodeState) e.getValue()[0]).directorStatus, UNITS, (double) e.getValue()[1]);
                }
                pending.clear();
                to.listFinished();
            }, this);
            atWork = false;
        }

        void tick() {
            w.at(w.now + 500, () -> {
                if (dead) return;
                round(to -> m.tick(w.now));
                tick();
            });
        }

        /** What discovery has to tell that this director has not had. */
        void hear() {
            heard = true;
            for (Event e : List.copyOf(w.log)) {
                if (e.number <= m.lastEvent()) continue;
                round(to -> {
                    if (e.id == null) {
                        m.purged(e.number, -1, e.group, e.at, w.now);
                        to.purged(-1, e.group, Math.max(0, w.now - e.at));
                        purged.put(e.group, e.at);
                    } else {
                        boolean first = e.number == 1;
                        m.listStarted(e.number, first, w.now);
                        for (String id : first ? IDS : List.of(e.id)) {
                            double since = w.boxes.get(id).startedAt;
                            m.nodeListed(id, id, 1, "here", "k", 0, first ? 0 : e.standing, UNITS, since, w.now);
                        }
                        m.listFinished(w.now);
                        if (e.standing == Director.IN_SERVICE) out.remove(e.id);
                        else out.add(e.id);
                    }
                });
            }
            round(to -> m.confirmUpTo(w.log.size(), w.now));
        }

        void ask(int group) {
            Ask a = new Ask();
            int at = next++;
            asks.put(at, a);
            a.expires = w.now + 3000;
            a.workload = w.chance.nextInt(4) == 0 ? 1 : 0;
            a.group = group;
            round(to -> to.lookup(at, a.workload, a.expires, w.chance.nextInt(200), 0, group, 10 * WORK_MS, false,
                false));
            w.at(a.expires + 1, () -> assertTrue(dead || a.answers == 1, w.seed + " rule 1: " + a.answers
                + " answers"));
        }

        @Override public void stateChanged(ListedNode entry, NodeState was, NodeState is, double coldSince, String why) {
            pending.put(entry.id(), new Object[] {is, coldSince});
        }

        // ---- what is decided, under the checker's eyes ----

        private void send(int lookup, int node, int source) {
            Ask a = asks.get(lookup);
            String id = IDS.get(node), from = IDS.get(source);
            String where = w.seed + " " + name + " at " + w.now + " " + id + " from " + from;
            assertTrue(a.answers == 0 && w.now < a.expires, where + " rule 1: sent after the answer");
            assertTrue(!(a.workload == 1 && a.mayHaveRun), where + " rule 2: once-only sent again");
            assertTrue(!out.contains(id) && !out.contains(from), where + " rule 3: told that it drains or is gone");
            Box b = w.boxes.get(id);
            if (b.up && b.startedAt > 0 && w.now - b.startedAt < WARM && node < 4) {
                b.work.removeIf(x -> x[0] < w.now - SPAN);
                b.work.add(new double[] {w.now, WORK_MS});
                double all = b.work.stream().mapToDouble(x -> x[1]).sum();
                double share = Math.min(1, FLOOR + (1 - FLOOR) * (w.now - b.startedAt) / WARM);
                double part = all / (BREAKS * share * UNITS * SPAN);
                w.worst = Math.max(w.worst, part);
                assertTrue(part <= 1, where + " rule 4: pushed over, " + part);
            }
            if (m.stateOf(id) == NodeState.OLD) w.cautious++;
            w.sent++;
            a.hops++;
            a.out++;
            a.mayHaveRun |= false;
            int hop = a.ended.size();
            a.ended.add(false);
            double sentAt = w.now;
            int outcome = !b.up ? Director.CONNECT_FAILED : w.chance.nextInt(20) == 0 ? Director.REJECTED
                : w.chance.nextInt(30) == 0 ? Director.CONNECTION_LOST : Director.SUCCEEDED;
            boolean ran = outcome == Director.SUCCEEDED || outcome == Director.CONNECTION_LOST;
            boolean onlyOne = a.workload == 1 && ran;
            if (onlyOne) a.mayHaveRun = true;
            w.at(w.now + (b.up ? 3 + w.chance.nextInt(60) : 1), () -> end(lookup, hop, node, source, outcome, sentAt));
        }

        private void end(int lookup, int hop, int node, int source, int outcome, double sentAt) {
            Ask a = asks.get(lookup);
            if (dead || a.ended.get(hop)) return;
            a.ended.set(hop, true);
            a.out--;
            boolean handled = outcome == Director.SUCCEEDED && a.answers == 0;
            if (handled) a.answers++;
            if (handled) w.answered++;
            int note = outcome == Director.SUCCEEDED ? Director.HIT : 0;
            round(to -> {
                to.hopEnded(lookup, hop, node, outcome, a.answers > 0, note, w.now - sentAt, 0, null);
                m.hopEnded(IDS.get(node), source == node ? null : IDS.get(source), outcome, note, false, w.now);
            });
        }

        @Override public void sendCacheOnly(int lookup, int node, double giveUpAt) {
            send(lookup, node, node);
        }

        @Override public void sendFetch(int lookup, int node, double giveUpAt, int source, int rank, double maxAge,
            int how) {
            Double at = purged.get(asks.get(lookup).group);
            if (at != null && w.now - at < PURGE_TAKES) {
                assertTrue(maxAge > 0 && maxAge <= Math.max(1, w.now - at) + 1e-6,
                    w.seed + " rule 5: age " + maxAge + ", purged " + (w.now - at) + " ago");
            }
            send(lookup, node, source);
        }

        @Override public void cancelHop(int lookup, int hop) {
            Ask a = asks.get(lookup);
            if (a.ended.get(hop)) return;
            w.at(w.now, () -> end(lookup, hop, 0, 0, Director.CANCELLED, w.now));
        }

        private void answer(int lookup, boolean bounce) {
            Ask a = asks.get(lookup);
            a.answers++;
            assertTrue(a.answers == 1 && w.now <= a.expires, w.seed + " rule 1: answers " + a.answers);
            assertTrue(!(bounce && a.workload == 1 && a.mayHaveRun), w.seed + " rule 2: bounced what may have run");
        }

        @Override public void reject(int lookup, double comeBackAfter) {
            answer(lookup, true);
        }

        @Override public void fail(int lookup) {
            answer(lookup, false);
        }

        @Override public void probe(int node) { }

        @Override public void setTimer(double t, long bell) {
            w.at(Math.max(t, w.now), () -> {
                if (!dead) round(to -> to.timerFired(bell));
            });
        }

        @Override public void watchNodeList(boolean on) { }

        @Override public void log(String text) { }
    }

    @Test public void fiveRulesOverRandomHistories() {
        int answered = 0, cautious = 0;
        double worst = 0;
        for (long seed = 1; seed <= 60; seed++) {
            World w = play(seed);
            answered += w.answered;
            cautious += w.cautious;
            worst = Math.max(worst, w.worst);
        }
        assertTrue(answered > 20_000 && cautious > 100 && worst > 0.05, answered + " " + cautious + " " + worst);
    }

    private static World play(long seed) {
        World w = new World(seed);
        SplittableRandom chance = w.chance;
        byte[][] disks = new byte[3][];
        List<Set<String>> toldOut = List.of(new HashSet<>(), new HashSet<>(), new HashSet<>());
        List<Map<Integer, Double>> purged = List.of(new HashMap<>(), new HashMap<>(), new HashMap<>());
        w.log.add(new Event(1, Director.IN_SERVICE, "c0", -1, 0));
        Set<String> away = new HashSet<>();
        for (int phase = 0; phase < 6; phase++) {
            List<Run> runs = new ArrayList<>();
            for (int d = 0; d < 3; d++) runs.add(new Run(w, "d" + d, disks[d], toldOut.get(d), purged.get(d)));
            double ends = w.now + 4000 + chance.nextInt(25_000);
            for (Run r : runs) {
                double back = phase == 0 || chance.nextInt(3) == 0 ? w.now : w.now + chance.nextInt(20_000);
                for (double t = back; t < ends; t += 200) w.at(t, () -> {
                    if (!r.dead) r.hear();
                });
                for (double t = w.now; t < ends; t += 10 + chance.nextInt(40)) w.at(t, () -> {
                    if (!r.dead) r.ask(chance.nextInt(12));
                });
            }
            for (double t = w.now + 500; t < ends; t += 300 + chance.nextInt(4000)) w.at(t, () -> news(w, away));
            w.until(ends);
            for (int d = 0; d < 3; d++) {
                Run r = runs.get(d);
                r.dead = true;
                disks[d] = SnapshotFormat.encode(r.m.snapshot("f", "d" + d, w.now));
                toldOut.get(d).clear();
                toldOut.get(d).addAll(r.out);
                purged.get(d).clear();
                purged.get(d).putAll(r.purged);
            }
            w.due.clear();
            // Down for a little, long enough for the lists to be old, or for too long; cold returns only where old.
            double down = new double[] {1000, 20_000, 60_000, 300_000}[chance.nextInt(4)];
            w.now += down;
            for (String id : IDS) {
                Box b = w.boxes.get(id);
                b.work.clear();
                if (down < 15_000 || chance.nextInt(2) == 0) continue;
                b.up = id.equals("o") || chance.nextInt(4) > 0;
                b.startedAt = b.up ? w.now - chance.nextInt(3000) : 0;
                // Discovery sees a new process; who does not hear from it yet has to do without.
                if (b.up) w.log.add(new Event(w.log.size() + 1, Director.IN_SERVICE, id, -1, w.now));
            }
        }
        return w;
    }

    /** Drains, boxes gone and back, purges; boxes that stop while nobody is told. */
    private static void news(World w, Set<String> away) {
        String id = IDS.get(w.chance.nextInt(4));
        long number = w.log.size() + 1;
        switch (w.chance.nextInt(5)) {
            case 0 -> w.log.add(new Event(number, Director.DRAINING, id, -1, w.now));
            case 1 -> w.log.add(new Event(number, Director.REMOVED, id, -1, w.now));
            case 2 -> w.log.add(new Event(number, Director.IN_SERVICE, id, -1, w.now));
            case 3 -> w.log.add(new Event(number, 0, null, w.chance.nextInt(12), w.now));
            default -> w.boxes.get(id).up = false;
        }
    }
}
