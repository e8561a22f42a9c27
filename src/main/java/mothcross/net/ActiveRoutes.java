package mothcross.net;

import mothcross.policy.Plan;
import mothcross.route.RouteTable;

/**
 * The route tables in use: the main one, and during a canary trial a second one for some lookups. Each lookup is
 * routed by exactly one of them, chosen when it arrives, and keeps that result. Which policy is active is decided by
 * the caller. Used under the dispatcher's lock.
 */
final class ActiveRoutes {
    private final String director;
    private Plan plan;                                      // null: routes of the operators' file, not the fleet's
    private Routing main;
    private Routing trial;
    private double limitScale = 1;

    ActiveRoutes(String director) {
        this.director = director;
    }

    /** Uses the new tables from the next lookup on; a null table has no rules. */
    void activate(Plan newPlan, RouteTable mainTable, RouteTable trialTable) {
        plan = newPlan;
        main = routing(mainTable);
        trial = newPlan != null && !newPlan.canary().isNone() ? routing(trialTable) : null;
    }

    private Routing routing(RouteTable table) {
        if (table == null) return null;
        Routing routing = new Routing();
        routing.scaleLimits(limitScale);
        routing.activate(table);
        return routing;
    }

    /** The number of the fleet's plan that is active; -1 where the routes come from the operators' file. */
    long planNumber() {
        return plan == null ? -1 : plan.number();
    }

    /** The main table; null where there are no rules. */
    RouteTable table() {
        return main == null ? null : main.table();
    }

    /** Sets this director's share of each rate limit, as a factor of the configured limit. */
    void scaleLimits(double scale) {
        limitScale = scale;
        if (main != null) main.scaleLimits(scale);
        if (trial != null) trial.scaleLimits(scale);
    }

    // ---- the request head as it is parsed: kept by both, as the object that selects one may not be known yet ----

    void headStarted() {
        if (main != null) main.headStarted();
        if (trial != null) trial.headStarted();
    }

    void headerField(byte[] head, int name, int nameEnd, int value, int valueEnd) {
        if (main != null) main.headerField(head, name, nameEnd, value, valueEnd);
        if (trial != null) trial.headerField(head, name, nameEnd, value, valueEnd);
    }

    /** The routing for a lookup of this object; null where its table has no rules. */
    Routing forObject(long object) {
        return plan != null && plan.isOnTrial(director, object) ? trial : main;
    }

    /** The tables' part of the line of counters in the log. */
    String line() {
        return (main == null ? "" : main.table().line()) + (trial == null ? "" : "; on trial" + trial.table().line());
    }
}
