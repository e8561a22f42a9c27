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

/** Tables of rules: what is refused at load, what a lookup becomes, limits under many keys, hostile heads. */
public class RouteTest {
    private static final Map<String, Integer> NAMES = new LinkedHashMap<>(Map.of("pages", 0, "cards", 1, "bookings",
        2));
    private static final Workload[] ALL = {workload(Workload.Effect.IDEMPOTENT, 0, 0),
        workload(Workload.Effect.IDEMPOTENT, 8000,
        20_000), workload(Workload.Effect.NON_IDEMPOTENT, 0, 0)};

    private static Workload workload(Workload.Effect effect, double fresh, double stale) {
        return new Workload(effect, Workload.DeduplicationScope.ALL, 5000, 400, 2, 3000, 2, 0.15, fresh, stale, 0.5,
            false);
    }

    private static RouteRules.Rule rule(String name, String match, String workload, String key) {
        return new RouteRules.Rule(name, match, workload, key, 1, -1, 0, null);
    }

    private static RouteRules.Rule held(String name, String match, String key, double perS, double atOnce, int keys) {
        return new RouteRules.Rule(name, match, null, null, 1, -1, 0,
            new RouteRules.RateLimit(key, perS, atOnce, keys));
    }

    static RouteRules rules(RouteRules.Rule... all) {
        return new RouteRules(2000, 1_000_000, Map.of(
            "header:X-Office", new RouteRules.InputDeclaration(32, true, true),
            "header:X-Free", new RouteRules.InputDeclaration(64, false, false),
            "target", new RouteRules.InputDeclaration(300, false, true)),
            Map.of("volume", "decimal(split(target, '/', 6)[4] ?? '') ?? -1"), List.of(all));
    }

    static RouteTable table(RouteRules rules, RouteTable before) {
        List<String> faults = new ArrayList<>();
        RouteTable t = RouteTable.compile(rules, NAMES, ALL, 1, 6, before, faults);
        assertTrue(faults.isEmpty(), String.join("\n", faults));
        return t;
    }

    /** A request of the test: a target as sent, and one header X-Office and X-Free each. */
    static final class Request implements Frame.Request {
        private final byte[] target, workload, object;
        byte[] office, free;
        private final String[] headers;
        boolean retry;

        Request(String target, RouteTable t) {
            this.target = target.getBytes(StandardCharsets.ISO_8859_1);
            String[] p = target.split("/", -1);
            workload = (p.length > 3 ? p[3] : "").getBytes(StandardCharsets.ISO_8859_1);
            object = (p.length > 4 ? p[4] : "").getBytes(StandardCharsets.ISO_8859_1);
            headers = t.headers();
        }

        @Override public void read(int number, Frame f, int slot) {
            byte[] b = number >= Inputs.FIRST_HEADER ? headers[number - Inputs.FIRST_HEADER].equals("x-office")
                ? office : free
                : number == RequestInputs.WORKLOAD ? workload : number == RequestInputs.OBJECT ? object
                : number == RequestInputs.TARGET ? target : null;
            if (b != null) f.put(slot, b, 0, b.length);
            if (number == RequestInputs.RETRY) f.put(slot, retry ? 1L : 0L);
        }
    }

    private static RouteTable.Outcome route(RouteTable t, String target, String office, double now) {
        Request r = new Request(target, t);
        if (office != null) r.office = office.getBytes(StandardCharsets.ISO_8859_1);
        return t.route(r, 0, 6, now);
    }

