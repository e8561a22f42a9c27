import java.io.*;
import java.net.*;
import java.nio.ByteBuffer;
import java.util.*;
import java.util.concurrent.*;

/** A sound bulletin for one director: numbered events, those after the number that is asked for, an empty frame a second. */
final class Bulletin implements Closeable {
    static final int READY = 0;
    static final int DRAINING = 1;
    static final int GONE = 2;
    final int port;
    private final ServerSocket server;
    private final TreeMap<Long, byte[]> frames = new TreeMap<>();
    private final List<String> items = new ArrayList<>();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private long last;
    /** How long a connection that asks waits for its first frame, as at a bulletin that is crowded. */
    volatile int crowdedMs;
    /** Numbers that directors have asked with. */
    final List<Long> asked = Collections.synchronizedList(new ArrayList<>());

    Bulletin() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        port = server.getLocalPort();
        Node.start(this::accept);
    }

    /** The events so far, as they stand under "known". */
    synchronized String known() {
        return "{\"no\":" + last + ",\"items\":[" + String.join(",\n", items) + "]}";
    }

    synchronized long last() {
        return last;
    }

    /** The platform numbers the events from 1 at each start of its director. */
    synchronized void numberAnew() throws IOException {
        frames.clear();
        items.clear();
        last = 0;
        for (Socket connection : connections) connection.close();
        connections.clear();
    }

    synchronized long list(boolean whole, int state, Node... nodes) throws IOException {
        ByteBuffer payload = ByteBuffer.allocate(27 * nodes.length);
        StringBuilder members = new StringBuilder();
        for (Node node : nodes) {
            payload.putInt(node.number).put(new byte[] {127, 0, 0, 1}).putShort((short) node.port).put((byte) state)
                .put((byte) 0).put((byte) node.kind).putShort((short) 0).putInt((int) (node.units * 1000))
                .putLong(node.startedAt);
            members.append(members.length() > 0 ? "," : "")
                .append(Lab.member(node, List.of("in_service", "terminating", "terminated").get(state)));
        }
        return event(whole ? 1 : 2, payload.array(), "\"roster\":{\"revision\":" + (last + 1) + ",\"complete\":" + whole
            + ",\"members\":[" + members + "]}");
    }

    synchronized long purgeGroup(int group, long issued) throws IOException {
        return event(4, ByteBuffer.allocate(10).putShort((short) group).putLong(issued).array(),
            "\"recall\":{\"lot\":" + group + ",\"issued\":" + issued + "}");
    }

    synchronized long purge(long object) throws IOException {
        long now = System.currentTimeMillis();
        return event(3, ByteBuffer.allocate(16).putLong(object).putLong(now).array(),
            String.format("\"recall\":{\"item\":\"%016x\",\"issued\":%d}", object, now));
    }

    private long event(int kind, byte[] payload, String json) throws IOException {
        long number = ++last;
        byte[] frame = frame(number, kind, payload);
        frames.put(number, frame);
        items.add("{\"no\":" + number + "," + json + "}");
        for (Socket connection : connections) write(connection, frame);
        return number;
    }

    private static byte[] frame(long number, int kind, byte[] payload) {
        return ByteBuffer.allocate(13 + payload.length).putInt(9 + payload.length).putLong(number).put((byte) kind)
            .put(payload).array();
    }

    private void write(Socket connection, byte[] bytes) {
        try {
            connection.getOutputStream().write(bytes);
        } catch (IOException e) {
            connections.remove(connection);
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket connection = server.accept();
                connection.setTcpNoDelay(true);
                Node.start(() -> serve(connection));
            }
        } catch (IOException e) {
            return;
        }
    }

    private void serve(Socket connection) {
        try {
            long after = new DataInputStream(connection.getInputStream()).readLong();
            asked.add(after);
            Thread.sleep(crowdedMs);
            synchronized (this) {
                for (byte[] frame : frames.tailMap(after, false).values()) write(connection, frame);
                connections.add(connection);
            }
            while (connections.contains(connection)) {
                synchronized (this) {
                    write(connection, frame(last, 0, new byte[0]));
                }
                Thread.sleep(1000);
            }
        } catch (IOException | InterruptedException e) {
            connections.remove(connection);
        }
    }

    @Override public void close() throws IOException {
        server.close();
        for (Socket connection : connections) connection.close();
    }
}
