package mothcross.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import mothcross.membership.MembershipSnapshot;
import mothcross.membership.Purge;
import mothcross.membership.SnapshotFormat;
import org.pcollections.HashTreePMap;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Which of its two files the store reads, whatever a kill, a power failure or a clock set back left of them. */
public class SnapshotFileStoreTest {
    private static final double NOW = 1_000_000;
    private static final double CLOCK_SKEW_MS = 5000;

    private static MembershipSnapshot snapshot(long event, double savedAt) {
        return new MembershipSnapshot("fleet", "d1", savedAt, 0, event, savedAt, HashTreePMap.empty(), List.of());
    }

    private static SnapshotFormat.Result read(SnapshotFileStore store) {
        return store.read(NOW, CLOCK_SKEW_MS);
    }

    /** The files of a store by the suffix of their names, and the last event that is left where one is cut. */
    @DataProvider public Object[][] files() {
        return new Object[][] {{"", 7}, {".recent-1", 7}, {".recent-2", 6}};
    }

    /** Guards against a cut of one file making the other ones' list unusable. */
    @Test(dataProvider = "files") public void aCutAtAnyByteLeavesAUsableList(String suffix, int eventIfCut)
        throws Exception {
        Path directory = Files.createTempDirectory("mothcross");
        Path file = directory.resolve("list");
        SnapshotFileStore store = new SnapshotFileStore(file, "fleet", "d1");
        store.sync(snapshot(5, NOW - 10));
        store.write(snapshot(6, NOW - 5));
        store.write(snapshot(7, NOW));
        Path cutFile = directory.resolve("list" + suffix);
        byte[] whole = Files.readAllBytes(cutFile);
        for (int length = 1; length < whole.length; length++) {
            Files.write(cutFile, Arrays.copyOf(whole, length));
            SnapshotFormat.Result result = read(store);
            assertNotNull(result.snapshot(), "cut at byte " + length);
            assertEquals(result.snapshot().lastEvent(), eventIfCut, "cut at byte " + length);
            assertNotNull(result.error(), "the cut is reported; at byte " + length);
        }
        Files.write(cutFile, whole);
        assertEquals(read(store).snapshot().lastEvent(), 7);
    }

    /** Guards against a kill in the middle of a write: what the file had before lies behind what was written. */
    @Test public void aWriteThatIsCutLeavesTheOneBefore() throws Exception {
        Path directory = Files.createTempDirectory("mothcross");
        SnapshotFileStore store = new SnapshotFileStore(directory.resolve("list"), "fleet", "d1");
        store.write(snapshot(1, NOW - 30));
        store.write(snapshot(2, NOW - 20));
        Path file = directory.resolve("list.recent-1");
        byte[] before = Files.readAllBytes(file);
        store.write(snapshot(3, NOW - 10));
        byte[] after = Files.readAllBytes(file);
        for (int written = 0; written <= after.length; written++) {
            byte[] cut = before.clone();
            System.arraycopy(after, 0, cut, 0, written);
            Files.write(file, cut);
            long expected = Arrays.equals(cut, after) ? 3 : 2;
            assertEquals(read(store).snapshot().lastEvent(), expected, "cut after byte " + written);
        }
    }

    /** Guards against the newest list being overwritten first by the next process, and lost if it is cut there. */
    @Test public void theNextProcessOverwritesTheOlderFileFirst() throws Exception {
        Path directory = Files.createTempDirectory("mothcross");
        Path file = directory.resolve("list");
        new SnapshotFileStore(file, "fleet", "d1").write(snapshot(1, NOW - 30));
        for (int event = 2; event <= 5; event++) {
            new SnapshotFileStore(file, "fleet", "d1").write(snapshot(event, NOW));
            assertEquals(read(new SnapshotFileStore(file, "fleet", "d1")).snapshot().lastEvent(), event);
            Files.write(directory.resolve("list.recent-" + (2 - event % 2)), new byte[] {1});
            assertEquals(read(new SnapshotFileStore(file, "fleet", "d1")).snapshot().lastEvent(), event - 1,
                "the one before is in the other file");
            new SnapshotFileStore(file, "fleet", "d1").write(snapshot(event, NOW));
        }
    }

    /** A shorter list in the place of a longer one is whole. */
    @Test public void aShorterListReplacesALongerOne() throws Exception {
        SnapshotFileStore store = new SnapshotFileStore(Files.createTempDirectory("mothcross").resolve("list"), "fleet",
            "d1");
        MembershipSnapshot longer = new MembershipSnapshot("fleet", "d1", NOW, 0, 1, NOW, HashTreePMap.empty(),
            List.of(new Purge(1, 2, NOW), new Purge(3, 4, NOW)));
        store.write(longer);
        store.write(longer);
        store.write(snapshot(2, NOW));
        assertEquals(read(store).snapshot().lastEvent(), 2);
        assertEquals(read(store).error(), null);
    }

    /** Guards against the loss of what was written between two syncs. */
    @Test public void aKillBeforeTheSyncLosesNothing() throws Exception {
        Path file = Files.createTempDirectory("mothcross").resolve("list");
        SnapshotFileStore store = new SnapshotFileStore(file, "fleet", "d1");
        store.write(snapshot(1, NOW - 10));
        assertEquals(read(store).snapshot().lastEvent(), 1);
        store.sync(snapshot(1, NOW - 10));
        store.write(snapshot(2, NOW - 5));
        assertEquals(read(store).snapshot().lastEvent(), 2);
    }

    /** Guards against an older list being taken for the newer one after the clock was set back. */
    @Test public void theEventNumberDecidesBeforeTheClock() throws Exception {
        Path file = Files.createTempDirectory("mothcross").resolve("list");
        SnapshotFileStore store = new SnapshotFileStore(file, "fleet", "d1");
        store.sync(snapshot(5, NOW + 1000));
        store.write(snapshot(6, NOW - 1000));
        assertEquals(read(store).snapshot().lastEvent(), 6);
        store.sync(snapshot(6, NOW));
        assertEquals(read(store).snapshot().savedAt(), NOW, "of the same event the one saved last");
    }

    /** Guards against a stale file left by a power failure, or by an earlier build, hiding the synced one. */
    @Test public void anOldRecentFileIsNotUsed() throws Exception {
        Path file = Files.createTempDirectory("mothcross").resolve("list");
        SnapshotFileStore store = new SnapshotFileStore(file, "fleet", "d1");
        store.write(snapshot(3, NOW - 100));
        store.sync(snapshot(7, NOW));
        assertEquals(read(store).snapshot().lastEvent(), 7);
    }
}
