package mothcross.net;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of requests that are over and may have run at a node. Clients use each id once; one that comes again while it
 * is remembered must not run again, nor get an answer that was meant for the first. Bounded in time and number.
 */
final class RecentRequests {
    private static final double RETENTION_MS = 30_000;
    private static final int MAX_IDS = 16_384;

    /** Until when each id is remembered, the one added first first. */
    private final Map<Long, Double> ids = new LinkedHashMap<>();

    void add(long id, double now) {
        Iterator<Double> oldest = ids.values().iterator();
        while (oldest.hasNext() && (oldest.next() <= now || ids.size() >= MAX_IDS)) oldest.remove();
        ids.put(id, now + RETENTION_MS);
    }

    boolean contains(long id, double now) {
        Double until = ids.get(id);
        return until != null && now < until;
    }
}
