package mothcross.rig;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * The figures of docs/measured/policy.md: {@code java -cp ... mothcross.rig.PolicyFigures WHAT}, WHAT one of
 * {@code times}, {@code mixed}, {@code lost}, {@code cost}. Virtual time; three voters; leases of 3 s.
 */
public final class PolicyFigures {
    private static final double LEASE = 3000, AT = 20_000;

    private PolicyFigures() { }

    public static void main(String[] args) {
        switch (args.length > 0 ? args[0] : "") {
            case "times" -> times();
            case "mixed" -> mixed();
            case "lost" -> lost();
            case "cost" -> cost();
            default -> {
                System.err.println("which figures? times, mixed, lost or cost");
                System.exit(2);
            }
        }
    }

    private static int seeds(int n) {
        return n <= 10 ? 100 : n <= 100 ? 40 : 4;
    }

    private static String script(int n, String trouble, double ends) {
        return "members " + n + " for " + Math.round(ends) + "\n" + Math.round(AT) + " propose " + n / 2
            + " by 1 for 20000\n" + trouble;
    }

    private static PolicySimulation play(String script, int seed) {
        return PolicySimulation.play(FaultScript.of(script), LEASE, 3, seed, null);
    }

    private static String row(List<Double> all) {
        if (all.isEmpty()) return "-";
        double[] a = all.stream().mapToDouble(x -> x / 1000).sorted().toArray();
        return String.format(Locale.ROOT, "%.2f / %.2f / %.2f", a[a.length / 2], a[(int) (0.99 * (a.length - 1))],
            a[a.length - 1]);
    }

    private static String[][] troubles(int n) {
        int tenth = Math.max(1, n / 10);
        return new String[][] {{"none", ""}, {"loss 10%", "15000 loss all by 0.1 for 30000\n"},
            {"a tenth is down", "19000 kill " + (n - tenth) + (tenth > 1 ? "-" + (n - 1) : "") + "\n"},
            {"the coordinator is killed", "%d kill " + n / 2 + "\n"}};
    }

    /**
     * From propose until the last director that runs has taken the plan up; and the overlap, from the first to the
     * last.
     */
    private static void times() {
        System.out.println("| directors | trouble | until all decide by it, s (p50 / p99 / most) | first to last, s | "
            + "through | not |\n|---|---|---|---|---|---|");
        for (int n : new int[] {3, 10, 100, 1000}) {
            for (String[] t : troubles(n)) {
                if (n == 3 && t[0].startsWith("a tenth")) continue;
                List<double[]> rows = IntStream.range(0, seeds(n)).parallel().mapToObj(seed -> {
                    long kill = Math.round(AT) + new SplittableRandom(seed).nextInt(400);
                    PolicySimulation p = play(script(n, String.format(t[1].replace("%d", "%1$d"), kill), AT + 25_000), seed);
                    if (!p.rules.broken.isEmpty()) throw new IllegalStateException(p.rules.broken.toString());
                    Map<String, Double> taken = p.taken().getOrDefault(1L, Map.of());
                    double first = Double.POSITIVE_INFINITY, last = 0;
                    for (double x : taken.values()) {
                        first = Math.min(first, x);
                        last = Math.max(last, x);
                    }
                    return taken.isEmpty() ? new double[] {Double.NaN, 0} : new double[] {last - AT, last - first};
                }).collect(Collectors.toList());
                List<Double> all = new ArrayList<>(), overlap = new ArrayList<>();
                for (double[] r : rows) {
                    if (Double.isNaN(r[0])) continue;
                    all.add(r[0]);
                    overlap.add(r[1]);
                }
                System.out.println("| " + n + " | " + t[0] + " | " + row(all) + " | " + row(overlap) + " | "
                    + all.size()
                    + " | " + (rows.size() - all.size()) + " |");
            }
        }
    }

