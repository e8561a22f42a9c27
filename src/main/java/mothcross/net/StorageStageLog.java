package mothcross.net;

import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts the writes or the syncs of snapshots, and logs when they begin and cease to fail or to be later than their
 * bound. A late one is logged with where its time went: before the hand-over to the thread, waiting for the thread, or
 * in the disk. Not thread-safe: called under the dispatcher's lock.
 */
final class StorageStageLog {
    private static final Logger LOG = LoggerFactory.getLogger(PersistentMembership.class);

    /** The two ways in which a snapshot is stored, with the promise each keeps. */
    enum Stage {
        WRITE("written", "a kill of this process"),
        SYNC("synced", "a power failure");

        private final String participle;
        private final String survives;

        Stage(String participle, String survives) {
            this.participle = participle;
            this.survives = survives;
        }
    }

    private final Stage stage;
    private boolean failing;
    private boolean late;
    private long completed;
    private long failed;
    private long lateCount;
    private double longestMs;

    StorageStageLog(Stage stage) {
        this.stage = stage;
    }

    long completed() {
        return completed;
    }

    long failed() {
        return failed;
    }

    /** How often changes were later than their bound; a series that is late without interruption counts once. */
    long lateCount() {
        return lateCount;
    }

    /**
     * Records an outcome.
     *
     * @param lateMs how long after its bound it ended; negative where it was in time
     * @param waitedMs from the change until the hand-over
     */
    void ended(SnapshotWorker.Outcome outcome, double lateMs, double waitedMs) {
        longestMs = Math.max(longestMs, outcome.tookMs());
        if (outcome.error() == null) {
            completed++;
            if (failing) LOG.atInfo().log("list: snapshot can be {} again", stage.participle);
        } else {
            failed++;
            if (!failing) {
                LOG.atWarn().addKeyValue("why", outcome.error()).log("list: snapshot can't be {}; the stored one ages",
                    stage.participle);
            }
        }
        failing = outcome.error() != null;
        if (failing) return;
        if (lateMs > 0) reportLate(lateMs, waitedMs, outcome.queuedMs(), outcome.tookMs());
        else inTime();
    }

    /** To be called at intervals; {@code dueAt} is when the oldest change that waits has to be stored. */
    void check(double dueAt, double now) {
        if (now > dueAt && !late) reportLate(now - dueAt, Double.NaN, Double.NaN, Double.NaN);
    }

    private void reportLate(double lateMs, double waitedMs, double queuedMs, double tookMs) {
        if (late) return;
        late = true;
        lateCount++;
        var line = LOG.atWarn().addKeyValue("late_ms", Math.round(lateMs));
        if (!Double.isNaN(tookMs)) {
            line = line.addKeyValue("waited_ms", Math.round(waitedMs)).addKeyValue("queued_ms", Math.round(queuedMs))
                .addKeyValue("took_ms", Math.round(tookMs));
        }
        line.log("list: changes are not {} within their bound; {} may forget them", stage.participle, stage.survives);
    }

    private void inTime() {
        if (!late) return;
        late = false;
        LOG.atInfo().log("list: changes are {} within their bound again", stage.participle);
    }

    /** The stage's part of the line of counters. */
    String counterText() {
        return String.format(Locale.ROOT, "%s %d (failed %d, late %d, longest %.0f ms)", stage.participle, completed,
            failed, lateCount, longestMs);
    }
}
