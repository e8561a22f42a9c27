package mothcross;

/** One round's lines, handed to the director's handlers in the order in which they came. */
public interface EventBatch {
    void deliverTo(Director to);
}
