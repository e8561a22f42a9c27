package mothcross;

/** The events of one moment, in the order in which they came. */
public interface EventBatch {
    /** Calls the director's handler for each event. */
    void deliverTo(Director director);
}
