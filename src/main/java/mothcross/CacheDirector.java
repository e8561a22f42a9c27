package mothcross;

import java.util.*;

/**
 * The routing policy of a director: which cache a lookup is sent to, whether the copy is kept there, where it is
 * filled from, and when a failed hop is retried, hedged or given up. {@link Director#process} delivers a batch of
 * events to the handlers here, and each decision goes at once into the batch's {@link DecisionWriter}. One instance
 * is one director; it knows only what its own batches bring. docs/design.md says which part follows the design and
 * where it is extended.
 */
public final class CacheDirector implements Director {
    private static final long TUNE_TIMER = 0;
    private static final long LIST_RETRY_TIMER = 1;
    /** The hedge timer of a lookup is this plus its index. */
    private static final long FIRST_HEDGE_TIMER = 2;
    private static final double LIST_RETRY_MIN_MS = 300;
    private static final double LIST_RETRY_JITTER_MS = 400;
    private static final double HEDGE_TOKENS_EARNED = 2;
    /** A hop is overdue when this many transfer times are left until the target time. */
    private static final double HEDGE_TRANSFER_TIMES = 1.5;
    private static final double UTILIZATION_SMOOTHING = 0.2;
    private static final double BAD_FILL_SMOOTHING = 0.05;
    /** An alternative source must be faster than the ranked one by more than this factor. */
    private static final double SOURCE_SWITCH_PACE_FACTOR = 2;
    private static final double RETRY_AFTER_MIN_SHARE = 0.2;
    private static final double RETRY_AFTER_JITTER_SHARE = 0.3;

    /** What a node must fulfil to be chosen; each value includes those before it. */
    private enum Requirement { ANY, HEALTHY, IN_TIME }

    private enum Tier { CACHE, PARENT, ORIGIN }

    private final SplittableRandom random;
    private final Workload[] workloads;
    private final Topology topology;
    private final Capabilities capabilities;
    private final SiteParameters siteParameters;
    private final Admission admission;
    private final Placement placement = new Placement();
    private final Health health = new Health();
    private final PurgeTracker purges;
    private final SlowStartBudget cacheSlowStart;
    private final SlowStartBudget parentSlowStart;
    /** The link into this zone, shared by fills and by hops that bypass the caches. */
    private final LinkEstimate zoneLink;
    private final OriginThrottle originThrottle = new OriginThrottle();
    private final RetryBudget retryBudget = new RetryBudget();
    /** Pays for retries after errors without a reported reason. */
    private final RetryBudget provingBudget = new RetryBudget();
    private final RetryBudget hedgeBudget = new RetryBudget();
    private final SendGuard guard = new SendGuard();
    /** By workload. */
    private final TransferTimeEstimate[] transferTimes;
    /** Share of recent fills that were late or failed, by workload. */
    private final double[] badFillShare;
    /** By the caller's index; indices are used again, so the array stays small. */
    private Lookup[] lookups = new Lookup[64];
    private double now;
    private DecisionWriter out;

    /**
     * Creates a director.
     *
     * @param seed seed of every random choice of this director
     * @param caches slow start of this zone's caches, shared by the directors of the zone
     * @param parents slow start of the parents, shared by all directors
     * @param purgeTakesMs time until every cache and parent has dropped a purged object by itself
     */
    public CacheDirector(long seed, Workload[] workloads, Topology topology, Capabilities capabilities,
                         SiteParameters siteParameters, SlowStartLimits caches, SlowStartLimits parents,
                         double purgeTakesMs) {
        this.random = new SplittableRandom(seed);
        this.workloads = workloads;
        this.topology = topology;
        this.capabilities = capabilities;
        this.siteParameters = siteParameters;
        hedgeBudget.tokens = 0;
        this.transferTimes = Arrays.stream(workloads).map(TransferTimeEstimate::new)
            .toArray(TransferTimeEstimate[]::new);
        this.badFillShare = new double[workloads.length];
        this.purges = new PurgeTracker(purgeTakesMs);
        int directorsInZone = Math.max(1, topology.directorsPerZone()[topology.ownZone()]);
        this.admission = new Admission(random.split(), directorsInZone);
        double zoneLinkFlows = siteParameters.zoneLinkFlows() > 0 ? siteParameters.zoneLinkFlows() : Double.NaN;
        this.zoneLink = new LinkEstimate(directorsInZone, zoneLinkFlows);
        this.cacheSlowStart = new SlowStartBudget(caches, directorsInZone);
        this.parentSlowStart = new SlowStartBudget(parents, Math.max(1, topology.directors()));
    }

    @Override public void process(double at, EventBatch in, DecisionWriter writer) {
        now = at;
        if (out == null) {
            writer.setTimer(now + Admission.ROUND_MS, TUNE_TIMER);
            if (siteParameters.listOnRequest()) writer.watchNodeList(true);
        }
        out = writer;
        in.deliverTo(this);
    }

    // ---- lookups ----

    @Override public void lookup(int index, int workloadIndex, double expires, long object, int part, int group,
                                 double sizeKb, boolean repeat, boolean write, RouteConstraints constraints) {
        while (index >= lookups.length) lookups = Arrays.copyOf(lookups, 2 * lookups.length);
        Lookup lookup = new Lookup();
        lookups[index] = lookup;
        Workload workload = workloads[workloadIndex];
        lookup.workload = workload;
        lookup.index = index;
        lookup.workloadIndex = workloadIndex;
        lookup.object = object;
        lookup.group = group;
        lookup.objectKey = mix(object + mix(part));
        boolean hasPlacementKey = constraints != null && constraints.hasPlacementKey();
        lookup.placementKey = hasPlacementKey ? mix(constraints.placementKey()) : lookup.objectKey;
        lookup.importanceShare = constraints == null ? 1 : constraints.importanceShare();
        lookup.expires = expires;
        int maxHops = capabilities.maxHops();
        lookup.hops = new Hop[constraints == null ? maxHops : Math.min(constraints.maxHops(), maxHops)];
        lookup.sizeKnown = sizeKb > 0 && siteParameters.flowKbPerMs() > 0;
        lookup.transferMs = lookup.sizeKnown
            ? sizeKb / siteParameters.flowKbPerMs()
            : transferTimes[workloadIndex].meanMs();
        lookup.targetAt = Math.min(expires,
            now + workload.targetMs() + workload.targetSizeFactor() * lookup.transferMs);
        lookup.open = true;
        lookup.uncacheable = workload.uncacheable() || write;
        if (lookup.sizeKnown) transferTimes[workloadIndex].recordClaim(lookup.transferMs);
        // Without sizes each object counts as 1, so that the admission's c and K are in objects.
        lookup.sizeKb = sizeKb > 0 ? sizeKb : 1;
        if (!lookup.uncacheable && admission.admits(lookup.sizeKb)) lookup.rank = Admission.MIDDLE_RANK;
        if (!sendNextHop(lookup)) guard.finish(lookup);
    }

