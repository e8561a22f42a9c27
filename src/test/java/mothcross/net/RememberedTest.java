package mothcross.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
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

/** Directors on sockets that start while discovery is down, and what follows when it is back. */
@Test(timeOut = 60_000)
public class RememberedTest {
    private static final double HOUR = 3_600_000;

    /** Age of the list, whether lookups are handled while discovery is withheld,
        and the standing before and after one. */
    @DataProvider public Object[][] ages() {
        return new Object[][] {{60_000.0, true, "RECENT", "RECENT"}, {HOUR, true, "OLD", "PROVEN"},
            {48 * HOUR, false, "TOO_OLD", "TOO_OLD"}};
    }

    @Test(dataProvider = "ages")
    public void startsWithWhatIsStillBelieved(double age, boolean handles, String before,
        String after) throws Exception {
        try (Fleet f = new Fleet(1)) {
            f.writeSnapshot("d1", age, 0, List.of(), f.all());
            DirectorServer d = f.director("d1");
            FakeNode b = f.caches.get(0);
            assertEquals(Fleet.status(d, b), before);
            try (FakeClients.Client c = new FakeClients.Client(d.port())) {
                assertEquals(c.status(1, 10, 3), handles ? 200 : 503);
                assertEquals(b.arrivalCount(), handles ? 1 : 0);
                Fleet.awaitTrue(after, () -> Fleet.status(d, b).equals(after));
                f.discovery.restartNumbering(11);
                f.discovery.sendSnapshot(f.all());
                f.discovery.startListening();
                Fleet.awaitTrue("told", () -> Fleet.status(d, b).equals("TOLD"));
                assertEquals(c.status(2, 10, 3), 200);
            }
        }
    }

    /** No list at all: every lookup is turned away at once until discovery tells; then the list is kept. */
    @Test public void startsWithNothing() throws Exception {
        try (Fleet f = new Fleet(1)) {
            DirectorServer d = f.director("d1");
            try (FakeClients.Client c = new FakeClients.Client(d.port())) {
                assertEquals(c.status(1, 10, 3), 503);
                f.discovery.sendSnapshot(f.all());
                f.discovery.startListening();
                Fleet.awaitTrue("event 1", () -> Fleet.lastEvent(d) == 1);
                assertEquals(c.status(2, 10, 3), 200);
                Fleet.awaitTrue("kept", () -> kept(f, "d1") != null && kept(f, "d1").lastEvent() == 1);
                assertEquals(kept(f, "d1").entries().size(), 3);
            }
        }
    }

    private static MembershipSnapshot kept(Fleet f, String name) {
        SnapshotFormat.Result r = new SnapshotFileStore(f.snapshotFile(name), "fleet", name).read(System.currentTimeMillis(),
            5000);
        return r == null ? null : r.snapshot();
    }

    /** Comes and goes every few hundred ms, mostly with nothing new: no event is lost, nothing is believed twice. */
    @Test public void discoveryFlaps() throws Exception {
        try (Fleet f = new Fleet(2)) {
            f.writeSnapshot("d1", 60_000, 0, List.of(), f.all());
            DirectorServer d = f.director("d1");
            f.discovery.restartNumbering(11);
            f.discovery.sendSnapshot(f.all());
            try (FakeClients load = new FakeClients(d.port(), 2, 5, 10, 100)) {
                for (int i = 0; i < 8; i++) {
                    int drains = i % 2;
                    f.discovery.startListening();
                    long event = f.discovery.sendChanges(drains, f.caches.get(1));
                    Fleet.awaitTrue("event " + event, () -> Fleet.lastEvent(d) == event);
                    assertEquals(Fleet.status(d, f.caches.get(1)), drains == 1 ? "DRAINING" : "TOLD");
                    f.discovery.stopListening();
                    load.awaitHandled(load.handled.get() + 5);
                }
                assertEquals(load.failed.get(), 0);
            }
        }
    }

