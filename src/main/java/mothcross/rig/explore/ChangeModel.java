package mothcross.rig.explore;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import mothcross.policy.Change;
import mothcross.policy.ChangeCoordinator;
import mothcross.policy.Plan;
import mothcross.policy.PolicyMessage;
import mothcross.policy.PolicyRegister;
import mothcross.policy.PolicyReplica;
import mothcross.policy.Transition;
import mothcross.policy.VoterSet;

/**
 * The life of two changes among three directors, with the very classes that hold, bind and drive, over a register that
 * takes one step at a time (what {@link RegisterModel} shows). Every order of hearing, binding, deciding and of time,
 * words late or never, directors that crash and come back in a new life. Owns the promises on changes, written out
 * plainly: which plan a lookup that starts now would be decided by, at each director, in every state. What is not
 * played, since another order stands for it, is argued in docs/design/policy-change.md ("Explored and drawn"); time has
 * no end here, since all that rests on it are spans.
 */
public final class ChangeModel implements Explorer.Model<ChangeModel.State> {
    /** Faults that the checks have to find; NONE is the program as it is. */
    public enum Fault { NONE, COMMITS_WITHOUT_ALL, SETTLES_AT_ONCE, READY_UNBOUND, LEASE_FROM_ANSWER,
        SERVES_WHAT_IT_KEPT,
        OLD_STAGE_COUNTS, OLD_LIFE_COUNTS, OLDER_PLAN_TAKEN, SILENCE_IS_DEATH, LEASE_AFTER_COMMIT }

    /** HOLD: leases off. STOP: leases on, who is late is left out. TRIAL: first a director alone, then all. */
    public enum Scene { HOLD, STOP, TRIAL }

    // Nothing waits for longer than SPAN: the deadline of a change, a lease and what clocks may differ by.
    private static final double LEASE = 2000, TICK = 1000, SPAN = 3 * TICK;
    private static final int N = 3;

    private static final class Dir {
        boolean up = true;
        long life = 1;
        PolicyReplica holder;
        ChangeCoordinator driver = new ChangeCoordinator();
        PolicyMessage.LeaseReply lease;                 // on its way, and when it was asked for
        double asked = -TICK;

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
        private List<PolicyRegister> decided = new ArrayList<>();
        private List<Long> hashes = new ArrayList<>();      // of each of them
        private List<double[]> points = new ArrayList<>();  // plan, and from when on nobody may decide by an older one
        private List<PolicyMessage.ProgressReport> words = new ArrayList<>();
        private List<Integer> of = new ArrayList<>();
        private int now, proposed, crashes;
        private String broken;

        private State() { }

        private State(State s) {
            for (int i = 0; i < N; i++) dirs[i] = s.dirs[i];
            decided = s.decided;
            hashes = s.hashes;
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

        private PolicyRegister latest() {
            return decided.get(decided.size() - 1);
        }

        private void decides(PolicyRegister b) {
            decided = new ArrayList<>(decided);
            hashes = new ArrayList<>(hashes);
            decided.add(b);
            hashes.add(hashOf(b));
        }
    }

    private final Scene scene;
    private final Fault fault;
    private final int changes, crashes, drivers;
    private final boolean begun, every;

    /**
     * {@code begun}: the first change is proposed, and all have heard of it; else from the very begin. {@code every}:
     * also each step for which another order stands, so that the two can be held against each other where it is small.
     */
    public ChangeModel(Scene scene, Fault fault, int changes, int crashes, int drivers, boolean begun,
                       boolean every) {
        this.begun = begun;
        this.every = every;
        this.scene = scene;
        this.fault = fault;
        this.changes = changes;
        this.crashes = crashes;
        this.drivers = drivers;
    }

    private static String name(int i) {
        return "d" + i;
    }

    private static PolicyReplica holder(int i, long life, PolicyRegister kept) {
        PolicyReplica h = new PolicyReplica(name(i), life, kept);
        for (String t : List.of("A", "B")) h.setTextAvailable(t, true);
        return h;
    }

