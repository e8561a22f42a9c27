package mothcross.expr;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Values and errors of the language by file; random expressions and rules against reference implementations. */
public class ExprTest {
    private static final double NOW_MS = 1_796_150_000_000.0;       // a Tuesday
    private static final int TARGET_MAX_BYTES = 40;
    private static final int HEADER_MAX_BYTES = 24;
    private static final int REQUESTS_PER_EXPRESSION = 40;
    private static final int MAX_FILE_STEPS = 100_000;
    private static final int MAX_RULE_STEPS = 1_000_000;
    /** All costs but an unbounded one. */
    private static final long ANY_BOUNDED_COST = Long.MAX_VALUE - 1;

    /** The inputs of all expressions here; header:a is optional and bounded, undeclared headers have no bound. */
    private static Inputs inputs() {
        return new Inputs().add("target", Type.bytes(TARGET_MAX_BYTES), 0, Inputs.Overflow.TRUNCATE, true)
            .add("group", Type.INT.asOptional(), 1, Inputs.Overflow.TRUNCATE, true)
            .add("size", Type.SIZE, 2, Inputs.Overflow.TRUNCATE, true)
            .add("wait", Type.DURATION.asOptional(), 3, Inputs.Overflow.TRUNCATE, false)
            .add("retry", Type.BOOL, 4, Inputs.Overflow.TRUNCATE, false)
            .add("number", Type.INT, 5, Inputs.Overflow.TRUNCATE, true)
            .add("client", Type.ADDRESS, 6, Inputs.Overflow.TRUNCATE, true)
            .header("a", HEADER_MAX_BYTES, Inputs.Overflow.TRUNCATE, true);
    }

    private static Frame.Request request(Map<String, Object> values, Inputs inputs) {
        String[] names = {"target", "group", "size", "wait", "retry", "number", "client"};
        return (number, frame, slot) -> {
            Object value = values.get(number >= Inputs.FIRST_HEADER
                ? "header:" + inputs.headers()[number - Inputs.FIRST_HEADER] : names[number]);
            if (value instanceof byte[] bytes) frame.put(slot, bytes, 0, bytes.length);
            else if (value instanceof Long l) frame.put(slot, (long) l);
            else if (value instanceof Double d) frame.put(slot, (double) d);
            else if (value instanceof Boolean b) frame.put(slot, b ? 1L : 0L);
        };
    }

    private static Map<String, Object> sample() {
        return new HashMap<>(Map.of(
            "target", NaiveEvaluator.bytes("/api/v2/Books/150/piece-3"),
            "group", 17L,
            "size", 2500.0,
            "retry", false,
            "number", -5L,
            "client", new byte[] {10, 1, 2, 3},
            "header:a", NaiveEvaluator.bytes("Muc-7")));
    }

    /** Checks each line: {@code EXPRESSION => VALUE} or {@code EXPRESSION !! FAULTY TEXT !! message ... hint}. */
    @Test public void valuesAndErrorsByFile() throws Exception {
        List<String> failures = new ArrayList<>();
        int lines = 0;
        for (String line : Files.readAllLines(Path.of(ExprTest.class.getResource("/expr/language.txt").toURI()))) {
            if (line.isBlank() || line.startsWith("#")) continue;
            lines++;
            String[] value = line.split(" => ", 2);
            if (value.length == 2) checkValue(line, value[0], value[1].strip(), failures);
            else checkError(line, line.split(" !! ", 3), failures);
        }
        assertTrue(failures.isEmpty(), String.join("\n", failures));
        assertTrue(lines > 80, lines + " lines");
    }

    private static void checkValue(String line, String source, String expected, List<String> failures) {
        Inputs inputs = inputs();
        Program program = new Program(inputs);
        try {
            Program.Expression expression = program.compile(source, MAX_FILE_STEPS);
            Frame frame = new Frame(program);
            frame.begin(request(sample(), inputs), NOW_MS);
            String actual = expression.describe(frame);
            if (!actual.equals(expected)) failures.add(line + ": is " + actual);
            if (frame.steps() > expression.worstCaseSteps()) {
                failures.add(line + ": " + frame.steps() + " steps of at most " + expression.worstCaseSteps());
            }
        } catch (ExpressionException e) {
            failures.add(line + " at '" + e.faultyText() + "'\n" + e.describe());
        }
    }

    /** The error must be at the expected text, with the caret below it, and contain all expected words. */
    private static void checkError(String line, String[] expected, List<String> failures) {
        try {
            Program.Expression expression = new Program(inputs()).compile(expected[0], MAX_FILE_STEPS);
            failures.add(line + ": accepted as " + expression.type());
        } catch (ExpressionException e) {
            String[] described = e.describe().split("\n");
            boolean matches = e.faultyText().equals(expected[1].strip().replace("<end>", ""))
                && described[2].indexOf('^') == 1 + e.column();
            for (String words : expected[2].split(" \\.\\.\\. ")) matches &= e.describe().contains(words.strip());
            if (!matches) failures.add(line + " at '" + e.faultyText() + "'\n" + e.describe());
        }
    }

