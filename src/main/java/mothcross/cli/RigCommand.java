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

/** {@code mothcross rig}: several directors, in virtual time or as real processes, with faults between them. */
@Command(name = "rig", description = "Several directors with faults between them: real processes, or virtual time.",
    mixinStandardHelpOptions = true, subcommands = RigCommand.Explore.class)
final class RigCommand implements Callable<Integer> {
    private static final int NEAR_MS = 250;
    private static final int OK = 0, BROKEN = 1, USAGE = 2;

    @Spec private CommandSpec spec;

    @Override public Integer call() {
        spec.commandLine().usage(System.err);
        return USAGE;
    }

    private static int said(FleetRules r, long events) {
        r.broken.forEach(System.out::println);
        System.out.println(events + " events; promises broken: " + r.broken.size());
        return r.broken.isEmpty() ? OK : BROKEN;
    }

    private static int said(PolicyRules r) {
        r.broken.forEach(System.out::println);
        System.out.println(r.lookups + " lookups started, " + r.refused + " not decided; changes " + r.outcomes
            + "; promises broken: " + r.broken.size());
        return r.broken.isEmpty() ? OK : BROKEN;
    }

    /** Three voters, or five where there are as many directors and the seed is odd. */
    private static PolicySimulation policy(FaultScript s, long seed) {
        return PolicySimulation.play(s, 3000, seed % 2 == 0 ? 3 : 5, seed, null);
    }

    private static FaultScript read(Path file) throws IOException {
        return FaultScript.of(Files.readString(file));
    }

    @Command(name = "run", description = "Plays a script among real processes of this program.",
        mixinStandardHelpOptions = true)
    int run(@Parameters(paramLabel = "SCRIPT") Path script, @Option(names = "--seed", defaultValue = "1") long seed,
            @Option(names = "--logs", paramLabel = "DIR", description = "keeps each process's log there") Path logs)
        throws IOException, InterruptedException {
        try (ProcessFleet r = new ProcessFleet(read(script), seed, logs)) {
            r.play();
            r.said.forEach(System.out::println);
            deaths(r.history);
            int state = said(r.check(), r.history.events.size());
            if (!r.answers.isEmpty()) {
                state = Math.max(state, said(r.policy));
                times(r);
            }
            String over = r.limits.broken();
            if (over != null) System.out.println(over);
            return over != null ? BROKEN : state;
        } catch (IllegalArgumentException e) {
            return Main.printError(e.getMessage());
        }
    }

    /** From the end of each process for good until each of the others has a view without it. */
    private static void deaths(History h) {
        Map<String, Double> ended = new TreeMap<>();
        List<Double> known = new ArrayList<>();
        for (History.Event e : h.events) {
            if (e.kind() == History.Kind.ENDS) ended.put(e.name(), e.at());
            else if (e.kind() == History.Kind.STARTS) ended.remove(e.name());
        }
        ended.forEach((name, at) -> {
            Map<Integer, Double> out = new TreeMap<>();
            for (History.Event e : h.events) {
                boolean without = e.kind() == History.Kind.VIEW && e.at() > at && !e.name().equals(name)
                    && e.members().stream().noneMatch(m -> m.startsWith(name + "@"));
                if (without) out.putIfAbsent(e.member(), e.at() - at);
            }
            known.addAll(out.values());
        });
        if (!known.isEmpty()) System.out.println(ended.size()
            + " ended for good; out of the others' views, ms, p50 / p99"
            + " / most: " + row(known));
    }

    /** How long lookups took, those near the exchange of a table at their director apart from the rest. */
    private static void times(ProcessFleet r) {
        List<Double> near = new ArrayList<>(), far = new ArrayList<>();
        Map<Integer, Integer> others = new TreeMap<>();
        // One after the other, each through: then the plans are the proposals, in their order.
        boolean inTurn = r.policy.plan() == r.proposedAt.size();
        r.policy.taken().forEach((plan, by) -> {
            if (plan == 0) return;
            double last = Collections.max(by.values());
            String since = inTurn ? Math.round(last - r.proposedAt.get((int) (plan - 1)))
                + " ms after it was proposed, "
                : "";
            System.out.printf(Locale.ROOT, "plan %d: taken up by %d directors, by the last %s%.0f ms after the first%n",
                plan, by.size(), since, last - Collections.min(by.values()));
        });
        for (double[] a : r.answers) {
            boolean isNear = false;
            for (Map<String, Double> by : r.policy.taken().values()) {
                Double at = by.get("n" + (int) a[4]);
                isNear |= at != null && a[1] > at - NEAR_MS && a[0] < at + NEAR_MS;
            }
            if (a[2] == 200) (isNear ? near : far).add(a[1] - a[0]);
            else others.merge((int) a[2], 1, Integer::sum);
        }
        if (!others.isEmpty()) System.out.println("other answers by status, 0 for none: " + others);
        System.out.println("answered, ms, p50 / p99 / most: " + row(near) + " within " + NEAR_MS
            + " ms of a plan taken up there, " + row(far) + " else");
    }

