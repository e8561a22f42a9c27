package mothcross.net;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Arrays;
import mothcross.Director;

/**
 * The frames of discovery: checks each and passes its event to the {@link DiscoveryListener}, whichever connection it
 * came on. No event is applied twice or skipped; the listener judges what an event means. A frame is LENGTH, then as
 * many bytes: EVENT, KIND, payload.
 */
final class DiscoveryFrames {
    /** What became of a frame. */
    enum Result {
        APPLIED,
        /** Its event was applied before. */
        REPEATED,
        /** It can't be used, or an event before it is missing: it has to be asked for again. */
        MALFORMED,
        /** The event numbers of discovery start over: all events have to be asked for again. */
        STARTED_OVER
    }

    static final int LENGTH_BYTES = 4;
    static final int EVENT_BYTES = 8;
    static final int MIN_FRAME_BYTES = EVENT_BYTES + 1;
    static final int MAX_FRAME_BYTES = 4 << 20;
    private static final int NODE_RECORD_BYTES = 27;
    private static final int STATUS_OFFSET = 10;
    private static final int OBJECT_PURGE_BYTES = 16;
    private static final int GROUP_PURGE_BYTES = 10;
    private static final int KIND_HEARTBEAT = 0;
    private static final int KIND_SNAPSHOT = 1;
    private static final int KIND_DELTA = 2;
    private static final int KIND_OBJECT_PURGE = 3;
    private static final int KIND_GROUP_PURGE = 4;

    private final Dispatcher dispatcher;
    private final DiscoveryListener listener;

    DiscoveryFrames(Dispatcher dispatcher, DiscoveryListener listener) {
        this.dispatcher = dispatcher;
        this.listener = listener;
    }

    /**
     * Applies the frame whose EVENT starts at {@code start}.
     *
     * @param superseded whether it came from an earlier address of discovery, whose heartbeats confirm nothing
     */
    Result apply(byte[] bytes, int start, int end, boolean superseded) {
        long event = readUnsigned(bytes, start, EVENT_BYTES);
        int kind = bytes[start + EVENT_BYTES];
        int payload = start + MIN_FRAME_BYTES;
        if (kind == KIND_HEARTBEAT) return heartbeat(event, end - payload, superseded);
        long lastEvent = listener.lastEvent();
        boolean acceptedSnapshot = kind == KIND_SNAPSHOT && listener.acceptsRepeated(true);
        boolean repeated = event <= lastEvent;
        if (repeated && !acceptedSnapshot && !listener.acceptsRepeated(false)) return Result.REPEATED;
        String problem = findProblem(bytes, kind, payload, end);
        if (problem != null) return malformed(problem);
        if (event > lastEvent + 1 && !acceptedSnapshot) return malformed("event " + event + " after " + lastEvent);
        dispatcher.processBatch(to -> {
            if (kind == KIND_OBJECT_PURGE) {
                long object = readUnsigned(bytes, payload, 8) & Long.MAX_VALUE;
                listener.purged(to, event, object, -1, readUnsigned(bytes, payload + 8, 8));
            } else if (kind == KIND_GROUP_PURGE) {
                int group = (int) readUnsigned(bytes, payload, 2);
                listener.purged(to, event, -1, group, readUnsigned(bytes, payload + 2, 8));
            } else {
                nodeRecords(to, event, kind, bytes, payload, end);
            }
        });
        return Result.APPLIED;
    }

    /** Why the payload can't be used; null where it can. */
    private static String findProblem(byte[] bytes, int kind, int payload, int end) {
        int size = end - payload;
        boolean sizeFits = switch (kind) {
            case KIND_SNAPSHOT, KIND_DELTA -> size % NODE_RECORD_BYTES == 0;
            case KIND_OBJECT_PURGE -> size == OBJECT_PURGE_BYTES;
            case KIND_GROUP_PURGE -> size == GROUP_PURGE_BYTES;
            default -> false;
        };
        if (!sizeFits) return "kind " + kind + " of " + size + " bytes";
        if (kind > KIND_DELTA) return null;
        for (int record = payload; record < end; record += NODE_RECORD_BYTES) {
            int status = bytes[record + STATUS_OFFSET];
            if (status < 0 || status > Director.REMOVED) return "state " + status;
        }
        return null;
    }

    private Result heartbeat(long event, int size, boolean superseded) {
        if (size != 0) return malformed("a heartbeat with a payload");
        if (superseded) return Result.REPEATED;
        boolean[] startsOver = new boolean[1];
        dispatcher.processBatch(to -> startsOver[0] = listener.heartbeat(to, event));
        if (startsOver[0]) return Result.STARTED_OVER;
        if (event <= listener.lastEvent()) return Result.APPLIED;
        // The heartbeat confirms an event that never arrived: it was lost and is requested again.
        return malformed("heartbeat for event " + event + ", last known " + listener.lastEvent());
    }

    private void nodeRecords(Director to, long event, int kind, byte[] bytes, int start, int end) {
        int update = kind == KIND_SNAPSHOT ? Director.LIST_SNAPSHOT : Director.LIST_DELTA;
        if (!listener.listStarted(to, event, update)) return;
        for (int record = start; record < end; record += NODE_RECORD_BYTES) {
            String id = String.format("s-%08x", readUnsigned(bytes, record, 4));
            int status = bytes[record + STATUS_OFFSET];
            int zone = bytes[record + 11];
            int nodeKind = bytes[record + 12];
            int cell = (int) readUnsigned(bytes, record + 13, 2);
            double units = readUnsigned(bytes, record + 15, 4) / 1000.0;
            listener.nodeListed(to, id, readAddress(bytes, record + 4), zone, nodeKind, cell, status, units,
                readUnsigned(bytes, record + 19, 8));
        }
        listener.listFinished(to);
    }

    private static InetSocketAddress readAddress(byte[] bytes, int start) {
        try {
            byte[] ipAddress = Arrays.copyOfRange(bytes, start, start + 4);
            int port = (int) readUnsigned(bytes, start + 4, 2);
            return new InetSocketAddress(InetAddress.getByAddress(ipAddress), port);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);             // four bytes are always a valid address
        }
    }

    /** Reads a big-endian number of {@code size} bytes. */
    static long readUnsigned(byte[] bytes, int start, int size) {
        long value = 0;
        for (int i = 0; i < size; i++) value = value << 8 | bytes[start + i] & 0xff;
        return value;
    }

    /** Counts and reports a frame that can't be used. */
    Result malformed(String problem) {
        dispatcher.counters.badFrame++;
        if (dispatcher.counters.mayWarn()) {
            DiscoveryWatch.LOG.warn("discovery sent a malformed frame ({})", problem);
        }
        return Result.MALFORMED;
    }
}
