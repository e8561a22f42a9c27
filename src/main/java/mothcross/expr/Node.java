package mothcross.expr;

import com.google.re2j.Matcher;
import com.google.re2j.Pattern;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A node of a compiled program. Its value is computed at most once per request, into its slot of the {@link Frame}.
 * The worst-case cost in steps is fixed when the node is made. Every kind of node counts the steps that it takes and
 * takes no more than that; evaluation allocates nothing and cannot fail, since every operation is defined for all
 * values.
 */
abstract class Node {
    /** The cost of a node that is not bounded; sums and products that overflow count as unbounded, too. */
    static final long UNBOUNDED_STEPS = Long.MAX_VALUE;

    final Type type;
    /** Worst-case steps of this node without its operands. */
    final long ownSteps;
    /** Worst-case steps of this node and of everything that it may evaluate. */
    final long worstCaseSteps;
    final Node[] operands;
    int slot;

    Node(Type type, long ownSteps, Node... operands) {
        this.type = type;
        this.ownSteps = ownSteps;
        this.operands = operands;
        long sum = ownSteps;
        for (Node operand : operands) sum = saturatedAdd(sum, operand.worstCaseSteps);
        this.worstCaseSteps = sum;
    }

    /** Whether the value depends on constants only. */
    boolean isConstant() {
        if (operands.length == 0) return false;
        for (Node operand : operands) if (!operand.isConstant()) return false;
        return true;
    }

    static long saturatedAdd(long a, long b) {
        return a == UNBOUNDED_STEPS || b == UNBOUNDED_STEPS || a + b < 0 ? UNBOUNDED_STEPS : a + b;
    }

    static long saturatedMultiply(long a, long b) {
        if (a == UNBOUNDED_STEPS || b == UNBOUNDED_STEPS) return UNBOUNDED_STEPS;
        return a != 0 && b > UNBOUNDED_STEPS / a ? UNBOUNDED_STEPS : a * b;
    }

    /** Computes the value unless that was done for this request already. */
    final Node evaluate(Frame frame) {
        if (frame.markComputed(slot)) {
            frame.steps++;
            compute(frame);
        }
        return this;
    }

    final boolean evaluateBoolean(Frame frame) {
        evaluate(frame);
        return frame.longs[slot] != 0;
    }

    final long evaluateLong(Frame frame) {
        evaluate(frame);
        return frame.longs[slot];
    }

    final double evaluateDouble(Frame frame) {
        evaluate(frame);
        return type.isFractional() ? frame.doubles[slot] : frame.longs[slot];
    }

    /** The length in bytes of the computed value. */
    final int length(Frame frame) {
        return frame.ends[slot] - frame.starts[slot];
    }

    /** The kind of node as operators see it when an expression is explained; independent of the class name. */
    abstract String label();

    /** Puts the value into the slot. */
    abstract void compute(Frame frame);

    final void putBoolean(Frame frame, boolean value) {
        frame.put(slot, value ? 1L : 0L);
    }

    /** Evaluates another node and takes its value, converted between integer and double where the types differ. */
    final void copyFrom(Frame frame, Node source) {
        source.evaluate(frame);
        int from = source.slot;
        boolean sameRepresentation = source.type.isFractional() == type.isFractional();
        frame.present[slot] = frame.present[from];
        frame.longs[slot] = sameRepresentation ? frame.longs[from] : (long) frame.doubles[from];
        frame.doubles[slot] = source.type.isFractional() ? frame.doubles[from] : frame.longs[from];
        frame.bytes[slot] = frame.bytes[from];
        frame.starts[slot] = frame.starts[from];
        frame.ends[slot] = frame.ends[from];
    }

    /** A constant of any type. */
    static final class Constant extends Node {
        final long longValue;
        final double doubleValue;
        final byte[] bytes;

        Constant(Type type, long longValue, double doubleValue, byte[] bytes) {
            super(type, 1);
            this.longValue = longValue;
            this.doubleValue = doubleValue;
            this.bytes = bytes;
        }

        @Override boolean isConstant() {
            return true;
        }

