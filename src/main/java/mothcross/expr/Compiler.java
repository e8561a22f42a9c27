package mothcross.expr;

import com.google.re2j.Pattern;
import com.google.re2j.PatternSyntaxException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import mothcross.expr.Type.Kind;

/**
 * From tree to parts of a program: types, bounds and costs are checked on the way, constants folded, what can never
 * matter is noted. Owns the rules of types and what each operation costs at worst; must never make a part whose cost
 * has no bound.
 */
final class Compiler {
    private static final int MAX_PATTERN_CHARS = 200, MAX_COMPUTED_BYTES = 65_536, MAX_SPLIT_PIECES = 64;
    private static final Map<String, Double> UNITS = new TreeMap<>(Map.of("ms", 1.0, "s", 1e3, "m", 6e4, "h", 36e5, "d",
        864e5, "B", 1.0, "KB", 1e3, "MB", 1e6, "GB", 1e9));
    private static final List<String> DURATION_UNITS = List.of("ms", "s", "m", "h", "d");
    /** How each function is written; also what the shell completes. */
    static final Map<String, String> FUNCTION_SIGNATURES = new TreeMap<>(Map.ofEntries(Map.entry("header",
        "header('Name')"),
        Map.entry("has", "has(x)"), Map.entry("cut", "cut(input)"), Map.entry("starts", "starts(x, 'constant')"),
        Map.entry("ends", "ends(x, 'constant')"), Map.entry("contains", "contains(x, 'constant')"),
        Map.entry("split", "split(x, 'constant', most)[i]"), Map.entry("first", "first(x, n)"),
        Map.entry("skip", "skip(x, n)"), Map.entry("length", "length(x)"), Map.entry("decimal", "decimal(x)"),
        Map.entry("hex", "hex(x)"), Map.entry("lower", "lower(x)"), Map.entry("hash", "hash(x)"),
        Map.entry("bucket", "bucket(x, n)"), Map.entry("in_cidr", "in_cidr(address, '10.0.0.0/8')"),
        Map.entry("matches", "matches(x, 'pattern')"), Map.entry("time_of_day", "time_of_day(offset)"),
        Map.entry("weekday", "weekday(offset)"), Map.entry("double", "double(x)")));

    private final Program program;
    private final String source;
    private final List<String> notes = new ArrayList<>();
    private int requestedPiece = -1;                                // of the split being indexed

    Compiler(Program program, String text) {
        this.program = program;
        this.source = text;
    }

    List<String> notes() {
        return notes;
    }

    private ExpressionException error(SyntaxTree at, String message, String hint) {
        return new ExpressionException(source, at.from(), at.to(), message, hint);
    }

    /** Names the dearest part that is dear by itself. */
    ExpressionException overBudget(SyntaxTree t, Node root, long budget) {
        return error(t, "costs up to " + root.worstCaseSteps + " steps, the budget is " + budget,
            "shorten what is read, as in first(x, 32), or give the budget more");
    }

    Node compile(SyntaxTree t) throws ExpressionException {
        Node n = foldConstants(compileNode(t));
        if (n.worstCaseSteps == Node.UNBOUNDED_STEPS) throw error(t, "has no bound of cost", null);
        return n;
    }

    /** What stands on constants alone is computed now. */
    private Node foldConstants(Node n) {
        if (!n.isConstant() || n instanceof Node.Constant) return n;
        Frame f = new Frame(program);
        f.begin((number, into, slot) -> into.putAbsent(slot), 0);
        n.evaluate(f);
        if (n.type.optional()) return n;
        byte[] b = n.type.kind() == Kind.BYTES ? Arrays.copyOfRange(f.bytes[n.slot], f.starts[n.slot], f.ends[n.slot])
            : null;
        Type type = b != null ? Type.bytes(b.length) : n.type;
        return constant(type, f.longs[n.slot], f.doubles[n.slot], b);
    }

    private Node.Constant constant(Type type, long whole, double number, byte[] b) {
        String key = "const " + type.kind() + ' ' + whole + ' ' + number + ' ' + (b == null ? ""
            : HexFormat.of().formatHex(b));
        return (Node.Constant) program.intern(key, () -> new Node.Constant(type, whole, number, b));
    }

    private static String key(String what, Node... parts) {
        StringBuilder s = new StringBuilder(what);
        for (Node p : parts) s.append(' ').append(p.slot);
        return s.toString();
    }

