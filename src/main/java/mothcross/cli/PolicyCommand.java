package mothcross.cli;

import com.google.gson.Gson;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import mothcross.fleet.net.FleetNode;
import mothcross.net.DirectorServer;
import mothcross.net.StartupConfig;
import mothcross.operators.FleetSettings;
import mothcross.operators.OperatorsFile;
import mothcross.operators.PolicySettings;
import mothcross.operators.SettingsPart;
import mothcross.policy.Plan;
import mothcross.policy.net.PolicyActivator;
import mothcross.policy.net.PolicyNode;
import mothcross.route.RouteRules;
import mothcross.route.RouteTable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * {@code mothcross policy}: changes of the fleet's policy, asked of any running director. Exit states: 0 it is so; 1
 * refused, aborted, or ({@code status}, {@code explain}) something holds a change up; 2 it can't be asked, or not so;
 * 3 not known yet when the command's time was up: it may still come either way.
 */
@Command(name = "policy", description = "Changes of the fleet's policy: one, everywhere or nowhere.",
    mixinStandardHelpOptions = true)
final class PolicyCommand implements Callable<Integer> {
    private static final Logger LOG = LoggerFactory.getLogger("mothcross.policy");
    private static final int OK = 0, NO = 1, USAGE = 2, OPEN = 3;
    private static final long SAYS_EVERY_MS = 5000, LOOKS_EVERY_MS = 50, PROBE_MS = 700;
    private static final double AFTER_DEADLINE = 3;
    private static final Object NO_RULES = new Object();

    @Spec private CommandSpec spec;

    // ---- for serve ----

    /** Joins the fleet, learns the policy that is decided, and comes back when this director may serve by it. */
    static Main.FleetService joinFleet(FleetSettings d, PolicySettings c, StartupConfig start, DirectorServer life,
                             String relay, long skewMs, boolean tellsPlan, Consumer<Main.FleetService> ends)
        throws IOException, InterruptedException {
        FleetNode fleet = FleetCommand.createNode(d, start, relay, skewMs, life::scaleLimits);
        InetSocketAddress at = FleetCommand.parseAddress(d.listen());
        PolicyNode policy = new PolicyNode(d.fleet(), start.name, fleet.initialIncarnation(), at.getHostString(),
            at.getPort(), c.voters(), fleet::members, c.leaseMs(), c.stateDirectory(), new Tables(life), fleet::send);
        fleet.attach(policy);
        life.usePolicy(policy, tellsPlan);
        Main.FleetService b = new Main.FleetService() {
            @Override public void afterStop() throws InterruptedException {
                policy.leave();
                fleet.close();
                policy.close();
            }
        };
        ends.accept(b);
        fleet.start();
        policy.start();
        while (!policy.awaitRegistration(SAYS_EVERY_MS)) {
            LOG.atWarn().addKeyValue("why", policy.notReadyReason())
                .log("policy: waits for its voters before it serves");
        }
        return b;
    }

    /** Texts of the policy as tables of routes. */
    private record Tables(DirectorServer life) implements PolicyActivator {
        @Override public Object compile(String digest, byte[] text, List<String> faults) {
            try {
                RouteRules r = OperatorsFile.parsePolicy("policy", new String(text, StandardCharsets.UTF_8))
                    .part(SettingsPart.ROUTES);
                return r == null ? NO_RULES : life.compilePolicy(r, faults);
            } catch (OperatorsFile.InvalidOperatorsFileException e) {
                faults.addAll(e.problems());
                return null;
            }
        }

        @Override public void activate(Plan plan, Object main, Object trial) {
            life.activatePolicy(plan, table(main), table(trial));
        }

        private static RouteTable table(Object o) {
            return o instanceof RouteTable t ? t : null;
        }
    }

    // ---- for operators ----

    @Override public Integer call() {
        spec.commandLine().usage(System.err);
        return USAGE;
    }

    private interface AdminAction {
        int ask() throws IOException, OperatorsFile.InvalidOperatorsFileException, InterruptedException;
    }

