package mothcross.expr;

import java.util.Arrays;

/**
 * Room for the values of one evaluation, used again for the next: a place for each part of the program, and scratch for
 * bytes that are made. Owns that room and the count of steps; holds on to a request's bytes only until the next one.
 */
public final class Frame {
    /** What is asked for: puts input {@code doubles} into a slot of the frame, or leaves it absent. */
    public interface Request {
        void read(int number, Frame into, int slot);
    }

    final long[] longs;                     // truths (0, 1) and integers
    final double[] doubles;
    final byte[][] bytes;
    final int[] starts, ends;
    final boolean[] present;
    private final int[] computedIn;
    private int epoch;
    final byte[] scratch;
    Request request;
    /** Unix ms, for times of day. */
    double nowMs;
    long steps;
    private String overflowedInput;                    // an input that was longer than its bound, where that refuses
    final boolean[] truncated;                    // an input that was longer than its bound and cut there

    public Frame(Program p) {
        int n = p.slotCount();
        longs = new long[n];
        doubles = new double[n];
        bytes = new byte[n][];
        starts = new int[n];
        ends = new int[n];
        present = new boolean[n];
        computedIn = new int[n];
        truncated = new boolean[n];
        scratch = new byte[p.scratch()];
    }

    /** A new request: nothing of the last one is known any more. */
    public void begin(Request r, double at) {
        if (++epoch == 0) {
            Arrays.fill(computedIn, 0);
            epoch = 1;
        }
        request = r;
        nowMs = at;
        steps = 0;
        overflowedInput = null;
    }

    /** Lets go of the request. */
    public void end() {
        request = null;
    }

    boolean markComputed(int slot) {
        if (computedIn[slot] == epoch) return false;
        computedIn[slot] = epoch;
        return true;
    }

    public void put(int slot, byte[] b, int a, int e) {
        bytes[slot] = b;
        starts[slot] = a;
        ends[slot] = e;
        present[slot] = true;
    }

    public void put(int slot, long v) {
        longs[slot] = v;
        present[slot] = true;
    }

    public void put(int slot, double v) {
        doubles[slot] = v;
        present[slot] = true;
    }

    public void putAbsent(int slot) {
        present[slot] = false;
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
