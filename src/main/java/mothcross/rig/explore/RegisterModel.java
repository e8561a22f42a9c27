package mothcross.rig.explore;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import mothcross.policy.Change;
import mothcross.policy.Plan;
import mothcross.policy.PolicyMessage;
import mothcross.policy.PolicyRegister;
import mothcross.policy.ProposalNumber;
import mothcross.policy.Proposer;
import mothcross.policy.Transition;
import mothcross.policy.Voter;
import mothcross.policy.VoterSet;

/**
 * The register among a few voters and two writers, with the very classes that serve: every order of deliveries, each
 * message lost, late or delivered any number of times, writers that crash at every step, voters that crash before and
 * after each sync, and a disk that is lost. What a writer says stays deliverable for ever, so that loss, doubling and
 * lateness need no steps of their own; answers are heard at once or never, which stands for late ones too. Owns the
 * promises on the register, written out plainly; shares only data with what it checks.
 */
public final class RegisterModel implements Explorer.Model<RegisterModel.State> {
    /** Faults that the checks have to find; NONE is the program as it is. */
    public enum Fault { NONE, ANSWERS_BEFORE_SYNC, FORGETS_PROMISES, FORGETS_UNAWARE, MOST_OF_REACHABLE, SAME_TURN,
        FINISHES_NOTHING, NEW_VOTERS_ALONE, MARKS_IGNORED, LEASE_BY_ONE }

    /**
     * What is played: two steps by two writers; the voters changed meanwhile; from nothing; a lease beside a commit.
     */
    public enum Scene { TWO_STEPS, VOTERS, FOUNDING, LEASE }

    /** Of a writer to a voter; answers are heard at once or never. {@code bare}: without the voter's name. */
    private record Letter(String to, String from, PolicyMessage what, long hash, long bare) {
        ProposalNumber turn() {
            return what instanceof PolicyMessage.Prepare p ? p.number() : ((PolicyMessage.Accept) what).number();
        }
    }

    /** One state; {@code decided} is what some writer has seen decided, by revision. */
    public static final class State {
        private final Voter.State[] voters;
        private final Proposer[] writers;
        private final PolicyRegister[] known;
        private final int[] attempts, crashes;
        private final List<Letter> said;
        private final Map<Long, PolicyRegister> decided;
        private int disks;
        // Of the lease: whether it was asked after the commit was seen decided, and who has said yes.
        private boolean asked, askedAfter;
        private int yes;
        private String broken;

        private State(int voters, int writers) {
            this.voters = new Voter.State[voters];
            this.writers = new Proposer[writers];
            known = new PolicyRegister[writers];
            attempts = new int[writers];
            crashes = new int[1];
            said = new ArrayList<>();
            decided = new TreeMap<>();
        }

        private State(State s) {
            voters = s.voters.clone();
            writers = s.writers.clone();
            known = s.known.clone();
            attempts = s.attempts.clone();
            crashes = s.crashes.clone();
            said = new ArrayList<>(s.said);
            decided = new TreeMap<>(s.decided);
            disks = s.disks;
            asked = s.asked;
            askedAfter = s.askedAfter;
            yes = s.yes;
            broken = s.broken;
        }
    }

    private static final String DIRECTOR = "d";
    private final Scene scene;
    private final Fault fault;
    private final int[] attempts;
    private final int crashes, mostDisks;
    private final Set<String> founders = Set.of("v0", "v1", "v2");

    /** {@code attempts} of each writer; {@code disks} that may be lost, 0 or 1. */
    public RegisterModel(Scene scene, Fault fault, int[] attempts, int crashes, int disks) {
        this.scene = scene;
        this.fault = fault;
        this.attempts = attempts;
        this.mostDisks = disks;
        this.crashes = crashes;
    }

    private static long hashOf(Object o) {
        return Hashing.komihash5_0().hashCharsToLong(o.toString());
    }

