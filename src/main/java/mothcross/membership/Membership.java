package mothcross.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import mothcross.Director;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The cache nodes a director may use while service discovery is silent or stale: the node list, how old the
 * information on each node is, the evidence from the nodes' own answers, and the purges that still apply. The states
 * and transitions of an entry are described at {@link NodeEntry} and {@link NodeState}.
 *
 * <p>Time, randomness and all input are passed in; state changes are reported through {@link Listener}. The class
 * reads no clock, file or socket, applies no discovery event twice, and never delays or revokes a drain.
 */
public final class Membership {
    /** Receives the state changes of nodes. */
    public interface Listener {
        /**
         * A node's state, address or start time has changed.
         *
         * @param was the state reported before; null for a new entry
         * @param startedAt when the node started, for its slow start: 0 where unknown, {@link NodeEntry#WARM} where
         *     it is known to be warm; Unix ms
         */
        void stateChanged(ListedNode entry, NodeState was, NodeState is, double startedAt, String reason);
    }

    /** The result of applying a snapshot or delta from discovery. The names appear in the counters. */
    public enum UpdateResult {
        APPLIED,
        /** A delta, or the last event again: its event was applied before. */
        KNOWN_ALREADY,
        /** A snapshot older than the known list, while a node of that is usable: ignored. */
        OLDER,
        /** A snapshot without any node: the known nodes stay, unconfirmed. */
        EMPTY,
        /** A snapshot that lists far fewer nodes than were usable: the missing ones are withheld. */
        SHRUNK,
        /** Discovery is older than the known list, which is unusable: the list was dropped. */
        STARTED_OVER,
        /** A delta of a discovery that is behind: only its drains and removals are applied. */
        DRAINS_ONLY
    }

    /** Below this many usable nodes a smaller snapshot is never treated as shrunk. */
    private static final int MIN_NODES_FOR_SHRINK_CHECK = 4;
    /** A node's answer is saved once it is newer than the saved one by more than the recent age divided by this. */
    private static final double ANSWER_SAVES_PER_RECENT_AGE = 10;

    private AgeLimits limits;
    private final SplittableRandom random;
    private final Listener listener;
    private final double purgeRetentionMs;
    /** All entries by node id; removed ones stay until they age out. */
    private final Map<String, NodeEntry> entriesById = new LinkedHashMap<>();
    /** The one node that has each address. */
    private final Map<String, NodeEntry> entriesByAddress = new HashMap<>();
    /** In the order received; dropped when they expire. */
    private final List<Purge> purges = new ArrayList<>();
    private PMap<String, ListedNode> persistedNodes = HashTreePMap.empty();
    /** Which numbering {@link #lastEvent} belongs to; numbers of two numberings are never compared. */
    private long numbering;
    private long lastEvent;
    /** When discovery last confirmed the whole list. */
    private double confirmedAt = Double.NEGATIVE_INFINITY;
    /** Whether any list was applied since the process started. */
    private boolean listAppliedThisRun;
    private boolean urgent;
    private boolean dirty;
    private boolean discoveryBehind;
    private final long[][] transitionCounts = new long[NodeState.values().length][NodeState.values().length];
    private final long[] updateCounts = new long[UpdateResult.values().length];

    // The update being read.
    private boolean readingSnapshot;
    private boolean drainsOnly;
    private boolean hasEntries;
    private int listedInService;
    private int usableBefore;
    private int unlistedCount;

    /** @param purgeRetentionMs how long a purge is kept after it was issued */
    public Membership(AgeLimits limits, double purgeRetentionMs, SplittableRandom random, Listener listener) {
        this.limits = limits;
        this.purgeRetentionMs = purgeRetentionMs;
        this.random = random;
        this.listener = listener;
    }

    /** Replaces the age limits and re-evaluates all entries. */
    public void setAgeLimits(AgeLimits newLimits, double now) {
        limits = newLimits;
        tick(now);
    }

    // ---- start ----

    /** Loads a saved snapshot. None of its entries counts as confirmed in this run. */
    public void restore(MembershipSnapshot snapshot, double now) {
        numbering = snapshot.numbering();
        lastEvent = snapshot.lastEvent();
        confirmedAt = snapshot.confirmedAt();
        for (ListedNode node : snapshot.entries().values()) {
            NodeEntry entry = new NodeEntry(node);
            entriesById.put(node.id(), entry);
            if (node.status() != Director.REMOVED) entriesByAddress.put(node.address(), entry);
            // A restored node is warm unless discovery reported when it started.
            if (node.startedAt() == 0) entry.startedAt = NodeEntry.WARM;
            settle(entry, now);
        }
        for (Purge purge : snapshot.purges()) {
            if (now - purge.at() <= purgeRetentionMs) purges.add(purge);
        }
        persistedNodes = snapshot.entries();
    }

