package mothcross;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Plays the scenario files. A line starts with a time in ms, then what comes in ('ask', 'end', 'list',
 * 'purge', 'left', 'report'), or with '=' for what must have been decided since the last line with '=': the exact
 * lines, or '= any TEXT', '= none TEXT', '= count N TEXT'. '#' begins a remark; 'start' sets what the
 * director is told at its start, 'repeat N STEP ...' plays a line N times, STEP ms apart, with $ counting.
 */
public class ScenarioTest {
    @DataProvider
    public Object[][] scenarios() throws Exception {
        URL at = ScenarioTest.class.getResource("/scenarios");
        try (Stream<Path> all = Files.list(Path.of(at.toURI()))) {
            return all.sorted().map(p -> new Object[] {p.getFileName().toString(), p}).toArray(Object[][]::new);
        }
    }

    @Test(dataProvider = "scenarios")
    public void plays(String name, Path file) throws Exception {
        ScenarioHarness stage = null;
        List<String> start = new ArrayList<>();
        int number = 0;
        for (String raw : Files.readAllLines(file)) {
            number++;
            String line = raw.replaceAll("#.*", "").strip();
            if (line.isEmpty()) continue;
            String where = name + ":" + number;
            if (line.startsWith("start ")) {
                start.add(line.substring(6));
                continue;
            }
            if (stage == null) stage = new ScenarioHarness(start);
            if (line.startsWith("= ")) {
                check(where, line.substring(2).strip(), stage);
            } else if (line.startsWith("repeat ")) {
                String[] p = line.split(" ", 4);
                String[] rest = p[3].split(" ", 2);
                for (int i = 0; i < Integer.parseInt(p[1]); i++) {
                    double t = Double.parseDouble(rest[0]) + i * Double.parseDouble(p[2]);
                    stage.play(t, rest[1].replace("$", Integer.toString(i)));
                }
            } else {
                String[] p = line.split(" ", 2);
                stage.play(Double.parseDouble(p[0]), p[1]);
            }
        }
        assertTrue(stage != null && stage.checks > 0, name + " checks nothing");
    }

    private static void check(String where, String want, ScenarioHarness stage) {
        stage.checks++;
        List<String> got = new ArrayList<>(stage.written);
        if (want.startsWith("any ")) {
            assertTrue(got.stream().anyMatch(l -> matches(l, want.substring(4))), where + " in " + got);
        } else if (want.equals("none")) {
            assertEquals(got, List.of(), where);
        } else if (want.startsWith("none ")) {
            assertTrue(got.stream().noneMatch(l -> matches(l, want.substring(4).strip())), where + " in " + got);
        } else if (want.startsWith("count ")) {
            String[] p = want.split(" ", 3);
            long n = got.stream().filter(l -> matches(l, p[2])).count();
            String[] range = p[1].split("\\.\\.");
            assertTrue(n >= Long.parseLong(range[0]) && n <= Long.parseLong(range[range.length - 1]),
                where + ": " + n + " in " + got);
        } else {
            assertEquals(String.join("; ", got), want, where);
        }
        if (!want.endsWith(" ...")) stage.written.clear();
    }

    private static boolean matches(String line, String want) {
        String w = want.endsWith(" ...") ? want.substring(0, want.length() - 4) : want;
        for (String part : w.split(" ")) if (!(" " + line + " ").contains(" " + part + " ")) return false;
        return true;
    }
}
