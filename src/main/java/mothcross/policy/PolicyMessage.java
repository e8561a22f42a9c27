package mothcross.policy;

import com.google.gson.annotations.SerializedName;
import java.util.Map;
import java.util.Set;

/**
 * The messages between directors about the policy. A message that promises something that has to outlast a crash is
 * made from the {@link Receipt} of the write that it rests on, and can't be made without. The annotations fix the names
 * in the JSON.
 */
public sealed interface PolicyMessage {
    /** Proof that a voter's state is on disk and synced; made only once the sync has returned. */
    final class Receipt {
        private final Voter.State state;

        Receipt(Voter.State state) {
            this.state = state;
        }

        Voter.State state() {
            return state;
        }
    }

    // ---- the register ----

    /**
     * First phase: a proposer asks for a promise. {@code initialVoters} are those that its file names, where nothing is
     * decided yet, else none.
     */
    record Prepare(@SerializedName("turn") ProposalNumber number, @SerializedName("founders") Set<String> initialVoters)
        implements PolicyMessage { }

    /** A voter's promise, with what it has accepted so far. */
    record Promised(@SerializedName("turn") ProposalNumber number, @SerializedName("mark") String storeId,
                    @SerializedName("at") ProposalNumber acceptedNumber, PolicyRegister accepted)
        implements PolicyMessage {
        public static Promised of(Receipt receipt) {
            Voter.State state = receipt.state();
            return new Promised(state.promised(), state.storeId(), state.acceptedNumber(), state.accepted());
        }
    }

    /** Second phase: a proposer asks to accept this register. */
    record Accept(@SerializedName("turn") ProposalNumber number, @SerializedName("book") PolicyRegister register)
        implements PolicyMessage { }

    /** A voter has accepted the register of this number. */
    record Accepted(@SerializedName("turn") ProposalNumber number, @SerializedName("mark") String storeId)
        implements PolicyMessage {
        public static Accepted of(Receipt receipt) {
            return new Accepted(receipt.state().acceptedNumber(), receipt.state().storeId());
        }
    }

    /** The voter has promised a later number; nothing was changed. */
    record Rejected(@SerializedName("turn") ProposalNumber number, ProposalNumber promised) implements PolicyMessage { }

    // ---- the decided register ----

    /** A decided register, complete or brief. */
    record Decided(@SerializedName("book") PolicyRegister register) implements PolicyMessage { }

    /** Asks for a decided register after this revision: the complete one, or the part that concerns the asker. */
    record Learn(long revision, @SerializedName("whole") boolean complete) implements PolicyMessage { }

    /**
     * From a director that knows of later voters but not of all that they decided: names those to ask. It does not
     * establish who votes.
     */
    record VotersRedirect(@SerializedName("voters") long voterSetNumber, Set<String> names) implements PolicyMessage { }

    // ---- registrations and leases ----

    /** Asks to be registered. */
    record JoinRequest(@SerializedName("life") long incarnation, String host, int port) implements PolicyMessage { }

    /** Asks to be removed. */
    record LeaveRequest(@SerializedName("life") long incarnation) implements PolicyMessage { }

    /** Asks for a lease on a plan; {@code voterSetNumber} is that of the voters as the asker knows them. */
    record LeaseRequest(@SerializedName("life") long incarnation, long plan,
                        @SerializedName("voters") long voterSetNumber, long number) implements PolicyMessage { }

    /** A voter's answer; {@code revision} is the latest one that it knows, decided or accepted. */
    record LeaseReply(long number, @SerializedName("mark") String storeId, @SerializedName("yes") boolean granted,
                      long revision) implements PolicyMessage { }

    // ---- the change under way ----

    /** A coordinator asks for a director's progress in this stage. */
    record ProgressRequest(long revision, @SerializedName("since") long stageRevision, long plan)
        implements PolicyMessage { }

    /**
     * A director's progress in a stage. READY: it has checked and kept the text, and has bound itself; TAKEN: it
     * decides lookups by the committed plan; NO: it can't use the text.
     */
    enum Progress { BEHIND, FETCHING, CHECKING, NO, READY, TAKEN }

    /** A director's own progress. */
    record ProgressReport(@SerializedName("life") long incarnation, @SerializedName("since") long stageRevision,
                          long plan, @SerializedName("far") Progress progress, @SerializedName("why") String reason)
        implements PolicyMessage { }

    // ---- texts ----

    /** Asks for a text, from this byte on. */
    record TextRequest(String digest, int from) implements PolicyMessage { }

    /** A part of a text, from this byte on; {@code size} is that of the complete text. */
    record TextChunk(String digest, int from, int size, byte[] bytes) implements PolicyMessage {
        @Override public boolean equals(Object other) {
            return other instanceof TextChunk chunk && chunk.digest.equals(digest) && chunk.from == from;
        }

        @Override public int hashCode() {
            return digest.hashCode() + from;
        }
    }

    /** The text, or that part of it, is not here. */
    record TextNotFound(String digest) implements PolicyMessage { }

    /** To a coordinator from a voter: the progress that all directors have reported to it in this stage. */
    record ProgressReports(@SerializedName("since") long stageRevision,
                           @SerializedName("of") Map<String, ProgressReport> reports) implements PolicyMessage { }
}
