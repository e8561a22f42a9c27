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
 * What is believed about the boxes of the fleet while discovery may be down: the list, how old each entry's
 * word is, what the boxes show of themselves, and what news changes. States and moves stand at {@link NodeEntry}
 * and {@link NodeState}. It is told the time, the chance and all news, and says through {@link Listener} what
 * changes for the module. Must never read a clock, a file or a socket, never apply an event twice, and never
 * hold up or soften a drain.
 */
public final class Membership {
    /** What the module, the log and the disk are told. */
    public interface Listener {
        /** The entry's use, address or start is another one than was said before. */
        void stateChanged(ListedNode entry, NodeState was, NodeState is, double coldSince, String why);
    }

    /** What became of a list or event of discovery. */
    public enum UpdateResult { APPLIED, KNOWN_ALREADY, OLDER, EMPTY, SHRUNK, STARTED_OVER, DRAINS_ONLY }

    private static final int FEW = 4;                       // so many cannot shrink strongly
    private static final double NOTED_PART = 10;            // an answer is noted down after a tenth of the recent age

    private AgeLimits ages;
    private final SplittableRandom chance;
    private final Listener changes;
    private final double purgesRunMs;
    private final Map<String, NodeEntry> beliefs = new LinkedHashMap<>();  // by id; what is gone leaves by age
    private final Map<String, NodeEntry> byAddress = new HashMap<>();      // the one box that is at an address
    private final List<Purge> purges = new ArrayList<>();                  // in the order told; run out by time
    private PMap<String, ListedNode> kept = HashTreePMap.empty();
    private long lastEvent;
    private double confirmedAt = Double.NEGATIVE_INFINITY;      // discovery stood behind the whole list
    private boolean everTold;                               // any list in this run
    private boolean urgent, dirty;
    // The list being read.
    private boolean whole, sawAny, discoveryBehind, drainsOnly;
    private int namedInService, inServiceBefore, unlistedCount;
    private final long[][] moves = new long[NodeState.values().length][NodeState.values().length];
    private final long[] taken = new long[UpdateResult.values().length];

    /** A purge is kept for {@code purgesRunMs} after it was issued. */
    public Membership(AgeLimits ages, double purgesRunMs, SplittableRandom chance, Listener changes) {
        this.ages = ages;
        this.purgesRunMs = purgesRunMs;
        this.chance = chance;
        this.changes = changes;
    }

    /** Other figures hold from now on. */
    public void setAgeLimits(AgeLimits anew, double now) {
        ages = anew;
        tick(now);
    }

    // ---- the start ----

    /** What the disk holds. Nothing of it counts as told in this run. */
    public void restore(MembershipSnapshot from, double now) {
        lastEvent = from.lastEvent();
        confirmedAt = from.confirmedAt();
        for (ListedNode t : from.entries().values()) {
            NodeEntry b = new NodeEntry(t);
            beliefs.put(t.id(), b);
            if (t.status() != Director.REMOVED) byAddress.put(t.address(), b);
            // Never shown to the module before: warm unless the list said when it started.
            if (t.startedAt() == 0) b.startedAt = NodeEntry.WARM;
            settle(b, now);
        }
        for (Purge p : from.purges()) if (now - p.at() <= purgesRunMs) purges.add(p);
        kept = from.entries();
    }

    public List<Purge> purges() {
        return purges;
    }

    // ---- news of discovery ----

    public long lastEvent() {
        return lastEvent;
    }

    /**
     * A list or changes begin; where this says KNOWN_ALREADY or OLDER, no entries may follow. A whole list that is
     * older than what is known says nothing new; it is taken only once nothing known is usable any more, since then
     * anything is better and nothing of it can be contradicted. While discovery is behind what is known, its events
     * bear numbers that were others' here: of their changes only drains and boxes gone are taken, which are never
     * wrong to keep.
     */
    public UpdateResult listStarted(long event, boolean wholeList, double now) {
        if (event <= lastEvent) {
            boolean none = beliefs.values().stream().noneMatch(b -> b.state.usable());
            if (!wholeList && discoveryBehind) {
                whole = false;
                drainsOnly = true;
                return count(UpdateResult.DRAINS_ONLY);
            }
            if (!wholeList || event == lastEvent || !none) {
                return count(event == lastEvent || !wholeList ? UpdateResult.KNOWN_ALREADY : UpdateResult.OLDER);
            }
            startOver(now);
            begin(event, true);
            return count(UpdateResult.STARTED_OVER);
        }
        begin(event, wholeList);
        return count(UpdateResult.APPLIED);
    }

