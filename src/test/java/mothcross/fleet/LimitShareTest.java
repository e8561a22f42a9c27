package mothcross.fleet;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** The share of a limit for a sequence of observations: five directors, a lease of 5 s and a spread of 2 s. */
public class LimitShareTest {
    @Test public void multiplierFollowsTheObservedFleet() {
        // time in ms, in the view, incarnation, up to date, members, ended: multiplier
        double[][] steps = {
            {0, 1, 1, 1, 1, 0, 0},              // alone: it cannot know who uses its share
            {8000, 1, 1, 1, 2, 0, 0},           // nor in a view of less than half of the directors
            {9000, 1, 1, 1, 3, 0, 0},           // has just joined a majority
            {15_900, 1, 1, 1, 5, 0, 0},
            {16_000, 1, 1, 1, 5, 0, 1},         // after lease and spread: its own share
            {20_000, 1, 1, 1, 4, 0, 1},         // a member was evicted, but may still run
            {21_000, 1, 1, 1, 4, 1, 1.25},      // it has ended: its share is divided among four
            {25_900, 1, 1, 0, 4, 1, 1.25},      // not up to date any more
            {26_000, 1, 1, 0, 4, 1, 1},         // for the length of the lease: back to its own share
            {27_000, 1, 1, 1, 4, 1, 1.25},
            {28_000, 1, 1, 1, 5, 0, 1},         // the ended member is back
            {29_000, 1, 1, 1, 6, 0, 5 / 6.0},   // one director more than there are shares
            {30_000, 0, 1, 0, 5, 0, 1},         // evicted: nobody has been lent its share
            {40_000, 1, 2, 1, 5, 0, 0},         // joined again, in a new incarnation
            {47_000, 1, 2, 1, 5, 0, 1},
            {48_000, 1, 2, 1, 4, 3, 1.25}};     // more have ended than there are free shares
        LimitShare limitShare = new LimitShare(5, 5000, 2000);
        for (double[] step : steps) {
            assertEquals(limitShare.multiplier(step[0], step[1] > 0, (long) step[2], step[3] > 0, (int) step[4],
                (int) step[5]), step[6], 1e-9, "at " + step[0]);
        }
    }
}
