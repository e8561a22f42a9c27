package mothcross.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mothcross.DecisionWriter;
import mothcross.Director;

/**
 * A cache, a parent or the origin: its stored copies, its uplink, running fills, warm-up and availability. It does not
 * know which policy sends requests. A node that is still warming up fails for good when its load exceeds its overload
 * limit.
 */
final class SimulatedNode {
    static final int CACHE = 0;
    static final int PARENT = 1;
    static final int ORIGIN = 2;

    /** A running fill and the hops that wait for it. */
    private static final class Fill {
        final double startedAt;
        final List<Hop> waiting = new ArrayList<>();

        Fill(double startedAt) {
            this.startedAt = startedAt;
        }
    }

    private final Simulation simulation;
    final int index;
    final int kind;
    final int zone;
    final String id;
    private final double capacityFlows;
    private final BandwidthLink uplink;
    private final CacheStore store;
    private final Map<Long, Fill> fills = new HashMap<>();
    // Bounded by the number of groups.
    private final Map<Integer, Double> purgedAt = new HashMap<>();
    private final ArrayDeque<double[]> recentWork = new ArrayDeque<>();
    private double recentWorkMs;
    private double slowdownFactor = 1;
    boolean up = true;
    boolean silent;
    boolean overloaded;
    double startedAt;
    double stalledUntil;
    int status = Director.IN_SERVICE;
    int activeRequests;
    long requests;
    long hits;
    long bytes;
    private double reportedAt = Double.NEGATIVE_INFINITY;
    private double[] lastReport;
    private double hitRatio = Double.NaN;
    private long reportedRequests;
    private long reportedHits;
    /** The highest load within a window while warming up, as a share of the overload limit. */
    double peakOverloadShare;

    SimulatedNode(Simulation simulation, int index, int kind, int zone) {
        this.simulation = simulation;
        this.index = index;
        this.kind = kind;
        this.zone = zone;
        this.id = (kind == CACHE ? "c" : kind == PARENT ? "p" : "o") + index;
        ScenarioParameters scenario = simulation.scenario;
        capacityFlows = scenario.get(kind == CACHE ? "cache_flows" : kind == PARENT ? "parent_flows" : "origin_flows");
        uplink = new BandwidthLink(simulation.clock, capacityFlows);
        store = new CacheStore(1000 * scenario.get(kind == PARENT ? "parent_mb" : "cache_mb"));
    }

    double capacityUnits() {
        return capacityFlows;
    }

    boolean reachable() {
        return up && !overloaded;
    }

    // ---- faults ----

    /** Ends the process: open hops lose their connections and stored copies are lost. */
    void stop() {
        up = false;
        List<Hop> open = new ArrayList<>(simulation.removeOpenHops(this));
        uplink.cancelAll();
        fills.clear();
        originFetches.clear();
        store.clear();
        activeRequests = 0;
        for (Hop hop : open) hop.complete(Director.CONNECTION_LOST, 0, 0, null);
    }

    void start(double now) {
        up = true;
        silent = false;
        startedAt = now;
        recentWorkMs = 0;
        recentWork.clear();
        updateCapacity();
    }

    /** The current share of full capacity, which grows to 1 after a start. */
    double warmUpShare() {
        if (kind == ORIGIN || startedAt == 0) return 1;
        double initialShare = simulation.scenario.get(kind == CACHE ? "cold_floor" : "parent_floor");
        double warmUpMs = simulation.scenario.get(kind == CACHE ? "cold_ms" : "parent_cold_ms");
        return Math.min(1, initialShare + (1 - initialShare) * Math.max(0,
            simulation.clock.nowMs - startedAt) / warmUpMs);
    }

    private void updateCapacity() {
        uplink.setCapacity(capacityFlows * warmUpShare() / slowdownFactor);
        if (up && warmUpShare() < 1) simulation.clock.scheduleAfter(200, this::updateCapacity);
    }

