package mothcross.membership;

/**
 * When the list is written to disk: urgent changes (a drain, a box gone, a purge) within one bound, others
 * gathered within a longer one, never two writes closer together than the shorter bound, and after a failure
 * later and later. Decides about times only; must never hold the list itself.
 */
public final class WriteScheduler {
    /** Doubling waits after failed writes begin and end here, ms. */
    private static final double FIRST_RETRY = 1000, LAST_RETRY = 60_000;
    private final double urgentMs, gatherMs;
    private double changedAt = Double.NaN, urgentAt = Double.NaN, startedAt = Double.NEGATIVE_INFINITY;
    private double notBefore = Double.NEGATIVE_INFINITY;
    private int failures;
    private boolean writing;

    /** Half of each bound is for gathering, the other half for the write itself. */
    public WriteScheduler(double urgentMs, double gatherMs) {
        this.urgentMs = urgentMs / 2;
        this.gatherMs = Math.max(gatherMs, urgentMs) / 2;
    }

    public void changed(boolean urgent, double now) {
        if (Double.isNaN(changedAt)) changedAt = now;
        if (urgent && Double.isNaN(urgentAt)) urgentAt = now;
    }

    /** When the next write is to begin; infinite while nothing is to be written or a write is under way. */
    public double nextWriteAt() {
        if (writing || Double.isNaN(changedAt)) return Double.POSITIVE_INFINITY;
        double wanted = Double.isNaN(urgentAt) ? changedAt + gatherMs
            : Math.min(urgentAt, changedAt + gatherMs);
        return Math.max(notBefore, Math.max(wanted, startedAt + urgentMs));
    }

    /** A write begins with all that has changed so far. */
    public void writeStarted(double now) {
        writing = true;
        startedAt = now;
        changedAt = urgentAt = Double.NaN;
    }

    /** The write has ended; what a failed one held still has to be written. */
    public void writeEnded(boolean held, double now) {
        writing = false;
        if (held) {
            failures = 0;
            notBefore = Double.NEGATIVE_INFINITY;
            return;
        }
        notBefore = now + Math.min(LAST_RETRY, FIRST_RETRY * Math.pow(2, Math.min(20, failures++)));
        if (Double.isNaN(changedAt)) changedAt = now;
    }
}
