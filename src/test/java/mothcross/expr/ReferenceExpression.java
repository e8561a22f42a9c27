package mothcross.expr;

import java.util.Map;

/** The slow reference for those outside of the package: an expression parsed once, walked for each request. */
public final class ReferenceExpression {
    private final SyntaxTree tree;

    public ReferenceExpression(String text) throws ExpressionException {
        tree = Parser.parse(text);
    }

    public boolean evaluateBoolean(Map<String, Object> request) {
        return (boolean) new NaiveEvaluator(request, 0).value(tree);
    }
}