    @Override public State first() {
        State s = new State();
        PolicyRegister b = PolicyRegister.initial(VoterSet.initial(List.of("d0", "d1", "d2")), LEASE);
        try {
            b = new Transition.Bootstrap(Map.of("d0", "m0", "d1", "m1", "d2", "m2")).applyTo(b);
            Map<String, PolicyRegister.Registration> all = new TreeMap<>();
            for (int i = 0; i < N; i++) all.put(name(i), new PolicyRegister.Registration(1, "h", i, false));
            b = new Transition.RegisterDirectors(all).applyTo(b);
            if (scene == Scene.STOP) {
                Transition.Propose p = new Transition.Propose("L", "", 0, "d0", "", Change.Mode.HOLD, 1e6,
                    Plan.Canary.NONE, true);
                b = p.applyTo(b);
                b = new Transition.Commit("L", b.change().stageRevision(), Set.of("d0@1", "d1@1", "d2@1"),
                    Set.of()).applyTo(b);
                b = new Transition.Settle(1).applyTo(b);
            }
            if (begun) b = proposed(0, b, 0).applyTo(b);
        } catch (Transition.RejectedException e) {
            throw new IllegalStateException(e);
        }
        s.proposed = begun ? 1 : 0;
        s.decides(b);
        for (int i = 0; i < N; i++) {
            Dir d = s.dirs[i] = new Dir();
            d.holder = holder(i, 1, PolicyRegister.initial(VoterSet.initial(List.of("d0", "d1", "d2")), LEASE));
            d.holder.learn(b);
            d.driver.learn(b, 0);
        }
        return s;
    }

    // ---- what can happen ----

    @Override public void next(State s, BiConsumer<String, State> to) {
        State later = new State(s);
        later.now++;
        to.accept("time goes on", checked(later));
        for (int i = 0; i < N; i++) {
            Dir d = s.dirs[i];
            if (!d.up) {
                restart(s, i, to);
                continue;
            }
            hear(s, i, to);
            bind(s, i, to);
            if (leasesLate()) lateLease(s, i, to);
            if (i < drivers) {
                hearWords(s, i, to);
                drive(s, i, to);
            }
            if (s.crashes < crashes) {
                State n = new State(s);
                Dir d2 = n.own(i);
                d2.up = false;
                d2.lease = null;
                n.crashes++;
                to.accept(name(i) + " crashes", checked(n));
            }
        }
    }

    /** The latest decided book; one before it only where that is the planted fault. */
    private void hear(State s, int i, BiConsumer<String, State> to) {
        int most = every || fault == Fault.OLDER_PLAN_TAKEN ? 2 : 1;
        for (int back = 0; back < most && back < s.decided.size(); back++) {
            PolicyRegister b = s.decided.get(s.decided.size() - 1 - back);
            boolean older = b.revision() <= s.dirs[i].holder.register().revision();
            if (older && !(fault == Fault.OLDER_PLAN_TAKEN && b.revision() < s.dirs[i].holder.register().revision())) {
                continue;
            }
            State n = new State(s);
            Dir d = n.own(i);
            d.holder = older ? holder(i, d.life, b) : new PolicyReplica(d.holder);
            if (older) d.holder.setTextAvailable("A", true);
            d.holder.learn(b);
            knows(n, i, b);
            to.accept(name(i) + " hears of revision " + b.revision(), checked(n));
        }
    }

    private void knows(State n, int i, PolicyRegister b) {
        if (i >= drivers) return;
        Dir d = n.dirs[i];
        d.driver = new ChangeCoordinator(d.driver);
        d.driver.learn(b, now(n));
    }

    /** All that was said of this stage, at once or never; one by one where who is late is left out. */
    private void hearWords(State s, int i, BiConsumer<String, State> to) {
        Dir d = s.dirs[i];
        PolicyRegister b = d.holder.register();
        boolean acts = every || b.revision() == s.latest().revision();
        if (b.change() == null || !acts) return;
        ChangeCoordinator all = new ChangeCoordinator(d.driver);
        for (int w = 0; w < s.words.size(); w++) {
            PolicyMessage.ProgressReport st = s.words.get(w);
            long since = b.change().stageRevision();
            if (st.stageRevision() != since && fault != Fault.OLD_STAGE_COUNTS) continue;
            long life = fault == Fault.OLD_LIFE_COUNTS && b.registrations().containsKey(name(s.of.get(w)))
                ? b.registrations().get(name(s.of.get(w))).incarnation() : st.incarnation();
            PolicyMessage.ProgressReport heard = new PolicyMessage.ProgressReport(life, since, st.plan(),
                st.progress(), "");
            boolean alone = oneByOne();
            ChangeCoordinator after = alone ? new ChangeCoordinator(d.driver) : all;
            after.onProgress(b, name(s.of.get(w)), heard);
            if (alone) hears(s, i, after, name(s.of.get(w)) + " is " + st.progress(), to);
        }
        if (!oneByOne()) hears(s, i, all, "all that was said", to);
    }

