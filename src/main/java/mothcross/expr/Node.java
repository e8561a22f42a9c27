package mothcross.expr;

import com.google.re2j.Matcher;
import com.google.re2j.Pattern;

/**
 * A part of a compiled program: computed at most once for a request, into its slot of the frame. Owns its worst cost,
 * fixed when it is made; each kind counts the steps that it takes and must never take more than it foresaw, allocate,
 * or fail: every operation has a value for everything.
 */
abstract class Node {
    final Type type;
    /** Steps of this part alone, and of all that it may need, at worst. */
    final long ownSteps, worstCaseSteps;
    final Node[] operands;
    int slot;

    Node(Type type, long own, Node... parts) {
        this.type = type;
        this.ownSteps = own;
        this.operands = parts;
        long sum = own;
        for (Node p : parts) sum = saturatedAdd(sum, p.worstCaseSteps);
        this.worstCaseSteps = sum;
    }

    /** Whether all that it stands on are constants. */
    boolean isConstant() {
        if (operands.length == 0) return false;
        for (Node p : operands) if (!p.isConstant()) return false;
        return true;
    }

    /** Numbers past this are no cost but none at all: the part has no bound. */
    static final long UNBOUNDED_STEPS = Long.MAX_VALUE;

    static long saturatedAdd(long a, long b) {
        return a == UNBOUNDED_STEPS || b == UNBOUNDED_STEPS || a + b < 0 ? UNBOUNDED_STEPS : a + b;
    }

    static long saturatedMultiply(long a, long b) {
        if (a == UNBOUNDED_STEPS || b == UNBOUNDED_STEPS) return UNBOUNDED_STEPS;
        return a != 0 && b > UNBOUNDED_STEPS / a ? UNBOUNDED_STEPS : a * b;
    }

    final Node evaluate(Frame f) {
        if (f.markComputed(slot)) {
            f.steps++;
            compute(f);
        }
        return this;
    }

    final boolean evaluateBoolean(Frame f) {
        evaluate(f);
        return f.longs[slot] != 0;
    }

    final long evaluateLong(Frame f) {
        evaluate(f);
        return f.longs[slot];
    }

    final double evaluateDouble(Frame f) {
        evaluate(f);
        return type.isFractional() ? f.doubles[slot] : f.longs[slot];
    }

    final int length(Frame f) {
        return f.ends[slot] - f.starts[slot];
    }

    /** The kind of node as operators see it when an expression is explained; independent of the class name. */
    abstract String label();

    /** Puts the value into the slot. */
    abstract void compute(Frame f);

    final void putBoolean(Frame f, boolean v) {
        f.put(slot, v ? 1L : 0L);
    }

    /** The value of another part becomes this one's. */
    final void copyFrom(Frame f, Node n) {
        n.evaluate(f);
        f.present[slot] = f.present[n.slot];
        f.longs[slot] = n.type.isFractional() == type.isFractional() ? f.longs[n.slot] : (long) f.doubles[n.slot];
        f.doubles[slot] = n.type.isFractional() ? f.doubles[n.slot] : f.longs[n.slot];
        f.bytes[slot] = f.bytes[n.slot];
        f.starts[slot] = f.starts[n.slot];
        f.ends[slot] = f.ends[n.slot];
    }

    static final class Constant extends Node {
        final long longValue;
        final double doubleValue;
        final byte[] bytes;

        Constant(Type type, long whole, double number, byte[] bytes) {
            super(type, 1);
            this.longValue = whole;
            this.doubleValue = number;
            this.bytes = bytes;
        }

        @Override boolean isConstant() {
            return true;
        }

        static Constant of(boolean v) {
            return new Constant(Type.BOOL, v ? 1 : 0, 0, null);
        }

        @Override String label() {
            return "const";
        }

        @Override void compute(Frame f) {
            f.longs[slot] = longValue;
            f.doubles[slot] = doubleValue;
            if (bytes != null) f.put(slot, bytes, 0, bytes.length);
            f.present[slot] = true;
        }
    }

