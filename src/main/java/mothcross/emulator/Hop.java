package mothcross.emulator;

/** One hop on its way, as boxes see it. Owns what it asks and whether somebody still waits; tells its end once. */
final class Hop {
    /** How a box ends it: outcome and note in the module's words, and how long its source was waited for. */
    interface Ends {
        void end(int outcome, int note, double sourceWait, CacheStore.Copy copy);
    }

    final long key;
    final int group, rank, how;
    final double kb, ownMs, oldest, sentAt;
    final SimulatedNode source;                       // null: none
    private final Ends ends;
    boolean over;
    boolean neverRan;                       // its end proved that it did not
    BandwidthLink.Job sending;
    BandwidthLink on;

    Hop(long key, int group, double kb, double ownMs, SimulatedNode source, int rank, double oldest, int how, double sentAt,
        Ends ends) {
        this.key = key;
        this.group = group;
        this.kb = kb;
        this.ownMs = ownMs;
        this.source = source;
        this.rank = rank;
        this.oldest = oldest;
        this.how = how;
        this.sentAt = sentAt;
        this.ends = ends;
    }

    void end(int outcome, int note, double sourceWait, CacheStore.Copy copy) {
        if (over) return;
        over = true;
        ends.end(outcome, note, sourceWait, copy);
    }

    /** Nobody waits any more: what is being sent stops. */
    void drop() {
        over = true;
        if (sending != null) on.drop(sending);
    }
}
