package mothcross.storage;

import java.io.IOException;
import java.nio.file.Path;

/** Replaces files durably. May wait for the disk for as long as it takes. */
public interface FileReplacer {
    /**
     * Replaces a file, or creates it. Once this returns the new content survives a power failure; a crash before leaves
     * the old or the new content, never a part of it.
     */
    void replace(Path file, byte[] content) throws IOException;
}
