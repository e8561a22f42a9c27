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
 * The measurements of routes on loopback: {@code director} (lookups a second and the time to the first hop with no
 * rules, 10
 * and 1,000), {@code overload} (one key asks ten times its share at three directors), {@code worst} (hostile requests
 * searched
 * for each function, against the steps foreseen). Never part of CI; its tables stand in docs/measured/routes.md.
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
            for (int n : new int[] {0, 10, 1000}) {
                try (Fleet f = new Fleet(4)) {
                    DirectorServer d = n == 0 ? f.directorWithRoutes("d1", (RouteRules) null) : f.directorWithRoutes("d1", table(n));
                    double rate;
                    try (FakeClients load = new FakeClients(d.port(), 16, 0, 1, 0)) {
                        load.awaitHandled(20_000);
                        int before = load.handled.get();
                        long begun = System.nanoTime();
                        Thread.sleep(6000);
                        rate = (load.handled.get() - before) / ((System.nanoTime() - begun) / 1e9);
                    }
                    double[] hop = new double[2000];
                    try (FakeClients.Client c = new FakeClients.Client(d.port())) {
                        for (int i = 0; i < hop.length; i++) {
                            int seen = total(f);
                            long t = System.nanoTime();
                            c.send(500_000 + i, 1, 3);
                            while (total(f) == seen) Thread.onSpinWait();
                            hop[i] = (System.nanoTime() - t) / 1e6;
                            c.status();
                        }
                    }
                    Arrays.sort(hop);
                    if (round == 1) {
                        System.out.printf(Locale.ROOT, "| %d | %.0f | %.3f | %.3f |%n", n, rate, hop[1000], hop[1980]);
                    }
                }
            }
        }
    }

    private static int total(Fleet f) {
        int n = 0;
        for (FakeNode b : f.caches) n += b.arrivalCount();
        return n;
    }

    /** Ten offices of 20 lookups a second each; from the middle on one asks 200. Three directors,
        caches of 60 in all. */
    private static void overload() throws Exception {
        System.out.println("| limit | others' handled share before | and while one key asks ten times its "
            + "share | its own |");
        System.out.println("| --- | --- | --- | --- |");
        for (boolean limited : new boolean[] {false, true}) {
            RouteRules.RateLimit held = new RouteRules.RateLimit("header('X-Office') ?? ''", 30, 30, 256);
            RouteRules rules = rules(List.of(new RouteRules.Rule("office", "has(header('X-Office'))", null, null, 1,
                -1, 0, limited ? held : null)));
            try (Fleet f = new Fleet(2)) {
                f.configParameters.put("directors", "3");
                for (FakeNode b : f.caches) b.limitRate(110);
                List<DirectorServer> three = List.of(f.directorWithRoutes("d1", rules), f.directorWithRoutes("d2", rules),
                    f.directorWithRoutes("d3", rules));
                List<Office> others = new ArrayList<>();
                for (int i = 0; i < 9; i++) others.add(new Office("office-" + i, three, 20));
                Thread.sleep(2000);
                double[] before = share(others, 5000);
                Office greedy = new Office("office-9", three, 200);
                Thread.sleep(1000);
                double[] all = share(others, 6000);
                System.out.printf(Locale.ROOT, "| %s | %.3f | %.3f | %.3f |%n", limited ? "30 a second and at once"
                    : "none", before[0],
                    all[0], greedy.handled / (double) greedy.asked);
                for (Office o : others) o.over = true;
                greedy.over = true;
                Thread.sleep(500);
            }
        }
    }

    private static double[] share(List<Office> of, long ms) throws InterruptedException {
        int asked = of.stream().mapToInt(o -> o.asked).sum(), handled = of.stream().mapToInt(o -> o.handled).sum();
        Thread.sleep(ms);
        return new double[] {(of.stream().mapToInt(o -> o.handled).sum() - handled)
            / (double) (of.stream().mapToInt(o -> o.asked).sum() - asked)};
    }

    /** An office that asks so many a second, spread over the directors, whatever it is answered. */
    private static final class Office {
        volatile int asked, handled;
        volatile boolean over;

        Office(String name, List<DirectorServer> at, int perS) {
            int threads = Math.max(3, perS / 5);
            for (int i = 0; i < threads; i++) {
                int me = i;
                Thread t = new Thread(() -> run(name, at.get(me % at.size()).port(), 1e9 * threads / perS, me), name);
                t.setDaemon(true);
                t.start();
            }
        }

        private void run(String name, int port, double everyNs, int me) {
            try (FakeClients.Client c = new FakeClients.Client(port)) {
                c.header = "X-Office: " + name + "\r\n";
                double due = System.nanoTime() + everyNs * new SplittableRandom(me).nextDouble();
                for (int i = 0; !over; i++, due += everyNs) {
                    long wait = (long) (due - System.nanoTime());
                    if (wait > 0) Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
                    int status = c.status(name.hashCode() + 1000 * me + i, 100, 3);
                    synchronized (this) {
                        asked++;
                        if (status == 200) handled++;
                    }
                }
            } catch (java.io.IOException | InterruptedException e) {
                over = true;
            }
        }
    }

    /** Climbs to requests that cost each function most: mutates bytes that raise the steps, then the time. */
    private static void worst() throws Exception {
        String[] functions = {"target == 'aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa'", "starts(target, 'aaaaaaaa')",
            "ends(target, 'aaaaaaaa')",
            "contains(target, 'aaaaaaab')", "(split(target, 'aab', 8)[7] ?? '') == 'x'",
                "(decimal(first(target, 19)) ?? 0) > 1",
            "(hex(first(target, 16)) ?? 0) > 1", "lower(target) == 'x'", "hash(target) == 1", "bucket(target, 7) == 1",
            "target + target == 'x'", "matches(target, '(a|aa)+b')", "matches(target, '^(a?){20}a{20}$')",
            "target in ['aaaa', 'aaab', 'aaac']", "in_cidr(client, 'fd00::/120')"};
        System.out.println("| expression | steps foreseen | most steps found | of foreseen | slowest, ns "
            + "| ns a foreseen step |");
        System.out.println("| --- | --- | --- | --- | --- | --- |");
        for (String text : functions) {
            Inputs in = new Inputs().add("target", Type.bytes(256), 0, Inputs.Overflow.TRUNCATE, true)
                .add("client", Type.ADDRESS, 1, Inputs.Overflow.TRUNCATE, true);
            Program p = new Program(in);
            Program.Expression e = p.compile(text, 1_000_000);
            Frame f = new Frame(p);
            byte[] client = new byte[16];
            client[0] = (byte) 0xfd;
            SplittableRandom r = new SplittableRandom(1);
            byte[] best = "a".repeat(256).getBytes(StandardCharsets.ISO_8859_1);
            long most = 0;
            double slowest = 0;
            byte[] now = best.clone();
            for (int i = 0; i < 20_000; i++) {
                byte[] b = now;
                f.begin((number, into, slot) -> into.put(slot, number == 0 ? b : client, 0, number == 0 ? b.length
                    : 16), 0);
                e.evaluateBoolean(f);
                if (f.steps() >= most) {
                    most = f.steps();
                    best = now;
                }
                now = best.clone();
                for (int k = 0; k <= r.nextInt(4); k++) {
                    now[r.nextInt(now.length)] = (byte) "ab9F/\u0000\u00ff".charAt(r.nextInt(7));
                }
            }
            byte[] hard = best;
            for (int i = 0; i < 30; i++) {
                long t = System.nanoTime();
                for (int k = 0; k < 2000; k++) {
                    f.begin((number, into, slot) -> into.put(slot, number == 0 ? hard : client, 0, number == 0
                        ? hard.length : 16), 0);
                    e.evaluateBoolean(f);
                }
                double ns = (System.nanoTime() - t) / 2000.0;
                slowest = i < 10 ? 0 : Math.max(slowest, ns);
            }
            System.out.printf(Locale.ROOT, "| `%s` | %d | %d | %.2f | %.0f | %.2f |%n", text.replace("|", "\\|"),
                e.worstCaseSteps(), most,
                most / (double) e.worstCaseSteps(), slowest, slowest / e.worstCaseSteps());
        }
    }
}
