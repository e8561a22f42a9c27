package mothcross.net;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import mothcross.Director;

/**
 * The nodes of the list by index and by id. Owns the indices: one entry for each node listed; that of one that
 * is gone, and has no hop out, is given to the next new one. Must never decide whether a node is used.
 */
final class Nodes {
    private final List<Node> all = new ArrayList<>();
    private final Map<String, Node> byId = new HashMap<>();
    private final LinkedHashSet<Node> gone = new LinkedHashSet<>();

    Node get(int index) {
        return all.get(index);
    }

    /** How many indices there are, in use or free for new nodes. */
    int size() {
        return all.size();
    }

    /** How many are listed, with those gone whose index was not given anew yet. */
    int nodeListed() {
        return byId.size();
    }

    void listStarted(Director to, int news) {
        boolean whole = news != Director.LIST_DELTA;
        for (Node n : all) n.inList = !whole;
        to.listStarted(news);
    }

    void nodeListed(Director to, String id, InetSocketAddress address, int place, int kind, int cell,
                int standing, double units, double startedAt) {
        Node n = byId.get(id);
        if (n == null) {
            if (standing == Director.REMOVED) return;
            byId.put(id, n = new Node(freeIndex(), id));
            all.set(n.index, n);
        }
        gone.remove(n);
        n.inList = true;
        n.status = standing;
        if (!address.equals(n.address)) n.retireConnections();
        n.address = address;
        // All directors must find the same ranking, and each reaches a node at an address of its own.
        to.nodeListed(n.index, id, place, kind, cell, standing, units, startedAt);
    }

    /** That of the node gone longest of those that no hop names; the module forgets what it knew of that one. */
    private int freeIndex() {
        for (Node n : gone) {
            if (n.activeHops > 0) continue;
            gone.remove(n);
            byId.remove(n.id, n);
            return n.index;
        }
        all.add(null);
        return all.size() - 1;
    }

    void listFinished(Director to) {
        to.listFinished();
        for (Node n : all) {
            if (!n.inList) n.status = Director.REMOVED;
            if (n.status != Director.REMOVED) continue;
            n.retireConnections();
            gone.add(n);
        }
    }
}
