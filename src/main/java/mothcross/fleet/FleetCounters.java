package mothcross.fleet;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Counts a member's events and the transitions of other members' health. For metrics only: no decision reads it. */
public final class FleetCounters {
    /** Events that are counted, each under its label. */
    public enum Event {
        PHASE_CHANGED("phase"),
        /** A tick came late: a pause of the process, a starved CPU or a step of the clock. */
        LOCAL_DELAY("late"),
        NEW_INCARNATION("new_life"),
        /** A message that is meant for another member. */
        MISADDRESSED("not_ours"),
        /** A message from an incarnation older than the known one. */
        STALE_INCARNATION("old_life"),
        VIEW_REQUESTED("wants"),
        SUPERSEDED("stepped_back"),
        ACCUSED("accused"),
        CLEARED("cleared"),
        REFUTED("refuted"),
        PARTITIONED("apart"),
        PARTITION_HEALED("together"),
        PROPOSED("proposed"),
        VIEW_CHANGED("view"),
        RESTARTED_ALONE("alone");

        private final String label;

        Event(String label) {
            this.label = label;
        }
    }

    private final EnumMap<Event, Long> events = new EnumMap<>(Event.class);
    /** By ordinal of the health before and of the health after. */
    private final long[][] healthTransitions = new long[MemberHealth.values().length][MemberHealth.values().length];

    void add(Event event) {
        events.merge(event, 1L, Long::sum);
    }

    void addTransition(MemberHealth from, MemberHealth to) {
        healthTransitions[from.ordinal()][to.ordinal()]++;
    }

    public long count(Event event) {
        return events.getOrDefault(event, 0L);
    }

    /** All counters that are not 0, by their names in the status. */
    public Map<String, Long> nonZero() {
        Map<String, Long> counts = new TreeMap<>();
        events.forEach((event, count) -> counts.put(event.label, count));
        for (MemberHealth from : MemberHealth.values()) {
            for (MemberHealth to : MemberHealth.values()) {
                long count = healthTransitions[from.ordinal()][to.ordinal()];
                if (count > 0) counts.put((from + "_to_" + to).toLowerCase(Locale.ROOT), count);
            }
        }
        return counts;
    }
}
