package mothcross.policy;

import com.google.gson.annotations.SerializedName;
import java.util.Set;

/**
 * A voter of the register: single-decree consensus of Lamport's Paxos, written over and over as CASPaxos does. Owns
 * what it has promised and accepted; that is on disk, whole and synced, before any word of it leaves. Must never go
 * back in turns, nor answer under a mark that was not drawn with its disk.
 */
public final class Voter {
    /** All that it must remember; a new disk has a new mark and nothing else. */
    public record State(@SerializedName("mark") String storeId, ProposalNumber promised,
                        @SerializedName("acceptedAt") ProposalNumber acceptedNumber, PolicyRegister accepted) {
        public static State blank(String mark) {
            return new State(mark, ProposalNumber.NONE, ProposalNumber.NONE, null);
        }
    }

    /** Either an answer that needs nothing kept, or what has to be kept first. */
    public record Step(PolicyMessage reply, State persist) { }

    private final String name;
    private final Set<String> founders;
    // What is on disk, and what will be: the next word is by the latter.
    private State state, latest;

    public Voter(String name, Set<String> founders, State kept) {
        this.name = name;
        this.founders = founders;
        this.state = this.latest = kept;
    }

    public State state() {
        return state;
    }

    public Step on(PolicyMessage.Prepare p) {
        // Nothing decided, and other founders than this one's file names: two fleets, or a file that is not everywhere.
        boolean other = !p.initialVoters().isEmpty() && !p.initialVoters().equals(founders);
        if (latest.accepted() == null && other) return new Step(null, null);
        if (p.number().compareTo(latest.promised()) < 0) return reject(p.number());
        return persist(new State(latest.storeId(), p.number(), latest.acceptedNumber(), latest.accepted()));
    }

    public Step on(PolicyMessage.Accept a) {
        if (a.number().compareTo(latest.promised()) < 0) return reject(a.number());
        return persist(new State(latest.storeId(), a.number(), a.number(), a.register()));
    }

    private Step persist(State s) {
        latest = s;
        return new Step(null, s);
    }

    private Step reject(ProposalNumber t) {
        return new Step(new PolicyMessage.Rejected(t, latest.promised()), null);
    }

    /** What was to be kept may not be on disk: as if the message had never come. */
    void syncFailed() {
        latest = state;
    }

    /** What was to be kept is on disk. */
    public PolicyMessage.Receipt synced(State kept) {
        state = kept;
        if (latest.promised().compareTo(kept.promised()) < 0) latest = kept;
        return new PolicyMessage.Receipt(kept);
    }

    /**
     * Whether a director may go on under a plan, for as long as a lease from when it asked. Of what was accepted and
     * what is known to be decided the later speaks: whatever may have been decided by most, one of them says no.
     */
    public PolicyMessage.LeaseReply on(PolicyMessage.LeaseRequest m, String who, PolicyRegister decided) {
        PolicyRegister a = latest.accepted();
        PolicyRegister b = a == null || decided != null && decided.revision() >= a.revision() ? decided : a;
        boolean yes = b != null && b.complete() && b.plan().number() == m.plan()
            && b.voters().number() == m.voterSetNumber()
            && b.voters().contains(name, state.storeId()) && b.isRegistered(who, m.incarnation());
        return new PolicyMessage.LeaseReply(m.number(), state.storeId(), yes, b == null ? 0 : b.revision());
    }
}
