package mothcross.rig;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import mothcross.policy.Change;
import mothcross.policy.Plan;
import mothcross.policy.PolicyRegister;

/**
 * Reads what was seen of a fleet's changes and says which promises of docs/design/policy-change.md it breaks. Shares
 * data with what it checks, and no code. Bounds on time count only where times are exact, in virtual time.
 */
public final class PolicyRules {
    private static final double LATE_MS = 20_000;

    public final List<String> broken = new ArrayList<>();
    /** Lookups that started, and those of them that were not decided at once. */
    public long lookups, refused;
    /** Changes by how they ended. */
    public final Map<PolicyRegister.Outcome, Integer> outcomes = new TreeMap<>();
    /** Starts decided by an older plan after another director had taken up a newer one: the overlap, counted. */
    public long overlaps;
    private final boolean exact;
    private final Map<Long, String> decided = new TreeMap<>();
    private final Map<String, String> ended = new HashMap<>();
    private final Map<String, Double> asked = new HashMap<>(), deadlines = new HashMap<>();
    private final Set<Long> committed = new HashSet<>();
    // From when on nobody may decide by a plan before this one.
    private final TreeMap<Double, Long> points = new TreeMap<>();
    private final Map<Long, Map<String, Double>> taken = new TreeMap<>();
    private PolicyRegister latest;
    private double calmSince;
    private final Set<String> served = new HashSet<>();

    public PolicyRules(boolean exact) {
        this.exact = exact;
        committed.add(0L);
    }

    private void breaks(int promise, String what) {
        if (broken.size() < 20) broken.add("promise " + promise + ": " + what);
    }

    public Map<Long, Map<String, Double>> taken() {
        return taken;
    }

    Map<String, Double> asked() {
        return asked;
    }

    void starts(double now, String name) {
        served.remove(name);
    }

    void proposes(double now, String id, double deadline) {
        asked.put(id, now);
        deadlines.put(id, deadline);
    }

    // ---- what real processes say of themselves ----

    private String underWay = "";
    private long inForce;
    private boolean calm = true;
    private long latestRevision;
    private final Map<String, Long> plans = new HashMap<>();

    /** A process tells in its log of a decided revision. */
    void decided(double now, String name, long revision, long plan, String change, String stage, String outcome) {
        revision(now, name, revision, plan + " " + change + stage, plan, stage);
        if (revision <= latestRevision) return;
        latestRevision = revision;
        underWay = change;
        inForce = plan;
        calm = change.isEmpty() || stage.equals("TRIAL");
        if (change.isEmpty() && !outcome.isEmpty()) outcomes.merge(PolicyRegister.Outcome.valueOf(outcome), 1, Integer::sum);
    }

    void takes(double now, String name, long plan) {
        plans.put(name, plan);
        taken.computeIfAbsent(plan, k -> new TreeMap<>()).putIfAbsent(name, now);
    }

    String underWay() {
        return underWay.isEmpty() ? "none" : underWay;
    }

    public long plan() {
        return inForce;
    }

    long planOf(String name) {
        return plans.getOrDefault(name, -1L);
    }

    boolean isCalm() {
        return calm;
    }

    /** A lookup of a real client: sent then, and the plan that its answer names, -1 where none decided it. */
    void answered(double sent, String name, int status, long plan) {
        lookups++;
        if (status == 0 || status == 503) refused++;
        if (plan >= 0) decides(sent, name, plan);
    }

    // ---- virtual time ----

    /** A director knows this book to be decided. */
    void knows(double now, String name, PolicyRegister b) {
        if (b.revision() == 0) return;
        Change c = b.change();
        revision(now, name, b.revision(), b.plan().number() + " " + b.plan().main() + "/" + b.plan().trial() + " "
            + (c == null ? "-" : c.id() + c.stage()), b.plan().number(), c == null ? "" : c.stage().name());
        for (PolicyRegister.CompletedChange e : b.recentChanges()) ends(e.id(), e.outcome().name(), e.outcome());
        if (latest == null || b.revision() > latest.revision()) {
            boolean wasCalm = latest == null || latest.change() == null;
            latest = b;
            if (c != null || !wasCalm) calmSince = now;
            if (exact && b.plan().leases()) point(now + b.leaseMs(), b.plan().number(), c);
            else if (exact && c != null && c.stage() == Change.Stage.SETTLING) {
                point(now + b.leaseMs(), b.plan().number(), c);
            }
        }
    }