    @Override public State first() {
        State s = new State(scene == Scene.VOTERS ? 5 : 3, 2);
        PolicyRegister b = PolicyRegister.initial(VoterSet.initial(founders), 1000);
        Map<String, String> marks = new TreeMap<>();
        for (String v : founders) marks.put(v, "m" + v);
        try {
            if (scene != Scene.FOUNDING) b = new Transition.Bootstrap(marks).applyTo(b);
            if (scene == Scene.LEASE) {
                b = new Transition.RegisterDirectors(Map.of(DIRECTOR,
                    new PolicyRegister.Registration(1, "h", 1, false))).applyTo(b);
                b = new Transition.Propose("c", "x", 1, "w0", "", Change.Mode.HOLD, 1e6,
                    Plan.Canary.NONE, false).applyTo(b);
            }
        } catch (Transition.RejectedException e) {
            throw new IllegalStateException(e);
        }
        ProposalNumber t = new ProposalNumber(1, "w", 0);
        for (int i = 0; i < s.voters.length; i++) {
            String mark = "mv" + i;
            boolean has = scene != Scene.FOUNDING && i < 3;
            s.voters[i] = has ? new Voter.State(mark, t, t, b) : Voter.State.blank(mark);
        }
        if (scene != Scene.FOUNDING) s.decided.put(b.revision(), b);
        for (int i = 0; i < 2; i++) {
            s.known[i] = b;
            s.writers[i] = new Proposer(writer(i), life(0), founders);
        }
        return s;
    }

    private String writer(int i) {
        return fault == Fault.SAME_TURN ? "w" : "w" + i;
    }

    private long life(int crashed) {
        return fault == Fault.SAME_TURN ? 1 : 1 + crashed;
    }

    /** What a writer puts there: each its own, so that what is lost or put there twice shows. */
    private Transition move(State s, int i) {
        if (scene == Scene.LEASE) {
            return new Transition.Commit("c", 3, Set.of(DIRECTOR + "@1"), Set.of());
        }
        if (scene == Scene.VOTERS && s.known[i].voters().number() == 1 && i == 0) {
            // A jump to a set that shares one voter with the old one.
            return new Transition.ChangeVoters(1, Map.of("v2", "mv2", "v3", "mv3", "v4", "mv4"));
        }
        String name = "e" + i + s.attempts[i];
        return new Transition.RegisterDirectors(Map.of(name, new PolicyRegister.Registration(1, "h", i * 10
            + s.attempts[i], false)));
    }

    // ---- what can happen ----

    @Override public void next(State s, BiConsumer<String, State> to) {
        for (int i = 0; i < s.writers.length; i++) {
            Proposer.State w = s.writers[i].state();
            boolean over = w == Proposer.State.IDLE || w == Proposer.State.DONE || w == Proposer.State.LOST;
            if (s.attempts[i] == attempts[i]) continue;
            to.accept("w" + i + " begins" + (over ? "" : " again"), begun(s, i, false));
            if (!over && s.crashes[0] < crashes) to.accept("w" + i + " crashes and begins anew", begun(s, i, true));
        }
        for (Letter l : s.said) deliver(s, l, to);
        if (scene == Scene.LEASE && !s.asked) {
            State n = new State(s);
            n.asked = true;
            n.askedAfter = s.decided.values().stream().anyMatch(b -> b.plan().number() == 1);
            to.accept("d asks for a lease", n);
        }
        if (scene == Scene.LEASE && s.asked) for (int i = 0; i < 3; i++) lease(s, i, to);
        for (int i = 0; i < s.voters.length; i++) {
            if (s.disks >= mostDisks) break;
            State n = new State(s);
            n.disks++;
            if (fault == Fault.FORGETS_PROMISES) {
                n.voters[i] = new Voter.State(s.voters[i].storeId(), ProposalNumber.NONE, s.voters[i].acceptedNumber(),
                    s.voters[i].accepted());
                to.accept("v" + i + " restarts and forgets its promise", n);
            } else if (fault == Fault.FORGETS_UNAWARE) {
                n.voters[i] = Voter.State.blank(s.voters[i].storeId());
                to.accept("v" + i + " loses its disk unaware", n);
            } else if (fault == Fault.NONE || fault == Fault.MARKS_IGNORED) {
                n.voters[i] = Voter.State.blank("new" + i);
                to.accept("v" + i + " loses its disk", n);
            }
        }
    }