    /**
     * Sends the first or a further hop: to the highest ranked cache, filled from the highest ranked parent, then
     * from the origin. Returns false where no hop could be sent.
     */
    private boolean sendNextHop(Lookup lookup) {
        Node node = chooseNode(lookup);
        if (node == null) return false;
        Node source = node;
        boolean fill = lookup.uncacheable || node.tier != Tier.CACHE
            || !lookup.originFailed && zoneLink.canMeetTarget(lookup);
        if (node.tier != Tier.ORIGIN && fill) {
            Node fillSource = chooseFillSource(lookup, node);
            if (fillSource != null) source = fillSource;
        }
        return guard.send(lookup, node, source, lookup.expires);
    }

    private Node chooseNode(Lookup lookup) {
        Node node = null;
        if (lookup.uncacheable && capabilities.bypassCache()) {
            node = placement.highestRanked(Tier.ORIGIN, lookup, false, Requirement.HEALTHY);
        }
        if (node == null) node = placement.highestRanked(Tier.CACHE, lookup, false, Requirement.HEALTHY);
        // A slow, stalled or overloaded cache that would answer late is passed over like one that fails.
        if (node != null && node.tier == Tier.CACHE && !node.link.canMeetTarget(lookup)) {
            if (!zoneLink.canMeetTarget(lookup)) return null;
            return placement.highestRanked(Tier.CACHE, lookup, false, Requirement.IN_TIME);
        }
        // Guards against an outage that looks total: a cache ejected by mistake is still better than no answer.
        if (node == null && lookup.hopCount == 0) {
            node = placement.highestRanked(Tier.CACHE, lookup, false, Requirement.ANY);
        }
        // Hops that bypass the caches share the zone's link with the fills, and congest it when no cache is left.
        boolean bypass = node == null && !lookup.hedging && capabilities.bypassCache()
            && zoneLink.canMeetTarget(lookup);
        if (bypass) node = placement.highestRanked(Tier.PARENT, lookup, false, Requirement.HEALTHY);
        if (bypass && node == null) node = placement.highestRanked(Tier.ORIGIN, lookup, false, Requirement.HEALTHY);
        return node;
    }

    private Node chooseFillSource(Lookup lookup, Node node) {
        boolean throughParent = node.tier == Tier.CACHE && !lookup.uncacheable;
        Node source = throughParent
            ? placement.highestRanked(Tier.PARENT, lookup, true, Requirement.HEALTHY)
            : null;
        boolean late = source != null && !source.link.canMeetTarget(lookup);
        Node inTime = late ? placement.highestRanked(Tier.PARENT, lookup, true, Requirement.IN_TIME) : null;
        // A late source is left only for one known to be much faster; where all are slow, the hash decides.
        if (inTime != null && inTime.link.paceForNext() > SOURCE_SWITCH_PACE_FACTOR * source.link.paceForNext()) {
            source = inTime;
        }
        if (source == null && originThrottle.permits()) {
            source = placement.highestRanked(Tier.ORIGIN, lookup, true, Requirement.HEALTHY);
        }
        // Guards against an origin whose failures get all parents ejected: they still serve what they hold.
        if (source == null && throughParent) {
            source = placement.highestRanked(Tier.PARENT, lookup, true, Requirement.ANY);
        }
        return source;
    }

    @Override public void hopEnded(int index, int hopIndex, int node, int outcome, boolean last, int note,
                                   double spent, double sourceWait, double[] report) {
        Lookup lookup = lookups[index];
        Hop hop = lookup == null || hopIndex >= lookup.hopCount ? null : lookup.hops[hopIndex];
        if (hop == null || hop.ended) return;
        hop.ended = true;
        hop.node.link.addInFlight(-1);
        if (hop.source != hop.node) hop.source.link.addInFlight(-1);
        lookup.hopsInFlight--;
        if (hop.usesZoneLink) zoneLink.addInFlight(-1);
        if (outcome == TIMED_OUT || outcome == SUCCEEDED && lookup.hopsInFlight > 0) {
            hedgeBudget.earn(HEDGE_TOKENS_EARNED);
        }
        if (report != null) recordReport(hop.node, report);
        // An error without a reported reason may be caused by the lookup itself: a malformed request fails everywhere.
        hop.unexplainedError = outcome == ERROR && note == 0 && siteParameters.failureReasonsReported()
            && lookup.workload.effect() != Workload.Effect.NON_IDEMPOTENT;
        if (hop.unexplainedError) lookup.unexplainedErrors++;
        boolean sourceNotAsked = note == HIT || note == STALE_HIT || note == COALESCED || outcome == CONNECT_FAILED;
        if (sourceNotAsked) hop.source.tokens += hop.sourceTokens;
        if (hop.source != hop.node && !sourceNotAsked && !hop.unexplainedError && note != COLLATERAL_FAILURE) {
            double bad = outcome != SUCCEEDED || now > lookup.targetAt ? 1 : 0;
            badFillShare[lookup.workloadIndex] += BAD_FILL_SMOOTHING * (bad - badFillShare[lookup.workloadIndex]);
        }
        if (outcome == SUCCEEDED) {
            recordSuccess(lookup, hop, hopIndex, note, spent, sourceWait);
        } else {
            hop.notExecuted = outcome == REJECTED || outcome == CONNECT_FAILED || outcome == NOT_SENT
                || outcome == MISS;
            attributeFailure(lookup, hop, outcome, note);
        }
        if (last || outcome == SUCCEEDED) {
            close(lookup, outcome == SUCCEEDED);
            guard.cancelOutstandingHops(lookup);
        }
        if (!lookup.open || lookup.streaming || lookup.hopsInFlight > 0) return;
        if (!(mayRetry(lookup, hop, outcome, note) && sendNextHop(lookup))) guard.finish(lookup);
    }

    private void recordReport(Node node, double[] report) {
        node.hitRatio = report[REPORT_HIT_RATIO];
        if (report[REPORT_CPU_SHARE] >= 0) {
            node.utilization += UTILIZATION_SMOOTHING * (report[REPORT_CPU_SHARE] - node.utilization);
        }
    }

