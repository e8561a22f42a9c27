package mothcross.fleet;

/**
 * One edge, from a watcher's side: what it has of the member that it asks each round. Owns when a question came back
 * whole, by which way, and what that shows of each direction; must never judge more than its own edge.
 */
final class LinkMonitor {
    /** What is known of the two directions. */
    enum DirectionStatus { BOTH, OUT_CUT, IN_CUT, UNCLEAR, NONE }

    final String name;
    int asked;                                          // the number of the question that is out
    int silentRounds;
    boolean refused, refusedLast;
    double roundTrip = Double.NEGATIVE_INFINITY;        // a question of ours, and the answer to it, by whichever way
    double outWorked = Double.NEGATIVE_INFINITY;        // it had a question that we sent straight
    double outFailed = Double.NEGATIVE_INFINITY;        // it had not
    double inWorked = Double.NEGATIVE_INFINITY;         // anything came straight from it
    GossipItem.LinkStatus told = GossipItem.LinkStatus.FINE;                    // what we have told the others
    int seq;
    double toldAt, clearedAt = Double.NEGATIVE_INFINITY;

    LinkMonitor(String name) {
        this.name = name;
    }

    void answered(double now, boolean straight, boolean heardStraight) {
        roundTrip = now;
        silentRounds = 0;
        refused = refusedLast = false;
        if (straight) inWorked = now;
        if (straight || heardStraight) outWorked = now;
        else outFailed = now;
    }

    /** At the end of a round that counts; true where the member has to be accused or cleared. */
    boolean judge(double since, int doubts) {
        if (roundTrip >= since) silentRounds = 0;
        else silentRounds++;
        refusedLast = refused;
        refused = false;
        return should(doubts) != told;
    }

    GossipItem.LinkStatus should(int doubts) {
        // A port that nobody holds has no process behind it: two rounds of that are enough.
        if (refusedLast && silentRounds >= 2) return GossipItem.LinkStatus.REFUSED;
        return silentRounds >= doubts ? GossipItem.LinkStatus.SILENT : GossipItem.LinkStatus.FINE;
    }

    DirectionStatus way(double now, double lately) {
        boolean in = now - inWorked < lately;
        boolean out = now - outWorked < lately && outWorked >= outFailed;
        if (in && out) return DirectionStatus.BOTH;
        if (now - roundTrip >= lately) return in ? DirectionStatus.OUT_CUT : DirectionStatus.NONE;
        if (out) return DirectionStatus.IN_CUT;
        return in ? DirectionStatus.OUT_CUT : DirectionStatus.UNCLEAR;
    }
}
