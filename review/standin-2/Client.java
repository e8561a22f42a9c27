import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;

/** A client of a director: HTTP/1.1, one request at a time on a connection. */
final class Client implements Closeable {
    /** An answer; {@code whole} is false where the connection ended within the body. */
    record Answer(int status, Map<String, String> fields, byte[] body, boolean whole) { }

    final Socket socket = new Socket();
    private final InputStream in;
    private boolean closes;

    Client(int port) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 5000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static String request(String workload, long object, int part, long id, int waitMs, int lot, double kb) {
        return String.format(Locale.ROOT, "GET /api/v2/%s/%016x/piece-%d HTTP/1.1\r\nHost: origin.svc\r\n"
            + "Req-Id: %016x\r\nReq-Wait-Ms: %d\r\nX-Lot: %d\r\n%s\r\n", workload, object, part, id, waitMs, lot,
            kb > 0 ? String.format(Locale.ROOT, "Req-Kb: %.1f\r\n", kb) : "");
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }

    /** Reads one answer; null where none came within the time. Throws where the connection ended before one. */
    Answer read(double withinMs) throws IOException {
        double until = System.nanoTime() / 1e6 + withinMs;
        try {
            String head = line(until);
            Map<String, String> fields = new TreeMap<>();
            for (String field; !(field = line(until)).isEmpty();) {
                int colon = field.indexOf(':');
                fields.put(field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).strip());
            }
            closes = "close".equalsIgnoreCase(fields.get("connection"));
            int status = Integer.parseInt(head.split(" ")[1]);
            byte[] body = new byte[status == 304 ? 0 : Integer.parseInt(fields.getOrDefault("content-length", "0"))];
            int got = 0;
            while (got < body.length) {
                time(until);
                int n = in.read(body, got, body.length - got);
                if (n < 0) return new Answer(status, fields, body, false);
                got += n;
            }
            return new Answer(status, fields, body, true);
        } catch (SocketTimeoutException e) {
            return null;
        }
    }

    /** Whether the director closes this connection after the answer that was read last. */
    boolean closes() {
        return closes;
    }

    private void time(double until) throws IOException {
        double left = until - System.nanoTime() / 1e6;
        if (left < 1) throw new SocketTimeoutException();
        socket.setSoTimeout((int) left);
    }

    private String line(double until) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            time(until);
            int next = in.read();
            if (next < 0) throw new EOFException("closed before an answer");
            if (next == '\n') return line.toString().strip();
            line.append((char) next);
        }
    }

    @Override public void close() throws IOException {
        socket.close();
    }
}
