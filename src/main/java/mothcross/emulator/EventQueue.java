package mothcross.emulator;

import java.util.Arrays;

/**
 * The event queue and simulated clock of one run. Events run in order of their time, and in order of scheduling at
 * equal times, so that a run is reproducible by its seed. It never reads a real clock.
 */
final class EventQueue {
    private double[] dueAt = new double[1024];
    private long[] sequence = new long[1024];
    private Runnable[] actions = new Runnable[1024];
    private int size;
    private long nextSequence;
    double nowMs;

    void schedule(double atMs, Runnable action) {
        if (size == dueAt.length) {
            dueAt = Arrays.copyOf(dueAt, 2 * size);
            sequence = Arrays.copyOf(sequence, 2 * size);
            actions = Arrays.copyOf(actions, 2 * size);
        }
        int i = size++;
        double dueTime = Math.max(atMs, nowMs);
        long number = nextSequence++;
        for (int parent; i > 0 && isAfter(parent = (i - 1) / 2, dueTime, number); i = parent) move(parent, i);
        dueAt[i] = dueTime;
        sequence[i] = number;
        actions[i] = action;
    }

    void scheduleAfter(double delayMs, Runnable action) {
        schedule(nowMs + delayMs, action);
    }

    private boolean isAfter(int i, double time, long number) {
        return dueAt[i] > time || dueAt[i] == time && sequence[i] > number;
    }

    private void move(int from, int to) {
        dueAt[to] = dueAt[from];
        sequence[to] = sequence[from];
        actions[to] = actions[from];
    }

    /** Runs events until none is due before {@code endMs}; returns the number of events run. */
    long run(double endMs) {
        long executed = 0;
        while (size > 0 && dueAt[0] <= endMs) {
            Runnable action = actions[0];
            nowMs = dueAt[0];
            size--;
            double lastDueAt = dueAt[size];
            long lastSequence = sequence[size];
            Runnable lastAction = actions[size];
            actions[size] = null;
            int i = 0;
            for (int child; (child = 2 * i + 1) < size; i = child) {
                if (child + 1 < size && isAfter(child, dueAt[child + 1], sequence[child + 1])) child++;
                if (isAfter(child, lastDueAt, lastSequence)) break;
                move(child, i);
            }
            if (size > 0) {
                dueAt[i] = lastDueAt;
                sequence[i] = lastSequence;
                actions[i] = lastAction;
            }
            action.run();
            executed++;
        }
        nowMs = endMs;
        return executed;
    }
}