    /** The purges that still apply. */
    public List<Purge> purges() {
        return purges;
    }

    // ---- updates from discovery ----

    /** The number of the last discovery event that was applied. */
    public long lastEvent() {
        return lastEvent;
    }

    /**
     * Begins a snapshot or a delta. After KNOWN_ALREADY or OLDER no entries may follow.
     *
     * <p>A snapshot older than the known list carries nothing new. It is applied only once no known node is usable:
     * any list is better then, and there is nothing it could contradict. While discovery is behind the known list,
     * the numbers of its events stood for other events here; of their deltas only drains and removals are applied,
     * which are always safe.
     */
    public UpdateResult listStarted(long event, boolean isSnapshot, double now) {
        if (event <= lastEvent) {
            boolean noneUsable = entriesById.values().stream().noneMatch(entry -> entry.state.usable());
            if (!isSnapshot && discoveryBehind) {
                readingSnapshot = false;
                drainsOnly = true;
                return countResult(UpdateResult.DRAINS_ONLY);
            }
            if (!isSnapshot || event == lastEvent || !noneUsable) {
                boolean known = event == lastEvent || !isSnapshot;
                return countResult(known ? UpdateResult.KNOWN_ALREADY : UpdateResult.OLDER);
            }
            reset(now);
            beginUpdate(event, true);
            return countResult(UpdateResult.STARTED_OVER);
        }
        beginUpdate(event, isSnapshot);
        return countResult(UpdateResult.APPLIED);
    }

    private void beginUpdate(long event, boolean isSnapshot) {
        lastEvent = event;
        readingSnapshot = isSnapshot;
        discoveryBehind = false;
        drainsOnly = false;
        hasEntries = false;
        listedInService = 0;
        unlistedCount = 0;
        usableBefore = 0;
        for (NodeEntry entry : entriesById.values()) {
            entry.listedInSnapshot = false;
            if (entry.state.usable()) usableBefore++;
        }
    }

    /**
     * Applies one entry of the update that was begun.
     *
     * @param status IN_SERVICE, DRAINING or REMOVED of {@link Director}
     * @param startedAt when the node started, Unix ms; 0 where discovery does not know
     */
    public void nodeListed(String id, String host, int port, String zone, String kind, int cell, int status,
                           double units, double startedAt, double now) {
        hasEntries = true;
        ListedNode node = new ListedNode(id, host, port, zone, kind, cell, status, units, startedAt, now, 0, true);
        NodeEntry entry = entriesById.get(id);
        if (entry == null && status == Director.REMOVED || drainsOnly && status == Director.IN_SERVICE) return;
        boolean isNew = entry == null;
        if (isNew) {
            entry = new NodeEntry(node);
            entriesById.put(id, entry);
            // The first snapshot of a run lists nodes that were running before. A node that is listed later without a
            // start time is taken to have just started.
            if (startedAt == 0) entry.startedAt = readingSnapshot && !listAppliedThisRun ? NodeEntry.WARM : now;
        }
        boolean moved = !isNew && !entry.listed.address().equals(node.address());
        boolean restarted = !isNew && startedAt != 0 && startedAt != entry.listed.startedAt();
        boolean returned = !isNew && entry.listed.status() == Director.REMOVED;
        boolean withheld = !Double.isNaN(entry.withheldAt);
        if (moved || restarted || returned) entry.resetEvidence();
        if (moved && entriesByAddress.get(entry.listed.address()) == entry) {
            entriesByAddress.remove(entry.listed.address());
        }
        if (startedAt != 0) {
            entry.startedAt = startedAt;
        } else if (moved || returned && !withheld) {
            // Moved or came back without a start time: taken to have just started.
            entry.startedAt = now;
        } else if (!isNew) {
            entry.startedAt = reportedStart(entry);
        }
        double answeredAt = moved || restarted || returned || isNew ? 0 : entry.listed.answeredAt();
        entry.listed = answeredAt > 0 ? node.withAnsweredAt(answeredAt) : node;
        if (startedAt == 0 && entry.startedAt > NodeEntry.WARM) {
            entry.listed = entry.listed.withStartedAt(entry.startedAt);
        }
        entry.withheldAt = Double.NaN;
        entry.confirmedThisRun = true;
        entry.listedInSnapshot = true;
        if (status == Director.IN_SERVICE) listedInService++;
        if (status == Director.REMOVED) entry.reason = "discovery reported it removed";
        else claimAddress(entry, now);
        persist(entry, status != Director.IN_SERVICE);
        settle(entry, now, moved || restarted);
    }

