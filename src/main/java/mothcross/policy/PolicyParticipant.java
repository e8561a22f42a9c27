package mothcross.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;
import mothcross.policy.Change.Stage;

/**
 * One director's whole part in changes of the policy: what it holds, the voter where it is one, the writer that it
 * tries steps with, and the driver. Time, chance, messages and the ends of writes are passed in; what is to be sent and
 * written comes back. Owns who is told what and when; must never send what rests on a write before that has ended.
 * docs/design/policy-change.md has the promises by number.
 */
public final class PolicyParticipant {
    public record Send(String to, PolicyMessage message) { }

    /** What the edge has to do before it sends what comes with it, in this order. */
    public sealed interface Action { }

    /** To be kept and synced; then {@link #voterStateSynced}. */
    public record PersistVoterState(Voter.State state) implements Action { }

    public record PersistRegister(PolicyRegister register) implements Action { }

    /** To be compared with its digest, compiled, kept and synced; then {@link #textValidated}. */
    public record ValidateText(String digest, byte[] bytes) implements Action { }

    public record DeleteText(String digest) implements Action { }

    /** From now on it decides by this plan; lookups under way keep what they began with. */
    public record ActivatePlan(Plan plan) implements Action { }

    /** What is to be told to operators' logs. */
    public record LogEvent(String event, Map<String, Object> fields) implements Action { }

    /** What a Party counts; each number only grows. */
    public enum Counter { WRITES_BEGUN, WRITES_DONE, WRITES_LOST, SYNCS, DECIDED_HEARD, LEASES, LEASE_REFUSALS, POLLS,
        TAKEOVERS, DOUBTS_ENDED }

    private static final double AGAIN = 200, LEARN = 300, ENROL = 500, POLL = 250, IDLE_LEARN = 3000, TAKEOVER = 1500,
        RANK = 700, LOST_MIN = 50, LOST_RANDOM = 250, SAYS_AGAIN = 1000, FETCH_AGAIN = 400;
    private static final int MOST_RANKS = 20, MOST_TRIED = 64;

    public final String name;
    private final String host;
    private final int port;
    private final Set<String> founders;
    private final Supplier<Collection<String>> contacts;
    private final SplittableRandom chance;
    private final Voter voter;
    private final PolicyReplica replica;
    private final Proposer writer;
    private final ChangeCoordinator coordinator = new ChangeCoordinator();
    private final PolicyTexts texts = new PolicyTexts();
    private final List<Send> out = new ArrayList<>();
    private final List<Action> works = new ArrayList<>();
    // The last whole book heard of: it may be older than the holder's, and then no step is tried from it.
    private PolicyRegister whole;
    private boolean leaving, left;
    private double nextAt = Double.NEGATIVE_INFINITY;
    private double writerSaid, writerAgainAt = Double.NEGATIVE_INFINITY;
    private double learnAt = Double.NEGATIVE_INFINITY, enrolAt = Double.NEGATIVE_INFINITY;
    private double pollAt = Double.NEGATIVE_INFINITY, fetchAt = Double.NEGATIVE_INFINITY;
    private double saidAt = Double.NEGATIVE_INFINITY, leaveAt = Double.NEGATIVE_INFINITY;
    private double otherDrove = Double.NEGATIVE_INFINITY;
    private boolean drives;
    private double doubtsSince = Double.NaN;                // something later may be decided than is known here
    // What was accepted in it was found not to be decided.
    private ProposalNumber undecided = ProposalNumber.NONE;
    private PolicyMessage.VotersRedirect pointed;
    private String fetchedFirst = "";
    private PolicyMessage.ProgressReport saidLast;
    private long taken = -1;
    private final Map<String, PolicyRegister.Registration> enrols = new LinkedHashMap<>();
    private final Map<String, Long> leaves = new LinkedHashMap<>();
    // What operators asked for, in order, and how it went; by a key of theirs.
    private final Map<String, Transition> asked = new LinkedHashMap<>();
    private final Map<String, String> outcomes = new LinkedHashMap<>();
    private final Map<String, String> observedStoreIds = new TreeMap<>();
    public final long[] counts = new long[Counter.values().length];

