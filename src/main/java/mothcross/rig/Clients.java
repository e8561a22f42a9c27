package mothcross.rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;

/**
 * Asks one director of a play so many lookups a second, one after the other, and notes of each when it was sent, when
 * the answer had come, its status and the plan that it names. Owns its thread; judges nothing.
 */
final class Clients implements AutoCloseable {
    private static final int PATIENCE_MS = 20_000;

    private final ProcessFleet play;
    private final int index;
    private final double perS, until;
    private final SplittableRandom chance;
    private volatile boolean closed;
    private final Thread thread = new Thread(this::run, "clients");
    private volatile Socket on;
    private int port;

    Clients(ProcessFleet play, int index, double perS, double lasts) {
        this.play = play;
        this.index = index;
        this.perS = perS;
        this.until = play.time() + lasts;
        this.chance = new SplittableRandom(index);
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        double next = play.time();
        try {
            while (!closed && play.time() < until) {
                double wait = next - play.time();
                if (wait > 0) Thread.sleep((long) Math.ceil(wait));
                next = Math.max(next + 1000 / perS, play.time() - 1000);
                ask();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** One that is not answered, as its director was killed, is nobody's decision. */
    private void ask() throws InterruptedException {
        int now = play.clientsOf(index);
        double sent = play.time();
        try {
            if (now == 0) {
                Thread.sleep(5);
                return;
            }
            Socket s = on;
            if (s == null || port != now) {
                drop();
                on = s = new Socket(InetAddress.getLoopbackAddress(), port = now);
                s.setTcpNoDelay(true);
                s.setSoTimeout(PATIENCE_MS);
            }
            sent = play.time();
            s.getOutputStream().write(("GET /api/v2/books/" + String.format("%016x", chance.nextInt(1000))
                + " HTTP/1.1\r\nHost: x\r\nReq-Id: " + String.format("%016x", chance.nextLong())
                + "\r\nReq-Wait-Ms: 2500\r\nReq-Kb: 1\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            answer(sent, new BufferedInputStream(s.getInputStream()));
        } catch (IOException e) {
            drop();
            if (!closed) play.answered(index, sent, play.time(), 0, -1);
        }
    }

    private void answer(double sent, InputStream in) throws IOException {
        int status = 0, length = 0;
        long plan = -1;
        boolean ends = false;
        for (String line; !(line = line(in)).isEmpty();) {
            if (status == 0) status = Integer.parseInt(line.split(" ")[1]);
            else if (line.startsWith("Content-Length: ")) length = Integer.parseInt(line.substring(16));
            else if (line.startsWith("Policy-Plan: ")) plan = Long.parseLong(line.substring(13));
            else ends |= line.equals("Connection: close");
        }
        in.skipNBytes(length);
        play.answered(index, sent, play.time(), status, plan);
        if (ends) drop();
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder s = new StringBuilder();
        for (int b; (b = in.read()) != '\n';) {
            if (b < 0) throw new IOException("the connection has ended");
            if (b != '\r') s.append((char) b);
        }
        return s.toString();
    }

    private void drop() {
        Socket s = on;
        try {
            if (s != null) s.close();
        } catch (IOException e) {
            port = 0;
        }
        on = null;
    }

    /** When it returns, nothing more is noted. */
    @Override public void close() {
        closed = true;
        drop();
        try {
            thread.join(PATIENCE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