        static Constant of(boolean value) {
            return new Constant(Type.BOOL, value ? 1 : 0, 0, null);
        }

        @Override String label() {
            return "const";
        }

        @Override void compute(Frame frame) {
            frame.longs[slot] = longValue;
            frame.doubles[slot] = doubleValue;
            if (bytes != null) frame.put(slot, bytes, 0, bytes.length);
            frame.present[slot] = true;
        }
    }

    /** An input of the request, truncated to its maximum length. */
    static final class ReadInput extends Node {
        final Inputs.Input input;

        ReadInput(Inputs.Input input) {
            super(input.type(), 1);
            this.input = input;
        }

        @Override String label() {
            return "read";
        }

        @Override void compute(Frame frame) {
            frame.present[slot] = false;
            frame.truncated[slot] = false;
            frame.bytes[slot] = null;
            frame.ends[slot] = 0;
            frame.starts[slot] = 0;
            frame.longs[slot] = 0;
            frame.doubles[slot] = 0;
            frame.request.read(input.number(), frame, slot);
            if (type.kind() != Type.Kind.BYTES || length(frame) <= type.maxLength()) return;
            frame.ends[slot] = frame.starts[slot] + (int) type.maxLength();
            frame.truncated[slot] = true;
            if (input.overflow() == Inputs.Overflow.REJECT) frame.recordOverflow(input.name());
        }
    }

    /** {@code cut(x)}: whether an input was truncated. */
    static final class WasTruncated extends Node {
        final Node operand;

        WasTruncated(Node operand) {
            super(Type.BOOL, 1, operand);
            this.operand = operand;
        }

        @Override String label() {
            return "wascut";
        }

        @Override void compute(Frame frame) {
            operand.evaluate(frame);
            putBoolean(frame, frame.truncated[operand.slot]);
        }
    }

    /** {@code has(x)}: whether an optional value is present. */
    static final class IsPresent extends Node {
        final Node operand;

        IsPresent(Node operand) {
            super(Type.BOOL, 1, operand);
            this.operand = operand;
        }

        @Override String label() {
            return "has";
        }

        @Override void compute(Frame frame) {
            operand.evaluate(frame);
            putBoolean(frame, frame.present[operand.slot]);
        }
    }

    /** {@code x ?? y}: the first value if it is present, else the second. */
    static final class Coalesce extends Node {
        final Node value;
        final Node defaultValue;

        Coalesce(Type type, Node value, Node defaultValue) {
            super(type, 1, value, defaultValue);
            this.value = value;
            this.defaultValue = defaultValue;
        }

        @Override String label() {
            return "else";
        }

        @Override void compute(Frame frame) {
            value.evaluate(frame);
            copyFrom(frame, frame.present[value.slot] ? value : defaultValue);
        }
    }

    /** {@code if condition then x else y}; evaluates only the branch that is taken. */
    static final class Conditional extends Node {
        final Node condition;
        final Node thenBranch;
        final Node elseBranch;

        Conditional(Type type, Node condition, Node thenBranch, Node elseBranch) {
            super(type, 1, condition, thenBranch, elseBranch);
            this.condition = condition;
            this.thenBranch = thenBranch;
            this.elseBranch = elseBranch;
        }

        @Override String label() {
            return "choice";
        }

        @Override void compute(Frame frame) {
            copyFrom(frame, condition.evaluateBoolean(frame) ? thenBranch : elseBranch);
        }
    }

    /** {@code &&} and {@code ||}, which evaluate the right side only if the left does not decide, and {@code !}. */
    static final class BooleanOperation extends Node {
        /** '&amp;', '|' or '!'. */
        final char operator;
        final Node left;
        /** Null for '!'. */
        final Node right;

        BooleanOperation(char operator, Node left, Node right) {
            super(Type.BOOL, 1, operator == '!' ? new Node[] {left} : new Node[] {left, right});
            this.operator = operator;
            this.left = left;
            this.right = right;
        }

        @Override String label() {
            return "logic";
        }

        @Override void compute(Frame frame) {
            boolean value = left.evaluateBoolean(frame);
            putBoolean(frame, switch (operator) {
                case '!' -> !value;
                case '&' -> value && right.evaluateBoolean(frame);
                default -> value || right.evaluateBoolean(frame);
            });
        }
    }

