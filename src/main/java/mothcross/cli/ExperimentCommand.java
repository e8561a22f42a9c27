package mothcross.cli;

import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code mothcross experiment}: passed on to the tool, which needs libraries that a director does not have. */
@Command(name = "experiment", description = "Runs experiments on the emulator: run, compare, report, list.")
final class ExperimentCommand implements Callable<Integer> {
    @Parameters(arity = "0..*", hidden = true) private List<String> args = List.of();

    @Override public Integer call() throws Exception {
        return ToolLauncher.run("mothcross.experiment.Commands", args.toArray(String[]::new));
    }
}
