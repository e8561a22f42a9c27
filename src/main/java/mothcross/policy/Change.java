package mothcross.policy;

import com.google.gson.annotations.SerializedName;

/**
 * The change that is under way. {@code stageRevision} is the revision at which its stage began: what a director says
 * of a stage counts for that one only. {@code target} is the plan that a commit would put in force.
 */
public record Change(String id, String digest, int size, String by, String note, Mode mode, double deadlineMs,
                     Plan.Canary canary, Stage stage, @SerializedName("since") long stageRevision, Plan target) {
    /** HOLD: waits for each director that may serve; STOP: goes on without it when its lease is over. */
    public enum Mode { HOLD, STOP }

    /**
     * What moves a change, each a decision of the register:
     * <pre>
     * (none)   propose  BINDING   each director fetches, checks and keeps the text, and binds itself
     * BINDING  commit   SETTLING  the target is in force; directors take it up as they hear of it
     * BINDING  abort    (none), or TRIAL where a trial goes on
     * SETTLING settle   (none), or TRIAL where the plan has one: nobody decides by the plan before any more
     * TRIAL    promote  BINDING   of the plan with the text for all
     * TRIAL    abort    BINDING   of the plan without it
     * </pre>
     */
    public enum Stage { BINDING, SETTLING, TRIAL }

    Change withStage(Stage s, long revision, Plan to) {
        return new Change(id, digest, size, by, note, mode, deadlineMs, canary, s, revision, to);
    }

    /** It is being taken back: the target does not have its text. */
    public boolean isWithdrawn() {
        return !target.main().equals(digest) && !target.trial().equals(digest);
    }
}
