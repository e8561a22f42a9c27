package mothcross.membership;

/**
 * A purge that may still limit the age of copies.
 *
 * @param object the object's key; -1: all objects of {@code group}
 * @param at when it was issued, Unix ms
 */
public record Purge(long object, int group, double at) { }
