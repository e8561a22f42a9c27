package mothcross.rig.explore;

import com.carrotsearch.hppc.LongHashSet;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;

/**
 * Goes through every state that a model can reach, nearest first, so that what it finds broken has the shortest way
 * there. Owns the set of states seen, by a 64-bit hash of each; must never look at a state twice, and says whether it
 * has seen all of them or was stopped.
 */
public final class Explorer<S> {
    /** What can happen; states are never changed once they are given out. */
    public interface Model<S> {
        S first();

        /** Every next state, with what led there. */
        void next(S s, BiConsumer<String, S> to);

        long hash(S s);

        /** Null where all promises hold. */
        String broken(S s);
    }

    private record Way(Way before, String what) { }

    private record At<S>(S state, Way way) { }

    /** {@code way} is null where nothing was broken. */
    public record Result(long states, int depth, boolean whole, String broken, List<String> way, double seconds) {
        @Override public String toString() {
            return states + " states, " + depth + " deep, " + (whole ? "all of them" : "stopped") + ", "
                + Math.round(seconds) + " s" + (broken == null ? "" : "\n" + broken + "\n  "
                + String.join("\n  ", way));
        }
    }

    private static final int STRIPES = 256;

    private final Model<S> model;
    private final LongHashSet[] seen = new LongHashSet[STRIPES];
    private final Map<String, String> said = new ConcurrentHashMap<>();     // each step's words once
    private final AtomicLong count = new AtomicLong();

    public Explorer(Model<S> model) {
        this.model = model;
        for (int i = 0; i < STRIPES; i++) seen[i] = new LongHashSet();
    }

    private boolean isNew(S s) {
        long h = model.hash(s);
        LongHashSet set = seen[(int) (h >>> 56)];
        synchronized (set) {
            return set.add(h);
        }
    }

    public Result all(long mostStates) {
        long begin = System.nanoTime();
        List<At<S>> layer = new ArrayList<>();
        S first = model.first();
        isNew(first);
        count.set(1);
        layer.add(new At<>(first, null));
        int depth = 0;
        boolean whole = true;
        while (!layer.isEmpty()) {
            AtomicReference<At<S>> bad = new AtomicReference<>();
            List<At<S>> from = layer;
            layer = from.parallelStream().collect(ArrayList::new, (all, a) -> {
                if (bad.get() != null || count.get() >= mostStates) return;
                model.next(a.state, (what, s) -> {
                    if (!isNew(s)) return;
                    count.incrementAndGet();
                    At<S> there = new At<>(s, new Way(a.way, said.computeIfAbsent(what, k -> k)));
                    if (model.broken(s) != null) bad.compareAndSet(null, there);
                    all.add(there);
                });
            }, ArrayList::addAll);
            depth++;
            if (bad.get() != null) {
                return new Result(count.get(), depth, false, model.broken(bad.get().state), steps(bad.get().way),
                    (System.nanoTime() - begin) / 1e9);
            }
            if (count.get() >= mostStates) {
                whole = false;
                break;
            }
        }
        return new Result(count.get(), depth, whole, null, List.of(), (System.nanoTime() - begin) / 1e9);
    }

    private static List<String> steps(Way w) {
        ArrayDeque<String> all = new ArrayDeque<>();
        for (Way x = w; x != null; x = x.before) all.addFirst(x.what);
        return Collections.unmodifiableList(new ArrayList<>(all));
    }
}
