package mothcross.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import mothcross.Director;
import mothcross.membership.AgeLimits;
import mothcross.membership.MembershipSnapshot;
import mothcross.membership.SnapshotFormat;
import mothcross.operators.MembershipSettings;
import mothcross.standin.FakeClients;
import mothcross.standin.FakeDiscovery;
import mothcross.standin.FakeNode;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Starts directors on sockets while discovery is unavailable, and checks what follows when it is back. */
@Test(timeOut = 60_000)
public class RememberedTest {
    private static final double HOUR_MS = 3_600_000;
    private static final double CLOCK_SKEW_MS = 5000;
    private static final long SEVERAL_BOUND_CHECKS_MS = 1500;
    /** The object and the time left of a lookup. */
    private static final Pattern ARRIVAL = Pattern.compile(",asset=([0-9a-f]+),.*?patience=(\\d+)");

    /**
     * Age of the snapshot, whether lookups are handled while discovery is unavailable, and the node's state before and
     * after the first lookup.
     */
    @DataProvider public Object[][] ages() {
        return new Object[][] {{60_000.0, true, "RECENT", "RECENT"}, {HOUR_MS, true, "OLD", "PROVEN"},
            {36 * HOUR_MS, false, "TOO_OLD", "TOO_OLD"}};
    }

    @Test(dataProvider = "ages")
    public void usesSnapshotEntriesByTheirAge(double age, boolean handles, String before,
        String after) throws Exception {
        try (Fleet fleet = new Fleet(1)) {
            fleet.writeSnapshot("d1", age, 0, List.of(), fleet.all());
            DirectorServer director = fleet.director("d1");
            FakeNode node = fleet.caches.get(0);
            assertEquals(Fleet.status(director, node), before);
            try (FakeClients.Client client = new FakeClients.Client(director.port())) {
                assertEquals(client.status(1, 10, 3), handles ? 200 : 503);
                assertEquals(node.arrivalCount(), handles ? 1 : 0);
                Fleet.awaitTrue(after, () -> Fleet.status(director, node).equals(after));
                fleet.discovery.restartNumbering(11);
                fleet.discovery.sendSnapshot(fleet.all());
                fleet.discovery.startListening();
                Fleet.awaitTrue("the node is listed", () -> Fleet.status(director, node).equals("TOLD"));
                assertEquals(client.status(2, 10, 3), 200);
            }
        }
    }

    /** Without a snapshot, lookups are rejected at once until discovery sends a list, which is then stored. */
    @Test public void rejectsLookupsUntilDiscoveryAnswers() throws Exception {
        try (Fleet fleet = new Fleet(1)) {
            DirectorServer director = fleet.director("d1");
            try (FakeClients.Client client = new FakeClients.Client(director.port())) {
                assertEquals(client.status(1, 10, 3), 503);
                fleet.discovery.sendSnapshot(fleet.all());
                fleet.discovery.startListening();
                Fleet.awaitTrue("event 1", () -> Fleet.lastEvent(director) == 1);
                assertEquals(client.status(2, 10, 3), 200);
                Fleet.awaitTrue("stored", () -> storedEvent(fleet, "d1") == 1);
                assertEquals(storedSnapshot(fleet, "d1").entries().size(), 3);
            }
        }
    }

    private static MembershipSnapshot storedSnapshot(Fleet fleet, String name) {
        SnapshotFileStore store = new SnapshotFileStore(fleet.snapshotFile(name), "fleet", name);
        SnapshotFormat.Result result = store.read(System.currentTimeMillis(), CLOCK_SKEW_MS);
        return result == null ? null : result.snapshot();
    }

    /** The last event of the stored snapshot; -1 where there is none. */
    private static long storedEvent(Fleet fleet, String name) {
        MembershipSnapshot snapshot = storedSnapshot(fleet, name);
        return snapshot == null ? -1 : snapshot.lastEvent();
    }