    private Node compileNode(SyntaxTree t) throws ExpressionException {
        if (t instanceof SyntaxTree.NumberLiteral n) return number(n);
        if (t instanceof SyntaxTree.StringLiteral x) return constant(Type.bytes(x.bytes().length), 0, 0, x.bytes());
        if (t instanceof SyntaxTree.BooleanLiteral x) return constant(Type.BOOL, x.value() ? 1 : 0, 0, null);
        if (t instanceof SyntaxTree.Name x) return name(x);
        if (t instanceof SyntaxTree.Call x) return call(x);
        if (t instanceof SyntaxTree.Index x) return index(x);
        if (t instanceof SyntaxTree.Unary x) return unary(x);
        if (t instanceof SyntaxTree.Conditional x) return conditional(x);
        if (t instanceof SyntaxTree.Binary x) return binary(x);
        throw error(t, "a list or a range stands only right of 'in'", null);
    }

    private Node number(SyntaxTree.NumberLiteral n) throws ExpressionException {
        Double unit = UNITS.get(n.unit());
        if (!n.unit().isEmpty() && unit == null) {
            throw error(n, "no such unit '" + n.unit() + "'", "known are " + String.join(", ", UNITS.keySet()));
        }
        if (n.unit().isEmpty() && n.digits().indexOf('.') < 0) {
            try {
                return constant(Type.INT, Long.parseLong(n.digits()), 0, null);
            } catch (NumberFormatException e) {
                throw error(n, "is past 64 bits", null);
            }
        }
        double v = Double.parseDouble(n.digits()) * (unit == null ? 1 : unit);
        Type type = unit == null ? Type.DOUBLE : DURATION_UNITS.contains(n.unit()) ? Type.DURATION : Type.SIZE;
        return constant(type, 0, v, null);
    }

    private Node name(SyntaxTree.Name t) throws ExpressionException {
        Inputs.Input in = program.inputs().get(t.name());
        if (in != null) return program.intern("read " + in.name(), () -> new Node.ReadInput(in));
        SyntaxTree named = program.definition(t.name());
        if (named != null) return new Compiler(program, program.definitionSource(t.name())).compile(named);
        List<String> known = new ArrayList<>();
        program.inputs().names().forEach(known::add);
        program.names().forEach(known::add);
        known.removeIf(k -> k.startsWith("header:"));
        String how = FUNCTION_SIGNATURES.get(t.name());
        throw error(t, "nothing is named '" + t.name() + "'", how != null ? "a function is written " + how
            : "known are " + String.join(", ", known));
    }

    // ---- operators ----

    private Node requirePresent(SyntaxTree t) throws ExpressionException {
        Node n = compile(t);
        if (!n.type.optional()) return n;
        throw error(t, "may be absent, so it can't be used here as it is",
            "give what counts then, as in (" + source.substring(t.from(), t.to()) + " ?? "
                + (n.type.kind() == Kind.BYTES ? "''" : "0") + "), or ask has(...) first with 'if'");
    }

    private Node require(SyntaxTree t, Kind kind, String what) throws ExpressionException {
        Node n = requirePresent(t);
        if (n.type.kind() == kind) return n;
        throw error(t, what + " takes " + describe(kind) + ", this is " + n.type, kind == Kind.BOOL
            ? "compare it, as in x == 1" : null);
    }

    private static String describe(Kind k) {
        return k == Kind.BYTES ? "bytes" : (k == Kind.INT || k == Kind.ADDRESS ? "an " : "a ")
            + (k == Kind.BOOL ? "truth" : k.name().toLowerCase(java.util.Locale.ROOT));
    }

    private Node unary(SyntaxTree.Unary t) throws ExpressionException {
        if (t.operator().equals("!")) {
            Node a = require(t.operand(), Kind.BOOL, "'!'");
            return foldConstants(program.intern(key("!", a), () -> new Node.BooleanOperation('!', a, null)));
        }
        Node a = requirePresent(t.operand());
        boolean number = a.type.kind() == Kind.INT || a.type.isFractional();
        if (!number) throw error(t.operand(), "'-' takes a number, this is " + a.type, null);
        Node zero = constant(a.type, 0, 0, null);
        return foldConstants(program.intern(key("-", zero, a), () -> new Node.Arithmetic(a.type, '-', zero, a)));
    }

