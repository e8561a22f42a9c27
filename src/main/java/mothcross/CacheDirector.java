package mothcross;

import java.util.*;

/**
 * Every decision of a director. Called once a round through {@link Director#process}, the interface that
 * Director.java defines: the reader delivers what came in to the handlers here, and each decision goes
 * at once into the round's {@link DecisionWriter}. One instance is one director; it knows only what its
 * own rounds bring. docs/design.md says which part follows the design and where it is extended.
 */
public final class CacheDirector implements Director {
    private static final long TUNE = 0, FOLLOW_AGAIN = 1, OVERDUE = 2;
    private static final int ANY = 0, HEALTHY = 1, IN_TIME = 2;

    private final SplittableRandom chance;
    private final Workload[] workloads;
    private final Topology places;
    private final Capabilities may;
    private final SiteParameters told;
    private final Admission admission;
    private final Placement placement = new Placement();
    private final Health health = new Health();
    private final Purges purges;
    private final ColdBudgets coldCaches, coldParents;
    private final Link fills;                      // the link in of this place
    private final Behind behind = new Behind();
    private final Further further = new Further(), proofs = new Further(), overdue = new Further();
    private final Gate gate = new Gate();
    private final double[] meanMs, fillsBad;       // by workload: sending time; share of fills late or failed
    private Lookup[] lookups = new Lookup[64];     // by index; indices are used again, so it stays small
    private double now;
    private DecisionWriter out;

    public CacheDirector(long seed, Workload[] workloads, Topology places, Capabilities may, SiteParameters told,
                  SlowStartLimits caches, SlowStartLimits parents, double purgeTakesMs) {
        this.chance = new SplittableRandom(seed);
        this.workloads = workloads;
        this.places = places;
        this.may = may;
        this.told = told;
        overdue.left = 0;
        this.meanMs = new double[workloads.length];
        this.fillsBad = new double[workloads.length];
        this.purges = new Purges(purgeTakesMs);
        int directorsHere = Math.max(1, places.directorsPerZone()[places.ownZone()]);
        this.admission = new Admission(chance.split(), directorsHere);
        this.fills = new Link(directorsHere, told.zoneLinkFlows() > 0 ? told.zoneLinkFlows() : Double.NaN);
        this.coldCaches = new ColdBudgets(caches, directorsHere);
        this.coldParents = new ColdBudgets(parents, Math.max(1, places.directors()));
    }

    @Override public void process(double at, EventBatch in, DecisionWriter writer) {
        now = at;
        if (out == null) {
            writer.setTimer(now + Admission.ROUND_MS, TUNE);
            if (told.listOnRequest()) writer.watchNodeList(true);
        }
        out = writer;
        in.deliverTo(this);
    }

    // ---- lookups ----

    @Override public void lookup(int index, int workload, double expires, long object, int part, int group,
                                 double sizeKb, boolean repeat, boolean write, RouteConstraints by) {
        while (index >= lookups.length) lookups = Arrays.copyOf(lookups, 2 * lookups.length);
        Lookup l = lookups[index] = new Lookup();
        Workload w = l.w = workloads[workload];
        l.index = index;
        l.workload = workload;
        l.object = object;
        l.group = group;
        l.key = mix(object + mix(part));
        l.placedBy = by != null && by.hasPlacementKey() ? mix(by.placementKey()) : l.key;
        l.weight = by == null ? 1 : by.importanceShare();
        l.expires = expires;
        l.hops = new Hop[by == null ? may.maxHops() : Math.min(by.maxHops(), may.maxHops())];
        l.sized = sizeKb > 0 && told.flowKbPerMs() > 0;
        l.ownMs = l.sized ? sizeKb / told.flowKbPerMs() : meanMs[workload];
        l.aim = Math.min(expires, now + w.targetMs() + w.targetSizeFactor() * l.ownMs);
        l.open = true;
        l.passing = w.uncacheable() || write;
        if (l.sized && meanMs[workload] == 0) meanMs[workload] = Math.min(l.ownMs, w.timeoutMs());
        l.kb = sizeKb > 0 ? sizeKb : 1;                // where untold, c and K are in objects
        if (!l.passing && admission.admits(l.kb)) l.rank = Admission.MIDDLE_RANK;
        if (!hop(l)) gate.finish(l);
    }

