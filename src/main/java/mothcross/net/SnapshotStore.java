package mothcross.net;

import java.io.IOException;
import mothcross.membership.MembershipSnapshot;
import mothcross.membership.SnapshotFormat;

/**
 * Durable storage of the membership snapshot. It is written at once and synced later; {@link #write} and {@link #sync}
 * are each called by one thread at a time, beside each other, and never under the dispatcher's lock, as they may wait
 * for the disk. A failure is thrown; a snapshot that can't be used is returned as a result with its error.
 */
public interface SnapshotStore {
    /** Reads the newest stored snapshot that is whole; null where there is none yet. */
    SnapshotFormat.Result read(double now, double skewMs);

    /** Acquires the right to write; false where another director has it, in which case this one only reads. */
    boolean acquireWriteLock();

    /** Returns once the snapshot would survive a kill of this process; waits for no sync. */
    void write(MembershipSnapshot snapshot) throws IOException;

    /** Returns once the snapshot, which was written before, would survive a power failure. */
    void sync(MembershipSnapshot snapshot) throws IOException;

    /** Releases the write lock. */
    void close();
}
