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
    FINE, SUSPECTED, UNSTABLE, SILENT;

    MemberHealth next(int accusing, int low, int high) {
        if (accusing >= high) return SILENT;
        if (accusing == 0) return FINE;
        if (accusing < low) return SUSPECTED;
        return this == SILENT ? SILENT : UNSTABLE;
    }
}