    /** Discovery comes and goes, mostly with heartbeats only: every event is applied, and no lookup fails. */
    @Test public void losesNoEventWhenDiscoveryFlaps() throws Exception {
        try (Fleet fleet = new Fleet(2)) {
            fleet.writeSnapshot("d1", 60_000, 0, List.of(), fleet.all());
            DirectorServer director = fleet.director("d1");
            fleet.discovery.restartNumbering(11);
            fleet.discovery.sendSnapshot(fleet.all());
            try (FakeClients load = new FakeClients(director.port(), 2, 5, 10, 100)) {
                for (int i = 0; i < 8; i++) {
                    int drains = i % 2;
                    fleet.discovery.startListening();
                    long event = fleet.discovery.sendChanges(drains, fleet.caches.get(1));
                    Fleet.awaitTrue("event " + event, () -> Fleet.lastEvent(director) == event);
                    assertEquals(Fleet.status(director, fleet.caches.get(1)), drains == 1 ? "DRAINING" : "TOLD");
                    fleet.discovery.stopListening();
                    load.awaitHandled(load.handled.get() + 5);
                }
                assertEquals(load.failed.get(), 0);
            }
        }
    }

    /** A drain and a purge arrive while a hop is open at one node and others wait for a connection to a second one. */
    @Test public void appliesDrainAndPurgeAfterReconnect() throws Exception {
        try (Fleet fleet = new Fleet(3)) {
            fleet.configParameters.put("connect", "8");
            fleet.writeSnapshot("d1", 60_000, 0, List.of(), fleet.all());
            FakeNode unresponsive = fleet.caches.get(0);
            FakeNode cutOff = fleet.caches.get(1);
            FakeNode healthy = fleet.caches.get(2);
            unresponsive.setUnresponsive(true);
            cutOff.stopAnsweringConnects();
            DirectorServer director = fleet.director("d1");
            List<FakeClients.Client> open = new ArrayList<>();
            Map<Integer, Long> askedAt = new HashMap<>();
            for (int i = 0; i < 24; i++) {
                open.add(new FakeClients.Client(director.port()));
                askedAt.put(i, System.currentTimeMillis());
                open.get(i).send(i, 10, 17);
            }
            Fleet.awaitTrue("hops out and waiting", () -> unresponsive.arrivalCount() > 0 && healthy.arrivalCount() > 0
                && counter(director, counters -> counters.hops) == 24);
            fleet.discovery.restartNumbering(11);
            fleet.discovery.sendSnapshot(fleet.all());
            long at = System.currentTimeMillis();
            fleet.discovery.sendChanges(FakeDiscovery.DRAINING, unresponsive, cutOff);
            long event = fleet.discovery.sendPurge(17, at);
            fleet.discovery.startListening();
            Fleet.awaitTrue("event " + event, () -> Fleet.lastEvent(director) == event);
            long drainedAt = System.currentTimeMillis();
            // Hops that waited for a connection to the second node were withdrawn and went elsewhere.
            Fleet.awaitTrue("a hop is withdrawn",
                () -> counter(director, counters -> counters.outcomes[Director.NOT_SENT]) >= 1);
            unresponsive.setUnresponsive(false);
            try (FakeClients.Client client = new FakeClients.Client(director.port())) {
                for (int i = 100; i < 140; i++) {
                    askedAt.put(i, System.currentTimeMillis());
                    assertEquals(client.status(i, 10, 17), 200);
                }
            }
            for (FakeNode.Arrival arrival : unresponsive.arrivals()) {
                assertFalse(sentAfter(drainedAt, arrival, askedAt), "sent after the drain: " + arrival.line());
            }
            List<FakeNode.Arrival> after =
                healthy.arrivals().stream().filter(arrival -> sentAfter(drainedAt, arrival, askedAt)).toList();
            assertTrue(after.size() >= 40);
            for (FakeNode.Arrival arrival : after) {
                assertTrue(arrival.line().contains(",fresh="), "a purge bounds ages: " + arrival.line());
            }
            for (FakeClients.Client client : open) client.close();
        }
    }

    /**
     * Whether a lookup that arrived was sent after {@code time}, Unix ms. A request may be on its way for any time, so
     * that it arrived later does not show it; what is left of its time when it is written does.
     */
    private static boolean sentAfter(long time, FakeNode.Arrival arrival, Map<Integer, Long> askedAt) {
        Matcher fields = ARRIVAL.matcher(arrival.line());
        assertTrue(fields.find(), arrival.line());
        long asked = askedAt.get(Integer.parseInt(fields.group(1), 16));
        long patienceMs = Long.parseLong(fields.group(2));
        return asked + FakeClients.WAIT_MS - patienceMs >= time;
    }

