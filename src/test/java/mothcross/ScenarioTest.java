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
 * Plays the scenario files against a director. A line is one of these; '#' begins a comment:
 * <ul>
 * <li>{@code start KEY=VALUE ...} changes the director's settings; before the first event only.
 * <li>{@code TIME EVENT} plays an event at a time in ms.
 * <li>{@code repeat N STEP TIME EVENT} plays it N times, STEP ms apart; each $ is replaced by the number from 0.
 * <li>{@code = DECISIONS} checks that exactly these decisions, separated by "; ", were written since the last check.
 * <li>{@code = any WORDS}, {@code = none WORDS}, {@code = count N WORDS} and {@code = count N..M WORDS} check how many
 *     of them contain all the words; {@code = none} alone checks that there are none. A check that ends in " ..."
 *     leaves the decisions for the next one.
 * </ul>
 * Events, where numbers are those of {@link Director}:
 * <ul>
 * <li>{@code ask LOOKUP OBJECT [kb=] [part=] [group=] [wait=] [write=1]}, with {@code [key=] [maxHops=] [share=]} for
 *     the constraints of a route.
 * <li>{@code end LOOKUP OUTCOME [note=] [spent=] [wait=] [hop=] [last=]} ends a hop, by default the last one sent.
 * <li>{@code source NODE OUTCOME [note=] [spent=] [wait=]} ends every hop in flight that names this source.
 * <li>{@code serve} and {@code originfail} are an ask whose first hop ends at once, with a hit or with a failure of
 *     the origin; {@code error} is one whose hops all end at once with an error.
 * <li>{@code disconnect LOOKUP}; {@code purge OBJECT [group=] [ago=]}.
 * <li>{@code list KIND NAME,ZONE,KIND,STATUS,UNITS,STARTED_AT ...}, with node kinds 0 cache, 1 parent, 2 origin.
 * </ul>
 */
public class ScenarioTest {
    @DataProvider
    public Object[][] scenarios() throws Exception {
        URL directory = ScenarioTest.class.getResource("/scenarios");
        try (Stream<Path> files = Files.list(Path.of(directory.toURI()))) {
            return files.sorted().map(p -> new Object[] {p.getFileName().toString(), p}).toArray(Object[][]::new);
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
                repeat(line, stage);
            } else {
                String[] words = line.split(" ", 2);
                stage.play(Double.parseDouble(words[0]), words[1]);
            }
        }
        assertTrue(stage != null && stage.checks > 0, name + " checks nothing");
    }

    private static void repeat(String line, ScenarioHarness stage) {
        String[] words = line.split(" ", 5);
        int times = Integer.parseInt(words[1]);
        double stepMs = Double.parseDouble(words[2]);
        double firstTime = Double.parseDouble(words[3]);
        for (int i = 0; i < times; i++) {
            stage.play(firstTime + i * stepMs, words[4].replace("$", Integer.toString(i)));
        }
    }

    private static void check(String where, String expected, ScenarioHarness stage) {
        stage.checks++;
        List<String> written = new ArrayList<>(stage.written);
        if (expected.startsWith("any ")) {
            assertTrue(written.stream().anyMatch(l -> matches(l, expected.substring(4))), where + " in " + written);
        } else if (expected.equals("none")) {
            assertEquals(written, List.of(), where);
        } else if (expected.startsWith("none ")) {
            assertTrue(written.stream().noneMatch(l -> matches(l, expected.substring(5).strip())),
                where + " in " + written);
        } else if (expected.startsWith("count ")) {
            String[] words = expected.split(" ", 3);
            long matching = written.stream().filter(l -> matches(l, words[2])).count();
            String[] range = words[1].split("\\.\\.");
            assertTrue(matching >= Long.parseLong(range[0]) && matching <= Long.parseLong(range[range.length - 1]),
                where + ": " + matching + " in " + written);
        } else {
            assertEquals(String.join("; ", written), expected, where);
        }
        if (!expected.endsWith(" ...")) stage.written.clear();
    }

    private static boolean matches(String line, String expected) {
        String words = expected.endsWith(" ...") ? expected.substring(0, expected.length() - 4) : expected;
        for (String word : words.split(" ")) {
            if (!(" " + line + " ").contains(" " + word + " ")) return false;
        }
        return true;
    }
}