    /** Operators read the labels in the output of explain: they must not change when a class is renamed. */
    @Test public void labelsOfExplainAreStable() throws Exception {
        Map<String, String> labels = new LinkedHashMap<>();
        labels.put("number", "read");
        labels.put("cut(target)", "wascut");
        labels.put("has(group)", "has");
        labels.put("group ?? 2", "else");
        labels.put("if retry then 1 else 2", "choice");
        labels.put("!retry", "logic");
        labels.put("number + 1", "sum");
        labels.put("number == 1", "compare");
        labels.put("number in 1..2", "within");
        labels.put("number in [1]", "among");
        labels.put("target == 'a'", "same");
        labels.put("starts(target, 'a')", "stands");
        labels.put("split(target, '/', 8)[1]", "piece");
        labels.put("first(target, 2)", "part");
        labels.put("target + 'a'", "joined");
        labels.put("lower(target)", "lower");
        labels.put("decimal(target)", "digits");
        labels.put("length(target)", "length");
        labels.put("hash(target)", "hash");
        labels.put("bucket(number, 2)", "bucket");
        labels.put("in_cidr(client, '10.0.0.0/8')", "incidr");
        labels.put("weekday()", "clock");
        labels.put("matches(target, 'a')", "matches");
        for (Map.Entry<String, String> entry : labels.entrySet()) {
            Inputs inputs = inputs();
            Program program = new Program(inputs);
            Program.Expression expression = program.compile(entry.getKey(), MAX_FILE_STEPS);
            Frame frame = new Frame(program);
            frame.begin(request(sample(), inputs), NOW_MS);
            String line = Program.explain(expression, frame).get(0);
            assertTrue(line.startsWith(entry.getValue() + " = "), entry.getKey() + ": " + line);
        }
    }

    // ---- random expressions ----

    private static final String[] STRINGS = {"''", "'a'", "'/'", "'piece'", "'Muc'", "'\\xff\\x00'"};

    private static String randomExpression(SplittableRandom random, Type.Kind kind, int depth) {
        return switch (kind) {
            case BOOL -> randomBoolean(random, depth);
            case INT -> randomInteger(random, depth);
            case DOUBLE -> randomDouble(random, depth);
            default -> randomBytes(random, depth);
        };
    }

    private static String randomBoolean(SplittableRandom random, int depth) {
        if (depth <= 0) return random.nextBoolean() ? "retry" : random.nextBoolean() ? "true" : "has(group)";
        int below = depth - 1;
        return switch (random.nextInt(10)) {
            case 0 -> "(" + randomBoolean(random, below) + " && " + randomBoolean(random, below) + ")";
            case 1 -> "(" + randomBoolean(random, below) + " || " + randomBoolean(random, below) + ")";
            case 2 -> "!" + randomBoolean(random, below);
            case 3 -> "(" + randomInteger(random, below) + oneOf(random, " < ", " <= ", " == ", " != ", " > ", " >= ")
                + randomExpression(random, random.nextInt(3) == 0 ? Type.Kind.DOUBLE : Type.Kind.INT, below) + ")";
            case 4 -> "(" + randomBytes(random, below) + oneOf(random, " == ", " != ") + randomBytes(random, below)
                + ")";
            case 5 -> "(" + randomInteger(random, below) + " in " + oneOf(random, "[1, 5, 17]", "-9..20", "3..2")
                + ")";
            case 6 -> "(" + randomBytes(random, below) + " in ['', 'a', 'Muc-7'])";
            case 7 -> oneOf(random, "starts", "ends", "contains") + "(" + randomBytes(random, below) + ", "
                + oneOf(random, STRINGS) + ")";
            case 8 -> "(if " + randomBoolean(random, below) + " then " + randomBoolean(random, below) + " else "
                + randomBoolean(random, below) + ")";
            default -> "matches(" + randomBytes(random, below) + ", " + oneOf(random, "'[0-9]+'", "'^a|c$'") + ")";
        };
    }

