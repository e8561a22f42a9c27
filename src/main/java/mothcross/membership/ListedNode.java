package mothcross.membership;

/**
 * What discovery said of one box, and when: the part of an entry that is kept on disk. {@code status} is one
 * of the module's IN_SERVICE, DRAINING and REMOVED; {@code startedAt} 0 means that it has run for long;
 * {@code answeredAt} is when the box itself last answered, as far as that was noted down (0: never).
 * {@code confirmed}: discovery's word that nothing is new stands behind this entry too; it does not where an
 * empty list came since. Times are Unix ms.
 */
public record ListedNode(String id, String host, int port, String zone, String kind, int cell, int status, double units,
                   double startedAt, double listedAt, double answeredAt, boolean confirmed) {
    public String address() {
        return host + ':' + port;
    }

    ListedNode withStatus(int standing, double at) {
        return new ListedNode(id, host, port, zone, kind, cell, standing, units, startedAt, at, answeredAt, confirmed);
    }

    ListedNode withAnsweredAt(double at) {
        return new ListedNode(id, host, port, zone, kind, cell, status, units, startedAt, listedAt, at, confirmed);
    }

    ListedNode withStartedAt(double at) {
        return new ListedNode(id, host, port, zone, kind, cell, status, units, at, listedAt, answeredAt, confirmed);
    }

    /** No longer stood behind: it ages from when discovery last did. */
    ListedNode unconfirmed(double heardAt) {
        return new ListedNode(id, host, port, zone, kind, cell, status, units, startedAt, Math.max(listedAt, heardAt),
            answeredAt,
            false);
    }
}
