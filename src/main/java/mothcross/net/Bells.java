package mothcross.net;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;

/**
 * All times that something waits for, in one heap served by one thread, to the millisecond. Owns that
 * thread; must never ring outside the desk's lock, and never hold anything but what is waited for still.
 */
final class Bells implements Runnable {
    /** What rings: hops, lookups, connections are bells themselves, so none costs a timer of its own. */
    abstract static class Bell {
        private double at;
        private int place = -1;                         // in the heap; -1: not set

        abstract void ring();
    }

    private final Desk desk;
    private final Condition changed;
    private Bell[] heap = new Bell[64];                 // each earlier than the two at twice its place
    private int size;
    private boolean stopped;

    Bells(Desk desk) {
        this.desk = desk;
        this.changed = desk.lock.newCondition();
    }

    /** Under the lock; a bell that is set already is moved. */
    void set(Bell bell, double at) {
        cancel(bell);
        bell.at = at;
        if (size == heap.length) heap = Arrays.copyOf(heap, 2 * size);
        settle(bell, size++);
        if (heap[0] == bell) changed.signal();
    }

    /** What is over is waited for no longer, and nothing holds it. */
    void cancel(Bell bell) {
        int at = bell.place;
        if (at < 0) return;
        bell.place = -1;
        Bell last = heap[--size];
        heap[size] = null;
        if (last != bell) settle(last, at);
    }

    /** Puts a bell where it belongs: up from this place, else down from it. */
    private void settle(Bell bell, int from) {
        int i = from;
        for (int up; i > 0 && heap[up = (i - 1) / 2].at > bell.at; i = up) put(heap[up], i);
        for (int down; (down = 2 * i + 1) < size; i = down) {
            if (down + 1 < size && heap[down + 1].at < heap[down].at) down++;
            if (heap[down].at >= bell.at) break;
            put(heap[down], i);
        }
        put(bell, i);
    }

    private void put(Bell bell, int at) {
        heap[at] = bell;
        bell.place = at;
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
                Bell next = heap[0];
                double wait = next == null ? 1000 : next.at - desk.clock();
                if (wait <= 0) {
                    cancel(next);
                    next.ring();
                } else {
                    changed.awaitNanos((long) Math.min(TimeUnit.SECONDS.toNanos(1), wait * 1e6));
                }
            } catch (InterruptedException e) {
                return;
            } catch (Throwable e) {                     // without this thread nothing would end in time
                desk.fault(e);
            } finally {
                desk.leave();
            }
        }
    }
}
