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

/** {@code mothcross expr}: the routes of an operators' file, looked at without serving. */
@Command(name = "expr", description = "Looks at the routes of an operators' file.", mixinStandardHelpOptions = true,
    subcommands = {ExprCommand.Check.class, ExprCommand.Explain.class, ExprCommand.Bench.class,
        ExprCommand.Shell.class})
final class ExprCommand implements Callable<Integer> {
    private static final int USAGE = 2, NO_HOPS_TOLD = 100;
    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override public Integer call() {
        spec.commandLine().usage(System.err);
        return USAGE;
    }

    /** {@code told} null: workloads and hops of the settings are not checked. */
    static RouteTable compile(RouteRules rules, StartupConfig told, List<String> faults) {
        return RouteTable.compile(rules, told == null ? null : told.directorSettings.workloads,
            told == null ? null : told.directorSettings.workloadTable,
            told == null ? 1 : told.directorSettings.directorsInZone, told == null ? NO_HOPS_TOLD : told.maxHops, null,
            faults);
    }

    private static final class RoutesOptions {
        @Parameters(paramLabel = "FILE", description = "the operators' file") private Path file;

        @Option(names = "--config", paramLabel = "FILE",
            description = "what the director is told: its workloads are checked too")
        private Path config;

        /** Null where it has said what is wrong. */
        RouteTable table() throws StartupConfig.InvalidConfigException {
            List<String> faults = new ArrayList<>();
            RouteTable t = null;
            try {
                RouteRules rules = OperatorsFile.read(file).part(SettingsPart.ROUTES);
                if (rules == null) faults.add(file + " has no routes");
                else t = compile(rules, config == null ? null : StartupConfig.read(config, null, false), faults);
            } catch (OperatorsFile.InvalidOperatorsFileException e) {
                for (String fault : e.problems()) faults.add(file + ": " + fault);
            }
            for (String fault : faults) System.err.println("mothcross: " + fault);
            return t;
        }
    }

    @Command(name = "check", description = "Compiles every expression: costs, what can never matter, or every fault.",
        mixinStandardHelpOptions = true)
    static final class Check implements Callable<Integer> {
        @Mixin private RoutesOptions which;

        @Override public Integer call() throws StartupConfig.InvalidConfigException {
            RouteTable t = which.table();
            if (t == null) return USAGE;
            System.out.println(t.size() + " rules; a request costs at most " + t.worstCaseSteps() + " steps");
            for (Map.Entry<String, Long> c : t.costs().entrySet()) {
                System.out.println("  " + c.getKey() + ": match at most " + c.getValue() + " steps");
            }
            for (String n : t.notes()) System.out.println("never matters: " + n);
            return 0;
        }
    }

    @Command(name = "explain", description = "Which rule takes a request, with each part's value and cost.",
        mixinStandardHelpOptions = true)
    static final class Explain implements Callable<Integer> {
        @Mixin private RoutesOptions which;

        @Option(names = "--target", paramLabel = "TARGET", description = "as in /api/v2/WORKLOAD/OBJECT/piece-3")
        private String target;

        @Option(names = "--header", paramLabel = "NAME:VALUE", description = "as often as there are headers")
        private List<String> headers = List.of();

        @Option(names = "--head", paramLabel = "FILE",
            description = "a whole head, in place of both") private Path head;

        @Override public Integer call() throws Exception {
            RouteTable t = which.table();
            if (t == null) return USAGE;
            if (target == null == (head == null)) return Main.printError("give --target, or --head");
            RequestHead h = new RequestHead(head != null ? Files.readString(head) : target
                + "\n" + String.join("\n", headers), t.headers());
            double now = System.currentTimeMillis();
            RouteTable.Outcome o = t.route(h, -1, NO_HOPS_TOLD, now);
            long steps = t.steps();
            System.out.println("rule: " + t.name(o.rule));
            if (o.status != 0) {
                System.out.println("refused with " + o.status + ": " + o.reason + (o.retryAfterMs > 0
                    ? ", come back after " + Math.round(o.retryAfterMs) + " ms" : ""));
            }
            if (o.hasPlacementKey) System.out.println("placed by " + Long.toHexString(o.placementKey));
            if (o.importanceShare != 1) System.out.println("importance " + o.importanceShare);
            if (o.maxHops != NO_HOPS_TOLD) System.out.println("further hops " + (o.maxHops - 1));
            System.out.println("steps: " + steps + " of at most " + t.worstCaseSteps());
            if (o.rule >= 0) t.explain(h, o.rule, now).forEach(System.out::println);
            return 0;
        }
    }

    @Command(name = "bench", description = "How long routing a request takes here, for a short look.",
        mixinStandardHelpOptions = true)
    static final class Bench implements Callable<Integer> {
        @Mixin private RoutesOptions which;

        @Option(names = "--target", paramLabel = "TARGET", required = true) private String target;

        @Option(names = "--header", paramLabel = "NAME:VALUE") private List<String> headers = List.of();

        @Override public Integer call() throws StartupConfig.InvalidConfigException {
            RouteTable t = which.table();
            if (t == null) return USAGE;
            RequestHead h = new RequestHead(target + "\n" + String.join("\n", headers), t.headers());
            int n = 200_000;
            double best = Double.MAX_VALUE;
            for (int round = 0; round < 10; round++) {
                long begun = System.nanoTime();
                for (int i = 0; i < n; i++) t.route(h, -1, NO_HOPS_TOLD, 1e12 + i);
                best = Math.min(best, (System.nanoTime() - begun) / (double) n);
            }
            System.out.printf(Locale.ROOT, "%.0f ns a request with %d rules, %d steps%n", best, t.size(), t.steps());
            return 0;
        }
    }

    @Command(name = "shell", description = "Tries expressions by hand, with completion.",
        mixinStandardHelpOptions = true)
    static final class Shell implements Callable<Integer> {
        @Override public Integer call() throws Exception {
            return ToolLauncher.run("mothcross.cli.ExprShell");
        }
    }
}
