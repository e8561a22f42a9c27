package mothcross.fleet;

import java.util.HashMap;
import java.util.Map;

/** All that one director holds of another name, apart from its own edge to it. */
final class PeerState {
    MemberRecord fact;                                          // what the view, or what came after it, has of it
    MemberRecord candidate;                                     // stands over it, and is no part of the view yet
    /** The newest word of a watcher, and when it came. */
    private static final class Said {
        final GossipItem.Accusation what;
        double at;

        Said(GossipItem.Accusation what, double at) {
            this.what = what;
            this.at = at;
        }
    }

    private Map<String, Said> accusations;              // by watcher
    MemberHealth judged = MemberHealth.FINE;
    double silentSince, unstableSince, outAt = Double.NEGATIVE_INFINITY, knownAt;
    int refusals, accusing, confirming;
    boolean ended;                                      // out, and it can't be running: it said so, or its port is free
    GossipItem.Refutation refutal;
    double refutedAt = Double.NEGATIVE_INFINITY;

    GossipItem.Accusation accusation(String watcher) {
        Said s = accusations == null ? null : accusations.get(watcher);
        return s == null ? null : s.what;
    }

    double saidAt(String watcher) {
        return accusations.get(watcher).at;
    }

    void accuse(GossipItem.Accusation a, double now) {
        if (accusations == null) accusations = new HashMap<>(4);
        accusations.put(a.watcher(), new Said(a, now));
    }

    void nobodyAccuses() {
        accusations = null;
        judged = MemberHealth.FINE;
        accusing = refusals = 0;
    }

    /** So long nothing was heard that could have been. */
    void late(double by) {
        silentSince += by;
        if (accusations != null) for (Said s : accusations.values()) s.at += by;
    }

    /** The life that it is known to be in. */
    long life() {
        return candidate != null && candidate.over(fact) ? candidate.incarnation() : fact.incarnation();
    }

    /** Where it is reached in its latest life. */
    MemberRecord latest() {
        return candidate != null && candidate.over(fact) ? candidate : fact;
    }
}
