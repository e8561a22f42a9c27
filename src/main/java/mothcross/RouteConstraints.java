package mothcross;

/**
 * What a route takes away from a lookup: ranked by {@code placementKey} in place of its object (where {@code hasPlacementKey}), so
 * many
 * hops at most, and a share of its workload's importance, which is how much of the time left it may count on.
 */
public record RouteConstraints(boolean hasPlacementKey, long placementKey, int maxHops, double importanceShare) { }