    static final class ReadInput extends Node {
        final Inputs.Input input;

        ReadInput(Inputs.Input input) {
            super(input.type(), 1);
            this.input = input;
        }

        @Override String label() {
            return "read";
        }

        @Override void compute(Frame f) {
            f.present[slot] = false;
            f.truncated[slot] = false;
            f.bytes[slot] = null;
            f.starts[slot] = f.ends[slot] = 0;
            f.longs[slot] = 0;
            f.doubles[slot] = 0;
            f.request.read(input.number(), f, slot);
            if (type.kind() != Type.Kind.BYTES || length(f) <= type.maxLength()) return;
            f.ends[slot] = f.starts[slot] + (int) type.maxLength();
            f.truncated[slot] = true;
            if (input.overflow() == Inputs.Overflow.REJECT) f.recordOverflow(input.name());
        }
    }

    static final class WasTruncated extends Node {
        final Node operand;

        WasTruncated(Node a) {
            super(Type.BOOL, 1, a);
            this.operand = a;
        }

        @Override String label() {
            return "wascut";
        }

        @Override void compute(Frame f) {
            operand.evaluate(f);
            putBoolean(f, f.truncated[operand.slot]);
        }
    }

    static final class IsPresent extends Node {
        final Node operand;

        IsPresent(Node a) {
            super(Type.BOOL, 1, a);
            this.operand = a;
        }

        @Override String label() {
            return "has";
        }

        @Override void compute(Frame f) {
            operand.evaluate(f);
            putBoolean(f, f.present[operand.slot]);
        }
    }

    /** The first where it is there, else the second. */
    static final class Coalesce extends Node {
        final Node value, defaultValue;

        Coalesce(Type type, Node a, Node b) {
            super(type, 1, a, b);
            this.value = a;
            this.defaultValue = b;
        }

        @Override String label() {
            return "else";
        }

        @Override void compute(Frame f) {
            value.evaluate(f);
            copyFrom(f, f.present[value.slot] ? value : defaultValue);
        }
    }

    static final class Conditional extends Node {
        final Node condition, thenBranch, elseBranch;

        Conditional(Type type, Node condition, Node yes, Node no) {
            super(type, 1, condition, yes, no);
            this.condition = condition;
            this.thenBranch = yes;
            this.elseBranch = no;
        }

        @Override String label() {
            return "choice";
        }

        @Override void compute(Frame f) {
            copyFrom(f, condition.evaluateBoolean(f) ? thenBranch : elseBranch);
        }
    }

    static final class BooleanOperation extends Node {
        final char operator;                                      // '&', '|', '!'
        final Node left, right;

        BooleanOperation(char op, Node a, Node b) {
            super(Type.BOOL, 1, op == '!' ? new Node[] {a} : new Node[] {a, b});
            this.operator = op;
            this.left = a;
            this.right = b;
        }

        @Override String label() {
            return "logic";
        }

        @Override void compute(Frame f) {
            boolean x = left.evaluateBoolean(f);
            putBoolean(f, operator == '!' ? !x : operator == '&' ? x && right.evaluateBoolean(f) : x
                || right.evaluateBoolean(f));
        }
    }

    /** Arithmetic: integers go to the nearest end where they would run over, fractions follow IEEE 754. */
    static final class Arithmetic extends Node {
        final char operator;
        final Node left, right;

        Arithmetic(Type type, char op, Node a, Node b) {
            super(type, 1, a, b);
            this.operator = op;
            this.left = a;
            this.right = b;
        }

        @Override String label() {
            return "sum";
        }

        @Override void compute(Frame f) {
            if (type.isFractional()) {
                double x = left.evaluateDouble(f), y = right.evaluateDouble(f);
                f.put(slot, switch (operator) {
                    case '+' -> x + y;
                    case '-' -> x - y;
                    case '*' -> x * y;
                    case '/' -> x / y;
                    default -> x % y;
                });
            } else {
                f.put(slot, saturated(operator, left.evaluateLong(f), right.evaluateLong(f)));
            }
        }