    /** Arithmetic on two numbers. Integers saturate at the limits of 64 bits, doubles follow IEEE 754. */
    static final class Arithmetic extends Node {
        final char operator;
        final Node left;
        final Node right;

        Arithmetic(Type type, char operator, Node left, Node right) {
            super(type, 1, left, right);
            this.operator = operator;
            this.left = left;
            this.right = right;
        }

        @Override String label() {
            return "sum";
        }

        @Override void compute(Frame frame) {
            if (type.isFractional()) {
                double x = left.evaluateDouble(frame);
                double y = right.evaluateDouble(frame);
                frame.put(slot, switch (operator) {
                    case '+' -> x + y;
                    case '-' -> x - y;
                    case '*' -> x * y;
                    case '/' -> x / y;
                    default -> x % y;
                });
            } else {
                frame.put(slot, saturated(operator, left.evaluateLong(frame), right.evaluateLong(frame)));
            }
        }

        static long saturated(char operator, long x, long y) {
            switch (operator) {
                case '+' -> {
                    long result = x + y;
                    return ((x ^ result) & (y ^ result)) < 0 ? limit(x < 0) : result;
                }
                case '-' -> {
                    long result = x - y;
                    return ((x ^ y) & (x ^ result)) < 0 ? limit(x < 0) : result;
                }
                case '*' -> {
                    long high = Math.multiplyHigh(x, y);
                    long result = x * y;
                    return high == result >> 63 ? result : limit(x < 0 != y < 0);
                }
                case '/' -> {
                    return y == -1 ? saturated('-', 0, x) : x / y;
                }
                default -> {
                    return y == -1 ? 0 : x % y;
                }
            }
        }

        private static long limit(boolean negative) {
            return negative ? Long.MIN_VALUE : Long.MAX_VALUE;
        }
    }

    /** Compares two numbers or two booleans. NaN is equal to nothing and neither less nor greater than anything. */
    static final class NumberComparison extends Node {
        private static final int UNORDERED = 2;

        final String operator;
        final Node left;
        final Node right;
        private final boolean isFractional;
        private final boolean isLess;
        private final boolean includesEqual;
        private final boolean negated;

        NumberComparison(String operator, Node left, Node right) {
            super(Type.BOOL, 1, left, right);
            this.operator = operator;
            this.left = left;
            this.right = right;
            isFractional = left.type.isFractional() || right.type.isFractional();
            isLess = operator.charAt(0) == '<';
            includesEqual = operator.endsWith("=");
            negated = operator.charAt(0) == '!';
        }

        @Override String label() {
            return "compare";
        }

        @Override void compute(Frame frame) {
            int order;
            if (isFractional) {
                double x = left.evaluateDouble(frame);
                double y = right.evaluateDouble(frame);
                order = x < y ? -1 : x > y ? 1 : x == y ? 0 : UNORDERED;
            } else {
                order = Long.compare(left.evaluateLong(frame), right.evaluateLong(frame));
            }
            boolean equality = operator.equals("==") || negated;
            if (equality) putBoolean(frame, order == 0 != negated);
            else putBoolean(frame, order == 0 && includesEqual || order == (isLess ? -1 : 1));
        }
    }

    /** {@code x in low..high}, both inclusive. */
    static final class InRange extends Node {
        final Node operand;
        final double lowDouble;
        final double highDouble;
        final long lowLong;
        final long highLong;

        InRange(Node operand, Constant low, Constant high) {
            super(Type.BOOL, 1, operand);
            this.operand = operand;
            this.lowDouble = low.type.isFractional() ? low.doubleValue : low.longValue;
            this.highDouble = high.type.isFractional() ? high.doubleValue : high.longValue;
            this.lowLong = low.longValue;
            this.highLong = high.longValue;
        }

        @Override String label() {
            return "within";
        }

