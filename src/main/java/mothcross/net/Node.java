package mothcross.net;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** A node of the list as the desk keeps it: its index, its name, its address and the connections to it. */
final class Node {
    final int index;
    final String id;
    InetSocketAddress address;
    int status;
    double lastReceivedAt;                     // when anything came from it last, on whichever connection
    int activeHops;                           // out that name it, as node or as source
    boolean inList;                      // in the whole list being read
    // Those that are up or on their way and take hops; replaced ones are no longer among them.
    final List<NodeConnection> connections = new ArrayList<>();

    Node(int index, String id) {
        this.index = index;
        this.id = id;
    }

    void retireConnections() {
        for (NodeConnection c : new ArrayList<>(connections)) c.retire();
    }
}