    /**
     * {@code kept} is what was on disk: of the voter, null where this is none or its disk is new; the last book, null
     * where there is none; texts by digest. {@code mark} is drawn anew for a new disk. {@code founders} are named by
     * the operators' file; {@code contacts} are all that are known to be there, whether they vote or not.
     */
    public PolicyParticipant(String name, long life, String host, int port, Set<String> founders,
                             Supplier<Collection<String>> contacts, double leaseMs, Voter.State kept, String mark,
                             PolicyRegister book, Map<String, byte[]> held, SplittableRandom chance) {
        this.name = name;
        this.host = host;
        this.port = port;
        this.founders = new TreeSet<>(founders);
        this.contacts = contacts;
        this.chance = chance;
        voter = new Voter(name, this.founders, kept != null ? kept : Voter.State.blank(mark));
        replica = new PolicyReplica(name, life, book != null ? book
            : PolicyRegister.initial(VoterSet.initial(founders), leaseMs));
        writer = new Proposer(name, life, this.founders);
        whole = replica.register().complete() ? replica.register() : null;
        held.forEach((d, b) -> {
            texts.add(d, b);
            replica.setTextAvailable(d, true);
        });
        coordinator.learn(replica.register(), Double.NEGATIVE_INFINITY);
    }

    public PolicyReplica replica() {
        return replica;
    }

    public Voter voter() {
        return voter;
    }

    public ChangeCoordinator coordinator() {
        return coordinator;
    }

    public PolicyTexts texts() {
        return texts;
    }

    public PolicyRegister register() {
        return replica.register();
    }

    /** By name the mark that each voter last answered under. */
    public Map<String, String> observedStoreIds() {
        return observedStoreIds;
    }

    public double nextTickAt() {
        return nextAt;
    }

    private boolean isVoter() {
        return register().voters().names().contains(name) || register().revision() == 0 && founders.contains(name);
    }

    private void count(Counter c) {
        counts[c.ordinal()]++;
    }

    private void tell(String what, Object... with) {
        Map<String, Object> m = new LinkedHashMap<>();
        for (int i = 0; i < with.length; i += 2) m.put((String) with[i], with[i + 1]);
        works.add(new LogEvent(what, m));
    }

    private void say(String to, PolicyMessage what) {
        out.add(new Send(to, what));
    }

    public List<Send> takeSends() {
        List<Send> all = List.copyOf(out);
        out.clear();
        return all;
    }

    /**
     * To be done before the sends are taken; {@link #voterStateSynced} and {@link #textValidated} may bring more of
     * both.
     */
    public List<Action> takeActions() {
        List<Action> all = List.copyOf(works);
        works.clear();
        return all;
    }

    // ---- time ----

    public void tick(double now) {
        if (left) return;
        nextAt = now + 100;
        PolicyRegister b = register();
        // Whoever is not seated asks what is decided, then for its seat; whoever is asks now and then.
        if (now >= learnAt) {
            boolean urgent = !replica.isRegistered() || replica.stopReason(now) != PolicyReplica.StopReason.NO;
            boolean needsWhole = drives && !isWholeNow();
            learnAt = now + (urgent || needsWhole ? LEARN : IDLE_LEARN * (0.8 + 0.4 * chance.nextDouble()));
            // The voters that it knows may all be gone: now and then anybody is asked who is one now.
            String v = urgent && chance.nextInt(4) == 0 ? anybody() : someVoter();
            if (v != null) say(v, new PolicyMessage.Learn(b.revision(), needsWhole || isVoter()));
        }
        if (!replica.isRegistered() && !leaving && now >= enrolAt) {
            enrolAt = now + ENROL * (0.7 + 0.6 * chance.nextDouble());
            PolicyRegister.Registration former = b.registrations().get(name);
            boolean here = former != null && former.host().equals(host) && former.port() == port;
            if (here && former.incarnation() > replica.incarnation()) replica.restartAbove(former.incarnation());
            PolicyMessage.JoinRequest e = new PolicyMessage.JoinRequest(replica.incarnation(), host, port);
            String v = someVoter();
            if (v == null) onMessage(now, name, e);
            else say(v, e);
        }
        if (leaving && now >= leaveAt) {
            leaveAt = now + AGAIN;
            String v = someVoter();
            if (v != null) say(v, new PolicyMessage.LeaveRequest(replica.incarnation()));
        }
        PolicyMessage.LeaseRequest m = replica.nextLeaseRequest(now);
        if (m != null) {
            count(Counter.LEASES);
            for (String v : b.voters().names()) tell(v, m, now);
        }
        fetch(now);
        stand(now, false);
        drive(now);
        write(now);
    }

