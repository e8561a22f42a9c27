package mothcross.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * What came of a run: wishes by second, their answers, and what the origin had to give. Owns the counts; a wish
 * counts once,
 * whatever its tries, in the second in which it arose.
 */
public final class SimulationResult {
    private final double seconds;
    private final List<LoadGenerator.Wish> wishes = new ArrayList<>();
    private final double target, stretch;
    public long bounced, givenUp, unanswered, hits, handled, events, hops, originFetches, originShed, fallen;
    public long[] broken = new long[6];
    public List<String> first = List.of();
    /** The most any cold box was sent, as a share of what pushes it over. */
    public double nearest;

    SimulationResult(ScenarioParameters t) {
        seconds = t.get("seconds");
        target = t.get("target");
        stretch = t.get("stretch");
    }

    void wished(LoadGenerator.Wish w) {
        wishes.add(w);
    }

    void handled(LoadGenerator.Wish w, double at, int note) {
        handled++;
        if (note == mothcross.Director.HIT || note == mothcross.Director.STALE_HIT) hits++;
        if (w.handled) return;
        w.handled = true;
        w.inTime = at <= w.at + target + stretch * w.ownMs;
    }

    /** The share of wishes of these seconds that were handled by their target time. */
    public double inTime(double from, double to) {
        long all = 0, good = 0;
        for (LoadGenerator.Wish w : wishes) {
            if (w.at < 1000 * from || w.at >= 1000 * to) continue;
            all++;
            if (w.inTime) good++;
        }
        return all == 0 ? 1 : good / (double) all;
    }

    public double inTime() {
        return inTime(0, seconds);
    }

    /** The lowest share over any stretch of so many whole seconds. */
    public double worst(int span) {
        double least = 1;
        for (int s = 0; s + span <= seconds; s++) least = Math.min(least, inTime(s, s + span));
        return least;
    }

    public long wishes() {
        return wishes.size();
    }

    /** The names of all figures, in their order. */
    public static List<String> names() {
        return List.copyOf(new SimulationResult(new ScenarioParameters()).figures().keySet());
    }

    /** By name, for tables; the order is the table's. */
    public java.util.Map<String, Double> figures() {
        java.util.Map<String, Double> m = new java.util.LinkedHashMap<>();
        m.put("in_time", inTime());
        m.put("worst_5s", worst(5));
        m.put("last_5s", inTime(seconds - 5, seconds));
        m.put("hit_share", handled == 0 ? 0 : hits / (double) handled);
        m.put("bounced", (double) bounced);
        m.put("given_up", (double) givenUp);
        m.put("unanswered", (double) unanswered);
        m.put("hops_a_wish", wishes.isEmpty() ? 0 : hops / (double) wishes.size());
        m.put("origin_fetches", (double) originFetches);
        m.put("origin_shed", (double) originShed);
        m.put("fallen", (double) fallen);
        m.put("nearest", nearest);
        long all = 0;
        for (long b : broken) all += b;
        m.put("rules_broken", (double) all);
        return m;
    }

    /** One line that is the same to the byte for the same run. */
    public String line() {
        StringBuilder s = new StringBuilder("wishes ").append(wishes.size()).append(", events ").append(events);
        figures().forEach((k, v) -> s.append(", ").append(k).append(' ').append(v == Math.rint(v) && Math.abs(v) < 1e12
            ? Long.toString((long) (double) v) : String.format(Locale.ROOT, "%.6f", v)));
        return s.toString();
    }
}
