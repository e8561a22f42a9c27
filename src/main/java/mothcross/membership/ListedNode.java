package mothcross.membership;

/**
 * What discovery last reported of a node, and when: the part of an entry that is saved. Times are Unix ms.
 *
 * @param status IN_SERVICE, DRAINING or REMOVED of {@link mothcross.Director}
 * @param units the node's capacity
 * @param startedAt when the node started; 0: it has run for long
 * @param listedAt when discovery last listed it
 * @param answeredAt when the node itself last answered, as far as that was saved; 0: never
 * @param confirmed whether a confirmation of the whole list covers this entry; false once an empty snapshot came
 */
public record ListedNode(String id, String host, int port, String zone, String kind, int cell, int status, double units,
                         double startedAt, double listedAt, double answeredAt, boolean confirmed) {
    /** The node's HOST:PORT. */
    public String address() {
        return host + ':' + port;
    }

    ListedNode withStatus(int newStatus, double at) {
        return new ListedNode(id, host, port, zone, kind, cell, newStatus, units, startedAt, at, answeredAt, confirmed);
    }

    ListedNode withAnsweredAt(double at) {
        return new ListedNode(id, host, port, zone, kind, cell, status, units, startedAt, listedAt, at, confirmed);
    }

    ListedNode withStartedAt(double at) {
        return new ListedNode(id, host, port, zone, kind, cell, status, units, at, listedAt, answeredAt, confirmed);
    }

    /** No longer covered by confirmations of the list: ages from the last one, at {@code listConfirmedAt}. */
    ListedNode unconfirmed(double listConfirmedAt) {
        return new ListedNode(id, host, port, zone, kind, cell, status, units, startedAt,
            Math.max(listedAt, listConfirmedAt), answeredAt, false);
    }
}