        static long saturated(char op, long x, long y) {
            switch (op) {
                case '+' -> {
                    long r = x + y;
                    return ((x ^ r) & (y ^ r)) < 0 ? bound(x < 0) : r;
                }
                case '-' -> {
                    long r = x - y;
                    return ((x ^ y) & (x ^ r)) < 0 ? bound(x < 0) : r;
                }
                case '*' -> {
                    long high = Math.multiplyHigh(x, y), r = x * y;
                    return high == r >> 63 ? r : bound(x < 0 != y < 0);
                }
                case '/' -> {
                    return y == -1 ? saturated('-', 0, x) : x / y;
                }
                default -> {
                    return y == -1 ? 0 : x % y;
                }
            }
        }

        private static long bound(boolean negative) {
            return negative ? Long.MIN_VALUE : Long.MAX_VALUE;
        }
    }

    static final class NumberComparison extends Node {
        final String operator;
        final Node left, right;
        private final boolean isFractional, isLess, includesEqual, negated;

        NumberComparison(String op, Node a, Node b) {
            super(Type.BOOL, 1, a, b);
            this.operator = op;
            this.left = a;
            this.right = b;
            isFractional = a.type.isFractional() || b.type.isFractional();
            isLess = op.charAt(0) == '<';
            includesEqual = op.endsWith("=");
            negated = op.charAt(0) == '!';
        }

        @Override String label() {
            return "compare";
        }

        @Override void compute(Frame f) {
            int c;
            if (isFractional) {
                double x = left.evaluateDouble(f), y = right.evaluateDouble(f);
                c = x < y ? -1 : x > y ? 1 : x == y ? 0 : 2;     // 2: no number, which compares with nothing
            } else {
                c = Long.compare(left.evaluateLong(f), right.evaluateLong(f));
            }
            boolean same = operator.equals("==") || negated;
            if (same) putBoolean(f, c == 0 != negated);
            else putBoolean(f, c == 0 && includesEqual || c == (isLess ? -1 : 1));
        }
    }

    static final class InRange extends Node {
        final Node operand;
        final double lowDouble, highDouble;
        final long lowLong, highLong;

        InRange(Node a, Constant low, Constant high) {
            super(Type.BOOL, 1, a);
            this.operand = a;
            this.lowDouble = low.type.isFractional() ? low.doubleValue : low.longValue;
            this.highDouble = high.type.isFractional() ? high.doubleValue : high.longValue;
            this.lowLong = low.longValue;
            this.highLong = high.longValue;
        }

        @Override String label() {
            return "within";
        }

        @Override void compute(Frame f) {
            if (operand.type.isFractional()) {
                double x = operand.evaluateDouble(f);
                putBoolean(f, x >= lowDouble && x <= highDouble);
            } else {
                long x = operand.evaluateLong(f);
                putBoolean(f, x >= lowLong && x <= highLong);
            }
        }
    }

    /** Bytes against constants, by one hash and one comparison; or a number among some, by halving. */
    static final class InSet extends Node {
        final Node operand;
        final byte[][] byteStrings;                               // by hash, open addressing
        final long[] integers;
        private final int maxLength;

        InSet(Node a, byte[][] texts, long[] wholes, int longest, long own) {
            super(Type.BOOL, own, a);
            this.operand = a;
            this.byteStrings = texts;
            this.integers = wholes;
            this.maxLength = longest;
        }

        @Override String label() {
            return "among";
        }

        @Override void compute(Frame f) {
            operand.evaluate(f);
            if (integers != null) {
                f.steps += 64;
                putBoolean(f, java.util.Arrays.binarySearch(integers, f.longs[operand.slot]) >= 0);
                return;
            }
            int n = length(f, operand);
            if (n > maxLength) {
                putBoolean(f, false);
                return;
            }
            f.steps += 2L * n;
            byte[] b = f.bytes[operand.slot];
            int from = f.starts[operand.slot], at = (int) Hash.of(b, from, from + n) & byteStrings.length - 1;
            for (byte[] t; (t = byteStrings[at]) != null; at = at + 1 & byteStrings.length - 1) {
                f.steps++;
                if (t.length == n && java.util.Arrays.equals(t, 0, n, b, from, from + n)) {
                    putBoolean(f, true);
                    return;
                }
            }
            putBoolean(f, false);
        }

