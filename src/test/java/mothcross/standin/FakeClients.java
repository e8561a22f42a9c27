package mothcross.standin;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Test clients of a director. Each sends its next request as soon as it has the answer, or after a pause, and counts
 * the answers; there is at most one open request on a connection.
 */
public final class FakeClients implements AutoCloseable {
    private static final AtomicLong REQUEST_IDS = new AtomicLong(0x1000);
    private static final int GROUP = 3;
    /** How long each request's client waits. */
    public static final int WAIT_MS = 2900;
    private static final long AWAIT_TIMEOUT_NS = 20_000_000_000L;
    public final AtomicInteger asked = new AtomicInteger();
    public final AtomicInteger handled = new AtomicInteger();
    /** Answers 429 and 503. */
    public final AtomicInteger refused = new AtomicInteger();
    public final AtomicInteger failed = new AtomicInteger();
    private volatile boolean closed;
    private final Thread[] threads;

    /** Starts {@code count} clients; the objects they ask for are numbered upwards from {@code firstObject}. */
    public FakeClients(int port, int count, int pauseMs, int kb, int firstObject) {
        AtomicInteger nextObject = new AtomicInteger(firstObject);
        threads = new Thread[count];
        for (int i = 0; i < count; i++) {
            threads[i] = new Thread(() -> sendRequests(port, pauseMs, kb, nextObject), "client");
            threads[i].setDaemon(true);
            threads[i].start();
        }
    }

    private void sendRequests(int port, int pauseMs, int kb, AtomicInteger nextObject) {
        while (!closed) {
            try (Client client = new Client(port)) {
                while (!closed) {
                    asked.incrementAndGet();
                    int status = client.status(nextObject.getAndIncrement(), kb, GROUP);
                    (status == 200 ? handled : status == 503 || status == 429 ? refused : failed).incrementAndGet();
                    if (pauseMs > 0) Thread.sleep(pauseMs);  // a client's think time; no check waits for it
                }
            } catch (IOException e) {
                if (!closed) failed.incrementAndGet();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Waits until so many requests have been handled since the start; fails after 20 s. */
    public void awaitHandled(int count) {
        long deadline = System.nanoTime() + AWAIT_TIMEOUT_NS;
        while (handled.get() < count) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("only " + handled + " of " + count + " handled");
            }
            Thread.onSpinWait();
        }
    }

    @Override public void close() {
        closed = true;
        for (Thread thread : threads) thread.interrupt();
    }

    /** A client with one connection. */
    public static final class Client implements AutoCloseable {
        private final Socket socket;
        private final InputStream in;
        /** Header lines sent with each request, each with its line end. */
        public String header = "";

        public Client(int port) throws IOException {
            socket = new Socket("127.0.0.1", port);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(8000);
            in = new BufferedInputStream(socket.getInputStream());
        }

        /** Sends a request without reading the answer. */
        public void send(int object, int kb, int group) throws IOException {
            String request = String.format("GET /api/v2/books/%08x HTTP/1.1\r\nHost: o\r\nReq-Id: %016x\r\n"
                + "Req-Wait-Ms: %d\r\nReq-Kb: %d\r\nX-Lot: %d\r\n%s\r\n", object, REQUEST_IDS.incrementAndGet(),
                WAIT_MS, kb, group, header);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        }

        /** Sends a request; returns the status of its answer. */
        public int status(int object, int kb, int group) throws IOException {
            send(object, kb, group);
            return status();
        }

        /** Reads one answer and returns its status. */
        public int status() throws IOException {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int next = in.read();
                if (next < 0) throw new IOException("connection ended before the answer");
                head.append((char) next);
            }
            int lengthAt = head.indexOf("Content-Length: ");
            if (lengthAt >= 0) {
                int lineEnd = head.indexOf("\r\n", lengthAt);
                in.skipNBytes(Integer.parseInt(head.substring(lengthAt + "Content-Length: ".length(), lineEnd)));
            }
            return Integer.parseInt(head.substring(9, 12));
        }

        @Override public void close() throws IOException {
            socket.close();
        }
    }
}
