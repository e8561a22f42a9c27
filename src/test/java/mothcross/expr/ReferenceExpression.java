package mothcross.expr;

import java.util.Map;

/** Makes the naive evaluator available to tests of other packages: an expression parsed once, walked per request. */
public final class ReferenceExpression {
    private final SyntaxTree tree;

    public ReferenceExpression(String source) throws ExpressionException {
        tree = Parser.parse(source);
    }

    /** The value of a boolean expression for a request, given as its inputs by name; the time is 0. */
    public boolean evaluateBoolean(Map<String, Object> request) {
        return (boolean) new NaiveEvaluator(request, 0).value(tree);
    }
}
