package mothcross.expr;

import com.google.re2j.Pattern;
import com.google.re2j.PatternSyntaxException;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import mothcross.expr.Type.Kind;

/**
 * Type checker and compiler: translates a syntax tree into nodes of a {@link Program}. It folds constants, shares
 * common subexpressions, fixes the worst-case cost of each operation, and notes parts that can never affect the result.
 * It makes no node whose cost is unbounded: an operation that reads a whole value requires one of limited length.
 */
final class Compiler {
    private static final int MAX_PATTERN_CHARS = 200;
    /** Limits the scratch space that a node reserves in every frame, and the second argument of first() and skip(). */
    private static final int MAX_COMPUTED_BYTES = 65_536;
    private static final int MAX_SPLIT_PIECES = 64;
    private static final long MAX_BUCKETS = 1_000_000_000;
    private static final double MAX_UTC_OFFSET_MS = 86_400_000;
    private static final int ADDRESS_BYTES = 16;
    private static final String HEADER_NAME = "[A-Za-z0-9!#$%&'*+.^_`|~-]{1,60}";
    private static final String IP_ADDRESS = "[0-9]{1,3}(\\.[0-9]{1,3}){3}|[0-9a-fA-F:]*:[0-9a-fA-F:.]*";
    /** Durations in milliseconds and sizes in bytes. */
    private static final Map<String, Double> UNITS = new TreeMap<>(Map.of("ms", 1.0, "s", 1e3, "m", 6e4, "h", 36e5, "d",
        864e5, "B", 1.0, "KB", 1e3, "MB", 1e6, "GB", 1e9));
    private static final List<String> DURATION_UNITS = List.of("ms", "s", "m", "h", "d");
    /** How each function is called; the names are also the completions of the expression shell. */
    static final Map<String, String> FUNCTION_SIGNATURES = new TreeMap<>(Map.ofEntries(
        Map.entry("header", "header('Name')"),
        Map.entry("has", "has(x)"),
        Map.entry("cut", "cut(input)"),
        Map.entry("starts", "starts(x, 'constant')"),
        Map.entry("ends", "ends(x, 'constant')"),
        Map.entry("contains", "contains(x, 'constant')"),
        Map.entry("split", "split(x, 'constant', most)[i]"),
        Map.entry("first", "first(x, n)"),
        Map.entry("skip", "skip(x, n)"),
        Map.entry("length", "length(x)"),
        Map.entry("decimal", "decimal(x)"),
        Map.entry("hex", "hex(x)"),
        Map.entry("lower", "lower(x)"),
        Map.entry("hash", "hash(x)"),
        Map.entry("bucket", "bucket(x, n)"),
        Map.entry("in_cidr", "in_cidr(address, '10.0.0.0/8')"),
        Map.entry("matches", "matches(x, 'pattern')"),
        Map.entry("time_of_day", "time_of_day(offset)"),
        Map.entry("weekday", "weekday(offset)"),
        Map.entry("double", "double(x)")));

    private final Program program;
    private final String source;
    private final List<String> notes = new ArrayList<>();

    Compiler(Program program, String source) {
        this.program = program;
        this.source = source;
    }

    /** Warnings about parts that can never affect the result. */
    List<String> notes() {
        return notes;
    }

    private ExpressionException error(SyntaxTree at, String message, String hint) {
        return new ExpressionException(source, at.from(), at.to(), message, hint);
    }

    ExpressionException overBudget(SyntaxTree tree, Node root, long budgetSteps) {
        return error(tree, "costs up to " + root.worstCaseSteps + " steps, the budget is " + budgetSteps,
            "shorten what is read, as in first(x, 32), or raise the budget");
    }

    Node compile(SyntaxTree tree) throws ExpressionException {
        Node node = foldConstants(compileNode(tree));
        if (node.worstCaseSteps == Node.UNBOUNDED_STEPS) throw error(tree, "has no bound of cost", null);
        return node;
    }

    /** Evaluates a node now if its value depends on constants only. */
    private Node foldConstants(Node node) {
        if (!node.isConstant() || node instanceof Node.Constant) return node;
        Frame frame = new Frame(program);
        frame.begin((number, into, slot) -> into.putAbsent(slot), 0);
        node.evaluate(frame);
        if (node.type.optional()) return node;
        int slot = node.slot;
        byte[] bytes = node.type.kind() == Kind.BYTES
            ? Arrays.copyOfRange(frame.bytes[slot], frame.starts[slot], frame.ends[slot]) : null;
        Type type = bytes != null ? Type.bytes(bytes.length) : node.type;
        return constant(type, frame.longs[slot], frame.doubles[slot], bytes);
    }