    /** A message to a voter, which may be this one. */
    private void tell(String v, PolicyMessage what, double now) {
        if (v.equals(name)) onMessage(now, name, what);
        else say(v, what);
    }

    private String anybody() {
        List<String> all = new ArrayList<>(contacts.get());
        all.remove(name);
        return all.isEmpty() ? someVoter() : all.get(chance.nextInt(all.size()));
    }

    /** Those that it knows as voters, and those that others know as later ones. */
    private String someVoter() {
        Set<String> names = new TreeSet<>(register().voters().names());
        if (pointed != null && pointed.voterSetNumber() > register().voters().number()) names.addAll(pointed.names());
        List<String> all = new ArrayList<>(names);
        all.remove(name);
        return all.isEmpty() ? null : all.get(chance.nextInt(all.size()));
    }

    private boolean isWholeNow() {
        return whole != null && whole.revision() == register().revision();
    }

    // ---- texts ----

    private Set<String> wanted() {
        Set<String> all = new HashSet<>();
        PolicyRegister b = register();
        all.add(b.plan().main());
        all.add(b.plan().trial());
        if (b.change() != null) {
            all.add(b.change().target().main());
            all.add(b.change().target().trial());
        }
        for (Transition m : asked.values()) if (m instanceof Transition.Propose p) all.add(p.digest());
        all.remove("");
        return all;
    }

    private void fetch(double now) {
        if (now < fetchAt) return;
        fetchAt = now + FETCH_AGAIN;
        for (String d : wanted()) {
            texts.request(d);
            if (!texts.isRequested(d)) continue;
            String from = source(d);
            if (from != null) say(from, new PolicyMessage.TextRequest(d, texts.receivedBytes(d)));
        }
    }

    /** First whoever brought it, who has it for sure; then any that may have it by now. */
    private String source(String digest) {
        Change by = register().change();
        boolean first = !digest.equals(fetchedFirst);
        fetchedFirst = digest;
        if (first && by != null && by.digest().equals(digest) && !by.by().equals(name)) return by.by();
        List<String> all = new ArrayList<>(register().voters().names());
        Change c = register().change();
        if (c != null && !all.contains(c.by())) all.add(c.by());
        if (whole != null) for (String n : whole.registrations().keySet()) if (all.size() < 16
            && !all.contains(n)) all.add(n);
        all.remove(name);
        return all.isEmpty() ? null : all.get(chance.nextInt(all.size()));
    }

    /** The edge's word on a text: {@code why} null, and it is on disk; "" where its bytes do not have the digest. */
    public void textValidated(double now, String digest, byte[] bytes, String why) {
        if (why == null) {
            texts.add(digest, bytes);
            replica.setTextAvailable(digest, true);
            tell("policy: text kept", "digest", digest, "bytes", bytes.length);
            takes();
        } else if (why.isEmpty()) {
            texts.restartFetch(digest);
        } else {
            texts.reject(digest, why);
            tell("policy: text refused", "digest", digest, "why", why);
        }
        stand(now, true);
    }

    /** A text that an operator brings; it is checked here first. */
    public void submitText(String digest, byte[] bytes) {
        texts.beginValidation(digest);
        works.add(new ValidateText(digest, bytes));
    }

    private void dropOthers() {
        PolicyRegister b = register();
        Set<String> wanted = wanted();
        // Without a change under way, the one before stays, to be taken back to at once.
        if (b.change() == null && texts.digests().size() <= 2) return;
        if (b.change() == null && !b.recentChanges().isEmpty()) wanted.add(previousText(b));
        for (String gone : texts.retainOnly(wanted)) {
            replica.setTextAvailable(gone, false);
            works.add(new DeleteText(gone));
        }
    }

