package mothcross.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * One simulation run: nodes, links, directors, clients and injected faults on one simulated clock and one thread. The
 * scenario, the fault schedule, the policy and the seed determine every byte of its result. It shares no code with the
 * operators' test bench.
 */
public final class Simulation {
    private static final double ISOLATION_RETRY_MS = 500;
    final ScenarioParameters scenario;
    final EventQueue clock = new EventQueue();
    final List<SimulatedNode> nodes = new ArrayList<>();
    final List<SimulatedDirector> directors = new ArrayList<>();
    final RuleChecker ruleChecker = new RuleChecker(this);
    final SimulationResult result;
    private final List<BandwidthLink> zoneLinks = new ArrayList<>();
    private final List<LoadGenerator> loadGenerators = new ArrayList<>();
    private final Map<SimulatedNode, Set<Hop>> openHops = new HashMap<>();
    final SplittableRandom random;
    private final SimulatedNode origin;
    private final double startedAtMs;
    long originFetches;
    long originShed;
    double originKb;
    /** Injected fault: factor by which discovery updates are delayed. */
    double discoveryDelayFactor = 1;
    /** Injected fault: zones whose directors receive no discovery updates. */
    final Set<Integer> isolatedZones = new HashSet<>();

    private Simulation(ScenarioParameters scenario, DirectorFactory policy, long seed) {
        this.scenario = scenario;
        this.random = new SplittableRandom(seed);
        this.result = new SimulationResult(scenario);
        // Like Unix time, never near 0: a time of 0 means that nothing has been received.
        clock.nowMs = 1_000_000;
        startedAtMs = clock.nowMs;
        int zones = scenario.count("places");
        for (int zone = 0; zone < zones; zone++) zoneLinks.add(new BandwidthLink(clock, scenario.get("link_flows")));
        for (int zone = 0; zone < zones; zone++) {
            for (int i = 0; i < scenario.count("caches"); i++) {
                nodes.add(new SimulatedNode(this, nodes.size(), SimulatedNode.CACHE, zone));
            }
        }
        for (int i = 0; i < scenario.count("parents"); i++) {
            nodes.add(new SimulatedNode(this, nodes.size(), SimulatedNode.PARENT, 0));
        }
        nodes.add(origin = new SimulatedNode(this, nodes.size(), SimulatedNode.ORIGIN, 0));
        for (int zone = 0; zone < zones; zone++) {
            for (int i = 0; i < scenario.count("directors"); i++) {
                directors.add(new SimulatedDirector(this, directors.size(), zone, policy, random.split()));
            }
        }
        for (int zone = 0; zone < zones; zone++) loadGenerators.add(new LoadGenerator(this, zone, random.split()));
    }

    /** Runs a simulation from start to end and returns its result. */
    public static SimulationResult run(ScenarioParameters scenario, FaultSchedule faults, DirectorFactory policy,
        long seed) {
        Simulation simulation = new Simulation(scenario, policy, seed);
        for (LoadGenerator generator : simulation.loadGenerators) generator.scheduleArrival();
        faults.scheduleOn(simulation);
        simulation.result.events = simulation.clock.run(simulation.startedAtMs + 1000 * scenario.get("seconds")
            + scenario.get("abandon") + 1000);
        SimulationResult result = simulation.result;
        for (SimulatedDirector director : simulation.directors) result.hops += director.hopsSent;
        result.originFetches = simulation.originFetches;
        result.originShed = simulation.originShed;
        result.violations = simulation.ruleChecker.violations;
        result.firstViolations = simulation.ruleChecker.firstViolations;
        for (SimulatedNode node : simulation.nodes) {
            if (node.overloaded) result.overloadedNodes++;
            result.peakOverloadShare = Math.max(result.peakOverloadShare, node.peakOverloadShare);
        }
        return result;
    }

    /** Simulated milliseconds since the start of the run. */
    double elapsedMs() {
        return clock.nowMs - startedAtMs;
    }

