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
        private final String text;
        private final List<String> notes;

        Expression(Node root, String text, List<String> notes) {
            this.root = root;
            this.text = text;
            this.notes = notes;
        }

        public Type type() {
            return root.type;
        }

        public long worstCaseSteps() {
            return root.cost;
        }

        public String text() {
            return text;
        }

        /** What can never matter, found while it was compiled. */
        public List<String> notes() {
            return notes;
        }

        /** Whether a client's retry of the same lookup has the same value; else the input that may differ. */
        public String retryVariantInput() {
            return differs(root);
        }

        public boolean evaluateBoolean(Frame f) {
            return root.truth(f);
        }

        public long evaluateLong(Frame f) {
            return root.whole(f);
        }

        public double evaluateDouble(Frame f) {
            return root.number(f);
        }

        /** Computes bytes; they stand in the frame until its next request. */
        public long hash(Frame f) {
            root.need(f);
            if (root.type.kind() != Type.Kind.BYTES) return Node.Hash.mix(f.whole[root.slot]);
            return Node.Hash.of(f.bytes[root.slot], f.from[root.slot], f.to[root.slot]);
        }

        /** For people: the value as text, "absent" where it is. */
        public String describe(Frame f) {
            return Program.shown(root, f);
        }
    }

    private final Inputs inputs;
    private final Map<String, Node> parts = new LinkedHashMap<>();      // by what they say: the same is made once
    private final Map<String, SyntaxTree> names = new HashMap<>();
    private final Map<String, String> nameTexts = new HashMap<>();
    private int scratch;

    public Program(Inputs inputs) {
        this.inputs = inputs;
    }

    /** The names of all functions. */
    public static Iterable<String> functions() {
        return Compiler.FUNCTIONS.keySet();
    }

    Inputs inputs() {
        return inputs;
    }

    /** A name for an expression that others may use; it may use those named before it. */
    public void define(String name, String text) throws ExpressionException {
        SyntaxTree t = Parser.parse(text);
        new Compiler(this, text).compile(t);
        names.put(name, t);
        nameTexts.put(name, text);
    }

    SyntaxTree named(String name) {
        return names.get(name);
    }

    String textOf(String name) {
        return nameTexts.get(name);
    }

    public Iterable<String> names() {
        return names.keySet();
    }

    /** Compiles an expression, which may cost {@code budget} steps at most. */
    public Expression compile(String text, long budget) throws ExpressionException {
        SyntaxTree t = Parser.parse(text);
        Compiler c = new Compiler(this, text);
        Node root = c.compile(t);
        if (root.cost > budget) throw c.tooDear(t, root, budget);
        return new Expression(root, text, c.notes());
    }

    Node same(String key, java.util.function.Supplier<Node> make) {
        Node n = parts.get(key);
        if (n == null) {
            n = make.get();
            n.slot = parts.size();
            parts.put(key, n);
        }
        return n;
    }

    /** What a request can cost at most, whatever is evaluated of all that was compiled: each part comes once. */
    public long worstCaseSteps() {
        long sum = 0;
        for (Node n : parts.values()) sum = Node.plus(sum, n.own);
        return sum;
    }

    int scratch(long bytes) {
        int at = scratch;
        scratch += (int) bytes;
        return at;
    }

    int slots() {
        return parts.size();
    }

    int scratch() {
        return scratch;
    }

    private static String differs(Node n) {
        if (n instanceof Node.Read r) return r.input.stableOnRetry() ? null : r.input.name();
        if (n instanceof Node.Clock) return "the time";
        for (Node p : n.parts) {
            String d = differs(p);
            if (d != null) return d;
        }
        return null;
    }

    /** What each part of an expression came to, outermost first, for explaining. */
    public static List<String> explain(Expression e, Frame f) {
        List<String> all = new ArrayList<>();
        list(e.root, f, 0, all);
        return all;
    }

    private static void list(Node n, Frame f, int depth, List<String> all) {
        if (n instanceof Node.Const || all.size() > 200) return;
        all.add("  ".repeat(depth) + n.getClass().getSimpleName().toLowerCase(java.util.Locale.ROOT) + " = "
            + shown(n, f)
            + "  (" + n.type + ", at most " + n.cost + " steps)");
        for (Node p : n.parts) list(p, f, depth + 1, all);
    }

    private static String shown(Node n, Frame f) {
        n.need(f);
        if (n.type.optional() && !f.there[n.slot]) return "absent";
        return switch (n.type.kind()) {
            case BOOL -> f.whole[n.slot] != 0 ? "true" : "false";
            case INT -> Long.toString(f.whole[n.slot]);
            case DOUBLE -> Double.toString(f.number[n.slot]);
            case DURATION -> f.number[n.slot] + " ms";
            case SIZE -> f.number[n.slot] + " bytes";
            case BYTES, ADDRESS -> {
                StringBuilder s = new StringBuilder("'");
                for (int i = f.from[n.slot]; i < f.to[n.slot]; i++) {
                    int c = f.bytes[n.slot][i] & 0xff;
                    if (c >= ' ' && c < 127 && c != '\'' && c != '\\') s.append((char) c);
                    else s.append(String.format("\\x%02x", c));
                }
                yield s.append('\'').toString();
            }
        };
    }
}
