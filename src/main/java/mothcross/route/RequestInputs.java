package mothcross.route;

import mothcross.expr.Inputs;
import mothcross.expr.Type;

/**
 * The inputs that a routing expression may read of a lookup: names, types, bounds, and whether a client's retry has the
 * same value. An input that the protocol does not bound has no bound until the operators declare one.
 */
public final class RequestInputs {
    /** Numbers by which {@link mothcross.expr.Frame.Request} is asked for an input. */
    public static final int WORKLOAD = 0, OBJECT = 1, PART = 2, TARGET = 3, GROUP = 4, SIZE = 5, WAIT = 6, RETRY = 7,
        CLIENT = 8;
    static final int MAX_NAME_BYTES = 64;
    /** An object is sent as at most 16 hex digits. */
    private static final int OBJECT_BYTES = 16;

    private RequestInputs() { }

    /** The inputs before the operators declare any. */
    public static Inputs inputs() {
        Inputs.Overflow truncate = Inputs.Overflow.TRUNCATE;
        return new Inputs()
            .add("workload", Type.bytes(MAX_NAME_BYTES), WORKLOAD, truncate, true)
            .add("object", Type.bytes(OBJECT_BYTES), OBJECT, truncate, true)
            .add("part", Type.INT.asOptional(), PART, truncate, true)
            .add("target", Type.bytes(Type.UNBOUNDED), TARGET, truncate, true)
            .add("group", Type.INT.asOptional(), GROUP, truncate, true)
            .add("size", Type.SIZE.asOptional(), SIZE, truncate, true)
            .add("wait", Type.DURATION.asOptional(), WAIT, truncate, false)
            .add("retry", Type.BOOL, RETRY, truncate, false)
            .add("client", Type.ADDRESS, CLIENT, truncate, false);
    }
}