    private State begun(State s, int i, boolean crashed) {
        State n = new State(s);
        if (crashed) n.crashes[0]++;
        Proposer w = crashed ? new Proposer(writer(i), life(n.crashes[0]), founders) : new Proposer(s.writers[i]);
        w.start(s.known[i], move(s, i));
        n.attempts[i]++;
        n.writers[i] = w;
        says(n, i);
        prune(n);
        return n;
    }

    private void says(State n, int i) {
        n.writers[i].pendingRequests().forEach((v, what) -> add(n, v, "w" + i, what));
    }

    private static void add(State n, String to, String from, PolicyMessage what) {
        long h = hashOf(to + from + what);
        for (Letter l : n.said) if (l.hash == h) return;
        // Without the voter's name, since voters are alike.
        n.said.add(new Letter(to, from, what, h, hashOf("/" + from + what)));
    }

    /** What can have no effect any more is as if it had never been said. */
    private void prune(State n) {
        // Where a voter may go back behind what it has handled, or two attempts have one turn, nothing is over.
        boolean over = n.disks >= mostDisks && fault != Fault.SAME_TURN && fault != Fault.ANSWERS_BEFORE_SYNC;
        if (!over) return;
        n.said.removeIf(l -> {
            Voter.State v = n.voters[l.to.charAt(1) - '0'];
            ProposalNumber t = l.turn();
            return l.what instanceof PolicyMessage.Prepare ? t.compareTo(v.promised()) <= 0
                : t.compareTo(v.promised()) < 0 || t.equals(v.acceptedNumber());
        });
    }

    /**
     * A voter handles a message, and its answer is heard at once or never. Heard later is as good as at once: answers
     * only add up until there are enough, what follows from that is again said, and can be delivered at any later time.
     */
    private void deliver(State s, Letter l, BiConsumer<String, State> to) {
        int i = l.to.charAt(1) - '0', w = l.from.charAt(1) - '0';
        if (i >= s.voters.length) return;
        Voter v = new Voter(l.to, founders, s.voters[i]);
        Voter.Step step = l.what instanceof PolicyMessage.Prepare p ? v.on(p) : v.on((PolicyMessage.Accept) l.what);
        // That it is late is told by its silence as well: a writer may begin again at any time.
        if (step.persist() == null) return;
        PolicyMessage.Receipt r = v.synced(step.persist());
        PolicyMessage answer = l.what instanceof PolicyMessage.Prepare ? PolicyMessage.Promised.of(r)
            : PolicyMessage.Accepted.of(r);
        String what = l.to + " hears of " + l.from + " " + kind(l.what);
        State lost = new State(s);
        lost.voters[i] = step.persist();
        prune(lost);
        to.accept(what + ", its answer is lost", lost);
        State n = new State(s);
        n.voters[i] = step.persist();
        boolean heard = hear(n, w, l.to, answer);
        // Planted: those that are not reachable, or not of the new set, are taken to agree.
        boolean forged = answer instanceof PolicyMessage.Accepted && (fault == Fault.MOST_OF_REACHABLE
            || fault == Fault.NEW_VOTERS_ALONE && i >= 3);
        if (forged) for (String o : founders) heard |= hear(n, w, o, new PolicyMessage.Accepted(l.turn(), "m" + o));
        if (!heard) return;
        if (fault == Fault.ANSWERS_BEFORE_SYNC && s.disks < mostDisks) {
            State torn = new State(n);
            torn.voters[i] = s.voters[i];
            torn.disks = 1;
            to.accept(what + ", is heard and crashes before its sync", torn);
        }
        prune(n);
        to.accept(what + " and is heard", n);
    }

