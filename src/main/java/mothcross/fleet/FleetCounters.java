package mothcross.fleet;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/** How often what happened, and each move of a member's judgement; read by nobody who decides. */
public final class FleetCounters {
    public enum Event { PHASE_CHANGED, LOCAL_DELAY, NEW_INCARNATION, MISADDRESSED, STALE_INCARNATION, VIEW_REQUESTED, SUPERSEDED, ACCUSED, CLEARED, REFUTED,
        PARTITIONED, PARTITION_HEALED, PROPOSED, VIEW_CHANGED, RESTARTED_ALONE }

    private final EnumMap<Event, Long> moves = new EnumMap<>(Event.class);
    private final long[][] judged = new long[MemberHealth.values().length][MemberHealth.values().length];

    void add(Event m) {
        moves.merge(m, 1L, Long::sum);
    }

    void moved(MemberHealth from, MemberHealth to) {
        judged[from.ordinal()][to.ordinal()]++;
    }

    public long count(Event m) {
        return moves.getOrDefault(m, 0L);
    }

    /** By name, what is not 0. */
    public Map<String, Long> nonZero() {
        Map<String, Long> all = new TreeMap<>();
        moves.forEach((m, n) -> all.put(m.name().toLowerCase(java.util.Locale.ROOT), n));
        for (MemberHealth a : MemberHealth.values()) {
            for (MemberHealth b : MemberHealth.values()) {
                long n = judged[a.ordinal()][b.ordinal()];
                if (n > 0) all.put((a + "_to_" + b).toLowerCase(java.util.Locale.ROOT), n);
            }
        }
        return all;
    }
}