    private void recordSuccess(Lookup lookup, Hop hop, int hopIndex, int note, double spent, double sourceWait) {
        // Only lookups that succeed feed the means and confirm the errors before them: malformed ones never succeed.
        TransferTimeEstimate transferTime = transferTimes[lookup.workloadIndex];
        transferTime.recordSuccess(lookup.sizeKnown ? lookup.transferMs : spent);
        hop.node.failuresInRow = 0;
        slowStartOf(hop.node).recordCompleted(hop.node, transferTime.meanMs());
        boolean filled = note == FILLED || note == FILLED_BY_ORIGIN;
        boolean delayedByOrigin = note == FILLED_BY_ORIGIN && now > lookup.targetAt && sourceWait > spent / 2;
        if (note == FILLED_BY_ORIGIN) originThrottle.recordFill(delayedByOrigin ? 1 : 0);
        if (filled) {
            if (!hop.sourceCacheOnly && now <= lookup.targetAt) hop.source.failuresInRow = 0;
            slowStartOf(hop.source).recordCompleted(hop.source, transferTime.meanMs());
        }
        if (!lookup.uncacheable && hopIndex == 0 && hop.node.tier == Tier.CACHE && note != 0) {
            admission.cacheAnswers++;
            if (note == HIT || note == STALE_HIT) admission.cacheHits++;
        }
        if (!lookup.uncacheable) admission.recordRequest(lookup.objectKey, lookup.sizeKb);
        for (int i = 0; i < lookup.hopCount; i++) {
            if (lookup.hops[i].unexplainedError) health.recordFailure(lookup.hops[i].node, ERROR);
        }
        if (note == HIT) hop.node.link.observe(lookup, spent);
        if (note == FILLED) hop.source.link.observe(lookup, spent);
        if (filled || hop.node.tier != Tier.CACHE) zoneLink.observe(lookup, spent - sourceWait);
        retryBudget.earn(RetryBudget.TOKENS_PER_SUCCESS);
        provingBudget.earn(RetryBudget.TOKENS_PER_SUCCESS);
    }

    /** Whether another hop could still help, and the retry budget pays for it. */
    private boolean mayRetry(Lookup lookup, Hop hop, int outcome, int note) {
        boolean onlyCachesAsked = outcome == MISS && (hop.source == hop.node || hop.sourceCacheOnly);
        boolean originFailedWithoutStale = lookup.originFailed && lookup.workload.staleMs() == 0;
        boolean hopeless = onlyCachesAsked || originFailedWithoutStale || lookup.unexplainedErrors > 1;
        boolean enoughTime = lookup.expires - now > lookup.transferMs;
        if (hopeless || !enoughTime) return false;
        RetryBudget budget = hop.unexplainedError ? provingBudget : retryBudget;
        return budget.tryTake(hop.notExecuted || note == COLLATERAL_FAILURE);
    }

    /**
     * Hedges a lookup whose hop is overdue. Guards against answers that never come: once some hops have timed out, a
     * hop out for so long that another could just be in time gets a second one beside it, which asks nothing of the
     * origin. Each time-out, and each success while the other hop is still out, pays for two hedges.
     */
    private void hedge(Lookup lookup) {
        if (!lookup.open || lookup.hopsInFlight != 1 || now < lookup.hedgeAt || !hedgeBudget.tryTake(false)) return;
        lookup.hedging = true;
        sendNextHop(lookup);
        lookup.hedging = false;
    }

    /**
     * Counts a failure against the node, the source or the origin. The reported reason decides; where none is
     * reported, the node and its source are both suspected.
     */
    private void attributeFailure(Lookup lookup, Hop hop, int outcome, int note) {
        if (outcome == CANCELLED || outcome == NOT_SENT) return;
        boolean bySource = note == SOURCE_REJECTED || note == SOURCE_UNREACHABLE || note == SOURCE_MISS;
        boolean unclear = outcome == TIMED_OUT
            || !siteParameters.failureReasonsReported()
            && (outcome == REJECTED || outcome == MISS || outcome == ERROR);
        lookup.originFailed |= note == ORIGIN_FAILED;
        hop.sourceBlamed = hop.source != hop.node && (bySource || unclear);
        boolean byNode = !bySource && note != ORIGIN_FAILED;
        // After a lost connection the node may be asked again, since it may hold the copy that it was sending.
        hop.nodeBlamed = byNode && outcome != CONNECTION_LOST;
        if (hop.sourceBlamed && note != SOURCE_MISS) health.recordFailure(hop.source, outcome);
        if (note == ORIGIN_FAILED || hop.source.tier == Tier.ORIGIN && hop.sourceBlamed) {
            originThrottle.recordFill(OriginThrottle.MAX_CUTS_PER_FAILURE);
        }
        if (byNode && outcome != REJECTED && outcome != MISS && note != COLLATERAL_FAILURE
            && !hop.unexplainedError) {
            health.recordFailure(hop.node, outcome);
        }
    }

    @Override public void streamStarted(int index, int hop) {
        if (index < lookups.length && lookups[index] != null) lookups[index].streaming = true;
    }

    @Override public void clientDisconnected(int index) {
        Lookup lookup = lookups[index];
        close(lookup, false);
        guard.cancelOutstandingHops(lookup);
    }

    /** Nothing more is sent for the lookup. The size that its client gave counts no longer if it was not served. */
    private void close(Lookup lookup, boolean served) {
        if (lookup.open && lookup.sizeKnown && !served) {
            transferTimes[lookup.workloadIndex].retractClaim(lookup.transferMs);
        }
        lookup.open = false;
    }

    @Override public void timerFired(long name) {
        int index = (int) Math.min(name - FIRST_HEDGE_TIMER, lookups.length - 1);
        if (index >= 0 && lookups[index] != null) hedge(lookups[index]);
        if (name == LIST_RETRY_TIMER) out.watchNodeList(true);
        if (name == TUNE_TIMER) out.setTimer(now + admission.tune(placement.reportedHitRatio()), TUNE_TIMER);
    }

    @Override public void purged(long object, int group, double ago) {
        purges.record(object, group, now - ago);
    }

    @Override public void probeCompleted(int node, int outcome, double spent, double[] report) { }

    // ---- node list ----

    @Override public void listStarted(int listKind) {
        placement.readingSnapshot = listKind == LIST_SNAPSHOT || listKind == LIST_RESTORED;
        if (placement.readingSnapshot) {
            for (Node node : placement.nodes) {
                if (node != null) node.inSnapshot = false;
            }
        }
        if (listKind == LIST_UNAVAILABLE && siteParameters.listOnRequest()) {
            out.setTimer(now + LIST_RETRY_MIN_MS + LIST_RETRY_JITTER_MS * random.nextDouble(), LIST_RETRY_TIMER);
        }
    }

