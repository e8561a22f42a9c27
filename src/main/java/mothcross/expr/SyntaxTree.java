package mothcross.expr;

import java.util.List;

/** The abstract syntax tree of an expression, before type checking. Each node has its position in the source text. */
sealed interface SyntaxTree {
    /** Offset of the first character in the source text. */
    int from();

    /** Offset after the last character in the source text. */
    int to();

    /** A number with an optional unit; {@code unit} is empty where there is none. */
    record NumberLiteral(int from, int to, String digits, String unit) implements SyntaxTree { }

    record StringLiteral(int from, int to, byte[] bytes) implements SyntaxTree { }

    record BooleanLiteral(int from, int to, boolean value) implements SyntaxTree { }

    /** The name of an input or of a defined expression. */
    record Name(int from, int to, String name) implements SyntaxTree { }

    record Call(int from, int to, String name, List<SyntaxTree> arguments) implements SyntaxTree { }

    /** An element by its number, as in {@code split(x, '/', 8)[2]}. */
    record Index(int from, int to, SyntaxTree indexed, SyntaxTree index) implements SyntaxTree { }

    record Unary(int from, int to, String operator, SyntaxTree operand) implements SyntaxTree { }

    record Binary(int from, int to, String operator, SyntaxTree left, SyntaxTree right) implements SyntaxTree { }

    /** A list of constants, right of {@code in}. */
    record ListLiteral(int from, int to, List<SyntaxTree> elements) implements SyntaxTree { }

    /** A range {@code low..high} of constants, both inclusive, right of {@code in}. */
    record Range(int from, int to, SyntaxTree low, SyntaxTree high) implements SyntaxTree { }

    /** {@code if condition then thenBranch else elseBranch}. */
    record Conditional(int from, int to, SyntaxTree condition, SyntaxTree thenBranch, SyntaxTree elseBranch)
        implements SyntaxTree { }
}