    private static String row(List<Double> all) {
        if (all.isEmpty()) return "none";
        Collections.sort(all);
        return String.format(Locale.ROOT, "%.1f / %.1f / %.1f of %d", all.get(all.size() / 2), all.get((int) (0.99
            * (all.size() - 1))), all.get(all.size() - 1), all.size());
    }

    @Command(name = "replay", description = "Plays a script in virtual time, the same to the byte for a seed.",
        mixinStandardHelpOptions = true)
    int replay(@Parameters(paramLabel = "SCRIPT") Path script, @Option(names = "--seed", defaultValue = "1") long seed,
               @Option(names = "--events", description = "prints every event") boolean events) throws IOException {
        try {
            if (read(script).hasPolicy()) return said(policy(read(script), seed).rules);
            SimulatedFleet v = SimulatedFleet.play(read(script), FailureDetectorSettings.DEFAULTS, seed, null);
            if (events) v.history.events.forEach(e -> System.out.println(Math.round(e.at()) + " " + e.kind() + " "
                + e.name() + (e.members().isEmpty() ? "" : " " + e.number() + " " + e.members()) + " " + e.text()));
            return said(v.check(), v.history.events.size());
        } catch (IllegalArgumentException e) {
            return Main.printError(e.getMessage());
        }
    }

    @Command(name = "shrink", description = "Leaves out lines of a failing script for as long as it still fails.",
        mixinStandardHelpOptions = true)
    int shrink(@Parameters(paramLabel = "SCRIPT") Path script, @Option(names = "--seed", defaultValue = "1") long seed)
        throws IOException {
        try {
            FaultScript all = read(script);
            if (!fails(all, seed)) {
                System.out.println("nothing is broken with this seed");
                return OK;
            }
            System.out.print(all.shrunk(s -> fails(s, seed), System.err::println));
            return BROKEN;
        } catch (IllegalArgumentException e) {
            return Main.printError(e.getMessage());
        }
    }

    @Command(name = "drawn", description = "Plays histories drawn by chance in virtual time; those that break a "
        + "promise are printed by their seed.", mixinStandardHelpOptions = true)
    int drawn(@Option(names = "--histories", defaultValue = "1000") int histories,
              @Option(names = "--from", paramLabel = "SEED", defaultValue = "1") long from,
              @Option(names = "--policy", description = "changes of the policy, not membership") boolean ofPolicy,
              @Option(names = "--voters", description = "with --policy: voters change, and who was asked dies")
              boolean voters) {
        AtomicInteger bad = new AtomicInteger();
        if (ofPolicy) {
            AtomicLong starts = new AtomicLong(), overlaps = new AtomicLong();
            Map<PolicyRegister.Outcome, LongAdder> ends = new ConcurrentSkipListMap<>();
            LongStream.range(from, from + histories).parallel().forEach(seed -> {
                SplittableRandom r0 = new SplittableRandom(seed);
                FaultScript s = voters ? FaultScript.drawnVoters(r0) : FaultScript.drawnPolicy(r0);
                PolicyRules r = policy(s, seed).rules;
                starts.addAndGet(r.lookups);
                overlaps.addAndGet(r.overlaps);
                r.outcomes.forEach((o, n) -> ends.computeIfAbsent(o, k -> new LongAdder()).add(n));
                if (r.broken.isEmpty()) return;
                bad.incrementAndGet();
                System.out.println("# seed " + seed + ": " + r.broken.get(0) + "\n" + s);
            });
            System.out.println(histories + " histories, " + bad.get() + " break a promise; changes " + ends + "; "
                + starts.get() + " starts of lookups, " + overlaps.get() + " of them within an overlap");
            return bad.get() == 0 ? OK : BROKEN;
        }
        DoubleAccumulator most = new DoubleAccumulator(Math::max, 0);
        LongStream.range(from, from + histories).parallel().forEach(seed -> {
            FaultScript s = FaultScript.drawn(new SplittableRandom(seed));
            SimulatedFleet v = SimulatedFleet.play(s, FailureDetectorSettings.DEFAULTS, seed, null);
            most.accumulate(v.mostParts - 1);
            FleetRules r = v.check();
            if (r.broken.isEmpty()) return;
            bad.incrementAndGet();
            System.out.println("# seed " + seed + ": " + r.broken.get(0) + "\n" + s);
        });
        System.out.printf(Locale.ROOT, "%d histories, %d break a promise; parts of a limit came to at most "
            + "%.3f of it%n", histories, bad.get(), 1 + most.get());
        return bad.get() == 0 ? OK : BROKEN;
    }

    /** Handed on to the tool, which has libraries that a director does not. */
    @Command(name = "explore", description = "Goes through every state of the policy's protocol within bounds.")
    static final class Explore implements Callable<Integer> {
        @Parameters(arity = "0..*", hidden = true) private List<String> args = List.of();

        @Override public Integer call() throws Exception {
            return ToolLauncher.run("mothcross.rig.explore.Explore", args.toArray(String[]::new));
        }
    }

    private static boolean fails(FaultScript s, long seed) {
        if (s.hasPolicy()) return !policy(s, seed).rules.broken.isEmpty();
        return !SimulatedFleet.play(s, FailureDetectorSettings.DEFAULTS, seed, null).check().broken.isEmpty();
    }

}