    private Node.Constant constant(Type type, long longValue, double doubleValue, byte[] bytes) {
        String key = "const " + type.kind() + ' ' + longValue + ' ' + doubleValue + ' '
            + (bytes == null ? "" : HexFormat.of().formatHex(bytes));
        return (Node.Constant) program.intern(key, () -> new Node.Constant(type, longValue, doubleValue, bytes));
    }

    /** The key by which equal operations on the same operands share a node. */
    private static String key(String operation, Node... operands) {
        StringBuilder key = new StringBuilder(operation);
        for (Node operand : operands) key.append(' ').append(operand.slot);
        return key.toString();
    }

    private Node compileNode(SyntaxTree tree) throws ExpressionException {
        if (tree instanceof SyntaxTree.NumberLiteral literal) return number(literal);
        if (tree instanceof SyntaxTree.StringLiteral literal) {
            return constant(Type.bytes(literal.bytes().length), 0, 0, literal.bytes());
        }
        if (tree instanceof SyntaxTree.BooleanLiteral literal) {
            return constant(Type.BOOL, literal.value() ? 1 : 0, 0, null);
        }
        if (tree instanceof SyntaxTree.Name name) return name(name);
        if (tree instanceof SyntaxTree.Call call) return call(call);
        if (tree instanceof SyntaxTree.Index index) return index(index);
        if (tree instanceof SyntaxTree.Unary unary) return unary(unary);
        if (tree instanceof SyntaxTree.Conditional conditional) return conditional(conditional);
        if (tree instanceof SyntaxTree.Binary binary) return binary(binary);
        throw error(tree, "a list or a range is allowed only to the right of 'in'", null);
    }

    private Node number(SyntaxTree.NumberLiteral literal) throws ExpressionException {
        boolean hasUnit = !literal.unit().isEmpty();
        Double unit = UNITS.get(literal.unit());
        if (hasUnit && unit == null) {
            throw error(literal, "no such unit '" + literal.unit() + "'",
                "known are " + String.join(", ", UNITS.keySet()));
        }
        if (!hasUnit && literal.digits().indexOf('.') < 0) {
            try {
                return constant(Type.INT, Long.parseLong(literal.digits()), 0, null);
            } catch (NumberFormatException e) {
                throw error(literal, "does not fit in 64 bits", null);
            }
        }
        double value = Double.parseDouble(literal.digits()) * (hasUnit ? unit : 1);
        Type type = !hasUnit ? Type.DOUBLE : DURATION_UNITS.contains(literal.unit()) ? Type.DURATION : Type.SIZE;
        return constant(type, 0, value, null);
    }

    private Node name(SyntaxTree.Name tree) throws ExpressionException {
        Inputs.Input input = program.inputs().get(tree.name());
        if (input != null) return read(input);
        SyntaxTree definition = program.definition(tree.name());
        if (definition != null) return new Compiler(program, program.definitionSource(tree.name())).compile(definition);
        List<String> known = new ArrayList<>();
        program.inputs().names().forEach(known::add);
        program.names().forEach(known::add);
        known.removeIf(name -> name.startsWith(Inputs.HEADER_PREFIX));
        String signature = FUNCTION_SIGNATURES.get(tree.name());
        throw error(tree, "nothing is named '" + tree.name() + "'", signature != null
            ? "a function is written " + signature : "known are " + String.join(", ", known));
    }

    private Node read(Inputs.Input input) {
        return program.intern("read " + input.name(), () -> new Node.ReadInput(input));
    }

    // ---- operators ----

    private Node requirePresent(SyntaxTree tree) throws ExpressionException {
        Node node = compile(tree);
        if (!node.type.optional()) return node;
        String example = "(" + text(tree) + " ?? " + (node.type.kind() == Kind.BYTES ? "''" : "0") + ")";
        throw error(tree, "may be absent, so it can't be used here without a default",
            "give a default, as in " + example + ", or test has(...) first with 'if'");
    }

    private Node require(SyntaxTree tree, Kind kind, String user) throws ExpressionException {
        Node node = requirePresent(tree);
        if (node.type.kind() == kind) return node;
        throw error(tree, user + " takes " + describe(kind) + ", this is " + node.type, kind == Kind.BOOL
            ? "compare it, as in x == 1" : null);
    }

