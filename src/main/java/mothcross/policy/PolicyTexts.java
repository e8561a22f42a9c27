package mothcross.policy;

import java.io.ByteArrayOutputStream;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The texts that a director holds, and the one that is coming in, piece by piece from whoever has it; what has come
 * stays where a source is lost. Owns which digests are wanted and how far they are; must never hold more than the one
 * in force and one beside it, and while one is tried or taken back those two.
 */
public final class PolicyTexts {
    static final int CHUNK_BYTES = 32_768, MAX_TEXT_BYTES = 1 << 20;

    private static final class Coming {
        int size = -1;
        final ByteArrayOutputStream got = new ByteArrayOutputStream();
    }

    private final Map<String, byte[]> here = new LinkedHashMap<>();
    private final Map<String, Coming> coming = new HashMap<>();
    // Whole, and being checked; and those that were found at fault, with the reason.
    private final Set<String> checking = new LinkedHashSet<>();
    private final Map<String, String> faults = new HashMap<>();

    public void add(String digest, byte[] bytes) {
        here.put(digest, bytes);
        coming.remove(digest);
        checking.remove(digest);
    }

    public boolean contains(String digest) {
        return digest.isEmpty() || here.containsKey(digest);
    }

    public byte[] bytes(String digest) {
        return here.get(digest);
    }

    public Set<String> digests() {
        return here.keySet();
    }

    public boolean isValidating(String digest) {
        return checking.contains(digest);
    }

    public String rejectionReason(String digest) {
        return faults.get(digest);
    }

    void reject(String digest, String why) {
        checking.remove(digest);
        faults.put(digest, why);
    }

    /** From where on it is wanted. */
    int receivedBytes(String digest) {
        Coming c = coming.get(digest);
        return c == null ? 0 : c.got.size();
    }

    void request(String digest) {
        if (!contains(digest) && !checking.contains(digest)) coming.computeIfAbsent(digest, k -> new Coming());
    }

    boolean isRequested(String digest) {
        return coming.containsKey(digest);
    }

    /** It is all here, and about to be checked. */
    void beginValidation(String digest) {
        coming.remove(digest);
        if (!here.containsKey(digest)) checking.add(digest);
    }

    PolicyMessage chunk(PolicyMessage.TextRequest f) {
        byte[] all = here.get(f.digest());
        if (all == null || f.from() < 0 || f.from() > all.length) return new PolicyMessage.TextNotFound(f.digest());
        int n = Math.min(CHUNK_BYTES, all.length - f.from());
        return new PolicyMessage.TextChunk(f.digest(), f.from(), all.length, java.util.Arrays.copyOfRange(all, f.from(),
            f.from() + n));
    }

    /** All of it, once the last piece is in; null before. What is not the next piece is dropped. */
    byte[] addChunk(PolicyMessage.TextChunk c) {
        Coming x = coming.get(c.digest());
        if (x == null || c.from() != x.got.size() || c.size() < 0 || c.size() > MAX_TEXT_BYTES) return null;
        if (x.size >= 0 && x.size != c.size() || c.from() + c.bytes().length > c.size()) return null;
        x.size = c.size();
        x.got.writeBytes(c.bytes());
        if (x.got.size() < x.size) return null;
        coming.remove(c.digest());
        checking.add(c.digest());
        return x.got.toByteArray();
    }

    /** What came does not have its digest: from the start again. */
    void restartFetch(String digest) {
        checking.remove(digest);
        coming.put(digest, new Coming());
    }

    /** Lets go of all but these; gives back what was on disk. */
    Set<String> retainOnly(Set<String> wanted) {
        Set<String> gone = new LinkedHashSet<>(here.keySet());
        gone.removeAll(wanted);
        here.keySet().retainAll(wanted);
        coming.keySet().retainAll(wanted);
        faults.keySet().retainAll(wanted);
        return gone;
    }
}