    private Node conditional(SyntaxTree.Conditional t) throws ExpressionException {
        Node c = require(t.condition(), Kind.BOOL, "'if'"), yes = compile(t.thenBranch()), no = compile(t.elseBranch());
        if (yes.type.kind() != no.type.kind()) {
            throw error(t, "one way gives " + yes.type + ", the other " + no.type, null);
        }
        if (c instanceof Node.Constant k) {
            notes.add(quote(k.longValue != 0 ? t.elseBranch() : t.thenBranch()) + " can never come");
            return k.longValue != 0 ? yes : no;
        }
        Type type = wider(yes.type, no.type);
        return program.intern(key("if", c, yes, no), () -> new Node.Conditional(type, c, yes, no));
    }

    private String quote(SyntaxTree t) {
        return "'" + source.substring(t.from(), t.to()) + "'";
    }

    private static Type wider(Type a, Type b) {
        return new Type(a.kind(), a.optional() || b.optional(), Math.max(a.maxLength(), b.maxLength()));
    }

    private Node binary(SyntaxTree.Binary t) throws ExpressionException {
        return switch (t.operator()) {
            case "&&", "||" -> logic(t);
            case "??" -> coalesce(t);
            case "in" -> membership(t);
            case "==", "!=", "<", "<=", ">", ">=" -> compare(t);
            default -> arithmetic(t);
        };
    }

    private Node logic(SyntaxTree.Binary t) throws ExpressionException {
        Node a = require(t.left(), Kind.BOOL, "'" + t.operator() + "'"),
            b = require(t.right(), Kind.BOOL, "'" + t.operator() + "'");
        boolean and = t.operator().equals("&&");
        for (Node n : List.of(a, b)) {
            if (!(n instanceof Node.Constant k)) continue;
            SyntaxTree other = n == a ? t.right() : t.left();
            if (k.longValue != 0 == and) return n == a ? b : a;         // says nothing
            notes.add(quote(other) + " never matters: the other side decides");
            return n;
        }
        return program.intern(key(t.operator(), a, b), () -> new Node.BooleanOperation(and ? '&' : '|', a, b));
    }

    private Node coalesce(SyntaxTree.Binary t) throws ExpressionException {
        Node a = compile(t.left()), b = compile(t.right());
        if (!a.type.optional()) {
            throw error(t.left(), "is always there, so '??' has no use", "leave out the '??' and what follows it");
        }
        if (a.type.kind() != b.type.kind()) throw error(t.right(), "stands in for " + a.type + ", but is " + b.type,
            null);
        Type type = new Type(a.type.kind(), b.type.optional(), Math.max(a.type.maxLength(), b.type.maxLength()));
        return program.intern(key("??", a, b), () -> new Node.Coalesce(type, a, b));
    }

    private Node arithmetic(SyntaxTree.Binary t) throws ExpressionException {
        Node a = requirePresent(t.left()), b = requirePresent(t.right());
        char op = t.operator().charAt(0);
        Kind x = a.type.kind(), y = b.type.kind();
        if (x == Kind.BYTES && y == Kind.BYTES && op == '+') return concatenation(t, a, b);
        boolean xs = x == Kind.INT || x == Kind.DOUBLE, ys = y == Kind.INT || y == Kind.DOUBLE;
        Type type = null;
        if (xs && ys) type = x == Kind.INT && y == Kind.INT ? Type.INT : Type.DOUBLE;
        else if (x == y && a.type.isFractional()) type = op == '+' || op == '-' ? a.type
            : op == '/' ? Type.DOUBLE : null;
        else if (a.type.isFractional() && ys && (op == '*' || op == '/')) type = a.type;
        else if (b.type.isFractional() && xs && op == '*') type = b.type;
        if (type == null) throw error(t, "'" + op + "' is not defined for " + a.type + " and " + b.type, null);
        boolean divides = op == '/' || op == '%';
        if (divides && type == Type.INT && !(b instanceof Node.Constant k && k.longValue != 0)) {
            throw error(t.right(), "an integer is divided by a constant other than 0 only",
                "x / 8, or double(x) / y, which has a value for all y");
        }
        Type of = type;
        return foldConstants(program.intern(key(t.operator() + type.kind(), a, b),
            () -> new Node.Arithmetic(of, op, a, b)));
    }

