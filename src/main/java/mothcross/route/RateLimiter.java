package mothcross.route;

import java.util.Arrays;

/**
 * So many lookups a second and at once for each key, with memory for a fixed number of keys. Each key has a bucket of
 * {@code atOnce} that fills with {@code perMs}; keys rest by hash in sets of {@link #WAYS}. Where a set is full the
 * key that
 * has most in its bucket is forgotten, which is the one that lost least: one that is being held back is forgotten only
 * for {@link #WAYS} others held back as much. So a flood of new keys never takes from a key, and what a forgotten key
 * may have
 * too much is less than {@code atOnce}. Owns the buckets; must never read a clock, nor grow.
 */
public final class RateLimiter {
    static final int WAYS = 8;
    private double perMs, atOnce;                           // this director's part of them
    private final double fullPerMs, fullAtOnce;
    private final long[] keys;                              // 0: nobody
    private final double[] left, at;
    private long evictions;

    /** {@code keys} is rounded up to a power of two, {@link #WAYS} at least. */
    public RateLimiter(double perS, double atOnce, int keys) {
        int n = Integer.highestOneBit(Math.max(WAYS, keys) * 2 - 1);
        this.keys = new long[n];
        left = new double[n];
        at = new double[n];
        this.perMs = fullPerMs = perS / 1000;
        this.atOnce = fullAtOnce = atOnce;
    }

    /** The same keys under other rates: what each has used stays. */
    private RateLimiter(RateLimiter from, double perS, double atOnce) {
        keys = from.keys;
        left = from.left;
        at = from.at;
        evictions = from.evictions;
        this.perMs = fullPerMs = perS / 1000;
        this.atOnce = fullAtOnce = atOnce;
    }

    /** From now on so many times the part that it was made with; 0: nothing passes. */
    void setShare(double share) {
        perMs = fullPerMs * share;
        atOnce = share > 0 ? Math.max(1, fullAtOnce * share) : 0;
    }

    public RateLimiter withRates(double perS, double most) {
        return new RateLimiter(this, perS, most);
    }

    public int capacity() {
        return keys.length;
    }

    /** How many keys were forgotten while they did not have all of their bucket. */
    public long evictions() {
        return evictions;
    }

    /** 0 where the key may go on, and one of its bucket is taken; else in how many ms it may come back. */
    public double acquire(long hash, double now) {
        long key = hash == 0 ? 1 : hash;
        int set = (int) (key >>> 32) & keys.length - WAYS, best = -1;
        double most = -1;
        for (int i = set; i < set + WAYS; i++) {
            if (keys[i] == key) {
                best = i;
                break;
            }
            double has = keys[i] == 0 ? Double.POSITIVE_INFINITY : filled(i, now);
            if (has <= most) continue;
            most = has;
            best = i;
        }
        if (keys[best] != key) {
            if (keys[best] != 0 && most < atOnce) evictions++;
            keys[best] = key;
            left[best] = atOnce;
        } else {
            left[best] = filled(best, now);
        }
        at[best] = now;
        if (left[best] >= 1) {
            left[best]--;
            return 0;
        }
        return perMs > 0 ? (1 - left[best]) / perMs : Double.POSITIVE_INFINITY;
    }

    private double filled(int i, double now) {
        return Math.min(atOnce, left[i] + Math.max(0, now - at[i]) * perMs);
    }

    /** How many keys have less than all of their bucket. */
    public int limitedKeys(double now) {
        int n = 0;
        for (int i = 0; i < keys.length; i++) if (keys[i] != 0 && filled(i, now) < atOnce) n++;
        return n;
    }

    @Override public String toString() {
        return "keys " + Arrays.stream(keys).filter(k -> k != 0).count() + " of " + keys.length;
    }
}
