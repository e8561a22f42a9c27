package mothcross.rig;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.*;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import mothcross.policy.Plan;
import mothcross.policy.PolicyMessage;
import mothcross.policy.PolicyParticipant;
import mothcross.policy.PolicyReplica;
import mothcross.policy.ProposalNumber;
import mothcross.policy.Voter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Changes of the policy in virtual time: the hard cases one by one, faults at every step, then drawn histories. */
public class PolicyTest {
    private static final String FIVE = "members 5 for 60000\n";

    @DataProvider public Object[][] cases() {
        return new Object[][] {
            {"nothing", FIVE + "8000 propose 0 by 1 for 9000", "{COMMITTED=1}"},
            {"one after the other", FIVE + "8000 propose 0 by 1 for 9000\n12000 propose 3 by 2 for 9000",
                "{COMMITTED=2}"},
            {"two operators at once", FIVE + "8000 propose 0 by 1 for 9000\n8000 propose 4 by 2 for 9000", null},
            {"undone", FIVE + "8000 propose 0 by 1 for 9000\n12000 propose 0 by 2 for 9000\n"
                + "16000 propose 0 by 1 for 9000",
                "{COMMITTED=3}"},
            {"one can't compile it", FIVE + "8000 propose 0 by 9 for 9000", "{ABORTED=1}"},
            {"one is away for good", FIVE + "8000 kill 4\n8100 propose 0 by 1 for 9000", "{COMMITTED=1}"},
            {"a third is away, and back one by one", "members 9 for 60000\n7000 restart 6 for 9000\n7000 restart 7 for "
                + "12000\n7000 restart 8 for 15000\n8000 propose 0 by 1 for 9000", "{COMMITTED=1}"},
            {"one is cut off and holds it up", FIVE + "7000 cut 4 to all for 20000\n7000 cut all to 4 for 20000\n"
                + "8000 propose 0 by 1 for 9000", "{ABORTED=1}"},
            {"one is cut off, and not waited for", FIVE + "4000 leases 0 by 1 for 3000\n7500 cut 4 to all for 25000\n"
                + "7500 cut all to 4 for 25000\n8000 stop 0 by 1 for 15000", "{COMMITTED=2}"},
            {"the coordinator can't say", FIVE + "8050 cut 3 to 0,1,2,4 for 20000\n8000 propose 3 by 1 for 9000", null},
            {"the coordinator can't hear", FIVE + "8050 cut 0,1,2,4 to 3 for 20000\n8000 propose 3 by 1 for 9000",
                null},
            {"one edge is cut", FIVE + "7000 cut 3 to 4 for 20000\n8000 propose 3 by 1 for 9000", "{COMMITTED=1}"},
            {"the quorum is lost", FIVE
                + "8000 restart 0 for 20000\n8000 restart 1 for 20000\n9000 propose 3 by 1 for 30000",
                "{COMMITTED=1}"},
            {"a disk refuses", FIVE + "7900 refuse 1 for 8000\n8000 propose 0 by 1 for 9000", "{COMMITTED=1}"},
            {"all disks refuse", FIVE + "7900 refuse all for 4000\n8000 propose 0 by 1 for 12000", "{COMMITTED=1}"},
            {"a voter's disk is new", FIVE + "6000 forget 1 for 500\n9000 propose 0 by 1 for 9000", "{COMMITTED=1}"},
            {"all start together", FIVE + "7000 restart all for 500\n12000 propose 2 by 1 for 9000", "{COMMITTED=1}"},
            {"loss", FIVE + "6000 loss all by 0.3 for 20000\n8000 propose 0 by 1 for 15000", "{COMMITTED=1}"},
            {"a slow network", FIVE + "6000 delay all by 300 for 20000\n8000 propose 0 by 1 for 15000",
                "{COMMITTED=1}"},
            {"trial, then all", FIVE + "8000 trial 0 by 1 for 9000\n15000 promote 2", "{COMMITTED=1}"},
            {"trial, taken back", FIVE + "8000 trial 0 by 1 for 9000\n15000 abort 2", "{WITHDRAWN=1}"},
            {"one pauses in a trial", FIVE + "8000 trial 0 by 1 for 9000\n9000 pause 4 for 9000\n12000 promote 2",
                null},
            {"a clock goes back, and nothing is kept", FIVE
                + "0 skew 4 by 90000\n5000 forget 4 for 500\n6000 skew 4 by "
                + "-90000\n7000 forget 4 for 500\n9000 propose 0 by 1 for 9000", "{COMMITTED=1}"},
            {"one leaves", FIVE + "8000 leave 4\n8100 propose 0 by 1 for 9000", "{COMMITTED=1}"}};
    }

    private static PolicySimulation play(String script, long seed, PolicySimulation.Spoils spoils) {
        return PolicySimulation.play(FaultScript.of(script), 3000, 3, seed, spoils);
    }