    private Node concatenation(SyntaxTree t, Node a, Node b) throws ExpressionException {
        long most = Node.saturatedAdd(a.type.maxLength(), b.type.maxLength());
        if (most > MAX_COMPUTED_BYTES) {
            throw unboundedCost(t, "joins to " + (most == Type.UNBOUNDED ? "bytes of any length" : most + " bytes"), a,
                b);
        }
        return foldConstants(program.intern(key("join", a, b), () -> new Node.Concatenation(Type.bytes(most), a, b,
            program.reserveScratch(most))));
    }

    /** A refusal for what grows with what a client sends, and how it is written with a bound. */
    private ExpressionException unboundedCost(SyntaxTree t, String what, Node... parts) {
        String of = Arrays.stream(parts).filter(p -> p.type.maxLength() == Type.UNBOUNDED).map(Compiler::firstInput)
            .filter(s -> s != null).findFirst().orElse(null);
        String hint = "bound it: first(x, 64) in place of x" + (of == null ? ""
            : ", or declare " + of + " with 'most' under reads");
        return error(t, what + ": its cost would grow with what a client sends", hint);
    }

    private static String firstInput(Node n) {
        if (n instanceof Node.ReadInput r) return "'" + r.input.name() + "'";
        for (Node p : n.operands) if (firstInput(p) != null) return firstInput(p);
        return null;
    }

    private Node compare(SyntaxTree.Binary t) throws ExpressionException {
        Node a = requirePresent(t.left()), b = requirePresent(t.right());
        Kind x = a.type.kind(), y = b.type.kind();
        boolean same = t.operator().equals("==") || t.operator().equals("!=");
        if (x == Kind.BYTES && y == Kind.BYTES) {
            if (!same) throw error(t, "bytes are the same or not, they have no order",
                "decimal(x) ?? 0 makes a number of digits");
            long shorter = Math.min(a.type.maxLength(), b.type.maxLength());
            if (shorter == Type.UNBOUNDED) throw unboundedCost(t, "compares two values of any length", a, b);
            long own = Node.saturatedAdd(1, shorter);
            return foldConstants(program.intern(key(t.operator(), a, b),
                () -> new Node.BytesEquality(a, b, t.operator().equals("!="), own)));
        }
        boolean numbers = (x == Kind.INT || x == Kind.DOUBLE) && (y == Kind.INT || y == Kind.DOUBLE);
        boolean fits = numbers || x == y && (a.type.isFractional() || x == Kind.BOOL && same);
        if (!fits) {
            throw error(t, "'" + t.operator() + "' does not compare " + a.type + " with " + b.type,
                x == Kind.BYTES && y == Kind.INT ? "decimal(x) ?? 0 makes a number of digits" : null);
        }
        return foldConstants(program.intern(key(t.operator(), a, b),
            () -> new Node.NumberComparison(t.operator(), a, b)));
    }

    private Node membership(SyntaxTree.Binary t) throws ExpressionException {
        Node a = requirePresent(t.left());
        if (t.right() instanceof SyntaxTree.Range r) {
            Node.Constant low = constantOf(r.low(), a), high = constantOf(r.high(), a);
            boolean none = a.type.isFractional() ? low.doubleValue > high.doubleValue : low.longValue > high.longValue;
            if (none) {
                notes.add("'" + source.substring(t.from(), t.to()) + "' is never true: the range is empty");
                return constant(Type.BOOL, 0, 0, null);
            }
            return foldConstants(program.intern(key("within", a, low, high), () -> new Node.InRange(a, low, high)));
        }
        List<Node.Constant> all = new ArrayList<>();
        for (SyntaxTree x : ((SyntaxTree.ListLiteral) t.right()).elements()) all.add(constantOf(x, a));
        if (all.isEmpty()) throw error(t.right(), "the list is empty", null);
        Node[] keyed = new Node[all.size() + 1];
        keyed[0] = a;
        for (int i = 0; i < all.size(); i++) keyed[i + 1] = all.get(i);
        if (a.type.kind() == Kind.BYTES) {
            int longest = all.stream().mapToInt(c -> c.bytes.length).max().getAsInt();
            int size = Integer.highestOneBit(Math.max(2, all.size()) * 4 - 1);
            byte[][] texts = new byte[size][];
            for (Node.Constant c : all) {
                int at = (int) Node.Hash.of(c.bytes, 0, c.bytes.length) & size - 1;
                while (texts[at] != null && !Arrays.equals(texts[at], c.bytes)) at = at + 1 & size - 1;
                texts[at] = c.bytes;
            }
            long own = 1 + 2L * longest + all.size();
            return foldConstants(program.intern(key("among", keyed),
                () -> new Node.InSet(a, texts, null, longest, own)));
        }
        if (a.type.kind() != Kind.INT) throw error(t, "'in' a list takes bytes or an integer, this is " + a.type,
            "x in 1..9");
        long[] wholes = all.stream().mapToLong(c -> c.longValue).sorted().toArray();
        return foldConstants(program.intern(key("among", keyed), () -> new Node.InSet(a, null, wholes, 0, 65)));
    }

