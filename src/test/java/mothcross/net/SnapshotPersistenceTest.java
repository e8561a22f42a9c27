package mothcross.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import mothcross.membership.MembershipSnapshot;
import mothcross.membership.WriteScheduler;
import org.pcollections.HashTreePMap;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Drives the persistence of the membership in virtual time, with writes and syncs of given lengths and outcomes. */
public class SnapshotPersistenceTest {
    private static final double URGENT_MS = 100;
    private static final double BATCH_MS = 1000;
    private static final double PLAY_MS = 60_000;
    private static final int MAX_WRITE_MS = 40;
    private static final double NEVER = Double.POSITIVE_INFINITY;

    /** How the disk treats the syncs of a play. */
    private interface SyncBehaviour {
        /** How long the sync takes; {@link #NEVER} for one that does not end. */
        double lengthMs(SplittableRandom random);
    }

    private record Change(long event, boolean urgent, double madeAt) { }

    private record Task(double at, Runnable action) { }

    /** A disk in virtual time, with the persistence that stores to it. */
    private static final class Play {
        final SplittableRandom random;
        final PriorityQueue<Task> tasks = new PriorityQueue<>((a, b) -> Double.compare(a.at, b.at));
        final List<Change> changes = new ArrayList<>();
        final SnapshotPersistence persistence;
        final SyncBehaviour syncBehaviour;
        boolean syncsFail;
        double now;
        long writtenEvent;
        long syncedEvent;
        int writesUnderWay;
        int syncsUnderWay;

        Play(long seed, SyncBehaviour syncBehaviour) {
            random = new SplittableRandom(seed);
            this.syncBehaviour = syncBehaviour;
            persistence = new SnapshotPersistence(new WriteScheduler(URGENT_MS, BATCH_MS), this::state, this::write,
                this::sync);
        }

        private MembershipSnapshot state(double at) {
            return new MembershipSnapshot("fleet", "d1", at, 0, changes.size(), at, HashTreePMap.empty(), List.of());
        }

        private void write(MembershipSnapshot snapshot) {
            assertEquals(writesUnderWay++, 0, "one write at a time");
            double tookMs = random.nextInt(MAX_WRITE_MS);
            tasks.add(new Task(now + tookMs, () -> {
                writesUnderWay--;
                writtenEvent = snapshot.lastEvent();
                persistence.writeEnded(new SnapshotWorker.Outcome(snapshot, null, 0, tookMs), now);
            }));
        }

        private void sync(MembershipSnapshot snapshot) {
            assertEquals(syncsUnderWay++, 0, "one sync at a time");
            assertTrue(snapshot.lastEvent() <= writtenEvent, "only what was written is synced");
            double tookMs = syncBehaviour.lengthMs(random);
            if (tookMs == NEVER) return;
            boolean fails = syncsFail;
            tasks.add(new Task(now + tookMs, () -> {
                syncsUnderWay--;
                if (!fails) syncedEvent = snapshot.lastEvent();
                persistence.syncEnded(new SnapshotWorker.Outcome(snapshot, fails ? "fails" : null, 0, tookMs), now);
            }));
        }

        void change(boolean urgent) {
            changes.add(new Change(changes.size() + 1, urgent, now));
            persistence.changed(urgent, now);
        }

        /** Goes on by one millisecond. */
        void step() {
            now++;
            while (!tasks.isEmpty() && tasks.peek().at <= now) tasks.remove().action.run();
            persistence.advance(now);
            persistence.checkBounds(now);
        }

        /** Plays random changes, one in four urgent, and checks at each millisecond what a kill would leave. */
        void playAndCheckKills() {
            int due = 0;
            while (now < PLAY_MS) {
                if (random.nextInt(60) == 0) change(random.nextInt(4) == 0);
                step();
                while (due < changes.size() && isDue(changes.get(due))) due++;
                assertTrue(writtenEvent >= due, "a kill at " + now + " loses change " + (writtenEvent + 1));
            }
        }

        private boolean isDue(Change change) {
            return now > change.madeAt + (change.urgent ? URGENT_MS : BATCH_MS);
        }
    }

