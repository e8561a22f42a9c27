package mothcross.net;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.math.BigInteger;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import mothcross.adapter.DirectorSettings;
import mothcross.adapter.FieldMap;

/**
 * A director's configuration, read from its JSON file. Every required value has to be in the file: none has a default
 * here. A file that can't be used is reported as a message of one line.
 */
public final class StartupConfig {
    /** The file, or a value in it, can't be used. */
    public static final class InvalidConfigException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidConfigException(String text) {
            super(text);
        }
    }

    public final String name;
    public final InetSocketAddress listen;
    public final InetSocketAddress discovery;
    public final DirectorSettings directorSettings;
    /** The number of file descriptors that may be used for sockets. */
    public final int sockets;
    public final int maxHops;
    public final double memoryMb;
    /** The list and purges as of the file; null where it has none. */
    final JsonObject known;
    final JsonObject settings;
    /** When the file was written, Unix ms; taken as the age of {@link #known}. */
    final double writtenAt;

    private StartupConfig(String name, InetSocketAddress listen, InetSocketAddress discovery,
                          DirectorSettings directorSettings, int sockets, double memoryMb, int maxHops,
                          JsonObject known, double writtenAt, JsonObject settings) {
        this.name = name;
        this.listen = listen;
        this.discovery = discovery;
        this.directorSettings = directorSettings;
        this.sockets = sockets;
        this.memoryMb = memoryMb;
        this.maxHops = maxHops;
        this.known = known;
        this.writtenAt = writtenAt;
        this.settings = settings;
    }

    /** Reads a file that must have a list; {@code listen}, where not null, overrides the file's address. */
    public static StartupConfig read(Path file, String listen) throws InvalidConfigException {
        return read(file, listen, true);
    }

    /** With {@code needsKnown} false, the file may come without a list. */
    public static StartupConfig read(Path file, String listen, boolean needsKnown) throws InvalidConfigException {
        String text;
        double writtenAt;
        try {
            text = Files.readString(file, StandardCharsets.UTF_8);
            writtenAt = Files.getLastModifiedTime(file).toMillis();
        } catch (IOException e) {
            throw new InvalidConfigException("can't read " + file + ": " + e.getClass().getSimpleName());
        }
        try {
            return parse(JsonParser.parseString(text).getAsJsonObject(), listen, needsKnown, writtenAt);
        } catch (FieldMap.MalformedFieldException e) {
            throw new InvalidConfigException(file + ": " + e.getMessage());
        } catch (RuntimeException e) {
            throw new InvalidConfigException(file + ": " + String.valueOf(e.getMessage()).replace('\n', ' '));
        }
    }

    static StartupConfig parse(JsonObject root, String listen, boolean needsKnown, double writtenAt) {
        JsonObject settings = required(root, "settings").getAsJsonObject();
        boolean hasKnown = needsKnown || root.has("known") && !root.get("known").isJsonNull();
        JsonObject known = hasKnown ? required(root, "known").getAsJsonObject() : null;
        FieldMap fields = new FieldMap("settings");
        flatten(fields, "", settings);
        long seed = new BigInteger(required(root, "seed").getAsString(), 16).longValue();
        if (hasKnown) {
            required(known, "items").getAsJsonArray();
            required(known, "no").getAsLong();
        }
        JsonObject limits = required(root, "limits").getAsJsonObject();
        return new StartupConfig(root.has("name") ? root.get("name").getAsString() : "",
            ConfiguredList.parseAddress(listen != null ? listen : required(root, "listen").getAsString()),
            ConfiguredList.parseAddress(required(root, "bulletin").getAsString()), new DirectorSettings(fields, seed),
            required(limits, "sockets").getAsInt(), required(limits, "memory_mb").getAsDouble(),
            fields.intValue("Caps.MaxAttempts"), known, writtenAt, settings);
    }

    private static JsonElement required(JsonObject object, String field) {
        JsonElement value = object.get(field);
        if (value == null) throw new IllegalArgumentException("field " + field + " is missing");
        return value;
    }

    /**
     * Flattens JSON to the fields of the simulator's first message: paths with dots, arrays of plain values joined by
     * commas, and for other arrays a count and one path for each index.
     */
    private static void flatten(FieldMap fields, String path, JsonElement element) {
        if (element.isJsonObject()) {
            for (var entry : element.getAsJsonObject().entrySet()) {
                String entryPath = path.isEmpty() ? entry.getKey() : path + "." + entry.getKey();
                flatten(fields, entryPath, entry.getValue());
            }
        } else if (element.isJsonArray()) {
            JsonArray array = element.getAsJsonArray();
            boolean plain = true;
            for (JsonElement item : array) plain &= item.isJsonPrimitive();
            if (plain) {
                StringBuilder joined = new StringBuilder();
                for (JsonElement item : array) joined.append(joined.length() > 0 ? "," : "").append(item.getAsString());
                fields.add(path, joined.toString());
                return;
            }
            fields.add(path + ".count", Integer.toString(array.size()));
            for (int i = 0; i < array.size(); i++) flatten(fields, path + "." + i, array.get(i));
        } else if (element.isJsonPrimitive()) {
            fields.add(path, element.getAsString());
        }
    }
}