    private interface CounterReader {
        long of(Counters counters);
    }

    private static int counter(DirectorServer director, CounterReader what) {
        director.dispatcher().enter();
        try {
            return (int) what.of(director.dispatcher().counters);
        } finally {
            director.dispatcher().leave();
        }
    }

    /** One listed node is stopped, and another one's address is answered by a node of another id. */
    @Test public void detectsStoppedAndReplacedNodes() throws Exception {
        try (Fleet fleet = new Fleet(3)) {
            fleet.writeSnapshot("d1", HOUR_MS, 0, List.of(), fleet.all());
            FakeNode stopped = fleet.caches.get(0).stop();
            FakeNode replaced = fleet.caches.get(1);
            long startedAt = System.currentTimeMillis();
            FakeNode replacement = fleet.closeWithFleet(replaced.replacedBy(77, startedAt, startedAt));
            DirectorServer director = fleet.director("d1");
            try (FakeClients load = new FakeClients(director.port(), 3, 1, 10, 0)) {
                Fleet.awaitTrue("refused", () -> Fleet.status(director, stopped).equals("REFUSED"));
                Fleet.awaitTrue("the replacement answers", () -> Fleet.status(director, replaced).equals("PROVEN"));
                Fleet.awaitTrue("the stopped node is retried", () -> Fleet.status(director, stopped).equals("OLD"));
                load.awaitHandled(50);
                fleet.discovery.restartNumbering(11);
                fleet.discovery.sendSnapshot(fleet.caches.get(2), replacement, fleet.parent, fleet.origin);
                fleet.discovery.startListening();
                Fleet.awaitTrue("event 11", () -> Fleet.lastEvent(director) == 11);
                assertEquals(Fleet.status(director, stopped) + Fleet.status(director, replaced)
                    + Fleet.status(director, replacement), "GONEGONETOLD");
                int before = replacement.arrivalCount();
                Fleet.awaitTrue("the replacement is used", () -> replacement.arrivalCount() > before);
                assertEquals(load.failed.get(), 0);
            }
        }
    }

    /**
     * A node is back with a cold cache and would fail under full load, while three directors start from old snapshots.
     * Directors that trust every entry show that the stand-in does fail.
     */
    @Test public void threeDirectorsDoNotOverloadAColdNode() throws Exception {
        AgeLimits trustEverything = new AgeLimits(3650 * Fleet.DAY_MS, 3650 * Fleet.DAY_MS, 30_000, 1000, 200, 1000,
            0.5, 30_000, 5000);
        assertTrue(maxLoadOfColdNode(trustEverything) > 1, "trusting every entry overloads it");
        double maxLoad = maxLoadOfColdNode(Fleet.AGES);
        assertTrue(maxLoad > 0 && maxLoad <= 1, "share of the load at which it fails: " + maxLoad);
    }

    private static double maxLoadOfColdNode(AgeLimits ages) throws Exception {
        try (Fleet fleet = new Fleet(2)) {
            fleet.configParameters.put("directors", "3");
            for (String name : List.of("d1", "d2", "d3")) fleet.writeSnapshot(name, HOUR_MS, 0, List.of(), fleet.all());
            FakeNode cold = fleet.closeWithFleet(fleet.caches.get(0).replacedBy(1, System.currentTimeMillis(), 0));
            List<FakeClients> load = new ArrayList<>();
            for (String name : List.of("d1", "d2", "d3")) {
                load.add(new FakeClients(fleet.director(name, fleet.membershipSettings(name, ages)).port(), 4, 2, 1000,
                    1000 * load.size()));
            }
            for (FakeClients clients : load) clients.awaitHandled(20);
            long deadline = System.nanoTime() + 3_000_000_000L;     // two windows of the stand-in's load rule
            while (System.nanoTime() < deadline && !cold.overloaded()) Thread.onSpinWait();
            for (FakeClients clients : load) clients.close();
            return cold.maxLoadShare();
        }
    }