    @Test(dataProvider = "cases") public void hardCase(String name, String script, String outcomes) {
        for (long seed = 1; seed <= 6; seed++) {
            PolicySimulation p = play(script, seed, null);
            assertTrue(p.rules.broken.isEmpty(), name + ", seed " + seed + ":\n" + String.join("\n", p.rules.broken));
            if (outcomes != null) assertEquals(p.rules.outcomes.toString(), outcomes, name + ", seed " + seed);
            assertTrue(p.mostTexts <= 3, name + ": " + p.mostTexts + " texts were held at once");
        }
    }

    /** Whoever coordinates, a voter, all of them, or one that is asked, is gone or stands still at every step. */
    @DataProvider public Object[][] everyStep() {
        return new Object[][] {{"kill 3"}, {"restart 3 for 700"}, {"restart 0 for 700"}, {"restart all for 500"},
            {"pause 3 for 5000"}, {"pause 4 for 5000"}, {"pause 0-2 for 4000"}, {"restart 4 for 300"},
            {"cut 3 to all for 5000"}, {"cut all to 4 for 5000"}, {"cut 4 to all for 9000"}};
    }

    @Test(dataProvider = "everyStep") public void atEveryStep(String what) {
        List<String> bad = new java.util.concurrent.CopyOnWriteArrayList<>();
        IntStream.range(0, 90).parallel().forEach(i -> {
            PolicySimulation p = play(FIVE + "8000 propose 3 by 1 for 9000\n" + (8000 + 2 * i) + " " + what, i, null);
            if (!p.rules.broken.isEmpty()) bad.add("after " + 2 * i + " ms: " + p.rules.broken);
        });
        assertTrue(bad.isEmpty(), what + ":\n" + String.join("\n", bad));
    }

    /** Replies that come when later requests are out: under leases, with a change and a fault, no promise is broken. */
    @Test public void repliesMayComeLate() {
        List<String> bad = new java.util.concurrent.CopyOnWriteArrayList<>();
        List<String> faults = List.of("restart 3 for 700", "restart all for 500", "pause 3 for 5000",
            "pause 0-2 for 4000", "cut 4 to all for 9000", "cut all to 4 for 9000", "kill 0");
        IntStream.range(0, 40 * faults.size()).parallel().forEach(i -> {
            int delayMs = 400 + new SplittableRandom(i).nextInt(1600);
            String script = FIVE + "4000 leases 0 by 1 for 3000\n7000 delay all by " + delayMs + " for 30000\n"
                + "8000 stop 3 by 1 for 20000\n" + (8000 + 37 * i % 9000) + " " + faults.get(i % faults.size());
            PolicySimulation p = play(script, i, null);
            if (!p.rules.broken.isEmpty()) bad.add(i + ", " + script + ": " + p.rules.broken);
        });
        assertTrue(bad.isEmpty(), String.join("\n", bad));
    }

    /** Promise 4: without a change, no lookup is lost, whatever is; under hold also to whom is cut off from all. */
    @Test public void nothingIsLostWithoutAChange() {
        for (String what : List.of("kill 0-2", "cut 4 to all for 40000\n8000 cut all to 4 for 40000",
            "pause 0-2 for 30000")) {
            PolicySimulation p = PolicySimulation.play(FaultScript.of(FIVE + "8000 " + what), 3000, 3, 1, null);
            assertTrue(p.rules.refused <= 5 * 60, what + ": " + p.rules.refused + " lookups were refused");
            assertTrue(p.rules.broken.stream().noneMatch(b -> b.startsWith("promise 4")), p.rules.broken.toString());
        }
    }

    /** {@code -Dhistories=50000} plays them all; without it a few hundred, for CI. */
    @Test public void drawnHistories() {
        int all = Integer.getInteger("histories", 400), from = Integer.getInteger("from", 1);
        List<String> bad = new java.util.concurrent.CopyOnWriteArrayList<>();
        IntStream.range(from, from + all).parallel().forEach(seed -> {
            FaultScript s = FaultScript.drawnPolicy(new SplittableRandom(seed));
            PolicySimulation p = PolicySimulation.play(s, 3000, seed % 2 == 0 ? 3 : 5, seed, null);
            if (!p.rules.broken.isEmpty()) bad.add("seed " + seed + ":\n" + p.rules.broken + "\n" + s);
        });
        assertTrue(bad.isEmpty(), bad.size() + " of " + all + ":\n" + String.join("\n", bad));
    }

    /**
     * Who made other voters is killed at each word, so at some before it has told anybody: the old ones end the doubt.
     * Found by drawn history 63 of those with voters.
     */
    @Test public void otherVotersAreFoundThoughWhoMadeThemIsDead() {
        IntStream.range(0, 60).parallel().forEach(words -> {
            List<String> broken = play("members 7 for 90000\n3000 leases 0 by 1 for 5000\n20000 die 2 by " + words
                + " for 80000\n20000 voters 2 to 4-6", words, null).rules.broken;
            assertTrue(broken.isEmpty(), words + " words: " + broken);
        });
    }

