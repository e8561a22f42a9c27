package mothcross.net;

/**
 * Estimates, by workload, how long nodes take to answer, and from when on a missing answer is unusual. The smoothed
 * time and deviation, their gains and their initial values are those of TCP's retransmission timer (RFC 6298). Only
 * answers that arrived are recorded.
 */
final class AnswerTimes {
    private static final double INITIAL_MS = 1000;
    private static final double TIME_GAIN = 0.125;
    private static final double DEVIATION_GAIN = 0.25;
    private static final double DEVIATIONS = 4;
    private static final int MAX_DOUBLINGS = 6;

    private final double[] smoothedMs;
    private final double[] deviationMs;

    AnswerTimes(int workloads) {
        smoothedMs = new double[workloads];
        deviationMs = new double[workloads];
    }

    void record(int workload, double ms) {
        if (smoothedMs[workload] == 0) {
            smoothedMs[workload] = ms;
            deviationMs[workload] = ms / 2;
            return;
        }
        deviationMs[workload] += DEVIATION_GAIN * (Math.abs(ms - smoothedMs[workload]) - deviationMs[workload]);
        smoothedMs[workload] += TIME_GAIN * (ms - smoothedMs[workload]);
    }

    /** After how many ms silence is unusual, doubled for each liveness probe that the node has answered. */
    double unusualAfterMs(int workload, int falseSuspicions) {
        double usualMs = smoothedMs[workload] == 0 ? INITIAL_MS
            : smoothedMs[workload] + DEVIATIONS * deviationMs[workload];
        return usualMs * (1 << Math.min(falseSuspicions, MAX_DOUBLINGS));
    }
}
