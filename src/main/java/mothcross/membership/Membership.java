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
 * and {@link NodeState}. It is told the time, the chance and all news, and says through {@link Changes} what
 * changes for the module. Must never read a clock, a file or a socket, never apply an event twice, and never
 * hold up or soften a drain.
 */
public final class Membership {
    /** What the module, the log and the disk are told. */
    public interface Changes {
        /** The entry's use, address or start is another one than was said before. */
        void changed(ListedNode entry, NodeState was, NodeState is, double coldSince, String why);
    }

    /** What became of a list or event of discovery. */
    public enum UpdateResult { APPLIED, KNOWN_ALREADY, OLDER, EMPTY, SHRUNK, STARTED_OVER, DRAINS_ONLY }

    private static final int FEW = 4;                       // so many cannot shrink strongly
    private static final double NOTED_PART = 10;            // an answer is noted down after a tenth of the recent age

    private AgeLimits ages;
    private final SplittableRandom chance;
    private final Changes changes;
    private final double purgesRunMs;
    private final Map<String, NodeEntry> beliefs = new LinkedHashMap<>();  // by id; what is gone leaves by age
    private final Map<String, NodeEntry> byAddress = new HashMap<>();      // the one box that is at an address
    private final List<Purge> purges = new ArrayList<>();                  // in the order told; run out by time
    private PMap<String, ListedNode> kept = HashTreePMap.empty();
    private long number;
    private double heardAt = Double.NEGATIVE_INFINITY;      // discovery stood behind the whole list
    private boolean everTold;                               // any list in this run
    private boolean urgent, dirty;
    // The list being read.
    private boolean whole, sawAny, behind, drainsOnly;
    private int namedInService, inServiceBefore, unlistedCount;
    private final long[][] moves = new long[NodeState.values().length][NodeState.values().length];
    private final long[] taken = new long[UpdateResult.values().length];

    /** A purge is kept for {@code purgesRunMs} after it was issued. */
    public Membership(AgeLimits ages, double purgesRunMs, SplittableRandom chance, Changes changes) {
        this.ages = ages;
        this.purgesRunMs = purgesRunMs;
        this.chance = chance;
        this.changes = changes;
    }

    /** Other figures hold from now on. */
    public void ages(AgeLimits anew, double now) {
        ages = anew;
        tick(now);
    }

    // ---- the start ----

    /** What the disk holds. Nothing of it counts as told in this run. */
    public void restore(MembershipSnapshot from, double now) {
        number = from.lastEvent();
        heardAt = from.confirmedAt();
        for (ListedNode t : from.entries().values()) {
            NodeEntry b = new NodeEntry(t);
            beliefs.put(t.id(), b);
            if (t.status() != Director.REMOVED) byAddress.put(t.address(), b);
            // Never shown to the module before: warm unless the list said when it started.
            if (t.startedAt() == 0) b.coldSince = NodeEntry.LONG;
            settle(b, now);
        }
        for (Purge p : from.purges()) if (now - p.at() <= purgesRunMs) purges.add(p);
        kept = from.entries();
    }

    public List<Purge> purges() {
        return purges;
    }

    // ---- news of discovery ----

    public long number() {
        return number;
    }

    /**
     * A list or changes begin; where this says KNOWN_ALREADY or OLDER, no entries may follow. A whole list that is
     * older than what is known says nothing new; it is taken only once nothing known is usable any more, since then
     * anything is better and nothing of it can be contradicted. While discovery is behind what is known, its events
     * bear numbers that were others' here: of their changes only drains and boxes gone are taken, which are never
     * wrong to keep.
     */
    public UpdateResult listStarted(long event, boolean wholeList, double now) {
        if (event <= number) {
            boolean none = beliefs.values().stream().noneMatch(b -> b.standing.usable());
            if (!wholeList && behind) {
                whole = false;
                drainsOnly = true;
                return count(UpdateResult.DRAINS_ONLY);
            }
            if (!wholeList || event == number || !none) {
                return count(event == number || !wholeList ? UpdateResult.KNOWN_ALREADY : UpdateResult.OLDER);
            }
            startOver(now);
            begin(event, true);
            return count(UpdateResult.STARTED_OVER);
        }
        begin(event, wholeList);
        return count(UpdateResult.APPLIED);
    }

