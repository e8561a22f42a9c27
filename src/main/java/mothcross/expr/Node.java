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
    final long own, cost;
    final Node[] parts;
    int slot;

    Node(Type type, long own, Node... parts) {
        this.type = type;
        this.own = own;
        this.parts = parts;
        long sum = own;
        for (Node p : parts) sum = plus(sum, p.cost);
        this.cost = sum;
    }

    /** Whether all that it stands on are constants. */
    boolean constant() {
        if (parts.length == 0) return false;
        for (Node p : parts) if (!p.constant()) return false;
        return true;
    }

    /** Numbers past this are no cost but none at all: the part has no bound. */
    static final long ENDLESS = Long.MAX_VALUE;

    static long plus(long a, long b) {
        return a == ENDLESS || b == ENDLESS || a + b < 0 ? ENDLESS : a + b;
    }

    static long times(long a, long b) {
        if (a == ENDLESS || b == ENDLESS) return ENDLESS;
        return a != 0 && b > ENDLESS / a ? ENDLESS : a * b;
    }

    final Node need(Frame f) {
        if (f.fresh(slot)) {
            f.steps++;
            compute(f);
        }
        return this;
    }

    final boolean truth(Frame f) {
        need(f);
        return f.whole[slot] != 0;
    }

    final long whole(Frame f) {
        need(f);
        return f.whole[slot];
    }

    final double number(Frame f) {
        need(f);
        return type.isFractional() ? f.number[slot] : f.whole[slot];
    }

    final int length(Frame f) {
        return f.to[slot] - f.from[slot];
    }

    /** Puts the value into the slot. */
    abstract void compute(Frame f);

    final void is(Frame f, boolean v) {
        f.put(slot, v ? 1L : 0L);
    }

    /** The value of another part becomes this one's. */
    final void like(Frame f, Node n) {
        n.need(f);
        f.there[slot] = f.there[n.slot];
        f.whole[slot] = n.type.isFractional() == type.isFractional() ? f.whole[n.slot] : (long) f.number[n.slot];
        f.number[slot] = n.type.isFractional() ? f.number[n.slot] : f.whole[n.slot];
        f.bytes[slot] = f.bytes[n.slot];
        f.from[slot] = f.from[n.slot];
        f.to[slot] = f.to[n.slot];
    }

    static final class Const extends Node {
        final long whole;
        final double number;
        final byte[] bytes;

        Const(Type type, long whole, double number, byte[] bytes) {
            super(type, 1);
            this.whole = whole;
            this.number = number;
            this.bytes = bytes;
        }

        @Override boolean constant() {
            return true;
        }

        static Const of(boolean v) {
            return new Const(Type.BOOL, v ? 1 : 0, 0, null);
        }

        @Override void compute(Frame f) {
            f.whole[slot] = whole;
            f.number[slot] = number;
            if (bytes != null) f.put(slot, bytes, 0, bytes.length);
            f.there[slot] = true;
        }
    }

    static final class Read extends Node {
        final Inputs.Input input;

        Read(Inputs.Input input) {
            super(input.type(), 1);
            this.input = input;
        }

        @Override void compute(Frame f) {
            f.there[slot] = false;
            f.cut[slot] = false;
            f.bytes[slot] = null;
            f.from[slot] = f.to[slot] = 0;
            f.whole[slot] = 0;
            f.number[slot] = 0;
            f.request.read(input.number(), f, slot);
            if (type.kind() != Type.Kind.BYTES || length(f) <= type.maxLength()) return;
            f.to[slot] = f.from[slot] + (int) type.maxLength();
            f.cut[slot] = true;
            if (input.overflow() == Inputs.Overflow.REJECT) f.overflowedInput(input.name());
        }
    }

    static final class WasCut extends Node {
        final Node a;

        WasCut(Node a) {
            super(Type.BOOL, 1, a);
            this.a = a;
        }

        @Override void compute(Frame f) {
            a.need(f);
            is(f, f.cut[a.slot]);
        }
    }

    static final class Has extends Node {
        final Node a;

        Has(Node a) {
            super(Type.BOOL, 1, a);
            this.a = a;
        }

        @Override void compute(Frame f) {
            a.need(f);
            is(f, f.there[a.slot]);
        }
    }

    /** The first where it is there, else the second. */
    static final class Else extends Node {
        final Node a, b;

        Else(Type type, Node a, Node b) {
            super(type, 1, a, b);
            this.a = a;
            this.b = b;
        }

        @Override void compute(Frame f) {
            a.need(f);
            like(f, f.there[a.slot] ? a : b);
        }
    }

    static final class Choice extends Node {
        final Node condition, yes, no;

        Choice(Type type, Node condition, Node yes, Node no) {
            super(type, 1, condition, yes, no);
            this.condition = condition;
            this.yes = yes;
            this.no = no;
        }

        @Override void compute(Frame f) {
            like(f, condition.truth(f) ? yes : no);
        }
    }

    static final class Logic extends Node {
        final char op;                                      // '&', '|', '!'
        final Node a, b;

        Logic(char op, Node a, Node b) {
            super(Type.BOOL, 1, op == '!' ? new Node[] {a} : new Node[] {a, b});
            this.op = op;
            this.a = a;
            this.b = b;
        }

        @Override void compute(Frame f) {
            boolean x = a.truth(f);
            is(f, op == '!' ? !x : op == '&' ? x && b.truth(f) : x || b.truth(f));
        }
    }

    /** Arithmetic: integers go to the nearest end where they would run over, fractions follow IEEE 754. */
    static final class Sum extends Node {
        final char op;
        final Node a, b;

        Sum(Type type, char op, Node a, Node b) {
            super(type, 1, a, b);
            this.op = op;
            this.a = a;
            this.b = b;
        }

        @Override void compute(Frame f) {
            if (type.isFractional()) {
                double x = a.number(f), y = b.number(f);
                f.put(slot, switch (op) {
                    case '+' -> x + y;
                    case '-' -> x - y;
                    case '*' -> x * y;
                    case '/' -> x / y;
                    default -> x % y;
                });
            } else {
                f.put(slot, whole(op, a.whole(f), b.whole(f)));
            }
        }

        static long whole(char op, long x, long y) {
            switch (op) {
                case '+' -> {
                    long r = x + y;
                    return ((x ^ r) & (y ^ r)) < 0 ? end(x < 0) : r;
                }
                case '-' -> {
                    long r = x - y;
                    return ((x ^ y) & (x ^ r)) < 0 ? end(x < 0) : r;
                }
                case '*' -> {
                    long high = Math.multiplyHigh(x, y), r = x * y;
                    return high == r >> 63 ? r : end(x < 0 != y < 0);
                }
                case '/' -> {
                    return y == -1 ? whole('-', 0, x) : x / y;
                }
                default -> {
                    return y == -1 ? 0 : x % y;
                }
            }
        }

        private static long end(boolean negative) {
            return negative ? Long.MIN_VALUE : Long.MAX_VALUE;
        }
    }

    static final class Compare extends Node {
        final String op;
        final Node a, b;
        private final boolean fraction, less, equal, not;

        Compare(String op, Node a, Node b) {
            super(Type.BOOL, 1, a, b);
            this.op = op;
            this.a = a;
            this.b = b;
            fraction = a.type.isFractional() || b.type.isFractional();
            less = op.charAt(0) == '<';
            equal = op.endsWith("=");
            not = op.charAt(0) == '!';
        }

        @Override void compute(Frame f) {
            int c;
            if (fraction) {
                double x = a.number(f), y = b.number(f);
                c = x < y ? -1 : x > y ? 1 : x == y ? 0 : 2;     // 2: no number, which compares with nothing
            } else {
                c = Long.compare(a.whole(f), b.whole(f));
            }
            boolean same = op.equals("==") || not;
            if (same) is(f, c == 0 != not);
            else is(f, c == 0 && equal || c == (less ? -1 : 1));
        }
    }

    static final class Within extends Node {
        final Node a;
        final double low, high;
        final long lowWhole, highWhole;

        Within(Node a, Const low, Const high) {
            super(Type.BOOL, 1, a);
            this.a = a;
            this.low = low.type.isFractional() ? low.number : low.whole;
            this.high = high.type.isFractional() ? high.number : high.whole;
            this.lowWhole = low.whole;
            this.highWhole = high.whole;
        }

        @Override void compute(Frame f) {
            if (a.type.isFractional()) {
                double x = a.number(f);
                is(f, x >= low && x <= high);
            } else {
                long x = a.whole(f);
                is(f, x >= lowWhole && x <= highWhole);
            }
        }
    }

    /** Bytes against constants, by one hash and one comparison; or a number among some, by halving. */
    static final class Among extends Node {
        final Node a;
        final byte[][] texts;                               // by hash, open addressing
        final long[] wholes;
        private final int longest;

        Among(Node a, byte[][] texts, long[] wholes, int longest, long own) {
            super(Type.BOOL, own, a);
            this.a = a;
            this.texts = texts;
            this.wholes = wholes;
            this.longest = longest;
        }

        @Override void compute(Frame f) {
            a.need(f);
            if (wholes != null) {
                f.steps += 64;
                is(f, java.util.Arrays.binarySearch(wholes, f.whole[a.slot]) >= 0);
                return;
            }
            int n = length(f, a);
            if (n > longest) {
                is(f, false);
                return;
            }
            f.steps += 2L * n;
            byte[] b = f.bytes[a.slot];
            int from = f.from[a.slot], at = (int) Hash.of(b, from, from + n) & texts.length - 1;
            for (byte[] t; (t = texts[at]) != null; at = at + 1 & texts.length - 1) {
                f.steps++;
                if (t.length == n && java.util.Arrays.equals(t, 0, n, b, from, from + n)) {
                    is(f, true);
                    return;
                }
            }
            is(f, false);
        }

        private static int length(Frame f, Node a) {
            return f.to[a.slot] - f.from[a.slot];
        }
    }

    /** Two byte strings the same; costs the shorter. */
    static final class Same extends Node {
        final Node a, b;
        private final boolean not;

        boolean not() {
            return not;
        }

        Same(Node a, Node b, boolean not, long own) {
            super(Type.BOOL, own, a, b);
            this.a = a;
            this.b = b;
            this.not = not;
        }

        @Override void compute(Frame f) {
            a.need(f);
            b.need(f);
            int n = a.length(f);
            boolean same = n == b.length(f);
            if (same) {
                f.steps += n;
                same = java.util.Arrays.equals(f.bytes[a.slot], f.from[a.slot], f.to[a.slot], f.bytes[b.slot],
                    f.from[b.slot], f.to[b.slot]);
            }
            is(f, same != not);
        }
    }

    /** Whether a constant stands at the begin, at the end or anywhere. */
    static final class Stands extends Node {
        final Node a;
        final byte[] what;
        final char where;                                   // '^', '$', '*'

        Stands(Node a, byte[] what, char where, long own) {
            super(Type.BOOL, own, a);
            this.a = a;
            this.what = what;
            this.where = where;
        }

        @Override void compute(Frame f) {
            a.need(f);
            byte[] b = f.bytes[a.slot];
            int from = f.from[a.slot], to = f.to[a.slot], last = to - what.length;
            boolean found = false;
            if (last >= from) {
                if (where == '^') found = at(f, b, from);
                else if (where == '$') found = at(f, b, last);
                else for (int i = from; i <= last && !found; i++) found = at(f, b, i);
            }
            is(f, found);
        }

        private boolean at(Frame f, byte[] b, int i) {
            for (int k = 0; k < what.length; k++) {
                f.steps++;
                if (b[i + k] != what[k]) return false;
            }
            return true;
        }
    }

    /** The piece of this number where a text is cut at a constant, into so many at most; the last holds the rest. */
    static final class Piece extends Node {
        final Node a;
        private final byte[] at;
        private final int number, most;

        Piece(Node a, byte[] at, int number, int most, long own) {
            super(a.type.asRequired().asOptional(), own, a);
            this.a = a;
            this.at = at;
            this.number = number;
            this.most = most;
        }

        @Override void compute(Frame f) {
            a.need(f);
            byte[] b = f.bytes[a.slot];
            int from = f.from[a.slot], to = f.to[a.slot], begin = from;
            for (int piece = 0;; piece++) {
                int end = piece == most - 1 ? to : find(f, b, begin, to);
                if (piece == number) {
                    f.put(slot, b, begin, end);
                    return;
                }
                if (end == to) {
                    f.putAbsent(slot);
                    return;
                }
                begin = end + at.length;
            }
        }

        private int find(Frame f, byte[] b, int from, int to) {
            outer:
            for (int i = from; i <= to - at.length; i++) {
                for (int k = 0; k < at.length; k++) {
                    f.steps++;
                    if (b[i + k] != at[k]) continue outer;
                }
                return i;
            }
            return to;
        }
    }

    /** The first bytes, or all but those. */
    static final class Part extends Node {
        final Node a;
        private final int n;
        private final boolean first;

        Part(Type type, Node a, int n, boolean first) {
            super(type, 1, a);
            this.a = a;
            this.n = n;
            this.first = first;
        }

        @Override void compute(Frame f) {
            a.need(f);
            int cut = Math.min(f.to[a.slot], f.from[a.slot] + n);
            f.put(slot, f.bytes[a.slot], first ? f.from[a.slot] : cut, first ? cut : f.to[a.slot]);
        }
    }

    /** Bytes that are made go to a place of the scratch that is this part's alone. */
    static final class Joined extends Node {
        final Node a, b;
        private final int place;

        Joined(Type type, Node a, Node b, int place) {
            super(type, plus(1, type.maxLength()), a, b);
            this.a = a;
            this.b = b;
            this.place = place;
        }

        @Override void compute(Frame f) {
            a.need(f);
            b.need(f);
            int n = a.length(f), m = b.length(f);
            f.steps += n + m;
            System.arraycopy(f.bytes[a.slot], f.from[a.slot], f.scratch, place, n);
            System.arraycopy(f.bytes[b.slot], f.from[b.slot], f.scratch, place + n, m);
            f.put(slot, f.scratch, place, place + n + m);
        }
    }

    static final class Lower extends Node {
        final Node a;
        private final int place;

        Lower(Node a, int place) {
            super(a.type, plus(1, a.type.maxLength()), a);
            this.a = a;
            this.place = place;
        }

        @Override void compute(Frame f) {
            a.need(f);
            int n = a.length(f), from = f.from[a.slot];
            f.steps += n;
            byte[] b = f.bytes[a.slot];
            for (int i = 0; i < n; i++) {
                byte c = b[from + i];
                f.scratch[place + i] = c >= 'A' && c <= 'Z' ? (byte) (c + 32) : c;
            }
            f.put(slot, f.scratch, place, place + n);
        }
    }

    /** Digits to an integer; absent where it is none, empty, or too large. */
    static final class Digits extends Node {
        final Node a;
        private final int base, most;

        Digits(Node a, int base) {
            super(Type.INT.asOptional(), 21, a);
            this.a = a;
            this.base = base;
            this.most = base == 16 ? 16 : 19;
        }

        @Override void compute(Frame f) {
            a.need(f);
            int n = a.length(f);
            f.putAbsent(slot);
            if (n == 0 || n > most) return;
            long v = 0;
            for (int i = f.from[a.slot]; i < f.to[a.slot]; i++) {
                f.steps++;
                byte c = f.bytes[a.slot][i];
                int d = c < 0 ? -1 : Character.digit(c, base);
                if (d < 0) return;
                if (base == 10 && v > (Long.MAX_VALUE - d) / 10) return;
                v = v * base + d;
            }
            f.put(slot, v);
        }
    }

    static final class Length extends Node {
        final Node a;

        Length(Node a) {
            super(Type.INT, 1, a);
            this.a = a;
        }

        @Override void compute(Frame f) {
            a.need(f);
            f.put(slot, (long) a.length(f));
        }
    }

    static final class Hash extends Node {
        final Node a;

        Hash(Node a, long own) {
            super(Type.INT, own, a);
            this.a = a;
        }

        @Override void compute(Frame f) {
            a.need(f);
            if (a.type.kind() == Type.Kind.INT) {
                f.put(slot, mix(f.whole[a.slot]));
            } else {
                f.steps += a.length(f);
                f.put(slot, of(f.bytes[a.slot], f.from[a.slot], f.to[a.slot]));
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
        final Node a;
        private final long n;

        Bucket(Node a, long n) {
            super(Type.INT, 1, a);
            this.a = a;
            this.n = n;
        }

        @Override void compute(Frame f) {
            f.put(slot, Long.remainderUnsigned(a.whole(f), n));
        }
    }

    static final class InCidr extends Node {
        final Node a;
        private final byte[] net;
        private final int bits;

        InCidr(Node a, byte[] net, int bits) {
            super(Type.BOOL, 17, a);
            this.a = a;
            this.net = net;
            this.bits = bits;
        }

        @Override void compute(Frame f) {
            a.need(f);
            boolean in = a.length(f) == net.length;
            for (int i = 0; in && i < bits; i += 8) {
                f.steps++;
                int mask = bits - i >= 8 ? 0xff : 0xff << 8 - (bits - i);
                in = ((f.bytes[a.slot][f.from[a.slot] + i / 8] ^ net[i / 8]) & mask & 0xff) == 0;
            }
            is(f, in);
        }
    }

    /** Time since midnight, or the day of the week from Monday = 1, at a fixed distance from UTC. */
    static final class Clock extends Node {
        private static final double DAY_MS = 86_400_000;
        private final double offset;
        private final boolean day;

        Clock(double offset, boolean day) {
            super(day ? Type.INT : Type.DURATION, 1);
            this.offset = offset;
            this.day = day;
        }

        @Override void compute(Frame f) {
            double days = Math.floor((f.now + offset) / DAY_MS);
            if (day) f.put(slot, 1 + Math.floorMod((long) days + 3, 7L));
            else f.put(slot, f.now + offset - days * DAY_MS);
        }
    }

    /** A pattern on a bounded text, by an engine whose time is linear in it. */
    static final class Matches extends Node implements CharSequence {
        final Node a;
        private final Pattern pattern;
        private Matcher matcher;                            // one lookup at a time is evaluated, under the desk's lock
        private byte[] b;
        private int from, to;

        Matches(Node a, Pattern pattern, long own) {
            super(Type.BOOL, own, a);
            this.a = a;
            this.pattern = pattern;
        }

        @Override void compute(Frame f) {
            a.need(f);
            b = f.bytes[a.slot];
            from = f.from[a.slot];
            to = f.to[a.slot];
            f.steps += own - 1;
            if (matcher == null) matcher = pattern.matcher(this);
            else matcher.reset(this);
            is(f, matcher.find());
            b = null;
        }

        @Override public int length() {
            return to - from;
        }

        @Override public char charAt(int i) {
            return (char) (b[from + i] & 0xff);
        }

        @Override public CharSequence subSequence(int x, int y) {
            return new String(b, from + x, y - x, java.nio.charset.StandardCharsets.ISO_8859_1);
        }
    }
}
