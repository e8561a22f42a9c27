package mothcross;

/** What the site lets a director do; {@code maxRetryAfterMs} is 0 where advice to clients is not carried. */
public record Capabilities(int maxHops, boolean hedging, boolean cancellation, boolean bypassCache,
                         boolean fillCoalescing, double maxRetryAfterMs) { }
