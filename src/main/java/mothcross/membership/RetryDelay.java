package mothcross.membership;

/** The delay before something that failed is tried again: doubled with each failure in a row, up to a maximum. */
final class RetryDelay {
    private static final double FIRST_MS = 1000;
    private static final double MAX_MS = 60_000;
    /** Keeps the doubled delay finite before {@link #MAX_MS} bounds it. */
    private static final int MAX_DOUBLINGS = 20;

    private int failures;
    private double notBefore = Double.NEGATIVE_INFINITY;

    /** When the next try may start. */
    double notBefore() {
        return notBefore;
    }

    /** The next try may start at once, and the next delay is the first one again. */
    void reset() {
        failures = 0;
        notBefore = Double.NEGATIVE_INFINITY;
    }

    /** Something has failed: delays the next try. */
    void failed(double now) {
        double delayMs = FIRST_MS * Math.pow(2, Math.min(MAX_DOUBLINGS, failures++));
        notBefore = now + Math.min(MAX_MS, delayMs);
    }
}
