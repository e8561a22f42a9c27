package mothcross.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.DoubleAccumulator;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.LongStream;
import mothcross.fleet.FailureDetectorSettings;
import mothcross.policy.PolicyRegister;
import mothcross.rig.FaultScript;
import mothcross.rig.FleetRules;
import mothcross.rig.History;
import mothcross.rig.PolicyRules;
import mothcross.rig.PolicySimulation;
import mothcross.rig.ProcessFleet;
import mothcross.rig.SimulatedFleet;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code mothcross rig}: runs several directors with injected faults, in virtual time or as real processes. */
@Command(name = "rig", description = "Runs several directors with faults between them: real processes, or virtual "
    + "time.",
    mixinStandardHelpOptions = true, subcommands = RigCommand.Explore.class)
final class RigCommand implements Callable<Integer> {
    /** Lookups this close to the activation of a plan at their director are reported apart from the rest. */
    private static final int NEAR_ACTIVATION_MS = 250;
    private static final int OK = 0;
    private static final int BROKEN = 1;
    private static final int USAGE = 2;
    private static final int HTTP_OK = 200;
    private static final double SIMULATED_LEASE_MS = 3000;
    // Indices into the figures of a lookup in ProcessFleet.answers.
    private static final int SENT_MS = 0;
    private static final int ANSWERED_MS = 1;
    private static final int STATUS = 2;
    private static final int DIRECTOR = 4;

    @Spec private CommandSpec spec;

    @Override public Integer call() {
        spec.commandLine().usage(System.err);
        return USAGE;
    }

    /** Prints the broken rules and their number; returns the exit status. */
    private static int report(FleetRules rules, long eventCount) {
        rules.broken.forEach(System.out::println);
        System.out.println(eventCount + " events; promises broken: " + rules.broken.size());
        return rules.broken.isEmpty() ? OK : BROKEN;
    }

    private static int report(PolicyRules rules) {
        rules.broken.forEach(System.out::println);
        System.out.println(rules.lookups + " lookups started, " + rules.refused + " not decided; changes "
            + rules.outcomes + "; promises broken: " + rules.broken.size());
        return rules.broken.isEmpty() ? OK : BROKEN;
    }

    /** Simulates with three voters, or with five if the seed is odd and there are as many directors. */
    private static PolicySimulation simulatePolicy(FaultScript script, long seed) {
        return PolicySimulation.play(script, SIMULATED_LEASE_MS, seed % 2 == 0 ? 3 : 5, seed, null);
    }

    private static SimulatedFleet simulateFleet(FaultScript script, long seed) {
        return SimulatedFleet.play(script, FailureDetectorSettings.DEFAULTS, seed, null);
    }

    private static FaultScript read(Path file) throws IOException {
        return FaultScript.of(Files.readString(file));
    }

    @Command(name = "run", description = "Plays a fault script with real processes of this program.",
        mixinStandardHelpOptions = true)
    int run(@Parameters(paramLabel = "SCRIPT") Path script, @Option(names = "--seed", defaultValue = "1") long seed,
            @Option(names = "--logs", paramLabel = "DIR", description = "keeps the log of each process there")
            Path logs)
        throws IOException, InterruptedException {
        try (ProcessFleet fleet = new ProcessFleet(read(script), seed, logs)) {
            fleet.play();
            fleet.said.forEach(System.out::println);
            printRemovalTimes(fleet.history);
            int exitStatus = report(fleet.check(), fleet.history.events.size());
            if (!fleet.answers.isEmpty()) {
                exitStatus = Math.max(exitStatus, report(fleet.policy));
                printLookupTimes(fleet);
            }
            String brokenLimit = fleet.limits.broken();
            if (brokenLimit != null) System.out.println(brokenLimit);
            return brokenLimit != null ? BROKEN : exitStatus;
        } catch (IllegalArgumentException e) {
            return Main.printError(e.getMessage());
        }
    }