    /** A kind in words, with its article. */
    private static String describe(Kind kind) {
        return switch (kind) {
            case BYTES -> "bytes";
            case BOOL -> "a boolean";
            case INT, ADDRESS -> "an " + kind.name().toLowerCase(Locale.ROOT);
            case DOUBLE, DURATION, SIZE -> "a " + kind.name().toLowerCase(Locale.ROOT);
        };
    }

    private Node unary(SyntaxTree.Unary tree) throws ExpressionException {
        if (tree.operator().equals("!")) {
            Node operand = require(tree.operand(), Kind.BOOL, "'!'");
            return foldConstants(program.intern(key("!", operand),
                () -> new Node.BooleanOperation('!', operand, null)));
        }
        Node operand = requirePresent(tree.operand());
        Type type = operand.type;
        boolean isNumber = type.kind() == Kind.INT || type.isFractional();
        if (!isNumber) throw error(tree.operand(), "'-' takes a number, this is " + type, null);
        Node zero = constant(type, 0, 0, null);
        return foldConstants(program.intern(key("-", zero, operand),
            () -> new Node.Arithmetic(type, '-', zero, operand)));
    }

    private Node conditional(SyntaxTree.Conditional tree) throws ExpressionException {
        Node condition = require(tree.condition(), Kind.BOOL, "'if'");
        Node thenBranch = compile(tree.thenBranch());
        Node elseBranch = compile(tree.elseBranch());
        if (thenBranch.type.kind() != elseBranch.type.kind()) {
            throw error(tree, "the branches differ in type: " + thenBranch.type + " and " + elseBranch.type, null);
        }
        if (condition instanceof Node.Constant constant) {
            boolean value = constant.longValue != 0;
            notes.add(quote(value ? tree.elseBranch() : tree.thenBranch()) + " is never evaluated");
            return value ? thenBranch : elseBranch;
        }
        Type type = commonType(thenBranch.type, elseBranch.type);
        return program.intern(key("if", condition, thenBranch, elseBranch),
            () -> new Node.Conditional(type, condition, thenBranch, elseBranch));
    }

    private String text(SyntaxTree tree) {
        return source.substring(tree.from(), tree.to());
    }

    private String quote(SyntaxTree tree) {
        return "'" + text(tree) + "'";
    }

    private static Type commonType(Type a, Type b) {
        return new Type(a.kind(), a.optional() || b.optional(), Math.max(a.maxLength(), b.maxLength()));
    }

    private Node binary(SyntaxTree.Binary tree) throws ExpressionException {
        return switch (tree.operator()) {
            case "&&", "||" -> logic(tree);
            case "??" -> coalesce(tree);
            case "in" -> membership(tree);
            case "==", "!=", "<", "<=", ">", ">=" -> compare(tree);
            default -> arithmetic(tree);
        };
    }

    private Node logic(SyntaxTree.Binary tree) throws ExpressionException {
        String user = "'" + tree.operator() + "'";
        Node left = require(tree.left(), Kind.BOOL, user);
        Node right = require(tree.right(), Kind.BOOL, user);
        boolean isAnd = tree.operator().equals("&&");
        for (Node side : List.of(left, right)) {
            if (!(side instanceof Node.Constant constant)) continue;
            boolean isNeutral = constant.longValue != 0 == isAnd;
            if (isNeutral) return side == left ? right : left;
            notes.add(quote(side == left ? tree.right() : tree.left()) + " has no effect: the other side decides");
            return side;
        }
        return program.intern(key(tree.operator(), left, right),
            () -> new Node.BooleanOperation(isAnd ? '&' : '|', left, right));
    }

    private Node coalesce(SyntaxTree.Binary tree) throws ExpressionException {
        Node value = compile(tree.left());
        Node defaultValue = compile(tree.right());
        Type left = value.type;
        Type right = defaultValue.type;
        if (!left.optional()) {
            throw error(tree.left(), "is never absent, so '??' has no use", "leave out the '??' and what follows it");
        }
        if (left.kind() != right.kind()) {
            throw error(tree.right(), "is the default for " + left + ", but is " + right, null);
        }
        Type type = new Type(left.kind(), right.optional(), Math.max(left.maxLength(), right.maxLength()));
        return program.intern(key("??", value, defaultValue), () -> new Node.Coalesce(type, value, defaultValue));
    }

