package mothcross;

/** What a tier's fresh nodes bear: a share of their link at first, all of it after {@code warmUpMs}. */
public record SlowStartLimits(double initialShare, double warmUpMs, double overloadFactor, double overloadWindowMs) { }
