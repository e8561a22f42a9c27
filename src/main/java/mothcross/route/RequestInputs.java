package mothcross.route;

import mothcross.expr.Inputs;
import mothcross.expr.Type;

/**
 * What a route may read of a lookup: names, types, bounds, and what a client's retry keeps the same. Owns the numbers
 * that the edge answers to. What is not bounded by the protocol has no bound until the operators give it one.
 */
public final class RequestInputs {
    public static final int WORKLOAD = 0, OBJECT = 1, PART = 2, TARGET = 3, GROUP = 4, SIZE = 5, WAIT = 6, RETRY = 7,
        CLIENT = 8;
    static final int MAX_NAME_BYTES = 64;

    private RequestInputs() { }

    /** The inputs before the operators declare any. */
    public static Inputs inputs() {
        Inputs.Overflow cut = Inputs.Overflow.TRUNCATE;
        return new Inputs().add("workload", Type.bytes(MAX_NAME_BYTES), WORKLOAD, cut, true)
            .add("object", Type.bytes(16), OBJECT, cut, true)
            .add("part", Type.INT.asOptional(), PART, cut, true)
            .add("target", Type.bytes(Type.UNBOUNDED), TARGET, cut, true)
            .add("group", Type.INT.asOptional(), GROUP, cut, true)
            .add("size", Type.SIZE.asOptional(), SIZE, cut, true)
            .add("wait", Type.DURATION.asOptional(), WAIT, cut, false)
            .add("retry", Type.BOOL, RETRY, cut, false)
            .add("client", Type.ADDRESS, CLIENT, cut, false);
    }
}
