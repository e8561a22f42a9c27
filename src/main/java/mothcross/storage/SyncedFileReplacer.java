package mothcross.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** Writes a temporary file beside the one to be replaced, syncs it, renames it, and syncs the directory. */
public final class SyncedFileReplacer implements FileReplacer {
    private static final String TEMPORARY_SUFFIX = ".new";

    @Override public void replace(Path file, byte[] content) throws IOException {
        Path target = file.toAbsolutePath();
        Path temporary = target.resolveSibling(target.getFileName() + TEMPORARY_SUFFIX);
        try (FileChannel channel = FileChannel.open(temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer buffer = ByteBuffer.wrap(content);
            while (buffer.hasRemaining()) channel.write(buffer);
            channel.force(true);
        }
        Files.move(temporary, target, StandardCopyOption.ATOMIC_MOVE);
        try (FileChannel directory = FileChannel.open(target.getParent(), StandardOpenOption.READ)) {
            directory.force(true);
        }
    }
}
