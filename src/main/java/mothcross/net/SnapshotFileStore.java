package mothcross.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import mothcross.membership.MembershipSnapshot;
import mothcross.membership.SnapshotFormat;

/**
 * Stores the membership snapshot in one file. The file is replaced atomically and never changed in place: the new
 * content is written to a temporary file, synced and renamed, then the directory is synced. A lock file keeps a
 * second director from writing.
 */
public final class SnapshotFileStore implements SnapshotStore {
    private static final long MAX_FILE_BYTES = 256 << 20;
    private final Path file;
    private final Path temporaryFile;
    private final Path lockFile;
    private final String fleet;
    private final String director;
    private FileChannel lockChannel;
    private FileLock lock;

    /** With {@code fleet} or {@code director} null, a snapshot of any fleet or director can be read. */
    public SnapshotFileStore(Path file, String fleet, String director) {
        this.file = file.toAbsolutePath();
        this.fleet = fleet;
        this.director = director;
        this.temporaryFile = this.file.resolveSibling(this.file.getFileName() + ".new");
        this.lockFile = this.file.resolveSibling(this.file.getFileName() + ".lock");
    }

    @Override public SnapshotFormat.Result read(double now, double skewMs) {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                return SnapshotFormat.Result.failed(SnapshotFormat.ReadError.NOT_A_LIST, "larger than " + MAX_FILE_BYTES
                    + " bytes");
            }
            return SnapshotFormat.decode(Files.readAllBytes(file), fleet, director, now, skewMs);
        } catch (NoSuchFileException e) {
            return null;
        } catch (IOException e) {
            return SnapshotFormat.Result.failed(SnapshotFormat.ReadError.UNREADABLE, e.getClass().getSimpleName() + ": "
                + e.getMessage());
        }
    }

    @Override public boolean acquireWriteLock() {
        if (lock != null) return true;
        try {
            if (lockChannel == null) {
                lockChannel = FileChannel.open(lockFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            }
            lock = lockChannel.tryLock();
        } catch (OverlappingFileLockException e) {
            return false;                                   // held by another director of this process
        } catch (IOException e) {
            return true;                                    // a disk that can't be written fails at the first write
        }
        return lock != null;
    }

    @Override public void write(MembershipSnapshot snapshot) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(SnapshotFormat.encode(snapshot));
        try (FileChannel out = FileChannel.open(temporaryFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
            while (bytes.hasRemaining()) out.write(bytes);
            out.force(true);
        }
        Files.move(temporaryFile, file, StandardCopyOption.ATOMIC_MOVE);
        try (FileChannel directory = FileChannel.open(file.getParent(), StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    @Override public void close() {
        try {
            if (lockChannel != null) lockChannel.close();
        } catch (IOException e) {
            lock = null;                                    // the system releases it with the process
        }
    }
}