    /** Prints the time from the final end of each process until each other director has a view without it. */
    private static void printRemovalTimes(History history) {
        Map<String, Double> endedAt = new TreeMap<>();
        for (History.Event event : history.events) {
            if (event.kind() == History.Kind.ENDS) endedAt.put(event.name(), event.at());
            else if (event.kind() == History.Kind.STARTS) endedAt.remove(event.name());
        }
        List<Double> removalTimesMs = new ArrayList<>();
        endedAt.forEach((name, at) -> {
            Map<Integer, Double> removedAfterMs = new TreeMap<>();
            for (History.Event event : history.events) {
                boolean isWithout = event.kind() == History.Kind.VIEW && event.at() > at && !event.name().equals(name)
                    && event.members().stream().noneMatch(member -> member.startsWith(name + "@"));
                if (isWithout) removedAfterMs.putIfAbsent(event.member(), event.at() - at);
            }
            removalTimesMs.addAll(removedAfterMs.values());
        });
        if (removalTimesMs.isEmpty()) return;
        System.out.println(endedAt.size() + " ended for good; out of the others' views, ms, p50 / p99 / most: "
            + percentiles(removalTimesMs));
    }

    /** Prints how long lookups took, those near the activation of a plan at their director apart from the rest. */
    private static void printLookupTimes(ProcessFleet fleet) {
        // If every proposal was committed, one after the other, then plan N is the Nth proposal.
        boolean allCommitted = fleet.policy.plan() == fleet.proposedAt.size();
        fleet.policy.taken().forEach((plan, activatedAt) -> {
            if (plan == 0) return;
            double last = Collections.max(activatedAt.values());
            String sinceProposal = allCommitted ? Math.round(last - fleet.proposedAt.get((int) (plan - 1)))
                + " ms after it was proposed, " : "";
            System.out.printf(Locale.ROOT, "plan %d: taken up by %d directors, by the last %s%.0f ms after the first%n",
                plan, activatedAt.size(), sinceProposal, last - Collections.min(activatedAt.values()));
        });
        List<Double> nearMs = new ArrayList<>();
        List<Double> otherMs = new ArrayList<>();
        Map<Integer, Integer> failuresByStatus = new TreeMap<>();
        for (double[] answer : fleet.answers) {
            if (answer[STATUS] == HTTP_OK) {
                List<Double> times = isNearActivation(fleet, answer) ? nearMs : otherMs;
                times.add(answer[ANSWERED_MS] - answer[SENT_MS]);
            } else {
                failuresByStatus.merge((int) answer[STATUS], 1, Integer::sum);
            }
        }
        if (!failuresByStatus.isEmpty()) {
            System.out.println("other answers by status, 0 for none: " + failuresByStatus);
        }
        System.out.println("answered, ms, p50 / p99 / most: " + percentiles(nearMs) + " within " + NEAR_ACTIVATION_MS
            + " ms of a plan taken up there, " + percentiles(otherMs) + " else");
    }

    private static boolean isNearActivation(ProcessFleet fleet, double[] answer) {
        String director = "n" + (int) answer[DIRECTOR];
        for (Map<String, Double> activatedAt : fleet.policy.taken().values()) {
            Double at = activatedAt.get(director);
            boolean isNear = at != null && answer[ANSWERED_MS] > at - NEAR_ACTIVATION_MS
                && answer[SENT_MS] < at + NEAR_ACTIVATION_MS;
            if (isNear) return true;
        }
        return false;
    }

    /** The median, the 99th percentile, the maximum and the count; sorts the values. */
    private static String percentiles(List<Double> values) {
        if (values.isEmpty()) return "none";
        Collections.sort(values);
        double median = values.get(values.size() / 2);
        double p99 = values.get((int) (0.99 * (values.size() - 1)));
        double max = values.get(values.size() - 1);
        return String.format(Locale.ROOT, "%.1f / %.1f / %.1f of %d", median, p99, max, values.size());
    }

    @Command(name = "replay", description = "Plays a fault script in virtual time; the same seed gives the same "
        + "output.", mixinStandardHelpOptions = true)
    int replay(@Parameters(paramLabel = "SCRIPT") Path script, @Option(names = "--seed", defaultValue = "1") long seed,
               @Option(names = "--events", description = "prints every event") boolean events) throws IOException {
        try {
            if (read(script).hasPolicy()) return report(simulatePolicy(read(script), seed).rules);
            SimulatedFleet fleet = simulateFleet(read(script), seed);
            if (events) fleet.history.events.forEach(RigCommand::printEvent);
            return report(fleet.check(), fleet.history.events.size());
        } catch (IllegalArgumentException e) {
            return Main.printError(e.getMessage());
        }
    }

    private static void printEvent(History.Event event) {
        String members = event.members().isEmpty() ? "" : " " + event.number() + " " + event.members();
        System.out.println(Math.round(event.at()) + " " + event.kind() + " " + event.name() + members + " "
            + event.text());
    }

