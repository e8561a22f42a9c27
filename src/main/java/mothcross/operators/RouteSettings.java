package mothcross.operators;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mothcross.route.RouteRules;
import mothcross.route.RouteTable;

/** The part {@code routes}: its fields one by one. What they mean together is compiled by {@link RouteTable}. */
final class RouteSettings {
    private static final int LONGEST = 4000;
    private static final List<Integer> STATUS = List.of(400, 403, 404, 429, 503);

    private RouteSettings() { }

    static RouteRules read(Section s) {
        int expression = s.whole("expression_steps", "steps", 1, 1_000_000, 2000);
        int request = s.whole("request_steps", "steps", 1, 10_000_000, 50_000);
        Map<String, RouteRules.InputDeclaration> reads = new LinkedHashMap<>();
        s.each("reads").forEach((name, r) -> {
            int most = r.whole("most", "bytes", 1, 8192, -1);
            String past = r.text("past", "'refuse' or 'cut'", 10, "refuse");
            r.require(past.equals("refuse") || past.equals("cut"), "past", "is neither 'refuse' nor 'cut'");
            reads.put(name, new RouteRules.InputDeclaration(most, past.equals("refuse"),
                r.flag("same_on_retry", false)));
            r.end();
        });
        Map<String, String> names = s.texts("names", "an expression", LONGEST);
        List<RouteRules.Rule> rules = new ArrayList<>();
        for (Section r : s.list("rules", RouteTable.MAX_RULES)) {
            int status = r.whole("refuse", "a status", 0, 599, 0);
            r.require(status == 0 || STATUS.contains(status), "refuse", "is none of " + STATUS);
            Section l = r.section("limit");
            RouteRules.RateLimit limit = null;
            if (l != null) {
                limit = new RouteRules.RateLimit(l.text("key", "an expression", LONGEST, null),
                    l.number("per_s", "lookups a second at this place", 0.001, 1e6, Double.NaN),
                    l.number("at_once", "lookups", 1, 1e6, 10), l.whole("keys", "keys", 8, 1 << 20, 4096));
                l.end();
            }
            String to = r.has("workload") ? r.text("workload", "a workload of the settings", 64, null) : null;
            rules.add(new RouteRules.Rule(r.text("name", "what counters and logs call it", 60, null),
                r.text("match", "an expression", LONGEST, null), to,
                r.has("key") ? r.text("key", "an expression", LONGEST, null) : null,
                r.number("importance", "share of the workload's", 0.01, 1, 1),
                r.whole("hops", "further hops", -1, 100, -1), status, limit));
            r.end();
        }
        return new RouteRules(expression, request, reads, names, rules);
    }
}
