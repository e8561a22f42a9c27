package mothcross.policy;

import com.google.gson.annotations.SerializedName;

/**
 * The change under way. {@code stageRevision} is the revision at which its present stage began; a director's progress
 * report counts for that stage only. {@code target} is the plan that a commit puts in force.
 */
public record Change(String id, String digest, int size, String by, String note, Mode mode, double deadlineMs,
                     Plan.Canary canary, Stage stage, @SerializedName("since") long stageRevision, Plan target) {
    /**
     * HOLD: waits for each registered director; STOP: excludes a director that is not ready, and goes on without it
     * when its lease is over.
     */
    public enum Mode { HOLD, STOP }

    /**
     * The stages of a change. Each step from one to another is a decision of the register:
     * <pre>
     * (none)   propose  BINDING   each director fetches, checks and keeps the text, and binds itself
     * BINDING  commit   SETTLING  the target is in force; directors activate it as they hear of it
     * BINDING  abort    (none), or TRIAL where a trial goes on
     * SETTLING settle   (none), or TRIAL where the plan has one: nobody decides by the previous plan any more
     * TRIAL    promote  BINDING   of the plan with the text for all
     * TRIAL    abort    BINDING   of the plan without it
     * </pre>
     */
    public enum Stage { BINDING, SETTLING, TRIAL }

    Change withStage(Stage newStage, long revision, Plan newTarget) {
        return new Change(id, digest, size, by, note, mode, deadlineMs, canary, newStage, revision, newTarget);
    }

    /** Whether the change is being taken back: the target does not have its text. */
    public boolean isWithdrawn() {
        return !target.main().equals(digest) && !target.trial().equals(digest);
    }
}
