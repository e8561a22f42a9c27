package mothcross.operators;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.Test;

/**
 * The operators' file: which values are valid, which are refused with which message, that all problems are reported at
 * once, and that evaluation stays within its bounds.
 */
public class OperatorsTest {
    private static final Path FILE = Path.of("operators.jsonnet");

    private static String problems(String json) {
        try {
            OperatorsFile.parse(FILE, json);
            return "";
        } catch (OperatorsFile.InvalidOperatorsFileException e) {
            return String.join("\n", e.problems());
        }
    }

    private static String membership(String fields) {
        return "{\"membership\": {\"file\": \"list\", \"fleet\": \"f\"" + fields + "}}";
    }

    @Test public void membershipProblemsHavePathValueAndReason() {
        String[][] cases = {
            {"{}", ""}, {membership(""), ""}, {"[]", "no object"},
            {"{\"membership\": 1}", "membership = 1 is not an object"},
            {"{\"membershp\": {}}", "membershp = {} is not known; did you mean membership?"},
            {"{\"membership\": {\"fleet\": \"f\"}}", "membership.file is missing; it is a text"},
            {"{\"membership\": {\"file\": \"\", \"fleet\": \"f\"}}", "membership.file = \"\" is not a text"},
            {membership(", \"recent_s\": \"10\""),
                "membership.recent_s = \"10\" is not a number of seconds from 1 to 604800"},
            {membership(", \"recent_s\": 0"), "membership.recent_s = 0 is out of range"},
            {membership(", \"recent_s\": 20, \"old_s\": 10"), "membership.old_s = 10 is less than recent_s"},
            {membership(", \"refusals\": 1.5"), "membership.refusals = 1.5 is not whole"},
            {membership(", \"shrunk_below\": 1.01"), "out of range"},
            {membership(", \"try_again_s\": 9, \"try_again_most_s\": 8"), "membership.try_again_most_s = 8 is less"},
            {membership(", \"write_every_ms\": 50"), "membership.write_every_ms = 50 is less than drain_on_disk_ms"},
            {membership(", \"old_sec\": 5"), "membership.old_sec = 5 is not known; did you mean old_s?"},
            {membership(", \"colour\": 5"), "known here: file, fleet, recent_s"}, {"nonsense {", "no JSON"},
            {"{\"a\": ", "no JSON"},
        };
        for (String[] testCase : cases) {
            String json = testCase[0];
            String expected = testCase[1];
            String actual = problems(json);
            assertTrue(expected.isEmpty() ? actual.isEmpty() : actual.contains(expected), json + ": " + actual);
        }
    }

    private static String fleet(String fields) {
        return "{\"fleet\": {\"fleet\": \"f\", \"file\": \"x\"" + fields + "}}";
    }

    @Test public void fleetFieldsAreChecked() throws Exception {
        String listen = ", \"listen\": \"10.0.0.1:7400\"";
        String key = "{\"id\": 1, \"secret\": \"sixteen or more of it\"}";
        String keys = ", \"keys\": [" + key + "]";
        String required = listen + keys;
        String[][] cases = {
            {fleet(required), ""}, {fleet(keys), "fleet.listen is missing"},
            {fleet(listen), "fleet.keys is to hold one key"},
            {fleet(keys + ", \"listen\": \"localhost:1\""), "fleet.listen = \"localhost:1\" is no ADDRESS:PORT"},
            {fleet(keys + ", \"listen\": \"10.0.0.1:70000\""), "names are not looked up"},
            {fleet(required + ", \"seeds\": [{\"at\": \"x\"}]"), "fleet.seeds[0].at = \"x\" is no ADDRESS:PORT"},
            {fleet(required + ", \"seeds\": [{\"att\": \"10.0.0.1:1\"}]"), "fleet.seeds[0].att"},
            {fleet(listen + ", \"keys\": [{\"id\": 1, \"secret\": \"short\"}]"), "is not a secret of 16 to 1000"},
            {fleet(listen + ", \"keys\": [" + key + "," + key + "]"), "fleet.keys[1].id = 1 is used twice"},
            {fleet(listen + ", \"keys\": [" + key + "," + key + "," + key + "]"), "a list of at most 2"},
            {fleet(listen + ", \"keys\": [" + key.replace("1", "256") + "]"), "fleet.keys[0].id = 256 is out of range"},
            {fleet(required + ", \"period_ms\": 50"), "fleet.period_ms = 50 is out of range"},
            {fleet(required + ", \"period_ms\": 1000, \"silent_s\": 3"), "is less than four rounds of period_ms"},
            {fleet(required + ", \"lease_s\": 0"), "fleet.lease_s = 0 is out of range"},
            {fleet(required + ", \"directors\": 1.5"), "fleet.directors = 1.5 is not whole"},
            {fleet(required + ", \"silents_s\": 3"), "did you mean silent_s?"}};
        for (String[] testCase : cases) {
            String json = testCase[0];
            String expected = testCase[1];
            String actual = problems(json);
            assertTrue(expected.isEmpty() ? actual.isEmpty() : actual.contains(expected), json + ": " + actual);
            assertTrue(!actual.contains("\"short\"") && !actual.contains("sixteen or more"),
                "a secret is shown: " + actual);
        }
        String shown = OperatorsFile.parse(Path.of("f"), fleet(required)).show();
        assertTrue(!shown.contains("sixteen or more") && shown.contains("(21 characters)"), shown);
    }

    private static String rules(String rule) {
        return "{\"routes\": {\"rules\": [{\"name\": \"a\", \"match\": \"true\"" + rule + "}]}}";
    }

