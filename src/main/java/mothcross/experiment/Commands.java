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

/**
 * {@code mothcross experiment}, loaded by the tools' class loader: runs and compares experiment plans, writes reports
 * and lists results.
 */
@Command(name = "experiment", description = "Runs experiments on the emulator; results under experiments/.",
    mixinStandardHelpOptions = true, subcommands = {Commands.RunCommand.class, Commands.CompareCommand.class,
        Commands.ReportCommand.class,
        Commands.ListCommand.class})
public final class Commands implements Callable<Integer> {
    private static final int USAGE = 2;
    /** Identifies the module by a hash of its bytes, so that rows of two builds are never mixed. */
    private static final String BUILD = buildId();
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

    private static final class PlanOptions {
        @Parameters(paramLabel = "FILE", description = "the experiment, Jsonnet") private Path file;

        @Option(names = "--out", paramLabel = "DIR", description = "for results (default: experiments/NAME/BUILD)")
        private Path out;
        private String planHash;

        Path outputDirectory() {
            String name = file.getFileName().toString().replaceAll("\\.[^.]*$", "");
            return out != null ? out : Path.of("experiments", name, BUILD);
        }

        /** The plan; null where it is invalid, after printing the reason. */
        ExperimentPlan plan() throws IOException {
            try {
                String json = OperatorsFile.evaluate(file);
                planHash = hash(json) + "-" + BUILD;
                return ExperimentPlan.of(JsonParser.parseString(json).getAsJsonObject());
            } catch (OperatorsFile.InvalidOperatorsFileException | IllegalArgumentException | IllegalStateException
                | UnsupportedOperationException | ClassCastException e) {
                System.err.println("mothcross: " + file + ": " + e.getMessage());
                return null;
            }
        }

        ResultRows rows() throws IOException {
            return new ResultRows(outputDirectory().resolve("rows.csv"), planHash);
        }
    }

    private static String hash(String text) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest, 0, 8);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);             // every platform has it
        }
    }

    private static String buildId() {
        try (InputStream in = CacheDirector.class.getResourceAsStream("CacheDirector.class")) {
            return hash(new String(in.readAllBytes(), StandardCharsets.ISO_8859_1)).substring(0, 8);
        } catch (IOException e) {
            throw new IllegalStateException(e);             // it was loaded from there
        }
    }

    /** The commit that git has checked out; "unknown" where there is none. */
    private static String commit() {
        try {
            Process process = new ProcessBuilder("git", "rev-parse", "--short", "HEAD").redirectError(
                ProcessBuilder.Redirect.DISCARD).start();
            String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
            return process.waitFor() == 0 && !output.isEmpty() ? output : "unknown";
        } catch (IOException e) {
            return "unknown";
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return "unknown";
        }
    }

    @Command(name = "run", description = "Runs what has not been run yet; a killed sweep continues where it ended.",
        mixinStandardHelpOptions = true)
    static final class RunCommand implements Callable<Integer> {
        @CommandLine.Mixin private PlanOptions planOptions;

        @Option(names = "--jobs", paramLabel = "N", description = "runs at a time (default: as many as cores)")
        private int jobs = Runtime.getRuntime().availableProcessors();

        @Override public Integer call() throws IOException, InterruptedException {
            ExperimentPlan plan = planOptions.plan();
            if (plan == null) return USAGE;
            ResultRows rows = planOptions.rows();
            int runs = Sweep.run(plan, rows, Math.max(1, jobs), line -> System.err.println(line));
            new Report(plan, rows, planOptions.planHash, commit()).write(planOptions.outputDirectory());
            System.out.println(runs + " runs played, " + plan.cells.size() + " cells; see "
                + planOptions.outputDirectory().resolve("index.html"));
            return 0;
        }
    }

    @Command(name = "compare", description = "Two policies over the same seeds.", mixinStandardHelpOptions = true)
    static final class CompareCommand implements Callable<Integer> {
        @CommandLine.Mixin private PlanOptions planOptions;

        @Parameters(index = "1", paramLabel = "ONE") private String one;

        @Parameters(index = "2", paramLabel = "OTHER") private String other;

        @Override public Integer call() throws IOException {
            ExperimentPlan plan = planOptions.plan();
            if (plan == null) return USAGE;
            new Report(plan, planOptions.rows(), planOptions.planHash, commit()).compare(one,
                other).forEach(System.out::println);
            return 0;
        }
    }

    @Command(name = "report", description = "Tables, charts and the page anew from the rows.",
        mixinStandardHelpOptions = true)
    static final class ReportCommand implements Callable<Integer> {
        @CommandLine.Mixin private PlanOptions planOptions;

        @Override public Integer call() throws IOException {
            ExperimentPlan plan = planOptions.plan();
            if (plan == null) return USAGE;
            Report report = new Report(plan, planOptions.rows(), planOptions.planHash, commit());
            report.write(planOptions.outputDirectory());
            System.out.print(report.csv());
            return 0;
        }
    }

    @Command(name = "list", description = "The experiments that have results.", mixinStandardHelpOptions = true)
    static final class ListCommand implements Callable<Integer> {
        @Override public Integer call() throws IOException {
            Path root = Path.of("experiments");
            if (!Files.isDirectory(root)) return 0;
            try (Stream<Path> files = Files.find(root, 3, (p, a) -> p.endsWith("rows.csv"))) {
                for (Path rows : files.sorted().toList()) {
                    try (Stream<String> lines = Files.lines(rows)) {
                        System.out.println(root.relativize(rows.getParent()) + ": " + (lines.count() - 2) + " runs");
                    }
                }
            }
            return 0;
        }
    }
}