    /** An address has one node: the one listed last. The node that had it before is removed. */
    private void claimAddress(NodeEntry entry, double now) {
        NodeEntry previous = entriesByAddress.put(entry.listed.address(), entry);
        if (previous == null || previous == entry || previous.listed.status() == Director.REMOVED) return;
        remove(previous, "its address now belongs to " + entry.listed.id(), now);
    }

    /**
     * Ends the update. Nothing is sent from now on to a node that a snapshot omits, even where the snapshot is shrunk
     * (rule 3 of the operators has no exception). The nodes missing from a shrunk snapshot are withheld for a while
     * before they are removed, so that a list corrected soon finds them unchanged.
     *
     * <p>An empty snapshot lists no node of this fleet, not even its origin, so it is not evidence of any drain. The
     * known nodes stay and age, and count as unconfirmed until discovery lists them again.
     */
    public UpdateResult listFinished(double now) {
        if (drainsOnly) return UpdateResult.DRAINS_ONLY;
        if (readingSnapshot && !hasEntries && usableBefore > 0) {
            for (NodeEntry entry : entriesById.values()) {
                if (entry.listed.status() != Director.IN_SERVICE) continue;
                entry.listed = entry.listed.unconfirmed(confirmedAt);
                persist(entry, false);
            }
            return countResult(UpdateResult.EMPTY);
        }
        UpdateResult result = UpdateResult.APPLIED;
        if (readingSnapshot) {
            boolean shrunk = usableBefore >= MIN_NODES_FOR_SHRINK_CHECK
                && listedInService < limits.shrunkBelow() * usableBefore;
            dropUnlisted(shrunk, now);
            if (shrunk) result = countResult(UpdateResult.SHRUNK);
        }
        listAppliedThisRun = true;
        dirty = true;
        confirm(now);
        return result;
    }

    /** Removes the nodes that the snapshot omits, or withholds them where it is shrunk. */
    private void dropUnlisted(boolean shrunk, double now) {
        for (NodeEntry entry : new ArrayList<>(entriesById.values())) {
            if (entry.listedInSnapshot || entry.listed.status() == Director.REMOVED) continue;
            unlistedCount++;
            if (!shrunk) {
                remove(entry, "missing from a discovery snapshot", now);
            } else if (Double.isNaN(entry.withheldAt)) {
                entry.withheldAt = now;
                persist(entry, true);
                settle(entry, now);
            }
        }
    }

    /** How many nodes the last snapshot omitted. */
    public int unlistedCount() {
        return unlistedCount;
    }

    /** Records a purge of {@code object}, or of {@code group} where {@code object} is -1, issued at {@code at}. */
    public void purged(long event, long object, int group, double at, double now) {
        if (event <= lastEvent && !discoveryBehind) return;
        lastEvent = Math.max(lastEvent, event);
        purges.removeIf(purge -> now - purge.at() > purgeRetentionMs);
        purges.add(new Purge(object, group, at));
        dirty = true;
        urgent = true;
    }

    /**
     * Discovery reports {@code event} as its last. If that is the last event applied here, it confirms the list. If it
     * is earlier, discovery is behind the known list and confirms nothing.
     *
     * @return false where discovery is behind
     */
    public boolean confirmUpTo(long event, double now) {
        discoveryBehind = event < lastEvent;
        if (discoveryBehind) return false;
        // Before the first event of a numbering the list is from an earlier one, of which the heartbeat says nothing.
        if (event == lastEvent && lastEvent > 0) confirm(now);
        return true;
    }

    /** Whether the last event that discovery reports is earlier than the last one applied here. */
    public boolean discoveryBehind() {
        return discoveryBehind;
    }

