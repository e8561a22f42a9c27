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
 * A cache, parent or origin for tests: answers every lookup as a hit and records what arrives and when. It can be
 * stopped (connections are refused), stop answering connects, become unresponsive, come back with a cold cache, and
 * fail under load while cold.
 */
public final class FakeNode implements AutoCloseable {
    public static final int CACHE = 0;
    public static final int PARENT = 1;
    public static final int ORIGIN = 2;
    // Cold starts, as in the settings of the test's directors.
    /** The share of its full load that a node bears right after its start. */
    private static final double COLD_SHARE = 0.15;
    private static final double WARM_UP_MS = 14_000;
    /** A node fails at this multiple of the load it is rated for, measured over the window. */
    private static final double FAILURE_FACTOR = 3;
    private static final double LOAD_WINDOW_MS = 1500;
    private static final double SEND_RATE_KB_PER_MS = 9;
    private static final int BACKLOG = 50;

    /** A lookup that arrived: the time by System.nanoTime and in Unix ms, and its request line. */
    public record Arrival(long nano, double at, String line) { }

    /** The cost of a lookup in ms of sending, and when it arrived. */
    private record Work(double at, double costMs) { }

    private final int number;
    private final int kind;
    private final double units;
    private final double startedAt;
    private final long listedStart;
    private final ReservedPort reservedPort;                // keeps the address while the node is stopped
    private final int port;
    private ServerSocket server;
    private final List<Socket> backlogFillers = new ArrayList<>();
    private final List<Socket> connections = new ArrayList<>();
    private final List<Arrival> arrivals = new ArrayList<>();
    private final ArrayDeque<Work> recentWork = new ArrayDeque<>();
    private double recentWorkMs;
    private double maxLoadShare;
    private boolean unresponsive;
    private boolean overloaded;
    private double lookupIntervalNs;
    private double freeAtNanos;
    private double lookupKb = 1000;

    /**
     * {@code startedAt} is when its cache was empty, Unix ms, or 0 for a warm one; {@code listedStart} is the start
     * that discovery reports. {@code requestedPort} 0 is any port.
     */
    public FakeNode(int number, int kind, double units, double startedAt, long listedStart, int requestedPort)
        throws IOException {
        this.number = number;
        this.kind = kind;
        this.units = units;
        this.startedAt = startedAt;
        this.listedStart = listedStart;
        reservedPort = new ReservedPort(requestedPort);
        port = reservedPort.port;
        serve(reservedPort.listen(BACKLOG));
    }

    public FakeNode(int number, int kind) throws IOException {
        this(number, kind, 4, 0, 0, 0);
    }

    private void serve(ServerSocket listener) {
        server = listener;
        FakeDiscovery.start(() -> {
            while (!listener.isClosed()) {
                try {
                    Socket connection = listener.accept();
                    connection.setTcpNoDelay(true);
                    synchronized (this) {
                        if (listener.isClosed()) {
                            reset(connection);              // accepted while stop() closed the listening socket
                            return;
                        }
                        connections.add(connection);
                    }
                    FakeDiscovery.start(() -> answerLookups(connection));
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

    /** Ends its process: connections are reset, and new ones refused. */
    public synchronized FakeNode stop() throws IOException {
        server.close();
        for (Socket connection : connections) reset(connection);
        connections.clear();
        return this;
    }

    private static void reset(Socket connection) throws IOException {
        try {
            connection.setSoLinger(true, 0);
        } catch (SocketException e) {
            return;                                         // it has already been closed
        }
        connection.close();
    }

    /** Cuts its machine off: connections are not established. */
    public synchronized FakeNode stopAnsweringConnects() throws IOException {
        stop();
        server = reservedPort.listen(1);
        for (int i = 0; i < 2; i++) backlogFillers.add(new Socket(server.getInetAddress(), port));
        return this;
    }

    /** Stops this node and starts another one at its address. */
    public FakeNode replacedBy(int otherNumber, double otherStartedAt, long otherListedStart) throws IOException {
        stop();
        return new FakeNode(otherNumber, kind, units, otherStartedAt, otherListedStart, port);
    }

    /** While on, lookups arrive but are not answered. */
    public synchronized void setUnresponsive(boolean on) {
        unresponsive = on;
    }

    /** Answers at most so many lookups a second; others wait. */
    public synchronized void limitRate(double lookupsPerSecond) {
        lookupIntervalNs = 1e9 / lookupsPerSecond;
    }

    /** The size of each of the test's lookups, from which the load on a cold node is computed; 1,000 KB by default. */
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

    /** Whether it has failed under load while cold. */
    public synchronized boolean overloaded() {
        return overloaded;
    }

    /** The highest load within a window, as a share of the load at which it fails. */
    public synchronized double maxLoadShare() {
        return maxLoadShare;
    }

    // ---- the protocol ----

    private void answerLookups(Socket connection) {
        try (connection; InputStream in = new BufferedInputStream(connection.getInputStream())) {
            OutputStream out = connection.getOutputStream();
            StringBuilder buffer = new StringBuilder();
            for (int next; (next = in.read()) >= 0;) {
                if (next != '\n') {
                    buffer.append((char) next);
                    continue;
                }
                String line = buffer.toString().strip();
                buffer.setLength(0);
                if (!line.startsWith("want ")) continue;
                in.skipNBytes(Integer.parseInt(line.substring(line.lastIndexOf(' ') + 1)) + 2);
                synchronized (this) {
                    if (!connections.contains(connection)) return;  // read while stop() closed the socket
                    arrivals.add(new Arrival(System.nanoTime(), System.currentTimeMillis(), line));
                    addLoad();
                    if (overloaded) return;
                    if (unresponsive) continue;
                }
                awaitTurn();
                String source = kind == ORIGIN ? "origin" : "mem";
                out.write((line.split(" ")[1] + " DONE n=" + source
                    + ",minted=1 2\r\nok\r\n").getBytes(StandardCharsets.US_ASCII));
                out.flush();
            }
        } catch (IOException e) {
            synchronized (this) {
                connections.remove(connection);
            }
        }
    }

    /** Waits until the rate limit allows the next answer. */
    private void awaitTurn() {
        double turnNanos;
        synchronized (this) {
            turnNanos = freeAtNanos = Math.max(freeAtNanos, System.nanoTime()) + lookupIntervalNs;
        }
        long waitNs = lookupIntervalNs == 0 ? 0 : (long) (turnNanos - System.nanoTime());
        if (waitNs > 0) LockSupport.parkNanos(waitNs);
    }

    /** Adds the cost of a lookup, the time to send it; a cold node with too much of it in a window fails. */
    private void addLoad() {
        double now = System.currentTimeMillis();
        double costMs = lookupKb / SEND_RATE_KB_PER_MS;
        if (startedAt == 0 || kind == ORIGIN) return;
        recentWork.add(new Work(now, costMs));
        recentWorkMs += costMs;
        while (recentWork.peek().at < now - LOAD_WINDOW_MS) recentWorkMs -= recentWork.poll().costMs;
        double warmth = Math.min(1, COLD_SHARE + (1 - COLD_SHARE) * Math.max(0, now - startedAt) / WARM_UP_MS);
        double failureLoadMs = FAILURE_FACTOR * units * warmth * LOAD_WINDOW_MS;
        maxLoadShare = Math.max(maxLoadShare, recentWorkMs / failureLoadMs);
        overloaded |= maxLoadShare > 1;
    }

    @Override public synchronized void close() throws IOException {
        stop();
        for (Socket filler : backlogFillers) filler.close();
        reservedPort.close();
    }
}
