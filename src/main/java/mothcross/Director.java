package mothcross;

/**
 * What a director is told. One call of {@link #process} brings all that came in at one moment: the
 * director asks the reader to deliver it, the reader calls the handlers below line by line, and
 * whatever is decided goes straight into the writer. Times are milliseconds on the caller's clock,
 * spans too. Lookups, nodes, workloads, places and kinds are small indices given out by the caller;
 * the index of a lookup is used again once it is over and none of its hops is out.
 */
public interface Director {
    /** How a hop ended. */
    int SUCCEEDED = 0, ERROR = 1, REJECTED = 2, TIMED_OUT = 3, CONNECT_FAILED = 4, CONNECTION_LOST = 5, CANCELLED = 6,
        NOT_SENT = 7, MISS = 8;

    /** What an outcome adds about the copy or the fill; 0 where nothing is told. */
    int HIT = 1, FILLED = 2, FILLED_BY_ORIGIN = 3, COALESCED = 4, STALE_HIT = 5, SOURCE_REJECTED = 6,
        SOURCE_UNREACHABLE = 7, SOURCE_MISS = 8, NO_FILL_SLOT = 9, ORIGIN_FAILED = 10;

    /** It only went down with a connection that something else on it had spoilt. */
    int COLLATERAL_FAILURE = 11;

    /** Places in a load report; what a node did not tell is NaN. */
    int REPORT_ACTIVE_REQUESTS = 0, REPORT_QUEUED_REQUESTS = 1, REPORT_CPU_SHARE = 2, REPORT_SERVICE_MS = 3, REPORT_SUCCEEDED_PER_S = 4, REPORT_FAILED_PER_S = 5,
        REPORT_HIT_RATIO = 6, REPORT_LINK_UTILIZATION = 7, REPORT_SIZE = 8;

    /**
     * Standing of a node in the list. {@code UNCONFIRMED}: from a list so old that nobody knows whether the node is still
     * there or since when; used as just started, behind those in service, and by one hop at a time.
     */
    int IN_SERVICE = 0, DRAINING = 1, REMOVED = 2, UNCONFIRMED = 3;

    /** Kinds of list news. */
    int LIST_DELTA = 0, LIST_SNAPSHOT = 1, LIST_RESTORED = 2, LIST_UNAVAILABLE = 3;

    void process(double now, EventBatch in, DecisionWriter out);

    /** A client asks. {@code expires} is when it stops waiting; {@code sizeKb} is 0 where untold. */
    default void lookup(int lookup, int workload, double expires, long object, int part, int group,
                        double sizeKb, boolean repeat, boolean write) {
        lookup(lookup, workload, expires, object, part, group, sizeKb, repeat, write, null);
    }

    /** The same, narrowed by a route; null where it is not. */
    void lookup(int lookup, int workload, double expires, long object, int part, int group,
                double sizeKb, boolean repeat, boolean write, RouteConstraints by);

    /** Exactly one for each hop sent. {@code last}: the lookup is over and has its answer. */
    void hopEnded(int lookup, int hop, int node, int outcome, boolean last, int note, double spent,
                  double sourceWait, double[] report);

    /** The answer of a streamed lookup has begun; no time limit runs any more. */
    void streamStarted(int lookup, int hop);

    /** The client left or its time is up: nothing is owed any more. */
    void clientDisconnected(int lookup);

    void timerFired(long name);

    /** An object, or every object of a group (then {@code object} is -1), was purged so long ago. */
    void purged(long object, int group, double ago);

    void probeCompleted(int node, int outcome, double spent, double[] report);

    /** List news: {@code listStarted}, one {@code nodeListed} for each entry, {@code listFinished}. */
    void listStarted(int news);

    /** {@code startedAt} is 0 where the node has run for long. */
    void nodeListed(int node, String address, int place, int kind, int cell, int standing, double units,
                double startedAt);

    void listFinished();
}
