package mothcross.rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A cache, a parent or the origin for the directors of a play: has every object, and answers at once. Owns its socket
 * and threads; must never listen off loopback.
 */
final class StandIn implements AutoCloseable {
    enum Kind { CACHE, PARENT, ORIGIN }

    private final int number;
    private final Kind kind;
    private final ServerSocket server = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
    private final List<Socket> open = new CopyOnWriteArrayList<>();

    StandIn(int number, Kind kind) throws IOException {
        this.number = number;
        this.kind = kind;
        start(this::serve);
    }

    private static void start(Runnable r) {
        Thread t = new Thread(r, "stand-in");
        t.setDaemon(true);
        t.start();
    }

    /** As discovery's file has it. */
    String listed() {
        return String.format("{\"id\":\"s-%08x\",\"host_port\":\"127.0.0.1:%d\",\"locality\":\"here\","
            + "\"flavor\":\"%s\","
            + "\"cell\":0,\"phase\":\"in_service\",\"size\":4,\"up_since_ms\":0}", number, server.getLocalPort(),
            kind.name().toLowerCase(java.util.Locale.ROOT));
    }

    private void serve() {
        while (!server.isClosed()) {
            try {
                Socket s = server.accept();
                s.setTcpNoDelay(true);
                open.add(s);
                start(() -> talk(s));
            } catch (IOException e) {
                return;
            }
        }
    }

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
                out.write((l.split(" ")[1] + " DONE n=" + (kind == Kind.ORIGIN ? "origin" : "mem")
                    + ",minted=1 2\r\nok\r\n").getBytes(StandardCharsets.US_ASCII));
                out.flush();
            }
        } catch (IOException e) {
            open.remove(s);
        }
    }

    @Override public void close() throws IOException {
        server.close();
        for (Socket s : open) s.close();
    }
}
