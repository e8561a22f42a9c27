package mothcross.rig;

import java.util.ArrayList;
import java.util.List;

/**
 * What was seen of a fleet, in one order: what each process said of itself and what was done to it. Owns the events;
 * must never judge them.
 */
public final class History {
    /** VIEW: what a process now takes the fleet for, and why; VOTES: it agrees to change the view with this
     * digest; FAULT: done by the script. */
    public enum Kind { STARTS, ENDS, VIEW, VOTES, STEPPED_BACK, FAULT }

    /** {@code process} is one life of one process; {@code members} of a view are name@life. */
    public record Event(double at, Kind kind, int member, String name, long life, long number, long digest,
                        boolean apart, List<String> members, String text) { }

    public final List<Event> events = new ArrayList<>();
    /** Whether events of different processes are in the order in which they happened, and times are exact. */
    public final boolean ordered;

    public History(boolean ordered) {
        this.ordered = ordered;
    }

    void fault(double at, String text) {
        events.add(new Event(at, Kind.FAULT, -1, "", 0, 0, 0, false, List.of(), text));
    }

    void add(double at, Kind kind, int member, String name, long life) {
        events.add(new Event(at, kind, member, name, life, 0, 0, false, List.of(), ""));
    }

    void votes(double at, int member, String name, long life, long base) {
        events.add(new Event(at, Kind.VOTES, member, name, life, 0, base, false, List.of(), ""));
    }

    void view(double at, int member, String name, long life, long number, long digest, boolean apart,
              List<String> members, String cause) {
        events.add(new Event(at, Kind.VIEW, member, name, life, number, digest, apart, members, cause));
    }
}