    /**
     * Drops the list if discovery is behind it and no known node is usable: an older discovery is then better than
     * none.
     *
     * @return true where the list was dropped
     */
    public boolean resetIfUnusable(long event, double now) {
        if (event >= lastEvent) return false;
        if (entriesById.values().stream().anyMatch(entry -> entry.state.usable())) return false;
        reset(now);
        countResult(UpdateResult.STARTED_OVER);
        return true;
    }

    private void confirm(double now) {
        boolean late = now - confirmedAt > limits.recentMs();
        confirmedAt = now;
        for (NodeEntry entry : entriesById.values()) {
            if (!entry.listed.confirmed()) continue;
            if (entry.confirmedThisRun && !late) continue;
            // No event is newer than the last one applied here, so every entry is confirmed as if listed again.
            entry.confirmedThisRun = true;
            if (entry.listed.status() == Director.IN_SERVICE) entry.startedAt = reportedStart(entry);
            settle(entry, now);
        }
    }

    private static double reportedStart(NodeEntry entry) {
        return entry.listed.startedAt() != 0 ? entry.listed.startedAt() : NodeEntry.WARM;
    }

    /** Removes all nodes and restarts event numbering: only what discovery reports next is used. */
    private void reset(double now) {
        for (NodeEntry entry : new ArrayList<>(entriesById.values())) {
            if (entry.listed.status() != Director.REMOVED) {
                remove(entry, "the list was reset to an older discovery state", now);
            }
        }
        numbering++;
        lastEvent = 0;
        discoveryBehind = false;
        confirmedAt = Double.NEGATIVE_INFINITY;
    }

    // ---- evidence from the nodes ----

    /**
     * Uses the end of a hop as evidence about its node and about the fill source that the node named. A hop that
     * failed only because of another hop's fault is no evidence.
     *
     * @param source id of the fill source; null where there is none
     * @param outcome how the hop ended, a constant of {@link Director}
     * @param note what the node added to the outcome, a constant of {@link Director}
     * @param silent whether nothing was received from the node since the hop was sent
     */
    public void hopEnded(String node, String source, int outcome, int note, boolean silent, double now) {
        switch (outcome) {
            case Director.SUCCEEDED, Director.MISS, Director.REJECTED, Director.ERROR -> nodeAnswered(node, now);
            case Director.CONNECT_FAILED, Director.CONNECTION_LOST -> {
                if (note != Director.COLLATERAL_FAILURE) nodeFailed(node, outcome == Director.CONNECT_FAILED, now);
            }
            case Director.TIMED_OUT -> {
                if (silent) nodeFailed(node, false, now);
            }
            default -> { }
        }
        if (source == null) return;
        switch (note) {
            case Director.FILLED, Director.FILLED_BY_ORIGIN, Director.SOURCE_REJECTED, Director.SOURCE_MISS ->
                nodeAnswered(source, now);
            case Director.SOURCE_UNREACHABLE -> nodeFailed(source, true, now);
            default -> { }
        }
    }

    /** Records that the node answered. */
    public void nodeAnswered(String id, double now) {
        NodeEntry entry = entriesById.get(id);
        if (entry == null) return;
        boolean justStarted = entry.answered(now, limits);
        double saveAfterMs = limits.recentMs() / ANSWER_SAVES_PER_RECENT_AGE;
        if (justStarted || now - entry.listed.answeredAt() > saveAfterMs) {
            ListedNode answered = entry.listed.withAnsweredAt(now);
            entry.listed = justStarted ? answered.withStartedAt(now) : answered;
            persist(entry, false);
        }
        if (entry.state != NodeState.TOLD) settle(entry, now);
    }

    /**
     * Records that the node failed.
     *
     * @param refused whether no connection could be established; otherwise one was reset, or timed out, during a hop
     */
    public void nodeFailed(String id, boolean refused, double now) {
        NodeEntry entry = entriesById.get(id);
        if (entry == null) return;
        entry.failed(refused, now, limits, random.nextDouble());
        if (entry.state != NodeState.TOLD) settle(entry, now);
    }

    // ---- time ----

    /** Re-evaluates all entries and drops expired ones; to be called about once a second. */
    public void tick(double now) {
        for (NodeEntry entry : entriesById.values()) settle(entry, now);
        boolean dropped = entriesById.values().removeIf(entry -> {
            if (!expired(entry, now)) return false;
            if (entry.listed.status() != Director.REMOVED) remove(entry, "last listed too long ago", now);
            persistedNodes = persistedNodes.minus(entry.listed.id());
            return true;
        });
        dirty |= dropped | purges.removeIf(purge -> now - purge.at() > purgeRetentionMs);
    }