    /** One of many was cut off meanwhile, and all voters that it knows are gone: it finds the later ones. */
    @Test public void whoKnowsOnlyDeadVotersFindsTheLaterOnes() {
        for (long seed = 1; seed <= 5; seed++) {
            List<String> broken = play("members 60 for 90000\n3000 leases 0 by 1 for 5000\n"
                + "20000 cut 30 to all for 8000\n20000 cut all to 30 for 8000\n21000 voters 2 to 4-6\n25000 kill 0-2",
                seed, null).rules.broken;
            assertTrue(broken.isEmpty(), "seed " + seed + ": " + broken);
        }
    }

    /** Histories that once broke a promise, by their seeds: docs/design/policy-change.md says what each showed. */
    @Test public void keptHistories() throws Exception {
        List<Path> files;
        try (Stream<Path> all = Files.list(Path.of(PolicyTest.class.getResource("/policy").toURI()))) {
            files = all.sorted().toList();
        }
        assertTrue(files.size() >= 1);
        for (Path f : files) {
            long seed = Long.parseLong(f.getFileName().toString().replaceAll("\\D", ""));
            FaultScript s = FaultScript.of(Files.readString(f));
            List<String> broken = PolicySimulation.play(s, 3000, seed % 2 == 0 ? 3 : 5, seed, null).rules.broken;
            assertTrue(broken.isEmpty(), f.getFileName() + ":\n" + String.join("\n", broken));
        }
    }

    // ---- planted faults: each has to be found within the hard cases and a few drawn histories ----

    private interface Hears extends PolicySimulation.Spoils {
        @Override PolicyMessage hears(String who, String from, PolicyMessage s);
    }

    private static PolicySimulation.Spoils hears(Hears h) {
        return h;
    }

    private static PolicySimulation.Spoils keeps(java.util.function.BinaryOperator<Voter.State> k) {
        return new PolicySimulation.Spoils() {
            @Override public Voter.State keeps(Voter.State before, Voter.State written) {
                return k.apply(before, written);
            }
        };
    }

    @DataProvider public Object[][] planted() {
        return new Object[][] {
            {"what is accepted is not on disk", keeps((b, w) -> b)},
            {"promises are forgotten", keeps((b, w) -> new Voter.State(w.storeId(), ProposalNumber.NONE,
                w.acceptedNumber(), w.accepted()))},
            {"leases never end", new PolicySimulation.Spoils() {
                @Override public boolean mayStart(PolicyParticipant p, double now) {
                    return p.replica().stopReason(Double.NEGATIVE_INFINITY) == PolicyReplica.StopReason.NO;
                }
            }},
            {"who is behind counts as ready", hears((who, from, s) -> s instanceof PolicyMessage.ProgressReport t
                && t.progress() != PolicyMessage.Progress.TAKEN
                ? new PolicyMessage.ProgressReport(t.incarnation(), t.stageRevision(), t.plan(),
                    PolicyMessage.Progress.READY, "") : s)},
            {"a no counts as ready", hears((who, from, s) -> s instanceof PolicyMessage.ProgressReport t
                && t.progress() == PolicyMessage.Progress.NO
                ? new PolicyMessage.ProgressReport(t.incarnation(), t.stageRevision(), t.plan(),
                    PolicyMessage.Progress.READY, "") : s)},
            {"voters always say yes", hears((who, from, s) -> s instanceof PolicyMessage.LeaseReply y
                ? new PolicyMessage.LeaseReply(y.number(), y.storeId(), true, 0) : s)},
            {"a decided book is not told", hears((who, from, s) -> s instanceof PolicyMessage.Decided ? null : s)},
            {"who drives asks nobody", hears((who, from, s) -> s instanceof PolicyMessage.ProgressRequest
                || s instanceof PolicyMessage.ProgressReport ? null : s)},
            {"texts are not passed on", hears((who, from, s) -> s instanceof PolicyMessage.TextChunk ? null : s)},
            {"one who has not heard decides by another plan", new PolicySimulation.Spoils() {
                @Override public boolean mayStart(PolicyParticipant p, double now) {
                    return p.replica().plan() >= 0;
                }
            }}};
    }

    @Test(dataProvider = "planted") public void plantedFaultIsFound(String fault, PolicySimulation.Spoils spoils) {
        for (Object[] c : cases()) {
            PolicySimulation p = play((String) c[1], 1, spoils);
            if (!p.rules.broken.isEmpty()) return;
            if (c[2] != null && !p.rules.outcomes.toString().equals(c[2])) return;
        }
        boolean found = IntStream.range(1, 3000).parallel().anyMatch(seed -> !PolicySimulation.play(
            FaultScript.drawnPolicy(new SplittableRandom(seed)), 3000, 3, seed, spoils).rules.broken.isEmpty());
        assertTrue(found, "not found: " + fault);
    }

    /** A trial by share takes the same objects everywhere, and about as many as it says. */
    @Test public void aTrialIsOfTheSameObjectsEverywhere() {
        Plan p = new Plan(1, "a", "b", new Plan.Canary(List.of(), 0.1), false);
        long n = IntStream.range(0, 10_000).filter(i -> p.isOnTrial("n1", i)).count();
        assertTrue(n > 800 && n < 1200, n + " of 10,000");
        assertTrue(IntStream.range(0, 1000).allMatch(i -> p.isOnTrial("n1", i) == p.isOnTrial("n2", i)));
    }
}
