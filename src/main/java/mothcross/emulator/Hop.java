package mothcross.emulator;

/** One hop on its way, as boxes see it. Owns what it asks and whether somebody still waits; tells its end once. */
final class Hop {
    /** How a box ends it: outcome and note in the module's words, and how long its source was waited for. */
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
    final SimulatedNode source;             // null: none
    private final CompletionListener listener;
    boolean over;
    boolean neverRan;                       // its end proved that it did not
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

    /** Nobody waits any more: what is being sent stops. */
    void cancel() {
        over = true;
        if (transfer != null) transferLink.cancel(transfer);
    }
}
