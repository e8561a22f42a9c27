package mothcross.fleet;

/**
 * The few values that a member works with; spans in ms. Each round of {@code probePeriodMs} it asks those that it watches; who
 * has not answered within {@code ackTimeoutMs} is asked through {@code indirectProbes} others; {@code suspicionRounds} rounds in a row
 * without a word make it accuse. Of {@code rings} watchers {@code low} make a member doubtful and hold up changes,
 * {@code high} make it silent; silent for {@code evictionDelayMs} at least, it is put out. {@code rejoinDelayMs} is how long one that was
 * put out has to be steady before it asks to be let in, doubled with each time.
 */
public record FailureDetectorSettings(double probePeriodMs, double ackTimeoutMs, int indirectProbes, int suspicionRounds, int rings, double lowShare, double highShare,
                   double evictionDelayMs, double proposalDelayMs, double rejoinDelayMs, double forgetAfterMs) {
    public static final FailureDetectorSettings DEFAULTS = new FailureDetectorSettings(500, 150, 3, 4, 10, 0.3, 0.7, 30_000, 500, 5000, 1_800_000);

    /** How many of so many watchers. */
    int low(int watchers) {
        return Math.max(1, (int) Math.ceil(lowShare * watchers));
    }

    int high(int watchers) {
        return Math.max(1, (int) Math.ceil(highShare * watchers));
    }

    /**
     * From agreement to being put out: it grows with the fleet, and shrinks from twice that to it as further watchers
     * beyond those needed confirm, each by less (as Lifeguard has it for SWIM's suspicion).
     */
    double silentFor(int members, int confirming, int spare) {
        double least = evictionDelayMs * (1 + Math.log10(Math.max(1, members)) / 10);
        if (spare <= 0) return least;
        double part = Math.log(1 + Math.min(confirming, spare)) / Math.log(1 + spare);
        return 2 * least - least * part;
    }
}
