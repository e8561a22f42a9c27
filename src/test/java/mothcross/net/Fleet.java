package mothcross.net;

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

/** A small fleet on loopback for tests: stand-in boxes and discovery, and directors that start on kept lists. */
final class Fleet implements AutoCloseable {
    final FakeDiscovery discovery = new FakeDiscovery();
    final List<FakeNode> caches = new ArrayList<>();
    final FakeNode parent = new FakeNode(900, FakeNode.PARENT), origin = new FakeNode(901, FakeNode.ORIGIN);
    final Path directory = Files.createTempDirectory("mothcross");
    final Map<String, String> configParameters = new TreeMap<>(Map.of("straight", "false"));
    final List<DirectorServer> directors = new ArrayList<>();
    private final List<FakeNode> others = new ArrayList<>();
    static final double MINUTE = 60_000, DAY = 86_400_000;
    /** Recent is ten minutes, old a day; what waits in tests waits briefly. */
    static final AgeLimits AGES = new AgeLimits(10 * MINUTE, DAY, 30_000, 3, 200, 1000, 0.5, 30_000, 5000);

    Fleet(int caches) throws Exception {
        for (int i = 0; i < caches; i++) this.caches.add(new FakeNode(i + 1, FakeNode.CACHE));
    }

    FakeNode[] all() {
        List<FakeNode> all = new ArrayList<>(caches);
        all.add(parent);
        all.add(origin);
        return all.toArray(FakeNode[]::new);
    }

    /** One more box that is closed with the fleet. */
    FakeNode closeWithFleet(FakeNode b) {
        others.add(b);
        return b;
    }

    /** What {@code name} kept, as told so long ago; boxes in {@code old} longer. */
    Path writeSnapshot(String name, double ageMs, double oldMs, List<FakeNode> old, FakeNode... boxes) throws Exception {
        double now = System.currentTimeMillis();
        Map<String, ListedNode> told = new HashMap<>();
        for (FakeNode b : boxes) {
            double at = now - (old.contains(b) ? oldMs : ageMs);
            told.put(b.id(), new ListedNode(b.id(), "127.0.0.1", b.port(), "here", List.of("cache", "parent", "origin")
                .get(b.kind()), 0, Director.IN_SERVICE, b.units(), 0, at, 0, false));
        }
        return writeSnapshot(name, new MembershipSnapshot("fleet", name, now - ageMs, 10, now - ageMs, HashTreePMap.from(told),
            List.<Purge>of()));
    }

    Path writeSnapshot(String name, MembershipSnapshot kept) throws Exception {
        return Files.write(snapshotFile(name), SnapshotFormat.encode(kept));
    }

    Path snapshotFile(String name) {
        return directory.resolve(name + ".list");
    }

    /** What a director is told, without any list. */
    String startupConfigText(String name) throws Exception {
        Map<String, String> all = new LinkedHashMap<>(configParameters);
        all.put("list", "");
        all.put("sockets", "400");
        all.put("bulletin", Integer.toString(discovery.port()));
        String text = Files.readString(Path.of(Fleet.class.getResource("/told.json").toURI()));
        String json = Pattern.compile("\\$\\{(\\w+)=?([^}]*)}").matcher(text)
            .replaceAll(m -> all.getOrDefault(m.group(1), m.group(2)));
        JsonObject o = JsonParser.parseString(json).getAsJsonObject();
        o.remove("known");
        o.addProperty("name", name);
        return o.toString();
    }

    StartupConfig startupConfig(String name) throws Exception {
        return StartupConfig.parse(JsonParser.parseString(startupConfigText(name)).getAsJsonObject(), null, false, 0);
    }

    MembershipSettings membershipSettings(String name, AgeLimits ages) {
        return new MembershipSettings(snapshotFile(name), "fleet", ages, 100, 1000);
    }

    DirectorServer director(String name) throws Exception {
        return director(name, membershipSettings(name, AGES));
    }

    DirectorServer director(String name, MembershipSettings r) throws Exception {
        DirectorServer l = new DirectorServer(startupConfig(name), r);
        directors.add(l);
        l.start();
        return l;
    }

    /** One that is told the list by discovery, with these rules. */
    DirectorServer directorWithRoutes(String name, RouteRules rules) throws Exception {
        DirectorServer l = new DirectorServer(startupConfig(name), membershipSettings(name, AGES), rules);
        directors.add(l);
        l.start();
        long event = discovery.sendSnapshot(all());
        discovery.startListening();
        awaitTrue("told", () -> lastEvent(l) == event);
        return l;
    }

    /** Waits, without sleeping, until it holds; fails after some seconds. */
    static void awaitTrue(String what, BooleanSupplier holds) {
        long end = System.nanoTime() + 10_000_000_000L;
        while (!holds.getAsBoolean()) {
            if (System.nanoTime() > end) throw new AssertionError("not within 10 s: " + what);
            Thread.onSpinWait();
        }
    }

    static long lastEvent(DirectorServer l) {
        l.dispatcher().enter();
        try {
            return l.persistentMembership().lastEvent();
        } finally {
            l.dispatcher().leave();
        }
    }

    static String status(DirectorServer l, FakeNode b) {
        l.dispatcher().enter();
        try {
            return String.valueOf(l.persistentMembership().membership().stateOf(b.id()));
        } finally {
            l.dispatcher().leave();
        }
    }

    @Override public void close() throws java.io.IOException {
        for (DirectorServer l : directors) l.release();
        discovery.close();
        for (FakeNode b : all()) b.close();
        for (FakeNode b : others) b.close();
    }
}
