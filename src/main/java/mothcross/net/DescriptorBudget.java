package mothcross.net;

/**
 * How the file descriptors of the process are shared between clients, connections to nodes and everything else. A
 * descriptor is taken before the socket that needs it is opened, and given back once that socket is closed, so that
 * the sum stays within the limit. Thread-safe.
 *
 * <p>Connections to nodes may have what clients leave over. They are expected to leave a third of the descriptors to
 * clients, and have to give back more as further clients connect, down to a sixth.
 */
final class DescriptorBudget {
    /** For the files of the Java runtime, selectors, the listening socket and the connections to discovery. */
    private static final int MAX_PROCESS_DESCRIPTORS = 32;

    private int limit;
    private int clients;
    private int nodeConnections;

    synchronized void setLimit(int descriptors) {
        limit = descriptors;
    }

    /** How many clients are served at a time; one more is accepted so that another can be evicted for it. */
    synchronized int maxServedClients() {
        return limit * 5 / 8;
    }

    /** How many connections to nodes there may be however many clients are connected. */
    synchronized int guaranteedNodeConnections() {
        return Math.max(1, limit / 6);
    }

    /** Takes a descriptor for a client that is about to be accepted; false where none is left. */
    synchronized boolean tryTakeForClient() {
        boolean free = clients < limit * 11 / 16 + 1 && clients + nodeConnections + processDescriptors() < limit;
        if (free) clients++;
        return free;
    }

    synchronized void clientClosed() {
        clients--;
    }

    /** Takes a descriptor for a connection to a node that is about to be made; false where none is left. */
    synchronized boolean tryTakeForNode() {
        boolean free = nodeConnections < maxNodeConnections();
        if (free) nodeConnections++;
        return free;
    }

    synchronized void nodeConnectionClosed() {
        nodeConnections--;
    }

    /** How many more connections to nodes may be opened now; below 0, so many have to be given back to clients. */
    synchronized int spareForNodes() {
        return maxNodeConnections() - nodeConnections;
    }

    synchronized int nodeConnections() {
        return nodeConnections;
    }

    private int maxNodeConnections() {
        int headroom = Math.max(1, limit / 16);         // for clients that connect before a connection is given back
        int leftOver = limit - processDescriptors() - Math.max(clients, limit / 3) - headroom;
        return Math.max(guaranteedNodeConnections(), leftOver);
    }

    private int processDescriptors() {
        return Math.min(MAX_PROCESS_DESCRIPTORS, limit / 8);
    }
}
