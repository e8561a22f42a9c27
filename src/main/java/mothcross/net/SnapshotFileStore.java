package mothcross.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;
import mothcross.membership.MembershipSnapshot;
import mothcross.membership.SnapshotFormat;
import mothcross.storage.FileReplacer;
import mothcross.storage.SyncedFileReplacer;

/**
 * Stores the membership snapshot in three files beside each other:
 * <pre>
 * FILE                            replaced by a synced file, see SyncedFileReplacer:
 *                                 survives a power failure
 * FILE.recent-1, FILE.recent-2    written in place, in turns, with no sync: one of them survives a kill of the process
 * </pre>
 * Each snapshot is written to one of the recent files before it is synced to FILE. A kill may damage the one that is
 * being written, a power failure both; a checksum shows it, and the newest snapshot that is whole is read. They are
 * written in place, since file systems wait for the disk where a file is renamed over another one. A lock file keeps a
 * second director from writing.
 */
public final class SnapshotFileStore implements SnapshotStore {
    private static final long MAX_FILE_BYTES = 256 << 20;
    private static final List<String> RECENT_SUFFIXES = List.of(".recent-1", ".recent-2");
    private static final String LOCK_SUFFIX = ".lock";
    private static final int NOT_CHOSEN = -1;

    private final FileReplacer syncedReplacer = new SyncedFileReplacer();
    private final Path syncedFile;
    private final List<Path> recentFiles;
    private final Path lockFile;
    private final String fleet;
    private final String director;
    /** The index of the recent file that is written next. */
    private int nextRecentFile = NOT_CHOSEN;
    private FileChannel lockChannel;
    private FileLock lock;

    /** With {@code fleet} or {@code director} null, a snapshot of any fleet or director can be read. */
    public SnapshotFileStore(Path file, String fleet, String director) {
        this.syncedFile = file.toAbsolutePath();
        this.recentFiles = RECENT_SUFFIXES.stream().map(this::sibling).toList();
        this.lockFile = sibling(LOCK_SUFFIX);
        this.fleet = fleet;
        this.director = director;
    }

    private Path sibling(String suffix) {
        return syncedFile.resolveSibling(syncedFile.getFileName() + suffix);
    }

    // ---- reading ----

    @Override public SnapshotFormat.Result read(double now, double skewMs) {
        return Stream.concat(Stream.of(syncedFile), recentFiles.stream())
            .map(file -> read(file, now, skewMs))
            .filter(Objects::nonNull)
            .reduce(SnapshotFileStore::newerOf)
            .orElse(null);
    }

    /** The newer snapshot, with the first error of the two. */
    private static SnapshotFormat.Result newerOf(SnapshotFormat.Result first, SnapshotFormat.Result second) {
        MembershipSnapshot newer = first.snapshot();
        MembershipSnapshot other = second.snapshot();
        if (newer == null || other != null && other.isNewerThan(newer)) newer = other;
        SnapshotFormat.Result failed = first.error() != null ? first : second;
        return new SnapshotFormat.Result(newer, failed.error(), failed.text());
    }

    /** Null where there is no such file, or it was created and never written. */
    private SnapshotFormat.Result read(Path file, double now, double skewMs) {
        SnapshotFormat.Result result;
        try {
            long size = Files.size(file);
            boolean recent = recentFiles.contains(file);
            if (recent && size == 0) return null;
            if (size > MAX_FILE_BYTES) {
                result = SnapshotFormat.Result.failed(SnapshotFormat.ReadError.NOT_A_LIST, "larger than "
                    + MAX_FILE_BYTES + " bytes");
            } else {
                byte[] bytes = Files.readAllBytes(file);
                if (recent) bytes = SnapshotFormat.withoutTrailingBytes(bytes);
                result = SnapshotFormat.decode(bytes, fleet, director, now, skewMs);
            }
        } catch (NoSuchFileException e) {
            return null;
        } catch (IOException e) {
            result = SnapshotFormat.Result.failed(SnapshotFormat.ReadError.UNREADABLE, e.getClass().getSimpleName()
                + ": " + e.getMessage());
        }
        if (result.error() == null) return result;
        return SnapshotFormat.Result.failed(result.error(), file.getFileName() + ": " + result.text());
    }

    // ---- writing ----

    @Override public boolean acquireWriteLock() {
        if (lock != null) return true;
        try {
            if (lockChannel == null) {
                lockChannel = FileChannel.open(lockFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            }
            lock = lockChannel.tryLock();
            if (lock == null) return false;
            // Creating a file may wait for the disk, so it is done before the first change has to be written.
            for (Path file : recentFiles) openRecent(file).close();
        } catch (OverlappingFileLockException e) {
            return false;                                   // held by another director of this process
        } catch (IOException e) {
            return true;                                    // a disk that can't be written fails at the first write
        }
        return true;
    }

    private static FileChannel openRecent(Path file) throws IOException {
        return FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    }

    @Override public void write(MembershipSnapshot snapshot) throws IOException {
        if (nextRecentFile == NOT_CHOSEN) nextRecentFile = olderRecentFile();
        ByteBuffer bytes = ByteBuffer.wrap(SnapshotFormat.encode(snapshot));
        try (FileChannel out = openRecent(recentFiles.get(nextRecentFile))) {
            while (bytes.hasRemaining()) out.write(bytes);
        }
        nextRecentFile = 1 - nextRecentFile;
    }

    /** The index of the file that does not have the newest snapshot. */
    private int olderRecentFile() {
        SnapshotFormat.Result first = read(recentFiles.get(0), Double.MAX_VALUE, 0);
        SnapshotFormat.Result second = read(recentFiles.get(1), Double.MAX_VALUE, 0);
        if (first == null || first.snapshot() == null) return 0;
        if (second == null || second.snapshot() == null) return 1;
        return second.snapshot().isNewerThan(first.snapshot()) ? 0 : 1;
    }

    @Override public void sync(MembershipSnapshot snapshot) throws IOException {
        syncedReplacer.replace(syncedFile, SnapshotFormat.encode(snapshot));
    }

    @Override public void close() {
        try {
            if (lockChannel != null) lockChannel.close();
        } catch (IOException e) {
            lock = null;                                    // the system releases it with the process
        }
    }
}
