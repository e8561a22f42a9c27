package mothcross.emulator;

import java.util.SplittableRandom;

/**
 * The clients of one zone: arrivals of requests, timeouts and retries. Arrivals do not depend on responses. Object
 * popularity follows a Zipf distribution over objects common to all zones and objects of the zone; it drifts, and some
 * objects are requested only once.
 */
final class LoadGenerator {
    /** What a client wants, over all its attempts; it counts once in the result. */
    static final class Request {
        final double startedAtMs;
        final double kb;
        final double fullRateMs;
        final long object;
        final int group;
        boolean succeeded;
        boolean onTime;
        int attempts;

        Request(double startedAtMs, double kb, double fullRateMs, long object, int group) {
            this.startedAtMs = startedAtMs;
            this.kb = kb;
            this.fullRateMs = fullRateMs;
            this.object = object;
            this.group = group;
        }
    }

    /** One attempt of a request at one director. */
    static final class Lookup {
        final Request request;
        final SimulatedDirector director;
        final int directorIncarnation;
        final int group;
        final double expiresAt;
        final boolean nonIdempotent;
        boolean answered;
        boolean mayHaveRun;
        int index;

        Lookup(Request request, SimulatedDirector director, double expiresAt, boolean nonIdempotent) {
            this.request = request;
            this.director = director;
            this.directorIncarnation = director.incarnation;
            this.group = request.group;
            this.expiresAt = expiresAt;
            this.nonIdempotent = nonIdempotent;
        }
    }

    private static final int GROUPS = 64;
    // hops end with the client's time, and its answer with them
    // Hops end at the client's timeout, and the response follows them.
    private static final double TIMEOUT_GRACE_MS = 20;
    private final Simulation simulation;
    private final int zone;
    private final SplittableRandom random;
    private final double[] cumulativePopularity;
    private long oneOffCount;
    /**
     * Factor on the request rate and shares of requests for one hot object and for one-time objects; faults change
     * them.
     */
    double rateFactor = 1;
    double hotShare;
    double scanShare;

    LoadGenerator(Simulation simulation, int zone, SplittableRandom random) {
        this.simulation = simulation;
        this.zone = zone;
        this.random = random;
        int count = Math.max(1, simulation.scenario.count("objects"));
        cumulativePopularity = new double[count];
        double sum = 0;
        double exponent = simulation.scenario.get("zipf");
        for (int i = 0; i < count; i++) cumulativePopularity[i] = sum += Math.pow(i + 1, -exponent);
        for (int i = 0; i < count; i++) cumulativePopularity[i] /= sum;
    }

    /** Requests per ms in this zone, from the load as a share of what its caches can send. */
    double requestsPerMs() {
        ScenarioParameters scenario = simulation.scenario;
        double meanTransferMs = scenario.get("kb") / scenario.get("flow_kb_ms");
        return rateFactor * scenario.get("load") * scenario.get("caches") * scenario.get("cache_flows")
            / meanTransferMs;
    }

    void scheduleArrival() {
        simulation.clock.scheduleAfter(-Math.log(1 - random.nextDouble()) / requestsPerMs(), this::arrive);
    }

    private void arrive() {
        ScenarioParameters scenario = simulation.scenario;
        if (simulation.elapsedMs() >= 1000 * scenario.get("seconds")) return;
        scheduleArrival();
        long object = drawObject();
        // The size is drawn from the object key, so that it is the same for each request.
        SplittableRandom objectRandom = new SplittableRandom(object * 0x9e3779b97f4a7c15L);
        double sigma = scenario.get("kb_sigma");
        double kb = scenario.get("kb") * Math.exp(sigma * gaussian(objectRandom) - sigma * sigma / 2);
        kb = Math.min(kb, scenario.get("kb") * 20);
        Request request = new Request(simulation.elapsedMs(), kb, kb / scenario.get("flow_kb_ms"), object,
            (int) Math.floorMod(object, (long) GROUPS));
        simulation.result.requestStarted(request);
        sendLookup(request);
    }

    private long drawObject() {
        if (random.nextDouble() < simulation.scenario.get("one_offs") + scanShare) {
            return (1L << 50) + ((long) zone << 40) + oneOffCount++;
        }
        if (random.nextDouble() < hotShare) return 7;
        double uniform = random.nextDouble();
        int low = 0;
        int high = cumulativePopularity.length - 1;
        while (low < high) {
            int middle = (low + high) / 2;
            if (cumulativePopularity[middle] < uniform) low = middle + 1;
            else high = middle;
        }
        // Popularity drifts over the objects by a number of ranks a second.
        long shift = (long) (simulation.scenario.get("drift") * simulation.elapsedMs() / 1000);
        long rank = (low + shift) % cumulativePopularity.length;
        boolean common = new SplittableRandom(rank).nextDouble() < simulation.scenario.get("common");
        return common ? rank : rank + ((long) (zone + 1) << 32);
    }

    private double gaussian(SplittableRandom source) {
        double radius = 1 - source.nextDouble();
        double angle = source.nextDouble();
        return Math.sqrt(-2 * Math.log(radius)) * Math.cos(2 * Math.PI * angle);
    }

    private void sendLookup(Request request) {
        SimulatedDirector director = simulation.pickDirector(zone, random);
        request.attempts++;
        if (director == null) {
            retry(request, simulation.scenario.get("retry_ms"));
            return;
        }
        double timeoutMs = simulation.scenario.get("abandon");
        Lookup lookup = new Lookup(request, director, simulation.clock.nowMs + timeoutMs,
            random.nextDouble() < simulation.scenario.get("once_only"));
        simulation.clock.schedule(lookup.expiresAt + TIMEOUT_GRACE_MS, () -> {
            if (lookup.answered) return;
            simulation.ruleChecker.timedOut(lookup);
            if (lookup.directorIncarnation == director.incarnation && !director.down) {
                director.clientDisconnected(lookup);
            }
            lookup.answered = true;
            simulation.result.unanswered++;
        });
        director.startLookup(lookup);
    }

    /**
     * Retries a request that was rejected or whose director ended, up to the limit and no sooner than the director
     * asked.
     */
    void retry(Request request, double minDelayMs) {
        if (request.attempts > simulation.scenario.count("retries")) return;
        double delayMs = Math.max(minDelayMs, simulation.scenario.get("retry_ms") * (0.5 + random.nextDouble()));
        simulation.clock.scheduleAfter(delayMs, () -> sendLookup(request));
    }
}
