package mothcross.expr;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A recursive-descent lexer and parser with one level of recursion for each operator precedence. The grammar is in
 * docs/operate/routes.md. The parser knows no types. The length of the source text and the depth of nesting are
 * limited, so that parsing can neither take long nor overflow the stack.
 */
final class Parser {
    static final int MAX_SOURCE_CHARS = 4000;
    /** Levels of parentheses, calls, lists and the like. */
    static final int MAX_NESTING = 60;
    /** From the weakest to the strongest; where one is the start of another, the longer comes first. */
    private static final String[][] OPERATORS_BY_PRECEDENCE = {
        {"||"},
        {"&&"},
        {"==", "!=", "<=", ">=", "<", ">", "in"},
        {"??"},
        {"+", "-"},
        {"*", "/", "%"}};
    private static final int COMPARISON_PRECEDENCE = 2;
    private static final int SUM_PRECEDENCE = 4;
    /** Each level of nesting recurses once for each precedence and once for the unary operators. */
    private static final int MAX_RECURSION = MAX_NESTING * (OPERATORS_BY_PRECEDENCE.length + 1);

    private final String source;
    private int position;
    private int depth;

    private Parser(String source) {
        this.source = source;
    }

    static SyntaxTree parse(String source) throws ExpressionException {
        Parser parser = new Parser(source);
        if (source.length() > MAX_SOURCE_CHARS) {
            throw parser.error(MAX_SOURCE_CHARS, source.length(), "longer than " + MAX_SOURCE_CHARS + " characters",
                null);
        }
        SyntaxTree tree = parser.binary(0);
        parser.skipWhitespace();
        if (parser.position < source.length()) throw parser.errorHere("nothing more is expected here");
        return tree;
    }

    private ExpressionException error(int from, int to, String message, String hint) {
        return new ExpressionException(source, from, to, message, hint);
    }

    /** An error at the next character. */
    private ExpressionException errorHere(String message) {
        return error(position, position + 1, message, null);
    }

    /** Skips whitespace and comments. */
    private void skipWhitespace() {
        while (!atEnd()) {
            char c = source.charAt(position);
            if (c == '#') skipLine();
            else if (Character.isWhitespace(c)) position++;
            else return;
        }
    }

    private void skipLine() {
        while (!atEnd() && source.charAt(position) != '\n') position++;
    }

    private boolean atEnd() {
        return position >= source.length();
    }

    /** Consumes a token if it is the next one. */
    private boolean accept(String token) {
        int before = position;
        skipWhitespace();
        int end = position + token.length();
        boolean found = source.startsWith(token, position);
        boolean isWord = Character.isLetter(token.charAt(token.length() - 1));
        if (isWord && end < source.length() && isNameCharacter(source.charAt(end))) found = false;
        // "<", ">" and "!" are not tokens where they begin "<=", ">=" and "!=".
        boolean mayBePrefix = token.equals("<") || token.equals(">") || token.equals("!");
        if (mayBePrefix && source.startsWith("=", end)) found = false;
        position = found ? end : before;
        return found;
    }

    private void expect(String token, String reason) throws ExpressionException {
        skipWhitespace();
        if (!accept(token)) throw errorHere("'" + token + "' is expected here, " + reason);
    }

    private static boolean isNameCharacter(char c) {
        return Character.isLetterOrDigit(c) || c == '_';
    }

    private SyntaxTree binary(int precedence) throws ExpressionException {
        if (++depth > MAX_RECURSION) throw errorHere("nested too deeply");
        try {
            if (precedence == OPERATORS_BY_PRECEDENCE.length) return unary();
            SyntaxTree left = binary(precedence + 1);
            while (true) {
                String operator = acceptOperator(precedence);
                if (operator == null) return left;
                SyntaxTree right = operator.equals("in") ? rangeOrList() : binary(precedence + 1);
                left = new SyntaxTree.Binary(left.from(), right.to(), operator, left, right);
                // Comparisons do not chain: a < b < c would compare a boolean with a number.
                if (precedence == COMPARISON_PRECEDENCE) return left;
            }
        } finally {
            depth--;
        }
    }

    private String acceptOperator(int precedence) {
        for (String operator : OPERATORS_BY_PRECEDENCE[precedence]) if (accept(operator)) return operator;
        return null;
    }

    private SyntaxTree rangeOrList() throws ExpressionException {
        skipWhitespace();
        int from = position;
        if (!accept("[")) {
            SyntaxTree low = binary(SUM_PRECEDENCE);
            expect("..", "between the ends of a range");
            SyntaxTree high = binary(SUM_PRECEDENCE);
            return new SyntaxTree.Range(from, high.to(), low, high);
        }
        List<SyntaxTree> elements = elements("]");
        return new SyntaxTree.ListLiteral(from, position, elements);
    }