    /** The text that was in force before the one that is. */
    public static String previousText(PolicyRegister b) {
        String now = b.plan().main();
        List<PolicyRegister.CompletedChange> all = b.recentChanges();
        for (int i = all.size() - 1; i >= 0; i--) {
            if (all.get(i).outcome() == PolicyRegister.Outcome.COMMITTED && !all.get(i).digest().equals(now)) {
                return all.get(i).digest();
            }
        }
        return "";
    }

    // ---- what is decided ----

    private void heard(PolicyRegister b, double now) {
        if (b.complete() && (whole == null || b.revision() > whole.revision())) whole = b;
        boolean wasSeated = replica.isRegistered();
        PolicyRegister before = register();
        if (!replica.learn(b)) return;
        count(Counter.DECIDED_HEARD);
        coordinator.learn(register(), now);
        boolean planned = before.plan().number() != b.plan().number();
        Change c = b.change(), o = before.change();
        boolean staged = (c == null) != (o == null) || c != null && o != null && c.stageRevision() != o.stageRevision();
        if (staged || planned) {
            otherDrove = now;
            boolean same = c != null && o != null && o.id().equals(c.id());
            boolean goesOn = same && o.stage() != Stage.TRIAL;
            drives = c != null && (goesOn ? drives : c.by().equals(name));
            tell("policy: decided", "revision", b.revision(), "plan", b.plan().number(), "change", c == null ? ""
                : c.id(), "stage", c == null ? "" : c.stage(), "outcome", b.recentChanges().isEmpty() ? ""
                : b.recentChanges().get(b.recentChanges().size() - 1).outcome());
        }
        if (wasSeated && !replica.isRegistered() && !leaving) tell("policy: has no seat any more", "revision",
            b.revision());
        if (leaving && !replica.isRegistered()) left = true;
        if (staged || planned || b.voters().number() != before.voters().number()) works.add(new PersistRegister(b));
        enrols.entrySet().removeIf(e -> b.complete() && b.isRegistered(e.getKey(), e.getValue().incarnation()));
        leaves.entrySet().removeIf(e -> b.complete() && b.registration(e.getKey(), e.getValue()) == null);
        fetchAt = Double.NEGATIVE_INFINITY;
        takes();
        fetch(now);
        stand(now, true);
        dropOthers();
    }

    private void takes() {
        if (replica.plan() < 0 || replica.plan() == taken) return;
        taken = replica.plan();
        works.add(new ActivatePlan(register().plan()));
        tell("policy: taken up", "plan", taken, "revision", register().revision());
    }

    // ---- how far this director is ----

    /** Says how far it is where that is news, or was said long ago; to the voters and to whom began the change. */
    private void stand(double now, boolean atOnce) {
        Change c = register().change();
        if (c == null || c.stage() == Stage.TRIAL || !replica.isRegistered()) {
            saidLast = null;
            return;
        }
        PolicyMessage.ProgressReport s = standing(now);
        if (s.equals(saidLast) && (atOnce || now - saidAt < SAYS_AGAIN)) return;
        saidLast = s;
        saidAt = now;
        Set<String> to = new TreeSet<>(register().voters().names());
        to.add(c.by());
        for (String n : to) tell(n, s, now);
    }

    private PolicyMessage.ProgressReport standing(double now) {
        Change c = register().change();
        PolicyMessage.Progress far = PolicyMessage.Progress.BEHIND;
        String why = "";
        if (c.stage() == Stage.SETTLING) {
            if (replica.plan() == register().plan().number()) far = PolicyMessage.Progress.TAKEN;
        } else if (replica.bind(c.stageRevision(), now)) {
            far = PolicyMessage.Progress.READY;
        } else {
            far = PolicyMessage.Progress.FETCHING;
            for (String d : List.of(c.target().main(), c.target().trial())) {
                if (texts.isValidating(d)) far = PolicyMessage.Progress.CHECKING;
                if (texts.rejectionReason(d) == null) continue;
                far = PolicyMessage.Progress.NO;
                why = texts.rejectionReason(d);
            }
        }
        return new PolicyMessage.ProgressReport(replica.incarnation(), c.stageRevision(), register().plan().number(),
            far, why);
    }

    // ---- driving ----

