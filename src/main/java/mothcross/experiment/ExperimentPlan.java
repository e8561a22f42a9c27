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
 * What an experiment plays: factors with their levels, seeds, faults, figures, and when it may stop. Owns the cells,
 * each
 * named by its levels; must refuse what a run would refuse, before the first run.
 */
public final class ExperimentPlan {
    /** One setting of all factors: {@code name} is the same in every play of the same plan. */
    public record Cell(String name, String policy, ScenarioParameters town, String faults) { }

    private static final List<String> FIELDS = List.of("town", "factors", "policies", "faults", "seeds", "metrics",
        "stop");
    private static final int MOST_CELLS = 5000, MOST_SEEDS = 10_000;

    public final List<Cell> cells = new ArrayList<>();
    public final List<String> metrics = new ArrayList<>();
    public final int seeds;
    /** The half width of the interval of the first metric under which a cell needs no more seeds; 0: all are played. */
    public final double stopWidth;
    public final int stopLeast;

    private ExperimentPlan(int seeds, double stopWidth, int stopLeast) {
        this.seeds = seeds;
        this.stopWidth = stopWidth;
        this.stopLeast = stopLeast;
    }

    /** {@code all}: the evaluated file. Throws with the field at fault. */
    public static ExperimentPlan of(JsonObject all) {
        for (String k : all.keySet()) if (!FIELDS.contains(k)) throw bad(k, "is not known; known are " + FIELDS);
        JsonObject stop = all.has("stop") ? all.getAsJsonObject("stop") : new JsonObject();
        int seeds = whole(all, "seeds", 20, 1, MOST_SEEDS);
        ExperimentPlan p = new ExperimentPlan(seeds, stop.has("half_width") ? stop.get("half_width").getAsDouble() : 0,
            whole(stop, "least_seeds", Math.min(8, seeds), 1, MOST_SEEDS));
        ScenarioParameters town = new ScenarioParameters();
        if (all.has("town")) {
            for (Map.Entry<String, JsonElement> e : all.getAsJsonObject("town").entrySet()) {
                town = with(town, "town." + e.getKey(), e.getKey(), e.getValue().getAsDouble());
            }
        }
        Map<String, String> faults = new LinkedHashMap<>();
        if (all.has("faults")) {
            all.getAsJsonObject("faults").entrySet().forEach(e -> faults.put(e.getKey(), e.getValue().getAsString()));
        }
        if (faults.isEmpty()) faults.put("none", "");
        faults.forEach((name, text) -> {
            try {
                FaultSchedule.of(text);
            } catch (IllegalArgumentException e) {
                throw bad("faults." + name, e.getMessage());
            }
        });
        List<String> policies = new ArrayList<>();
        if (all.has("policies")) all.getAsJsonArray("policies").forEach(e -> policies.add(e.getAsString()));
        if (policies.isEmpty()) policies.add("decide");
        for (String x : policies) if (!Baselines.ALL.containsKey(x)) throw bad("policies", "has no '" + x
            + "'; there are "
            + Baselines.ALL.keySet());
        if (all.has("metrics")) all.getAsJsonArray("metrics").forEach(e -> p.metrics.add(e.getAsString()));
        if (p.metrics.isEmpty()) p.metrics.add("in_time");
        for (String m : p.metrics) if (!SimulationResult.names().contains(m)) throw bad("metrics", "has no '" + m
            + "'; there are "
            + SimulationResult.names());
        List<Map.Entry<String, ScenarioParameters>> towns = new ArrayList<>(List.of(Map.entry("", town)));
        if (all.has("factors")) {
            for (Map.Entry<String, JsonElement> f : all.getAsJsonObject("factors").entrySet()) {
                List<Map.Entry<String, ScenarioParameters>> more = new ArrayList<>();
                for (Map.Entry<String, ScenarioParameters> t : towns) {
                    for (JsonElement level : f.getValue().getAsJsonArray()) {
                        String name = (t.getKey().isEmpty() ? "" : t.getKey() + " ") + f.getKey() + "="
                            + level.getAsString();
                        more.add(Map.entry(name, with(t.getValue(), "factors." + f.getKey(), f.getKey(),
                            level.getAsDouble())));
                    }
                }
                towns = more;
            }
        }
        for (Map.Entry<String, ScenarioParameters> t : towns) {
            for (Map.Entry<String, String> f : faults.entrySet()) {
                for (String policy : policies) {
                    String name = (t.getKey().isEmpty() ? "" : t.getKey() + " ") + "faults=" + f.getKey() + " policy="
                        + policy;
                    p.cells.add(new Cell(name, policy, t.getValue(), f.getValue()));
                }
            }
        }
        if (p.cells.size() > MOST_CELLS) throw bad("factors", "make " + p.cells.size() + " cells, " + MOST_CELLS
            + " at most");
        return p;
    }

    private static ScenarioParameters with(ScenarioParameters t, String at, String name, double value) {
        try {
            return t.with(name, value);
        } catch (IllegalArgumentException e) {
            throw bad(at, e.getMessage());
        }
    }

    private static int whole(JsonObject in, String field, int otherwise, int least, int most) {
        if (!in.has(field)) return otherwise;
        double v = in.get(field).getAsDouble();
        if (v != Math.rint(v) || v < least || v > most) throw bad(field, "= " + v + " is no whole number from "
            + least + " to " + most);
        return (int) v;
    }

    private static IllegalArgumentException bad(String field, String why) {
        return new IllegalArgumentException(field + " " + why);
    }
}
