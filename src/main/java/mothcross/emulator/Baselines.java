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
 * What the module is compared with: simple rules through the same interface. They keep rules 1 and 3 and bound ages
 * after a
 * purge, so that runs compare; how they choose, keep and ask again is theirs. Must never be used by a director.
 */
public final class Baselines {
    /** By name; {@code decide} is the module itself. */
    public static final Map<String, DirectorFactory> ALL = new LinkedHashMap<>();

    static {
        ALL.put("decide", (seed, w, places, may, told, caches, parents, purge) ->
            new CacheDirector(seed, w, places, may, told, caches, parents, purge));
        ALL.put("random", plain(Choice.RANDOM, 0, 1));
        ALL.put("least-out", plain(Choice.LEAST_OUT, 0, 1));
        ALL.put("rendezvous", plain(Choice.RENDEZVOUS, 0, 1));
        ALL.put("threshold", plain(Choice.RENDEZVOUS, 1500, 1));
        ALL.put("no-cold-budget", (seed, w, places, may, told, caches, parents, purge) ->
            new CacheDirector(seed, w, places, may, told,
                new SlowStartLimits(1, 0, caches.overloadFactor(), caches.overloadWindowMs()),
                new SlowStartLimits(1, 0, parents.overloadFactor(), parents.overloadWindowMs()), purge));
        ALL.put("all-hops", plain(Choice.RENDEZVOUS, 0, 99));
    }

    private enum Choice { RANDOM, LEAST_OUT, RENDEZVOUS }

    private Baselines() { }

    private static DirectorFactory plain(Choice how, double keepsUpToKb, int further) {
        return (seed, w, places, may, told, caches, parents, purge) -> new Plain(how, keepsUpToKb, further, seed,
            places, may, purge);
    }

    private static final class Node {
        int index, tier, standing, out;
        long hash;
    }

    private static final class Ask {
        int index, hops;
        long key;
        double expires, kb;
        int group;
        boolean open, once, mayHaveRun;
        final List<Node> tried = new ArrayList<>(), out = new ArrayList<>();
    }

    /** One choice among the caches of the place, one parent by the object's hash, so many further hops. */
    private static final class Plain implements Director {
        private final Choice how;
        private final double keepsUpToKb, purgeMs;
        private final int further;
        private final SplittableRandom chance;
        private final Topology places;
        private final Capabilities may;
        private final Map<Integer, Node> nodes = new LinkedHashMap<>();
        private final Map<Integer, Ask> asks = new LinkedHashMap<>();
        private final Map<Integer, Double> purged = new LinkedHashMap<>();
        private double now;
        private DecisionWriter out;

        Plain(Choice how, double keepsUpToKb, int further, long seed, Topology places, Capabilities may,
            double purgeMs) {
            this.how = how;
            this.keepsUpToKb = keepsUpToKb;
            this.further = further;
            this.chance = new SplittableRandom(seed);
            this.places = places;
            this.may = may;
            this.purgeMs = purgeMs;
        }

        @Override public void process(double at, EventBatch in, DecisionWriter writer) {
            now = at;
            out = writer;
            in.deliverTo(this);
        }

        @Override public void lookup(int index, int workload, double expires, long object, int part, int group,
            double sizeKb,
                                     boolean repeat, boolean write, RouteConstraints by) {
            Ask a = new Ask();
            a.index = index;
            a.key = object;
            a.expires = expires;
            a.kb = sizeKb;
            a.group = group;
            a.open = true;
            a.once = workload == 1;
            asks.put(index, a);
            if (!hop(a)) end(a);
        }

        private static long mix(long x) {
            x = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
            x = (x ^ (x >>> 27)) * 0x94d049bb133111ebL;
            return x ^ (x >>> 31);
        }

        private Node choose(int tier, Ask a, Choice by) {
            Node best = null;
            double top = Double.NEGATIVE_INFINITY;
            for (Node n : nodes.values()) {
                if (n.tier != tier || n.standing != IN_SERVICE || a.tried.contains(n)) continue;
                double score = switch (by) {
                    case RANDOM -> chance.nextDouble();
                    case LEAST_OUT -> -n.out + chance.nextDouble();
                    case RENDEZVOUS -> (mix(n.hash ^ mix(a.key)) >>> 11) * 0x1p-53;
                };
                if (score <= top) continue;
                top = score;
                best = n;
            }
            return best;
        }

        private boolean hop(Ask a) {
            if (!a.open || now >= a.expires || a.hops >= Math.min(may.maxHops(), 1 + further)) return false;
            if (a.once && a.mayHaveRun) return false;
            Node n = choose(0, a, how);
            if (n == null) return false;
            Node from = choose(1, a, Choice.RENDEZVOUS);
            if (from == null) from = choose(2, a, Choice.RENDEZVOUS);
            a.hops++;
            a.tried.add(n);
            a.out.add(n);
            n.out++;
            a.mayHaveRun = true;
            Double at = purged.get(a.group);
            double oldest = at != null && now - at < purgeMs + 500 ? Math.max(1, now - at) : 0;
            int rank = keepsUpToKb == 0 || a.kb <= keepsUpToKb ? 2 : 0;
            out.sendFetch(a.index, n.index, a.expires, from == null ? n.index : from.index, rank, oldest,
                DecisionWriter.COALESCE_FILLS);
            return true;
        }

        private void end(Ask a) {
            if (!a.open) return;
            a.open = false;
            if (a.once && a.mayHaveRun) out.fail(a.index);
            else out.reject(a.index, 100);
        }

        @Override public void hopEnded(int index, int hop, int node, int outcome, boolean last, int note, double spent,
                                       double sourceWait, double[] report) {
            Ask a = asks.get(index);
            if (a == null || hop >= a.out.size()) return;
            Node n = a.out.get(hop);
            if (n != null) n.out--;
            a.out.set(hop, null);
            if (last || outcome == SUCCEEDED) a.open = false;
            boolean neverRan = outcome == REJECTED || outcome == CONNECT_FAILED || outcome == NOT_SENT
                || outcome == MISS;
            if (neverRan && a.hops == 1) a.mayHaveRun = false;
            if (a.open && !hop(a)) end(a);
        }

        @Override public void streamStarted(int lookup, int hop) { }

        @Override public void clientDisconnected(int lookup) {
            Ask a = asks.get(lookup);
            if (a != null) a.open = false;
        }

        @Override public void timerFired(long name) { }

        @Override public void purged(long object, int group, double ago) {
            purged.merge(group, now - ago, Math::max);
        }

        @Override public void probeCompleted(int node, int outcome, double spent, double[] report) { }

        @Override public void listStarted(int news) { }

        @Override public void nodeListed(int index, String address, int place, int kind, int cell, int standing,
            double units,
                                     double startedAt) {
            int tier = kind == places.parentKind() ? 1 : kind == places.originKind() ? 2 : 0;
            if (tier == 0 && place != places.ownZone()) return;
            Node n = nodes.computeIfAbsent(index, k -> new Node());
            n.index = index;
            n.tier = tier;
            n.standing = standing;
            long h = 0;
            for (int i = 0; i < address.length(); i++) h = mix(h * 31 + address.charAt(i));
            n.hash = h;
        }

        @Override public void listFinished() { }
    }
}
