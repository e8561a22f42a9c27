package mothcross;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import mothcross.CacheDirector.Admission;
import org.testng.annotations.Test;

/** The Markov model of the admission against values worked out by hand, its tuning, and the ranking of nodes. */
public class ModelTest {
    @Test public void residenceProbability() {
        // rate / pushdown rate = ln 2: e^x - 1 = 1, so the probability is 1 * admission / (1 + admission).
        assertEquals(Admission.residenceProbability(Math.log(2), 1, 1), 0.5, 1e-12);
        assertEquals(Admission.residenceProbability(Math.log(2), 1, 0.25), 0.2, 1e-12);
        assertEquals(Admission.residenceProbability(2 * Math.log(3), 2, 0.5), 0.5, 1e-12);
        assertEquals(Admission.residenceProbability(1e-9, 1, 1), 1e-9, 1e-15);
        assertEquals(Admission.residenceProbability(1, 1, 0), 0, 0);
        assertEquals(Admission.residenceProbability(1e6, 1, 1e-9), 1, 1e-6);
        assertTrue(Admission.residenceProbability(1e300, 1e-300, 1) <= 1);
    }

    /**
     * Plays one round and returns the number of its steps. The steps are short, so that no lookup waits for a whole
     * round; c changes only with the last.
     */
    private static int playRound(Admission admission, double reportedHitRatio) {
        int steps = 1;
        double before = admission.c;
        while (admission.tune(reportedHitRatio) < 1000) {
            assertEquals(admission.c, before, "step " + steps);
            steps++;
        }
        return steps;
    }

    private static Admission admission(int directors) {
        return new Admission(new SplittableRandom(1), directors);
    }

    private static void request(Admission admission, int key, double sizeKb, int times) {
        for (int i = 0; i < times; i++) admission.recordRequest(key, sizeKb);
    }

    @Test public void roundIsSplitIntoSteps() {
        Admission admission = admission(1);
        for (int key = 0; key < 50; key++) request(admission, key, 1000, 1);
        assertTrue(playRound(admission, 0.5) > 10 && admission.c < Double.POSITIVE_INFINITY);
    }

    @Test public void solverReachesCapacity() {
        Admission admission = admission(1);
        for (int round = 0; round < 3; round++) {
            for (int key = 0; key < 200; key++) request(admission, key, 100 + key, 200 / (key + 1) + 1);
            playRound(admission, 0.5);
        }
        admission.setProbabilities(admission.c);
        double pushdownRate = admission.solvePushdownRate(admission.capacity, admission.sizes);
        assertEquals(admission.expectedSum(pushdownRate, admission.sizes) / admission.capacity, 1, 1e-3);
    }

    @Test public void rankingStaysWhenANodeLeaves() {
        ScenarioHarness stage = new ScenarioHarness(List.of());
        stage.play(0, "list 2 a,1,0,0,800,0 b,1,0,0,800,0 c,1,0,0,800,0 p,0,1,0,9,0 o,0,2,0,1,0");
        for (int i = 0; i < 300; i++) stage.play(1, "ask " + i + " " + i);
        stage.play(2, "list 0 c,1,0,2,800,0");
        for (int i = 0; i < 300; i++) stage.play(3, "ask " + (300 + i) + " " + i);
        int onC = 0;
        for (int i = 0; i < 300; i++) {
            String before = stage.written.get(i).split(" ")[2];
            String after = stage.written.get(300 + i).split(" ")[2];
            if (before.equals("c")) onC++;
            else assertEquals(after, before, "object " + i);
        }
        assertTrue(onC > 70 && onC < 130, "a third of the objects should rank c first: " + onC);
    }

    @Test public void smallObjectsAreAdmittedMoreOftenThanLargeOnes() {
        Admission admission = admission(1);
        assertTrue(admission.admits(1e9), "everything is admitted until the first round");
        for (int round = 0; round < 4; round++) {
            for (int key = 0; key < 400; key++) request(admission, key, key % 2 == 0 ? 10 : 1000, 4);
            playRound(admission, 0.45);
        }
        int small = 0;
        int large = 0;
        for (int i = 0; i < 1000; i++) {
            if (admission.admits(10)) small++;
            if (admission.admits(1000)) large++;
        }
        assertTrue(small > 900, "small " + small);
        assertTrue(large < 600, "large " + large);
    }

    @Test public void moreDirectorsAdmitAnObjectSooner() {
        double[] content = new double[2];
        for (int i = 0; i < 2; i++) {
            Admission admission = admission(i == 0 ? 1 : 10);
            for (int key = 0; key < 50; key++) request(admission, key, 1000, 1);
            playRound(admission, 0.5);
            admission.setProbabilities(500);
            content[i] = admission.expectedSum(0.01, admission.sizes);
        }
        assertTrue(content[1] > 2 * content[0], content[0] + " and " + content[1]);
    }
}
