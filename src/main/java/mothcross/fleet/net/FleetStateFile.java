package mothcross.fleet.net;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * What a member keeps for its next start: the life that it is in, and where others were reached. A small file of two
 * lines, a checksum and JSON, replaced whole and synced. Owns the file; must never give out what does not fit its
 * checksum or is another fleet's or another name's: without it a life is drawn from the clock.
 */
final class FleetStateFile {
    record Kept(String fleet, String name, long life, List<String> addresses) { }

    private final Path file;
    private final String fleet, name;

    FleetStateFile(Path file, String fleet, String name) {
        this.file = file;
        this.fleet = fleet;
        this.name = name;
    }

    /** Null where there is none that can be used; {@code why} then has the reason, where there is one. */
    Kept read(StringBuilder why) {
        try {
            String all = Files.readString(file, StandardCharsets.UTF_8);
            int nl = all.indexOf('\n');
            if (nl < 0 || !all.substring(0, nl).equals(checksum(all.substring(nl + 1)))) {
                why.append("its checksum does not fit");
                return null;
            }
            Kept k = new Gson().fromJson(all.substring(nl + 1), Kept.class);
            if (k.fleet().equals(fleet) && k.name().equals(name)) return k;
            why.append("it is of ").append(k.name()).append(" in ").append(k.fleet());
        } catch (NoSuchFileException e) {
            return null;
        } catch (IOException | JsonParseException | NullPointerException e) {
            why.append(e);
        }
        return null;
    }

    void write(long life, List<String> addresses) throws IOException {
        String json = new Gson().toJson(new Kept(fleet, name, life, addresses));
        Path anew = file.resolveSibling(file.getFileName() + ".new");
        try (FileChannel c = FileChannel.open(anew, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer b = ByteBuffer.wrap((checksum(json) + "\n" + json).getBytes(StandardCharsets.UTF_8));
            while (b.hasRemaining()) c.write(b);
            c.force(true);
        }
        Files.move(anew, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    private static String checksum(String s) {
        CRC32C c = new CRC32C();
        c.update(s.getBytes(StandardCharsets.UTF_8));
        return String.format("%08x", c.getValue());
    }
}
