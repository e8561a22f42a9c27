package mothcross.adapter;

import java.util.Arrays;

/** Allocates small indices to lookups. An index is free again once its lookup is over and has no hop in flight. */
public final class LookupIndexAllocator {
    private int[] hopsInFlight = new int[64];
    private int[] hopsSent = new int[64];
    private boolean[] over = new boolean[64];
    private int[] free = new int[64];
    private int freeCount;
    private int used;

    /** Allocates an index. */
    public int allocate() {
        int index = freeCount > 0 ? free[--freeCount] : used++;
        if (index == free.length) {
            hopsInFlight = Arrays.copyOf(hopsInFlight, 2 * index);
            hopsSent = Arrays.copyOf(hopsSent, 2 * index);
            over = Arrays.copyOf(over, 2 * index);
            free = Arrays.copyOf(free, 2 * index);
        }
        hopsInFlight[index] = 0;
        hopsSent[index] = 0;
        over[index] = false;
        return index;
    }

    /** Number of indices that were ever allocated; all indices are below it. */
    public int used() {
        return used;
    }

    /** Counts a hop of the lookup and returns its number, from 0. */
    public int hopSent(int index) {
        hopsInFlight[index]++;
        return hopsSent[index]++;
    }

    /** Counts the end of a hop; false where no such hop can be in flight. */
    public boolean hopEnded(int index, int hop) {
        if (hop < 0 || hop >= hopsSent[index] || hopsInFlight[index] == 0) return false;
        hopsInFlight[index]--;
        return true;
    }

    /** Whether the lookup has been marked as over. */
    public boolean isOver(int index) {
        return over[index];
    }

    /** Marks the lookup as over; its index is freed by {@link #release}. */
    public void markOver(int index) {
        over[index] = true;
    }

    /** Frees the index if its lookup is over and has no hop in flight; true once, when it has become free. */
    public boolean release(int index) {
        if (!over[index] || hopsInFlight[index] > 0) return false;
        // Guards against a second release of a free index.
        hopsInFlight[index] = Integer.MAX_VALUE;
        free[freeCount++] = index;
        return true;
    }
}
