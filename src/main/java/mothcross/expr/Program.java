package mothcross.expr;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;

/**
 * All expressions of one routing table, compiled into one graph of nodes. Common subexpressions share a node, which is
 * computed at most once per request. No expression may be compiled after a {@link Frame} was made for the program,
 * since the frame has the size of the program at that time.
 */
public final class Program {
    private static final int MAX_EXPLAINED_LINES = 200;

    /** One compiled expression: its type, its worst-case cost, and its evaluation in a frame. */
    public static final class Expression {
        final Node root;
        private final String source;
        private final List<String> notes;

        Expression(Node root, String source, List<String> notes) {
            this.root = root;
            this.source = source;
            this.notes = notes;
        }

        public Type type() {
            return root.type;
        }

        /** The steps that one evaluation takes at most. */
        public long worstCaseSteps() {
            return root.worstCaseSteps;
        }

        public String source() {
            return source;
        }

        /** Warnings of the compiler about parts that can never affect the result. */
        public List<String> notes() {
            return notes;
        }

        /** An input whose value may differ when a client retries the same lookup, or null if there is none. */
        public String retryVariantInput() {
            return unstableInput(root);
        }

        public boolean evaluateBoolean(Frame frame) {
            return root.evaluateBoolean(frame);
        }

        public long evaluateLong(Frame frame) {
            return root.evaluateLong(frame);
        }

        public double evaluateDouble(Frame frame) {
            return root.evaluateDouble(frame);
        }

        /** The hash of the value. Bytes that are computed for it stay in the frame until its next request. */
        public long hash(Frame frame) {
            root.evaluate(frame);
            if (root.type.kind() != Type.Kind.BYTES) return Node.Hash.mix(frame.longs[root.slot]);
            return Node.Hash.of(frame.bytes[root.slot], frame.starts[root.slot], frame.ends[root.slot]);
        }

        /** The value in readable form, "absent" if there is none. */
        public String describe(Frame frame) {
            return Program.describe(root, frame);
        }
    }

    private final Inputs inputs;
    /** All nodes by a key that equal subexpressions share; the slot of a node is its place in this order. */
    private final Map<String, Node> nodesByKey = new LinkedHashMap<>();
    private final Map<String, SyntaxTree> definitions = new HashMap<>();
    private final Map<String, String> definitionSources = new HashMap<>();
    private int scratchBytes;

    public Program(Inputs inputs) {
        this.inputs = inputs;
    }

    /** The names of all functions of the language. */
    public static Iterable<String> functions() {
        return Compiler.FUNCTION_SIGNATURES.keySet();
    }

    Inputs inputs() {
        return inputs;
    }

    /** Defines a name for an expression. Expressions compiled later may use it, and so may later definitions. */
    public void define(String name, String source) throws ExpressionException {
        SyntaxTree tree = Parser.parse(source);
        new Compiler(this, source).compile(tree);
        definitions.put(name, tree);
        definitionSources.put(name, source);
    }

    SyntaxTree definition(String name) {
        return definitions.get(name);
    }

    String definitionSource(String name) {
        return definitionSources.get(name);
    }

    /** All names given by {@link #define}. */
    public Iterable<String> names() {
        return definitions.keySet();
    }

    /** Compiles an expression; fails if it could take more than {@code budgetSteps} steps. */
    public Expression compile(String source, long budgetSteps) throws ExpressionException {
        SyntaxTree tree = Parser.parse(source);
        Compiler compiler = new Compiler(this, source);
        Node root = compiler.compile(tree);
        if (root.worstCaseSteps > budgetSteps) throw compiler.overBudget(tree, root, budgetSteps);
        return new Expression(root, source, compiler.notes());
    }

    /** The node for a key, made and given a slot if there is none yet. Equal subexpressions have equal keys. */
    Node intern(String key, Supplier<Node> factory) {
        Node node = nodesByKey.get(key);
        if (node == null) {
            node = factory.get();
            node.slot = nodesByKey.size();
            nodesByKey.put(key, node);
        }
        return node;
    }

    /** The steps that a request takes at most, even if every node of the program is evaluated; each counts once. */
    public long worstCaseSteps() {
        long sum = 0;
        for (Node node : nodesByKey.values()) sum = Node.saturatedAdd(sum, node.ownSteps);
        return sum;
    }

    /** Reserves scratch space in each frame and returns its offset. */
    int reserveScratch(long bytes) {
        int offset = scratchBytes;
        scratchBytes += (int) bytes;
        return offset;
    }

    int slotCount() {
        return nodesByKey.size();
    }

    int scratchBytes() {
        return scratchBytes;
    }

    private static String unstableInput(Node node) {
        if (node instanceof Node.ReadInput read) return read.input.stableOnRetry() ? null : read.input.name();
        if (node instanceof Node.TimeField) return "the time";
        for (Node operand : node.operands) {
            String unstable = unstableInput(operand);
            if (unstable != null) return unstable;
        }
        return null;
    }

    /** The value of each node of an expression, one a line, outermost first and operands indented below. */
    public static List<String> explain(Expression expression, Frame frame) {
        List<String> lines = new ArrayList<>();
        explainNode(expression.root, frame, 0, lines);
        return lines;
    }

    private static void explainNode(Node node, Frame frame, int depth, List<String> lines) {
        if (node instanceof Node.Constant || lines.size() > MAX_EXPLAINED_LINES) return;
        lines.add("  ".repeat(depth) + node.label() + " = " + describe(node, frame)
            + "  (" + node.type + ", at most " + node.worstCaseSteps + " steps)");
        for (Node operand : node.operands) explainNode(operand, frame, depth + 1, lines);
    }

    private static String describe(Node node, Frame frame) {
        node.evaluate(frame);
        int slot = node.slot;
        if (node.type.optional() && !frame.present[slot]) return "absent";
        return switch (node.type.kind()) {
            case BOOL -> frame.longs[slot] != 0 ? "true" : "false";
            case INT -> Long.toString(frame.longs[slot]);
            case DOUBLE -> Double.toString(frame.doubles[slot]);
            case DURATION -> frame.doubles[slot] + " ms";
            case SIZE -> frame.doubles[slot] + " bytes";
            case BYTES, ADDRESS -> quote(frame.bytes[slot], frame.starts[slot], frame.ends[slot]);
        };
    }

    private static String quote(byte[] bytes, int start, int end) {
        StringBuilder quoted = new StringBuilder("'");
        for (int i = start; i < end; i++) {
            int c = bytes[i] & 0xff;
            if (c >= ' ' && c < 127 && c != '\'' && c != '\\') quoted.append((char) c);
            else quoted.append(String.format(Locale.ROOT, "\\x%02x", c));
        }
        return quoted.append('\'').toString();
    }
}