    @Override public void nodeListed(int index, String address, int zone, int kind, int cell, int status,
                                     double units, double startedAt) {
        while (placement.nodes.size() <= index) placement.nodes.add(null);
        Node node = placement.nodes.get(index);
        long hash = 0;
        for (int i = 0; i < address.length(); i++) hash = mix(hash * 31 + address.charAt(i));
        // Another address: the index belonged to a node that has been removed.
        if (node != null && node.hash != hash) node = null;
        boolean returned = node == null
            ? !placement.readingFirstList
            : node.status == REMOVED && status == IN_SERVICE;
        double size = units > 0 ? units : 1;
        if (node == null) {
            node = new Node();
            placement.nodes.set(index, node);
            node.index = index;
            node.hash = hash;
            node.tier = tierOf(kind);
            node.zone = zone;
            node.cell = cell;
            boolean capacityKnown = node.tier == Tier.CACHE && siteParameters.unitsAreLinkCapacity();
            node.link = new LinkEstimate(slowStartOf(node).directors, capacityKnown ? size : Double.NaN);
        }
        List<Node> ranked = placement.rankedByTier.get(node.tier);
        boolean isCandidate = node.tier != Tier.CACHE || zone == topology.ownZone();
        if (isCandidate && !ranked.contains(node)) ranked.add(node);
        node.status = status;
        node.units = size;
        node.inSnapshot = true;
        // Guards against a restart without a start time: a node that returns counts as just started.
        double since = startedAt != 0 ? startedAt : returned ? now : node.startedAt;
        if (since != node.startedAt && since != 0) {
            node.failuresInRow = 0;
            slowStartOf(node).begin(node, since);
        }
    }

    @Override public void listFinished() {
        if (placement.readingSnapshot) {
            for (Node node : placement.nodes) {
                if (node != null && !node.inSnapshot) node.status = REMOVED;
            }
        }
        for (List<Node> ranked : placement.rankedByTier.values()) ranked.removeIf(node -> node.status == REMOVED);
        placement.readingSnapshot = false;
        placement.readingFirstList = false;
    }

    private Tier tierOf(int kind) {
        if (kind == topology.parentKind()) return Tier.PARENT;
        if (kind == topology.originKind()) return Tier.ORIGIN;
        return Tier.CACHE;
    }

    private SlowStartBudget slowStartOf(Node node) {
        return node.tier == Tier.PARENT ? parentSlowStart : cacheSlowStart;
    }

    /** The finalizer of a 64-bit mixing hash. */
    private static long mix(long x) {
        x = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        x = (x ^ (x >>> 27)) * 0x94d049bb133111ebL;
        return x ^ (x >>> 31);
    }

    private static final class Lookup {
        int index;
        int workloadIndex;
        Workload workload;
        long object;
        int group;
        /** Hash of the object and its part. */
        long objectKey;
        /** Hash by which nodes are ranked: that of the object, or of the route's key. */
        long placementKey;
        /** Rank at which a cache keeps the copy; 0 where it does not. */
        int rank;
        /** How much of the time left until the target the lookup may count on. */
        double importanceShare;
        double expires;
        /** When the answer should be there, from the workload's target and the object's size. */
        double targetAt;
        double hedgeAt;
        /** Transfer time at full pace of one flow. */
        double transferMs;
        double sizeKb;
        boolean sizeKnown;
        /** No final answer has been given yet. */
        boolean open;
        boolean uncacheable;
        boolean streaming;
        boolean originFailed;
        /** A hedge is being sent. */
        boolean hedging;
        Hop[] hops;
        int hopCount;
        int hopsInFlight;
        int unexplainedErrors;
    }

    private static final class Hop {
        Node node;
        Node source;
        double sentAt;
        /** What was charged to the source's slow start; returned if the source turns out not to have been asked. */
        double sourceTokens;
        boolean ended;
        boolean usesZoneLink;
        boolean notExecuted;
        boolean nodeBlamed;
        boolean sourceBlamed;
        /** The source serves only what it holds. */
        boolean sourceCacheOnly;
        boolean unexplainedError;
    }

    private static final class Node {
        int index;
        Tier tier;
        int zone;
        int cell;
        /** One of the statuses in {@link Director}. */
        int status;
        /** Hash of the address. */
        long hash;
        double units;
        double startedAt;
        int failuresInRow;
        double ejectedUntil;
        /** Seen in the snapshot that is being read. */
        boolean inSnapshot;
        /** Token bucket of the slow start, in ms of transfer. */
        double tokens;
        double tokensAt;
        /** Share of a lookup's tokens that is held back in the bucket, so that directors are out of phase. */
        double phase;
        /** Recent load from this director, in flows. */
        double loadFlows;
        double loadUpdatedAt;
        /** This director's part of the node's capacity, in flows, as its load and utilization show; 0 if unknown. */
        double capacityFlows;
        /** Smoothed share of the CPU in use, by its load reports; 1 until the first report. */
        double utilization = 1;
        LinkEstimate link;
        double hitRatio = Double.NaN;
    }

    /**
     * AdaptSize admission: an object is kept with probability e^(-size/c). Holds the table of recent request rates
     * and tunes c, and the cache capacity K, by a Markov model of each object.
     */
    static final class Admission {
        static final int MIDDLE_RANK = 2;
        static final double ROUND_MS = 5000;
        private static final int MAX_OBJECTS = 4096;
        /** Values of c tried in a round. */
        private static final int GRID_SIZE = 18;
        private static final int BISECTION_STEPS = 13;
        /** Largest c tried, as a multiple of the largest object; it admits nearly everything. */
        private static final double MAX_C_FACTOR = 50;
        private static final double RATE_SMOOTHING = 0.3;
        /** Objects with fewer requests a round than this leave the table. */
        private static final double MIN_RATE = 0.02;
        /** Time between the steps of a round; done at once, a round would delay all lookups. */
        private static final double STEP_MS = 50;
        private static final double MIN_HIT_RATIO_GAIN = 1e-4;
        private static final double MIN_CACHE_ANSWERS = 20;
        private static final double ANSWER_DECAY = 0.5;
        /** The first estimate of K is at most what is requested in this time. */
        private static final int INITIAL_CAPACITY_MS = 10_000;

        private static final class ObjectStats {
            double sizeKb;
            double requestsPerRound;
            int requests;
        }

        /** Each round removes objects without recent requests; while the table is full it takes no new ones. */
        private final Map<Long, ObjectStats> table = new HashMap<>();
        private final SplittableRandom random;
        private final int directors;
        double c = Double.POSITIVE_INFINITY;
        /** Cache capacity K. */
        double capacity;
        private double cacheHits;
        private double cacheAnswers;
        private double requestedKb;
        private double smallestSize;
        private double largestSize;
        private double totalRate;
        private double bestHitRatio;
        private double bestC;
        /** Copies of the table for one round, the first {@code count} entries of each. */
        final double[] sizes = new double[MAX_OBJECTS];
        final double[] rates = new double[MAX_OBJECTS];
        final double[] admissionProbability = new double[MAX_OBJECTS];
        final double[] everAdmittedProbability = new double[MAX_OBJECTS];
        private int count;
        private int step;