    @Test public void routeFieldsAreChecked() {
        String[][] cases = {
            {rules(""), ""}, {"{\"routes\": {}}", ""},
            {"{\"routes\": {\"rules\": {}}}", "routes.rules = {} is not a list of at most 2000 objects"},
            {"{\"routes\": {\"rules\": [1]}}", "routes.rules[0] = 1 is not an object"},
            {"{\"routes\": {\"rules\": [{\"name\": \"a\"}]}}", "routes.rules[0].match is missing"},
            {rules(", \"macth\": 1"), "routes.rules[0].macth = 1 is not known; did you mean match?"},
            {rules(", \"refuse\": 200"), "routes.rules[0].refuse = 200 is none of"},
            {rules(", \"importance\": 1.5"), "routes.rules[0].importance = 1.5 is out of range"},
            {rules(", \"limit\": {\"key\": \"object\"}"), "routes.rules[0].limit.per_s is missing"},
            {rules(", \"limit\": {\"key\": \"object\", \"per_s\": 1, \"x\": 2}"),
                "routes.rules[0].limit.x = 2 is not known"},
            {"{\"routes\": {\"names\": {\"v\": 3}}}", "routes.names.v = 3 is not a text"},
            {"{\"routes\": {\"reads\": {\"target\": {}}}}", "routes.reads.target.most is missing"},
            {"{\"routes\": {\"reads\": {\"target\": {\"most\": 9, \"past\": \"x\"}}}}", "past = \"x\" is neither"},
            {"{\"routes\": {\"reads\": {\"target\": {\"most\": 9, \"same_on_retry\": 1}}}}", "is not true or false"},
        };
        for (String[] testCase : cases) {
            String json = testCase[0];
            String expected = testCase[1];
            String actual = problems(json);
            assertTrue(expected.isEmpty() ? actual.isEmpty()
                : actual.contains(expected) && actual.lines().count() == 1, json + ": " + actual);
        }
    }

    @Test public void allProblemsAreReportedAtOnce() {
        String fiveProblems = "{\"membership\": {\"file\": 3, \"recnt_s\": 5, \"old_s\": -1}, \"x\": 1}";
        assertEquals(problems(fiveProblems).lines().count(), 5);
    }

    @Test public void missingPartIsOffAndDefaultsAreShown() throws Exception {
        assertNull(OperatorsFile.parse(FILE, "{}").part(SettingsPart.MEMBERSHIP));
        OperatorsFile file = OperatorsFile.parse(FILE, membership(", \"recent_s\": 7"));
        MembershipSettings settings = file.part(SettingsPart.MEMBERSHIP);
        assertEquals(settings.ages().recentMs(), 7000.0);
        assertEquals(settings.ages().oldMs(), 86_400_000.0);
        String shown = file.show();
        assertTrue(shown.contains("\"recent_s\": 7.0") && shown.contains("\"skew_s\": 5.0"), shown);
    }

    @Test public void exampleFileIsValid() throws Exception {
        OperatorsFile file = OperatorsFile.read(Path.of("deploy", "operators.jsonnet"));
        assertEquals(file.part(SettingsPart.MEMBERSHIP).ages(), mothcross.membership.AgeLimits.DEFAULTS,
            "the example shows the defaults");
    }

    /**
     * Templates that have an error, never end, grow too large or read files outside their directory: each is refused
     * with one line of reason, in bounded time.
     */
    @Test(timeOut = 60_000) public void evaluationIsBounded() throws Exception {
        Path outer = Files.createTempDirectory("mothcross");
        Path inner = Files.createDirectory(outer.resolve("inner"));
        Files.writeString(outer.resolve("secret.libsonnet"), "{secret: 1}");
        Files.writeString(inner.resolve("own.libsonnet"), "{own: 1}");
        Files.createSymbolicLink(inner.resolve("link.libsonnet"), outer.resolve("secret.libsonnet"));
        Object[][] cases = {
            {"import 'own.libsonnet'", null, "{\"own\":1}"}, {"{a: 1, b: self.a + 1, h:: 3}", null,
                "{\"a\":1,\"b\":2}"},
            {"{a: 1,, }", "t.jsonnet:1:7", null}, {"{a: error 'no'}", "no", null}, {"{a: b}", "b", null},
            {"import '../secret.libsonnet'", "Couldn't import", null}, {"import 'link.libsonnet'", "Couldn't import",
                null},
            {"importstr '/etc/hostname'", "Couldn't import", null}, {"std.extVar('HOME')", "HOME", null},
            {"local f(n) = f(n + 1) + 1; {a: f(1)}", "", null},
            {"local f(n) = if n == 0 then 0 else f(n - 1) + f(n - 1); {a: f(60)}", "not evaluated within 2.0 s", null},
            {"{a: [x for x in std.range(1, 100000000)]}", "a heap of 48 MB", null},
        };
        for (Object[] testCase : cases) {
            String template = (String) testCase[0];
            String expectedError = (String) testCase[1];
            Path file = Files.writeString(inner.resolve("t.jsonnet"), template);
            int timeoutMs = expectedError != null && expectedError.contains("2.0 s") ? 2000 : 15_000;
            TemplateEvaluation evaluation = TemplateEvaluation.of(file, 48, timeoutMs);
            String error = evaluation.error();
            assertEquals(evaluation.json(), testCase[2], template + ": " + error);
            if (expectedError == null) continue;
            assertTrue(error.contains(expectedError) && error.lines().count() == 1, template + ": " + error);
        }
        assertEquals(TemplateEvaluation.of(outer.resolve("none")).error(), "can't be read");
    }

    @Test public void editDistanceOfSimilarNames() {
        assertEquals(Section.editDistance("", "abc"), 3);
        assertEquals(Section.editDistance("kitten", "sitting"), 3);
        assertEquals(Section.editDistance("a", "a"), 0);
    }
}