    /** The ordinary path and every further hop: cache and parent by the ranking, then the origin. */
    private boolean hop(Lookup l) {
        Node node = null;
        if (l.passing && may.bypassCache()) node = placement.first(Node.ORIGIN, l, false, HEALTHY);
        if (node == null) node = placement.first(Node.CACHE, l, false, HEALTHY);
        // Down the ranking past a cache that would be late, as past one that fails: slow, stalled, crowded.
        if (node != null && node.tier == Node.CACHE && !node.link.inTime(l)) {
            node = fills.inTime(l) ? placement.first(Node.CACHE, l, false, IN_TIME) : null;
            if (node == null) return false;
        }
        // Guards against an outage that looks total: a wrongly set aside cache still beats no answer.
        if (node == null && l.hopCount == 0) node = placement.first(Node.CACHE, l, false, ANY);
        // Straight hops share the place's link with the fills, and crowd it when all caches are gone.
        boolean straight = node == null && !l.again && may.bypassCache() && fills.inTime(l);
        if (straight) node = placement.first(Node.PARENT, l, false, HEALTHY);
        if (straight && node == null) node = placement.first(Node.ORIGIN, l, false, HEALTHY);
        if (node == null) return false;
        Node source = node;
        boolean fill = l.passing || node.tier != Node.CACHE || !l.originFailed && fills.inTime(l);
        if (node.tier != Node.ORIGIN && fill) {
            boolean byParent = node.tier == Node.CACHE && !l.passing;
            Node from = byParent ? placement.first(Node.PARENT, l, true, HEALTHY) : null;
            boolean late = from != null && !from.link.inTime(l);
            Node other = late ? placement.first(Node.PARENT, l, true, IN_TIME) : null;
            // A late source is left only for one known to be twice as good; if all are slow, the hash stays.
            if (other != null && other.link.pace() > 2 * from.link.pace()) from = other;
            if (from == null && behind.permits()) from = placement.first(Node.ORIGIN, l, true, HEALTHY);
            // Guards against an origin that seems to take all parents with it: they give what they hold.
            if (from == null && byParent) from = placement.first(Node.PARENT, l, true, ANY);
            if (from != null) source = from;
        }
        return gate.send(l, node, source, l.expires);
    }

    @Override public void hopEnded(int index, int hop, int node, int outcome, boolean last, int note,
                                   double spent, double sourceWait, double[] report) {
        Lookup l = lookups[index];
        Hop h = l == null || hop >= l.hopCount ? null : l.hops[hop];
        if (h == null || h.ended) return;
        h.ended = true;
        h.node.link.add(-1);
        if (h.source != h.node) h.source.link.add(-1);
        l.out--;
        if (h.fills) fills.add(-1);
        if (outcome == TIMED_OUT || outcome == SUCCEEDED && l.out > 0) overdue.earn(2);
        if (report != null) {
            h.node.hitShare = report[REPORT_HIT_RATIO];
            if (report[REPORT_CPU_SHARE] >= 0) h.node.busy += 0.2 * (report[REPORT_CPU_SHARE] - h.node.busy);
        }
        // An error that nothing explains may be the lookup's own: what a client made up, all nodes refuse.
        h.err = outcome == ERROR && note == 0 && told.failureReasonsReported()
            && l.w.effect() != Workload.Effect.NON_IDEMPOTENT;
        if (h.err) l.errors++;
        boolean unasked = note == HIT || note == STALE_HIT || note == COALESCED || outcome == CONNECT_FAILED;
        if (unasked) h.source.tokens += h.sourceCharge;
        if (h.source != h.node && !unasked && !h.err && note != COLLATERAL_FAILURE) {
            double bad = outcome != SUCCEEDED || now > l.aim ? 1 : 0;
            fillsBad[l.workload] += 0.05 * (bad - fillsBad[l.workload]);
        }
        if (outcome == SUCCEEDED) {
            h.node.failuresInRow = 0;
            coldOf(h.node).carried(h.node, meanMs[l.workload]);
            boolean filled = note == FILLED || note == FILLED_BY_ORIGIN;
            boolean dragged = note == FILLED_BY_ORIGIN && now > l.aim && sourceWait > spent / 2;
            if (note == FILLED_BY_ORIGIN) behind.told(dragged ? 1 : 0);
            if (filled) {
                if (!h.heldOnly && now <= l.aim) h.source.failuresInRow = 0;
                coldOf(h.source).carried(h.source, meanMs[l.workload]);
            }
            if (!l.passing && hop == 0 && h.node.tier == Node.CACHE && note != 0) {
                admission.answers++;
                if (note == HIT || note == STALE_HIT) admission.hits++;
            }
            // Only what was handled teaches, and proves errors before it: what clients make up never is.
            double mean = meanMs[l.workload], weight = mean == 0 ? 1 : 0.02;
            meanMs[l.workload] += weight * ((l.sized ? l.ownMs : spent) - mean);
            if (!l.passing) admission.note(l.key, l.kb);
            for (int i = 0; i < l.hopCount; i++) if (l.hops[i].err) health.bad(l.hops[i].node, ERROR);
            if (note == HIT) h.node.link.learn(l, spent);
            if (note == FILLED) h.source.link.learn(l, spent);
            if (filled || h.node.tier != Node.CACHE) fills.learn(l, spent - sourceWait);
            further.earn(Further.EARNED);
            proofs.earn(Further.EARNED);
        } else {
            h.neverRan = outcome == REJECTED || outcome == CONNECT_FAILED || outcome == NOT_SENT || outcome == MISS;
            blame(l, h, outcome, note);
        }
        if (last || outcome == SUCCEEDED) {
            l.open = false;
            gate.callOffRest(l);
        }
        if (!l.open || l.streaming || l.out > 0) return;
        boolean lookedOnly = outcome == MISS && (h.source == h.node || h.heldOnly);
        boolean hopeless = lookedOnly || l.originFailed && l.w.staleMs() == 0 || l.errors > 1;
        boolean worthIt = !hopeless && l.expires - now > l.ownMs
            && (h.err ? proofs : further).affords(h.neverRan || note == COLLATERAL_FAILURE);
        if (!(worthIt && hop(l))) gate.finish(l);
    }

