package mothcross.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import mothcross.net.StartupConfig;
import mothcross.operators.OperatorsFile;
import mothcross.operators.SettingsPart;
import mothcross.route.RouteRules;
import mothcross.route.RouteTable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code mothcross expr}: checks and tries the routes of an operators' file without serving. */
@Command(name = "expr", description = "Checks and tries the routes of an operators' file.",
    mixinStandardHelpOptions = true, subcommands = {ExprCommand.Check.class, ExprCommand.Explain.class,
        ExprCommand.Bench.class, ExprCommand.Shell.class})
final class ExprCommand implements Callable<Integer> {
    private static final int USAGE = 2;
    /** The maximum of hops where no configuration sets one. */
    private static final int UNCONFIGURED_MAX_HOPS = 100;
    private static final int BENCH_ROUNDS = 10;
    private static final int BENCH_REQUESTS_PER_ROUND = 200_000;
    private static final double BENCH_START_MS = 1e12;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override public Integer call() {
        spec.commandLine().usage(System.err);
        return USAGE;
    }

    /** Compiles the rules; {@code startup} null: their workloads and hops are not checked against a configuration. */
    static RouteTable compile(RouteRules rules, StartupConfig startup, List<String> problems) {
        if (startup == null) {
            return RouteTable.compile(rules, null, null, 1, UNCONFIGURED_MAX_HOPS, null, problems);
        }
        return RouteTable.compile(rules, startup.directorSettings.workloads, startup.directorSettings.workloadTable,
            startup.directorSettings.directorsInZone, startup.maxHops, null, problems);
    }

    private static final class RoutesOptions {
        @Parameters(paramLabel = "FILE", description = "the operators' file")
        private Path file;

        @Option(names = "--config", paramLabel = "FILE",
            description = "the director's configuration, to check workloads too")
        private Path config;

        /** The compiled routes; null if there are problems, which are then printed. */
        RouteTable compileRoutes() throws StartupConfig.InvalidConfigException {
            List<String> problems = new ArrayList<>();
            RouteTable table = null;
            try {
                RouteRules rules = OperatorsFile.read(file).part(SettingsPart.ROUTES);
                if (rules == null) {
                    problems.add(file + " has no routes");
                } else {
                    table = compile(rules, config == null ? null : StartupConfig.read(config, null, false), problems);
                }
            } catch (OperatorsFile.InvalidOperatorsFileException e) {
                for (String problem : e.problems()) problems.add(file + ": " + problem);
            }
            for (String problem : problems) System.err.println("mothcross: " + problem);
            return table;
        }
    }

    @Command(name = "check", description = "Compiles every expression; prints costs and rules without effect, or every "
        + "problem.", mixinStandardHelpOptions = true)
    static final class Check implements Callable<Integer> {
        @Mixin private RoutesOptions options;

        @Override public Integer call() throws StartupConfig.InvalidConfigException {
            RouteTable table = options.compileRoutes();
            if (table == null) return USAGE;
            System.out.println(table.size() + " rules; a request costs at most " + table.worstCaseSteps() + " steps");
            for (Map.Entry<String, Long> cost : table.costs().entrySet()) {
                System.out.println("  " + cost.getKey() + ": match at most " + cost.getValue() + " steps");
            }
            for (String note : table.notes()) System.out.println("never matters: " + note);
            return 0;
        }
    }

    @Command(name = "explain", description = "Prints which rule a request matches, with the value and cost of each "
        + "subexpression.", mixinStandardHelpOptions = true)
    static final class Explain implements Callable<Integer> {
        @Mixin private RoutesOptions options;

        @Option(names = "--target", paramLabel = "TARGET", description = "as in /api/v2/WORKLOAD/OBJECT/piece-3")
        private String target;

        @Option(names = "--header", paramLabel = "NAME:VALUE", description = "may be given more than once")
        private List<String> headers = List.of();

        @Option(names = "--head", paramLabel = "FILE", description = "a whole request head, in place of both")
        private Path head;

        @Override public Integer call() throws Exception {
            RouteTable table = options.compileRoutes();
            if (table == null) return USAGE;
            if (target == null == (head == null)) return Main.printError("give --target, or --head");
            String headText = head != null ? Files.readString(head) : target + "\n" + String.join("\n", headers);
            RequestHead request = new RequestHead(headText, table.headers());
            double nowMs = System.currentTimeMillis();
            RouteTable.Outcome outcome = table.route(request, -1, UNCONFIGURED_MAX_HOPS, nowMs);
            long steps = table.steps();
            System.out.println("rule: " + table.name(outcome.rule));
            if (outcome.status != 0) {
                System.out.println("refused with " + outcome.status + ": " + outcome.reason
                    + (outcome.retryAfterMs > 0
                        ? ", come back after " + Math.round(outcome.retryAfterMs) + " ms" : ""));
            }
            if (outcome.hasPlacementKey) System.out.println("placed by " + Long.toHexString(outcome.placementKey));
            if (outcome.importanceShare != 1) System.out.println("importance " + outcome.importanceShare);
            if (outcome.maxHops != UNCONFIGURED_MAX_HOPS) {
                System.out.println("further hops " + (outcome.maxHops - 1));
            }
            System.out.println("steps: " + steps + " of at most " + table.worstCaseSteps());
            if (outcome.rule >= 0) table.explain(request, outcome.rule, nowMs).forEach(System.out::println);
            return 0;
        }
    }

    @Command(name = "bench", description = "Measures briefly how long routing a request takes on this machine.",
        mixinStandardHelpOptions = true)
    static final class Bench implements Callable<Integer> {
        @Mixin private RoutesOptions options;

        @Option(names = "--target", paramLabel = "TARGET", required = true)
        private String target;

        @Option(names = "--header", paramLabel = "NAME:VALUE")
        private List<String> headers = List.of();

        @Override public Integer call() throws StartupConfig.InvalidConfigException {
            RouteTable table = options.compileRoutes();
            if (table == null) return USAGE;
            RequestHead request = new RequestHead(target + "\n" + String.join("\n", headers), table.headers());
            int requests = BENCH_REQUESTS_PER_ROUND;
            double bestNs = Double.MAX_VALUE;
            for (int round = 0; round < BENCH_ROUNDS; round++) {
                long startNs = System.nanoTime();
                for (int i = 0; i < requests; i++) {
                    table.route(request, -1, UNCONFIGURED_MAX_HOPS, BENCH_START_MS + i);
                }
                bestNs = Math.min(bestNs, (System.nanoTime() - startNs) / (double) requests);
            }
            System.out.printf(Locale.ROOT, "%.0f ns a request with %d rules, %d steps%n", bestNs, table.size(),
                table.steps());
            return 0;
        }
    }

    @Command(name = "shell", description = "Evaluates expressions interactively, with completion.",
        mixinStandardHelpOptions = true)
    static final class Shell implements Callable<Integer> {
        @Override public Integer call() throws Exception {
            return ToolLauncher.run("mothcross.cli.ExprShell");
        }
    }
}