    private Node arithmetic(SyntaxTree.Binary tree) throws ExpressionException {
        Node left = requirePresent(tree.left());
        Node right = requirePresent(tree.right());
        char operator = tree.operator().charAt(0);
        boolean isBytes = left.type.kind() == Kind.BYTES && right.type.kind() == Kind.BYTES;
        if (isBytes && operator == '+') return concatenation(tree, left, right);
        Type type = arithmeticType(operator, left.type, right.type);
        if (type == null) {
            throw error(tree, "'" + operator + "' is not defined for " + left.type + " and " + right.type, null);
        }
        boolean divides = operator == '/' || operator == '%';
        if (divides && type == Type.INT && !(right instanceof Node.Constant divisor && divisor.longValue != 0)) {
            throw error(tree.right(), "an integer can be divided only by a constant other than 0",
                "x / 8, or double(x) / y, which is defined for all y");
        }
        return foldConstants(program.intern(key(tree.operator() + type.kind(), left, right),
            () -> new Node.Arithmetic(type, operator, left, right)));
    }

    /** The type of the result, or null if the operation is not defined. Durations and sizes have dimensions. */
    private static Type arithmeticType(char operator, Type left, Type right) {
        boolean leftIsPlain = isPlainNumber(left.kind());
        boolean rightIsPlain = isPlainNumber(right.kind());
        if (leftIsPlain && rightIsPlain) {
            return left.kind() == Kind.INT && right.kind() == Kind.INT ? Type.INT : Type.DOUBLE;
        }
        if (left.kind() == right.kind() && left.isFractional()) {
            return switch (operator) {
                case '+', '-' -> left;
                case '/' -> Type.DOUBLE;
                default -> null;
            };
        }
        if (left.isFractional() && rightIsPlain && (operator == '*' || operator == '/')) return left;
        if (right.isFractional() && leftIsPlain && operator == '*') return right;
        return null;
    }

    /** Whether a kind is a number without a dimension. */
    private static boolean isPlainNumber(Kind kind) {
        return kind == Kind.INT || kind == Kind.DOUBLE;
    }

    private Node concatenation(SyntaxTree tree, Node left, Node right) throws ExpressionException {
        long maxLength = Node.saturatedAdd(left.type.maxLength(), right.type.maxLength());
        if (maxLength > MAX_COMPUTED_BYTES) {
            String result = maxLength == Type.UNBOUNDED ? "bytes of any length" : maxLength + " bytes";
            throw unboundedCost(tree, "joins to " + result, left, right);
        }
        return foldConstants(program.intern(key("join", left, right), () -> new Node.Concatenation(
            Type.bytes(maxLength), left, right, program.reserveScratch(maxLength))));
    }

    /** The error for an operation whose cost grows with the length of a client's input, and how to bound it. */
    private ExpressionException unboundedCost(SyntaxTree tree, String message, Node... operands) {
        String input = Arrays.stream(operands)
            .filter(operand -> operand.type.maxLength() == Type.UNBOUNDED)
            .map(Compiler::firstInput)
            .filter(Objects::nonNull)
            .findFirst().orElse(null);
        String hint = "bound it: first(x, 64) in place of x"
            + (input == null ? "" : ", or declare " + input + " with 'most' under reads");
        return error(tree, message + ": its cost would grow with what a client sends", hint);
    }

    private static String firstInput(Node node) {
        if (node instanceof Node.ReadInput read) return "'" + read.input.name() + "'";
        for (Node operand : node.operands) {
            String input = firstInput(operand);
            if (input != null) return input;
        }
        return null;
    }

    private Node compare(SyntaxTree.Binary tree) throws ExpressionException {
        Node left = requirePresent(tree.left());
        Node right = requirePresent(tree.right());
        String operator = tree.operator();
        Kind leftKind = left.type.kind();
        Kind rightKind = right.type.kind();
        boolean isEquality = operator.equals("==") || operator.equals("!=");
        if (leftKind == Kind.BYTES && rightKind == Kind.BYTES) {
            if (!isEquality) {
                throw error(tree, "bytes can be compared with == and != only, they have no order",
                    "decimal(x) ?? 0 makes a number of digits");
            }
            return bytesEquality(tree, left, right);
        }
        boolean areNumbers = isPlainNumber(leftKind) && isPlainNumber(rightKind);
        boolean areComparable = areNumbers
            || leftKind == rightKind && (left.type.isFractional() || leftKind == Kind.BOOL && isEquality);
        if (!areComparable) {
            throw error(tree, "'" + operator + "' does not compare " + left.type + " with " + right.type,
                leftKind == Kind.BYTES && rightKind == Kind.INT ? "decimal(x) ?? 0 makes a number of digits" : null);
        }
        return foldConstants(program.intern(key(operator, left, right),
            () -> new Node.NumberComparison(operator, left, right)));
    }

