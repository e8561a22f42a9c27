package mothcross.expr;

import java.util.Arrays;

/**
 * Room for the values of one evaluation, used again for the next: a place for each part of the program, and scratch for
 * bytes that are made. Owns that room and the count of steps; holds on to a request's bytes only until the next one.
 */
public final class Frame {
    /** What is asked for: puts input {@code number} into a slot of the frame, or leaves it absent. */
    public interface Request {
        void read(int number, Frame into, int slot);
    }

    final long[] whole;                     // truths (0, 1) and integers
    final double[] number;
    final byte[][] bytes;
    final int[] from, to;
    final boolean[] there;
    private final int[] stamp;
    private int epoch;
    final byte[] scratch;
    Request request;
    /** Unix ms, for times of day. */
    double now;
    long steps;
    private String overflowedInput;                    // an input that was longer than its bound, where that refuses
    final boolean[] cut;                    // an input that was longer than its bound and cut there

    public Frame(Program p) {
        int n = p.slots();
        whole = new long[n];
        number = new double[n];
        bytes = new byte[n][];
        from = new int[n];
        to = new int[n];
        there = new boolean[n];
        stamp = new int[n];
        cut = new boolean[n];
        scratch = new byte[p.scratch()];
    }

    /** A new request: nothing of the last one is known any more. */
    public void begin(Request r, double at) {
        if (++epoch == 0) {
            Arrays.fill(stamp, 0);
            epoch = 1;
        }
        request = r;
        now = at;
        steps = 0;
        overflowedInput = null;
    }

    /** Lets go of the request. */
    public void end() {
        request = null;
    }

    boolean fresh(int slot) {
        if (stamp[slot] == epoch) return false;
        stamp[slot] = epoch;
        return true;
    }

    public void put(int slot, byte[] b, int a, int e) {
        bytes[slot] = b;
        from[slot] = a;
        to[slot] = e;
        there[slot] = true;
    }

    public void put(int slot, long v) {
        whole[slot] = v;
        there[slot] = true;
    }

    public void put(int slot, double v) {
        number[slot] = v;
        there[slot] = true;
    }

    public void putAbsent(int slot) {
        there[slot] = false;
    }

    void overflowedInput(String input) {
        overflowedInput = input;
    }

    /** The input that was longer than it may be, or null. */
    public String overflowedInput() {
        return overflowedInput;
    }

    /** Steps taken since {@link #begin}. */
    public long steps() {
        return steps;
    }
}