    /** Whoever began the change drives it; where nobody is heard to, the next one in order goes on with it. */
    private void drive(double now) {
        Change c = register().change();
        if (c == null || c.stage() == Stage.TRIAL) {
            drives = false;
            return;
        }
        if (!drives && now - otherDrove >= TAKEOVER + RANK * rank()) {
            drives = true;
            count(Counter.TAKEOVERS);
            tell("policy: drives what another began", "change", c.id(), "by", c.by());
        }
        if (!drives || now < pollAt) return;
        pollAt = now + POLL;
        if (!isWholeNow()) {
            learnAt = Math.min(learnAt, now);
            return;
        }
        count(Counter.POLLS);
        PolicyMessage.ProgressRequest how = new PolicyMessage.ProgressRequest(register().revision(), c.stageRevision(),
            register().plan().number());
        Set<String> to = new TreeSet<>(coordinator.awaitedDirectors(whole));
        to.addAll(register().voters().names());
        to.remove(name);
        for (String n : to) say(n, how);
    }

    private int rank() {
        List<String> all = new ArrayList<>(new TreeSet<>(register().voters().names()));
        int r = all.indexOf(name);
        return r >= 0 ? r : all.size() + 1 + Math.floorMod(name.hashCode(), MOST_RANKS);
    }

    // ---- writing ----

    private void write(double now) {
        Proposer.State s = writer.state();
        if (s == Proposer.State.PREPARING || s == Proposer.State.ACCEPTING) {
            if (now - writerSaid >= AGAIN) saysOfWriter(now);
            return;
        }
        if (now < writerAgainAt) return;
        Transition m = nextMove(now);
        if (m == null && !doubts(now)) return;
        count(m == null ? Counter.DOUBTS_ENDED : Counter.WRITES_BEGUN);
        writer.start(whole != null && isWholeNow() ? whole : register(), m);
        saysOfWriter(now);
    }

    /**
     * A voter that has accepted what nobody has told it to be decided: who put it there may be dead, and the others may
     * wait for its word. After a while, by rank, it finishes that itself.
     */
    private boolean doubts(double now) {
        PolicyRegister b = voter.state().accepted();
        boolean settled = b == null || b.revision() <= register().revision()
            || voter.state().acceptedNumber().equals(undecided);
        if (settled) doubtsSince = Double.NaN;
        else if (Double.isNaN(doubtsSince)) doubtsSince = now;
        return now - doubtsSince >= TAKEOVER + RANK * rank();
    }

    private void saysOfWriter(double now) {
        writerSaid = now;
        Map<String, PolicyMessage> all = writer.pendingRequests();
        all.forEach((n, what) -> {
            if (!n.equals(name)) say(n, what);
        });
        if (all.containsKey(name)) onMessage(now, name, all.get(name));
    }

    private Transition nextMove(double now) {
        if (!asked.isEmpty()) return asked.values().iterator().next();
        if (!enrols.isEmpty()) return new Transition.RegisterDirectors(Map.copyOf(enrols));
        if (!leaves.isEmpty()) {
            Map.Entry<String, Long> e = leaves.entrySet().iterator().next();
            return new Transition.RemoveDirector(e.getKey(), e.getValue(), "it said so");
        }
        return drives && isWholeNow() ? coordinator.nextTransition(whole, now) : null;
    }

    private void afterWrite(double now) {
        Proposer.State s = writer.state();
        if (s == Proposer.State.DONE) {
            PolicyRegister b = writer.decided();
            boolean own = writer.isOwnTransition();
            Transition m = writer.transition();
            if (own) count(Counter.WRITES_DONE);
            // Most voters know nothing later: what this one has accepted was never decided, and is left at that.
            if (m == null && (b == null || b.revision() <= register().revision())) {
                undecided = voter.state().acceptedNumber();
            }
            if (own) settleAsked(m, "done, revision " + b.revision());
            writer.reset();
            if (b != null) {
                announce(b, own ? m : null);
                heard(b, now);
            }
            write(now);
        } else if (s == Proposer.State.LOST) {
            count(Counter.WRITES_LOST);
            Transition m = writer.transition();
            if (writer.rejectionReason() != null) {
                settleAsked(m, "refused: " + writer.rejectionReason());
                if (m instanceof Transition.RegisterDirectors e) enrols.keySet().removeAll(e.registrations().keySet());
                if (m instanceof Transition.RemoveDirector k) leaves.remove(k.name());
            }
            writer.reset();
            writerAgainAt = now + LOST_MIN + LOST_RANDOM * chance.nextDouble();
        }
    }

