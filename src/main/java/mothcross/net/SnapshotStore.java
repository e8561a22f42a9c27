package mothcross.net;

import java.io.IOException;
import mothcross.membership.MembershipSnapshot;
import mothcross.membership.SnapshotFormat;

/**
 * Where the kept list rests. Called by one thread at a time and never under the desk's lock; failures to write
 * are thrown, what can't be used when reading is a result with its reason.
 */
public interface SnapshotStore {
    /** What rests there; null where there is nothing yet. */
    SnapshotFormat.Result read(double now, double skew);

    /** False where another director writes there; this one then only reads. */
    boolean acquireWriteLock();

    /** Returns once the list would survive a cut of power. */
    void write(MembershipSnapshot list) throws IOException;

    void close();
}