        /** {@code directors} ask the caches of this zone; each of them sees its part of every request rate. */
        Admission(SplittableRandom random, int directors) {
            this.random = random;
            this.directors = directors;
        }

        void recordRequest(long key, double sizeKb) {
            requestedKb += sizeKb;
            ObjectStats stats = table.get(key);
            if (stats == null) {
                if (table.size() >= MAX_OBJECTS) return;
                stats = new ObjectStats();
                table.put(key, stats);
            }
            stats.sizeKb = sizeKb;
            stats.requests++;
        }

        boolean admits(double sizeKb) {
            return random.nextDouble() < Math.exp(-sizeKb / c);
        }

        /**
         * Does one step of a round: the first estimates K, each further one tries a value of c, from admitting
         * nearly everything downwards. Returns the time until the next step.
         */
        double tune(double reportedHitRatio) {
            if (step == 0) beginRound(reportedHitRatio);
            if (step > 0 && count > 0) {
                double triedC = MAX_C_FACTOR * largestSize
                    * Math.pow(smallestSize / (MAX_C_FACTOR * largestSize), (step - 1) / (GRID_SIZE - 1.0));
                setProbabilities(triedC);
                double expectedHitRatio = expectedSum(solvePushdownRate(capacity, sizes), rates) / totalRate;
                if (expectedHitRatio > bestHitRatio + MIN_HIT_RATIO_GAIN) {
                    bestHitRatio = expectedHitRatio;
                    bestC = triedC;
                }
            }
            if (step == GRID_SIZE && bestHitRatio >= 0) c = bestC;
            step = (step + 1) % (GRID_SIZE + 1);
            return step > 0 ? STEP_MS : ROUND_MS - GRID_SIZE * STEP_MS;
        }

        private void beginRound(double reportedHitRatio) {
            updateRates();
            bestHitRatio = -1;
            if (count == 0) return;
            double totalSize = Arrays.stream(sizes, 0, count).sum();
            smallestSize = Arrays.stream(sizes, 0, count).min().getAsDouble();
            largestSize = Arrays.stream(sizes, 0, count).max().getAsDouble();
            totalRate = Arrays.stream(rates, 0, count).sum();
            if (capacity == 0) capacity = Math.min(totalSize, requestedKb * INITIAL_CAPACITY_MS / ROUND_MS);
            double ownHitRatio = cacheAnswers >= MIN_CACHE_ANSWERS ? cacheHits / cacheAnswers : Double.NaN;
            double hitRatio = Double.isNaN(reportedHitRatio) ? ownHitRatio : reportedHitRatio;
            if (!Double.isNaN(hitRatio)) {
                setProbabilities(c);
                double modelledCapacity = expectedSum(solvePushdownRate(hitRatio * totalRate, rates), sizes);
                capacity = Math.min(totalSize, Math.sqrt(capacity * Math.max(modelledCapacity, smallestSize)));
            }
            cacheHits *= ANSWER_DECAY;
            cacheAnswers *= ANSWER_DECAY;
            requestedKb = 0;
        }

        private void updateRates() {
            count = 0;
            for (ObjectStats stats : table.values()) {
                stats.requestsPerRound += RATE_SMOOTHING * (stats.requests - stats.requestsPerRound);
                stats.requests = 0;
            }
            table.values().removeIf(stats -> stats.requestsPerRound < MIN_RATE);
            for (ObjectStats stats : table.values()) {
                sizes[count] = stats.sizeKb;
                rates[count] = stats.requestsPerRound;
                count++;
            }
        }

        /**
         * Sets for each object the probability that a request admits it and that any has done so by now; the latter
         * corrects the chain's residence probability, which is that of a steady state.
         */
        void setProbabilities(double forC) {
            for (int i = 0; i < count; i++) {
                admissionProbability[i] = Math.exp(-sizes[i] / forC);
                everAdmittedProbability[i] =
                    -Math.expm1(-directors * rates[i] / RATE_SMOOTHING * admissionProbability[i]);
            }
        }

        /**
         * Probability that an object is in the cache, by the Markov chain of AdaptSize. Beyond an exponent of 40 the
         * probability is 1 but for rounding, and e^x would overflow.
         */
        static double residenceProbability(double rate, double pushdownRate, double admissionProbability) {
            double odds = Math.expm1(Math.min(40, rate / pushdownRate)) * admissionProbability;
            return odds / (1 + odds);
        }

        /** The model's expected sum over cached objects: of sizes, the content; of rates, the requests that hit. */
        double expectedSum(double pushdownRate, double[] values) {
            double sum = 0;
            for (int i = 0; i < count; i++) {
                sum += residenceProbability(rates[i], pushdownRate, admissionProbability[i])
                    * everAdmittedProbability[i] * values[i];
            }
            return sum;
        }

        /** The pushdown rate at which the expected sum is {@code goal}; the sum falls as the rate grows. */
        double solvePushdownRate(double goal, double[] values) {
            // Powers of e around one lookup a round.
            double low = -14;
            double high = 14;
            for (int i = 0; i < BISECTION_STEPS; i++) {
                double middle = (low + high) / 2;
                if (expectedSum(Math.exp(middle), values) > goal) low = middle;
                else high = middle;
            }
            return Math.exp((low + high) / 2);
        }
    }

    /** The known nodes, and the ranking of each tier for an object by weighted rendezvous hashing. */
    private final class Placement {
        /** By the caller's index, which may be given to another node once this one is removed. */
        private final List<Node> nodes = new ArrayList<>();
        /** The candidates of each tier: no removed node, and no cache of another zone. */
        private final Map<Tier, List<Node>> rankedByTier = new EnumMap<>(Map.of(
            Tier.CACHE, new ArrayList<>(), Tier.PARENT, new ArrayList<>(), Tier.ORIGIN, new ArrayList<>()));
        private boolean readingSnapshot;
        private boolean readingFirstList = true;