    private void begin(long event, boolean wholeList) {
        number = event;
        whole = wholeList;
        behind = drainsOnly = false;
        sawAny = false;
        namedInService = unlistedCount = 0;
        inServiceBefore = 0;
        for (NodeEntry b : beliefs.values()) {
            b.named = false;
            if (b.standing.usable()) inServiceBefore++;
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
            if (startedAt == 0) b.coldSince = whole && !everTold ? NodeEntry.LONG : now;
        }
        boolean moved = !isNew && !b.told.address().equals(t.address());
        boolean restarted = !isNew && startedAt != 0 && startedAt != b.told.startedAt();
        boolean back = !isNew && b.told.status() == Director.REMOVED;
        boolean withheld = !Double.isNaN(b.withheldAt);
        if (moved || restarted || back) b.forgetEvidence();
        if (moved && byAddress.get(b.told.address()) == b) byAddress.remove(b.told.address());
        if (startedAt != 0) b.coldSince = startedAt;
        // As warm as it was told to be; but one that moved or came back without saying when has just started.
        else if (moved || back && !withheld) b.coldSince = now;
        else if (!isNew) b.coldSince = known(b);
        double answered = moved || restarted || back || isNew ? 0 : b.told.answeredAt();
        b.told = answered > 0 ? t.answered(answered) : t;
        if (startedAt == 0 && b.coldSince > NodeEntry.LONG) b.told = b.told.started(b.coldSince);
        b.withheldAt = Double.NaN;
        b.thisRun = b.named = true;
        if (standing == Director.IN_SERVICE) namedInService++;
        if (standing == Director.REMOVED) b.why = "told that it is gone";
        else takeAddress(b, now);
        keep(b, standing != Director.IN_SERVICE);
        settle(b, now, moved || restarted);
    }