        private static int length(Frame f, Node a) {
            return f.ends[a.slot] - f.starts[a.slot];
        }
    }

    /** Two byte strings the same; costs the shorter. */
    static final class BytesEquality extends Node {
        final Node left, right;
        private final boolean negated;

        boolean isNegated() {
            return negated;
        }

        BytesEquality(Node a, Node b, boolean not, long own) {
            super(Type.BOOL, own, a, b);
            this.left = a;
            this.right = b;
            this.negated = not;
        }

        @Override String label() {
            return "same";
        }

        @Override void compute(Frame f) {
            left.evaluate(f);
            right.evaluate(f);
            int n = left.length(f);
            boolean same = n == right.length(f);
            if (same) {
                f.steps += n;
                same = java.util.Arrays.equals(f.bytes[left.slot], f.starts[left.slot], f.ends[left.slot],
                    f.bytes[right.slot], f.starts[right.slot], f.ends[right.slot]);
            }
            putBoolean(f, same != negated);
        }
    }

    /** Whether a constant stands at the begin, at the end or anywhere. */
    static final class SubstringTest extends Node {
        final Node operand;
        final byte[] pattern;
        final char anchor;                                   // '^', '$', '*'

        SubstringTest(Node a, byte[] what, char where, long own) {
            super(Type.BOOL, own, a);
            this.operand = a;
            this.pattern = what;
            this.anchor = where;
        }

        @Override String label() {
            return "stands";
        }

        @Override void compute(Frame f) {
            operand.evaluate(f);
            byte[] b = f.bytes[operand.slot];
            int from = f.starts[operand.slot], to = f.ends[operand.slot], last = to - pattern.length;
            boolean found = false;
            if (last >= from) {
                if (anchor == '^') found = matchesAt(f, b, from);
                else if (anchor == '$') found = matchesAt(f, b, last);
                else for (int i = from; i <= last && !found; i++) found = matchesAt(f, b, i);
            }
            putBoolean(f, found);
        }

        private boolean matchesAt(Frame f, byte[] b, int i) {
            for (int k = 0; k < pattern.length; k++) {
                f.steps++;
                if (b[i + k] != pattern[k]) return false;
            }
            return true;
        }
    }

    /** The piece of this number where a text is cut at a constant, into so many at most; the last holds the rest. */
    static final class SplitPiece extends Node {
        final Node operand;
        private final byte[] separator;
        private final int index, maxPieces;

        SplitPiece(Node a, byte[] at, int number, int most, long own) {
            super(a.type.asRequired().asOptional(), own, a);
            this.operand = a;
            this.separator = at;
            this.index = number;
            this.maxPieces = most;
        }

        @Override String label() {
            return "piece";
        }

        @Override void compute(Frame f) {
            operand.evaluate(f);
            byte[] b = f.bytes[operand.slot];
            int from = f.starts[operand.slot], to = f.ends[operand.slot], begin = from;
            for (int piece = 0;; piece++) {
                int end = piece == maxPieces - 1 ? to : findSeparator(f, b, begin, to);
                if (piece == index) {
                    f.put(slot, b, begin, end);
                    return;
                }
                if (end == to) {
                    f.putAbsent(slot);
                    return;
                }
                begin = end + separator.length;
            }
        }

        private int findSeparator(Frame f, byte[] b, int from, int to) {
            outer:
            for (int i = from; i <= to - separator.length; i++) {
                for (int k = 0; k < separator.length; k++) {
                    f.steps++;
                    if (b[i + k] != separator[k]) continue outer;
                }
                return i;
            }
            return to;
        }
    }

    /** The first bytes, or all but those. */
    static final class Slice extends Node {
        final Node operand;
        private final int length;
        private final boolean isPrefix;

