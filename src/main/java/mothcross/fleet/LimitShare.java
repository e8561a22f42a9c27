package mothcross.fleet;

/**
 * Computes the share of a rate limit that this director may use, as a multiple of its fixed share. Each of
 * {@code fixedDirectors} directors has one fixed share. The shares of directors that have certainly ended are divided
 * evenly among the others, as long as this director is up to date with the fleet; after a lease without that it falls
 * back to its own. A share whose director may still run is lent to nobody.
 *
 * <p>A director that has just joined a view of more than half of the directors uses no share for the lease and the
 * spread: whoever uses its share returns it by then, either because it was informed or because its lease has expired.
 * A director alone cannot know who uses its share, and waits. All spans are on this process's own clock.
 */
public final class LimitShare {
    private final int fixedDirectors;
    private final double leaseMs;
    private final double spreadMs;
    private double memberSince = Double.NaN;
    private double upToDateAt = Double.NEGATIVE_INFINITY;
    private long incarnation;

    /**
     * @param leaseMs how long lent shares may be used without news from the fleet
     * @param spreadMs how long news takes to reach all directors
     */
    public LimitShare(int fixedDirectors, double leaseMs, double spreadMs) {
        this.fixedDirectors = fixedDirectors;
        this.leaseMs = leaseMs;
        this.spreadMs = spreadMs;
    }

    /**
     * The multiple of the fixed share that may be used now. To be called often, as it records what it is given.
     *
     * @param in whether this director is in the view
     * @param ownIncarnation this director's incarnation
     * @param upToDate whether decisions of the fleet reach this director
     * @param members the size of the view
     * @param ended the number of former members that certainly do not run any more
     */
    public double multiplier(double now, boolean in, long ownIncarnation, boolean upToDate, int members, int ended) {
        if (in && 2 * members > fixedDirectors && (Double.isNaN(memberSince) || ownIncarnation != incarnation)) {
            memberSince = now;
            incarnation = ownIncarnation;
        }
        if (upToDate) upToDateAt = now;
        if (Double.isNaN(memberSince) || now - memberSince < leaseMs + spreadMs) return 0;
        if (members > fixedDirectors) return (double) fixedDirectors / members;
        if (now - upToDateAt >= leaseMs || ended == 0) return 1;
        int lentShares = Math.min(ended, fixedDirectors - members);
        return 1 + (double) lentShares / members;
    }
}
