package mothcross.membership;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import mothcross.Director;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The list that a director starts from, made of the one in its configuration and the one that it kept on disk. Event
 * numbers of discovery count anew at each start of a director, so the two are never compared by number: a configured
 * list begins a new numbering, and what it tells outranks what was kept.
 */
public final class StartingList {
    private StartingList() { }

    /**
     * The list to start from; null where there is neither.
     *
     * <p>A configured list with nodes is the whole list of this start: of the kept one it takes the evidence on nodes
     * that it lists, and the purges. Where the configured one has no node, as discovery was away when it was written,
     * the kept nodes are used, and discovery is asked from the configured number on. Where the configuration has no
     * list at all, nothing says that numbers have started over, and the kept numbering goes on.
     */
    public static MembershipSnapshot choose(MembershipSnapshot configured, MembershipSnapshot kept) {
        if (kept == null) return configured;
        if (configured == null) return kept;
        boolean listConfigured = !configured.entries().isEmpty();
        MembershipSnapshot list = listConfigured ? configured : kept;
        PMap<String, ListedNode> entries =
            listConfigured ? withEvidence(configured.entries(), kept.entries()) : kept.entries();
        return new MembershipSnapshot(list.fleet(), list.director(), list.savedAt(), kept.numbering() + 1,
            configured.lastEvent(), list.confirmedAt(), entries, allPurges(configured, kept));
    }

    /** The configured nodes, each with what was kept of the process at its address. */
    private static PMap<String, ListedNode> withEvidence(PMap<String, ListedNode> configured,
                                                         PMap<String, ListedNode> kept) {
        PMap<String, ListedNode> entries = HashTreePMap.empty();
        for (ListedNode node : configured.values()) {
            ListedNode known = kept.get(node.id());
            entries = entries.plus(node.id(), sameProcess(node, known) ? withEvidence(node, known) : node);
        }
        return entries;
    }

    private static boolean sameProcess(ListedNode node, ListedNode known) {
        return known != null && known.address().equals(node.address()) && known.status() != Director.REMOVED
            && (node.startedAt() == 0 || node.startedAt() == known.startedAt());
    }

    private static ListedNode withEvidence(ListedNode node, ListedNode known) {
        return node.withAnsweredAt(known.answeredAt()).withStartedAt(known.startedAt());
    }

    private static List<Purge> allPurges(MembershipSnapshot configured, MembershipSnapshot kept) {
        Set<Purge> purges = new LinkedHashSet<>(kept.purges());
        purges.addAll(configured.purges());
        return new ArrayList<>(purges);
    }
}
