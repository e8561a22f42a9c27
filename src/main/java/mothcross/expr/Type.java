package mothcross.expr;

/**
 * What an expression is worth: a kind, whether it may be absent, and for bytes the most there can be
 * ({@link #UNBOUNDED}: as many as a client sends). Owns the words for it; must never be guessed from a value.
 */
public record Type(Kind kind, boolean optional, long maxLength) {
    /** Durations are ms and sizes bytes, both as numbers with a fraction; addresses are 4 or 16 bytes. */
    public enum Kind { BOOL, INT, DOUBLE, BYTES, DURATION, SIZE, ADDRESS }

    public static final long UNBOUNDED = Long.MAX_VALUE;
    public static final Type BOOL = of(Kind.BOOL), INT = of(Kind.INT), DOUBLE = of(Kind.DOUBLE),
        DURATION = of(Kind.DURATION), SIZE = of(Kind.SIZE), ADDRESS = of(Kind.ADDRESS);

    private static Type of(Kind k) {
        return new Type(k, false, 0);
    }

    public static Type bytes(long most) {
        return new Type(Kind.BYTES, false, most);
    }

    public Type asOptional() {
        return new Type(kind, true, maxLength);
    }

    public Type asRequired() {
        return new Type(kind, false, maxLength);
    }

    boolean is(Kind k) {
        return kind == k && !optional;
    }

    /** Kinds that are held as a number with a fraction. */
    boolean isFractional() {
        return kind == Kind.DOUBLE || kind == Kind.DURATION || kind == Kind.SIZE;
    }

    @Override public String toString() {
        String k = kind.name().toLowerCase(java.util.Locale.ROOT);
        if (kind == Kind.BYTES) k += maxLength == UNBOUNDED ? " of any length" : " of at most " + maxLength;
        return optional ? "optional " + k : k;
    }
}
