package mothcross.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import mothcross.Capabilities;
import mothcross.DecisionWriter;
import mothcross.Director;
import mothcross.EventBatch;
import mothcross.SiteParameters;
import mothcross.SlowStartLimits;
import mothcross.Topology;
import mothcross.Workload;
import mothcross.adapter.LookupIndexAllocator;

/**
 * One director of a run: calls the policy through its interface, unchanged, and carries out its decisions. It
 * allocates lookup indices and tracks open hops and timers. The policy learns nothing but what its event batches
 * deliver.
 */
final class SimulatedDirector implements DecisionWriter {
    private static final double RETRY_AFTER_KILL_MS = 500;
    private final Simulation simulation;
    final int number;
    final int zone;
    private final DirectorFactory factory;
    private final SplittableRandom random;
    private Director director;
    private LookupIndexAllocator indexAllocator;
    private LoadGenerator.Lookup[] lookups;
    private final List<List<Hop>> hopsByLookup = new ArrayList<>();
    private boolean processing;
    private final List<EventBatch> pendingBatches = new ArrayList<>();
    boolean down;
    boolean starting;
    private final List<Runnable> missedUpdates = new ArrayList<>();
    int incarnation;
    long hopsSent;
    double lastDeliveryAt;

    SimulatedDirector(Simulation simulation, int number, int zone, DirectorFactory factory, SplittableRandom random) {
        this.simulation = simulation;
        this.number = number;
        this.zone = zone;
        this.factory = factory;
        this.random = random;
        start();
    }

    /**
     * Starts the director anew. It takes the node list as it stands, runs after the start-up delay, and then receives
     * the updates that it missed: before its first lookup, or after it where the scenario does not wait for updates.
     */
    void start() {
        double startUpMs = simulation.directors.contains(this) ? simulation.scenario.get("boot_ms") : 0;
        incarnation++;
        missedUpdates.clear();
        starting = startUpMs > 0;
        if (!starting) down = false;
        createDirector();
        if (!starting) return;
        int startedIncarnation = incarnation;
        double firstUpdateMs = startUpMs + simulation.scenario.get("speak_ms");
        simulation.clock.scheduleAfter(simulation.scenario.get("waits_for_news") > 0 ? firstUpdateMs : startUpMs,
            () -> {
            if (startedIncarnation == incarnation) down = false;
        });
        simulation.clock.scheduleAfter(firstUpdateMs, () -> {
            if (startedIncarnation != incarnation) return;
            starting = false;
            for (Runnable update : missedUpdates) update.run();
            missedUpdates.clear();
        });
    }

    /** An update published during the start-up delay. The director could have learned it, so it counts as notified. */
    void addMissedUpdate(Runnable update) {
        missedUpdates.add(update);
    }

    private void createDirector() {
        ScenarioParameters scenario = simulation.scenario;
        indexAllocator = new LookupIndexAllocator();
        lookups = new LoadGenerator.Lookup[64];
        hopsByLookup.clear();
        pendingBatches.clear();
        int zones = scenario.count("places");
        int directorsPerZone = scenario.count("directors");
        int[] directorsByZone = new int[zones + 1];
        for (int i = 0; i < zones; i++) directorsByZone[i] = directorsPerZone;
        director = factory.make(random.nextLong(), new Workload[] {workload(scenario, false), workload(scenario, true)},
            new Topology(zone, directorsByZone, directorsPerZone * zones, SimulatedNode.PARENT, SimulatedNode.ORIGIN),
            new Capabilities(scenario.count("hops"), true, true, scenario.get("straight") > 0, true, 1000),
            new SiteParameters(true, true, false, scenario.get("flow_kb_ms"), scenario.get("link_flows")),
            new SlowStartLimits(scenario.get("cold_floor"), scenario.get("cold_ms"), scenario.get("cold_breaks"),
            scenario.get("cold_span")),
            new SlowStartLimits(scenario.get("parent_floor"), scenario.get("parent_cold_ms"),
            scenario.get("parent_breaks"), scenario.get("cold_span")), scenario.get("purge_takes"));
        simulation.ruleChecker.directorStarted(number);
        boolean wasDown = down;
        down = false;
        process(receiver -> {
            receiver.listStarted(Director.LIST_RESTORED);
            for (SimulatedNode node : simulation.nodes) listNode(receiver, node, node.status);
            receiver.listFinished();
        });
        down = wasDown;
    }

    private static Workload workload(ScenarioParameters scenario, boolean nonIdempotent) {
        return new Workload(nonIdempotent ? Workload.Effect.NON_IDEMPOTENT : Workload.Effect.IDEMPOTENT,
            Workload.DeduplicationScope.ALL, 5000,
            scenario.get("target"), scenario.get("stretch"), scenario.get("abandon"), 1, scenario.get("late_share"),
            scenario.get("fresh"), scenario.get("stale"), scenario.get("stale_share"), false);
    }

