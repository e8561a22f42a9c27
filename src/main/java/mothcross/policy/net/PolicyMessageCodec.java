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
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import mothcross.policy.PolicyMessage;

/**
 * The JSON form of {@link PolicyMessage}s: an object with one field, whose name is the kind of the message and whose
 * value has the components of the record; bytes are in base 64. The names of the kinds are fixed here, since directors
 * of other builds read them.
 */
public final class PolicyMessageCodec {
    static final Gson GSON = new GsonBuilder()
        .registerTypeAdapter(byte[].class, (JsonSerializer<byte[]>) (bytes, type, context) -> new JsonPrimitive(
            Base64.getEncoder().encodeToString(bytes)))
        .registerTypeAdapter(byte[].class, (JsonDeserializer<byte[]>) (json, type, context) ->
            Base64.getDecoder().decode(json.getAsString()))
        .create();
    private static final Map<String, Class<? extends PolicyMessage>> KINDS = new LinkedHashMap<>();
    private static final Map<Class<?>, String> NAMES = new HashMap<>();

    static {
        KINDS.put("Prepare", PolicyMessage.Prepare.class);
        KINDS.put("Promised", PolicyMessage.Promised.class);
        KINDS.put("Accept", PolicyMessage.Accept.class);
        KINDS.put("Accepted", PolicyMessage.Accepted.class);
        KINDS.put("Late", PolicyMessage.Rejected.class);
        KINDS.put("Decided", PolicyMessage.Decided.class);
        KINDS.put("Learn", PolicyMessage.Learn.class);
        KINDS.put("AskThem", PolicyMessage.VotersRedirect.class);
        KINDS.put("Enrol", PolicyMessage.JoinRequest.class);
        KINDS.put("Leave", PolicyMessage.LeaveRequest.class);
        KINDS.put("MayI", PolicyMessage.LeaseRequest.class);
        KINDS.put("YouMay", PolicyMessage.LeaseReply.class);
        KINDS.put("HowFar", PolicyMessage.ProgressRequest.class);
        KINDS.put("Standing", PolicyMessage.ProgressReport.class);
        KINDS.put("Fetch", PolicyMessage.TextRequest.class);
        KINDS.put("Chunk", PolicyMessage.TextChunk.class);
        KINDS.put("NotHere", PolicyMessage.TextNotFound.class);
        KINDS.put("Words", PolicyMessage.ProgressReports.class);
        KINDS.forEach((name, kind) -> NAMES.put(kind, name));
    }

    private PolicyMessageCodec() { }

    public static byte[] encode(PolicyMessage message) {
        JsonObject object = new JsonObject();
        object.add(NAMES.get(message.getClass()), GSON.toJsonTree(message));
        return object.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Null where the bytes are no message of a known kind; the caller counts these. */
    public static PolicyMessage decode(byte[] bytes) {
        try {
            JsonObject object = JsonParser.parseString(new String(bytes, StandardCharsets.UTF_8)).getAsJsonObject();
            if (object.size() != 1) return null;
            Map.Entry<String, JsonElement> entry = object.entrySet().iterator().next();
            Class<? extends PolicyMessage> kind = KINDS.get(entry.getKey());
            return kind == null ? null : GSON.fromJson(entry.getValue(), kind);
        } catch (JsonParseException | IllegalStateException | IllegalArgumentException | NullPointerException
                 | UnsupportedOperationException | StackOverflowError e) {
            return null;
        }
    }
}
