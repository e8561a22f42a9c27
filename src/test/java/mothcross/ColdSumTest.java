package mothcross;

import static org.testng.Assert.assertTrue;

import java.util.*;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

/**
 * A whole fleet of directors, each knowing only its own traffic, and nodes that start cold: what all of them send one
 * of these together stays within its budget of N requests of mean work and what is put down to chance, 2 x root of N
 * + 2.
 * Histories are drawn: how many directors, how uneven their traffic, how wide the sizes, whether all directors have
 * just started themselves and know no mean. In virtual time, without sockets.
 */
public class ColdSumTest {
    /** Of 100 and 272 directors that started along with the nodes and knew no mean: up to 1.65 of the budget. */
    private static final long[] ONCE_BROKEN = {21, 41, 5, 20, 35};
    private static final double PURGE_TAKES = 6000, STARTS_AT = 5000, WATCHED_MS = 12_000;

    /** When directors start anew, with no mean and a token bucket of its own each time. */
    private enum Restarts { NONE, WITH_THE_NODES, WHILE_COLD }

    private static final class Node {
        final int index, kind;
        final ArrayDeque<double[]> lately = new ArrayDeque<>();
        double work, all, worst;                            // within the span; in all; the most, of what it bears

        Node(int index, int kind) {
            this.index = index;
            this.kind = kind;
        }
    }

    private static final class Asked {
        final int workload;
        final double ownMs;
        int attempts;

        Asked(int workload, double ownMs) {
            this.workload = workload;
            this.ownMs = ownMs;
        }
    }

    @Test public void allTogetherStayWithinTheBudget() {
        StringBuilder over = new StringBuilder();
        long[] seeds = LongStream.concat(LongStream.of(ONCE_BROKEN), LongStream.rangeClosed(1,
            Integer.getInteger("histories", 4))).toArray();
        for (int directors : new int[] {3, 20, 30, 100, 272}) {
            for (Restarts restarts : Restarts.values()) {
                double worst = 0, used = 0, allowed = 0;
                long sent = 0;
                for (long seed : seeds) {
                    Fleet f = new Fleet(seed, directors, restarts);
                    f.play();
                    sent += f.sent;
                    for (Node n : f.nodes) {
                        if (n.kind == 2) continue;
                        used += n.all;
                        allowed += f.allowed(n);
                        worst = Math.max(worst, n.worst);
                        if (n.worst > 1) over.append(String.format(
                            "%d directors, restarts %s, seed %d: node %d got %.2f%n", directors, restarts, seed,
                            n.index, n.worst));
                    }
                }
                System.out.printf(
                    "%d directors, restarts %s: %d attempts, most of its budget %.2f, in all %.2f of it%n",
                    directors, restarts, sent, worst, used / allowed);
                assertTrue(used / allowed > 0.1, "too careful: " + used / allowed);
            }
        }
        assertTrue(over.length() == 0, over.toString());
    }

    /** One drawn history. */
    private static final class Fleet {
        final SplittableRandom chance;
        final PriorityQueue<Object[]> due = new PriorityQueue<>(Comparator.<Object[]>comparingDouble(x -> (double) x[0])
            .thenComparingLong(x -> (long) x[1]));
        final double floor, warm, factor, span, units, sigma;
        final double[] mean = {400, 60};
        final int directors, caches;
        final Restarts restarts;
        final CacheDirector[] fleet;
        final Node[] nodes;
        final List<Asked>[] asked;
        long order, sent;
        double now;

        @SuppressWarnings({"unchecked", "rawtypes"})
        Fleet(long seed, int directors, Restarts restarts) {
            chance = new SplittableRandom(seed);
            this.directors = directors;
            this.restarts = restarts;
            floor = 0.1 + 0.2 * chance.nextDouble();
            warm = 6000 + 9000 * chance.nextDouble();
            factor = 2.5 + 0.5 * chance.nextDouble();
            span = 1000 + 1000 * chance.nextDouble();
            sigma = 0.6 + 0.6 * chance.nextDouble();
            units = 4 + 8 * chance.nextDouble();
            if (chance.nextBoolean()) mean[1] = mean[0];        // as where there is one class, of large objects
            caches = 4 + chance.nextInt(4);
            nodes = new Node[caches + 3];
            for (int i = 0; i < nodes.length; i++) nodes[i] = new Node(i, i < caches ? 0 : i < caches + 2 ? 1 : 2);
            fleet = new CacheDirector[directors];
            asked = new List[directors];
        }

        void at(double t, Runnable r) {
            due.add(new Object[] {t, order++, r});
        }

        private CacheDirector director() {
            Workload[] all = new Workload[2];
            for (int i = 0; i < 2; i++) {
                all[i] = new Workload(Workload.Effect.IDEMPOTENT, Workload.DeduplicationScope.ALL, 5000, 400, 2, 6000, 2, 0.15, 0, 0,
                    0.5, false);
            }
            return new CacheDirector(chance.nextLong(), all, new Topology(0, new int[] {directors}, directors, 1, 2),
                new Capabilities(6, true, true, false, true, 1000), new SiteParameters(true, true, false, 10, 0),
                new SlowStartLimits(floor, warm, factor, span), new SlowStartLimits(floor / 2, warm, 2, span), PURGE_TAKES);
        }

        private void list(Director to, double startedAt, int news) {
            to.listStarted(news);
            for (Node n : nodes) {
                boolean cold = startedAt > 0 && n.kind < 2;
                to.nodeListed(n.index, "n" + n.index, 0, n.kind, 0, Director.IN_SERVICE, units, cold ? startedAt : 0);
            }
            to.listFinished();
        }

