package mothcross.experiment;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import mothcross.emulator.Baselines;
import mothcross.emulator.FaultSchedule;
import mothcross.emulator.Simulation;

/**
 * Plays a plan over all cores: every cell with every seed, what is in the rows already left out, seeds in turn so
 * that a cell that is
 * known well enough stops early. Owns the threads; each run stays on one. Must give the same rows whatever the order
 * of ends.
 */
public final class Sweep {
    private Sweep() { }

    /** How many runs were played; {@code said} hears of progress now and then. */
    public static int play(ExperimentPlan plan, ResultRows rows, int jobs, Consumer<String> said) throws IOException,
        InterruptedException {
        ExecutorService threads = Executors.newFixedThreadPool(jobs, r -> {
            Thread t = new Thread(r, "run");
            t.setDaemon(true);
            return t;
        });
        AtomicInteger played = new AtomicInteger();
        Set<String> enough = ConcurrentHashMap.newKeySet();
        long begun = System.nanoTime();
        try {
            // A round of some seeds for all cells at a time: the stop rule is asked between rounds, by whole rounds
            // only.
            int step = Math.max(1, plan.stopLeast);
            for (int from = 1; from <= plan.seeds; from += step) {
                List<Future<?>> round = new ArrayList<>();
                for (ExperimentPlan.Cell c : plan.cells) {
                    if (enough.contains(c.name())) continue;
                    for (int seed = from; seed < from + step && seed <= plan.seeds; seed++) {
                        if (rows.has(c.name(), seed)) continue;
                        int s = seed;
                        round.add(threads.submit(() -> {
                            rows.add(c.name(), s, Simulation.play(c.town(), FaultSchedule.of(c.faults()),
                                Baselines.ALL.get(c.policy()), s));
                            played.incrementAndGet();
                            return null;
                        }));
                    }
                }
                for (Future<?> f : round) f.get();
                for (ExperimentPlan.Cell c : plan.cells) if (known(plan, rows, c)) enough.add(c.name());
                int seeds = Math.min(plan.seeds, from + step - 1);
                double s = (System.nanoTime() - begun) / 1e9, left = s / seeds * (plan.seeds - seeds);
                said.accept(String.format(java.util.Locale.ROOT,
                    "%d of %d seeds, %d runs, %d of %d cells known well enough, %.0f s, "
                    + "at most %.0f s left", seeds, plan.seeds, played.get(), enough.size(), plan.cells.size(), s,
                        left));
                if (enough.size() == plan.cells.size()) break;
            }
        } catch (ExecutionException e) {
            throw new IOException("a run failed: " + e.getCause(), e.getCause());
        } finally {
            threads.shutdownNow();
        }
        return played.get();
    }

    private static boolean known(ExperimentPlan plan, ResultRows rows, ExperimentPlan.Cell c) {
        if (plan.stopWidth <= 0 || rows.count(c.name()) < plan.stopLeast) return false;
        double[] v = rows.figures(c.name(), plan.metrics.get(0)).values().stream().mapToDouble(x -> x).toArray();
        return Sample.of(v).halfWidth() <= plan.stopWidth;
    }
}