    /** Whether the entry is unused and was last listed or confirmed more than twice the old age ago. */
    private boolean expired(NodeEntry entry, double now) {
        if (entry.state.usable() || entry.state == NodeState.REFUSED) return false;
        boolean confirmed = entry.listed.status() == Director.IN_SERVICE && entry.listed.confirmed();
        return now - Math.max(entry.listed.listedAt(), confirmed ? confirmedAt : 0) > 2 * limits.oldMs();
    }

    private void remove(NodeEntry entry, String reason, double now) {
        entry.listed = entry.listed.withStatus(Director.REMOVED, now);
        entry.reason = reason;
        entry.withheldAt = Double.NaN;
        entriesByAddress.remove(entry.listed.address(), entry);
        persist(entry, true);
        settle(entry, now);
    }

    private void settle(NodeEntry entry, double now) {
        settle(entry, now, false);
    }

    /** Moves the entry to its current state and reports the change; {@code force} reports an unchanged state too. */
    private void settle(NodeEntry entry, double now, boolean force) {
        NodeState was = entry.state;
        NodeState is = entry.evaluate(now, confirmedAt, limits);
        if (is == was && !force) return;
        // A node that was withheld for too long is removed for good.
        if (is == NodeState.GONE && entry.listed.status() != Director.REMOVED) {
            remove(entry, entry.reason, now);
            return;
        }
        entry.state = is;
        transitionCounts[was == null ? is.ordinal() : was.ordinal()][is.ordinal()]++;
        if (is == NodeState.OLD) entry.markUnconfirmed(now);
        listener.stateChanged(entry.listed, was, is, entry.startedAt, entry.reason);
    }

    private void persist(NodeEntry entry, boolean isUrgent) {
        persistedNodes = persistedNodes.plus(entry.listed.id(), entry.listed);
        dirty = true;
        urgent |= isUrgent;
    }

    // ---- saved state and inspection ----

    /** Whether something to be saved changed since the last call. */
    public boolean takeDirty() {
        boolean was = dirty;
        dirty = false;
        return was;
    }

    /** Whether there was a drain, a removal or a purge since the last call. */
    public boolean takeUrgent() {
        boolean was = urgent;
        urgent = false;
        return was;
    }

    /** What to save now. Withheld nodes are saved as removed: a restart does not wait for them. */
    public MembershipSnapshot snapshot(String fleet, String director, double now) {
        PMap<String, ListedNode> nodes = persistedNodes;
        for (NodeEntry entry : entriesById.values()) {
            if (entry.state == NodeState.WITHHELD) {
                nodes = nodes.plus(entry.listed.id(), entry.listed.withStatus(Director.REMOVED, entry.withheldAt));
            }
        }
        return new MembershipSnapshot(fleet, director, now, numbering, lastEvent, confirmedAt, nodes,
            List.copyOf(purges));
    }

    /** The node's state; null for an unknown node. */
    public NodeState stateOf(String id) {
        NodeEntry entry = entriesById.get(id);
        return entry == null ? null : entry.state;
    }

    /** Why the node is in its state, for operators. */
    public String reason(String id) {
        NodeEntry entry = entriesById.get(id);
        return entry == null ? "unknown node" : entry.reason;
    }

    /** What is known of all nodes, removed ones included. */
    public Collection<ListedNode> entries() {
        return entriesById.values().stream().map(entry -> entry.listed).toList();
    }

    /** How many entries are in the state. */
    public int count(NodeState state) {
        int count = 0;
        for (NodeEntry entry : entriesById.values()) {
            if (entry.state == state) count++;
        }
        return count;
    }

    /** When discovery last confirmed the whole list, Unix ms. */
    public double confirmedAt() {
        return confirmedAt;
    }

    /** How often entries went from one state to another; a new entry counts as going from its first state to itself. */
    public long transitionCount(NodeState from, NodeState to) {
        return transitionCounts[from.ordinal()][to.ordinal()];
    }

    /** How often updates had the result. */
    public long updateCount(UpdateResult result) {
        return updateCounts[result.ordinal()];
    }

    private UpdateResult countResult(UpdateResult result) {
        updateCounts[result.ordinal()]++;
        return result;
    }
}