    void setSlowdown(double factor) {
        slowdownFactor = factor;
        uplink.setCapacity(capacityFlows * warmUpShare() / slowdownFactor);
    }

    /**
     * Drops the stored copies of the group; copies issued before the purge are not stored later either, whichever fill
     * brings them.
     */
    void purged(int group, double purgeTime) {
        purgedAt.merge(group, purgeTime, Math::max);
        if (up) store.purge(group, purgeTime);
    }

    private void storeCopy(long key, CacheStore.Copy copy) {
        if (copy.issuedAt() >= purgedAt.getOrDefault(copy.group(), Double.NEGATIVE_INFINITY)) store.put(key, copy);
    }

    // ---- hops ----

    /** Counts a hop or a fill against the overload limit of a node that is warming up; false if the node fails. */
    private boolean admit(double fullRateMs) {
        if (kind == ORIGIN) return true;
        ScenarioParameters scenario = simulation.scenario;
        double windowMs = scenario.get("cold_span");
        double now = simulation.clock.nowMs;
        double warmUpShare = warmUpShare();
        if (warmUpShare >= 1) return true;
        recentWork.add(new double[] {now, fullRateMs});
        recentWorkMs += fullRateMs;
        while (!recentWork.isEmpty() && recentWork.peek()[0] < now - windowMs) recentWorkMs -= recentWork.poll()[1];
        double overloadFactor = scenario.get(kind == CACHE ? "cold_breaks" : "parent_breaks");
        double loadShare = recentWorkMs / (overloadFactor * capacityFlows * warmUpShare * windowMs);
        peakOverloadShare = Math.max(peakOverloadShare, loadShare);
        if (loadShare <= 1) return true;
        overloaded = true;
        simulation.ruleChecker.nodeOverloaded(this);
        stop();
        return false;
    }

    void receive(Hop hop) {
        if (hop.over || silent) return;
        if (!reachable()) {
            hop.complete(Director.CONNECT_FAILED, 0, 0, null);
            return;
        }
        if (simulation.clock.nowMs < stalledUntil) {
            simulation.clock.schedule(stalledUntil, () -> receive(hop));
            return;
        }
        if (activeRequests >= simulation.scenario.count("queue")) {
            hop.complete(Director.REJECTED, 0, 0, null);
            return;
        }
        requests++;
        activeRequests++;
        simulation.hopOpened(this, hop);
        if (!admit(hop.fullRateMs)) return;
        if (kind == ORIGIN) {
            serveFromOrigin(hop.key, hop.kb, hop.group, (copy, note) -> {
                if (copy == null) endHop(hop, Director.REJECTED, 0, 0, null);
                else send(hop, copy, Director.FILLED_BY_ORIGIN, simulation.clock.nowMs - hop.sentAt);
            });
            return;
        }
        CacheStore.Copy cached = usableCopy(hop.key, hop.maxAgeMs);
        if (cached != null) {
            hits++;
            boolean stale = simulation.freshMs() > 0
                && simulation.clock.nowMs - cached.issuedAt() > simulation.freshMs();
            send(hop, cached, stale ? Director.STALE_HIT : Director.HIT, 0);
        } else if (hop.source == null) {
            endHop(hop, Director.MISS, 0, 0, null);
        } else {
            fill(hop);
        }
    }

    /** A stored copy no older than the hop accepts, or than the fresh time where the hop sets no limit. */
    private CacheStore.Copy usableCopy(long key, double maxAgeMs) {
        CacheStore.Copy copy = store.get(key);
        if (copy == null) return null;
        double ageMs = simulation.clock.nowMs - copy.issuedAt();
        double defaultLimitMs = simulation.freshMs() > 0 ? simulation.freshMs() : Double.MAX_VALUE;
        double limitMs = maxAgeMs > 0 ? maxAgeMs : defaultLimitMs;
        return ageMs <= limitMs ? copy : null;
    }

