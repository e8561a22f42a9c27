package mothcross.rig.explore;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import mothcross.policy.Book;
import mothcross.policy.Change;
import mothcross.policy.Driver;
import mothcross.policy.Holder;
import mothcross.policy.Move;
import mothcross.policy.Plan;
import mothcross.policy.Said;
import mothcross.policy.Voters;

/**
 * The life of two changes among three directors, with the very classes that hold, bind and drive, over a register that
 * takes one step at a time (what {@link RegisterModel} shows). Every order of hearing, asking, deciding and of time,
 * words and leases late or never, directors that crash and come back in a new life. Owns the promises on changes,
 * written out plainly: which plan a lookup that starts now would be decided by, at each director, in every state.
 */
public final class ChangeModel implements Explorer.Model<ChangeModel.State> {
    /** Faults that the checks have to find; NONE is the program as it is. */
    public enum Fault { NONE, COMMITS_WITHOUT_ALL, SETTLES_AT_ONCE, READY_UNBOUND, LEASE_FROM_ANSWER, SERVES_WHAT_IT_KEPT,
        OLD_STAGE_COUNTS, OLD_LIFE_COUNTS, OLDER_PLAN_TAKEN, SILENCE_IS_DEATH, LEASE_AFTER_COMMIT }

    /** HOLD: leases off. STOP: leases on, who is late is left out. TRIAL: first a director alone, then all. */
    public enum Scene { HOLD, STOP, TRIAL }

    private static final double LEASE = 2000, TICK = 1000, SPAN = 4 * TICK;
    private static final int N = 3;

    private static final class Dir {
        boolean up = true;
        long life = 1;
        Holder holder;
        Driver driver = new Driver();
        Said.YouMay lease;                              // on its way, and when it was asked for
        long asked = -1;

        Dir() { }

        Dir(Dir d) {
            up = d.up;
            life = d.life;
            holder = d.holder;
            driver = d.driver;
            lease = d.lease;
            asked = d.asked;
        }
    }

    /** One state; only what differs from the one before is made anew. */
    public static final class State {
        private final Dir[] dirs = new Dir[N];
        private List<Book> decided = new ArrayList<>();
        private List<double[]> points = new ArrayList<>();  // plan, and from when on nobody may decide by an older one
        private List<Said.Standing> words = new ArrayList<>();
        private List<Integer> of = new ArrayList<>();
        private int now, proposed, crashes;
        private String broken;

        private State() { }

        private State(State s) {
            for (int i = 0; i < N; i++) dirs[i] = s.dirs[i];
            decided = s.decided;
            points = s.points;
            words = s.words;
            of = s.of;
            now = s.now;
            proposed = s.proposed;
            crashes = s.crashes;
            broken = s.broken;
        }

        private Dir own(int i) {
            return dirs[i] = new Dir(dirs[i]);
        }

        private Book latest() {
            return decided.get(decided.size() - 1);
        }
    }

    private final Scene scene;
    private final Fault fault;
    private final int mostTime, changes, crashes, drivers;
    private final boolean begun;

    /** {@code begun}: the first change is proposed, and all have heard of it; else from the very begin. */
    public ChangeModel(Scene scene, Fault fault, int mostTime, int changes, int crashes, int drivers, boolean begun) {
        this.begun = begun;
        this.scene = scene;
        this.fault = fault;
        this.mostTime = mostTime;
        this.changes = changes;
        this.crashes = crashes;
        this.drivers = drivers;
    }

    private static String name(int i) {
        return "d" + i;
    }

    private static Holder holder(int i, long life, Book kept) {
        Holder h = new Holder(name(i), life, kept);
        for (String t : List.of("A", "B")) h.has(t, true);
        return h;
    }

    @Override public State first() {
        State s = new State();
        Book b = Book.first(Voters.named(List.of("d0", "d1", "d2")), LEASE);
        try {
            b = new Move.Found(Map.of("d0", "m0", "d1", "m1", "d2", "m2")).after(b);
            Map<String, Book.Seat> all = new TreeMap<>();
            for (int i = 0; i < N; i++) all.put(name(i), new Book.Seat(1, "h", i, false));
            b = new Move.Enrol(all).after(b);
            if (scene == Scene.STOP) {
                Move.Propose p = new Move.Propose("L", "", 0, "d0", "", Change.Mode.HOLD, 1e6, Plan.Canary.NONE, true);
                b = p.after(b);
                b = new Move.Commit("L", b.change().since(), Set.of("d0@1", "d1@1", "d2@1"), Set.of()).after(b);
                b = new Move.Settle(1).after(b);
            }
            if (begun) b = proposed(0, b, 0).after(b);
        } catch (Move.Refused e) {
            throw new IllegalStateException(e);
        }
        s.proposed = begun ? 1 : 0;
        s.decided.add(b);
        for (int i = 0; i < N; i++) {
            Dir d = s.dirs[i] = new Dir();
            d.holder = holder(i, 1, Book.first(Voters.named(List.of("d0", "d1", "d2")), LEASE));
            d.holder.heard(b);
            d.driver.heard(b, 0);
        }
        return s;
    }

