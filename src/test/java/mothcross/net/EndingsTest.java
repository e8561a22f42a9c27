package mothcross.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import mothcross.net.ServeTest.Outside;
import mothcross.standin.FakeDiscovery;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Connections, answers and processes that end while an answer is still owed, or is owed no longer. */
public class EndingsTest {
    private static final String ASK = "GET /api/v2/books/%02x HTTP/1.1|Req-Id: %016x|Req-Wait-Ms: %d||";

    private final Map<String, Outside> parties = new TreeMap<>();

    private DirectorServer startDirector(String how, Map<String, String> start) throws Exception {
        parties.put("bulletin", Outside.listening(how, "bulletin", 99));
        parties.put("n1", Outside.listening("node", "cache", 1));
        String told = Outside.told(start, parties);
        DirectorServer director = new DirectorServer(
            StartupConfig.parse(JsonParser.parseString(told).getAsJsonObject(), null, true, 0));
        director.start();
        return director;
    }

    private void release(DirectorServer director) {
        if (director != null) director.release();
        for (Outside o : parties.values()) o.release();
        parties.clear();
    }

    private Outside client(String name, DirectorServer director) {
        Outside c = Outside.client(name, director.port());
        parties.put(name, c);
        return c;
    }

    /** Writes again and again until the director closes the connection, for up to 10 s. */
    private static void trickle(Outside to, String what) throws IOException {
        long until = System.nanoTime() + 10_000_000_000L;
        try {
            while (System.nanoTime() < until) {
                to.write(what, false);
                Thread.sleep(20);                           // the interval between writes
            }
        } catch (IOException e) {
            return;                                         // the director has closed the connection
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        throw new AssertionError("the director does not close the connection");
    }

    /** Whether the director ends the connection, while it is being written to or after. */
    private static boolean endsWhileWritten(Outside to, String what) throws IOException {
        try {
            to.write(what, false);
        } catch (SocketException e) {
            return true;
        }
        return to.gone();
    }

    private static void trickleUnchecked(Outside to, String what) {
        try {
            trickle(to, what);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @DataProvider public Object[][] requestCounts() {
        return new Object[][] {{1}, {600}};
    }

    /**
     * A request and the disconnect of its client are both received before the director reads. Nobody waits for the
     * answer, so the request must not be forwarded to a node; also where the disconnect stands behind so many requests
     * that one read does not reach it.
     */
    @Test(timeOut = 30_000, dataProvider = "requestCounts")
    public void requestOfDisconnectedClientIsNotForwarded(int requestCount) throws Exception {
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < requestCount; i++) requests.append(String.format(ASK, 10, 100 + i, 29_000));
        DirectorServer director = null;
        try {
            director = startDirector("node", Map.of());
            Outside a = client("a", director), b = client("b", director);
            for (Outside c : List.of(a, b)) {
                c.write("GET /-/healthy HTTP/1.1||", false);
                assertTrue(c.read().startsWith("HTTP/1.1 200 "));
            }
            director.dispatcher().enter();
            try {
                b.write("GET /-/healthy HTTP/1.1||", false);    // blocks the only reading thread on the lock
                Dispatcher d = director.dispatcher();
                Fleet.awaitTrue("the reading thread waits for the lock", () -> lockIsContended(d));
                a.write(requests.toString(), false);
                a.close(false);
            } finally {
                director.dispatcher().leave();
            }
            assertTrue(b.read().startsWith("HTTP/1.1 200 "));
            b.write(String.format(ASK, 11, 11, 2900), false);
            String want = parties.get("n1").read();
            assertTrue(want.startsWith("want 000000000000000b "), want);
            assertEquals(counters(director).cancelledUnread, 1);
        } finally {
            release(director);
        }
    }

    /** Guards against a request that waited for the one before it, and is sent on though its client has left. */
    @Test(timeOut = 30_000) public void requestSentAheadByClientThatLeftIsNotForwarded() throws Exception {
        DirectorServer director = startDirector("node", Map.of());
        try {
            Outside a = client("a", director), b = client("b", director);
            Outside n1 = parties.get("n1");
            a.write(String.format(ASK, 10, 10, 2900), false);
            assertTrue(n1.read().startsWith("want 000000000000000a "));
            a.write(String.format(ASK, 10, 11, 2900), false);
            Fleet.awaitTrue("the second is received", () -> heldBytes(director) > 0);
            director.dispatcher().enter();
            try {
                n1.write("000000000000000a DONE n=mem 2|ok|", false);   // blocks the reading thread on the lock
                Dispatcher d = director.dispatcher();
                Fleet.awaitTrue("the reading thread waits for the lock", () -> lockIsContended(d));
                a.close(false);
            } finally {
                director.dispatcher().leave();
            }
            b.write(String.format(ASK, 11, 12, 2900), false);
            String want = n1.read();
            assertTrue(want.startsWith("want 000000000000000c "), want);
        } finally {
            release(director);
        }
    }

    /**
     * Requests arrive, and are unread, while the director closes: one behind the last answer, one on an idle
     * connection. A close with unread bytes would reset both connections and lose the answer. The requests are read
     * and discarded.
     */
    @Test(timeOut = 30_000) public void bytesArrivingDuringCloseCauseNoReset() throws Exception {
        DirectorServer director = startDirector("node", Map.of());
        try {
            Outside waiting = client("asked", director), idle = client("rests", director), b = client("b", director);
            for (Outside c : List.of(idle, b)) {
                c.write("GET /-/healthy HTTP/1.1||", false);
                assertTrue(c.read().startsWith("HTTP/1.1 200 "));
            }
            waiting.write("GET /api/v2/books/0a HTTP/1.1|Req-Id: 000000000000000a|Connection: close||", false);
            assertTrue(parties.get("n1").read().startsWith("want 000000000000000a "));
            Dispatcher d = director.dispatcher();
            d.enter();
            try {
                b.write("GET /-/healthy HTTP/1.1||", false);    // blocks the only reading thread on the lock
                Fleet.awaitTrue("the reading thread waits for the lock", () -> lockIsContended(d));
                waiting.write(String.format(ASK, 11, 11, 2900), false);
                idle.write(String.format(ASK, 11, 12, 2900), false);
                d.closeIdleClients();
                d.stopSending();
            } finally {
                d.leave();
            }
            assertTrue(waiting.read().startsWith("HTTP/1.1 503 "));
            for (Outside c : List.of(waiting, idle)) assertTrue(c.ends(), "reset");
            // A close with these bytes unread would never read them, and reset the connection.
            Fleet.awaitTrue("bytes received after the close have been read",
                () -> counters(director).receivedAfterClose >= 2);
            assertEquals(counters(director).lookups, 1, "requests received after the close are not served");
        } finally {
            release(director);
        }
    }

    /** Whether the reading thread waits for the lock; the timers' thread may as well, and does not count. */
    private static boolean lockIsContended(Dispatcher d) {
        return Thread.getAllStackTraces().keySet().stream().anyMatch(t -> !t.getName().equals("timers")
            && d.lock.hasQueuedThread(t));
    }

    private static Counters counters(DirectorServer director) {
        director.dispatcher().enter();
        try {
            return director.dispatcher().counters;
        } finally {
            director.dispatcher().leave();
        }
    }

    /**
     * Bytes that trickle in within a frame do not extend its timeout: the director asks on another connection, as after
     * silence, and closes this one once the other has told something.
     */
    @Test(timeOut = 30_000) public void tricklingDiscoveryFrameTimesOut() throws Exception {
        DirectorServer director = null;
        try {
            director = startDirector("node", Map.of());
            Outside bulletin = parties.get("bulletin");
            assertEquals(bulletin.read(), "2");
            bulletin.write("00000fff 0000000000000003 02", false);
            Outside successor = bulletin.beside();
            parties.put("successor", successor);
            CompletableFuture<Void> closed = CompletableFuture.runAsync(() -> trickleUnchecked(bulletin, "00"));
            assertEquals(successor.read(), "2", "the watch resumes after the last known event");
            assertFalse(closed.isDone(), "kept until the other has told something");
            successor.write("00000009 0000000000000002 00", false);
            closed.get();
        } finally {
            release(director);
        }
    }

    /** Unfinished frames on several connections hold no more memory than one; the one that is furthest goes on. */
    @Test(timeOut = 30_000) public void unfinishedFramesAreBoundedTogether() throws Exception {
        DirectorServer director = null;
        try {
            director = startDirector("node", Map.of());
            Outside bulletin = parties.get("bulletin"), successor = bulletin.beside();
            parties.put("successor", successor);
            assertEquals(bulletin.read(), "2");
            String halfList = "00400000 0000000000000003 01" + "00".repeat(3 << 20);
            bulletin.write(halfList, false);
            assertEquals(successor.read(), "2");
            assertTrue(endsWhileWritten(successor, halfList), "both together are over the bound");
            assertTrue(bulletin.isOpen(), "the other goes on");
        } finally {
            release(director);
        }
    }

    /** Heartbeats name an event that never arrived: the director reconnects and requests it. */
    @Test(timeOut = 30_000) public void missedDiscoveryEventIsRequestedAgain() throws Exception {
        DirectorServer director = null;
        try {
            director = startDirector("node", Map.of());
            Outside bulletin = parties.get("bulletin");
            assertEquals(bulletin.read(), "2");
            bulletin.write("00000009 0000000000000002 00", false);
            trickle(bulletin, "00000009 0000000000000003 00");
            bulletin.close(false);
            assertEquals(bulletin.read(), "2", "the missed event is requested");
        } finally {
            release(director);
        }
    }

    /**
     * A reload names a discovery address where nothing listens yet: the director retries until it can connect, and
     * continues from the same event. The connection to the earlier address is kept until then.
     */
    @Test(timeOut = 30_000) public void watchMovesToAddressNotYetListening() throws Exception {
        DirectorServer director = null;
        try (FakeDiscovery next = new FakeDiscovery()) {
            director = startDirector("node", Map.of());
            Outside old = parties.get("bulletin"), n1 = parties.get("n1"), a = client("a", director);
            assertEquals(old.read(), "2");
            String told = Outside.told(Map.of("bulletin", Integer.toString(next.port())), parties);
            director.reload(StartupConfig.parse(JsonParser.parseString(told).getAsJsonObject(), null, true, 0));
            assertTrue(old.isOpen(), "nothing has been told at the other address");
            next.restartNumbering(3);
            next.startListening();
            next.sendPurge(17, System.currentTimeMillis());
            for (int i = 1, known = 0; known == 0; i++) {
                a.write("GET /api/v2/books/0a HTTP/1.1|X-Lot: 17|Req-Id: " + String.format("%016x", i) + "||", false);
                String want = n1.read();
                if (want.contains(",fresh=")) known = i;
                n1.write(want.split(" ")[1] + " DONE n=mem 2|ok|", false);
                assertTrue(a.read().endsWith("||ok"));
            }
            assertTrue(old.gone(), "the other address has told something");
        } finally {
            release(director);
        }
    }

    /** A line, or an answer past its deadline, that trickles in without end must not block the answers behind it. */
    @Test(timeOut = 30_000) public void tricklingAnswerTimesOut() throws Exception {
        for (String begun : List.of("000000000000000a DO", "000000000000000a DONE n=mem 200000|")) {
            DirectorServer director = null;
            try {
                director = startDirector("node", Map.of("connect", "0.2"));
                Outside a = client("a", director), n1 = parties.get("n1");
                a.write(String.format(ASK, 10, 10, 600), false);
                assertTrue(n1.read().startsWith("want 000000000000000a "));
                n1.write(begun, false);
                trickle(n1, "x");
            } finally {
                release(director);
            }
        }
    }

    /** Guards against an empty line ahead of a request being taken for its end where it comes in two pieces. */
    @Test(timeOut = 30_000) public void emptyLineMayComeInPieces() throws Exception {
        DirectorServer director = startDirector("node", Map.of());
        try {
            Outside a = client("a", director);
            a.write("\r", false);
            Fleet.awaitTrue("the first piece is read", () -> {
                long[] held = new long[1];
                director.dispatcher().runLocked(() -> held[0] = director.dispatcher().unreadMemory.usedBytes());
                return held[0] > 0;
            });
            a.write("\n|GET /-/healthy HTTP/1.1||", false);
            assertTrue(a.read().startsWith("HTTP/1.1 200 "));
        } finally {
            release(director);
        }
    }

    /**
     * Guards against requests that are sent at once getting their time from their turn on: it counts from the last
     * byte, and one whose time is over when its turn comes is refused at once and not sent on.
     */
    @Test(timeOut = 30_000) public void timeOfRequestsSentAtOnceCountsFromTheirLastByte() throws Exception {
        DirectorServer director = startDirector("node", Map.of());
        try {
            Outside a = client("a", director), n1 = parties.get("n1");
            a.write(String.format(ASK, 10, 10, 1500) + String.format(ASK, 11, 11, 300)
                + String.format(ASK, 12, 12, 2900), false);
            assertTrue(n1.read().startsWith("want 000000000000000a "));
            assertTrue(a.read().matches("HTTP/1.1 50[23] .*"), "never answered by the node");
            assertTrue(a.read().startsWith("HTTP/1.1 503 "), "its time was over long before");
            String afterFirst = n1.readToEnd();             // a connection on which nothing came is given up
            assertFalse(afterFirst.contains("want 000000000000000b "), afterFirst);
            n1.close(false);
            String line = n1.read();
            assertTrue(line.startsWith("want 000000000000000c "), line);
            int patienceMs = Integer.parseInt(line.replaceAll(".*,patience=(\\d+).*\\R*", "$1"));
            assertTrue(patienceMs <= 1400, "what is left of 2,900 ms after 1,500: " + line);
            n1.write("000000000000000c DONE n=mem 2|ok|", false);
            assertTrue(a.read().endsWith("||ok"));
            assertEquals(counters(director).expiredInTurn, 1);
        } finally {
            release(director);
        }
    }

    /** A body of 60 MB is refused by its head; the client gets the refusal, and the close follows within 6 s. */
    @Test(timeOut = 30_000) public void hugeBodyIsRefusedBeforeClose() throws Exception {
        DirectorServer director = startDirector("node", Map.of("writes", "true"));
        try {
            Outside a = client("a", director);
            long began = System.nanoTime();
            a.write("PUT /api/v2/books/0a HTTP/1.1|Req-Id: 000000000000000a|Content-Length: 60000000||", false);
            assertTrue(a.read().startsWith("HTTP/1.1 413 "));
            String megabyte = "y".repeat(1 << 20);
            try {
                for (int i = 0; i < 58; i++) a.write(megabyte, false);
            } catch (IOException e) {
                assertTrue(clients(director) <= 1, "the connection was closed by the director");
            }
            Fleet.awaitTrue("the connection has ended", () -> clients(director) == 0);
            assertTrue(System.nanoTime() - began < 6_000_000_000L, "closed too late");
        } finally {
            release(director);
        }
    }

    private static int clients(DirectorServer director) {
        director.dispatcher().enter();
        try {
            return director.dispatcher().clientCount();
        } finally {
            director.dispatcher().leave();
        }
    }

    /**
     * Many large bodies arrive at once and none is complete. Once they hold more than an eighth of the memory, further
     * bytes are refused and the buffers released.
     */
    @Test(timeOut = 30_000) public void incompleteBodiesAreBounded() throws Exception {
        DirectorServer director = startDirector("node", Map.of("writes", "true", "sockets", "400", "memory", "16"));
        try {
            String incompleteBody = "y".repeat(150_000);
            for (int i = 0; i < 30; i++) {
                client("c" + i, director).write("PUT /api/v2/books/0a HTTP/1.1|Req-Id: " + String.format("%016x", i + 1)
                    + "|Content-Length: 200000||" + incompleteBody, false);
            }
            Dispatcher d = director.dispatcher();
            Fleet.awaitTrue("the limit is reached and a client refused",
                () -> d.unreadMemory.usedBytes() > 0 && clients(director) < 30);
            for (int i = 0; i < 30; i++) {
                Outside c = parties.get("c" + i);
                c.write(incompleteBody.substring(0, 10_000), false);    // has the director check the limit again
            }
            Fleet.awaitTrue("the bytes held are bounded", () -> d.unreadMemory.usedBytes() <= (16 << 20) / 8 + 160_000);
            List<Outside> all = new ArrayList<>();
            for (int i = 0; i < 30; i++) all.add(parties.get("c" + i));
            Fleet.awaitTrue("a client has received its refusal", () -> all.stream().anyMatch(Outside::answered));
            for (Outside c : all) if (c.answered()) assertTrue(c.read().startsWith("HTTP/1.1 503 "));
        } finally {
            release(director);
        }
    }

    /**
     * Guards against buffers that stay as large as what a client once sent ahead of its turn: clients that had got all
     * their answers and rested filled the heap, and the process answered nobody any more.
     */
    @Test(timeOut = 30_000) public void whatWasSentAheadIsReleasedOnceAnswered() throws Exception {
        DirectorServer director = startDirector("node", Map.of());
        try {
            Outside a = client("a", director);
            Outside n1 = parties.get("n1");
            a.write(String.format(ASK, 10, 10, 2900), false);
            assertTrue(n1.read().startsWith("want 000000000000000a "));
            int ahead = 100;
            String request = "GET /api/v2/no-such-class/0a HTTP/1.1|Cookie: " + "c".repeat(900) + "||";
            a.write(request.repeat(ahead), false);
            Fleet.awaitTrue("all of it is received", () -> heldBytes(director) >= ahead * request.length());
            n1.write("000000000000000a DONE n=mem 2|ok|", false);
            assertTrue(a.read().startsWith("HTTP/1.1 200 "));
            for (int i = 0; i < ahead; i++) assertTrue(a.read().startsWith("HTTP/1.1 400 "));
            assertEquals(heldBytes(director), 0);
        } finally {
            release(director);
        }
    }

    /** Guards against bytes that come after dropped ones and are taken for the rest of what was kept. */
    @Test(timeOut = 30_000) public void nothingBehindDroppedBytesIsRead() throws Exception {
        DirectorServer director = startDirector("node", Map.of());
        try {
            Outside a = client("a", director);
            Outside n1 = parties.get("n1");
            a.write(String.format(ASK, 10, 10, 20_000), false);
            assertTrue(n1.read().startsWith("want 000000000000000a "));
            String request = "GET /x HTTP/1.1||";
            int requestBytes = request.replace("|", "\r\n").length();
            int keptBytes = 128 << 10;
            assertTrue(keptBytes % requestBytes > 0, "what is kept ends within a request");
            a.write(request.repeat(keptBytes / requestBytes + 1000), false);
            Fleet.awaitTrue("the rest is dropped", () -> counters(director).readAheadTruncated > 0);
            director.dispatcher().enter();
            try {
                n1.write("000000000000000a DONE n=mem 2|ok|", false);   // blocks the reading thread on the lock
                Dispatcher d = director.dispatcher();
                Fleet.awaitTrue("the reading thread waits for the lock", () -> lockIsContended(d));
                String cutOff = request.replace("|", "\r\n").substring(keptBytes % requestBytes);
                a.write(cutOff + String.format(ASK, 11, 11, 20_000), false);
            } finally {
                director.dispatcher().leave();
            }
            a.readToEnd();
            assertEquals(counters(director).badPath, keptBytes / requestBytes);
            assertEquals(counters(director).hops, 1);
        } finally {
            release(director);
        }
    }

    /** The sizes of the arrays that hold what clients have sent. */
    private static long heldBytes(DirectorServer director) {
        director.dispatcher().enter();
        try {
            return director.dispatcher().clients.stream().mapToLong(client -> client.bytes.length).sum();
        } finally {
            director.dispatcher().leave();
        }
    }

    /** The states of the shutdown sequence, driven by time alone. */
    @Test public void processEndsWhenNoAnswerIsOwed() {
        ShutdownSequence e = new ShutdownSequence();
        assertEquals(e.state(), ShutdownSequence.State.SERVING);
        e.start(1000, 60_000);
        assertEquals(e.answerDeadline(), 1000 + 700 + 3000 - 150.0,
            "drain time, plus the longest client deadline, less a margin");
        assertEquals(e.step(1699, 0, 0), ShutdownSequence.State.DRAINING, "new connections are still accepted");
        assertEquals(e.step(1710, 1700, 3), ShutdownSequence.State.DRAINING,
            "a client has just connected: more may be queued");
        assertEquals(e.step(1760, 1700, 3), ShutdownSequence.State.CLOSING);
        assertEquals(e.step(e.answerDeadline(), 1700, 3), ShutdownSequence.State.CLOSING,
            "the last answers are being sent");
        assertEquals(e.step(e.answerDeadline() + 100, 1700, 3), ShutdownSequence.State.TERMINATED,
            "exits before it is killed");
        ShutdownSequence quick = new ShutdownSequence();
        quick.start(0, 500);
        assertEquals(quick.answerDeadline(), 1050.0, "no client waits for longer than its 500 ms");
        assertEquals(quick.step(700, 100, 1), ShutdownSequence.State.CLOSING);
        assertEquals(quick.step(701, 100, 0), ShutdownSequence.State.TERMINATED, "no client is left");
        ShutdownSequence busy = new ShutdownSequence();
        busy.start(0, 500);
        assertEquals(busy.step(1060, 1059, 9), ShutdownSequence.State.CLOSING,
            "clients that keep connecting do not delay the close");
    }

    /** Retries on a new connection if this one was evicted, as front ends and their clients do. */
    private static String answer(int port, String ask) throws IOException {
        for (long until = System.nanoTime() + 10_000_000_000L;;) {
            Outside c = Outside.client("c", port);
            try {
                c.write(ask, false);
                return c.read();
            } catch (IOException e) {
                if (System.nanoTime() > until) throw e;
            } finally {
                c.release();
            }
        }
    }

    /**
     * A separate process with 256 descriptors: idle clients take all they can get while discovery is down. The
     * director must still be ready, reach its node, follow discovery once it is back, and exit with 0.
     */
    @Test(timeOut = 60_000) public void idleClientsDoNotExhaustDescriptors() throws Exception {
        int maxDescriptors = 256;
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        Path file = Files.createTempFile("mothcross", ".json");
        List<Socket> idle = new ArrayList<>();
        AtomicBoolean purged = new AtomicBoolean();
        FakeDiscovery back = new FakeDiscovery();
        parties.put("n1", Outside.listening("node", "cache", 1));
        Files.writeString(file, Outside.told(Map.of("sockets", Integer.toString(maxDescriptors), "memory", "64",
            "bulletin", Integer.toString(back.port())), parties));
        ProcessBuilder builder = Outside.builder("serve", "--config", file.toString());
        String limitAndRun = "ulimit -n " + maxDescriptors + "; exec \"$@\"";
        List<String> command = new ArrayList<>(List.of("sh", "-c", limitAndRun, "sh"));
        command.addAll(builder.command());
        Process process = builder.command(command).start();
        try {
            String line = process.errorReader().readLine();
            while (!line.contains(" serves on ")) line = process.errorReader().readLine();
            int port = Integer.parseInt(line.replaceAll(".*:", ""));
            for (int i = 0; i < 2 * maxDescriptors; i++) {
                Socket s = new Socket();
                idle.add(s);
                s.connect(new InetSocketAddress(loopback, port), 5000);
            }
            Outside n1 = parties.get("n1");
            Thread node = new Thread(() -> {
                try {
                    while (true) {
                        String want = n1.read();
                        if (want.contains(",fresh=")) purged.set(true);
                        n1.write(want.split(" ")[1] + " DONE n=mem 2|ok|", false);
                    }
                } catch (IOException e) {
                    return;                                 // the director has exited
                }
            });
            node.setDaemon(true);
            node.start();
            assertTrue(answer(port, "GET /-/healthy HTTP/1.1||").startsWith("HTTP/1.1 200 "));
            assertTrue(answer(port, String.format(ASK, 10, 10, 2900)).endsWith("||ok"));
            back.restartNumbering(3);
            back.startListening();
            back.sendPurge(17, System.currentTimeMillis());
            for (int i = 11; !purged.get(); i++) {
                answer(port, String.format(ASK, 10, i, 2900).replace("||", "|X-Lot: 17||"));
            }
            process.destroy();
            assertEquals(process.waitFor(), 0);
        } finally {
            process.destroyForcibly();
            for (Socket s : idle) s.close();
            back.close();
            release(null);
        }
    }
}