    private void send(Hop hop, CacheStore.Copy copy, int note, double sourceWaitMs) {
        if (hop.over) {
            activeRequests--;
            simulation.hopClosed(this, hop);
            return;
        }
        hop.transferLink = uplink;
        hop.transfer = uplink.add(hop.fullRateMs, () -> endHop(hop, Director.SUCCEEDED, note, sourceWaitMs, copy));
        bytes += (long) hop.kb;
    }

    /** Ends the work for a cancelled hop; a running fill continues. */
    void cancel(Hop hop) {
        if (simulation.hopClosed(this, hop)) activeRequests--;
    }

    private void endHop(Hop hop, int outcome, int note, double sourceWaitMs, CacheStore.Copy copy) {
        if (simulation.hopClosed(this, hop)) activeRequests--;
        hop.complete(outcome, note, sourceWaitMs, copy);
    }

    // ---- fills ----

    private interface CopyListener {
        void completed(CacheStore.Copy copy, int note);
    }

    private void fill(Hop hop) {
        Fill running = fills.get(hop.key);
        boolean coalesce = (hop.flags & DecisionWriter.COALESCE_FILLS) != 0;
        if (running != null && coalesce && running.startedAt > simulation.clock.nowMs - (hop.maxAgeMs > 0
            ? hop.maxAgeMs : Double.MAX_VALUE)) {
            running.waiting.add(hop);
            return;
        }
        Fill started = new Fill(simulation.clock.nowMs);
        started.waiting.add(hop);
        fills.put(hop.key, started);
        boolean cacheOnly = (hop.flags & DecisionWriter.SOURCE_CACHE_ONLY) != 0;
        double farMs = simulation.scenario.get("far_ms");
        simulation.clock.scheduleAfter(farMs, () -> hop.source.serveFill(hop.key, hop.kb, hop.fullRateMs, hop.group,
            hop.maxAgeMs, cacheOnly, (copy, note) ->
            simulation.clock.scheduleAfter(farMs, () -> {
            if (copy == null) fillCompleted(started, hop, null, note);
            else simulation.zoneLink(zone).add(hop.fullRateMs, () -> fillCompleted(started, hop, copy, note));
        })));
    }

    private void fillCompleted(Fill fill, Hop first, CacheStore.Copy copy, int note) {
        fills.remove(first.key, fill);
        if (!up) return;
        if (copy != null && first.rank > 0) {
            storeCopy(first.key, new CacheStore.Copy(copy.issuedAt(), copy.kb(), copy.group(), first.rank));
        }
        double waitedMs = simulation.clock.nowMs - fill.startedAt;
        for (Hop hop : fill.waiting) {
            if (hop.over) continue;
            if (copy == null) endHop(hop, Director.ERROR, note, waitedMs, null);
            else if (hop.maxAgeMs > 0 && copy.issuedAt() < hop.sentAt - hop.maxAgeMs) fill(hop);
            else send(hop, copy, hop == first ? note : Director.COALESCED, waitedMs);
        }
    }