    private static String randomInteger(SplittableRandom random, int depth) {
        if (depth <= 0) {
            return oneOf(random, "number", "7", "-3", "(group ?? 2)", "9223372036854775807", "weekday()");
        }
        int below = depth - 1;
        return switch (random.nextInt(6)) {
            case 0, 1 -> "(" + randomInteger(random, below) + oneOf(random, " + ", " - ", " * ")
                + randomInteger(random, below) + ")";
            case 2 -> "(" + randomInteger(random, below) + oneOf(random, " / ", " % ")
                + oneOf(random, "3", "-1", "17") + ")";
            case 3 -> "(" + oneOf(random, "decimal", "hex") + "(" + randomBytes(random, below) + ") ?? "
                + randomInteger(random, below) + ")";
            case 4 -> "length(" + randomBytes(random, below) + ")";
            default -> "bucket(" + randomInteger(random, below) + ", 10)";
        };
    }

    private static String randomDouble(SplittableRandom random, int depth) {
        if (depth <= 0) return oneOf(random, "2.5", "double(number)", "0.0");
        return "(" + randomDouble(random, depth - 1) + oneOf(random, " + ", " * ", " / ")
            + randomExpression(random, random.nextBoolean() ? Type.Kind.DOUBLE : Type.Kind.INT, depth - 1) + ")";
    }

    private static String randomBytes(SplittableRandom random, int depth) {
        if (depth <= 0) return oneOf(random, "target", "(header('A') ?? 'x')", oneOf(random, STRINGS));
        int below = depth - 1;
        return switch (random.nextInt(5)) {
            case 0 -> "(" + randomBytes(random, below) + " + " + randomBytes(random, below) + ")";
            case 1 -> "lower(" + randomBytes(random, below) + ")";
            case 2 -> oneOf(random, "first", "skip") + "(" + randomBytes(random, below) + ", " + random.nextInt(9)
                + ")";
            default -> "(split(" + randomBytes(random, below) + ", " + oneOf(random, "'/'", "'-'", "'aa'") + ", 4)["
                + random.nextInt(4) + "] ?? " + randomBytes(random, below) + ")";
        };
    }

    private static String oneOf(SplittableRandom random, String... choices) {
        return choices[random.nextInt(choices.length)];
    }

    /** Inputs that are absent, empty, far too long, costly to search, or at the limits of their type. */
    private static Map<String, Object> hostileRequest(SplittableRandom random) {
        Map<String, Object> request = sample();
        String[] strings = {"/".repeat(3000), "a".repeat(8000), "", "\u0000\u00ff%2e", "9".repeat(10_000),
            "/api/v2/x/007/piece-1", "aaaaaaaaaaaaaab", "-".repeat(500)};
        request.put("target", NaiveEvaluator.bytes(oneOf(random, strings)));
        if (random.nextBoolean()) request.remove("header:a");
        else request.put("header:a", NaiveEvaluator.bytes(oneOf(random, strings)));
        if (random.nextBoolean()) request.remove("group");
        request.put("number", random.nextInt(3) == 0 ? Long.MIN_VALUE : random.nextLong(-20, 20));
        request.put("retry", random.nextBoolean());
        return request;
    }

    /** The request with its inputs truncated as declared, for the evaluator that knows no limits. */
    private static Map<String, Object> truncated(Map<String, Object> request) {
        Map<String, Object> copy = new HashMap<>(request);
        copy.computeIfPresent("target", (name, value) -> truncated((byte[]) value, TARGET_MAX_BYTES));
        copy.computeIfPresent("header:a", (name, value) -> truncated((byte[]) value, HEADER_MAX_BYTES));
        return copy;
    }

    private static byte[] truncated(byte[] value, int maxLength) {
        return Arrays.copyOf(value, Math.min(maxLength, value.length));
    }

    /**
     * Compares the compiled form of 2,500 random expressions with the naive evaluator, for 40 requests each. Evaluation
     * must never take more steps than the worst case that the compiler computed.
     */
    @Test public void randomExpressionsMatchTheNaiveEvaluator() throws Exception {
        int evaluations = 0;
        int expressions = Integer.getInteger("expressions", 2500);
        for (long seed = 1; seed <= expressions; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Type.Kind kind = List.of(Type.Kind.BOOL, Type.Kind.INT, Type.Kind.BYTES, Type.Kind.DOUBLE)
                .get(random.nextInt(4));
            String source = randomExpression(random, kind, 1 + random.nextInt(4));
            Inputs inputs = inputs();
            Program program = new Program(inputs);
            Program.Expression expression;
            try {
                expression = program.compile(source, ANY_BOUNDED_COST);
            } catch (ExpressionException e) {
                throw new AssertionError("seed " + seed + "\n" + e.describe(), e);
            }
            assertEquals(expression.type().kind(), kind, source);
            SyntaxTree tree = Parser.parse(source);
            Frame frame = new Frame(program);
            for (int i = 0; i < REQUESTS_PER_EXPRESSION; i++) {
                Map<String, Object> request = hostileRequest(random);
                frame.begin(request(request, inputs), NOW_MS);
                Object expected = new NaiveEvaluator(truncated(request), NOW_MS).value(tree);
                Object actual = evaluate(expression, frame);
                String where = "seed " + seed + ": " + source + " for " + NaiveEvaluator.text(request.get("target"));
                if (expected instanceof byte[] bytes) {
                    assertEquals(NaiveEvaluator.text(actual), NaiveEvaluator.text(bytes), where);
                } else {
                    assertEquals(actual, expected instanceof Double d ? d + 0.0 : expected, where);
                }
                assertTrue(frame.steps() <= expression.worstCaseSteps() && frame.steps() <= program.worstCaseSteps(),
                    where + ": " + frame.steps() + " steps of at most " + expression.worstCaseSteps());
                evaluations++;
            }
        }
        assertTrue(evaluations >= REQUESTS_PER_EXPRESSION * expressions);
    }

