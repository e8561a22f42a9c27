package mothcross.net;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import mothcross.Director;
import mothcross.adapter.DirectorSettings;
import mothcross.membership.AgeLimits;
import mothcross.membership.ListedNode;
import mothcross.membership.Membership;
import mothcross.membership.MembershipSnapshot;
import mothcross.membership.NodeState;
import mothcross.membership.Purge;
import mothcross.membership.SnapshotFormat;
import mothcross.membership.StartingList;
import mothcross.membership.WriteScheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connects discovery, the membership, the dispatcher and the snapshot store: passes discovery updates and the outcome
 * of hops to the {@link Membership}, passes its state on to the director, writes the membership snapshot and logs
 * each change. The membership alone decides the state of a node.
 *
 * <p>Runs under the dispatcher's lock, except for the thread that writes snapshots: the disk is never waited for under
 * the lock. Ages go by the time elapsed since the start, so that a change of the system's clock ages nothing.
 */
final class PersistentMembership implements DiscoveryListener, HopObserver, Membership.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(PersistentMembership.class);
    private static final double TICK_INTERVAL_MS = 500;
    /** Changes of single nodes that are logged in one second; further ones are summed up. */
    private static final int MAX_NODE_LINES_PER_SECOND = 20;

    private record PendingChange(ListedNode entry, NodeState state, double coldSince) { }

    private final Dispatcher dispatcher;
    private final DirectorSettings settings;
    private final Membership membership;
    private final SnapshotPersistence persistence;
    private final SnapshotWorker writer;
    private final SnapshotWorker syncer;
    private final SnapshotStore store;
    private final String fleet;
    private final String director;
    private final double clockSkewMs;                       // used at the start only
    private final boolean hasWriteLock;
    private final double startedAt;
    private final long startedNanos = System.nanoTime();
    /** Changes for the director by node id, until the current batch ends. */
    private final Map<String, PendingChange> pendingChanges = new LinkedHashMap<>();
    private final Map<String, Integer> unloggedChanges = new HashMap<>();
    private final Map<SnapshotFormat.ReadError, Integer> readErrors = new EnumMap<>(SnapshotFormat.ReadError.class);
    private boolean discoveryHeard;
    private boolean discoveryLost = true;
    private boolean olderReported;
    private int linesInSecond;
    private long lineSecond;
    private int trustedCount;
    private int droppedCount;

    /** {@code startedAt} is the system's clock at the start, Unix ms; the age of a stored snapshot is judged by it. */
    PersistentMembership(Dispatcher dispatcher, AgeLimits ages, WriteScheduler writeScheduler, SnapshotStore store,
                         String fleet, String director, double startedAt) {
        this.dispatcher = dispatcher;
        this.settings = dispatcher.settings;
        this.clockSkewMs = ages.clockSkewMs();
        this.store = store;
        this.fleet = fleet;
        this.director = director;
        this.startedAt = startedAt;
        SplittableRandom random = new SplittableRandom(settings.edgeSeed);
        this.membership = new Membership(ages, settings.purgeRetentionMs, random, this);
        this.hasWriteLock = store.acquireWriteLock();
        this.writer = new SnapshotWorker("list", store::write, this::writeEnded);
        this.syncer = new SnapshotWorker("list-sync", store::sync, this::syncEnded);
        this.persistence = new SnapshotPersistence(writeScheduler, this::snapshot, writer::submit, syncer::submit);
        if (!hasWriteLock) {
            LOG.atWarn().addKeyValue("fleet", fleet).addKeyValue("director", director)
                .log("list: another director writes to this file; this one only reads it");
        }
    }

    private double now() {
        return startedAt + (System.nanoTime() - startedNanos) / 1e6;
    }

    Membership membership() {
        return membership;
    }

    SnapshotPersistence persistence() {
        return persistence;
    }

    // ---- start and reload ----

    /**
     * Restores the list that {@link StartingList} makes of the stored snapshot and the configured one.
     * {@code configured} is null where the configuration has no list.
     */
    void start(MembershipSnapshot configured) {
        double now = now();
        SnapshotFormat.Result stored = store.read(now, clockSkewMs);
        MembershipSnapshot kept = stored == null ? null : stored.snapshot();
        if (stored != null && stored.error() != null) {
            readErrors.merge(stored.error(), 1, Integer::sum);
            LOG.atWarn().addKeyValue("reason", stored.error()).log("list: snapshot not used: {}", stored.text());
        }
        MembershipSnapshot snapshot = StartingList.choose(configured, kept);
        if (snapshot != null) {
            membership.restore(snapshot, now);
            LOG.atInfo().addKeyValue("from", fromConfiguration(configured, kept) ? "configuration" : "disk")
                .addKeyValue("event", snapshot.lastEvent()).addKeyValue("boxes", snapshot.entries().size())
                .addKeyValue("age_s", Math.round((now - snapshot.confirmedAt()) / 1000))
                .addKeyValue("recent", membership.count(NodeState.RECENT))
                .addKeyValue("old", membership.count(NodeState.OLD))
                .addKeyValue("too_old", membership.count(NodeState.TOO_OLD)).log("list: snapshot read");
        } else {
            LOG.atInfo().log("list: no snapshot; all lookups wait for discovery");
        }
        // What the configuration told may be told by nobody again, and belongs to a new numbering.
        if (configured != null) persistence.changed(true, now);
        dispatcher.setHopObserver(this);
        dispatcher.processBatch(to -> {
            to.listStarted(Director.LIST_RESTORED);
            to.listFinished();
            applyPendingChanges(to);
            for (Purge purge : membership.purges()) {
                dispatcher.purged(to, purge.object(), purge.group(), purge.at());
            }
        });
        scheduleTick();
    }

    private static boolean fromConfiguration(MembershipSnapshot configured, MembershipSnapshot kept) {
        return kept == null || configured != null && !configured.entries().isEmpty();
    }

    private void scheduleTick() {
        dispatcher.timers.set(new Timers.Timer() {
            @Override void fire() {
                dispatcher.processBatch(to -> {
                    membership.tick(now());
                    applyPendingChanges(to);
                    if (hasWriteLock) persistence.checkBounds(now());
                });
                scheduleTick();
            }
        }, dispatcher.clock() + TICK_INTERVAL_MS);
    }

    /** Applies reloaded limits and write delays; file and fleet can change only with a restart. */
    void reload(AgeLimits ages, double urgentWriteDelayMs, double writeIntervalMs) {
        persistence.setBounds(urgentWriteDelayMs, writeIntervalMs);
        persistence.changed(false, now());
        dispatcher.processBatch(to -> {
            membership.setAgeLimits(ages, now());
            applyPendingChanges(to);
        });
    }

    // ---- updates of discovery ----

    @Override public long lastEvent() {
        return membership.lastEvent();
    }

    @Override public boolean acceptsRepeated(boolean snapshot) {
        return snapshot || membership.discoveryBehind();
    }

    @Override public boolean listStarted(Director to, long event, int updateKind) {
        Membership.UpdateResult result = membership.listStarted(event, updateKind != Director.LIST_DELTA, now());
        switch (result) {
            case OLDER -> reportOlder(event);
            case STARTED_OVER -> LOG.atWarn().addKeyValue("event", event)
                .log("list: discovery is older than the known list, which is too old to use: replaced by discovery's");
            default -> { }
        }
        return result == Membership.UpdateResult.APPLIED || result == Membership.UpdateResult.STARTED_OVER
            || result == Membership.UpdateResult.DRAINS_ONLY;
    }

    private void reportOlder(long event) {
        if (olderReported) return;
        olderReported = true;
        LOG.atWarn().addKeyValue("event", event).addKeyValue("known", membership.lastEvent())
            .log("list: discovery is behind the known list; its list is not applied");
    }

    @Override public void nodeListed(Director to, String id, InetSocketAddress address, int zone, int kind, int cell,
                                     int status, double units, double startedAt) {
        membership.nodeListed(id, address.getHostString(), address.getPort(), name(settings.zones, zone),
            name(settings.kinds, kind), cell, status, units, startedAt, now());
    }

    private static String name(List<String> names, int index) {
        return index >= 0 && index < names.size() ? names.get(index) : "?" + index;
    }

    @Override public void listFinished(Director to) {
        int trustedBefore = trustedCount;
        int droppedBefore = droppedCount;
        Membership.UpdateResult result = membership.listFinished(now());
        if (result == Membership.UpdateResult.SHRUNK) {
            LOG.atWarn().addKeyValue("missing", membership.unlistedCount())
                .log("list: far fewer nodes than before; the missing ones get no new work but are not removed");
        } else if (result == Membership.UpdateResult.EMPTY) {
            LOG.atWarn().log("list: discovery sent an empty one; the known list stays and ages");
        }
        if (result != Membership.UpdateResult.EMPTY) {
            discoveryConfirmed(trustedCount - trustedBefore, droppedCount - droppedBefore);
        }
        applyPendingChanges(to);
    }

    @Override public void purged(Director to, long event, long object, int group, double at) {
        membership.purged(event, object, group, at, now());
        dispatcher.purged(to, object, group, at);
        applyPendingChanges(to);
    }

    @Override public boolean heartbeat(Director to, long event) {
        int trustedBefore = trustedCount;
        int droppedBefore = droppedCount;
        if (!membership.confirmUpTo(event, now())) {
            reportOlder(event);
            return membership.resetIfUnusable(event, now());
        }
        if (event == membership.lastEvent()) {
            discoveryConfirmed(trustedCount - trustedBefore, droppedCount - droppedBefore);
        }
        applyPendingChanges(to);
        return false;
    }

    @Override public void connectionLost(String reason) {
        if (discoveryLost) return;
        discoveryLost = true;
        LOG.atInfo().addKeyValue("why", reason).addKeyValue("event", membership.lastEvent())
            .log("list: connection to discovery lost; the list ages from now on");
    }

    private void discoveryConfirmed(int newlyTrusted, int newlyDropped) {
        olderReported = false;
        if (!discoveryLost) return;
        discoveryLost = false;
        LOG.atInfo().addKeyValue("event", membership.lastEvent()).addKeyValue("first", !discoveryHeard)
            .addKeyValue("trusted", newlyTrusted).addKeyValue("dropped", newlyDropped)
            .log("list: discovery is available");
        discoveryHeard = true;
    }

    // ---- outcome of hops ----

    @Override public void hopEnded(Hop hop) {
        String sourceId = hop.source == hop.node ? null : hop.source.id;
        membership.hopEnded(hop.node.id, sourceId, hop.outcome, hop.note, hop.node.lastReceivedAt < hop.sentAt, now());
    }

    @Override public void roundFinished(Director to) {
        applyPendingChanges(to);
    }

    // ---- changes for the director and the log ----

    @Override public void stateChanged(ListedNode entry, NodeState before, NodeState after, double coldSince,
                                  String reason) {
        pendingChanges.put(entry.id(), new PendingChange(entry, after, coldSince));
        boolean first = before == null;
        boolean nowInService = after.directorStatus == Director.IN_SERVICE;
        if (nowInService && !first && before.directorStatus != Director.IN_SERVICE) trustedCount++;
        if (!after.usable() && !first && before.usable()) droppedCount++;
        if (!(first && after != NodeState.TOLD)) logChange(entry, before, after, reason);
    }

    /** Logs one line for a node; where many change within a second, further ones are logged as a count. */
    private void logChange(ListedNode entry, NodeState before, NodeState after, String reason) {
        long second = System.nanoTime() / 1_000_000_000L;
        if (second != lineSecond) {
            unloggedChanges.forEach((change, count) -> LOG.atInfo().addKeyValue("boxes", count)
                .log("list: {}", change));
            unloggedChanges.clear();
            linesInSecond = 0;
            lineSecond = second;
        }
        String change = (before == null ? "new" : before) + " to " + after;
        if (linesInSecond++ >= MAX_NODE_LINES_PER_SECOND) {
            unloggedChanges.merge(change, 1, Integer::sum);
            return;
        }
        LOG.atInfo().addKeyValue("box", entry.id()).addKeyValue("address", entry.address())
            .addKeyValue("why", reason).log("list: {}", change);
    }

    /** Within a batch: passes pending changes to the director as a list update, then schedules the next write. */
    private void applyPendingChanges(Director to) {
        if (!pendingChanges.isEmpty()) {
            List<PendingChange> changes = new ArrayList<>(pendingChanges.values());
            pendingChanges.clear();
            dispatcher.listStarted(to, Director.LIST_DELTA);
            for (PendingChange change : changes) {
                ListedNode node = change.entry;
                int zone = settings.zones.indexOf(node.zone());
                int kind = settings.kinds.indexOf(node.kind());
                // A node of a zone or kind that the settings no longer have can't be used.
                int status = zone < 0 || kind < 0 ? Director.REMOVED : change.state.directorStatus;
                InetSocketAddress address = new InetSocketAddress(node.host(), node.port());
                dispatcher.nodeListed(to, node.id(), address, zone, kind, node.cell(), status, node.units(),
                    change.coldSince);
            }
            dispatcher.listFinished(to);
        }
        double now = now();
        boolean urgent = membership.takeUrgent();
        if (membership.takeDirty() || urgent) persistence.changed(urgent, now);
        storeWhatIsDue();
    }

    // ---- storing the snapshot ----

    private final Timers.Timer storeTimer = new Timers.Timer() {
        @Override void fire() {
            storeWhatIsDue();
        }
    };

    private void storeWhatIsDue() {
        if (!hasWriteLock) return;
        double now = now();
        double nextAt = persistence.advance(now);
        if (nextAt == Double.POSITIVE_INFINITY) dispatcher.timers.cancel(storeTimer);
        else dispatcher.timers.set(storeTimer, dispatcher.clock() + nextAt - now);
    }

    private MembershipSnapshot snapshot(double now) {
        return membership.snapshot(fleet, director, Math.max(now, System.currentTimeMillis()));
    }

    private void writeEnded(SnapshotWorker.Outcome outcome) {
        dispatcher.runLocked(() -> {
            persistence.writeEnded(outcome, now());
            storeWhatIsDue();
        });
    }

    private void syncEnded(SnapshotWorker.Outcome outcome) {
        dispatcher.runLocked(() -> {
            persistence.syncEnded(outcome, now());
            storeWhatIsDue();
        });
    }

    /** Writes and syncs a last snapshot where there are changes; waits at most {@code timeoutMs}. */
    void stop(long timeoutMs) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        dispatcher.runLocked(() -> {
            double now = now();
            if (membership.takeDirty()) persistence.changed(true, now);
            if (hasWriteLock) persistence.flush(now);
        });
        // The writer hands over to the syncer, so it ends first.
        writer.stop();
        boolean written = writer.join(timeoutMs);
        syncer.stop();
        long leftMs = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
        boolean synced = written && syncer.join(leftMs);
        if (!synced) {
            LOG.atWarn().addKeyValue("waited_ms", timeoutMs).addKeyValue("written", written)
                .log("list: the process ends before its last changes are synced");
        }
        if (synced) store.close();
    }

    /** Stops without a last write, as a kill of the process would. */
    void kill() {
        writer.stopAndDiscard();
        syncer.stopAndDiscard();
        try {
            writer.join();
            syncer.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        store.close();
    }

    /** The membership's part of the line of counters in the log. */
    String counterLine() {
        StringBuilder line = new StringBuilder("; list:");
        for (NodeState state : NodeState.values()) {
            int count = membership.count(state);
            if (count > 0) line.append(' ').append(state.label()).append(' ').append(count);
        }
        line.append(", event ").append(membership.lastEvent()).append(", ").append(persistence.counterText());
        for (Membership.UpdateResult result : Membership.UpdateResult.values()) {
            boolean shown = result != Membership.UpdateResult.APPLIED && membership.updateCount(result) > 0;
            if (shown) {
                line.append(", ").append(result.name().toLowerCase(Locale.ROOT)).append(' ')
                    .append(membership.updateCount(result));
            }
        }
        readErrors.forEach((error, count) -> line.append(", refused ").append(error.name().toLowerCase(Locale.ROOT))
            .append(' ').append(count));
        return line.toString();
    }
}