    private boolean oneByOne() {
        return every || scene == Scene.STOP || fault != Fault.NONE;
    }

    private boolean leasesLate() {
        return every || fault == Fault.LEASE_FROM_ANSWER;
    }

    private void hears(State s, int i, ChangeCoordinator after, String what, BiConsumer<String, State> to) {
        if (same(after, s.dirs[i].driver, now(s))) return;
        State n = new State(s);
        n.own(i).driver = after;
        to.accept(name(i) + " hears that " + what, n);
    }

    /** It says that it is ready, and is bound from then on; it may do so at any time, or never. */
    private void bind(State s, int i, BiConsumer<String, State> to) {
        Dir d = s.dirs[i];
        Change c = d.holder.register().change();
        if (c == null || !d.holder.isRegistered()) return;
        if (every && c.stage() == Change.Stage.SETTLING && d.holder.plan() == d.holder.register().plan().number()) {
            State n = new State(s);
            if (says(n, i, PolicyMessage.Progress.TAKEN)) to.accept(name(i) + " says that it is TAKEN", checked(n));
        }
        if (c.stage() != Change.Stage.BINDING) return;
        PolicyReplica h = new PolicyReplica(d.holder);
        if (fault != Fault.READY_UNBOUND && !h.bind(c.stageRevision(), now(s))) return;
        State n = new State(s);
        n.own(i).holder = h;
        if (says(n, i, PolicyMessage.Progress.READY)) to.accept(name(i) + " says that it is READY", checked(n));
    }

    private static boolean says(State n, int i, PolicyMessage.Progress far) {
        PolicyRegister b = n.dirs[i].holder.register();
        PolicyMessage.ProgressReport st = new PolicyMessage.ProgressReport(n.dirs[i].life, b.change().stageRevision(),
            b.plan().number(), far, "");
        for (int w = 0; w < n.words.size(); w++) if (n.of.get(w) == i && n.words.get(w).equals(st)) return false;
        n.words = new ArrayList<>(n.words);
        n.of = new ArrayList<>(n.of);
        n.words.add(st);
        n.of.add(i);
        return true;
    }

    /**
     * What follows by itself: that a plan is taken up is said, every lease is asked for, and what is over is dropped.
     */
    private void settled(State n) {
        double now = now(n);
        for (int i = 0; i < N; i++) {
            Dir d = n.dirs[i];
            if (!d.up || !d.holder.isRegistered()) continue;
            PolicyRegister b = d.holder.register();
            Change c = b.change();
            if (!every && c != null && c.stage() == Change.Stage.SETTLING && d.holder.plan() == b.plan().number()) {
                says(n, i, PolicyMessage.Progress.TAKEN);
            }
            if (leasesLate() || !d.holder.requiresLease() || d.holder.leaseExpiresAt() >= now + LEASE) continue;
            // A longer lease only lets it decide for longer: the latest there can be stands for all sooner ones.
            PolicyReplica h = new PolicyReplica(d.holder);
            PolicyMessage.LeaseRequest m = h.nextLeaseRequest(now);
            if (m == null || !(yes(n, i, m) || fault == Fault.LEASE_AFTER_COMMIT)) continue;
            for (int v = 0; v < N; v++) h.onLeaseReply(name(v),
                new PolicyMessage.LeaseReply(m.number(), "m" + v, true, 0));
            n.own(i).holder = h;
        }
        PolicyRegister b = n.latest();
        long since = b.change() == null ? -1 : b.change().stageRevision();
        for (int w = n.words.size() - 1; w >= 0; w--) {
            PolicyMessage.ProgressReport st = n.words.get(w);
            boolean over = st.stageRevision() != since && fault != Fault.OLD_STAGE_COUNTS
                || b.registration(name(n.of.get(w)), st.incarnation()) == null && fault != Fault.OLD_LIFE_COUNTS;
            if (!over) continue;
            n.words = new ArrayList<>(n.words);
            n.of = new ArrayList<>(n.of);
            n.words.remove(w);
            n.of.remove(w);
        }
    }

