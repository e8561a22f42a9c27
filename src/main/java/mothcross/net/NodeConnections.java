package mothcross.net;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * All connections to nodes, within the descriptors that the process has for them. While none is left, a new connection
 * waits, with the hops that were given to it, until another is closed; those idle for longest are closed for it.
 * Accessed under the dispatcher's lock.
 */
final class NodeConnections {
    private static final int MAX_CONNECTIONS_PER_NODE = 8;

    private final DescriptorBudget descriptors;
    private final Counters counters;
    /** Up, being made or waiting for a descriptor; a connection removes itself when it ends. */
    final Set<NodeConnection> all = new LinkedHashSet<>();
    private final ArrayDeque<NodeConnection> awaitingDescriptor = new ArrayDeque<>();
    /** Connections closed to make room whose descriptors have not been released yet. */
    private final Set<NodeConnection> closingForRoom = new LinkedHashSet<>();

    NodeConnections(DescriptorBudget descriptors, Counters counters) {
        this.descriptors = descriptors;
        this.counters = counters;
    }

    /** Opens the connection, now or once a descriptor is free. */
    void open(NodeConnection connection) {
        all.add(connection);
        if (awaitingDescriptor.isEmpty() && descriptors.tryTakeForNode()) {
            connection.connect();
        } else {
            counters.awaitedDescriptor++;
            awaitingDescriptor.add(connection);
        }
    }

    /** Called when a connection has ended, though its descriptor may not have been released yet. */
    void ended(NodeConnection connection) {
        all.remove(connection);
        awaitingDescriptor.remove(connection);
    }

    /** Called once for each connection that was told to connect, when its socket is closed. */
    void descriptorReleased(NodeConnection connection) {
        descriptors.nodeConnectionClosed();
        closingForRoom.remove(connection);
    }

    /** How many connections a node may have: the more, the less fails with one of them; descriptors bound it. */
    int maxPerNode(int listedNodes) {
        return Math.max(1, Math.min(MAX_CONNECTIONS_PER_NODE, descriptors.guaranteedNodeConnections() / listedNodes));
    }

    /** Whether a further connection to a node that has one already can be opened without closing another. */
    boolean hasSpare() {
        return awaitingDescriptor.isEmpty() && descriptors.spareForNodes() > 0;
    }

    /** Ends waiting hops that match as not sent. */
    void withdraw(Predicate<Hop> affected) {
        for (NodeConnection connection : all) connection.withdraw(affected);
    }

    /**
     * Opens connections that wait, as far as descriptors are free, and closes idle ones for the rest, or where clients
     * need descriptors. Returns whether anything was opened.
     */
    boolean openWaiting() {
        boolean opened = false;
        while (!awaitingDescriptor.isEmpty()) {
            NodeConnection next = awaitingDescriptor.peek();
            if (next.isUnused()) {
                next.closed();
            } else if (descriptors.tryTakeForNode()) {
                awaitingDescriptor.remove();
                next.connect();
                opened = true;
            } else {
                break;
            }
        }
        int needed = awaitingDescriptor.size() - Math.min(0, descriptors.spareForNodes()) - closingForRoom.size();
        if (needed > 0) closeIdle(needed);
        return opened;
    }

    private void closeIdle(int count) {
        List<NodeConnection> idle = all.stream().filter(NodeConnection::isIdle)
            .sorted(Comparator.comparingDouble(NodeConnection::lastUsedAt)).limit(count).toList();
        for (NodeConnection connection : idle) {
            counters.closedForRoom++;
            closingForRoom.add(connection);
            connection.retire();
        }
    }
}
