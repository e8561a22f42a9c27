package mothcross.net;

/**
 * A lookup that a client has asked and that is owed an answer, as the desk keeps it: what its hops must
 * carry on unchanged, and the timer that fires when its time is up. Must never outlive its last hop.
 */
final class Lookup extends Timers.Timer {
    final ClientConnection client;
    final byte[] idHex;                    // as it came, 16 hex digits
    final long id;                  // the same as a number
    final byte[] requestFields;                 // the fields of a hop that say what is asked
    final byte[] body;
    final String clientEtag;                 // the tag of the client's own copy, or null
    final long object;
    final int group;
    final double expiresAt;
    int index, workload;
    private final Hop[] hops;
    private int hopCount;

    Lookup(ClientConnection client, byte[] id, byte[] asked, byte[] body, String known, long object, int group,
           double expires, int mostHops) {
        this.client = client;
        this.idHex = id;
        this.id = Bytes.parseHex(id, 0, id.length);
        this.requestFields = asked;
        this.body = body;
        this.clientEtag = known;
        this.object = object;
        this.group = group;
        this.expiresAt = expires;
        this.hops = new Hop[mostHops];
    }

    void add(Hop hop) {
        hops[hopCount++] = hop;
    }

    boolean hopLimitReached() {
        return hopCount == hops.length;
    }

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
