package mothcross.cli;

import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code mothcross experiment}: handed on to the tool, which has libraries that a director does not. */
@Command(name = "experiment", description = "Plays experiments on the emulator: run, compare, report, list.")
final class ExperimentCommand implements Callable<Integer> {
    @Parameters(arity = "0..*", hidden = true) private List<String> args = List.of();

    @Override public Integer call() throws Exception {
        return ToolLauncher.run("mothcross.experiment.Commands", args.toArray(String[]::new));
    }
}
