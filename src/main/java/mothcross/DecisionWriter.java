package mothcross;

/**
 * Receives the decisions of a director, which take effect in the order written. Times are in milliseconds; a deadline
 * of 0 is the time at which the lookup expires.
 */
public interface DecisionWriter {
    // Bits of flags in sendFetch.

    /** Lookups for the same object share one fill. */
    int COALESCE_FILLS = 1;
    /** The source serves only what it holds and asks nobody else. */
    int SOURCE_CACHE_ONLY = 2;
    /** A parent keeps no copy of what it fetches for the fill. */
    int BYPASS_PARENT_CACHE = 4;
    /** A stale copy is revalidated with the source, which need not send the object again. */
    int REVALIDATE = 8;

    /** Sends a hop without a fill: the node answers from a fresh copy it holds, or with a miss. */
    void sendCacheOnly(int lookup, int node, double deadline);

    /**
     * Sends a hop that the node may fill from a source.
     *
     * @param source the node to fill from; {@code node} itself for no fill
     * @param rank rank at which to keep the copy, 0 not to keep it
     * @param maxAge largest age of a copy that may be served, 0 for the workload's usual one
     * @param flags the bits above
     */
    void sendFetch(int lookup, int node, double deadline, int source, int rank, double maxAge, int flags);

    /** Cancels a hop in flight. */
    void cancelHop(int lookup, int hop);

    /** Final answer: refused, and the client may safely retry after that time. */
    void reject(int lookup, double retryAfterMs);

    /** Final answer: failed; a retry may execute the lookup a second time. */
    void fail(int lookup);

    /** Asks a node for a load report. */
    void probe(int node);

    /** Sets a timer. */
    void setTimer(double at, long name);

    /** Turns updates of the node list on or off. */
    void watchNodeList(boolean on);

    /** Writes a line to the log. */
    void log(String text);
}
