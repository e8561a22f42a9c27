package mothcross.emulator;

/** A hop as nodes see it: what it requests and whether a client still waits. It completes at most once. */
final class Hop {
    /**
     * Receives the outcome and note, as defined by {@link mothcross.Director}, and how long the source was waited for.
     */
    interface CompletionListener {
        void completed(int outcome, int note, double sourceWaitMs, CacheStore.Copy copy);
    }

    final long key;
    final int group;
    final int rank;
    final int flags;
    final double kb;
    final double fullRateMs;
    final double maxAgeMs;
    final double sentAt;
    /** The source of a fill; null for a cache-only hop. */
    final SimulatedNode source;
    private final CompletionListener listener;
    boolean over;
    /** Whether its outcome proves that the request did not run. */
    boolean neverRan;
    BandwidthLink.Job transfer;
    BandwidthLink transferLink;

    Hop(long key, int group, double kb, double fullRateMs, SimulatedNode source, int rank, double maxAgeMs, int flags,
        double sentAt, CompletionListener listener) {
        this.key = key;
        this.group = group;
        this.kb = kb;
        this.fullRateMs = fullRateMs;
        this.source = source;
        this.rank = rank;
        this.maxAgeMs = maxAgeMs;
        this.flags = flags;
        this.sentAt = sentAt;
        this.listener = listener;
    }

    void complete(int outcome, int note, double sourceWaitMs, CacheStore.Copy copy) {
        if (over) return;
        over = true;
        listener.completed(outcome, note, sourceWaitMs, copy);
    }

    /** Ends the hop without a completion and stops its transfer. */
    void cancel() {
        over = true;
        if (transfer != null) transferLink.cancel(transfer);
    }
}
