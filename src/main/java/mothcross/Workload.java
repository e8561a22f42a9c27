package mothcross;

/** A kind of lookup, as told at start. */
public record Workload(Effect effect, DeduplicationScope deduplicationScope, double deduplicationWindowMs, double targetMs,
                       double targetSizeFactor, double timeoutMs, double importance, double lateValueShare,
                       double freshMs, double staleMs, double staleValueShare, boolean uncacheable) {
    public enum Effect { IDEMPOTENT, DEDUPLICATED, NON_IDEMPOTENT }

    /** Which nodes drop the repeats of a tagged lookup. */
    public enum DeduplicationScope { ALL, ZONE, CELL }
}
