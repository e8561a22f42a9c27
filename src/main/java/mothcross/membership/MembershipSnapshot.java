package mothcross.membership;

import java.util.List;
import org.pcollections.PMap;

/**
 * All that a director keeps over a restart, as it stood at one moment: a view that later news leaves as it is, so
 * that it can be written while lookups go on. {@code lastEvent} is that of the last event, {@code confirmedAt} when
 * discovery last stood behind the whole of it.
 */
public record MembershipSnapshot(String fleet, String director, double savedAt, long lastEvent, double confirmedAt,
                   PMap<String, ListedNode> entries, List<Purge> purges) { }
