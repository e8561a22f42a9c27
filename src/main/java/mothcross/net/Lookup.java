package mothcross.net;

/**
 * A client's lookup while it is owed an answer or has open hops, with what its hops pass on to nodes unchanged. As
 * a timer it fires shortly after its deadline.
 */
final class Lookup extends Timers.Timer {
    final ClientConnection client;
    /** The request id as received: 16 hex digits. */
    final byte[] idHex;
    /** The request id as a number. */
    final long id;
    /** The fields of a node request that say what is requested, the same for every hop. */
    final byte[] requestFields;
    final byte[] body;
    /** The tag of the client's own copy, or null. */
    final String clientEtag;
    final long object;
    final int group;
    final double expiresAt;
    int index;
    int workload;
    private final Hop[] hops;
    private int hopCount;

    Lookup(ClientConnection client, byte[] idHex, byte[] requestFields, byte[] body, String clientEtag, long object,
           int group, double expiresAt, int maxHops) {
        this.client = client;
        this.idHex = idHex;
        this.id = Bytes.parseHex(idHex, 0, idHex.length);
        this.requestFields = requestFields;
        this.body = body;
        this.clientEtag = clientEtag;
        this.object = object;
        this.group = group;
        this.expiresAt = expiresAt;
        this.hops = new Hop[maxHops];
    }

    void add(Hop hop) {
        hops[hopCount++] = hop;
    }

    boolean hopLimitReached() {
        return hopCount == hops.length;
    }

    /** Returns null if there is no hop of this number. */
    Hop hop(int number) {
        return number >= 0 && number < hopCount ? hops[number] : null;
    }

    int hopCount() {
        return hopCount;
    }

    @Override void fire() {
        client.dispatcher.lookupTimedOut(this);
    }
}
