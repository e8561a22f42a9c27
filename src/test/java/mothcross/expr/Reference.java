package mothcross.expr;

import java.util.Map;

/** The slow reference for those outside of the package: an expression parsed once, walked for each request. */
public final class Reference {
    private final SyntaxTree tree;

    public Reference(String text) throws ExpressionException {
        tree = Parser.parse(text);
    }

    public boolean truth(Map<String, Object> request) {
        return (boolean) new Slow(request, 0).value(tree);
    }
}