        @Override void compute(Frame frame) {
            if (operand.type.isFractional()) {
                double value = operand.evaluateDouble(frame);
                putBoolean(frame, value >= lowDouble && value <= highDouble);
            } else {
                long value = operand.evaluateLong(frame);
                putBoolean(frame, value >= lowLong && value <= highLong);
            }
        }
    }

    /** {@code x in [...]}: bytes by one lookup in a hash table of constants, an integer by binary search. */
    static final class InSet extends Node {
        /** Steps of a binary search, whatever the size of the list: 2^64 values at most. */
        static final int BINARY_SEARCH_STEPS = 64;

        final Node operand;
        /** A hash table with open addressing; its size is a power of two. Null for integers. */
        final byte[][] byteStrings;
        /** In ascending order; null for bytes. */
        final long[] integers;
        private final int maxLength;

        InSet(Node operand, byte[][] byteStrings, long[] integers, int maxLength, long ownSteps) {
            super(Type.BOOL, ownSteps, operand);
            this.operand = operand;
            this.byteStrings = byteStrings;
            this.integers = integers;
            this.maxLength = maxLength;
        }

        @Override String label() {
            return "among";
        }

        @Override void compute(Frame frame) {
            operand.evaluate(frame);
            if (integers != null) {
                frame.steps += BINARY_SEARCH_STEPS;
                putBoolean(frame, Arrays.binarySearch(integers, frame.longs[operand.slot]) >= 0);
                return;
            }
            int length = operand.length(frame);
            if (length > maxLength) {
                putBoolean(frame, false);
                return;
            }
            frame.steps += 2L * length;
            byte[] value = frame.bytes[operand.slot];
            int start = frame.starts[operand.slot];
            int end = start + length;
            int index = (int) Hash.of(value, start, end) & byteStrings.length - 1;
            while (byteStrings[index] != null) {
                byte[] candidate = byteStrings[index];
                frame.steps++;
                if (candidate.length == length && Arrays.equals(candidate, 0, length, value, start, end)) {
                    putBoolean(frame, true);
                    return;
                }
                index = index + 1 & byteStrings.length - 1;
            }
            putBoolean(frame, false);
        }
    }

    /** {@code ==} and {@code !=} of two byte strings. Costs the length of the shorter at most. */
    static final class BytesEquality extends Node {
        final Node left;
        final Node right;
        private final boolean negated;

        BytesEquality(Node left, Node right, boolean negated, long ownSteps) {
            super(Type.BOOL, ownSteps, left, right);
            this.left = left;
            this.right = right;
            this.negated = negated;
        }

        boolean isNegated() {
            return negated;
        }

        @Override String label() {
            return "same";
        }

        @Override void compute(Frame frame) {
            left.evaluate(frame);
            right.evaluate(frame);
            int length = left.length(frame);
            boolean equal = length == right.length(frame);
            if (equal) {
                frame.steps += length;
                equal = Arrays.equals(frame.bytes[left.slot], frame.starts[left.slot], frame.ends[left.slot],
                    frame.bytes[right.slot], frame.starts[right.slot], frame.ends[right.slot]);
            }
            putBoolean(frame, equal != negated);
        }
    }

    /** {@code starts}, {@code ends} and {@code contains}: a search for a constant at the start, the end or anywhere. */
    static final class SubstringTest extends Node {
        final Node operand;
        final byte[] pattern;
        /** '^' for the start, '$' for the end, '*' for anywhere. */
        final char anchor;

        SubstringTest(Node operand, byte[] pattern, char anchor, long ownSteps) {
            super(Type.BOOL, ownSteps, operand);
            this.operand = operand;
            this.pattern = pattern;
            this.anchor = anchor;
        }

        @Override String label() {
            return "stands";
        }

        @Override void compute(Frame frame) {
            operand.evaluate(frame);
            byte[] value = frame.bytes[operand.slot];
            int first = frame.starts[operand.slot];
            int last = frame.ends[operand.slot] - pattern.length;
            boolean found = false;
            if (last >= first) {
                if (anchor == '^') found = matchesAt(frame, value, first);
                else if (anchor == '$') found = matchesAt(frame, value, last);
                else for (int i = first; i <= last && !found; i++) found = matchesAt(frame, value, i);
            }
            putBoolean(frame, found);
        }

