package mothcross.net;

import java.util.Arrays;

/**
 * When the bytes that a connection holds were read, so that the time of a request counts from its last byte however
 * long it waits for its turn. Bytes read within {@link #RESOLUTION_MS} count as read together, with the first of them;
 * so do those past the bound on what is remembered.
 */
final class ArrivalTimes {
    private static final double RESOLUTION_MS = 10;
    private static final int INITIAL_MARKS = 2;
    private static final int MAX_MARKS = 64;

    /** Of each mark, how many bytes had been received in all after it, and when it was read; the oldest first. */
    private long[] receivedAfter = new long[INITIAL_MARKS];
    private double[] readAt = new double[INITIAL_MARKS];
    private int marks;
    private long receivedBytes;

    /** Further bytes have been read. */
    void received(int bytes, double now) {
        if (bytes <= 0) return;
        receivedBytes += bytes;
        boolean together = marks > 0 && (now < readAt[marks - 1] + RESOLUTION_MS || marks == MAX_MARKS);
        if (!together) {
            if (marks == readAt.length) grow();
            readAt[marks++] = now;
        }
        receivedAfter[marks - 1] = receivedBytes;
    }

    private void grow() {
        receivedAfter = Arrays.copyOf(receivedAfter, 2 * marks);
        readAt = Arrays.copyOf(readAt, 2 * marks);
    }

    /** The bytes that were received last have been dropped. */
    void dropped(int bytes) {
        receivedBytes -= bytes;
        for (int i = 0; i < marks; i++) receivedAfter[i] = Math.min(receivedAfter[i], receivedBytes);
    }

    /** All but {@code remaining} bytes are consumed; returns when the last of them was read, or now if unknown. */
    double consumed(int remaining, double now) {
        long position = receivedBytes - remaining;
        int first = 0;
        while (first < marks && receivedAfter[first] < position) first++;
        double time = first < marks ? readAt[first] : now;
        // A mark that ends here is of no further use either.
        if (first < marks && receivedAfter[first] == position) first++;
        if (first > 0) forget(first);
        return time;
    }

    private void forget(int count) {
        marks -= count;
        System.arraycopy(receivedAfter, count, receivedAfter, 0, marks);
        System.arraycopy(readAt, count, readAt, 0, marks);
    }
}
