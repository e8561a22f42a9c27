package mothcross.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import mothcross.standin.FakeClients;
import mothcross.standin.FakeDiscovery;
import mothcross.standin.FakeDiscovery.ConnectionHistory;
import mothcross.standin.FakeNode;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A discovery that needs any time for its first frame on each connection, with drains and purges meanwhile. */
public class SlowDiscoveryTest {
    /** Five times what a whole frame may take before a director asks on another connection. */
    private static final int MAX_FIRST_FRAME_MS = 10_000;
    private static final int AWAIT_TIMEOUT_MS = 40_000;
    private static final int PLATFORM_CLOSES_AFTER_MS = 1500;
    private static final int PURGED_GROUP = 17;
    /** After that nodes have dropped what was purged, by the settings; older copies need not be ruled out then. */
    private static final double PURGE_TAKES_MS = 6000;
    private static final int LOOKUPS = 30;
    private static final int MAX_CONNECTIONS = 8;

    /** How the director comes to a slow discovery. */
    private enum Way { START, SILENT, MOVED, MOVED_TWICE }

    @DataProvider(parallel = true)
    public Object[][] seeds() {
        return LongStream.range(0, 12).mapToObj(seed -> new Object[] {seed}).toArray(Object[][]::new);
    }

    /**
     * Guards against a draining node that gets work, and a purged copy that is served, for as long as discovery is
     * slower than the director's time-out for a frame: each connection was ended before its first frame.
     */
    @Test(dataProvider = "seeds", timeOut = 120_000)
    public void newsFromBeforeTheFirstFrameIsHeard(long seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        Way way = Way.values()[(int) (seed % Way.values().length)];
        int slowestMs = 500 + random.nextInt(MAX_FIRST_FRAME_MS - 500);
        String play = String.format(Locale.ROOT, "seed %d, %s, %d ms: ", seed, way, slowestMs);
        try (Fleet fleet = new Fleet(2); FakeDiscovery second = new FakeDiscovery();
             FakeDiscovery third = new FakeDiscovery()) {
            List<FakeDiscovery> all = List.of(fleet.discovery, second, third);
            for (FakeDiscovery each : all) each.restartNumbering(2);
            // Each connection waits another time, from half of the slowest on.
            SplittableRandom delays = random.split();
            List<FakeDiscovery> slow = way == Way.START ? all : List.of(second, third);
            for (FakeDiscovery each : slow) makeSlow(each, delays, slowestMs);
            for (FakeDiscovery each : all) each.startListening();
            DirectorServer director = start(fleet);
            if (way != Way.START) Fleet.awaitTrue(play + "heard", () -> frames(director) > 0);
            FakeDiscovery current = lead(way, director, fleet, all, delays, slowestMs, random);
            Thread.sleep(random.nextInt(slowestMs));        // the moment of the news, drawn within the gap
            FakeNode draining = fleet.caches.get(0);
            current.sendChanges(FakeDiscovery.DRAINING, draining);
            long purgedAt = System.currentTimeMillis();
            long last = current.sendPurge(PURGED_GROUP, purgedAt);
            awaitEvent(play, director, last);
            assertKept(play, director, fleet, draining, purgedAt);
            assertNoneGivenUpUnheard(play, all);
        }
    }

    private static void makeSlow(FakeDiscovery discovery, SplittableRandom delays, int slowestMs) {
        discovery.setFirstFrameDelay(() -> slowestMs / 2 + delays.nextInt(slowestMs / 2 + 1));
    }

    /** Brings the director to a slow discovery; returns that. */
    private static FakeDiscovery lead(Way way, DirectorServer director, Fleet fleet, List<FakeDiscovery> all,
                                      SplittableRandom delays, int slowestMs, SplittableRandom random)
        throws Exception {
        FakeDiscovery first = all.get(0);
        if (way == Way.SILENT) {
            makeSlow(first, delays, slowestMs);
            first.muteConnections();
        }
        if (way == Way.START || way == Way.SILENT) return first;
        move(director, fleet, first, all.get(1));
        if (way == Way.MOVED) return all.get(1);
        Thread.sleep(random.nextInt(2000));                 // the interval between the two moves, drawn
        move(director, fleet, all.get(1), all.get(2));
        return all.get(2);
    }

    /** A new configuration; the earlier discovery takes no new connection, tells nothing more, and closes later. */
    private static void move(DirectorServer director, Fleet fleet, FakeDiscovery from, FakeDiscovery to)
        throws Exception {
        director.reload(config(fleet, to));
        from.retire(PLATFORM_CLOSES_AFTER_MS);
    }

    private static DirectorServer start(Fleet fleet) throws Exception {
        DirectorServer director = new DirectorServer(config(fleet, fleet.discovery));
        fleet.directors.add(director);
        director.start();
        return director;
    }

    private static StartupConfig config(Fleet fleet, FakeDiscovery discovery) throws Exception {
        return StartupConfig.parse(fleet.configWithList("d1", discovery), null, true, 0);
    }

    private static long frames(DirectorServer director) {
        long[] frames = new long[1];
        director.dispatcher().runLocked(() -> frames[0] = director.dispatcher().counters.discoveryFrames);
        return frames[0];
    }

    private static void awaitEvent(String play, DirectorServer director, long event) throws InterruptedException {
        long[] last = new long[1];
        for (int waitedMs = 0; last[0] < event; waitedMs += 10) {
            assertTrue(waitedMs < AWAIT_TIMEOUT_MS, play + "never heard of event " + event);
            Thread.sleep(10);
            director.dispatcher().runLocked(() -> last[0] = director.discoveryWatch().lastEvent());
        }
    }

    /** Nothing new goes to the draining node, and copies of the purged group have to be newer than the purge. */
    private static void assertKept(String play, DirectorServer director, Fleet fleet, FakeNode draining, long purgedAt)
        throws Exception {
        int before = draining.arrivalCount();
        int[] others = new int[1];
        try (FakeClients.Client client = new FakeClients.Client(director.port())) {
            for (int i = 0; i < LOOKUPS; i++) assertEquals(client.status(1 + i, 1, PURGED_GROUP), 200, play);
        }
        assertEquals(draining.arrivalCount(), before, play + "sent to a draining node");
        for (FakeNode node : fleet.all()) {
            if (node == draining) continue;
            others[0] += node.arrivalCount();
            for (FakeNode.Arrival arrival : node.arrivals()) {
                boolean purgeCounts = arrival.at() < purgedAt + PURGE_TAKES_MS;
                assertTrue(!purgeCounts || arrival.line().contains("fresh="), play + arrival.line());
                assertFalse(arrival.line().contains("via=" + draining.id()), play + arrival.line());
            }
        }
        assertTrue(others[0] >= LOOKUPS, play + others[0]);
    }

    /** Each connection that the director closed unheard had a later one that had told something. */
    private static void assertNoneGivenUpUnheard(String play, List<FakeDiscovery> all) {
        List<ConnectionHistory> connections = new ArrayList<>();
        for (FakeDiscovery each : all) connections.addAll(each.history());
        for (ConnectionHistory closed : connections) {
            if (closed.closedUntoldAt == 0) continue;
            boolean replaced = connections.stream().anyMatch(later -> later.askedAt > closed.askedAt
                && later.toldAt > 0 && later.toldAt < closed.closedUntoldAt);
            assertTrue(replaced, play + "a connection was given up before a later one had told something");
        }
        assertTrue(connections.size() <= MAX_CONNECTIONS, play + "connections: " + connections.size());
    }
}