        private boolean matchesAt(Frame frame, byte[] value, int offset) {
            for (int i = 0; i < pattern.length; i++) {
                frame.steps++;
                if (value[offset + i] != pattern[i]) return false;
            }
            return true;
        }
    }

    /**
     * {@code split(x, separator, maxPieces)[index]}: one piece of a byte string; the last of {@code maxPieces} pieces
     * holds the rest. Absent if there are fewer pieces.
     */
    static final class SplitPiece extends Node {
        final Node operand;
        private final byte[] separator;
        private final int index;
        private final int maxPieces;

        SplitPiece(Node operand, byte[] separator, int index, int maxPieces, long ownSteps) {
            super(operand.type.asRequired().asOptional(), ownSteps, operand);
            this.operand = operand;
            this.separator = separator;
            this.index = index;
            this.maxPieces = maxPieces;
        }

        @Override String label() {
            return "piece";
        }

        @Override void compute(Frame frame) {
            operand.evaluate(frame);
            byte[] value = frame.bytes[operand.slot];
            int valueEnd = frame.ends[operand.slot];
            int start = frame.starts[operand.slot];
            for (int piece = 0;; piece++) {
                int end = piece == maxPieces - 1 ? valueEnd : findSeparator(frame, value, start, valueEnd);
                if (piece == index) {
                    frame.put(slot, value, start, end);
                    return;
                }
                if (end == valueEnd) {
                    frame.putAbsent(slot);
                    return;
                }
                start = end + separator.length;
            }
        }

        /** The offset of the next separator, {@code to} if there is none. */
        private int findSeparator(Frame frame, byte[] value, int from, int to) {
            candidates:
            for (int i = from; i <= to - separator.length; i++) {
                for (int k = 0; k < separator.length; k++) {
                    frame.steps++;
                    if (value[i + k] != separator[k]) continue candidates;
                }
                return i;
            }
            return to;
        }
    }

    /** {@code first(x, n)} and {@code skip(x, n)}: the first n bytes, or all after them; nothing is copied. */
    static final class Slice extends Node {
        final Node operand;
        private final int length;
        private final boolean isPrefix;

        Slice(Type type, Node operand, int length, boolean isPrefix) {
            super(type, 1, operand);
            this.operand = operand;
            this.length = length;
            this.isPrefix = isPrefix;
        }

        @Override String label() {
            return "part";
        }

        @Override void compute(Frame frame) {
            operand.evaluate(frame);
            int start = frame.starts[operand.slot];
            int end = frame.ends[operand.slot];
            int boundary = Math.min(end, start + length);
            if (isPrefix) frame.put(slot, frame.bytes[operand.slot], start, boundary);
            else frame.put(slot, frame.bytes[operand.slot], boundary, end);
        }
    }

    /** {@code x + y} of byte strings. The result is written to scratch space that only this node uses. */
    static final class Concatenation extends Node {
        final Node left;
        final Node right;
        private final int scratchOffset;

        Concatenation(Type type, Node left, Node right, int scratchOffset) {
            super(type, saturatedAdd(1, type.maxLength()), left, right);
            this.left = left;
            this.right = right;
            this.scratchOffset = scratchOffset;
        }

        @Override String label() {
            return "joined";
        }

        @Override void compute(Frame frame) {
            left.evaluate(frame);
            right.evaluate(frame);
            int leftLength = left.length(frame);
            int rightLength = right.length(frame);
            int middle = scratchOffset + leftLength;
            frame.steps += leftLength + rightLength;
            System.arraycopy(frame.bytes[left.slot], frame.starts[left.slot], frame.scratch, scratchOffset, leftLength);
            System.arraycopy(frame.bytes[right.slot], frame.starts[right.slot], frame.scratch, middle, rightLength);
            frame.put(slot, frame.scratch, scratchOffset, middle + rightLength);
        }
    }

    /** {@code lower(x)}: ASCII letters in lower case, written to scratch space that only this node uses. */
    static final class ToLowerCase extends Node {
        final Node operand;
        private final int scratchOffset;

