package mothcross.net;

import java.nio.charset.StandardCharsets;

/**
 * Parses words and numbers in place in a byte array. Only {@link #decode} and {@link #encode} allocate; no method
 * reads outside the bounds it is given.
 */
final class Bytes {
    private static final int MAX_DECIMAL_DIGITS = 15;
    private static final int MAX_HEX_DIGITS = 16;

    private Bytes() { }

    /** The index of the first {@code wanted}, or -1. */
    static int indexOf(byte[] input, int from, int to, char wanted) {
        for (int i = from; i < to; i++) if (input[i] == wanted) return i;
        return -1;
    }

    static boolean matches(byte[] input, int from, int to, String word) {
        if (to - from != word.length()) return false;
        for (int i = 0; i < word.length(); i++) if (input[from + i] != word.charAt(i)) return false;
        return true;
    }

    /** Compares without regard to case; {@code lowerCase} must be in lower case. */
    static boolean matchesIgnoreCase(byte[] input, int from, int to, String lowerCase) {
        if (to - from != lowerCase.length()) return false;
        for (int i = 0; i < lowerCase.length(); i++) {
            int c = input[from + i];
            if ((c >= 'A' && c <= 'Z' ? c + 32 : c) != lowerCase.charAt(i)) return false;
        }
        return true;
    }

    /** A non-negative integer of at most 15 digits, or -1. */
    static long parseInteger(byte[] input, int from, int to) {
        if (from >= to || to - from > MAX_DECIMAL_DIGITS) return -1;
        long number = 0;
        for (int i = from; i < to; i++) {
            if (input[i] < '0' || input[i] > '9') return -1;
            number = 10 * number + input[i] - '0';
        }
        return number;
    }

    /** A non-negative number with or without a fraction, or NaN. */
    static double parseDecimal(byte[] input, int from, int to) {
        int dot = indexOf(input, from, to, '.');
        if (dot < 0) dot = to;
        double number = parseInteger(input, from, dot);
        if (number < 0) return Double.NaN;
        double unit = 1;
        for (int i = dot + 1; i < to; i++) {
            if (input[i] < '0' || input[i] > '9') return Double.NaN;
            number += (input[i] - '0') * (unit /= 10);
        }
        return number;
    }

    /** Whether all bytes are hex digits, 1 to 16 of them. */
    static boolean isHex(byte[] input, int from, int to) {
        if (from >= to || to - from > MAX_HEX_DIGITS) return false;
        for (int i = from; i < to; i++) if (Character.digit(input[i], 16) < 0) return false;
        return true;
    }

    /** The value of what {@link #isHex} accepts. */
    static long parseHex(byte[] input, int from, int to) {
        long number = 0;
        for (int i = from; i < to; i++) number = number << 4 | Character.digit(input[i], 16);
        return number;
    }

    static String decode(byte[] input, int from, int to) {
        return new String(input, from, to - from, StandardCharsets.ISO_8859_1);
    }

    static String decode(byte[] input) {
        return decode(input, 0, input.length);
    }

    static byte[] encode(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
