package mothcross.cli;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import mothcross.expr.ExpressionException;
import mothcross.expr.Frame;
import mothcross.expr.Inputs;
import mothcross.expr.Program;
import mothcross.route.RequestInputs;
import org.jline.reader.EndOfFileException;
import org.jline.reader.LineReader;
import org.jline.reader.LineReaderBuilder;
import org.jline.reader.UserInterruptException;
import org.jline.reader.impl.DefaultParser;
import org.jline.reader.impl.completer.StringsCompleter;
import org.jline.terminal.Terminal;
import org.jline.terminal.TerminalBuilder;

/** The shell for expressions. A line is an expression, or {@code :target}, {@code :header}, {@code :read},
    {@code :help}. */
public final class ExprShell {
    private static final long BUDGET = 1_000_000;
    private static final String HELP = """
        an expression            its type, worst cost, value for the request below
        :target /api/v2/W/O/piece-1   the request's target
        :header Name: value      one more header
        :read header:Name 64     a bound for a header, or for 'target'
        :quit""";

    private final List<String[]> reads = new ArrayList<>();
    private final List<String> headers = new ArrayList<>();
    private String target = "/api/v2/books/0a/piece-1";

    private ExprShell() { }

    public static int run(String[] args) throws IOException {
        try (Terminal terminal = TerminalBuilder.builder().dumb(true).build()) {
            List<String> words = new ArrayList<>(List.of(":target", ":header", ":read", ":help", ":quit", "if", "then",
                "else", "in", "true", "false"));
            RequestInputs.inputs().names().forEach(words::add);
            Program.functions().forEach(f -> words.add(f + "("));
            DefaultParser plain = new DefaultParser();
            plain.setEscapeChars(new char[0]);
            plain.setQuoteChars(new char[0]);
            LineReader in = LineReaderBuilder.builder().terminal(terminal).parser(plain)
                .completer(new StringsCompleter(words)).build();
            in.setOpt(LineReader.Option.DISABLE_EVENT_EXPANSION);
            ExprShell shell = new ExprShell();
            while (true) {
                String line;
                try {
                    line = in.readLine("expr> ").strip();
                } catch (EndOfFileException | UserInterruptException e) {
                    return 0;
                }
                if (line.equals(":quit")) return 0;
                if (!line.isEmpty()) terminal.writer().println(shell.answer(line));
                terminal.flush();
            }
        }
    }

    private String answer(String line) {
        if (line.startsWith(":target ")) {
            target = line.substring(8).strip();
            return "target " + target;
        }
        if (line.startsWith(":header ")) {
            headers.add(line.substring(8).strip());
            return headers.size() + " headers";
        }
        if (line.startsWith(":read ")) {
            String[] p = line.substring(6).strip().split(" +");
            if (p.length != 2 || !p[1].matches("[0-9]{1,4}")) return ":read NAME MOST";
            reads.add(p);
            return p[0] + " is read up to " + p[1];
        }
        if (line.startsWith(":")) return HELP;
        Inputs inputs = RequestInputs.inputs();
        for (String[] r : reads) {
            int most = Integer.parseInt(r[1]);
            if (r[0].startsWith("header:")) inputs.header(r[0].substring(7), most, Inputs.Overflow.TRUNCATE, true);
            else if (r[0].equals("target")) inputs.add("target", mothcross.expr.Type.bytes(most), RequestInputs.TARGET,
                Inputs.Overflow.TRUNCATE, true);
        }
        Program p = new Program(inputs);
        try {
            Program.Expression e = p.compile(line, BUDGET);
            Frame f = new Frame(p);
            f.begin(new RequestHead(target + "\n" + String.join("\n", headers), inputs.headers()),
                System.currentTimeMillis());
            String value = e.describe(f);
            return value + "   " + e.type() + ", " + f.steps() + " of at most " + e.cost() + " steps"
                + (e.notes().isEmpty() ? "" : "\n" + String.join("\n", e.notes()));
        } catch (ExpressionException e) {
            return e.describe();
        }
    }
}
