package mothcross.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.*;
import mothcross.route.RouteRules;
import mothcross.standin.FakeClients;
import mothcross.standin.FakeNode;
import org.testng.annotations.Test;

/** Routing rules in a director on sockets: answers to clients, placement of lookups, and reloads under load. */
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
        try (java.net.Socket socket = new java.net.Socket("127.0.0.1", port)) {
            socket.setSoTimeout(8000);
            socket.getOutputStream().write(("GET " + target + " HTTP/1.1\r\nReq-Id: " + String.format("%016x",
                System.nanoTime())
                + "\r\n" + headers + "Connection: close\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    public void appliesRulesToRequests() throws Exception {
        try (Fleet fleet = new Fleet(3)) {
            DirectorServer director = fleet.directorWithRoutes("d1", rules(
                rule("shut", "starts(object, 'ff')", null, -1, 403, null),
                rule("one", "starts(object, 'aa')", "first(object, 2)", -1, 0, null),
                rule("held", "(header('X-Office') ?? '') != ''", null, -1, 0,
                    new RouteRules.RateLimit("header('X-Office') ?? ''", 0.5, 2, 64))));
            assertTrue(ask(director.port(), "/api/v2/books/ff01", "").startsWith("HTTP/1.1 403 "));
            for (int i = 0; i < 12; i++) assertTrue(ask(director.port(), "/api/v2/books/aa" + i,
                "").startsWith("HTTP/1.1 200 "));
            Set<String> placements = new HashSet<>();
            for (FakeNode node : fleet.caches) {
                for (FakeNode.Arrival arrival : node.arrivals()) {
                    placements.add(node.id() + " " + arrival.line().replaceAll(".*via=|,tier.*", ""));
                }
            }
            assertEquals(placements.size(), 1, "twelve objects of one key, one cache and one parent: " + placements);
            for (FakeNode node : fleet.caches) {
                for (FakeNode.Arrival arrival : node.arrivals()) {
                    assertTrue(arrival.line().contains("asset=aa"), "sent unchanged");
                }
            }
            for (int i = 0; i < 2; i++) assertTrue(ask(director.port(), "/api/v2/books/01",
                "X-Office: muc\r\n").startsWith("HTTP/1.1 200 "));
            String limited = ask(director.port(), "/api/v2/books/01", "x-office: muc\r\n");
            assertTrue(limited.startsWith("HTTP/1.1 429 ") && limited.contains("Srv-Wait-Ms: 1000\r\n"), limited);
            assertTrue(ask(director.port(), "/api/v2/books/01", "X-Office: lech\r\n").startsWith("HTTP/1.1 200 "));
            assertTrue(ask(director.port(), "/api/v2/books/01", "X-Office: " + "x".repeat(17)
                + "\r\n").startsWith("HTTP/1.1 431 "));
            assertTrue(ask(director.port(), "/api/v2/books/01",
                "X-Office: muc\r\nX-Office: lech\r\n").startsWith("HTTP/1.1 429 "),
                "the first of two counts");
            assertTrue(ask(director.port(), "/api/v2/books/01", "X-Office: \u00ff\t\u0080\r\n")
                .startsWith("HTTP/1.1 200 "));
        }
    }

    /** A rule without further hops: the lookup fails with its first hop. */
    public void failsWithTheFirstHopWhereARuleAllowsNoOther() throws Exception {
        try (Fleet fleet = new Fleet(2)) {
            DirectorServer director = fleet.directorWithRoutes("d1", rules(rule("none", "true", "'x'", 0, 0, null)));
            assertTrue(ask(director.port(), "/api/v2/books/01", "").startsWith("HTTP/1.1 200 "));
            boolean firstWasAsked = fleet.caches.get(0).arrivalCount() > 0;
            FakeNode first = firstWasAsked ? fleet.caches.get(0) : fleet.caches.get(1);
            first.stop();
            long hopsBefore = hops(director);
            String answer = ask(director.port(), "/api/v2/books/01", "");
            assertTrue(answer.startsWith("HTTP/1.1 503 "), answer);
            assertEquals(hops(director) - hopsBefore, 1, "hops made for the second request");
            assertEquals(fleet.caches.get(0).arrivalCount() + fleet.caches.get(1).arrivalCount(), 1);
        }
    }

    private static long hops(DirectorServer director) {
        director.dispatcher().enter();
        try {
            return director.dispatcher().counters.hops;
        } finally {
            director.dispatcher().leave();
        }
    }

    /**
     * A hundred reloads under load, with valid and invalid tables in turn: each request gets one final answer, is
     * served under one table and rejected under the other, and never by a rule that neither table reaches. A table
     * is swapped as one reference under the dispatcher's lock; this test would not show every partial swap.
     */
    public void reloadsTablesUnderLoad() throws Exception {
        try (Fleet fleet = new Fleet(2)) {
            RouteRules rejectsEven = rules(rule("even", "starts(object, '0000')", null, -1, 403, null),
                rule("odd", "true", "'k'", 1, 0, null));
            RouteRules servesEven = rules(rule("even", "starts(object, '0000')", null, -1, 0, null),
                rule("odd", "true", null, -1, 404, null));
            RouteRules invalid = rules(rule("even", "starts(object, 7)", null, -1, 0, null), rule("odd",
                "contains(target, 'x')", null, -1, 0, null));
            DirectorServer director = fleet.directorWithRoutes("d1", rejectsEven);
            StartupConfig config = fleet.startupConfig("d1");
            try (FakeClients load = new FakeClients(director.port(), 6, 0, 10, 0)) {
                load.awaitHandled(0);
                Fleet.awaitTrue("asked", () -> load.asked.get() > 100);
                for (int i = 0; i < 100; i++) {
                    RouteRules next = i % 3 == 2 ? invalid : i % 3 == 1 ? servesEven : rejectsEven;
                    String error = "";
                    try {
                        director.reload(config, fleet.membershipSettings("d1", Fleet.AGES), next);
                    } catch (StartupConfig.InvalidConfigException e) {
                        error = e.getMessage();
                    }
                    assertEquals(error.contains("rules[0].match") && error.contains("rules[1].match"), next == invalid,
                        "all errors: " + error);
                    int asked = load.asked.get();
                    Fleet.awaitTrue("more are asked", () -> load.asked.get() >= asked + 20);
                }
                // Objects are numbered from 0 in eight digits, so all begin with 0000 until 65,536 were asked.
                assertEquals(load.refused.get(), 0, "neither table rejects for load");
                assertTrue(load.handled.get() > 100 && load.failed.get() > 100, load.handled + " " + load.failed);
                String line = director.dispatcher().activeRoutes.line();
                assertTrue(line.contains("even ") && !line.contains("odd "), line);
            }
            for (String counter : List.of("faults", "broken", "unanswered")) {
                long value = Counters.class.getDeclaredField(counter).getLong(director.dispatcher().counters);
                assertEquals(value, 0, counter);
            }
        }
    }

    /** The expr commands: costs of a table, errors with carets, the rule of a request, and the shell's class loader. */
    public void exprCommandsExplainRulesAndErrors() throws Exception {
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
        for (Object[] example : cases) {
            List<?> args = (List<?>) example[3];
            Process process = ServeTest.Outside.builder(args.toArray(String[]::new)).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.PIPE).start();
            try (java.io.OutputStream in = process.getOutputStream()) {
                in.write(((String) example[2]).getBytes(StandardCharsets.UTF_8));
            }
            String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(process.waitFor(), example[0], args + output);
            assertTrue(output.replace('\n', ' ').matches((String) example[1]), args + output);
        }
    }
}
