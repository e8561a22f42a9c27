package mothcross.net;

import java.io.IOException;
import mothcross.membership.MembershipSnapshot;

/**
 * A thread that stores snapshots one after the other. One snapshot waits at most: a newer one replaces it. Whatever
 * waits is still stored after {@link #stop}.
 */
final class SnapshotWorker {
    /** Stores a snapshot; may wait for the disk. */
    interface Action {
        void store(MembershipSnapshot snapshot) throws IOException;
    }

    /**
     * How storing a snapshot ended.
     *
     * @param error null where it succeeded
     * @param queuedMs from the hand-over until the thread took it
     * @param tookMs from then until it was stored
     */
    record Outcome(MembershipSnapshot snapshot, String error, double queuedMs, double tookMs) { }

    /** Told on the worker's thread of each outcome. */
    interface Listener {
        void ended(Outcome outcome);
    }

    private static final double NANOS_PER_MS = 1e6;

    private final Action action;
    private final Listener listener;
    private final Thread thread;
    private MembershipSnapshot waiting;                     // guarded by this
    private long waitingSinceNanos;                         // guarded by this
    private boolean stopped;                                // guarded by this

    SnapshotWorker(String threadName, Action action, Listener listener) {
        this.action = action;
        this.listener = listener;
        thread = new Thread(this::run, threadName);
        thread.setDaemon(true);
        thread.start();
    }

    synchronized void submit(MembershipSnapshot snapshot) {
        waiting = snapshot;
        waitingSinceNanos = System.nanoTime();
        notifyAll();
    }

    /** Ends the thread once nothing waits. */
    synchronized void stop() {
        stopped = true;
        notifyAll();
    }

    /** Ends the thread without storing what waits. */
    synchronized void stopAndDiscard() {
        waiting = null;
        stop();
    }

    /** Waits for the thread to end. */
    void join() throws InterruptedException {
        thread.join();
    }

    /** Waits for the thread to end; false where it has not within {@code timeoutMs}. */
    boolean join(long timeoutMs) throws InterruptedException {
        if (timeoutMs > 0) thread.join(timeoutMs);
        return !thread.isAlive();
    }

    private void run() {
        while (true) {
            MembershipSnapshot snapshot;
            long handedOverNanos;
            synchronized (this) {
                try {
                    while (waiting == null && !stopped) wait();
                } catch (InterruptedException e) {
                    return;
                }
                if (waiting == null) return;
                snapshot = waiting;
                handedOverNanos = waitingSinceNanos;
                waiting = null;
            }
            listener.ended(store(snapshot, handedOverNanos));
        }
    }

    private Outcome store(MembershipSnapshot snapshot, long handedOverNanos) {
        long startedNanos = System.nanoTime();
        String error = null;
        try {
            action.store(snapshot);
        } catch (IOException | RuntimeException e) {
            error = e.getClass().getSimpleName() + ": " + e.getMessage();
        }
        long endedNanos = System.nanoTime();
        return new Outcome(snapshot, error, (startedNanos - handedOverNanos) / NANOS_PER_MS,
            (endedNanos - startedNanos) / NANOS_PER_MS);
    }
}
