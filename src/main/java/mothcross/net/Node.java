package mothcross.net;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** A listed node: its index, id, address and status, what else discovery has said of it, and the connections to it. */
final class Node {
    final int index;
    final String id;
    InetSocketAddress address;
    /** One of the node statuses of {@link mothcross.Director}. */
    int status;
    int zone;
    int kind;
    int cell;
    double units;
    /** When its process started, Unix ms, or 0 if that is not known. */
    double startedAt;
    /** The node that is listed at the address now, if this one was listed there before. */
    Node supersededBy;
    /** When anything was last received from the node, on any connection. */
    double lastReceivedAt;
    /** Open hops that name this node, as target or as source. */
    int activeHops;
    /** Whether the list now being read contains the node; always true while a delta is read. */
    boolean inList;
    /** Connections that take new hops, up or being made; retired ones are no longer included. */
    final List<NodeConnection> connections = new ArrayList<>();

    Node(int index, String id) {
        this.index = index;
        this.id = id;
    }

    void retireConnections() {
        for (NodeConnection connection : new ArrayList<>(connections)) connection.retire();
    }
}
