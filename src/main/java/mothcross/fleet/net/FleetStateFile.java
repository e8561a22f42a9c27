package mothcross.fleet.net;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import com.google.gson.annotations.SerializedName;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.zip.CRC32C;
import mothcross.storage.FileReplacer;

/**
 * The file that a member keeps for its next start: its incarnation, and the addresses of other members. It has two
 * lines, a checksum and JSON, and is replaced atomically and synced. A file that fails its checksum, or is of another
 * fleet or name, is not used: the incarnation is then drawn from the clock.
 */
final class FleetStateFile {
    /** The content of the file. */
    record State(String fleet, String name, @SerializedName("life") long incarnation, List<String> addresses) { }

    private final FileReplacer replacer;
    private final Path file;
    private final String fleet;
    private final String name;

    FleetStateFile(FileReplacer replacer, Path file, String fleet, String name) {
        this.replacer = replacer;
        this.file = file;
        this.fleet = fleet;
        this.name = name;
    }

    /** The saved state; null where there is no usable file. Appends the reason to {@code why} unless there is none. */
    State read(StringBuilder why) {
        try {
            String content = Files.readString(file, StandardCharsets.UTF_8);
            int newline = content.indexOf('\n');
            if (newline < 0 || !content.substring(0, newline).equals(checksum(content.substring(newline + 1)))) {
                why.append("checksum mismatch");
                return null;
            }
            State state = new Gson().fromJson(content.substring(newline + 1), State.class);
            if (state.fleet().equals(fleet) && state.name().equals(name)) return state;
            why.append("it belongs to ").append(state.name()).append(" in fleet ").append(state.fleet());
        } catch (NoSuchFileException e) {
            return null;
        } catch (IOException | JsonParseException | NullPointerException e) {
            why.append(e);
        }
        return null;
    }

    /** Replaces the file; may wait for the disk. */
    void write(long incarnation, List<String> addresses) throws IOException {
        String json = new Gson().toJson(new State(fleet, name, incarnation, addresses));
        replacer.replace(file, (checksum(json) + "\n" + json).getBytes(StandardCharsets.UTF_8));
    }

    private static String checksum(String text) {
        CRC32C crc = new CRC32C();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return String.format("%08x", crc.getValue());
    }
}
