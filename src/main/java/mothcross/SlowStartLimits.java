package mothcross;

/**
 * The load that a node of a tier takes after its start: a share of its capacity that grows linearly to all of it.
 *
 * @param initialShare share of the capacity right after the start
 * @param warmUpMs time until the node takes its whole capacity
 * @param overloadFactor the node is overloaded by this multiple of its current share
 * @param overloadWindowMs the time over which that load is measured
 */
public record SlowStartLimits(double initialShare, double warmUpMs, double overloadFactor, double overloadWindowMs) { }
