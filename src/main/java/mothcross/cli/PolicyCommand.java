package mothcross.cli;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
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
 * {@code mothcross policy}: changes of the fleet's policy, requested from any running director. Exit status: 0 done; 1
 * refused, aborted, or ({@code status}, {@code explain}) a change is held up; 2 the request failed or was not
 * understood; 3 not known when the time of the command was up: the change may still be committed or aborted.
 */
@Command(name = "policy", description = "Changes the fleet's policy: on every director or on none.",
    mixinStandardHelpOptions = true)
final class PolicyCommand implements Callable<Integer> {
    private static final Logger LOG = LoggerFactory.getLogger("mothcross.policy");
    private static final int OK = 0;
    private static final int NO = 1;
    private static final int USAGE = 2;
    private static final int UNKNOWN = 3;
    private static final long WAIT_LOG_INTERVAL_MS = 5000;
    private static final long POLL_INTERVAL_MS = 50;
    private static final long PROBE_WAIT_MS = 700;
    private static final double STEP_TIMEOUT_S = 10;
    /** How many deadlines of a change the command waits for its outcome. */
    private static final double DEADLINES_WAITED = 3;
    private static final int SHOWN_DIGEST_CHARS = 12;
    private static final String UNDECIDED = "not decided yet: policy explain says who does not answer";
    /** The compiled form of a policy without routes. */
    private static final Object NO_RULES = new Object();

    @Spec private CommandSpec spec;

    /** Joins the fleet, learns the decided policy, and returns when this director may serve by it. */
    static Main.FleetService joinFleet(FleetSettings fleetSettings, PolicySettings policySettings,
                                       StartupConfig startup, DirectorServer server, String relay, long skewMs,
                                       boolean tellsPlan, Consumer<Main.FleetService> onCreated)
        throws IOException, InterruptedException {
        FleetNode fleet = FleetCommand.createNode(fleetSettings, startup, relay, skewMs, server::scaleLimits);
        InetSocketAddress address = FleetCommand.parseAddress(fleetSettings.listen());
        PolicyNode policy = new PolicyNode(fleetSettings.fleet(), startup.name, fleet.initialIncarnation(),
            address.getHostString(), address.getPort(), policySettings.voters(), fleet::members,
            policySettings.leaseMs(), policySettings.stateDirectory(), new RouteActivator(server), fleet::send);
        fleet.attach(policy);
        server.usePolicy(policy, tellsPlan);
        Main.FleetService service = new Main.FleetService() {
            @Override public void afterStop() throws InterruptedException {
                policy.leave();
                fleet.close();
                policy.close();
            }
        };
        onCreated.accept(service);
        fleet.start();
        policy.start();
        while (!policy.awaitRegistration(WAIT_LOG_INTERVAL_MS)) {
            LOG.atWarn().addKeyValue("why", policy.notReadyReason())
                .log("policy: waiting for its voters before serving");
        }
        return service;
    }

    /** Compiles texts of the policy to route tables, and puts them in force at the director. */
    private record RouteActivator(DirectorServer server) implements PolicyActivator {
        @Override public Object compile(String digest, byte[] text, List<String> problems) {
            try {
                RouteRules rules = OperatorsFile.parsePolicy("policy", new String(text, StandardCharsets.UTF_8))
                    .part(SettingsPart.ROUTES);
                return rules == null ? NO_RULES : server.compilePolicy(rules, problems);
            } catch (OperatorsFile.InvalidOperatorsFileException e) {
                problems.addAll(e.problems());
                return null;
            }
        }

        @Override public void activate(Plan plan, Object main, Object trial) {
            server.activatePolicy(plan, tableOrNull(main), tableOrNull(trial));
        }

        private static RouteTable tableOrNull(Object compiled) {
            return compiled instanceof RouteTable table ? table : null;
        }
    }

    @Override public Integer call() {
        spec.commandLine().usage(System.err);
        return USAGE;
    }

    private interface AdminAction {
        int run() throws IOException, OperatorsFile.InvalidOperatorsFileException, InterruptedException;
    }