    // ---- what can happen ----

    @Override public void next(State s, BiConsumer<String, State> to) {
        if (s.now < mostTime) {
            State n = new State(s);
            n.now++;
            to.accept("time goes on to " + n.now, checked(n));
        }
        for (int i = 0; i < N; i++) {
            Dir d = s.dirs[i];
            if (!d.up) {
                restart(s, i, to);
                continue;
            }
            hear(s, i, to);
            say(s, i, to);
            lease(s, i, to);
            if (i < drivers) drive(s, i, to);
            if (s.crashes < crashes) {
                State n = new State(s);
                n.own(i).up = false;
                n.crashes++;
                to.accept(name(i) + " crashes", checked(n));
            }
        }
    }

    /** The latest decided book, or the one before it, late. */
    private void hear(State s, int i, BiConsumer<String, State> to) {
        for (int back = 0; back < 2 && back < s.decided.size(); back++) {
            Book b = s.decided.get(s.decided.size() - 1 - back);
            boolean older = b.revision() <= s.dirs[i].holder.known().revision();
            if (older && !(fault == Fault.OLDER_PLAN_TAKEN && b.revision() < s.dirs[i].holder.known().revision())) {
                continue;
            }
            State n = new State(s);
            Dir d = n.own(i);
            d.holder = older ? holder(i, d.life, b) : new Holder(d.holder);
            if (older) d.holder.has("A", true);
            d.driver = new Driver(d.driver);
            d.holder.heard(b);
            d.driver.heard(b, now(n));
            to.accept(name(i) + " hears of revision " + b.revision(), checked(n));
        }
        Dir d = s.dirs[i];
        if (i >= drivers || d.holder.known().change() == null) return;
        for (int w = 0; w < s.words.size(); w++) {
            Said.Standing st = s.words.get(w);
            long since = d.holder.known().change().since();
            if (st.since() != since && fault != Fault.OLD_STAGE_COUNTS) continue;
            long life = fault == Fault.OLD_LIFE_COUNTS && d.holder.known().roll().containsKey(name(s.of.get(w)))
                ? d.holder.known().roll().get(name(s.of.get(w))).life() : st.life();
            Said.Standing heard = new Said.Standing(life, since, st.plan(), st.far(), "");
            Driver after = new Driver(d.driver);
            after.said(d.holder.known(), name(s.of.get(w)), heard);
            if (same(after, d.driver, now(s))) continue;
            State n = new State(s);
            n.own(i).driver = after;
            to.accept(name(i) + " hears that " + name(s.of.get(w)) + " is " + st.far(), n);
        }
    }

    /** How far it is with the stage that it knows of. */
    private void say(State s, int i, BiConsumer<String, State> to) {
        Dir d = s.dirs[i];
        Change c = d.holder.known().change();
        if (c == null || c.stage() == Change.Stage.TRIAL || !d.holder.isSeated()) return;
        Said.Far far = null;
        Holder h = new Holder(d.holder);
        if (c.stage() == Change.Stage.BINDING && (fault == Fault.READY_UNBOUND || h.binds(c.since(), now(s)))) {
            far = Said.Far.READY;
        } else if (c.stage() == Change.Stage.SETTLING && h.plan() == h.known().plan().number()) {
            far = Said.Far.TAKEN;
        }
        if (far == null) return;
        Said.Standing st = new Said.Standing(d.life, c.since(), h.known().plan().number(), far, "");
        for (int w = 0; w < s.words.size(); w++) if (s.of.get(w) == i && s.words.get(w).equals(st)) return;
        State n = new State(s);
        n.own(i).holder = h;
        n.words = new ArrayList<>(s.words);
        n.of = new ArrayList<>(s.of);
        // Of stages that are over nothing counts any more.
        for (int w = n.words.size() - 1; w >= 0 && fault != Fault.OLD_STAGE_COUNTS; w--) {
            Change at = s.latest().change();
            if (at != null && n.words.get(w).since() >= at.since()) continue;
            n.words.remove(w);
            n.of.remove(w);
        }
        n.words.add(st);
        n.of.add(i);
        to.accept(name(i) + " says that it is " + far, checked(n));
    }

