package mothcross.emulator;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What a cache keeps: the lowest rank goes first, within it what was used longest ago, and nothing goes for a copy of
 * lower
 * rank. Owns the copies and their sizes.
 */
final class CacheStore {
    /** One copy: when the origin gave it out, its size, the group it is of. */
    record Copy(double issuedAt, double kb, int group, int rank) { }

    private static final int RANKS = 4;
    private final double capacityKb;
    private final Map<Long, Copy> copies = new HashMap<>();
    @SuppressWarnings({"unchecked", "rawtypes"})
    private final LinkedHashMap<Long, Copy>[] copiesByRank = new LinkedHashMap[RANKS];
    private double usedKb;

    CacheStore(double capacityKb) {
        this.capacityKb = capacityKb;
        for (int i = 0; i < RANKS; i++) copiesByRank[i] = new LinkedHashMap<>(16, 0.75f, true);
    }

    /** Uses it. */
    Copy get(long key) {
        Copy copy = copies.get(key);
        return copy == null ? null : copiesByRank[copy.rank].get(key);
    }

    void put(long key, Copy copy) {
        remove(key);
        if (copy.kb > capacityKb) return;
        for (int rank = 0; rank <= copy.rank && usedKb + copy.kb > capacityKb; rank++) {
            for (Iterator<Map.Entry<Long,
                Copy>> iterator = copiesByRank[rank].entrySet().iterator(); iterator.hasNext() && usedKb
                + copy.kb > capacityKb;) {
                Map.Entry<Long, Copy> evicted = iterator.next();
                iterator.remove();
                copies.remove(evicted.getKey());
                usedKb -= evicted.getValue().kb;
            }
        }
        if (usedKb + copy.kb > capacityKb) return;
        copies.put(key, copy);
        copiesByRank[copy.rank].put(key, copy);
        usedKb += copy.kb;
    }

    void remove(long key) {
        Copy copy = copies.remove(key);
        if (copy == null) return;
        copiesByRank[copy.rank].remove(key);
        usedKb -= copy.kb;
    }

    void purge(int group, double issuedBefore) {
        copies.entrySet().removeIf(entry -> {
            Copy copy = entry.getValue();
            if (copy.group != group || copy.issuedAt >= issuedBefore) return false;
            copiesByRank[copy.rank].remove(entry.getKey());
            usedKb -= copy.kb;
            return true;
        });
    }

    void clear() {
        copies.clear();
        for (LinkedHashMap<Long, Copy> rank : copiesByRank) rank.clear();
        usedKb = 0;
    }

    int size() {
        return copies.size();
    }
}