    private static int runAction(AdminAction action) {
        try {
            return action.run();
        } catch (IOException | OperatorsFile.InvalidOperatorsFileException e) {
            return FleetCommand.reportFailure(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return UNKNOWN;
        }
    }

    private static String randomId() {
        return Long.toHexString(new SplittableRandom().nextLong());
    }

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    private static String string(JsonObject object, String field) {
        return object.get(field).getAsString();
    }

    private static JsonObject requireSuccess(JsonObject answer) throws IOException {
        if (answer.has("failed")) throw new IOException(string(answer, "failed"));
        return answer;
    }

    private static JsonObject requestStatus(FleetCommand.AdminTarget target)
        throws IOException, OperatorsFile.InvalidOperatorsFileException {
        return requireSuccess(target.request("policy status"));
    }

    /** Polls until the director reports the outcome of a request; null if it has not done so in time. */
    private static String awaitOutcome(FleetCommand.AdminTarget target, String requestId, double deadlineMs)
        throws IOException, OperatorsFile.InvalidOperatorsFileException, InterruptedException {
        while (true) {
            JsonObject answer = requireSuccess(target.request("policy tried " + requestId));
            if (answer.has("outcome")) return string(answer, "outcome");
            if (nowMs() >= deadlineMs) return null;
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    /** Requests one step, such as {@code abort ID}, and waits for its outcome. */
    private static int runStep(FleetCommand.AdminTarget target, String verb, String argument)
        throws IOException, OperatorsFile.InvalidOperatorsFileException, InterruptedException {
        String requestId = randomId();
        requireSuccess(target.request("policy " + verb + " " + requestId + " " + argument));
        String outcome = awaitOutcome(target, requestId, nowMs() + STEP_TIMEOUT_S * 1000);
        System.out.println(outcome == null ? UNDECIDED : outcome);
        if (outcome == null) return UNKNOWN;
        return outcome.startsWith("done") ? OK : NO;
    }

    /** Parses a duration such as 30, 30s, 500ms or 2m; in seconds. */
    static double seconds(String duration) {
        if (!duration.matches("\\d+(\\.\\d+)?(ms|s|m)?")) {
            throw new IllegalArgumentException(duration + " is no time: 30s, 500ms, 2m");
        }
        double number = Double.parseDouble(duration.replaceAll("[ms]+$", ""));
        if (duration.endsWith("ms")) return number / 1000;
        return duration.endsWith("m") ? 60 * number : number;
    }

    private static Plan.Canary parseCanary(String option) {
        final String sharePrefix = "share=";
        final String namesPrefix = "names=";
        if (option == null) return Plan.Canary.NONE;
        if (option.startsWith(sharePrefix)) {
            double share = Double.parseDouble(option.substring(sharePrefix.length()));
            if (share > 0 && share < 1) return new Plan.Canary(List.of(), share);
        } else if (option.startsWith(namesPrefix) && option.length() > namesPrefix.length()) {
            return new Plan.Canary(List.of(option.substring(namesPrefix.length()).split(",")), 0);
        }
        throw new IllegalArgumentException("--canary is share=0.05 (of the objects, at all) or names=n1,n2");
    }

    /** Proposes a change and follows it until it is committed, aborted or on trial, or time is up. */
    private static int propose(FleetCommand.AdminTarget target, String digest, String note, String mode,
                               String deadline, Plan.Canary canary, Boolean leases)
        throws IOException, OperatorsFile.InvalidOperatorsFileException, InterruptedException {
        String id = randomId();
        double deadlineMs = 1000 * seconds(deadline);
        double waitUntilMs = nowMs() + deadlineMs * DEADLINES_WAITED;
        JsonObject status = requestStatus(target);
        Map<String, Object> proposal = new LinkedHashMap<>();
        proposal.put("id", id);
        proposal.put("digest", digest);
        proposal.put("note", note);
        proposal.put("mode", mode.toUpperCase(java.util.Locale.ROOT));
        proposal.put("deadlineMs", deadlineMs);
        proposal.put("canary", canary);
        proposal.put("leases",
            leases == null ? status.getAsJsonObject("plan").get("leases").getAsBoolean() : leases);
        byte[] body = new Gson().toJson(proposal).getBytes(StandardCharsets.UTF_8);
        requireSuccess(target.request("policy propose", body));
        String outcome = awaitOutcome(target, id, waitUntilMs);
        if (outcome != null && outcome.startsWith("done")) return follow(target, id, waitUntilMs);
        System.out.println(outcome == null ? UNDECIDED : outcome);
        return outcome == null ? UNKNOWN : NO;
    }

    private static int follow(FleetCommand.AdminTarget target, String id, double deadlineMs)
        throws IOException, OperatorsFile.InvalidOperatorsFileException, InterruptedException {
        while (true) {
            JsonObject status = requestStatus(target);
            for (JsonElement element : status.getAsJsonArray("lately")) {
                JsonObject ended = element.getAsJsonObject();
                if (!string(ended, "id").equals(id)) continue;
                String outcome = string(ended, "outcome");
                String reason = string(ended, "why");
                System.out.println("change " + id + " " + outcome + ", plan " + string(ended, "plan")
                    + (reason.isEmpty() ? "" : ": " + reason));
                return outcome.equals("COMMITTED") ? OK : NO;
            }
            JsonObject change = status.getAsJsonObject("change");
            if (change != null && string(change, "id").equals(id) && string(change, "stage").equals("TRIAL")) {
                System.out.println("change " + id + " is on trial: policy promote " + id + ", or policy abort " + id);
                return OK;
            }
            if (nowMs() >= deadlineMs) {
                System.out.println("change " + id + " is not through yet: policy explain says who holds it up");
                return UNKNOWN;
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    /** Uploads a text of the policy, waits until the director has checked and stored it, and returns its digest. */
    private static String upload(FleetCommand.AdminTarget target, String json)
        throws IOException, OperatorsFile.InvalidOperatorsFileException, InterruptedException {
        byte[] text = json.getBytes(StandardCharsets.UTF_8);
        String digest = digest(text);
        requireSuccess(target.request("policy bring " + digest, text));
        while (true) {
            String state = string(requireSuccess(target.request("policy brought " + digest)), "state");
            if (state.equals("kept")) return digest;
            if (!state.equals("checking")) throw new IOException(state);
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    private static String digest(byte[] text) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);             // every JDK has SHA-256
        }
    }

    @Command(name = "propose", description = "Proposes a change to the whole fleet; waits until it is committed or "
        + "aborted.", mixinStandardHelpOptions = true)
    int propose(@Mixin FleetCommand.AdminTarget target,
                @Parameters(paramLabel = "FILE", description = "Jsonnet: the parts that all directors share, routes")
                Path file,
                @Option(names = "--deadline", defaultValue = "30s") String deadline,
                @Option(names = "--mode", defaultValue = "hold", description = "hold or stop") String mode,
                @Option(names = "--canary", paramLabel = "share=S|names=A,B",
                    description = "tries the change on a part first") String part,
                @Option(names = "--note", defaultValue = "") String note) {
        return runAction(() -> {
            if (!List.of("hold", "stop").contains(mode)) return Main.printError("--mode is hold or stop");
            try {
                String json = OperatorsFile.evaluate(file);
                OperatorsFile.parsePolicy(file.toString(), json);
                return propose(target, upload(target, json), note, mode, deadline, parseCanary(part), null);
            } catch (IllegalArgumentException e) {
                return Main.printError(e.getMessage());
            }
        });
    }

    @Command(name = "undo", description = "Proposes a change back to the text before the one in force.",
        mixinStandardHelpOptions = true)
    int undo(@Mixin FleetCommand.AdminTarget target,
             @Option(names = "--deadline", defaultValue = "30s") String deadline,
             @Option(names = "--mode", defaultValue = "hold") String mode) {
        return runAction(() -> {
            JsonObject status = requestStatus(target);
            String previousText = string(status, "previous_text");
            String note = "undo of plan " + string(status.getAsJsonObject("plan"), "number");
            return propose(target, previousText, note, mode, deadline, Plan.Canary.NONE, null);
        });
    }

    @Command(name = "leases", description = "Turns leases on or off for the fleet; mode stop needs them.",
        mixinStandardHelpOptions = true)
    int leases(@Mixin FleetCommand.AdminTarget target, @Parameters(paramLabel = "on|off") String to,
               @Option(names = "--deadline", defaultValue = "30s") String deadline) {
        if (!List.of("on", "off").contains(to)) return Main.printError("on or off");
        return runAction(() -> {
            String currentText = string(requestStatus(target).getAsJsonObject("plan"), "main");
            return propose(target, currentText, "leases " + to, "hold", deadline, Plan.Canary.NONE, to.equals("on"));
        });
    }

    @Command(name = "abort", description = "Ends a change that is not committed; a trial is rolled back.",
        mixinStandardHelpOptions = true)
    int abort(@Mixin FleetCommand.AdminTarget target, @Parameters(paramLabel = "ID") String id) {
        return runAction(() -> runStep(target, "abort", id));
    }

    @Command(name = "promote", description = "Extends the change on trial to all.", mixinStandardHelpOptions = true)
    int promote(@Mixin FleetCommand.AdminTarget target, @Parameters(paramLabel = "ID") String id,
                @Option(names = "--within", defaultValue = "60s") String within) {
        return runAction(() -> {
            int exitStatus = runStep(target, "promote", id);
            return exitStatus != OK ? exitStatus : follow(target, id, nowMs() + 1000 * seconds(within));
        });
    }

    @Command(name = "strike", description = "Removes the registration of a director; you assert that it does not run.",
        mixinStandardHelpOptions = true)
    int strike(@Mixin FleetCommand.AdminTarget target, @Parameters(paramLabel = "NAME") String name) {
        return runAction(() -> runStep(target, "strike", name));
    }

    @Command(name = "voters", description = "Replaces the voters; one that is new, or whose disk is new, with its "
        + "mark.", mixinStandardHelpOptions = true)
    int voters(@Mixin FleetCommand.AdminTarget target, @Parameters(paramLabel = "NAME[=MARK],...") String set) {
        return runAction(() -> runStep(target, "voters", set));
    }

    @Command(name = "status", description = "Prints the plan in force and the change under way; with --json, also "
        + "voters and registrations.", mixinStandardHelpOptions = true)
    int status(@Mixin FleetCommand.AdminTarget target, @Option(names = "--json") boolean json) {
        return runAction(() -> {
            JsonObject status = requestStatus(target);
            if (json) System.out.println(status);
            else print(status);
            return status.has("change") || !string(status, "stopped").equals("NO") ? NO : OK;
        });
    }

    private static void print(JsonObject status) {
        JsonObject plan = status.getAsJsonObject("plan");
        String stopped = string(status, "stopped");
        String decides = stopped.equals("NO") ? " decides by plan " : " decides nothing (" + stopped + "); plan ";
        System.out.println(string(status, "name") + decides + string(plan, "number")
            + ", text " + abbreviateDigest(string(plan, "main"))
            + ", leases " + (plan.get("leases").getAsBoolean() ? "on" : "off")
            + "; revision " + string(status, "revision")
            + (status.has("roll") ? ", directors " + status.getAsJsonArray("roll").size() : ""));
        JsonObject change = status.getAsJsonObject("change");
        if (change != null) {
            System.out.println("change " + string(change, "id") + " by " + string(change, "by") + ": "
                + string(change, "stage") + " for " + string(status, "stage_for_ms") + " ms, mode "
                + string(change, "mode"));
        }
    }

    private static String abbreviateDigest(String digest) {
        return digest.isEmpty() ? "none" : digest.substring(0, SHOWN_DIGEST_CHARS);
    }

    @Command(name = "explain", description = "Explains what holds a change up: who has not answered, for how long.",
        mixinStandardHelpOptions = true)
    int explain(@Mixin FleetCommand.AdminTarget target) {
        return runAction(() -> {
            requireSuccess(target.request("policy probe " + randomId()));
            Thread.sleep(PROBE_WAIT_MS);        // for the answers of the voters; a late one is reported as such
            JsonObject status = requestStatus(target);
            print(status);
            List<String> lines = new ArrayList<>();
            explainVoters(status, lines);
            if (status.has("held_up_by")) {
                status.getAsJsonObject("held_up_by").entrySet().forEach(entry ->
                    lines.add("waits for " + entry.getKey() + ": " + entry.getValue().getAsString()));
            }
            if (status.has("change") && !status.has("roll")) {
                lines.add("this director has no registrations: ask a voter");
            }
            lines.forEach(System.out::println);
            if (lines.isEmpty()) System.out.println("nothing holds anything up");
            return lines.isEmpty() ? OK : NO;
        });
    }

    private static void explainVoters(JsonObject status, List<String> lines) {
        int voterCount = status.getAsJsonArray("voters").size();
        int notVoting = 0;
        for (JsonElement element : status.getAsJsonArray("voters")) {
            JsonObject voter = element.getAsJsonObject();
            String name = string(voter, "name");
            boolean wasHeard = voter.has("heard_ms_ago");
            boolean isLate = !wasHeard || voter.get("heard_ms_ago").getAsLong() > 2 * PROBE_WAIT_MS;
            boolean hasNewDisk = voter.has("answers_as");
            if (isLate || hasNewDisk) notVoting++;
            if (isLate) {
                lines.add("voter " + name + (wasHeard
                    ? " has not answered for " + string(voter, "heard_ms_ago") + " ms"
                    : " has not answered since this director began"));
            }
            if (hasNewDisk) {
                lines.add("voter " + name + " has a new disk, its votes do not count: policy voters, with " + name
                    + "=" + string(voter, "answers_as"));
            }
        }
        if (2 * (voterCount - notVoting) <= voterCount) {
            lines.add(0, "the quorum is lost: nothing can be decided until more than half of the voters are back; "
                + "directors go on by plan " + string(status.getAsJsonObject("plan"), "number"));
        }
    }

    @Command(name = "log", description = "Prints how the last changes ended.", mixinStandardHelpOptions = true)
    int log(@Mixin FleetCommand.AdminTarget target) {
        return runAction(() -> {
            for (JsonElement element : requestStatus(target).getAsJsonArray("lately")) {
                JsonObject ended = element.getAsJsonObject();
                String reason = string(ended, "why");
                System.out.println(string(ended, "id") + " " + string(ended, "outcome") + " by " + string(ended, "by")
                    + ", text " + abbreviateDigest(string(ended, "digest"))
                    + ", plan " + string(ended, "plan") + " from then on, revision " + string(ended, "revision")
                    + (reason.isEmpty() ? "" : ": " + reason));
            }
            return OK;
        });
    }

    @Command(name = "diff", description = "Compares the text in force with a file, both evaluated, line by line; exit "
        + "status 1 if they differ.", mixinStandardHelpOptions = true)
    int diff(@Mixin FleetCommand.AdminTarget target, @Parameters(paramLabel = "FILE") Path file) {
        return runAction(() -> {
            String digest = string(requestStatus(target).getAsJsonObject("plan"), "main");
            String current = digest.isEmpty() ? "{}"
                : string(requireSuccess(target.request("policy text " + digest)), "text");
            List<String> lines = LineDiff.diff(prettyLines(current), prettyLines(OperatorsFile.evaluate(file)));
            lines.forEach(System.out::println);
            return lines.isEmpty() ? OK : NO;
        });
    }

    private static List<String> prettyLines(String json) {
        return List.of(new GsonBuilder().setPrettyPrinting().disableHtmlEscaping().create()
            .toJson(JsonParser.parseString(json)).split("\n"));
    }

    /** The deleted and inserted lines, by the longest common subsequence. */
    private static final class LineDiff {
        static List<String> diff(List<String> before, List<String> after) {
            int[][] commonLength = new int[before.size() + 1][after.size() + 1];
            for (int i = before.size() - 1; i >= 0; i--) {
                for (int j = after.size() - 1; j >= 0; j--) {
                    commonLength[i][j] = before.get(i).equals(after.get(j)) ? 1 + commonLength[i + 1][j + 1]
                        : Math.max(commonLength[i + 1][j], commonLength[i][j + 1]);
                }
            }
            List<String> changes = new ArrayList<>();
            int i = 0;
            int j = 0;
            while (i < before.size() || j < after.size()) {
                if (i < before.size() && j < after.size() && before.get(i).equals(after.get(j))) {
                    i++;
                    j++;
                } else if (j == after.size()
                    || i < before.size() && commonLength[i + 1][j] >= commonLength[i][j + 1]) {
                    changes.add("- " + before.get(i++));
                } else {
                    changes.add("+ " + after.get(j++));
                }
            }
            return changes;
        }
    }
}
