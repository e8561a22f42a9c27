package mothcross;

/**
 * What the site allows a director to do.
 *
 * @param maxHops most hops of one lookup
 * @param hedging a second hop may be in flight beside the first
 * @param cancellation hops in flight may be cancelled
 * @param bypassCache hops may go straight to a parent or the origin
 * @param fillCoalescing caches can share one fill among lookups for the same object
 * @param maxRetryAfterMs longest retry-after time that clients can be given, 0 where they can be given none
 */
public record Capabilities(int maxHops, boolean hedging, boolean cancellation, boolean bypassCache,
                         boolean fillCoalescing, double maxRetryAfterMs) { }
