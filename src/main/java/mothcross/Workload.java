package mothcross;

/**
 * A class of lookups, configured at the start of a director.
 *
 * @param effect what a second execution of a lookup does
 * @param deduplicationScope which nodes recognise the repeat of a deduplicated lookup
 * @param deduplicationWindowMs how long after the first send they do
 * @param targetMs time in which an answer earns its full value
 * @param targetSizeFactor transfer times at full pace that are added to {@code targetMs}
 * @param timeoutMs time after which clients give up
 * @param importance value of an answer in time, relative to other workloads
 * @param lateValueShare share of the value that an answer after the target time earns
 * @param freshMs age up to which a copy is fresh, 0 where copies do not age
 * @param staleMs time beyond {@code freshMs} during which a stale copy may be served
 * @param staleValueShare share of the value that a stale copy earns
 * @param uncacheable copies are never kept
 */
public record Workload(Effect effect, DeduplicationScope deduplicationScope, double deduplicationWindowMs,
                       double targetMs, double targetSizeFactor, double timeoutMs, double importance,
                       double lateValueShare, double freshMs, double staleMs, double staleValueShare,
                       boolean uncacheable) {
    /** What a second execution of a lookup does. */
    public enum Effect {
        /** No harm. */
        IDEMPOTENT,
        /** No harm at nodes that recognise the repeat by the lookup's key. */
        DEDUPLICATED,
        /** Harm: a lookup that may have been executed must not be sent again. */
        NON_IDEMPOTENT
    }

    /** Which nodes recognise the repeat of a deduplicated lookup: all, or those of the first node's zone or cell. */
    public enum DeduplicationScope { ALL, ZONE, CELL }
}
