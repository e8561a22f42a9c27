package mothcross.expr;

import java.util.Arrays;

/**
 * The evaluation frame of a {@link Program}: one slot for the value of each node, scratch space for computed bytes, and
 * the count of steps taken. A frame is reused from request to request, so that evaluation allocates nothing. It refers
 * to the bytes of a request only until the next one begins.
 */
public final class Frame {
    /** The source of input values: puts input {@code number} into a slot of the frame, or leaves the slot absent. */
    public interface Request {
        void read(int number, Frame into, int slot);
    }

    /** Values of integers, and of booleans as 0 or 1. */
    final long[] longs;
    final double[] doubles;
    /** The arrays that hold byte strings; the string of a slot is from {@link #starts} to {@link #ends}. */
    final byte[][] bytes;
    final int[] starts;
    final int[] ends;
    final boolean[] present;
    /** Inputs that were longer than their maximum and were truncated. */
    final boolean[] truncated;
    final byte[] scratch;
    Request request;
    /** Unix time in milliseconds. */
    double nowMs;
    long steps;
    /** The epoch in which each slot was last computed. */
    private final int[] computedIn;
    private int epoch;
    private String overflowedInput;

    public Frame(Program program) {
        int slots = program.slotCount();
        longs = new long[slots];
        doubles = new double[slots];
        bytes = new byte[slots][];
        starts = new int[slots];
        ends = new int[slots];
        present = new boolean[slots];
        computedIn = new int[slots];
        truncated = new boolean[slots];
        scratch = new byte[program.scratchBytes()];
    }

    /** Starts the evaluation of a new request and invalidates all values of the previous one. */
    public void begin(Request newRequest, double unixMs) {
        if (++epoch == 0) {
            Arrays.fill(computedIn, 0);
            epoch = 1;
        }
        request = newRequest;
        nowMs = unixMs;
        steps = 0;
        overflowedInput = null;
    }

    /** Releases the request. */
    public void end() {
        request = null;
    }

    /** Marks a slot as computed for this request; returns false if it already was. */
    boolean markComputed(int slot) {
        if (computedIn[slot] == epoch) return false;
        computedIn[slot] = epoch;
        return true;
    }

    /** Puts the bytes from {@code start} to {@code end} of an array, which is referred to and not copied. */
    public void put(int slot, byte[] source, int start, int end) {
        bytes[slot] = source;
        starts[slot] = start;
        ends[slot] = end;
        present[slot] = true;
    }

    /** Puts an integer, or a boolean as 0 or 1. */
    public void put(int slot, long value) {
        longs[slot] = value;
        present[slot] = true;
    }

    /** Puts a double, a duration in milliseconds or a size in bytes. */
    public void put(int slot, double value) {
        doubles[slot] = value;
        present[slot] = true;
    }

    /** Marks the value of a slot as absent. */
    public void putAbsent(int slot) {
        present[slot] = false;
    }

    void recordOverflow(String input) {
        overflowedInput = input;
    }

    /** The last input read that exceeded a maximum length declared as {@link Inputs.Overflow#REJECT}, or null. */
    public String overflowedInput() {
        return overflowedInput;
    }

    /** Steps taken since {@link #begin}. */
    public long steps() {
        return steps;
    }
}