    private Node bytesEquality(SyntaxTree.Binary tree, Node left, Node right) throws ExpressionException {
        long shorter = Math.min(left.type.maxLength(), right.type.maxLength());
        if (shorter == Type.UNBOUNDED) throw unboundedCost(tree, "compares two values of any length", left, right);
        long ownSteps = Node.saturatedAdd(1, shorter);
        return foldConstants(program.intern(key(tree.operator(), left, right),
            () -> new Node.BytesEquality(left, right, tree.operator().equals("!="), ownSteps)));
    }

    private Node membership(SyntaxTree.Binary tree) throws ExpressionException {
        Node operand = requirePresent(tree.left());
        if (tree.right() instanceof SyntaxTree.Range range) return rangeMembership(tree, operand, range);
        List<Node.Constant> elements = new ArrayList<>();
        for (SyntaxTree element : ((SyntaxTree.ListLiteral) tree.right()).elements()) {
            elements.add(constantOf(element, operand));
        }
        if (elements.isEmpty()) throw error(tree.right(), "the list is empty", null);
        List<Node> keyNodes = new ArrayList<>(elements);
        keyNodes.add(0, operand);
        String key = key("among", keyNodes.toArray(Node[]::new));
        if (operand.type.kind() == Kind.BYTES) {
            int maxLength = elements.stream().mapToInt(element -> element.bytes.length).max().getAsInt();
            byte[][] table = hashTable(elements);
            long ownSteps = 1 + 2L * maxLength + elements.size();
            return foldConstants(program.intern(key,
                () -> new Node.InSet(operand, table, null, maxLength, ownSteps)));
        }
        if (operand.type.kind() != Kind.INT) {
            throw error(tree, "'in' a list takes bytes or an integer, this is " + operand.type, "x in 1..9");
        }
        long[] integers = elements.stream().mapToLong(element -> element.longValue).sorted().toArray();
        return foldConstants(program.intern(key,
            () -> new Node.InSet(operand, null, integers, 0, 1 + Node.InSet.BINARY_SEARCH_STEPS)));
    }

    private Node rangeMembership(SyntaxTree.Binary tree, Node operand, SyntaxTree.Range range)
        throws ExpressionException {
        Node.Constant low = constantOf(range.low(), operand);
        Node.Constant high = constantOf(range.high(), operand);
        boolean isEmpty = operand.type.isFractional() ? low.doubleValue > high.doubleValue
            : low.longValue > high.longValue;
        if (isEmpty) {
            notes.add(quote(tree) + " is never true: the range is empty");
            return constant(Type.BOOL, 0, 0, null);
        }
        return foldConstants(program.intern(key("within", operand, low, high),
            () -> new Node.InRange(operand, low, high)));
    }

    /** A table with open addressing, at most half full; its size is a power of two. */
    private static byte[][] hashTable(List<Node.Constant> elements) {
        int size = Integer.highestOneBit(Math.max(2, elements.size()) * 4 - 1);
        byte[][] table = new byte[size][];
        for (Node.Constant element : elements) {
            int index = (int) Node.Hash.of(element.bytes, 0, element.bytes.length) & size - 1;
            while (table[index] != null && !Arrays.equals(table[index], element.bytes)) index = index + 1 & size - 1;
            table[index] = element.bytes;
        }
        return table;
    }

    /** A constant to compare with an operand; an integer becomes a double where the operand is one. */
    private Node.Constant constantOf(SyntaxTree tree, Node operand) throws ExpressionException {
        Node node = compile(tree);
        if (!(node instanceof Node.Constant constant)) throw error(tree, "a constant is expected here", null);
        Kind kind = constant.type.kind();
        if (kind == operand.type.kind()) return constant;
        if (operand.type.kind() == Kind.DOUBLE && kind == Kind.INT) {
            return constant(Type.DOUBLE, 0, constant.longValue, null);
        }
        throw error(tree, "is " + constant.type + ", compared with " + operand.type, null);
    }

    // ---- functions ----

    private byte[] bytesConstantArgument(SyntaxTree.Call call, int index) throws ExpressionException {
        SyntaxTree argument = call.arguments().get(index);
        Node node = compile(argument);
        if (node instanceof Node.Constant constant && constant.bytes != null) return constant.bytes;
        throw error(argument, "a constant text is expected here: " + FUNCTION_SIGNATURES.get(call.name()),
            "two values of a request are compared with ==, after first(x, n)");
    }

