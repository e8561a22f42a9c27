package mothcross.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The result of a run: requests by second, their outcomes, and the load on the origin. A request counts once, whatever
 * the number of its attempts, in the second in which it started.
 */
public final class SimulationResult {
    private final double seconds;
    private final List<LoadGenerator.Request> requests = new ArrayList<>();
    private final double targetMs;
    private final double targetSizeFactor;
    public long rejected;
    public long failed;
    public long unanswered;
    public long hits;
    public long succeeded;
    public long events;
    public long hops;
    public long originFetches;
    public long originShed;
    public long overloadedNodes;
    public long[] violations = new long[6];
    public List<String> firstViolations = List.of();
    /** The highest load on any node that was warming up, as a share of its overload limit. */
    public double peakOverloadShare;

    SimulationResult(ScenarioParameters scenario) {
        seconds = scenario.get("seconds");
        targetMs = scenario.get("target");
        targetSizeFactor = scenario.get("stretch");
    }

    void requestStarted(LoadGenerator.Request request) {
        requests.add(request);
    }

    void requestSucceeded(LoadGenerator.Request request, double finishedAtMs, int note) {
        succeeded++;
        if (note == mothcross.Director.HIT || note == mothcross.Director.STALE_HIT) hits++;
        if (request.succeeded) return;
        request.succeeded = true;
        request.onTime = finishedAtMs <= request.startedAtMs + targetMs + targetSizeFactor * request.fullRateMs;
    }

    /** The share of requests started in these seconds that succeeded by their target time. */
    public double onTimeShare(double fromSecond, double toSecond) {
        long total = 0;
        long onTime = 0;
        for (LoadGenerator.Request request : requests) {
            if (request.startedAtMs < 1000 * fromSecond || request.startedAtMs >= 1000 * toSecond) continue;
            total++;
            if (request.onTime) onTime++;
        }
        return total == 0 ? 1 : onTime / (double) total;
    }

    public double onTimeShare() {
        return onTimeShare(0, seconds);
    }

    /** The lowest on-time share over any span of this many whole seconds. */
    public double minOnTimeShare(int spanSeconds) {
        double min = 1;
        for (int second = 0; second + spanSeconds <= seconds; second++) {
            min = Math.min(min, onTimeShare(second, second + spanSeconds));
        }
        return min;
    }

    public long requestCount() {
        return requests.size();
    }

    /** The names of all metrics, in their order. */
    public static List<String> names() {
        return List.copyOf(new SimulationResult(new ScenarioParameters()).figures().keySet());
    }

    /** Metrics by name, in the order of the table. */
    public java.util.Map<String, Double> figures() {
        java.util.Map<String, Double> figures = new java.util.LinkedHashMap<>();
        figures.put("in_time", onTimeShare());
        figures.put("worst_5s", minOnTimeShare(5));
        figures.put("last_5s", onTimeShare(seconds - 5, seconds));
        figures.put("hit_share", succeeded == 0 ? 0 : hits / (double) succeeded);
        figures.put("bounced", (double) rejected);
        figures.put("given_up", (double) failed);
        figures.put("unanswered", (double) unanswered);
        figures.put("hops_a_wish", requests.isEmpty() ? 0 : hops / (double) requests.size());
        figures.put("origin_fetches", (double) originFetches);
        figures.put("origin_shed", (double) originShed);
        figures.put("fallen", (double) overloadedNodes);
        figures.put("nearest", peakOverloadShare);
        long totalViolations = 0;
        for (long count : violations) totalViolations += count;
        figures.put("rules_broken", (double) totalViolations);
        return figures;
    }

    /** One line of text, the same to the byte for the same run. */
    public String line() {
        StringBuilder text = new StringBuilder("wishes ").append(requests.size()).append(", events ").append(events);
        figures().forEach((name, value) -> text.append(", ").append(name).append(' ').append(value == Math.rint(value)
            && Math.abs(value) < 1e12
            ? Long.toString((long) (double) value) : String.format(Locale.ROOT, "%.6f", value)));
        return text.toString();
    }
}
