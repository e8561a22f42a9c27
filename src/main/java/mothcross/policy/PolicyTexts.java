package mothcross.policy;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The texts that a director stores, by digest, and those that it fetches chunk by chunk from any director that has
 * them; the chunks received so far stay when a source is lost. At most the text in force and one more are stored, and
 * during a trial or a withdrawal the two texts of that.
 */
public final class PolicyTexts {
    static final int CHUNK_BYTES = 32_768;
    static final int MAX_TEXT_BYTES = 1 << 20;

    private static final class PartialText {
        // Of the complete text; -1 until the first chunk is in.
        int size = -1;
        final ByteArrayOutputStream received = new ByteArrayOutputStream();
    }

    private final Map<String, byte[]> stored = new LinkedHashMap<>();
    private final Map<String, PartialText> partial = new HashMap<>();
    // Complete, and being validated.
    private final Set<String> validating = new LinkedHashSet<>();
    // Reasons of rejection by digest.
    private final Map<String, String> rejected = new HashMap<>();

    /** The text is on disk. */
    public void add(String digest, byte[] bytes) {
        stored.put(digest, bytes);
        partial.remove(digest);
        validating.remove(digest);
    }

    /** Whether the text is stored; the empty text always is. */
    public boolean contains(String digest) {
        return digest.isEmpty() || stored.containsKey(digest);
    }

    /** The bytes of a stored text; null where it is not stored. */
    public byte[] bytes(String digest) {
        return stored.get(digest);
    }

    /** Digests of the stored texts. */
    public Set<String> digests() {
        return stored.keySet();
    }

    public boolean isValidating(String digest) {
        return validating.contains(digest);
    }

    /** Why the text was rejected; null where it was not. */
    public String rejectionReason(String digest) {
        return rejected.get(digest);
    }

    void reject(String digest, String reason) {
        validating.remove(digest);
        rejected.put(digest, reason);
    }

    /** How many bytes of the text have been received, from its start on. */
    int receivedBytes(String digest) {
        PartialText text = partial.get(digest);
        return text == null ? 0 : text.received.size();
    }

    /** Begins to fetch the text, unless it is stored or being validated. */
    void request(String digest) {
        if (!contains(digest) && !validating.contains(digest)) {
            partial.computeIfAbsent(digest, key -> new PartialText());
        }
    }

    boolean isRequested(String digest) {
        return partial.containsKey(digest);
    }

    /** The text is complete and is about to be validated. */
    void beginValidation(String digest) {
        partial.remove(digest);
        if (!stored.containsKey(digest)) validating.add(digest);
    }

    /** The answer to a request of another director. */
    PolicyMessage chunk(PolicyMessage.TextRequest request) {
        byte[] text = stored.get(request.digest());
        int from = request.from();
        if (text == null || from < 0 || from > text.length) return new PolicyMessage.TextNotFound(request.digest());
        int to = from + Math.min(CHUNK_BYTES, text.length - from);
        return new PolicyMessage.TextChunk(request.digest(), from, text.length, Arrays.copyOfRange(text, from, to));
    }

    /** The complete text once its last chunk is in, else null. A chunk that is not the next one is dropped. */
    byte[] addChunk(PolicyMessage.TextChunk chunk) {
        PartialText text = partial.get(chunk.digest());
        if (text == null || chunk.from() != text.received.size()) return null;
        if (chunk.size() < 0 || chunk.size() > MAX_TEXT_BYTES) return null;
        if (text.size >= 0 && text.size != chunk.size()) return null;
        if (chunk.from() + chunk.bytes().length > chunk.size()) return null;
        text.size = chunk.size();
        text.received.writeBytes(chunk.bytes());
        if (text.received.size() < text.size) return null;
        partial.remove(chunk.digest());
        validating.add(chunk.digest());
        return text.received.toByteArray();
    }

    /** The received bytes do not match the digest: fetches the text from the start again. */
    void restartFetch(String digest) {
        validating.remove(digest);
        partial.put(digest, new PartialText());
    }

    /** Forgets all other texts; returns the digests of those that were stored. */
    Set<String> retainOnly(Set<String> wanted) {
        Set<String> removed = new LinkedHashSet<>(stored.keySet());
        removed.removeAll(wanted);
        stored.keySet().retainAll(wanted);
        partial.keySet().retainAll(wanted);
        rejected.keySet().retainAll(wanted);
        return removed;
    }
}