    private String textConstantArgument(SyntaxTree.Call call, int index) throws ExpressionException {
        return new String(bytesConstantArgument(call, index), StandardCharsets.ISO_8859_1);
    }

    private long integerConstantArgument(SyntaxTree.Call call, int index, long min, long max)
        throws ExpressionException {
        SyntaxTree argument = call.arguments().get(index);
        Node node = compile(argument);
        if (node instanceof Node.Constant constant && constant.type.kind() == Kind.INT
            && constant.longValue >= min && constant.longValue <= max) {
            return constant.longValue;
        }
        throw error(argument, "a constant from " + min + " to " + max + " is expected here",
            FUNCTION_SIGNATURES.get(call.name()));
    }

    private Node bytesArgument(SyntaxTree.Call call, int index) throws ExpressionException {
        return require(call.arguments().get(index), Kind.BYTES, call.name() + "()");
    }

    private Node requireBounded(SyntaxTree.Call call, Node operand) throws ExpressionException {
        if (operand.type.maxLength() == Type.UNBOUNDED) {
            throw unboundedCost(call, call.name() + "() reads the whole of a value", operand);
        }
        return operand;
    }

    private void requireArgumentCount(SyntaxTree.Call call, int count) throws ExpressionException {
        requireArgumentCount(call, count, count);
    }

    private void requireArgumentCount(SyntaxTree.Call call, int min, int max) throws ExpressionException {
        int count = call.arguments().size();
        if (count >= min && count <= max) return;
        String expected = (min == max ? "" : min + " or ") + max + (min == 1 ? " argument" : " arguments");
        throw error(call, call.name() + "() takes " + expected + ", not " + count,
            FUNCTION_SIGNATURES.get(call.name()));
    }

    private Node call(SyntaxTree.Call call) throws ExpressionException {
        return switch (call.name()) {
            case "header" -> header(call);
            case "has" -> has(call);
            case "cut" -> wasTruncated(call);
            case "starts" -> substringTest(call, '^');
            case "ends" -> substringTest(call, '$');
            case "contains" -> substringTest(call, '*');
            case "split" -> throw error(call, "split() must be indexed", FUNCTION_SIGNATURES.get("split"));
            case "first", "skip" -> slice(call);
            case "length" -> length(call);
            case "decimal" -> parseInteger(call, 10);
            case "hex" -> parseInteger(call, 16);
            case "lower" -> lower(call);
            case "hash" -> hash(call);
            case "bucket" -> bucket(call);
            case "in_cidr" -> inCidr(call);
            case "time_of_day", "weekday" -> timeField(call);
            case "matches" -> matches(call);
            case "double" -> toDouble(call);
            default -> throw error(call, "there is no function " + call.name() + "()",
                "known are " + String.join(", ", FUNCTION_SIGNATURES.keySet()));
        };
    }

    private Node header(SyntaxTree.Call call) throws ExpressionException {
        requireArgumentCount(call, 1);
        String name = textConstantArgument(call, 0);
        if (!name.matches(HEADER_NAME)) throw error(call, "is not a valid header name", null);
        return read(program.inputs().getOrDeclareHeader(name));
    }

    private Node has(SyntaxTree.Call call) throws ExpressionException {
        requireArgumentCount(call, 1);
        SyntaxTree argument = call.arguments().get(0);
        Node operand = compile(argument);
        if (!operand.type.optional()) throw error(argument, "is never absent", "leave out has(...)");
        return program.intern(key("has", operand), () -> new Node.IsPresent(operand));
    }

    private Node wasTruncated(SyntaxTree.Call call) throws ExpressionException {
        requireArgumentCount(call, 1);
        SyntaxTree argument = call.arguments().get(0);
        Node operand = compile(argument);
        boolean mayBeTruncated = operand instanceof Node.ReadInput read
            && read.input.overflow() == Inputs.Overflow.TRUNCATE
            && operand.type.kind() == Kind.BYTES
            && operand.type.maxLength() != Type.UNBOUNDED;
        if (!mayBeTruncated) {
            throw error(argument, "is not an input that is cut at a maximum length", "declare it with past: 'cut'");
        }
        return program.intern(key("cut", operand), () -> new Node.WasTruncated(operand));
    }

