package mothcross.expr;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * From text to tree, by hand: one method for each strength of operator. Owns the grammar (docs/operate/routes.md has
 * it); must never know a type, and never go deeper than {@link #MAX_DEPTH} or take more than {@link #MAX_SOURCE_CHARS}
 * characters.
 */
final class Parser {
    static final int MAX_SOURCE_CHARS = 4000, MAX_DEPTH = 60;
    private static final String[][] OPERATORS_BY_PRECEDENCE =
        {{"||"}, {"&&"}, {"==", "!=", "<=", ">=", "<", ">", "in"}, {"??"}, {"+", "-"},
        {"*", "/", "%"}};

    private final String source;
    private int position, depth;

    private Parser(String text) {
        this.source = text;
    }

    static SyntaxTree parse(String text) throws ExpressionException {
        Parser p = new Parser(text);
        if (text.length() > MAX_SOURCE_CHARS) throw p.error(MAX_SOURCE_CHARS, text.length(), "longer than "
            + MAX_SOURCE_CHARS + " characters", null);
        SyntaxTree t = p.binary(0);
        p.skipWhitespace();
        if (p.position < text.length()) throw p.error(p.position, p.position + 1, "nothing more is expected here",
            null);
        return t;
    }

    private ExpressionException error(int from, int to, String message, String hint) {
        return new ExpressionException(source, from, to, message, hint);
    }

    private void skipWhitespace() {
        while (position < source.length()) {
            char c = source.charAt(position);
            if (c == '#') while (position < source.length() && source.charAt(position) != '\n') position++;
            else if (Character.isWhitespace(c)) position++;
            else return;
        }
    }

    private boolean accept(String what) {
        int before = position;
        skipWhitespace();
        int end = position + what.length();
        boolean here = source.startsWith(what, position);
        boolean word = Character.isLetter(what.charAt(what.length() - 1));
        if (word && end < source.length() && isNameCharacter(source.charAt(end))) here = false;
        // "<" is not the begin of "<=", and "!" not that of "!=".
        boolean may = what.equals("<") || what.equals(">") || what.equals("!");
        if (may && source.startsWith("=", end)) here = false;
        position = here ? end : before;
        return here;
    }

    private void expect(String what, String why) throws ExpressionException {
        skipWhitespace();
        if (!accept(what)) throw error(position, position + 1, "'" + what + "' is expected here, " + why, null);
    }

    private static boolean isNameCharacter(char c) {
        return Character.isLetterOrDigit(c) || c == '_';
    }

    private SyntaxTree binary(int level) throws ExpressionException {
        if (++depth > MAX_DEPTH * (OPERATORS_BY_PRECEDENCE.length + 1)) {
            throw error(position, position + 1, "nested too deeply", null);
        }
        try {
            if (level == OPERATORS_BY_PRECEDENCE.length) return unary();
            SyntaxTree a = binary(level + 1);
            while (true) {
                String op = null;
                for (String o : OPERATORS_BY_PRECEDENCE[level]) if (op == null && accept(o)) op = o;
                if (op == null) return a;
                SyntaxTree b = op.equals("in") ? rangeOrList() : binary(level + 1);
                a = new SyntaxTree.Binary(a.from(), b.to(), op, a, b);
                // Comparisons do not chain: a < b < c would compare a truth.
                if (level == 2) return a;
            }
        } finally {
            depth--;
        }
    }

    private SyntaxTree rangeOrList() throws ExpressionException {
        skipWhitespace();
        int from = position;
        if (!accept("[")) {
            SyntaxTree low = binary(4);
            expect("..", "between the ends of a range");
            SyntaxTree high = binary(4);
            return new SyntaxTree.Range(from, high.to(), low, high);
        }
        List<SyntaxTree> all = elements("]");
        return new SyntaxTree.ListLiteral(from, position, all);
    }

    private List<SyntaxTree> elements(String end) throws ExpressionException {
        List<SyntaxTree> all = new ArrayList<>();
        if (accept(end)) return all;
        do all.add(binary(0)); while (accept(","));
        expect(end, "at the end of the list");
        return all;
    }

    private SyntaxTree unary() throws ExpressionException {
        skipWhitespace();
        int from = position;
        for (String op : new String[] {"!", "-"}) {
            if (!accept(op)) continue;
            if (++depth > MAX_DEPTH * (OPERATORS_BY_PRECEDENCE.length + 1)) {
                throw error(position, position + 1, "nested too deeply", null);
            }
            SyntaxTree a = unary();
            depth--;
            return new SyntaxTree.Unary(from, a.to(), op, a);
        }
        SyntaxTree t = primary();
        while (accept("[")) {
            SyntaxTree index = binary(0);
            expect("]", "after the number of the piece");
            t = new SyntaxTree.Index(t.from(), position, t, index);
        }
        return t;
    }

    private SyntaxTree primary() throws ExpressionException {
        skipWhitespace();
        int from = position;
        if (position == source.length()) throw error(position, position + 1,
            "the expression ends where a value is expected", null);
        if (accept("(")) {
            SyntaxTree t = binary(0);
            expect(")", "to close the one at column " + (from + 1));
            return t;
        }
        if (accept("if")) {
            SyntaxTree c = binary(0);
            expect("then", "after the condition");
            SyntaxTree yes = binary(0);
            expect("else", "since every choice needs both ways");
            SyntaxTree no = binary(0);
            return new SyntaxTree.Conditional(from, no.to(), c, yes, no);
        }
        char c = source.charAt(position);
        if (c == '\'' || c == '"') return string(c);
        if (Character.isDigit(c)) return number();
        if (!Character.isLetter(c) && c != '_') throw error(position, position + 1, "a value is expected here", null);
        while (position < source.length() && isNameCharacter(source.charAt(position))) position++;
        String name = source.substring(from, position);
        if (name.equals("true") || name.equals("false")) return new SyntaxTree.BooleanLiteral(from, position,
            name.equals("true"));
        if (accept("(")) {
            List<SyntaxTree> args = elements(")");
            return new SyntaxTree.Call(from, position, name, args);
        }
        return new SyntaxTree.Name(from, position, name);
    }

    private SyntaxTree number() throws ExpressionException {
        int from = position;
        while (position < source.length() && Character.isDigit(source.charAt(position))) position++;
        boolean range = source.startsWith("..", position);
        if (!range && position < source.length() && source.charAt(position) == '.') {
            position++;
            while (position < source.length() && Character.isDigit(source.charAt(position))) position++;
        }
        String digits = source.substring(from, position);
        int unit = position;
        while (position < source.length() && Character.isLetter(source.charAt(position))) position++;
        return new SyntaxTree.NumberLiteral(from, position, digits, source.substring(unit, position));
    }

    private SyntaxTree string(char mark) throws ExpressionException {
        int from = position++;
        ByteArrayOutputStream b = new ByteArrayOutputStream();
        while (true) {
            if (position >= source.length()) throw error(from, position, "the text does not end", null);
            int c = source.codePointAt(position);
            position += Character.charCount(c);
            if (c == mark) return new SyntaxTree.StringLiteral(from, position, b.toByteArray());
            if (c != '\\') {
                b.writeBytes(new String(Character.toChars(c)).getBytes(StandardCharsets.UTF_8));
                continue;
            }
            char e = position < source.length() ? source.charAt(position++) : ' ';
            switch (e) {
                case '\\', '\'', '"' -> b.write(e);
                case 'n' -> b.write('\n');
                case 't' -> b.write('\t');
                case 'r' -> b.write('\r');
                case 'x' -> {
                    int high = position + 1 < source.length() ? Character.digit(source.charAt(position), 16) : -1;
                    int low = high >= 0 ? Character.digit(source.charAt(position + 1), 16) : -1;
                    if (low < 0) throw error(position - 2, position + 2, "two hex digits are expected after \\x", null);
                    b.write(16 * high + low);
                    position += 2;
                }
                default -> throw error(position - 2, position, "no such escape",
                    "known are \\\\ \\' \\\" \\n \\r \\t \\xHH");
            }
        }
    }
}
