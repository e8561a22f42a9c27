package mothcross.membership;

import mothcross.Director;

/**
 * Where an entry of the list stands, and what the module is told of it. Must never say how it came there:
 * {@link NodeEntry} moves entries.
 */
public enum NodeState {
    /** Discovery named it in this run, or said within the recent age that nothing is new. */
    TOLD(Director.IN_SERVICE),
    /** From the disk, and told within the recent age. */
    RECENT(Director.IN_SERVICE),
    /** Past the recent age, but the box itself answers. */
    PROVEN(Director.IN_SERVICE),
    /** Past the recent age and not heard of in this run: used cautiously. */
    OLD(Director.UNCONFIRMED),
    /** Not there when it was asked for; it is tried again after a while. */
    REFUSED(Director.REMOVED),
    /** Missing from a whole list that shrank strongly: not used, not yet forgotten. */
    WITHHELD(Director.REMOVED),
    /** Past the old age: not used. */
    TOO_OLD(Director.REMOVED),
    DRAINING(Director.DRAINING),
    GONE(Director.REMOVED);

    /** As the module knows it. */
    public final int directorStatus;

    NodeState(int use) {
        this.directorStatus = use;
    }

    public String label() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }

    public boolean usable() {
        return directorStatus == Director.IN_SERVICE || directorStatus == Director.UNCONFIRMED;
    }
}
