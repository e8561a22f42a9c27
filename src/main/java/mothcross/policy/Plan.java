package mothcross.policy;

import java.util.List;

/**
 * What directors decide by: the text in force, and, while one is tried, that one and for which lookups. Numbered; each
 * number is one committed plan for ever. {@code leases}: a director decides only while voters have lately told it that
 * this is the plan. Texts are named by their digests; "" is no text: no rules.
 */
public record Plan(long number, String main, String trial, Canary canary, boolean leases) {
    public static final Plan FIRST = new Plan(0, "", "", Canary.NONE, false);

    /** Who tries: the directors named, or this share of objects at all of them. */
    public record Canary(List<String> names, double share) {
        public static final Canary NONE = new Canary(List.of(), 0);

        public boolean isNone() {
            return names.isEmpty() && share == 0;
        }
    }

    boolean isTrial() {
        return !canary.isNone();
    }

    /** The text that decides a lookup of this object at this director; the same at all for a share. */
    public String textFor(String director, long objectHash) {
        return isOnTrial(director, objectHash) ? trial : main;
    }

    public boolean isOnTrial(String director, long objectHash) {
        if (canary.isNone()) return false;
        if (!canary.names().isEmpty()) return canary.names().contains(director);
        return (mix(objectHash) >>> 11) * 0x1p-53 < canary.share();
    }

    private static long mix(long x) {                       // finalizer of a 64-bit mixing hash
        long y = (x ^ x >>> 30) * 0xbf58476d1ce4e5b9L;
        y = (y ^ y >>> 27) * 0x94d049bb133111ebL;
        return y ^ y >>> 31;
    }
}