    private Node.Constant constantOf(SyntaxTree t, Node like) throws ExpressionException {
        Node n = compile(t);
        if (!(n instanceof Node.Constant c)) throw error(t, "a constant is expected here", null);
        if (c.type.kind() == like.type.kind()) return c;
        if (like.type.kind() == Kind.DOUBLE && c.type.kind() == Kind.INT) return constant(Type.DOUBLE, 0, c.longValue,
            null);
        throw error(t, "is " + c.type + ", compared with " + like.type, null);
    }

    // ---- functions ----

    private byte[] bytesConstantArgument(SyntaxTree.Call t, int i) throws ExpressionException {
        Node n = compile(t.arguments().get(i));
        if (n instanceof Node.Constant c && c.bytes != null) return c.bytes;
        throw error(t.arguments().get(i), "a constant text is expected here: " + FUNCTION_SIGNATURES.get(t.name()),
            "two values of a request are compared with ==, after first(x, n)");
    }

    private long integerConstantArgument(SyntaxTree.Call t, int i, long least, long most) throws ExpressionException {
        Node n = compile(t.arguments().get(i));
        if (n instanceof Node.Constant c && c.type.kind() == Kind.INT && c.longValue >= least
            && c.longValue <= most) return c.longValue;
        throw error(t.arguments().get(i), "a constant from " + least + " to " + most + " is expected here",
            FUNCTION_SIGNATURES.get(t.name()));
    }

    private Node bytesArgument(SyntaxTree.Call t, int i) throws ExpressionException {
        return require(t.arguments().get(i), Kind.BYTES, t.name() + "()");
    }

    private Node requireBounded(SyntaxTree.Call t, Node a) throws ExpressionException {
        if (a.type.maxLength() == Type.UNBOUNDED) throw unboundedCost(t, t.name() + "() goes through all of a value",
            a);
        return a;
    }

    private void requireArgumentCount(SyntaxTree.Call t, int least, int most) throws ExpressionException {
        int n = t.arguments().size();
        if (n < least || n > most) {
            throw error(t, t.name() + "() has " + n + " values in place of " + (least == most ? most : least + " or "
                + most),
                FUNCTION_SIGNATURES.get(t.name()));
        }
    }

