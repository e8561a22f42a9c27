package mothcross.policy.net;

import com.google.gson.JsonParseException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
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
import mothcross.storage.FileReplacer;

/**
 * One director's directory of policy files: its voter's state, the last decided register, and the texts by digest. Each
 * file is replaced atomically and synced, and so is the directory. A JSON file begins with a line that has its
 * checksum; a file that does not match it is never used, nor is a directory of another fleet or of another director.
 */
final class PolicyStore {
    /** The directory can't be used as it is; an operator has to decide what to do with it. */
    static final class UnusableStoreException extends IOException {
        private static final long serialVersionUID = 1;

        UnusableStoreException(Path file, String reason) {
            super(file + ": " + reason);
        }
    }

    private record Owner(String fleet, String name) { }

    private static final String OWNER_FILE = "whose.json";
    private static final String VOTER_FILE = "voter.json";
    private static final String REGISTER_FILE = "book.json";
    private static final Pattern TEXT_FILE = Pattern.compile("text-([0-9a-f]{64})\\.json");

    private final FileReplacer replacer;
    private final Path directory;

    PolicyStore(FileReplacer replacer, Path directory, String fleet, String name) throws IOException {
        this.replacer = replacer;
        this.directory = directory;
        Owner owner = new Owner(fleet, name);
        Files.createDirectories(directory);
        Owner former = read(OWNER_FILE, Owner.class);
        if (former == null) {
            write(OWNER_FILE, owner);
        } else if (!former.equals(owner)) {
            throw new UnusableStoreException(directory.resolve(OWNER_FILE), "belongs to director " + former.name()
                + " of fleet " + former.fleet() + ", but this is " + name + " of " + fleet);
        }
    }

    /** The voter's state; null on a new disk. */
    Voter.State readVoterState() throws IOException {
        return read(VOTER_FILE, Voter.State.class);
    }

    /** The last decided register; null where none was written. */
    PolicyRegister readRegister() throws IOException {
        return read(REGISTER_FILE, PolicyRegister.class);
    }

    /** The texts by digest. A file that does not match its digest is left out, so that its text is fetched again. */
    Map<String, byte[]> readTexts() throws IOException {
        Map<String, byte[]> texts = new LinkedHashMap<>();
        try (Stream<Path> files = Files.list(directory)) {
            for (Path file : files.sorted().toList()) {
                Matcher matcher = TEXT_FILE.matcher(file.getFileName().toString());
                if (!matcher.matches()) continue;
                byte[] bytes = Files.readAllBytes(file);
                if (digest(bytes).equals(matcher.group(1))) texts.put(matcher.group(1), bytes);
            }
        }
        return texts;
    }

    void writeVoterState(Voter.State state) throws IOException {
        write(VOTER_FILE, state);
    }

    void writeRegister(PolicyRegister register) throws IOException {
        write(REGISTER_FILE, register);
    }

    void writeText(String digest, byte[] bytes) throws IOException {
        replacer.replace(directory.resolve(textFile(digest)), bytes);
    }

    void deleteText(String digest) throws IOException {
        Files.deleteIfExists(directory.resolve(textFile(digest)));
    }

    private static String textFile(String digest) {
        return "text-" + digest + ".json";
    }

    /** The SHA-256 of a text, in hexadecimal. */
    static String digest(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);             // each JDK has to provide SHA-256
        }
    }

    private <T> T read(String file, Class<T> type) throws IOException {
        Path path = directory.resolve(file);
        String content;
        try {
            content = Files.readString(path, StandardCharsets.UTF_8);
        } catch (NoSuchFileException e) {
            return null;
        }
        int lineEnd = content.indexOf('\n');
        if (lineEnd < 0 || !content.substring(0, lineEnd).equals(checksum(content.substring(lineEnd + 1)))) {
            throw new UnusableStoreException(path,
                "the checksum does not match: the file is damaged, or was not written by this program");
        }
        try {
            T value = PolicyMessageCodec.GSON.fromJson(content.substring(lineEnd + 1), type);
            if (value == null) throw new UnusableStoreException(path, "the file is empty");
            return value;
        } catch (JsonParseException | NullPointerException e) {
            throw new UnusableStoreException(path, "can't be parsed: " + e.getMessage());
        }
    }

    private void write(String file, Object value) throws IOException {
        String json = PolicyMessageCodec.GSON.toJson(value);
        replacer.replace(directory.resolve(file), (checksum(json) + "\n" + json).getBytes(StandardCharsets.UTF_8));
    }

    private static String checksum(String text) {
        CRC32C checksum = new CRC32C();
        checksum.update(text.getBytes(StandardCharsets.UTF_8));
        return String.format("%08x", checksum.getValue());
    }
}