    /** Ends the director's process: open hops are cancelled and clients retry their lookups. */
    void kill() {
        down = true;
        starting = false;
        missedUpdates.clear();
        for (List<Hop> hops : hopsByLookup) for (Hop hop : hops) if (hop != null && !hop.over) hop.cancel();
        for (LoadGenerator.Lookup lookup : lookups) {
            if (lookup == null || lookup.answered) continue;
            simulation.loadGenerator(zone).retry(lookup.request, RETRY_AFTER_KILL_MS);
        }
    }

    private void listNode(Director receiver, SimulatedNode node, int status) {
        simulation.ruleChecker.statusNotified(number, node, status);
        receiver.nodeListed(node.index, node.id, node.kind == SimulatedNode.CACHE ? node.zone
            : simulation.scenario.count("places"), node.kind, node.zone, status, node.capacityUnits(), node.startedAt);
    }

    // ---- events for the policy ----

    private void process(EventBatch batch) {
        if (down) return;
        if (processing) {
            pendingBatches.add(batch);
            return;
        }
        processing = true;
        director.process(simulation.clock.nowMs, batch, this);
        processing = false;
        while (!pendingBatches.isEmpty() && !down) {
            EventBatch next = pendingBatches.remove(0);
            processing = true;
            director.process(simulation.clock.nowMs, next, this);
            processing = false;
        }
    }

    void nodeChanged(SimulatedNode node, int status, double startedAt) {
        process(receiver -> {
            receiver.listStarted(Director.LIST_DELTA);
            simulation.ruleChecker.statusNotified(number, node, status);
            receiver.nodeListed(node.index, node.id, node.kind == SimulatedNode.CACHE ? node.zone
                : simulation.scenario.count("places"), node.kind, node.zone, status, node.capacityUnits(), startedAt);
            receiver.listFinished();
        });
    }

    void purged(int group, double purgedAt) {
        simulation.ruleChecker.purgeNotified(number, group, purgedAt);
        process(receiver -> receiver.purged(-1, group, simulation.clock.nowMs - purgedAt));
    }

    void startLookup(LoadGenerator.Lookup lookup) {
        int index = lookup.index = indexAllocator.allocate();
        while (index >= lookups.length) lookups = java.util.Arrays.copyOf(lookups, 2 * lookups.length);
        lookups[index] = lookup;
        while (hopsByLookup.size() <= index) hopsByLookup.add(new ArrayList<>());
        hopsByLookup.get(index).clear();
        LoadGenerator.Request request = lookup.request;
        process(receiver -> receiver.lookup(index, lookup.nonIdempotent ? 1 : 0, lookup.expiresAt, request.object, 0,
            request.group, request.kb, request.attempts > 1, false));
    }

    void clientDisconnected(LoadGenerator.Lookup lookup) {
        int index = lookup.index;
        if (lookups[index] != lookup) return;
        indexAllocator.markOver(index);
        process(receiver -> receiver.clientDisconnected(index));
        releaseIndex(index);
    }

    private void releaseIndex(int index) {
        if (indexAllocator.release(index)) lookups[index] = null;
    }

    private void hopEnded(int index, int hopNumber, SimulatedNode node, Hop hop, int outcome, int note,
        double sourceWaitMs, CacheStore.Copy copy) {
        LoadGenerator.Lookup lookup = lookups[index];
        if (down || lookup == null) return;
        boolean firstSuccess = outcome == Director.SUCCEEDED && !lookup.answered;
        if (outcome == Director.SUCCEEDED && copy != null) simulation.ruleChecker.copyServed(this.number, lookup, hop,
            copy);
        if (firstSuccess) {
            simulation.ruleChecker.answered(lookup, false);
            lookup.answered = true;
            indexAllocator.markOver(index);
            simulation.result.requestSucceeded(lookup.request, simulation.elapsedMs(), note);
        }
        boolean last = lookup.answered;
        hop.neverRan = outcome == Director.CONNECT_FAILED || outcome == Director.REJECTED || outcome == Director.MISS;
        if (!indexAllocator.hopEnded(index, hopNumber)) return;
        double elapsedMs = simulation.clock.nowMs - hop.sentAt;
        double[] report = node.reachable() && outcome != Director.TIMED_OUT ? node.report() : null;
        process(receiver -> receiver.hopEnded(index, hopNumber, node.index, outcome, last, note, elapsedMs,
            sourceWaitMs, report));
        releaseIndex(index);
    }

    // ---- decisions of the policy ----