    private void begin(long event, boolean wholeList) {
        lastEvent = event;
        whole = wholeList;
        discoveryBehind = drainsOnly = false;
        sawAny = false;
        namedInService = unlistedCount = 0;
        inServiceBefore = 0;
        for (NodeEntry b : beliefs.values()) {
            b.listedInSnapshot = false;
            if (b.state.usable()) inServiceBefore++;
        }
    }

    /** One entry of the list or changes that have begun. */
    public void nodeListed(String id, String host, int port, String place, String kind, int cell, int standing,
                     double units, double startedAt, double now) {
        sawAny = true;
        ListedNode t = new ListedNode(id, host, port, place, kind, cell, standing, units, startedAt, now, 0, true);
        NodeEntry b = beliefs.get(id);
        if (b == null && standing == Director.REMOVED || drainsOnly && standing == Director.IN_SERVICE) return;
        boolean isNew = b == null;
        if (isNew) {
            beliefs.put(id, b = new NodeEntry(t));
            // The first list of a run tells of boxes that have run; what comes later with no start time is
            // taken for just started.
            if (startedAt == 0) b.startedAt = whole && !everTold ? NodeEntry.WARM : now;
        }
        boolean moved = !isNew && !b.listed.address().equals(t.address());
        boolean restarted = !isNew && startedAt != 0 && startedAt != b.listed.startedAt();
        boolean back = !isNew && b.listed.status() == Director.REMOVED;
        boolean withheld = !Double.isNaN(b.withheldAt);
        if (moved || restarted || back) b.resetEvidence();
        if (moved && byAddress.get(b.listed.address()) == b) byAddress.remove(b.listed.address());
        if (startedAt != 0) b.startedAt = startedAt;
        // As warm as it was told to be; but one that moved or came back without saying when has just started.
        else if (moved || back && !withheld) b.startedAt = now;
        else if (!isNew) b.startedAt = known(b);
        double answered = moved || restarted || back || isNew ? 0 : b.listed.answeredAt();
        b.listed = answered > 0 ? t.withAnsweredAt(answered) : t;
        if (startedAt == 0 && b.startedAt > NodeEntry.WARM) b.listed = b.listed.withStartedAt(b.startedAt);
        b.withheldAt = Double.NaN;
        b.confirmedThisRun = b.listedInSnapshot = true;
        if (standing == Director.IN_SERVICE) namedInService++;
        if (standing == Director.REMOVED) b.reason = "told that it is gone";
        else takeAddress(b, now);
        keep(b, standing != Director.IN_SERVICE);
        settle(b, now, moved || restarted);
    }

    /** One box an address: whoever was told last has it, and what was there before is gone. */
    private void takeAddress(NodeEntry b, double now) {
        NodeEntry before = byAddress.put(b.listed.address(), b);
        if (before == null || before == b || before.listed.status() == Director.REMOVED) return;
        gone(before, "its address is that of " + b.listed.id() + " now", now);
    }

