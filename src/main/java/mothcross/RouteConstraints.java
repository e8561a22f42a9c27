package mothcross;

/**
 * What a route restricts for a lookup.
 *
 * @param hasPlacementKey nodes are ranked by {@code placementKey} in place of the object
 * @param placementKey the key by which nodes are ranked
 * @param maxHops most hops of the lookup
 * @param importanceShare share of the workload's importance that is left to the lookup; it may count on this share of
 *     the time until its target
 */
public record RouteConstraints(boolean hasPlacementKey, long placementKey, int maxHops, double importanceShare) { }
