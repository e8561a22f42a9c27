package mothcross.rig;

import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import mothcross.rig.explore.ChangeModel;
import mothcross.rig.explore.Explorer;
import mothcross.rig.explore.RegisterModel;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Every state within small bounds; the larger ones are played by {@code mothcross rig explore}. */
public class ExploreTest {
    private static final long MOST = 2_000_000;

    private static Explorer.Result register(String scene, String fault, int first, int second, int disks) {
        return new Explorer<>(new RegisterModel(RegisterModel.Scene.valueOf(scene), RegisterModel.Fault.valueOf(fault),
            new int[] {first, second}, 0, disks)).all(MOST);
    }

    private static Explorer.Result change(String scene, String fault, int changes, int crashes) {
        return new Explorer<>(new ChangeModel(ChangeModel.Scene.valueOf(scene), ChangeModel.Fault.valueOf(fault),
            changes,
            crashes, 1, true, false)).all(MOST);
    }

    @Test public void theRegisterKeepsItsPromises() {
        for (Explorer.Result r : new Explorer.Result[] {register("TWO_STEPS", "NONE", 1, 1, 0),
            register("FOUNDING", "NONE", 1, 1, 0), register("LEASE", "NONE", 1, 1, 0)}) {
            assertNull(r.broken(), r.toString());
            assertTrue(r.whole(), r.toString());
        }
    }

    @Test public void changesKeepTheirPromises() {
        for (Explorer.Result r : new Explorer.Result[] {change("HOLD", "NONE", 1, 0),
            change("TRIAL", "NONE", 1, 0)}) {
            assertNull(r.broken(), r.toString());
            assertTrue(r.whole(), r.toString());
        }
    }

    /** The very ones that the issue of policy changes names: two changes, two crashes; time without end. */
    @Test public void twoChangesWithTwoCrashesKeepTheirPromises() {
        Explorer.Result r = change("HOLD", "NONE", 2, 2);
        assertNull(r.broken(), r.toString());
        assertTrue(r.whole(), r.toString());
    }

    @DataProvider public Object[][] small() {
        return new Object[][] {{"HOLD", 0}, {"HOLD", 1}, {"STOP", 0}, {"TRIAL", 0}};
    }

    /**
     * Steps are left out where another order stands for them: nothing shows that does not with all of them, and
     * whatever shows with all of them does here with at least as many directors that decide, each by the same plan.
     */
    @Test(dataProvider = "small") public void whatIsLeftOutShowsNothingNew(String scene, int crashes) {
        Set<String> some = seen(scene, crashes, false), all = seen(scene, crashes, true);
        assertTrue(all.containsAll(some) && some.size() > 8, "shown only where steps are left out");
        for (String s : all) assertTrue(some.stream().anyMatch(x -> covers(x, s)), s + " is not covered");
    }

    private static boolean covers(String more, String less) {
        String[] a = more.split(" "), b = less.split(" ");
        boolean same = a[0].equals(b[0]);
        for (int i = 1; i < a.length; i++) same &= b[i].equals("-1") || a[i].equals(b[i]);
        return same;
    }

    private static Set<String> seen(String scene, int crashes, boolean every) {
        ChangeModel m = new ChangeModel(ChangeModel.Scene.valueOf(scene), ChangeModel.Fault.NONE, 1, crashes, 1, true,
            every);
        Set<String> all = ConcurrentHashMap.newKeySet();
        Explorer.Result r = new Explorer<>(new Explorer.Model<ChangeModel.State>() {
            @Override public ChangeModel.State first() {
                return m.first();
            }

            @Override public void next(ChangeModel.State s, BiConsumer<String, ChangeModel.State> to) {
                all.add(m.seen(s));
                m.next(s, to);
            }

            @Override public long hash(ChangeModel.State s) {
                return m.hash(s);
            }

            @Override public String broken(ChangeModel.State s) {
                return m.broken(s);
            }
        }).all(MOST);
        assertTrue(r.whole(), r.toString());
        return all;
    }

    @DataProvider public Object[][] ofTheRegister() {
        return new Object[][] {{"TWO_STEPS", "MOST_OF_REACHABLE", 0}, {"TWO_STEPS", "FINISHES_NOTHING", 0},
            {"TWO_STEPS", "SAME_TURN", 0}, {"TWO_STEPS", "ANSWERS_BEFORE_SYNC", 1}, {"TWO_STEPS", "FORGETS_PROMISES",
                1},
            {"TWO_STEPS", "FORGETS_UNAWARE", 1}, {"TWO_STEPS", "MARKS_IGNORED", 1}, {"VOTERS", "NEW_VOTERS_ALONE", 0},
            {"LEASE", "LEASE_BY_ONE", 0}};
    }

    @Test(dataProvider = "ofTheRegister") public void faultOfTheRegisterIsFound(String scene, String fault, int disks) {
        Explorer.Result r = register(scene, fault, 1, 1, disks);
        assertNotNull(r.broken(), fault + " not found: " + r);
    }

    @DataProvider public Object[][] ofChanges() {
        return new Object[][] {{"HOLD", "COMMITS_WITHOUT_ALL", 0}, {"HOLD", "SETTLES_AT_ONCE", 0},
            {"HOLD", "READY_UNBOUND", 0}, {"HOLD", "SERVES_WHAT_IT_KEPT", 1}, {"HOLD", "SILENCE_IS_DEATH", 0},
            {"HOLD", "OLDER_PLAN_TAKEN", 0}, {"HOLD", "LEASE_AFTER_COMMIT", 0}, {"HOLD", "LEASE_FROM_ANSWER", 0},
            {"HOLD", "OLD_LIFE_COUNTS", 1}, {"HOLD", "OLD_STAGE_COUNTS", 0}};
    }

    @Test(dataProvider = "ofChanges") public void faultOfChangesIsFound(String scene, String fault, int crashes) {
        Explorer.Result r = change(scene, fault, fault.startsWith("OLD_") ? 2 : 1, crashes);
        assertNotNull(r.broken(), fault + " not found: " + r);
    }
}
