package mothcross.cli;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import mothcross.expr.ExpressionException;
import mothcross.expr.Frame;
import mothcross.expr.Inputs;
import mothcross.expr.Program;
import mothcross.expr.Type;
import mothcross.route.RequestInputs;
import org.jline.reader.EndOfFileException;
import org.jline.reader.LineReader;
import org.jline.reader.LineReaderBuilder;
import org.jline.reader.UserInterruptException;
import org.jline.reader.impl.DefaultParser;
import org.jline.reader.impl.completer.StringsCompleter;
import org.jline.terminal.Terminal;
import org.jline.terminal.TerminalBuilder;

/**
 * An interactive shell that evaluates expressions. A line is an expression or a command: {@code :target},
 * {@code :header}, {@code :read}, {@code :help}, {@code :quit}.
 */
public final class ExprShell {
    private static final long MAX_EXPRESSION_STEPS = 1_000_000;
    private static final String HELP = """
        an expression            its type, worst cost, value for the request below
        :target /api/v2/W/O/piece-1   the request's target
        :header Name: value      one more header
        :read header:Name 64     a bound for a header, or for 'target'
        :quit""";

    /** Inputs that expressions may read, each with the longest value that is read of it. */
    private final List<InputLimit> inputLimits = new ArrayList<>();
    private final List<String> headers = new ArrayList<>();
    private String target = "/api/v2/books/0a/piece-1";

    private record InputLimit(String name, int maxBytes) { }

    private ExprShell() { }

    /** Called by name by {@link ToolLauncher}. */
    public static int run(String[] args) throws IOException {
        try (Terminal terminal = TerminalBuilder.builder().dumb(true).build()) {
            LineReader reader = lineReader(terminal);
            ExprShell shell = new ExprShell();
            while (true) {
                String line;
                try {
                    line = reader.readLine("expr> ").strip();
                } catch (EndOfFileException | UserInterruptException e) {
                    return 0;
                }
                if (line.equals(":quit")) return 0;
                if (!line.isEmpty()) terminal.writer().println(shell.answer(line));
                terminal.flush();
            }
        }
    }

    private static LineReader lineReader(Terminal terminal) {
        List<String> words = new ArrayList<>(List.of(":target", ":header", ":read", ":help", ":quit", "if", "then",
            "else", "in", "true", "false"));
        RequestInputs.inputs().names().forEach(words::add);
        Program.functions().forEach(function -> words.add(function + "("));
        DefaultParser parser = new DefaultParser();
        parser.setEscapeChars(new char[0]);
        parser.setQuoteChars(new char[0]);
        LineReader reader = LineReaderBuilder.builder().terminal(terminal).parser(parser)
            .completer(new StringsCompleter(words)).build();
        reader.setOpt(LineReader.Option.DISABLE_EVENT_EXPANSION);
        return reader;
    }

    private String answer(String line) {
        if (line.startsWith(":target ")) {
            target = line.substring(":target ".length()).strip();
            return "target " + target;
        }
        if (line.startsWith(":header ")) {
            headers.add(line.substring(":header ".length()).strip());
            return headers.size() + " headers";
        }
        if (line.startsWith(":read ")) {
            String[] arguments = line.substring(":read ".length()).strip().split(" +");
            if (arguments.length != 2 || !arguments[1].matches("[0-9]{1,4}")) return ":read NAME MOST";
            inputLimits.add(new InputLimit(arguments[0], Integer.parseInt(arguments[1])));
            return arguments[0] + " is read up to " + arguments[1];
        }
        if (line.startsWith(":")) return HELP;
        return evaluate(line);
    }

    private String evaluate(String line) {
        Inputs inputs = RequestInputs.inputs();
        for (InputLimit limit : inputLimits) {
            if (limit.name.startsWith("header:")) {
                inputs.header(limit.name.substring("header:".length()), limit.maxBytes, Inputs.Overflow.TRUNCATE,
                    true);
            } else if (limit.name.equals("target")) {
                inputs.add("target", Type.bytes(limit.maxBytes), RequestInputs.TARGET, Inputs.Overflow.TRUNCATE,
                    true);
            }
        }
        Program program = new Program(inputs);
        try {
            Program.Expression expression = program.compile(line, MAX_EXPRESSION_STEPS);
            Frame frame = new Frame(program);
            RequestHead request = new RequestHead(target + "\n" + String.join("\n", headers), inputs.headers());
            frame.begin(request, System.currentTimeMillis());
            String value = expression.describe(frame);
            return value + "   " + expression.type() + ", " + frame.steps() + " of at most "
                + expression.worstCaseSteps() + " steps"
                + (expression.notes().isEmpty() ? "" : "\n" + String.join("\n", expression.notes()));
        } catch (ExpressionException e) {
            return e.describe();
        }
    }
}
