package mothcross.ci;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The checks of the list of known failures, which CI passes over: {@code .ci/known-red}. */
public class KnownRedTest {
    private static final String WHOLE = "KnownRedTest#acceptsWholeEntries | mvn -o test, seed 3 | no answer | issue 41";

    private record Outcome(int status, String output, String errors) { }

    private static Outcome check(String list) throws Exception {
        Path file = Files.writeString(Files.createTempFile("known-red", ".txt"), list);
        Process process = new ProcessBuilder("sh", ".ci/known-red", file.toString(), "src/test/java").start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        String errors = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        return new Outcome(process.waitFor(), output, errors);
    }

    @Test public void acceptsWholeEntries() throws Exception {
        Outcome outcome = check(WHOLE + "\n\nsoak seed 12 | rig soak --seeds 12 | lost 2 | issue 41\n");
        assertEquals(outcome.status, 0, outcome.errors);
        assertEquals(outcome.output, "**/KnownRedTest.java#acceptsWholeEntries\n");
        assertTrue(outcome.errors.contains(WHOLE), "every entry is printed");
        assertTrue(outcome.errors.contains("soak seed 12"), "every entry is printed");
    }

    @Test public void acceptsMoreThanThreeEntriesAndALastLineWithoutItsEnd() throws Exception {
        String soaks = "soak seed 1 | c | s | issue 1\nsoak seed 2 | c | s | issue 1\nsoak seed 3 | c | s | issue 1\n";
        Outcome outcome = check(soaks + WHOLE);
        assertEquals(outcome.status, 0, outcome.errors);
        assertEquals(outcome.output, "**/KnownRedTest.java#acceptsWholeEntries\n");
    }

    /** Lists that are at fault, with what is said of them. */
    @DataProvider public Object[][] faultyLists() {
        return new Object[][] {
            {"KnownRedTest#acceptsWholeEntries | mvn, seed 3 | issue 41", "not four parts"},
            {WHOLE + " | more", "not four parts"},
            {WHOLE.replace("mvn -o test, seed 3", " "), "no command"},
            {WHOLE.replace("no answer", ""), "nothing seen"},
            {WHOLE.replace("issue 41", "some issue"), "no issue"},
            {WHOLE.replace("issue 41", "issue"), "no issue"},
            {WHOLE.replace("KnownRedTest#", "NoSuchTest#"), "no such class"},
            {WHOLE.replace("#acceptsWholeEntries", "#noSuchTest"), "no such test"},
            {WHOLE.replace("#acceptsWholeEntries", "#check"), "no such test"},
            {WHOLE.replace("#acceptsWholeEntries", ""), "neither"},
            {WHOLE.replace("#acceptsWholeEntries", "#*"), "neither"},
            {"soak seed x | rig soak | lost 2 | issue 41", "neither"},
            {WHOLE + "\n" + WHOLE, "named twice"},
        };
    }

    @Test(dataProvider = "faultyLists") public void rejectsFaultyEntries(String list, String reason) throws Exception {
        Outcome outcome = check(list);
        assertEquals(outcome.status, 1, outcome.errors);
        assertTrue(outcome.errors.contains(reason), outcome.errors);
    }
}
