package mothcross.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * One run: boxes, links, directors, clients and what befalls them, on one clock and one thread. Owns them all; a run is
 * decided by its town, its script, its policy and its seed, to the byte. Nothing here comes from the operators' bench.
 */
public final class Simulation {
    final ScenarioParameters town;
    final EventQueue clock = new EventQueue();
    final List<SimulatedNode> boxes = new ArrayList<>();
    final List<SimulatedDirector> hosts = new ArrayList<>();
    final RuleChecker check = new RuleChecker(this);
    final SimulationResult result;
    private final List<BandwidthLink> links = new ArrayList<>();
    private final List<LoadGenerator> demands = new ArrayList<>();
    private final Map<SimulatedNode, Set<Hop>> open = new HashMap<>();
    final SplittableRandom chance;
    private final SimulatedNode origin;
    private final double zero;
    long originFetches, originShed;
    double originKb;
    /** Faults: news takes so many times as long; a place hears none. */
    double newsTimes = 1;
    final Set<Integer> cutOff = new HashSet<>();

    private Simulation(ScenarioParameters town, DirectorFactory policy, long seed) {
        this.town = town;
        this.chance = new SplittableRandom(seed);
        this.result = new SimulationResult(town);
        clock.now = 1_000_000;                              // as Unix ms are: never near 0, which means 'untold'
        zero = clock.now;
        int places = town.count("places");
        for (int p = 0; p < places; p++) links.add(new BandwidthLink(clock, town.get("link_flows")));
        for (int p = 0; p < places; p++) {
            for (int i = 0; i < town.count("caches"); i++) boxes.add(new SimulatedNode(this, boxes.size(), SimulatedNode.CACHE, p));
        }
        for (int i = 0; i < town.count("parents"); i++) boxes.add(new SimulatedNode(this, boxes.size(), SimulatedNode.PARENT, 0));
        boxes.add(origin = new SimulatedNode(this, boxes.size(), SimulatedNode.ORIGIN, 0));
        for (int p = 0; p < places; p++) {
            for (int i = 0; i < town.count("directors"); i++) hosts.add(new SimulatedDirector(this, hosts.size(), p, policy,
                chance.split()));
        }
        for (int p = 0; p < places; p++) demands.add(new LoadGenerator(this, p, chance.split()));
    }

    /** Plays a run from its begin to its end. */
    public static SimulationResult play(ScenarioParameters town, FaultSchedule script, DirectorFactory policy, long seed) {
        Simulation w = new Simulation(town, policy, seed);
        for (LoadGenerator d : w.demands) d.begin();
        script.set(w);
        w.result.events = w.clock.run(w.zero + 1000 * town.get("seconds") + town.get("abandon") + 1000);
        SimulationResult r = w.result;
        for (SimulatedDirector h : w.hosts) r.hops += h.sent;
        r.originFetches = w.originFetches;
        r.originShed = w.originShed;
        r.broken = w.check.broken;
        r.first = w.check.first;
        for (SimulatedNode b : w.boxes) {
            if (b.fell) r.fallen++;
            r.nearest = Math.max(r.nearest, b.nearest);
        }
        return r;
    }

    /** Ms since the begin. */
    double elapsed() {
        return clock.now - zero;
    }

    double fresh() {
        return town.get("fresh");
    }

    SimulatedNode origin() {
        return origin;
    }

    BandwidthLink linkOf(int place) {
        return links.get(place);
    }

    LoadGenerator demandAt(int place) {
        return demands.get(place);
    }

    /** The director that a client of this place finds: one that runs, any of them. */
    SimulatedDirector hostAt(int place, SplittableRandom by) {
        int n = town.count("directors"), first = place * n, at = by.nextInt(n);
        for (int i = 0; i < n; i++) {
            SimulatedDirector h = hosts.get(first + (at + i) % n);
            if (!h.dead) return h;
        }
        return null;
    }

    // ---- what is open at boxes ----

    void open(SimulatedNode b, Hop h) {
        open.computeIfAbsent(b, k -> new java.util.LinkedHashSet<>()).add(h);
    }

    boolean closed(SimulatedNode b, Hop h) {
        Set<Hop> all = open.get(b);
        return all != null && all.remove(h);
    }

    List<Hop> openAt(SimulatedNode b) {
        Set<Hop> all = open.remove(b);
        return all == null ? List.of() : new ArrayList<>(all);
    }

    void droppedAnywhere(Hop h) {
        for (SimulatedNode b : boxes) {
            Set<Hop> all = open.get(b);
            if (all == null || !all.contains(h)) continue;
            b.dropped(h);
            return;
        }
    }

    // ---- news ----

    /** The list hears of a box, and tells every director somewhat later, each after a delay of its own. */
    void tell(SimulatedNode b, int standing) {
        b.standing = standing;
        double started = b.startedAt;
        for (SimulatedDirector h : hosts) {
            int run = h.run;
            clock.at(due(h), () -> heard(h, run, () -> check.told(h.number, b, standing),
                () -> h.news(b, standing, started)));
        }
    }

    void purge(int group) {
        double at = clock.now;
        for (SimulatedNode b : boxes) {
            if (b.kind != SimulatedNode.ORIGIN) clock.in(chance.nextDouble() * town.get("purge_takes"), () -> b.purged(group,
                at));
        }
        for (SimulatedDirector h : hosts) {
            int run = h.run;
            clock.at(due(h), () -> heard(h, run, () -> check.toldPurge(h.number, group, at),
                () -> h.purged(group, at)));
        }
    }

    /** Each director hears after a delay of its own, and everything in its order. */
    private double due(SimulatedDirector h) {
        double delay = town.get("news_ms") * newsTimes * (0.5 + chance.nextDouble());
        return h.newsDue = Math.max(h.newsDue, clock.now + delay);
    }

    /** A place that is cut off from the list hears it when it is back. */
    private void heard(SimulatedDirector h, int run, Runnable told, Runnable what) {
        boolean here = h.run == run && !h.dead;
        if (!h.booting && !here) return;
        if (cutOff.contains(h.place)) {
            clock.in(500, () -> heard(h, run, told, what));
        } else if (h.booting) {
            told.run();
            h.misses(what);
        } else {
            what.run();
        }
    }
}
