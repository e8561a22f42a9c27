package mothcross.membership;

/**
 * The operators' limits on how long information about a node is relied on.
 *
 * @param recentMs up to this age of its last confirmation by discovery a node is in service
 * @param oldMs past this age, counted from its last confirmation and its last answer, a node is not used
 * @param answerValidMs how long an answer of the node replaces a confirmation by discovery
 * @param maxRefusals connection refusals in a row after which a recently confirmed node is not used for a while
 * @param retryMs the delay before the first retry of a node that refused connections; doubles each time
 * @param maxRetryMs the longest such delay, before jitter
 * @param shrunkBelow a snapshot that lists less than this share of the usable nodes as in service is shrunk
 * @param withheldMs how long a node missing from a shrunk snapshot is withheld before it is removed
 * @param clockSkewMs how far in the future a saved snapshot may have been written
 */
public record AgeLimits(double recentMs, double oldMs, double answerValidMs, int maxRefusals, double retryMs,
                        double maxRetryMs, double shrunkBelow, double withheldMs, double clockSkewMs) {
    /** The limits where the operators' file sets none. */
    public static final AgeLimits DEFAULTS =
        new AgeLimits(600_000, 86_400_000, 30_000, 3, 2000, 60_000, 0.5, 30_000, 5000);
}
