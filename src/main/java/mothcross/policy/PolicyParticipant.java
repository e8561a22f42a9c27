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
 * One director's complete part in the replicated policy: its replica of the register, its voter, the proposer that it
 * tries transitions with, and the coordinator of the change under way. It does no I/O: time, randomness, messages and
 * the ends of writes are passed in; the messages to send and the actions to do are taken out. No reply that rests on a
 * write of the voter's state leaves before {@link #voterStateSynced} has been called for that write.
 * docs/design/policy-change.md lists the promises by number.
 */
public final class PolicyParticipant {
    /** A message to another director. */
    public record Send(String to, PolicyMessage message) { }

    /** What the I/O layer has to do, in this order, before it sends the messages that come with it. */
    public sealed interface Action { }

    /** Write and sync the voter's state; then call {@link #voterStateSynced} or {@link #voterStateNotSynced}. */
    public record PersistVoterState(Voter.State state) implements Action { }

    /** Write the latest decided register, which the next start begins with. */
    public record PersistRegister(PolicyRegister register) implements Action { }

    /** Compare the text with its digest, compile, write and sync it; then call {@link #textValidated}. */
    public record ValidateText(String digest, byte[] bytes) implements Action { }

    /** Delete a text that is needed no more. */
    public record DeleteText(String digest) implements Action { }

    /** Decide lookups by this plan from now on; lookups under way keep the plan that they began with. */
    public record ActivatePlan(Plan plan) implements Action { }

    /** An entry for the operators' log. */
    public record LogEvent(String event, Map<String, Object> fields) implements Action { }

    /** Event counters; each number only grows. The status JSON shows them under these names, in lower case. */
    public enum Counter { WRITES_BEGUN, WRITES_DONE, WRITES_LOST, SYNCS, DECIDED_HEARD, LEASES, LEASE_REFUSALS, POLLS,
        TAKEOVERS, DOUBTS_ENDED }

    private static final double TICK_MS = 100;
    private static final double RETRY_MS = 200;
    private static final double LEARN_RETRY_MS = 300;
    private static final double IDLE_LEARN_MS = 3000;
    private static final double REGISTRATION_RETRY_MS = 500;
    private static final double PROGRESS_POLL_MS = 250;
    private static final double REPORT_RETRY_MS = 1000;
    private static final double FETCH_RETRY_MS = 400;
    private static final double TAKEOVER_DELAY_MS = 1500;
    private static final double TAKEOVER_STAGGER_MS = 700;
    private static final double REPROPOSE_MIN_MS = 50;
    private static final double REPROPOSE_JITTER_MS = 250;
    /** Directors that do not vote share this many ranks, by a hash of their names. */
    private static final int MAX_RANKS = 20;
    private static final int MAX_OUTCOMES = 64;
    private static final int MAX_TEXT_SOURCES = 16;

    /** Initial value of times: what is due from then on is due at once. */
    private static final double LONG_AGO = Double.NEGATIVE_INFINITY;

    public final String name;
    private final String host;
    private final int port;
    private final Set<String> initialVoters;
    private final Supplier<Collection<String>> contacts;
    private final SplittableRandom random;
    private final Voter voter;
    private final PolicyReplica replica;
    private final Proposer proposer;
    private final ChangeCoordinator coordinator = new ChangeCoordinator();
    private final PolicyTexts texts = new PolicyTexts();
    private final List<Send> sends = new ArrayList<>();
    private final List<Action> actions = new ArrayList<>();
    // Replies that wait for a sync of the voter's state, in the order of the writes.
    private final List<PendingReply> pendingReplies = new ArrayList<>();
    // The latest complete register known. It may be older than the replica's; then no transition is tried from it.
    private PolicyRegister completeRegister;
    private boolean leaving;
    private boolean left;
    private double nextTickAt = LONG_AGO;
    private double proposerSentAt;
    private double nextProposalAt = LONG_AGO;
    private double nextLearnAt = LONG_AGO;
    private double nextJoinAt = LONG_AGO;
    private double nextPollAt = LONG_AGO;
    private double nextFetchAt = LONG_AGO;
    private double lastReportAt = LONG_AGO;
    private double nextLeaveAt = LONG_AGO;
    // When another director was last seen to coordinate the change, or the change moved on.
    private double otherCoordinatedAt = LONG_AGO;
    private boolean coordinating;
    // Since when this voter has held a proposal that may be decided, and that is later than the known register.
    private double undecidedSince = Double.NaN;
    // What was accepted under this number was found not to be decided.
    private ProposalNumber knownUndecided = ProposalNumber.NONE;
    private PolicyMessage.VotersRedirect redirect;
    private String lastRequestedDigest = "";
    private PolicyMessage.ProgressReport lastReport;
    private long activePlan = -1;
    private final Map<String, PolicyRegister.Registration> joinRequests = new LinkedHashMap<>();
    private final Map<String, Long> leaveRequests = new LinkedHashMap<>();
    // Transitions that operators asked for, in order, and the outcomes of earlier ones, by the operators' keys.
    private final Map<String, Transition> submitted = new LinkedHashMap<>();
    private final Map<String, String> outcomes = new LinkedHashMap<>();
    private final Map<String, String> observedStoreIds = new TreeMap<>();
    public final long[] counts = new long[Counter.values().length];

