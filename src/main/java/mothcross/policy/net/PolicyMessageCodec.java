package mothcross.policy.net;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonDeserializer;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import com.google.gson.JsonSerializer;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.Map;
import mothcross.policy.PolicyMessage;

/**
 * What directors say about the policy, as JSON: one field, its name the kind, its value the fields of the record in
 * {@link PolicyMessage}; bytes in base 64. Owns that form; what does not fit is null, and the caller counts it.
 */
public final class PolicyMessageCodec {
    static final Gson GSON = new GsonBuilder()
        .registerTypeAdapter(byte[].class, (JsonSerializer<byte[]>) (b, t, c) -> new JsonPrimitive(
            Base64.getEncoder().encodeToString(b)))
        .registerTypeAdapter(byte[].class, (JsonDeserializer<byte[]>) (j, t, c) -> Base64.getDecoder().decode(
            j.getAsString()))
        .create();
    private static final Map<String, Class<?>> KINDS = new LinkedHashMap<>();

    static {
        for (Class<?> c : PolicyMessage.class.getPermittedSubclasses()) KINDS.put(c.getSimpleName(), c);
    }

    private PolicyMessageCodec() { }

    public static byte[] encode(PolicyMessage s) {
        JsonObject o = new JsonObject();
        o.add(s.getClass().getSimpleName(), GSON.toJsonTree(s));
        return o.toString().getBytes(StandardCharsets.UTF_8);
    }

    public static PolicyMessage decode(byte[] bytes) {
        try {
            JsonObject o = JsonParser.parseString(new String(bytes, StandardCharsets.UTF_8)).getAsJsonObject();
            if (o.size() != 1) return null;
            Map.Entry<String, JsonElement> e = o.entrySet().iterator().next();
            Class<?> kind = KINDS.get(e.getKey());
            return kind == null ? null : (PolicyMessage) GSON.fromJson(e.getValue(), kind);
        } catch (JsonParseException | IllegalStateException | IllegalArgumentException | NullPointerException
                 | UnsupportedOperationException | StackOverflowError e) {
            return null;
        }
    }
}
