package mothcross.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.atomic.AtomicBoolean;
import mothcross.net.ServeTest.Outside;
import mothcross.standin.FakeDiscovery;
import org.testng.annotations.Test;

/** The instants in which something ends and something is still owed, or is owed no more. */
public class EndingsTest {
    private static final String ASK = "GET /api/v2/books/%02x HTTP/1.1|Req-Id: %016x|Req-Wait-Ms: %d||";

    private final Map<String, Outside> parties = new TreeMap<>();

    private DirectorServer life(String how, Map<String, String> start) throws Exception {
        parties.put("bulletin", Outside.listening(how, "bulletin", 99));
        parties.put("n1", Outside.listening("node", "cache", 1));
        String told = Outside.told(start, parties);
        DirectorServer life = new DirectorServer(
            StartupConfig.parse(JsonParser.parseString(told).getAsJsonObject(), null, true, 0));
        life.start();
        return life;
    }

    private void release(DirectorServer life) {
        if (life != null) life.release();
        for (Outside o : parties.values()) o.release();
        parties.clear();
    }

    private Outside client(String name, DirectorServer life) {
        Outside c = Outside.client(name, life.port());
        parties.put(name, c);
        return c;
    }

    /** Written on and on until the other side has had enough; how is the test's control, no time is waited for. */
    private static void trickle(Outside to, String what) throws IOException {
        long until = System.nanoTime() + 10_000_000_000L;
        try {
            while (System.nanoTime() < until) {
                to.write(what, false);
                Thread.sleep(20);                           // the pace of the trickle
            }
        } catch (IOException e) {
            return;                                         // the director has ended the connection
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        throw new AssertionError("the director bears it for ever");
    }

    /** The request and the end of its client are there together when the director comes to read: nobody waits. */
    @Test(timeOut = 30_000) public void whoHasGoneBeforeItWasReadIsNotSentOn() throws Exception {
        DirectorServer life = null;
        try {
            life = life("node", Map.of());
            Outside a = client("a", life), b = client("b", life);
            for (Outside c : List.of(a, b)) {
                c.write("GET /-/healthy HTTP/1.1||", false);
                assertTrue(c.read().startsWith("HTTP/1.1 200 "));
            }
            life.dispatcher().enter();
            try {
                b.write("GET /-/healthy HTTP/1.1||", false);    // the one thread that reads now waits for the lock
                Dispatcher d = life.dispatcher();
                Fleet.awaitTrue("it waits", () -> waits(d));
                a.write(String.format(ASK, 10, 10, 29_000), false);
                a.close(false);
            } finally {
                life.dispatcher().leave();
            }
            assertTrue(b.read().startsWith("HTTP/1.1 200 "));
            b.write(String.format(ASK, 11, 11, 2900), false);
            String want = parties.get("n1").read();
            assertTrue(want.startsWith("want 000000000000000b "), want);
            assertEquals(counters(life).cancelledUnread, 1);
        } finally {
            release(life);
        }
    }

    /**
     * Bytes that are there unread when our side ends, behind an answer and on a connection that rests: a close would
     * reset both, and take the answer with it. They are read and not sent on.
     */
    @Test(timeOut = 30_000) public void whatCrossesAnEndResetsNothing() throws Exception {
        DirectorServer life = life("node", Map.of());
        try {
            Outside asked = client("asked", life), rests = client("rests", life), b = client("b", life);
            for (Outside c : List.of(rests, b)) {
                c.write("GET /-/healthy HTTP/1.1||", false);
                assertTrue(c.read().startsWith("HTTP/1.1 200 "));
            }
            asked.write("GET /api/v2/books/0a HTTP/1.1|Req-Id: 000000000000000a|Connection: close||", false);
            assertTrue(parties.get("n1").read().startsWith("want 000000000000000a "));
            Dispatcher d = life.dispatcher();
            d.enter();
            try {
                b.write("GET /-/healthy HTTP/1.1||", false);    // the one thread that reads now waits for the lock
                Fleet.awaitTrue("it waits", () -> waits(d));
                asked.write(String.format(ASK, 11, 11, 2900), false);
                rests.write(String.format(ASK, 11, 12, 2900), false);
                d.closeIdleClients();
                d.stopSending();
            } finally {
                d.leave();
            }
            assertTrue(asked.read().startsWith("HTTP/1.1 503 "));
            for (Outside c : List.of(asked, rests)) assertTrue(c.ends(), "reset");
            // Closed over them, they are never read, and the connection is reset.
            Fleet.awaitTrue("what crossed has been read", () -> counters(life).receivedAfterClose >= 2);
            assertEquals(counters(life).lookups, 1, "what crossed is not taken");
        } finally {
            release(life);
        }
    }

    /** The timers' thread may wait for the lock as well; the other one reads. */
    private static boolean waits(Dispatcher d) {
        return Thread.getAllStackTraces().keySet().stream().anyMatch(t -> !t.getName().equals("timers")
            && d.lock.hasQueuedThread(t));
    }

    private static Counters counters(DirectorServer life) {
        life.dispatcher().enter();
        try {
            return life.dispatcher().counters;
        } finally {
            life.dispatcher().leave();
        }
    }

    /** Half a frame that trickles is no news: the watch is made anew, as after silence. */
    @Test(timeOut = 30_000) public void aWatchThatTricklesIsDead() throws Exception {
        DirectorServer life = null;
        try {
            life = life("node", Map.of());
            Outside bulletin = parties.get("bulletin");
            assertEquals(bulletin.read(), "2");
            bulletin.write("00000fff 0000000000000003 02", false);
            trickle(bulletin, "00");
            bulletin.close(false);
            assertEquals(bulletin.read(), "2", "it asks anew from what it knows");
        } finally {
            release(life);
        }
    }

    /** It says again and again that nothing is new, after an event that never came: that event is asked for. */
    @Test(timeOut = 30_000) public void aWatchThatHasLostItsPlaceIsMadeAnew() throws Exception {
        DirectorServer life = null;
        try {
            life = life("node", Map.of());
            Outside bulletin = parties.get("bulletin");
            assertEquals(bulletin.read(), "2");
            bulletin.write("00000009 0000000000000002 00", false);
            trickle(bulletin, "00000009 0000000000000003 00");
            bulletin.close(false);
            assertEquals(bulletin.read(), "2", "it asks for what never came");
        } finally {
            release(life);
        }
    }

    /** SIGHUP names an address where nobody listens yet: it is asked until somebody does, from the same number on. */
    @Test(timeOut = 30_000) public void aWatchMovesToWhereNobodyListensYet() throws Exception {
        DirectorServer life = null;
        try (FakeDiscovery next = new FakeDiscovery()) {
            life = life("node", Map.of());
            Outside old = parties.get("bulletin"), n1 = parties.get("n1"), a = client("a", life);
            assertEquals(old.read(), "2");
            String told = Outside.told(Map.of("bulletin", Integer.toString(next.port())), parties);
            life.reload(StartupConfig.parse(JsonParser.parseString(told).getAsJsonObject(), null, true, 0));
            assertTrue(old.gone());
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
        } finally {
            release(life);
        }
    }

    /** A line that trickles, and an answer that trickles after its time, hold nobody up behind them for ever. */
    @Test(timeOut = 30_000) public void anAnswerThatNeverEndsIsEnded() throws Exception {
        for (String begun : List.of("000000000000000a DO", "000000000000000a DONE n=mem 200000|")) {
            DirectorServer life = null;
            try {
                life = life("node", Map.of("connect", "0.2"));
                Outside a = client("a", life), n1 = parties.get("n1");
                a.write(String.format(ASK, 10, 10, 600), false);
                assertTrue(n1.read().startsWith("want 000000000000000a "));
                n1.write(begun, false);
                trickle(n1, "x");
            } finally {
                release(life);
            }
        }
    }

    /** A body of 60 MB is refused by its head; its sender gets the refusal and a close in the page's 6 s. */
    @Test(timeOut = 30_000) public void hugeBodiesGetTheirRefusal() throws Exception {
        DirectorServer life = life("node", Map.of("writes", "true"));
        try {
            Outside a = client("a", life);
            long began = System.nanoTime();
            a.write("PUT /api/v2/books/0a HTTP/1.1|Req-Id: 000000000000000a|Content-Length: 60000000||", false);
            assertTrue(a.read().startsWith("HTTP/1.1 413 "));
            String much = "y".repeat(1 << 20);
            try {
                for (int i = 0; i < 58; i++) a.write(much, false);
            } catch (IOException e) {
                assertTrue(clients(life) <= 1, "closed on it");
            }
            Fleet.awaitTrue("the connection has ended", () -> clients(life) == 0);
            assertTrue(System.nanoTime() - began < 6_000_000_000L, "took too long");
        } finally {
            release(life);
        }
    }

    private static int clients(DirectorServer life) {
        life.dispatcher().enter();
        try {
            return life.dispatcher().clientCount();
        } finally {
            life.dispatcher().leave();
        }
    }

    /** Many large bodies at once, none of them whole: past an eighth of the memory they are refused, and let go. */
    @Test(timeOut = 30_000) public void halfReadBodiesAreBounded() throws Exception {
        DirectorServer life = life("node", Map.of("writes", "true", "sockets", "400", "memory", "16"));
        try {
            String most = "y".repeat(150_000);
            for (int i = 0; i < 30; i++) {
                client("c" + i, life).write("PUT /api/v2/books/0a HTTP/1.1|Req-Id: " + String.format("%016x", i + 1)
                    + "|Content-Length: 200000||" + most, false);
            }
            Dispatcher d = life.dispatcher();
            Fleet.awaitTrue("all is read", () -> d.readAheadBytes > 0 && clients(life) < 30);
            for (int i = 0; i < 30; i++) {
                Outside c = parties.get("c" + i);
                c.write(most.substring(0, 10_000), false);  // who is still read is looked at again
            }
            Fleet.awaitTrue("what is held is bounded", () -> d.readAheadBytes <= (16 << 20) / 8 + 160_000);
            List<Outside> all = new ArrayList<>();
            for (int i = 0; i < 30; i++) all.add(parties.get("c" + i));
            Fleet.awaitTrue("one has its refusal", () -> all.stream().anyMatch(Outside::answered));
            for (Outside c : all) if (c.answered()) assertTrue(c.read().startsWith("HTTP/1.1 503 "));
        } finally {
            release(life);
        }
    }

    /** The states of a process's end, by time alone. */
    @Test public void theProcessEndsWhenNothingIsOwed() {
        ShutdownSequence e = new ShutdownSequence();
        assertEquals(e.state(), ShutdownSequence.State.SERVING);
        e.start(1000, 60_000);
        assertEquals(e.answerDeadline(), 1000 + 700 + 3000 - 150.0, "the page's longest deadline");
        assertEquals(e.step(1699, 0, 0), ShutdownSequence.State.DRAINING, "who may still come finds somebody");
        assertEquals(e.step(1710, 1700, 3), ShutdownSequence.State.DRAINING,
            "somebody has just come: more may be waiting");
        assertEquals(e.step(1760, 1700, 3), ShutdownSequence.State.CLOSING);
        assertEquals(e.step(e.answerDeadline(), 1700, 3), ShutdownSequence.State.CLOSING,
            "the last answers are on their way");
        assertEquals(e.step(e.answerDeadline() + 100, 1700, 3), ShutdownSequence.State.TERMINATED, "before it is killed");
        ShutdownSequence quick = new ShutdownSequence();
        quick.start(0, 500);
        assertEquals(quick.answerDeadline(), 1050.0, "no client waits for longer");
        assertEquals(quick.step(700, 100, 1), ShutdownSequence.State.CLOSING);
        assertEquals(quick.step(701, 100, 0), ShutdownSequence.State.TERMINATED, "nobody is left");
        ShutdownSequence busy = new ShutdownSequence();
        busy.start(0, 500);
        assertEquals(busy.step(1060, 1059, 9), ShutdownSequence.State.CLOSING, "they never stop coming");
    }

    /** Where the connection is shut unread to make room, asked again on another, as the front and its clients do. */
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
     * In a process of its own with so many descriptors: idle clients take all that they can get while discovery is
     * down. It is ready all the same, reaches its node, follows discovery when that is back, and ends with 0.
     */
    @Test(timeOut = 60_000) public void idleClientsLeaveDescriptorsForTheRest() throws Exception {
        int most = 256;
        InetAddress here = InetAddress.getByName("127.0.0.1");
        Path file = Files.createTempFile("mothcross", ".json");
        List<Socket> idle = new ArrayList<>();
        AtomicBoolean purged = new AtomicBoolean();
        FakeDiscovery back = new FakeDiscovery();
        parties.put("n1", Outside.listening("node", "cache", 1));
        Files.writeString(file, Outside.told(Map.of("sockets", Integer.toString(most), "memory", "64", "bulletin",
            Integer.toString(back.port())), parties));
        ProcessBuilder b = Outside.builder("serve", "--config", file.toString());
        List<String> command = new ArrayList<>(List.of("sh", "-c", "ulimit -n " + most + "; exec \"$@\"", "sh"));
        command.addAll(b.command());
        Process p = b.command(command).start();
        try {
            String line = p.errorReader().readLine();
            while (!line.contains(" serves on ")) line = p.errorReader().readLine();
            int port = Integer.parseInt(line.replaceAll(".*:", ""));
            for (int i = 0; i < 2 * most; i++) {
                Socket s = new Socket();
                idle.add(s);
                s.connect(new InetSocketAddress(here, port), 5000);
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
                    return;                                 // the director has ended
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
            p.destroy();
            assertEquals(p.waitFor(), 0);
        } finally {
            p.destroyForcibly();
            for (Socket s : idle) s.close();
            back.close();
            release(null);
        }
    }
}
