package mothcross.net;

import org.apache.mina.core.future.WriteFuture;

/** One hop of a lookup: its target, what it requests, and its outcome. As a timer it fires at its deadline. */
final class Hop extends Timers.Timer {
    final Lookup lookup;
    final int number;
    final Node node;
    /** Where the node fills from; the node itself if nothing is to be filled. */
    final Node source;
    final int rank;
    /** Bits of {@link mothcross.DecisionWriter}. */
    final int fetchOptions;
    final double maxAge;
    final double sentAt;
    final double deadline;
    /** The connection that the hop waits for or is in flight on; null once it has ended. */
    NodeConnection connection;
    /** Null until the hop has been given to the socket. */
    WriteFuture writeFuture;
    double writtenAt;
    boolean ended;
    int outcome;
    int note;
    double sourceWait;
    double[] report;
    /** The answer's body, from when its length is known. */
    AnswerBuffer answer;
    String etag;
    boolean notModified;

    Hop(Lookup lookup, int number, Node node, Node source, int rank, double maxAge, int fetchOptions, double sentAt,
        double deadline) {
        this.lookup = lookup;
        this.number = number;
        this.node = node;
        this.source = source;
        this.rank = rank;
        this.maxAge = maxAge;
        this.fetchOptions = fetchOptions;
        this.sentAt = sentAt;
        this.deadline = deadline;
    }

    @Override void fire() {
        if (!ended) lookup.client.dispatcher.hopTimedOut(this);
    }
}
