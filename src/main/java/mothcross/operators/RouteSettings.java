package mothcross.operators;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mothcross.route.RouteRules;
import mothcross.route.RouteTable;

/** Reads the settings part {@code routes} field by field; {@link RouteTable} compiles and checks it as a whole. */
final class RouteSettings {
    private static final int MAX_EXPRESSION_CHARS = 4000;
    private static final List<Integer> REFUSAL_STATUSES = List.of(400, 403, 404, 429, 503);

    private RouteSettings() { }

    static RouteRules read(Section section) {
        int expressionSteps = section.integer("expression_steps", "steps", 1, 1_000_000, 2000);
        int requestSteps = section.integer("request_steps", "steps", 1, 10_000_000, 50_000);
        Map<String, RouteRules.InputDeclaration> inputs = new LinkedHashMap<>();
        section.sectionsByName("reads").forEach((name, input) -> inputs.put(name, readInput(input)));
        Map<String, String> names = section.strings("names", "an expression", MAX_EXPRESSION_CHARS);
        List<RouteRules.Rule> rules = new ArrayList<>();
        for (Section rule : section.sections("rules", RouteTable.MAX_RULES)) rules.add(readRule(rule));
        return new RouteRules(expressionSteps, requestSteps, inputs, names, rules);
    }

    private static RouteRules.InputDeclaration readInput(Section section) {
        int maxBytes = section.integer("most", "bytes", 1, 8192, -1);
        String overflow = section.string("past", "'refuse' or 'cut'", 10, "refuse");
        boolean refuse = overflow.equals("refuse");
        section.require(refuse || overflow.equals("cut"), "past", "is neither 'refuse' nor 'cut'");
        boolean sameOnRetry = section.flag("same_on_retry", false);
        section.rejectUnknownFields();
        return new RouteRules.InputDeclaration(maxBytes, refuse, sameOnRetry);
    }

    private static RouteRules.Rule readRule(Section section) {
        int status = section.integer("refuse", "a status", 0, 599, 0);
        section.require(status == 0 || REFUSAL_STATUSES.contains(status), "refuse", "is none of " + REFUSAL_STATUSES);
        RouteRules.RateLimit limit = readLimit(section.section("limit"));
        String workload = section.has("workload")
            ? section.string("workload", "a workload of the settings", 64, null) : null;
        String name = section.string("name", "what counters and logs call it", 60, null);
        String match = section.string("match", "an expression", MAX_EXPRESSION_CHARS, null);
        String key = section.has("key") ? section.string("key", "an expression", MAX_EXPRESSION_CHARS, null) : null;
        double importance = section.number("importance", "share of the workload's", 0.01, 1, 1);
        int hops = section.integer("hops", "further hops", -1, 100, -1);
        section.rejectUnknownFields();
        return new RouteRules.Rule(name, match, workload, key, importance, hops, status, limit);
    }

    private static RouteRules.RateLimit readLimit(Section section) {
        if (section == null) return null;
        String key = section.string("key", "an expression", MAX_EXPRESSION_CHARS, null);
        double perSecond = section.number("per_s", "lookups a second at this place", 0.001, 1e6, Double.NaN);
        double burst = section.number("at_once", "lookups", 1, 1e6, 10);
        int maxKeys = section.integer("keys", "keys", 8, 1 << 20, 4096);
        section.rejectUnknownFields();
        return new RouteRules.RateLimit(key, perSecond, burst, maxKeys);
    }
}
