package mothcross.net;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Event counts since the start, for the line of counters in the log. No decision depends on them. Tests read fields
 * by name; the words of the line are an interface for operators and differ from some field names.
 */
final class Counters {
    private static final Logger LOG = LoggerFactory.getLogger(Counters.class);
    private static final int MAX_WARNINGS = 20;
    /** The words for outcomes in the line, by the numbers of {@link mothcross.Director}. */
    private static final String[] OUTCOME_WORDS = {"handled", "error", "full", "timed-out", "unreached", "broken",
        "called-off", "not-sent", "miss"};

    long lookups;
    long succeeded;
    /** Of those that succeeded, answered with 304. */
    long unchanged;
    long rejected;
    long failed;
    /** Lookups whose client disconnected before its answer. */
    long cancelled;
    /** Requests whose client had disconnected before they were read. */
    long cancelledUnread;
    long hops;
    /** Hops by outcome, with the numbers of {@link mothcross.Director}. */
    final long[] outcomes = new long[OUTCOME_WORDS.length];
    /** Connections to nodes begun, and of these the ones established. */
    long connects;
    long up;
    long probes;
    long probesFit;
    /** Connections to discovery begun, and of these the ones that ended or were given up without a frame. */
    long discoveryConnects;
    long discoveryUnheard;
    /** How often no whole frame of discovery came in time. */
    long discoverySilences;
    /** Whole frames of discovery. */
    long discoveryFrames;
    /** Malformed or oversized input, from clients, nodes and discovery. */
    long badHead;
    long longHead;
    long badPath;
    long badField;
    long badNode;
    long badFrame;
    /** Connections to nodes closed after an unanswered liveness probe. */
    long unresponsive;
    /** Clients closed for a large write backlog. */
    long slowReaders;
    /** Clients closed, or new ones refused, because descriptors ran short. */
    long evicted;
    /** Connections to nodes that had to wait for a descriptor, and those closed while idle to make room. */
    long awaitedDescriptor;
    long closedForRoom;
    /** Clients closed after the idle timeout. */
    long idle;
    /** Clients whose request was not complete in time. */
    long slowHead;
    /** Clients that had sent more ahead of their turn than is kept. */
    long readAheadTruncated;
    /** Requests refused, and answers of nodes given up, because memory ran short. */
    long outOfMemory;
    /** Requests refused because their time was over when their turn came. */
    long expiredInTurn;
    /** Requests refused because their id belongs to one that may have run. */
    long repeatedIds;
    /** Reads on client connections after our side had begun to close. */
    long receivedAfterClose;
    /** Lookups refused because this director may not be deciding by the current policy. */
    long notCurrent;
    long reloads;
    /** Must stay 0: asserted in tests and debug runs, counted in release. */
    long faults;
    long unanswered;
    long broken;
    private int warnings;
    private long suppressedWarnings;

    /**
     * Whether a warning caused by a peer's input may be logged. Limits the warnings between two lines of counters,
     * so that peers can't flood the log; the rest is only counted.
     */
    boolean mayWarn() {
        if (warnings++ < MAX_WARNINGS) return true;
        suppressedWarnings++;
        return false;
    }

    /** Asserts an invariant; without assertions, counts and logs its violation. */
    void checkInvariant(boolean holds, String invariant) {
        assert holds : invariant;
        if (holds) return;
        broken++;
        LOG.error("invariant violated: {}", invariant);
    }

    /** The line of counters; starts a new interval for {@link #mayWarn}. */
    String line() {
        StringBuilder s = new StringBuilder("lookups ").append(lookups).append(", handled ").append(succeeded)
            .append(" (unchanged ").append(unchanged).append("), bounced ").append(rejected)
            .append(", given up ").append(failed).append(", cancelled ").append(cancelled)
            .append(" (unread ").append(cancelledUnread).append("); hops ")
            .append(hops).append(':');
        for (int i = 0; i < outcomes.length; i++) {
            if (outcomes[i] > 0) s.append(' ').append(OUTCOME_WORDS[i]).append(' ').append(outcomes[i]);
        }
        s.append("; connects ").append(connects).append(" (up ").append(up).append("); bad: head ").append(badHead);
        s.append(", long ").append(longHead).append(", path ").append(badPath).append(", field ").append(badField);
        s.append(", node ").append(badNode).append(", frame ").append(badFrame);
        s.append(", silent ").append(unresponsive);
        s.append("; clients: slow to ask ").append(slowHead).append(", left idle ").append(idle);
        s.append(", slow readers ").append(slowReaders).append(", crowded ").append(evicted);
        s.append(", short of memory ").append(outOfMemory);
        s.append(", expired in turn ").append(expiredInTurn);
        s.append(", repeated ").append(repeatedIds);
        s.append(", too far ahead ").append(readAheadTruncated).append(", crossed ").append(receivedAfterClose);
        s.append("; descriptors: awaited ").append(awaitedDescriptor);
        s.append(", closed for room ").append(closedForRoom);
        s.append("; discovery: connects ").append(discoveryConnects).append(", unheard ").append(discoveryUnheard);
        s.append(", silences ").append(discoverySilences).append(", frames ").append(discoveryFrames);
        if (notCurrent > 0) s.append("; not current ").append(notCurrent);
        s.append("; reloads ").append(reloads).append(", warnings kept back ").append(suppressedWarnings);
        warnings = 0;
        s.append("; must be 0: faults ").append(faults).append(", unanswered ").append(unanswered);
        return s.append(", broken ").append(broken).toString();
    }
}
