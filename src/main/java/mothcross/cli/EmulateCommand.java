package mothcross.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import mothcross.emulator.Baselines;
import mothcross.emulator.DirectorFactory;
import mothcross.emulator.EarlierBuild;
import mothcross.emulator.FaultSchedule;
import mothcross.emulator.ScenarioParameters;
import mothcross.emulator.Simulation;
import mothcross.emulator.SimulationResult;
import mothcross.emulator.WorstCaseSearch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code mothcross emulate}: simulates a fleet in virtual time, with faults, for one policy or several. */
@Command(name = "emulate", description = "Simulates a fleet in virtual time; its figures hold for the simulation only.",
    mixinStandardHelpOptions = true)
final class EmulateCommand implements Callable<Integer> {
    private static final int OK = 0;
    private static final int RULE_BROKEN = 1;
    private static final String AGAINST = "against";
    /** A shrunk scenario has to keep this share of the badness of the worst one. */
    private static final double KEPT_BADNESS_SHARE = 0.8;

    @Option(names = "--set", paramLabel = "NAME=VALUE", description = "sets a parameter of the scenario; may be given "
        + "more than once")
    private Map<String, Double> set = new LinkedHashMap<>();

    @Option(names = "--faults", paramLabel = "FILE", description = "the faults, one a line")
    private Path faults;

    @Option(names = "--draw", paramLabel = "N", description = "this many random faults, in place of a file")
    private int draw;

    @Option(names = "--policy", paramLabel = "NAME", description = "decide, random, least-out, rendezvous, threshold, "
        + "no-cold-budget, all-hops; may be given more than once")
    private List<String> policies = List.of("decide");

    @Option(names = "--against", paramLabel = "JAR", description = "an earlier build's module, as policy 'against'")
    private Path against;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1")
    private long seed;

    @Option(names = "--hunt", paramLabel = "N",
        description = "simulates this many random scenarios and prints the worst, shrunk to what still shows it")
    private int hunt;

    @Option(names = "--by-second", description = "prints the share handled in time, second by second")
    private boolean bySecond;

    @Override public Integer call() throws IOException {
        ScenarioParameters parameters = new ScenarioParameters();
        FaultSchedule schedule;
        try {
            for (Map.Entry<String, Double> entry : set.entrySet()) {
                parameters = parameters.with(entry.getKey(), entry.getValue());
            }
            schedule = faults != null ? FaultSchedule.of(Files.readString(faults))
                : FaultSchedule.random(new SplittableRandom(seed), draw, parameters);
        } catch (IllegalArgumentException e) {
            return Main.printError(e.getMessage());
        }
        if (against != null) {
            Baselines.ALL.put(AGAINST, new EarlierBuild(against).policy());
            policies = new ArrayList<>(policies);
            if (!policies.contains(AGAINST)) policies.add(AGAINST);
        }
        if (hunt > 0) return hunt(parameters);
        System.out.print(schedule);
        boolean allRulesHeld = true;
        for (String name : policies) {
            DirectorFactory policy = Baselines.ALL.get(name);
            if (policy == null) return unknownPolicy(name);
            long startNs = System.nanoTime();
            SimulationResult result = Simulation.run(parameters, schedule, policy, seed);
            print(name, result, parameters);
            System.err.printf(Locale.ROOT, "%.1f s%n", (System.nanoTime() - startNs) / 1e9);
            allRulesHeld &= result.firstViolations.isEmpty();
        }
        return allRulesHeld ? OK : RULE_BROKEN;
    }

    private static int unknownPolicy(String name) {
        return Main.printError("no policy '" + name + "'; there are " + Baselines.ALL.keySet());
    }

    private void print(String policyName, SimulationResult result, ScenarioParameters parameters) {
        System.out.println(policyName + ": " + result.line());
        for (String brokenRule : result.firstViolations) System.out.println("  " + brokenRule);
        if (!bySecond) return;
        for (int second = 0; second < parameters.values().get("seconds"); second++) {
            System.out.printf(Locale.ROOT, "  %d s %.3f%n", second, result.onTimeShare(second, second + 1));
        }
    }

    private int hunt(ScenarioParameters parameters) {
        for (String name : policies) {
            DirectorFactory policy = Baselines.ALL.get(name);
            if (policy == null) return unknownPolicy(name);
            WorstCaseSearch.Candidate worst = WorstCaseSearch.search(parameters, policy, hunt, seed,
                WorstCaseSearch::score);
            WorstCaseSearch.Candidate shrunk = WorstCaseSearch.shrink(parameters, policy, worst,
                WorstCaseSearch::score, KEPT_BADNESS_SHARE);
            System.out.printf(Locale.ROOT, "# %s: the worst of %d days is seed %d, badness %.3f; shrunk to %.3f "
                + "after %d runs%n%s",
                name, hunt, worst.seed(), worst.score(), shrunk.score(), shrunk.runs(), shrunk.faults());
        }
        return OK;
    }
}
