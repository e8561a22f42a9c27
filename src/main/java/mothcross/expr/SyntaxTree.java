package mothcross.expr;

import java.util.List;

/** What was parsed, before types: each part with its place in the text. */
sealed interface SyntaxTree {
    int from();

    int to();

    record Number(int from, int to, String digits, String unit) implements SyntaxTree { }

    record Text(int from, int to, byte[] bytes) implements SyntaxTree { }

    record Truth(int from, int to, boolean value) implements SyntaxTree { }

    record Name(int from, int to, String name) implements SyntaxTree { }

    record Call(int from, int to, String name, List<SyntaxTree> args) implements SyntaxTree { }

    record Piece(int from, int to, SyntaxTree of, SyntaxTree index) implements SyntaxTree { }

    record Unary(int from, int to, String op, SyntaxTree a) implements SyntaxTree { }

    record Binary(int from, int to, String op, SyntaxTree a, SyntaxTree b) implements SyntaxTree { }

    /** Right of {@code in}: constants, or two ends of a range, both within it. */
    record Among(int from, int to, List<SyntaxTree> all) implements SyntaxTree { }

    record Range(int from, int to, SyntaxTree low, SyntaxTree high) implements SyntaxTree { }

    record Choice(int from, int to, SyntaxTree condition, SyntaxTree yes, SyntaxTree no) implements SyntaxTree { }
}