    /**
     * Lookups by the old plan while others decide by the new, and after the point. SIGHUP one after the other, 0.5 s
     * apart, is reckoned, not played: whoever comes i-th goes on by the old for i times as long.
     */
    private static void mixed() {
        System.out.println("| directors | what happens | starts looked at | by the old plan beside the new | past the "
            + "point | SIGHUP in turn: beside the new |\n|---|---|---|---|---|---|");
        for (int n : new int[] {4, 10, 50}) {
            String[][] all = {{"nothing", ""}, {"one is down meanwhile", "19500 restart 1 for 5000\n"},
                {"one pauses over it", "20050 pause 1 for 6000\n"}, {"one is cut off", "20050 cut 1 to all for 8000\n"},
                {"the coordinator is killed", "20060 kill " + n / 2 + "\n"}};
            for (String[] w : all) {
                long past = 0, looked = 0, beside = 0;
                for (int seed = 0; seed < 20; seed++) {
                    PolicySimulation p = play(script(n, w[1], AT + 25_000), seed);
                    past += p.rules.broken.stream().filter(b -> b.startsWith("promise 2")).count();
                    looked += p.rules.lookups;
                    beside += p.rules.overlaps;
                }
                long inTurn = w[1].isEmpty() ? Math.round(20 * 500.0 / 40 * n * (n - 1) / 2) : -1;
                System.out.println("| " + n + " | " + w[0] + " | " + looked + " | " + beside + " | " + past + " | "
                    + (inTurn < 0 ? "" : inTurn) + " |");
            }
        }
    }

    /** Lookups that a change left undecided, of all that started at directors that ran, 10 directors, 20 seeds. */
    private static void lost() {
        System.out.println("| what happens | hold: lookups not decided, % | outcome | stop, % | outcome |\n"
            + "|---|---|---|---|---|");
        String[][] all = {{"a change, no fault", ""}, {"loss of 10%", "15000 loss all by 0.1 for 30000\n"},
            {"one is cut off before it, for 10 s", "19000 cut 9 to all for 10000\n19000 cut all to 9 for 10000\n"},
            {"one is cut off as it says READY, for 10 s",
                "20030 cut 9 to all for 10000\n20030 cut all to 9 for 10000\n"},
            {"the coordinator is killed", "20040 kill 5\n"},
            {"two of three voters are away for 10 s", "20500 restart 0-1 for 10000\n"},
            {"the same without a change", "30000 restart 0-1 for 10000\n"}};
        for (String[] w : all) {
            StringBuilder line = new StringBuilder("| " + w[0]);
            for (String mode : new String[] {"propose", "stop"}) {
                long started = 0, refused = 0;
                String outcomes = "";
                for (int seed = 0; seed < 20; seed++) {
                    String s = script(10, w[1], AT + 25_000).replace(" propose 5", " " + mode + " 5");
                    if (mode.equals("stop")) s = s.replaceFirst("\n", "\n5000 leases 0 by 1 for 5000\n");
                    if (w[0].endsWith("without a change")) s = s.replaceAll("\n20000 (propose|stop)[^\n]*", "");
                    PolicySimulation p = play(s, seed);
                    started += p.rules.lookups;
                    refused += p.rules.refused;
                    outcomes = p.rules.outcomes.toString();
                }
                // The first look of each comes before it has its seat: what a start costs is not counted.
                PolicySimulation calm = play("members 10 for 45000\n" + (mode.equals("stop")
                    ? "5000 leases 0 by 1 for 5000\n" : "")
                    + "40000 abort 0", 0);
                line.append(String.format(Locale.ROOT, " | %.3f | %s", 100.0 * Math.max(0,
                    refused - 20 * calm.rules.refused)
                    / started, outcomes));
            }
            System.out.println(line.append(" |"));
        }
    }

    /** Messages, bytes and syncs of a change, over what the same time costs without. */
    private static void cost() {
        System.out.println("| directors | messages | bytes (as text) | syncs |\n|---|---|---|---|");
        PolicySimulation.weighs = true;
        for (int n : new int[] {3, 10, 100, 1000}) {
            double[] sum = new double[3];
            int seeds = n >= 1000 ? 1 : 5;
            for (int seed = 0; seed < seeds; seed++) {
                PolicySimulation a = play(script(n, "", AT + 3000), seed);
                PolicySimulation b = play("members " + n + " for " + Math.round(AT + 3000) + "\n22990 abort 0", seed);
                sum[0] += a.sent - b.sent;
                sum[1] += a.bytes - b.bytes;
                sum[2] += a.syncs - b.syncs;
            }
            System.out.println("| " + n + " | " + Arrays.stream(sum).mapToObj(x -> Long.toString(Math.round(x / seeds)))
                .collect(Collectors.joining(" | ")) + " |");
        }
        PolicySimulation.weighs = false;
    }
}
