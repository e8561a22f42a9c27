import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.ConcurrentHashMap;

/** A cache node, parent or origin: the lines of kit/real/PROTOCOL.md. What it answers is up to the case. */
final class Node implements Closeable {
    static final int CACHE = 0;
    static final int PARENT = 1;
    static final int ORIGIN = 2;
    private static final String[] KINDS = {"standard", "parent", "origin"};

    /** A request as it came. */
    static final class Request {
        final Node node;
        final Link link;
        final String id;
        final Map<String, String> fields = new HashMap<>();
        final double atMs;

        Request(Link link, String line, double atMs) {
            this.node = link.node;
            this.link = link;
            this.atMs = atMs;
            String[] words = line.split(" ");
            id = words[1];
            for (String field : words[2].split(",")) {
                int equals = field.indexOf('=');
                if (equals > 0) fields.put(field.substring(0, equals), field.substring(equals + 1));
            }
        }

        String sort() {
            return fields.get("sort");
        }

        String asset() {
            return fields.get("asset");
        }
    }

    /** What a case makes of a request; called on a thread of the connection. */
    interface Behaviour {
        void asked(Request request) throws IOException;
    }

    /** One connection of a director. */
    final class Link {
        final Node node = Node.this;
        final Socket socket;
        /** Requests that have not been given up. */
        final Map<String, Request> open = new ConcurrentHashMap<>();
        /** Held while an answer is sent piece by piece. */
        final Object sending = new Object();

        Link(Socket socket) {
            this.socket = socket;
        }

        synchronized void write(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
        }

        /** Answers unless the request was given up or its connection ended. */
        void answer(Request request, String word, String fields, byte[] body) throws IOException {
            if (open.remove(request.id, request)) {
                byte[] head = (request.id + " " + word + " " + fields + " " + body.length + "\r\n")
                    .getBytes(StandardCharsets.US_ASCII);
                byte[] all = Arrays.copyOf(head, head.length + body.length + 2);
                System.arraycopy(body, 0, all, head.length, body.length);
                all[all.length - 2] = '\r';
                all[all.length - 1] = '\n';
                write(all);
            }
        }

        private void serve() {
            try (socket; InputStream in = new BufferedInputStream(socket.getInputStream())) {
                StringBuilder buffer = new StringBuilder();
                for (int next; (next = in.read()) >= 0;) {
                    if (next != '\n') {
                        buffer.append((char) next);
                        continue;
                    }
                    String line = buffer.toString().strip();
                    buffer.setLength(0);
                    if (line.startsWith("want ")) {
                        int length = Integer.parseInt(line.substring(line.lastIndexOf(' ') + 1));
                        in.skipNBytes(length + 2);
                        Request request = new Request(this, line, stage.ms());
                        open.put(request.id, request);
                        asked.incrementAndGet();
                        behaviour.asked(request);
                    } else if (line.startsWith("never_mind ")) {
                        open.remove(line.substring(11));
                    } else if (line.startsWith("there ") || line.startsWith("busy ")) {
                        String tag = line.split(" ")[1];
                        write((tag + " FIT l=busy_reqs:1;cpu_share:0.3;x1:0.3 0\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                    }
                }
            } catch (IOException e) {
                return;
            } finally {
                open.clear();
                links.remove(this);
            }
        }
    }

    final Stage stage;
    final int number;
    final int kind;
    final double units;
    volatile Behaviour behaviour;
    final ServerSocket server;
    final AtomicInteger asked = new AtomicInteger();
    final AtomicInteger connections = new AtomicInteger();
    final Set<Link> links = ConcurrentHashMap.newKeySet();

    Node(Stage stage, int number, int kind, double units, Behaviour behaviour) throws IOException {
        this.stage = stage;
        this.number = number;
        this.kind = kind;
        this.units = units;
        this.behaviour = behaviour;
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        stage.closing(this);
        stage.threads.execute(() -> {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    connections.incrementAndGet();
                    Link link = new Link(socket);
                    links.add(link);
                    stage.threads.execute(link::serve);
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    String id() {
        return String.format("s-%08x", number);
    }

    int port() {
        return server.getLocalPort();
    }

    /** As a member of the list in a configuration. */
    String member(String phase, long upSince) {
        return String.format(Locale.ROOT, "{\"id\":\"%s\",\"host_port\":\"127.0.0.1:%d\",\"locality\":\"main\","
            + "\"flavor\":\"%s\",\"cell\":0,\"phase\":\"%s\",\"size\":%s,\"up_since_ms\":%d}", id(), port(),
            KINDS[kind], phase, units, upSince);
    }

    /** Ends its process: connections are reset, new ones refused. */
    @Override public void close() throws IOException {
        server.close();
        for (Link link : links) {
            try {
                link.socket.setSoLinger(true, 0);
            } catch (SocketException e) {
                continue;
            } finally {
                link.socket.close();
            }
        }
    }
}
