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
 * What a director is told at its start, read from its file. Owns the way from JSON to the names and values
 * that the module's opening reads; must never supply a value of its own for one that is missing there, and
 * tells what can't be used in one plain line.
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
    public final InetSocketAddress listen, discovery;
    public final DirectorSettings directorSettings;
    public final int sockets, maxHops;
    public final double memoryMb;
    final JsonObject known, settings;
    /** When the file was written, Unix ms: as old as what it knows. */
    final double writtenAt;

    private StartupConfig(String name, InetSocketAddress listen, InetSocketAddress discovery, DirectorSettings opening,
                  int sockets, double memoryMb, int mostHops, JsonObject known, double writtenAt,
                  JsonObject settings) {
        this.name = name;
        this.listen = listen;
        this.discovery = discovery;
        this.directorSettings = opening;
        this.sockets = sockets;
        this.memoryMb = memoryMb;
        this.maxHops = mostHops;
        this.known = known;
        this.writtenAt = writtenAt;
        this.settings = settings;
    }

    /** {@code listen}, where given, stands before the file's. */
    public static StartupConfig read(Path file, String listen) throws InvalidConfigException {
        return read(file, listen, true);
    }

    /** {@code needsKnown} false: the director may start without any list. */
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

    static StartupConfig parse(JsonObject all, String listen, boolean needsKnown, double writtenAt) {
        JsonObject settings = need(all, "settings").getAsJsonObject();
        boolean has = needsKnown || all.has("known") && !all.get("known").isJsonNull();
        JsonObject known = has ? need(all, "known").getAsJsonObject() : null;
        FieldMap flat = new FieldMap("settings");
        flatten(flat, "", settings);
        long seed = new BigInteger(need(all, "seed").getAsString(), 16).longValue();
        if (has) {
            need(known, "items").getAsJsonArray();
            need(known, "no").getAsLong();
        }
        JsonObject limits = need(all, "limits").getAsJsonObject();
        return new StartupConfig(all.has("name") ? all.get("name").getAsString() : "",
            DiscoveryWatch.parseAddress(listen != null ? listen : need(all, "listen").getAsString()),
            DiscoveryWatch.parseAddress(need(all, "bulletin").getAsString()), new DirectorSettings(flat, seed),
            need(limits, "sockets").getAsInt(), need(limits, "memory_mb").getAsDouble(),
            flat.intValue("Caps.MaxAttempts"), known, writtenAt, settings);
    }

    private static JsonElement need(JsonObject in, String field) {
        JsonElement e = in.get(field);
        if (e == null) throw new IllegalArgumentException("field " + field + " is missing");
        return e;
    }

    /** As the simulator's first message has it: paths with dots, plain lists with commas, others counted. */
    private static void flatten(FieldMap into, String path, JsonElement e) {
        if (e.isJsonObject()) {
            for (var f : e.getAsJsonObject().entrySet()) {
                flatten(into, path.isEmpty() ? f.getKey() : path + "." + f.getKey(), f.getValue());
            }
        } else if (e.isJsonArray()) {
            JsonArray all = e.getAsJsonArray();
            boolean plain = true;
            for (JsonElement x : all) plain &= x.isJsonPrimitive();
            if (plain) {
                StringBuilder s = new StringBuilder();
                for (JsonElement x : all) s.append(s.length() > 0 ? "," : "").append(x.getAsString());
                into.add(path, s.toString());
                return;
            }
            into.add(path + ".count", Integer.toString(all.size()));
            for (int i = 0; i < all.size(); i++) flatten(into, path + "." + i, all.get(i));
        } else if (e.isJsonPrimitive()) {
            into.add(path, e.getAsString());
        }
    }
}