    /** The reply to a Prepare or, where {@code accepting}, to an Accept. */
    private record PendingReply(String to, boolean accepting) { }

    /**
     * The parameters {@code voterState} (null for a new disk), {@code register} (null where none was kept) and
     * {@code storedTexts} (by digest) are what was read from disk. {@code storeId} is drawn at random for a new disk.
     * {@code initialVoters} are named by the operators' file; {@code contacts} are all directors known to be present,
     * whether they vote or not.
     */
    public PolicyParticipant(String name, long incarnation, String host, int port, Set<String> initialVoters,
                             Supplier<Collection<String>> contacts, double leaseMs, Voter.State voterState,
                             String storeId, PolicyRegister register, Map<String, byte[]> storedTexts,
                             SplittableRandom random) {
        this.name = name;
        this.host = host;
        this.port = port;
        this.initialVoters = new TreeSet<>(initialVoters);
        this.contacts = contacts;
        this.random = random;
        voter = new Voter(name, this.initialVoters, voterState != null ? voterState : Voter.State.blank(storeId));
        replica = new PolicyReplica(name, incarnation, register != null ? register
            : PolicyRegister.initial(VoterSet.initial(initialVoters), leaseMs));
        proposer = new Proposer(name, incarnation, this.initialVoters);
        completeRegister = replica.register().complete() ? replica.register() : null;
        storedTexts.forEach((digest, bytes) -> {
            texts.add(digest, bytes);
            replica.setTextAvailable(digest, true);
        });
        coordinator.learn(replica.register(), LONG_AGO);
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

    /** The latest decided register that this director knows. */
    public PolicyRegister register() {
        return replica.register();
    }

    /** By voter name, the store id that it last answered with. */
    public Map<String, String> observedStoreIds() {
        return observedStoreIds;
    }

    /** When {@link #tick} is due next. */
    public double nextTickAt() {
        return nextTickAt;
    }

    private boolean isVoter() {
        PolicyRegister register = register();
        return register.voters().names().contains(name) || register.revision() == 0 && initialVoters.contains(name);
    }

    private void increment(Counter counter) {
        counts[counter.ordinal()]++;
    }

    private void log(String event, Object... keysAndValues) {
        Map<String, Object> fields = new LinkedHashMap<>();
        for (int i = 0; i < keysAndValues.length; i += 2) fields.put((String) keysAndValues[i], keysAndValues[i + 1]);
        actions.add(new LogEvent(event, fields));
    }

    private void send(String to, PolicyMessage message) {
        sends.add(new Send(to, message));
    }

    /** The messages to be sent, once all actions are done; each is returned once. */
    public List<Send> takeSends() {
        List<Send> all = List.copyOf(sends);
        sends.clear();
        return all;
    }

    /**
     * The actions to be done before the sends are taken; {@link #voterStateSynced} and {@link #textValidated} may add
     * more of both.
     */
    public List<Action> takeActions() {
        List<Action> all = List.copyOf(actions);
        actions.clear();
        return all;
    }

    // ---- time ----

    /** Does all that is due by now. */
    public void tick(double now) {
        if (left) return;
        nextTickAt = now + TICK_MS;
        PolicyRegister register = register();
        requestRegister(register, now);
        requestRegistration(register, now);
        if (leaving && now >= nextLeaveAt) {
            nextLeaveAt = now + RETRY_MS;
            String to = randomVoter();
            if (to != null) send(to, new PolicyMessage.LeaveRequest(replica.incarnation()));
        }
        PolicyMessage.LeaseRequest leaseRequest = replica.nextLeaseRequest(now);
        if (leaseRequest != null) {
            increment(Counter.LEASES);
            for (String voterName : register.voters().names()) deliver(voterName, leaseRequest, now);
        }
        requestTexts(now);
        reportProgress(now, false);
        coordinate(now);
        propose(now);
    }

    /** Asks for the decided register: often where this director may not serve, else at long intervals. */
    private void requestRegister(PolicyRegister register, double now) {
        if (now < nextLearnAt) return;
        boolean urgent = !replica.isRegistered() || replica.stopReason(now) != PolicyReplica.StopReason.NO;
        boolean needsComplete = coordinating && !hasLatestComplete();
        nextLearnAt = now + (urgent || needsComplete ? LEARN_RETRY_MS
            : IDLE_LEARN_MS * (0.8 + 0.4 * random.nextDouble()));
        // All voters that it knows may be gone; now and then any director is asked, which redirects to later voters.
        String to = urgent && random.nextInt(4) == 0 ? randomContact() : randomVoter();
        if (to != null) send(to, new PolicyMessage.Learn(register.revision(), needsComplete || isVoter()));
    }

    private void requestRegistration(PolicyRegister register, double now) {
        if (replica.isRegistered() || leaving || now < nextJoinAt) return;
        nextJoinAt = now + REGISTRATION_RETRY_MS * (0.7 + 0.6 * random.nextDouble());
        PolicyRegister.Registration former = register.registrations().get(name);
        boolean sameAddress = former != null && former.host().equals(host) && former.port() == port;
        if (sameAddress && former.incarnation() > replica.incarnation()) replica.restartAbove(former.incarnation());
        PolicyMessage.JoinRequest request = new PolicyMessage.JoinRequest(replica.incarnation(), host, port);
        String to = randomVoter();
        if (to == null) onMessage(now, name, request);
        else send(to, request);
    }

    /** Sends a message, or handles it at once where the receiver is this director. */
    private void deliver(String to, PolicyMessage message, double now) {
        if (to.equals(name)) onMessage(now, name, message);
        else send(to, message);
    }

    private String randomContact() {
        List<String> names = new ArrayList<>(contacts.get());
        names.remove(name);
        return names.isEmpty() ? randomVoter() : names.get(random.nextInt(names.size()));
    }

    /** One of the voters in the known register and in a redirect to a later voter set; null where there is none. */
    private String randomVoter() {
        Set<String> names = new TreeSet<>(register().voters().names());
        if (redirect != null && redirect.voterSetNumber() > register().voters().number()) {
            names.addAll(redirect.names());
        }
        List<String> others = new ArrayList<>(names);
        others.remove(name);
        return others.isEmpty() ? null : others.get(random.nextInt(others.size()));
    }

    private boolean hasLatestComplete() {
        return completeRegister != null && completeRegister.revision() == register().revision();
    }

    // ---- texts ----

    /** Digests of the texts that the register and the operators' pending proposals name. */
    private Set<String> referencedTexts() {
        Set<String> digests = new HashSet<>();
        PolicyRegister register = register();
        digests.add(register.plan().main());
        digests.add(register.plan().trial());
        if (register.change() != null) {
            digests.add(register.change().target().main());
            digests.add(register.change().target().trial());
        }
        for (Transition transition : submitted.values()) {
            if (transition instanceof Transition.Propose proposal) digests.add(proposal.digest());
        }
        digests.remove("");
        return digests;
    }

    private void requestTexts(double now) {
        if (now < nextFetchAt) return;
        nextFetchAt = now + FETCH_RETRY_MS;
        for (String digest : referencedTexts()) {
            texts.request(digest);
            if (!texts.isRequested(digest)) continue;
            String from = chooseTextSource(digest);
            if (from != null) send(from, new PolicyMessage.TextRequest(digest, texts.receivedBytes(digest)));
        }
    }

    /** First the director that submitted the text, which has it for sure; then a random one that may have it by now. */
    private String chooseTextSource(String digest) {
        Change change = register().change();
        boolean first = !digest.equals(lastRequestedDigest);
        lastRequestedDigest = digest;
        if (first && change != null && change.digest().equals(digest) && !change.by().equals(name)) return change.by();
        List<String> sources = new ArrayList<>(register().voters().names());
        if (change != null && !sources.contains(change.by())) sources.add(change.by());
        if (completeRegister != null) {
            for (String registered : completeRegister.registrations().keySet()) {
                if (sources.size() < MAX_TEXT_SOURCES && !sources.contains(registered)) sources.add(registered);
            }
        }
        sources.remove(name);
        return sources.isEmpty() ? null : sources.get(random.nextInt(sources.size()));
    }

    /**
     * The I/O layer's result for a text: {@code reason} is null where the text is on disk, "" where its bytes do not
     * match the digest (it is fetched again), and else says why the text can't be used.
     */
    public void textValidated(double now, String digest, byte[] bytes, String reason) {
        if (reason == null) {
            texts.add(digest, bytes);
            replica.setTextAvailable(digest, true);
            log("policy: text stored", "digest", digest, "bytes", bytes.length);
            activatePlan();
        } else if (reason.isEmpty()) {
            texts.restartFetch(digest);
        } else {
            texts.reject(digest, reason);
            log("policy: text rejected", "digest", digest, "why", reason);
        }
        reportProgress(now, true);
    }

    /** A text that an operator submits; it is validated here first. */
    public void submitText(String digest, byte[] bytes) {
        texts.beginValidation(digest);
        actions.add(new ValidateText(digest, bytes));
    }

    private void deleteUnreferencedTexts() {
        PolicyRegister register = register();
        Set<String> keep = referencedTexts();
        // With no change under way the previous text is kept, so that the last change can be undone at once.
        if (register.change() == null && texts.digests().size() <= 2) return;
        if (register.change() == null && !register.recentChanges().isEmpty()) keep.add(previousText(register));
        for (String digest : texts.retainOnly(keep)) {
            replica.setTextAvailable(digest, false);
            actions.add(new DeleteText(digest));
        }
    }

    /** Digest of the text that was in force before the present one; "" where none is known. */
    public static String previousText(PolicyRegister register) {
        String current = register.plan().main();
        List<PolicyRegister.CompletedChange> changes = register.recentChanges();
        for (int i = changes.size() - 1; i >= 0; i--) {
            PolicyRegister.CompletedChange change = changes.get(i);
            if (change.outcome() == PolicyRegister.Outcome.COMMITTED && !change.digest().equals(current)) {
                return change.digest();
            }
        }
        return "";
    }

    // ---- the decided register ----

    private void learn(PolicyRegister register, double now) {
        if (register.complete()
            && (completeRegister == null || register.revision() > completeRegister.revision())) {
            completeRegister = register;
        }
        boolean wasRegistered = replica.isRegistered();
        PolicyRegister before = register();
        if (!replica.learn(register)) return;
        increment(Counter.DECIDED_HEARD);
        coordinator.learn(register(), now);
        boolean newPlan = before.plan().number() != register.plan().number();
        Change change = register.change();
        Change former = before.change();
        boolean newStage = (change == null) != (former == null)
            || change != null && former != null && change.stageRevision() != former.stageRevision();
        if (newStage || newPlan) {
            otherCoordinatedAt = now;
            boolean sameChange = change != null && former != null && former.id().equals(change.id());
            boolean continues = sameChange && former.stage() != Stage.TRIAL;
            coordinating = change != null && (continues ? coordinating : change.by().equals(name));
            logDecided(register);
        }
        if (wasRegistered && !replica.isRegistered() && !leaving) {
            log("policy: this director is not registered any more", "revision", register.revision());
        }
        if (leaving && !replica.isRegistered()) left = true;
        if (newStage || newPlan || register.voters().number() != before.voters().number()) {
            actions.add(new PersistRegister(register));
        }
        joinRequests.entrySet().removeIf(entry -> register.complete()
            && register.isRegistered(entry.getKey(), entry.getValue().incarnation()));
        leaveRequests.entrySet().removeIf(entry -> register.complete()
            && register.registration(entry.getKey(), entry.getValue()) == null);
        nextFetchAt = LONG_AGO;
        activatePlan();
        requestTexts(now);
        reportProgress(now, true);
        deleteUnreferencedTexts();
    }

    private void logDecided(PolicyRegister register) {
        Change change = register.change();
        List<PolicyRegister.CompletedChange> completed = register.recentChanges();
        log("policy: decided", "revision", register.revision(), "plan", register.plan().number(),
            "change", change == null ? "" : change.id(), "stage", change == null ? "" : change.stage(),
            "outcome", completed.isEmpty() ? "" : completed.get(completed.size() - 1).outcome());
    }

    private void activatePlan() {
        if (replica.plan() < 0 || replica.plan() == activePlan) return;
        activePlan = replica.plan();
        actions.add(new ActivatePlan(register().plan()));
        log("policy: taken up", "plan", activePlan, "revision", register().revision());
    }

    // ---- progress of this director ----

    /**
     * Reports this director's progress to the voters and to the director that submitted the change: on each difference,
     * and, unless {@code onlyIfNew}, again after {@link #REPORT_RETRY_MS}.
     */
    private void reportProgress(double now, boolean onlyIfNew) {
        Change change = register().change();
        if (change == null || change.stage() == Stage.TRIAL || !replica.isRegistered()) {
            lastReport = null;
            return;
        }
        PolicyMessage.ProgressReport report = progressReport(now);
        if (report.equals(lastReport) && (onlyIfNew || now - lastReportAt < REPORT_RETRY_MS)) return;
        lastReport = report;
        lastReportAt = now;
        Set<String> receivers = new TreeSet<>(register().voters().names());
        receivers.add(change.by());
        for (String to : receivers) deliver(to, report, now);
    }

    /** This director's progress in the present stage; binds it to the stage where it is ready. */
    private PolicyMessage.ProgressReport progressReport(double now) {
        Change change = register().change();
        PolicyMessage.Progress progress = PolicyMessage.Progress.BEHIND;
        String reason = "";
        if (change.stage() == Stage.SETTLING) {
            if (replica.plan() == register().plan().number()) progress = PolicyMessage.Progress.TAKEN;
        } else if (replica.bind(change.stageRevision(), now)) {
            progress = PolicyMessage.Progress.READY;
        } else {
            progress = PolicyMessage.Progress.FETCHING;
            for (String digest : List.of(change.target().main(), change.target().trial())) {
                if (texts.isValidating(digest)) progress = PolicyMessage.Progress.CHECKING;
                if (texts.rejectionReason(digest) == null) continue;
                progress = PolicyMessage.Progress.NO;
                reason = texts.rejectionReason(digest);
            }
        }
        return new PolicyMessage.ProgressReport(replica.incarnation(), change.stageRevision(),
            register().plan().number(), progress, reason);
    }

    // ---- coordination of a change ----

    /**
     * The director that submitted a change coordinates it. Where no coordinator has been heard of for a while, the
     * next director by rank takes over.
     */
    private void coordinate(double now) {
        Change change = register().change();
        if (change == null || change.stage() == Stage.TRIAL) {
            coordinating = false;
            return;
        }
        if (!coordinating && now - otherCoordinatedAt >= takeoverDelay()) {
            coordinating = true;
            increment(Counter.TAKEOVERS);
            log("policy: takes over coordination of a change", "change", change.id(), "by", change.by());
        }
        if (!coordinating || now < nextPollAt) return;
        nextPollAt = now + PROGRESS_POLL_MS;
        if (!hasLatestComplete()) {
            nextLearnAt = Math.min(nextLearnAt, now);
            return;
        }
        increment(Counter.POLLS);
        PolicyMessage.ProgressRequest request = new PolicyMessage.ProgressRequest(register().revision(),
            change.stageRevision(), register().plan().number());
        Set<String> receivers = new TreeSet<>(coordinator.awaitedDirectors(completeRegister));
        receivers.addAll(register().voters().names());
        receivers.remove(name);
        for (String to : receivers) send(to, request);
    }

    /** Staggered by rank, so that directors do not take over all at once. */
    private double takeoverDelay() {
        return TAKEOVER_DELAY_MS + TAKEOVER_STAGGER_MS * rank();
    }

    /** The voters' order by name; after them all others. */
    private int rank() {
        List<String> voterNames = new ArrayList<>(new TreeSet<>(register().voters().names()));
        int position = voterNames.indexOf(name);
        return position >= 0 ? position : voterNames.size() + 1 + Math.floorMod(name.hashCode(), MAX_RANKS);
    }

    // ---- proposals ----

    private void propose(double now) {
        Proposer.State state = proposer.state();
        if (state == Proposer.State.PREPARING || state == Proposer.State.ACCEPTING) {
            if (now - proposerSentAt >= RETRY_MS) sendProposerRequests(now);
            return;
        }
        if (now < nextProposalAt) return;
        Transition transition = nextTransition(now);
        if (transition == null && !mustFinishAcceptedProposal(now)) return;
        increment(transition == null ? Counter.DOUBTS_ENDED : Counter.WRITES_BEGUN);
        proposer.start(completeRegister != null && hasLatestComplete() ? completeRegister : register(), transition);
        sendProposerRequests(now);
    }

    /**
     * Whether this voter has to finish a proposal that it accepted and was never told to be decided. Its proposer may
     * be dead, and the other voters may wait for the outcome; so after a delay by rank the voter finishes it itself.
     */
    private boolean mustFinishAcceptedProposal(double now) {
        PolicyRegister accepted = voter.state().accepted();
        boolean resolved = accepted == null || accepted.revision() <= register().revision()
            || voter.state().acceptedNumber().equals(knownUndecided);
        if (resolved) undecidedSince = Double.NaN;
        else if (Double.isNaN(undecidedSince)) undecidedSince = now;
        return now - undecidedSince >= takeoverDelay();
    }

    private void sendProposerRequests(double now) {
        proposerSentAt = now;
        Map<String, PolicyMessage> requests = proposer.pendingRequests();
        requests.forEach((to, request) -> {
            if (!to.equals(name)) send(to, request);
        });
        if (requests.containsKey(name)) onMessage(now, name, requests.get(name));
    }

    private Transition nextTransition(double now) {
        if (!submitted.isEmpty()) return submitted.values().iterator().next();
        if (!joinRequests.isEmpty()) return new Transition.RegisterDirectors(Map.copyOf(joinRequests));
        if (!leaveRequests.isEmpty()) {
            Map.Entry<String, Long> request = leaveRequests.entrySet().iterator().next();
            return new Transition.RemoveDirector(request.getKey(), request.getValue(), "it leaves the fleet");
        }
        return coordinating && hasLatestComplete() ? coordinator.nextTransition(completeRegister, now) : null;
    }

    private void handleProposerResult(double now) {
        Proposer.State state = proposer.state();
        if (state == Proposer.State.DONE) onProposalDone(now);
        else if (state == Proposer.State.LOST) onProposalLost(now);
    }

    private void onProposalDone(double now) {
        PolicyRegister decided = proposer.decided();
        boolean own = proposer.isOwnTransition();
        Transition transition = proposer.transition();
        if (own) increment(Counter.WRITES_DONE);
        // A majority of the voters has nothing later: what this voter accepted was never decided, and is ignored.
        if (transition == null && (decided == null || decided.revision() <= register().revision())) {
            knownUndecided = voter.state().acceptedNumber();
        }
        if (own) recordOutcome(transition, "done, revision " + decided.revision());
        proposer.reset();
        if (decided != null) {
            announce(decided, own ? transition : null);
            learn(decided, now);
        }
        propose(now);
    }

    private void onProposalLost(double now) {
        increment(Counter.WRITES_LOST);
        Transition transition = proposer.transition();
        if (proposer.rejectionReason() != null) {
            recordOutcome(transition, "refused: " + proposer.rejectionReason());
            if (transition instanceof Transition.RegisterDirectors register) {
                joinRequests.keySet().removeAll(register.registrations().keySet());
            }
            if (transition instanceof Transition.RemoveDirector removal) leaveRequests.remove(removal.name());
        }
        proposer.reset();
        nextProposalAt = now + REPROPOSE_MIN_MS + REPROPOSE_JITTER_MS * random.nextDouble();
    }

    /** Keeps the outcome where the transition is one that an operator submitted. */
    private void recordOutcome(Transition transition, String outcome) {
        for (Map.Entry<String, Transition> entry : submitted.entrySet()) {
            if (entry.getValue() != transition) continue;
            if (outcomes.size() >= MAX_OUTCOMES) outcomes.remove(outcomes.keySet().iterator().next());
            outcomes.put(entry.getKey(), outcome);
            submitted.remove(entry.getKey());
            return;
        }
    }

    /**
     * Sends a decided register to the voters; a change of the plan or of the voters also to all registered directors,
     * a registration or removal only to the directors concerned.
     */
    private void announce(PolicyRegister register, Transition transition) {
        Set<String> receivers = new TreeSet<>();
        boolean concernsFew = transition instanceof Transition.RegisterDirectors
            || transition instanceof Transition.RemoveDirector || transition == null;
        if (!concernsFew) receivers.addAll(register.registrations().keySet());
        if (transition instanceof Transition.RegisterDirectors registering) {
            receivers.addAll(registering.registrations().keySet());
        }
        if (transition instanceof Transition.RemoveDirector removal) receivers.add(removal.name());
        receivers.removeAll(register.voters().names());
        receivers.remove(name);
        for (String to : register.voters().names()) {
            if (!to.equals(name)) send(to, new PolicyMessage.Decided(register));
        }
        for (String to : receivers) send(to, new PolicyMessage.Decided(register.brief(to)));
    }

    // ---- operators ----

    /** Tries a transition that an operator wants; {@link #outcome} has the result under this key. */
    public void submit(double now, String key, Transition transition) {
        submitted.put(key, transition);
        propose(now);
    }

    /** The outcome of a submitted transition; null while it is pending, and where none was submitted. */
    public String outcome(String key) {
        return outcomes.get(key);
    }

    /** Whether the transition submitted under this key has no outcome yet. */
    public boolean isPending(String key) {
        return submitted.containsKey(key);
    }

    /** Stops deciding lookups and asks to be removed until it is not registered any more; then {@link #hasLeft}. */
    public void leave(double now) {
        leaving = true;
        if (!replica.isRegistered()) left = true;
        tick(now);
    }

    public boolean hasLeft() {
        return left;
    }

    /** A connection to this address was refused: no process listens there. */
    public void onConnectionRefused(String atHost, int atPort) {
        if (completeRegister != null) coordinator.onConnectionRefused(completeRegister, atHost, atPort);
    }

    // ---- messages ----

    /** Handles a message of another director, or of this one to itself. */
    public void onMessage(double now, String from, PolicyMessage message) {
        if (left) return;
        if (message instanceof PolicyMessage.Prepare prepare) {
            handleVoterStep(from, voter.on(prepare), false);
        } else if (message instanceof PolicyMessage.Accept accept) {
            handleVoterStep(from, voter.on(accept), true);
        } else if (message instanceof PolicyMessage.Promised promised) {
            observedStoreIds.put(from, promised.storeId());
            proposer.on(from, promised);
            if (proposer.state() == Proposer.State.ACCEPTING) sendProposerRequests(now);
            handleProposerResult(now);
        } else if (message instanceof PolicyMessage.Accepted accepted) {
            proposer.on(from, accepted);
            handleProposerResult(now);
        } else if (message instanceof PolicyMessage.Rejected rejected) {
            proposer.on(rejected);
            handleProposerResult(now);
        } else if (message instanceof PolicyMessage.Decided decided) {
            learn(decided.register(), now);
        } else if (message instanceof PolicyMessage.Learn request) {
            onLearn(from, request);
        } else if (message instanceof PolicyMessage.VotersRedirect received) {
            onVotersRedirect(received, now);
        } else if (message instanceof PolicyMessage.JoinRequest request) {
            onJoinRequest(from, request);
        } else if (message instanceof PolicyMessage.LeaveRequest request) {
            onLeaveRequest(from, request);
        } else if (message instanceof PolicyMessage.LeaseRequest request) {
            if (isVoter()) deliver(from, voter.on(request, from, hasLatestComplete() ? completeRegister : null), now);
        } else if (message instanceof PolicyMessage.LeaseReply reply) {
            observedStoreIds.put(from, reply.storeId());
            if (!reply.granted()) increment(Counter.LEASE_REFUSALS);
            if (replica.onLeaseReply(from, reply)) send(from, learnRequest());
        } else if (message instanceof PolicyMessage.ProgressRequest request) {
            onProgressRequest(now, from, request);
        } else if (message instanceof PolicyMessage.ProgressReport report) {
            coordinator.onProgress(register(), from, report);
        } else if (message instanceof PolicyMessage.ProgressReports collected) {
            if (register().change() != null && collected.stageRevision() == register().change().stageRevision()) {
                collected.reports().forEach((of, report) -> coordinator.onProgress(register(), of, report));
            }
        } else if (message instanceof PolicyMessage.TextRequest request) {
            send(from, texts.chunk(request));
        } else if (message instanceof PolicyMessage.TextChunk chunk) {
            onTextChunk(from, chunk);
        } else if (message instanceof PolicyMessage.TextNotFound) {
            nextFetchAt = Math.min(nextFetchAt, now + FETCH_RETRY_MS / 4);
        }
        if (message instanceof PolicyMessage.JoinRequest || message instanceof PolicyMessage.LeaveRequest
            || message instanceof PolicyMessage.ProgressReport || message instanceof PolicyMessage.ProgressReports) {
            propose(now);
        }
    }

    private PolicyMessage.Learn learnRequest() {
        return new PolicyMessage.Learn(register().revision(), isVoter());
    }

    private void onVotersRedirect(PolicyMessage.VotersRedirect received, double now) {
        if (received.voterSetNumber() <= register().voters().number()) return;
        if (redirect != null && received.voterSetNumber() <= redirect.voterSetNumber()) return;
        redirect = received;
        nextLearnAt = Math.min(nextLearnAt, now);
    }

    private void onJoinRequest(String from, PolicyMessage.JoinRequest request) {
        joinRequests.put(from,
            new PolicyRegister.Registration(request.incarnation(), request.host(), request.port(), false));
        if (hasLatestComplete() && completeRegister.isRegistered(from, request.incarnation())) {
            joinRequests.remove(from);
            send(from, new PolicyMessage.Decided(completeRegister.brief(from)));
        }
    }

    private void onLeaveRequest(String from, PolicyMessage.LeaveRequest request) {
        if (hasLatestComplete() && completeRegister.registration(from, request.incarnation()) == null) {
            send(from, new PolicyMessage.Decided(completeRegister.brief(from)));
        } else {
            leaveRequests.put(from, request.incarnation());
        }
    }

    private void handleVoterStep(String from, Voter.Step step, boolean accepting) {
        if (step.reply() != null) send(from, step.reply());
        if (step.persist() == null) return;
        pendingReplies.add(new PendingReply(from, accepting));
        actions.add(new PersistVoterState(step.persist()));
    }

    /** The voter's state is on disk; the reply that rests on it is sent now. */
    public void voterStateSynced(double now, Voter.State synced) {
        increment(Counter.SYNCS);
        PolicyMessage.Receipt receipt = voter.synced(synced);
        PendingReply pending = pendingReplies.remove(0);
        deliver(pending.to, pending.accepting ? PolicyMessage.Accepted.of(receipt)
            : PolicyMessage.Promised.of(receipt), now);
    }

    /** The write has failed: the reply that would have rested on it is never sent. */
    public void voterStateNotSynced() {
        pendingReplies.remove(0);
        voter.syncFailed();
    }

    /** Answers with the register, or, where only a brief one is known here, redirects to the voters. */
    private void onLearn(String from, PolicyMessage.Learn request) {
        PolicyRegister known = hasLatestComplete() ? completeRegister : null;
        if (known != null && known.revision() > 0 && (known.revision() > request.revision()
            || request.complete() && known.revision() == request.revision())) {
            send(from, new PolicyMessage.Decided(request.complete() ? known : known.brief(from)));
        } else if (known == null && register().revision() > request.revision()) {
            send(from, new PolicyMessage.VotersRedirect(register().voters().number(), register().voters().names()));
        }
    }

    private void onProgressRequest(double now, String from, PolicyMessage.ProgressRequest request) {
        Change change = register().change();
        if (!from.equals(name)) {
            otherCoordinatedAt = now;
            // Of two coordinators the one that submitted the change goes on, else the first by name.
            boolean yields = change != null && !change.by().equals(name)
                && (change.by().equals(from) || from.compareTo(name) < 0);
            if (coordinating && yields) coordinating = false;
        }
        if (request.revision() > register().revision()) send(from, learnRequest());
        if (change == null || change.stageRevision() != request.stageRevision()) return;
        if (isVoter()) {
            send(from, new PolicyMessage.ProgressReports(change.stageRevision(),
                coordinator.reports(register().plan().number())));
        }
        if (replica.isRegistered() && change.stage() != Stage.TRIAL) send(from, progressReport(now));
    }

    private void onTextChunk(String from, PolicyMessage.TextChunk chunk) {
        byte[] text = texts.addChunk(chunk);
        if (text != null) {
            actions.add(new ValidateText(chunk.digest(), text));
        } else if (texts.isRequested(chunk.digest())) {
            send(from, new PolicyMessage.TextRequest(chunk.digest(), texts.receivedBytes(chunk.digest())));
        }
    }
}
