package mothcross.net;

import java.nio.charset.StandardCharsets;
import java.util.*;
import mothcross.expr.Frame;
import mothcross.expr.Inputs;
import mothcross.expr.Program;
import mothcross.expr.Type;
import mothcross.route.RouteRules;
import mothcross.standin.FakeClients;
import mothcross.standin.FakeNode;

/**
 * Measures routing rules on loopback: {@code director} (lookups a second and the time to the first hop without rules,
 * with 10 and with 1,000), {@code overload} (one key asks for ten times its share at three directors), {@code worst}
 * (a search for the costliest request of each function, compared to the predicted steps). Prints the tables of
 * docs/measured/routes.md; not run by CI.
 */
public final class MeasureRoutes {
    private MeasureRoutes() { }

    public static void main(String[] args) throws Exception {
        Thread.setDefaultUncaughtExceptionHandler((t, e) -> {
            e.printStackTrace();
            System.exit(1);
        });
        switch (args[0]) {
            case "director" -> director();
            case "overload" -> overload();
            case "worst" -> worst();
            default -> throw new IllegalArgumentException(args[0]);
        }
        System.exit(0);
    }

    private static RouteRules rules(List<RouteRules.Rule> all) {
        return new RouteRules(5000, 1_000_000, Map.of("header:X-Office",
            new RouteRules.InputDeclaration(32, false, true)), Map.of(), all);
    }

