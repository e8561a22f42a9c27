package mothcross.fleet;

/**
 * The health of a member by the number of its watchers that accuse it, against a low and a high watermark:
 * <pre>
 *            none accuse   under low    low..high     high or more
 * FINE       FINE          SUSPECTED    UNSTABLE      SILENT
 * SUSPECTED  FINE          SUSPECTED    UNSTABLE      SILENT
 * UNSTABLE   FINE          SUSPECTED    UNSTABLE      SILENT
 * SILENT     FINE          SUSPECTED    SILENT        SILENT
 * </pre>
 * A silent member stays silent between the watermarks, so that one watcher whose reports alternate does not make the
 * health flap. Eviction is not a health: it is recorded in the view.
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

    MemberHealth next(int accusing, int lowWatermark, int highWatermark) {
        if (accusing >= highWatermark) return SILENT;
        if (accusing == 0) return FINE;
        if (accusing < lowWatermark) return SUSPECTED;
        return this == SILENT ? SILENT : UNSTABLE;
    }
}