    /** Two directors share a file: the second one serves without writing it. */
    @Test public void secondDirectorDoesNotWriteTheFile() throws Exception {
        try (Fleet fleet = new Fleet(1)) {
            fleet.discovery.sendSnapshot(fleet.all());
            fleet.discovery.startListening();
            DirectorServer first = fleet.director("d1");
            Fleet.awaitTrue("stored", () -> storedSnapshot(fleet, "d1") != null);
            DirectorServer second = fleet.director("d1");
            Fleet.awaitTrue("event 1", () -> Fleet.lastEvent(second) == 1 && Fleet.lastEvent(first) == 1);
            long event = fleet.discovery.sendChanges(FakeDiscovery.DRAINING, fleet.caches.get(0));
            Fleet.awaitTrue("both have the event",
                () -> Fleet.lastEvent(second) == event && storedEvent(fleet, "d1") == event);
            Thread.sleep(SEVERAL_BOUND_CHECKS_MS);
            assertEquals(second.persistentMembership().persistence().writes().completed(), 0);
            assertEquals(second.persistentMembership().persistence().writes().lateCount(), 0, "it owes no write");
            assertEquals(second.persistentMembership().persistence().syncs().completed(), 0);
            assertTrue(first.persistentMembership().persistence().writes().completed() > 0);
            Fleet.awaitTrue("synced", () -> first.persistentMembership().persistence().syncs().completed() > 0);
        }
    }

    /** A director serves and counts the failure where its snapshot can't be read or written. */
    @Test public void servesWithAnUnusableSnapshotFile() throws Exception {
        try (Fleet fleet = new Fleet(1)) {
            fleet.discovery.sendSnapshot(fleet.all());
            fleet.discovery.startListening();
            Path whole = fleet.writeSnapshot("d0", 60_000, 0, List.of(), fleet.all());
            byte[] torn = java.util.Arrays.copyOf(Files.readAllBytes(whole), 90);
            Object[][] cases = {{"torn", torn}, {"empty", new byte[0]}, {"other_director", Files.readAllBytes(whole)},
                {"not_a_list", "no list, but some text".repeat(3).getBytes()}};
            for (int i = 0; i < cases.length; i++) {
                String name = "d" + (10 + i);
                Files.write(fleet.snapshotFile(name), (byte[]) cases[i][1]);
                DirectorServer director = fleet.director(name);
                String line = director.persistentMembership().counterLine();
                assertTrue(line.contains(", refused " + cases[i][0] + " 1"), line);
                Fleet.awaitTrue("event 1", () -> Fleet.lastEvent(director) == 1);
                Fleet.awaitTrue("the snapshot is replaced", () -> storedSnapshot(fleet, name) != null);
            }
            Files.createDirectory(fleet.snapshotFile("d2"));
            DirectorServer overDirectory = fleet.director("d2");
            String directoryLine = overDirectory.persistentMembership().counterLine();
            assertTrue(directoryLine.contains(", refused unreadable 1"), directoryLine);
            Path unwritable = fleet.directory.resolve("none").resolve("list");
            DirectorServer withoutDirectory = fleet.director("d3",
                new MembershipSettings(unwritable, "fleet", Fleet.AGES, 100, 1000));
            SnapshotPersistence overDirectoryCounts = overDirectory.persistentMembership().persistence();
            SnapshotPersistence withoutDirectoryCounts = withoutDirectory.persistentMembership().persistence();
            Fleet.awaitTrue("the failed sync is counted", () -> overDirectoryCounts.syncs().failed() > 0);
            Fleet.awaitTrue("the failed write is counted", () -> withoutDirectoryCounts.writes().failed() > 0);
            Fleet.awaitTrue("it survives a kill all the same", () -> storedEvent(fleet, "d2") == 1);
            for (DirectorServer director : List.of(overDirectory, withoutDirectory)) {
                Fleet.awaitTrue("event 1", () -> Fleet.lastEvent(director) == 1);
                try (FakeClients.Client client = new FakeClients.Client(director.port())) {
                    assertEquals(client.status(1, 10, 3), 200);
                }
            }
        }
    }

