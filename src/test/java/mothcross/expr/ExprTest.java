package mothcross.expr;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.*;
import org.testng.annotations.Test;

/** The language: its values and refusals by file, random expressions against the reference, cost and allocation. */
public class ExprTest {
    private static final double NOW = 1_796_150_000_000.0;       // a Tuesday

    /** What the random expressions read; header:a is optional and bounded, header:free has no bound. */
    private static Inputs inputs() {
        return new Inputs().add("target", Type.bytes(40), 0, Inputs.Overflow.TRUNCATE, true)
            .add("group", Type.INT.asOptional(), 1, Inputs.Overflow.TRUNCATE, true)
            .add("size", Type.SIZE, 2, Inputs.Overflow.TRUNCATE, true)
            .add("wait", Type.DURATION.asOptional(), 3, Inputs.Overflow.TRUNCATE, false)
            .add("retry", Type.BOOL, 4, Inputs.Overflow.TRUNCATE, false)
            .add("number", Type.INT, 5, Inputs.Overflow.TRUNCATE, true)
            .add("client", Type.ADDRESS, 6, Inputs.Overflow.TRUNCATE, true)
            .header("a", 24, Inputs.Overflow.TRUNCATE, true);
    }

    private static Frame.Request request(Map<String, Object> values, Inputs inputs) {
        String[] names = {"target", "group", "size", "wait", "retry", "number", "client"};
        return (number, f, slot) -> {
            Object v = values.get(number >= Inputs.FIRST_HEADER
                ? "header:" + inputs.headers()[number - Inputs.FIRST_HEADER] : names[number]);
            if (v instanceof byte[] b) f.put(slot, b, 0, b.length);
            else if (v instanceof Long l) f.put(slot, (long) l);
            else if (v instanceof Double d) f.put(slot, (double) d);
            else if (v instanceof Boolean t) f.put(slot, t ? 1L : 0L);
        };
    }

    private static Map<String, Object> sample() {
        return new HashMap<>(Map.of("target", NaiveEvaluator.bytes("/api/v2/Books/150/piece-3"), "group", 17L, "size", 2500.0,
            "retry", false, "number", -5L, "client", new byte[] {10, 1, 2, 3}, "header:a", NaiveEvaluator.bytes("Muc-7")));
    }

    /** {@code EXPRESSION => VALUE}, or {@code EXPRESSION !! PART AT FAULT !! words of the message ... of the hint}. */
    @Test public void valuesAndRefusalsByFile() throws Exception {
        List<String> wrong = new ArrayList<>();
        int n = 0;
        for (String line : Files.readAllLines(Path.of(ExprTest.class.getResource("/expr/language.txt").toURI()))) {
            if (line.isBlank() || line.startsWith("#")) continue;
            n++;
            String[] yes = line.split(" => ", 2), no = line.split(" !! ", 3);
            boolean taken = yes.length == 2;
            Inputs in = inputs();
            Program p = new Program(in);
            try {
                Program.Expression e = p.compile(taken ? yes[0] : no[0], 100_000);
                Frame f = new Frame(p);
                f.begin(request(sample(), in), NOW);
                String got = e.describe(f);
                if (!taken) wrong.add(line + ": taken as " + e.type());
                else if (!got.equals(yes[1].strip())) wrong.add(line + ": is " + got);
                if (f.steps() > e.worstCaseSteps()) wrong.add(line + ": " + f.steps() + " steps, foreseen " + e.worstCaseSteps());
            } catch (ExpressionException e) {
                String[] shown = e.describe().split("\n");
                boolean right = !taken && e.part().equals(no[1].strip().replace("<end>", ""))
                    && shown[2].indexOf('^') == 1 + e.column();
                if (!taken) for (String word : no[2].split(" \\.\\.\\. ")) right &= e.describe().contains(word.strip());
                if (!right) wrong.add(line + " at '" + e.part() + "'\n" + e.describe());
            }
        }
        assertTrue(wrong.isEmpty(), String.join("\n", wrong));
        assertTrue(n > 80, n + " lines");
    }

    // ---- random expressions ----

    private static final String[] TEXTS = {"''", "'a'", "'/'", "'piece'", "'Muc'", "'\\xff\\x00'"};