    /** One box an address: whoever was told last has it, and what was there before is gone. */
    private void takeAddress(NodeEntry b, double now) {
        NodeEntry before = byAddress.put(b.told.address(), b);
        if (before == null || before == b || before.told.status() == Director.REMOVED) return;
        gone(before, "its address is that of " + b.told.id() + " now", now);
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
                if (b.told.status() != Director.IN_SERVICE) continue;
                b.told = b.told.unbacked(heardAt);
                keep(b, false);
            }
            return count(UpdateResult.EMPTY);
        }
        UpdateResult result = UpdateResult.APPLIED;
        if (whole) {
            boolean shrunk = inServiceBefore >= FEW && namedInService < ages.shrunkBelow() * inServiceBefore;
            for (NodeEntry b : new ArrayList<>(beliefs.values())) {
                if (b.named || b.told.status() == Director.REMOVED) continue;
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
        if (event <= number && !behind) return;
        number = Math.max(number, event);
        purges.removeIf(p -> now - p.at() > purgesRunMs);
        purges.add(new Purge(object, group, at));
        dirty = urgent = true;
    }

    /**
     * Discovery says that {@code event} is its last. Where that is ours it stands behind the list; with an
     * earlier one it is older than what we know and stands behind nothing: false.
     */
    public boolean confirmUpTo(long event, double now) {
        behind = event < number;
        if (behind) return false;
        if (event == number) heard(now);
        return true;
    }

    /** Whether discovery's last event, as it says, is one before ours. */
    public boolean behind() {
        return behind;
    }

    /** With nothing known that is usable, an older discovery is better than none: true where all is forgotten. */
    public boolean resetIfUnusable(long event, double now) {
        if (event >= number || beliefs.values().stream().anyMatch(b -> b.standing.usable())) return false;
        startOver(now);
        count(UpdateResult.STARTED_OVER);
        return true;
    }

    private void heard(double now) {
        boolean late = now - heardAt > ages.recentMs();
        heardAt = now;
        for (NodeEntry b : beliefs.values()) {
            if (!b.told.confirmed()) continue;
            if (b.thisRun && !late) continue;
            // It says that nothing is new since the event that is known here, so every entry is told again.
            b.thisRun = true;
            if (b.told.status() == Director.IN_SERVICE) b.coldSince = known(b);
            settle(b, now);
        }
    }

    private static double known(NodeEntry b) {
        return b.told.startedAt() != 0 ? b.told.startedAt() : NodeEntry.LONG;
    }

    /** All is forgotten, and the numbers begin anew: only what discovery tells next is believed. */
    private void startOver(double now) {
        for (NodeEntry b : new ArrayList<>(beliefs.values())) {
            if (b.told.status() != Director.REMOVED) gone(b, "the list is started over", now);
        }
        number = 0;
        behind = false;
        heardAt = Double.NEGATIVE_INFINITY;
    }

    // ---- what boxes show ----

    /**
     * How a hop ended, in the module's words, as evidence about its node and the source it named (null: none).
     * {@code silent}: nothing came from the node since the hop was sent. What only went down with another hop's
     * fault shows nothing.
     */
    public void hopEnded(String node, String source, int outcome, int note, boolean silent, double now) {
        switch (outcome) {
            case Director.SUCCEEDED, Director.MISS, Director.REJECTED, Director.ERROR -> answered(node, now);
            case Director.CONNECT_FAILED, Director.CONNECTION_LOST -> {
                if (note != Director.COLLATERAL_FAILURE) failed(node, outcome == Director.CONNECT_FAILED, now);
            }
            case Director.TIMED_OUT -> {
                if (silent) failed(node, false, now);
            }
            default -> { }
        }
        if (source == null) return;
        switch (note) {
            case Director.FILLED, Director.FILLED_BY_ORIGIN, Director.SOURCE_REJECTED, Director.SOURCE_MISS ->
                answered(source, now);
            case Director.SOURCE_UNREACHABLE -> failed(source, true, now);
            default -> { }
        }
    }

    public void answered(String id, double now) {
        NodeEntry b = beliefs.get(id);
        if (b == null) return;
        boolean fresh = b.answered(now, ages);
        if (fresh || now - b.told.answeredAt() > ages.recentMs() / NOTED_PART) {
            b.told = fresh ? b.told.answered(now).started(now) : b.told.answered(now);
            keep(b, false);
        }
        if (b.standing != NodeState.TOLD) settle(b, now);
    }

    /** {@code refused}: no connection came up; else one was cut off, or ended in silence, under a hop. */
    public void failed(String id, boolean refused, double now) {
        NodeEntry b = beliefs.get(id);
        if (b == null) return;
        b.failed(refused, now, ages, chance.nextDouble());
        if (b.standing != NodeState.TOLD) settle(b, now);
    }

    // ---- time ----

    /** Moves what has aged; to be called about once a second. What is gone for long is forgotten. */
    public void tick(double now) {
        for (NodeEntry b : beliefs.values()) settle(b, now);
        boolean left = beliefs.values().removeIf(b -> {
            boolean over = !b.standing.usable() && b.standing != NodeState.REFUSED
                && now - Math.max(b.told.listedAt(), b.told.status() == Director.IN_SERVICE && b.told.confirmed()
                    ? heardAt : 0) > 2 * ages.oldMs();
            if (!over) return false;
            if (b.told.status() != Director.REMOVED) gone(b, "told too long ago", now);
            kept = kept.minus(b.told.id());
            return true;
        });
        dirty |= left | purges.removeIf(p -> now - p.at() > purgesRunMs);
    }

    private void gone(NodeEntry b, String why, double now) {
        b.told = b.told.as(Director.REMOVED, now);
        b.why = why;
        b.withheldAt = Double.NaN;
        byAddress.remove(b.told.address(), b);
        keep(b, true);
        settle(b, now);
    }

    private void settle(NodeEntry b, double now) {
        settle(b, now, false);
    }

    private void settle(NodeEntry b, double now, boolean anew) {
        NodeState was = b.standing, is = b.now(now, heardAt, ages);
        if (is == was && !anew) return;
        // A withheld box that stays away is gone for good.
        if (is == NodeState.GONE && b.told.status() != Director.REMOVED) {
            gone(b, b.why, now);
            return;
        }
        b.standing = is;
        moves[was == null ? is.ordinal() : was.ordinal()][is.ordinal()]++;
        if (is == NodeState.OLD) b.unsure(now);
        changes.changed(b.told, was, is, b.coldSince, b.why);
    }

    private void keep(NodeEntry b, boolean atOnce) {
        kept = kept.plus(b.told.id(), b.told);
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
            if (b.standing == NodeState.WITHHELD) {
                all = all.plus(b.told.id(), b.told.as(Director.REMOVED, b.withheldAt));
            }
        }
        return new MembershipSnapshot(fleet, director, now, number, heardAt, all, List.copyOf(purges));
    }

    public NodeState stateOf(String id) {
        NodeEntry b = beliefs.get(id);
        return b == null ? null : b.standing;
    }

    public String reason(String id) {
        NodeEntry b = beliefs.get(id);
        return b == null ? "not known" : b.why;
    }

    public Collection<ListedNode> entries() {
        return beliefs.values().stream().map(b -> b.told).toList();
    }

    public int count(NodeState s) {
        int n = 0;
        for (NodeEntry b : beliefs.values()) if (b.standing == s) n++;
        return n;
    }

    public double heardAt() {
        return heardAt;
    }

    /** How often entries went from one standing to another; a new one counts as staying where it began. */
    public long moves(NodeState from, NodeState to) {
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