    private void settleAsked(Transition m, String how) {
        if (how == null) return;
        for (Map.Entry<String, Transition> e : asked.entrySet()) {
            if (e.getValue() != m) continue;
            if (outcomes.size() >= MOST_TRIED) outcomes.remove(outcomes.keySet().iterator().next());
            outcomes.put(e.getKey(), how);
            asked.remove(e.getKey());
            return;
        }
    }

    /** What concerns all is told to all; who comes and goes only to those and to the voters. */
    private void announce(PolicyRegister b, Transition m) {
        Set<String> to = new TreeSet<>();
        boolean ofFew = m instanceof Transition.RegisterDirectors || m instanceof Transition.RemoveDirector
            || m == null;
        if (!ofFew) to.addAll(b.registrations().keySet());
        if (m instanceof Transition.RegisterDirectors e) to.addAll(e.registrations().keySet());
        if (m instanceof Transition.RemoveDirector s) to.add(s.name());
        to.removeAll(b.voters().names());
        to.remove(name);
        for (String n : b.voters().names()) if (!n.equals(name)) say(n, new PolicyMessage.Decided(b));
        for (String n : to) say(n, new PolicyMessage.Decided(b.brief(n)));
    }

    // ---- operators ----

    /** Tries a step that an operator wants; {@link #outcome} has the answer under this key. */
    public void submit(double now, String key, Transition m) {
        asked.put(key, m);
        write(now);
    }

    /** Null while it is being tried, and where nobody asked. */
    public String outcome(String key) {
        return outcomes.get(key);
    }

    public boolean isPending(String key) {
        return asked.containsKey(key);
    }

    /** It decides nothing any more, and says so until it is off the roll; {@link #hasLeft} then. */
    public void leave(double now) {
        leaving = true;
        if (!replica.isRegistered()) left = true;
        tick(now);
    }

    public boolean hasLeft() {
        return left;
    }

    public void onConnectionRefused(String atHost, int atPort) {
        if (whole != null) coordinator.onConnectionRefused(whole, atHost, atPort);
    }

    // ---- messages ----

    public void onMessage(double now, String from, PolicyMessage s) {
        if (left) return;
        if (s instanceof PolicyMessage.Prepare p) step(from, voter.on(p), false);
        else if (s instanceof PolicyMessage.Accept a) step(from, voter.on(a), true);
        else if (s instanceof PolicyMessage.Promised p) {
            observedStoreIds.put(from, p.storeId());
            writer.on(from, p);
            if (writer.state() == Proposer.State.ACCEPTING) saysOfWriter(now);
            afterWrite(now);
        } else if (s instanceof PolicyMessage.Accepted a) {
            writer.on(from, a);
            afterWrite(now);
        } else if (s instanceof PolicyMessage.Rejected l) {
            writer.on(l);
            afterWrite(now);
        } else if (s instanceof PolicyMessage.Decided d) {
            heard(d.register(), now);
        } else if (s instanceof PolicyMessage.Learn l) {
            teach(from, l);
        } else if (s instanceof PolicyMessage.VotersRedirect a) {
            if (a.voterSetNumber() > register().voters().number()
                && (pointed == null || a.voterSetNumber() > pointed.voterSetNumber())) {
                pointed = a;
                learnAt = Math.min(learnAt, now);
            }
        } else if (s instanceof PolicyMessage.JoinRequest e) {
            enrols.put(from, new PolicyRegister.Registration(e.incarnation(), e.host(), e.port(), false));
            if (isWholeNow() && whole.isRegistered(from, e.incarnation())) {
                enrols.remove(from);
                say(from, new PolicyMessage.Decided(whole.brief(from)));
            }
        } else if (s instanceof PolicyMessage.LeaveRequest l) {
            if (isWholeNow() && whole.registration(from, l.incarnation()) == null) {
                say(from, new PolicyMessage.Decided(whole.brief(from)));
            } else {
                leaves.put(from, l.incarnation());
            }
        } else if (s instanceof PolicyMessage.LeaseRequest m) {
            if (isVoter()) tell(from, voter.on(m, from, isWholeNow() ? whole : null), now);
        } else if (s instanceof PolicyMessage.LeaseReply y) {
            observedStoreIds.put(from, y.storeId());
            if (!y.granted()) count(Counter.LEASE_REFUSALS);
            if (replica.onLeaseReply(from, y)) say(from, new PolicyMessage.Learn(register().revision(), isVoter()));
        } else if (s instanceof PolicyMessage.ProgressRequest h) {
            howFar(now, from, h);
        } else if (s instanceof PolicyMessage.ProgressReport st) {
            coordinator.onProgress(register(), from, st);
        } else if (s instanceof PolicyMessage.ProgressReports w) {
            if (register().change() != null && w.stageRevision() == register().change().stageRevision()) {
                w.reports().forEach((n, st) -> coordinator.onProgress(register(), n, st));
            }
        } else if (s instanceof PolicyMessage.TextRequest f) {
            say(from, texts.chunk(f));
        } else if (s instanceof PolicyMessage.TextChunk c) {
            piece(from, c);
        } else if (s instanceof PolicyMessage.TextNotFound) {
            fetchAt = Math.min(fetchAt, now + FETCH_AGAIN / 4);
        }
        if (s instanceof PolicyMessage.JoinRequest || s instanceof PolicyMessage.LeaveRequest
            || s instanceof PolicyMessage.ProgressReport || s instanceof PolicyMessage.ProgressReports) write(now);
    }

