package mothcross.emulator;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The stored copies of a node, bounded by size. Eviction takes the lowest rank first and the least recently used copy
 * within a rank; no copy is evicted for one of lower rank.
 */
final class CacheStore {
    /** A stored copy: the time the origin issued it, its size, its group and its rank. */
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

    /** Returns a copy and marks it as used; null where there is none. */
    Copy get(long key) {
        Copy copy = copies.get(key);
        return copy == null ? null : copiesByRank[copy.rank].get(key);
    }

    void put(long key, Copy copy) {
        remove(key);
        if (copy.kb > capacityKb) return;
        for (int rank = 0; rank <= copy.rank && usedKb + copy.kb > capacityKb; rank++) {
            Iterator<Map.Entry<Long, Copy>> iterator = copiesByRank[rank].entrySet().iterator();
            while (iterator.hasNext() && usedKb + copy.kb > capacityKb) {
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
