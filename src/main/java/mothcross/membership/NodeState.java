package mothcross.membership;

import java.util.Locale;
import mothcross.Director;

/** The state of a node in the membership list; {@link NodeEntry} describes the transitions. */
public enum NodeState {
    /** Discovery listed it in this run, or confirmed the list within the recent age. */
    TOLD(Director.IN_SERVICE),
    /** Restored from disk, and confirmed within the recent age. */
    RECENT(Director.IN_SERVICE),
    /** Past the recent age, but the node itself answers. */
    PROVEN(Director.IN_SERVICE),
    /** Past the recent age without an answer lately: used cautiously. */
    OLD(Director.UNCONFIRMED),
    /** Could not be connected to; retried after a delay. */
    REFUSED(Director.REMOVED),
    /** Missing from a shrunk snapshot: not used, but not yet removed. */
    WITHHELD(Director.REMOVED),
    /** Past the old age: not used. */
    TOO_OLD(Director.REMOVED),
    /** Discovery reported it draining: gets no new lookups. */
    DRAINING(Director.DRAINING),
    /** Removed by discovery, missing from a snapshot, or replaced at its address. */
    GONE(Director.REMOVED);

    /** The status that the director is given, a constant of {@link Director}. */
    public final int directorStatus;

    NodeState(int directorStatus) {
        this.directorStatus = directorStatus;
    }

    /** The lower-case name that logs, counters and {@code list show} print. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Whether the director may send lookups to a node in this state. */
    public boolean usable() {
        return directorStatus == Director.IN_SERVICE || directorStatus == Director.UNCONFIRMED;
    }
}
