package mothcross.emulator;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The parameters of a scenario by name, each with a default value, so that an experiment can vary any of them. Times
 * are in ms and sizes in KB; the rest are shares and counts.
 */
public final class ScenarioParameters {
    private static final Map<String, Double> DEFAULTS = new LinkedHashMap<>();

    static {
        String[] all = {
            "seconds 40", "places 2", "caches 4", "parents 2", "directors 2",
            // Load is a share of what a zone's caches can send at full rate.
            "load 0.5", "objects 3000", "zipf 0.9", "common 0.8", "drift 0", "one_offs 0.05",
            "kb 800", "kb_sigma 0.8", "flow_kb_ms 9",
            // Capacities in flows at full rate: of a cache, a zone's inbound link, a parent and the origin.
            "cache_flows 8", "link_flows 14", "parent_flows 40", "origin_flows 40", "cache_mb 400", "parent_mb 4000",
            "queue 400", "origin_ms 40", "origin_sheds_at 3", "far_ms 6", "near_ms 1",
            "target 400", "stretch 2", "abandon 6000", "late_share 0.15", "fresh 0", "stale 0", "stale_share 0.5",
            "once_only 0", "retries 2", "retry_ms 100",
            "cold_floor 0.2", "cold_ms 10000", "cold_breaks 3", "cold_span 1000", "parent_floor 0.1",
                "parent_cold_ms 20000",
            "parent_breaks 2", "drain_grace 250", "purge_grace 300", "purge_takes 6000", "news_ms 1500", "hops 6",
            "report_ms 500", "straight 1", "connect_ms 400",
            // A director takes its node list, runs after boot_ms, and receives missed updates speak_ms later; with
            // waits_for_news 0 it serves lookups before that.
            "boot_ms 0", "speak_ms 50", "waits_for_news 1"};
        for (String s : all) DEFAULTS.put(s.split(" ")[0], Double.parseDouble(s.split(" ")[1]));
    }

    private final Map<String, Double> values = new LinkedHashMap<>(DEFAULTS);

    /** A copy with one value changed. Throws if the name is unknown or the value is out of range. */
    public ScenarioParameters with(String name, double value) {
        if (!DEFAULTS.containsKey(name)) {
            throw new IllegalArgumentException("unknown scenario parameter '" + name + "'; known parameters are "
                + String.join(", ", DEFAULTS.keySet()));
        }
        if (!(value >= 0 && value < 1e9)) throw new IllegalArgumentException(name + " = " + value + " is out of range");
        ScenarioParameters changed = new ScenarioParameters();
        changed.values.putAll(values);
        changed.values.put(name, value);
        return changed;
    }

    double get(String name) {
        Double value = values.get(name);
        if (value == null) throw new IllegalArgumentException(name);
        return value;
    }

    int count(String name) {
        return (int) get(name);
    }

    public Map<String, Double> values() {
        return Map.copyOf(values);
    }
}
