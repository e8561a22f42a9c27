package mothcross.emulator;

import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;

/**
 * Looks for the day on which a policy does worst, and shrinks it to the shortest script that still shows it. Owns the
 * search;
 * the same seed finds the same day, however many threads play.
 */
public final class WorstCaseSearch {
    /** A day: how bad it is, and how many were played to find it. */
    public record Found(long seed, FaultSchedule script, double badness, int played) { }

    private WorstCaseSearch() { }

    /** Breaks of rules first, then how much of the worst 5 s was missed. */
    public static double badness(SimulationResult r) {
        long broken = 0;
        for (long b : r.broken) broken += b;
        return broken > 0 ? 1000 + Math.min(1000, broken) : 1 - r.worst(5) + (1 - r.inTime());
    }

    public static Found worst(ScenarioParameters town, DirectorFactory policy, int days, long seed, ToDoubleFunction<SimulationResult> badness) {
        Found[] all = IntStream.range(0, days).parallel().mapToObj(i -> {
            long mine = seed + i;
            SplittableRandom r = new SplittableRandom(mine);
            FaultSchedule s = FaultSchedule.drawn(r, 2 + r.nextInt(5), town);
            return new Found(mine, s, badness.applyAsDouble(Simulation.play(town, s, policy, mine)), 1);
        }).toArray(Found[]::new);
        Found worst = all[0];
        for (Found f : all) if (f.badness > worst.badness) worst = f;
        return new Found(worst.seed, worst.script, worst.badness, days);
    }

    /** Leaves out lines and makes the rest milder while the day stays {@code keeps} (0 to 1) as bad. */
    public static Found shrink(ScenarioParameters town, DirectorFactory policy, Found from, ToDoubleFunction<SimulationResult> badness, double keeps) {
        double least = from.badness >= 1000 ? 1000 : keeps * from.badness;
        FaultSchedule best = from.script;
        int played = from.played;
        for (boolean again = true; again;) {
            again = false;
            for (int i = 0; i < best.size() && best.size() > 1; i++) {
                FaultSchedule less = best.without(i);
                played++;
                if (badness.applyAsDouble(Simulation.play(town, less, policy, from.seed)) < least) continue;
                best = less;
                again = true;
                i--;
            }
        }
        for (int i = 0; i < 5; i++) {
            FaultSchedule milder = best.milder();
            played++;
            if (badness.applyAsDouble(Simulation.play(town, milder, policy, from.seed)) < least) break;
            best = milder;
        }
        double now = badness.applyAsDouble(Simulation.play(town, best, policy, from.seed));
        return new Found(from.seed, best, now, played + 1);
    }
}
