package mothcross.expr;

/**
 * An expression that can't be taken: what is wrong, where in its text, and a way to write it that would be taken
 * where there is one. Failure is a value with its place here; must never be thrown while a request is evaluated.
 */
public final class ExpressionException extends Exception {
    private static final long serialVersionUID = 1;
    private final String source, hint;
    private final int from, to;

    ExpressionException(String text, int from, int to, String message, String hint) {
        super(message);
        this.source = text;
        this.from = Math.max(0, Math.min(from, text.length()));
        this.to = Math.max(this.from, Math.min(to, text.length()));
        this.hint = hint;
    }

    public int line() {
        return 1 + (int) source.substring(0, from).chars().filter(c -> c == '\n').count();
    }

    public int column() {
        return from - source.lastIndexOf('\n', from - 1);
    }

    /** The part at fault. */
    public String faultyText() {
        return source.substring(from, to);
    }

    public String hint() {
        return hint;
    }

    /** Four lines at most: the message with its place, the line of the text, carets under the part, the hint. */
    public String describe() {
        int begin = source.lastIndexOf('\n', from - 1) + 1, end = source.indexOf('\n', from);
        if (end < 0) end = source.length();
        int carets = Math.max(1, Math.min(to, end) - from);
        return "line " + line() + ", column " + column() + ": " + getMessage() + "\n  " + source.substring(begin, end)
            + "\n  " + " ".repeat(from - begin) + "^".repeat(carets) + (hint == null ? "" : "\n  " + hint);
    }
}
