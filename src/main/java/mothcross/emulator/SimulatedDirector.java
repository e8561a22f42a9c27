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
 * One director of a run: the policy through its interface, unchanged, and the ways in and out. Owns indices, the hops
 * that are
 * out and the bells; must never let the policy see what its rounds do not bring.
 */
final class SimulatedDirector implements DecisionWriter {
    private final Simulation w;
    final int number, place;
    private final DirectorFactory policy;
    private final SplittableRandom chance;
    private Director director;
    private LookupIndexAllocator slots;
    private LoadGenerator.Lookup[] lookups;
    private final List<List<Hop>> hops = new ArrayList<>();
    private boolean atWork;
    private final List<EventBatch> later = new ArrayList<>();
    boolean dead, booting;
    private final List<Runnable> missed = new ArrayList<>();
    int run;
    long sent;
    double newsDue;

    SimulatedDirector(Simulation w, int number, int place, DirectorFactory policy, SplittableRandom chance) {
        this.w = w;
        this.number = number;
        this.place = place;
        this.policy = policy;
        this.chance = chance;
        begin();
    }

    /**
     * A fresh start: it takes the list as it stands, is up some time later, and then hears what was told meanwhile:
     * before it takes the first lookup, or, where it does not wait for that, after.
     */
    void begin() {
        double boots = w.hosts.contains(this) ? w.town.get("boot_ms") : 0;
        run++;
        missed.clear();
        booting = boots > 0;
        if (!booting) dead = false;
        start();
        if (!booting) return;
        int mine = run;
        double speaks = boots + w.town.get("speak_ms");
        w.clock.in(w.town.get("waits_for_news") > 0 ? speaks : boots, () -> {
            if (mine == run) dead = false;
        });
        w.clock.in(speaks, () -> {
            if (mine != run) return;
            booting = false;
            for (Runnable news : missed) news.run();
            missed.clear();
        });
    }

    /** Told while it was not there to hear: it could have learned it, so it counts as told. */
    void misses(Runnable news) {
        missed.add(news);
    }

    private void start() {
        ScenarioParameters t = w.town;
        slots = new LookupIndexAllocator();
        lookups = new LoadGenerator.Lookup[64];
        hops.clear();
        later.clear();
        int places = t.count("places"), here = t.count("directors");
        int[] at = new int[places + 1];
        for (int i = 0; i < places; i++) at[i] = here;
        director = policy.make(chance.nextLong(), new Workload[] {workload(t, false), workload(t, true)},
            new Topology(place, at, here * places, SimulatedNode.PARENT, SimulatedNode.ORIGIN),
            new Capabilities(t.count("hops"), true, true, t.get("straight") > 0, true, 1000),
            new SiteParameters(true, true, false, t.get("flow_kb_ms"), t.get("link_flows")),
            new SlowStartLimits(t.get("cold_floor"), t.get("cold_ms"), t.get("cold_breaks"), t.get("cold_span")),
            new SlowStartLimits(t.get("parent_floor"), t.get("parent_cold_ms"), t.get("parent_breaks"),
            t.get("cold_span")), t.get("purge_takes"));
        w.check.starts(number);
        boolean wasDead = dead;
        dead = false;
        round(to -> {
            to.listStarted(Director.LIST_RESTORED);
            for (SimulatedNode b : w.boxes) listed(to, b, b.standing);
            to.listFinished();
        });
        dead = wasDead;
    }

    private static Workload workload(ScenarioParameters t, boolean once) {
        return new Workload(once ? Workload.Effect.NON_IDEMPOTENT : Workload.Effect.IDEMPOTENT,
            Workload.DeduplicationScope.ALL, 5000,
            t.get("target"), t.get("stretch"), t.get("abandon"), 1, t.get("late_share"), t.get("fresh"), t.get("stale"),
            t.get("stale_share"), false);
    }

    void kill() {
        dead = true;
        booting = false;
        missed.clear();
        for (List<Hop> all : hops) for (Hop h : all) if (h != null && !h.over) h.drop();
        for (LoadGenerator.Lookup l : lookups) if (l != null && !l.answered) w.demandAt(place).again(l.wish, 500);
    }

    private void listed(Director to, SimulatedNode b, int standing) {
        w.check.told(number, b, standing);
        to.nodeListed(b.index, b.id, b.kind == SimulatedNode.CACHE ? b.place : w.town.count("places"), b.kind, b.place, standing,
            b.units(), b.startedAt);
    }

    // ---- what comes in ----

    private void round(EventBatch in) {
        if (dead) return;
        if (atWork) {
            later.add(in);
            return;
        }
        atWork = true;
        director.process(w.clock.now, in, this);
        atWork = false;
        while (!later.isEmpty() && !dead) {
            EventBatch next = later.remove(0);
            atWork = true;
            director.process(w.clock.now, next, this);
            atWork = false;
        }
    }

    void news(SimulatedNode b, int standing, double startedAt) {
        round(to -> {
            to.listStarted(Director.LIST_DELTA);
            w.check.told(number, b, standing);
            to.nodeListed(b.index, b.id, b.kind == SimulatedNode.CACHE ? b.place : w.town.count("places"), b.kind, b.place,
                standing, b.units(), startedAt);
            to.listFinished();
        });
    }

    void purged(int group, double at) {
        w.check.toldPurge(number, group, at);
        round(to -> to.purged(-1, group, w.clock.now - at));
    }

