package mothcross.expr;

import java.util.Locale;

/**
 * The static type of an expression: its kind, whether the value may be absent, and, for bytes, the maximum length
 * ({@link #UNBOUNDED} if a client may send any length). Types are derived by the compiler from the declared inputs and
 * never from a value at run time.
 */
public record Type(Kind kind, boolean optional, long maxLength) {
    /** Durations are milliseconds and sizes are bytes, both held as doubles; addresses are 4 or 16 bytes. */
    public enum Kind { BOOL, INT, DOUBLE, BYTES, DURATION, SIZE, ADDRESS }

    /** The {@code maxLength} of bytes whose length is not limited. */
    public static final long UNBOUNDED = Long.MAX_VALUE;

    public static final Type BOOL = of(Kind.BOOL);
    public static final Type INT = of(Kind.INT);
    public static final Type DOUBLE = of(Kind.DOUBLE);
    public static final Type DURATION = of(Kind.DURATION);
    public static final Type SIZE = of(Kind.SIZE);
    public static final Type ADDRESS = of(Kind.ADDRESS);

    private static Type of(Kind kind) {
        return new Type(kind, false, 0);
    }

    /** Bytes of at most {@code maxLength}, always present. */
    public static Type bytes(long maxLength) {
        return new Type(Kind.BYTES, false, maxLength);
    }

    /** This type for a value that may be absent. */
    public Type asOptional() {
        return new Type(kind, true, maxLength);
    }

    /** This type for a value that is always present. */
    public Type asRequired() {
        return new Type(kind, false, maxLength);
    }

    boolean is(Kind expected) {
        return kind == expected && !optional;
    }

    /** Whether values of this type are held as a double. */
    boolean isFractional() {
        return kind == Kind.DOUBLE || kind == Kind.DURATION || kind == Kind.SIZE;
    }

    @Override public String toString() {
        String name = kind.name().toLowerCase(Locale.ROOT);
        if (kind == Kind.BYTES) name += maxLength == UNBOUNDED ? " of any length" : " of at most " + maxLength;
        return optional ? "optional " + name : name;
    }
}
