package mothcross.fleet;

/**
 * What part of a limit this director may use, in parts of the fixed one. {@code fixed} directors have one part each.
 * Parts of those that have ended, and of nobody who may still run, go to the others evenly, as long as this one hears
 * from the fleet: after {@code lease} without that it is back at its own. A director that has just come in, to a view
 * of more than half of them, uses none for {@code lease} and {@code spread}: whoever has its part lets go of it by
 * then, having heard of it or having heard nothing; one alone can't know who has it, and waits. Spans on the own clock
 * only. Owns no more than these times; must never grow by what it has not been told.
 */
public final class LimitShare {
    private final int fixed;
    private final double lease, spread;
    private double inSince = Double.NaN, sureAt = Double.NEGATIVE_INFINITY;
    private long life;

    public LimitShare(int fixed, double lease, double spread) {
        this.fixed = fixed;
        this.lease = lease;
        this.spread = spread;
    }

    /** To be asked often; {@code in}: it takes part, in this life. */
    public double multiplier(double now, boolean in, long ofLife, boolean sure, int members, int ended) {
        if (in && 2 * members > fixed && (Double.isNaN(inSince) || ofLife != life)) {
            inSince = now;
            life = ofLife;
        }
        if (sure) sureAt = now;
        if (Double.isNaN(inSince) || now - inSince < lease + spread) return 0;
        if (members > fixed) return (double) fixed / members;
        if (now - sureAt >= lease || ended == 0) return 1;
        int lent = Math.min(ended, fixed - members);
        return 1 + (double) lent / members;
    }
}
