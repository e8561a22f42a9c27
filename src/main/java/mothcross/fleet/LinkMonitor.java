package mothcross.fleet;

/**
 * A watcher's state of one monitored link: when its pings were acknowledged, by which path, and what that shows of each
 * direction. It knows this link only; whether the member is unhealthy is decided from all watchers' reports.
 */
final class LinkMonitor {
    /** What is known of the link's two directions, as seen from the watcher. */
    enum DirectionStatus { BOTH, OUT_CUT, IN_CUT, UNCLEAR, NONE }

    final String name;
    /** Sequence number of this round's ping. */
    int lastPingSeq;
    /** Consecutive rounds without an ack. */
    int silentRounds;
    boolean refusedThisRound;
    boolean refusedLastRound;
    /** When a ping was last acknowledged, directly or through another member. */
    double lastRoundTripAt = Double.NEGATIVE_INFINITY;
    /** When an ack last showed that a direct ping had arrived. */
    double outboundOkAt = Double.NEGATIVE_INFINITY;
    /** When an indirect ack last showed that the direct ping had not arrived. */
    double outboundFailedAt = Double.NEGATIVE_INFINITY;
    /** When any message last came directly from the member. */
    double inboundOkAt = Double.NEGATIVE_INFINITY;
    /** The status last announced to the fleet. */
    GossipItem.LinkStatus announced = GossipItem.LinkStatus.FINE;
    int accusationSeq;
    double announcedAt;
    double clearedAt = Double.NEGATIVE_INFINITY;

    LinkMonitor(String name) {
        this.name = name;
    }

    /**
     * Records an ack.
     *
     * @param direct the ack came directly from the member
     * @param pingReceived the member has received the direct ping
     */
    void onAck(double now, boolean direct, boolean pingReceived) {
        lastRoundTripAt = now;
        silentRounds = 0;
        refusedLastRound = false;
        refusedThisRound = false;
        if (direct) inboundOkAt = now;
        if (direct || pingReceived) outboundOkAt = now;
        else outboundFailedAt = now;
    }

    /** Ends a probe round that began at {@code roundStartedAt}; true where the status differs from that announced. */
    boolean endRound(double roundStartedAt, int suspicionRounds) {
        if (lastRoundTripAt >= roundStartedAt) silentRounds = 0;
        else silentRounds++;
        refusedLastRound = refusedThisRound;
        refusedThisRound = false;
        return currentStatus(suspicionRounds) != announced;
    }

    GossipItem.LinkStatus currentStatus(int suspicionRounds) {
        // A refused port has no process behind it: two such rounds are enough.
        if (refusedLastRound && silentRounds >= 2) return GossipItem.LinkStatus.REFUSED;
        return silentRounds >= suspicionRounds ? GossipItem.LinkStatus.SILENT : GossipItem.LinkStatus.FINE;
    }

    /** The status of both directions, from what was seen within the last {@code recentMs}. */
    DirectionStatus directionStatus(double now, double recentMs) {
        boolean inbound = now - inboundOkAt < recentMs;
        boolean outbound = now - outboundOkAt < recentMs && outboundOkAt >= outboundFailedAt;
        if (inbound && outbound) return DirectionStatus.BOTH;
        if (now - lastRoundTripAt >= recentMs) return inbound ? DirectionStatus.OUT_CUT : DirectionStatus.NONE;
        if (outbound) return DirectionStatus.IN_CUT;
        return inbound ? DirectionStatus.OUT_CUT : DirectionStatus.UNCLEAR;
    }
}
