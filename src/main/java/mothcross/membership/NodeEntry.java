package mothcross.membership;

import mothcross.Director;

/**
 * The state of one cache node, the reason for it, and the evidence from the node's own answers. {@link #evaluate}
 * derives the state from the age of the information and from that evidence:
 *
 * <pre>
 *  to         from                        when
 *  TOLD       any                         discovery lists it as in service, or confirms the list again
 *  RECENT     (restored)                  in service, confirmed within the recent age
 *  OLD        TOLD, RECENT, PROVEN        past the recent age without an answer lately; a connection reset or refused
 *                                         where only an answer kept it in use; (restored) past the recent age
 *  OLD        RECENT                      as many connection refusals in a row as the operators allow
 *  OLD        REFUSED                     its retry time has come
 *  PROVEN     OLD, TOLD, RECENT           past the recent age, and it answered lately
 *  REFUSED    OLD, RECENT                 a connection failed: waits for a retry, with exponential backoff
 *  WITHHELD   any in use                  missing from a shrunk snapshot
 *  TOO_OLD    any in use                  neither confirmed nor answering within the old age
 *  DRAINING   any                         discovery says so
 *  GONE       any                         discovery says so; missing from a snapshot; withheld too long; its address
 *                                         now belongs to another node
 * </pre>
 *
 * An answer never gives a node a better state than the status that discovery reported allows.
 */
final class NodeEntry {
    /** {@link #startedAt} of a node that has run for long enough to need no slow start. */
    static final double WARM = 1;
    /** A retry delay is multiplied by this share plus a random part of {@link #RETRY_JITTER_SHARE}. */
    private static final double MIN_RETRY_SHARE = 0.75;
    private static final double RETRY_JITTER_SHARE = 0.5;
    /** Keeps the doubled retry delay finite before {@link AgeLimits#maxRetryMs} bounds it. */
    private static final int MAX_RETRY_DOUBLINGS = 30;

    /** What discovery last reported. */
    ListedNode listed;
    /** Null until the entry is first evaluated. */
    NodeState state;
    String reason = "new";
    /** Listed or confirmed since this process started, not only restored from disk. */
    boolean confirmedThisRun;
    /** In the snapshot that is being read. */
    boolean listedInSnapshot;
    /** Start time used for slow start: 0 where unknown, {@link #WARM} where known to be warm; Unix ms. */
    double startedAt;
    /** When the node was first missing from a shrunk snapshot; NaN while it is not withheld. */
    double withheldAt = Double.NaN;
    private double answeredAt = Double.NEGATIVE_INFINITY;
    private double firstAnswerAt = Double.NaN;
    private double retryAt;
    private int connectionRefusals;
    private int retries;

    NodeEntry(ListedNode listed) {
        this.listed = listed;
        this.startedAt = listed.startedAt();
    }

    /** Discards all evidence, as the process at this address may be another one now. */
    void resetEvidence() {
        answeredAt = Double.NEGATIVE_INFINITY;
        firstAnswerAt = Double.NaN;
        connectionRefusals = 0;
        retries = 0;
        retryAt = 0;
    }

    /** The start of the node's process is unknown from now on: its next answer counts as its first one. */
    void markUnconfirmed(double now) {
        firstAnswerAt = Double.NaN;
        startedAt = now;
    }

    /**
     * Records an answer.
     *
     * @return whether the process must be taken to have just started: nothing confirmed it, or it was unreachable
     */
    boolean answered(double now, AgeLimits limits) {
        boolean justStarted = connectionRefusals >= limits.maxRefusals()
            || Double.isNaN(firstAnswerAt) && state == NodeState.OLD;
        connectionRefusals = 0;
        retries = 0;
        answeredAt = now;
        if (Double.isNaN(firstAnswerAt)) firstAnswerAt = now;
        if (justStarted) startedAt = now;
        return justStarted;
    }

    /**
     * Records a failure.
     *
     * @param refused whether no connection could be established; otherwise one was lost during a hop
     * @param random a random number from 0 to 1 for the retry's jitter
     */
    void failed(boolean refused, double now, AgeLimits limits, double random) {
        firstAnswerAt = Double.NaN;
        answeredAt = Double.NEGATIVE_INFINITY;
        if (!refused) return;
        connectionRefusals++;
        boolean unreachable = state == NodeState.OLD
            || state == NodeState.RECENT && connectionRefusals >= limits.maxRefusals();
        if (!unreachable) return;
        int doublings = Math.min(MAX_RETRY_DOUBLINGS, retries++);
        double delayMs = Math.min(limits.maxRetryMs(), limits.retryMs() * Math.pow(2, doublings));
        retryAt = now + delayMs * (MIN_RETRY_SHARE + RETRY_JITTER_SHARE * random);
    }

    /**
     * The state that the entry should have now; also sets the reason.
     *
     * @param listConfirmedAt when discovery last confirmed the whole list
     */
    NodeState evaluate(double now, double listConfirmedAt, AgeLimits limits) {
        if (listed.status() == Director.DRAINING) {
            return withReason(NodeState.DRAINING, "discovery reported it draining");
        }
        if (listed.status() == Director.REMOVED) return withReason(NodeState.GONE, reason);
        if (!Double.isNaN(withheldAt)) {
            if (now - withheldAt <= limits.withheldMs()) {
                return withReason(NodeState.WITHHELD, "missing from a shrunk snapshot");
            }
            return withReason(NodeState.GONE, "missing from a shrunk snapshot for too long");
        }
        double confirmedAt = listed.confirmed() ? Math.max(listed.listedAt(), listConfirmedAt) : listed.listedAt();
        double ageMs = now - confirmedAt;
        boolean retryPending = now < retryAt;
        if (ageMs <= limits.recentMs() && confirmedThisRun) {
            return withReason(NodeState.TOLD, "confirmed by discovery in this run");
        }
        if (ageMs <= limits.recentMs() && connectionRefusals < limits.maxRefusals() && !retryPending) {
            return withReason(NodeState.RECENT, "confirmed by discovery recently, before the restart");
        }
        if (now - answeredAt <= limits.answerValidMs()) {
            return withReason(NodeState.PROVEN, "discovery is silent, but the node answers");
        }
        double lastAnswerAt = Math.max(listed.answeredAt(), answeredAt);
        if (ageMs > limits.oldMs() && now - lastAnswerAt > limits.oldMs()) {
            return withReason(NodeState.TOO_OLD, "neither confirmed nor answering for too long");
        }
        if (retryPending) return withReason(NodeState.REFUSED, "connections to it fail");
        return withReason(NodeState.OLD, connectionRefusals > 0 ? "connection failed, retrying"
            : "neither confirmed nor answering recently");
    }

    private NodeState withReason(NodeState newState, String newReason) {
        reason = newReason;
        return newState;
    }
}