    void ask(LoadGenerator.Lookup l) {
        int at = l.index = slots.allocate();
        while (at >= lookups.length) lookups = java.util.Arrays.copyOf(lookups, 2 * lookups.length);
        lookups[at] = l;
        while (hops.size() <= at) hops.add(new ArrayList<>());
        hops.get(at).clear();
        LoadGenerator.Wish x = l.wish;
        round(to -> to.lookup(at, l.onceOnly ? 1 : 0, l.expires, x.object, 0, x.group, x.kb, x.tries > 1, false));
    }

    void left(LoadGenerator.Lookup l) {
        int at = l.index;
        if (lookups[at] != l) return;
        slots.markOver(at);
        round(to -> to.clientDisconnected(at));
        release(at);
    }

    private void release(int at) {
        if (slots.release(at)) lookups[at] = null;
    }

    private void ended(int at, int number, SimulatedNode node, Hop h, int outcome, int note, double sourceWait, CacheStore.Copy copy) {
        LoadGenerator.Lookup l = lookups[at];
        if (dead || l == null) return;
        boolean handled = outcome == Director.SUCCEEDED && !l.answered;
        if (outcome == Director.SUCCEEDED && copy != null) w.check.served(this.number, l, h, copy);
        if (handled) {
            w.check.answered(l, false);
            l.answered = true;
            slots.markOver(at);
            w.result.handled(l.wish, w.elapsed(), note);
        }
        boolean last = l.answered;
        h.neverRan = outcome == Director.CONNECT_FAILED || outcome == Director.REJECTED || outcome == Director.MISS;
        if (!slots.hopEnded(at, number)) return;
        double spent = w.clock.now - h.sentAt;
        double[] report = node.reachable() && outcome != Director.TIMED_OUT ? node.report() : null;
        round(to -> to.hopEnded(at, number, node.index, outcome, last, note, spent, sourceWait, report));
        release(at);
    }

    // ---- what the policy decides ----

    private void send(int at, int node, int source, double giveUpAt, int rank, double maxAge, int how) {
        LoadGenerator.Lookup l = lookups[at];
        SimulatedNode b = w.boxes.get(node), from = source == node ? null : w.boxes.get(source);
        l.mayHaveRun = mayHaveRun(at);
        w.check.sent(number, l, b, from);
        sent++;
        int n = slots.hopSent(at), mine = run;
        Hop[] self = new Hop[1];
        Hop h = new Hop(l.wish.object, l.group, l.wish.kb, l.wish.ownMs, from, rank, maxAge, how, w.clock.now,
            (outcome, note, waited, copy) -> w.clock.in(w.town.get("near_ms"), () -> {
                if (mine == run) ended(at, n, b, self[0], outcome, note, waited, copy);
            }));
        self[0] = h;
        hops.get(at).add(h);
        double until = giveUpAt > 0 ? Math.min(giveUpAt, l.expires) : l.expires;
        w.clock.in(w.town.get("near_ms"), () -> b.take(h));
        w.clock.at(until, () -> {
            if (mine != run || h.over) return;
            h.drop();
            b.dropped(h);
            ended(at, n, b, h, Director.TIMED_OUT, 0, 0, null);
        });
        // A box that says nothing at all is found when connecting takes too long.
        if (b.silent) w.clock.in(w.town.get("connect_ms"), () -> {
            if (mine != run || h.over) return;
            h.drop();
            ended(at, n, b, h, Director.CONNECT_FAILED, 0, 0, null);
        });
    }

    /** Unless every hop of it is known not to have run. */
    private boolean mayHaveRun(int at) {
        for (Hop h : hops.get(at)) if (!h.neverRan) return true;
        return false;
    }

    @Override public void sendCacheOnly(int lookup, int node, double giveUpAt) {
        send(lookup, node, node, giveUpAt, 0, 0, 0);
    }

    @Override public void sendFetch(int lookup, int node, double giveUpAt, int source, int rank, double maxAge,
        int how) {
        send(lookup, node, source, giveUpAt, rank, maxAge, how);
    }

    @Override public void cancelHop(int lookup, int hop) {
        List<Hop> all = hops.get(lookup);
        if (hop >= all.size() || all.get(hop).over) return;
        Hop h = all.get(hop);
        int mine = run;
        h.drop();
        w.droppedAnywhere(h);
        w.clock.in(0, () -> {
            if (mine == run && !dead && slots.hopEnded(lookup, hop)) {
                round(to -> to.hopEnded(lookup, hop, 0, Director.CANCELLED, true, 0, w.clock.now - h.sentAt, 0, null));
                release(lookup);
            }
        });
    }

    private void answer(int lookup, boolean bounced, double after) {
        LoadGenerator.Lookup l = lookups[lookup];
        l.mayHaveRun = mayHaveRun(lookup);
        w.check.answered(l, bounced);
        l.answered = true;
        slots.markOver(lookup);
        if (bounced) w.result.bounced++;
        else w.result.givenUp++;
        if (bounced) w.demandAt(place).again(l.wish, after);
        int mine = run;
        w.clock.in(0, () -> {
            if (mine == run) release(lookup);
        });
    }

    @Override public void reject(int lookup, double comeBackAfter) {
        answer(lookup, true, comeBackAfter);
    }

    @Override public void fail(int lookup) {
        answer(lookup, false, 0);
    }

    @Override public void probe(int node) {
        SimulatedNode b = w.boxes.get(node);
        w.clock.in(2 * w.town.get("near_ms"), () -> round(to -> to.probeCompleted(node,
            b.reachable() ? Director.SUCCEEDED : Director.CONNECT_FAILED, 2, b.reachable() ? b.report() : null)));
    }

    @Override public void setTimer(double t, long name) {
        int mine = run;
        w.clock.at(t, () -> {
            if (mine == run) round(to -> to.timerFired(name));
        });
    }

    @Override public void watchNodeList(boolean on) { }

    @Override public void log(String text) { }
}
