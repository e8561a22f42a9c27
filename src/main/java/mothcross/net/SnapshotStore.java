package mothcross.net;

import java.io.IOException;
import mothcross.membership.MembershipSnapshot;
import mothcross.membership.SnapshotFormat;

/**
 * Durable storage of the membership snapshot. Called by one thread at a time and never under the dispatcher's lock,
 * as it may wait for the disk. A failed write is thrown; a snapshot that can't be used is returned as a result with
 * its error.
 */
public interface SnapshotStore {
    /** Reads the stored snapshot; null where there is none yet. */
    SnapshotFormat.Result read(double now, double skewMs);

    /** Acquires the right to write; false where another director has it, in which case this one only reads. */
    boolean acquireWriteLock();

    /** Returns once the snapshot would survive a power failure. */
    void write(MembershipSnapshot snapshot) throws IOException;

    /** Releases the write lock. */
    void close();
}