    private static int runAction(AdminAction a) {
        try {
            return a.ask();
        } catch (IOException | OperatorsFile.InvalidOperatorsFileException e) {
            return FleetCommand.reportFailure(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return OPEN;
        }
    }

    private static String key() {
        return Long.toHexString(new SplittableRandom().nextLong());
    }

    private static JsonObject checked(JsonObject o) throws IOException {
        if (o.has("failed")) throw new IOException(o.get("failed").getAsString());
        return o;
    }

    /** Until the director says how the step went; null where it has not by then. */
    private static String outcome(FleetCommand.AdminTarget whom, String key, double untilMs)
        throws IOException, OperatorsFile.InvalidOperatorsFileException, InterruptedException {
        while (true) {
            JsonObject o = checked(whom.request("policy tried " + key));
            if (o.has("outcome")) return o.get("outcome").getAsString();
            if (System.nanoTime() / 1e6 >= untilMs) return null;
            Thread.sleep(LOOKS_EVERY_MS);
        }
    }

    private static int step(FleetCommand.AdminTarget whom, String what, double seconds)
        throws IOException, OperatorsFile.InvalidOperatorsFileException, InterruptedException {
        String key = key(), word = what.substring(0, what.indexOf(' '));
        checked(whom.request("policy " + word + " " + key + what.substring(word.length())));
        String how = outcome(whom, key, System.nanoTime() / 1e6 + seconds * 1000);
        System.out.println(how == null ? "not decided yet: policy explain says who does not answer" : how);
        return how == null ? OPEN : how.startsWith("done") ? OK : NO;
    }

    /** Seconds, as 30, 30s or 2m. */
    static double seconds(String s) {
        if (!s.matches("\\d+(\\.\\d+)?(ms|s|m)?")) throw new IllegalArgumentException(s
            + " is no time: 30s, 500ms, 2m");
        double n = Double.parseDouble(s.replaceAll("[ms]+$", ""));
        return s.endsWith("ms") ? n / 1000 : s.endsWith("m") ? 60 * n : n;
    }

    private static Plan.Canary canary(String s) {
        if (s == null) return Plan.Canary.NONE;
        if (s.startsWith("share=")) {
            double share = Double.parseDouble(s.substring(6));
            if (share > 0 && share < 1) return new Plan.Canary(List.of(), share);
        } else if (s.startsWith("names=") && s.length() > 6) {
            return new Plan.Canary(List.of(s.substring(6).split(",")), 0);
        }
        throw new IllegalArgumentException("--canary is share=0.05 (of the objects, at all) or names=n1,n2");
    }

    /** Proposes, and follows the change until it is through, aborted, on trial, or time is up. */
    private static int propose(FleetCommand.AdminTarget whom, String digest, String note, String mode, String deadline,
                               Plan.Canary canary, Boolean leases)
        throws IOException, OperatorsFile.InvalidOperatorsFileException, InterruptedException {
        String id = key();
        double ms = 1000 * seconds(deadline), until = System.nanoTime() / 1e6 + ms * AFTER_DEADLINE;
        JsonObject before = checked(whom.request("policy status"));
        Map<String, Object> p = new LinkedHashMap<>();
        p.put("id", id);
        p.put("digest", digest);
        p.put("note", note);
        p.put("mode", mode.toUpperCase(java.util.Locale.ROOT));
        p.put("deadlineMs", ms);
        p.put("canary", canary);
        p.put("leases", leases == null ? before.getAsJsonObject("plan").get("leases").getAsBoolean() : leases);
        checked(whom.request("policy propose", new Gson().toJson(p).getBytes(StandardCharsets.UTF_8)));
        String how = outcome(whom, id, until);
        if (how == null || !how.startsWith("done")) {
            System.out.println(how == null ? "not decided yet: policy explain says who does not answer" : how);
            return how == null ? OPEN : NO;
        }
        return follow(whom, id, until);
    }

    private static int follow(FleetCommand.AdminTarget whom, String id, double until)
        throws IOException, OperatorsFile.InvalidOperatorsFileException, InterruptedException {
        while (true) {
            JsonObject o = checked(whom.request("policy status"));
            for (JsonElement e : o.getAsJsonArray("lately")) {
                JsonObject x = e.getAsJsonObject();
                if (!x.get("id").getAsString().equals(id)) continue;
                String outcome = x.get("outcome").getAsString();
                System.out.println("change " + id + " " + outcome + ", plan " + x.get("plan").getAsString()
                    + (x.get("why").getAsString().isEmpty() ? "" : ": " + x.get("why").getAsString()));
                return outcome.equals("COMMITTED") ? OK : NO;
            }
            JsonObject c = o.getAsJsonObject("change");
            if (c != null && c.get("id").getAsString().equals(id) && c.get("stage").getAsString().equals("TRIAL")) {
                System.out.println("change " + id + " is on trial: policy promote " + id + ", or policy abort " + id);
                return OK;
            }
            if (System.nanoTime() / 1e6 >= until) {
                System.out.println("change " + id + " is not through yet: policy explain says who holds it up");
                return OPEN;
            }
            Thread.sleep(LOOKS_EVERY_MS);
        }
    }

    private static String bring(FleetCommand.AdminTarget whom, String json)
        throws IOException, OperatorsFile.InvalidOperatorsFileException, InterruptedException {
        byte[] text = json.getBytes(StandardCharsets.UTF_8);
        String digest = digest(text);
        checked(whom.request("policy bring " + digest, text));
        while (true) {
            String s = checked(whom.request("policy brought " + digest)).get("state").getAsString();
            if (s.equals("kept")) return digest;
            if (!s.equals("checking")) throw new IOException(s);
            Thread.sleep(LOOKS_EVERY_MS);
        }
    }

    private static String digest(byte[] text) {
        try {
            return java.util.HexFormat.of().formatHex(java.security.MessageDigest.getInstance("SHA-256").digest(text));
        } catch (java.security.NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);             // every JDK has it
        }
    }

