package mothcross.net;

import java.util.Arrays;
import java.util.concurrent.locks.Condition;

/**
 * All timers in one binary heap, served by one thread with a resolution of a millisecond. Timers are set, cancelled
 * and fired under the dispatcher's lock; the heap references only timers that are set.
 */
final class Timers implements Runnable {
    private static final int INITIAL_CAPACITY = 64;
    private static final double MAX_WAIT_MS = 1000;
    private static final double NANOS_PER_MS = 1e6;

    /** Extended by hops, lookups and connections' timers themselves, so that setting one allocates nothing. */
    abstract static class Timer {
        private static final int NOT_SET = -1;

        private double dueAt;
        private int heapIndex = NOT_SET;

        abstract void fire();

        /** When it was set to fire. */
        final double dueAt() {
            return dueAt;
        }
    }

    private final Dispatcher dispatcher;
    private final Condition changed;
    /** Each timer is due no later than its children, at twice its index plus 1 and plus 2. */
    private Timer[] heap = new Timer[INITIAL_CAPACITY];
    private int size;
    private boolean stopped;

    Timers(Dispatcher dispatcher) {
        this.dispatcher = dispatcher;
        this.changed = dispatcher.lock.newCondition();
    }

    /** Sets a timer, or moves it if it is set already. */
    void set(Timer timer, double dueAt) {
        cancel(timer);
        timer.dueAt = dueAt;
        if (size == heap.length) heap = Arrays.copyOf(heap, 2 * size);
        sift(timer, size++);
        if (heap[0] == timer) changed.signal();
    }

    /** Removes a timer from the heap; does nothing if it is not set. */
    void cancel(Timer timer) {
        int index = timer.heapIndex;
        if (index < 0) return;
        timer.heapIndex = Timer.NOT_SET;
        Timer last = heap[--size];
        heap[size] = null;
        if (last != timer) sift(last, index);
    }

    /** Places a timer in the heap: moves it up from the given index, or else down from it. */
    private void sift(Timer timer, int from) {
        int i = from;
        for (int parent; i > 0 && heap[parent = (i - 1) / 2].dueAt > timer.dueAt; i = parent) put(heap[parent], i);
        for (int child; (child = 2 * i + 1) < size; i = child) {
            if (child + 1 < size && heap[child + 1].dueAt < heap[child].dueAt) child++;
            if (heap[child].dueAt >= timer.dueAt) break;
            put(heap[child], i);
        }
        put(timer, i);
    }

    private void put(Timer timer, int index) {
        heap[index] = timer;
        timer.heapIndex = index;
    }

    void stop() {
        stopped = true;
        changed.signal();
    }

    int size() {
        return size;
    }

    @Override public void run() {
        while (true) {
            dispatcher.enter();
            try {
                if (stopped) return;
                Timer next = heap[0];
                double waitMs = next == null ? MAX_WAIT_MS : next.dueAt - dispatcher.clock();
                if (waitMs <= 0) {
                    cancel(next);
                    next.fire();
                } else {
                    changed.awaitNanos((long) (Math.min(MAX_WAIT_MS, waitMs) * NANOS_PER_MS));
                }
            } catch (InterruptedException e) {
                return;
            } catch (Throwable e) {                     // without this thread no deadline would be enforced
                dispatcher.recordInternalError(e);
            } finally {
                dispatcher.leave();
            }
        }
    }
}