    /** Writes that fail on a full disk are counted and repeated until there is room. */
    @Test public void retriesWritesOnAFullDisk() throws Exception {
        try (Fleet fleet = new Fleet(1)) {
            fleet.discovery.sendSnapshot(fleet.all());
            fleet.discovery.startListening();
            AtomicInteger tries = new AtomicInteger();
            SnapshotFileStore disk = new SnapshotFileStore(fleet.snapshotFile("d1"), "fleet", "d1");
            SnapshotStore full = new SnapshotStore() {
                @Override public SnapshotFormat.Result read(double now, double skew) {
                    return disk.read(now, skew);
                }

                @Override public boolean acquireWriteLock() {
                    return disk.acquireWriteLock();
                }

                @Override public void write(MembershipSnapshot list) throws IOException {
                    if (tries.incrementAndGet() <= 2) throw new IOException("No space left on device");
                    disk.write(list);
                }

                @Override public void sync(MembershipSnapshot list) throws IOException {
                    disk.sync(list);
                }

                @Override public void close() {
                    disk.close();
                }
            };
            DirectorServer director = new DirectorServer(fleet.startupConfig("d1"),
                fleet.membershipSettings("d1", Fleet.AGES), full);
            fleet.directors.add(director);
            director.start();
            Fleet.awaitTrue("a write succeeds", () -> storedSnapshot(fleet, "d1") != null
                && director.persistentMembership().persistence().writes().completed() > 0);
            StorageStageLog writes = director.persistentMembership().persistence().writes();
            assertEquals(writes.failed(), 2);
            assertEquals(tries.get(), 2 + (int) writes.completed());
            StorageStageLog syncs = director.persistentMembership().persistence().syncs();
            Fleet.awaitTrue("a sync succeeds", () -> syncs.completed() > 0);
            assertEquals(syncs.failed(), 0);
        }
    }

    /** A director that is killed and restarted without discovery still applies the drain and the purge. */
    @Test public void drainAndPurgeSurviveAKill() throws Exception {
        try (Fleet fleet = new Fleet(2)) {
            fleet.discovery.sendSnapshot(fleet.all());
            fleet.discovery.startListening();
            DirectorServer director = fleet.director("d1");
            Fleet.awaitTrue("event 1", () -> Fleet.lastEvent(director) == 1);
            long now = System.currentTimeMillis();
            fleet.discovery.sendChanges(FakeDiscovery.DRAINING, fleet.caches.get(0));
            long event = fleet.discovery.sendPurge(17, now);
            long purgedAt = System.nanoTime();
            Fleet.awaitTrue("on disk", () -> storedEvent(fleet, "d1") == event);
            double tookMs = (System.nanoTime() - purgedAt) / 1e6;
            fleet.discovery.stopListening();
            fleet.directors.remove(director);
            director.release();
            DirectorServer again = fleet.director("d1");
            assertEquals(Fleet.status(again, fleet.caches.get(0)), "DRAINING");
            try (FakeClients.Client client = new FakeClients.Client(again.port())) {
                for (int i = 0; i < 20; i++) assertEquals(client.status(i, 10, 17), 200);
            }
            assertEquals(fleet.caches.get(0).arrivalCount(), 0);
            for (FakeNode.Arrival arrival : fleet.caches.get(1).arrivals()) {
                assertTrue(arrival.line().contains(",fresh="), arrival.line());
            }
            assertTrue(tookMs < 1000, "on disk after ms: " + tookMs);
        }
    }

