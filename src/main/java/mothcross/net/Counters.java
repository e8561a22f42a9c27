package mothcross.net;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What has happened since the start, for the line of counters in the log. Owns no behaviour; must never
 * be read by anything that decides.
 */
final class Counters {
    private static final Logger LOG = LoggerFactory.getLogger(Counters.class);
    long lookups, handled, unchanged, bounced, givenUp, cancelled, hops, connects, up, probes, probesFit;
    long badHead, longHead, badPath, badField, badNode, badFrame, silent, slowReaders, crowded, idle, slowHead,
        reloads, notCurrent, cancelledUnread, tooFarAhead, crossed;
    /** What must never happen: asserted in tests and debug runs, counted here in release. */
    long faults, unanswered, broken;
    private static final int MOST_WARNINGS = 20;
    private int warned;
    private long keptBack;
    final long[] ends = new long[9];
    private static final String[] END = {"handled", "error", "full", "timed-out", "unreached", "broken",
        "called-off", "not-sent", "miss"};

    /** What others send can't flood the log: so many lines between two of counters, the rest is only counted. */
    boolean mayWarn() {
        if (warned++ < MOST_WARNINGS) return true;
        keptBack++;
        return false;
    }

    /** Counts what must hold and does not. */
    void hold(boolean held, String what) {
        assert held : what;
        if (held) return;
        broken++;
        LOG.error("does not hold: {}", what);
    }

    String line() {
        StringBuilder s = new StringBuilder("lookups ").append(lookups).append(", handled ").append(handled)
            .append(" (unchanged ").append(unchanged).append("), bounced ").append(bounced)
            .append(", given up ").append(givenUp).append(", cancelled ").append(cancelled)
            .append(" (unread ").append(cancelledUnread).append("); hops ")
            .append(hops).append(':');
        for (int i = 0; i < ends.length; i++) {
            if (ends[i] > 0) s.append(' ').append(END[i]).append(' ').append(ends[i]);
        }
        s.append("; connects ").append(connects).append(" (up ").append(up).append("); bad: head ").append(badHead);
        s.append(", long ").append(longHead).append(", path ").append(badPath).append(", field ").append(badField);
        s.append(", node ").append(badNode).append(", frame ").append(badFrame).append(", silent ").append(silent);
        s.append("; clients: slow to ask ").append(slowHead).append(", left idle ").append(idle);
        s.append(", slow readers ").append(slowReaders).append(", crowded ").append(crowded);
        s.append(", too far ahead ").append(tooFarAhead).append(", crossed ").append(crossed);
        if (notCurrent > 0) s.append("; not current ").append(notCurrent);
        s.append("; reloads ").append(reloads).append(", warnings kept back ").append(keptBack);
        warned = 0;
        s.append("; must be 0: faults ").append(faults).append(", unanswered ").append(unanswered);
        return s.append(", broken ").append(broken).toString();
    }
}
