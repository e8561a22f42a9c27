package mothcross.policy;

import java.util.List;

/**
 * What directors decide lookups by: the text in force and, during a trial, the text on trial and the lookups it is for.
 * A number belongs to one committed plan for ever. With {@code leases} on, a director decides lookups only while it has
 * a lease on this plan from the voters. Texts are named by their digests; "" is the empty text, without rules.
 */
public record Plan(long number, String main, String trial, Canary canary, boolean leases) {
    /** The plan before any was committed. */
    public static final Plan FIRST = new Plan(0, "", "", Canary.NONE, false);

    /** What the text on trial decides: all lookups at the named directors, or a share of the objects at all of them. */
    public record Canary(List<String> names, double share) {
        public static final Canary NONE = new Canary(List.of(), 0);

        public boolean isNone() {
            return names.isEmpty() && share == 0;
        }
    }

    boolean isTrial() {
        return !canary.isNone();
    }

    /**
     * Digest of the text that decides a lookup of this object at this director; with a share it is the same at all
     * directors.
     */
    public String textFor(String director, long objectHash) {
        return isOnTrial(director, objectHash) ? trial : main;
    }

    /** Whether the text on trial decides a lookup of this object at this director. */
    public boolean isOnTrial(String director, long objectHash) {
        if (canary.isNone()) return false;
        if (!canary.names().isEmpty()) return canary.names().contains(director);
        return (mix(objectHash) >>> 11) * 0x1p-53 < canary.share();
    }

    /** The finalizer of a 64-bit mixing hash. */
    private static long mix(long hash) {
        long mixed = (hash ^ hash >>> 30) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
        return mixed ^ mixed >>> 31;
    }
}