    /** The register says yes where the plan asked for is in force when it is asked. */
    private static boolean yes(State s, int i, PolicyMessage.LeaseRequest m) {
        PolicyRegister b = s.latest();
        return b.plan().number() == m.plan() && b.isRegistered(name(i), m.incarnation());
    }

    /** The answer comes at any later time; planted: the lease counts from then. */
    private void lateLease(State s, int i, BiConsumer<String, State> to) {
        Dir d = s.dirs[i];
        if (d.lease != null) {
            State n = new State(s);
            Dir x = n.own(i);
            x.lease = null;
            x.holder = new PolicyReplica(d.holder);
            if (fault != Fault.LEASE_FROM_ANSWER) {
                for (int v = 0; v < N; v++) x.holder.onLeaseReply(name(v),
                    new PolicyMessage.LeaseReply(d.lease.number(), "m" + v, true, 0));
            } else if (x.holder.requiresLease()) {
                x.holder = late(x.holder, now(s));
            }
            to.accept(name(i) + " gets its lease", checked(n));
        }
        if (d.holder.requiresLease() && d.holder.leaseExpiresAt() - now(s) > LEASE / 2) return;
        PolicyReplica h = new PolicyReplica(d.holder);
        PolicyMessage.LeaseRequest m = h.nextLeaseRequest(now(s));
        if (m == null || !yes(s, i, m)) return;
        State n = new State(s);
        Dir x = n.own(i);
        x.holder = h;
        x.asked = now(s);
        x.lease = new PolicyMessage.LeaseReply(m.number(), "", true, 0);
        to.accept(name(i) + " asks for a lease", n);
    }

    private static PolicyReplica late(PolicyReplica h, double now) {
        PolicyReplica x = new PolicyReplica(h);
        PolicyMessage.LeaseRequest m = x.nextLeaseRequest(now);
        if (m == null) return h;
        for (int v = 0; v < N; v++) x.onLeaseReply(name(v), new PolicyMessage.LeaseReply(m.number(), "m" + v, true, 0));
        return x;
    }

    private void drive(State s, int i, BiConsumer<String, State> to) {
        Dir d = s.dirs[i];
        PolicyRegister b = d.holder.register();
        if (b.revision() != s.latest().revision()) return;      // the register would not take its step
        if (b.change() == null && s.proposed < changes && d.holder.isRegistered()) {
            step(s, i, proposed(i, b, s.proposed), true, to);
        }
        if (b.change() != null && b.change().stage() == Change.Stage.TRIAL) {
            step(s, i, new Transition.Promote(b.change().id()), false, to);
            step(s, i, new Transition.Abort(b.change().id(), -1, "taken back"), false, to);
        }
        Transition m = d.driver.nextTransition(b, now(s));
        Change c = b.change();
        if (fault == Fault.COMMITS_WITHOUT_ALL && c != null && c.stage() == Change.Stage.BINDING) {
            m = new Transition.Commit(c.id(), c.stageRevision(), Set.of("d0@1", "d1@1", "d2@1"), Set.of());
        }
        if (fault == Fault.SETTLES_AT_ONCE && c != null && c.stage() == Change.Stage.SETTLING) {
            m = new Transition.Settle(b.plan().number());
        }
        if (fault == Fault.OLD_STAGE_COUNTS && c != null && c.stage() == Change.Stage.BINDING) {
            step(s, i, new Transition.Abort(c.id(), -1, "an operator's word"), false, to);
        }
        if (m != null) step(s, i, m, false, to);
        // What it sends to one whose port nobody holds comes back, and it goes by that.
        for (int j = 0; j < N; j++) {
            boolean gone = !s.dirs[j].up || fault == Fault.SILENCE_IS_DEATH;
            if (j == i || !gone || c == null) continue;
            ChangeCoordinator after = new ChangeCoordinator(d.driver);
            after.onConnectionRefused(b, "h", j);
            if (every && !same(after, d.driver, now(s))) hears(s, i, after, "nobody is at " + name(j), to);
            if (after.nextTransition(b, now(s)) instanceof Transition.RemoveDirector strike) {
                step(s, i, strike, false, to);
            }
        }
    }

