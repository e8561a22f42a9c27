package mothcross.net;

import java.net.InetSocketAddress;

/** A node of the list as the desk keeps it: its index, its name, its address and the connection to it. */
final class Node {
    final int index;
    final String id;
    InetSocketAddress address;
    int standing;
    int hops;                           // out that name it, as node or as source
    boolean named;                      // in the whole list being read
    NodeConnection connection;          // null where none is up or on its way

    Node(int index, String id) {
        this.index = index;
        this.id = id;
    }
}
