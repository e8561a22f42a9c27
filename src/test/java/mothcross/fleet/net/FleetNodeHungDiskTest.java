package mothcross.fleet.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import mothcross.fleet.FailureDetectorSettings;
import mothcross.fleet.LimitShare;
import mothcross.storage.FileReplacer;
import mothcross.storage.HungReplacer;
import mothcross.storage.SyncedFileReplacer;
import org.testng.annotations.Test;

/** A member whose disk does not finish a write goes on taking part, and leaves in time. */
@Test(timeOut = 90_000)
public class FleetNodeHungDiskTest {
    private static final double LEASE_MS = 5000;
    private static final double MARGIN_MS = 1000;
    private static final long CLOSE_TIMEOUT_S = 5;
    private static final double PERIOD_MS = 100;
    private static final double ACK_TIMEOUT_MS = 40;
    private static final double EVICTION_DELAY_MS = 2000;
    private static final FailureDetectorSettings DEFAULTS = FailureDetectorSettings.DEFAULTS;
    private static final FailureDetectorSettings SETTINGS = new FailureDetectorSettings(PERIOD_MS, ACK_TIMEOUT_MS,
        DEFAULTS.indirectProbes(), DEFAULTS.suspicionRounds(), DEFAULTS.rings(), DEFAULTS.lowShare(),
        DEFAULTS.highShare(), EVICTION_DELAY_MS, DEFAULTS.proposalDelayMs(), DEFAULTS.rejoinDelayMs(),
        DEFAULTS.forgetAfterMs());
    private static final long POLL_MS = 10;

    private static InetSocketAddress freeAddress() throws Exception {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
        }
    }

    private static FleetNode node(String name, InetSocketAddress listen, List<InetSocketAddress> seeds,
                                  FileReplacer replacer) throws Exception {
        FleetMessageCodec.Key key = new FleetMessageCodec.Key(1,
            "a key of at least thirty-two bytes for tests".getBytes(StandardCharsets.UTF_8));
        FleetNode node = new FleetNode("fleet", name, listen, seeds, List.of(key),
            Files.createTempDirectory("mothcross").resolve("state"), SETTINGS,
            new LimitShare(2, LEASE_MS, MARGIN_MS), null, 0, share -> { }, replacer);
        node.start();
        return node;
    }

    /** Guards against the state file being written under the lock that messages and the end of the process need. */
    @Test public void aHungDiskHoldsUpNoMessage() throws Exception {
        InetSocketAddress first = freeAddress();
        InetSocketAddress second = freeAddress();
        try (HungReplacer disk = new HungReplacer()) {
            FleetNode hung = node("d1", first, List.of(second), disk);
            disk.hang();
            FleetNode other = node("d2", second, List.of(first), new SyncedFileReplacer());
            while (hung.members().size() < 2 || other.members().size() < 2) Thread.sleep(POLL_MS);
            disk.awaitHungWrite();
            CompletableFuture.runAsync(() -> hung.send("d2", new byte[] {1})).get(CLOSE_TIMEOUT_S, TimeUnit.SECONDS);
            // Longer than it takes to remove a member that is silent.
            Thread.sleep((long) (3 * EVICTION_DELAY_MS));
            assertEquals(other.members().size(), 2, "the member is not taken for dead");
            CompletableFuture<Void> closed = CompletableFuture.runAsync(hung::close);
            closed.get(CLOSE_TIMEOUT_S, TimeUnit.SECONDS);
            assertTrue(closed.isDone());
            assertFalse(closed.isCompletedExceptionally());
            other.close();
        }
    }
}
