package mothcross.experiment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/**
 * Tests experiment plans, result rows that survive a killed process, statistics against known cases, and reports,
 * which are computed from the rows alone.
 */
public class ExperimentTest {
    private static final String SMALL = "{town: {seconds: 4, places: 1, caches: 2, objects: 300}, "
        + "factors: {load: [0.3, 0.6]}, "
        + "policies: ['decide', 'random'], faults: {none: '', crash: '1000 crash cache 0 for 500'}, seeds: 3, "
        + "metrics: ['in_time', 'hit_share']%s}";

    private static ExperimentPlan plan(String json) {
        return ExperimentPlan.of(JsonParser.parseString(json).getAsJsonObject());
    }

    @Test public void invalidPlansAreRejected() {
        String[][] cases = {{"{sedes: 3}", "sedes is not known"}, {"{seeds: 1.5}", "seeds = 1.5 is no whole"},
            {"{seeds: 0}", "seeds"},
            {"{town: {cashes: 3}}", "town.cashes unknown scenario parameter 'cashes'"},
            {"{factors: {load: [-1]}}", "factors.load"},
            {"{policies: ['best']}", "has no 'best'"}, {"{metrics: ['speed']}", "has no 'speed'"},
            {"{faults: {a: '1 melt'}}", "faults.a line 1"}, {"{factors: {load: [1, 2, 3], zipf: [1], kb: [5]}}", null}};
        for (String[] c : cases) {
            try {
                assertEquals(plan(c[0]).cells.size(), 3, c[0]);
                assertTrue(c[1] == null, c[0] + " is taken");
            } catch (IllegalArgumentException e) {
                assertTrue(c[1] != null && e.getMessage().contains(c[1]), c[0] + ": " + e.getMessage());
            }
        }
        assertEquals(plan(String.format(SMALL, "")).cells.size(), 8);
    }

    /**
     * A process killed while it writes a row: complete rows are kept, the remaining runs are run, and the result
     * equals that of one uninterrupted sweep.
     */
    @Test public void rowsSurviveKilledProcess() throws Exception {
        Path dir = Files.createTempDirectory("mothcross");
        Path one = dir.resolve("one.csv");
        Path two = dir.resolve("two.csv");
        ExperimentPlan plan = plan(String.format(SMALL, ""));
        assertEquals(Sweep.run(plan, new ResultRows(one, "h"), 4, s -> { }), 24);
        String[] expected = sorted(one);
        String text = Files.readString(one);
        Files.writeString(two, text.substring(0, text.length() * 2 / 3));
        ResultRows reopened = new ResultRows(two, "h");
        int runs = Sweep.run(plan, reopened, 2, s -> { });
        assertTrue(runs > 0 && runs < 24, "played " + runs);
        assertEquals(sorted(two), expected, "the same rows, whoever played them");
        assertEquals(Sweep.run(plan, new ResultRows(two, "h"), 2, s -> { }), 0);
        try {
            new ResultRows(two, "other");
            fail("rows of another plan are taken");
        } catch (IOException e) {
            assertTrue(e.getMessage().contains("another plan"), e.getMessage());
        }
    }

    private static String[] sorted(Path file) throws IOException {
        String[] lines = Files.readString(file).split("\n");
        Arrays.sort(lines);
        return lines;
    }

    /** With an interval width that every cell meets, only the minimum number of seeds is run. */
    @Test public void stopsAtNarrowInterval() throws Exception {
        Path file = Files.createTempDirectory("mothcross").resolve("rows.csv");
        ExperimentPlan plan = plan(String.format(SMALL, ", stop: {half_width: 1, least_seeds: 1}"));
        assertEquals(Sweep.run(plan, new ResultRows(file, "h"), 4, s -> { }), 8);
    }

    /**
     * The intervals of 200 samples of 30 values contain the true mean about 95 % of the time; equal values have a
     * width of 0.
     */
    @Test public void intervalsContainTrueMean() {
        SplittableRandom random = new SplittableRandom(11);
        int covered = 0;
        for (int i = 0; i < 200; i++) {
            double[] values = new double[30];
            for (int k = 0; k < values.length; k++) {
                values[k] = 5 + (random.nextDouble() + random.nextDouble() + random.nextDouble() - 1.5);
            }
            Sample sample = Sample.of(values);
            if (sample.low() <= 5 && sample.high() >= 5) covered++;
            assertEquals(Sample.of(values), sample, "the same numbers, the same interval");
        }
        assertTrue(covered >= 178 && covered <= 199, "held " + covered);
        assertEquals(Sample.of(new double[] {2, 2, 2}).halfWidth(), 0.0);
        assertTrue(Sample.of(new double[] {1, 2}).isTooSmall());
        assertEquals(Sample.effectSize(new double[] {1, 3}), Math.sqrt(2), 1e-9);
    }

    @Test public void reportsAreComputedFromRows() throws Exception {
        System.setProperty("java.awt.headless", "true");
        Path dir = Files.createTempDirectory("mothcross");
        ExperimentPlan plan = plan(String.format(SMALL, ""));
        ResultRows rows = new ResultRows(dir.resolve("rows.csv"), "h");
        Sweep.run(plan, rows, 4, s -> { });
        Report report = new Report(plan, rows, "h", "c0ffee");
        report.write(dir);
        assertEquals(Files.readString(dir.resolve("table.csv")).lines().count(), 9);
        assertTrue(Files.readString(dir.resolve("table.json")).contains("\"commit\": \"c0ffee\""));
        assertTrue(Files.readString(dir.resolve("in_time.svg")).contains("<svg")
            && Files.size(dir.resolve("in_time.png")) > 1000);
        assertTrue(Files.readString(dir.resolve("index.html")).contains("in_time.svg"));
        String lines = String.join("\n", report.compare("decide", "random"));
        assertEquals(lines.lines().count(), 2 + 4 * 2, lines);
        assertTrue(lines.contains("too few seeds to tell"), lines);
        assertTrue(String.join("\n", report.compare("decide", "decide")).contains("+0.0000"),
            "no difference to itself");
    }
}
