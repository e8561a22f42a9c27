package mothcross;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** The Markov model against figures worked out by hand, and the tuning's ends. */
public class ModelTest {
    @Test public void chanceToBeIn() {
        // r/mu = ln 2: e^x - 1 = 1, so 1 * pass / (1 + pass).
        assertEquals(CacheDirector.Admission.in(Math.log(2), 1, 1), 0.5, 1e-12);
        assertEquals(CacheDirector.Admission.in(Math.log(2), 1, 0.25), 0.2, 1e-12);
        assertEquals(CacheDirector.Admission.in(2 * Math.log(3), 2, 0.5), 0.5, 1e-12);
        assertEquals(CacheDirector.Admission.in(1e-9, 1, 1), 1e-9, 1e-15);
        assertEquals(CacheDirector.Admission.in(1, 1, 0), 0, 0);
        assertEquals(CacheDirector.Admission.in(1e6, 1, 1e-9), 1, 1e-6);
        assertTrue(CacheDirector.Admission.in(1e300, 1e-300, 1) <= 1);
    }

    /** A round goes in short parts, so that no lookup waits for a whole one; c changes with the last. */
    private static int round(CacheDirector.Admission a, double reported) {
        int parts = 1;
        for (double c = a.c; a.tune(reported) < 1000; parts++) assertEquals(a.c, c, "part " + parts);
        return parts;
    }

    @Test public void aRoundGoesInParts() {
        CacheDirector.Admission a = new CacheDirector.Admission(new SplittableRandom(1), 1);
        for (int key = 0; key < 50; key++) a.note(key, 1000);
        assertTrue(round(a, 0.5) > 10 && a.c < Double.POSITIVE_INFINITY);
    }

    @Test public void solverReachesK() {
        CacheDirector.Admission a = new CacheDirector.Admission(new SplittableRandom(1), 1);
        for (int round = 0; round < 3; round++) {
            for (int key = 0; key < 200; key++) for (int i = 0; i <= 200 / (key + 1); i++) a.note(key, 100 + key);
            round(a, 0.5);
        }
        a.passes(a.c);
        assertEquals(a.held(a.pushdown(a.k, a.size), a.size) / a.k, 1, 1e-3);
    }

    @Test public void rankingStaysWhenANodeLeaves() {
        ScenarioHarness stage = new ScenarioHarness(List.of());
        stage.play(0, "list 2 a,1,0,0,800,0 b,1,0,0,800,0 c,1,0,0,800,0 p,0,1,0,9,0 o,0,2,0,1,0");
        for (int i = 0; i < 300; i++) stage.play(1, "ask " + i + " " + i);
        stage.play(2, "list 0 c,1,0,2,800,0");
        for (int i = 0; i < 300; i++) stage.play(3, "ask " + (300 + i) + " " + i);
        int onC = 0;
        for (int i = 0; i < 300; i++) {
            String before = stage.written.get(i).split(" ")[2], after = stage.written.get(300 + i).split(" ")[2];
            if (before.equals("c")) onC++;
            else assertEquals(after, before, "object " + i);
        }
        assertTrue(onC > 70 && onC < 130, "a third stood on c: " + onC);
    }

    @Test public void smallIsAdmittedMoreOftenThanLarge() {
        CacheDirector.Admission a = new CacheDirector.Admission(new SplittableRandom(1), 1);
        assertTrue(a.admits(1e9), "all is kept until the first round");
        for (int round = 0; round < 4; round++) {
            for (int key = 0; key < 400; key++) for (int i = 0; i < 4; i++) a.note(key, key % 2 == 0 ? 10 : 1000);
            round(a, 0.45);
        }
        int small = 0, large = 0;
        for (int i = 0; i < 1000; i++) {
            if (a.admits(10)) small++;
            if (a.admits(1000)) large++;
        }
        assertTrue(small > 900, "small " + small);
        assertTrue(large < 600, "large " + large);
    }

    @Test public void moreDirectorsBringTheCoinUpSooner() {
        double[] content = new double[2];
        for (int i = 0; i < 2; i++) {
            CacheDirector.Admission a = new CacheDirector.Admission(new SplittableRandom(1), i == 0 ? 1 : 10);
            for (int key = 0; key < 50; key++) a.note(key, 1000);
            round(a, 0.5);
            a.passes(500);
            content[i] = a.held(0.01, a.size);
        }
        assertTrue(content[1] > 2 * content[0], content[0] + " and " + content[1]);
    }
}
