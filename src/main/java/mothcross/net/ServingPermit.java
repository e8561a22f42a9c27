package mothcross.net;

/**
 * Whether this director may start lookups now, where the fleet agrees on the policy they are decided by. May be
 * called from any thread.
 */
public interface ServingPermit {
    boolean mayStart();

    /** The delay after which a rejected client should retry, in ms. */
    double retryAfterMs();
}
