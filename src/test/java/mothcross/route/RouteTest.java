package mothcross.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.*;
import mothcross.Workload;
import mothcross.expr.Frame;
import mothcross.expr.Inputs;
import org.testng.annotations.Test;

/** Routing tables: faults found at load, outcomes of lookups, rate limits under many keys, hostile requests. */
public class RouteTest {
    private static final int MAX_HOPS = 6;
    private static final Map<String, Integer> WORKLOAD_INDEX =
        new LinkedHashMap<>(Map.of("pages", 0, "cards", 1, "bookings", 2));
    private static final Workload[] WORKLOADS = {
        workload(Workload.Effect.IDEMPOTENT, 0, 0),
        workload(Workload.Effect.IDEMPOTENT, 8000, 20_000),
        workload(Workload.Effect.NON_IDEMPOTENT, 0, 0),
    };

    private static Workload workload(Workload.Effect effect, double freshMs, double staleMs) {
        return new Workload(effect, Workload.DeduplicationScope.ALL, 5000, 400, 2, 3000, 2, 0.15, freshMs, staleMs, 0.5,
            false);
    }

    private static RouteRules.Rule rule(String name, String match, String workload, String key) {
        return new RouteRules.Rule(name, match, workload, key, 1, -1, 0, null);
    }

    private static RouteRules.Rule limitedRule(String name, String match, String key, double ratePerSecond,
                                               double burst, int maxKeys) {
        return new RouteRules.Rule(name, match, null, null, 1, -1, 0,
            new RouteRules.RateLimit(key, ratePerSecond, burst, maxKeys));
    }

    static RouteRules rules(RouteRules.Rule... rules) {
        return new RouteRules(2000, 1_000_000, Map.of(
            "header:X-Office", new RouteRules.InputDeclaration(32, true, true),
            "header:X-Free", new RouteRules.InputDeclaration(64, false, false),
            "target", new RouteRules.InputDeclaration(300, false, true)),
            Map.of("volume", "decimal(split(target, '/', 6)[4] ?? '') ?? -1"), List.of(rules));
    }

    private static RouteTable compile(RouteRules rules, RouteTable previous, List<String> faults) {
        return RouteTable.compile(rules, WORKLOAD_INDEX, WORKLOADS, 1, MAX_HOPS, previous, faults);
    }

    static RouteTable table(RouteRules rules, RouteTable previous) {
        List<String> faults = new ArrayList<>();
        RouteTable table = compile(rules, previous, faults);
        assertTrue(faults.isEmpty(), String.join("\n", faults));
        return table;
    }