    /** Asked of the register: yes where the plan asked for was in force when it was asked; told at any later time. */
    private void lease(State s, int i, BiConsumer<String, State> to) {
        Dir d = s.dirs[i];
        if (d.lease != null) {
            State n = new State(s);
            Dir x = n.own(i);
            x.holder = new Holder(d.holder);
            if (fault == Fault.LEASE_FROM_ANSWER) {
                Said.MayI again = x.holder.asks(now(s) + 10 * LEASE);
                x.holder = new Holder(d.holder);
                if (again != null && x.holder.isBound()) {
                    x.holder = new Holder(x.holder);
                    x.holder.binds(-1, 0);
                }
            }
            for (String v : List.of("d0", "d1", "d2")) {
                x.holder.on(v, new Said.YouMay(d.lease.number(), "m" + v.charAt(1), true, 0));
            }
            if (fault == Fault.LEASE_FROM_ANSWER && x.holder.isBound()) x.holder = late(x.holder, now(s));
            x.lease = null;
            to.accept(name(i) + " gets its lease", checked(n));
        }
        // Sooner than at half of its lease it may ask as well; it would get less by it.
        if (d.holder.isBound() && d.holder.until() - now(s) > LEASE / 2) return;
        Holder h = new Holder(d.holder);
        Said.MayI m = h.asks(now(s));
        if (m == null) return;
        Book b = s.latest();
        boolean yes = b.plan().number() == m.plan() && b.seats(name(i), m.life());
        if (fault == Fault.LEASE_AFTER_COMMIT) yes = true;
        if (!yes) return;
        State n = new State(s);
        Dir x = n.own(i);
        x.holder = h;
        x.lease = new Said.YouMay(m.number(), "", true, 0);
        to.accept(name(i) + " asks for a lease", n);
    }

    /** Planted: as if the lease counted from when the answer came. */
    private Holder late(Holder h, double now) {
        Holder x = new Holder(h);
        Said.MayI m = x.asks(now);
        if (m == null) return h;
        for (String v : List.of("d0", "d1", "d2")) x.on(v, new Said.YouMay(m.number(), "m" + v.charAt(1), true, 0));
        return x;
    }

    private void drive(State s, int i, BiConsumer<String, State> to) {
        Dir d = s.dirs[i];
        Book b = d.holder.known();
        if (b.revision() != s.latest().revision()) return;      // the register would not take its step
        if (b.change() == null && s.proposed < changes && d.holder.isSeated()) {
            step(s, i, proposed(i, b, s.proposed), true, to);
        }
        if (b.change() != null && b.change().stage() == Change.Stage.TRIAL) {
            step(s, i, new Move.Promote(b.change().id()), false, to);
            step(s, i, new Move.Abort(b.change().id(), -1, "taken back"), false, to);
        }
        Move m = d.driver.wants(b, now(s));
        Change c = b.change();
        if (fault == Fault.COMMITS_WITHOUT_ALL && c != null && c.stage() == Change.Stage.BINDING) {
            m = new Move.Commit(c.id(), c.since(), Set.of("d0@1", "d1@1", "d2@1"), Set.of());
        }
        if (fault == Fault.SETTLES_AT_ONCE && c != null && c.stage() == Change.Stage.SETTLING) {
            m = new Move.Settle(b.plan().number());
        }
        if (fault == Fault.OLD_STAGE_COUNTS && c != null && c.stage() == Change.Stage.BINDING) {
            step(s, i, new Move.Abort(c.id(), -1, "an operator's word"), false, to);
        }
        if (m != null) step(s, i, m, false, to);
        // What it sends to one whose port nobody holds comes back.
        for (int j = 0; j < N; j++) {
            boolean gone = !s.dirs[j].up || fault == Fault.SILENCE_IS_DEATH;
            if (j == i || !gone || b.change() == null) continue;
            Driver after = new Driver(d.driver);
            after.refused(b, "h", j);
            if (same(after, d.driver, now(s))) continue;
            State n = new State(s);
            n.own(i).driver = after;
            to.accept(name(i) + " finds nobody at " + name(j), n);
        }
    }

