package mothcross.net;

/**
 * How long answers take, by workload, and from when on one that has not come is unusual: smoothed time and deviation as
 * TCP has them for its retransmission timer (RFC 6298), whose gains and start these are. Owns the estimates; must never
 * be told of what did not come, nor read a clock.
 */
final class AnswerTimes {
    private static final double FIRST_MS = 1000, TIME_GAIN = 0.125, DEVIATION_GAIN = 0.25, DEVIATIONS = 4;
    private static final int MOST_DOUBLINGS = 6;
    private final double[] time, deviation;

    AnswerTimes(int workloads) {
        time = new double[workloads];
        deviation = new double[workloads];
    }

    void record(int workload, double ms) {
        if (time[workload] == 0) {
            time[workload] = ms;
            deviation[workload] = ms / 2;
            return;
        }
        deviation[workload] += DEVIATION_GAIN * (Math.abs(ms - time[workload]) - deviation[workload]);
        time[workload] += TIME_GAIN * (ms - time[workload]);
    }

    /** From when on silence is unusual, doubled with each time that it turned out to be none. */
    double unusualAfterMs(int workload, int wrongly) {
        double usual = time[workload] == 0 ? FIRST_MS : time[workload] + DEVIATIONS * deviation[workload];
        return usual * (1 << Math.min(wrongly, MOST_DOUBLINGS));
    }
}