        /**
         * The highest ranked node that the guard lets through, that this lookup has not tried and that meets the
         * requirement. All directors have the same ranking.
         */
        Node highestRanked(Tier tier, Lookup lookup, boolean asSource, Requirement requirement) {
            Node best = null;
            double bestScore = -1;
            boolean bestInService = false;
            long lookupHash = mix(lookup.placementKey);
            for (Node node : rankedByTier.get(tier)) {
                if (tried(lookup, node, asSource)) continue;
                if (requirement != Requirement.ANY && !health.isUsable(node)) continue;
                if (requirement == Requirement.IN_TIME && !node.link.canMeetTarget(lookup)) continue;
                if (!(asSource ? guard.mayFillFrom(lookup, node) : guard.maySendTo(lookup, node))) continue;
                double uniform = ((mix(node.hash ^ lookupHash) >>> 11) + 0.5) * 0x1p-53;
                double score = -node.units / Math.log(uniform);
                // Guards against an old list: unconfirmed nodes rank behind all that are known to be in service.
                boolean inService = node.status == IN_SERVICE;
                if (inService == bestInService && score <= bestScore || bestInService && !inService) continue;
                bestScore = score;
                best = node;
                bestInService = inService;
            }
            return best;
        }

        private boolean tried(Lookup lookup, Node node, boolean asSource) {
            for (int i = 0; i < lookup.hopCount; i++) {
                Hop hop = lookup.hops[i];
                boolean triedAsSource = hop.source == node && hop.sourceBlamed;
                boolean triedAsNode = hop.node == node && (hop.nodeBlamed || !hop.ended);
                if (asSource ? triedAsSource : triedAsNode) return true;
            }
            return false;
        }

        double reportedHitRatio() {
            return rankedByTier.get(Tier.CACHE).stream().filter(node -> !Double.isNaN(node.hitRatio))
                .mapToDouble(node -> node.hitRatio).average().orElse(Double.NaN);
        }
    }

    /** Ejects a node after consecutive failures, for a fixed time plus jitter; then one hop at a time tries it. */
    private final class Health {
        private static final int FAILURE_LIMIT = 3;
        private static final double EJECTION_MS = 2000;
        private static final double EJECTION_JITTER_MS = 1000;

        boolean isUsable(Node node) {
            return node.failuresInRow < FAILURE_LIMIT || now >= node.ejectedUntil && node.link.ownInFlight == 0;
        }

        void recordFailure(Node node, int outcome) {
            if (++node.failuresInRow < FAILURE_LIMIT) return;
            node.ejectedUntil = now + EJECTION_MS + EJECTION_JITTER_MS * random.nextDouble();
            // Guards against a restart that the list does not show yet: an unreachable node returns as just started.
            if (outcome == CONNECT_FAILED && node.tier != Tier.ORIGIN) slowStartOf(node).begin(node, now);
        }
    }

    /**
     * Estimates the capacity of one link and the answers in flight on it: this director's own, and those of the other
     * directors that use the link, each of which is taken to have as many as this one has on average. From these
     * follows whether one more answer can meet its target time. Guards against congestion, where every answer comes
     * late because a link, or a slow or overloaded node, has more than it carries. Noise can make the estimate too
     * low; one answer at full pace corrects that.
     */
    private final class LinkEstimate {
        /** Share of the time left until the target that the expected transfer may take. */
        private static final double TARGET_TIME_SHARE = 0.7;
        private static final double MIN_LEARNING_RATE = 0.1;
        /** Transfers much shorter than this say little about the link. */
        private static final double SHORT_TRANSFER_MS = 100;
        /** Below this share of full pace an answer counts as slowed. */
        private static final double SLOWED_PACE_SHARE = 0.8;
        private static final double AVERAGING_MS = 5000;
        private static final double ESTIMATE_DECAY_MS = 3000;
        private final int otherDirectors;
        /** Answers it carries at full pace at a time; NaN while neither configured nor seen slow. */
        private double capacityFlows;
        private double ownInFlight;
        private double averageInFlight;
        private double averagedAt;
        private double learnedAt;

        LinkEstimate(int directors, double capacityFlows) {
            this.otherDirectors = directors - 1;
            this.capacityFlows = capacityFlows;
        }

        void addInFlight(double change) {
            estimateInFlight();
            ownInFlight += change;
        }

        private double estimateInFlight() {
            averageInFlight += (ownInFlight - averageInFlight) * -Math.expm1((averagedAt - now) / AVERAGING_MS);
            averagedAt = now;
            return ownInFlight + otherDirectors * averageInFlight;
        }

        /** Expected pace of one more answer, as a share of full pace; above 1 while there is room to spare. */
        double paceForNext() {
            return capacityFlows / (estimateInFlight() + 1);
        }

        boolean canMeetTarget(Lookup lookup) {
            return Double.isNaN(capacityFlows) || estimateInFlight() < 1
                || lookup.transferMs / Math.min(1, paceForNext())
                    <= TARGET_TIME_SHARE * lookup.importanceShare * (lookup.targetAt - now);
        }

        /** Updates the capacity: the share of full pace that an answer got, times the answers in flight meanwhile. */
        void observe(Lookup lookup, double spentMs) {
            double paceShare = Math.min(1, lookup.transferMs / Math.max(1, spentMs));
            double inFlight = estimateInFlight() + 1;
            double weight = Math.max(MIN_LEARNING_RATE, -Math.expm1((learnedAt - now) / ESTIMATE_DECAY_MS));
            weight *= lookup.transferMs / (lookup.transferMs + SHORT_TRANSFER_MS);
            learnedAt = now;
            boolean slowed = paceShare < SLOWED_PACE_SHARE;
            if (Double.isNaN(capacityFlows) && slowed) capacityFlows = paceShare * inFlight;
            double observedFlows = slowed ? paceShare * inFlight : Math.max(capacityFlows, inFlight);
            capacityFlows += weight * (observedFlows - capacityFlows);
        }
    }

    /** Limits the share of fills that may come from the origin, so that a slow or stopped origin is not overloaded. */
    private final class OriginThrottle {
        private static final double MAX_CUTS_PER_FAILURE = 3;
        private static final double CUT_FACTOR = 0.6;
        private static final double CUT_INTERVAL_MS = 100;
        private static final double DOUBLING_MS = 500;
        private static final double MIN_SHARE = 0.02;
        private double share = 1;
        private double updatedAt;
        private double recordedAt = Double.NEGATIVE_INFINITY;

        boolean permits() {
            share = Math.min(1, share * Math.pow(2, (now - updatedAt) / DOUBLING_MS));
            updatedAt = now;
            return share >= 1 || random.nextDouble() < share;
        }

        boolean isThrottling() {
            return share * Math.pow(2, (now - updatedAt) / DOUBLING_MS) < 1;
        }

        /**
         * Records a fill from the origin that failed or was late ({@code maxCuts} above 0) or not (0). A bad one
         * stands for as many as would have come, at a full share, since the last record.
         */
        void recordFill(double maxCuts) {
            double intervals = (now - recordedAt) / CUT_INTERVAL_MS;
            if (maxCuts > 0 && intervals < 1) return;
            recordedAt = now;
            permits();
            double cuts = Math.min(maxCuts, Math.max(1, intervals * share));
            share = Math.max(MIN_SHARE, share * Math.pow(CUT_FACTOR, cuts));
        }
    }