    /** Serves a fill as its source. */
    private void serveFill(long key, double kb, double fullRateMs, int group, double maxAgeMs, boolean cacheOnly,
        CopyListener listener) {
        if (silent) return;
        if (!reachable()) {
            listener.completed(null, Director.SOURCE_UNREACHABLE);
            return;
        }
        if (simulation.clock.nowMs < stalledUntil) {
            simulation.clock.schedule(stalledUntil, () -> serveFill(key, kb, fullRateMs, group, maxAgeMs, cacheOnly,
                listener));
            return;
        }
        if (kind == ORIGIN) {
            serveFromOrigin(key, kb, group, (copy, note) -> listener.completed(copy, copy == null
                ? Director.ORIGIN_FAILED
                : Director.FILLED_BY_ORIGIN));
            return;
        }
        requests++;
        if (!admit(fullRateMs)) {
            listener.completed(null, Director.SOURCE_UNREACHABLE);
            return;
        }
        CacheStore.Copy cached = usableCopy(key, maxAgeMs);
        if (cached != null) {
            hits++;
            uplink.add(fullRateMs, () -> listener.completed(cached, Director.FILLED));
        } else if (cacheOnly) {
            listener.completed(null, Director.SOURCE_MISS);
        } else {
            OriginFetch fetch = originFetches.get(key);
            // A running fetch that started earlier than the requested age limit may return a copy that is too old, so
            // another is started.
            if (fetch == null || maxAgeMs > 0 && fetch.startedAt < simulation.clock.nowMs - maxAgeMs) {
                OriginFetch started = fetch = new OriginFetch(simulation.clock.nowMs);
                originFetches.put(key, started);
                simulation.origin().serveFromOrigin(key, kb, group,
                    (copy, note) -> originFetchCompleted(started, key, fullRateMs, copy));
            }
            fetch.waiting.add(listener);
        }
    }

    /** A parent's fetch from the origin, shared by all fills that wait for it. */
    private static final class OriginFetch {
        final double startedAt;
        final List<CopyListener> waiting = new ArrayList<>();

        OriginFetch(double startedAt) {
            this.startedAt = startedAt;
        }
    }

    // Each entry is removed when its fetch completes.
    private final Map<Long, OriginFetch> originFetches = new HashMap<>();

    private void originFetchCompleted(OriginFetch fetch, long key, double fullRateMs, CacheStore.Copy copy) {
        originFetches.remove(key, fetch);
        if (!up) return;
        if (copy != null) storeCopy(key, copy);
        for (CopyListener listener : fetch.waiting) {
            if (copy == null) listener.completed(null, Director.ORIGIN_FAILED);
            else uplink.add(fullRateMs, () -> listener.completed(copy, Director.FILLED_BY_ORIGIN));
        }
    }

    /**
     * Serves an object from the origin. Transfers share its uplink; above a multiple of its full-rate capacity it
     * rejects requests.
     */
    private void serveFromOrigin(long key, double kb, int group, CopyListener listener) {
        if (!up || uplink.utilization() >= simulation.scenario.get("origin_sheds_at")) {
            simulation.originShed++;
            listener.completed(null, Director.ORIGIN_FAILED);
            return;
        }
        simulation.originFetches++;
        simulation.originKb += kb;
        double issuedAt = simulation.clock.nowMs;
        simulation.clock.scheduleAfter(simulation.scenario.get("origin_ms"),
            () -> uplink.add(kb / simulation.scenario.get("flow_kb_ms"),
            () -> listener.completed(new CacheStore.Copy(issuedAt, kb, group, 1), Director.FILLED_BY_ORIGIN)));
    }

    /** The load report sent with responses, refreshed at most once per report interval. */
    double[] report() {
        if (lastReport != null && simulation.clock.nowMs < reportedAt + simulation.scenario.get("report_ms")) {
            return lastReport;
        }
        reportedAt = simulation.clock.nowMs;
        if (requests - reportedRequests >= 10) {
            hitRatio = (hits - reportedHits) / (double) (requests - reportedRequests);
            reportedRequests = requests;
            reportedHits = hits;
        }
        lastReport = new double[Director.REPORT_SIZE];
        java.util.Arrays.fill(lastReport, Double.NaN);
        lastReport[Director.REPORT_ACTIVE_REQUESTS] = activeRequests;
        lastReport[Director.REPORT_CPU_SHARE] = Math.min(1, uplink.utilization());
        lastReport[Director.REPORT_HIT_RATIO] = hitRatio;
        lastReport[Director.REPORT_LINK_UTILIZATION] = kind == CACHE ? simulation.zoneLink(zone).utilization()
            : originFetches.size();
        return lastReport;
    }

    int copies() {
        return store.size();
    }
}
