package mothcross.standin;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.*;
import java.util.function.LongSupplier;

/**
 * A service discovery for tests: sends frames to any number of directors as the test's script calls for. It can stop
 * listening, close its connections, become unresponsive, and go back to older event numbers. By itself it sends
 * heartbeats only, and never an event twice on one connection.
 */
public final class FakeDiscovery implements AutoCloseable {
    /** Status of a node, as in the frames. */
    public static final int READY = 0;
    public static final int DRAINING = 1;
    public static final int REMOVED = 2;
    private static final int HEARTBEAT_INTERVAL_MS = 50;
    private static final int RECORD_BYTES = 27;

    private final ReservedPort reservedPort;
    private final int port;
    private ServerSocket server;
    private final List<Socket> connections = new ArrayList<>();
    private final TreeMap<Long, byte[]> events = new TreeMap<>();
    private final Map<String, ByteBuffer> currentRecords = new LinkedHashMap<>();     // by node id
    private long lastEvent;
    private boolean unresponsive;
    private boolean retired;
    /** Connections that stay open and bring nothing more. */
    private final Set<Socket> muted = new HashSet<>();
    private LongSupplier firstFrameDelayMs = () -> 0;
    private final List<ConnectionHistory> history = new ArrayList<>();

    /** What became of one connection; times by System.nanoTime, 0 for what has not happened. */
    public static final class ConnectionHistory {
        public final long askedAt = System.nanoTime();
        /** When the first frame was written. */
        public volatile long toldAt;
        /** When the director closed it, if that was before the first frame. */
        public volatile long closedUntoldAt;
    }

    /** When each event had been written to every connected director, by System.nanoTime. */
    public final Map<Long, Long> sentAtNanos = new TreeMap<>();

    public FakeDiscovery() throws IOException {
        reservedPort = new ReservedPort(0);
        port = reservedPort.port;
    }

    public int port() {
        return port;
    }

    // ---- the script ----

    /** Starts to listen; a director that asks for events which are no longer kept gets a snapshot. */
    public synchronized void startListening() throws IOException {
        if (server != null) return;
        ServerSocket newServer = reservedPort.listen(50);
        server = newServer;
        start(() -> accept(newServer));
    }

    /** Stops listening and closes all connections. */
    public synchronized void stopListening() throws IOException {
        if (server != null) server.close();
        server = null;
        closeConnections();
    }

    public synchronized void closeConnections() throws IOException {
        for (Socket connection : connections) connection.close();
        connections.clear();
    }

    /** While on, connections stay open and nothing is sent on them. */
    public synchronized void setUnresponsive(boolean on) {
        unresponsive = on;
    }

    /** The connections that are open now stay so, and nothing is sent on them any more. */
    public synchronized void muteConnections() {
        muted.addAll(connections);
    }

    /** Takes no new connection, tells nothing more, and closes the open ones after a while. */
    public synchronized void retire(long closesAfterMs) throws IOException {
        if (server != null) server.close();
        server = null;
        retired = true;
        start(() -> {
            try {
                Thread.sleep(closesAfterMs);                // the platform's delay; no check waits for it
                closeConnections();
            } catch (IOException | InterruptedException e) {
                return;
            }
        });
    }

    /** Draws, for each further connection, how long after its request its first frame comes. */
    public synchronized void setFirstFrameDelay(LongSupplier delayMs) {
        firstFrameDelayMs = delayMs;
    }

    /** All connections on which a director has asked, in that order. */
    public synchronized List<ConnectionHistory> history() {
        return List.copyOf(history);
    }

    /** Goes back to event {@code number}, as after a restore from an older backup. */
    public synchronized void revertTo(long number) {
        events.tailMap(number, false).clear();
        lastEvent = number;
    }

    /** The next event gets this number; earlier events are dropped, as by a truncated log. */
    public synchronized void restartNumbering(long number) {
        events.clear();
        lastEvent = number - 1;
    }

    /** Sends a list of these nodes, all ready; returns the event's number. */
    public synchronized long sendSnapshot(FakeNode... nodes) throws IOException {
        currentRecords.clear();
        return records(1, READY, nodes);
    }

    /** Sends a new status of these nodes, which later snapshots include; returns the event's number. */
    public synchronized long sendChanges(int status, FakeNode... nodes) throws IOException {
        return records(2, status, nodes);
    }

