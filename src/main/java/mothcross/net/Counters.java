package mothcross.net;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What has happened since the start, for the line of counters in the log. Owns no behaviour; must never
 * be read by anything that decides.
 */
final class Counters {
    private static final Logger LOG = LoggerFactory.getLogger(Counters.class);
    long lookups, succeeded, unchanged, rejected, failed, cancelled, hops, connects, up, probes, probesFit;
    long badHead, longHead, badPath, badField, badNode, badFrame, unresponsive, slowReaders, evicted, idle, slowHead,
        reloads, notCurrent, cancelledUnread, readAheadTruncated, receivedAfterClose;
    /** What must never happen: asserted in tests and debug runs, counted here in release. */
    long faults, unanswered, broken;
    private static final int MOST_WARNINGS = 20;
    private int warned;
    private long suppressedWarnings;
    final long[] outcomes = new long[9];
    private static final String[] END = {"handled", "error", "full", "timed-out", "unreached", "broken",
        "called-off", "not-sent", "miss"};

    /** What others send can't flood the log: so many lines between two of counters, the rest is only counted. */
    boolean mayWarn() {
        if (warned++ < MOST_WARNINGS) return true;
        suppressedWarnings++;
        return false;
    }

    /** Counts what must hold and does not. */
    void checkInvariant(boolean held, String what) {
        assert held : what;
        if (held) return;
        broken++;
        LOG.error("does not hold: {}", what);
    }

    String line() {
        StringBuilder s = new StringBuilder("lookups ").append(lookups).append(", handled ").append(succeeded)
            .append(" (unchanged ").append(unchanged).append("), bounced ").append(rejected)
            .append(", given up ").append(failed).append(", cancelled ").append(cancelled)
            .append(" (unread ").append(cancelledUnread).append("); hops ")
            .append(hops).append(':');
        for (int i = 0; i < outcomes.length; i++) {
            if (outcomes[i] > 0) s.append(' ').append(END[i]).append(' ').append(outcomes[i]);
        }
        s.append("; connects ").append(connects).append(" (up ").append(up).append("); bad: head ").append(badHead);
        s.append(", long ").append(longHead).append(", path ").append(badPath).append(", field ").append(badField);
        s.append(", node ").append(badNode).append(", frame ").append(badFrame).append(", silent ").append(unresponsive);
        s.append("; clients: slow to ask ").append(slowHead).append(", left idle ").append(idle);
        s.append(", slow readers ").append(slowReaders).append(", crowded ").append(evicted);
        s.append(", too far ahead ").append(readAheadTruncated).append(", crossed ").append(receivedAfterClose);
        if (notCurrent > 0) s.append("; not current ").append(notCurrent);
        s.append("; reloads ").append(reloads).append(", warnings kept back ").append(suppressedWarnings);
        warned = 0;
        s.append("; must be 0: faults ").append(faults).append(", unanswered ").append(unanswered);
        return s.append(", broken ").append(broken).toString();
    }
}
