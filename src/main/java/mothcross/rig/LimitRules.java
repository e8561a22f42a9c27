package mothcross.rig;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Whether all directors together let more lookups through than one limit allows. Of each it is known that it was let
 * through between when it was sent and when its answer came; so a span counts those that lie in it whole, and the check
 * holds at any speed. What each start of a director may add is its bucket, and while news of a return is late one
 * director's part more may be in use: the stated slack.
 */
public final class LimitRules {
    private record Passed(double sent, double answered) { }

    /** The most that any span had over the limit's own rate, without and with slack, in lookups. */
    public double mostOver, mostOverSlack = Double.NEGATIVE_INFINITY;
    public int passed, heldBack;
    private final double perMs;
    private final int directors;
    private final List<Passed> all = new ArrayList<>();
    private int starts;

    LimitRules(double perS, int directors) {
        this.perMs = perS / 1000;
        this.directors = directors;
    }

    void starts() {
        starts++;
    }

    void answered(double sent, double answered, int status) {
        if (status == 200) all.add(new Passed(sent, answered));
        if (status == 429) heldBack++;
    }

    /** Null where the limit was kept. */
    public String broken() {
        if (perMs == 0) return null;
        passed = all.size();
        all.sort(Comparator.comparingDouble(Passed::sent));
        // A director's bucket holds two at once; each start brings one, filled.
        double buckets = 2.0 * (directors + starts);
        String worst = null;
        int step = Math.max(1, all.size() / 200);
        for (int i = 0; i < all.size(); i += step) {
            List<Double> ends = new ArrayList<>();
            for (int j = i; j < all.size(); j++) ends.add(all.get(j).answered());
            ends.sort(null);
            for (int n = 1; n <= ends.size(); n += Math.max(1, ends.size() / 200)) {
                double span = ends.get(n - 1) - all.get(i).sent(), over = n - span * perMs;
                mostOver = Math.max(mostOver, over);
                double slack = n - span * perMs * (1 + 1.0 / directors) - buckets;
                mostOverSlack = Math.max(mostOverSlack, slack);
                if (slack > 0 && worst == null) {
                    worst = n + " lookups were let through within " + Math.round(span) + " ms, " + Math.round(n - slack)
                        + " with all slack";
                }
            }
        }
        return worst;
    }
}
