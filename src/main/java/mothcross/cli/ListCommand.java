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

/** {@code mothcross list}: looks at a kept list as a director would that starts now. Must never change it. */
@Command(name = "list", description = "Looks at a kept list of boxes.", mixinStandardHelpOptions = true,
    subcommands = {ListCommand.Show.class, ListCommand.Verify.class})
final class ListCommand implements Callable<Integer> {
    /** Exit states: a director could start from it now; it can be read, but nothing in it is usable; it can't. */
    static final int USABLE = 0, TOO_OLD = 1, UNREADABLE = 3;

    @picocli.CommandLine.Spec private picocli.CommandLine.Model.CommandSpec spec;

    @Override public Integer call() {
        spec.commandLine().usage(System.err);
        return 2;
    }

    private static final class SnapshotOptions {
        @Parameters(paramLabel = "FILE", description = "the kept list") private Path file;

        @Option(names = "--operators", paramLabel = "FILE", description = "whose ages count, and which fleet")
        private Path operators;

        @Option(names = "--director", paramLabel = "NAME",
            description = "whose list it has to be") private String director;
        private AgeLimits ages = AgeLimits.DEFAULTS;

        SnapshotFormat.Result read(double now) throws OperatorsFile.InvalidOperatorsFileException {
            MembershipSettings r = operators == null ? null
                : OperatorsFile.read(operators).part(SettingsPart.MEMBERSHIP);
            if (r != null) ages = r.ages();
            return new SnapshotFileStore(file, r == null ? null : r.fleet(), director).read(now, ages.clockSkewMs());
        }

        Membership believed(MembershipSnapshot kept, double now) {
            Membership m = new Membership(ages, Double.MAX_VALUE, new SplittableRandom(0), (e, was, is, cold, why) ->
                { });
            m.restore(kept, now);
            return m;
        }
    }

    private static int refused(SnapshotOptions which, SnapshotFormat.Result r) {
        System.err.println("mothcross: " + which.file + ": " + (r == null ? "there is no such file"
            : r.error() + ", " + r.text()));
        return UNREADABLE;
    }

    private static int state(Membership m) {
        return m.entries().stream().anyMatch(t -> m.stateOf(t.id()).usable()) ? USABLE : TOO_OLD;
    }

    private static String age(double ms) {
        if (!(ms < 1e15)) return "never";
        double s = ms / 1000;
        if (s < 600) return String.format(Locale.ROOT, "%.1f s", s);
        if (s < 2 * 86_400) return String.format(Locale.ROOT, "%.1f h", s / 3600);
        return String.format(Locale.ROOT, "%.1f d", s / 86_400);
    }

    @Command(name = "show", description = "The entries, with age, standing and why.", mixinStandardHelpOptions = true)
    static final class Show implements Callable<Integer> {
        @picocli.CommandLine.Mixin private SnapshotOptions which;

        @Override public Integer call() throws OperatorsFile.InvalidOperatorsFileException {
            double now = System.currentTimeMillis();
            SnapshotFormat.Result r = which.read(now);
            if (r == null || r.snapshot() == null) return refused(which, r);
            MembershipSnapshot k = r.snapshot();
            Membership m = which.believed(k, now);
            System.out.printf(Locale.ROOT, "fleet %s, director %s, event %d, written %s ago, discovery heard %s ago, "
                + "%d boxes, %d purges%n", k.fleet(), k.director(), k.lastEvent(), age(now - k.savedAt()),
                age(now - k.confirmedAt()), k.entries().size(), k.purges().size());
            System.out.printf("%-12s %-21s %-10s %-10s %-9s %-9s %-9s %-9s %s%n", "box", "address", "place", "kind",
                "standing", "told", "answered", "started", "why");
            m.entries().stream().sorted(Comparator.comparing(ListedNode::id)).forEach(t -> System.out.printf(
                "%-12s %-21s %-10s %-10s %-9s %-9s %-9s %-9s %s%n", t.id(), t.address(), t.zone(), t.kind(),
                m.stateOf(t.id()).word(),
                age(now - (t.confirmed() ? Math.max(t.listedAt(), k.confirmedAt()) : t.listedAt())),
                t.answeredAt() == 0 ? "-" : age(now - t.answeredAt()),
                t.startedAt() == 0 ? "-" : age(now - t.startedAt()), m.reason(t.id())));
            return state(m);
        }
    }

    @Command(name = "verify", description = "Says whether a director could start from it now: exit 0 yes, 1 all in it "
        + "is too old, drains or is gone, 3 it can't be used.", mixinStandardHelpOptions = true)
    static final class Verify implements Callable<Integer> {
        @picocli.CommandLine.Mixin private SnapshotOptions which;

        @Override public Integer call() throws OperatorsFile.InvalidOperatorsFileException {
            double now = System.currentTimeMillis();
            SnapshotFormat.Result r = which.read(now);
            if (r == null || r.snapshot() == null) return refused(which, r);
            Membership m = which.believed(r.snapshot(), now);
            StringBuilder s = new StringBuilder();
            for (NodeState x : NodeState.values()) {
                if (m.count(x) > 0) s.append(' ').append(x.word()).append(' ').append(m.count(x));
            }
            int state = state(m);
            System.out.println((state == USABLE ? "usable:" : "nothing usable:") + s);
            return state;
        }
    }
}
