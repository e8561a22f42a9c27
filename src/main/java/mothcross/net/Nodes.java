package mothcross.net;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mothcross.Director;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The nodes of the list by index and by id. Each listed node has an index; the index of a node that has left the
 * list and that no open hop names is reused for the next new node. Accessed under the dispatcher's lock.
 */
final class Nodes {
    private static final Logger LOG = LoggerFactory.getLogger(Nodes.class);

    private final List<Node> all = new ArrayList<>();
    private final Map<String, Node> byId = new HashMap<>();
    /** The node whose process is at an address, by what discovery said last. */
    private final Map<InetSocketAddress, Node> byAddress = new HashMap<>();
    /** Nodes that have another process since the update that is being read, or was read last. */
    private final Set<Node> restarted = new HashSet<>();
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
        restarted.clear();
        boolean wholeList = news != Director.LIST_DELTA;
        for (Node node : all) node.inList = !wholeList;
        to.listStarted(news);
    }

    void nodeListed(Director to, String id, InetSocketAddress address, int zone, int kind, int cell,
                    int listedStatus, double units, double startedAt) {
        Node node = byId.get(id);
        Node holder = byAddress.get(address);
        boolean superseded = holder != null && holder != node && listedStatus != Director.REMOVED
            && !supersedes(node, listedStatus, startedAt, holder);
        int status = superseded ? Director.REMOVED : listedStatus;
        if (node == null) {
            if (status == Director.REMOVED) return;
            node = new Node(allocateIndex(), id);
            byId.put(id, node);
            all.set(node.index, node);
        } else if (!address.equals(node.address) || startedAt > node.startedAt) {
            // Another process: what waits for the earlier one is decided anew.
            restarted.add(node);
            node.retireConnections();
        }
        removed.remove(node);
        node.inList = true;
        node.status = status;
        node.zone = zone;
        node.kind = kind;
        node.cell = cell;
        node.units = units;
        node.startedAt = startedAt;
        byAddress.remove(node.address, node);
        node.address = address;
        if (status != Director.REMOVED) {
            if (holder != null && holder != node) supersede(to, holder, node);
            node.supersededBy = null;
            byAddress.put(address, node);
        }
        tell(to, node);
    }

    /**
     * Whether the node now listed at an address takes it over from the one that was listed there: only one process can
     * be there, and the removal of the earlier may be announced later, or never.
     */
    private static boolean supersedes(Node node, int status, double startedAt, Node holder) {
        boolean unconfirmed = status == Director.UNCONFIRMED;
        if (unconfirmed != (holder.status == Director.UNCONFIRMED)) return !unconfirmed;
        if (startedAt != holder.startedAt) return startedAt > holder.startedAt;
        return node == null || node.supersededBy != holder;
    }

    private void supersede(Director to, Node earlier, Node later) {
        LOG.info("{} is listed at the address of {}, which counts as removed", later.id, earlier.id);
        earlier.supersededBy = later;
        earlier.status = Director.REMOVED;
        tell(to, earlier);
    }

    /** The director ranks nodes by id, not by address: all directors must compute the same ranking. */
    private static void tell(Director to, Node node) {
        to.nodeListed(node.index, node.id, node.zone, node.kind, node.cell, node.status, node.units, node.startedAt);
    }

    /** Whether hops that wait may be sent: the node is in use, and its process is the one that they are meant for. */
    boolean mayReceive(Node node) {
        boolean usable = node.status == Director.IN_SERVICE || node.status == Director.UNCONFIRMED;
        return usable && !restarted.contains(node);
    }

    /** Reuses the index of the node removed for longest that no open hop names; the director forgets that node. */
    private int allocateIndex() {
        for (Node node : removed) {
            if (node.activeHops > 0) continue;
            removed.remove(node);
            byId.remove(node.id, node);
            byAddress.remove(node.address, node);
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
            byAddress.remove(node.address, node);
            node.retireConnections();
            removed.add(node);
        }
    }
}