        ToLowerCase(Node operand, int scratchOffset) {
            super(operand.type, saturatedAdd(1, operand.type.maxLength()), operand);
            this.operand = operand;
            this.scratchOffset = scratchOffset;
        }

        @Override String label() {
            return "lower";
        }

        @Override void compute(Frame frame) {
            operand.evaluate(frame);
            int length = operand.length(frame);
            int start = frame.starts[operand.slot];
            byte[] value = frame.bytes[operand.slot];
            frame.steps += length;
            for (int i = 0; i < length; i++) {
                byte c = value[start + i];
                frame.scratch[scratchOffset + i] = c >= 'A' && c <= 'Z' ? (byte) (c + ('a' - 'A')) : c;
            }
            frame.put(slot, frame.scratch, scratchOffset, scratchOffset + length);
        }
    }

    /** {@code decimal(x)} and {@code hex(x)}: an integer from digits; absent if empty, not all digits or too large. */
    static final class ParseInteger extends Node {
        /** 2^64 - 1 has 16 hexadecimal digits. */
        private static final int MAX_HEX_DIGITS = 16;
        /** 2^63 - 1 has 19 decimal digits. */
        private static final int MAX_DECIMAL_DIGITS = 19;
        /** Covers one for the node and one for each digit. */
        private static final int OWN_STEPS = 21;

        final Node operand;
        private final int base;
        private final int maxDigits;

        ParseInteger(Node operand, int base) {
            super(Type.INT.asOptional(), OWN_STEPS, operand);
            this.operand = operand;
            this.base = base;
            this.maxDigits = base == 16 ? MAX_HEX_DIGITS : MAX_DECIMAL_DIGITS;
        }

        @Override String label() {
            return "digits";
        }

        @Override void compute(Frame frame) {
            operand.evaluate(frame);
            int length = operand.length(frame);
            frame.putAbsent(slot);
            if (length == 0 || length > maxDigits) return;
            long value = 0;
            for (int i = frame.starts[operand.slot]; i < frame.ends[operand.slot]; i++) {
                frame.steps++;
                byte c = frame.bytes[operand.slot][i];
                int digit = c < 0 ? -1 : Character.digit(c, base);
                if (digit < 0) return;
                if (base == 10 && value > (Long.MAX_VALUE - digit) / 10) return;
                value = value * base + digit;
            }
            frame.put(slot, value);
        }
    }

    /** {@code length(x)}: the length of a byte string. */
    static final class Length extends Node {
        final Node operand;

        Length(Node operand) {
            super(Type.INT, 1, operand);
            this.operand = operand;
        }

        @Override String label() {
            return "length";
        }

        @Override void compute(Frame frame) {
            operand.evaluate(frame);
            frame.put(slot, (long) operand.length(frame));
        }
    }

    /** {@code hash(x)}: a 64-bit hash of bytes (FNV-1a) or of an integer, finished by a mixing function. */
    static final class Hash extends Node {
        private static final long FNV_PRIME = 0x100000001b3L;

        final Node operand;

        Hash(Node operand, long ownSteps) {
            super(Type.INT, ownSteps, operand);
            this.operand = operand;
        }

        @Override String label() {
            return "hash";
        }

        @Override void compute(Frame frame) {
            operand.evaluate(frame);
            int from = operand.slot;
            if (operand.type.kind() == Type.Kind.INT) {
                frame.put(slot, mix(frame.longs[from]));
            } else {
                frame.steps += operand.length(frame);
                frame.put(slot, of(frame.bytes[from], frame.starts[from], frame.ends[from]));
            }
        }

        /** FNV-1a of signed bytes, with the length in place of the usual offset basis. */
        static long of(byte[] bytes, int start, int end) {
            long hash = end - start;
            for (int i = start; i < end; i++) hash = (hash ^ bytes[i]) * FNV_PRIME;
            return mix(hash);
        }

        /** The finalizer of SplitMix64. */
        static long mix(long x) {
            x = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
            x = (x ^ (x >>> 27)) * 0x94d049bb133111ebL;
            return x ^ (x >>> 31);
        }
    }