    /** A drain and a purge at once, with a hop out at one box and others waiting for a connection to the second. */
    @Test public void backWithADrainAndAPurge() throws Exception {
        try (Fleet f = new Fleet(3)) {
            f.configParameters.put("connect", "8");
            f.writeSnapshot("d1", 60_000, 0, List.of(), f.all());
            FakeNode mute = f.caches.get(0), away = f.caches.get(1), well = f.caches.get(2);
            mute.setUnresponsive(true);
            away.stopAnsweringConnects();
            DirectorServer d = f.director("d1");
            List<FakeClients.Client> open = new ArrayList<>();
            for (int i = 0; i < 24; i++) {
                open.add(new FakeClients.Client(d.port()));
                open.get(i).send(i, 10, 17);
            }
            Fleet.awaitTrue("hops out and waiting", () -> mute.arrivalCount() > 0 && well.arrivalCount() > 0
                && counted(d, c -> c.hops) == 24);
            f.discovery.restartNumbering(11);
            f.discovery.sendSnapshot(f.all());
            long at = System.currentTimeMillis();
            f.discovery.sendChanges(FakeDiscovery.DRAINING, mute, away);
            long event = f.discovery.sendPurge(17, at);
            f.discovery.startListening();
            Fleet.awaitTrue("event " + event, () -> Fleet.lastEvent(d) == event);
            long told = System.nanoTime();
            // What waited for a connection that never came up was taken back and went elsewhere.
            Fleet.awaitTrue("taken back", () -> counted(d, c -> c.outcomes[Director.NOT_SENT]) >= 1);
            mute.setUnresponsive(false);
            try (FakeClients.Client c = new FakeClients.Client(d.port())) {
                for (int i = 0; i < 40; i++) assertEquals(c.status(100 + i, 10, 17), 200);
            }
            for (FakeNode.Arrival a : mute.arrivals()) assertTrue(a.nano() < told, "sent after the drain: " + a.line());
            List<FakeNode.Arrival> after = well.arrivals().stream().filter(a -> a.nano() > told).toList();
            assertTrue(after.size() >= 40);
            for (FakeNode.Arrival a : after) {
                assertTrue(a.line().contains(",fresh="), "a purge bounds ages: " + a.line());
            }
            for (FakeClients.Client c : open) c.close();
        }
    }

    private interface Counted {
        long of(Counters c);
    }

    private static int counted(DirectorServer d, Counted what) {
        d.dispatcher().enter();
        try {
            return (int) what.of(d.dispatcher().counters);
        } finally {
            d.dispatcher().leave();
        }
    }

    /** One listed box is gone, another's address is answered by a box of another id: discovery then tells which. */
    @Test public void aListedBoxIsGoneAnotherReplaced() throws Exception {
        try (Fleet f = new Fleet(3)) {
            f.writeSnapshot("d1", HOUR, 0, List.of(), f.all());
            FakeNode gone = f.caches.get(0).stop(), was = f.caches.get(1);
            FakeNode other = f.closeWithFleet(was.replacedBy(77, System.currentTimeMillis(), System.currentTimeMillis()));
            DirectorServer d = f.director("d1");
            try (FakeClients load = new FakeClients(d.port(), 3, 1, 10, 0)) {
                Fleet.awaitTrue("refused", () -> Fleet.status(d, gone).equals("REFUSED"));
                Fleet.awaitTrue("answers", () -> Fleet.status(d, was).equals("PROVEN"));
                Fleet.awaitTrue("tried again", () -> Fleet.status(d, gone).equals("OLD"));
                load.awaitHandled(50);
                f.discovery.restartNumbering(11);
                f.discovery.sendSnapshot(f.caches.get(2), other, f.parent, f.origin);
                f.discovery.startListening();
                Fleet.awaitTrue("back", () -> Fleet.lastEvent(d) == 11);
                assertEquals(Fleet.status(d, gone) + Fleet.status(d, was) + Fleet.status(d, other),
                    "GONEGONETOLD");
                int before = other.arrivalCount();
                Fleet.awaitTrue("the new one is used", () -> other.arrivalCount() > before);
                assertEquals(load.failed.get(), 0);
            }
        }
    }

    /**
     * A box is back cold and would fall over at full traffic; three directors start together, each from its own old
     * list.
     * That the stand-in does fall is shown by directors that believe every entry.
     */
    @Test public void threeDirectorsSpareAColdBox() throws Exception {
        assertTrue(pushed(new AgeLimits(3650 * Fleet.DAY, 3650 * Fleet.DAY, 30_000, 1000, 200, 1000, 0.5, 30_000,
            5000)) > 1, "believing all pushes it over");
        double most = pushed(Fleet.AGES);
        assertTrue(most > 0 && most <= 1, "of what it bears: " + most);
    }

