package mothcross.route;

import java.util.Arrays;

/**
 * A token-bucket rate limiter for each key, with memory for a fixed number of keys. A bucket holds up to {@code burst}
 * tokens and refills at a constant rate. Keys are stored by hash in sets of {@link #WAYS} entries, like a
 * set-associative cache.
 *
 * <p>Where a set is full, the key with the fullest bucket is evicted, since it loses the least: a key that is being
 * rate-limited is evicted only for {@link #WAYS} others that are as empty. A flood of new keys therefore never costs
 * another key any tokens, and an evicted key gains less than {@code burst}. The memory does not grow, and the time is
 * passed in.
 */
public final class RateLimiter {
    static final int WAYS = 8;
    private static final double MS_PER_SECOND = 1000;
    private static final long NO_KEY = 0;

    /** At this director's current share. */
    private double tokensPerMs;
    /** At this director's current share. */
    private double burst;
    private final double fullTokensPerMs;
    private final double fullBurst;
    private final long[] keys;
    private final double[] tokens;
    private final double[] updatedAt;
    private long evictions;

    /**
     * A limiter with full buckets.
     *
     * @param maxKeys rounded up to a power of two, and to at least {@link #WAYS}
     */
    public RateLimiter(double ratePerSecond, double burst, int maxKeys) {
        int capacity = Integer.highestOneBit(Math.max(WAYS, maxKeys) * 2 - 1);
        keys = new long[capacity];
        tokens = new double[capacity];
        updatedAt = new double[capacity];
        fullTokensPerMs = ratePerSecond / MS_PER_SECOND;
        fullBurst = burst;
        this.tokensPerMs = fullTokensPerMs;
        this.burst = fullBurst;
    }

    private RateLimiter(RateLimiter previous, double ratePerSecond, double burst) {
        keys = previous.keys;
        tokens = previous.tokens;
        updatedAt = previous.updatedAt;
        evictions = previous.evictions;
        fullTokensPerMs = ratePerSecond / MS_PER_SECOND;
        fullBurst = burst;
        this.tokensPerMs = fullTokensPerMs;
        this.burst = fullBurst;
    }

    /** Scales the rate and burst that it was created with by {@code share}; 0: nothing passes. */
    void setShare(double share) {
        tokensPerMs = fullTokensPerMs * share;
        burst = share > 0 ? Math.max(1, fullBurst * share) : 0;
    }

    /** A limiter with other rates that shares this one's buckets, so that used tokens stay used. */
    public RateLimiter withRates(double newRatePerSecond, double newBurst) {
        return new RateLimiter(this, newRatePerSecond, newBurst);
    }

    /** How many keys can be stored. */
    public int capacity() {
        return keys.length;
    }

    /** How many keys were evicted while their bucket was not full. */
    public long evictions() {
        return evictions;
    }

    /**
     * Takes a token of the key with this hash.
     *
     * @return 0 where there was one; otherwise after how many ms to retry, infinite where nothing passes
     */
    public double acquire(long hash, double now) {
        long key = hash == NO_KEY ? 1 : hash;
        int setStart = (int) (key >>> 32) & keys.length - WAYS;
        int slot = -1;
        double mostTokens = -1;
        for (int i = setStart; i < setStart + WAYS; i++) {
            if (keys[i] == key) {
                slot = i;
                break;
            }
            double available = keys[i] == NO_KEY ? Double.POSITIVE_INFINITY : refilledTokens(i, now);
            if (available <= mostTokens) continue;
            mostTokens = available;
            slot = i;
        }
        if (keys[slot] != key) {
            if (keys[slot] != NO_KEY && mostTokens < burst) evictions++;
            keys[slot] = key;
            tokens[slot] = burst;
        } else {
            tokens[slot] = refilledTokens(slot, now);
        }
        updatedAt[slot] = now;
        if (tokens[slot] >= 1) {
            tokens[slot]--;
            return 0;
        }
        return tokensPerMs > 0 ? (1 - tokens[slot]) / tokensPerMs : Double.POSITIVE_INFINITY;
    }

    private double refilledTokens(int slot, double now) {
        return Math.min(burst, tokens[slot] + Math.max(0, now - updatedAt[slot]) * tokensPerMs);
    }

    /** How many keys have less than a full bucket. */
    public int limitedKeys(double now) {
        int count = 0;
        for (int i = 0; i < keys.length; i++) {
            if (keys[i] != NO_KEY && refilledTokens(i, now) < burst) count++;
        }
        return count;
    }

    @Override public String toString() {
        return "keys " + Arrays.stream(keys).filter(key -> key != NO_KEY).count() + " of " + keys.length;
    }
}
