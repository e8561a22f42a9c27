package mothcross.policy.net;

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
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import java.util.zip.CRC32C;
import mothcross.policy.PolicyRegister;
import mothcross.policy.Voter;

/**
 * What one director keeps of the policy: a folder with what it promised as a voter, the last book, and the texts by
 * digest. Each file is replaced whole and synced, the folder too; a line with a checksum leads it. Owns the folder;
 * must never give out what does not fit its checksum, nor what another fleet's or another name's director kept there.
 */
final class PolicyStore {
    /** The folder can't be used as it is; nothing is guessed. */
    static final class Unusable extends IOException {
        private static final long serialVersionUID = 1;

        Unusable(Path file, String why) {
            super(file + ": " + why);
        }
    }

    private record Whose(String fleet, String name) { }

    private static final Pattern TEXT = Pattern.compile("text-([0-9a-f]{64})\\.json");
    private final Path dir;
    private final Whose whose;

    PolicyStore(Path dir, String fleet, String name) throws IOException {
        this.dir = dir;
        this.whose = new Whose(fleet, name);
        Files.createDirectories(dir);
        Whose before = read("whose.json", Whose.class);
        if (before == null) write("whose.json", whose);
        else if (!before.equals(whose)) {
            throw new Unusable(dir.resolve("whose.json"), "is of " + before.name() + " in " + before.fleet()
                + ", this is " + whose.name() + " in " + whose.fleet());
        }
    }

    /** Null where there is none: a new disk. */
    Voter.State voter() throws IOException {
        return read("voter.json", Voter.State.class);
    }

    PolicyRegister book() throws IOException {
        return read("book.json", PolicyRegister.class);
    }

    /** Those that still have their digest; others are as if they were not there, and are fetched again. */
    Map<String, byte[]> texts() throws IOException {
        Map<String, byte[]> all = new LinkedHashMap<>();
        try (Stream<Path> files = Files.list(dir)) {
            for (Path f : files.sorted().toList()) {
                Matcher m = TEXT.matcher(f.getFileName().toString());
                if (!m.matches()) continue;
                byte[] b = Files.readAllBytes(f);
                if (digest(b).equals(m.group(1))) all.put(m.group(1), b);
            }
        }
        return all;
    }

    void voter(Voter.State s) throws IOException {
        write("voter.json", s);
    }

    void book(PolicyRegister b) throws IOException {
        write("book.json", b);
    }

    void text(String digest, byte[] bytes) throws IOException {
        replace(text(digest), bytes);
    }

    void drop(String digest) throws IOException {
        Files.deleteIfExists(dir.resolve(text(digest)));
    }

    private static String text(String digest) {
        return "text-" + digest + ".json";
    }

    static String digest(byte[] b) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(b));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);             // every JDK has it
        }
    }

    private <T> T read(String file, Class<T> type) throws IOException {
        String all;
        try {
            all = Files.readString(dir.resolve(file), StandardCharsets.UTF_8);
        } catch (NoSuchFileException e) {
            return null;
        }
        int nl = all.indexOf('\n');
        if (nl < 0 || !all.substring(0, nl).equals(checksum(all.substring(nl + 1)))) {
            throw new Unusable(dir.resolve(file), "its checksum does not fit: not written by this program, or damaged");
        }
        try {
            T t = PolicyMessageCodec.GSON.fromJson(all.substring(nl + 1), type);
            if (t == null) throw new Unusable(dir.resolve(file), "is empty");
            return t;
        } catch (JsonParseException | NullPointerException e) {
            throw new Unusable(dir.resolve(file), "can't be read: " + e.getMessage());
        }
    }

    private void write(String file, Object o) throws IOException {
        String json = PolicyMessageCodec.GSON.toJson(o);
        replace(file, (checksum(json) + "\n" + json).getBytes(StandardCharsets.UTF_8));
    }

    /** When it returns, the new one is there whatever happens; before, the old one or the new one, never a part. */
    private void replace(String file, byte[] bytes) throws IOException {
        Path anew = dir.resolve(file + ".new");
        try (FileChannel c = FileChannel.open(anew, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer b = ByteBuffer.wrap(bytes);
            while (b.hasRemaining()) c.write(b);
            c.force(true);
        }
        Files.move(anew, dir.resolve(file), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel d = FileChannel.open(dir, StandardOpenOption.READ)) {
            d.force(true);
        }
    }

    private static String checksum(String s) {
        CRC32C c = new CRC32C();
        c.update(s.getBytes(StandardCharsets.UTF_8));
        return String.format("%08x", c.getValue());
    }
}
