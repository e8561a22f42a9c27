package mothcross.policy;

import com.google.gson.annotations.SerializedName;
import java.util.Map;
import java.util.Set;

/**
 * What directors say to each other about the policy. What promises something that has to outlast a crash is made with
 * the {@link Receipt} of the write that it rests on, and can't be made without. The names in the JSON are fixed by the
 * annotations.
 */
public sealed interface PolicyMessage {
    /** That what a message rests on is on disk and synced; made by the disk's edge only, once its sync has returned. */
    final class Receipt {
        private final Voter.State of;

        Receipt(Voter.State of) {
            this.of = of;
        }

        Voter.State of() {
            return of;
        }
    }

    // ---- the register ----

    /** A writer asks to be heard first; {@code founders}: whom its own file names, where nothing is decided yet. */
    record Prepare(@SerializedName("turn") ProposalNumber number, @SerializedName("founders") Set<String> initialVoters)
        implements PolicyMessage { }

    record Promised(@SerializedName("turn") ProposalNumber number, @SerializedName("mark") String storeId,
                    @SerializedName("at") ProposalNumber acceptedNumber, PolicyRegister accepted)
        implements PolicyMessage {
        public static Promised of(Receipt r) {
            return new Promised(r.of().promised(), r.of().storeId(), r.of().acceptedNumber(), r.of().accepted());
        }
    }

    record Accept(@SerializedName("turn") ProposalNumber number, @SerializedName("book") PolicyRegister register)
        implements PolicyMessage { }

    record Accepted(@SerializedName("turn") ProposalNumber number, @SerializedName("mark") String storeId)
        implements PolicyMessage {
        public static Accepted of(Receipt r) {
            return new Accepted(r.of().acceptedNumber(), r.of().storeId());
        }
    }

    /** A later turn was promised; nothing was changed. */
    record Rejected(@SerializedName("turn") ProposalNumber number, ProposalNumber promised) implements PolicyMessage { }

    // ---- what is decided ----

    record Decided(@SerializedName("book") PolicyRegister register) implements PolicyMessage { }

    /** Asks for what is decided after this revision; the whole book, or the part that concerns the asker. */
    record Learn(long revision, @SerializedName("whole") boolean complete) implements PolicyMessage { }

    /** From one that knows of later voters and can't tell what they decided: whom to ask. No word on who votes. */
    record VotersRedirect(@SerializedName("voters") long voterSetNumber, Set<String> names) implements PolicyMessage { }

    // ---- who may serve ----

    record JoinRequest(@SerializedName("life") long incarnation, String host, int port) implements PolicyMessage { }

    record LeaveRequest(@SerializedName("life") long incarnation) implements PolicyMessage { }

    /** Is this plan still the one, for this life? {@code voterSetNumber}: of the voters, as the asker knows it. */
    record LeaseRequest(@SerializedName("life") long incarnation, long plan,
                        @SerializedName("voters") long voterSetNumber, long number) implements PolicyMessage { }

    record LeaseReply(long number, @SerializedName("mark") String storeId, @SerializedName("yes") boolean granted,
                      long revision) implements PolicyMessage { }

    // ---- the change ----

    /** One who drives asks how far a director is with this stage. */
    record ProgressRequest(long revision, @SerializedName("since") long stageRevision, long plan)
        implements PolicyMessage { }

    /** READY: it has checked and kept the text, and binds itself; TAKEN: it decides by that plan. */
    enum Progress { BEHIND, FETCHING, CHECKING, NO, READY, TAKEN }

    record ProgressReport(@SerializedName("life") long incarnation, @SerializedName("since") long stageRevision,
                          long plan, @SerializedName("far") Progress progress, @SerializedName("why") String reason)
        implements PolicyMessage { }

    // ---- texts ----

    record TextRequest(String digest, int from) implements PolicyMessage { }

    record TextChunk(String digest, int from, int size, byte[] bytes) implements PolicyMessage {
        @Override public boolean equals(Object o) {
            return o instanceof TextChunk c && c.digest.equals(digest) && c.from == from;
        }

        @Override public int hashCode() {
            return digest.hashCode() + from;
        }
    }

    record TextNotFound(String digest) implements PolicyMessage { }

    /** To one who drives, from one who does not: what it has heard of the directors about this stage. */
    record ProgressReports(@SerializedName("since") long stageRevision,
                           @SerializedName("of") Map<String, ProgressReport> reports) implements PolicyMessage { }
}