    @Command(name = "propose", description = "One change for the whole fleet; waits until it is through or aborted.",
        mixinStandardHelpOptions = true)
    int propose(@Mixin FleetCommand.AdminTarget whom,
                @Parameters(paramLabel = "FILE", description = "Jsonnet: the parts that all directors share, routes")
                Path file,
                @Option(names = "--deadline", defaultValue = "30s") String deadline,
                @Option(names = "--mode", defaultValue = "hold", description = "hold or stop") String mode,
                @Option(names = "--canary", paramLabel = "share=S|names=A,B",
                    description = "first for a part") String part,
                @Option(names = "--note", defaultValue = "") String note) {
        return runAction(() -> {
            if (!List.of("hold", "stop").contains(mode)) return Main.printError("--mode is hold or stop");
            try {
                String json = OperatorsFile.evaluate(file);
                OperatorsFile.parsePolicy(file.toString(), json);
                return propose(whom, bring(whom, json), note, mode, deadline, canary(part), null);
            } catch (IllegalArgumentException e) {
                return Main.printError(e.getMessage());
            }
        });
    }

    @Command(name = "undo", description = "A new change, back to the text before the one in force.",
        mixinStandardHelpOptions = true)
    int undo(@Mixin FleetCommand.AdminTarget whom, @Option(names = "--deadline", defaultValue = "30s") String deadline,
             @Option(names = "--mode", defaultValue = "hold") String mode) {
        return runAction(() -> {
            JsonObject o = checked(whom.request("policy status"));
            return propose(whom, o.get("previous_text").getAsString(), "undo of plan "
                + o.getAsJsonObject("plan").get("number").getAsString(), mode, deadline, Plan.Canary.NONE, null);
        });
    }

    @Command(name = "leases", description = "Turns leases on or off for the fleet: they are what mode stop needs.",
        mixinStandardHelpOptions = true)
    int leases(@Mixin FleetCommand.AdminTarget whom, @Parameters(paramLabel = "on|off") String to,
               @Option(names = "--deadline", defaultValue = "30s") String deadline) {
        if (!List.of("on", "off").contains(to)) return Main.printError("on or off");
        return runAction(() -> {
            JsonObject o = checked(whom.request("policy status"));
            return propose(whom, o.getAsJsonObject("plan").get("main").getAsString(), "leases " + to, "hold", deadline,
                Plan.Canary.NONE, to.equals("on"));
        });
    }