    private Transition proposed(int by, PolicyRegister b, int number) {
        Plan.Canary canary = scene == Scene.TRIAL && number == 0 ? new Plan.Canary(List.of("d1"), 0)
            : Plan.Canary.NONE;
        Change.Mode mode = scene == Scene.STOP ? Change.Mode.STOP : Change.Mode.HOLD;
        return new Transition.Propose("c" + number, number % 2 == 0 ? "A" : "B", 1, name(by), "", mode, 3 * TICK,
            canary, b.plan().leases());
    }

    private void step(State s, int i, Transition m, boolean proposes, BiConsumer<String, State> to) {
        PolicyRegister b;
        try {
            b = m.applyTo(s.latest());
        } catch (Transition.RejectedException e) {
            return;
        }
        State n = new State(s);
        n.decides(b);
        if (proposes) n.proposed++;
        double now = now(n);
        if (m instanceof Transition.Commit) {
            n.points = new ArrayList<>(s.points);
            n.points.add(new double[] {b.plan().number(), now + LEASE});
        }
        if (m instanceof Transition.Settle t) {
            n.points = new ArrayList<>(s.points);
            n.points.add(new double[] {t.plan(), now});
        }
        // Whoever decided it knows of it, or crashes next.
        Dir d = n.own(i);
        d.holder = new PolicyReplica(d.holder);
        d.holder.learn(b);
        knows(n, i, b);
        to.accept(name(i) + " decides " + m.getClass().getSimpleName() + ", revision " + b.revision(), checked(n));
    }

