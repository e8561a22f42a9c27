package mothcross.route;

import java.util.List;
import java.util.Map;

/**
 * The routing rules as the operators wrote them: each field is validated, but the expressions are not compiled yet.
 *
 * @param expressionSteps the most steps that one expression may cost
 * @param requestSteps the most steps that one request may cost
 * @param inputs the declared inputs by name
 * @param definitions named expressions that the rules may use
 */
public record RouteRules(long expressionSteps, long requestSteps, Map<String, InputDeclaration> inputs,
                         Map<String, String> definitions, List<Rule> rules) {
    /**
     * A bound for an input.
     *
     * @param maxLength in bytes
     * @param rejectOversized whether a request with a longer value is rejected; otherwise the value is truncated
     * @param sameOnRetry whether a client's retry sends the same value
     */
    public record InputDeclaration(int maxLength, boolean rejectOversized, boolean sameOnRetry) { }

    /**
     * A rule.
     *
     * @param match when the rule applies
     * @param workload the workload that the lookup counts as from then on; null: unchanged
     * @param key the placement key; null: the object's key
     * @param importance the factor applied to the workload's importance
     * @param hops the most further hops; -1: unchanged
     * @param status the status that the lookup is rejected with; 0: not rejected
     * @param limit the rate limit; null: none
     */
    public record Rule(String name, String match, String workload, String key, double importance, int hops, int status,
                       RateLimit limit) { }

    /**
     * A rate limit for each key, shared by all directors of a zone.
     *
     * @param burst how many lookups may pass at once
     * @param maxKeys how many keys a director stores
     */
    public record RateLimit(String key, double ratePerSecond, double burst, int maxKeys) { }
}
