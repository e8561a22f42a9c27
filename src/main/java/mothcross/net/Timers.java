package mothcross.net;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;

/**
 * All times that something waits for, in one heap served by one thread, to the millisecond. Owns that
 * thread; must never fire outside the desk's lock, and never hold anything but what is waited for still.
 */
final class Timers implements Runnable {
    /** What fires: hops, lookups, connections are timers themselves, so none costs another object. */
    abstract static class Timer {
        private double dueAt;
        private int heapIndex = -1;                         // in the heap; -1: not set

        abstract void fire();
    }

    private final Dispatcher desk;
    private final Condition changed;
    private Timer[] heap = new Timer[64];                 // each earlier than the two at twice its place
    private int size;
    private boolean stopped;

    Timers(Dispatcher desk) {
        this.desk = desk;
        this.changed = desk.lock.newCondition();
    }

    /** Under the lock; a timer that is set already is moved. */
    void set(Timer timer, double at) {
        cancel(timer);
        timer.dueAt = at;
        if (size == heap.length) heap = Arrays.copyOf(heap, 2 * size);
        settle(timer, size++);
        if (heap[0] == timer) changed.signal();
    }

    /** What is over is waited for no longer, and nothing holds it. */
    void cancel(Timer timer) {
        int at = timer.heapIndex;
        if (at < 0) return;
        timer.heapIndex = -1;
        Timer last = heap[--size];
        heap[size] = null;
        if (last != timer) settle(last, at);
    }

    /** Puts a timer where it belongs: up from this place, else down from it. */
    private void settle(Timer timer, int from) {
        int i = from;
        for (int up; i > 0 && heap[up = (i - 1) / 2].dueAt > timer.dueAt; i = up) put(heap[up], i);
        for (int down; (down = 2 * i + 1) < size; i = down) {
            if (down + 1 < size && heap[down + 1].dueAt < heap[down].dueAt) down++;
            if (heap[down].dueAt >= timer.dueAt) break;
            put(heap[down], i);
        }
        put(timer, i);
    }

    private void put(Timer timer, int at) {
        heap[at] = timer;
        timer.heapIndex = at;
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
            desk.enter();
            try {
                if (stopped) return;
                Timer next = heap[0];
                double wait = next == null ? 1000 : next.dueAt - desk.clock();
                if (wait <= 0) {
                    cancel(next);
                    next.fire();
                } else {
                    changed.awaitNanos((long) Math.min(TimeUnit.SECONDS.toNanos(1), wait * 1e6));
                }
            } catch (InterruptedException e) {
                return;
            } catch (Throwable e) {                     // without this thread nothing would end in time
                desk.recordInternalError(e);
            } finally {
                desk.leave();
            }
        }
    }
}