    private Node call(SyntaxTree.Call t) throws ExpressionException {
        switch (t.name()) {
            case "header" -> {
                requireArgumentCount(t, 1, 1);
                String name = new String(bytesConstantArgument(t, 0), StandardCharsets.ISO_8859_1);
                if (!name.matches("[A-Za-z0-9!#$%&'*+.^_`|~-]{1,60}")) throw error(t, "is no name of a header", null);
                Inputs.Input in = program.inputs().headerOrUndeclared(name);
                return program.intern("read " + in.name(), () -> new Node.ReadInput(in));
            }
            case "has" -> {
                requireArgumentCount(t, 1, 1);
                Node a = compile(t.arguments().get(0));
                if (!a.type.optional()) throw error(t.arguments().get(0), "is always there", "leave out has(...)");
                return program.intern(key("has", a), () -> new Node.IsPresent(a));
            }
            case "cut" -> {
                requireArgumentCount(t, 1, 1);
                Node a = compile(t.arguments().get(0));
                boolean may = a instanceof Node.ReadInput r && r.input.overflow() == Inputs.Overflow.TRUNCATE
                    && a.type.kind() == Kind.BYTES && a.type.maxLength() != Type.UNBOUNDED;
                if (!may) throw error(t.arguments().get(0), "is no input that is cut at a bound",
                    "declare it with past: 'cut'");
                return program.intern(key("cut", a), () -> new Node.WasTruncated(a));
            }
            case "starts", "ends", "contains" -> {
                requireArgumentCount(t, 2, 2);
                Node a = bytesArgument(t, 0);
                byte[] what = bytesConstantArgument(t, 1);
                char where = t.name().equals("starts") ? '^' : t.name().equals("ends") ? '$' : '*';
                if (where == '*') requireBounded(t, a);
                long own = where == '*' ? Node.saturatedAdd(1,
                    Node.saturatedMultiply(a.type.maxLength(), Math.max(1, what.length))) : 1
                    + what.length;
                String k = key(t.name() + HexFormat.of().formatHex(what), a);
                return foldConstants(program.intern(k, () -> new Node.SubstringTest(a, what, where, own)));
            }
            case "split" -> {
                return split(t);
            }
            case "first", "skip" -> {
                requireArgumentCount(t, 2, 2);
                Node a = bytesArgument(t, 0);
                int n = (int) integerConstantArgument(t, 1, 0, MAX_COMPUTED_BYTES);
                boolean first = t.name().equals("first");
                Type type = first ? Type.bytes(Math.min(n, a.type.maxLength()))
                    : Type.bytes(a.type.maxLength() == Type.UNBOUNDED ? Type.UNBOUNDED
                        : Math.max(0, a.type.maxLength() - n));
                return foldConstants(program.intern(key(t.name() + n, a), () -> new Node.Slice(type, a, n, first)));
            }
            case "length" -> {
                requireArgumentCount(t, 1, 1);
                Node a = bytesArgument(t, 0);
                return foldConstants(program.intern(key("length", a), () -> new Node.Length(a)));
            }
            case "decimal", "hex" -> {
                requireArgumentCount(t, 1, 1);
                Node a = bytesArgument(t, 0);
                int base = t.name().equals("hex") ? 16 : 10;
                return program.intern(key(t.name(), a), () -> new Node.ParseInteger(a, base));
            }
            case "lower" -> {
                requireArgumentCount(t, 1, 1);
                Node a = requireBounded(t, bytesArgument(t, 0));
                if (a.type.maxLength() > MAX_COMPUTED_BYTES) throw error(t, "makes more than " + MAX_COMPUTED_BYTES
                    + " bytes", null);
                return foldConstants(program.intern(key("lower", a), () ->
                    new Node.ToLowerCase(a, program.reserveScratch(a.type.maxLength()))));
            }
            case "hash" -> {
                requireArgumentCount(t, 1, 1);
                Node a = requirePresent(t.arguments().get(0));
                boolean bytes = a.type.kind() == Kind.BYTES || a.type.kind() == Kind.ADDRESS;
                if (!bytes && a.type.kind() != Kind.INT) throw error(t.arguments().get(0),
                    "hash() takes bytes or an integer", null);
                if (bytes) requireBounded(t, a);
                long own = bytes ? Node.saturatedAdd(1, a.type.kind() == Kind.ADDRESS ? 16 : a.type.maxLength()) : 1;
                return foldConstants(program.intern(key("hash", a), () -> new Node.Hash(a, own)));
            }
            case "bucket" -> {
                requireArgumentCount(t, 2, 2);
                long n = integerConstantArgument(t, 1, 1, 1_000_000_000);
                Node a = requirePresent(t.arguments().get(0));
                Node h = a.type.kind() == Kind.INT ? a : call(new SyntaxTree.Call(t.from(), t.to(), "hash",
                    List.of(t.arguments().get(0))));
                return foldConstants(program.intern(key("bucket" + n, h), () -> new Node.Bucket(h, n)));
            }
            case "in_cidr" -> {
                requireArgumentCount(t, 2, 2);
                Node a = require(t.arguments().get(0), Kind.ADDRESS, "in_cidr()");
                return cidr(t, a, new String(bytesConstantArgument(t, 1), StandardCharsets.ISO_8859_1));
            }
            case "time_of_day", "weekday" -> {
                requireArgumentCount(t, 0, 1);
                boolean day = t.name().equals("weekday");
                Node o = t.arguments().isEmpty() ? constant(Type.DURATION, 0, 0, null) : compile(t.arguments().get(0));
                boolean fits = o instanceof Node.Constant c && c.type.kind() == Kind.DURATION
                    && Math.abs(c.doubleValue) <= 864e5;
                if (!fits) throw error(t.arguments().get(0), "a constant duration of a day at most is expected here",
                    "1h, -5h");
                double offset = ((Node.Constant) o).doubleValue;
                return program.intern(t.name() + offset, () -> new Node.TimeField(offset, day));
            }
            case "matches" -> {
                requireArgumentCount(t, 2, 2);
                Node a = requireBounded(t, bytesArgument(t, 0));
                return matches(t, a, new String(bytesConstantArgument(t, 1), StandardCharsets.ISO_8859_1));
            }
            case "double" -> {
                requireArgumentCount(t, 1, 1);
                Node a = require(t.arguments().get(0), Kind.INT, "double()"), zero = constant(Type.DOUBLE, 0, 0, null);
                return foldConstants(program.intern(key("+DOUBLE", a, zero),
                    () -> new Node.Arithmetic(Type.DOUBLE, '+', a, zero)));
            }
            default -> throw error(t, "there is no function " + t.name() + "()", "known are "
                + String.join(", ", FUNCTION_SIGNATURES.keySet()));
        }
    }