    private static byte[] latin1(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A request with a target as sent, and optional X-Office and X-Free headers. */
    static final class Request implements Frame.Request {
        private final byte[] target;
        private final byte[] workload;
        private final byte[] object;
        private final String[] headers;
        byte[] office;
        byte[] free;
        boolean retry;

        Request(String target, RouteTable table) {
            this.target = latin1(target);
            String[] segments = target.split("/", -1);
            workload = latin1(segments.length > 3 ? segments[3] : "");
            object = latin1(segments.length > 4 ? segments[4] : "");
            headers = table.headers();
        }

        @Override public void read(int number, Frame frame, int slot) {
            byte[] value = number >= Inputs.FIRST_HEADER ? headers[number - Inputs.FIRST_HEADER].equals("x-office")
                ? office : free
                : number == RequestInputs.WORKLOAD ? workload : number == RequestInputs.OBJECT ? object
                : number == RequestInputs.TARGET ? target : null;
            if (value != null) frame.put(slot, value, 0, value.length);
            if (number == RequestInputs.RETRY) frame.put(slot, retry ? 1L : 0L);
        }
    }

    private static RouteTable.Outcome route(RouteTable table, String target, String office, double now) {
        Request request = new Request(target, table);
        if (office != null) request.office = latin1(office);
        return table.route(request, 0, MAX_HOPS, now);
    }

    /** Each invalid rule is rejected with exactly one fault, whose text is checked. */
    @Test public void invalidRulesAreRejected() {
        Object[][] cases = {
            {rule("a", "volume == 1", "nowhere", null),
                "routes.rules[0].workload = \"nowhere\" is not in the settings"},
            {rule("a", "workload == 'cards'", "pages", null),
                "\"pages\" takes older copies than \"cards\", which the match admits"},
            {rule("a", "workload == 'bookings'", "cards", null), "\"cards\" may run again than \"bookings\""},
            {rule("a", "workload in ['cards', 'bookings']", "cards", null), "may run again than \"bookings\""},
            {rule("a", "true", null, "wait ?? 1s"), "is to be bytes or an integer, this is duration"},
            {rule("a", "true", null, "header('X-Office')"), "write x ?? '' for when it is absent"},
            {rule("a", "true", null, "if retry then 'a' else object"), ".key reads retry, which may differ"},
            {rule("a", "true", null, "header('X-Free') ?? ''"), ".key reads header:x-free, which may differ"},
            {rule("a", "true", null, "weekday()"), ".key reads the time, which may differ"},
            {rule("a", "true", null, "hash(client)"), ".key reads client, which may differ"},
            {rule("a", "true", null, "header('X-Other') ?? ''"), "has no bound, its cost would grow"},
            {rule("a", "object", null, null), "is to be a truth, this is bytes"},
            {rule("a", "group == 1", null, null), "line 1, column 1: may be absent"},
            {rule("a", "contains(first(target, 300), '" + "x".repeat(40) + "')", null, null), "the budget is 2000"},
            {new RouteRules.Rule("a", "true", null, null, 1, 6, 0, null),
                ".hops = 6 is no narrowing; the settings allow 5"},
        };
        for (Object[] c : cases) {
            RouteRules.Rule rule = (RouteRules.Rule) c[0];
            String expected = (String) c[1];
            List<String> faults = new ArrayList<>();
            assertNull(compile(rules(rule), null, faults), "compiled, without: " + expected);
            assertTrue(faults.size() == 1 && faults.get(0).contains(expected), faults + " for " + expected);
        }
    }

    /** All faults of a table are reported at once. */
    @Test public void allFaultsAreReported() {
        List<String> faults = new ArrayList<>();
        RouteRules rules = new RouteRules(2000, 1_000_000, Map.of("nothing",
            new RouteRules.InputDeclaration(3, true, true)), Map.of("x", "1 +", "Y", "2"),
            List.of(rule("a", "1", null, null), rule("a", "true", null, "retry"), rule("b", "x", null, null)));
        assertNull(compile(rules, null, faults));
        assertEquals(faults.size(), 7, "all at once: " + String.join("\n", faults));
    }

    /** A table whose worst-case cost exceeds the budget of a request is rejected. */
    @Test public void tooCostlyTableIsRejected() {
        List<String> faults = new ArrayList<>();
        RouteRules costly = new RouteRules(2000, 300, rules().inputs(), rules().definitions(),
            List.of(rule("a", "volume == 1", null, null)));
        assertNull(compile(costly, null, faults));
        assertTrue(faults.get(0).startsWith("routes: one request could cost "), faults.toString());
    }

    /** The first matching rule decides the outcome: workload, placement key, hops, importance, rejection, limit. */
    @Test public void firstMatchingRuleDecides() {
        RouteTable table = table(rules(
            rule("range", "workload == 'pages' && volume in 100..199", "cards", "first(object, 2)"),
            new RouteRules.Rule("low", "volume in 200..299", null, null, 0.25, 1, 0, null),
            new RouteRules.Rule("blocked", "starts(object, 'ff')", null, null, 1, -1, 403, null),
            limitedRule("limited", "(header('X-Office') ?? '') != ''", "header('X-Office') ?? ''", 2, 2, 64)), null);
        RouteTable.Outcome outcome = route(table, "/api/v2/pages/150/piece-1", null, 0);
        assertEquals(table.name(outcome.rule) + outcome.workload + outcome.hasPlacementKey + outcome.status
            + outcome.maxHops, "range1true06");
        long placementKey = outcome.placementKey;
        assertEquals(route(table, "/api/v2/pages/159/piece-7", null, 0).placementKey, placementKey,
            "the same first two digits, the same placement");
        assertTrue(route(table, "/api/v2/pages/160/piece-7", null, 0).placementKey != placementKey);
        outcome = route(table, "/api/v2/pages/250/piece-1", null, 0);
        assertEquals(table.name(outcome.rule) + outcome.workload + outcome.hasPlacementKey + outcome.maxHops
            + outcome.importanceShare, "low0false20.25");
        // Percent-encoding is not decoded, so this is no number and no rule for numbers matches it.
        assertEquals(table.name(route(table, "/api/v2/pages/1%350/piece-1", null, 0).rule), "none");
        outcome = route(table, "/api/v2/pages/ff00/piece-1", null, 0);
        assertEquals(outcome.status + outcome.reason, "403rule");
        for (int i = 0; i < 2; i++) assertEquals(route(table, "/api/v2/pages/1/", "muc", 1000).status, 0);
        outcome = route(table, "/api/v2/pages/1/", "muc", 1000);
        assertEquals(outcome.status + outcome.reason + outcome.retryAfterMs, "429limit500.0");
        assertEquals(route(table, "/api/v2/pages/1/", "lech", 1000).status, 0, "another key");
        assertEquals(route(table, "/api/v2/pages/1/", "muc", 1500).status, 0, "at the time that retryAfterMs named");
        outcome = route(table, "/api/v2/pages/1/", "m".repeat(33), 1500);
        assertEquals(outcome.status + outcome.reason, "431header:x-office");
        String line = table.line();
        assertTrue(line.contains("limited 6 (held back 1)") && line.contains("too long 1"), line);
    }

    /** Limiters keep their state over a reload where rule name and key are the same; a rejected table has no effect. */
    @Test public void rateLimitsSurviveReload() {
        RouteRules.Rule limited = limitedRule("limited", "true", "header('X-Office') ?? ''", 1, 1, 64);
        RouteTable table = table(rules(limited), null);
        assertEquals(route(table, "/x", "muc", 0).status, 0);
        RouteRules.Rule faster = limitedRule("limited", "true", "header('X-Office') ?? ''", 1000, 1, 64);
        assertNull(compile(rules(faster, rule("b", "1", null, null)), table, new ArrayList<>()));
        assertEquals(route(table, "/x", "muc", 10).status, 429, "the rate of the rejected table is not in force");
        RouteTable reloaded = table(rules(rule("first", "false", null, null), limited), table);
        assertEquals(route(reloaded, "/x", "muc", 20).status, 429);
        assertEquals(route(reloaded, "/x", "muc", 1000).status, 0);
        RouteTable otherKey = table(rules(limitedRule("limited", "true", "object", 1, 1, 64)), reloaded);
        assertEquals(route(otherKey, "/x", "muc", 1010).status, 0, "another key, other buckets");
    }

    /** Rate and burst follow the director's share; 0 lets nothing pass, and used tokens stay used. */
    @Test public void rateLimitFollowsShare() {
        RateLimiter limiter = new RateLimiter(10, 8, 64);
        limiter.setShare(0);
        assertEquals(limiter.acquire(7, 0), Double.POSITIVE_INFINITY, "nothing passes");
        limiter.setShare(1.25);
        int passed = 0;
        for (int i = 0; i < 1000; i++) if (limiter.acquire(9, 1000) == 0) passed++;
        assertEquals(passed, 10, "burst");
        for (int i = 0; i < 1000; i++) if (limiter.acquire(9, 1000 + i) == 0) passed++;
        assertEquals(passed, 22, "12.5 a second");
        limiter.setShare(1);
        for (int i = 0; i < 1000; i++) if (limiter.acquire(9, 2000 + i) == 0) passed++;
        assertTrue(passed >= 31 && passed <= 33, "10 a second again: " + passed);
    }

    /**
     * A million distinct keys pass through memory for 4,096: the memory does not grow, a key that always asks for ten
     * times its rate gets its rate, and one at half its rate is never limited.
     */
    @Test public void floodOfKeysDoesNotAffectOthers() {
        RateLimiter limiter = new RateLimiter(1, 5, 4096);
        SplittableRandom random = new SplittableRandom(3);
        int greedyPassed = 0;
        int modestPassed = 0;
        int modestAsked = 0;
        double now = 0;
        for (int i = 0; i < 1_000_000; i++, now += 0.1) {
            limiter.acquire(random.nextLong(), now);
            if (i % 1000 == 0 && limiter.acquire(77, now) == 0) greedyPassed++;     // 10 a second
            if (i % 20_000 == 0) {                                                  // one every two seconds
                modestAsked++;
                if (limiter.acquire(78L << 40, now) == 0) modestPassed++;
            }
        }
        double allowed = now / 1000 + 5;
        assertEquals(limiter.capacity(), 4096);
        assertTrue(greedyPassed >= allowed - 3 && greedyPassed <= 1.05 * allowed, greedyPassed + " of " + allowed);
        assertEquals(modestPassed, modestAsked, "limited though within its rate");
        assertTrue(limiter.evictions() > 100_000 && limiter.limitedKeys(now) <= 4096, limiter.evictions()
            + " evictions, " + limiter.limitedKeys(now) + " limited keys");
    }

    /** A key within its rate always passes, whatever the other keys do: random histories against exact buckets. */
    @Test public void neverStricterThanExactBuckets() {
        for (long seed = 1; seed <= 50; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            RateLimiter limiter = new RateLimiter(5, 3, 16);
            Map<Long, double[]> exactBuckets = new LinkedHashMap<>();       // tokens, time of the last update
            double now = 0;
            int excess = 0;
            for (int i = 0; i < 5000; i++) {
                now += random.nextDouble() * 20;
                long key = mix(random.nextInt(60));
                double[] bucket = exactBuckets.computeIfAbsent(key, k -> new double[] {3, 0});
                bucket[0] = Math.min(3, bucket[0] + (now - bucket[1]) * 5 / 1000);
                bucket[1] = now;
                boolean withinRate = bucket[0] >= 1 + 1e-9;
                boolean passed = limiter.acquire(key, now) == 0;
                assertTrue(passed || !withinRate, "seed " + seed + ": limited within its rate");
                if (passed) bucket[0]--;                    // also where the limiter let too much pass
                if (passed && !withinRate) excess++;
            }
            assertTrue(excess < 5000);
        }
    }

    private static long mix(long x) {
        return (x + 1) * 0x9e3779b97f4a7c15L ^ x << 33;
    }

    private static final String[] HOSTILE_TARGETS = {"/".repeat(8000), "/api/v2/pages/" + "9".repeat(8000),
        "/api/v2/" + "\u0000\u00ff".repeat(3000), "/api/v2/pages/%31%35%30/piece-1", "/api/v2/pages/150/piece-1", "",
        "/api/v2//////150", "a".repeat(8000)};

    /** Requests at their size limits take no more steps than the worst case, and after warm-up allocate nothing. */
    @Test public void hostileRequestsStayWithinWorstCase() {
        List<RouteRules.Rule> rules = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            String match = switch (i % 4) {
                case 0 -> "volume in " + i + ".." + (i + 3) + " && workload != 'pages'";
                case 1 -> "starts(object, '" + i + "') && lower(first(target, 200)) == 'x'";
                case 2 -> "contains(first(target, 100), '//" + i + "')";
                default -> "(header('X-Free') ?? '') in ['a" + i + "']";
            };
            rules.add(rule("r" + i, match, null, i % 3 == 0 ? "lower(object) + '" + i + "'" : null));
        }
        RouteTable table = table(rules(rules.toArray(RouteRules.Rule[]::new)), null);
        List<Request> requests = new ArrayList<>();
        for (String target : HOSTILE_TARGETS) {
            Request request = new Request(target, table);
            request.office = "x".repeat(20).getBytes();
            request.free = latin1(target);
            requests.add(request);
        }
        for (int i = 0; i < 3000; i++) {
            table.route(requests.get(i % requests.size()), 0, MAX_HOPS, i);
            assertTrue(table.steps() <= table.worstCaseSteps(), table.steps() + " of " + table.worstCaseSteps());
        }
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long threadId = Thread.currentThread().getId();
        long before = threads.getThreadAllocatedBytes(threadId);
        long ofMeasurement = threads.getThreadAllocatedBytes(threadId) - before;
        before = threads.getThreadAllocatedBytes(threadId);
        for (int i = 0; i < 10_000; i++) table.route(requests.get(i % requests.size()), 0, MAX_HOPS, i);
        long bytes = threads.getThreadAllocatedBytes(threadId) - before - ofMeasurement;
        assertTrue(bytes < 10_000, bytes + " bytes in 10,000 requests");
        assertNotNull(table.explain(requests.get(4), 0, 0));
    }
}