    private static double pushed(AgeLimits ages) throws Exception {
        try (Fleet f = new Fleet(2)) {
            f.configParameters.put("directors", "3");
            for (String name : List.of("d1", "d2", "d3")) f.writeSnapshot(name, HOUR, 0, List.of(), f.all());
            FakeNode cold = f.closeWithFleet(f.caches.get(0).replacedBy(1, System.currentTimeMillis(), 0));
            List<FakeClients> load = new ArrayList<>();
            for (String name : List.of("d1", "d2", "d3")) {
                load.add(new FakeClients(f.director(name, f.membershipSettings(name, ages)).port(), 4, 2, 1000,
                    1000 * load.size()));
            }
            for (FakeClients c : load) c.awaitHandled(20);
            long until = System.nanoTime() + 3_000_000_000L;        // two spans of the rule
            while (System.nanoTime() < until && !cold.overloaded()) Thread.onSpinWait();
            for (FakeClients c : load) c.close();
            return cold.maxLoadShare();
        }
    }

    /** Two directors with one file: the second says so, and serves without writing. */
    @Test public void theSecondDoesNotWrite() throws Exception {
        try (Fleet f = new Fleet(1)) {
            f.discovery.sendSnapshot(f.all());
            f.discovery.startListening();
            DirectorServer first = f.director("d1");
            Fleet.awaitTrue("kept", () -> kept(f, "d1") != null);
            DirectorServer second = f.director("d1");
            Fleet.awaitTrue("told", () -> Fleet.lastEvent(second) == 1 && Fleet.lastEvent(first) == 1);
            long event = f.discovery.sendChanges(FakeDiscovery.DRAINING, f.caches.get(0));
            Fleet.awaitTrue("both", () -> Fleet.lastEvent(second) == event && kept(f, "d1").lastEvent() == event);
            assertEquals(second.persistentMembership().writesCompleted, 0);
            assertTrue(first.persistentMembership().writesCompleted > 0);
        }
    }

    /** Where nothing can be written, and where what rests there can't be used, it serves all the same and says so. */
    @Test public void aFileOfNoUseNeverStopsIt() throws Exception {
        try (Fleet f = new Fleet(1)) {
            f.discovery.sendSnapshot(f.all());
            f.discovery.startListening();
            Path whole = f.writeSnapshot("d0", 60_000, 0, List.of(), f.all());
            byte[] torn = java.util.Arrays.copyOf(Files.readAllBytes(whole), 90);
            Object[][] cases = {{"torn", torn}, {"empty", new byte[0]}, {"other_director", Files.readAllBytes(whole)},
                {"not_a_list", "no list, but some text".repeat(3).getBytes()}};
            for (int i = 0; i < cases.length; i++) {
                String name = "d" + (10 + i);
                Files.write(f.snapshotFile(name), (byte[]) cases[i][1]);
                DirectorServer d = f.director(name);
                assertTrue(d.persistentMembership().counterLine().contains(", refused " + cases[i][0] + " 1"), d.persistentMembership().counterLine());
                Fleet.awaitTrue("told", () -> Fleet.lastEvent(d) == 1);
                Fleet.awaitTrue("written anew", () -> kept(f, name) != null);
            }
            Files.createDirectory(f.snapshotFile("d2"));
            DirectorServer folder = f.director("d2");
            assertTrue(folder.persistentMembership().counterLine().contains(", refused unreadable 1"), folder.persistentMembership().counterLine());
            DirectorServer nowhere = f.director("d3", new MembershipSettings(f.directory.resolve("none").resolve("list"),
                "fleet", Fleet.AGES, 100, 1000));
            for (DirectorServer d : List.of(folder, nowhere)) {
                Fleet.awaitTrue("told", () -> Fleet.lastEvent(d) == 1);
                Fleet.awaitTrue("says so", () -> d.persistentMembership().writesFailed > 0);
                try (FakeClients.Client c = new FakeClients.Client(d.port())) {
                    assertEquals(c.status(1, 10, 3), 200);
                }
            }
        }
    }

