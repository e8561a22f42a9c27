package mothcross.membership;

/**
 * Schedules the writes of the membership to disk. Urgent changes (a drain, a removal, a purge) are written within one
 * bound, others are batched within a longer one; writes start no closer together than half the shorter bound, and
 * failed writes are retried with exponential backoff. It decides about times only and does not hold the data.
 */
public final class WriteScheduler {
    private static final double FIRST_RETRY_MS = 1000;
    private static final double MAX_RETRY_MS = 60_000;
    /** Keeps the doubled retry delay finite before {@link #MAX_RETRY_MS} bounds it. */
    private static final int MAX_RETRY_DOUBLINGS = 20;

    private final double urgentMs;
    private final double batchMs;
    private double changedAt = Double.NaN;
    private double urgentAt = Double.NaN;
    private double startedAt = Double.NEGATIVE_INFINITY;
    private double notBefore = Double.NEGATIVE_INFINITY;
    private int failures;
    private boolean writing;

    /** Half of each bound is for batching changes, the other half for the write itself. */
    public WriteScheduler(double urgentMs, double batchMs) {
        this.urgentMs = urgentMs / 2;
        this.batchMs = Math.max(batchMs, urgentMs) / 2;
    }

    /** Something to be written has changed. */
    public void changed(boolean urgent, double now) {
        if (Double.isNaN(changedAt)) changedAt = now;
        if (urgent && Double.isNaN(urgentAt)) urgentAt = now;
    }

    /** When the next write is to start; infinite while there is nothing to write or a write is in progress. */
    public double nextWriteAt() {
        if (writing || Double.isNaN(changedAt)) return Double.POSITIVE_INFINITY;
        double batchEndsAt = changedAt + batchMs;
        double wantedAt = Double.isNaN(urgentAt) ? batchEndsAt : Math.min(urgentAt, batchEndsAt);
        return Math.max(notBefore, Math.max(wantedAt, startedAt + urgentMs));
    }

    /** A write of all changes so far has started. */
    public void writeStarted(double now) {
        writing = true;
        startedAt = now;
        changedAt = Double.NaN;
        urgentAt = Double.NaN;
    }

    /** The write has ended; the changes of a failed one still have to be written. */
    public void writeEnded(boolean succeeded, double now) {
        writing = false;
        if (succeeded) {
            failures = 0;
            notBefore = Double.NEGATIVE_INFINITY;
            return;
        }
        double delayMs = FIRST_RETRY_MS * Math.pow(2, Math.min(MAX_RETRY_DOUBLINGS, failures++));
        notBefore = now + Math.min(MAX_RETRY_MS, delayMs);
        if (Double.isNaN(changedAt)) changedAt = now;
    }
}
