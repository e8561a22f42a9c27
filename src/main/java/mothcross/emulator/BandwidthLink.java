package mothcross.emulator;

import java.util.PriorityQueue;

/**
 * A network link or the uplink of a node: carries a number of flows at full rate; above that, all flows get an equal
 * share. All running jobs advance equally, so the job that needs least ends first. A job leaves the link only by
 * completion, {@link #cancel} or {@link #cancelAll}.
 */
final class BandwidthLink {
    /** One transfer: the work it needs, in ms at full rate, and the action that follows its end. */
    static final class Job implements Comparable<Job> {
        private final double endsAtProgress;
        private final long order;
        private final Runnable onCompletion;
        private boolean removed;

        Job(double endsAtProgress, long order, Runnable onCompletion) {
            this.endsAtProgress = endsAtProgress;
            this.order = order;
            this.onCompletion = onCompletion;
        }

        @Override public int compareTo(Job other) {
            int byEnd = Double.compare(endsAtProgress, other.endsAtProgress);
            return byEnd != 0 ? byEnd : Long.compare(order, other.order);
        }
    }

    private final EventQueue clock;
    private final PriorityQueue<Job> jobs = new PriorityQueue<>();
    private double capacityFlows;
    private double progressMs;
    private double advancedAt;
    private int activeJobs;
    private long nextOrder;
    private long timerGeneration;

    BandwidthLink(EventQueue clock, double capacityFlows) {
        this.clock = clock;
        this.capacityFlows = capacityFlows;
        this.advancedAt = clock.nowMs;
    }

    int activeJobs() {
        return activeJobs;
    }

    /** The ratio of active flows to capacity: 1 where each flow just gets full rate. */
    double utilization() {
        return activeJobs / Math.max(1e-9, capacityFlows);
    }

    void setCapacity(double newCapacityFlows) {
        advance();
        capacityFlows = newCapacityFlows;
        scheduleNextCompletion();
    }

    Job add(double fullRateMs, Runnable onCompletion) {
        advance();
        Job job = new Job(progressMs + fullRateMs, nextOrder++, onCompletion);
        jobs.add(job);
        activeJobs++;
        scheduleNextCompletion();
        return job;
    }

    void cancel(Job job) {
        if (job.removed) return;
        advance();
        job.removed = true;
        activeJobs--;
        scheduleNextCompletion();
    }

    void cancelAll() {
        advance();
        for (Job job : jobs) job.removed = true;
        jobs.clear();
        activeJobs = 0;
        timerGeneration++;
    }

    private double rate() {
        return activeJobs == 0 ? 0 : Math.min(1, capacityFlows / activeJobs);
    }

    private void advance() {
        progressMs += (clock.nowMs - advancedAt) * rate();
        advancedAt = clock.nowMs;
    }

    private void scheduleNextCompletion() {
        while (!jobs.isEmpty() && jobs.peek().removed) jobs.poll();
        long generation = ++timerGeneration;
        double rate = rate();
        if (jobs.isEmpty() || rate <= 0) return;
        clock.scheduleAfter(Math.max(0, (jobs.peek().endsAtProgress - progressMs) / rate), () -> {
            if (timerGeneration == generation) completeFirst();
        });
    }

    private void completeFirst() {
        advance();
        Job job = jobs.poll();
        if (job == null) return;
        // Without this, rounding could leave a job just short of its end for ever.
        progressMs = Math.max(progressMs, job.endsAtProgress);
        job.removed = true;
        activeJobs--;
        scheduleNextCompletion();
        job.onCompletion.run();
    }
}
