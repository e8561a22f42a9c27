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
 * A kept list as one file, replaced whole: written beside, synced, renamed, and the folder synced. Owns the file,
 * the one beside it, and the lock that keeps a second director from writing. Must never change the file in place.
 */
public final class SnapshotFileStore implements SnapshotStore {
    private static final long LARGEST = 256 << 20;
    private final Path file, beside, lockFile;
    private final String fleet, director;
    private FileChannel locked;
    private FileLock lock;

    /** {@code fleet}, {@code director} null: for those who only look. */
    public SnapshotFileStore(Path file, String fleet, String director) {
        this.file = file.toAbsolutePath();
        this.fleet = fleet;
        this.director = director;
        this.beside = this.file.resolveSibling(this.file.getFileName() + ".new");
        this.lockFile = this.file.resolveSibling(this.file.getFileName() + ".lock");
    }

    @Override public SnapshotFormat.Result read(double now, double skew) {
        try {
            if (Files.size(file) > LARGEST) {
                return SnapshotFormat.Result.failed(SnapshotFormat.ReadError.NOT_A_LIST, "larger than " + LARGEST
                    + " bytes");
            }
            return SnapshotFormat.decode(Files.readAllBytes(file), fleet, director, now, skew);
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
            if (locked == null) {
                locked = FileChannel.open(lockFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            }
            lock = locked.tryLock();
        } catch (OverlappingFileLockException e) {
            return false;                                   // another one in this process
        } catch (IOException e) {
            return true;                                    // a disk that can't be written says so when it is
        }
        return lock != null;
    }

    @Override public void write(MembershipSnapshot list) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(SnapshotFormat.encode(list));
        try (FileChannel out = FileChannel.open(beside, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
            while (bytes.hasRemaining()) out.write(bytes);
            out.force(true);
        }
        Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE);
        try (FileChannel folder = FileChannel.open(file.getParent(), StandardOpenOption.READ)) {
            folder.force(true);
        }
    }

    @Override public void close() {
        try {
            if (locked != null) locked.close();
        } catch (IOException e) {
            lock = null;                                    // the system lets go of it with the process
        }
    }
}