    /**
     * Guards against answers that never come: once some have not, a hop out so long that another could just
     * be in time gets one beside it, which asks nothing of the origin. A time-out, or one that pays, buys 2.
     */
    private void askAgain(Lookup l) {
        if (!l.open || l.out != 1 || now < l.overdueAt || !overdue.affords(false)) return;
        l.again = true;
        hop(l);
        l.again = false;
    }

    /** Whose failure was it? What is told decides; where nothing is told, cache and source share it. */
    private void blame(Lookup l, Hop h, int outcome, int note) {
        if (outcome == CANCELLED || outcome == NOT_SENT) return;
        boolean bySource = note == SOURCE_REJECTED || note == SOURCE_UNREACHABLE || note == SOURCE_MISS;
        boolean unclear = outcome == TIMED_OUT
            || !told.failureReasonsReported() && (outcome == REJECTED || outcome == MISS || outcome == ERROR);
        l.originFailed |= note == ORIGIN_FAILED;
        h.sourceBlamed = h.source != h.node && (bySource || unclear);
        boolean own = !bySource && note != ORIGIN_FAILED;
        h.nodeBlamed = own && outcome != CONNECTION_LOST;     // what ran and was cut off is held there: ask again
        if (h.sourceBlamed && note != SOURCE_MISS) health.bad(h.source, outcome);
        if (note == ORIGIN_FAILED || h.source.tier == Node.ORIGIN && h.sourceBlamed) behind.told(Behind.ONCE);
        if (own && outcome != REJECTED && outcome != MISS && note != COLLATERAL_FAILURE && !h.err) health.bad(h.node, outcome);
    }

    @Override public void streamStarted(int index, int hop) {
        if (index < lookups.length && lookups[index] != null) lookups[index].streaming = true;
    }

    @Override public void clientDisconnected(int index) {
        Lookup l = lookups[index];
        l.open = false;
        gate.callOffRest(l);
    }

    @Override public void timerFired(long name) {
        int at = (int) Math.min(name - OVERDUE, lookups.length - 1);
        if (at >= 0 && lookups[at] != null) askAgain(lookups[at]);
        if (name == FOLLOW_AGAIN) out.watchNodeList(true);
        if (name == TUNE) out.setTimer(now + admission.tune(placement.reportedHitShare()), TUNE);
    }

    @Override public void purged(long object, int group, double ago) {
        purges.heard(object, group, now - ago);
    }

    @Override public void probeCompleted(int node, int outcome, double spent, double[] report) { }

    // ---- the list ----

    @Override public void listStarted(int news) {
        placement.whole = news == LIST_SNAPSHOT || news == LIST_RESTORED;
        if (placement.whole) for (Node n : placement.nodes) if (n != null) n.named = false;
        if (news == LIST_UNAVAILABLE && told.listOnRequest()) {
            out.setTimer(now + 300 + 400 * chance.nextDouble(), FOLLOW_AGAIN);
        }
    }

