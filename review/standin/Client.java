import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.ThreadLocalRandom;

/** A client with one connection, kept alive between requests. */
final class Client implements Closeable {
    record Answer(int status, Map<String, String> fields, String body) { }

    private final Socket socket;
    private final InputStream in;

    Client(int port) throws IOException {
        socket = new Socket();
        socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static String newId() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    static String get(String workload, long object, String id, long waitMs, double kb) {
        return "GET /api/v2/" + workload + "/" + String.format("%016x", object) + "/piece-0 HTTP/1.1\r\nHost: origin.svc\r\n"
            + "Req-Id: " + id + "\r\nReq-Wait-Ms: " + waitMs + "\r\nX-Lot: 17\r\nReq-Kb: " + kb + "\r\n\r\n";
    }

    void send(String bytes) throws IOException {
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** The next answer; null where the connection ended before it was whole, or none came in time. */
    Answer receive(int timeoutMs) {
        try {
            socket.setSoTimeout(Math.max(1, timeoutMs));
            String head = Node.readLine(in);
            if (head == null) return null;
            Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
            for (String line; !(line = Node.readLine(in)).isEmpty();) {
                fields.put(line.substring(0, line.indexOf(':')), line.substring(line.indexOf(':') + 1).strip());
            }
            byte[] body = in.readNBytes(Integer.parseInt(fields.getOrDefault("Content-Length", "0")));
            return new Answer(Integer.parseInt(head.split(" ")[1]), fields, new String(body, StandardCharsets.ISO_8859_1));
        } catch (IOException | NullPointerException e) {
            return null;
        }
    }

    @Override public void close() throws IOException {
        socket.close();
    }
}
