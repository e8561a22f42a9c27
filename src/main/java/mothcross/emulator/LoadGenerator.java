package mothcross.emulator;

import java.util.SplittableRandom;

/**
 * The clients of one place: when they ask for what, how long they wait, and that they ask again. Owns arrivals, drawn
 * ahead of
 * any answer; popularity is Zipf's over common and own objects, drifts, and has objects wanted once.
 */
final class LoadGenerator {
    /** What a client wants, over all its tries; worth is counted once. */
    static final class Wish {
        final double at, kb, ownMs;
        final long object;
        final int group;
        boolean handled, inTime;
        int tries;

        Wish(double at, double kb, double ownMs, long object, int group) {
            this.at = at;
            this.kb = kb;
            this.ownMs = ownMs;
            this.object = object;
            this.group = group;
        }
    }

    /** One try of it at one director. */
    static final class Lookup {
        final Wish wish;
        final SimulatedDirector host;
        final int run, group;
        final double expires;
        final boolean onceOnly;
        boolean answered, mayHaveRun;
        int index;

        Lookup(Wish wish, SimulatedDirector host, double expires, boolean onceOnly) {
            this.wish = wish;
            this.host = host;
            this.run = host.run;
            this.group = wish.group;
            this.expires = expires;
            this.onceOnly = onceOnly;
        }
    }

    private static final int GROUPS = 64;
    private static final double BACKSTOP_MS = 20;           // hops end with the client's time, and its answer with them
    private final Simulation w;
    private final int place;
    private final SplittableRandom chance;
    private final double[] cumulated;
    private long oneOffs;
    /** Times the usual rate, and the share of lookups for one object; faults move both. */
    double times = 1, hotShare, scanShare;

    LoadGenerator(Simulation w, int place, SplittableRandom chance) {
        this.w = w;
        this.place = place;
        this.chance = chance;
        int n = Math.max(1, w.town.count("objects"));
        cumulated = new double[n];
        double sum = 0, s = w.town.get("zipf");
        for (int i = 0; i < n; i++) cumulated[i] = sum += Math.pow(i + 1, -s);
        for (int i = 0; i < n; i++) cumulated[i] /= sum;
    }

    /** Lookups a second at this place: the load's share of what its caches can send. */
    double perMs() {
        ScenarioParameters t = w.town;
        double meanMs = t.get("kb") / t.get("flow_kb_ms");
        return times * t.get("load") * t.get("caches") * t.get("cache_flows") / meanMs;
    }

    void begin() {
        w.clock.in(-Math.log(1 - chance.nextDouble()) / perMs(), this::arrives);
    }

    private void arrives() {
        ScenarioParameters t = w.town;
        if (w.elapsed() >= 1000 * t.get("seconds")) return;
        begin();
        long object = object();
        // The size goes by the object, so that it is the same each time.
        SplittableRandom own = new SplittableRandom(object * 0x9e3779b97f4a7c15L);
        double sigma = t.get("kb_sigma"), kb = t.get("kb") * Math.exp(sigma * gauss(own) - sigma * sigma / 2);
        kb = Math.min(kb, t.get("kb") * 20);
        Wish wish = new Wish(w.elapsed(), kb, kb / t.get("flow_kb_ms"), object, (int) Math.floorMod(object,
            (long) GROUPS));
        w.result.wished(wish);
        ask(wish);
    }

    private long object() {
        if (chance.nextDouble() < w.town.get("one_offs") + scanShare) return (1L << 50) + ((long) place << 40)
            + oneOffs++;
        if (chance.nextDouble() < hotShare) return 7;
        double u = chance.nextDouble();
        int low = 0, high = cumulated.length - 1;
        while (low < high) {
            int mid = (low + high) / 2;
            if (cumulated[mid] < u) low = mid + 1;
            else high = mid;
        }
        // Popularity wanders over the objects by so many ranks a second.
        long shift = (long) (w.town.get("drift") * w.elapsed() / 1000);
        long rank = (low + shift) % cumulated.length;
        boolean common = new SplittableRandom(rank).nextDouble() < w.town.get("common");
        return common ? rank : rank + ((long) (place + 1) << 32);
    }

    private double gauss(SplittableRandom r) {
        double u = 1 - r.nextDouble(), v = r.nextDouble();
        return Math.sqrt(-2 * Math.log(u)) * Math.cos(2 * Math.PI * v);
    }

    private void ask(Wish wish) {
        SimulatedDirector h = w.hostAt(place, chance);
        wish.tries++;
        if (h == null) {
            again(wish, w.town.get("retry_ms"));
            return;
        }
        double wait = w.town.get("abandon");
        Lookup l = new Lookup(wish, h, w.clock.now + wait, chance.nextDouble() < w.town.get("once_only"));
        w.clock.at(l.expires + BACKSTOP_MS, () -> {
            if (l.answered) return;
            w.check.timeIsUp(l);
            if (l.run == h.run && !h.dead) h.left(l);
            l.answered = true;
            w.result.unanswered++;
        });
        h.ask(l);
    }

    /** Turned away, or its director died: it asks again, a few times, no sooner than it was told. */
    void again(Wish wish, double after) {
        if (wish.tries > w.town.count("retries")) return;
        double wait = Math.max(after, w.town.get("retry_ms") * (0.5 + chance.nextDouble()));
        w.clock.in(wait, () -> ask(wish));
    }
}