    @Override public void nodeListed(int index, String address, int place, int kind, int cell, int standing,
                                 double units, double startedAt) {
        while (placement.nodes.size() <= index) placement.nodes.add(null);
        Node n = placement.nodes.get(index);
        long hash = 0;
        for (int i = 0; i < address.length(); i++) hash = mix(hash * 31 + address.charAt(i));
        if (n != null && n.hash != hash) n = null;      // another one's index, which is gone
        boolean back = n == null ? !placement.first : n.standing == REMOVED && standing == IN_SERVICE;
        double size = units > 0 ? units : 1;
        if (n == null) {
            placement.nodes.set(index, n = new Node());
            n.index = index;
            n.hash = hash;
            n.tier = kind == places.parentKind() ? Node.PARENT
                : kind == places.originKind() ? Node.ORIGIN : Node.CACHE;
            n.place = place;
            n.cell = cell;
            boolean known = n.tier == Node.CACHE && told.unitsAreLinkCapacity();
            n.link = new Link(coldOf(n).directors, known ? size : Double.NaN);
        }
        List<Node> ranked = placement.ranked.get(n.tier);
        if ((n.tier != Node.CACHE || place == places.ownZone()) && !ranked.contains(n)) ranked.add(n);
        n.standing = standing;
        n.units = size;
        n.named = true;
        // Guards against a fresh start that bears no time: whatever comes back counts as cold.
        double since = startedAt != 0 ? startedAt : back ? now : n.startedAt;
        if (since != n.startedAt && since != 0) {
            n.failuresInRow = 0;
            coldOf(n).startsAt(n, since);
        }
    }

    @Override public void listFinished() {
        if (placement.whole) for (Node n : placement.nodes) if (n != null && !n.named) n.standing = REMOVED;
        for (List<Node> tier : placement.ranked) tier.removeIf(n -> n.standing == REMOVED);
        placement.whole = placement.first = false;
    }

    private ColdBudgets coldOf(Node n) {
        return n.tier == Node.PARENT ? coldParents : coldCaches;
    }

    private static long mix(long x) {                  // finalizer of a 64-bit mixing hash
        x = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        x = (x ^ (x >>> 27)) * 0x94d049bb133111ebL;
        return x ^ (x >>> 31);
    }

    private static final class Lookup {
        int index, workload, group, rank, hopCount, out, errors;
        long object, key, placedBy;
        double weight, expires, aim, ownMs, kb, overdueAt;
        boolean open, passing, streaming, sized, originFailed, again;
        Workload w;
        Hop[] hops;
    }

    private static final class Hop {
        Node node, source;
        double sentAt, sourceCharge;
        boolean ended, fills, neverRan, nodeBlamed, sourceBlamed, heldOnly, err;
    }

    private static final class Node {
        static final int CACHE = 0, PARENT = 1, ORIGIN = 2;
        int index, tier, place, cell, standing, failuresInRow;
        long hash;
        double units, startedAt, asideUntil;
        boolean named;                   // in the full list being read
        double tokens, tokensAt;         // token bucket of the cold budget, ms of sending
        double phase;                    // part of a lookup that is still to be taken off it
        double carried, carriedAt;       // own work lately put on it, as flows
        double bears, busy = 1;          // the part of its link that such work shows; share of it in use
        Link link;
        double hitShare = Double.NaN;
    }

    /** The coin e^(-size/c), the table behind it, and the tuning of c and K by the Markov model. */
    static final class Admission {
        static final int MIDDLE_RANK = 2;
        static final double ROUND_MS = 5000;
        private static final int BOUND = 4096, GRID = 18, HALVINGS = 13;
        private static final double SMOOTHING = 0.3, FORGET = 0.02, PART_MS = 50;

        private static final class Item {
            double size, rate;
            int seen;
        }

        // Rounds empty it of what was not asked for lately; while full it takes nothing new.
        private final Map<Long, Item> table = new HashMap<>();
        double c = Double.POSITIVE_INFINITY, k;
        private double hits, answers, bytes, least, most, asked, best, bestC;
        private final SplittableRandom coin;
        private final int directors;
        final double[] size = new double[BOUND], rate = new double[BOUND], pass = new double[BOUND],
            came = new double[BOUND];
        private int n, step;

        /** The caches here are asked by so many directors, each of which sees its part of every rate. */
        Admission(SplittableRandom coin, int directors) {
            this.coin = coin;
            this.directors = directors;
        }

        void note(long key, double sizeKb) {
            bytes += sizeKb;
            Item i = table.get(key);
            if (i == null) {
                if (table.size() >= BOUND) return;
                table.put(key, i = new Item());
            }
            i.size = sizeKb;
            i.seen++;
        }

