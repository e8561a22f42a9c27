package mothcross.net;

import java.nio.charset.StandardCharsets;

/**
 * Reading words and numbers where they stand in a byte array. Owns nothing; must never allocate but for
 * {@link #decode}, and never read outside the bounds that it is given.
 */
final class Bytes {
    private Bytes() { }

    static int indexOf(byte[] in, int from, int to, char what) {
        for (int i = from; i < to; i++) if (in[i] == what) return i;
        return -1;
    }

    static boolean matches(byte[] in, int from, int to, String what) {
        if (to - from != what.length()) return false;
        for (int i = 0; i < what.length(); i++) if (in[from + i] != what.charAt(i)) return false;
        return true;
    }

    /** Without regard to case; {@code lower} is in lower case. */
    static boolean matchesIgnoreCase(byte[] in, int from, int to, String lower) {
        if (to - from != lower.length()) return false;
        for (int i = 0; i < lower.length(); i++) {
            int c = in[from + i];
            if ((c >= 'A' && c <= 'Z' ? c + 32 : c) != lower.charAt(i)) return false;
        }
        return true;
    }

    /** A whole number of at most 15 digits, or -1. */
    static long parseInteger(byte[] in, int from, int to) {
        if (from >= to || to - from > 15) return -1;
        long n = 0;
        for (int i = from; i < to; i++) {
            if (in[i] < '0' || in[i] > '9') return -1;
            n = 10 * n + in[i] - '0';
        }
        return n;
    }

    /** A number with or without a fraction, or NaN. */
    static double parseDecimal(byte[] in, int from, int to) {
        int dot = indexOf(in, from, to, '.');
        if (dot < 0) dot = to;
        double whole = parseInteger(in, from, dot);
        if (whole < 0) return Double.NaN;
        double unit = 1;
        for (int i = dot + 1; i < to; i++) {
            if (in[i] < '0' || in[i] > '9') return Double.NaN;
            whole += (in[i] - '0') * (unit /= 10);
        }
        return whole;
    }

    /** True where all are hex digits, 1 to 16 of them. */
    static boolean isHex(byte[] in, int from, int to) {
        if (from >= to || to - from > 16) return false;
        for (int i = from; i < to; i++) if (Character.digit(in[i], 16) < 0) return false;
        return true;
    }

    static long parseHex(byte[] in, int from, int to) {
        long n = 0;
        for (int i = from; i < to; i++) n = n << 4 | Character.digit(in[i], 16);
        return n;
    }

    static String decode(byte[] in, int from, int to) {
        return new String(in, from, to - from, StandardCharsets.ISO_8859_1);
    }

    static String decode(byte[] all) {
        return decode(all, 0, all.length);
    }

    static byte[] encode(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
