package mothcross;

/** Where a director writes what it decides; every call takes effect in the order written. */
public interface DecisionWriter {
    /** Bits of {@code how} in {@link #sendFetch}. */
    int COALESCE_FILLS = 1, SOURCE_CACHE_ONLY = 2, BYPASS_PARENT_CACHE = 4, REVALIDATE = 8;

    /** A hop that only looks: the node answers from a fresh copy it has, or with a miss. */
    void sendCacheOnly(int lookup, int node, double giveUpAt);

    /** A hop with orders: where to fill from, the rank to keep at (0 = not), the oldest age (0 = usual). */
    void sendFetch(int lookup, int node, double giveUpAt, int source, int rank, double maxAge, int how);

    void cancelHop(int lookup, int hop);

    /** Final answer: no, and asking again does no harm. */
    void reject(int lookup, double comeBackAfter);

    /** Final answer: failed, nothing promised. */
    void fail(int lookup);

    void probe(int node);

    void setTimer(double at, long name);

    void watchNodeList(boolean on);

    void log(String text);
}