    private void step(String from, Voter.Step s, boolean accepts) {
        if (s.reply() != null) say(from, s.reply());
        if (s.persist() == null) return;
        rest.add(new Rest(from, accepts));
        works.add(new PersistVoterState(s.persist()));
    }

    // Who waits for which write, in the order of the works.
    private final List<Rest> rest = new ArrayList<>();

    private record Rest(String to, boolean accepts) { }

    /** The voter's state is on disk; what rested on it is said now. */
    public void voterStateSynced(double now, Voter.State kept) {
        count(Counter.SYNCS);
        PolicyMessage.Receipt r = voter.synced(kept);
        Rest x = rest.remove(0);
        tell(x.to, x.accepts ? PolicyMessage.Accepted.of(r) : PolicyMessage.Promised.of(r), now);
    }

    /** The disk has refused: what would have rested on it is not said, to anybody. */
    public void voterStateNotSynced() {
        rest.remove(0);
        voter.syncFailed();
    }

    private void teach(String from, PolicyMessage.Learn l) {
        PolicyRegister b = isWholeNow() ? whole : null;
        if (b != null && (b.revision() > l.revision() || l.complete() && b.revision() == l.revision())
            && b.revision() > 0) {
            say(from, new PolicyMessage.Decided(l.complete() ? b : b.brief(from)));
        } else if (b == null && register().revision() > l.revision()) {
            say(from, new PolicyMessage.VotersRedirect(register().voters().number(), register().voters().names()));
        }
    }

    private void howFar(double now, String from, PolicyMessage.ProgressRequest h) {
        if (!from.equals(name)) {
            otherDrove = now;
            // Of two that drive the one that began it goes on, else the first by name.
            Change c = register().change();
            boolean yields = c != null && !c.by().equals(name) && (c.by().equals(from) || from.compareTo(name) < 0);
            if (drives && yields) drives = false;
        }
        if (h.revision() > register().revision()) say(from, new PolicyMessage.Learn(register().revision(), isVoter()));
        Change c = register().change();
        if (c == null || c.stageRevision() != h.stageRevision()) return;
        if (isVoter()) say(from, new PolicyMessage.ProgressReports(c.stageRevision(),
            coordinator.reports(register().plan().number())));
        if (replica.isRegistered() && c.stage() != Stage.TRIAL) say(from, standing(now));
    }

    private void piece(String from, PolicyMessage.TextChunk c) {
        byte[] all = texts.addChunk(c);
        if (all != null) works.add(new ValidateText(c.digest(), all));
        else if (texts.isRequested(c.digest())) say(from, new PolicyMessage.TextRequest(c.digest(),
            texts.receivedBytes(c.digest())));
    }
}