        Slice(Type type, Node a, int n, boolean first) {
            super(type, 1, a);
            this.operand = a;
            this.length = n;
            this.isPrefix = first;
        }

        @Override String label() {
            return "part";
        }

        @Override void compute(Frame f) {
            operand.evaluate(f);
            int cut = Math.min(f.ends[operand.slot], f.starts[operand.slot] + length);
            f.put(slot, f.bytes[operand.slot], isPrefix ? f.starts[operand.slot] : cut, isPrefix ? cut
                : f.ends[operand.slot]);
        }
    }

    /** Bytes that are made go to a place of the scratch that is this part's alone. */
    static final class Concatenation extends Node {
        final Node left, right;
        private final int scratchOffset;

        Concatenation(Type type, Node a, Node b, int place) {
            super(type, saturatedAdd(1, type.maxLength()), a, b);
            this.left = a;
            this.right = b;
            this.scratchOffset = place;
        }

        @Override String label() {
            return "joined";
        }

        @Override void compute(Frame f) {
            left.evaluate(f);
            right.evaluate(f);
            int n = left.length(f), m = right.length(f);
            f.steps += n + m;
            System.arraycopy(f.bytes[left.slot], f.starts[left.slot], f.scratch, scratchOffset, n);
            System.arraycopy(f.bytes[right.slot], f.starts[right.slot], f.scratch, scratchOffset + n, m);
            f.put(slot, f.scratch, scratchOffset, scratchOffset + n + m);
        }
    }

    static final class ToLowerCase extends Node {
        final Node operand;
        private final int scratchOffset;

        ToLowerCase(Node a, int place) {
            super(a.type, saturatedAdd(1, a.type.maxLength()), a);
            this.operand = a;
            this.scratchOffset = place;
        }

        @Override String label() {
            return "lower";
        }

        @Override void compute(Frame f) {
            operand.evaluate(f);
            int n = operand.length(f), from = f.starts[operand.slot];
            f.steps += n;
            byte[] b = f.bytes[operand.slot];
            for (int i = 0; i < n; i++) {
                byte c = b[from + i];
                f.scratch[scratchOffset + i] = c >= 'A' && c <= 'Z' ? (byte) (c + 32) : c;
            }
            f.put(slot, f.scratch, scratchOffset, scratchOffset + n);
        }
    }

    /** Digits to an integer; absent where it is none, empty, or too large. */
    static final class ParseInteger extends Node {
        final Node operand;
        private final int base, maxDigits;

        ParseInteger(Node a, int base) {
            super(Type.INT.asOptional(), 21, a);
            this.operand = a;
            this.base = base;
            this.maxDigits = base == 16 ? 16 : 19;
        }

        @Override String label() {
            return "digits";
        }

        @Override void compute(Frame f) {
            operand.evaluate(f);
            int n = operand.length(f);
            f.putAbsent(slot);
            if (n == 0 || n > maxDigits) return;
            long v = 0;
            for (int i = f.starts[operand.slot]; i < f.ends[operand.slot]; i++) {
                f.steps++;
                byte c = f.bytes[operand.slot][i];
                int d = c < 0 ? -1 : Character.digit(c, base);
                if (d < 0) return;
                if (base == 10 && v > (Long.MAX_VALUE - d) / 10) return;
                v = v * base + d;
            }
            f.put(slot, v);
        }
    }

    static final class Length extends Node {
        final Node operand;

        Length(Node a) {
            super(Type.INT, 1, a);
            this.operand = a;
        }

        @Override String label() {
            return "length";
        }

        @Override void compute(Frame f) {
            operand.evaluate(f);
            f.put(slot, (long) operand.length(f));
        }
    }

    static final class Hash extends Node {
        final Node operand;

        Hash(Node a, long own) {
            super(Type.INT, own, a);
            this.operand = a;
        }

        @Override String label() {
            return "hash";
        }

