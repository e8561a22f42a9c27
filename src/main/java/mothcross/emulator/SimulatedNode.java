package mothcross.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mothcross.DecisionWriter;
import mothcross.Director;

/**
 * A cache, a parent or the origin: what it keeps, what it can send, the fills it runs, how cold it is, and whether it
 * is
 * there. Owns its state; must never know which policy asks, and falls over for good when pushed past what it bears.
 */
final class SimulatedNode {
    static final int CACHE = 0, PARENT = 1, ORIGIN = 2;

    /** A fill under way, and the hops that wait for it. */
    private static final class Fill {
        final double begun;
        final List<Hop> waiting = new ArrayList<>();

        Fill(double begun) {
            this.begun = begun;
        }
    }

    private final Simulation w;
    final int index, kind, place;
    final String id;
    private final double flows;
    private final BandwidthLink pipe;
    private final CacheStore store;
    private final Map<Long, Fill> fills = new HashMap<>();
    private final Map<Integer, Double> purgedAt = new HashMap<>();      // bounded by the groups there are
    private final ArrayDeque<double[]> work = new ArrayDeque<>();
    private double lately, slower = 1;
    boolean up = true, silent, fell;
    double startedAt, stalledUntil;
    int standing = Director.IN_SERVICE, held;
    long asked, hits, bytes;
    private double shownAt = Double.NEGATIVE_INFINITY;
    private double[] shown;
    private double hitShare = Double.NaN;
    private long shownAsked, shownHits;
    /** The most that came within a span, as a share of what pushes it over. */
    double nearest;

    SimulatedNode(Simulation w, int index, int kind, int place) {
        this.w = w;
        this.index = index;
        this.kind = kind;
        this.place = place;
        this.id = (kind == CACHE ? "c" : kind == PARENT ? "p" : "o") + index;
        ScenarioParameters t = w.town;
        flows = t.get(kind == CACHE ? "cache_flows" : kind == PARENT ? "parent_flows" : "origin_flows");
        pipe = new BandwidthLink(w.clock, flows);
        store = new CacheStore(1000 * t.get(kind == PARENT ? "parent_mb" : "cache_mb"));
    }

    double units() {
        return flows;
    }

    boolean reachable() {
        return up && !fell;
    }

    // ---- what befalls it ----

    /** Its process ends: what is open is cut off, what it kept is gone. */
    void stop() {
        up = false;
        List<Hop> open = new ArrayList<>(w.openAt(this));
        pipe.dropAll();
        fills.clear();
        parentFills.clear();
        store.clear();
        held = 0;
        for (Hop h : open) h.end(Director.CONNECTION_LOST, 0, 0, null);
    }

    void start(double now) {
        up = true;
        silent = false;
        startedAt = now;
        lately = 0;
        work.clear();
        warms();
    }

    /** Its part of full capacity now; a fresh one grows to all of it. */
    double warmth() {
        if (kind == ORIGIN || startedAt == 0) return 1;
        double floor = w.town.get(kind == CACHE ? "cold_floor" : "parent_floor");
        double ms = w.town.get(kind == CACHE ? "cold_ms" : "parent_cold_ms");
        return Math.min(1, floor + (1 - floor) * Math.max(0, w.clock.now - startedAt) / ms);
    }

    private void warms() {
        pipe.flows(flows * warmth() / slower);
        if (up && warmth() < 1) w.clock.in(200, this::warms);
    }

    void slowed(double times) {
        slower = times;
        pipe.flows(flows * warmth() / slower);
    }

    /** It drops what it has, and keeps no older copy of the group from now on, whatever a fill still brings. */
    void purged(int group, double at) {
        purgedAt.merge(group, at, Math::max);
        if (up) store.purge(group, at);
    }

    private void keep(long key, CacheStore.Copy c) {
        if (c.minted() >= purgedAt.getOrDefault(c.group(), Double.NEGATIVE_INFINITY)) store.put(key, c);
    }

    // ---- lookups ----

