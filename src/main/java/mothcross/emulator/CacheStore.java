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
    record Copy(double minted, double kb, int group, int rank) { }

    private static final int RANKS = 4;
    private final double mostKb;
    private final Map<Long, Copy> all = new HashMap<>();
    @SuppressWarnings({"unchecked", "rawtypes"})
    private final LinkedHashMap<Long, Copy>[] ranks = new LinkedHashMap[RANKS];
    private double kb;

    CacheStore(double mostKb) {
        this.mostKb = mostKb;
        for (int i = 0; i < RANKS; i++) ranks[i] = new LinkedHashMap<>(16, 0.75f, true);
    }

    /** Uses it. */
    Copy get(long key) {
        Copy c = all.get(key);
        return c == null ? null : ranks[c.rank].get(key);
    }

    void put(long key, Copy c) {
        remove(key);
        if (c.kb > mostKb) return;
        for (int r = 0; r <= c.rank && kb + c.kb > mostKb; r++) {
            for (Iterator<Map.Entry<Long, Copy>> i = ranks[r].entrySet().iterator(); i.hasNext() && kb
                + c.kb > mostKb;) {
                Map.Entry<Long, Copy> e = i.next();
                i.remove();
                all.remove(e.getKey());
                kb -= e.getValue().kb;
            }
        }
        if (kb + c.kb > mostKb) return;
        all.put(key, c);
        ranks[c.rank].put(key, c);
        kb += c.kb;
    }

    void remove(long key) {
        Copy c = all.remove(key);
        if (c == null) return;
        ranks[c.rank].remove(key);
        kb -= c.kb;
    }

    void purge(int group, double before) {
        all.entrySet().removeIf(e -> {
            Copy c = e.getValue();
            if (c.group != group || c.minted >= before) return false;
            ranks[c.rank].remove(e.getKey());
            kb -= c.kb;
            return true;
        });
    }

    void clear() {
        all.clear();
        for (LinkedHashMap<Long, Copy> r : ranks) r.clear();
        kb = 0;
    }

    int size() {
        return all.size();
    }
}
