package mothcross.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What is passed on with messages, each item so many times: least told first, newest first among equals. Owns the
 * counts; bounded, and what is told often enough is forgotten.
 */
final class GossipQueue {
    private static final int MOST = 512, ROOM = 1000;

    private static final class Rumour {
        final GossipItem item;
        final long order;
        int told;

        Rumour(GossipItem item, long order) {
            this.item = item;
            this.order = order;
        }
    }

    private final Map<Object, Rumour> all = new HashMap<>();
    private List<Rumour> sorted = new ArrayList<>();
    private boolean stale;
    private long orders;

    void tell(GossipItem item) {
        all.put(item.key(), new Rumour(item, orders++));
        stale = true;
        if (all.size() <= MOST) return;
        Rumour most = null;
        for (Rumour r : all.values()) if (most == null || ORDER.compare(r, most) > 0) most = r;
        all.remove(most.item.key());
    }

    private static final Comparator<Rumour> ORDER = Comparator.<Rumour>comparingInt(r -> r.told)
        .thenComparingLong(r -> -r.order);

    int size() {
        return all.size();
    }

    /** For one message: as many as fit; {@code times} is how often each is told in all. */
    List<GossipItem> some(int times) {
        if (all.isEmpty()) return List.of();
        if (stale) {
            sorted = new ArrayList<>(all.values());
            stale = false;
        }
        sorted.sort(ORDER);
        List<GossipItem> out = new ArrayList<>();
        int room = ROOM;
        boolean over = false;
        for (Rumour r : sorted) {
            int size = r.item.size();
            if (size > room) {
                if (room < 100) break;
                continue;
            }
            room -= size;
            out.add(r.item);
            if (++r.told >= times) {
                all.remove(r.item.key(), r);
                over = true;
            }
        }
        if (over) sorted.removeIf(r -> r.told >= times);
        return out;
    }
}
