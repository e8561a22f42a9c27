package mothcross.net;

import mothcross.policy.Plan;
import mothcross.route.RouteTable;

/**
 * The tables of routes in force: one, and while a change is tried a second for some lookups. Each lookup is looked at
 * by one of them, chosen when it comes, and keeps what that said. Under the desk's lock. Must never mix the two for
 * one
 * lookup, nor decide which text is in force.
 */
final class ActiveRoutes {
    private final String director;
    private Plan plan;                                      // null: the operators' own file, no changes by the fleet
    private Routing main, trial;
    private double scaleLimits = 1;

    ActiveRoutes(String director) {
        this.director = director;
    }

    /** What is being asked goes by the new tables from its next lookup on; a table may be null: no rules. */
    void activate(Plan by, RouteTable all, RouteTable some) {
        plan = by;
        main = routing(all);
        trial = by != null && !by.canary().isNone() ? routing(some) : null;
    }

    private Routing routing(RouteTable t) {
        if (t == null) return null;
        Routing r = new Routing();
        r.scaleLimits(scaleLimits);
        r.activate(t);
        return r;
    }

    /** The number of the plan in force, -1 where changes are not the fleet's. */
    long planNumber() {
        return plan == null ? -1 : plan.number();
    }

    RouteTable table() {
        return main == null ? null : main.table();
    }

    void scaleLimits(double times) {
        scaleLimits = times;
        if (main != null) main.scaleLimits(times);
        if (trial != null) trial.scaleLimits(times);
    }

    // ---- the head, as it is read: both look at it, as it is not known yet which one counts ----

    void headStarted() {
        if (main != null) main.headStarted();
        if (trial != null) trial.headStarted();
    }

    void headerField(byte[] in, int name, int nameEnd, int v, int e) {
        if (main != null) main.headerField(in, name, nameEnd, v, e);
        if (trial != null) trial.headerField(in, name, nameEnd, v, e);
    }

    /** The table that a lookup of this object goes by; null where that has no rules. */
    Routing forObject(long object) {
        return plan != null && plan.isOnTrial(director, object) ? trial : main;
    }

    String line() {
        return (main == null ? "" : main.table().line()) + (trial == null ? "" : "; on trial" + trial.table().line());
    }
}
