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
    private static final int LONGEST_PATTERN = 200, LONGEST_BYTES = 65_536, MOST_PIECES = 64;
    private static final Map<String, Double> UNITS = new TreeMap<>(Map.of("ms", 1.0, "s", 1e3, "m", 6e4, "h", 36e5, "d",
        864e5, "B", 1.0, "KB", 1e3, "MB", 1e6, "GB", 1e9));
    private static final List<String> TIMES = List.of("ms", "s", "m", "h", "d");
    /** How each function is written; also what the shell completes. */
    static final Map<String, String> FUNCTIONS = new TreeMap<>(Map.ofEntries(Map.entry("header", "header('Name')"),
        Map.entry("has", "has(x)"), Map.entry("cut", "cut(input)"), Map.entry("starts", "starts(x, 'constant')"),
        Map.entry("ends", "ends(x, 'constant')"), Map.entry("contains", "contains(x, 'constant')"),
        Map.entry("split", "split(x, 'constant', most)[i]"), Map.entry("first", "first(x, n)"),
        Map.entry("skip", "skip(x, n)"), Map.entry("length", "length(x)"), Map.entry("decimal", "decimal(x)"),
        Map.entry("hex", "hex(x)"), Map.entry("lower", "lower(x)"), Map.entry("hash", "hash(x)"),
        Map.entry("bucket", "bucket(x, n)"), Map.entry("in_cidr", "in_cidr(address, '10.0.0.0/8')"),
        Map.entry("matches", "matches(x, 'pattern')"), Map.entry("time_of_day", "time_of_day(offset)"),
        Map.entry("weekday", "weekday(offset)"), Map.entry("double", "double(x)")));

    private final Program program;
    private final String text;
    private final List<String> notes = new ArrayList<>();
    private int pieces = -1;                                // of the split being indexed

    Compiler(Program program, String text) {
        this.program = program;
        this.text = text;
    }

    List<String> notes() {
        return notes;
    }

    private ExpressionException bad(SyntaxTree at, String message, String hint) {
        return new ExpressionException(text, at.from(), at.to(), message, hint);
    }

    /** Names the dearest part that is dear by itself. */
    ExpressionException tooDear(SyntaxTree t, Node root, long budget) {
        return bad(t, "costs up to " + root.cost + " steps, the budget is " + budget,
            "shorten what is read, as in first(x, 32), or give the budget more");
    }

    Node compile(SyntaxTree t) throws ExpressionException {
        Node n = fold(part(t));
        if (n.cost == Node.ENDLESS) throw bad(t, "has no bound of cost", null);
        return n;
    }

    /** What stands on constants alone is computed now. */
    private Node fold(Node n) {
        if (!n.constant() || n instanceof Node.Const) return n;
        Frame f = new Frame(program);
        f.begin((number, into, slot) -> into.putAbsent(slot), 0);
        n.need(f);
        if (n.type.optional()) return n;
        byte[] b = n.type.kind() == Kind.BYTES ? Arrays.copyOfRange(f.bytes[n.slot], f.from[n.slot], f.to[n.slot])
            : null;
        Type type = b != null ? Type.bytes(b.length) : n.type;
        return constant(type, f.whole[n.slot], f.number[n.slot], b);
    }

    private Node.Const constant(Type type, long whole, double number, byte[] b) {
        String key = "const " + type.kind() + ' ' + whole + ' ' + number + ' ' + (b == null ? ""
            : HexFormat.of().formatHex(b));
        return (Node.Const) program.same(key, () -> new Node.Const(type, whole, number, b));
    }

    private static String key(String what, Node... parts) {
        StringBuilder s = new StringBuilder(what);
        for (Node p : parts) s.append(' ').append(p.slot);
        return s.toString();
    }

    private Node part(SyntaxTree t) throws ExpressionException {
        if (t instanceof SyntaxTree.Number n) return number(n);
        if (t instanceof SyntaxTree.Text x) return constant(Type.bytes(x.bytes().length), 0, 0, x.bytes());
        if (t instanceof SyntaxTree.Truth x) return constant(Type.BOOL, x.value() ? 1 : 0, 0, null);
        if (t instanceof SyntaxTree.Name x) return name(x);
        if (t instanceof SyntaxTree.Call x) return call(x);
        if (t instanceof SyntaxTree.Piece x) return piece(x);
        if (t instanceof SyntaxTree.Unary x) return unary(x);
        if (t instanceof SyntaxTree.Choice x) return choice(x);
        if (t instanceof SyntaxTree.Binary x) return binary(x);
        throw bad(t, "a list or a range stands only right of 'in'", null);
    }

    private Node number(SyntaxTree.Number n) throws ExpressionException {
        Double unit = UNITS.get(n.unit());
        if (!n.unit().isEmpty() && unit == null) {
            throw bad(n, "no such unit '" + n.unit() + "'", "known are " + String.join(", ", UNITS.keySet()));
        }
        if (n.unit().isEmpty() && n.digits().indexOf('.') < 0) {
            try {
                return constant(Type.INT, Long.parseLong(n.digits()), 0, null);
            } catch (NumberFormatException e) {
                throw bad(n, "is past 64 bits", null);
            }
        }
        double v = Double.parseDouble(n.digits()) * (unit == null ? 1 : unit);
        Type type = unit == null ? Type.DOUBLE : TIMES.contains(n.unit()) ? Type.DURATION : Type.SIZE;
        return constant(type, 0, v, null);
    }

    private Node name(SyntaxTree.Name t) throws ExpressionException {
        Inputs.Input in = program.inputs().get(t.name());
        if (in != null) return program.same("read " + in.name(), () -> new Node.Read(in));
        SyntaxTree named = program.named(t.name());
        if (named != null) return new Compiler(program, program.textOf(t.name())).compile(named);
        List<String> known = new ArrayList<>();
        program.inputs().names().forEach(known::add);
        program.names().forEach(known::add);
        known.removeIf(k -> k.startsWith("header:"));
        String how = FUNCTIONS.get(t.name());
        throw bad(t, "nothing is named '" + t.name() + "'", how != null ? "a function is written " + how
            : "known are " + String.join(", ", known));
    }

    // ---- operators ----

    private Node there(SyntaxTree t) throws ExpressionException {
        Node n = compile(t);
        if (!n.type.optional()) return n;
        throw bad(t, "may be absent, so it can't be used here as it is",
            "give what counts then, as in (" + text.substring(t.from(), t.to()) + " ?? "
                + (n.type.kind() == Kind.BYTES ? "''" : "0") + "), or ask has(...) first with 'if'");
    }

    private Node want(SyntaxTree t, Kind kind, String what) throws ExpressionException {
        Node n = there(t);
        if (n.type.kind() == kind) return n;
        throw bad(t, what + " takes " + word(kind) + ", this is " + n.type, kind == Kind.BOOL
            ? "compare it, as in x == 1" : null);
    }

    private static String word(Kind k) {
        return k == Kind.BYTES ? "bytes" : (k == Kind.INT || k == Kind.ADDRESS ? "an " : "a ")
            + (k == Kind.BOOL ? "truth" : k.name().toLowerCase(java.util.Locale.ROOT));
    }

    private Node unary(SyntaxTree.Unary t) throws ExpressionException {
        if (t.op().equals("!")) {
            Node a = want(t.a(), Kind.BOOL, "'!'");
            return fold(program.same(key("!", a), () -> new Node.Logic('!', a, null)));
        }
        Node a = there(t.a());
        boolean number = a.type.kind() == Kind.INT || a.type.isFractional();
        if (!number) throw bad(t.a(), "'-' takes a number, this is " + a.type, null);
        Node zero = constant(a.type, 0, 0, null);
        return fold(program.same(key("-", zero, a), () -> new Node.Sum(a.type, '-', zero, a)));
    }

    private Node choice(SyntaxTree.Choice t) throws ExpressionException {
        Node c = want(t.condition(), Kind.BOOL, "'if'"), yes = compile(t.yes()), no = compile(t.no());
        if (yes.type.kind() != no.type.kind()) {
            throw bad(t, "one way gives " + yes.type + ", the other " + no.type, null);
        }
        if (c instanceof Node.Const k) {
            notes.add(dead(k.whole != 0 ? t.no() : t.yes()) + " can never come");
            return k.whole != 0 ? yes : no;
        }
        Type type = wider(yes.type, no.type);
        return program.same(key("if", c, yes, no), () -> new Node.Choice(type, c, yes, no));
    }

    private String dead(SyntaxTree t) {
        return "'" + text.substring(t.from(), t.to()) + "'";
    }

    private static Type wider(Type a, Type b) {
        return new Type(a.kind(), a.optional() || b.optional(), Math.max(a.maxLength(), b.maxLength()));
    }

    private Node binary(SyntaxTree.Binary t) throws ExpressionException {
        return switch (t.op()) {
            case "&&", "||" -> logic(t);
            case "??" -> orElse(t);
            case "in" -> among(t);
            case "==", "!=", "<", "<=", ">", ">=" -> compare(t);
            default -> sum(t);
        };
    }

    private Node logic(SyntaxTree.Binary t) throws ExpressionException {
        Node a = want(t.a(), Kind.BOOL, "'" + t.op() + "'"), b = want(t.b(), Kind.BOOL, "'" + t.op() + "'");
        boolean and = t.op().equals("&&");
        for (Node n : List.of(a, b)) {
            if (!(n instanceof Node.Const k)) continue;
            SyntaxTree other = n == a ? t.b() : t.a();
            if (k.whole != 0 == and) return n == a ? b : a;         // says nothing
            notes.add(dead(other) + " never matters: the other side decides");
            return n;
        }
        return program.same(key(t.op(), a, b), () -> new Node.Logic(and ? '&' : '|', a, b));
    }

    private Node orElse(SyntaxTree.Binary t) throws ExpressionException {
        Node a = compile(t.a()), b = compile(t.b());
        if (!a.type.optional()) {
            throw bad(t.a(), "is always there, so '??' has no use", "leave out the '??' and what follows it");
        }
        if (a.type.kind() != b.type.kind()) throw bad(t.b(), "stands in for " + a.type + ", but is " + b.type, null);
        Type type = new Type(a.type.kind(), b.type.optional(), Math.max(a.type.maxLength(), b.type.maxLength()));
        return program.same(key("??", a, b), () -> new Node.Else(type, a, b));
    }

    private Node sum(SyntaxTree.Binary t) throws ExpressionException {
        Node a = there(t.a()), b = there(t.b());
        char op = t.op().charAt(0);
        Kind x = a.type.kind(), y = b.type.kind();
        if (x == Kind.BYTES && y == Kind.BYTES && op == '+') return joined(t, a, b);
        boolean xs = x == Kind.INT || x == Kind.DOUBLE, ys = y == Kind.INT || y == Kind.DOUBLE;
        Type type = null;
        if (xs && ys) type = x == Kind.INT && y == Kind.INT ? Type.INT : Type.DOUBLE;
        else if (x == y && a.type.isFractional()) type = op == '+' || op == '-' ? a.type : op == '/' ? Type.DOUBLE : null;
        else if (a.type.isFractional() && ys && (op == '*' || op == '/')) type = a.type;
        else if (b.type.isFractional() && xs && op == '*') type = b.type;
        if (type == null) throw bad(t, "'" + op + "' is not defined for " + a.type + " and " + b.type, null);
        boolean divides = op == '/' || op == '%';
        if (divides && type == Type.INT && !(b instanceof Node.Const k && k.whole != 0)) {
            throw bad(t.b(), "an integer is divided by a constant other than 0 only",
                "x / 8, or double(x) / y, which has a value for all y");
        }
        Type of = type;
        return fold(program.same(key(t.op() + type.kind(), a, b), () -> new Node.Sum(of, op, a, b)));
    }

    private Node joined(SyntaxTree t, Node a, Node b) throws ExpressionException {
        long most = Node.plus(a.type.maxLength(), b.type.maxLength());
        if (most > LONGEST_BYTES) {
            throw endless(t, "joins to " + (most == Type.UNBOUNDED ? "bytes of any length" : most + " bytes"), a, b);
        }
        return fold(program.same(key("join", a, b), () -> new Node.Joined(Type.bytes(most), a, b,
            program.scratch(most))));
    }

    /** A refusal for what grows with what a client sends, and how it is written with a bound. */
    private ExpressionException endless(SyntaxTree t, String what, Node... parts) {
        String of = Arrays.stream(parts).filter(p -> p.type.maxLength() == Type.UNBOUNDED).map(Compiler::input)
            .filter(s -> s != null).findFirst().orElse(null);
        String hint = "bound it: first(x, 64) in place of x" + (of == null ? ""
            : ", or declare " + of + " with 'most' under reads");
        return bad(t, what + ": its cost would grow with what a client sends", hint);
    }

    private static String input(Node n) {
        if (n instanceof Node.Read r) return "'" + r.input.name() + "'";
        for (Node p : n.parts) if (input(p) != null) return input(p);
        return null;
    }

    private Node compare(SyntaxTree.Binary t) throws ExpressionException {
        Node a = there(t.a()), b = there(t.b());
        Kind x = a.type.kind(), y = b.type.kind();
        boolean same = t.op().equals("==") || t.op().equals("!=");
        if (x == Kind.BYTES && y == Kind.BYTES) {
            if (!same) throw bad(t, "bytes are the same or not, they have no order",
                "decimal(x) ?? 0 makes a number of digits");
            long shorter = Math.min(a.type.maxLength(), b.type.maxLength());
            if (shorter == Type.UNBOUNDED) throw endless(t, "compares two values of any length", a, b);
            long own = Node.plus(1, shorter);
            return fold(program.same(key(t.op(), a, b), () -> new Node.Same(a, b, t.op().equals("!="), own)));
        }
        boolean numbers = (x == Kind.INT || x == Kind.DOUBLE) && (y == Kind.INT || y == Kind.DOUBLE);
        boolean fits = numbers || x == y && (a.type.isFractional() || x == Kind.BOOL && same);
        if (!fits) {
            throw bad(t, "'" + t.op() + "' does not compare " + a.type + " with " + b.type,
                x == Kind.BYTES && y == Kind.INT ? "decimal(x) ?? 0 makes a number of digits" : null);
        }
        return fold(program.same(key(t.op(), a, b), () -> new Node.Compare(t.op(), a, b)));
    }

    private Node among(SyntaxTree.Binary t) throws ExpressionException {
        Node a = there(t.a());
        if (t.b() instanceof SyntaxTree.Range r) {
            Node.Const low = constantOf(r.low(), a), high = constantOf(r.high(), a);
            boolean none = a.type.isFractional() ? low.number > high.number : low.whole > high.whole;
            if (none) {
                notes.add("'" + text.substring(t.from(), t.to()) + "' is never true: the range is empty");
                return constant(Type.BOOL, 0, 0, null);
            }
            return fold(program.same(key("within", a, low, high), () -> new Node.Within(a, low, high)));
        }
        List<Node.Const> all = new ArrayList<>();
        for (SyntaxTree x : ((SyntaxTree.Among) t.b()).all()) all.add(constantOf(x, a));
        if (all.isEmpty()) throw bad(t.b(), "the list is empty", null);
        Node[] keyed = new Node[all.size() + 1];
        keyed[0] = a;
        for (int i = 0; i < all.size(); i++) keyed[i + 1] = all.get(i);
        if (a.type.kind() == Kind.BYTES) {
            int longest = all.stream().mapToInt(c -> c.bytes.length).max().getAsInt();
            int size = Integer.highestOneBit(Math.max(2, all.size()) * 4 - 1);
            byte[][] texts = new byte[size][];
            for (Node.Const c : all) {
                int at = (int) Node.Hash.of(c.bytes, 0, c.bytes.length) & size - 1;
                while (texts[at] != null && !Arrays.equals(texts[at], c.bytes)) at = at + 1 & size - 1;
                texts[at] = c.bytes;
            }
            long own = 1 + 2L * longest + all.size();
            return fold(program.same(key("among", keyed), () -> new Node.Among(a, texts, null, longest, own)));
        }
        if (a.type.kind() != Kind.INT) throw bad(t, "'in' a list takes bytes or an integer, this is " + a.type,
            "x in 1..9");
        long[] wholes = all.stream().mapToLong(c -> c.whole).sorted().toArray();
        return fold(program.same(key("among", keyed), () -> new Node.Among(a, null, wholes, 0, 65)));
    }

    private Node.Const constantOf(SyntaxTree t, Node like) throws ExpressionException {
        Node n = compile(t);
        if (!(n instanceof Node.Const c)) throw bad(t, "a constant is expected here", null);
        if (c.type.kind() == like.type.kind()) return c;
        if (like.type.kind() == Kind.DOUBLE && c.type.kind() == Kind.INT) return constant(Type.DOUBLE, 0, c.whole,
            null);
        throw bad(t, "is " + c.type + ", compared with " + like.type, null);
    }

    // ---- functions ----

    private byte[] textArg(SyntaxTree.Call t, int i) throws ExpressionException {
        Node n = compile(t.args().get(i));
        if (n instanceof Node.Const c && c.bytes != null) return c.bytes;
        throw bad(t.args().get(i), "a constant text is expected here: " + FUNCTIONS.get(t.name()),
            "two values of a request are compared with ==, after first(x, n)");
    }

    private long wholeArg(SyntaxTree.Call t, int i, long least, long most) throws ExpressionException {
        Node n = compile(t.args().get(i));
        if (n instanceof Node.Const c && c.type.kind() == Kind.INT && c.whole >= least
            && c.whole <= most) return c.whole;
        throw bad(t.args().get(i), "a constant from " + least + " to " + most + " is expected here",
            FUNCTIONS.get(t.name()));
    }

    private Node bytesArg(SyntaxTree.Call t, int i) throws ExpressionException {
        return want(t.args().get(i), Kind.BYTES, t.name() + "()");
    }

    private Node bounded(SyntaxTree.Call t, Node a) throws ExpressionException {
        if (a.type.maxLength() == Type.UNBOUNDED) throw endless(t, t.name() + "() goes through all of a value", a);
        return a;
    }

    private void args(SyntaxTree.Call t, int least, int most) throws ExpressionException {
        int n = t.args().size();
        if (n < least || n > most) {
            throw bad(t, t.name() + "() has " + n + " values in place of " + (least == most ? most : least + " or "
                + most),
                FUNCTIONS.get(t.name()));
        }
    }

    private Node call(SyntaxTree.Call t) throws ExpressionException {
        switch (t.name()) {
            case "header" -> {
                args(t, 1, 1);
                String name = new String(textArg(t, 0), StandardCharsets.ISO_8859_1);
                if (!name.matches("[A-Za-z0-9!#$%&'*+.^_`|~-]{1,60}")) throw bad(t, "is no name of a header", null);
                Inputs.Input in = program.inputs().headerOrAny(name);
                return program.same("read " + in.name(), () -> new Node.Read(in));
            }
            case "has" -> {
                args(t, 1, 1);
                Node a = compile(t.args().get(0));
                if (!a.type.optional()) throw bad(t.args().get(0), "is always there", "leave out has(...)");
                return program.same(key("has", a), () -> new Node.Has(a));
            }
            case "cut" -> {
                args(t, 1, 1);
                Node a = compile(t.args().get(0));
                boolean may = a instanceof Node.Read r && r.input.overflow() == Inputs.Overflow.TRUNCATE
                    && a.type.kind() == Kind.BYTES && a.type.maxLength() != Type.UNBOUNDED;
                if (!may) throw bad(t.args().get(0), "is no input that is cut at a bound",
                    "declare it with past: 'cut'");
                return program.same(key("cut", a), () -> new Node.WasCut(a));
            }
            case "starts", "ends", "contains" -> {
                args(t, 2, 2);
                Node a = bytesArg(t, 0);
                byte[] what = textArg(t, 1);
                char where = t.name().equals("starts") ? '^' : t.name().equals("ends") ? '$' : '*';
                if (where == '*') bounded(t, a);
                long own = where == '*' ? Node.plus(1, Node.times(a.type.maxLength(), Math.max(1, what.length))) : 1
                    + what.length;
                String k = key(t.name() + HexFormat.of().formatHex(what), a);
                return fold(program.same(k, () -> new Node.Stands(a, what, where, own)));
            }
            case "split" -> {
                return split(t);
            }
            case "first", "skip" -> {
                args(t, 2, 2);
                Node a = bytesArg(t, 0);
                int n = (int) wholeArg(t, 1, 0, LONGEST_BYTES);
                boolean first = t.name().equals("first");
                Type type = first ? Type.bytes(Math.min(n, a.type.maxLength()))
                    : Type.bytes(a.type.maxLength() == Type.UNBOUNDED ? Type.UNBOUNDED
                        : Math.max(0, a.type.maxLength() - n));
                return fold(program.same(key(t.name() + n, a), () -> new Node.Part(type, a, n, first)));
            }
            case "length" -> {
                args(t, 1, 1);
                Node a = bytesArg(t, 0);
                return fold(program.same(key("length", a), () -> new Node.Length(a)));
            }
            case "decimal", "hex" -> {
                args(t, 1, 1);
                Node a = bytesArg(t, 0);
                int base = t.name().equals("hex") ? 16 : 10;
                return program.same(key(t.name(), a), () -> new Node.Digits(a, base));
            }
            case "lower" -> {
                args(t, 1, 1);
                Node a = bounded(t, bytesArg(t, 0));
                if (a.type.maxLength() > LONGEST_BYTES) throw bad(t, "makes more than " + LONGEST_BYTES + " bytes",
                    null);
                return fold(program.same(key("lower", a), () ->
                    new Node.Lower(a, program.scratch(a.type.maxLength()))));
            }
            case "hash" -> {
                args(t, 1, 1);
                Node a = there(t.args().get(0));
                boolean bytes = a.type.kind() == Kind.BYTES || a.type.kind() == Kind.ADDRESS;
                if (!bytes && a.type.kind() != Kind.INT) throw bad(t.args().get(0),
                    "hash() takes bytes or an integer", null);
                if (bytes) bounded(t, a);
                long own = bytes ? Node.plus(1, a.type.kind() == Kind.ADDRESS ? 16 : a.type.maxLength()) : 1;
                return fold(program.same(key("hash", a), () -> new Node.Hash(a, own)));
            }
            case "bucket" -> {
                args(t, 2, 2);
                long n = wholeArg(t, 1, 1, 1_000_000_000);
                Node a = there(t.args().get(0));
                Node h = a.type.kind() == Kind.INT ? a : call(new SyntaxTree.Call(t.from(), t.to(), "hash",
                    List.of(t.args().get(0))));
                return fold(program.same(key("bucket" + n, h), () -> new Node.Bucket(h, n)));
            }
            case "in_cidr" -> {
                args(t, 2, 2);
                Node a = want(t.args().get(0), Kind.ADDRESS, "in_cidr()");
                return cidr(t, a, new String(textArg(t, 1), StandardCharsets.ISO_8859_1));
            }
            case "time_of_day", "weekday" -> {
                args(t, 0, 1);
                boolean day = t.name().equals("weekday");
                Node o = t.args().isEmpty() ? constant(Type.DURATION, 0, 0, null) : compile(t.args().get(0));
                boolean fits = o instanceof Node.Const c && c.type.kind() == Kind.DURATION
                    && Math.abs(c.number) <= 864e5;
                if (!fits) throw bad(t.args().get(0), "a constant duration of a day at most is expected here",
                    "1h, -5h");
                double offset = ((Node.Const) o).number;
                return program.same(t.name() + offset, () -> new Node.Clock(offset, day));
            }
            case "matches" -> {
                args(t, 2, 2);
                Node a = bounded(t, bytesArg(t, 0));
                return matches(t, a, new String(textArg(t, 1), StandardCharsets.ISO_8859_1));
            }
            case "double" -> {
                args(t, 1, 1);
                Node a = want(t.args().get(0), Kind.INT, "double()"), zero = constant(Type.DOUBLE, 0, 0, null);
                return fold(program.same(key("+DOUBLE", a, zero), () -> new Node.Sum(Type.DOUBLE, '+', a, zero)));
            }
            default -> throw bad(t, "there is no function " + t.name() + "()", "known are "
                + String.join(", ", FUNCTIONS.keySet()));
        }
    }

    private Node piece(SyntaxTree.Piece t) throws ExpressionException {
        boolean split = t.of() instanceof SyntaxTree.Call c && c.name().equals("split");
        if (!split) throw bad(t.of(), "only a split has pieces", FUNCTIONS.get("split"));
        Node n = compile(t.index());
        if (!(n instanceof Node.Const c && c.type.kind() == Kind.INT && c.whole >= 0 && c.whole < MOST_PIECES)) {
            throw bad(t.index(), "the number of a piece is a constant from 0", null);
        }
        pieces = (int) ((Node.Const) n).whole;
        return split((SyntaxTree.Call) t.of());
    }

    private Node split(SyntaxTree.Call t) throws ExpressionException {
        int wanted = pieces;
        pieces = -1;
        if (wanted < 0) throw bad(t, "one piece of a split is used at a time", FUNCTIONS.get("split"));
        args(t, 3, 3);
        Node a = bounded(t, bytesArg(t, 0));
        byte[] at = textArg(t, 1);
        if (at.length == 0) throw bad(t.args().get(1), "nothing can be split at an empty text", null);
        int most = (int) wholeArg(t, 2, 1, MOST_PIECES);
        if (wanted >= most) throw bad(t, "has pieces 0 to " + (most - 1) + ", never " + wanted, null);
        long own = Node.plus(1, Node.times(a.type.maxLength(), at.length));
        String k = key("split" + HexFormat.of().formatHex(at) + ' ' + wanted + ' ' + most, a);
        return program.same(k, () -> new Node.Piece(a, at, wanted, most, own));
    }

    private Node cidr(SyntaxTree.Call t, Node a, String text) throws ExpressionException {
        int slash = text.indexOf('/');
        try {
            byte[] net = address(slash < 0 ? text : text.substring(0, slash));
            int bits = slash < 0 ? 8 * net.length : Integer.parseInt(text.substring(slash + 1));
            if (bits < 0 || bits > 8 * net.length) throw new IllegalArgumentException("bits");
            return program.same(key("cidr" + text, a), () -> new Node.InCidr(a, net, bits));
        } catch (IllegalArgumentException e) {
            throw bad(t.args().get(1), "is no range of addresses", "'10.0.0.0/8', 'fd00::/8'");
        }
    }

    /** Of digits only: nothing is looked up. */
    private static byte[] address(String text) {
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
        if (pattern.length() > LONGEST_PATTERN) throw bad(t.args().get(1), "longer than " + LONGEST_PATTERN, null);
        Pattern p;
        try {
            p = Pattern.compile(pattern);
        } catch (PatternSyntaxException e) {
            throw bad(t.args().get(1), "is no pattern: " + e.getDescription(), null);
        }
        // Each byte is met by every state of the automaton at most once, with a constant for each.
        long own = Node.plus(1, Node.times(Node.plus(2, a.type.maxLength()), p.programSize()));
        return program.same(key("matches" + pattern, a), () -> new Node.Matches(a, p, own));
    }
}