    /** A full disk: nothing is lost but the newest writes, and it is written again when there is room. */
    @Test public void aFullDiskIsTriedAgain() throws Exception {
        try (Fleet f = new Fleet(1)) {
            f.discovery.sendSnapshot(f.all());
            f.discovery.startListening();
            AtomicInteger tries = new AtomicInteger();
            SnapshotFileStore disk = new SnapshotFileStore(f.snapshotFile("d1"), "fleet", "d1");
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

                @Override public void close() {
                    disk.close();
                }
            };
            DirectorServer d = new DirectorServer(f.startupConfig("d1"), f.membershipSettings("d1", Fleet.AGES), full);
            f.directors.add(d);
            d.start();
            Fleet.awaitTrue("written at last", () -> kept(f, "d1") != null && d.persistentMembership().writesCompleted > 0);
            assertEquals(d.persistentMembership().writesFailed, 2);
            assertEquals(tries.get(), 2 + (int) d.persistentMembership().writesCompleted);
        }
    }

    /** Killed and started anew: the drain and the purge it was told of still hold, with discovery away. */
    @Test public void whatWasToldOutlivesTheKill() throws Exception {
        try (Fleet f = new Fleet(2)) {
            f.discovery.sendSnapshot(f.all());
            f.discovery.startListening();
            DirectorServer d = f.director("d1");
            Fleet.awaitTrue("told", () -> Fleet.lastEvent(d) == 1);
            long now = System.currentTimeMillis();
            f.discovery.sendChanges(FakeDiscovery.DRAINING, f.caches.get(0));
            long event = f.discovery.sendPurge(17, now);
            long told = System.nanoTime();
            Fleet.awaitTrue("on disk", () -> kept(f, "d1") != null && kept(f, "d1").lastEvent() == event);
            double took = (System.nanoTime() - told) / 1e6;
            f.discovery.stopListening();
            f.directors.remove(d);
            d.release();
            DirectorServer again = f.director("d1");
            assertEquals(Fleet.status(again, f.caches.get(0)), "DRAINING");
            try (FakeClients.Client c = new FakeClients.Client(again.port())) {
                for (int i = 0; i < 20; i++) assertEquals(c.status(i, 10, 17), 200);
            }
            assertEquals(f.caches.get(0).arrivalCount(), 0);
            for (FakeNode.Arrival a : f.caches.get(1).arrivals()) assertTrue(a.line().contains(",fresh="), a.line());
            assertTrue(took < 1000, "on disk after " + took);
        }
    }

    /** An end by SIGTERM leaves the newest state; a list that rested long is used cautiously, one hop at a time. */
    @Test public void anUnsureBoxGetsOneHopAtATime() throws Exception {
        try (Fleet f = new Fleet(1)) {
            f.writeSnapshot("d1", HOUR, 0, List.of(), f.all());
            FakeNode b = f.caches.get(0);
            b.setUnresponsive(true);
            DirectorServer d = f.director("d1");
            List<FakeClients.Client> open = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                open.add(new FakeClients.Client(d.port()));
                open.get(i).send(i, 10, 3);
            }
            for (int i = 1; i < 10; i++) assertEquals(open.get(i).status(), 503, "turned away at once");
            Fleet.awaitTrue("the one", () -> b.arrivalCount() > 0);
            assertEquals(b.arrivalCount(), 1);
            for (FakeClients.Client c : open) c.close();
        }
    }

    /** With recent ones there, an old one is not asked at all. */
    @Test public void oldOnesStandBehindRecentOnes() throws Exception {
        try (Fleet f = new Fleet(2)) {
            FakeNode old = f.caches.get(0);
            f.writeSnapshot("d1", 60_000, HOUR, List.of(old), f.all());
            DirectorServer d = f.director("d1");
            assertEquals(Fleet.status(d, old), "OLD");
            try (FakeClients.Client c = new FakeClients.Client(d.port())) {
                for (int i = 0; i < 40; i++) assertEquals(c.status(i, 10, 3), 200);
            }
            assertEquals(old.arrivalCount(), 0);
            assertFalse(f.caches.get(1).arrivals().isEmpty());
        }
    }

    /** The program: SIGHUP takes both files or neither, and the list commands say by their exit what could be used. */
    public void theProgramTakesBothFilesOrNeither() throws Exception {
        try (Fleet f = new Fleet(1)) {
            f.discovery.sendSnapshot(f.all());
            f.discovery.startListening();
            Path told = Files.writeString(f.directory.resolve("told.json"), f.startupConfigText("d1"));
            String list = f.snapshotFile("d1").toString(), part = "{membership: {file: '" + list + "', fleet: 'fleet'%s}}";
            Path own = Files.writeString(f.directory.resolve("own.jsonnet"), String.format(part, ""));
            Process p = ServeTest.Outside.program("serve", "--config", told.toString(), "--operators", own.toString());
            try (var err = p.errorReader()) {
                ServeTest.awaitLine(err, ".* serves on .*");
                Files.writeString(own, String.format(part, ", recent: 5"));
                ServeTest.hangUp(p, err, "reload: .*recent = 5 is not known; did you mean recent_s.*as it was");
                Files.writeString(own, String.format(part, ", recent_s: 1, old_s: 100000"));
                Files.writeString(told, "no json");
                ServeTest.hangUp(p, err, "reload: .*told.json.*; all stays as it was");
                Files.writeString(told, f.startupConfigText("d1"));
                ServeTest.hangUp(p, err, "reload: the file is read anew");
                f.discovery.setUnresponsive(true);
                ServeTest.awaitLine(err, ".*list: TOLD to OLD.*");
                Fleet.awaitTrue("kept", () -> kept(f, "d1") != null && kept(f, "d1").lastEvent() == 1);
                p.destroy();
                assertEquals(p.waitFor(), 0);
            } finally {
                p.destroyForcibly();
            }
            Path old = f.writeSnapshot("d2", 48 * HOUR, 0, List.of(), f.all()), none = f.directory.resolve("none");
            Path flipped = Files.write(f.directory.resolve("flipped"), "no list, no list, no list".getBytes());
            Object[][] cases = {{"verify", list, 0, "usable: recent 3"}, {"verify", old, 1,
                "nothing usable: too_old 3"},
                {"verify", none, 3, ""}, {"verify", flipped, 3, ""}, {"show", list, 0,
                    "s-00000001 .* recent .* not long ago"}};
            for (Object[] c : cases) {
                ProcessBuilder b = ServeTest.Outside.builder("list", (String) c[0], c[1].toString());
                Process q = b.redirectOutput(ProcessBuilder.Redirect.PIPE).start();
                String said = new String(q.getInputStream().readAllBytes());
                assertEquals(q.waitFor(), c[2], said);
                assertTrue(said.replace('\n', ' ').matches(".*" + c[3] + ".*"), said);
            }
        }
    }

    /** Restored from an older state, discovery reuses numbers: what was told stays,
        a drain under a known number still counts. */
    public void anOlderDiscoveryUndoesNothing() throws Exception {
        try (Fleet f = new Fleet(3)) {
            f.discovery.sendSnapshot(f.all());
            f.discovery.startListening();
            DirectorServer d = f.director("d1");
            f.discovery.sendChanges(FakeDiscovery.DRAINING, f.caches.get(0));
            f.discovery.sendChanges(FakeDiscovery.READY, f.caches.get(2));
            Fleet.awaitTrue("event 3", () -> Fleet.lastEvent(d) == 3);
            f.discovery.revertTo(1);
            f.discovery.closeConnections();
            Fleet.awaitTrue("is behind", () -> behind(d));
            f.discovery.sendChanges(FakeDiscovery.READY, f.caches.get(0));      // event 2, which was another one here
            f.discovery.sendChanges(FakeDiscovery.DRAINING, f.caches.get(1));   // event 3
            Fleet.awaitTrue("drained", () -> Fleet.status(d, f.caches.get(1)).equals("DRAINING"));
            assertEquals(Fleet.status(d, f.caches.get(0)), "DRAINING");
            long event = f.discovery.sendChanges(FakeDiscovery.READY, f.caches.get(0));
            Fleet.awaitTrue("event 4", () -> Fleet.lastEvent(d) == event);
            assertEquals(Fleet.status(d, f.caches.get(0)), "TOLD");
        }
    }

    private static boolean behind(DirectorServer d) {
        d.dispatcher().enter();
        try {
            return d.persistentMembership().membership().discoveryBehind();
        } finally {
            d.dispatcher().leave();
        }
    }

    /** An empty whole list tells of no drain: all go on being used. */
    public void anEmptyListTellsNothing() throws Exception {
        try (Fleet f = new Fleet(2)) {
            f.discovery.sendSnapshot(f.all());
            f.discovery.startListening();
            DirectorServer d = f.director("d1");
            Fleet.awaitTrue("event 1", () -> Fleet.lastEvent(d) == 1);
            f.discovery.sendSnapshot();
            Fleet.awaitTrue("event 2", () -> Fleet.lastEvent(d) == 2);
            assertTrue(d.persistentMembership().counterLine().contains(", empty 1"), d.persistentMembership().counterLine());
            try (FakeClients.Client c = new FakeClients.Client(d.port())) {
                for (int i = 0; i < 10; i++) assertEquals(c.status(i, 10, 3), 200);
            }
        }
    }
}