    private static RouteRules table(int n) {
        List<RouteRules.Rule> all = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            String match = i % 2 == 0 ? "(hex(object) ?? -1) in " + (1_000_000_000L + i) + ".." + (1_000_000_000L + i)
                : "(header('X-Office') ?? '') == 'office-" + i + "'";
            all.add(new RouteRules.Rule("r" + i, match, null, null, 1, -1, 403, null));
        }
        return rules(all);
    }

    private static void director() throws Exception {
        System.out.println("| rules | lookups a second | to the first hop p50, ms | p99, ms |");
        System.out.println("| --- | --- | --- | --- |");
        for (int round = 0; round < 2; round++) {
            for (int ruleCount : new int[] {0, 10, 1000}) {
                try (Fleet fleet = new Fleet(4)) {
                    DirectorServer director = fleet.directorWithRoutes("d1", ruleCount == 0 ? null : table(ruleCount));
                    double rate;
                    try (FakeClients load = new FakeClients(director.port(), 16, 0, 1, 0)) {
                        load.awaitHandled(20_000);
                        int before = load.handled.get();
                        long startedAt = System.nanoTime();
                        Thread.sleep(6000);
                        rate = (load.handled.get() - before) / ((System.nanoTime() - startedAt) / 1e9);
                    }
                    double[] firstHopMs = new double[2000];
                    try (FakeClients.Client c = new FakeClients.Client(director.port())) {
                        for (int i = 0; i < firstHopMs.length; i++) {
                            int seen = totalArrivals(fleet);
                            long t = System.nanoTime();
                            c.send(500_000 + i, 1, 3);
                            while (totalArrivals(fleet) == seen) Thread.onSpinWait();
                            firstHopMs[i] = (System.nanoTime() - t) / 1e6;
                            c.status();
                        }
                    }
                    Arrays.sort(firstHopMs);
                    if (round == 1) {
                        System.out.printf(Locale.ROOT, "| %d | %.0f | %.3f | %.3f |%n", ruleCount, rate,
                            firstHopMs[1000], firstHopMs[1980]);
                    }
                }
            }
        }
    }

    private static int totalArrivals(Fleet fleet) {
        int total = 0;
        for (FakeNode node : fleet.caches) total += node.arrivalCount();
        return total;
    }

    /** Ten offices with 20 lookups a second each, later one with 200, at three directors with rate-limited caches. */
    private static void overload() throws Exception {
        System.out.println("| limit | others' handled share before | and while one key asks ten times its "
            + "share | its own |");
        System.out.println("| --- | --- | --- | --- |");
        for (boolean limited : new boolean[] {false, true}) {
            RouteRules.RateLimit limit = new RouteRules.RateLimit("header('X-Office') ?? ''", 30, 30, 256);
            RouteRules rules = rules(List.of(new RouteRules.Rule("office", "has(header('X-Office'))", null, null, 1,
                -1, 0, limited ? limit : null)));
            try (Fleet fleet = new Fleet(2)) {
                fleet.configParameters.put("directors", "3");
                for (FakeNode node : fleet.caches) node.limitRate(110);
                List<DirectorServer> directors = List.of(fleet.directorWithRoutes("d1", rules),
                    fleet.directorWithRoutes("d2", rules), fleet.directorWithRoutes("d3", rules));
                List<Office> others = new ArrayList<>();
                for (int i = 0; i < 9; i++) others.add(new Office("office-" + i, directors, 20));
                Thread.sleep(2000);
                double[] before = share(others, 5000);
                Office greedy = new Office("office-9", directors, 200);
                Thread.sleep(1000);
                double[] during = share(others, 6000);
                System.out.printf(Locale.ROOT, "| %s | %.3f | %.3f | %.3f |%n", limited ? "30 a second and at once"
                    : "none", before[0], during[0], greedy.handled / (double) greedy.asked);
                for (Office o : others) o.stopped = true;
                greedy.stopped = true;
                Thread.sleep(500);
            }
        }
    }

    /** The share of lookups of these offices that are handled within so many ms. */
    private static double[] share(List<Office> offices, long ms) throws InterruptedException {
        int asked = offices.stream().mapToInt(o -> o.asked).sum();
        int handled = offices.stream().mapToInt(o -> o.handled).sum();
        Thread.sleep(ms);
        return new double[] {(offices.stream().mapToInt(o -> o.handled).sum() - handled)
            / (double) (offices.stream().mapToInt(o -> o.asked).sum() - asked)};
    }

    /** Sends lookups at a fixed rate, spread over the directors, whatever the answers are. */
    private static final class Office {
        volatile int asked;
        volatile int handled;
        volatile boolean stopped;

        Office(String name, List<DirectorServer> directors, int perSecond) {
            int threads = Math.max(3, perSecond / 5);
            for (int i = 0; i < threads; i++) {
                int index = i;
                int port = directors.get(index % directors.size()).port();
                Thread t = new Thread(() -> run(name, port, 1e9 * threads / perSecond, index), name);
                t.setDaemon(true);
                t.start();
            }
        }

        private void run(String name, int port, double intervalNs, int index) {
            try (FakeClients.Client c = new FakeClients.Client(port)) {
                c.header = "X-Office: " + name + "\r\n";
                double due = System.nanoTime() + intervalNs * new SplittableRandom(index).nextDouble();
                for (int i = 0; !stopped; i++, due += intervalNs) {
                    long wait = (long) (due - System.nanoTime());
                    if (wait > 0) Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
                    int status = c.status(name.hashCode() + 1000 * index + i, 100, 3);
                    synchronized (this) {
                        asked++;
                        if (status == 200) handled++;
                    }
                }
            } catch (java.io.IOException | InterruptedException e) {
                stopped = true;
            }
        }
    }

    /** Searches for the costliest request of each function: keeps mutations that raise the steps, then times it. */
    private static void worst() throws Exception {
        String[] functions = {"target == 'aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa'", "starts(target, 'aaaaaaaa')",
            "ends(target, 'aaaaaaaa')", "contains(target, 'aaaaaaab')", "(split(target, 'aab', 8)[7] ?? '') == 'x'",
            "(decimal(first(target, 19)) ?? 0) > 1", "(hex(first(target, 16)) ?? 0) > 1", "lower(target) == 'x'",
            "hash(target) == 1", "bucket(target, 7) == 1",
            "target + target == 'x'", "matches(target, '(a|aa)+b')", "matches(target, '^(a?){20}a{20}$')",
            "target in ['aaaa', 'aaab', 'aaac']", "in_cidr(client, 'fd00::/120')"};
        System.out.println("| expression | steps foreseen | most steps found | of foreseen | slowest, ns "
            + "| ns a foreseen step |");
        System.out.println("| --- | --- | --- | --- | --- | --- |");
        for (String text : functions) {
            Inputs in = new Inputs().add("target", Type.bytes(256), 0, Inputs.Overflow.TRUNCATE, true)
                .add("client", Type.ADDRESS, 1, Inputs.Overflow.TRUNCATE, true);
            Program program = new Program(in);
            Program.Expression expression = program.compile(text, 1_000_000);
            Frame frame = new Frame(program);
            byte[] client = new byte[16];
            client[0] = (byte) 0xfd;
            SplittableRandom random = new SplittableRandom(1);
            byte[] best = "a".repeat(256).getBytes(StandardCharsets.ISO_8859_1);
            long maxSteps = 0;
            double slowest = 0;
            byte[] candidate = best.clone();
            for (int i = 0; i < 20_000; i++) {
                byte[] target = candidate;
                frame.begin((number, into, slot) -> into.put(slot, number == 0 ? target : client, 0,
                    number == 0 ? target.length : 16), 0);
                expression.evaluateBoolean(frame);
                if (frame.steps() >= maxSteps) {
                    maxSteps = frame.steps();
                    best = candidate;
                }
                candidate = best.clone();
                for (int k = 0; k <= random.nextInt(4); k++) {
                    candidate[random.nextInt(candidate.length)] = (byte) "ab9F/\u0000\u00ff".charAt(random.nextInt(7));
                }
            }
            byte[] costliest = best;
            for (int i = 0; i < 30; i++) {
                long t = System.nanoTime();
                for (int k = 0; k < 2000; k++) {
                    frame.begin((number, into, slot) -> into.put(slot, number == 0 ? costliest : client, 0, number == 0
                        ? costliest.length : 16), 0);
                    expression.evaluateBoolean(frame);
                }
                double ns = (System.nanoTime() - t) / 2000.0;
                slowest = i < 10 ? 0 : Math.max(slowest, ns);
            }
            System.out.printf(Locale.ROOT, "| `%s` | %d | %d | %.2f | %.0f | %.2f |%n", text.replace("|", "\\|"),
                expression.worstCaseSteps(), maxSteps, maxSteps / (double) expression.worstCaseSteps(), slowest,
                slowest / expression.worstCaseSteps());
        }
    }
}
