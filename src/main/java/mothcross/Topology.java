package mothcross;

/**
 * Where this director stands and which kinds of node there are; -1 for a kind that is not there.
 * {@code directorsPerZone} counts the directors at each place.
 */
public record Topology(int ownZone, int[] directorsPerZone, int directors, int parentKind, int originKind) { }
