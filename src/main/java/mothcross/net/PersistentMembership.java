package mothcross.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import mothcross.Director;
import mothcross.adapter.DirectorSettings;
import mothcross.membership.AgeLimits;
import mothcross.membership.ListedNode;
import mothcross.membership.Membership;
import mothcross.membership.MembershipSnapshot;
import mothcross.membership.NodeState;
import mothcross.membership.Purge;
import mothcross.membership.SnapshotFormat;
import mothcross.membership.WriteScheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Between discovery, the membership and the desk: carries news and evidence in, what is believed out to the
 * module, the kept list to its keeper by a thread of its own, and each change to the log. Owns that thread and the
 * clock of ages, which goes by elapsed time since the start so that a clock set anew ages nothing. Must never decide
 * what is believed, and never wait for the disk under the desk's lock.
 */
final class PersistentMembership implements DiscoveryListener, HopObserver, Membership.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(PersistentMembership.class);
    private static final double TICK_MS = 500;
    private static final int MOST_LINES = 20;               // of single boxes in a second; the rest is summed up

    private record Change(ListedNode entry, NodeState is, double coldSince) { }

    private final Dispatcher desk;
    private final DirectorSettings opening;
    private final Membership membership;
    private WriteScheduler plan;
    private final SnapshotStore keeper;
    private final String fleet, director;
    private final double skewMs;                        // asked for at the start only
    private final boolean writes;
    private final double startedAt;
    private final long startedNano = System.nanoTime();
    // What the module is to be told, by id, until the round that is under way ends.
    private final Map<String, Change> pending = new LinkedHashMap<>();
    private final Map<String, Integer> summed = new HashMap<>();
    private final Map<SnapshotFormat.ReadError, Integer> refused = new EnumMap<>(SnapshotFormat.ReadError.class);
    private final Thread writer;
    private MembershipSnapshot toWrite;                     // guarded by this
    private boolean stopped;                                // guarded by this
    private boolean heardOfDiscovery, silent = true, saidOlder, stayed = true;
    private int lines, trusted, dropped;
    private long linesSince;
    long writesCompleted, writesFailed;

    /** {@code wall} is the system's clock at the start, by which a list from the disk is judged. */
    PersistentMembership(Dispatcher desk, AgeLimits ages, WriteScheduler plan, SnapshotStore keeper, String fleet,
                         String director, double wall) {
        this.desk = desk;
        this.opening = desk.settings;
        this.skewMs = ages.clockSkewMs();
        this.plan = plan;
        this.keeper = keeper;
        this.fleet = fleet;
        this.director = director;
        this.startedAt = wall;
        this.membership = new Membership(ages, opening.purgeRetentionMs, new SplittableRandom(opening.edgeSeed), this);
        this.writes = keeper.acquireWriteLock();
        this.writer = new Thread(this::writeAll, "list");
        writer.setDaemon(true);
        writer.start();
        if (!writes) {
            LOG.atWarn().addKeyValue("fleet", fleet).addKeyValue("director", director)
                .log("list: another director writes to this file; this one only reads it");
        }
    }

    private double now() {
        return startedAt + (System.nanoTime() - startedNano) / 1e6;
    }

    Membership membership() {
        return membership;
    }

    // ---- the start ----

    /** What rests on disk, or what the told file knows ({@code known}, null where it has none), whichever is newer. */
    void start(MembershipSnapshot known) {
        double now = now();
        SnapshotFormat.Result disk = keeper.read(now, skewMs);
        MembershipSnapshot kept = disk == null ? null : disk.snapshot();
        if (disk != null && disk.error() != null) {
            refused.merge(disk.error(), 1, Integer::sum);
            LOG.atWarn().addKeyValue("reason", disk.error()).log("list: not used: {}", disk.text());
        }
        if (known != null && (kept == null || known.lastEvent() > kept.lastEvent())) kept = known;
        if (kept != null) {
            membership.restore(kept, now);
            LOG.atInfo().addKeyValue("from", kept == known ? "told file" : "disk")
                .addKeyValue("event", kept.lastEvent()).addKeyValue("boxes", kept.entries().size())
                .addKeyValue("age_s", Math.round((now - kept.confirmedAt()) / 1000))
                .addKeyValue("recent", membership.count(NodeState.RECENT))
                .addKeyValue("old", membership.count(NodeState.OLD))
                .addKeyValue("too_old", membership.count(NodeState.TOO_OLD)).log("list: read");
        } else {
            LOG.atInfo().log("list: none; all lookups wait for discovery");
        }
        desk.setHopObserver(this);
        desk.processBatch(to -> {
            to.listStarted(Director.LIST_RESTORED);
            to.listFinished();
            flush(to);
            for (Purge p : membership.purges()) desk.purged(to, p.object(), p.group(), p.at());
        });
        tick();
    }

    private void tick() {
        desk.timers.set(new Timers.Timer() {
            @Override void fire() {
                desk.processBatch(to -> {
                    membership.tick(now());
                    flush(to);
                });
                tick();
            }
        }, desk.clock() + TICK_MS);
    }

    /** The operators' figures anew; the file and the fleet stay until the next start. */
    void reload(AgeLimits anew, WriteScheduler times) {
        plan = times;
        plan.changed(false, now());
        desk.processBatch(to -> {
            membership.setAgeLimits(anew, now());
            flush(to);
        });
    }

    // ---- news ----

    @Override public long lastEvent() {
        return membership.lastEvent();
    }

    @Override public boolean acceptsRepeated(boolean wholeList) {
        return wholeList || membership.discoveryBehind();
    }

    @Override public boolean listStarted(Director to, long number, int news) {
        Membership.UpdateResult taken = membership.listStarted(number, news != Director.LIST_DELTA, now());
        switch (taken) {
            case OLDER -> older(number);
            case STARTED_OVER -> LOG.atWarn().addKeyValue("event", number)
                .log("list: discovery is older than what was known, which is too old itself: started over");
            default -> { }
        }
        return taken == Membership.UpdateResult.APPLIED || taken == Membership.UpdateResult.STARTED_OVER
            || taken == Membership.UpdateResult.DRAINS_ONLY;
    }

    private void older(long number) {
        if (saidOlder) return;
        saidOlder = true;
        LOG.atWarn().addKeyValue("event", number).addKeyValue("known", membership.lastEvent())
            .log("list: discovery is behind what is known; its list is not taken");
    }

    @Override public void nodeListed(Director to, String id, InetSocketAddress address, int place, int kind, int cell,
                                 int standing, double units, double startedAt) {
        membership.nodeListed(id, address.getHostString(), address.getPort(), name(opening.zones, place),
            name(opening.kinds, kind), cell, standing, units, startedAt, now());
    }

    private static String name(List<String> names, int at) {
        return at >= 0 && at < names.size() ? names.get(at) : "?" + at;
    }

    @Override public void listFinished(Director to) {
        int before = trusted, lost = dropped;
        Membership.UpdateResult taken = membership.listFinished(now());
        if (taken == Membership.UpdateResult.SHRUNK) {
            LOG.atWarn().addKeyValue("missing", membership.unlistedCount())
                .log("list: shrank strongly; what is missing gets nothing new and is withheld, not forgotten");
        } else if (taken == Membership.UpdateResult.EMPTY) {
            LOG.atWarn().log("list: discovery sent an empty one; what was known stays and ages");
        }
        if (taken != Membership.UpdateResult.EMPTY) back(trusted - before, dropped - lost);
        flush(to);
    }

    @Override public void purged(Director to, long number, long object, int group, double at) {
        membership.purged(number, object, group, at, now());
        desk.purged(to, object, group, at);
        flush(to);
    }

    @Override public boolean heartbeat(Director to, long number) {
        int before = trusted, lost = dropped;
        if (!membership.confirmUpTo(number, now())) {
            older(number);
            return membership.resetIfUnusable(number, now());
        }
        if (number == membership.lastEvent()) back(trusted - before, dropped - lost);
        flush(to);
        return false;
    }

    @Override public void connectionLost(String why) {
        if (silent) return;
        silent = true;
        LOG.atInfo().addKeyValue("why", why).addKeyValue("event", membership.lastEvent())
            .log("list: discovery is silent; the list ages from now on");
    }

    private void back(int trustedNow, int droppedNow) {
        saidOlder = false;
        if (!silent) return;
        silent = false;
        LOG.atInfo().addKeyValue("event", membership.lastEvent()).addKeyValue("first", !heardOfDiscovery)
            .addKeyValue("trusted", trustedNow).addKeyValue("dropped", droppedNow).log("list: discovery is back");
        heardOfDiscovery = true;
    }

    // ---- evidence ----

    @Override public void hopEnded(Hop h) {
        String source = h.source == h.node ? null : h.source.id;
        membership.hopEnded(h.node.id, source, h.outcome, h.note, h.node.lastReceivedAt < h.sentAt, now());
    }

    @Override public void roundFinished(Director to) {
        flush(to);
    }

    // ---- what is believed, to the module ----

    @Override public void stateChanged(ListedNode entry, NodeState was, NodeState is, double coldSince, String why) {
        pending.put(entry.id(), new Change(entry, is, coldSince));
        boolean first = was == null;
        if (is.directorStatus == Director.IN_SERVICE && !first && was.directorStatus != Director.IN_SERVICE) trusted++;
        if (!is.usable() && !first && was.usable()) dropped++;
        if (!(first && is != NodeState.TOLD)) say(entry, was, is, why);
    }

    /** One line for a box; where very many change at once, their number. */
    private void say(ListedNode entry, NodeState was, NodeState is, String why) {
        long second = System.nanoTime() / 1_000_000_000L;
        if (second != linesSince) {
            summed.forEach((what, n) -> LOG.atInfo().addKeyValue("boxes", n).log("list: {}", what));
            summed.clear();
            lines = 0;
            linesSince = second;
        }
        String what = (was == null ? "new" : was) + " to " + is;
        if (lines++ >= MOST_LINES) {
            summed.merge(what, 1, Integer::sum);
            return;
        }
        LOG.atInfo().addKeyValue("box", entry.id()).addKeyValue("address", entry.address())
            .addKeyValue("why", why).log("list: {}", what);
    }

    /** Within the module's round: what has changed, as changes of the list; then the disk's turn is set. */
    private void flush(Director to) {
        if (!pending.isEmpty()) {
            List<Change> all = new ArrayList<>(pending.values());
            pending.clear();
            desk.listStarted(to, Director.LIST_DELTA);
            for (Change c : all) {
                ListedNode t = c.entry;
                int place = opening.zones.indexOf(t.zone()), kind = opening.kinds.indexOf(t.kind());
                // A box of a place or kind that the settings no longer have can't be used.
                int use = place < 0 || kind < 0 ? Director.REMOVED : c.is.directorStatus;
                desk.nodeListed(to, t.id(), new InetSocketAddress(t.host(), t.port()), place, kind, t.cell(), use,
                    t.units(), c.coldSince);
            }
            desk.listFinished(to);
        }
        double now = now();
        boolean urgent = membership.takeUrgent();
        if (membership.takeDirty() || urgent) plan.changed(urgent, now);
        writeWhenDue(now);
    }

    // ---- the disk ----

    private final Timers.Timer due = new Timers.Timer() {
        @Override void fire() {
            writeWhenDue(now());
        }
    };

    private void writeWhenDue(double now) {
        double at = plan.nextWriteAt();
        if (!writes || at == Double.POSITIVE_INFINITY) return;
        if (at > now) {
            desk.timers.set(due, desk.clock() + at - now);
            return;
        }
        desk.timers.cancel(due);
        plan.writeStarted(now);
        MembershipSnapshot kept = membership.snapshot(fleet, director, Math.max(now, System.currentTimeMillis()));
        synchronized (this) {
            toWrite = kept;
            notifyAll();
        }
    }

    private void writeAll() {
        while (true) {
            MembershipSnapshot kept;
            synchronized (this) {
                try {
                    while (toWrite == null && !stopped) wait();
                } catch (InterruptedException e) {
                    return;
                }
                if (toWrite == null) {
                    keeper.close();
                    return;
                }
                kept = toWrite;
                toWrite = null;
            }
            String why = null;
            try {
                keeper.write(kept);
            } catch (IOException | RuntimeException e) {
                why = e.getClass().getSimpleName() + ": " + e.getMessage();
            }
            String failed = why;
            desk.runLocked(() -> written(failed));
        }
    }

    private void written(String failed) {
        double now = now();
        plan.writeEnded(failed == null, now);
        if (failed == null) {
            writesCompleted++;
            if (!stayed) LOG.atInfo().log("list: written again");
            stayed = true;
        } else {
            writesFailed++;
            if (stayed) LOG.atWarn().addKeyValue("why", failed).log("list: can't be written; what it holds grows old");
            stayed = false;
        }
        writeWhenDue(now);
    }

    /** Writes what is still to be written, then lets go of the file; waits for it no longer than so many ms. */
    void stop(long patienceMs) throws InterruptedException {
        desk.runLocked(() -> {
            double now = now();
            if (membership.takeDirty()) plan.changed(true, now);
            boolean left = writes && plan.nextWriteAt() != Double.POSITIVE_INFINITY;
            synchronized (this) {
                if (left) toWrite = membership.snapshot(fleet, director, Math.max(now, System.currentTimeMillis()));
                if (left) plan.writeStarted(now);
                stopped = true;
                notifyAll();
            }
        });
        writer.join(patienceMs);
    }

    /** As if killed: nothing more is written. */
    void kill() {
        synchronized (this) {
            toWrite = null;
            stopped = true;
            notifyAll();
        }
        try {
            writer.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** For the line of counters. */
    String counterLine() {
        StringBuilder s = new StringBuilder("; list:");
        for (NodeState x : NodeState.values()) {
            int n = membership.count(x);
            if (n > 0) s.append(' ').append(x.label()).append(' ').append(n);
        }
        s.append(", event ").append(membership.lastEvent()).append(", written ").append(writesCompleted).append(" (failed ")
            .append(writesFailed).append(')');
        for (Membership.UpdateResult t : Membership.UpdateResult.values()) {
            boolean told = t != Membership.UpdateResult.APPLIED && membership.updateCount(t) > 0;
            if (told) {
                s.append(", ").append(t.name().toLowerCase(Locale.ROOT)).append(' ').append(membership.updateCount(t));
            }
        }
        refused.forEach((r, n) -> s.append(", refused ").append(r.name().toLowerCase(Locale.ROOT)).append(' ')
            .append(n));
        return s.toString();
    }
}