    /** A lookup comes, as hop or as fill: counted against what a cold box bears. */
    private boolean bears(double ownMs) {
        if (kind == ORIGIN) return true;
        ScenarioParameters t = w.town;
        double span = t.get("cold_span"), now = w.clock.now, warmth = warmth();
        if (warmth >= 1) return true;
        work.add(new double[] {now, ownMs});
        lately += ownMs;
        while (!work.isEmpty() && work.peek()[0] < now - span) lately -= work.poll()[1];
        double breaks = t.get(kind == CACHE ? "cold_breaks" : "parent_breaks");
        double part = lately / (breaks * flows * warmth * span);
        nearest = Math.max(nearest, part);
        if (part <= 1) return true;
        fell = true;
        w.check.pushedOver(this);
        stop();
        return false;
    }

    void take(Hop h) {
        if (h.over || silent) return;
        if (!reachable()) {
            h.end(Director.CONNECT_FAILED, 0, 0, null);
            return;
        }
        if (w.clock.now < stalledUntil) {
            w.clock.at(stalledUntil, () -> take(h));
            return;
        }
        if (held >= w.town.count("queue")) {
            h.end(Director.REJECTED, 0, 0, null);
            return;
        }
        asked++;
        held++;
        w.open(this, h);
        if (!bears(h.ownMs)) return;
        if (kind == ORIGIN) {
            fetch(h.key, h.kb, h.group, (copy, note) -> {
                if (copy == null) ended(h, Director.REJECTED, 0, 0, null);
                else send(h, copy, Director.FILLED_BY_ORIGIN, w.clock.now - h.sentAt);
            });
            return;
        }
        CacheStore.Copy c = good(h.key, h.oldest);
        if (c != null) {
            hits++;
            boolean past = w.fresh() > 0 && w.clock.now - c.minted() > w.fresh();
            send(h, c, past ? Director.STALE_HIT : Director.HIT, 0);
        } else if (h.source == null) {
            ended(h, Director.MISS, 0, 0, null);
        } else {
            fill(h);
        }
    }

    /** A copy no older than the hop takes, or than its fresh time where it does not say. */
    private CacheStore.Copy good(long key, double oldest) {
        CacheStore.Copy c = store.get(key);
        if (c == null) return null;
        double age = w.clock.now - c.minted(), most = oldest > 0 ? oldest : w.fresh() > 0 ? w.fresh()
            : Double.MAX_VALUE;
        return age <= most ? c : null;
    }

    private void send(Hop h, CacheStore.Copy copy, int note, double sourceWait) {
        if (h.over) {
            held--;
            w.closed(this, h);
            return;
        }
        h.on = pipe;
        h.sending = pipe.add(h.ownMs, () -> ended(h, Director.SUCCEEDED, note, sourceWait, copy));
        bytes += (long) h.kb;
    }

    /** A hop that was given up: what is sent for it stops, a fill goes on. */
    void dropped(Hop h) {
        if (w.closed(this, h)) held--;
    }

    private void ended(Hop h, int outcome, int note, double sourceWait, CacheStore.Copy copy) {
        if (w.closed(this, h)) held--;
        h.end(outcome, note, sourceWait, copy);
    }

    // ---- fills ----

    private interface Got {
        void got(CacheStore.Copy copy, int note);
    }

    private void fill(Hop h) {
        Fill under = fills.get(h.key);
        boolean joins = (h.how & DecisionWriter.COALESCE_FILLS) != 0;
        if (under != null && joins && under.begun > w.clock.now - (h.oldest > 0 ? h.oldest : Double.MAX_VALUE)) {
            under.waiting.add(h);
            return;
        }
        Fill mine = new Fill(w.clock.now);
        mine.waiting.add(h);
        fills.put(h.key, mine);
        boolean holdsOnly = (h.how & DecisionWriter.SOURCE_CACHE_ONLY) != 0;
        double far = w.town.get("far_ms");
        w.clock.in(far, () -> h.source.ask(h.key, h.kb, h.ownMs, h.group, h.oldest, holdsOnly, (copy, note) ->
            w.clock.in(far, () -> {
            if (copy == null) filled(mine, h, null, note);
            else w.linkOf(place).add(h.ownMs, () -> filled(mine, h, copy, note));
        })));
    }