        boolean admits(double sizeKb) {
            return coin.nextDouble() < Math.exp(-sizeKb / c);
        }


        /** One part of a round, K or a c of the grid; in how long the next. At once it would hold up all. */
        double tune(double reported) {
            if (step == 0) fit(reported);
            if (step > 0 && n > 0) {                         // from admitting nearly all downwards
                double tried = 50 * most * Math.pow(least / (50 * most), (step - 1) / (GRID - 1.0));
                passes(tried);
                double expected = held(pushdown(k, size), rate) / asked;
                if (expected > best + 1e-4) {
                    best = expected;
                    bestC = tried;
                }
            }
            if (step == GRID && best >= 0) c = bestC;
            step = (step + 1) % (GRID + 1);
            return step > 0 ? PART_MS : ROUND_MS - GRID * PART_MS;
        }

        private void fit(double reported) {
            smooth();
            best = -1;
            if (n == 0) return;
            double total = Arrays.stream(size, 0, n).sum();
            least = Arrays.stream(size, 0, n).min().getAsDouble();
            most = Arrays.stream(size, 0, n).max().getAsDouble();
            asked = Arrays.stream(rate, 0, n).sum();
            if (k == 0) k = Math.min(total, bytes * 10_000 / ROUND_MS);
            double share = Double.isNaN(reported) ? (answers >= 20 ? hits / answers : Double.NaN) : reported;
            if (!Double.isNaN(share)) {
                passes(c);
                double seen = held(pushdown(share * asked, rate), size);
                k = Math.min(total, Math.sqrt(k * Math.max(seen, least)));
            }
            hits *= 0.5;
            answers *= 0.5;
            bytes = 0;
        }


        private void smooth() {
            n = 0;
            for (Item i : table.values()) {
                i.rate += SMOOTHING * (i.seen - i.rate);
                i.seen = 0;
            }
            table.values().removeIf(i -> i.rate < FORGET);
            for (Item i : table.values()) {
                size[n] = i.size;
                rate[n++] = i.rate;
            }
        }

        /** The coin for each object, and the chance that it has come up at all: P(in) is a steady state's. */
        void passes(double forC) {
            for (int i = 0; i < n; i++) {
                pass[i] = Math.exp(-size[i] / forC);
                came[i] = -Math.expm1(-directors * rate[i] / SMOOTHING * pass[i]);
            }
        }

        /** P(in) of the paper's chain; past 40 the chain is full but for rounding, and e^x would run over. */
        static double in(double rate, double mu, double pass) {
            double up = Math.expm1(Math.min(40, rate / mu)) * pass;
            return up / (1 + up);
        }

        /** What the model expects to be there: by size the content, by rate the lookups that hit. */
        double held(double mu, double[] by) {
            double sum = 0;
            for (int i = 0; i < n; i++) sum += in(rate[i], mu, pass[i]) * came[i] * by[i];
            return sum;
        }

        /** The pushdown rate at which so much is held; it falls with mu. */
        double pushdown(double goal, double[] by) {
            double low = -14, high = 14;                     // powers of e around one lookup a round
            for (int i = 0; i < HALVINGS; i++) {
                double mid = (low + high) / 2, mu = Math.exp(mid);
                if (held(mu, by) > goal) low = mid; else high = mid;
            }
            return Math.exp((low + high) / 2);
        }
    }

    /** The nodes told of, and the ranking of each tier for an object. */
    private final class Placement {
        // By the caller's index, which may be given anew to another node once this one is gone.
        private final List<Node> nodes = new ArrayList<>();
        // By tier what lookups are ranked over: none that is gone, and no cache elsewhere.
        private final List<List<Node>> ranked = List.of(new ArrayList<>(), new ArrayList<>(),
            new ArrayList<>());
        private boolean whole, first = true;

        /** The first that is let through, untried and as sound as asked; one order for all directors. */
        Node first(int tier, Lookup l, boolean asSource, int care) {
            Node best = null;
            double top = -1;
            boolean sure = false;
            long hashed = mix(l.placedBy);
            for (Node n : ranked.get(tier)) {
                if (tried(l, n, asSource) || care >= HEALTHY && !health.usable(n)) continue;
                if (care == IN_TIME && !n.link.inTime(l)) continue;
                if (!(asSource ? gate.mayFillFrom(n) : gate.mayReach(l, n))) continue;
                double u = ((mix(n.hash ^ hashed) >>> 11) + 0.5) * 0x1p-53, score = -n.units / Math.log(u);
                // Guards against an old list: what may be gone is ranked behind all that is known there.
                boolean known = n.standing == IN_SERVICE;
                if (known == sure && score <= top || sure && !known) continue;
                top = score;
                best = n;
                sure = known;
            }
            return best;
        }

