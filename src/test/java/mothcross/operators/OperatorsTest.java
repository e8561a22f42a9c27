package mothcross.operators;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

/** The operators' file: what is taken, what is refused, all faults at once, and evaluation within its bounds. */
public class OperatorsTest {
    private static final Path FILE = Path.of("operators.jsonnet");

    private static String faults(String json) {
        try {
            OperatorsFile.of(FILE, json);
            return "";
        } catch (OperatorsFile.InvalidOperatorsFileException e) {
            return String.join("\n", e.faults());
        }
    }

    private static String with(String fields) {
        return "{\"membership\": {\"file\": \"list\", \"fleet\": \"f\"" + fields + "}}";
    }

    @Test public void everyFieldIsCheckedWithPathValueAndReason() {
        String[][] cases = {
            {"{}", ""}, {with(""), ""}, {"[]", "no object"}, {"{\"membership\": 1}", "membership = 1 is not an object"},
            {"{\"membershp\": {}}", "membershp = {} is not known; did you mean membership?"},
            {"{\"membership\": {\"fleet\": \"f\"}}", "membership.file is missing; it is a text"},
            {"{\"membership\": {\"file\": \"\", \"fleet\": \"f\"}}", "membership.file = \"\" is not a text"},
            {with(", \"recent_s\": \"10\""),
                "membership.recent_s = \"10\" is not a number of seconds from 1 to 604800"},
            {with(", \"recent_s\": 0"), "membership.recent_s = 0 is out of range"},
            {with(", \"recent_s\": 20, \"old_s\": 10"), "membership.old_s = 10 is less than recent_s"},
            {with(", \"refusals\": 1.5"), "membership.refusals = 1.5 is not whole"},
            {with(", \"shrunk_below\": 1.01"), "out of range"},
            {with(", \"try_again_s\": 9, \"try_again_most_s\": 8"), "membership.try_again_most_s = 8 is less"},
            {with(", \"write_every_ms\": 50"), "membership.write_every_ms = 50 is less than drain_on_disk_ms"},
            {with(", \"old_sec\": 5"), "membership.old_sec = 5 is not known; did you mean old_s?"},
            {with(", \"colour\": 5"), "known here: file, fleet, recent_s"}, {"nonsense {", "no JSON"}, {"{\"a\": ",
                "no JSON"},
        };
        for (String[] c : cases) {
            String got = faults(c[0]);
            assertTrue(c[1].isEmpty() ? got.isEmpty() : got.contains(c[1]), c[0] + ": " + got);
        }
    }

    private static String fleet(String fields) {
        return "{\"fleet\": {\"fleet\": \"f\", \"file\": \"x\"" + fields + "}}";
    }

    @Test public void fieldsOfTheFleetAreCheckedToo() throws Exception {
        String listen = ", \"listen\": \"10.0.0.1:7400\"";
        String key = "{\"id\": 1, \"secret\": \"sixteen or more of it\"}",
            keys = ", \"keys\": [" + key + "]", whole = listen + keys;
        String[][] cases = {
            {fleet(whole), ""}, {fleet(keys), "fleet.listen is missing"},
            {fleet(listen), "fleet.keys is to hold one key"},
            {fleet(keys + ", \"listen\": \"localhost:1\""), "fleet.listen = \"localhost:1\" is no ADDRESS:PORT"},
            {fleet(keys + ", \"listen\": \"10.0.0.1:70000\""), "names are not looked up"},
            {fleet(whole + ", \"seeds\": [{\"at\": \"x\"}]"), "fleet.seeds[0].at = \"x\" is no ADDRESS:PORT"},
            {fleet(whole + ", \"seeds\": [{\"att\": \"10.0.0.1:1\"}]"), "fleet.seeds[0].att"},
            {fleet(listen + ", \"keys\": [{\"id\": 1, \"secret\": \"short\"}]"), "is not a secret of 16 to 1000"},
            {fleet(listen + ", \"keys\": [" + key + "," + key + "]"), "fleet.keys[1].id = 1 is used twice"},
            {fleet(listen + ", \"keys\": [" + key + "," + key + "," + key + "]"), "a list of at most 2"},
            {fleet(listen + ", \"keys\": [" + key.replace("1", "256") + "]"), "fleet.keys[0].id = 256 is out of range"},
            {fleet(whole + ", \"period_ms\": 50"), "fleet.period_ms = 50 is out of range"},
            {fleet(whole + ", \"period_ms\": 1000, \"silent_s\": 3"), "is less than four rounds of period_ms"},
            {fleet(whole + ", \"lease_s\": 0"), "fleet.lease_s = 0 is out of range"},
            {fleet(whole + ", \"directors\": 1.5"), "fleet.directors = 1.5 is not whole"},
            {fleet(whole + ", \"silents_s\": 3"), "did you mean silent_s?"}};
        for (String[] c : cases) {
            String got = faults(c[0]);
            assertTrue(c[1].isEmpty() ? got.isEmpty() : got.contains(c[1]), c[0] + ": " + got);
            assertTrue(!got.contains("\"short\"") && !got.contains("sixteen or more"), "a secret is told: " + got);
        }
        OperatorsFile f = OperatorsFile.of(java.nio.file.Path.of("f"), fleet(whole));
        assertTrue(!f.show().contains("sixteen or more") && f.show().contains("(21 characters)"), f.show());
    }