    /**
     * The list or changes end. What a whole list leaves out is gone, and nothing is sent there from now on, also
     * where the list is strongly shrunken: rule 3 knows no doubt. But then it is withheld for a while in place of
     * forgotten, so that a list mended soon finds it as it was. An empty list names no box of this fleet, its
     * origin neither: it tells of no drain. What was known stays and ages, and discovery stands behind none of it
     * until it names it again.
     */
    public UpdateResult listFinished(double now) {
        if (drainsOnly) return UpdateResult.DRAINS_ONLY;
        if (whole && !sawAny && inServiceBefore > 0) {
            for (NodeEntry b : beliefs.values()) {
                if (b.listed.status() != Director.IN_SERVICE) continue;
                b.listed = b.listed.unconfirmed(confirmedAt);
                keep(b, false);
            }
            return count(UpdateResult.EMPTY);
        }
        UpdateResult result = UpdateResult.APPLIED;
        if (whole) {
            boolean shrunk = inServiceBefore >= FEW && namedInService < ages.shrunkBelow() * inServiceBefore;
            for (NodeEntry b : new ArrayList<>(beliefs.values())) {
                if (b.listedInSnapshot || b.listed.status() == Director.REMOVED) continue;
                unlistedCount++;
                if (!shrunk) gone(b, "missing from the whole list", now);
                else if (Double.isNaN(b.withheldAt)) {
                    b.withheldAt = now;
                    keep(b, true);
                    settle(b, now);
                }
            }
            if (shrunk) result = count(UpdateResult.SHRUNK);
        }
        everTold = true;
        dirty = true;
        heard(now);
        return result;
    }

    /** How many the whole list read last left out. */
    public int unlistedCount() {
        return unlistedCount;
    }

    public void purged(long event, long object, int group, double at, double now) {
        if (event <= lastEvent && !discoveryBehind) return;
        lastEvent = Math.max(lastEvent, event);
        purges.removeIf(p -> now - p.at() > purgesRunMs);
        purges.add(new Purge(object, group, at));
        dirty = urgent = true;
    }

    /**
     * Discovery says that {@code event} is its last. Where that is ours it stands behind the list; with an
     * earlier one it is older than what we know and stands behind nothing: false.
     */
    public boolean confirmUpTo(long event, double now) {
        discoveryBehind = event < lastEvent;
        if (discoveryBehind) return false;
        if (event == lastEvent) heard(now);
        return true;
    }

    /** Whether discovery's last event, as it says, is one before ours. */
    public boolean discoveryBehind() {
        return discoveryBehind;
    }

    /** With nothing known that is usable, an older discovery is better than none: true where all is forgotten. */
    public boolean resetIfUnusable(long event, double now) {
        if (event >= lastEvent || beliefs.values().stream().anyMatch(b -> b.state.usable())) return false;
        startOver(now);
        count(UpdateResult.STARTED_OVER);
        return true;
    }

    private void heard(double now) {
        boolean late = now - confirmedAt > ages.recentMs();
        confirmedAt = now;
        for (NodeEntry b : beliefs.values()) {
            if (!b.listed.confirmed()) continue;
            if (b.confirmedThisRun && !late) continue;
            // It says that nothing is new since the event that is known here, so every entry is told again.
            b.confirmedThisRun = true;
            if (b.listed.status() == Director.IN_SERVICE) b.startedAt = known(b);
            settle(b, now);
        }
    }

    private static double known(NodeEntry b) {
        return b.listed.startedAt() != 0 ? b.listed.startedAt() : NodeEntry.WARM;
    }

    /** All is forgotten, and the numbers begin anew: only what discovery tells next is believed. */
    private void startOver(double now) {
        for (NodeEntry b : new ArrayList<>(beliefs.values())) {
            if (b.listed.status() != Director.REMOVED) gone(b, "the list is started over", now);
        }
        lastEvent = 0;
        discoveryBehind = false;
        confirmedAt = Double.NEGATIVE_INFINITY;
    }

    // ---- what boxes show ----

    /**
     * How a hop ended, in the module's words, as evidence about its node and the source it named (null: none).
     * {@code silent}: nothing came from the node since the hop was sent. What only went down with another hop's
     * fault shows nothing.
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

    public void nodeAnswered(String id, double now) {
        NodeEntry b = beliefs.get(id);
        if (b == null) return;
        boolean fresh = b.answered(now, ages);
        if (fresh || now - b.listed.answeredAt() > ages.recentMs() / NOTED_PART) {
            b.listed = fresh ? b.listed.withAnsweredAt(now).withStartedAt(now) : b.listed.withAnsweredAt(now);
            keep(b, false);
        }
        if (b.state != NodeState.TOLD) settle(b, now);
    }

    /** {@code refused}: no connection came up; else one was cut off, or ended in silence, under a hop. */
    public void nodeFailed(String id, boolean refused, double now) {
        NodeEntry b = beliefs.get(id);
        if (b == null) return;
        b.failed(refused, now, ages, chance.nextDouble());
        if (b.state != NodeState.TOLD) settle(b, now);
    }

