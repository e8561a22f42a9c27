package mothcross;

/**
 * Decides, for each lookup, which cache serves it, whether the copy is kept, and where it is filled from.
 *
 * <p>One call of {@link #process} delivers all events of one moment: the director asks the batch to deliver them, the
 * batch calls the handlers below one by one, and each decision goes straight into the writer. Times and durations are
 * in milliseconds on the caller's clock. Lookups, nodes, workloads, zones and kinds of node are small indices chosen
 * by the caller; the index of a lookup is used again once the lookup is over and none of its hops is in flight.
 */
public interface Director {
    // Outcomes of a hop.

    /** The node answered the lookup. */
    int SUCCEEDED = 0;
    /** The node answered with an error. */
    int ERROR = 1;
    /** The node refused the hop without working on it. */
    int REJECTED = 2;
    /** No answer came before the deadline. */
    int TIMED_OUT = 3;
    /** No connection to the node could be made. */
    int CONNECT_FAILED = 4;
    /** The connection ended before the answer was complete. */
    int CONNECTION_LOST = 5;
    /** The director cancelled the hop. */
    int CANCELLED = 6;
    /** The hop was never sent. */
    int NOT_SENT = 7;
    /** The node, asked only for what it holds, has no usable copy. */
    int MISS = 8;

    // Notes, which say more about an outcome; 0 where nothing is known.

    /** A fresh copy was served from the cache. */
    int HIT = 1;
    /** The node filled from a source that held a copy. */
    int FILLED = 2;
    /** The answer was fetched from the origin, by the node or by its source. */
    int FILLED_BY_ORIGIN = 3;
    /** The lookup was answered by a fill that another lookup had started. */
    int COALESCED = 4;
    /** A copy past its fresh time was served from the cache. */
    int STALE_HIT = 5;
    /** The source refused the fill. */
    int SOURCE_REJECTED = 6;
    /** The node could not reach the source. */
    int SOURCE_UNREACHABLE = 7;
    /** The source, asked only for what it holds, has no usable copy. */
    int SOURCE_MISS = 8;
    /** The node had no free slot for a fill. */
    int NO_FILL_SLOT = 9;
    /** The origin failed behind the source. */
    int ORIGIN_FAILED = 10;
    /** The hop failed only because another one broke the connection that they shared. */
    int COLLATERAL_FAILURE = 11;

    // Indices in a load report; a value that the node did not report is NaN.

    /** Requests being served. */
    int REPORT_ACTIVE_REQUESTS = 0;
    /** Requests waiting to be served. */
    int REPORT_QUEUED_REQUESTS = 1;
    /** Share of the CPU in use. */
    int REPORT_CPU_SHARE = 2;
    /** Service time of a request. */
    int REPORT_SERVICE_MS = 3;
    /** Requests that succeeded, per second. */
    int REPORT_SUCCEEDED_PER_S = 4;
    /** Requests that failed, per second. */
    int REPORT_FAILED_PER_S = 5;
    /** Share of requests served from the cache. */
    int REPORT_HIT_RATIO = 6;
    /** Share of the link in use. */
    int REPORT_LINK_UTILIZATION = 7;
    /** Number of values in a load report. */
    int REPORT_SIZE = 8;

    // Statuses of a node in the list.

    /** The node may be used. */
    int IN_SERVICE = 0;
    /** The node finishes what it has and must get nothing new. */
    int DRAINING = 1;
    /** The node has left. */
    int REMOVED = 2;
    /**
     * The node is known from a list so old that it may have left or restarted since. It is used as if just started,
     * after the nodes in service, and by one hop at a time.
     */
    int UNCONFIRMED = 3;

    // Kinds of list update.

    /** The entries that changed. */
    int LIST_DELTA = 0;
    /** All entries; nodes not among them have left. */
    int LIST_SNAPSHOT = 1;
    /** All entries, as stored before a restart. */
    int LIST_RESTORED = 2;
    /** The list could not be had; no entries follow. */
    int LIST_UNAVAILABLE = 3;

    /** Handles all events of one moment and writes the decisions that follow from them. */
    void process(double now, EventBatch in, DecisionWriter out);

    /** A client sends a lookup that no route constrains. */
    default void lookup(int lookup, int workload, double expires, long object, int part, int group,
                        double sizeKb, boolean repeat, boolean write) {
        lookup(lookup, workload, expires, object, part, group, sizeKb, repeat, write, null);
    }

    /**
     * A client sends a lookup.
     *
     * @param expires when the client stops waiting
     * @param part the part of the object that is asked for
     * @param group the group of objects that it belongs to, which may be purged as a whole
     * @param sizeKb size of the object, 0 if unknown
     * @param repeat the client has sent it before
     * @param write the lookup changes the object
     * @param constraints what a route restricts, or null
     */
    void lookup(int lookup, int workload, double expires, long object, int part, int group,
                double sizeKb, boolean repeat, boolean write, RouteConstraints constraints);

    /**
     * A hop ended; called exactly once for each hop sent.
     *
     * @param hop number of the hop within its lookup, from 0
     * @param outcome one of the outcomes above
     * @param last the lookup is over and has its answer
     * @param note one of the notes above, or 0
     * @param spent time from sending the hop to its end
     * @param sourceWait the part of {@code spent} that the node waited for its source
     * @param report load report of the node, or null
     */
    void hopEnded(int lookup, int hop, int node, int outcome, boolean last, int note, double spent,
                  double sourceWait, double[] report);

    /** The answer of a streamed lookup has begun; no time limit applies any more. */
    void streamStarted(int lookup, int hop);

    /** The client disconnected or its time is up: it gets no answer any more. */
    void clientDisconnected(int lookup);

    /** A timer set by {@link DecisionWriter#setTimer} fired. */
    void timerFired(long name);

    /** An object, or every object of a group ({@code object} is -1 then), was purged {@code ago} milliseconds ago. */
    void purged(long object, int group, double ago);

    /** A probe asked for by {@link DecisionWriter#probe} ended. */
    void probeCompleted(int node, int outcome, double spent, double[] report);

    /** A list update begins: one {@link #nodeListed} for each entry follows, then {@link #listFinished}. */
    void listStarted(int listKind);

    /**
     * One entry of a list update.
     *
     * @param kind index of the kind of node, by which {@link Topology} names parents and the origin
     * @param status one of the statuses above
     * @param units the node's capacity relative to others, or of its link in flows
     * @param startedAt when the node started, 0 where it has run for long or the time is unknown
     */
    void nodeListed(int node, String address, int zone, int kind, int cell, int status, double units,
                    double startedAt);

    /** The list update is complete. */
    void listFinished();
}
