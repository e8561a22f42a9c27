package mothcross.fleet;

/**
 * How the fleet sees a member, from how many of its watchers accuse it:
 * <pre>
 *            none accuse   under LOW    LOW..HIGH     HIGH or more
 * FINE       FINE          DOUBTED      UNSTABLE      SILENT
 * DOUBTED    FINE          DOUBTED      UNSTABLE      SILENT
 * UNSTABLE   FINE          DOUBTED      UNSTABLE      SILENT
 * SILENT     FINE          DOUBTED      SILENT        SILENT
 * </pre>
 * Between the marks SILENT stays what it is, so one watcher that comes and goes moves nothing. Being out is no state of
 * it: that is the view's.
 */
public enum MemberHealth {
    FINE("FINE"), SUSPECTED("DOUBTED"), UNSTABLE("UNSTABLE"), SILENT("SILENT");

    private final String label;

    MemberHealth(String label) {
        this.label = label;
    }

    /** The name in logs, counters and the status. */
    @Override public String toString() {
        return label;
    }

    MemberHealth next(int accusing, int low, int high) {
        if (accusing >= high) return SILENT;
        if (accusing == 0) return FINE;
        if (accusing < low) return SUSPECTED;
        return this == SILENT ? SILENT : UNSTABLE;
    }
}
