package mothcross.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mothcross.Director;

/**
 * Watches every send and answer for the five rules, from what was told to whom and what is true; it shares nothing
 * with the
 * module. Owns the counts of breaks and the first of each; must never influence the run.
 */
final class RuleChecker {
    private final Simulation w;
    final long[] broken = new long[6];
    final List<String> first = new ArrayList<>();
    // By director: when it was told that a box drains or is gone, and of purges.
    private final Map<Integer, Map<Integer, Double>> out = new HashMap<>();
    private final Map<Integer, Map<Integer, double[]>> purges = new HashMap<>();

    RuleChecker(Simulation w) {
        this.w = w;
    }

    private void breaks(int rule, String what) {
        if (broken[rule]++ == 0) first.add("rule " + rule + " at " + Math.round(w.elapsed()) + " ms: " + what);
    }

    void told(int director, SimulatedNode b, int standing) {
        Map<Integer, Double> m = out.computeIfAbsent(director, k -> new HashMap<>());
        if (standing == Director.IN_SERVICE) m.remove(b.index);
        else m.putIfAbsent(b.index, w.clock.now);
    }

    void toldPurge(int director, int group, double at) {
        Map<Integer, double[]> m = purges.computeIfAbsent(director, k -> new HashMap<>());
        double[] before = m.get(group);
        if (before == null || before[0] < at) m.put(group, new double[] {at, w.clock.now});
    }

    /** A director that starts anew has been told what its list says, and from then on what it could learn. */
    void starts(int director) {
        out.remove(director);
        purges.remove(director);
    }

    void sent(int director, LoadGenerator.Lookup l, SimulatedNode node, SimulatedNode source) {
        if (l.answered) breaks(1, "sent after the answer");
        double grace = w.town.get("drain_grace");
        Map<Integer, Double> m = out.getOrDefault(director, Map.of());
        for (SimulatedNode b : source == null ? List.of(node) : List.of(node, source)) {
            Double since = m.get(b.index);
            if (since != null && w.clock.now > since + grace) breaks(3, b.id + " was told to be out "
                + (w.clock.now - since) + " ms before");
        }
        if (l.onceOnly && l.mayHaveRun) breaks(2, "a once-only lookup was sent again");
    }

    void answered(LoadGenerator.Lookup l, boolean bounced) {
        if (l.answered) breaks(1, "a second answer");
        if (w.clock.now > l.expires + 1) breaks(1, "an answer " + (w.clock.now - l.expires) + " ms late");
        if (bounced && l.onceOnly && l.mayHaveRun) breaks(2, "bounced what may have run");
    }

    /** Its time is up; only a running director owes anything. */
    void timeIsUp(LoadGenerator.Lookup l) {
        if (!l.answered && !l.host.dead && l.run == l.host.run) breaks(1, "no answer");
    }

    void served(int director, LoadGenerator.Lookup l, Hop h, CacheStore.Copy copy) {
        double[] p = purges.getOrDefault(director, Map.of()).get(l.group);
        if (p != null && h.sentAt > p[1] + w.town.get("purge_grace") && copy.minted() < p[0]) {
            breaks(5, "a copy " + (p[0] - copy.minted()) + " ms older than the purge told " + (h.sentAt - p[1])
                + " ms before");
        }
    }

    void pushedOver(SimulatedNode b) {
        breaks(4, b.id + " fell over " + Math.round(w.clock.now - b.startedAt) + " ms after its start");
    }
}