    @Command(name = "shrink", description = "Removes lines of a failing script for as long as it still fails.",
        mixinStandardHelpOptions = true)
    int shrink(@Parameters(paramLabel = "SCRIPT") Path script, @Option(names = "--seed", defaultValue = "1") long seed)
        throws IOException {
        try {
            FaultScript whole = read(script);
            if (!fails(whole, seed)) {
                System.out.println("nothing is broken with this seed");
                return OK;
            }
            System.out.print(whole.shrunk(shorter -> fails(shorter, seed), System.err::println));
            return BROKEN;
        } catch (IllegalArgumentException e) {
            return Main.printError(e.getMessage());
        }
    }

    @Command(name = "drawn", description = "Plays random fault scripts in virtual time; prints those that break a "
        + "rule, with their seeds.", mixinStandardHelpOptions = true)
    int drawn(@Option(names = "--histories", defaultValue = "1000") int histories,
              @Option(names = "--from", paramLabel = "SEED", defaultValue = "1") long from,
              @Option(names = "--policy", description = "tests changes of the policy, not membership") boolean ofPolicy,
              @Option(names = "--voters", description = "with --policy: replaces voters, kills directors when asked")
              boolean voters) {
        return ofPolicy ? drawnPolicy(histories, from, voters) : drawnMembership(histories, from);
    }

    private static int drawnPolicy(int histories, long firstSeed, boolean withVoters) {
        AtomicInteger failures = new AtomicInteger();
        AtomicLong lookups = new AtomicLong();
        AtomicLong overlaps = new AtomicLong();
        Map<PolicyRegister.Outcome, LongAdder> outcomes = new ConcurrentSkipListMap<>();
        LongStream.range(firstSeed, firstSeed + histories).parallel().forEach(seed -> {
            SplittableRandom random = new SplittableRandom(seed);
            FaultScript script = withVoters ? FaultScript.drawnVoters(random) : FaultScript.drawnPolicy(random);
            PolicyRules rules = simulatePolicy(script, seed).rules;
            lookups.addAndGet(rules.lookups);
            overlaps.addAndGet(rules.overlaps);
            rules.outcomes.forEach((outcome, count) ->
                outcomes.computeIfAbsent(outcome, key -> new LongAdder()).add(count));
            if (rules.broken.isEmpty()) return;
            failures.incrementAndGet();
            printFailure(seed, rules.broken.get(0), script);
        });
        System.out.println(histories + " histories, " + failures.get() + " break a promise; changes " + outcomes + "; "
            + lookups.get() + " starts of lookups, " + overlaps.get() + " of them within an overlap");
        return failures.get() == 0 ? OK : BROKEN;
    }

    private static int drawnMembership(int histories, long firstSeed) {
        AtomicInteger failures = new AtomicInteger();
        DoubleAccumulator maxExcess = new DoubleAccumulator(Math::max, 0);
        LongStream.range(firstSeed, firstSeed + histories).parallel().forEach(seed -> {
            FaultScript script = FaultScript.drawn(new SplittableRandom(seed));
            SimulatedFleet fleet = simulateFleet(script, seed);
            maxExcess.accumulate(fleet.mostParts - 1);
            FleetRules rules = fleet.check();
            if (rules.broken.isEmpty()) return;
            failures.incrementAndGet();
            printFailure(seed, rules.broken.get(0), script);
        });
        System.out.printf(Locale.ROOT, "%d histories, %d break a promise; parts of a limit came to at most "
            + "%.3f of it%n", histories, failures.get(), 1 + maxExcess.get());
        return failures.get() == 0 ? OK : BROKEN;
    }

    private static void printFailure(long seed, String brokenRule, FaultScript script) {
        System.out.println("# seed " + seed + ": " + brokenRule + "\n" + script);
    }

    /** {@code rig explore}: passed on to the tool, which needs libraries that a director does not have. */
    @Command(name = "explore", description = "Visits every state of the policy's protocol within bounds.")
    static final class Explore implements Callable<Integer> {
        @Parameters(arity = "0..*", hidden = true) private List<String> args = List.of();

        @Override public Integer call() throws Exception {
            return ToolLauncher.run("mothcross.rig.explore.Explore", args.toArray(String[]::new));
        }
    }

    private static boolean fails(FaultScript script, long seed) {
        if (script.hasPolicy()) return !simulatePolicy(script, seed).rules.broken.isEmpty();
        return !simulateFleet(script, seed).check().broken.isEmpty();
    }
}
