package mothcross.standin;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.*;

/**
 * A stand-in for discovery: speaks the bulletin's frames to any number of directors, from what it was scripted to
 * tell. It can be withheld (nothing listens), cut, silent, start anew with older numbers, and tell in bursts. Owns its
 * socket and threads; must never tell an event twice by itself, nor tell what the script did not.
 */
public final class FakeDiscovery implements AutoCloseable {
    /** Standing as the frames have it. */
    public static final int READY = 0, DRAINING = 1, REMOVED = 2;
    private static final int PULSE_MS = 50;

    private final ReservedPort held;
    private final int port;
    private ServerSocket server;
    private final List<Socket> feeds = new ArrayList<>();
    private final TreeMap<Long, byte[]> events = new TreeMap<>();
    private final Map<String, ByteBuffer> list = new LinkedHashMap<>();     // by id: the record as it stands
    private long last;
    private boolean unresponsive;
    /** When each event had been written to every director that was there, by System.nanoTime. */
    public final Map<Long, Long> sentAtNanos = new TreeMap<>();

    public FakeDiscovery() throws IOException {
        held = new ReservedPort(0);
        port = held.port;
    }

    public int port() {
        return port;
    }

    // ---- the script ----

    /** From now on it listens; a director that asks from a number it no longer has gets the whole list. */
    public synchronized void startListening() throws IOException {
        if (server != null) return;
        ServerSocket s = held.listen(50);
        server = s;
        start(() -> accept(s));
    }

    /** Ends all connections and listens no more. */
    public synchronized void stopListening() throws IOException {
        if (server != null) server.close();
        server = null;
        closeConnections();
    }

    public synchronized void closeConnections() throws IOException {
        for (Socket f : feeds) f.close();
        feeds.clear();
    }

    /** Connections stay open and say nothing. */
    public synchronized void setUnresponsive(boolean on) {
        unresponsive = on;
    }

    /** As after a restore from an older backup: its numbers and its list are those of {@code number}. */
    public synchronized void revertTo(long number) {
        events.tailMap(number, false).clear();
        last = number;
    }

    /** The next event under this number; what came before is forgotten, as by a log that was cut. */
    public synchronized void restartNumbering(long number) {
        events.clear();
        last = number - 1;
    }

    public synchronized long sendSnapshot(FakeNode... boxes) throws IOException {
        list.clear();
        return records(1, READY, boxes);
    }

    /** So many boxes take on this standing; the list of later whole ones follows. */
    public synchronized long sendChanges(int standing, FakeNode... boxes) throws IOException {
        return records(2, standing, boxes);
    }

    private long records(int kind, int standing, FakeNode... boxes) throws IOException {
        ByteBuffer all = ByteBuffer.allocate(27 * boxes.length);
        for (FakeNode b : boxes) {
            ByteBuffer r = record(b, standing);
            all.put(r.duplicate());
            if (standing == REMOVED) list.remove(b.id());
            else list.put(b.id(), r);
        }
        return tell(kind, all.array());
    }

    private static ByteBuffer record(FakeNode b, int standing) {
        ByteBuffer r = ByteBuffer.allocate(27);
        r.putInt(b.number()).put(new byte[] {127, 0, 0, 1}).putShort((short) b.port()).put((byte) standing);
        r.put((byte) 0).put((byte) b.kind()).putShort((short) 0).putInt((int) (b.units() * 1000));
        return r.putLong(b.listedStart()).flip();
    }

    public synchronized long sendPurge(int group, long at) throws IOException {
        return tell(4, ByteBuffer.allocate(10).putShort((short) group).putLong(at).array());
    }

    private long tell(int kind, byte[] payload) throws IOException {
        events.put(++last, frame(last, kind, payload));
        for (Socket f : List.copyOf(feeds)) write(f, events.get(last));
        sentAtNanos.put(last, System.nanoTime());
        return last;
    }

    // ---- the wire ----

    private static byte[] frame(long number, int kind, byte[] payload) {
        return ByteBuffer.allocate(13 + payload.length).putInt(9 + payload.length).putLong(number).put((byte) kind)
            .put(payload).array();
    }

    private void write(Socket to, byte[] bytes) {
        if (unresponsive) return;
        try {
            OutputStream out = to.getOutputStream();
            out.write(bytes);
            out.flush();
        } catch (IOException e) {
            feeds.remove(to);
        }
    }

    private void accept(ServerSocket at) {
        while (!at.isClosed()) {
            try {
                Socket s = at.accept();
                start(() -> feed(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void feed(Socket s) {
        try {
            s.setTcpNoDelay(true);
            long from = new DataInputStream(s.getInputStream()).readLong();
            synchronized (this) {
                if (from < last && !events.containsKey(from + 1)) {
                    ByteBuffer all = ByteBuffer.allocate(27 * list.size());
                    for (ByteBuffer r : list.values()) all.put(r.duplicate());
                    write(s, frame(last, 1, all.array()));
                } else {
                    for (byte[] e : events.tailMap(from, false).values()) write(s, e);
                }
                feeds.add(s);
            }
            while (!s.isClosed()) {
                synchronized (this) {
                    if (!feeds.contains(s)) break;
                    write(s, frame(last, 0, new byte[0]));
                }
                Thread.sleep(PULSE_MS);                     // the pulse of the wire, which no check waits for
            }
            s.close();
        } catch (IOException | InterruptedException e) {
            synchronized (this) {
                feeds.remove(s);
            }
        }
    }

    static void start(Runnable r) {
        Thread t = new Thread(r, "stand-in");
        t.setDaemon(true);
        t.start();
    }

    @Override public void close() throws IOException {
        stopListening();
        held.close();
    }
}
