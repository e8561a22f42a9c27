package mothcross.cli;

import java.nio.file.Path;
import java.util.Comparator;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import mothcross.membership.AgeLimits;
import mothcross.membership.ListedNode;
import mothcross.membership.Membership;
import mothcross.membership.MembershipSnapshot;
import mothcross.membership.NodeState;
import mothcross.membership.SnapshotFormat;
import mothcross.net.SnapshotFileStore;
import mothcross.operators.MembershipSettings;
import mothcross.operators.OperatorsFile;
import mothcross.operators.SettingsPart;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code mothcross list}: reads a membership snapshot as a director that starts now would, without changing it. */
@Command(name = "list", description = "Shows a membership snapshot.", mixinStandardHelpOptions = true,
    subcommands = {ListCommand.Show.class, ListCommand.Verify.class})
final class ListCommand implements Callable<Integer> {
    /** Exit status: a director could start from the snapshot now. */
    static final int USABLE = 0;
    /** Exit status: the snapshot can be read, but no node in it is usable. */
    static final int TOO_OLD = 1;
    /** Exit status: the snapshot cannot be read. */
    static final int UNREADABLE = 3;
    private static final int USAGE = 2;
    /** An age of this or more means that the event never took place. */
    private static final double NEVER_MS = 1e15;
    private static final int HOUR_S = 3600;
    private static final int DAY_S = 86_400;
    private static final int MAX_SHOWN_AS_SECONDS_S = 600;
    private static final int MAX_SHOWN_AS_HOURS_S = 2 * DAY_S;

    @picocli.CommandLine.Spec private picocli.CommandLine.Model.CommandSpec spec;

    @Override public Integer call() {
        spec.commandLine().usage(System.err);
        return USAGE;
    }

    private static final class SnapshotOptions {
        @Parameters(paramLabel = "FILE", description = "the membership snapshot")
        private Path file;

        @Option(names = "--operators", paramLabel = "FILE",
            description = "the operators' file, for the age limits and the fleet's name")
        private Path operators;

        @Option(names = "--director", paramLabel = "NAME", description = "the director that has to have written it")
        private String director;

        private AgeLimits ages = AgeLimits.DEFAULTS;

        SnapshotFormat.Result read(double nowMs) throws OperatorsFile.InvalidOperatorsFileException {
            MembershipSettings settings = operators == null ? null
                : OperatorsFile.read(operators).part(SettingsPart.MEMBERSHIP);
            if (settings != null) ages = settings.ages();
            String fleet = settings == null ? null : settings.fleet();
            return new SnapshotFileStore(file, fleet, director).read(nowMs, ages.clockSkewMs());
        }

        /** The membership that a director would restore from the snapshot. */
        Membership restore(MembershipSnapshot snapshot, double nowMs) {
            Membership membership = new Membership(ages, Double.MAX_VALUE, new SplittableRandom(0),
                (node, before, after, cold, reason) -> { });
            membership.restore(snapshot, nowMs);
            return membership;
        }
    }

    private static int reportUnreadable(SnapshotOptions options, SnapshotFormat.Result result) {
        String reason = result == null ? "there is no such file" : result.error() + ", " + result.text();
        System.err.println("mothcross: " + options.file + ": " + reason);
        return UNREADABLE;
    }

    private static int exitStatus(Membership membership) {
        boolean anyUsable = membership.entries().stream().anyMatch(node -> membership.stateOf(node.id()).usable());
        return anyUsable ? USABLE : TOO_OLD;
    }

    private static String formatAge(double ageMs) {
        if (!(ageMs < NEVER_MS)) return "never";
        double ageS = ageMs / 1000;
        if (ageS < MAX_SHOWN_AS_SECONDS_S) return String.format(Locale.ROOT, "%.1f s", ageS);
        if (ageS < MAX_SHOWN_AS_HOURS_S) return String.format(Locale.ROOT, "%.1f h", ageS / HOUR_S);
        return String.format(Locale.ROOT, "%.1f d", ageS / DAY_S);
    }

    @Command(name = "show", description = "Prints the entries with their ages, states and reasons.",
        mixinStandardHelpOptions = true)
    static final class Show implements Callable<Integer> {
        @picocli.CommandLine.Mixin private SnapshotOptions options;

        @Override public Integer call() throws OperatorsFile.InvalidOperatorsFileException {
            double nowMs = System.currentTimeMillis();
            SnapshotFormat.Result result = options.read(nowMs);
            if (result == null || result.snapshot() == null) return reportUnreadable(options, result);
            MembershipSnapshot snapshot = result.snapshot();
            Membership membership = options.restore(snapshot, nowMs);
            System.out.printf(Locale.ROOT, "fleet %s, director %s, event %d, written %s ago, discovery heard %s ago, "
                + "%d boxes, %d purges%n", snapshot.fleet(), snapshot.director(), snapshot.lastEvent(),
                formatAge(nowMs - snapshot.savedAt()), formatAge(nowMs - snapshot.confirmedAt()),
                snapshot.entries().size(), snapshot.purges().size());
            System.out.printf("%-12s %-21s %-10s %-10s %-9s %-9s %-9s %-9s %s%n", "box", "address", "place", "kind",
                "standing", "told", "answered", "started", "why");
            membership.entries().stream().sorted(Comparator.comparing(ListedNode::id))
                .forEach(node -> printEntry(node, membership, snapshot.confirmedAt(), nowMs));
            return exitStatus(membership);
        }

        private static void printEntry(ListedNode node, Membership membership, double confirmedAt, double nowMs) {
            double listedAt = node.confirmed() ? Math.max(node.listedAt(), confirmedAt) : node.listedAt();
            String answered = node.answeredAt() == 0 ? "-" : formatAge(nowMs - node.answeredAt());
            String started = node.startedAt() == 0 ? "-" : formatAge(nowMs - node.startedAt());
            System.out.printf("%-12s %-21s %-10s %-10s %-9s %-9s %-9s %-9s %s%n", node.id(), node.address(),
                node.zone(), node.kind(), membership.stateOf(node.id()).label(), formatAge(nowMs - listedAt), answered,
                started, membership.reason(node.id()));
        }
    }

    @Command(name = "verify", description = "Checks whether a director could start from the snapshot now: exit 0 yes; "
        + "1 all its nodes are too old, draining or gone; 3 it can't be read.", mixinStandardHelpOptions = true)
    static final class Verify implements Callable<Integer> {
        @picocli.CommandLine.Mixin private SnapshotOptions options;

        @Override public Integer call() throws OperatorsFile.InvalidOperatorsFileException {
            double nowMs = System.currentTimeMillis();
            SnapshotFormat.Result result = options.read(nowMs);
            if (result == null || result.snapshot() == null) return reportUnreadable(options, result);
            Membership membership = options.restore(result.snapshot(), nowMs);
            StringBuilder counts = new StringBuilder();
            for (NodeState state : NodeState.values()) {
                int count = membership.count(state);
                if (count > 0) counts.append(' ').append(state.label()).append(' ').append(count);
            }
            int exitStatus = exitStatus(membership);
            System.out.println((exitStatus == USABLE ? "usable:" : "nothing usable:") + counts);
            return exitStatus;
        }
    }
}
