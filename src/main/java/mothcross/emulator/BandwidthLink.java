package mothcross.emulator;

import java.util.PriorityQueue;

/**
 * A link, or what a box can send: so many flows at full pace; with more at a time each gets an equal part. Owns the
 * jobs
 * on it, exactly: all that run advance by the same, so the one that needs least ends first. Must never lose a job but
 * by
 * {@link #drop}.
 */
final class BandwidthLink {
    /** One flow: full-pace ms it needs, and what follows its end. */
    static final class Job implements Comparable<Job> {
        private final double ends;
        private final long order;
        private final Runnable then;
        private boolean gone;

        Job(double ends, long order, Runnable then) {
            this.ends = ends;
            this.order = order;
            this.then = then;
        }

        @Override public int compareTo(Job o) {
            int c = Double.compare(ends, o.ends);
            return c != 0 ? c : Long.compare(order, o.order);
        }
    }

    private final EventQueue clock;
    private final PriorityQueue<Job> jobs = new PriorityQueue<>();
    private double flows, done, at;
    private int running;
    private long orders, armed;

    BandwidthLink(EventQueue clock, double flows) {
        this.clock = clock;
        this.flows = flows;
        this.at = clock.now;
    }

    int running() {
        return running;
    }

    /** How full it is: 1 where each flow just gets full pace. */
    double fill() {
        return running / Math.max(1e-9, flows);
    }

    void flows(double anew) {
        advance();
        flows = anew;
        arm();
    }

    Job add(double ownMs, Runnable then) {
        advance();
        Job j = new Job(done + ownMs, orders++, then);
        jobs.add(j);
        running++;
        arm();
        return j;
    }

    void drop(Job j) {
        if (j.gone) return;
        advance();
        j.gone = true;
        running--;
        arm();
    }

    void dropAll() {
        advance();
        for (Job j : jobs) j.gone = true;
        jobs.clear();
        running = 0;
        armed++;
    }

    private double pace() {
        return running == 0 ? 0 : Math.min(1, flows / running);
    }

    private void advance() {
        done += (clock.now - at) * pace();
        at = clock.now;
    }

    private void arm() {
        while (!jobs.isEmpty() && jobs.peek().gone) jobs.poll();
        long mine = ++armed;
        double pace = pace();
        if (jobs.isEmpty() || pace <= 0) return;
        clock.in(Math.max(0, (jobs.peek().ends - done) / pace), () -> {
            if (armed == mine) ends();
        });
    }

    private void ends() {
        advance();
        Job j = jobs.poll();
        if (j == null) return;
        // Rounding must not leave it a hair short for ever.
        done = Math.max(done, j.ends);
        j.gone = true;
        running--;
        arm();
        j.then.run();
    }
}
