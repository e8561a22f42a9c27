package mothcross.net;

import java.util.function.Consumer;
import java.util.function.DoubleFunction;
import mothcross.membership.MembershipSnapshot;
import mothcross.membership.SyncScheduler;
import mothcross.membership.WriteScheduler;

/**
 * Decides when the membership is written and when what was written is synced, and keeps both counted. A write survives
 * a kill of the process, a sync also a power failure; writes never wait for a sync.
 * <pre>
 * event                    write                              sync
 * a change                 due within the change's bound      -
 * the write's time comes   the newest state is handed over    -
 * a write succeeded        -                                  due by the same bound; starts unless one is under way
 * a write failed           tried again after a delay          -
 * a sync ended             -                                  starts again where something was written meanwhile
 * a sync failed            -                                  tried again after a delay
 * </pre>
 * Time is passed in, and the threads that store are behind {@code writer} and {@code syncer}. Not thread-safe: called
 * under the dispatcher's lock.
 */
final class SnapshotPersistence {
    private final WriteScheduler writeScheduler;
    private final SyncScheduler syncScheduler = new SyncScheduler();
    private final DoubleFunction<MembershipSnapshot> state;
    private final Consumer<MembershipSnapshot> writer;
    private final Consumer<MembershipSnapshot> syncer;
    private final StorageStageLog writes = new StorageStageLog(StorageStageLog.Stage.WRITE);
    private final StorageStageLog syncs = new StorageStageLog(StorageStageLog.Stage.SYNC);
    private MembershipSnapshot lastWritten;
    private double writeStartedAt;
    private double syncStartedAt;
    private double unsyncedSince = Double.POSITIVE_INFINITY;
    private double syncingSince;

    /**
     * @param state takes the snapshot that is to be written at the given time
     * @param writer hands a snapshot over to be written; {@link #writeEnded} is called when it has been
     * @param syncer hands a snapshot over to be synced; {@link #syncEnded} is called when it has been
     */
    SnapshotPersistence(WriteScheduler writeScheduler, DoubleFunction<MembershipSnapshot> state,
                        Consumer<MembershipSnapshot> writer, Consumer<MembershipSnapshot> syncer) {
        this.writeScheduler = writeScheduler;
        this.state = state;
        this.writer = writer;
        this.syncer = syncer;
    }

    StorageStageLog writes() {
        return writes;
    }

    StorageStageLog syncs() {
        return syncs;
    }

    void setBounds(double urgentMs, double batchMs) {
        writeScheduler.setBounds(urgentMs, batchMs);
    }

    /** The membership has changed; {@code urgent} for a drain, a removal or a purge. */
    void changed(boolean urgent, double now) {
        writeScheduler.changed(urgent, now);
    }

    /** Hands over what is due; returns when to call it again, infinite until the next change or end of a write. */
    double advance(double now) {
        if (writeScheduler.nextWriteAt() <= now) startWrite(now);
        if (syncScheduler.nextSyncAt() <= now) startSync(now);
        return Math.min(writeScheduler.nextWriteAt(), syncScheduler.nextSyncAt());
    }

    /** From now on all is handed over without waiting for its time; for the end of the process. */
    void flush(double now) {
        writeScheduler.flush();
        advance(now);
    }

    private void startWrite(double now) {
        writeStartedAt = now;
        writeScheduler.writeStarted(now);
        writer.accept(state.apply(now));
    }

    private void startSync(double now) {
        syncStartedAt = now;
        syncingSince = unsyncedSince;
        unsyncedSince = Double.POSITIVE_INFINITY;
        syncScheduler.syncStarted();
        syncer.accept(lastWritten);
    }

    void writeEnded(SnapshotWorker.Outcome outcome, double now) {
        boolean succeeded = outcome.error() == null;
        double dueAt = writeScheduler.writingDueAt();
        writes.ended(outcome, now - dueAt, writeStartedAt - writeScheduler.writingChangedAt());
        writeScheduler.writeEnded(succeeded, now);
        if (!succeeded) return;
        lastWritten = outcome.snapshot();
        unsyncedSince = Math.min(unsyncedSince, now);
        syncScheduler.written(dueAt);
    }

    void syncEnded(SnapshotWorker.Outcome outcome, double now) {
        boolean succeeded = outcome.error() == null;
        syncs.ended(outcome, now - syncScheduler.syncingDueAt(), syncStartedAt - syncingSince);
        if (!succeeded) unsyncedSince = Math.min(unsyncedSince, syncingSince);
        syncScheduler.syncEnded(succeeded, now);
    }

    /** Logs changes that are later than their bound; to be called about twice a second. */
    void checkBounds(double now) {
        writes.check(writeScheduler.dueAt(), now);
        syncs.check(syncScheduler.dueAt(), now);
    }

    /** Its part of the line of counters. */
    String counterText() {
        return writes.counterText() + ", " + syncs.counterText();
    }
}