    /** What may not stand in a table, each with the words of the refusal. */
    @Test public void refusedAtLoad() {
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
            List<String> faults = new ArrayList<>();
            assertNull(RouteTable.compile(rules((RouteRules.Rule) c[0]), NAMES, ALL, 1, 6, null, faults), "taken, not: "
                + c[1]);
            assertTrue(faults.size() == 1 && faults.get(0).contains((String) c[1]), faults + " for " + c[1]);
        }
        List<String> all = new ArrayList<>();
        RouteRules many = new RouteRules(2000, 1_000_000, Map.of("nothing",
            new RouteRules.InputDeclaration(3, true, true)), Map.of("x", "1 +", "Y", "2"),
            List.of(rule("a", "1", null, null), rule("a", "true", null, "retry"), rule("b", "x", null, null)));
        assertNull(RouteTable.compile(many, NAMES, ALL, 1, 6, null, all));
        assertEquals(all.size(), 7, "all at once: " + String.join("\n", all));
        List<String> dear = new ArrayList<>();
        RouteRules costly = new RouteRules(2000, 300, rules().inputs(), rules().definitions(),
            List.of(rule("a", "volume == 1", null, null)));
        assertNull(RouteTable.compile(costly, NAMES, ALL, 1, 6, null, dear));
        assertTrue(dear.get(0).startsWith("routes: one request could cost "), dear.toString());
    }

    @Test public void whatALookupBecomes() {
        RouteTable t = table(rules(rule("range", "workload == 'pages' && volume in 100..199", "cards",
            "first(object, 2)"),
            new RouteRules.Rule("few", "volume in 200..299", null, null, 0.25, 1, 0, null),
            new RouteRules.Rule("shut", "starts(object, 'ff')", null, null, 1, -1, 403, null),
            held("held", "(header('X-Office') ?? '') != ''", "header('X-Office') ?? ''", 2, 2, 64)), null);
        RouteTable.Outcome o = route(t, "/api/v2/pages/150/piece-1", null, 0);
        assertEquals(t.name(o.rule) + o.workload + o.hasPlacementKey + o.status + o.maxHops, "range1true06");
        long by = o.placementKey;
        assertEquals(route(t, "/api/v2/pages/159/piece-7", null, 0).placementKey, by,
            "the same two digits, the same place");
        assertTrue(route(t, "/api/v2/pages/160/piece-7", null, 0).placementKey != by);
        o = route(t, "/api/v2/pages/250/piece-1", null, 0);
        assertEquals(t.name(o.rule) + o.workload + o.hasPlacementKey + o.maxHops + o.importanceShare, "few0false20.25");
        // Percent-encoding is not undone: as sent it is no number, and no rule for numbers takes it.
        assertEquals(t.name(route(t, "/api/v2/pages/1%350/piece-1", null, 0).rule), "none");
        o = route(t, "/api/v2/pages/ff00/piece-1", null, 0);
        assertEquals(o.status + o.reason, "403rule");
        for (int i = 0; i < 2; i++) assertEquals(route(t, "/api/v2/pages/1/", "muc", 1000).status, 0);
        o = route(t, "/api/v2/pages/1/", "muc", 1000);
        assertEquals(o.status + o.reason + o.retryAfterMs, "429limit500.0");
        assertEquals(route(t, "/api/v2/pages/1/", "lech", 1000).status, 0, "another key");
        assertEquals(route(t, "/api/v2/pages/1/", "muc", 1500).status, 0, "at the time it was told");
        o = route(t, "/api/v2/pages/1/", "m".repeat(33), 1500);
        assertEquals(o.status + o.reason, "431header:x-office");
        assertTrue(t.line().contains("held 6 (held back 1)") && t.line().contains("too long 1"), t.line());
    }

    /** A new table keeps the counts of limits whose rule and key are the same; a refused one changes nothing. */
    @Test public void limitsOutliveAReload() {
        RouteRules.Rule r = held("held", "true", "header('X-Office') ?? ''", 1, 1, 64);
        RouteTable t = table(rules(r), null);
        assertEquals(route(t, "/x", "muc", 0).status, 0);
        assertNull(RouteTable.compile(rules(held("held", "true", "header('X-Office') ?? ''", 1000, 1, 64), rule("b",
            "1", null, null)),
            NAMES, ALL, 1, 6, t, new ArrayList<>()));
        assertEquals(route(t, "/x", "muc", 10).status, 429, "the refused table's rate does not hold");
        RouteTable anew = table(rules(rule("first", "false", null, null), r), t);
        assertEquals(route(anew, "/x", "muc", 20).status, 429);
        assertEquals(route(anew, "/x", "muc", 1000).status, 0);
        RouteTable other = table(rules(held("held", "true", "object", 1, 1, 64)), anew);
        assertEquals(route(other, "/x", "muc", 1010).status, 0, "another key, other counts");
    }

    /**
     * A million distinct keys through room for 4,096: memory stays, a key that asks ten times its rate all the while
     * gets
     * its rate, and one at half its rate is never held back.
     */
    /** A part of a part: none passes, then as many at once and a second as the part says; what was used stays used. */
    @Test public void limitsFollowTheirPart() {
        RateLimiter l = new RateLimiter(10, 8, 64);
        l.setShare(0);
        assertEquals(l.acquire(7, 0), Double.POSITIVE_INFINITY, "nothing passes");
        l.setShare(1.25);
        int passed = 0;
        for (int i = 0; i < 1000; i++) if (l.acquire(9, 1000) == 0) passed++;
        assertEquals(passed, 10, "at once");
        for (int i = 0; i < 1000; i++) if (l.acquire(9, 1000 + i) == 0) passed++;
        assertEquals(passed, 22, "12.5 a second");
        l.setShare(1);
        for (int i = 0; i < 1000; i++) if (l.acquire(9, 2000 + i) == 0) passed++;
        assertTrue(passed >= 31 && passed <= 33, "10 a second again: " + passed);
    }

    @Test public void limitsUnderAFloodOfKeys() {
        RateLimiter l = new RateLimiter(1, 5, 4096);
        SplittableRandom r = new SplittableRandom(3);
        int greedy = 0, modest = 0, modestAsked = 0;
        double t = 0;
        for (int i = 0; i < 1_000_000; i++, t += 0.1) {
            l.acquire(r.nextLong(), t);
            if (i % 1000 == 0 && l.acquire(77, t) == 0) greedy++;           // 10 a second
            if (i % 20_000 == 0) {                                       // one every two seconds
                modestAsked++;
                if (l.acquire(78L << 40, t) == 0) modest++;
            }
        }
        double allowed = t / 1000 + 5;
        assertEquals(l.capacity(), 4096);
        assertTrue(greedy >= allowed - 3 && greedy <= 1.05 * allowed, greedy + " of " + allowed);
        assertEquals(modest, modestAsked, "held back though within its rate");
        assertTrue(l.evictions() > 100_000 && l.limitedKeys(t) <= 4096, l.evictions() + " forgotten, held " + l.limitedKeys(t));
    }

    /** Every key within its rate is served, whatever the others do: random histories against exact buckets. */
    @Test public void neverStricterThanExactBuckets() {
        for (long seed = 1; seed <= 50; seed++) {
            SplittableRandom r = new SplittableRandom(seed);
            RateLimiter l = new RateLimiter(5, 3, 16);
            Map<Long, double[]> exact = new LinkedHashMap<>();
            double t = 0;
            int more = 0;
            for (int i = 0; i < 5000; i++) {
                t += r.nextDouble() * 20;
                long key = mix(r.nextInt(60));
                double[] b = exact.computeIfAbsent(key, k -> new double[] {3, 0});
                b[0] = Math.min(3, b[0] + (t - b[1]) * 5 / 1000);
                b[1] = t;
                boolean may = b[0] >= 1 + 1e-9, did = l.acquire(key, t) == 0;
                assertTrue(did || !may, "seed " + seed + ": held back within its rate");
                if (did) b[0]--;                            // also what was let through too much counts
                if (did && !may) more++;
            }
            assertTrue(more < 5000);
        }
    }

    private static long mix(long x) {
        return (x + 1) * 0x9e3779b97f4a7c15L ^ x << 33;
    }

    private static final String[] HOSTILE = {"/".repeat(8000), "/api/v2/pages/" + "9".repeat(8000), "/api/v2/"
        + "\u0000\u00ff".repeat(3000),
        "/api/v2/pages/%31%35%30/piece-1", "/api/v2/pages/150/piece-1", "", "/api/v2//////150", "a".repeat(8000)};

    /** Heads at their limit: no more steps than foreseen, and after a while nothing allocated. */
    @Test public void hostileHeadsCostWhatWasForeseen() {
        List<RouteRules.Rule> all = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            all.add(rule("r" + i, List.of("volume in " + i + ".." + (i + 3) + " && workload != 'pages'",
                "starts(object, '" + i + "')"
                + " && lower(first(target, 200)) == 'x'", "contains(first(target, 100), '//" + i + "')",
                    "(header('X-Free') ?? '') in ['a"
                + i + "']").get(i % 4), null, i % 3 == 0 ? "lower(object) + '" + i + "'" : null));
        }
        RouteTable t = table(rules(all.toArray(RouteRules.Rule[]::new)), null);
        List<Request> asked = new ArrayList<>();
        for (String h : HOSTILE) {
            Request r = new Request(h, t);
            r.office = "x".repeat(20).getBytes();
            r.free = h.getBytes(StandardCharsets.ISO_8859_1);
            asked.add(r);
        }
        for (int i = 0; i < 3000; i++) {
            t.route(asked.get(i % asked.size()), 0, 6, i);
            assertTrue(t.steps() <= t.worstCaseSteps(), t.steps() + " of " + t.worstCaseSteps());
        }
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long me = Thread.currentThread().getId(), before = threads.getThreadAllocatedBytes(me);
        long idle = threads.getThreadAllocatedBytes(me) - before;
        before = threads.getThreadAllocatedBytes(me);
        for (int i = 0; i < 10_000; i++) t.route(asked.get(i % asked.size()), 0, 6, i);
        long bytes = threads.getThreadAllocatedBytes(me) - before - idle;
        assertTrue(bytes < 10_000, bytes + " bytes in 10,000 requests");
        assertNotNull(t.explain(asked.get(4), 0, 0));
    }
}
