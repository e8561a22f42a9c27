package mothcross.net;

/**
 * The end of a director's process as states; time is passed in. Owns when each begins; must never end one while an
 * answer is owed and there is time for it.
 * <pre>
 * state     what holds                                              left
 * SERVING   clients are taken, /-/healthy says ready                told to end: DRAINING
 * DRAINING  /-/healthy says no; what comes is taken and answered,   nothing can come any more (the protocol page's
 *           and every answer ends its connection                    time) and nobody waits to be taken: CLOSING
 * CLOSING   nothing listens; who rests finds our side shut, who     no client is left, or the bound: OUT
 *           has asked is answered; past answeredBy what is open
 *           is given up at once
 * OUT       the process may go: nothing is owed
 * </pre>
 */
final class ShutdownSequence {
    enum State { SERVING, DRAINING, CLOSING, TERMINATED }

    // The protocol page's figures for a planned restart: how long requests may still come, the longest deadline that
    // is waited for, how long nobody has to have come for none to be waiting. MARGIN: the time of the last answers.
    static final double LATE_ARRIVALS_MS = 700, MAX_ANSWER_MS = 3000, MARGIN_MS = 150, QUIET_MS = 50;

    private State state = State.SERVING;
    private double toldAt, answerDeadline;

    /** {@code longestMs}: the longest that a client waits, by the settings. */
    void start(double now, double longestMs) {
        if (state != State.SERVING) return;
        state = State.DRAINING;
        toldAt = now;
        answerDeadline = now + LATE_ARRIVALS_MS + Math.min(MAX_ANSWER_MS, longestMs) - MARGIN_MS;
    }

    State state() {
        return state;
    }

    /** When what is still open has to be given up, for its answer to arrive. */
    double answerDeadline() {
        return answerDeadline;
    }

    /** {@code cameAt}: when the last client was taken; {@code clients}: how many connections are not closed yet. */
    State step(double now, double cameAt, int clients) {
        boolean nobodyComes = now >= toldAt + LATE_ARRIVALS_MS && (now >= cameAt + QUIET_MS || now >= answerDeadline);
        if (state == State.DRAINING && nobodyComes) state = State.CLOSING;
        // Half of what is left: the end comes before the platform's, and the last answers before it.
        if (state == State.CLOSING && (clients == 0 || now >= answerDeadline + MARGIN_MS / 2)) state = State.TERMINATED;
        return state;
    }
}