    private void send(int index, int nodeIndex, int sourceIndex, double giveUpAt, int rank, double maxAge, int flags) {
        LoadGenerator.Lookup lookup = lookups[index];
        SimulatedNode node = simulation.nodes.get(nodeIndex);
        SimulatedNode source = sourceIndex == nodeIndex ? null : simulation.nodes.get(sourceIndex);
        lookup.mayHaveRun = mayHaveRun(index);
        simulation.ruleChecker.hopSent(number, lookup, node, source);
        hopsSent++;
        int hopNumber = indexAllocator.hopSent(index);
        int startedIncarnation = incarnation;
        Hop[] holder = new Hop[1];
        Hop hop = new Hop(lookup.request.object, lookup.group, lookup.request.kb, lookup.request.fullRateMs, source,
            rank, maxAge, flags, simulation.clock.nowMs,
            (outcome, note, sourceWaitMs, copy) -> simulation.clock.scheduleAfter(simulation.scenario.get("near_ms"),
            () -> {
                if (startedIncarnation == incarnation) hopEnded(index, hopNumber, node, holder[0], outcome, note,
                    sourceWaitMs, copy);
            }));
        holder[0] = hop;
        hopsByLookup.get(index).add(hop);
        double deadline = giveUpAt > 0 ? Math.min(giveUpAt, lookup.expiresAt) : lookup.expiresAt;
        simulation.clock.scheduleAfter(simulation.scenario.get("near_ms"), () -> node.receive(hop));
        simulation.clock.schedule(deadline, () -> {
            if (startedIncarnation != incarnation || hop.over) return;
            hop.cancel();
            node.cancel(hop);
            hopEnded(index, hopNumber, node, hop, Director.TIMED_OUT, 0, 0, null);
        });
        // A silent node is detected when the connect timeout expires.
        if (node.silent) simulation.clock.scheduleAfter(simulation.scenario.get("connect_ms"), () -> {
            if (startedIncarnation != incarnation || hop.over) return;
            hop.cancel();
            hopEnded(index, hopNumber, node, hop, Director.CONNECT_FAILED, 0, 0, null);
        });
    }

    /** Whether any hop of the lookup may have run: false only if every hop is known not to have run. */
    private boolean mayHaveRun(int index) {
        for (Hop hop : hopsByLookup.get(index)) if (!hop.neverRan) return true;
        return false;
    }

    @Override public void sendCacheOnly(int lookup, int node, double giveUpAt) {
        send(lookup, node, node, giveUpAt, 0, 0, 0);
    }

    @Override public void sendFetch(int lookup, int node, double giveUpAt, int source, int rank, double maxAge,
        int flags) {
        send(lookup, node, source, giveUpAt, rank, maxAge, flags);
    }

    @Override public void cancelHop(int index, int hopNumber) {
        List<Hop> hops = hopsByLookup.get(index);
        if (hopNumber >= hops.size() || hops.get(hopNumber).over) return;
        Hop hop = hops.get(hopNumber);
        int startedIncarnation = incarnation;
        hop.cancel();
        simulation.cancelAtNode(hop);
        simulation.clock.scheduleAfter(0, () -> {
            if (startedIncarnation == incarnation && !down && indexAllocator.hopEnded(index, hopNumber)) {
                process(receiver -> receiver.hopEnded(index, hopNumber, 0, Director.CANCELLED, true, 0,
                    simulation.clock.nowMs - hop.sentAt, 0, null));
                releaseIndex(index);
            }
        });
    }

    private void endLookup(int index, boolean rejected, double retryAfterMs) {
        LoadGenerator.Lookup lookup = lookups[index];
        lookup.mayHaveRun = mayHaveRun(index);
        simulation.ruleChecker.answered(lookup, rejected);
        lookup.answered = true;
        indexAllocator.markOver(index);
        if (rejected) simulation.result.rejected++;
        else simulation.result.failed++;
        if (rejected) simulation.loadGenerator(zone).retry(lookup.request, retryAfterMs);
        int startedIncarnation = incarnation;
        simulation.clock.scheduleAfter(0, () -> {
            if (startedIncarnation == incarnation) releaseIndex(index);
        });
    }

    @Override public void reject(int lookup, double retryAfterMs) {
        endLookup(lookup, true, retryAfterMs);
    }

    @Override public void fail(int lookup) {
        endLookup(lookup, false, 0);
    }

    @Override public void probe(int nodeIndex) {
        SimulatedNode node = simulation.nodes.get(nodeIndex);
        simulation.clock.scheduleAfter(2 * simulation.scenario.get("near_ms"),
            () -> process(receiver -> receiver.probeCompleted(nodeIndex,
            node.reachable() ? Director.SUCCEEDED : Director.CONNECT_FAILED, 2, node.reachable() ? node.report()
            : null)));
    }

    @Override public void setTimer(double fireAt, long timer) {
        int startedIncarnation = incarnation;
        simulation.clock.schedule(fireAt, () -> {
            if (startedIncarnation == incarnation) process(receiver -> receiver.timerFired(timer));
        });
    }

    @Override public void watchNodeList(boolean on) { }

    @Override public void log(String text) { }
}
