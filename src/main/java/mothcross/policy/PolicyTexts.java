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
    static final int PIECE = 32_768, LONGEST = 1 << 20;

    private static final class Coming {
        int size = -1;
        final ByteArrayOutputStream got = new ByteArrayOutputStream();
    }

    private final Map<String, byte[]> here = new LinkedHashMap<>();
    private final Map<String, Coming> coming = new HashMap<>();
    // Whole, and being checked; and those that were found at fault, with the reason.
    private final Set<String> checking = new LinkedHashSet<>();
    private final Map<String, String> faults = new HashMap<>();

    public void kept(String digest, byte[] bytes) {
        here.put(digest, bytes);
        coming.remove(digest);
        checking.remove(digest);
    }

    public boolean has(String digest) {
        return digest.isEmpty() || here.containsKey(digest);
    }

    public byte[] bytes(String digest) {
        return here.get(digest);
    }

    public Set<String> all() {
        return here.keySet();
    }

    public boolean isChecking(String digest) {
        return checking.contains(digest);
    }

    public String fault(String digest) {
        return faults.get(digest);
    }

    void atFault(String digest, String why) {
        checking.remove(digest);
        faults.put(digest, why);
    }

    /** From where on it is wanted. */
    int from(String digest) {
        Coming c = coming.get(digest);
        return c == null ? 0 : c.got.size();
    }

    void wants(String digest) {
        if (!has(digest) && !checking.contains(digest)) coming.computeIfAbsent(digest, k -> new Coming());
    }

    boolean isWanted(String digest) {
        return coming.containsKey(digest);
    }

    /** It is all here, and about to be checked. */
    void checks(String digest) {
        coming.remove(digest);
        if (!here.containsKey(digest)) checking.add(digest);
    }

    PolicyMessage piece(PolicyMessage.TextRequest f) {
        byte[] all = here.get(f.digest());
        if (all == null || f.from() < 0 || f.from() > all.length) return new PolicyMessage.TextNotFound(f.digest());
        int n = Math.min(PIECE, all.length - f.from());
        return new PolicyMessage.TextChunk(f.digest(), f.from(), all.length, java.util.Arrays.copyOfRange(all, f.from(),
            f.from() + n));
    }

    /** All of it, once the last piece is in; null before. What is not the next piece is dropped. */
    byte[] takes(PolicyMessage.TextChunk c) {
        Coming x = coming.get(c.digest());
        if (x == null || c.from() != x.got.size() || c.size() < 0 || c.size() > LONGEST) return null;
        if (x.size >= 0 && x.size != c.size() || c.from() + c.bytes().length > c.size()) return null;
        x.size = c.size();
        x.got.writeBytes(c.bytes());
        if (x.got.size() < x.size) return null;
        coming.remove(c.digest());
        checking.add(c.digest());
        return x.got.toByteArray();
    }

    /** What came does not have its digest: from the start again. */
    void spoilt(String digest) {
        checking.remove(digest);
        coming.put(digest, new Coming());
    }

    /** Lets go of all but these; gives back what was on disk. */
    Set<String> keepOnly(Set<String> wanted) {
        Set<String> gone = new LinkedHashSet<>(here.keySet());
        gone.removeAll(wanted);
        here.keySet().retainAll(wanted);
        coming.keySet().retainAll(wanted);
        faults.keySet().retainAll(wanted);
        return gone;
    }
}
