package mothcross.standin;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.locks.LockSupport;

/**
 * A stand-in for a cache, a parent or the origin: answers every lookup from what it holds, counts what arrives and
 * when, and can be gone (refused), vanished (never comes up), mute, back cold, and fall over when pushed. Owns its
 * socket and threads.
 */
public final class FakeNode implements AutoCloseable {
    public static final int CACHE = 0, PARENT = 1, ORIGIN = 2;
    /** What the settings of the test's directors say of cold starts: share at first, ms to warm, factor, ms. */
    private static final double FLOOR = 0.15, WARM_MS = 14_000, BREAKS_AT = 3, SPAN_MS = 1500;

    /** One lookup that came: when by System.nanoTime, by Unix ms, and its line. */
    public record Arrival(long nano, double at, String line) { }

    private final int number, kind;
    private final double units, startedAt;
    private final long listedStart;
    private final ReservedPort held;                        // its address stays its own while it is gone
    private final int port;
    private ServerSocket server;
    private final List<Socket> crowd = new ArrayList<>();   // fills the queue of one that has vanished
    private final List<Socket> open = new ArrayList<>();
    private final List<Arrival> arrivals = new ArrayList<>();
    private final ArrayDeque<double[]> work = new ArrayDeque<>();
    private double lately, maxLoadShare;
    private boolean unresponsive, overloaded;
    private double gapNs, freeAt, lookupKb = 1000;

    /** A box that runs since {@code startedAt} (Unix ms,
        0: for long); {@code listedStart}: what discovery says of that. */
    public FakeNode(int number, int kind, double units, double startedAt, long toldStart, int atPort)
        throws IOException {
        this.number = number;
        this.kind = kind;
        this.units = units;
        this.startedAt = startedAt;
        this.listedStart = toldStart;
        held = new ReservedPort(atPort);
        port = held.port;
        serve(held.listen(50));
    }

    public FakeNode(int number, int kind) throws IOException {
        this(number, kind, 4, 0, 0, 0);
    }

    private void serve(ServerSocket s) {
        server = s;
        FakeDiscovery.start(() -> {
            while (!s.isClosed()) {
                try {
                    Socket c = s.accept();
                    c.setTcpNoDelay(true);
                    synchronized (this) {
                        open.add(c);
                    }
                    FakeDiscovery.start(() -> talk(c));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    public int number() {
        return number;
    }

    public String id() {
        return String.format("s-%08x", number);
    }

    public int port() {
        return port;
    }

    public int kind() {
        return kind;
    }

    public double units() {
        return units;
    }

    public long listedStart() {
        return listedStart;
    }

    // ---- the script ----

    /** Its process has ended: connections are reset, new ones refused. */
    public synchronized FakeNode stop() throws IOException {
        server.close();
        for (Socket s : open) {
            try {
                s.setSoLinger(true, 0);
            } catch (SocketException e) {
                continue;                                   // its own end came first
            }
            s.close();
        }
        open.clear();
        return this;
    }

    /** Its machine is cut off: connections never come up. */
    public synchronized FakeNode stopAnsweringConnects() throws IOException {
        stop();
        server = held.listen(1);
        for (int i = 0; i < 2; i++) crowd.add(new Socket(server.getInetAddress(), port));
        return this;
    }

    /** Another box takes over the address of this one, which has gone. */
    public FakeNode replacedBy(int otherNumber, double started, long told) throws IOException {
        stop();
        return new FakeNode(otherNumber, kind, units, started, told, port);
    }

    public synchronized void setUnresponsive(boolean on) {
        unresponsive = on;
    }

    /** From now on so many lookups a second are answered, the others wait their turn. */
    public synchronized void limitRate(double perS) {
        gapNs = 1e9 / perS;
    }

    /** How much each of the test's lookups is, for what a cold box bears; 1,000 KB unless told. */
    public synchronized FakeNode setLookupSize(double kb) {
        lookupKb = kb;
        return this;
    }

    public synchronized List<Arrival> arrivals() {
        return List.copyOf(arrivals);
    }

    public synchronized int arrivalCount() {
        return arrivals.size();
    }

    public synchronized boolean overloaded() {
        return overloaded;
    }

    /** The most that came within a span, as a share of what it takes to fall over. */
    public synchronized double maxLoadShare() {
        return maxLoadShare;
    }

    // ---- the wire ----

    private void talk(Socket s) {
        try (s; InputStream in = new BufferedInputStream(s.getInputStream())) {
            OutputStream out = s.getOutputStream();
            StringBuilder line = new StringBuilder();
            for (int b; (b = in.read()) >= 0;) {
                if (b != '\n') {
                    line.append((char) b);
                    continue;
                }
                String l = line.toString().strip();
                line.setLength(0);
                if (!l.startsWith("want ")) continue;
                in.skipNBytes(Integer.parseInt(l.substring(l.lastIndexOf(' ') + 1)) + 2);
                synchronized (this) {
                    arrivals.add(new Arrival(System.nanoTime(), System.currentTimeMillis(), l));
                    pushed();
                    if (overloaded) return;
                    if (unresponsive) continue;
                }
                double turn;
                synchronized (this) {
                    turn = freeAt = Math.max(freeAt, System.nanoTime()) + gapNs;
                }
                long wait = gapNs == 0 ? 0 : (long) (turn - System.nanoTime());
                if (wait > 0) LockSupport.parkNanos(wait);
                String source = kind == ORIGIN ? "origin" : "mem";
                out.write((l.split(" ")[1] + " DONE n=" + source
                    + ",minted=1 2\r\nok\r\n").getBytes(StandardCharsets.US_ASCII));
                out.flush();
            }
        } catch (IOException e) {
            synchronized (this) {
                open.remove(s);
            }
        }
    }

    /** A lookup costs its sending at 9,000 KB/s; a cold box that gets too much in a span falls over. */
    private void pushed() {
        double now = System.currentTimeMillis(), cost = lookupKb / 9;
        if (startedAt == 0 || kind == ORIGIN) return;
        work.add(new double[] {now, cost});
        lately += cost;
        while (work.peek()[0] < now - SPAN_MS) lately -= work.poll()[1];
        double share = Math.min(1, FLOOR + (1 - FLOOR) * Math.max(0, now - startedAt) / WARM_MS);
        maxLoadShare = Math.max(maxLoadShare, lately / (BREAKS_AT * units * share * SPAN_MS));
        overloaded |= maxLoadShare > 1;
    }

    @Override public synchronized void close() throws IOException {
        stop();
        for (Socket s : crowd) s.close();
        held.close();
    }
}
