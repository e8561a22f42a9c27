package mothcross.net;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.*;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;
import mothcross.Director;
import mothcross.membership.AgeLimits;
import mothcross.membership.ListedNode;
import mothcross.membership.MembershipSnapshot;
import mothcross.membership.Purge;
import mothcross.membership.SnapshotFormat;
import mothcross.operators.MembershipSettings;
import mothcross.route.RouteRules;
import mothcross.standin.FakeDiscovery;
import mothcross.standin.FakeNode;
import org.pcollections.HashTreePMap;

/** A small fleet on loopback for tests: stand-in nodes and discovery, and directors that start from snapshots. */
final class Fleet implements AutoCloseable {
    static final double MINUTE_MS = 60_000;
    static final double DAY_MS = 86_400_000;
    /** Entries are recent for ten minutes and old for a day; short delays where a test has to wait. */
    static final AgeLimits AGES = new AgeLimits(10 * MINUTE_MS, DAY_MS, 30_000, 3, 200, 1000, 0.5, 30_000, 5000);
    private static final long AWAIT_TIMEOUT_NS = 10_000_000_000L;

    final FakeDiscovery discovery = new FakeDiscovery();
    final List<FakeNode> caches = new ArrayList<>();
    final FakeNode parent = new FakeNode(900, FakeNode.PARENT);
    final FakeNode origin = new FakeNode(901, FakeNode.ORIGIN);
    final Path directory = Files.createTempDirectory("mothcross");
    /** Values for the placeholders of told.json. */
    final Map<String, String> configParameters = new TreeMap<>(Map.of("straight", "false"));
    final List<DirectorServer> directors = new ArrayList<>();
    private final List<FakeNode> otherNodes = new ArrayList<>();

    Fleet(int cacheCount) throws Exception {
        for (int i = 0; i < cacheCount; i++) caches.add(new FakeNode(i + 1, FakeNode.CACHE));
    }

    /** The caches, the parent and the origin. */
    FakeNode[] all() {
        List<FakeNode> all = new ArrayList<>(caches);
        all.add(parent);
        all.add(origin);
        return all.toArray(FakeNode[]::new);
    }

    /** Closes one more node with the fleet; returns it. */
    FakeNode closeWithFleet(FakeNode node) {
        otherNodes.add(node);
        return node;
    }

    /** Writes a director's snapshot of these nodes, confirmed {@code ageMs} ago, those in {@code old} longer ago. */
    Path writeSnapshot(String name, double ageMs, double oldAgeMs, List<FakeNode> old, FakeNode... nodes)
        throws Exception {
        double now = System.currentTimeMillis();
        Map<String, ListedNode> entries = new HashMap<>();
        for (FakeNode node : nodes) {
            double confirmedAt = now - (old.contains(node) ? oldAgeMs : ageMs);
            String kind = List.of("cache", "parent", "origin").get(node.kind());
            entries.put(node.id(), new ListedNode(node.id(), "127.0.0.1", node.port(), "here", kind, 0,
                Director.IN_SERVICE, node.units(), 0, confirmedAt, 0, false));
        }
        return writeSnapshot(name, new MembershipSnapshot("fleet", name, now - ageMs, 0, 10, now - ageMs,
            HashTreePMap.from(entries), List.<Purge>of()));
    }

    Path writeSnapshot(String name, MembershipSnapshot snapshot) throws Exception {
        return Files.write(snapshotFile(name), SnapshotFormat.encode(snapshot));
    }

    Path snapshotFile(String name) {
        return directory.resolve(name + ".list");
    }

    /** The configuration file of a director, without a list. */
    String startupConfigText(String name) throws Exception {
        Map<String, String> parameters = new LinkedHashMap<>(configParameters);
        parameters.put("list", "");
        parameters.putIfAbsent("sockets", "400");
        parameters.put("bulletin", Integer.toString(discovery.port()));
        String text = Files.readString(Path.of(Fleet.class.getResource("/told.json").toURI()));
        String json = Pattern.compile("\\$\\{(\\w+)=?([^}]*)}").matcher(text)
            .replaceAll(match -> parameters.getOrDefault(match.group(1), match.group(2)));
        JsonObject config = JsonParser.parseString(json).getAsJsonObject();
        config.remove("known");
        config.addProperty("name", name);
        return config.toString();
    }

    /** The configuration file of a director, with a list of all nodes as of event 1, and discovery at this address. */
    JsonObject configWithList(String name, FakeDiscovery listedBy) throws Exception {
        JsonObject config = JsonParser.parseString(startupConfigText(name)).getAsJsonObject();
        JsonArray members = new JsonArray();
        for (FakeNode node : all()) {
            String kind = List.of("cache", "parent", "origin").get(node.kind());
            members.add(JsonParser.parseString(String.format("{\"id\":\"%s\",\"host_port\":\"127.0.0.1:%d\","
                + "\"locality\":\"here\",\"flavor\":\"%s\",\"cell\":0,\"phase\":\"in_service\",\"size\":4,"
                + "\"up_since_ms\":0}", node.id(), node.port(), kind)));
        }
        config.add("known", JsonParser.parseString("{\"no\":1,\"items\":[{\"no\":1,\"roster\":{\"revision\":1,"
            + "\"complete\":true,\"members\":" + members + "}}]}"));
        config.addProperty("bulletin", "127.0.0.1:" + listedBy.port());
        return config;
    }

    StartupConfig startupConfig(String name) throws Exception {
        return StartupConfig.parse(JsonParser.parseString(startupConfigText(name)).getAsJsonObject(), null, false, 0);
    }

    MembershipSettings membershipSettings(String name, AgeLimits ages) {
        return new MembershipSettings(snapshotFile(name), "fleet", ages, 100, 1000);
    }

    /** Starts a director. */
    DirectorServer director(String name) throws Exception {
        return director(name, membershipSettings(name, AGES));
    }

    DirectorServer director(String name, MembershipSettings settings) throws Exception {
        DirectorServer director = new DirectorServer(startupConfig(name), settings);
        directors.add(director);
        director.start();
        return director;
    }

    /** Starts a director with these rules, and waits until it has the list of all nodes from discovery. */
    DirectorServer directorWithRoutes(String name, RouteRules rules) throws Exception {
        DirectorServer director = new DirectorServer(startupConfig(name), membershipSettings(name, AGES), rules);
        directors.add(director);
        director.start();
        long event = discovery.sendSnapshot(all());
        discovery.startListening();
        awaitTrue("told", () -> lastEvent(director) == event);
        return director;
    }

    /** Waits, without sleeping, until the condition holds; fails after 10 s. */
    static void awaitTrue(String what, BooleanSupplier condition) {
        long deadline = System.nanoTime() + AWAIT_TIMEOUT_NS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) throw new AssertionError("not within 10 s: " + what);
            Thread.onSpinWait();
        }
    }

    /** The last event of discovery that a director has applied. */
    static long lastEvent(DirectorServer director) {
        director.dispatcher().enter();
        try {
            return director.persistentMembership().lastEvent();
        } finally {
            director.dispatcher().leave();
        }
    }

    /** The state in which a director has a node. */
    static String status(DirectorServer director, FakeNode node) {
        director.dispatcher().enter();
        try {
            return String.valueOf(director.persistentMembership().membership().stateOf(node.id()));
        } finally {
            director.dispatcher().leave();
        }
    }

    @Override public void close() throws java.io.IOException {
        for (DirectorServer director : directors) director.release();
        discovery.close();
        for (FakeNode node : all()) node.close();
        for (FakeNode node : otherNodes) node.close();
    }
}
