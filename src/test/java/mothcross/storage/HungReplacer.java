package mothcross.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

/** A disk that works until it is told to hang, and then finishes nothing until it is released. */
public final class HungReplacer implements FileReplacer, AutoCloseable {
    private final FileReplacer files = new SyncedFileReplacer();
    private final CountDownLatch writeHangs = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);
    private volatile boolean hanging;

    /** From now on nothing is finished. */
    public void hang() {
        hanging = true;
    }

    /** Waits until something waits for the disk. */
    public void awaitHungWrite() throws InterruptedException {
        writeHangs.await();
    }

    @Override public void replace(Path file, byte[] content) throws IOException {
        if (hanging) {
            writeHangs.countDown();
            try {
                released.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }
        files.replace(file, content);
    }

    @Override public void close() {
        released.countDown();
    }
}