    /** {@code bucket(x, n)}: the unsigned remainder, from 0 to n - 1; uniform if the operand is. */
    static final class Bucket extends Node {
        final Node operand;
        private final long bucketCount;

        Bucket(Node operand, long bucketCount) {
            super(Type.INT, 1, operand);
            this.operand = operand;
            this.bucketCount = bucketCount;
        }

        @Override String label() {
            return "bucket";
        }

        @Override void compute(Frame frame) {
            frame.put(slot, Long.remainderUnsigned(operand.evaluateLong(frame), bucketCount));
        }
    }

    /** {@code in_cidr(address, range)}: whether an address is in a network; never for one of the other IP version. */
    static final class InCidr extends Node {
        /** One for the node and one for each byte of an IPv6 address. */
        private static final int OWN_STEPS = 17;

        final Node operand;
        private final byte[] network;
        private final int prefixBits;

        InCidr(Node operand, byte[] network, int prefixBits) {
            super(Type.BOOL, OWN_STEPS, operand);
            this.operand = operand;
            this.network = network;
            this.prefixBits = prefixBits;
        }

        @Override String label() {
            return "incidr";
        }

        @Override void compute(Frame frame) {
            operand.evaluate(frame);
            byte[] address = frame.bytes[operand.slot];
            int start = frame.starts[operand.slot];
            boolean matches = operand.length(frame) == network.length;
            for (int bit = 0; matches && bit < prefixBits; bit += 8) {
                frame.steps++;
                int left = prefixBits - bit;
                int mask = left >= 8 ? 0xff : 0xff << 8 - left;
                matches = ((address[start + bit / 8] ^ network[bit / 8]) & mask & 0xff) == 0;
            }
            putBoolean(frame, matches);
        }
    }

    /** {@code time_of_day(offset)} and {@code weekday(offset)}, Monday = 1, at a fixed offset from UTC. */
    static final class TimeField extends Node {
        private static final double DAY_MS = 86_400_000;
        /** 1 January 1970 was a Thursday, three days after a Monday. */
        private static final int EPOCH_DAYS_AFTER_MONDAY = 3;

        private final double offsetMs;
        private final boolean isWeekday;

        TimeField(double offsetMs, boolean isWeekday) {
            super(isWeekday ? Type.INT : Type.DURATION, 1);
            this.offsetMs = offsetMs;
            this.isWeekday = isWeekday;
        }

        @Override String label() {
            return "clock";
        }

        @Override void compute(Frame frame) {
            double days = Math.floor((frame.nowMs + offsetMs) / DAY_MS);
            if (isWeekday) frame.put(slot, 1 + Math.floorMod((long) days + EPOCH_DAYS_AFTER_MONDAY, 7L));
            else frame.put(slot, frame.nowMs + offsetMs - days * DAY_MS);
        }
    }

    /** {@code matches(x, pattern)}: a search for a regular expression, by an engine of linear time (RE2). */
    static final class RegexMatch extends Node implements CharSequence {
        final Node operand;
        private final Pattern pattern;
        /** Reused: the director's lock ensures that one lookup is evaluated at a time. */
        private Matcher matcher;
        private byte[] input;
        private int start;
        private int end;

        RegexMatch(Node operand, Pattern pattern, long ownSteps) {
            super(Type.BOOL, ownSteps, operand);
            this.operand = operand;
            this.pattern = pattern;
        }

        @Override String label() {
            return "matches";
        }

        @Override void compute(Frame frame) {
            operand.evaluate(frame);
            input = frame.bytes[operand.slot];
            start = frame.starts[operand.slot];
            end = frame.ends[operand.slot];
            frame.steps += ownSteps - 1;
            if (matcher == null) matcher = pattern.matcher(this);
            else matcher.reset(this);
            putBoolean(frame, matcher.find());
            input = null;
        }

        @Override public int length() {
            return end - start;
        }

        @Override public char charAt(int index) {
            return (char) (input[start + index] & 0xff);
        }

        @Override public CharSequence subSequence(int from, int to) {
            return new String(input, start + from, to - from, StandardCharsets.ISO_8859_1);
        }
    }
}
