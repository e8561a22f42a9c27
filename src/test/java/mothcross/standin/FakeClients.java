package mothcross.standin;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-ins for a director's clients: each asks again as soon as it has its answer, or after a pause, and counts
 * how it was answered. Must never ask twice on one connection before the answer.
 */
public final class FakeClients implements AutoCloseable {
    private static final AtomicLong IDS = new AtomicLong(0x1000);
    public final AtomicInteger asked = new AtomicInteger(), handled = new AtomicInteger(),
        refused = new AtomicInteger(),
        failed = new AtomicInteger();
    private volatile boolean over;
    private final Thread[] all;

    /** So many clients, each pausing so long; objects are numbered on from {@code objects} upwards, so all differ. */
    public FakeClients(int port, int number, int pauseMs, int kb, int objects) {
        AtomicInteger next = new AtomicInteger(objects);
        all = new Thread[number];
        for (int i = 0; i < number; i++) {
            all[i] = new Thread(() -> ask(port, pauseMs, kb, next), "client");
            all[i].setDaemon(true);
            all[i].start();
        }
    }

    private void ask(int port, int pauseMs, int kb, AtomicInteger next) {
        while (!over) {
            try (Client c = new Client(port)) {
                while (!over) {
                    asked.incrementAndGet();
                    int status = c.status(next.getAndIncrement(), kb, 3);
                    (status == 200 ? handled : status == 503 || status == 429 ? refused : failed).incrementAndGet();
                    if (pauseMs > 0) Thread.sleep(pauseMs);  // a client's think time, which no check waits for
                }
            } catch (IOException e) {
                if (!over) failed.incrementAndGet();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    public void awaitHandled(int n) {
        long until = System.nanoTime() + 20_000_000_000L;
        while (handled.get() < n) {
            if (System.nanoTime() > until) throw new AssertionError("only " + handled + " of " + n + " handled");
            Thread.onSpinWait();
        }
    }

    @Override public void close() {
        over = true;
        for (Thread t : all) t.interrupt();
    }

    /** One connection. */
    public static final class Client implements AutoCloseable {
        private final Socket socket;
        private final InputStream in;
        /** Whole lines that go with each request. */
        public String header = "";

        public Client(int port) throws IOException {
            socket = new Socket("127.0.0.1", port);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(8000);
            in = new BufferedInputStream(socket.getInputStream());
        }

        public void send(int object, int kb, int group) throws IOException {
            socket.getOutputStream().write(String.format("GET /api/v2/books/%08x HTTP/1.1\r\nHost: o\r\nReq-Id: "
                + "%016x\r\nReq-Wait-Ms: 2900\r\nReq-Kb: %d\r\nX-Lot: %d\r\n%s\r\n", object, IDS.incrementAndGet(), kb,
                group, header)
                .getBytes(StandardCharsets.US_ASCII));
        }

        public int status(int object, int kb, int group) throws IOException {
            send(object, kb, group);
            return status();
        }

        public int status() throws IOException {
            StringBuilder s = new StringBuilder();
            while (s.indexOf("\r\n\r\n") < 0) {
                int b = in.read();
                if (b < 0) throw new IOException("ended");
                s.append((char) b);
            }
            int at = s.indexOf("Content-Length: ");
            if (at >= 0) in.skipNBytes(Integer.parseInt(s.substring(at + 16, s.indexOf("\r\n", at))));
            return Integer.parseInt(s.substring(9, 12));
        }

        @Override public void close() throws IOException {
            socket.close();
        }
    }
}