    private Node index(SyntaxTree.Index t) throws ExpressionException {
        boolean split = t.indexed() instanceof SyntaxTree.Call c && c.name().equals("split");
        if (!split) throw error(t.indexed(), "only a split has pieces", FUNCTION_SIGNATURES.get("split"));
        Node n = compile(t.index());
        if (!(n instanceof Node.Constant c && c.type.kind() == Kind.INT && c.longValue >= 0
            && c.longValue < MAX_SPLIT_PIECES)) {
            throw error(t.index(), "the number of a piece is a constant from 0", null);
        }
        requestedPiece = (int) ((Node.Constant) n).longValue;
        return split((SyntaxTree.Call) t.indexed());
    }

    private Node split(SyntaxTree.Call t) throws ExpressionException {
        int wanted = requestedPiece;
        requestedPiece = -1;
        if (wanted < 0) throw error(t, "one piece of a split is used at a time", FUNCTION_SIGNATURES.get("split"));
        requireArgumentCount(t, 3, 3);
        Node a = requireBounded(t, bytesArgument(t, 0));
        byte[] at = bytesConstantArgument(t, 1);
        if (at.length == 0) throw error(t.arguments().get(1), "nothing can be split at an empty text", null);
        int most = (int) integerConstantArgument(t, 2, 1, MAX_SPLIT_PIECES);
        if (wanted >= most) throw error(t, "has pieces 0 to " + (most - 1) + ", never " + wanted, null);
        long own = Node.saturatedAdd(1, Node.saturatedMultiply(a.type.maxLength(), at.length));
        String k = key("split" + HexFormat.of().formatHex(at) + ' ' + wanted + ' ' + most, a);
        return program.intern(k, () -> new Node.SplitPiece(a, at, wanted, most, own));
    }

    private Node cidr(SyntaxTree.Call t, Node a, String text) throws ExpressionException {
        int slash = text.indexOf('/');
        try {
            byte[] net = parseAddress(slash < 0 ? text : text.substring(0, slash));
            int bits = slash < 0 ? 8 * net.length : Integer.parseInt(text.substring(slash + 1));
            if (bits < 0 || bits > 8 * net.length) throw new IllegalArgumentException("bits");
            return program.intern(key("cidr" + text, a), () -> new Node.InCidr(a, net, bits));
        } catch (IllegalArgumentException e) {
            throw error(t.arguments().get(1), "is no range of addresses", "'10.0.0.0/8', 'fd00::/8'");
        }
    }

    /** Of digits only: nothing is looked up. */
    private static byte[] parseAddress(String text) {
        if (!text.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}|[0-9a-fA-F:]*:[0-9a-fA-F:.]*")) {
            throw new IllegalArgumentException("address");
        }
        try {
            return java.net.InetAddress.getByName(text).getAddress();
        } catch (java.net.UnknownHostException e) {
            throw new IllegalArgumentException(e);
        }
    }

    private Node matches(SyntaxTree.Call t, Node a, String pattern) throws ExpressionException {
        if (pattern.length() > MAX_PATTERN_CHARS) throw error(t.arguments().get(1), "longer than " + MAX_PATTERN_CHARS,
            null);
        Pattern p;
        try {
            p = Pattern.compile(pattern);
        } catch (PatternSyntaxException e) {
            throw error(t.arguments().get(1), "is no pattern: " + e.getDescription(), null);
        }
        // Each byte is met by every state of the automaton at most once, with a constant for each.
        long own = Node.saturatedAdd(1, Node.saturatedMultiply(Node.saturatedAdd(2, a.type.maxLength()),
            p.programSize()));
        return program.intern(key("matches" + pattern, a), () -> new Node.RegexMatch(a, p, own));
    }
}