    private Move proposed(int by, Book b, int number) {
        Plan.Canary canary = scene == Scene.TRIAL && number == 0 ? new Plan.Canary(List.of("d1"), 0)
            : Plan.Canary.NONE;
        Change.Mode mode = scene == Scene.STOP ? Change.Mode.STOP : Change.Mode.HOLD;
        return new Move.Propose("c" + number, number % 2 == 0 ? "A" : "B", 1, name(by), "", mode, 3 * TICK, canary,
            b.plan().leases());
    }

    private void step(State s, int i, Move m, boolean proposes, BiConsumer<String, State> to) {
        Book b;
        try {
            b = m.after(s.latest());
        } catch (Move.Refused e) {
            return;
        }
        State n = new State(s);
        n.decided = new ArrayList<>(s.decided);
        n.decided.add(b);
        if (proposes) n.proposed++;
        double now = now(n);
        if (m instanceof Move.Commit) {
            n.points = new ArrayList<>(s.points);
            n.points.add(new double[] {b.plan().number(), now + LEASE});
        }
        if (m instanceof Move.Settle t) {
            n.points = new ArrayList<>(s.points);
            n.points.add(new double[] {t.plan(), now});
        }
        // Whoever decided it knows of it, or has crashed: both are tried.
        Dir d = n.own(i);
        d.holder = new Holder(d.holder);
        d.driver = new Driver(d.driver);
        d.holder.heard(b);
        d.driver.heard(b, now);
        to.accept(name(i) + " decides " + m.getClass().getSimpleName() + ", revision " + b.revision(), checked(n));
    }

    private void restart(State s, int i, BiConsumer<String, State> to) {
        State n = new State(s);
        Dir d = n.own(i);
        d.up = true;
        d.lease = null;
        d.life++;
        Book kept = d.holder.known();
        d.driver = new Driver();
        if (fault == Fault.SERVES_WHAT_IT_KEPT) {
            d.life--;
            d.holder = holder(i, d.life, kept);
            to.accept(name(i) + " is back", checked(n));
            return;
        }
        // It serves only once it is on the roll in its new life, and has heard so.
        try {
            Book b = new Move.Enrol(Map.of(name(i), new Book.Seat(d.life, "h", i, false))).after(s.latest());
            n.decided = new ArrayList<>(s.decided);
            n.decided.add(b);
            d.holder = holder(i, d.life, kept);
            d.holder.heard(b);
            d.driver.heard(b, now(n));
            to.accept(name(i) + " is back and enrols, revision " + b.revision(), checked(n));
        } catch (Move.Refused e) {
            throw new IllegalStateException(e);
        }
    }

    private static boolean same(Driver a, Driver b, double now) {
        return a.shown(now, SPAN).equals(b.shown(now, SPAN));
    }

    private static double now(State s) {
        return s.now * TICK;
    }

    // ---- what has to hold ----

    private State checked(State n) {
        if (n.broken != null) return n;
        double now = now(n);
        for (int i = 0; i < N; i++) {
            Dir d = n.dirs[i];
            if (!d.up || d.holder.stopped(now) != Holder.Stopped.NO) continue;
            long plan = d.holder.plan();
            boolean committed = n.decided.get(0).plan().number() >= plan;
            for (Book b : n.decided) committed |= b.plan().number() == plan;
            if (!committed) n.broken = "promise 1: " + name(i) + " decides by plan " + plan + ", which is not committed";
            for (double[] p : n.points) {
                if (plan < p[0] && now >= p[1]) {
                    n.broken = "promise 2: " + name(i) + " decides by plan " + plan + " at " + now + ", past the point of "
                        + (long) p[0];
                }
            }
        }
        return n;
    }

    @Override public String broken(State s) {
        return s.broken;
    }

    @Override public long hash(State s) {
        StringBuilder b = new StringBuilder(512);
        for (Dir d : s.dirs) {
            b.append(d.up).append(d.life).append(d.holder.shown(now(s))).append(d.driver.shown(now(s), SPAN))
                .append(d.lease == null).append(d.holder.known()).append('|');
        }
        b.append(s.latest()).append(s.now).append(s.proposed).append(s.crashes).append(s.broken);
        if (s.decided.size() > 1) b.append(s.decided.get(s.decided.size() - 2));
        List<String> words = new ArrayList<>();
        for (int w = 0; w < s.words.size(); w++) words.add(s.of.get(w) + s.words.get(w).toString());
        words.sort(null);
        return Hashing.komihash5_0().hashCharsToLong(b.append(words).toString());
    }
}
