package mothcross.net;

/** Counts the bytes held for one purpose against a limit. Accessed under the dispatcher's lock. */
final class MemoryBudget {
    private long limitBytes = Long.MAX_VALUE;
    private long usedBytes;

    void setLimit(long bytes) {
        limitBytes = bytes;
    }

    long limitBytes() {
        return limitBytes;
    }

    long usedBytes() {
        return usedBytes;
    }

    boolean exceeded() {
        return usedBytes > limitBytes;
    }

    /** Counts bytes that are held already; a negative number releases them. */
    void add(long bytes) {
        usedBytes += bytes;
    }

    /** Counts bytes that are about to be allocated; false, and nothing is counted, where that exceeds the limit. */
    boolean tryTake(long bytes) {
        if (usedBytes + bytes > limitBytes) return false;
        usedBytes += bytes;
        return true;
    }
}
