package mothcross.membership;

/**
 * Schedules the writes of the membership to disk. Urgent changes (a drain, a removal, a purge) are written within one
 * bound, others are batched within a longer one; writes start no closer together than half the shorter bound, and
 * failed writes are retried with exponential backoff. It decides about times only and does not hold the data.
 */
public final class WriteScheduler {
    private double urgentBoundMs;
    private double batchBoundMs;
    private final RetryDelay retryDelay = new RetryDelay();
    private double startedAt = Double.NEGATIVE_INFINITY;
    private boolean writing;
    private boolean flushing;
    // When the oldest change and the oldest urgent one were made: of those that wait, and of those being written.
    private double changedAt = Double.POSITIVE_INFINITY;
    private double urgentAt = Double.POSITIVE_INFINITY;
    private double writingChangedAt = Double.POSITIVE_INFINITY;
    private double writingUrgentAt = Double.POSITIVE_INFINITY;

    /**
     * Half of the longer bound is for batching changes, half of the shorter one for the rate of writes; the other half
     * is for the write itself.
     */
    public WriteScheduler(double urgentMs, double batchMs) {
        setBounds(urgentMs, batchMs);
    }

    /** Replaces the bounds; changes that wait stay as old and as urgent as they are. */
    public void setBounds(double urgentMs, double batchMs) {
        urgentBoundMs = urgentMs;
        batchBoundMs = Math.max(batchMs, urgentMs);
    }

    /** Something to be written has changed. */
    public void changed(boolean urgent, double now) {
        changedAt = Math.min(changedAt, now);
        if (urgent) urgentAt = Math.min(urgentAt, now);
    }

    /** From now on changes are written at once: the process is about to end. */
    public void flush() {
        flushing = true;
        retryDelay.reset();
    }

    /** When the next write is to start; infinite while there is nothing to write or a write is in progress. */
    public double nextWriteAt() {
        if (writing || changedAt == Double.POSITIVE_INFINITY) return Double.POSITIVE_INFINITY;
        if (flushing) return retryDelay.notBefore();
        double wantedAt = Math.min(urgentAt, changedAt + batchBoundMs / 2);
        return Math.max(retryDelay.notBefore(), Math.max(wantedAt, startedAt + urgentBoundMs / 2));
    }

    /** By when all that waits or is being written has to be written; infinite where there is nothing. */
    public double dueAt() {
        return Math.min(writingDueAt(), Math.min(urgentAt + urgentBoundMs, changedAt + batchBoundMs));
    }

    /** By when what is being written has to be written; infinite where there is nothing. */
    public double writingDueAt() {
        return Math.min(writingUrgentAt + urgentBoundMs, writingChangedAt + batchBoundMs);
    }

    /** When the oldest change that is being written was made; infinite where there is none. */
    public double writingChangedAt() {
        return writingChangedAt;
    }

    /** A write of all changes so far has started. */
    public void writeStarted(double now) {
        writing = true;
        startedAt = now;
        writingChangedAt = changedAt;
        writingUrgentAt = urgentAt;
        changedAt = Double.POSITIVE_INFINITY;
        urgentAt = Double.POSITIVE_INFINITY;
    }

    /** The write has ended; the changes of a failed one still have to be written, and keep their age and urgency. */
    public void writeEnded(boolean succeeded, double now) {
        writing = false;
        if (succeeded) {
            retryDelay.reset();
        } else {
            retryDelay.failed(now);
            changedAt = Math.min(changedAt, writingChangedAt);
            urgentAt = Math.min(urgentAt, writingUrgentAt);
        }
        writingChangedAt = Double.POSITIVE_INFINITY;
        writingUrgentAt = Double.POSITIVE_INFINITY;
    }
}
