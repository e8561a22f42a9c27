package mothcross.fleet;

/**
 * The settings of the membership protocol; spans in ms.
 *
 * @param probePeriodMs each member pings the members that it watches once a period
 * @param ackTimeoutMs how long a ping waits for its ack before other members are asked to probe
 * @param indirectProbes how many other members are asked to probe
 * @param suspicionRounds consecutive rounds without an ack before a watcher accuses
 * @param rings the number of monitoring rings, and so of watchers of each member
 * @param lowShare share of the watchers from which on a member is unstable and holds up view changes
 * @param highShare share of the watchers from which on a member is silent
 * @param evictionDelayMs the shortest silence after which a member is evicted, before it is scaled with the fleet
 * @param proposalDelayMs how long a view change has to be due before it is proposed
 * @param rejoinDelayMs how long an evicted member has to be stable before it rejoins; doubled with each eviction
 * @param forgetAfterMs how long a name is remembered after it has left the view
 */
public record FailureDetectorSettings(double probePeriodMs, double ackTimeoutMs, int indirectProbes,
                                      int suspicionRounds, int rings, double lowShare, double highShare,
                                      double evictionDelayMs, double proposalDelayMs, double rejoinDelayMs,
                                      double forgetAfterMs) {
    public static final FailureDetectorSettings DEFAULTS = new FailureDetectorSettings(500, 150, 3, 4, 10, 0.3, 0.7,
        30_000, 500, 5000, 1_800_000);

    /** The low watermark of cut detection, of so many watchers. */
    int lowWatermark(int watchers) {
        return Math.max(1, (int) Math.ceil(lowShare * watchers));
    }

    /** The high watermark of cut detection, of so many watchers. */
    int highWatermark(int watchers) {
        return Math.max(1, (int) Math.ceil(highShare * watchers));
    }

    /**
     * The time in ms from a member's silence to its eviction. As Lifeguard's suspicion timeout it grows with the
     * logarithm of the fleet's size and shrinks from twice the minimum to the minimum as further watchers accuse,
     * each shortening it by less.
     *
     * @param extraAccusers the accusers beyond the high watermark
     * @param spareWatchers the watchers beyond the high watermark
     */
    double evictionTimeoutMs(int members, int extraAccusers, int spareWatchers) {
        double minimum = evictionDelayMs * (1 + Math.log10(Math.max(1, members)) / 10);
        if (spareWatchers <= 0) return minimum;
        double confirmedShare = Math.log(1 + Math.min(extraAccusers, spareWatchers)) / Math.log(1 + spareWatchers);
        return 2 * minimum - minimum * confirmedShare;
    }
}
