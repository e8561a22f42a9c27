package mothcross.fleet;

import java.util.HashMap;
import java.util.Map;

/** What a member knows of another one, except for its own link to it. */
final class PeerState {
    /** An accusation and when it was received. */
    private static final class ReceivedAccusation {
        final GossipItem.Accusation accusation;
        double at;

        ReceivedAccusation(GossipItem.Accusation accusation, double at) {
            this.accusation = accusation;
            this.at = at;
        }
    }

    /** The record in the view, or the last one of a former member; null where only a candidate is known. */
    MemberRecord record;
    /** A newer record that is not part of the view yet; null where there is none. */
    MemberRecord candidate;
    /** The newest accusation of each watcher; null before the first. */
    private Map<String, ReceivedAccusation> accusations;
    MemberHealth health = MemberHealth.FINE;
    double silentSince;
    double unstableSince;
    double removedAt = Double.NEGATIVE_INFINITY;
    double firstForgetCheckAt;
    int refusalCount;
    int accuserCount;
    /** Accusers beyond the high watermark. */
    int extraAccusers;
    /** Whether a former member certainly does not run: it announced that it leaves, or its port is free. */
    boolean ended;
    GossipItem.Refutation refutation;
    double refutedAt = Double.NEGATIVE_INFINITY;

    /** The newest accusation of this watcher; null where there is none. */
    GossipItem.Accusation accusation(String watcher) {
        ReceivedAccusation received = accusations == null ? null : accusations.get(watcher);
        return received == null ? null : received.accusation;
    }

    /** When the newest accusation of this watcher was received; there has to be one. */
    double accusedAt(String watcher) {
        return accusations.get(watcher).at;
    }

    void recordAccusation(GossipItem.Accusation accusation, double now) {
        if (accusations == null) accusations = new HashMap<>(4);
        accusations.put(accusation.watcher(), new ReceivedAccusation(accusation, now));
    }

    void clearAccusations() {
        accusations = null;
        health = MemberHealth.FINE;
        refusalCount = 0;
        accuserCount = 0;
    }

    /** Extends the running timers by a span in which this process could not receive anything. */
    void extendTimers(double byMs) {
        silentSince += byMs;
        if (accusations != null) for (ReceivedAccusation received : accusations.values()) received.at += byMs;
    }

    /** The latest known incarnation. */
    long incarnation() {
        return latestRecord().incarnation();
    }

    /** The record of the latest known incarnation: the candidate where it supersedes the record. */
    MemberRecord latestRecord() {
        return candidate != null && candidate.supersedes(record) ? candidate : record;
    }
}