    /** The boxed value of an expression; adding 0.0 turns -0.0 into 0.0. */
    private static Object evaluate(Program.Expression expression, Frame frame) {
        return switch (expression.type().kind()) {
            case BOOL -> expression.evaluateBoolean(frame);
            case INT -> expression.evaluateLong(frame);
            case DOUBLE -> expression.evaluateDouble(frame) + 0.0;
            default -> {
                expression.hash(frame);
                int slot = expression.root.slot;
                yield Arrays.copyOfRange(frame.bytes[slot], frame.starts[slot], frame.ends[slot]);
            }
        };
    }

    /** Replaces a leaf of a valid expression by one of a wrong type; the compiler must reject each of them. */
    @Test public void illTypedExpressionsAreRejected() {
        String[] illTyped = {"size", "client", "wait", "header('A')", "group", "header('Free')"};
        int rejected = 0;
        for (long seed = 1; seed <= 3000; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            String source = randomExpression(random, Type.Kind.BOOL, 3);
            List<Integer> leaves = new ArrayList<>();
            for (String leaf : new String[] {"number", "retry", "target"}) {
                for (int at = source.indexOf(leaf); at >= 0; at = source.indexOf(leaf, at + 1)) leaves.add(at);
            }
            if (leaves.isEmpty()) continue;
            int start = leaves.get(random.nextInt(leaves.size()));
            // bucket() also accepts bytes of any kind and addresses, which it hashes.
            if (source.startsWith("bucket(", start - "bucket(".length())) continue;
            int end = start + (source.startsWith("retry", start) ? "retry" : "number").length();
            String invalid = source.substring(0, start) + oneOf(random, illTyped) + source.substring(end);
            try {
                new Program(inputs()).compile(invalid, ANY_BOUNDED_COST);
                fail("seed " + seed + " is accepted: " + invalid);
            } catch (ExpressionException e) {
                rejected++;
            }
        }
        assertTrue(rejected > 1500, "rejected " + rejected);
    }

    /** For random rules, dispatch by indexes must find the same rule as evaluating all in order. */
    @Test public void dispatchMatchesLinearScan() throws Exception {
        int matches = 0;
        for (long seed = 1; seed <= 300; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Inputs inputs = inputs();
            Program program = new Program(inputs);
            List<Program.Expression> rules = new ArrayList<>();
            for (int i = 0; i < 1 + random.nextInt(150); i++) {
                rules.add(program.compile(randomRule(random), MAX_RULE_STEPS));
            }
            Dispatch dispatch = new Dispatch(rules);
            Frame frame = new Frame(program);
            for (int i = 0; i < 100; i++) {
                Map<String, Object> request = hostileRequest(random);
                frame.begin(request(request, inputs), NOW_MS);
                int first = dispatch.first(frame);
                frame.begin(request(request, inputs), NOW_MS);
                assertEquals(first, dispatch.firstByLinearScan(frame), "seed " + seed + " request " + i);
                if (first >= 0) matches++;
            }
        }
        assertTrue(matches > 5000, "matches " + matches);
    }

    private static String randomRule(SplittableRandom random) {
        long n = random.nextLong(-20, 20);
        String rule = oneOf(random,
            "number == " + n,
            "number in " + n + ".." + (n + random.nextInt(9)),
            "number < " + n,
            "number >= " + n,
            "number in [" + n + ", 3]",
            "starts(target, '/api')",
            "starts(target, '" + "a".repeat(random.nextInt(9)) + "')",
            "starts(target, '/')",
            "(header('A') ?? '') == 'Muc-7'",
            "(header('A') ?? '') in ['', '-']",
            randomExpression(random, Type.Kind.BOOL, 2));
        if (random.nextInt(3) == 0) return rule;
        return rule + " && " + oneOf(random,
            "number != 4",
            "starts(target, '/api/v2/')",
            "number <= " + n,
            "retry",
            "(header('A') ?? 'q') == 'q'",
            "target == ''");
    }
}