    /** Lengths of syncs: of a healthy disk, of a busy one, seconds, and one that never ends. */
    @DataProvider public Object[][] syncs() {
        SyncBehaviour healthy = random -> random.nextInt(20);
        SyncBehaviour busy = random -> random.nextInt(1500);
        SyncBehaviour seconds = random -> 3000 + random.nextInt(7000);
        SyncBehaviour hung = random -> NEVER;
        return new Object[][] {{"healthy", healthy}, {"busy", busy}, {"seconds", seconds}, {"hung", hung}};
    }

    /** Guards against a slow sync that delays the write of a drain beyond the bound for a kill. */
    @Test(dataProvider = "syncs") public void syncsOfAnyLengthDelayNoWrite(String name, SyncBehaviour behaviour) {
        for (long seed = 1; seed <= 20; seed++) {
            Play play = new Play(seed, behaviour);
            play.playAndCheckKills();
            assertTrue(play.changes.size() > 100, name + ", seed " + seed);
            assertEquals(play.persistence.writes().lateCount(), 0, name + ", seed " + seed);
        }
    }

    /** Guards against syncs that fail and are taken for failed writes. */
    @Test public void failedSyncsDelayNoWrite() {
        Play play = new Play(1, random -> random.nextInt(20));
        play.syncsFail = true;
        play.playAndCheckKills();
        assertEquals(play.syncedEvent, 0);
        assertTrue(play.persistence.syncs().failed() > 0);
        assertEquals(play.persistence.syncs().lateCount(), 1, "late all the time");
        play.syncsFail = false;
        for (int i = 0; i < 60_000; i++) play.step();
        assertEquals(play.syncedEvent, play.changes.size(), "all is synced once syncs succeed again");
    }

    /** All that was written is synced, by its own bound where the disk is healthy. */
    @Test public void whatIsWrittenIsSyncedWithinTheBoundOfAHealthyDisk() {
        Play play = new Play(3, random -> random.nextInt(20));
        play.playAndCheckKills();
        for (int i = 0; i < 2 * BATCH_MS; i++) play.step();
        assertEquals(play.syncedEvent, play.changes.size());
        assertEquals(play.persistence.syncs().lateCount(), 0);
    }

    /** Guards against a hung sync that nobody is told of. */
    @Test public void aHungSyncIsReportedAsLate() {
        Play play = new Play(4, random -> NEVER);
        play.change(true);
        while (play.now < URGENT_MS - 1) play.step();
        assertEquals(play.persistence.syncs().lateCount(), 0);
        while (play.now < URGENT_MS + 2) play.step();
        assertEquals(play.persistence.syncs().lateCount(), 1);
        assertEquals(play.persistence.writes().lateCount(), 0);
    }

    /** Guards against a drain whose write failed being batched like any other change when it is tried again. */
    @Test public void aFailedUrgentWriteStaysUrgent() {
        WriteScheduler scheduler = new WriteScheduler(URGENT_MS, 600_000);
        scheduler.changed(true, 0);
        scheduler.writeStarted(0);
        scheduler.writeEnded(false, 1);
        assertTrue(scheduler.nextWriteAt() <= 1001, "tried again at " + scheduler.nextWriteAt());
    }

    /** Guards against a reload of the settings that forgets that a waiting change is urgent. */
    @Test public void newBoundsKeepTheUrgencyOfWaitingChanges() {
        WriteScheduler scheduler = new WriteScheduler(URGENT_MS, BATCH_MS);
        scheduler.writeStarted(0);
        scheduler.changed(true, 10);
        scheduler.setBounds(URGENT_MS, 600_000);
        assertEquals(scheduler.nextWriteAt(), NEVER, "a write is under way");
        scheduler.writeEnded(true, 20);
        assertEquals(scheduler.nextWriteAt(), URGENT_MS / 2);
    }

    /** At the end of the process all that is left is written at once, also when a write is under way. */
    @Test public void flushWritesWhatAWriteUnderWayLeftOut() {
        Play play = new Play(5, random -> 0);
        play.change(true);
        play.persistence.advance(play.now);
        play.change(true);
        play.persistence.flush(play.now);
        for (int i = 0; i < 2 * MAX_WRITE_MS; i++) play.step();
        assertEquals(play.writtenEvent, 2);
        assertEquals(play.syncedEvent, 2);
    }
}