    /** Pays for retries out of successful lookups, so that retries dry up as failures grow. */
    private static final class RetryBudget {
        private static final double TOKENS_PER_SUCCESS = 0.1;
        private static final double MAX_TOKENS = 10;
        private static final double NOT_EXECUTED_COST = 0.25;
        private double tokens = MAX_TOKENS;

        void earn(double earned) {
            tokens = Math.min(MAX_TOKENS, tokens + earned);
        }

        boolean tryTake(boolean notExecuted) {
            double cost = notExecuted ? NOT_EXECUTED_COST : 1;
            boolean enough = tokens >= cost;
            if (enough) tokens -= cost;
            return enough;
        }
    }

    /**
     * This director's part of the load that a node takes during slow start: a token bucket for each node, in ms of
     * transfer, charged by whole lookups. Each director starts at a random phase of a lookup.
     */
    private final class SlowStartBudget {
        private static final double SAFETY_FACTOR = 0.6;
        /** How much of the overload window's load the bucket can save up. */
        private static final double MAX_SAVED_WINDOW_SHARE = 0.3;
        private static final double LOAD_AVERAGING_MS = 5000;
        private static final double CAPACITY_SMOOTHING = 0.2;
        /** Lower bound of the utilization by which a node's load is divided. */
        private static final double MIN_UTILIZATION = 0.1;
        private final SlowStartLimits limits;
        private final int directors;
        /** The capacity estimated last for a node of this tier. */
        private double lastCapacityFlows;

        SlowStartBudget(SlowStartLimits limits, int directors) {
            this.limits = limits;
            this.directors = directors;
        }

        void begin(Node node, double startedAt) {
            node.startedAt = startedAt;
            node.phase = random.nextDouble();
            node.tokens = 0;
            node.tokensAt = now;
        }

        boolean isWarmingUp(Node node) {
            if (node.tier == Tier.ORIGIN) return false;
            return node.status == UNCONFIRMED || node.startedAt != 0 && now - node.startedAt < limits.warmUpMs();
        }

        /** Refills the node's bucket; false where it has no tokens for this lookup. */
        boolean permits(Node node, Lookup lookup) {
            if (!isWarmingUp(node)) return true;
            // Guards against a start that is not reported: an unconfirmed node may have started just now.
            double warmth = node.status == UNCONFIRMED
                ? 0
                : Math.max(0, now - node.startedAt) / limits.warmUpMs();
            double share = limits.initialShare() + (1 - limits.initialShare()) * warmth;
            double flows = SAFETY_FACTOR * limits.overloadFactor() * share * ownCapacityFlows(node);
            double maxTokens = MAX_SAVED_WINDOW_SHARE * flows * limits.overloadWindowMs();
            double lookupMs = Math.max(transferTimes[lookup.workloadIndex].chargeMs(lookup.transferMs),
                Arrays.stream(transferTimes).mapToDouble(TransferTimeEstimate::expectedMs).max().getAsDouble());
            node.tokens = Math.max(node.tokens, -lookupMs) + flows * (now - node.tokensAt);
            node.tokensAt = now;
            // Guards against directors that start together with the node, and learn only now how long a lookup takes.
            double heldBack = node.phase * lookupMs;
            double excess = node.tokens - heldBack - maxTokens;
            if (excess > 0 && lookupMs > 0) node.tokens -= lookupMs * Math.ceil(excess / lookupMs);
            return node.tokens > heldBack;
        }

        /** Takes a lookup's transfer time from the bucket and returns what was taken. */
        double charge(Node node, Lookup lookup) {
            if (!isWarmingUp(node)) return 0;
            double chargeMs = transferTimes[lookup.workloadIndex].chargeMs(lookup.transferMs);
            node.tokens -= chargeMs;
            return chargeMs;
        }

        void recordCompleted(Node node, double transferMs) {
            node.loadFlows = node.loadFlows * Math.exp((node.loadUpdatedAt - now) / LOAD_AVERAGING_MS)
                + transferMs / LOAD_AVERAGING_MS;
            node.loadUpdatedAt = now;
            if (isWarmingUp(node)) return;
            double observedFlows = node.loadFlows / Math.max(MIN_UTILIZATION, node.utilization);
            node.capacityFlows += CAPACITY_SMOOTHING * (observedFlows - node.capacityFlows);
            lastCapacityFlows = node.capacityFlows;
        }

        /**
         * This director's part of a node's capacity, in flows. Where capacities are not configured, it is what the
         * node took when warm, else the average over its tier, else the last estimate for the tier.
         */
        private double ownCapacityFlows(Node node) {
            if (siteParameters.unitsAreLinkCapacity()) return node.units / directors;
            if (node.capacityFlows > 0) return node.capacityFlows;
            return placement.rankedByTier.get(node.tier).stream().filter(other -> other.capacityFlows > 0)
                .mapToDouble(other -> other.capacityFlows).average().orElse(lastCapacityFlows);
        }
    }

    /** Remembers purges until every cache and parent has dropped the purged copies by itself. */
    private final class PurgeTracker {
        private static final double MARGIN_MS = 500;
        private final double retentionMs;
        /** By object, or by ~group for all of a group; each new purge removes the entries that have expired. */
        private final Map<Long, Double> purgedAt = new HashMap<>();

        PurgeTracker(double purgeTakesMs) {
            retentionMs = purgeTakesMs + MARGIN_MS;
        }

        void record(long object, int group, double at) {
            purgedAt.values().removeIf(time -> now - time > retentionMs);
            purgedAt.merge(object >= 0 ? object : ~(long) group, at, Math::max);
        }

        /** The largest age at which a copy is newer than the last purge, or infinity. */
        double maxCopyAgeMs(Lookup lookup) {
            double at = Math.max(purgedAt.getOrDefault(lookup.object, Double.NEGATIVE_INFINITY),
                purgedAt.getOrDefault(~(long) lookup.group, Double.NEGATIVE_INFINITY));
            return now - at > retentionMs ? Double.POSITIVE_INFINITY : Math.max(1, now - at);
        }
    }