        private boolean tried(Lookup l, Node n, boolean asSource) {
            for (int i = 0; i < l.hopCount; i++) {
                Hop h = l.hops[i];
                if (asSource ? h.source == n && h.sourceBlamed : h.node == n && (h.nodeBlamed || !h.ended)) {
                    return true;
                }
            }
            return false;
        }

        double reportedHitShare() {
            return ranked.get(Node.CACHE).stream().filter(n -> !Double.isNaN(n.hitShare))
                .mapToDouble(n -> n.hitShare).average().orElse(Double.NaN);
        }
    }

    /** Failures in a row set a node aside for a fixed time and a random part; then one hop tries it. */
    private final class Health {
        private static final int LIMIT = 3;
        private static final double ASIDE_MS = 2000, ASIDE_RANDOM_MS = 1000;

        boolean usable(Node n) {
            return n.failuresInRow < LIMIT || now >= n.asideUntil && n.link.out == 0;
        }

        void bad(Node n, int outcome) {
            if (++n.failuresInRow < LIMIT) return;
            n.asideUntil = now + ASIDE_MS + ASIDE_RANDOM_MS * chance.nextDouble();
            // Guards against a restart the list has not told yet: what could not be reached returns cold.
            if (outcome == CONNECT_FAILED && n.tier != Node.ORIGIN) coldOf(n).startsAt(n, now);
        }
    }

    /**
     * One link: own answers out on it, those of the others that send there, each taken to have as many as
     * this one has on the average, and how many it sends at full pace at a time; from these, whether one more
     * can be answered by the target time. Guards against a jam, where every answer comes late: a link, or a
     * slow or crowded node, with more than it carries. It errs on noise; one answer at full pace mends that.
     */
    private final class Link {
        private static final double MARGIN = 0.7, LEARN = 0.1, SHORT_MS = 100, SLOWED = 0.8, LATELY_MS = 5000,
            FADES_MS = 3000;
        private final int others;
        private double flows, out, usual, at, learnedAt;    // flows: NaN while neither told nor seen slow

        Link(int directors, double flows) {
            this.others = directors - 1;
            this.flows = flows;
        }

        void add(double by) {
            all();
            out += by;
        }

        private double all() {
            usual += (out - usual) * -Math.expm1((at - now) / LATELY_MS);
            at = now;
            return out + others * usual;
        }

        double pace() {
            return flows / (all() + 1);
        }

        boolean inTime(Lookup l) {
            return Double.isNaN(flows) || all() < 1
                || l.ownMs / Math.min(1, pace()) <= MARGIN * l.weight * (l.aim - now);
        }

        /** The share of full pace an answer got, times the answers out meanwhile, is what can be sent. */
        void learn(Lookup l, double spent) {
            double share = Math.min(1, l.ownMs / Math.max(1, spent)), meanwhile = all() + 1;
            double weight = Math.max(LEARN, -Math.expm1((learnedAt - now) / FADES_MS));
            weight *= l.ownMs / (l.ownMs + SHORT_MS);
            learnedAt = now;
            if (Double.isNaN(flows) && share < SLOWED) flows = share * meanwhile;
            double seen = share < SLOWED ? share * meanwhile : Math.max(flows, meanwhile);
            flows += weight * (seen - flows);
        }
    }

    /** The share of fills that may be had from the origin; keeps a slow or stopped one from being driven. */
    private final class Behind {
        private static final double CUT = 0.6, CUT_EVERY_MS = 100, DOUBLES_MS = 500, LEAST = 0.02, ONCE = 3;
        private double share = 1, at, toldAt = Double.NEGATIVE_INFINITY;

        boolean permits() {
            share = Math.min(1, share * Math.pow(2, (now - at) / DOUBLES_MS));
            at = now;
            return share >= 1 || chance.nextDouble() < share;
        }

        boolean isHeldBack() {
            return share * Math.pow(2, (now - at) / DOUBLES_MS) < 1;
        }

        /** What fails or lags stands for as many as would have come, at a whole share, since the last. */
        void told(double most) {
            double gap = (now - toldAt) / CUT_EVERY_MS;
            if (most > 0 && gap < 1) return;
            toldAt = now;
            permits();
            double times = Math.min(most, Math.max(1, gap * share));
            share = Math.max(LEAST, share * Math.pow(CUT, times));
        }
    }

