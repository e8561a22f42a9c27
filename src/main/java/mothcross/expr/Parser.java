package mothcross.expr;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * From text to tree, by hand: one method for each strength of operator. Owns the grammar (docs/operate/routes.md has
 * it); must never know a type, and never go deeper than {@link #DEEPEST} or take more than {@link #LONGEST} characters.
 */
final class Parser {
    static final int LONGEST = 4000, DEEPEST = 60;
    private static final String[][] LEVELS = {{"||"}, {"&&"}, {"==", "!=", "<=", ">=", "<", ">", "in"}, {"??"}, {"+",
        "-"},
        {"*", "/", "%"}};

    private final String text;
    private int at, depth;

    private Parser(String text) {
        this.text = text;
    }

    static SyntaxTree parse(String text) throws ExpressionException {
        Parser p = new Parser(text);
        if (text.length() > LONGEST) throw p.bad(LONGEST, text.length(), "longer than " + LONGEST + " characters",
            null);
        SyntaxTree t = p.level(0);
        p.blank();
        if (p.at < text.length()) throw p.bad(p.at, p.at + 1, "nothing more is expected here", null);
        return t;
    }

    private ExpressionException bad(int from, int to, String message, String hint) {
        return new ExpressionException(text, from, to, message, hint);
    }

    private void blank() {
        while (at < text.length()) {
            char c = text.charAt(at);
            if (c == '#') while (at < text.length() && text.charAt(at) != '\n') at++;
            else if (Character.isWhitespace(c)) at++;
            else return;
        }
    }

    private boolean next(String what) {
        int before = at;
        blank();
        int end = at + what.length();
        boolean here = text.startsWith(what, at);
        boolean word = Character.isLetter(what.charAt(what.length() - 1));
        if (word && end < text.length() && wordly(text.charAt(end))) here = false;
        // "<" is not the begin of "<=", and "!" not that of "!=".
        boolean may = what.equals("<") || what.equals(">") || what.equals("!");
        if (may && text.startsWith("=", end)) here = false;
        at = here ? end : before;
        return here;
    }

    private void need(String what, String why) throws ExpressionException {
        blank();
        if (!next(what)) throw bad(at, at + 1, "'" + what + "' is expected here, " + why, null);
    }

    private static boolean wordly(char c) {
        return Character.isLetterOrDigit(c) || c == '_';
    }

    private SyntaxTree level(int level) throws ExpressionException {
        if (++depth > DEEPEST * (LEVELS.length + 1)) throw bad(at, at + 1, "nested too deeply", null);
        try {
            if (level == LEVELS.length) return unary();
            SyntaxTree a = level(level + 1);
            while (true) {
                String op = null;
                for (String o : LEVELS[level]) if (op == null && next(o)) op = o;
                if (op == null) return a;
                SyntaxTree b = op.equals("in") ? among() : level(level + 1);
                a = new SyntaxTree.Binary(a.from(), b.to(), op, a, b);
                // Comparisons do not chain: a < b < c would compare a truth.
                if (level == 2) return a;
            }
        } finally {
            depth--;
        }
    }

    private SyntaxTree among() throws ExpressionException {
        blank();
        int from = at;
        if (!next("[")) {
            SyntaxTree low = level(4);
            need("..", "between the ends of a range");
            SyntaxTree high = level(4);
            return new SyntaxTree.Range(from, high.to(), low, high);
        }
        List<SyntaxTree> all = list("]");
        return new SyntaxTree.Among(from, at, all);
    }

    private List<SyntaxTree> list(String end) throws ExpressionException {
        List<SyntaxTree> all = new ArrayList<>();
        if (next(end)) return all;
        do all.add(level(0)); while (next(","));
        need(end, "at the end of the list");
        return all;
    }

    private SyntaxTree unary() throws ExpressionException {
        blank();
        int from = at;
        for (String op : new String[] {"!", "-"}) {
            if (!next(op)) continue;
            if (++depth > DEEPEST * (LEVELS.length + 1)) throw bad(at, at + 1, "nested too deeply", null);
            SyntaxTree a = unary();
            depth--;
            return new SyntaxTree.Unary(from, a.to(), op, a);
        }
        SyntaxTree t = primary();
        while (next("[")) {
            SyntaxTree index = level(0);
            need("]", "after the number of the piece");
            t = new SyntaxTree.Piece(t.from(), at, t, index);
        }
        return t;
    }

    private SyntaxTree primary() throws ExpressionException {
        blank();
        int from = at;
        if (at == text.length()) throw bad(at, at + 1, "the expression ends where a value is expected", null);
        if (next("(")) {
            SyntaxTree t = level(0);
            need(")", "to close the one at column " + (from + 1));
            return t;
        }
        if (next("if")) {
            SyntaxTree c = level(0);
            need("then", "after the condition");
            SyntaxTree yes = level(0);
            need("else", "since every choice needs both ways");
            SyntaxTree no = level(0);
            return new SyntaxTree.Choice(from, no.to(), c, yes, no);
        }
        char c = text.charAt(at);
        if (c == '\'' || c == '"') return quoted(c);
        if (Character.isDigit(c)) return number();
        if (!Character.isLetter(c) && c != '_') throw bad(at, at + 1, "a value is expected here", null);
        while (at < text.length() && wordly(text.charAt(at))) at++;
        String name = text.substring(from, at);
        if (name.equals("true") || name.equals("false")) return new SyntaxTree.Truth(from, at, name.equals("true"));
        if (next("(")) {
            List<SyntaxTree> args = list(")");
            return new SyntaxTree.Call(from, at, name, args);
        }
        return new SyntaxTree.Name(from, at, name);
    }

    private SyntaxTree number() throws ExpressionException {
        int from = at;
        while (at < text.length() && Character.isDigit(text.charAt(at))) at++;
        boolean range = text.startsWith("..", at);
        if (!range && at < text.length() && text.charAt(at) == '.') {
            at++;
            while (at < text.length() && Character.isDigit(text.charAt(at))) at++;
        }
        String digits = text.substring(from, at);
        int unit = at;
        while (at < text.length() && Character.isLetter(text.charAt(at))) at++;
        return new SyntaxTree.Number(from, at, digits, text.substring(unit, at));
    }

    private SyntaxTree quoted(char mark) throws ExpressionException {
        int from = at++;
        ByteArrayOutputStream b = new ByteArrayOutputStream();
        while (true) {
            if (at >= text.length()) throw bad(from, at, "the text does not end", null);
            int c = text.codePointAt(at);
            at += Character.charCount(c);
            if (c == mark) return new SyntaxTree.Text(from, at, b.toByteArray());
            if (c != '\\') {
                b.writeBytes(new String(Character.toChars(c)).getBytes(StandardCharsets.UTF_8));
                continue;
            }
            char e = at < text.length() ? text.charAt(at++) : ' ';
            switch (e) {
                case '\\', '\'', '"' -> b.write(e);
                case 'n' -> b.write('\n');
                case 't' -> b.write('\t');
                case 'r' -> b.write('\r');
                case 'x' -> {
                    int high = at + 1 < text.length() ? Character.digit(text.charAt(at), 16) : -1;
                    int low = high >= 0 ? Character.digit(text.charAt(at + 1), 16) : -1;
                    if (low < 0) throw bad(at - 2, at + 2, "two hex digits are expected after \\x", null);
                    b.write(16 * high + low);
                    at += 2;
                }
                default -> throw bad(at - 2, at, "no such escape", "known are \\\\ \\' \\\" \\n \\r \\t \\xHH");
            }
        }
    }
}