    // ---- time ----

    /** Moves what has aged; to be called about once a second. What is gone for long is forgotten. */
    public void tick(double now) {
        for (NodeEntry b : beliefs.values()) settle(b, now);
        boolean left = beliefs.values().removeIf(b -> {
            boolean over = !b.state.usable() && b.state != NodeState.REFUSED
                && now - Math.max(b.listed.listedAt(), b.listed.status() == Director.IN_SERVICE && b.listed.confirmed()
                    ? confirmedAt : 0) > 2 * ages.oldMs();
            if (!over) return false;
            if (b.listed.status() != Director.REMOVED) gone(b, "told too long ago", now);
            kept = kept.minus(b.listed.id());
            return true;
        });
        dirty |= left | purges.removeIf(p -> now - p.at() > purgesRunMs);
    }

    private void gone(NodeEntry b, String why, double now) {
        b.listed = b.listed.withStatus(Director.REMOVED, now);
        b.reason = why;
        b.withheldAt = Double.NaN;
        byAddress.remove(b.listed.address(), b);
        keep(b, true);
        settle(b, now);
    }

    private void settle(NodeEntry b, double now) {
        settle(b, now, false);
    }

    private void settle(NodeEntry b, double now, boolean anew) {
        NodeState was = b.state, is = b.evaluate(now, confirmedAt, ages);
        if (is == was && !anew) return;
        // A withheld box that stays away is gone for good.
        if (is == NodeState.GONE && b.listed.status() != Director.REMOVED) {
            gone(b, b.reason, now);
            return;
        }
        b.state = is;
        moves[was == null ? is.ordinal() : was.ordinal()][is.ordinal()]++;
        if (is == NodeState.OLD) b.markUnconfirmed(now);
        changes.stateChanged(b.listed, was, is, b.startedAt, b.reason);
    }

    private void keep(NodeEntry b, boolean atOnce) {
        kept = kept.plus(b.listed.id(), b.listed);
        dirty = true;
        urgent |= atOnce;
    }

    // ---- what is kept, and what is shown ----

    /** True once after something changed that the disk should hold. */
    public boolean takeDirty() {
        boolean was = dirty;
        dirty = false;
        return was;
    }

    /** True once after a drain, a box gone or a purge. */
    public boolean takeUrgent() {
        boolean was = urgent;
        urgent = false;
        return was;
    }

    /** What the disk should hold now. Withheld boxes are kept as gone: after a restart nobody waits for them. */
    public MembershipSnapshot snapshot(String fleet, String director, double now) {
        PMap<String, ListedNode> all = kept;
        for (NodeEntry b : beliefs.values()) {
            if (b.state == NodeState.WITHHELD) {
                all = all.plus(b.listed.id(), b.listed.withStatus(Director.REMOVED, b.withheldAt));
            }
        }
        return new MembershipSnapshot(fleet, director, now, lastEvent, confirmedAt, all, List.copyOf(purges));
    }

    public NodeState stateOf(String id) {
        NodeEntry b = beliefs.get(id);
        return b == null ? null : b.state;
    }

    public String reason(String id) {
        NodeEntry b = beliefs.get(id);
        return b == null ? "not known" : b.reason;
    }

    public Collection<ListedNode> entries() {
        return beliefs.values().stream().map(b -> b.listed).toList();
    }

    public int count(NodeState s) {
        int n = 0;
        for (NodeEntry b : beliefs.values()) if (b.state == s) n++;
        return n;
    }

    public double confirmedAt() {
        return confirmedAt;
    }

    /** How often entries went from one standing to another; a new one counts as staying where it began. */
    public long transitionCount(NodeState from, NodeState to) {
        return moves[from.ordinal()][to.ordinal()];
    }

    public long updateCount(UpdateResult t) {
        return taken[t.ordinal()];
    }

    private UpdateResult count(UpdateResult t) {
        taken[t.ordinal()]++;
        return t;
    }
}