    private void filled(Fill f, Hop first, CacheStore.Copy copy, int note) {
        fills.remove(first.key, f);
        if (!up) return;
        if (copy != null && first.rank > 0) keep(first.key, new CacheStore.Copy(copy.minted(), copy.kb(), copy.group(),
            first.rank));
        double waited = w.clock.now - f.begun;
        for (Hop h : f.waiting) {
            if (h.over) continue;
            if (copy == null) ended(h, Director.ERROR, note, waited, null);
            else if (h.oldest > 0 && copy.minted() < h.sentAt - h.oldest) fill(h);
            else send(h, copy, h == first ? note : Director.COALESCED, waited);
        }
    }

    /** As the source of a fill. */
    private void ask(long key, double kb, double ownMs, int group, double oldest, boolean holdsOnly, Got got) {
        if (silent) return;
        if (!reachable()) {
            got.got(null, Director.SOURCE_UNREACHABLE);
            return;
        }
        if (w.clock.now < stalledUntil) {
            w.clock.at(stalledUntil, () -> ask(key, kb, ownMs, group, oldest, holdsOnly, got));
            return;
        }
        if (kind == ORIGIN) {
            fetch(key, kb, group, (copy, note) -> got.got(copy, copy == null ? Director.ORIGIN_FAILED
                : Director.FILLED_BY_ORIGIN));
            return;
        }
        asked++;
        if (!bears(ownMs)) {
            got.got(null, Director.SOURCE_UNREACHABLE);
            return;
        }
        CacheStore.Copy c = good(key, oldest);
        if (c != null) {
            hits++;
            pipe.add(ownMs, () -> got.got(c, Director.FILLED));
        } else if (holdsOnly) {
            got.got(null, Director.SOURCE_MISS);
        } else {
            Fetch f = parentFills.get(key);
            // One that began before what is asked for now may bring a copy too old: another is made.
            if (f == null || oldest > 0 && f.begun < w.clock.now - oldest) {
                Fetch mine = f = new Fetch(w.clock.now);
                parentFills.put(key, mine);
                w.origin().fetch(key, kb, group, (copy, note) -> parentGot(mine, key, ownMs, copy));
            }
            f.waiting.add(got);
        }
    }

    /** A parent's fetch, once for all who wait. */
    private static final class Fetch {
        final double begun;
        final List<Got> waiting = new ArrayList<>();

        Fetch(double begun) {
            this.begun = begun;
        }
    }

    private final Map<Long, Fetch> parentFills = new HashMap<>();   // each ends with its answer

    private void parentGot(Fetch f, long key, double ownMs, CacheStore.Copy copy) {
        parentFills.remove(key, f);
        if (!up) return;
        if (copy != null) keep(key, copy);
        for (Got g : f.waiting) {
            if (copy == null) g.got(null, Director.ORIGIN_FAILED);
            else pipe.add(ownMs, () -> g.got(copy, Director.FILLED_BY_ORIGIN));
        }
    }

    /** The origin's own work: it slows by being shared,
        and turns away past a multiple of what it sends at full pace. */
    private void fetch(long key, double kb, int group, Got got) {
        if (!up || pipe.fill() >= w.town.get("origin_sheds_at")) {
            w.originShed++;
            got.got(null, Director.ORIGIN_FAILED);
            return;
        }
        w.originFetches++;
        w.originKb += kb;
        double minted = w.clock.now;
        w.clock.in(w.town.get("origin_ms"), () -> pipe.add(kb / w.town.get("flow_kb_ms"),
            () -> got.got(new CacheStore.Copy(minted, kb, group, 1), Director.FILLED_BY_ORIGIN)));
    }

    /** What answers tell of its load, no fresher than reports are. */
    double[] report() {
        if (shown != null && w.clock.now < shownAt + w.town.get("report_ms")) return shown;
        shownAt = w.clock.now;
        if (asked - shownAsked >= 10) {
            hitShare = (hits - shownHits) / (double) (asked - shownAsked);
            shownAsked = asked;
            shownHits = hits;
        }
        shown = new double[Director.REPORT_SIZE];
        java.util.Arrays.fill(shown, Double.NaN);
        shown[Director.REPORT_ACTIVE_REQUESTS] = held;
        shown[Director.REPORT_CPU_SHARE] = Math.min(1, pipe.fill());
        shown[Director.REPORT_HIT_RATIO] = hitShare;
        shown[Director.REPORT_LINK_UTILIZATION] = kind == CACHE ? w.linkOf(place).fill() : parentFills.size();
        return shown;
    }

    int copies() {
        return store.size();
    }
}
