package mothcross.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The items to spread with outgoing messages, each a limited number of times: the least sent first, among those the
 * newest first. Bounded; an item that was sent often enough is dropped.
 */
final class GossipQueue {
    private static final int MAX_ITEMS = 512;
    private static final int MAX_BATCH_BYTES = 1000;
    /** With less room than this left in a batch no further item is tried. */
    private static final int MIN_ROOM_BYTES = 100;

    private static final class Entry {
        final GossipItem item;
        final long sequence;
        int sendCount;

        Entry(GossipItem item, long sequence) {
            this.item = item;
            this.sequence = sequence;
        }
    }

    private static final Comparator<Entry> SEND_ORDER = Comparator.<Entry>comparingInt(entry -> entry.sendCount)
        .thenComparingLong(entry -> -entry.sequence);

    private final Map<Object, Entry> entries = new HashMap<>();
    private List<Entry> sorted = new ArrayList<>();
    private boolean stale;
    private long nextSequence;

    /** Adds an item, replacing one of equal key; from a full queue drops the item that would be sent last. */
    void add(GossipItem item) {
        entries.put(item.key(), new Entry(item, nextSequence++));
        stale = true;
        if (entries.size() <= MAX_ITEMS) return;
        Entry last = null;
        for (Entry entry : entries.values()) if (last == null || SEND_ORDER.compare(entry, last) > 0) last = entry;
        entries.remove(last.item.key());
    }

    int size() {
        return entries.size();
    }

    /** The items for one message, as many as fit; each item is sent {@code maxSends} times in all. */
    List<GossipItem> nextBatch(int maxSends) {
        if (entries.isEmpty()) return List.of();
        if (stale) {
            sorted = new ArrayList<>(entries.values());
            stale = false;
        }
        sorted.sort(SEND_ORDER);
        List<GossipItem> batch = new ArrayList<>();
        int room = MAX_BATCH_BYTES;
        boolean anyDropped = false;
        for (Entry entry : sorted) {
            int size = entry.item.size();
            if (size > room) {
                if (room < MIN_ROOM_BYTES) break;
                continue;
            }
            room -= size;
            batch.add(entry.item);
            if (++entry.sendCount >= maxSends) {
                entries.remove(entry.item.key(), entry);
                anyDropped = true;
            }
        }
        if (anyDropped) sorted.removeIf(entry -> entry.sendCount >= maxSends);
        return batch;
    }
}
