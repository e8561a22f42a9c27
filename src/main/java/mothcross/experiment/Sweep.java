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
 * Runs a plan on several threads: every cell with every seed, except runs whose rows exist. Seeds are run in batches,
 * so that a cell whose interval is narrow enough stops early. Each run stays on one thread; the rows do not depend on
 * the order in which runs end.
 */
public final class Sweep {
    private Sweep() { }

    /** Returns the number of runs; {@code progress} receives a line after each batch. */
    public static int run(ExperimentPlan plan, ResultRows rows, int jobs, Consumer<String> progress) throws IOException,
        InterruptedException {
        ExecutorService threads = Executors.newFixedThreadPool(jobs, task -> {
            Thread thread = new Thread(task, "run");
            thread.setDaemon(true);
            return thread;
        });
        AtomicInteger completed = new AtomicInteger();
        Set<String> finishedCells = ConcurrentHashMap.newKeySet();
        long startNanos = System.nanoTime();
        try {
            // One batch runs some seeds of all cells; the stop rule is evaluated between complete batches only.
            int batchSeeds = Math.max(1, plan.minSeeds);
            for (int firstSeed = 1; firstSeed <= plan.seeds; firstSeed += batchSeeds) {
                List<Future<?>> batch = new ArrayList<>();
                for (ExperimentPlan.Cell cell : plan.cells) {
                    if (finishedCells.contains(cell.name())) continue;
                    for (int seed = firstSeed; seed < firstSeed + batchSeeds && seed <= plan.seeds; seed++) {
                        if (rows.contains(cell.name(), seed)) continue;
                        int runSeed = seed;
                        batch.add(threads.submit(() -> {
                            rows.add(cell.name(), runSeed, Simulation.run(cell.scenario(),
                                FaultSchedule.of(cell.faults()), Baselines.ALL.get(cell.policy()), runSeed));
                            completed.incrementAndGet();
                            return null;
                        }));
                    }
                }
                for (Future<?> future : batch) future.get();
                for (ExperimentPlan.Cell cell : plan.cells) {
                    if (hasEnoughSeeds(plan, rows, cell)) finishedCells.add(cell.name());
                }
                int seeds = Math.min(plan.seeds, firstSeed + batchSeeds - 1);
                double seconds = (System.nanoTime() - startNanos) / 1e9;
                double remainingSeconds = seconds / seeds * (plan.seeds - seeds);
                progress.accept(String.format(java.util.Locale.ROOT,
                    "%d of %d seeds, %d runs, %d of %d cells known well enough, %.0f s, "
                    + "at most %.0f s left", seeds, plan.seeds, completed.get(), finishedCells.size(),
                    plan.cells.size(), seconds, remainingSeconds));
                if (finishedCells.size() == plan.cells.size()) break;
            }
        } catch (ExecutionException e) {
            throw new IOException("a run failed: " + e.getCause(), e.getCause());
        } finally {
            threads.shutdownNow();
        }
        return completed.get();
    }

    private static boolean hasEnoughSeeds(ExperimentPlan plan, ResultRows rows, ExperimentPlan.Cell cell) {
        if (plan.stopHalfWidth <= 0 || rows.count(cell.name()) < plan.minSeeds) return false;
        double[] values = rows.figures(cell.name(), plan.metrics.get(0)).values().stream().mapToDouble(x ->
            x).toArray();
        return Sample.of(values).halfWidth() <= plan.stopHalfWidth;
    }
}
