package mothcross.experiment;

import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import mothcross.CacheDirector;
import mothcross.operators.OperatorsFile;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code mothcross experiment}, on the tools' loader: plays plans, compares, reports, lists what there is. */
@Command(name = "experiment", description = "Plays experiments on the emulator; results under experiments/.",
    mixinStandardHelpOptions = true, subcommands = {Commands.Run.class, Commands.Compare.class,
        Commands.ReportCommand.class,
        Commands.ListAll.class})
public final class Commands implements Callable<Integer> {
    private static final int USAGE = 2;
    /** Which module is played, by its bytes: rows of two builds are never mixed. */
    private static final String BUILD = build();
    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    private Commands() { }

    public static int run(String[] args) {
        System.setProperty("java.awt.headless", "true");
        return new CommandLine(new Commands()).execute(args);
    }

    @Override public Integer call() {
        spec.commandLine().usage(System.err);
        return USAGE;
    }

    private static final class Which {
        @Parameters(paramLabel = "FILE", description = "the experiment, Jsonnet") private Path file;

        @Option(names = "--out", paramLabel = "DIR", description = "for results (default: experiments/NAME/BUILD)")
        private Path out;
        private String hash;

        Path dir() {
            String name = file.getFileName().toString().replaceAll("\\.[^.]*$", "");
            return out != null ? out : Path.of("experiments", name, BUILD);
        }

        /** Null where it has said what is wrong. */
        ExperimentPlan plan() throws IOException {
            try {
                String json = OperatorsFile.evaluate(file);
                hash = hash(json) + "-" + BUILD;
                return ExperimentPlan.of(JsonParser.parseString(json).getAsJsonObject());
            } catch (OperatorsFile.InvalidOperatorsFileException | IllegalArgumentException | IllegalStateException
                | UnsupportedOperationException | ClassCastException e) {
                System.err.println("mothcross: " + file + ": " + e.getMessage());
                return null;
            }
        }

        ResultRows rows() throws IOException {
            return new ResultRows(dir().resolve("rows.csv"), hash);
        }
    }

    private static String hash(String text) {
        try {
            byte[] h = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(h, 0, 8);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);             // every platform has it
        }
    }

    private static String build() {
        try (InputStream in = CacheDirector.class.getResourceAsStream("CacheDirector.class")) {
            return hash(new String(in.readAllBytes(), StandardCharsets.ISO_8859_1)).substring(0, 8);
        } catch (IOException e) {
            throw new IllegalStateException(e);             // it was loaded from there
        }
    }

    /** What git says is checked out, "unknown" where there is none. */
    private static String commit() {
        try {
            Process p = new ProcessBuilder("git", "rev-parse", "--short", "HEAD").redirectError(
                ProcessBuilder.Redirect.DISCARD).start();
            String s = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
            return p.waitFor() == 0 && !s.isEmpty() ? s : "unknown";
        } catch (IOException e) {
            return "unknown";
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return "unknown";
        }
    }

    @Command(name = "run", description = "Plays what has not been played yet; a killed one goes on where it was.",
        mixinStandardHelpOptions = true)
    static final class Run implements Callable<Integer> {
        @CommandLine.Mixin private Which which;

        @Option(names = "--jobs", paramLabel = "N", description = "runs at a time (default: as many as cores)")
        private int jobs = Runtime.getRuntime().availableProcessors();

        @Override public Integer call() throws IOException, InterruptedException {
            ExperimentPlan plan = which.plan();
            if (plan == null) return USAGE;
            ResultRows rows = which.rows();
            int n = Sweep.play(plan, rows, Math.max(1, jobs), s -> System.err.println(s));
            new Report(plan, rows, which.hash, commit()).write(which.dir());
            System.out.println(n + " runs played, " + plan.cells.size() + " cells; see "
                + which.dir().resolve("index.html"));
            return 0;
        }
    }

    @Command(name = "compare", description = "Two policies over the same seeds.", mixinStandardHelpOptions = true)
    static final class Compare implements Callable<Integer> {
        @CommandLine.Mixin private Which which;

        @Parameters(index = "1", paramLabel = "ONE") private String one;

        @Parameters(index = "2", paramLabel = "OTHER") private String other;

        @Override public Integer call() throws IOException {
            ExperimentPlan plan = which.plan();
            if (plan == null) return USAGE;
            new Report(plan, which.rows(), which.hash, commit()).compare(one, other).forEach(System.out::println);
            return 0;
        }
    }

    @Command(name = "report", description = "Tables, charts and the page anew from the rows.",
        mixinStandardHelpOptions = true)
    static final class ReportCommand implements Callable<Integer> {
        @CommandLine.Mixin private Which which;

        @Override public Integer call() throws IOException {
            ExperimentPlan plan = which.plan();
            if (plan == null) return USAGE;
            Report r = new Report(plan, which.rows(), which.hash, commit());
            r.write(which.dir());
            System.out.print(r.csv());
            return 0;
        }
    }

    @Command(name = "list", description = "The experiments that have results.", mixinStandardHelpOptions = true)
    static final class ListAll implements Callable<Integer> {
        @Override public Integer call() throws IOException {
            Path all = Path.of("experiments");
            if (!Files.isDirectory(all)) return 0;
            try (Stream<Path> files = Files.find(all, 3, (p, a) -> p.endsWith("rows.csv"))) {
                for (Path rows : files.sorted().toList()) {
                    try (Stream<String> lines = Files.lines(rows)) {
                        System.out.println(all.relativize(rows.getParent()) + ": " + (lines.count() - 2) + " runs");
                    }
                }
            }
            return 0;
        }
    }
}
