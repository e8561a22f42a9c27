package mothcross.net;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mothcross.Director;
import mothcross.adapter.DirectorSettings;
import mothcross.membership.ListedNode;
import mothcross.membership.MembershipSnapshot;
import mothcross.membership.Purge;
import org.pcollections.HashTreePMap;

/** The list of nodes and the purges in the configuration: the events of discovery up to when that was written. */
final class ConfiguredList {
    private ConfiguredList() { }

    /** A node of the configured list. {@code phase} is validated here; zone and kind are resolved by name later. */
    private record KnownNode(String id, InetSocketAddress address, String zone, String kind, int cell, int status,
                             double units, double startedAt) {
        static KnownNode parse(JsonObject json) {
            String id = json.get("id").getAsString();
            int status = DirectorSettings.parseNodeStatus(json.get("phase").getAsString());
            if (status < 0) throw new IllegalArgumentException("phase of " + id);
            return new KnownNode(id, parseAddress(json.get("host_port").getAsString()),
                json.get("locality").getAsString(), json.get("flavor").getAsString(), json.get("cell").getAsInt(),
                status, json.get("size").getAsDouble(), json.get("up_since_ms").getAsDouble());
        }
    }

    /** Applies the items of {@code {"no":LAST,"items":[...]}} in order; returns the list without terminated nodes. */
    private static List<KnownNode> knownNodes(JsonArray items) {
        Map<String, JsonObject> nodesById = new LinkedHashMap<>();
        for (JsonElement item : items) {
            JsonObject roster = item.getAsJsonObject().getAsJsonObject("roster");
            if (roster == null) continue;
            if (roster.get("complete").getAsBoolean()) nodesById.clear();
            for (JsonElement member : roster.getAsJsonArray("members")) {
                JsonObject node = member.getAsJsonObject();
                nodesById.put(node.get("id").getAsString(), node);
            }
        }
        nodesById.values().removeIf(node -> node.get("phase").getAsString().equals("terminated"));
        return nodesById.values().stream().map(KnownNode::parse).toList();
    }

    private static List<Purge> knownPurges(JsonArray items) {
        List<Purge> purges = new ArrayList<>();
        for (JsonElement element : items) {
            JsonObject recall = element.getAsJsonObject().getAsJsonObject("recall");
            if (recall == null) continue;
            JsonElement item = recall.get("item");
            JsonElement lot = recall.get("lot");
            long object = item == null ? -1 : Long.parseUnsignedLong(item.getAsString(), 16) & Long.MAX_VALUE;
            purges.add(new Purge(object, lot == null ? -1 : lot.getAsInt(), recall.get("issued").getAsDouble()));
        }
        return purges;
    }

    /** Passes the configured list and purges to the listener; everything is parsed before any of it is passed on. */
    static void apply(JsonObject known, Dispatcher dispatcher, DiscoveryListener listener) {
        JsonArray items = known.getAsJsonArray("items");
        List<KnownNode> nodes = knownNodes(items);
        List<Purge> purges = knownPurges(items);
        long lastEvent = known.get("no").getAsLong();
        DirectorSettings settings = dispatcher.settings;
        dispatcher.processBatch(to -> {
            listener.listStarted(to, lastEvent, Director.LIST_RESTORED);
            for (KnownNode node : nodes) {
                listener.nodeListed(to, node.id, node.address, settings.zones.indexOf(node.zone),
                    settings.kinds.indexOf(node.kind), node.cell, node.status, node.units, node.startedAt);
            }
            listener.listFinished(to);
            for (Purge purge : purges) listener.purged(to, lastEvent, purge.object(), purge.group(), purge.at());
        });
    }

    /** The configured list as a membership snapshot taken when the configuration was written. */
    static MembershipSnapshot toSnapshot(JsonObject known, String fleet, String director, double writtenAt) {
        JsonArray items = known.getAsJsonArray("items");
        Map<String, ListedNode> entries = new LinkedHashMap<>();
        for (KnownNode node : knownNodes(items)) {
            entries.put(node.id, new ListedNode(node.id, node.address.getHostString(), node.address.getPort(),
                node.zone, node.kind, node.cell, node.status, node.units, node.startedAt, writtenAt, 0, true));
        }
        return new MembershipSnapshot(fleet, director, writtenAt, 0, known.get("no").getAsLong(), writtenAt,
            HashTreePMap.from(entries), knownPurges(items));
    }

    /** Parses {@code HOST:PORT} and resolves the host. */
    static InetSocketAddress parseAddress(String hostPort) {
        int colon = hostPort.lastIndexOf(':');
        int port = Integer.parseInt(hostPort.substring(colon + 1));
        return new InetSocketAddress(hostPort.substring(0, colon), port);
    }
}
