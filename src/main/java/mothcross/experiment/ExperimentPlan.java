package mothcross.experiment;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mothcross.emulator.Baselines;
import mothcross.emulator.FaultSchedule;
import mothcross.emulator.ScenarioParameters;
import mothcross.emulator.SimulationResult;

/**
 * The plan of an experiment: factors with their levels, seeds, faults, metrics and a stop rule. Each cell is named by
 * its levels. A plan rejects everything that a run would reject, before the first run.
 */
public final class ExperimentPlan {
    /** One combination of factor levels; {@code name} is the same in each run of the same plan. */
    public record Cell(String name, String policy, ScenarioParameters scenario, String faults) { }

    private static final List<String> FIELDS = List.of("town", "factors", "policies", "faults", "seeds", "metrics",
        "stop");
    private static final int MAX_CELLS = 5000;
    private static final int MAX_SEEDS = 10_000;

    public final List<Cell> cells = new ArrayList<>();
    public final List<String> metrics = new ArrayList<>();
    public final int seeds;
    /** The interval half-width of the first metric below which a cell needs no more seeds; 0: all seeds are run. */
    public final double stopHalfWidth;
    public final int minSeeds;

    private ExperimentPlan(int seeds, double stopHalfWidth, int minSeeds) {
        this.seeds = seeds;
        this.stopHalfWidth = stopHalfWidth;
        this.minSeeds = minSeeds;
    }

    /** Reads an evaluated plan file; throws an error that names the invalid field. */
    public static ExperimentPlan of(JsonObject json) {
        for (String field : json.keySet()) if (!FIELDS.contains(field)) throw invalid(field, "is not known; known are "
            + FIELDS);
        JsonObject stop = json.has("stop") ? json.getAsJsonObject("stop") : new JsonObject();
        int seeds = integer(json, "seeds", 20, 1, MAX_SEEDS);
        double halfWidth = stop.has("half_width") ? stop.get("half_width").getAsDouble() : 0;
        int minSeeds = integer(stop, "least_seeds", Math.min(8, seeds), 1, MAX_SEEDS);
        ExperimentPlan plan = new ExperimentPlan(seeds, halfWidth, minSeeds);
        ScenarioParameters baseScenario = new ScenarioParameters();
        if (json.has("town")) {
            for (Map.Entry<String, JsonElement> e : json.getAsJsonObject("town").entrySet()) {
                baseScenario = with(baseScenario, "town." + e.getKey(), e.getKey(), e.getValue().getAsDouble());
            }
        }
        Map<String, String> faults = new LinkedHashMap<>();
        if (json.has("faults")) {
            json.getAsJsonObject("faults").entrySet().forEach(e -> faults.put(e.getKey(), e.getValue().getAsString()));
        }
        if (faults.isEmpty()) faults.put("none", "");
        faults.forEach((name, text) -> {
            try {
                FaultSchedule.of(text);
            } catch (IllegalArgumentException e) {
                throw invalid("faults." + name, e.getMessage());
            }
        });
        List<String> policies = new ArrayList<>();
        if (json.has("policies")) json.getAsJsonArray("policies").forEach(e -> policies.add(e.getAsString()));
        if (policies.isEmpty()) policies.add("decide");
        for (String policy : policies) {
            if (!Baselines.ALL.containsKey(policy)) {
                throw invalid("policies", "has no '" + policy + "'; there are " + Baselines.ALL.keySet());
            }
        }
        if (json.has("metrics")) json.getAsJsonArray("metrics").forEach(e -> plan.metrics.add(e.getAsString()));
        if (plan.metrics.isEmpty()) plan.metrics.add("in_time");
        for (String metric : plan.metrics) {
            if (!SimulationResult.names().contains(metric)) {
                throw invalid("metrics", "has no '" + metric + "'; there are " + SimulationResult.names());
            }
        }
        List<Map.Entry<String, ScenarioParameters>> scenarios = new ArrayList<>(List.of(Map.entry("", baseScenario)));
        if (json.has("factors")) {
            for (Map.Entry<String, JsonElement> factor : json.getAsJsonObject("factors").entrySet()) {
                List<Map.Entry<String, ScenarioParameters>> expanded = new ArrayList<>();
                for (Map.Entry<String, ScenarioParameters> base : scenarios) {
                    for (JsonElement level : factor.getValue().getAsJsonArray()) {
                        String name = (base.getKey().isEmpty() ? "" : base.getKey() + " ") + factor.getKey() + "="
                            + level.getAsString();
                        expanded.add(Map.entry(name, with(base.getValue(), "factors." + factor.getKey(),
                            factor.getKey(), level.getAsDouble())));
                    }
                }
                scenarios = expanded;
            }
        }
        for (Map.Entry<String, ScenarioParameters> base : scenarios) {
            for (Map.Entry<String, String> factor : faults.entrySet()) {
                for (String policy : policies) {
                    String name = (base.getKey().isEmpty() ? "" : base.getKey() + " ") + "faults=" + factor.getKey()
                        + " policy="
                        + policy;
                    plan.cells.add(new Cell(name, policy, base.getValue(), factor.getValue()));
                }
            }
        }
        if (plan.cells.size() > MAX_CELLS) {
            throw invalid("factors", "make " + plan.cells.size() + " cells, " + MAX_CELLS + " at most");
        }
        return plan;
    }

    private static ScenarioParameters with(ScenarioParameters scenario, String field, String name, double value) {
        try {
            return scenario.with(name, value);
        } catch (IllegalArgumentException e) {
            throw invalid(field, e.getMessage());
        }
    }

    private static int integer(JsonObject json, String field, int defaultValue, int min, int max) {
        if (!json.has(field)) return defaultValue;
        double value = json.get(field).getAsDouble();
        if (value != Math.rint(value) || value < min || value > max) {
            throw invalid(field, "= " + value + " is no whole number from " + min + " to " + max);
        }
        return (int) value;
    }

    private static IllegalArgumentException invalid(String field, String reason) {
        return new IllegalArgumentException(field + " " + reason);
    }
}
