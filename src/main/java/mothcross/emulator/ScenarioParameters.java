package mothcross.emulator;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What is played: sizes and shapes by name, each with its usual value, so that an experiment varies any of them.
 * Times are
 * ms, sizes KB, the rest shares and counts. Owns the names; must never hold what happens.
 */
public final class ScenarioParameters {
    private static final Map<String, Double> DEFAULTS = new LinkedHashMap<>();

    static {
        String[] all = {
            "seconds 40", "places 2", "caches 4", "parents 2", "directors 2",
            // Of what a place's caches can send at full pace.
            "load 0.5", "objects 3000", "zipf 0.9", "common 0.8", "drift 0", "one_offs 0.05",
            "kb 800", "kb_sigma 0.8", "flow_kb_ms 9",
            // Flows at full pace that a cache, a place's link in, a parent and the origin send at a time.
            "cache_flows 8", "link_flows 14", "parent_flows 40", "origin_flows 40", "cache_mb 400", "parent_mb 4000",
            "queue 400", "origin_ms 40", "origin_sheds_at 3", "far_ms 6", "near_ms 1",
            "target 400", "stretch 2", "abandon 6000", "late_share 0.15", "fresh 0", "stale 0", "stale_share 0.5",
            "once_only 0", "retries 2", "retry_ms 100",
            "cold_floor 0.2", "cold_ms 10000", "cold_breaks 3", "cold_span 1000", "parent_floor 0.1",
                "parent_cold_ms 20000",
            "parent_breaks 2", "drain_grace 250", "purge_grace 300", "purge_takes 6000", "news_ms 1500", "hops 6",
            "report_ms 500", "straight 1", "connect_ms 400",
            // A director takes its list, is there so much later, and hears what it missed; 0: it serves before that.
            "boot_ms 0", "speak_ms 50", "waits_for_news 1"};
        for (String s : all) DEFAULTS.put(s.split(" ")[0], Double.parseDouble(s.split(" ")[1]));
    }

    private final Map<String, Double> values = new LinkedHashMap<>(DEFAULTS);

    /** Throws where a name is none of a town's, or a value is out of what can be played. */
    public ScenarioParameters with(String name, double value) {
        if (!DEFAULTS.containsKey(name)) {
            throw new IllegalArgumentException("a town has no '" + name + "'; it has " + String.join(", ",
                DEFAULTS.keySet()));
        }
        if (!(value >= 0 && value < 1e9)) throw new IllegalArgumentException(name + " = " + value + " can't be played");
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
