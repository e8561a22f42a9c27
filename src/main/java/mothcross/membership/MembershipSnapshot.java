package mothcross.membership;

import java.util.List;
import org.pcollections.PMap;

/**
 * The membership that a director saves across restarts, as it was at one moment. It is immutable, so it can be
 * written while updates and lookups go on.
 *
 * @param fleet the name of the fleet
 * @param director the name of the director that saved it
 * @param savedAt when it was taken, Unix ms
 * @param numbering which numbering of discovery's events the next number belongs to: the director counts them, as
 *     numbers start over at each of its starts, and where discovery goes back to an older state
 * @param lastEvent the number of the last discovery event applied; 0 where none of this numbering was
 * @param confirmedAt when discovery last confirmed the whole list, Unix ms
 * @param entries the nodes by id
 * @param purges the purges that still apply
 */
public record MembershipSnapshot(String fleet, String director, double savedAt, long numbering, long lastEvent,
                                 double confirmedAt, PMap<String, ListedNode> entries, List<Purge> purges) {
    /**
     * Whether it was taken after {@code other}, a snapshot of the same director. The numbering decides first, then the
     * event number, and only then the clock, which may have been set back between the two.
     */
    public boolean isNewerThan(MembershipSnapshot other) {
        if (numbering != other.numbering) return numbering > other.numbering;
        if (lastEvent != other.lastEvent) return lastEvent > other.lastEvent;
        return savedAt > other.savedAt;
    }
}
