package mothcross;

/**
 * Where a director runs, which directors there are, and which kinds of node are not caches.
 *
 * @param ownZone index of the director's zone
 * @param directorsPerZone number of directors by zone
 * @param directors number of directors in all
 * @param parentKind index of the kind of node that parents are, -1 if there are none
 * @param originKind index of the kind of node that the origin is, -1 if it is not listed
 */
public record Topology(int ownZone, int[] directorsPerZone, int directors, int parentKind, int originKind) { }