    private void restart(State s, int i, BiConsumer<String, State> to) {
        State n = new State(s);
        Dir d = n.own(i);
        d.up = true;
        d.lease = null;
        d.life++;
        PolicyRegister kept = d.holder.register();
        d.driver = new ChangeCoordinator();
        if (fault == Fault.SERVES_WHAT_IT_KEPT) {
            d.life--;
            d.holder = holder(i, d.life, kept);
            to.accept(name(i) + " is back", checked(n));
            return;
        }
        // It serves only once it is on the roll in its new life, and has heard so.
        try {
            PolicyRegister b = new Transition.RegisterDirectors(Map.of(name(i),
                new PolicyRegister.Registration(d.life, "h", i, false))).applyTo(s.latest());
            n.decides(b);
            d.holder = holder(i, d.life, kept);
            d.holder.learn(b);
            knows(n, i, b);
            to.accept(name(i) + " is back and enrols, revision " + b.revision(), checked(n));
        } catch (Transition.RejectedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static boolean same(ChangeCoordinator a, ChangeCoordinator b, double now) {
        return a.fingerprint(now, SPAN).equals(b.fingerprint(now, SPAN));
    }

    private static double now(State s) {
        return s.now * TICK;
    }

    // ---- what has to hold ----

    private State checked(State n) {
        settled(n);
        if (n.broken != null) return n;
        double now = now(n);
        for (int i = 0; i < N; i++) {
            Dir d = n.dirs[i];
            if (!d.up || d.holder.stopReason(now) != PolicyReplica.StopReason.NO) continue;
            long plan = d.holder.plan();
            boolean committed = n.decided.get(0).plan().number() >= plan;
            for (PolicyRegister b : n.decided) committed |= b.plan().number() == plan;
            if (!committed) n.broken = "promise 1: " + name(i) + " decides by plan " + plan
                + ", which is not committed";
            for (double[] p : n.points) {
                if (plan < p[0] && now >= p[1]) {
                    n.broken = "promise 2: " + name(i) + " decides by plan " + plan + " at " + now
                        + ", past the point of "
                        + (long) p[0];
                }
            }
        }
        return n;
    }

    @Override public String broken(State s) {
        return s.broken;
    }

    /** Who decides by which plan, beside what is decided: what the promises speak of; -1 by none. */
    public String seen(State s) {
        PolicyRegister l = s.latest();
        StringBuilder b = new StringBuilder().append(l.plan().number()).append(l.plan().main()).append('/')
            .append(l.plan().trial()).append(l.change() == null ? "" : l.change().stage());
        for (Dir d : s.dirs) {
            b.append(' ').append(d.up && d.holder.stopReason(now(s)) == PolicyReplica.StopReason.NO ? d.holder.plan()
                : -1);
        }
        return b.toString();
    }

    /** All of it that what comes next depends on, but for its revisions: how earlier changes ended is for operators. */
    private static long hashOf(PolicyRegister b) {
        HashStream64 h = Hashing.komihash5_0().hashStream();
        put(h, b.plan());
        b.registrations().forEach((n, x) -> h.putString(n).putLong(x.incarnation()).putBoolean(x.excluded()));
        Change c = b.change();
        if (c != null) put(h.putString(c.id()).putInt(c.stage().ordinal()).putInt(c.mode().ordinal()), c.target());
        return h.getAsLong();
    }

    private static void put(HashStream64 h, Plan p) {
        h.putLong(p.number()).putString(p.main()).putString(p.trial()).putBoolean(p.leases());
    }

    /** Revisions count only as equal to the latest one's, or not: how far back an older one is makes no difference. */
    private long back(State s, long revision) {
        long by = s.latest().revision() - revision;
        return every ? Math.min(2, by) : fault == Fault.NONE ? Math.min(1, by) : by;
    }

    /** What it shows, without the stage: that is the book's that it knows. */
    private static long hashOf(ChangeCoordinator d, double now) {
        String all = d.fingerprint(now, SPAN);
        return Hashing.komihash5_0().hashCharsToLong(all.substring(all.indexOf(' ')));
    }

    private static long since(PolicyRegister b) {
        return b.change() == null ? -1 : b.change().stageRevision();
    }

    @Override public long hash(State s) {
        HashStream64 h = Hashing.komihash5_0().hashStream();
        double now = now(s);
        long first = s.decided.get(0).revision();
        for (int i = 0; i < N; i++) {
            Dir d = s.dirs[i];
            h.putBoolean(d.up).putLong(d.life);
            // Of one that is down only what it does next counts: it enrols, and hears what is decided then.
            if (!d.up && fault != Fault.SERVES_WHAT_IT_KEPT) continue;
            PolicyReplica x = d.holder;
            h.putLong(s.hashes.get((int) (x.register().revision() - first))).putLong(back(s, x.register().revision()));
            h.putBoolean(since(x.register()) == since(s.latest())).putBoolean(x.boundStage() == since(x.register()));
            h.putLong(x.plan()).putDouble(x.requiresLease() ? Math.max(0, x.leaseExpiresAt() - now)
                : -1).putBoolean(d.lease == null);
            if (leasesLate()) h.putDouble(Math.min(d.lease == null ? TICK : LEASE, now - d.asked));
            if (i < drivers && x.register().change() != null) h.putLong(hashOf(d.driver, now));
        }
        h.putLong(s.hashes.get(s.hashes.size() - 1)).putInt(s.proposed).putInt(s.crashes).putBoolean(s.broken == null);
        if (every && s.hashes.size() > 1) h.putLong(s.hashes.get(s.hashes.size() - 2));
        double floor = -1;
        for (double[] p : s.points) if (p[1] <= now) floor = Math.max(floor, p[0]);
        h.putDouble(floor);
        for (double[] p : s.points) if (p[0] > floor) h.putDouble(p[0]).putDouble(p[1] - now);
        long words = 0;
        for (int w = 0; w < s.words.size(); w++) {
            PolicyMessage.ProgressReport st = s.words.get(w);
            words += Hashing.komihash5_0().hashStream().putInt(s.of.get(w)).putLong(st.incarnation())
                .putLong(since(s.latest()) - st.stageRevision()).putInt(st.progress().ordinal()).getAsLong();
        }
        return h.putLong(words).getAsLong();
    }
}
