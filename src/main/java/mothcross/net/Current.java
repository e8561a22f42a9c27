package mothcross.net;

/**
 * Whether this director may decide lookups now, where the fleet agrees on what they are decided by; from any thread.
 */
public interface Current {
    boolean mayStart();

    /** When it is worth coming back, in ms, to one that may not. */
    double comeBackAfter();
}
