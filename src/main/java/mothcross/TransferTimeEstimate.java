package mothcross;

/**
 * The mean transfer time of a workload's objects, at full pace of one flow. It is learned from lookups that succeed:
 * what a client says of an object's size is unproven until a node has served the object. Before the first success,
 * lookups that have not failed yet stand in for them.
 */
final class TransferTimeEstimate {
    /** From so many successes on, the mean follows the latest ones only. */
    private static final int MAX_SUCCESSES = 50;

    private final double timeoutMs;
    private double meanMs;
    private int successes;
    /** Lookups of a known size that have not failed, and the sum of their transfer times. */
    private int claims;
    private double claimedMs;

    TransferTimeEstimate(Workload workload) {
        timeoutMs = workload.timeoutMs();
    }

    /** Records a lookup whose size is known by its client's word only. */
    void recordClaim(double transferMs) {
        claims++;
        claimedMs += claimOf(transferMs);
    }

    /** Takes a claim back: its lookup was not served. */
    void retractClaim(double transferMs) {
        claims--;
        claimedMs = claims == 0 ? 0 : claimedMs - claimOf(transferMs);
    }

    void recordSuccess(double transferMs) {
        if (successes < MAX_SUCCESSES) successes++;
        meanMs += (transferMs - meanMs) / successes;
    }

    /** 0 before the first success. */
    double meanMs() {
        return meanMs;
    }

    /** The mean by what is known so far; 0 where nothing is. */
    double expectedMs() {
        return successes > 0 || claims == 0 ? meanMs : claimedMs / claims;
    }

    /** What a budget is charged for a lookup; before the first success at least what the lookup claims for itself. */
    double chargeMs(double transferMs) {
        return successes > 0 ? meanMs : Math.max(claimOf(transferMs), expectedMs());
    }

    private double claimOf(double transferMs) {
        return Math.min(transferMs, timeoutMs);
    }
}