        @Override void compute(Frame f) {
            operand.evaluate(f);
            if (operand.type.kind() == Type.Kind.INT) {
                f.put(slot, mix(f.longs[operand.slot]));
            } else {
                f.steps += operand.length(f);
                f.put(slot, of(f.bytes[operand.slot], f.starts[operand.slot], f.ends[operand.slot]));
            }
        }

        static long of(byte[] b, int from, int to) {
            long h = to - from;
            for (int i = from; i < to; i++) h = (h ^ b[i]) * 0x100000001b3L;
            return mix(h);
        }

        static long mix(long x) {
            x = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
            x = (x ^ (x >>> 27)) * 0x94d049bb133111ebL;
            return x ^ (x >>> 31);
        }
    }

    /** 0 to n - 1, evenly. */
    static final class Bucket extends Node {
        final Node operand;
        private final long bucketCount;

        Bucket(Node a, long n) {
            super(Type.INT, 1, a);
            this.operand = a;
            this.bucketCount = n;
        }

        @Override String label() {
            return "bucket";
        }

        @Override void compute(Frame f) {
            f.put(slot, Long.remainderUnsigned(operand.evaluateLong(f), bucketCount));
        }
    }

    static final class InCidr extends Node {
        final Node operand;
        private final byte[] network;
        private final int prefixBits;

        InCidr(Node a, byte[] net, int bits) {
            super(Type.BOOL, 17, a);
            this.operand = a;
            this.network = net;
            this.prefixBits = bits;
        }

        @Override String label() {
            return "incidr";
        }

        @Override void compute(Frame f) {
            operand.evaluate(f);
            boolean in = operand.length(f) == network.length;
            for (int i = 0; in && i < prefixBits; i += 8) {
                f.steps++;
                int mask = prefixBits - i >= 8 ? 0xff : 0xff << 8 - (prefixBits - i);
                in = ((f.bytes[operand.slot][f.starts[operand.slot] + i / 8] ^ network[i / 8]) & mask & 0xff) == 0;
            }
            putBoolean(f, in);
        }
    }

    /** Time since midnight, or the day of the week from Monday = 1, at a fixed distance from UTC. */
    static final class TimeField extends Node {
        private static final double DAY_MS = 86_400_000;
        private final double offsetMs;
        private final boolean isWeekday;

        TimeField(double offset, boolean day) {
            super(day ? Type.INT : Type.DURATION, 1);
            this.offsetMs = offset;
            this.isWeekday = day;
        }

        @Override String label() {
            return "clock";
        }

        @Override void compute(Frame f) {
            double days = Math.floor((f.nowMs + offsetMs) / DAY_MS);
            if (isWeekday) f.put(slot, 1 + Math.floorMod((long) days + 3, 7L));
            else f.put(slot, f.nowMs + offsetMs - days * DAY_MS);
        }
    }

    /** A pattern on a bounded text, by an engine whose time is linear in it. */
    static final class RegexMatch extends Node implements CharSequence {
        final Node operand;
        private final Pattern pattern;
        private Matcher matcher;                            // one lookup at a time is evaluated, under the desk's lock
        private byte[] input;
        private int from, to;

        RegexMatch(Node a, Pattern pattern, long own) {
            super(Type.BOOL, own, a);
            this.operand = a;
            this.pattern = pattern;
        }

        @Override String label() {
            return "matches";
        }

        @Override void compute(Frame f) {
            operand.evaluate(f);
            input = f.bytes[operand.slot];
            from = f.starts[operand.slot];
            to = f.ends[operand.slot];
            f.steps += ownSteps - 1;
            if (matcher == null) matcher = pattern.matcher(this);
            else matcher.reset(this);
            putBoolean(f, matcher.find());
            input = null;
        }

        @Override public int length() {
            return to - from;
        }

        @Override public char charAt(int i) {
            return (char) (input[from + i] & 0xff);
        }

        @Override public CharSequence subSequence(int x, int y) {
            return new String(input, from + x, y - x, java.nio.charset.StandardCharsets.ISO_8859_1);
        }
    }
}
