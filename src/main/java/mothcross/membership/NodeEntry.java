package mothcross.membership;

import mothcross.Director;

/**
 * What is believed about one box, and why. One switch moves it, by age and by what the box itself showed:
 *
 * <pre>
 *  to         from                        when
 *  TOLD       any                         discovery names it as in service, or stands behind the list again
 *  RECENT     (disk)                      in service, told within the recent age
 *  OLD        TOLD, RECENT, PROVEN        past the recent age without an answer lately; a reset or a refused
 *                                         connection where only an answer held it; (disk) past the recent age
 *  OLD        RECENT                      refused as often in a row as the operators allow
 *  OLD        REFUSED                     its wait is over: it is tried again
 *  PROVEN     OLD, TOLD, RECENT           past the recent age, and it answered lately
 *  REFUSED    OLD, RECENT                 a connection to it did not come up: waits, each time twice as long
 *  WITHHELD   any in use                  missing from a strongly shrunken whole list
 *  TOO_OLD    any in use                  neither told nor heard within the old age
 *  DRAINING   any                         told so
 *  GONE       any                         told so, or missing from a whole list, or withheld too long, or its
 *                                         address is another's now
 * </pre>
 *
 * Owns the evidence; must never be moved by a box's answer to a better standing than discovery's word allows.
 */
final class NodeEntry {
    ListedNode listed;
    NodeState state;
    String reason = "new";
    boolean confirmedThisRun;                       // named in this run, not only read from the disk
    boolean listedInSnapshot;                         // in the whole list being read
    boolean unknownBefore = true;          // never shown to the module as in use
    double startedAt;                      // for the module: 0 untold, else a time; LONG where known to be warm
    double withheldAt = Double.NaN;
    private double answeredAt = Double.NEGATIVE_INFINITY, firstAnswerAt = Double.NaN, triedAgainAt;
    private int refusals, waits;
    static final double WARM = 1;

    NodeEntry(ListedNode told) {
        this.listed = told;
        this.startedAt = told.startedAt();
    }

    /** Its process may be another one now: nothing it showed counts any more. */
    void resetEvidence() {
        answeredAt = Double.NEGATIVE_INFINITY;
        firstAnswerAt = Double.NaN;
        refusals = waits = 0;
        triedAgainAt = 0;
    }

    /** From now on nobody can say when its process started: its next answer is taken for a first one. */
    void markUnconfirmed(double now) {
        firstAnswerAt = Double.NaN;
        startedAt = now;
    }

    /** True where its process must be taken for one that started just now: nobody told, or it was away. */
    boolean answered(double now, AgeLimits ages) {
        boolean away = refusals >= ages.maxRefusals() || Double.isNaN(firstAnswerAt) && state == NodeState.OLD;
        refusals = waits = 0;
        answeredAt = now;
        if (Double.isNaN(firstAnswerAt)) firstAnswerAt = now;
        if (away) startedAt = now;
        return away;
    }

    /** A connection that never came up ({@code refused}), or one cut off under a hop. */
    void failed(boolean refused, double now, AgeLimits ages, double chance) {
        firstAnswerAt = Double.NaN;
        answeredAt = Double.NEGATIVE_INFINITY;
        if (!refused) return;
        refusals++;
        boolean gone = state == NodeState.OLD || state == NodeState.RECENT && refusals >= ages.maxRefusals();
        if (!gone) return;
        double wait = Math.min(ages.maxRetryMs(), ages.retryMs() * Math.pow(2, Math.min(30, waits++)));
        triedAgainAt = now + wait * (0.75 + 0.5 * chance);
    }

    /** Where it should stand now; sets the reason. {@code heardAt}: when discovery last stood behind the list. */
    NodeState evaluate(double now, double heardAt, AgeLimits ages) {
        if (listed.status() == Director.DRAINING) return is(NodeState.DRAINING, "told that it drains");
        if (listed.status() == Director.REMOVED) return is(NodeState.GONE, reason);
        if (!Double.isNaN(withheldAt)) {
            if (now - withheldAt <= ages.withheldMs()) return is(NodeState.WITHHELD, "missing from a shrunken list");
            return is(NodeState.GONE, "missing from a shrunken list for too long");
        }
        double age = now - (listed.confirmed() ? Math.max(listed.listedAt(), heardAt) : listed.listedAt());
        double seen = Math.max(listed.answeredAt(), answeredAt);
        boolean waiting = now < triedAgainAt;
        if (age <= ages.recentMs() && confirmedThisRun) return is(NodeState.TOLD, "told in this run");
        if (age <= ages.recentMs() && refusals < ages.maxRefusals() && !waiting) {
            return is(NodeState.RECENT, "told before the restart, not long ago");
        }
        boolean answers = now - answeredAt <= ages.answerValidMs();
        if (answers) return is(NodeState.PROVEN, "discovery is silent, but the box answers");
        if (age > ages.oldMs() && now - seen > ages.oldMs()) {
            return is(NodeState.TOO_OLD, "neither told nor heard for long");
        }
        if (waiting) return is(NodeState.REFUSED, "its connections do not come up");
        return is(NodeState.OLD, refusals > 0 ? "not reached, tried again" : "not told for long, nor heard");
    }

    private NodeState is(NodeState s, String explanation) {
        reason = explanation;
        return s;
    }
}
