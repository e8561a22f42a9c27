package mothcross.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * One attempt to write the register. It first gets promises of a quorum, then completes the latest register that one of
 * these voters has accepted, since that may have been decided; only where that is the known register does it propose
 * one of its own. Its own proposal always follows the latest decided register, and a voter that answers with another
 * store id than the voter set names is not counted.
 * <pre>
 * IDLE --start--> PREPARING --quorum of promises--> ACCEPTING --quorum has accepted--> DONE
 * PREPARING --nothing to write--> DONE
 * PREPARING, ACCEPTING --a later number is promised--> LOST
 * PREPARING --the transition does not apply--> LOST
 * </pre>
 */
public final class Proposer {
    /** Where the attempt stands. */
    public enum State { IDLE, PREPARING, ACCEPTING, DONE, LOST }

    private final String name;
    private final long incarnation;
    private final Set<String> initialVoters;
    private long round;
    private State state = State.IDLE;
    private ProposalNumber number = ProposalNumber.NONE;
    private PolicyRegister known;
    private PolicyRegister proposed;
    private Transition transition;
    private boolean ownTransition;
    private String rejectionReason;
    // The voter sets that need a quorum each: the known one, and those of later registers that were found.
    private final List<VoterSet> voterSets = new ArrayList<>();
    private final Map<String, PolicyMessage.Promised> promises = new TreeMap<>();
    private final Map<String, String> acceptedBy = new TreeMap<>();

    /** {@code initialVoters} are those that this director's file names. */
    public Proposer(String name, long incarnation, Set<String> initialVoters) {
        this.name = name;
        this.incarnation = incarnation;
        this.initialVoters = initialVoters;
    }

    /** A copy, for the state explorer. */
    public Proposer(Proposer other) {
        this(other.name, other.incarnation, other.initialVoters);
        round = other.round;
        state = other.state;
        number = other.number;
        known = other.known;
        proposed = other.proposed;
        transition = other.transition;
        ownTransition = other.ownTransition;
        rejectionReason = other.rejectionReason;
        voterSets.addAll(other.voterSets);
        promises.putAll(other.promises);
        acceptedBy.putAll(other.acceptedBy);
    }

    public State state() {
        return state;
    }

    /** The number of the present or last attempt. */
    public ProposalNumber number() {
        return number;
    }

    /** The transition that is tried; null where the attempt only completes what others have begun. */
    public Transition transition() {
        return transition;
    }

    /** Why the transition can't be applied to the register that was found; null where it was not rejected. */
    public String rejectionReason() {
        return rejectionReason;
    }

    /** Whether the proposed register comes from this proposer's own transition. */
    public boolean isOwnTransition() {
        return ownTransition;
    }

    /** Names of the voters that have not answered the present phase, or not with the store id that counts. */
    public List<String> awaitedVoters() {
        Map<String, Boolean> awaited = new TreeMap<>();
        for (VoterSet voters : requiredVoterSets()) {
            for (String voter : voters.names()) {
                String storeId = answeredStoreId(voter);
                if (storeId == null || !voters.contains(voter, storeId)) awaited.put(voter, true);
            }
        }
        return List.copyOf(awaited.keySet());
    }

    /** The store id that a voter answered the present phase with; null where it has not answered. */
    private String answeredStoreId(String voter) {
        if (state != State.PREPARING) return acceptedBy.get(voter);
        PolicyMessage.Promised promise = promises.get(voter);
        return promise == null ? null : promise.storeId();
    }

    private List<VoterSet> requiredVoterSets() {
        List<VoterSet> required = new ArrayList<>(voterSets);
        if (state == State.ACCEPTING && !required.contains(proposed.voters())) required.add(proposed.voters());
        return required;
    }

    /** By voter name, the request to send now, and again as long as the voter does not answer. */
    public Map<String, PolicyMessage> pendingRequests() {
        Map<String, PolicyMessage> requests = new LinkedHashMap<>();
        if (state != State.PREPARING && state != State.ACCEPTING) return requests;
        PolicyMessage request = state == State.PREPARING
            ? new PolicyMessage.Prepare(number, known.revision() == 0 ? initialVoters : Set.of())
            : new PolicyMessage.Accept(number, proposed);
        for (String voter : awaitedVoters()) requests.put(voter, request);
        return requests;
    }

    /** Starts an attempt. A null transition only finds out what is accepted, and completes what another began. */
    public void start(PolicyRegister knownRegister, Transition toTry) {
        known = knownRegister;
        transition = toTry;
        number = new ProposalNumber(++round, name, incarnation);
        state = State.PREPARING;
        proposed = null;
        ownTransition = false;
        rejectionReason = null;
        voterSets.clear();
        voterSets.add(known.voters());
        promises.clear();
        acceptedBy.clear();
    }

