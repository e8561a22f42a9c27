package mothcross.membership;

/**
 * Schedules the syncs of what was written. One runs at a time and covers all that was written before it started; the
 * next one starts when it has ended, and failed ones are retried with exponential backoff. However long a sync takes,
 * nothing else waits for it. It decides about times only and does not hold the data.
 */
public final class SyncScheduler {
    private final RetryDelay retryDelay = new RetryDelay();
    private boolean syncing;
    // By when the oldest changes have to be synced: of those that wait, and of those being synced.
    private double waitingDueAt = Double.POSITIVE_INFINITY;
    private double syncingDueAt = Double.POSITIVE_INFINITY;

    /** Changes were written that have to be synced by {@code dueAt}. */
    public void written(double dueAt) {
        waitingDueAt = Math.min(waitingDueAt, dueAt);
    }

    /** When the next sync may start; infinite while there is nothing to sync or a sync is in progress. */
    public double nextSyncAt() {
        boolean mayStart = !syncing && waitingDueAt != Double.POSITIVE_INFINITY;
        return mayStart ? retryDelay.notBefore() : Double.POSITIVE_INFINITY;
    }

    /** By when all that waits or is being synced has to be synced; infinite where there is nothing. */
    public double dueAt() {
        return Math.min(waitingDueAt, syncingDueAt);
    }

    /** By when what is being synced has to be synced; infinite where there is nothing. */
    public double syncingDueAt() {
        return syncingDueAt;
    }

    /** A sync of all that was written so far has started. */
    public void syncStarted() {
        syncing = true;
        syncingDueAt = waitingDueAt;
        waitingDueAt = Double.POSITIVE_INFINITY;
    }

    /** The sync has ended; what a failed one was to cover still has to be synced. */
    public void syncEnded(boolean succeeded, double now) {
        syncing = false;
        if (succeeded) {
            retryDelay.reset();
        } else {
            retryDelay.failed(now);
            waitingDueAt = Math.min(waitingDueAt, syncingDueAt);
        }
        syncingDueAt = Double.POSITIVE_INFINITY;
    }
}
