package mothcross.net;

import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.WriteFuture;

/** One hop of a lookup on its way: where it went, what it asks, how it ended. Fires at its time limit. */
final class Hop extends Timers.Timer {
    final Lookup lookup;
    final int number;
    final Node node, source;            // the source is the node itself where nothing is to be filled
    final int rank, fetchOptions;
    final double maxAge, sentAt, deadline;
    NodeConnection connection;                  // the connection that it waits for or is out on
    WriteFuture writeFuture;                // null until it has been given to the connection
    double writtenAt;
    boolean ended;
    int outcome, note;
    double sourceWait;
    double[] report;
    // What the client will be given: room for a head, then the bytes.
    IoBuffer answer;
    String etag;
    boolean notModified;

    Hop(Lookup lookup, int number, Node node, Node source, int rank, double maxAge, int how, double sentAt,
        double until) {
        this.lookup = lookup;
        this.number = number;
        this.node = node;
        this.source = source;
        this.rank = rank;
        this.maxAge = maxAge;
        this.fetchOptions = how;
        this.sentAt = sentAt;
        this.deadline = until;
    }

    @Override void fire() {
        if (!ended) lookup.client.dispatcher.hopTimedOut(this);
    }
}