        private void start(int d, double startedAt) {
            fleet[d] = director();
            asked[d] = new ArrayList<>();
            round(d, to -> list(to, startedAt, Director.LIST_RESTORED));
        }

        private void round(int d, EventBatch in) {
            CacheDirector director = fleet[d];
            director.process(now, in, new Writer(d, director));
        }

        void play() {
            for (int d = 0; d < directors; d++) start(d, 0);
            double[] share = new double[directors];
            double sum = 0;
            for (int d = 0; d < directors; d++) sum += share[d] = Math.exp(1.2 * gauss());
            // 0.8 of what the caches carry, half of the bytes in each class.
            double work = 0.8 * caches * units;
            for (int d = 0; d < directors; d++) {
                for (int c = 0; c < 2; c++) ask(d, c, mean[c] / (work / 2 * share[d] / sum));
            }
            at(STARTS_AT, () -> {
                for (int d = 0; d < directors; d++) {
                    if (restarts == Restarts.WITH_THE_NODES) start(d, STARTS_AT);
                    else round(d, to -> list(to, STARTS_AT, Director.LIST_SNAPSHOT));
                }
            });
            for (int d = 0; d < directors && restarts == Restarts.WHILE_COLD; d++) {
                int one = d;
                for (int i = 0; i < 2; i++) at(STARTS_AT + warm * chance.nextDouble(), () -> start(one, STARTS_AT));
            }
            while (!due.isEmpty()) {
                Object[] e = due.poll();
                now = (double) e[0];
                if (now > STARTS_AT + WATCHED_MS) return;
                ((Runnable) e[2]).run();
            }
        }

        private double gauss() {
            return Math.sqrt(-2 * Math.log(1 - chance.nextDouble())) * Math.cos(2 * Math.PI * chance.nextDouble());
        }

        private void ask(int d, int workload, double gap) {
            at(now - gap * Math.log(1 - chance.nextDouble()), () -> {
                double ownMs = mean[workload] * Math.exp(sigma * gauss() - sigma * sigma / 2);
                int at = asked[d].size();
                asked[d].add(new Asked(workload, ownMs));
                long object = chance.nextInt(500);
                round(d, to -> to.lookup(at, workload, now + 6000, object, 0, 0, 10 * ownMs, false, false));
                ask(d, workload, gap);
            });
        }

        /** The work that it bears while it is watched, nothing put down to chance. */
        double allowed(Node n) {
            double least = n.kind == 0 ? floor : floor / 2, sum = 0;
            for (double t = 0; t < WATCHED_MS; t += 100) {
                sum += 100 * units * (n.kind == 0 ? factor : 2) * (least + (1 - least) * Math.min(1, t / warm));
            }
            return sum;
        }

        /** By the rule: every attempt that reaches a cold node, at the mean of its class. */
        private void arrives(Node n, int workload) {
            if (now < STARTS_AT || n.kind == 2) return;
            sent++;
            n.lately.add(new double[] {now, mean[workload]});
            n.work += mean[workload];
            n.all += mean[workload];
            while (n.lately.peek()[0] < now - span) n.work -= n.lately.poll()[1];
            double least = n.kind == 0 ? floor : floor / 2, times = n.kind == 0 ? factor : 2;
            double meanWork = 2 / (1 / mean[0] + 1 / mean[1]);
            double warmth = Math.min(1, (now - STARTS_AT) / warm);
            double bears = times * (least + (1 - least) * warmth) * units * span / meanWork;
            n.worst = Math.max(n.worst, n.work / meanWork / (bears + 2 * Math.sqrt(bears) + 2));
        }

        /** What a director decides: an attempt is answered after its sending time, a fill by way of its source. */
        private final class Writer implements DecisionWriter {
            final int d;
            final CacheDirector of;
            final List<Asked> mine;

            Writer(int d, CacheDirector of) {
                this.d = d;
                this.of = of;
                mine = asked[d];
            }

            @Override public void sendCacheOnly(int lookup, int node, double giveUpAt) {
                sendFetch(lookup, node, giveUpAt, node, 0, 0, 0);
            }

            @Override public void sendFetch(int lookup, int node, double giveUpAt, int source, int rank, double maxAge,
                                        int how) {
                Asked a = mine.get(lookup);
                int hop = a.attempts++;
                boolean fills = source != node && chance.nextDouble() < 0.4;
                arrives(nodes[node], a.workload);
                if (fills) arrives(nodes[source], a.workload);
                at(now + 30 + a.ownMs, () -> {
                    if (fleet[d] != of) return;             // it has started anew meanwhile
                    boolean miss = source == node && node < caches && chance.nextDouble() < 0.3;
                    int note = miss ? 0 : fills ? Director.FILLED : Director.HIT;
                    round(d, to -> to.hopEnded(lookup, hop, node, miss ? Director.MISS : Director.SUCCEEDED, !miss, note,
                        30 + a.ownMs, 0, null));
                });
            }

            @Override public void cancelHop(int lookup, int hop) { }

            @Override public void reject(int lookup, double comeBackAfter) { }

            @Override public void fail(int lookup) { }

            @Override public void probe(int node) { }

            @Override public void setTimer(double at, long name) {
                Fleet.this.at(at, () -> {
                    if (fleet[d] == of) round(d, to -> to.timerFired(name));
                });
            }

            @Override public void watchNodeList(boolean on) { }

            @Override public void log(String text) { }
        }
    }
}
