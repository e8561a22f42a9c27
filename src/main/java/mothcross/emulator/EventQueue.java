package mothcross.emulator;

import java.util.Arrays;

/**
 * Virtual time of one run: what is due, earliest first, and in the order in which it was set where times are the
 * same, so
 * that a run is the same to the byte by its seed. Owns the time; must never look at a real clock.
 */
final class EventQueue {
    private double[] at = new double[1024];
    private long[] order = new long[1024];
    private Runnable[] what = new Runnable[1024];
    private int size;
    private long set;
    double now;

    void at(double t, Runnable r) {
        if (size == at.length) {
            at = Arrays.copyOf(at, 2 * size);
            order = Arrays.copyOf(order, 2 * size);
            what = Arrays.copyOf(what, 2 * size);
        }
        int i = size++;
        double time = Math.max(t, now);
        long n = set++;
        for (int up; i > 0 && later(up = (i - 1) / 2, time, n); i = up) move(up, i);
        at[i] = time;
        order[i] = n;
        what[i] = r;
    }

    void in(double ms, Runnable r) {
        at(now + ms, r);
    }

    private boolean later(int i, double t, long n) {
        return at[i] > t || at[i] == t && order[i] > n;
    }

    private void move(int from, int to) {
        at[to] = at[from];
        order[to] = order[from];
        what[to] = what[from];
    }

    /** Plays until nothing is due before {@code end}; the number of events played. */
    long run(double end) {
        long played = 0;
        while (size > 0 && at[0] <= end) {
            Runnable r = what[0];
            now = at[0];
            size--;
            double t = at[size];
            long n = order[size];
            Runnable last = what[size];
            what[size] = null;
            int i = 0;
            for (int down; (down = 2 * i + 1) < size; i = down) {
                if (down + 1 < size && later(down, at[down + 1], order[down + 1])) down++;
                if (later(down, t, n)) break;
                move(down, i);
            }
            if (size > 0) {
                at[i] = t;
                order[i] = n;
                what[i] = last;
            }
            r.run();
            played++;
        }
        now = end;
        return played;
    }
}
