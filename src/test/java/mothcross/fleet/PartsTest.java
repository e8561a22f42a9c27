package mothcross.fleet;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Which part of a limit may be used: a table of what is seen in turn. Five directors, lease 5 s, spread 2 s. */
public class PartsTest {
    @Test public void partsByWhatIsSeen() {
        // at, in, life, sure, members, ended: times
        double[][] steps = {
            {0, 1, 1, 1, 1, 0, 0},              // alone: who has its part?
            {8000, 1, 1, 1, 2, 0, 0},           // with less than half of them it still can't know
            {9000, 1, 1, 1, 3, 0, 0},           // just come in
            {15_900, 1, 1, 1, 5, 0, 0},
            {16_000, 1, 1, 1, 5, 0, 1},         // lease and spread later: its own
            {20_000, 1, 1, 1, 4, 0, 1},         // one is out, but may run: cut off, say
            {21_000, 1, 1, 1, 4, 1, 1.25},      // it has ended: its part goes to four
            {25_900, 1, 1, 0, 4, 1, 1.25},      // nothing is heard
            {26_000, 1, 1, 0, 4, 1, 1},         // for the lease: back at its own
            {27_000, 1, 1, 1, 4, 1, 1.25},
            {28_000, 1, 1, 1, 5, 0, 1},         // it is back
            {29_000, 1, 1, 1, 6, 0, 5 / 6.0},   // one more than there should be
            {30_000, 0, 1, 0, 5, 0, 1},         // put out: nobody has its part
            {40_000, 1, 2, 1, 5, 0, 0},         // in again, in a new life
            {47_000, 1, 2, 1, 5, 0, 1},
            {48_000, 1, 2, 1, 4, 3, 1.25}};     // more have ended than there are parts
        LimitShare p = new LimitShare(5, 5000, 2000);
        for (double[] s : steps) {
            assertEquals(p.multiplier(s[0], s[1] > 0, (long) s[2], s[3] > 0, (int) s[4], (int) s[5]), s[6], 1e-9,
                "at " + s[0]);
        }
    }
}