    /**
     * Guards against a kept list that outranks the configured one by its higher event number: at each start of a
     * director events count anew, and those of the new start were taken for known ones.
     */
    @Test public void eventsOfANewStartCountThoughTheKeptListHasMore() throws Exception {
        try (Fleet fleet = new Fleet(2)) {
            fleet.writeSnapshot("d1", 60_000, 0, List.of(), fleet.all());      // as of event 10
            fleet.discovery.restartNumbering(2);
            FakeNode draining = fleet.caches.get(0);
            fleet.discovery.sendChanges(FakeDiscovery.DRAINING, draining);
            long event = fleet.discovery.sendPurge(17, System.currentTimeMillis());
            fleet.discovery.startListening();
            StartupConfig config = StartupConfig.parse(fleet.configWithList("d1", fleet.discovery), null, true, 0);
            DirectorServer director = new DirectorServer(config, fleet.membershipSettings("d1", Fleet.AGES));
            fleet.directors.add(director);
            director.start();
            Fleet.awaitTrue("event " + event, () -> Fleet.lastEvent(director) == event);
            try (FakeClients.Client client = new FakeClients.Client(director.port())) {
                for (int i = 0; i < 20; i++) assertEquals(client.status(i, 10, 17), 200);
            }
            assertEquals(draining.arrivalCount(), 0);
            for (FakeNode.Arrival arrival : fleet.caches.get(1).arrivals()) {
                assertTrue(arrival.line().contains(",fresh="), arrival.line());
            }
            Fleet.awaitTrue("it is kept", () -> storedEvent(fleet, "d1") == event);
        }
    }

