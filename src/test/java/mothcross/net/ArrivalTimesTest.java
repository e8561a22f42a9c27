package mothcross.net;

import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Arrival times of bytes against a plain queue with one entry a byte. */
public class ArrivalTimesTest {
    private static final double RESOLUTION_MS = 10;

    @Test public void matchesAPlainQueue() {
        for (long seed = 0; seed < 300; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            ArrivalTimes times = new ArrivalTimes();
            ArrayDeque<Double> plain = new ArrayDeque<>();
            double now = 0;
            for (int step = 0; step < 200; step++) {
                now += random.nextInt(4) == 0 ? random.nextInt(300) : random.nextInt(3);
                int action = random.nextInt(10);
                if (action < 4) {
                    int bytes = random.nextInt(20);
                    times.received(bytes, now);
                    for (int i = 0; i < bytes; i++) plain.addLast(now);
                } else if (action < 9 && !plain.isEmpty()) {
                    double last = 0;
                    for (int bytes = 1 + random.nextInt(plain.size()); bytes > 0; bytes--) last = plain.removeFirst();
                    double time = times.consumed(plain.size(), now);
                    assertTrue(time <= last && time > last - RESOLUTION_MS, "seed " + seed + ": " + time + ", " + last);
                } else if (!plain.isEmpty()) {
                    int bytes = random.nextInt(plain.size());
                    times.dropped(bytes);
                    for (int i = 0; i < bytes; i++) plain.removeLast();
                }
            }
        }
    }

    /** However finely they come, a bounded number of times is kept, and none counts as read later than it was. */
    @Test public void manyPiecesCountAsReadEarlier() {
        ArrivalTimes times = new ArrivalTimes();
        for (int i = 0; i < 1000; i++) times.received(1, 20 * i);
        for (int i = 0; i < 1000; i++) assertTrue(times.consumed(999 - i, 1e9) <= 20 * i);
    }
}
