package mothcross.emulator;

import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;

/**
 * Searches random fault schedules for the one under which a policy does worst, and shrinks it to the shortest schedule
 * that still shows the effect. The same seed finds the same schedule with any number of threads.
 */
public final class WorstCaseSearch {
    /** A fault schedule with its score (higher is worse) and the number of runs taken to find it. */
    public record Candidate(long seed, FaultSchedule faults, double score, int runs) { }

    private WorstCaseSearch() { }

    /** Rule violations rank first, then the on-time share missed in the worst 5 s and overall. */
    public static double score(SimulationResult result) {
        long violations = 0;
        for (long count : result.violations) violations += count;
        return violations > 0 ? 1000 + Math.min(1000, violations) : 1 - result.minOnTimeShare(5)
            + (1 - result.onTimeShare());
    }

    /** Runs a random fault schedule for each of {@code runs} seeds and returns the one with the highest score. */
    public static Candidate search(ScenarioParameters scenario, DirectorFactory policy, int runs, long seed,
        ToDoubleFunction<SimulationResult> score) {
        Candidate[] candidates = IntStream.range(0, runs).parallel().mapToObj(i -> {
            long runSeed = seed + i;
            SplittableRandom random = new SplittableRandom(runSeed);
            FaultSchedule faults = FaultSchedule.random(random, 2 + random.nextInt(5), scenario);
            return new Candidate(runSeed, faults, score.applyAsDouble(Simulation.run(scenario, faults, policy,
                runSeed)), 1);
        }).toArray(Candidate[]::new);
        Candidate worst = candidates[0];
        for (Candidate candidate : candidates) if (candidate.score > worst.score) worst = candidate;
        return new Candidate(worst.seed, worst.faults, worst.score, runs);
    }

    /**
     * Removes lines and makes the rest milder while the score stays at least {@code keptShare} (0 to 1) of the
     * original.
     */
    public static Candidate shrink(ScenarioParameters scenario, DirectorFactory policy, Candidate from,
        ToDoubleFunction<SimulationResult> score, double keptShare) {
        double minScore = from.score >= 1000 ? 1000 : keptShare * from.score;
        FaultSchedule best = from.faults;
        int runs = from.runs;
        for (boolean improved = true; improved;) {
            improved = false;
            for (int i = 0; i < best.size() && best.size() > 1; i++) {
                FaultSchedule shorter = best.without(i);
                runs++;
                if (score.applyAsDouble(Simulation.run(scenario, shorter, policy, from.seed)) < minScore) continue;
                best = shorter;
                improved = true;
                i--;
            }
        }
        for (int i = 0; i < 5; i++) {
            FaultSchedule milder = best.milder();
            runs++;
            if (score.applyAsDouble(Simulation.run(scenario, milder, policy, from.seed)) < minScore) break;
            best = milder;
        }
        double finalScore = score.applyAsDouble(Simulation.run(scenario, best, policy, from.seed));
        return new Candidate(from.seed, best, finalScore, runs + 1);
    }
}