    /** A node from an old snapshot that has not answered yet gets one hop at a time; other lookups are rejected. */
    @Test public void oldNodeGetsOneHopAtATime() throws Exception {
        try (Fleet fleet = new Fleet(1)) {
            fleet.writeSnapshot("d1", HOUR_MS, 0, List.of(), fleet.all());
            FakeNode node = fleet.caches.get(0);
            node.setUnresponsive(true);
            DirectorServer director = fleet.director("d1");
            List<FakeClients.Client> open = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                open.add(new FakeClients.Client(director.port()));
                open.get(i).send(i, 10, 3);
            }
            for (int i = 1; i < 10; i++) assertEquals(open.get(i).status(), 503, "rejected at once");
            Fleet.awaitTrue("one arrival", () -> node.arrivalCount() > 0);
            assertEquals(node.arrivalCount(), 1);
            for (FakeClients.Client client : open) client.close();
        }
    }

    /** While recent nodes are available, an old one gets no lookups. */
    @Test public void prefersRecentNodesToOldOnes() throws Exception {
        try (Fleet fleet = new Fleet(2)) {
            FakeNode old = fleet.caches.get(0);
            fleet.writeSnapshot("d1", 60_000, HOUR_MS, List.of(old), fleet.all());
            DirectorServer director = fleet.director("d1");
            assertEquals(Fleet.status(director, old), "OLD");
            try (FakeClients.Client client = new FakeClients.Client(director.port())) {
                for (int i = 0; i < 40; i++) assertEquals(client.status(i, 10, 3), 200);
            }
            assertEquals(old.arrivalCount(), 0);
            assertFalse(fleet.caches.get(1).arrivals().isEmpty());
        }
    }

    /** On SIGHUP the program applies both files or neither; list commands report usable entries by exit status. */
    public void reloadAppliesBothFilesOrNeither() throws Exception {
        try (Fleet fleet = new Fleet(1)) {
            fleet.discovery.sendSnapshot(fleet.all());
            fleet.discovery.startListening();
            Path config = Files.writeString(fleet.directory.resolve("told.json"), fleet.startupConfigText("d1"));
            String list = fleet.snapshotFile("d1").toString();
            String operators = "{membership: {file: '" + list + "', fleet: 'fleet'%s}}";
            Path operatorsFile = fleet.directory.resolve("own.jsonnet");
            Files.writeString(operatorsFile, String.format(operators, ""));
            Process process = ServeTest.Outside.program("serve", "--config", config.toString(), "--operators",
                operatorsFile.toString());
            try (var err = process.errorReader()) {
                ServeTest.awaitLine(err, ".* serves on .*");
                Files.writeString(operatorsFile, String.format(operators, ", recent: 5"));
                ServeTest.hangUp(process, err, "reload: .*recent = 5 is not known; did you mean recent_s.*as it was");
                Files.writeString(operatorsFile, String.format(operators, ", recent_s: 1, old_s: 100000"));
                Files.writeString(config, "no json");
                ServeTest.hangUp(process, err, "reload: .*told.json.*; all stays as it was");
                Files.writeString(config, fleet.startupConfigText("d1"));
                ServeTest.hangUp(process, err, "reload: the file is read anew");
                fleet.discovery.setUnresponsive(true);
                ServeTest.awaitLine(err, ".*list: TOLD to OLD.*");
                Fleet.awaitTrue("stored", () -> storedEvent(fleet, "d1") == 1);
                process.destroy();
                assertEquals(process.waitFor(), 0);
            } finally {
                process.destroyForcibly();
            }
            Path old = fleet.writeSnapshot("d2", 48 * HOUR_MS, 0, List.of(), fleet.all());
            Path none = fleet.directory.resolve("none");
            Path damaged = Files.write(fleet.directory.resolve("flipped"), "no list, no list, no list".getBytes());
            Object[][] cases = {{"verify", list, 0, "usable: recent 3"}, {"verify", old, 1,
                "nothing usable: too_old 3"},
                {"verify", none, 3, ""}, {"verify", damaged, 3, ""}, {"show", list, 0,
                    "s-00000001 .* recent .* confirmed by discovery recently, before the restart"}};
            for (Object[] example : cases) {
                ProcessBuilder builder = ServeTest.Outside.builder("list", (String) example[0], example[1].toString());
                Process command = builder.redirectOutput(ProcessBuilder.Redirect.PIPE).start();
                String output = new String(command.getInputStream().readAllBytes());
                assertEquals(command.waitFor(), example[2], output);
                assertTrue(output.replace('\n', ' ').matches(".*" + example[3] + ".*"), output);
            }
        }
    }

    /**
     * Discovery restored from an older backup reuses event numbers: known events stay in effect, and a drain under a
     * number that is already known is still applied.
     */
    public void revertedDiscoveryUndoesNothing() throws Exception {
        try (Fleet fleet = new Fleet(3)) {
            fleet.discovery.sendSnapshot(fleet.all());
            fleet.discovery.startListening();
            DirectorServer director = fleet.director("d1");
            fleet.discovery.sendChanges(FakeDiscovery.DRAINING, fleet.caches.get(0));
            fleet.discovery.sendChanges(FakeDiscovery.READY, fleet.caches.get(2));
            Fleet.awaitTrue("event 3", () -> Fleet.lastEvent(director) == 3);
            fleet.discovery.revertTo(1);
            fleet.discovery.closeConnections();
            Fleet.awaitTrue("discovery is behind", () -> behind(director));
            // Events 2 and 3, under the numbers of other events that the director knows.
            fleet.discovery.sendChanges(FakeDiscovery.READY, fleet.caches.get(0));
            fleet.discovery.sendChanges(FakeDiscovery.DRAINING, fleet.caches.get(1));
            Fleet.awaitTrue("the drain is applied",
                () -> Fleet.status(director, fleet.caches.get(1)).equals("DRAINING"));
            assertEquals(Fleet.status(director, fleet.caches.get(0)), "DRAINING");
            long event = fleet.discovery.sendChanges(FakeDiscovery.READY, fleet.caches.get(0));
            Fleet.awaitTrue("event 4", () -> Fleet.lastEvent(director) == event);
            assertEquals(Fleet.status(director, fleet.caches.get(0)), "TOLD");
        }
    }

    private static boolean behind(DirectorServer director) {
        director.dispatcher().enter();
        try {
            return director.persistentMembership().membership().discoveryBehind();
        } finally {
            director.dispatcher().leave();
        }
    }

    /** An empty snapshot of discovery drains no node: all remain in use. */
    public void emptySnapshotRemovesNoNode() throws Exception {
        try (Fleet fleet = new Fleet(2)) {
            fleet.discovery.sendSnapshot(fleet.all());
            fleet.discovery.startListening();
            DirectorServer director = fleet.director("d1");
            Fleet.awaitTrue("event 1", () -> Fleet.lastEvent(director) == 1);
            fleet.discovery.sendSnapshot();
            Fleet.awaitTrue("event 2", () -> Fleet.lastEvent(director) == 2);
            String line = director.persistentMembership().counterLine();
            assertTrue(line.contains(", empty 1"), line);
            try (FakeClients.Client client = new FakeClients.Client(director.port())) {
                for (int i = 0; i < 10; i++) assertEquals(client.status(i, 10, 3), 200);
            }
        }
    }
}