    /** Further hops are paid for by handled lookups, so that they dry up as failures grow. */
    private static final class Further {
        private static final double EARNED = 0.1, MOST = 10, NEVER_RAN = 0.25;
        private double left = MOST;

        void earn(double by) {
            left = Math.min(MOST, left + by);
        }

        boolean affords(boolean neverRan) {
            double price = neverRan ? NEVER_RAN : 1;
            boolean enough = left >= price;
            if (enough) left -= price;
            return enough;
        }
    }

    /** This director's part of what a cold node bears, in whole lookups, each after a random phase. */
    private final class ColdBudgets {
        private static final double MARGIN = 0.6, SAVED = 0.3, LATELY_MS = 5000, LEARN = 0.2, IDLE = 0.1;
        private final SlowStartLimits terms;
        private final int directors;
        private double bore;

        ColdBudgets(SlowStartLimits terms, int directors) {
            this.terms = terms;
            this.directors = directors;
        }

        void startsAt(Node n, double at) {
            n.startedAt = at;
            n.phase = chance.nextDouble();
            n.tokens = 0;
            n.tokensAt = now;
        }

        boolean isCold(Node n) {
            if (n.tier == Node.ORIGIN) return false;
            return n.standing == UNCONFIRMED || n.startedAt != 0 && now - n.startedAt < terms.warmUpMs();
        }

        boolean affords(Node n) {
            if (!isCold(n)) return true;
            // Guards against a start that nobody told: an unsure node may have started only now.
            double warmth = n.standing == UNCONFIRMED ? 0 : Math.max(0, now - n.startedAt) / terms.warmUpMs();
            double share = terms.initialShare() + (1 - terms.initialShare()) * warmth;
            double flows = MARGIN * terms.overloadFactor() * share * link(n);
            double most = SAVED * flows * terms.overloadWindowMs(), whole = Arrays.stream(meanMs).max().getAsDouble();
            // Guards against directors that start along with it, and know only now how much a lookup is.
            n.tokens += flows * (now - n.tokensAt) - n.phase * whole;
            n.tokensAt = now;
            if (whole > 0) n.phase = 0;
            if (n.tokens > most && whole > 0) n.tokens -= whole * Math.ceil((n.tokens - most) / whole);
            return n.tokens > 0;
        }

        double charge(Node n, double work) {
            if (!isCold(n)) return 0;
            n.tokens -= work;
            return work;
        }

        void carried(Node n, double work) {
            n.carried = n.carried * Math.exp((n.carriedAt - now) / LATELY_MS) + work / LATELY_MS;
            n.carriedAt = now;
            if (!isCold(n)) bore = n.bears += LEARN * (n.carried / Math.max(IDLE, n.busy) - n.bears);
        }

        /** This director's part of a link, in flows; untold, what it bore warm, or what its like did. */
        private double link(Node n) {
            if (told.unitsAreLinkCapacity()) return n.units / directors;
            if (n.bears > 0) return n.bears;
            return placement.ranked.get(n.tier).stream().filter(x -> x.bears > 0)
                .mapToDouble(x -> x.bears).average().orElse(bore);
        }
    }

    /** When what was purged, until every cache and parent has dropped it by itself. */
    private final class Purges {
        private static final double MARGIN_MS = 500;
        private final double lastsMs;
        // By object, or ~group for all of a group; cleared of what has run out whenever a purge is heard.
        private final Map<Long, Double> purgedAt = new HashMap<>();

        Purges(double takesMs) {
            lastsMs = takesMs + MARGIN_MS;
        }

        void heard(long object, int group, double at) {
            purgedAt.values().removeIf(t -> now - t > lastsMs);
            purgedAt.merge(object >= 0 ? object : ~(long) group, at, Math::max);
        }

        /** The oldest copy that will do, or infinity. */
        double bound(Lookup l) {
            double at = Math.max(purgedAt.getOrDefault(l.object, Double.NEGATIVE_INFINITY),
                purgedAt.getOrDefault(~(long) l.group, Double.NEGATIVE_INFINITY));
            return now - at > lastsMs ? Double.POSITIVE_INFINITY : Math.max(1, now - at);
        }
    }

    /** The one place that every send and every final answer passes; it keeps the five rules. */
    private final class Gate {
        /** Rules 1 to 4 for the node itself. */
        boolean mayReach(Lookup l, Node n) {
            if (!l.open || l.streaming || now >= l.expires || l.hopCount >= l.hops.length) return false;
            if (!takesMore(n)) return false;
            if (l.out > 0 && !may.hedging()) return false;
            if (l.w.effect() == Workload.Effect.IDEMPOTENT) return true;
            Hop ran = mayHaveRun(l);
            if (ran == null) return true;
            if (l.w.effect() == Workload.Effect.NON_IDEMPOTENT) return false;
            boolean sameGroup = switch (l.w.deduplicationScope()) {
                case ALL -> true;
                case ZONE -> n.place == ran.node.place;
                case CELL -> n.cell == ran.node.cell;
            };
            return sameGroup && now < ran.sentAt + l.w.deduplicationWindowMs();
        }

