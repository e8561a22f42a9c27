package mothcross.expr;

/**
 * A syntax, type or cost error in an expression: the message, its position in the source text and, where there is one,
 * a hint how to write it correctly. Thrown by the parser and the compiler only; evaluating a compiled expression never
 * fails.
 */
public final class ExpressionException extends Exception {
    private static final long serialVersionUID = 1;
    private final String source;
    private final String hint;
    private final int from;
    private final int to;

    ExpressionException(String source, int from, int to, String message, String hint) {
        super(message);
        this.source = source;
        this.from = Math.max(0, Math.min(from, source.length()));
        this.to = Math.max(this.from, Math.min(to, source.length()));
        this.hint = hint;
    }

    /** The line of the error, from 1. */
    public int line() {
        return 1 + (int) source.substring(0, from).chars().filter(c -> c == '\n').count();
    }

    /** The column of the error, from 1. */
    public int column() {
        return from - source.lastIndexOf('\n', from - 1);
    }

    /** The part of the source text that is at fault. */
    public String faultyText() {
        return source.substring(from, to);
    }

    /** A way to write it that would be accepted, or null. */
    public String hint() {
        return hint;
    }

    /** At most four lines: the message with its position, the source line, carets under the faulty text, the hint. */
    public String describe() {
        int lineStart = source.lastIndexOf('\n', from - 1) + 1;
        int lineEnd = source.indexOf('\n', from);
        if (lineEnd < 0) lineEnd = source.length();
        int carets = Math.max(1, Math.min(to, lineEnd) - from);
        return "line " + line() + ", column " + column() + ": " + getMessage()
            + "\n  " + source.substring(lineStart, lineEnd)
            + "\n  " + " ".repeat(from - lineStart) + "^".repeat(carets)
            + (hint == null ? "" : "\n  " + hint);
    }
}
