package mothcross.adapter;

import java.util.Arrays;

/** The small indices of lookups. One is free again once its lookup is over and none of its hops is out. */
public final class LookupIndexAllocator {
    private int[] hopsOut = new int[64];
    private int[] hopsSent = new int[64];
    private boolean[] over = new boolean[64];
    private int[] free = new int[64];
    private int freeCount, used;

    public int allocate() {
        int at = freeCount > 0 ? free[--freeCount] : used++;
        if (at == free.length) {
            hopsOut = Arrays.copyOf(hopsOut, 2 * at);
            hopsSent = Arrays.copyOf(hopsSent, 2 * at);
            over = Arrays.copyOf(over, 2 * at);
            free = Arrays.copyOf(free, 2 * at);
        }
        hopsOut[at] = hopsSent[at] = 0;
        over[at] = false;
        return at;
    }

    /** How many indices were ever given out: no table by index is longer. */
    public int used() {
        return used;
    }

    /** The number of the new hop, from 0. */
    public int hopSent(int at) {
        hopsOut[at]++;
        return hopsSent[at]++;
    }

    /** False where no such hop can be out. */
    public boolean hopEnded(int at, int hop) {
        if (hop < 0 || hop >= hopsSent[at] || hopsOut[at] == 0) return false;
        hopsOut[at]--;
        return true;
    }

    public boolean isOver(int at) {
        return over[at];
    }

    public void markOver(int at) {
        over[at] = true;
    }

    /** True once, when the index has become free. */
    public boolean release(int at) {
        if (!over[at] || hopsOut[at] > 0) return false;
        hopsOut[at] = Integer.MAX_VALUE;            // free: no second release
        free[freeCount++] = at;
        return true;
    }
}
