package mothcross.policy;

import java.util.Map;
import java.util.Set;

/**
 * What directors say to each other about the policy. What promises something that has to outlast a crash is made with
 * the {@link Receipt} of the write that it rests on, and can't be made without.
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
    record Prepare(ProposalNumber number, Set<String> founders) implements PolicyMessage { }

    record Promised(ProposalNumber number, String storeId, ProposalNumber acceptedNumber, PolicyRegister accepted) implements PolicyMessage {
        public static Promised of(Receipt r) {
            return new Promised(r.of().promised(), r.of().storeId(), r.of().acceptedNumber(), r.of().accepted());
        }
    }

    record Accept(ProposalNumber number, PolicyRegister register) implements PolicyMessage { }

    record Accepted(ProposalNumber number, String storeId) implements PolicyMessage {
        public static Accepted of(Receipt r) {
            return new Accepted(r.of().acceptedNumber(), r.of().storeId());
        }
    }

    /** A later turn was promised; nothing was changed. */
    record Rejected(ProposalNumber number, ProposalNumber promised) implements PolicyMessage { }

    // ---- what is decided ----

    record Decided(PolicyRegister register) implements PolicyMessage { }

    /** Asks for what is decided after this revision; the whole book, or the part that concerns the asker. */
    record Learn(long revision, boolean whole) implements PolicyMessage { }

    /** From one that knows of later voters and can't tell what they decided: whom to ask. No word on who votes. */
    record VotersRedirect(long voterSetNumber, Set<String> names) implements PolicyMessage { }

    // ---- who may serve ----

    record JoinRequest(long incarnation, String host, int port) implements PolicyMessage { }

    record LeaveRequest(long incarnation) implements PolicyMessage { }

    /** Is this plan still the one, for this life? {@code voters}: their number, as the asker knows it. */
    record LeaseRequest(long incarnation, long plan, long voterSetNumber, long number) implements PolicyMessage { }

    record LeaseReply(long number, String storeId, boolean granted, long revision) implements PolicyMessage { }

    // ---- the change ----

    /** One who drives asks how far a director is with this stage. */
    record ProgressRequest(long revision, long stageRevision, long plan) implements PolicyMessage { }

    /** READY: it has checked and kept the text, and binds itself; TAKEN: it decides by that plan. */
    enum Progress { BEHIND, FETCHING, CHECKING, NO, READY, TAKEN }

    record ProgressReport(long incarnation, long stageRevision, long plan, Progress progress, String reason) implements PolicyMessage { }

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
    record ProgressReports(long stageRevision, Map<String, ProgressReport> reports) implements PolicyMessage { }
}