    private static String rules(String rule) {
        return "{\"routes\": {\"rules\": [{\"name\": \"a\", \"match\": \"true\"" + rule + "}]}}";
    }

    @Test public void fieldsOfRoutesAreCheckedToo() {
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
        for (String[] c : cases) {
            String got = faults(c[0]);
            assertTrue(c[1].isEmpty() ? got.isEmpty() : got.contains(c[1]) && got.lines().count() == 1, c[0] + ": "
                + got);
        }
    }

    @Test public void allFaultsAtOnce() {
        String five = "{\"membership\": {\"file\": 3, \"recnt_s\": 5, \"old_s\": -1}, \"x\": 1}";
        assertEquals(faults(five).lines().count(), 5);
    }

    @Test public void leftOutIsOffAndDefaultsAreShown() throws Exception {
        assertNull(OperatorsFile.of(FILE, "{}").part(SettingsPart.MEMBERSHIP));
        OperatorsFile f = OperatorsFile.of(FILE, with(", \"recent_s\": 7"));
        MembershipSettings r = f.part(SettingsPart.MEMBERSHIP);
        assertEquals(r.ages().recentMs(), 7000.0);
        assertEquals(r.ages().oldMs(), 86_400_000.0);
        assertTrue(f.show().contains("\"recent_s\": 7.0") && f.show().contains("\"skew_s\": 5.0"), f.show());
    }

    @Test public void theExampleIsTaken() throws Exception {
        OperatorsFile f = OperatorsFile.read(Path.of("deploy", "operators.jsonnet"));
        assertEquals(f.part(SettingsPart.MEMBERSHIP).ages(), mothcross.membership.AgeLimits.DEFAULTS,
            "the example shows the defaults");
    }

    /** Templates at fault, without end, too large, or reading what is not theirs: one reason each, in bounded time. */
    @Test(timeOut = 60_000) public void evaluationIsBounded() throws Exception {
        Path dir = Files.createTempDirectory("mothcross"), inner = Files.createDirectory(dir.resolve("inner"));
        Files.writeString(dir.resolve("secret.libsonnet"), "{secret: 1}");
        Files.writeString(inner.resolve("own.libsonnet"), "{own: 1}");
        Files.createSymbolicLink(inner.resolve("link.libsonnet"), dir.resolve("secret.libsonnet"));
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
        for (Object[] c : cases) {
            Path file = Files.writeString(inner.resolve("t.jsonnet"), (String) c[0]);
            TemplateEvaluation e = TemplateEvaluation.of(file, 48, c[1] != null && ((String) c[1]).contains("2.0 s")
                ? 2000 : 15_000);
            assertEquals(e.text(), c[2], (String) c[0] + ": " + e.fault());
            if (c[1] == null) continue;
            assertTrue(e.fault().contains((String) c[1]) && e.fault().lines().count() == 1, c[0] + ": " + e.fault());
        }
        assertEquals(TemplateEvaluation.of(dir.resolve("none")).fault(), "can't be read");
    }

    @Test public void nearNamesAreFound() {
        for (Object[] c : List.of(new Object[] {"", "abc", 3}, new Object[] {"kitten", "sitting", 3},
            new Object[] {"a", "a", 0})) {
            assertEquals(Section.distance((String) c[0], (String) c[1]), (int) c[2]);
        }
    }
}
