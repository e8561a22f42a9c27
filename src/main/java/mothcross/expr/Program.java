package mothcross.expr;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * All expressions of one table, compiled together: parts that occur again are one part, computed once for a request.
 * Owns the parts, their slots and the scratch; must never change once a frame was made for it.
 */
public final class Program {
    /** One expression: its type, its worst cost, and how it is evaluated. */
    public static final class Expression {
        final Node root;
        private final String source;
        private final List<String> notes;

        Expression(Node root, String text, List<String> notes) {
            this.root = root;
            this.source = text;
            this.notes = notes;
        }

        public Type type() {
            return root.type;
        }

        public long worstCaseSteps() {
            return root.worstCaseSteps;
        }

        public String source() {
            return source;
        }

        /** What can never matter, found while it was compiled. */
        public List<String> notes() {
            return notes;
        }

        /** Whether a client's retry of the same lookup has the same value; else the input that may differ. */
        public String retryVariantInput() {
            return unstableInput(root);
        }

        public boolean evaluateBoolean(Frame f) {
            return root.evaluateBoolean(f);
        }

        public long evaluateLong(Frame f) {
            return root.evaluateLong(f);
        }

        public double evaluateDouble(Frame f) {
            return root.evaluateDouble(f);
        }

        /** Computes bytes; they stand in the frame until its next request. */
        public long hash(Frame f) {
            root.evaluate(f);
            if (root.type.kind() != Type.Kind.BYTES) return Node.Hash.mix(f.longs[root.slot]);
            return Node.Hash.of(f.bytes[root.slot], f.starts[root.slot], f.ends[root.slot]);
        }

        /** For people: the value as text, "absent" where it is. */
        public String describe(Frame f) {
            return Program.describe(root, f);
        }
    }

    private final Inputs inputs;
    private final Map<String, Node> nodesByKey = new LinkedHashMap<>();      // by what they say: the same is made once
    private final Map<String, SyntaxTree> definitions = new HashMap<>();
    private final Map<String, String> definitionSources = new HashMap<>();
    private int scratch;

    public Program(Inputs inputs) {
        this.inputs = inputs;
    }

    /** The names of all functions. */
    public static Iterable<String> functions() {
        return Compiler.FUNCTION_SIGNATURES.keySet();
    }

    Inputs inputs() {
        return inputs;
    }

    /** A name for an expression that others may use; it may use those named before it. */
    public void define(String name, String text) throws ExpressionException {
        SyntaxTree t = Parser.parse(text);
        new Compiler(this, text).compile(t);
        definitions.put(name, t);
        definitionSources.put(name, text);
    }

    SyntaxTree definition(String name) {
        return definitions.get(name);
    }

    String definitionSource(String name) {
        return definitionSources.get(name);
    }

    public Iterable<String> names() {
        return definitions.keySet();
    }

    /** Compiles an expression, which may cost {@code budget} steps at most. */
    public Expression compile(String text, long budget) throws ExpressionException {
        SyntaxTree t = Parser.parse(text);
        Compiler c = new Compiler(this, text);
        Node root = c.compile(t);
        if (root.worstCaseSteps > budget) throw c.overBudget(t, root, budget);
        return new Expression(root, text, c.notes());
    }

    Node intern(String key, java.util.function.Supplier<Node> make) {
        Node n = nodesByKey.get(key);
        if (n == null) {
            n = make.get();
            n.slot = nodesByKey.size();
            nodesByKey.put(key, n);
        }
        return n;
    }

    /** What a request can cost at most, whatever is evaluated of all that was compiled: each part comes once. */
    public long worstCaseSteps() {
        long sum = 0;
        for (Node n : nodesByKey.values()) sum = Node.saturatedAdd(sum, n.ownSteps);
        return sum;
    }

    int scratch(long bytes) {
        int at = scratch;
        scratch += (int) bytes;
        return at;
    }

    int slotCount() {
        return nodesByKey.size();
    }

    int scratch() {
        return scratch;
    }

    private static String unstableInput(Node n) {
        if (n instanceof Node.ReadInput r) return r.input.stableOnRetry() ? null : r.input.name();
        if (n instanceof Node.TimeField) return "the time";
        for (Node p : n.operands) {
            String d = unstableInput(p);
            if (d != null) return d;
        }
        return null;
    }

    /** What each part of an expression came to, outermost first, for explaining. */
    public static List<String> explain(Expression e, Frame f) {
        List<String> all = new ArrayList<>();
        explainNode(e.root, f, 0, all);
        return all;
    }

    private static void explainNode(Node n, Frame f, int depth, List<String> all) {
        if (n instanceof Node.Constant || all.size() > 200) return;
        all.add("  ".repeat(depth) + n.label() + " = "
            + describe(n, f)
            + "  (" + n.type + ", at most " + n.worstCaseSteps + " steps)");
        for (Node p : n.operands) explainNode(p, f, depth + 1, all);
    }

    private static String describe(Node n, Frame f) {
        n.evaluate(f);
        if (n.type.optional() && !f.present[n.slot]) return "absent";
        return switch (n.type.kind()) {
            case BOOL -> f.longs[n.slot] != 0 ? "true" : "false";
            case INT -> Long.toString(f.longs[n.slot]);
            case DOUBLE -> Double.toString(f.doubles[n.slot]);
            case DURATION -> f.doubles[n.slot] + " ms";
            case SIZE -> f.doubles[n.slot] + " bytes";
            case BYTES, ADDRESS -> {
                StringBuilder s = new StringBuilder("'");
                for (int i = f.starts[n.slot]; i < f.ends[n.slot]; i++) {
                    int c = f.bytes[n.slot][i] & 0xff;
                    if (c >= ' ' && c < 127 && c != '\'' && c != '\\') s.append((char) c);
                    else s.append(String.format("\\x%02x", c));
                }
                yield s.append('\'').toString();
            }
        };
    }
}