    private Node substringTest(SyntaxTree.Call call, char anchor) throws ExpressionException {
        requireArgumentCount(call, 2);
        Node operand = bytesArgument(call, 0);
        byte[] pattern = bytesConstantArgument(call, 1);
        long ownSteps = 1 + pattern.length;
        if (anchor == '*') {
            requireBounded(call, operand);
            long comparisons = Node.saturatedMultiply(operand.type.maxLength(), Math.max(1, pattern.length));
            ownSteps = Node.saturatedAdd(1, comparisons);
        }
        long steps = ownSteps;
        return foldConstants(program.intern(key(call.name() + HexFormat.of().formatHex(pattern), operand),
            () -> new Node.SubstringTest(operand, pattern, anchor, steps)));
    }

    private Node slice(SyntaxTree.Call call) throws ExpressionException {
        requireArgumentCount(call, 2);
        Node operand = bytesArgument(call, 0);
        int length = (int) integerConstantArgument(call, 1, 0, MAX_COMPUTED_BYTES);
        boolean isPrefix = call.name().equals("first");
        long maxLength = operand.type.maxLength();
        long resultLength = isPrefix ? Math.min(length, maxLength)
            : maxLength == Type.UNBOUNDED ? Type.UNBOUNDED : Math.max(0, maxLength - length);
        return foldConstants(program.intern(key(call.name() + length, operand),
            () -> new Node.Slice(Type.bytes(resultLength), operand, length, isPrefix)));
    }

    private Node length(SyntaxTree.Call call) throws ExpressionException {
        requireArgumentCount(call, 1);
        Node operand = bytesArgument(call, 0);
        return foldConstants(program.intern(key("length", operand), () -> new Node.Length(operand)));
    }

    private Node parseInteger(SyntaxTree.Call call, int base) throws ExpressionException {
        requireArgumentCount(call, 1);
        Node operand = bytesArgument(call, 0);
        return program.intern(key(call.name(), operand), () -> new Node.ParseInteger(operand, base));
    }

    private Node lower(SyntaxTree.Call call) throws ExpressionException {
        requireArgumentCount(call, 1);
        Node operand = requireBounded(call, bytesArgument(call, 0));
        long maxLength = operand.type.maxLength();
        if (maxLength > MAX_COMPUTED_BYTES) {
            throw error(call, "makes more than " + MAX_COMPUTED_BYTES + " bytes", null);
        }
        return foldConstants(program.intern(key("lower", operand),
            () -> new Node.ToLowerCase(operand, program.reserveScratch(maxLength))));
    }

    private Node hash(SyntaxTree.Call call) throws ExpressionException {
        requireArgumentCount(call, 1);
        SyntaxTree argument = call.arguments().get(0);
        Node operand = requirePresent(argument);
        Kind kind = operand.type.kind();
        boolean isBytes = kind == Kind.BYTES || kind == Kind.ADDRESS;
        if (!isBytes && kind != Kind.INT) throw error(argument, "hash() takes bytes or an integer", null);
        if (isBytes) requireBounded(call, operand);
        long maxLength = kind == Kind.ADDRESS ? ADDRESS_BYTES : operand.type.maxLength();
        long ownSteps = isBytes ? Node.saturatedAdd(1, maxLength) : 1;
        return foldConstants(program.intern(key("hash", operand), () -> new Node.Hash(operand, ownSteps)));
    }

    private Node bucket(SyntaxTree.Call call) throws ExpressionException {
        requireArgumentCount(call, 2);
        long bucketCount = integerConstantArgument(call, 1, 1, MAX_BUCKETS);
        SyntaxTree argument = call.arguments().get(0);
        Node operand = requirePresent(argument);
        Node hash = operand.type.kind() == Kind.INT ? operand
            : hash(new SyntaxTree.Call(call.from(), call.to(), "hash", List.of(argument)));
        return foldConstants(program.intern(key("bucket" + bucketCount, hash),
            () -> new Node.Bucket(hash, bucketCount)));
    }

    private Node timeField(SyntaxTree.Call call) throws ExpressionException {
        requireArgumentCount(call, 0, 1);
        boolean isWeekday = call.name().equals("weekday");
        Node offset = call.arguments().isEmpty() ? constant(Type.DURATION, 0, 0, null)
            : compile(call.arguments().get(0));
        boolean isValid = offset instanceof Node.Constant constant
            && constant.type.kind() == Kind.DURATION
            && Math.abs(constant.doubleValue) <= MAX_UTC_OFFSET_MS;
        if (!isValid) {
            throw error(call.arguments().get(0), "a constant duration of a day at most is expected here", "1h, -5h");
        }
        double offsetMs = ((Node.Constant) offset).doubleValue;
        return program.intern(call.name() + offsetMs, () -> new Node.TimeField(offsetMs, isWeekday));
    }