    private static String make(SplittableRandom r, Type.Kind kind, int depth) {
        boolean leaf = depth <= 0;
        switch (kind) {
            case BOOL -> {
                if (leaf) return r.nextBoolean() ? "retry" : r.nextBoolean() ? "true" : "has(group)";
                switch (r.nextInt(10)) {
                    case 0: return "(" + make(r, kind, depth - 1) + " && " + make(r, kind, depth - 1) + ")";
                    case 1: return "(" + make(r, kind, depth - 1) + " || " + make(r, kind, depth - 1) + ")";
                    case 2: return "!" + make(r, kind, depth - 1);
                    case 3: return "(" + make(r, Type.Kind.INT, depth - 1) + one(r, " < ", " <= ", " == ", " != ",
                        " > ", " >= ")
                        + make(r, r.nextInt(3) == 0 ? Type.Kind.DOUBLE : Type.Kind.INT, depth - 1) + ")";
                    case 4: return "(" + make(r, Type.Kind.BYTES, depth - 1) + one(r, " == ", " != ") + make(r,
                        Type.Kind.BYTES,
                        depth - 1) + ")";
                    case 5: return "(" + make(r, Type.Kind.INT, depth - 1) + " in " + one(r, "[1, 5, 17]", "-9..20",
                        "3..2") + ")";
                    case 6: return "(" + make(r, Type.Kind.BYTES, depth - 1) + " in ['', 'a', 'Muc-7'])";
                    case 7: return one(r, "starts", "ends", "contains") + "(" + make(r, Type.Kind.BYTES, depth - 1)
                        + ", "
                        + one(r, TEXTS) + ")";
                    case 8: return "(if " + make(r, kind, depth - 1) + " then " + make(r, kind, depth - 1) + " else "
                        + make(r, kind, depth - 1) + ")";
                    default: return "matches(" + make(r, Type.Kind.BYTES, depth - 1) + ", " + one(r, "'[0-9]+'",
                        "'^a|c$'") + ")";
                }
            }
            case INT -> {
                if (leaf) return one(r, "number", "7", "-3", "(group ?? 2)", "9223372036854775807", "weekday()");
                return switch (r.nextInt(6)) {
                    case 0, 1 -> "(" + make(r, kind, depth - 1) + one(r, " + ", " - ", " * ") + make(r, kind,
                        depth - 1) + ")";
                    case 2 -> "(" + make(r, kind, depth - 1) + one(r, " / ", " % ") + one(r, "3", "-1", "17") + ")";
                    case 3 -> "(" + one(r, "decimal", "hex") + "(" + make(r, Type.Kind.BYTES, depth - 1) + ") ?? "
                        + make(r, kind, depth - 1) + ")";
                    case 4 -> "length(" + make(r, Type.Kind.BYTES, depth - 1) + ")";
                    default -> "bucket(" + make(r, kind, depth - 1) + ", 10)";
                };
            }
            case DOUBLE -> {
                if (leaf) return one(r, "2.5", "double(number)", "0.0");
                return "(" + make(r, kind, depth - 1) + one(r, " + ", " * ", " / ") + make(r, r.nextBoolean() ? kind
                    : Type.Kind.INT,
                    depth - 1) + ")";
            }
            default -> {
                if (leaf) return one(r, "target", "(header('A') ?? 'x')", one(r, TEXTS));
                return switch (r.nextInt(5)) {
                    case 0 -> "(" + make(r, kind, depth - 1) + " + " + make(r, kind, depth - 1) + ")";
                    case 1 -> "lower(" + make(r, kind, depth - 1) + ")";
                    case 2 -> one(r, "first", "skip") + "(" + make(r, kind, depth - 1) + ", " + r.nextInt(9) + ")";
                    default -> "(split(" + make(r, kind, depth - 1) + ", " + one(r, "'/'", "'-'", "'aa'") + ", 4)["
                        + r.nextInt(4)
                        + "] ?? " + make(r, kind, depth - 1) + ")";
                };
            }
        }
    }

    private static String one(SplittableRandom r, String... of) {
        return of[r.nextInt(of.length)];
    }

    private static Map<String, Object> hostile(SplittableRandom r) {
        Map<String, Object> m = sample();
        String[] odd = {"/".repeat(3000), "a".repeat(8000), "", "\u0000\u00ff%2e", "9".repeat(10_000),
            "/api/v2/x/007/piece-1",
            "aaaaaaaaaaaaaab", "-".repeat(500)};
        m.put("target", NaiveEvaluator.bytes(one(r, odd)));
        if (r.nextBoolean()) m.remove("header:a");
        else m.put("header:a", NaiveEvaluator.bytes(one(r, odd)));
        if (r.nextBoolean()) m.remove("group");
        m.put("number", r.nextInt(3) == 0 ? Long.MIN_VALUE : r.nextLong(-20, 20));
        m.put("retry", r.nextBoolean());
        return m;
    }

    /** As the language cuts what is too long. */
    private static Map<String, Object> cut(Map<String, Object> m) {
        Map<String, Object> c = new HashMap<>(m);
        c.computeIfPresent("target", (k, v) -> Arrays.copyOf((byte[]) v, Math.min(40, ((byte[]) v).length)));
        c.computeIfPresent("header:a", (k, v) -> Arrays.copyOf((byte[]) v, Math.min(24, ((byte[]) v).length)));
        return c;
    }

