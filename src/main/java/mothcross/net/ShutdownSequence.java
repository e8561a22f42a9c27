package mothcross.net;

/**
 * The shutdown of a director's process as a state machine; the caller passes the time in. No state ends while an
 * answer is owed and there is time left for it.
 * <pre>
 * state       behaviour                                              left when
 * SERVING     clients are accepted, /-/healthy reports ready         SIGTERM: DRAINING
 * DRAINING    /-/healthy reports not ready; new requests are         no request can arrive any more (time of the
 *             answered, and every answer closes its connection       protocol page) and none waits to be accepted:
 *                                                                    CLOSING
 * CLOSING     nothing listens; idle connections are closed, open     no client is left, or time is up: TERMINATED
 *             requests are answered; past answerDeadline they fail
 *             at once
 * TERMINATED  the process may exit: no answer is owed
 * </pre>
 */
final class ShutdownSequence {
    enum State { SERVING, DRAINING, CLOSING, TERMINATED }

    // Times of the protocol page for a planned restart.
    /** How long requests may still arrive after SIGTERM. */
    static final double LATE_ARRIVALS_MS = 700;
    /** The longest client deadline that is waited for. */
    static final double MAX_ANSWER_MS = 3000;
    /** Time left for the last answers to be delivered. */
    static final double MARGIN_MS = 150;
    /** Without a new client for this long, none is waiting to be accepted. */
    static final double QUIET_MS = 50;

    private State state = State.SERVING;
    private double startedAt;
    private double answerDeadline;

    /** Starts the shutdown; {@code longestMs} is the longest that a client waits, by the settings. */
    void start(double now, double longestMs) {
        if (state != State.SERVING) return;
        state = State.DRAINING;
        startedAt = now;
        answerDeadline = now + LATE_ARRIVALS_MS + Math.min(MAX_ANSWER_MS, longestMs) - MARGIN_MS;
    }

    State state() {
        return state;
    }

    /** When requests that are still open have to fail for their answers to arrive in time. */
    double answerDeadline() {
        return answerDeadline;
    }

    /** When the platform may kill the process. */
    double killAt() {
        return answerDeadline + MARGIN_MS;
    }

    /**
     * Advances to the state of {@code now}; {@code lastAcceptedAt} is when the last client was accepted, and
     * {@code clients} the number of connections that are not closed yet.
     */
    State step(double now, double lastAcceptedAt, int clients) {
        boolean quiet = now >= lastAcceptedAt + QUIET_MS || now >= answerDeadline;
        boolean noMoreArrivals = now >= startedAt + LATE_ARRIVALS_MS && quiet;
        if (state == State.DRAINING && noMoreArrivals) state = State.CLOSING;
        // Half of the margin: the process exits before the platform kills it, and after its last answers.
        if (state == State.CLOSING && (clients == 0 || now >= answerDeadline + MARGIN_MS / 2)) state = State.TERMINATED;
        return state;
    }
}
