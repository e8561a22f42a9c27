package mothcross.route;

import java.util.List;
import java.util.Map;

/** The table as the operators wrote it: texts and numbers, checked one by one but not yet compiled. */
public record RouteRules(long expressionSteps, long requestSteps, Map<String, InputDeclaration> inputs,
                         Map<String, String> definitions, List<Rule> rules) {
    /** A bound for an input; {@code refuse}: a request past it is refused, else the value is cut. */
    public record InputDeclaration(int maxLength, boolean rejectOversized, boolean sameOnRetry) { }

    /** {@code workload}, {@code key}, {@code limit} null, {@code hops} -1, {@code status} 0: not set. */
    public record Rule(String name, String match, String workload, String key, double importance, int hops, int status,
                       RateLimit limit) { }

    /** So many a second and at once for a key, over all directors of a place; so many keys are remembered. */
    public record RateLimit(String key, double ratePerSecond, double burst, int maxKeys) { }
}