    /**
     * The one place that every send and every final answer passes; it keeps the five rules: one final answer and
     * nothing sent after it, no repeat of a lookup that may have run where that does harm, nothing to nodes out of
     * service, no node overloaded during slow start, no copy older than a purge.
     */
    private final class SendGuard {
        /** Rules 1 to 4 for the node itself. */
        boolean maySendTo(Lookup lookup, Node node) {
            if (!lookup.open || lookup.streaming || now >= lookup.expires) return false;
            if (lookup.hopCount >= lookup.hops.length) return false;
            if (!acceptsMore(node, lookup)) return false;
            if (lookup.hopsInFlight > 0 && !capabilities.hedging()) return false;
            if (lookup.workload.effect() == Workload.Effect.IDEMPOTENT) return true;
            Hop executed = possiblyExecutedHop(lookup);
            if (executed == null) return true;
            if (lookup.workload.effect() == Workload.Effect.NON_IDEMPOTENT) return false;
            boolean sameScope = switch (lookup.workload.deduplicationScope()) {
                case ALL -> true;
                case ZONE -> node.zone == executed.node.zone;
                case CELL -> node.cell == executed.node.cell;
            };
            return sameScope && now < executed.sentAt + lookup.workload.deduplicationWindowMs();
        }

        /** Rules 3 and 4 for a source. */
        boolean mayFillFrom(Lookup lookup, Node node) {
            return acceptsMore(node, lookup);
        }

        /** An unconfirmed node gets one hop at a time, until the caller reports it as in service. */
        private boolean acceptsMore(Node node, Lookup lookup) {
            boolean listed = node.status == IN_SERVICE || node.status == UNCONFIRMED && node.link.ownInFlight < 1;
            return listed && slowStartOf(node).permits(node, lookup);
        }

        private Hop possiblyExecutedHop(Lookup lookup) {
            for (int i = 0; i < lookup.hopCount; i++) {
                if (!lookup.hops[i].notExecuted) return lookup.hops[i];
            }
            return null;
        }

        /** Sends a hop; false where a rule forbids it. A source equal to the node means no fill. */
        boolean send(Lookup lookup, Node node, Node source, double deadline) {
            if (!maySendTo(lookup, node) || source != node && !mayFillFrom(lookup, source)) return false;
            Hop hop = recordHop(lookup, node, source);
            double purgeAge = purges.maxCopyAgeMs(lookup);
            double maxAge = maxCopyAgeMs(lookup, hop, purgeAge);
            boolean usualAge = maxAge == lookup.workload.freshMs() || maxAge == Double.POSITIVE_INFINITY;
            // Guards against a slow refill after a purge or a restart, since c is tuned for a full cache; and against
            // one that never ends: an object that a throttled origin still delivers would be requested from it again
            // if it were not kept.
            boolean refilling = purgeAge < Double.POSITIVE_INFINITY || slowStartOf(node).isWarmingUp(node)
                || originThrottle.isThrottling();
            int rank = refilling && !lookup.uncacheable ? Admission.MIDDLE_RANK : lookup.rank;
            if (node.tier == Tier.ORIGIN) {
                // The origin holds every object, always fresh.
                out.sendCacheOnly(lookup.index, node.index, deadline);
            } else {
                out.sendFetch(lookup.index, node.index, deadline, source.index, rank, usualAge ? 0 : maxAge,
                    fetchFlags(lookup, hop));
            }
            return true;
        }

        private Hop recordHop(Lookup lookup, Node node, Node source) {
            Hop hop = new Hop();
            lookup.hops[lookup.hopCount++] = hop;
            hop.node = node;
            hop.source = source;
            hop.sentAt = now;
            hop.sourceCacheOnly = source != node && source.tier == Tier.PARENT
                && (lookup.hedging || !(health.isUsable(source) && originThrottle.permits()));
            hop.usesZoneLink = node.tier != Tier.CACHE || source != node;
            if (hop.usesZoneLink) zoneLink.addInFlight(1);
            slowStartOf(node).charge(node, lookup);
            if (source != node) hop.sourceTokens = slowStartOf(source).charge(source, lookup);
            lookup.hopsInFlight++;
            lookup.hedgeAt = lookup.targetAt - HEDGE_TRANSFER_TIMES * lookup.transferMs;
            if (lookup.hopCount == 1 && capabilities.hedging() && hedgeBudget.tokens >= 1 && lookup.hedgeAt > now) {
                out.setTimer(lookup.hedgeAt, FIRST_HEDGE_TIMER + lookup.index);
            }
            node.link.addInFlight(1);
            if (source != node) source.link.addInFlight(1);
            return hop;
        }

        private double maxCopyAgeMs(Lookup lookup, Hop hop, double purgeAge) {
            double freshMs = lookup.workload.freshMs();
            // Guards against sources that fail or are slow: a stale copy is taken where it is worth more than fills
            // lately are, or where there will be no fill.
            double fillValue = 1 - badFillShare[lookup.workloadIndex] * (1 - lookup.workload.lateValueShare());
            boolean staleAllowed = hop.source == hop.node || hop.sourceCacheOnly
                || lookup.workload.staleValueShare() > fillValue
                || lookup.hopCount > 1 && lookup.hops[lookup.hopCount - 2].sourceBlamed;
            if (freshMs == 0) return purgeAge;
            return Math.min(purgeAge, freshMs + (staleAllowed ? lookup.workload.staleMs() : 0));
        }

        private int fetchFlags(Lookup lookup, Hop hop) {
            int flags = capabilities.fillCoalescing() ? DecisionWriter.COALESCE_FILLS : 0;
            boolean fills = hop.source != hop.node;
            if (lookup.workload.freshMs() > 0 && fills && !slowStartOf(hop.source).isWarmingUp(hop.source)) {
                flags |= DecisionWriter.REVALIDATE;
            }
            if (hop.sourceCacheOnly) flags |= DecisionWriter.SOURCE_CACHE_ONLY;
            return flags;
        }

        /** Rule 1: gives the one final answer, a rejection wherever a retry by the client does no harm. */
        void finish(Lookup lookup) {
            if (!lookup.open) return;
            close(lookup, false);
            Workload workload = lookup.workload;
            boolean safeToRetry = workload.effect() == Workload.Effect.IDEMPOTENT
                || possiblyExecutedHop(lookup) == null
                || workload.effect() == Workload.Effect.DEDUPLICATED
                && workload.deduplicationScope() == Workload.DeduplicationScope.ALL;
            if (safeToRetry) {
                out.reject(lookup.index, capabilities.maxRetryAfterMs()
                    * (RETRY_AFTER_MIN_SHARE + RETRY_AFTER_JITTER_SHARE * random.nextDouble()));
            } else {
                out.fail(lookup.index);
            }
            cancelOutstandingHops(lookup);
        }

        void cancelOutstandingHops(Lookup lookup) {
            if (!capabilities.cancellation()) return;
            for (int i = 0; i < lookup.hopCount; i++) {
                if (!lookup.hops[i].ended) out.cancelHop(lookup.index, i);
            }
        }
    }
}