    /** False where that changes nothing. */
    private boolean hear(State n, int i, String from, PolicyMessage said) {
        Proposer before = n.writers[i];
        PolicyMessage heard = said;
        if (fault == Fault.MARKS_IGNORED) {
            String right = "m" + from;
            if (heard instanceof PolicyMessage.Promised p) {
                heard = new PolicyMessage.Promised(p.number(), right, p.acceptedNumber(), p.accepted());
            }
            if (heard instanceof PolicyMessage.Accepted a) heard = new PolicyMessage.Accepted(a.number(), right);
        }
        if (fault == Fault.FINISHES_NOTHING && heard instanceof PolicyMessage.Promised p && p.accepted() != null
            && p.accepted().revision() > n.known[i].revision()) {
            heard = new PolicyMessage.Promised(p.number(), p.storeId(), new ProposalNumber(1, "w", 0), n.known[i]);
        }
        Proposer w = new Proposer(before);
        if (heard instanceof PolicyMessage.Promised p) w.on(from, p);
        else if (heard instanceof PolicyMessage.Accepted a) w.on(from, a);
        if (w.fingerprint().equals(before.fingerprint())
            && w.voterFingerprint(from).equals(before.voterFingerprint(from))) return false;
        n.writers[i] = w;
        says(n, i);
        if (w.decided() != null && before.state() != Proposer.State.DONE) decided(n, i, w.decided());
        return true;
    }

    private static String kind(PolicyMessage s) {
        String t = s.toString();
        return t.length() > 60 ? t.substring(0, 60) : t;
    }

    private void lease(State s, int i, BiConsumer<String, State> to) {
        if ((s.yes & 1 << i) != 0) return;
        Voter v = new Voter("v" + i, founders, s.voters[i]);
        PolicyMessage.LeaseReply y = v.on(new PolicyMessage.LeaseRequest(1, 0, 1, 1), DIRECTOR, null);
        if (!y.granted() || !y.storeId().equals("mv" + i) && fault != Fault.MARKS_IGNORED) return;
        State n = new State(s);
        n.yes |= 1 << i;
        int enough = fault == Fault.LEASE_BY_ONE ? 1 : 2;
        if (Integer.bitCount(n.yes) >= enough && n.askedAfter) {
            n.broken = "promise 2: a lease for plan 0 was given to one who asked after plan 1 was decided";
        }
        to.accept("v" + i + " says yes to d", n);
    }

    // ---- what has to hold ----

    /** Promise 1: one book for each revision, for ever, and each made from the one before. */
    private void decided(State n, int i, PolicyRegister b) {
        PolicyRegister same = n.decided.putIfAbsent(b.revision(), b);
        if (same != null && !same.equals(b)) {
            n.broken = "promise 1: revision " + b.revision() + " was decided twice: " + same + " and " + b;
        }
        PolicyRegister before = n.decided.get(b.revision() - 1), after = n.decided.get(b.revision() + 1);
        if (before != null && !follows(before, b) || after != null && !follows(b, after)) {
            n.broken = "promise 1: revision " + b.revision() + " does not follow from the one before";
        }
        if (b.revision() > n.known[i].revision()) n.known[i] = b;
    }

    private static boolean follows(PolicyRegister a, PolicyRegister b) {
        return b.registrations().keySet().containsAll(a.registrations().keySet())
            && b.voters().number() >= a.voters().number()
            && b.plan().number() >= a.plan().number();
    }

    @Override public String broken(State s) {
        return s.broken;
    }

    /** Voters of one set are alike: states that differ only in which of them is which are one. */
    @Override public long hash(State s) {
        long[] each = new long[s.voters.length];
        for (int i = 0; i < each.length; i++) {
            String name = "v" + i;
            StringBuilder b = new StringBuilder(128).append(s.voters[i].promised()).append(s.voters[i].acceptedNumber())
                .append(s.voters[i].accepted()).append(s.voters[i].storeId().startsWith("m")).append(s.yes >> i & 1);
            for (Proposer w : s.writers) b.append(w.voterFingerprint(name).replace("mv" + i, "m")).append('|');
            if (scene == Scene.VOTERS) b.append(i < 2 ? 0 : i == 2 ? 1 : 2);
            long letters = 0;
            for (Letter l : s.said) if (l.to.equals(name)) letters += l.bare * 0x9e3779b97f4a7c15L;
            each[i] = hashOf(b) ^ letters;
        }
        Arrays.sort(each);
        StringBuilder b = new StringBuilder(256);
        for (Proposer w : s.writers) b.append(w.fingerprint()).append('|');
        for (PolicyRegister k : s.known) b.append(k);
        return hashOf(b.append(Arrays.toString(each)).append(Arrays.toString(s.attempts)).append(s.crashes[0])
            .append(s.disks).append(s.asked).append(s.askedAfter).append(s.decided).append(s.broken));
    }
}
