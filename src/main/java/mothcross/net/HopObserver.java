package mothcross.net;

import mothcross.Director;

/**
 * Hears how hops end, as evidence about the nodes they named, within the module's round. Told of every end,
 * and at the end of the round once more, when it may bring news of the list.
 */
interface HopObserver {
    void hopEnded(Hop hop);

    void roundFinished(Director to);
}