    double freshMs() {
        return scenario.get("fresh");
    }

    SimulatedNode origin() {
        return origin;
    }

    BandwidthLink zoneLink(int zone) {
        return zoneLinks.get(zone);
    }

    LoadGenerator loadGenerator(int zone) {
        return loadGenerators.get(zone);
    }

    /** A random running director of the zone; null where none is running. */
    SimulatedDirector pickDirector(int zone, SplittableRandom random) {
        int count = scenario.count("directors");
        int first = zone * count;
        int offset = random.nextInt(count);
        for (int i = 0; i < count; i++) {
            SimulatedDirector director = directors.get(first + (offset + i) % count);
            if (!director.down) return director;
        }
        return null;
    }

    // ---- open hops by node ----

    void hopOpened(SimulatedNode node, Hop hop) {
        openHops.computeIfAbsent(node, k -> new java.util.LinkedHashSet<>()).add(hop);
    }

    boolean hopClosed(SimulatedNode node, Hop hop) {
        Set<Hop> hops = openHops.get(node);
        return hops != null && hops.remove(hop);
    }

    List<Hop> removeOpenHops(SimulatedNode node) {
        Set<Hop> hops = openHops.remove(node);
        return hops == null ? List.of() : new ArrayList<>(hops);
    }

    /** Cancels a hop at the node at which it is open. */
    void cancelAtNode(Hop hop) {
        for (SimulatedNode node : nodes) {
            Set<Hop> hops = openHops.get(node);
            if (hops == null || !hops.contains(hop)) continue;
            node.cancel(hop);
            return;
        }
    }

    // ---- discovery updates ----

    /** Sets the status of a node in the node list and notifies each director after a delay of its own. */
    void publishStatus(SimulatedNode node, int status) {
        node.status = status;
        double startedAt = node.startedAt;
        for (SimulatedDirector director : directors) {
            int incarnation = director.incarnation;
            clock.schedule(nextDeliveryTime(director), () -> deliver(director, incarnation,
                () -> ruleChecker.statusNotified(director.number, node, status),
                () -> director.nodeChanged(node, status, startedAt)));
        }
    }

    /** Purges a group at every node but the origin and notifies each director, each after a delay of its own. */
    void purge(int group) {
        double purgedAt = clock.nowMs;
        for (SimulatedNode node : nodes) {
            if (node.kind != SimulatedNode.ORIGIN) {
                clock.scheduleAfter(random.nextDouble() * scenario.get("purge_takes"),
                    () -> node.purged(group, purgedAt));
            }
        }
        for (SimulatedDirector director : directors) {
            int incarnation = director.incarnation;
            clock.schedule(nextDeliveryTime(director), () -> deliver(director, incarnation,
                () -> ruleChecker.purgeNotified(director.number, group, purgedAt),
                () -> director.purged(group, purgedAt)));
        }
    }

    /** The delay is random for each director; updates of one director keep their order. */
    private double nextDeliveryTime(SimulatedDirector director) {
        double delay = scenario.get("news_ms") * discoveryDelayFactor * (0.5 + random.nextDouble());
        return director.lastDeliveryAt = Math.max(director.lastDeliveryAt, clock.nowMs + delay);
    }

    /**
     * Delivers an update. A director in an isolated zone receives it when the isolation ends; a starting one, when it
     * has started.
     */
    private void deliver(SimulatedDirector director, int incarnation, Runnable recordNotified, Runnable update) {
        boolean sameIncarnation = director.incarnation == incarnation && !director.down;
        if (!director.starting && !sameIncarnation) return;
        if (isolatedZones.contains(director.zone)) {
            clock.scheduleAfter(ISOLATION_RETRY_MS, () -> deliver(director, incarnation, recordNotified, update));
        } else if (director.starting) {
            recordNotified.run();
            director.addMissedUpdate(update);
        } else {
            update.run();
        }
    }
}
