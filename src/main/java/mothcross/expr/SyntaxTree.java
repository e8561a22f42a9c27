package mothcross.expr;

import java.util.List;

/** What was parsed, before types: each part with its place in the text. */
sealed interface SyntaxTree {
    int from();

    int to();

    record NumberLiteral(int from, int to, String digits, String unit) implements SyntaxTree { }

    record StringLiteral(int from, int to, byte[] bytes) implements SyntaxTree { }

    record BooleanLiteral(int from, int to, boolean value) implements SyntaxTree { }

    record Name(int from, int to, String name) implements SyntaxTree { }

    record Call(int from, int to, String name, List<SyntaxTree> arguments) implements SyntaxTree { }

    record Index(int from, int to, SyntaxTree indexed, SyntaxTree index) implements SyntaxTree { }

    record Unary(int from, int to, String operator, SyntaxTree operand) implements SyntaxTree { }

    record Binary(int from, int to, String operator, SyntaxTree left, SyntaxTree right) implements SyntaxTree { }

    /** Right of {@code in}: constants, or two ends of a range, both within it. */
    record ListLiteral(int from, int to, List<SyntaxTree> elements) implements SyntaxTree { }

    record Range(int from, int to, SyntaxTree low, SyntaxTree high) implements SyntaxTree { }

    record Conditional(int from, int to, SyntaxTree condition, SyntaxTree thenBranch, SyntaxTree elseBranch)
        implements SyntaxTree { }
}