    /** 2,500 expressions for 40 requests each: the value of the reference, and never a step more than foreseen. */
    @Test public void randomOnesAgainstTheReference() throws Exception {
        int pairs = 0, expressions = Integer.getInteger("expressions", 2500);
        for (long seed = 1; seed <= expressions; seed++) {
            SplittableRandom r = new SplittableRandom(seed);
            Type.Kind kind = List.of(Type.Kind.BOOL, Type.Kind.INT, Type.Kind.BYTES,
                Type.Kind.DOUBLE).get(r.nextInt(4));
            String text = make(r, kind, 1 + r.nextInt(4));
            Inputs in = inputs();
            Program p = new Program(in);
            Program.Expression e;
            try {
                e = p.compile(text, Long.MAX_VALUE - 1);
            } catch (ExpressionException x) {
                throw new AssertionError("seed " + seed + "\n" + x.describe(), x);
            }
            assertEquals(e.type().kind(), kind, text);
            SyntaxTree tree = Parser.parse(text);
            Frame f = new Frame(p);
            for (int i = 0; i < 40; i++) {
                Map<String, Object> asked = hostile(r);
                f.begin(request(asked, in), NOW);
                Object want = new NaiveEvaluator(cut(asked), NOW).value(tree), got = switch (kind) {
                    case BOOL -> e.evaluateBoolean(f);
                    case INT -> e.evaluateLong(f);
                    case DOUBLE -> e.evaluateDouble(f) + 0.0;
                    default -> {
                        e.hash(f);
                        yield Arrays.copyOfRange(f.bytes[e.root.slot], f.from[e.root.slot], f.to[e.root.slot]);
                    }
                };
                String where = "seed " + seed + ": " + text + " for " + NaiveEvaluator.text(asked.get("target"));
                if (want instanceof byte[] b) assertEquals(NaiveEvaluator.text(got), NaiveEvaluator.text(b), where);
                else assertEquals(got, want instanceof Double d ? d + 0.0 : want, where);
                assertTrue(f.steps() <= e.worstCaseSteps() && f.steps() <= p.worstCaseSteps(), where + ": " + f.steps()
                    + " steps of " + e.worstCaseSteps());
                pairs++;
            }
        }
        assertTrue(pairs >= 40 * expressions);
    }

    /** A part of another kind in place of one that belongs there: refused, each time. */
    @Test public void randomIllTypedOnesAreRefused() {
        String[] wrong = {"size", "client", "wait", "header('A')", "group", "header('Free')"};
        int refused = 0;
        for (long seed = 1; seed <= 3000; seed++) {
            SplittableRandom r = new SplittableRandom(seed);
            String text = make(r, Type.Kind.BOOL, 3);
            List<Integer> places = new ArrayList<>();
            for (String leaf : new String[] {"number", "retry", "target"}) {
                for (int at = text.indexOf(leaf); at >= 0; at = text.indexOf(leaf, at + 1)) places.add(at);
            }
            if (places.isEmpty()) continue;
            int at = places.get(r.nextInt(places.size()));
            // Bytes of any kind and addresses are hashed for a bucket.
            if (text.startsWith("bucket(", at - 7)) continue;
            String ill = text.substring(0, at) + one(r, wrong) + text.substring(at + (text.startsWith("retry", at) ? 5
                : 6));
            try {
                new Program(inputs()).compile(ill, Long.MAX_VALUE - 1);
                fail("seed " + seed + " is taken: " + ill);
            } catch (ExpressionException e) {
                refused++;
            }
        }
        assertTrue(refused > 1500, "refused " + refused);
    }

    /** Random tables: the first by the index is the first in order. */
    @Test public void theIndexIsThePlainOrder() throws Exception {
        int hits = 0;
        for (long seed = 1; seed <= 300; seed++) {
            SplittableRandom r = new SplittableRandom(seed);
            Inputs in = inputs();
            Program p = new Program(in);
            List<Program.Expression> all = new ArrayList<>();
            for (int i = 0; i < 1 + r.nextInt(150); i++) {
                long n = r.nextLong(-20, 20);
                String x = one(r, "number == " + n, "number in " + n + ".." + (n + r.nextInt(9)), "number < " + n,
                    "number >= " + n,
                    "number in [" + n + ", 3]", "starts(target, '/api')", "starts(target, '"
                        + "a".repeat(r.nextInt(9)) + "')",
                    "starts(target, '/')", "(header('A') ?? '') == 'Muc-7'", "(header('A') ?? '') in ['', '-']",
                        make(r, Type.Kind.BOOL, 2));
                if (r.nextInt(3) > 0) x = x + " && " + one(r, "number != 4", "starts(target, '/api/v2/')",
                    "number <= " + n, "retry",
                    "(header('A') ?? 'q') == 'q'", "target == ''");
                all.add(p.compile(x, 1_000_000));
            }
            Dispatch d = new Dispatch(all);
            Frame f = new Frame(p);
            for (int i = 0; i < 100; i++) {
                Map<String, Object> asked = hostile(r);
                f.begin(request(asked, in), NOW);
                int fast = d.first(f);
                f.begin(request(asked, in), NOW);
                assertEquals(fast, d.firstByLinearScan(f), "seed " + seed + " request " + i);
                if (fast >= 0) hits++;
            }
        }
        assertTrue(hits > 5000, "hits " + hits);
    }
}
