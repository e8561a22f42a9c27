package mothcross.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mothcross.Director;

/**
 * Checks every hop and every answer against the five rules, from what each director was notified of and the true state
 * of the simulation. It shares no code with the module, counts violations, keeps the first of each rule, and does not
 * influence the run.
 */
final class RuleChecker {
    private final Simulation simulation;
    final long[] violations = new long[6];
    final List<String> firstViolations = new ArrayList<>();
    // By director and node: when the director was notified that the node drains or is removed. By director and group:
    // the last purge and when the director was notified of it.
    private final Map<Integer, Map<Integer, Double>> outOfServiceSince = new HashMap<>();
    private final Map<Integer, Map<Integer, double[]>> notifiedPurges = new HashMap<>();

    RuleChecker(Simulation simulation) {
        this.simulation = simulation;
    }

    private void recordViolation(int rule, String description) {
        if (violations[rule]++ == 0) firstViolations.add("rule " + rule + " at " + Math.round(simulation.elapsedMs())
            + " ms: " + description);
    }

    void statusNotified(int director, SimulatedNode node, int status) {
        Map<Integer, Double> sinceByNode = outOfServiceSince.computeIfAbsent(director, k -> new HashMap<>());
        if (status == Director.IN_SERVICE) sinceByNode.remove(node.index);
        else sinceByNode.putIfAbsent(node.index, simulation.clock.nowMs);
    }

    void purgeNotified(int director, int group, double purgedAt) {
        Map<Integer, double[]> purgesByGroup = notifiedPurges.computeIfAbsent(director, k -> new HashMap<>());
        double[] before = purgesByGroup.get(group);
        if (before == null || before[0] < purgedAt) purgesByGroup.put(group,
            new double[] {purgedAt, simulation.clock.nowMs});
    }

    /** A director that starts has been notified of what its node list says, and later of all that it could learn. */
    void directorStarted(int director) {
        outOfServiceSince.remove(director);
        notifiedPurges.remove(director);
    }

    void hopSent(int director, LoadGenerator.Lookup lookup, SimulatedNode node, SimulatedNode source) {
        if (lookup.answered) recordViolation(1, "sent after the answer");
        double graceMs = simulation.scenario.get("drain_grace");
        Map<Integer, Double> sinceByNode = outOfServiceSince.getOrDefault(director, Map.of());
        for (SimulatedNode target : source == null ? List.of(node) : List.of(node, source)) {
            Double since = sinceByNode.get(target.index);
            if (since != null && simulation.clock.nowMs > since + graceMs)
                recordViolation(3, target.id + " was told to be out "
                + (simulation.clock.nowMs - since) + " ms before");
        }
        if (lookup.nonIdempotent && lookup.mayHaveRun) recordViolation(2, "a once-only lookup was sent again");
    }

    void answered(LoadGenerator.Lookup lookup, boolean rejected) {
        if (lookup.answered) recordViolation(1, "a second answer");
        if (simulation.clock.nowMs > lookup.expiresAt + 1) recordViolation(1, "an answer "
            + (simulation.clock.nowMs - lookup.expiresAt) + " ms late");
        if (rejected && lookup.nonIdempotent && lookup.mayHaveRun) recordViolation(2, "bounced what may have run");
    }

    /** The client's timeout expired; only a running director owes an answer. */
    void timedOut(LoadGenerator.Lookup lookup) {
        if (!lookup.answered && !lookup.director.down && lookup.directorIncarnation == lookup.director.incarnation) {
            recordViolation(1, "no answer");
        }
    }

    void copyServed(int director, LoadGenerator.Lookup lookup, Hop hop, CacheStore.Copy copy) {
        double[] purge = notifiedPurges.getOrDefault(director, Map.of()).get(lookup.group);
        if (purge != null && hop.sentAt > purge[1] + simulation.scenario.get("purge_grace")
            && copy.issuedAt() < purge[0]) {
            recordViolation(5, "a copy " + (purge[0] - copy.issuedAt()) + " ms older than the purge told "
                + (hop.sentAt - purge[1])
                + " ms before");
        }
    }

    void nodeOverloaded(SimulatedNode node) {
        recordViolation(4, node.id + " fell over " + Math.round(simulation.clock.nowMs - node.startedAt)
            + " ms after its start");
    }
}