    private List<SyntaxTree> elements(String end) throws ExpressionException {
        List<SyntaxTree> elements = new ArrayList<>();
        if (accept(end)) return elements;
        do elements.add(binary(0)); while (accept(","));
        expect(end, "at the end of the list");
        return elements;
    }

    private SyntaxTree unary() throws ExpressionException {
        skipWhitespace();
        int from = position;
        for (String operator : new String[] {"!", "-"}) {
            if (!accept(operator)) continue;
            if (++depth > MAX_RECURSION) throw errorHere("nested too deeply");
            SyntaxTree operand = unary();
            depth--;
            return new SyntaxTree.Unary(from, operand.to(), operator, operand);
        }
        SyntaxTree tree = primary();
        while (accept("[")) {
            SyntaxTree index = binary(0);
            expect("]", "after the number of the piece");
            tree = new SyntaxTree.Index(tree.from(), position, tree, index);
        }
        return tree;
    }

    private SyntaxTree primary() throws ExpressionException {
        skipWhitespace();
        int from = position;
        if (position == source.length()) throw errorHere("the expression ends where a value is expected");
        if (accept("(")) {
            SyntaxTree tree = binary(0);
            expect(")", "to close the one at column " + (from + 1));
            return tree;
        }
        if (accept("if")) return conditional(from);
        char c = source.charAt(position);
        if (c == '\'' || c == '"') return string(c);
        if (Character.isDigit(c)) return number();
        if (!Character.isLetter(c) && c != '_') throw errorHere("a value is expected here");
        while (!atEnd() && isNameCharacter(source.charAt(position))) position++;
        String name = source.substring(from, position);
        if (name.equals("true") || name.equals("false")) {
            return new SyntaxTree.BooleanLiteral(from, position, name.equals("true"));
        }
        if (accept("(")) {
            List<SyntaxTree> arguments = elements(")");
            return new SyntaxTree.Call(from, position, name, arguments);
        }
        return new SyntaxTree.Name(from, position, name);
    }

    private SyntaxTree conditional(int from) throws ExpressionException {
        SyntaxTree condition = binary(0);
        expect("then", "after the condition");
        SyntaxTree thenBranch = binary(0);
        expect("else", "since every 'if' needs both branches");
        SyntaxTree elseBranch = binary(0);
        return new SyntaxTree.Conditional(from, elseBranch.to(), condition, thenBranch, elseBranch);
    }

    private SyntaxTree number() {
        int from = position;
        skipDigits();
        boolean isRange = source.startsWith("..", position);
        if (!isRange && !atEnd() && source.charAt(position) == '.') {
            position++;
            skipDigits();
        }
        String digits = source.substring(from, position);
        int unitStart = position;
        while (!atEnd() && Character.isLetter(source.charAt(position))) position++;
        return new SyntaxTree.NumberLiteral(from, position, digits, source.substring(unitStart, position));
    }

    private void skipDigits() {
        while (!atEnd() && Character.isDigit(source.charAt(position))) position++;
    }

    private SyntaxTree string(char quote) throws ExpressionException {
        int from = position++;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            if (atEnd()) throw error(from, position, "the string does not end", null);
            int codePoint = source.codePointAt(position);
            position += Character.charCount(codePoint);
            if (codePoint == quote) return new SyntaxTree.StringLiteral(from, position, bytes.toByteArray());
            if (codePoint == '\\') escape(bytes);
            else bytes.writeBytes(Character.toString(codePoint).getBytes(StandardCharsets.UTF_8));
        }
    }

    /** The rest of an escape sequence, after its backslash. */
    private void escape(ByteArrayOutputStream bytes) throws ExpressionException {
        char escaped = atEnd() ? ' ' : source.charAt(position++);
        switch (escaped) {
            case '\\', '\'', '"' -> bytes.write(escaped);
            case 'n' -> bytes.write('\n');
            case 't' -> bytes.write('\t');
            case 'r' -> bytes.write('\r');
            case 'x' -> {
                int high = position + 1 < source.length() ? Character.digit(source.charAt(position), 16) : -1;
                int low = high >= 0 ? Character.digit(source.charAt(position + 1), 16) : -1;
                if (low < 0) throw error(position - 2, position + 2, "two hex digits are expected after \\x", null);
                bytes.write(16 * high + low);
                position += 2;
            }
            default -> throw error(position - 2, position, "no such escape",
                "known are \\\\ \\' \\\" \\n \\r \\t \\xHH");
        }
    }
}