    private Node toDouble(SyntaxTree.Call call) throws ExpressionException {
        requireArgumentCount(call, 1);
        Node operand = require(call.arguments().get(0), Kind.INT, "double()");
        Node zero = constant(Type.DOUBLE, 0, 0, null);
        // The same key as operand + 0.0, which is the same node.
        return foldConstants(program.intern(key("+DOUBLE", operand, zero),
            () -> new Node.Arithmetic(Type.DOUBLE, '+', operand, zero)));
    }

    private Node index(SyntaxTree.Index tree) throws ExpressionException {
        if (!(tree.indexed() instanceof SyntaxTree.Call call && call.name().equals("split"))) {
            throw error(tree.indexed(), "only split() can be indexed", FUNCTION_SIGNATURES.get("split"));
        }
        Node index = compile(tree.index());
        if (index instanceof Node.Constant constant && constant.type.kind() == Kind.INT
            && constant.longValue >= 0 && constant.longValue < MAX_SPLIT_PIECES) {
            return split(call, (int) constant.longValue);
        }
        throw error(tree.index(), "the index must be a constant from 0 to " + (MAX_SPLIT_PIECES - 1), null);
    }

    private Node split(SyntaxTree.Call call, int index) throws ExpressionException {
        requireArgumentCount(call, 3);
        Node operand = requireBounded(call, bytesArgument(call, 0));
        byte[] separator = bytesConstantArgument(call, 1);
        if (separator.length == 0) throw error(call.arguments().get(1), "the separator must not be empty", null);
        int maxPieces = (int) integerConstantArgument(call, 2, 1, MAX_SPLIT_PIECES);
        if (index >= maxPieces) throw error(call, "has pieces 0 to " + (maxPieces - 1) + ", not " + index, null);
        long comparisons = Node.saturatedMultiply(operand.type.maxLength(), separator.length);
        long ownSteps = Node.saturatedAdd(1, comparisons);
        String operation = "split" + HexFormat.of().formatHex(separator) + ' ' + index + ' ' + maxPieces;
        return program.intern(key(operation, operand),
            () -> new Node.SplitPiece(operand, separator, index, maxPieces, ownSteps));
    }

    private Node inCidr(SyntaxTree.Call call) throws ExpressionException {
        requireArgumentCount(call, 2);
        Node operand = require(call.arguments().get(0), Kind.ADDRESS, "in_cidr()");
        String range = textConstantArgument(call, 1);
        int slash = range.indexOf('/');
        try {
            byte[] network = parseAddress(slash < 0 ? range : range.substring(0, slash));
            int prefixBits = slash < 0 ? 8 * network.length : Integer.parseInt(range.substring(slash + 1));
            if (prefixBits < 0 || prefixBits > 8 * network.length) throw new IllegalArgumentException("prefix length");
            return program.intern(key("cidr" + range, operand), () -> new Node.InCidr(operand, network, prefixBits));
        } catch (IllegalArgumentException e) {
            throw error(call.arguments().get(1), "is not a valid address range", "'10.0.0.0/8', 'fd00::/8'");
        }
    }

    /** Parses an IP address; host names are rejected, so that no name is ever resolved. */
    private static byte[] parseAddress(String address) {
        if (!address.matches(IP_ADDRESS)) throw new IllegalArgumentException("address");
        try {
            return InetAddress.getByName(address).getAddress();
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException(e);
        }
    }

    private Node matches(SyntaxTree.Call call) throws ExpressionException {
        requireArgumentCount(call, 2);
        Node operand = requireBounded(call, bytesArgument(call, 0));
        String regex = textConstantArgument(call, 1);
        SyntaxTree argument = call.arguments().get(1);
        if (regex.length() > MAX_PATTERN_CHARS) {
            throw error(argument, "longer than " + MAX_PATTERN_CHARS + " characters", null);
        }
        Pattern pattern;
        try {
            pattern = Pattern.compile(regex);
        } catch (PatternSyntaxException e) {
            throw error(argument, "is not a valid pattern: " + e.getDescription(), null);
        }
        // Each byte is processed by each state of the automaton at most once, at constant cost.
        long positions = Node.saturatedAdd(2, operand.type.maxLength());
        long ownSteps = Node.saturatedAdd(1, Node.saturatedMultiply(positions, pattern.programSize()));
        return program.intern(key("matches" + regex, operand), () -> new Node.RegexMatch(operand, pattern, ownSteps));
    }
}
