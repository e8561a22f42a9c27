package mothcross.net;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import mothcross.Director;

/**
 * The nodes of the list by index and by id. Each listed node has an index; the index of a node that has left the
 * list and that no open hop names is reused for the next new node. Accessed under the dispatcher's lock.
 */
final class Nodes {
    private final List<Node> all = new ArrayList<>();
    private final Map<String, Node> byId = new HashMap<>();
    /** Nodes that have left the list, the one gone for longest first. */
    private final LinkedHashSet<Node> removed = new LinkedHashSet<>();

    Node get(int index) {
        return all.get(index);
    }

    /** The number of indices, in use or free for new nodes. */
    int size() {
        return all.size();
    }

    /** The number of listed nodes and of removed ones whose index has not been reused yet. */
    int listedCount() {
        return byId.size();
    }

    void listStarted(Director to, int news) {
        boolean wholeList = news != Director.LIST_DELTA;
        for (Node node : all) node.inList = !wholeList;
        to.listStarted(news);
    }

    void nodeListed(Director to, String id, InetSocketAddress address, int zone, int kind, int cell,
                    int status, double units, double startedAt) {
        Node node = byId.get(id);
        if (node == null) {
            if (status == Director.REMOVED) return;
            node = new Node(allocateIndex(), id);
            byId.put(id, node);
            all.set(node.index, node);
        }
        removed.remove(node);
        node.inList = true;
        node.status = status;
        if (!address.equals(node.address)) node.retireConnections();
        node.address = address;
        // The director ranks nodes by id, not by address: all directors must compute the same ranking, and each
        // may reach a node at a different address.
        to.nodeListed(node.index, id, zone, kind, cell, status, units, startedAt);
    }

    /** Reuses the index of the node removed for longest that no open hop names; the director forgets that node. */
    private int allocateIndex() {
        for (Node node : removed) {
            if (node.activeHops > 0) continue;
            removed.remove(node);
            byId.remove(node.id, node);
            return node.index;
        }
        all.add(null);
        return all.size() - 1;
    }

    void listFinished(Director to) {
        to.listFinished();
        for (Node node : all) {
            if (!node.inList) node.status = Director.REMOVED;
            if (node.status != Director.REMOVED) continue;
            node.retireConnections();
            removed.add(node);
        }
    }
}
