package mothcross.emulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import mothcross.CacheDirector;
import mothcross.Capabilities;
import mothcross.DecisionWriter;
import mothcross.Director;
import mothcross.EventBatch;
import mothcross.RouteConstraints;
import mothcross.SlowStartLimits;
import mothcross.Topology;

/**
 * Simple policies that the module is compared with, through the same interface. They keep rules 1 and 3 and bound copy
 * ages after a purge, so that runs are comparable; node choice, caching and retries differ. For simulation only.
 */
public final class Baselines {
    /** Policies by name; {@code decide} is the module itself. */
    public static final Map<String, DirectorFactory> ALL = new LinkedHashMap<>();

    static {
        ALL.put("decide", (seed, workloads, topology, capabilities, site, caches, parents, purge) ->
            new CacheDirector(seed, workloads, topology, capabilities, site, caches, parents, purge));
        ALL.put("random", simple(Choice.RANDOM, 0, 1));
        ALL.put("least-out", simple(Choice.LEAST_ACTIVE, 0, 1));
        ALL.put("rendezvous", simple(Choice.RENDEZVOUS, 0, 1));
        ALL.put("threshold", simple(Choice.RENDEZVOUS, 1500, 1));
        ALL.put("no-cold-budget", (seed, workloads, topology, capabilities, site, caches, parents, purge) ->
            new CacheDirector(seed, workloads, topology, capabilities, site,
                new SlowStartLimits(1, 0, caches.overloadFactor(), caches.overloadWindowMs()),
                new SlowStartLimits(1, 0, parents.overloadFactor(), parents.overloadWindowMs()), purge));
        ALL.put("all-hops", simple(Choice.RENDEZVOUS, 0, 99));
    }

    private enum Choice { RANDOM, LEAST_ACTIVE, RENDEZVOUS }

    private Baselines() { }

    private static DirectorFactory simple(Choice choice, double maxCachedKb, int maxRetries) {
        return (seed, workloads, topology, capabilities, site, caches, parents, purge) ->
            new SimpleDirector(choice, maxCachedKb, maxRetries, seed, topology, capabilities, purge);
    }

    private static final class Node {
        int index;
        int tier;
        int status;
        int activeHops;
        long hash;
    }

    private static final class Lookup {
        int index;
        int hops;
        long key;
        double expiresAt;
        double sizeKb;
        int group;
        boolean open;
        boolean nonIdempotent;
        boolean mayHaveRun;
        final List<Node> tried = new ArrayList<>();
        final List<Node> activeHops = new ArrayList<>();
    }

    /**
     * Chooses one cache of its zone by one criterion and one parent by the hash of the object, with a fixed number of
     * further hops.
     */
    private static final class SimpleDirector implements Director {
        private final Choice choice;
        private final double maxCachedKb;
        private final double purgeMs;
        private final int maxRetries;
        private final SplittableRandom random;
        private final Topology topology;
        private final Capabilities capabilities;
        private final Map<Integer, Node> nodes = new LinkedHashMap<>();
        private final Map<Integer, Lookup> lookups = new LinkedHashMap<>();
        private final Map<Integer, Double> purgedAt = new LinkedHashMap<>();
        private double now;
        private DecisionWriter decisions;

        SimpleDirector(Choice choice, double maxCachedKb, int maxRetries, long seed, Topology topology,
            Capabilities capabilities, double purgeMs) {
            this.choice = choice;
            this.maxCachedKb = maxCachedKb;
            this.maxRetries = maxRetries;
            this.random = new SplittableRandom(seed);
            this.topology = topology;
            this.capabilities = capabilities;
            this.purgeMs = purgeMs;
        }

        @Override public void process(double nowMs, EventBatch batch, DecisionWriter writer) {
            now = nowMs;
            decisions = writer;
            batch.deliverTo(this);
        }

        @Override public void lookup(int index, int workload, double expires, long object, int part, int group,
            double sizeKb, boolean repeat, boolean write, RouteConstraints by) {
            Lookup lookup = new Lookup();
            lookup.index = index;
            lookup.key = object;
            lookup.expiresAt = expires;
            lookup.sizeKb = sizeKb;
            lookup.group = group;
            lookup.open = true;
            lookup.nonIdempotent = workload == 1;
            lookups.put(index, lookup);
            if (!sendHop(lookup)) endLookup(lookup);
        }

