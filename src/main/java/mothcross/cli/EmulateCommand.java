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

/** {@code mothcross emulate}: plays an emulated fleet in virtual time, with faults, for one policy or several. */
@Command(name = "emulate", description = "Plays an emulated fleet in virtual time; its figures are its own.",
    mixinStandardHelpOptions = true)
final class EmulateCommand implements Callable<Integer> {
    private static final int USAGE = 2, RULE_BROKEN = 1;

    @Option(names = "--set", paramLabel = "NAME=VALUE", description = "a value of the town, as often as needed")
    private Map<String, Double> set = new LinkedHashMap<>();

    @Option(names = "--faults", paramLabel = "FILE", description = "what goes wrong, a line each") private Path faults;

    @Option(names = "--draw", paramLabel = "N", description = "so many faults drawn by the seed, in place of a file")
    private int draw;

    @Option(names = "--policy", paramLabel = "NAME", description = "decide, random, least-out, rendezvous, threshold, "
        + "no-cold-budget, all-hops; as often as needed") private List<String> policies = List.of("decide");

    @Option(names = "--against", paramLabel = "JAR", description = "an earlier build's module, as policy 'against'")
    private Path against;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1") private long seed;

    @Option(names = "--hunt", paramLabel = "N",
        description = "plays so many drawn days and prints the worst, shrunk to what "
        + "still shows it") private int hunt;

    @Option(names = "--by-second", description = "the share handled in time, second by second")
    private boolean bySecond;

    @Override public Integer call() throws IOException {
        ScenarioParameters town = new ScenarioParameters();
        FaultSchedule script;
        try {
            for (Map.Entry<String, Double> e : set.entrySet()) town = town.with(e.getKey(), e.getValue());
            script = faults != null ? FaultSchedule.of(Files.readString(faults))
                : FaultSchedule.drawn(new SplittableRandom(seed), draw, town);
        } catch (IllegalArgumentException e) {
            return Main.printError(e.getMessage());
        }
        if (against != null) {
            Baselines.ALL.put("against", new EarlierBuild(against).policy());
            policies = new ArrayList<>(policies);
            if (!policies.contains("against")) policies.add("against");
        }
        boolean kept = true;
        if (hunt > 0) return hunt(town);
        System.out.print(script);
        for (String name : policies) {
            DirectorFactory p = Baselines.ALL.get(name);
            if (p == null) return Main.printError("no policy '" + name + "'; there are " + Baselines.ALL.keySet());
            long begun = System.nanoTime();
            SimulationResult r = Simulation.play(town, script, p, seed);
            System.out.println(name + ": " + r.line());
            for (String f : r.first) System.out.println("  " + f);
            if (bySecond) {
                for (int s = 0; s < town.values().get("seconds"); s++) {
                    System.out.printf(Locale.ROOT, "  %d s %.3f%n", s, r.inTime(s, s + 1));
                }
            }
            System.err.printf(Locale.ROOT, "%.1f s%n", (System.nanoTime() - begun) / 1e9);
            kept &= r.first.isEmpty();
        }
        return kept ? 0 : RULE_BROKEN;
    }

    private int hunt(ScenarioParameters town) {
        for (String name : policies) {
            DirectorFactory p = Baselines.ALL.get(name);
            if (p == null) return Main.printError("no policy '" + name + "'; there are " + Baselines.ALL.keySet());
            WorstCaseSearch.Found worst = WorstCaseSearch.worst(town, p, hunt, seed, WorstCaseSearch::badness);
            WorstCaseSearch.Found shrunk = WorstCaseSearch.shrink(town, p, worst, WorstCaseSearch::badness, 0.8);
            System.out.printf(Locale.ROOT, "# %s: the worst of %d days is seed %d, badness %.3f; shrunk to %.3f "
                + "after %d runs%n%s",
                name, hunt, worst.seed(), worst.badness(), shrunk.badness(), shrunk.played(), shrunk.script());
        }
        return 0;
    }
}