    private void point(double at, long plan, Change c) {
        if (c != null && c.stage() == Change.Stage.SETTLING) points.putIfAbsent(at, plan);
    }

    /** Promise 1: one value for each revision, told alike by all. */
    void revision(double now, String name, long revision, String what, long plan, String stage) {
        String same = decided.putIfAbsent(revision, what);
        if (same != null && !same.equals(what)) {
            breaks(1, "revision " + revision + " is " + same + ", and " + what + " to " + name);
        }
        if (same != null) return;
        committed.add(plan);
        if (stage.equals(Change.Stage.SETTLING.name())) return;
        // The plan in force is settled in it: from here on nobody may decide by an older one.
        points.merge(now, plan, Math::max);
    }

    /** Promise 1: how a change ended is so for ever. */
    void ends(String id, String outcome, PolicyRegister.Outcome o) {
        String before = ended.putIfAbsent(id, outcome);
        if (before == null) outcomes.merge(o, 1, Integer::sum);
        if (before != null && !before.equals(outcome)) breaks(1, "change " + id + " " + before + " and " + outcome);
    }

    void takes(double now, String name, Plan p) {
        taken.computeIfAbsent(p.number(), k -> new TreeMap<>()).putIfAbsent(name, now);
    }

    /** A lookup that starts now is decided by this plan; -1: it is not. */
    void starts(double now, String name, long plan, boolean bound, boolean seated) {
        lookups++;
        if (plan < 0) {
            refused++;
            boolean calm = latest != null && latest.change() == null && !latest.plan().leases();
            // Promise 4: with no change under way, a director that served goes on, whatever is lost around it.
            if (exact && calm && served.contains(name) && seated && !bound && now - calmSince > LATE_MS) {
                breaks(4, name + " decides nothing at " + Math.round(now) + " though no change is under way");
            }
            return;
        }
        served.add(name);
        decides(now, name, plan);
    }

    /** Promises 1 and 2; {@code now} is when the lookup started, at the latest. */
    void decides(double now, String name, long plan) {
        if (!committed.contains(plan)) breaks(1, name + " decided by plan " + plan
            + ", which nobody knows as committed");
        for (long p : points.headMap(now, true).values()) {
            if (plan < p) {
                breaks(2, name + " decided by plan " + plan + " at " + Math.round(now) + ", past the point of " + p);
                return;
            }
        }
        for (Map.Entry<Long, Map<String, Double>> e : taken.entrySet()) {
            if (e.getKey() > plan && e.getValue().values().stream().anyMatch(t -> t < now)) {
                overlaps++;
                return;
            }
        }
    }

    /** Promise 3: long after the last fault nothing is under way, all that run decide, and by one plan. */
    void ends(double now, Map<String, Long> running) {
        if (!exact) {
            if (!calm) breaks(3, "change " + underWay + " is still under way in the end");
            running.forEach((n, plan) -> {
                if (plan != inForce) breaks(3, n + " decides by plan " + plan + " in the end, " + inForce
                    + " is in force");
            });
            return;
        }
        if (latest == null) {
            breaks(3, "nothing was ever decided");
            return;
        }
        if (latest.change() != null && latest.change().stage() != Change.Stage.TRIAL) {
            breaks(3, "change " + latest.change().id() + " is still " + latest.change().stage() + " in the end");
        }
        running.forEach((n, plan) -> {
            if (plan != latest.plan().number()) {
                breaks(3, n + (plan < 0 ? " decides nothing" : " decides by plan " + plan) + " in the end, plan "
                    + latest.plan().number() + " is in force");
            }
        });
    }
}
