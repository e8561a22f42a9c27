package mothcross.net;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import mothcross.Director;
import mothcross.adapter.DirectorSettings;
import mothcross.membership.ListedNode;
import mothcross.membership.MembershipSnapshot;
import mothcross.membership.Purge;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.pcollections.HashTreePMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the event stream of service discovery: first the list and purges in the configuration, then the frames of
 * a connection to discovery.
 *
 * <p>Keeps the number of the last event through its {@link DiscoveryListener} and resumes from that number after a
 * connection that was lost, timed out or sent a malformed frame, with an exponential delay until frames arrive
 * again. No event is applied twice or skipped; the listener judges what an event means. All methods except
 * {@link #awaitFirstFrame} run under the dispatcher's lock.
 */
final class DiscoveryWatch {
    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryWatch.class);
    private static final double FRAME_TIMEOUT_MS = 2000;
    private static final double MIN_RECONNECT_DELAY_MS = 50;
    private static final double MAX_RECONNECT_DELAY_MS = 500;
    /** The protocol page promises a frame at least this often. */
    private static final double FRAME_INTERVAL_MS = 1000;
    /** Connections that may fail without a frame before the start no longer waits for discovery. */
    private static final int MAX_CONNECTIONS_WITHOUT_FRAME = 2;

    // A frame is LENGTH, then as many bytes: EVENT, KIND, payload.
    private static final int LENGTH_BYTES = 4;
    private static final int EVENT_BYTES = 8;
    private static final int MIN_FRAME_BYTES = EVENT_BYTES + 1;
    private static final int MAX_FRAME_BYTES = 4 << 20;
    private static final int NODE_RECORD_BYTES = 27;
    private static final int OBJECT_PURGE_BYTES = 16;
    private static final int GROUP_PURGE_BYTES = 10;
    private static final int KIND_HEARTBEAT = 0;
    private static final int KIND_SNAPSHOT = 1;
    private static final int KIND_DELTA = 2;
    private static final int KIND_OBJECT_PURGE = 3;
    private static final int KIND_GROUP_PURGE = 4;

    private final Dispatcher dispatcher;
    private final DiscoveryListener listener;
    private InetSocketAddress address;
    private FeedConnection feed;
    private double reconnectDelayMs = MIN_RECONNECT_DELAY_MS;
    private boolean stopped;
    private int connectionsWithoutFrame;
    /** Released by the first frame since the start, or once enough connections have failed without one. */
    private final CountDownLatch firstFrame = new CountDownLatch(1);

    DiscoveryWatch(Dispatcher dispatcher, DiscoveryListener listener, InetSocketAddress address) {
        this.dispatcher = dispatcher;
        this.listener = listener;
        this.address = address;
    }

    // ---- the list in the configuration ----

    /** A node of the configured list. {@code phase} is validated here; zone and kind are resolved by name later. */
    private record KnownNode(String id, InetSocketAddress address, String zone, String kind, int cell, int status,
                             double units, double startedAt) {
        static KnownNode parse(JsonObject json) {
            String id = json.get("id").getAsString();
            int status = DirectorSettings.parseNodeStatus(json.get("phase").getAsString());
            if (status < 0) throw new IllegalArgumentException("phase of " + id);
            return new KnownNode(id, parseAddress(json.get("host_port").getAsString()),
                json.get("locality").getAsString(), json.get("flavor").getAsString(), json.get("cell").getAsInt(),
                status, json.get("size").getAsDouble(), json.get("up_since_ms").getAsDouble());
        }
    }

    /** Applies the items of {@code {"no":LAST,"items":[...]}} in order; returns the list without terminated nodes. */
    private static List<KnownNode> knownNodes(JsonArray items) {
        Map<String, JsonObject> nodesById = new LinkedHashMap<>();
        for (JsonElement item : items) {
            JsonObject roster = item.getAsJsonObject().getAsJsonObject("roster");
            if (roster == null) continue;
            if (roster.get("complete").getAsBoolean()) nodesById.clear();
            for (JsonElement member : roster.getAsJsonArray("members")) {
                JsonObject node = member.getAsJsonObject();
                nodesById.put(node.get("id").getAsString(), node);
            }
        }
        nodesById.values().removeIf(node -> node.get("phase").getAsString().equals("terminated"));
        return nodesById.values().stream().map(KnownNode::parse).toList();
    }

    private static List<Purge> knownPurges(JsonArray items) {
        List<Purge> purges = new ArrayList<>();
        for (JsonElement element : items) {
            JsonObject recall = element.getAsJsonObject().getAsJsonObject("recall");
            if (recall == null) continue;
            JsonElement item = recall.get("item");
            JsonElement lot = recall.get("lot");
            long object = item == null ? -1 : Long.parseUnsignedLong(item.getAsString(), 16) & Long.MAX_VALUE;
            purges.add(new Purge(object, lot == null ? -1 : lot.getAsInt(), recall.get("issued").getAsDouble()));
        }
        return purges;
    }

    /** Passes the configured list and purges to the listener; everything is parsed before any of it is passed on. */
    void start(JsonObject known) {
        JsonArray items = known.getAsJsonArray("items");
        List<KnownNode> nodes = knownNodes(items);
        List<Purge> purges = knownPurges(items);
        long lastEvent = known.get("no").getAsLong();
        DirectorSettings settings = dispatcher.settings;
        dispatcher.processBatch(to -> {
            listener.listStarted(to, lastEvent, Director.LIST_RESTORED);
            for (KnownNode node : nodes) {
                listener.nodeListed(to, node.id, node.address, settings.zones.indexOf(node.zone),
                    settings.kinds.indexOf(node.kind), node.cell, node.status, node.units, node.startedAt);
            }
            listener.listFinished(to);
            for (Purge purge : purges) listener.purged(to, lastEvent, purge.object(), purge.group(), purge.at());
        });
    }

    /** The configured list as a membership snapshot taken when the configuration was written. */
    static MembershipSnapshot toSnapshot(JsonObject known, String fleet, String director, double writtenAt) {
        JsonArray items = known.getAsJsonArray("items");
        Map<String, ListedNode> entries = new LinkedHashMap<>();
        for (KnownNode node : knownNodes(items)) {
            entries.put(node.id, new ListedNode(node.id, node.address.getHostString(), node.address.getPort(),
                node.zone, node.kind, node.cell, node.status, node.units, node.startedAt, writtenAt, 0, true));
        }
        return new MembershipSnapshot(fleet, director, writtenAt, known.get("no").getAsLong(), writtenAt,
            HashTreePMap.from(entries), knownPurges(items));
    }

    /** Parses {@code HOST:PORT} and resolves the host. */
    static InetSocketAddress parseAddress(String hostPort) {
        int colon = hostPort.lastIndexOf(':');
        int port = Integer.parseInt(hostPort.substring(colon + 1));
        return new InetSocketAddress(hostPort.substring(0, colon), port);
    }

    // ---- the connection to discovery ----

    /**
     * Waits, without the lock, until discovery has caught this director up on events from before its start: until the
     * first frame, or two connections without one, at most for the time of a connect or a frame interval. Returns
     * false where discovery has not answered.
     */
    boolean awaitFirstFrame() throws InterruptedException {
        long timeoutMs = (long) Math.min(FRAME_INTERVAL_MS, dispatcher.settings.connectMs);
        boolean released = firstFrame.await(timeoutMs, TimeUnit.MILLISECONDS);
        return released && connectionsWithoutFrame < MAX_CONNECTIONS_WITHOUT_FRAME;
    }

    /** Connects to discovery unless a connection exists or the watch has been stopped. */
    void connect() {
        if (stopped || feed != null) return;
        feed = new FeedConnection();
        feed.connect();
    }

    /** Switches to another address of discovery, which continues the same event numbers. */
    void moveTo(InetSocketAddress newAddress) {
        if (newAddress.equals(address) || stopped) return;
        LOG.info("discovery: moved from {} to {} at event {}", address, newAddress, listener.lastEvent());
        address = newAddress;
        reconnectDelayMs = MIN_RECONNECT_DELAY_MS;
        FeedConnection previous = feed;
        feed = null;                                    // so that its end does not schedule a reconnect
        if (previous != null) previous.abort();
        connect();
    }

    void stop() {
        stopped = true;
        if (feed != null) feed.abort();
    }

    private void reconnectLater(String reason) {
        if (stopped) return;
        if (dispatcher.counters.mayWarn()) {
            LOG.info("discovery: {}; reconnecting from event {} in {} ms", reason, listener.lastEvent(),
                (long) reconnectDelayMs);
        }
        feed = null;
        listener.connectionLost(reason);
        if (++connectionsWithoutFrame >= MAX_CONNECTIONS_WITHOUT_FRAME) firstFrame.countDown();
        dispatcher.timers.set(new Timers.Timer() {
            @Override void fire() {
                connect();
            }
        }, dispatcher.clock() + reconnectDelayMs);
        reconnectDelayMs = Math.min(MAX_RECONNECT_DELAY_MS, 2 * reconnectDelayMs);
    }

    /** One connection to discovery, from the attempt to connect to its end. */
    private final class FeedConnection extends Connection {
        private ConnectFuture connecting;
        /** When the last complete frame arrived, or the connection was opened or attempted. */
        private double lastFrameAt;
        private boolean established;
        private final double attemptedAt = dispatcher.clock();
        private long frames;

        FeedConnection() {
            super(DiscoveryWatch.this.dispatcher);
        }

        void connect() {
            lastFrameAt = attemptedAt;
            dispatcher.counters.discoveryConnects++;
            connecting = dispatcher.connector.connect(address, (session, future) -> bindSession(session));
            connecting.addListener(future -> {
                if (connecting.getException() != null) dispatcher.runLocked(() -> end("connect failed"));
            });
            scheduleTimeoutCheck();
        }

        /**
         * One timer for the whole life of the connection checks when the last complete frame arrived. Single bytes do
         * not count: half a frame that trickles in would keep a connection that delivers nothing.
         */
        private void scheduleTimeoutCheck() {
            dispatcher.timers.set(new Timers.Timer() {
                @Override void fire() {
                    if (feed != FeedConnection.this) return;
                    if (dispatcher.clock() < lastFrameAt + timeoutMs()) {
                        scheduleTimeoutCheck();
                        return;
                    }
                    end(established ? "no frame in time" : "connect timed out");
                }
            }, lastFrameAt + timeoutMs());
        }

        private double timeoutMs() {
            return established ? FRAME_TIMEOUT_MS : dispatcher.settings.connectMs;
        }

        private void end(String reason) {
            if (feed != this) return;
            String received = String.format("%s (%s after %.0f ms: %d frames, %d bytes of the next)", reason,
                established ? "up" : "not up", dispatcher.clock() - attemptedAt, frames, remaining());
            if (frames == 0) dispatcher.counters.discoveryUnheard++;
            abort();
            reconnectLater(received);
        }

        @Override void opened() {
            if (feed != this) {
                abort();
                return;
            }
            established = true;
            lastFrameAt = dispatcher.clock();
            session.write(IoBuffer.allocate(EVENT_BYTES).putLong(listener.lastEvent()).flip());
        }

        @Override void closed() {
            end("connection closed");
        }

        @Override void received() {
            if (feed != this) return;
            while (remaining() >= LENGTH_BYTES) {
                long length = readUnsigned(from, LENGTH_BYTES);
                if (length < MIN_FRAME_BYTES || length > MAX_FRAME_BYTES) {
                    malformed("length " + length);
                    return;
                }
                if (remaining() < LENGTH_BYTES + length) return;
                int frameStart = from + LENGTH_BYTES;
                int payloadStart = frameStart + MIN_FRAME_BYTES;
                int frameEnd = frameStart + (int) length;
                long event = readUnsigned(frameStart, EVENT_BYTES);
                if (!frame(event, bytes[frameStart + EVENT_BYTES], payloadStart, frameEnd)) return;
                connectionsWithoutFrame = 0;
                frames++;
                dispatcher.counters.discoveryFrames++;
                firstFrame.countDown();
                lastFrameAt = dispatcher.clock();
                from = frameEnd;
            }
        }

        /** Applies one frame; false where it has ended this connection. */
        private boolean frame(long event, int kind, int start, int end) {
            int size = end - start;
            if (kind == KIND_HEARTBEAT) return heartbeat(event, size);
            long lastEvent = listener.lastEvent();
            boolean acceptedSnapshot = kind == KIND_SNAPSHOT && listener.acceptsRepeated(true);
            boolean repeated = event <= lastEvent;
            if (repeated && !acceptedSnapshot && !listener.acceptsRepeated(false)) return true;
            boolean sizeFits = switch (kind) {
                case KIND_SNAPSHOT, KIND_DELTA -> size % NODE_RECORD_BYTES == 0;
                case KIND_OBJECT_PURGE -> size == OBJECT_PURGE_BYTES;
                case KIND_GROUP_PURGE -> size == GROUP_PURGE_BYTES;
                default -> false;
            };
            if (!sizeFits) return malformed("kind " + kind + " of " + size + " bytes");
            if (event > lastEvent + 1 && !acceptedSnapshot) return malformed("event " + event + " after " + lastEvent);
            if (kind <= KIND_DELTA) {
                for (int record = start; record < end; record += NODE_RECORD_BYTES) {
                    int status = bytes[record + 10];
                    if (status < 0 || status > Director.REMOVED) return malformed("state " + status);
                }
            }
            dispatcher.processBatch(to -> {
                if (kind == KIND_OBJECT_PURGE) {
                    long object = readUnsigned(start, 8) & Long.MAX_VALUE;
                    listener.purged(to, event, object, -1, readUnsigned(start + 8, 8));
                } else if (kind == KIND_GROUP_PURGE) {
                    int group = (int) readUnsigned(start, 2);
                    listener.purged(to, event, -1, group, readUnsigned(start + 2, 8));
                } else {
                    nodeRecords(to, event, kind, start, end);
                }
            });
            reconnectDelayMs = MIN_RECONNECT_DELAY_MS;
            return true;
        }

        private boolean heartbeat(long event, int size) {
            reconnectDelayMs = MIN_RECONNECT_DELAY_MS;
            if (size != 0) return malformed("a heartbeat with a payload");
            boolean[] restart = new boolean[1];
            dispatcher.processBatch(to -> restart[0] = listener.heartbeat(to, event));
            if (restart[0]) {
                end("its event numbers are older than the known list");
            } else if (event > listener.lastEvent()) {
                // The heartbeat confirms an event that never arrived: it was lost and is requested again.
                return malformed("heartbeat for event " + event + ", last known " + listener.lastEvent());
            }
            return !restart[0];
        }

        private void nodeRecords(Director to, long event, int kind, int start, int end) {
            int update = kind == KIND_SNAPSHOT ? Director.LIST_SNAPSHOT : Director.LIST_DELTA;
            if (!listener.listStarted(to, event, update)) return;
            for (int record = start; record < end; record += NODE_RECORD_BYTES) {
                InetSocketAddress nodeAddress;
                try {
                    byte[] ipAddress = Arrays.copyOfRange(bytes, record + 4, record + 8);
                    int port = (int) readUnsigned(record + 8, 2);
                    nodeAddress = new InetSocketAddress(InetAddress.getByAddress(ipAddress), port);
                } catch (UnknownHostException e) {
                    throw new IllegalStateException(e);  // four bytes are always a valid address
                }
                String id = String.format("s-%08x", readUnsigned(record, 4));
                int status = bytes[record + 10];
                int zone = bytes[record + 11];
                int nodeKind = bytes[record + 12];
                int cell = (int) readUnsigned(record + 13, 2);
                double units = readUnsigned(record + 15, 4) / 1000.0;
                listener.nodeListed(to, id, nodeAddress, zone, nodeKind, cell, status, units,
                    readUnsigned(record + 19, 8));
            }
            listener.listFinished(to);
        }

        /** Reads a big-endian number of {@code size} bytes. */
        private long readUnsigned(int start, int size) {
            long value = 0;
            for (int i = 0; i < size; i++) value = value << 8 | bytes[start + i] & 0xff;
            return value;
        }

        private boolean malformed(String problem) {
            dispatcher.counters.badFrame++;
            if (dispatcher.counters.mayWarn()) LOG.warn("discovery sent a malformed frame ({})", problem);
            end("malformed frame");
            return false;
        }
    }
}
