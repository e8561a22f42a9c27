package mothcross.net;

import mothcross.Director;

/** Observes how hops end, as evidence about the nodes they went to; called within a batch of events. */
interface HopObserver {
    /** Called for every hop that has ended. */
    void hopEnded(Hop hop);

    /** Called once after the last {@link #hopEnded} of a batch; may pass changes of the list to the director. */
    void roundFinished(Director to);
}
