package mothcross.policy;

import com.google.gson.annotations.SerializedName;
import java.util.Set;

/**
 * A voter (acceptor) of the register: Lamport's single-decree Paxos, written over and over as CASPaxos does. What it
 * promises and accepts is written and synced before the reply leaves. Promised numbers never decrease, and all replies
 * bear the store id that was drawn with the disk.
 */
public final class Voter {
    /** All that the voter has to remember; a new disk has a new store id and nothing else. */
    public record State(@SerializedName("mark") String storeId, ProposalNumber promised,
                        @SerializedName("acceptedAt") ProposalNumber acceptedNumber, PolicyRegister accepted) {
        /** The state of a new disk. */
        public static State blank(String storeId) {
            return new State(storeId, ProposalNumber.NONE, ProposalNumber.NONE, null);
        }
    }

    /** Either a reply that needs no write, or the state to write before the reply; both null: no reply at all. */
    public record Step(PolicyMessage reply, State persist) { }

    private final String name;
    private final Set<String> initialVoters;
    // What is on disk.
    private State state;
    // What will be on disk once all writes are done; the next request is judged by it.
    private State latest;
    private int pendingWrites;

    /** {@code stored} is the state on disk. */
    public Voter(String name, Set<String> initialVoters, State stored) {
        this.name = name;
        this.initialVoters = initialVoters;
        this.state = stored;
        this.latest = stored;
    }

    /** The state that is on disk. */
    public State state() {
        return state;
    }

    /** The first phase: promises to accept nothing under an earlier number. */
    public Step on(PolicyMessage.Prepare request) {
        // Before anything is decided, other initial voters than this one's file names mean another fleet, or an
        // operators' file that is not yet the same everywhere.
        boolean mismatch = !request.initialVoters().isEmpty() && !request.initialVoters().equals(initialVoters);
        if (latest.accepted() == null && mismatch) return new Step(null, null);
        if (request.number().compareTo(latest.promised()) < 0) return reject(request.number());
        return persist(new State(latest.storeId(), request.number(), latest.acceptedNumber(), latest.accepted()));
    }

    /** The second phase: accepts the register unless a later number is promised. */
    public Step on(PolicyMessage.Accept request) {
        if (request.number().compareTo(latest.promised()) < 0) return reject(request.number());
        return persist(new State(latest.storeId(), request.number(), request.number(), request.register()));
    }

    private Step persist(State next) {
        latest = next;
        pendingWrites++;
        return new Step(null, next);
    }

    private Step reject(ProposalNumber number) {
        return new Step(new PolicyMessage.Rejected(number, latest.promised()), null);
    }

    /**
     * The oldest write that was pending has failed and may not be on disk: as if its message had never come, unless a
     * later write is pending, which holds what the failed one would have promised.
     */
    public void syncFailed() {
        pendingWrites--;
        if (pendingWrites == 0) latest = state;
    }

    /** The state is on disk; the receipt lets the reply that rests on it be made. */
    public PolicyMessage.Receipt synced(State written) {
        pendingWrites--;
        state = written;
        if (latest.promised().compareTo(written.promised()) < 0) latest = written;
        return new PolicyMessage.Receipt(written);
    }

    /**
     * Whether a director may go on under a plan for one lease from when it asked. It is judged by the later of what
     * this voter accepted and what is known to be decided. So for any register that may have been decided by a
     * majority, one of the majority refuses leases for the plan before.
     */
    public PolicyMessage.LeaseReply on(PolicyMessage.LeaseRequest request, String from, PolicyRegister decided) {
        PolicyRegister accepted = latest.accepted();
        boolean decidedIsLater = accepted == null || decided != null && decided.revision() >= accepted.revision();
        PolicyRegister register = decidedIsLater ? decided : accepted;
        boolean granted = register != null && register.complete() && register.plan().number() == request.plan()
            && register.voters().number() == request.voterSetNumber()
            && register.voters().contains(name, state.storeId())
            && register.isRegistered(from, request.incarnation());
        return new PolicyMessage.LeaseReply(request.number(), state.storeId(), granted,
            register == null ? 0 : register.revision());
    }
}
