package mothcross.membership;

/**
 * The operators' figures for what may be believed for how long, all in ms but for the counts and shares.
 * {@code recentMs} and {@code oldMs} are counted from when discovery last stood behind an entry;
 * {@code answerValidMs} is how long an answer of the box itself stands in for that.
 */
public record AgeLimits(double recentMs, double oldMs, double answerValidMs, int maxRefusals, double retryMs,
                   double maxRetryMs, double shrunkBelow, double withheldMs, double clockSkewMs) {
    /** What a file of the operators that names none of them gets. */
    public static final AgeLimits DEFAULTS = new AgeLimits(600_000, 86_400_000, 30_000, 3, 2000, 60_000, 0.5, 30_000,
        5000);
}
