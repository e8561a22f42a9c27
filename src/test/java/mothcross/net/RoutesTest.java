package mothcross.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.*;
import mothcross.route.RouteRules;
import mothcross.standin.FakeClients;
import mothcross.standin.FakeNode;
import org.testng.annotations.Test;

/** Routes in a real director on sockets: what clients get, where lookups go, and tables exchanged under load. */
@Test(timeOut = 60_000)
public class RoutesTest {
    private static RouteRules rules(RouteRules.Rule... all) {
        return new RouteRules(2000, 100_000, Map.of("header:X-Office",
            new RouteRules.InputDeclaration(16, true, true)), Map.of(), List.of(all));
    }

    private static RouteRules.Rule rule(String name, String match, String key, int hops, int status,
        RouteRules.RateLimit limit) {
        return new RouteRules.Rule(name, match, null, key, 1, hops, status, limit);
    }

    /** The answer's head to a request with these header lines. */
    private static String ask(int port, String target, String headers) throws Exception {
        try (java.net.Socket s = new java.net.Socket("127.0.0.1", port)) {
            s.setSoTimeout(8000);
            s.getOutputStream().write(("GET " + target + " HTTP/1.1\r\nReq-Id: " + String.format("%016x",
                System.nanoTime())
                + "\r\n" + headers + "Connection: close\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            return new String(s.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    public void clientsGetWhatTheRulesSay() throws Exception {
        try (Fleet f = new Fleet(3)) {
            DirectorServer d = f.directorWithRoutes("d1", rules(rule("shut", "starts(object, 'ff')", null, -1, 403, null),
                rule("one", "starts(object, 'aa')", "first(object, 2)", -1, 0, null),
                rule("held", "(header('X-Office') ?? '') != ''", null, -1, 0,
                    new RouteRules.RateLimit("header('X-Office') ?? ''", 0.5, 2, 64))));
            assertTrue(ask(d.port(), "/api/v2/books/ff01", "").startsWith("HTTP/1.1 403 "));
            for (int i = 0; i < 12; i++) assertTrue(ask(d.port(), "/api/v2/books/aa" + i,
                "").startsWith("HTTP/1.1 200 "));
            Set<String> asked = new HashSet<>();
            for (FakeNode b : f.caches) for (FakeNode.Arrival a : b.arrivals()) asked.add(b.id() + " "
                + a.line().replaceAll(".*via=|,tier.*", ""));
            assertEquals(asked.size(), 1, "twelve objects of one key, one cache and one parent: " + asked);
            for (FakeNode b : f.caches) {
                for (FakeNode.Arrival a : b.arrivals()) assertTrue(a.line().contains("asset=aa"), "sent unchanged");
            }
            for (int i = 0; i < 2; i++) assertTrue(ask(d.port(), "/api/v2/books/01",
                "X-Office: muc\r\n").startsWith("HTTP/1.1 200 "));
            String held = ask(d.port(), "/api/v2/books/01", "x-office: muc\r\n");
            assertTrue(held.startsWith("HTTP/1.1 429 ") && held.contains("Srv-Wait-Ms: 1000\r\n"), held);
            assertTrue(ask(d.port(), "/api/v2/books/01", "X-Office: lech\r\n").startsWith("HTTP/1.1 200 "));
            assertTrue(ask(d.port(), "/api/v2/books/01", "X-Office: " + "x".repeat(17)
                + "\r\n").startsWith("HTTP/1.1 431 "));
            assertTrue(ask(d.port(), "/api/v2/books/01",
                "X-Office: muc\r\nX-Office: lech\r\n").startsWith("HTTP/1.1 429 "),
                "the first of two counts");
            assertTrue(ask(d.port(), "/api/v2/books/01", "X-Office: \u00ff\t\u0080\r\n").startsWith("HTTP/1.1 200 "));
        }
    }

    /** No further hop where a rule takes them all: the failure of the first is the end. */
    public void furtherHopsAreNarrowed() throws Exception {
        try (Fleet f = new Fleet(2)) {
            DirectorServer d = f.directorWithRoutes("d1", rules(rule("none", "true", "'x'", 0, 0, null)));
            assertTrue(ask(d.port(), "/api/v2/books/01", "").startsWith("HTTP/1.1 200 "));
            FakeNode first = f.caches.get(0).arrivalCount() > 0 ? f.caches.get(0) : f.caches.get(1);
            first.stop();
            String answer = ask(d.port(), "/api/v2/books/01", "");
            assertTrue(answer.startsWith("HTTP/1.1 503 "), answer);
            assertEquals(f.caches.get(0).arrivalCount() + f.caches.get(1).arrivalCount(), 1);
        }
    }

    /**
     * A hundred tables, valid and refused in turn, under load: one final answer each, served by the one table and
     * refused by the other, never by a rule that neither reaches. That no lookup meets two tables rests on the one
     * reference that is exchanged under the desk's lock; not every table half exchanged would show here.
     */
    public void tablesAreExchangedUnderLoad() throws Exception {
        try (Fleet f = new Fleet(2)) {
            RouteRules a = rules(rule("even", "starts(object, '0000')", null, -1, 403, null),
                rule("odd", "true", "'k'", 1, 0, null));
            RouteRules b = rules(rule("even", "starts(object, '0000')", null, -1, 0, null),
                rule("odd", "true", null, -1, 404, null));
            RouteRules bad = rules(rule("even", "starts(object, 7)", null, -1, 0, null), rule("odd",
                "contains(target, 'x')", null, -1, 0, null));
            DirectorServer d = f.directorWithRoutes("d1", a);
            StartupConfig told = f.startupConfig("d1");
            try (FakeClients load = new FakeClients(d.port(), 6, 0, 10, 0)) {
                load.awaitHandled(0);
                Fleet.awaitTrue("asked", () -> load.asked.get() > 100);
                for (int i = 0; i < 100; i++) {
                    RouteRules next = i % 3 == 2 ? bad : i % 3 == 1 ? b : a;
                    String fault = "";
                    try {
                        d.reload(told, f.membershipSettings("d1", Fleet.AGES), next);
                    } catch (StartupConfig.InvalidConfigException e) {
                        fault = e.getMessage();
                    }
                    assertEquals(fault.contains("rules[0].match") && fault.contains("rules[1].match"), next == bad,
                        "all faults: " + fault);
                    int asked = load.asked.get();
                    Fleet.awaitTrue("more are asked", () -> load.asked.get() >= asked + 20);
                }
                // Objects are numbered from 0 in eight digits, so all begin with 0000 until 65,536 were asked.
                assertEquals(load.refused.get(), 0, "neither table turns anything away for load");
                assertTrue(load.handled.get() > 100 && load.failed.get() > 100, load.handled + " " + load.failed);
                String line = d.dispatcher().activeRoutes.line();
                assertTrue(line.contains("even ") && !line.contains("odd "), line);
            }
            for (String c : List.of("faults", "broken", "unanswered")) {
                assertEquals(Counters.class.getDeclaredField(c).getLong(d.dispatcher().counters), 0, c);
            }
        }
    }

    /** The program: a table with its costs, faults with carets, what takes a request,
        and the shell on its own loader. */
    public void theProgramExplains() throws Exception {
        java.nio.file.Path dir = java.nio.file.Files.createTempDirectory("mothcross");
        String good = "{routes: {rules: [{name: 'a', match: \"starts(object, '0a')\", "
            + "key: 'first(object, 1)', hops: 1}]}}";
        String own = java.nio.file.Files.writeString(dir.resolve("own.jsonnet"), good).toString();
        String bad = java.nio.file.Files.writeString(dir.resolve("bad.jsonnet"), good.replace("'0a'",
            "part")).toString();
        Object[][] cases = {
            {0, "1 rules; a request costs at most \\d+ steps.*a: match at most \\d+ steps.*", "", List.of("expr",
                "check", own)},
            {2, ".*routes.rules\\[0\\].match: line 1, column 16: a constant text is expected.*\\^\\^\\^\\^.*", "",
                List.of("expr", "check", bad)},
            {2, ".*line 1, column 16.*", "", List.of("check", "--operators", bad)},
            {0, "rule: a.*further hops 1.*stands = true.*key '0'.*", "",
                List.of("expr", "explain", own, "--target", "/api/v2/books/0a77/piece-1")},
            {0, "rule: none.*", "", List.of("expr", "explain", own, "--target", "/api/v2/books/77/piece-1")},
            {0, ".*ns a request with 1 rules.*", "", List.of("expr", "bench", own, "--target",
                "/api/v2/books/0a/piece-1")},
            {0, ".*3 +int, .*may be absent.*'7'.*",
                "1 + 2\nheader('X') == 'a'\n:header X: 7\nheader('X') ?? ''\n:quit\n",
                List.of("expr", "shell")},
        };
        for (Object[] c : cases) {
            List<?> args = (List<?>) c[3];
            Process p = ServeTest.Outside.builder(args.toArray(String[]::new)).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.PIPE).start();
            try (java.io.OutputStream in = p.getOutputStream()) {
                in.write(((String) c[2]).getBytes(StandardCharsets.UTF_8));
            }
            String said = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(p.waitFor(), c[0], args + said);
            assertTrue(said.replace('\n', ' ').matches((String) c[1]), args + said);
        }
    }
}
