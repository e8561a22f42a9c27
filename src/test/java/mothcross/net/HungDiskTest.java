package mothcross.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import mothcross.membership.MembershipSnapshot;
import mothcross.membership.SnapshotFormat;
import mothcross.standin.FakeClients;
import mothcross.standin.FakeDiscovery;
import org.testng.annotations.Test;

/** A director whose disk does not finish a sync: it serves, keeps what it is told and ends in time. */
@Test(timeOut = 60_000)
public class HungDiskTest {
    private static final long NANOS_PER_MS = 1_000_000;

    /** A store whose syncs wait until they are released. */
    private static final class HungStore implements SnapshotStore {
        private final SnapshotFileStore files;
        private final CountDownLatch syncStarted = new CountDownLatch(1);
        private final CountDownLatch released = new CountDownLatch(1);

        HungStore(SnapshotFileStore files) {
            this.files = files;
        }

        @Override public SnapshotFormat.Result read(double now, double skewMs) {
            return files.read(now, skewMs);
        }

        @Override public boolean acquireWriteLock() {
            return files.acquireWriteLock();
        }

        @Override public void write(MembershipSnapshot snapshot) throws IOException {
            files.write(snapshot);
        }

        @Override public void sync(MembershipSnapshot snapshot) throws IOException {
            syncStarted.countDown();
            try {
                released.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            files.sync(snapshot);
        }

        @Override public void close() {
            files.close();
        }
    }

    /** Guards against a hung sync that holds up lookups, the write of a drain, or the end of the process. */
    @Test public void aHungSyncHoldsUpNothing() throws Exception {
        try (Fleet fleet = new Fleet(2)) {
            fleet.discovery.sendSnapshot(fleet.all());
            fleet.discovery.startListening();
            SnapshotFileStore files = new SnapshotFileStore(fleet.snapshotFile("d1"), "fleet", "d1");
            HungStore store = new HungStore(files);
            DirectorServer director = new DirectorServer(fleet.startupConfig("d1"),
                fleet.membershipSettings("d1", Fleet.AGES), store);
            director.start();
            try {
                store.syncStarted.await();
                long event = fleet.discovery.sendChanges(FakeDiscovery.DRAINING, fleet.caches.get(0));
                Fleet.awaitTrue("a kill would leave the drain", () -> storedEvent(files) == event);
                try (FakeClients.Client client = new FakeClients.Client(director.port())) {
                    for (int i = 0; i < 20; i++) assertEquals(client.status(i, 10, 3), 200);
                }
                assertEquals(fleet.caches.get(0).arrivalCount(), 0);
                long lastEvent = fleet.discovery.sendChanges(FakeDiscovery.DRAINING, fleet.caches.get(1));
                Fleet.awaitTrue("event " + lastEvent, () -> Fleet.lastEvent(director) == lastEvent);
                long stoppedAt = System.nanoTime();
                director.stop();
                double tookMs = (double) (System.nanoTime() - stoppedAt) / NANOS_PER_MS;
                // The protocol page: the longest deadline and 0.7 s after SIGTERM the process may be killed.
                double killAfterMs = ShutdownSequence.MAX_ANSWER_MS + ShutdownSequence.LATE_ARRIVALS_MS;
                assertTrue(tookMs < killAfterMs, "ended after ms: " + tookMs);
                assertEquals(storedEvent(files), lastEvent, "the end of the process leaves the last drain");
            } finally {
                store.released.countDown();
                director.release();
            }
        }
    }

    private static long storedEvent(SnapshotFileStore files) {
        SnapshotFormat.Result result = files.read(System.currentTimeMillis(), Fleet.AGES.clockSkewMs());
        return result == null || result.snapshot() == null ? -1 : result.snapshot().lastEvent();
    }
}