    @Command(name = "abort", description = "Ends a change that is not committed; one on trial is taken back.",
        mixinStandardHelpOptions = true)
    int abort(@Mixin FleetCommand.AdminTarget whom, @Parameters(paramLabel = "ID") String id) {
        return runAction(() -> step(whom, "abort " + id, 10));
    }

    @Command(name = "promote", description = "What is on trial, for all.", mixinStandardHelpOptions = true)
    int promote(@Mixin FleetCommand.AdminTarget whom, @Parameters(paramLabel = "ID") String id,
                @Option(names = "--within", defaultValue = "60s") String within) {
        return runAction(() -> {
            int s = step(whom, "promote " + id, 10);
            return s != OK ? s : follow(whom, id, System.nanoTime() / 1e6 + 1000 * seconds(within));
        });
    }

    @Command(name = "strike", description = "Takes a director off the roll: your word that it does not run.",
        mixinStandardHelpOptions = true)
    int strike(@Mixin FleetCommand.AdminTarget whom, @Parameters(paramLabel = "NAME") String name) {
        return runAction(() -> step(whom, "strike " + name, 10));
    }

    @Command(name = "voters", description = "Other voters; one that is new, or whose disk is, with its mark.",
        mixinStandardHelpOptions = true)
    int voters(@Mixin FleetCommand.AdminTarget whom, @Parameters(paramLabel = "NAME[=MARK],...") String set) {
        return runAction(() -> step(whom, "voters " + set, 10));
    }

    @Command(name = "status", description = "The plan in force, the change under way, voters and roll.",
        mixinStandardHelpOptions = true)
    int status(@Mixin FleetCommand.AdminTarget whom, @Option(names = "--json") boolean json) {
        return runAction(() -> {
            JsonObject o = checked(whom.request("policy status"));
            if (json) System.out.println(o);
            else say(o);
            return o.has("change") || !o.get("stopped").getAsString().equals("NO") ? NO : OK;
        });
    }

    private static void say(JsonObject o) {
        JsonObject p = o.getAsJsonObject("plan");
        String text = p.get("main").getAsString();
        System.out.println(o.get("name").getAsString() + (o.get("stopped").getAsString().equals("NO")
            ? " decides by plan " : " decides nothing (" + o.get("stopped").getAsString() + "); plan ")
            + p.get("number").getAsString() + ", text " + (text.isEmpty() ? "none" : text.substring(0, 12))
            + ", leases " + (p.get("leases").getAsBoolean() ? "on" : "off") + "; revision "
            + o.get("revision").getAsString() + (o.has("roll") ? ", directors " + o.getAsJsonArray("roll").size()
                : ""));
        JsonObject c = o.getAsJsonObject("change");
        if (c != null) {
            System.out.println("change " + c.get("id").getAsString() + " by " + c.get("by").getAsString() + ": "
                + c.get("stage").getAsString() + " for " + o.get("stage_for_ms").getAsString() + " ms, mode "
                + c.get("mode").getAsString());
        }
    }