    private long records(int kind, int status, FakeNode... nodes) throws IOException {
        ByteBuffer payload = ByteBuffer.allocate(RECORD_BYTES * nodes.length);
        for (FakeNode node : nodes) {
            ByteBuffer nodeRecord = record(node, status);
            payload.put(nodeRecord.duplicate());
            if (status == REMOVED) currentRecords.remove(node.id());
            else currentRecords.put(node.id(), nodeRecord);
        }
        return send(kind, payload.array());
    }

    private static ByteBuffer record(FakeNode node, int status) {
        ByteBuffer record = ByteBuffer.allocate(RECORD_BYTES);
        record.putInt(node.number()).put(new byte[] {127, 0, 0, 1}).putShort((short) node.port()).put((byte) status);
        record.put((byte) 0).put((byte) node.kind()).putShort((short) 0).putInt((int) (node.units() * 1000));
        return record.putLong(node.listedStart()).flip();
    }

    /** Sends the purge of a group issued at {@code at}, Unix ms; returns the event's number. */
    public synchronized long sendPurge(int group, long at) throws IOException {
        return send(4, ByteBuffer.allocate(10).putShort((short) group).putLong(at).array());
    }

    private long send(int kind, byte[] payload) throws IOException {
        events.put(++lastEvent, frame(lastEvent, kind, payload));
        for (Socket connection : List.copyOf(connections)) write(connection, events.get(lastEvent));
        sentAtNanos.put(lastEvent, System.nanoTime());
        return lastEvent;
    }

    // ---- the protocol ----

    private static byte[] frame(long number, int kind, byte[] payload) {
        return ByteBuffer.allocate(13 + payload.length).putInt(9 + payload.length).putLong(number).put((byte) kind)
            .put(payload).array();
    }

    private void write(Socket to, byte[] bytes) {
        if (unresponsive || retired || muted.contains(to)) return;
        try {
            OutputStream out = to.getOutputStream();
            out.write(bytes);
            out.flush();
        } catch (IOException e) {
            connections.remove(to);
        }
    }

    private void accept(ServerSocket from) {
        while (!from.isClosed()) {
            try {
                Socket connection = from.accept();
                start(() -> serve(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try {
            connection.setTcpNoDelay(true);
            long after = new DataInputStream(connection.getInputStream()).readLong();
            ConnectionHistory entry = new ConnectionHistory();
            long delayMs;
            synchronized (this) {
                history.add(entry);
                delayMs = firstFrameDelayMs.getAsLong();
            }
            if (delayMs > 0 && closedWithin(connection, delayMs)) {
                entry.closedUntoldAt = System.nanoTime();
                connection.close();
                return;
            }
            synchronized (this) {
                entry.toldAt = System.nanoTime();
                if (after < lastEvent && !events.containsKey(after + 1)) {
                    ByteBuffer records = ByteBuffer.allocate(RECORD_BYTES * currentRecords.size());
                    for (ByteBuffer record : currentRecords.values()) records.put(record.duplicate());
                    write(connection, frame(lastEvent, 1, records.array()));
                } else {
                    for (byte[] event : events.tailMap(after, false).values()) write(connection, event);
                }
                connections.add(connection);
            }
            while (!connection.isClosed()) {
                synchronized (this) {
                    if (!connections.contains(connection)) break;
                    write(connection, frame(lastEvent, 0, new byte[0]));
                }
                Thread.sleep(HEARTBEAT_INTERVAL_MS);         // no check waits for it
            }
            connection.close();
        } catch (IOException | InterruptedException e) {
            synchronized (this) {
                connections.remove(connection);
            }
        }
    }

    /** Whether the director closes the connection within that time; returns then, or after it. */
    private static boolean closedWithin(Socket connection, long delayMs) throws IOException {
        connection.setSoTimeout((int) delayMs);
        try {
            return connection.getInputStream().read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (SocketException e) {
            return true;
        }
    }

    static void start(Runnable task) {
        Thread thread = new Thread(task, "stand-in");
        thread.setDaemon(true);
        thread.start();
    }

    @Override public void close() throws IOException {
        stopListening();
        reservedPort.close();
    }
}