        boolean mayFillFrom(Node n) {                  // rules 3 and 4 for a source
            return takesMore(n);
        }

        /** One hop at a time tries a node of an old list, until the caller says that it is in service. */
        private boolean takesMore(Node n) {
            boolean listed = n.standing == IN_SERVICE || n.standing == UNCONFIRMED && n.link.out < 1;
            return listed && coldOf(n).affords(n);
        }

        private Hop mayHaveRun(Lookup l) {
            for (int i = 0; i < l.hopCount; i++) if (!l.hops[i].neverRan) return l.hops[i];
            return null;
        }

        boolean send(Lookup l, Node n, Node source, double until) {
            if (!mayReach(l, n) || source != n && !mayFillFrom(source)) return false;
            double work = meanMs[l.workload];
            Hop h = l.hops[l.hopCount++] = new Hop();
            h.node = n;
            h.source = source;
            h.sentAt = now;
            h.heldOnly = source != n && source.tier == Node.PARENT
                && (l.again || !(health.usable(source) && behind.permits()));
            h.fills = n.tier != Node.CACHE || source != n;
            if (h.fills) fills.add(1);
            coldOf(n).charge(n, work);
            if (source != n) h.sourceCharge = coldOf(source).charge(source, work);
            l.out++;
            l.overdueAt = l.aim - 1.5 * l.ownMs;
            if (l.hopCount == 1 && may.hedging() && overdue.left >= 1 && l.overdueAt > now) {
                out.setTimer(l.overdueAt, OVERDUE + l.index);
            }
            n.link.add(1);
            if (source != n) source.link.add(1);
            double bound = purges.bound(l), fresh = l.w.freshMs();
            // Guards against sources that fail or lag: a copy past its fresh time is taken where it earns
            // more than a fill does lately, or where there will be none.
            double filled = 1 - fillsBad[l.workload] * (1 - l.w.lateValueShare());
            boolean stale = source == n || h.heldOnly || l.w.staleValueShare() > filled
                || l.hopCount > 1 && l.hops[l.hopCount - 2].sourceBlamed;
            double oldest = fresh == 0 ? bound : Math.min(bound, fresh + (stale ? l.w.staleMs() : 0));
            boolean usual = oldest == fresh || oldest == Double.POSITIVE_INFINITY;
            int how = may.fillCoalescing() ? DecisionWriter.COALESCE_FILLS : 0;
            if (fresh > 0 && source != n && !coldOf(source).isCold(source)) how |= DecisionWriter.REVALIDATE;
            if (h.heldOnly) how |= DecisionWriter.SOURCE_CACHE_ONLY;
            // Guards against a slow refill after a purge or a start: c is tuned for a full cache. And against
            // one that never comes: what an origin held back still gives, passed through, is asked for again.
            boolean refill = bound < Double.POSITIVE_INFINITY || coldOf(n).isCold(n) || behind.isHeldBack();
            int rank = refill && !l.passing ? Admission.MIDDLE_RANK : l.rank;
            if (n.tier == Node.ORIGIN) out.sendCacheOnly(l.index, n.index, until);     // it holds all, always fresh
            else out.sendFetch(l.index, n.index, until, source.index, rank, usual ? 0 : oldest, how);
            return true;
        }

        /** Rule 1: the one final answer; a bounce wherever it is true that a new try does no harm. */
        void finish(Lookup l) {
            if (!l.open) return;
            l.open = false;
            boolean harmless = l.w.effect() == Workload.Effect.IDEMPOTENT || mayHaveRun(l) == null
                || l.w.effect() == Workload.Effect.DEDUPLICATED && l.w.deduplicationScope() == Workload.DeduplicationScope.ALL;
            if (harmless) out.reject(l.index, may.maxRetryAfterMs() * (0.2 + 0.3 * chance.nextDouble()));
            else out.fail(l.index);
            callOffRest(l);
        }

        void callOffRest(Lookup l) {
            if (!may.cancellation()) return;
            for (int i = 0; i < l.hopCount; i++) if (!l.hops[i].ended) out.cancelHop(l.index, i);
        }
    }
}