    @Command(name = "explain", description = "Why a change is not through: who has not answered, since when.",
        mixinStandardHelpOptions = true)
    int explain(@Mixin FleetCommand.AdminTarget whom) {
        return runAction(() -> {
            checked(whom.request("policy probe " + key()));
            Thread.sleep(PROBE_MS);                         // for the voters' answers; those that are late show as such
            JsonObject o = checked(whom.request("policy status"));
            say(o);
            List<String> lines = new ArrayList<>();
            int silent = 0, voters = o.getAsJsonArray("voters").size();
            for (JsonElement e : o.getAsJsonArray("voters")) {
                JsonObject v = e.getAsJsonObject();
                String name = v.get("name").getAsString();
                boolean late = !v.has("heard_ms_ago") || v.get("heard_ms_ago").getAsLong() > 2 * PROBE_MS;
                boolean other = v.has("answers_as");
                if (late || other) silent++;
                if (late) lines.add("voter " + name + (v.has("heard_ms_ago") ? " has not answered for "
                    + v.get("heard_ms_ago").getAsString() + " ms" : " has not answered since this director began"));
                if (other) lines.add("voter " + name + " has a new disk, its votes do not count: policy voters, with "
                    + name + "=" + v.get("answers_as").getAsString());
            }
            if (2 * (voters - silent) <= voters) lines.add(0, "the quorum is lost: nothing can be decided until more "
                + "than half of the voters are back; directors go on by plan "
                + o.getAsJsonObject("plan").get("number").getAsString());
            if (o.has("held_up_by")) o.getAsJsonObject("held_up_by").entrySet().forEach(e -> lines.add("waits for "
                + e.getKey() + ": " + e.getValue().getAsString()));
            if (o.has("change") && !o.has("roll")) lines.add("the roll is not here: ask a voter");
            lines.forEach(System.out::println);
            if (lines.isEmpty()) System.out.println("nothing holds anything up");
            return lines.isEmpty() ? OK : NO;
        });
    }

    @Command(name = "log", description = "How the last changes ended.", mixinStandardHelpOptions = true)
    int log(@Mixin FleetCommand.AdminTarget whom) {
        return runAction(() -> {
            for (JsonElement e : checked(whom.request("policy status")).getAsJsonArray("lately")) {
                JsonObject x = e.getAsJsonObject();
                String text = x.get("digest").getAsString();
                System.out.println(x.get("id").getAsString() + " " + x.get("outcome").getAsString() + " by "
                    + x.get("by").getAsString() + ", text " + (text.isEmpty() ? "none" : text.substring(0, 12))
                    + ", plan " + x.get("plan").getAsString() + " from then on, revision "
                    + x.get("revision").getAsString() + (x.get("why").getAsString().isEmpty() ? "" : ": "
                    + x.get("why").getAsString()));
            }
            return OK;
        });
    }

    @Command(name = "diff",
        description = "Lines of the text in force and of a file, both evaluated: exit state 1 where "
        + "they differ.", mixinStandardHelpOptions = true)
    int diff(@Mixin FleetCommand.AdminTarget whom, @Parameters(paramLabel = "FILE") Path file) {
        return runAction(() -> {
            String now = checked(whom.request("policy status")).getAsJsonObject("plan").get("main").getAsString();
            String a = now.isEmpty() ? "{}" : checked(whom.request("policy text " + now)).get("text").getAsString();
            List<String> lines = Lines.differ(pretty(a), pretty(OperatorsFile.evaluate(file)));
            lines.forEach(System.out::println);
            return lines.isEmpty() ? OK : NO;
        });
    }

    private static List<String> pretty(String json) {
        return List.of(new com.google.gson.GsonBuilder().setPrettyPrinting().disableHtmlEscaping().create()
            .toJson(JsonParser.parseString(json)).split("\n"));
    }

    /** What was taken out and put in, by the longest common sequence of lines. */
    private static final class Lines {
        static List<String> differ(List<String> a, List<String> b) {
            int[][] same = new int[a.size() + 1][b.size() + 1];
            for (int i = a.size() - 1; i >= 0; i--) {
                for (int j = b.size() - 1; j >= 0; j--) {
                    same[i][j] = a.get(i).equals(b.get(j)) ? 1 + same[i + 1][j + 1]
                        : Math.max(same[i + 1][j], same[i][j + 1]);
                }
            }
            List<String> all = new ArrayList<>();
            for (int i = 0, j = 0; i < a.size() || j < b.size();) {
                if (i < a.size() && j < b.size() && a.get(i).equals(b.get(j))) {
                    i++;
                    j++;
                } else if (j == b.size() || i < a.size() && same[i + 1][j] >= same[i][j + 1]) {
                    all.add("- " + a.get(i++));
                } else {
                    all.add("+ " + b.get(j++));
                }
            }
            return all;
        }
    }
}
