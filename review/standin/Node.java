import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.*;
import java.util.function.*;

/**
 * A sound cache, parent or origin: answers each request after its latency, heeds never_mind, fills what it lacks from
 * the source that the request names, keeps it where it is told to, and drops purged copies in its own time.
 */
final class Node implements Closeable {
    static final int CACHE = 0;
    static final int PARENT = 1;
    static final int ORIGIN = 2;
    static final ScheduledExecutorService TIMER = Executors.newScheduledThreadPool(4, task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    /** A request that came whole: when, in Unix ms, its id and its fields. */
    record Arrival(long at, String id, Map<String, String> fields, int bodyLength) { }

    private static final Map<String, Node> BY_ID = new ConcurrentHashMap<>();

    final int number;
    final int kind;
    final int port;
    final double units = 4;
    final long startedAt;
    /** How long a request takes, in ms. */
    volatile ToDoubleFunction<Arrival> latency = arrival -> 10;
    /** By object: the Unix ms at which the origin gave out the copy that is held. */
    private final Map<String, Long> copies = new ConcurrentHashMap<>();
    final List<Arrival> arrivals = Collections.synchronizedList(new ArrayList<>());
    private final ServerSocket server;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    Node(int number, int kind) throws IOException {
        this(number, kind, 0);
    }

    Node(int number, int kind, long startedAt) throws IOException {
        this.number = number;
        this.kind = kind;
        this.startedAt = startedAt;
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        port = server.getLocalPort();
        BY_ID.put(id(), this);
        start(this::accept);
    }

    String id() {
        return String.format("s-%08x", number);
    }

    static void start(Runnable task) {
        Thread thread = new Thread(null, task, "stand-in", 256 << 10);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket connection = server.accept();
                connection.setTcpNoDelay(true);
                connections.add(connection);
                start(() -> serve(connection));
            }
        } catch (IOException e) {
            return;
        }
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next; (next = in.read()) != '\n';) {
            if (next < 0) return null;
            line.append((char) next);
        }
        return line.substring(0, line.length() - 1);
    }

    private void serve(Socket connection) {
        Set<String> open = ConcurrentHashMap.newKeySet();
        try (connection; InputStream in = new BufferedInputStream(connection.getInputStream())) {
            OutputStream out = connection.getOutputStream();
            for (String line; (line = readLine(in)) != null;) {
                String[] words = line.split(" ");
                switch (words[0]) {
                    case "want" -> {
                        int length = Integer.parseInt(words[3]);
                        in.skipNBytes(length + 2);
                        Map<String, String> fields = new LinkedHashMap<>();
                        for (String field : words[2].split(",")) {
                            int equals = field.indexOf('=');
                            fields.put(field.substring(0, equals), field.substring(equals + 1));
                        }
                        Arrival arrival = new Arrival(System.currentTimeMillis(), words[1], fields, length);
                        arrivals.add(arrival);
                        open.add(words[1]);
                        double waitMs = latency.applyAsDouble(arrival);
                        TIMER.schedule(() -> {
                            if (open.remove(words[1])) answer(out, arrival);
                        }, (long) (waitMs * 1000), TimeUnit.MICROSECONDS);
                    }
                    case "never_mind" -> open.remove(words[1]);
                    case "there", "busy" -> write(out, words[1] + " FIT - 0\r\n\r\n");
                    default -> throw new IOException("unknown command " + line);
                }
            }
        } catch (IOException e) {
            return;
        } finally {
            open.clear();
            connections.remove(connection);
        }
    }

    /** Copies given out before then are dropped after the delay, which the settings bound. */
    void dropLater(long issued, long delayMs) {
        TIMER.schedule(() -> copies.values().removeIf(minted -> minted < issued), delayMs, TimeUnit.MILLISECONDS);
    }

    private static boolean isFresh(Long minted, long now, Arrival arrival) {
        long oldest = Long.parseLong(arrival.fields.getOrDefault("fresh", "0"));
        return minted != null && (oldest == 0 || now - minted <= oldest);
    }

    private void answer(OutputStream out, Arrival arrival) {
        String asset = arrival.fields.get("asset");
        Node source = BY_ID.get(arrival.fields.getOrDefault("via", ""));
        long now = System.currentTimeMillis();
        Long minted = kind == ORIGIN ? Long.valueOf(now) : copies.get(asset);
        String note = kind == ORIGIN ? "origin" : "mem";
        if (kind != ORIGIN && !isFresh(minted, now, arrival)) {
            minted = source == null || source.kind == ORIGIN ? null : source.copies.get(asset);
            note = "parent";
            if (!isFresh(minted, now, arrival)) {
                minted = null;
                boolean peeks = arrival.fields.getOrDefault("opts", "").contains("peek");
                if (source != null && !peeks) {
                    minted = now;
                    note = "origin";
                    if (source.kind == PARENT) source.copies.put(asset, now);
                }
            }
            if (minted != null && !arrival.fields.getOrDefault("tier", "0").equals("0")) copies.put(asset, minted);
        }
        try {
            if (minted == null) {
                write(out, arrival.id + " LACK - 0\r\n\r\n");
                return;
            }
            String body = asset + " " + minted;
            write(out, arrival.id + " DONE n=" + note + ",tag=t" + minted + ",minted=" + minted + " " + body.length()
                + "\r\n" + body + "\r\n");
        } catch (IOException e) {
            return;
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        synchronized (out) {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
    }

    @Override public void close() throws IOException {
        server.close();
        for (Socket connection : connections) connection.close();
    }
}