        private static long mix(long x) {
            x = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
            x = (x ^ (x >>> 27)) * 0x94d049bb133111ebL;
            return x ^ (x >>> 31);
        }

        private Node chooseNode(int tier, Lookup lookup, Choice by) {
            Node best = null;
            double bestScore = Double.NEGATIVE_INFINITY;
            for (Node node : nodes.values()) {
                if (node.tier != tier || node.status != IN_SERVICE || lookup.tried.contains(node)) continue;
                double score = switch (by) {
                    case RANDOM -> random.nextDouble();
                    case LEAST_ACTIVE -> -node.activeHops + random.nextDouble();
                    case RENDEZVOUS -> (mix(node.hash ^ mix(lookup.key)) >>> 11) * 0x1p-53;
                };
                if (score <= bestScore) continue;
                bestScore = score;
                best = node;
            }
            return best;
        }

        private boolean sendHop(Lookup lookup) {
            if (!lookup.open || now >= lookup.expiresAt || lookup.hops >= Math.min(capabilities.maxHops(),
                1 + maxRetries)) {
                return false;
            }
            if (lookup.nonIdempotent && lookup.mayHaveRun) return false;
            Node node = chooseNode(0, lookup, choice);
            if (node == null) return false;
            Node source = chooseNode(1, lookup, Choice.RENDEZVOUS);
            if (source == null) source = chooseNode(2, lookup, Choice.RENDEZVOUS);
            lookup.hops++;
            lookup.tried.add(node);
            lookup.activeHops.add(node);
            node.activeHops++;
            lookup.mayHaveRun = true;
            Double lastPurgedAt = purgedAt.get(lookup.group);
            double maxAgeMs = lastPurgedAt != null && now - lastPurgedAt < purgeMs + 500
                ? Math.max(1, now - lastPurgedAt) : 0;
            int rank = maxCachedKb == 0 || lookup.sizeKb <= maxCachedKb ? 2 : 0;
            decisions.sendFetch(lookup.index, node.index, lookup.expiresAt, source == null ? node.index : source.index,
                rank, maxAgeMs, DecisionWriter.COALESCE_FILLS);
            return true;
        }

        private void endLookup(Lookup lookup) {
            if (!lookup.open) return;
            lookup.open = false;
            if (lookup.nonIdempotent && lookup.mayHaveRun) decisions.fail(lookup.index);
            else decisions.reject(lookup.index, 100);
        }

        @Override public void hopEnded(int index, int hop, int node, int outcome, boolean last, int note,
            double elapsedMs, double sourceWait, double[] report) {
            Lookup lookup = lookups.get(index);
            if (lookup == null || hop >= lookup.activeHops.size()) return;
            Node target = lookup.activeHops.get(hop);
            if (target != null) target.activeHops--;
            lookup.activeHops.set(hop, null);
            if (last || outcome == SUCCEEDED) lookup.open = false;
            boolean neverRan = outcome == REJECTED || outcome == CONNECT_FAILED || outcome == NOT_SENT
                || outcome == MISS;
            if (neverRan && lookup.hops == 1) lookup.mayHaveRun = false;
            if (lookup.open && !sendHop(lookup)) endLookup(lookup);
        }

        @Override public void streamStarted(int lookup, int hop) { }

        @Override public void clientDisconnected(int index) {
            Lookup lookup = lookups.get(index);
            if (lookup != null) lookup.open = false;
        }

        @Override public void timerFired(long name) { }

        @Override public void purged(long object, int group, double ageMs) {
            purgedAt.merge(group, now - ageMs, Math::max);
        }

        @Override public void probeCompleted(int node, int outcome, double spent, double[] report) { }

        @Override public void listStarted(int kind) { }

        @Override public void nodeListed(int index, String address, int zone, int kind, int cell, int status,
            double units, double startedAt) {
            int tier = kind == topology.parentKind() ? 1 : kind == topology.originKind() ? 2 : 0;
            if (tier == 0 && zone != topology.ownZone()) return;
            Node node = nodes.computeIfAbsent(index, k -> new Node());
            node.index = index;
            node.tier = tier;
            node.status = status;
            long hash = 0;
            for (int i = 0; i < address.length(); i++) hash = mix(hash * 31 + address.charAt(i));
            node.hash = hash;
        }

        @Override public void listFinished() { }
    }
}
