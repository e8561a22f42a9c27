package mothcross.net;

/**
 * Whether this director may decide lookups now, where the fleet agrees on what they are decided by; from any thread.
 */
public interface ServingPermit {
    boolean mayStart();

    /** When it is worth coming back, in ms, to one that may not. */
    double retryAfterMs();
}