    /** Gives up the attempt, or puts away a finished one. */
    public void reset() {
        state = State.IDLE;
    }

    /** A voter has promised a later number; the next attempt uses a higher round. */
    public void on(PolicyMessage.Rejected rejected) {
        round = Math.max(round, rejected.promised().round());
        boolean active = state == State.PREPARING || state == State.ACCEPTING;
        if (rejected.number().equals(number) && active) state = State.LOST;
    }

    /** A voter's promise; with a quorum the second phase begins. */
    public void on(String from, PolicyMessage.Promised promise) {
        if (state != State.PREPARING || !promise.number().equals(number)) return;
        promises.put(from, promise);
        while (hasPromiseQuorums()) {
            PolicyRegister latest = latestAccepted();
            if (latest == null || voterSets.contains(latest.voters())) {
                propose(latest);
                return;
            }
            // This register may have been decided, and later ones by its voters: they have to be asked as well.
            voterSets.add(latest.voters());
        }
    }

    private boolean hasPromiseQuorums() {
        Map<String, String> promisedBy = new HashMap<>();
        promises.forEach((voter, promise) -> promisedBy.put(voter, promise.storeId()));
        for (VoterSet voters : voterSets) if (!voters.isQuorum(promisedBy)) return false;
        return true;
    }

    /** Of the registers that the counted voters have accepted, the one of the latest number; null where none. */
    private PolicyRegister latestAccepted() {
        ProposalNumber latestNumber = ProposalNumber.NONE;
        PolicyRegister latest = null;
        for (Map.Entry<String, PolicyMessage.Promised> entry : promises.entrySet()) {
            PolicyMessage.Promised promise = entry.getValue();
            if (promise.accepted() == null || promise.acceptedNumber().compareTo(latestNumber) <= 0) continue;
            boolean counts = false;
            for (VoterSet voters : voterSets) counts |= voters.contains(entry.getKey(), promise.storeId());
            if (!counts) continue;
            latestNumber = promise.acceptedNumber();
            latest = promise.accepted();
        }
        return latest;
    }

    private void propose(PolicyRegister latest) {
        long foundRevision = latest == null ? 0 : latest.revision();
        if (foundRevision < known.revision()) {
            rejectionReason = "the voters have lost revision " + known.revision()
                + ": a majority of their disks is gone";
            state = State.LOST;
            return;
        }
        // The very first register records the store ids of the voters that the operators' files name.
        boolean bootstrap = latest == null && transition != null;
        if (foundRevision == known.revision() && transition != null) {
            try {
                proposed = (bootstrap ? new Transition.Bootstrap(storeIds()) : transition)
                    .applyTo(bootstrap ? known : latest);
                ownTransition = !bootstrap;
            } catch (Transition.RejectedException e) {
                rejectionReason = e.getMessage();
            }
        }
        if (proposed == null && (latest == null || rejectionReason != null)) {
            state = rejectionReason != null ? State.LOST : State.DONE;
            return;
        }
        if (proposed == null) proposed = latest;
        state = State.ACCEPTING;
    }

    /** A voter has accepted; with a quorum of each voter set the register is decided. */
    public void on(String from, PolicyMessage.Accepted accepted) {
        if (state != State.ACCEPTING || !accepted.number().equals(number)) return;
        acceptedBy.put(from, accepted.storeId());
        for (VoterSet voters : requiredVoterSets()) if (!voters.isQuorum(acceptedBy)) return;
        state = State.DONE;
    }

    /** The decided register, once the attempt is done; null before, and where nothing was ever decided. */
    public PolicyRegister decided() {
        return state == State.DONE ? proposed : null;
    }

    /** By name, the store ids that voters promised with, also where they do not count. */
    public Map<String, String> storeIds() {
        Map<String, String> storeIds = new TreeMap<>();
        promises.forEach((voter, promise) -> storeIds.put(voter, promise.storeId()));
        return storeIds;
    }

    /** All state that the next step depends on, except for the voters' answers: see {@link #voterFingerprint}. */
    public String fingerprint() {
        StringBuilder text = new StringBuilder().append(state).append(number).append(round)
            .append('o').append(proposed).append('m').append(transition)
            .append('k').append(known == null ? 0 : known.revision());
        for (VoterSet voters : voterSets) text.append(voters.number());
        return text.toString();
    }

    /** One voter's answers in this attempt. */
    public String voterFingerprint(String voter) {
        PolicyMessage.Promised promise = promises.get(voter);
        String promised = promise == null ? "" : promise.storeId() + promise.acceptedNumber().round()
            + promise.acceptedNumber().proposer() + promise.accepted();
        return promised + ';' + acceptedBy.get(voter);
    }
}
