import java.io.*;
import java.net.*;
import java.nio.ByteBuffer;
import java.util.*;

/** The bulletin: numbered events as frames, and each second an empty one. */
class Bulletin implements Closeable {
    static final int READY = 0;
    static final int DRAINING = 1;
    static final int GONE = 2;
    private final Stage stage;
    final ServerSocket server;
    private final TreeMap<Long, byte[]> events = new TreeMap<>();
    private long last;
    private final List<Socket> sockets = new ArrayList<>();

    /** {@code last} is the number of the last event that is in the directors' configuration. */
    Bulletin(Stage stage, long last) throws IOException {
        this.stage = stage;
        this.last = last;
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        stage.closing(this);
        stage.threads.execute(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    String address() {
        return "127.0.0.1:" + port();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                stage.threads.execute(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    /** Called before a connection is read and answered. */
    void beforeServing(Socket socket) throws IOException { }

    private void serve(Socket socket) {
        try (socket) {
            beforeServing(socket);
            long after = new DataInputStream(socket.getInputStream()).readLong();
            stage.note("bulletin %d: a director asks for events after %d", port(), after);
            synchronized (this) {
                for (byte[] event : events.tailMap(after, false).values()) socket.getOutputStream().write(event);
                sockets.add(socket);
            }
            while (!server.isClosed()) {
                synchronized (this) {
                    socket.getOutputStream().write(frame(last, 0, new byte[0]));
                }
                Stage.sleep(1000);
            }
        } catch (IOException e) {
            stage.note("bulletin %d: a connection ended (%s)", port(), e.getMessage());
        }
        synchronized (this) {
            sockets.remove(socket);
        }
    }

    private static byte[] frame(long number, int kind, byte[] payload) {
        return ByteBuffer.allocate(13 + payload.length).putInt(9 + payload.length).putLong(number).put((byte) kind)
            .put(payload).array();
    }

    private synchronized long tell(int kind, byte[] payload) {
        byte[] frame = frame(++last, kind, payload);
        events.put(last, frame);
        for (Socket socket : sockets) {
            try {
                socket.getOutputStream().write(frame);
            } catch (IOException e) {
                continue;
            }
        }
        return last;
    }

    /** Changes of the list; returns the event's number. */
    long change(int state, long started, Node... nodes) {
        ByteBuffer records = ByteBuffer.allocate(27 * nodes.length);
        for (Node node : nodes) {
            records.putInt(node.number).put(new byte[] {127, 0, 0, 1}).putShort((short) node.port());
            records.put((byte) state).put((byte) 0).put((byte) node.kind).putShort((short) 0);
            records.putInt((int) (1000 * node.units)).putLong(started);
        }
        long number = tell(2, records.array());
        stage.note("bulletin %d: event %d: state %d of %d nodes", port(), number, state, nodes.length);
        return number;
    }

    /** A purge of a group issued at {@code at}, Unix ms. */
    long purgeGroup(int group, long at) {
        return tell(4, ByteBuffer.allocate(10).putShort((short) group).putLong(at).array());
    }

    /** A bulletin at another address that goes on with the same events and numbers. */
    synchronized Bulletin successor() throws IOException {
        Bulletin other = new Bulletin(stage, last);
        other.events.putAll(events);
        return other;
    }

    /** Another address has taken over: no new connection, no news; open connections are closed after 1.5 s. */
    void moved() throws IOException {
        server.close();
        stage.timers.schedule(() -> {
            synchronized (this) {
                for (Socket socket : sockets) socket.close();
            }
            return null;
        }, 1500, java.util.concurrent.TimeUnit.MILLISECONDS);
    }

    @Override public void close() throws IOException {
        server.close();
    }
}
