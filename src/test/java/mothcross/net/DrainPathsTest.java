package mothcross.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.*;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import mothcross.Director;
import mothcross.net.ServeTest.Outside;
import org.testng.annotations.Test;

/** The ways on which a lookup could still reach a node, as node or as source, after it was told to be draining. */
public class DrainPathsTest {
    /** The longest time that the director grants a request: none may run out while a busy machine fills a socket. */
    private static final int REQUEST_TIMEOUT_MS = 30_000;
    private static final String ASK = "GET /api/v2/books/%02x HTTP/1.1|Req-Id: %016x|Req-Wait-Ms: "
        + REQUEST_TIMEOUT_MS + "|Content-Length: %d||%s";
    /** More requests with this body than the socket of a node that reads nothing takes. */
    private static final int REQUESTS = 230;
    private static final String BODY = "z".repeat(16_000);
    private static final Pattern BEGUN_REQUEST = Pattern.compile("want ([0-9a-f]{16}) ");
    private static final Pattern WHOLE_REQUEST = Pattern.compile(BEGUN_REQUEST + "\\S+ " + BODY.length() + "\r\n" + BODY
        + "\r\n");
    private static final Pattern CANCELLATION = Pattern.compile("never_mind ([0-9a-f]{16})\r\n");
    /** The answer to a liveness question, which may come unasked: it only shows that the node is there. */
    private static final String ALIVE = "l0 FIT - 0||";

    private static DirectorServer told(Map<String, String> start, Map<String, Outside> parties, String listen)
        throws Exception {
        String told = Outside.told(start, parties);
        return new DirectorServer(StartupConfig.parse(JsonParser.parseString(told).getAsJsonObject(), listen, true, 0));
    }

    private static String drains(long event, Outside who, int index, int kind) {
        return String.format("00000024 %016x 02 %08x %s 01 00 %02x 0000 00000fa0 0000000000000000", event, index,
            who.hexAddress(), kind);
    }

    private static boolean listens(int port) {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 2000);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** A thread that starts the director, which waits for discovery's first frame. */
    private static Thread starting(DirectorServer life) {
        return new Thread(() -> {
            try {
                life.start();
            } catch (IOException | StartupConfig.InvalidConfigException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    /** At a start: what was told since the file was written counts, so nobody can ask before it has been heard. */
    @Test(timeOut = 30_000) public void nobodyCanAskBeforeDiscoveryHasSpoken() throws Exception {
        int port;
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = s.getLocalPort();
        }
        Map<String, Outside> parties = new TreeMap<>(Map.of("bulletin", Outside.listening("node", "bulletin", 99),
            "n1", Outside.listening("node", "cache", 1), "p1", Outside.listening("node", "parent", 2),
            "p2", Outside.listening("node", "parent", 3)));
        DirectorServer life = told(Map.of("connect", "5"), parties, "127.0.0.1:" + port);
        Thread begins = starting(life);
        try {
            begins.start();
            Outside bulletin = parties.get("bulletin");
            assertEquals(bulletin.read(), "2", "it asks from what its file knows");
            assertFalse(listens(port), "before it has heard what it missed");
            bulletin.write(drains(3, parties.get("p1"), 2, 1), false);
            bulletin.write(drains(4, parties.get("p2"), 3, 1), false);
            begins.join();
            assertTrue(listens(port));
            Outside a = Outside.client("a", port);
            a.write(String.format(ASK, 10, 10, 0, ""), false);
            String want = parties.get("n1").read();
            assertFalse(want.contains("via="), want);
        } finally {
            life.release();
            for (Outside o : parties.values()) o.release();
        }
    }

    /** A bulletin that can't be reached, or takes the connection and says nothing, keeps no director from starting. */
    @Test(timeOut = 30_000) public void aWatchThatSaysNothingHoldsNobodyUp() throws Exception {
        for (String how : List.of("refused", "node")) {
            Map<String, Outside> parties = new TreeMap<>(Map.of("bulletin", Outside.listening(how, "bulletin", 99),
                "n1", Outside.listening("node", "cache", 1)));
            DirectorServer life = told(Map.of("connect", "0.2"), parties, null);
            try {
                life.start();
                Outside a = Outside.client("a", life.port());
                a.write(String.format(ASK, 10, 10, 0, ""), false);
                assertTrue(parties.get("n1").read().startsWith("want 000000000000000a"));
            } finally {
                life.release();
                for (Outside o : parties.values()) o.release();
            }
        }
    }

    /**
     * In the socket's queue: a node that reads nothing has its socket full, and then drains. What had not begun to
     * leave goes back to the module, and none of it reaches the node when it reads again.
     */
    @Test(timeOut = 60_000) public void whatASocketHasNotTakenGoesBack() throws Exception {
        Map<String, Outside> parties = new TreeMap<>(Map.of("bulletin", Outside.listening("node", "bulletin", 99),
            "n1", Outside.listening("tight", "cache", 1), "o1", Outside.listening("node", "origin", 2)));
        // So many nodes that each gets one connection.
        for (int i = 0; i < 60; i++) parties.put("x" + i, Outside.listening("refused", "parent", 100 + i));
        DirectorServer life = told(Map.of("connect", "3", "sockets", "380", "streams", "1000",
            "straight", "true"), parties, null);
        List<Outside> clients = new ArrayList<>();
        try {
            Thread begins = starting(life);
            begins.start();
            Outside n1 = parties.get("n1"), bulletin = parties.get("bulletin");
            assertEquals(bulletin.read(), "2");
            Heartbeats heartbeats = new Heartbeats(bulletin);
            heartbeats.sendWhenDue();
            begins.join();
            for (int i = 0; i < REQUESTS; i++) {
                clients.add(ask(life, i));
                heartbeats.sendWhenDue();
            }
            Fleet.awaitTrue("all asked, and some wait for a full socket", () -> {
                heartbeats.sendWhenDue();
                return waits(life) > 0 && life.dispatcher().openLookupCount() == REQUESTS;
            });
            bulletin.write(drains(3, n1, 1, 0), false);
            Fleet.awaitTrue("what waits goes back", () -> waits(life) == 0);
            long back = notSent(life);
            assertTrue(back > 0 && back < REQUESTS, "went back: " + back);
            Fleet.awaitTrue("the module has decided anew: the link is full",
                () -> life.dispatcher().counters.rejected == back);
            Set<String> begun = new HashSet<>();
            for (long i = back; i < REQUESTS; i++) begun.add(begunRequest(n1.read()));
            assertEquals(begun.size(), REQUESTS - back, "each begun once");
            life.release();
            assertOnlyCancels(n1.readToEnd(), begun);
        } finally {
            life.release();
            for (Outside o : clients) o.release();
            for (Outside o : parties.values()) o.release();
        }
    }

    /**
     * A silent node's connection is ended from here while one request is written in part: that one may have run, for
     * all that is known here, and is not sent again. Those that were never handed to the socket go back to the module,
     * and none of their bytes reach the node.
     */
    @Test(timeOut = 60_000) public void whatHadBegunToLeaveMayHaveRun() throws Exception {
        Map<String, Outside> parties = new TreeMap<>(Map.of("bulletin", Outside.listening("node", "bulletin", 99),
            "n1", Outside.listening("tight", "cache", 1)));
        for (int i = 0; i < 60; i++) parties.put("x" + i, Outside.listening("refused", "parent", 100 + i));
        DirectorServer life = told(Map.of("connect", "0.4", "sockets", "380", "streams", "1000", "effect", "unsafe",
            "probing", "true"), parties, null);
        Outside node = parties.get("n1");
        FirstAttempts attempts = new FirstAttempts(node.port());
        life.dispatcher().runLocked(() -> life.dispatcher().setHopObserver(attempts));
        List<Outside> clients = new ArrayList<>();
        try {
            life.start();
            for (int i = 0; i < REQUESTS; i++) {
                clients.add(ask(life, i));
                node.write(ALIVE, false);               // the silence that ends the connection starts after the last
            }
            Fleet.awaitTrue("all asked, and some wait for a full socket", () -> waits(life) > 0
                && life.dispatcher().openLookupCount() == REQUESTS);
            Fleet.awaitTrue("the silent node's connection is ended", () -> attempts.ended() == REQUESTS);
            List<FirstAttempt> handed = attempts.handed(true), neverHanded = attempts.handed(false);
            for (FirstAttempt a : handed) assertEquals(a.outcome, Director.CONNECTION_LOST, "may have run: " + a);
            for (FirstAttempt a : neverHanded) assertEquals(a.outcome, Director.CONNECT_FAILED, "never ran: " + a);
            assertFalse(neverHanded.isEmpty(), "some still wait when the connection ends");
            Set<String> written = ids(handed.stream().filter(FirstAttempt::written).toList());
            assertEquals(handed.size() - written.size(), 1, "one write is under way when the connection ends");
            Fleet.awaitTrue("all have their answer", () -> life.dispatcher().openLookupCount() <= neverHanded.size());
            assertEquals(life.dispatcher().counters.failed, handed.size());
            String received = node.readToEnd();
            assertTrue(ids(WHOLE_REQUEST, received).containsAll(written), "what was written reaches the node");
            assertTrue(ids(handed).containsAll(ids(BEGUN_REQUEST, received)), "nothing else reaches the node");
        } finally {
            life.release();
            for (Outside o : clients) o.release();
            for (Outside o : parties.values()) o.release();
        }
    }

    /** The id of the request that a command begins, which has to be one. */
    private static String begunRequest(String command) {
        Matcher request = BEGUN_REQUEST.matcher(command);
        assertTrue(request.lookingAt(), "begun before the news: " + command);
        return request.group(1);
    }

    /** Asserts that a node received nothing but cancellations, each of a request that had been begun. */
    private static void assertOnlyCancels(String received, Set<String> begun) {
        assertEquals(CANCELLATION.matcher(received).replaceAll(""), "", "nothing begun after the news");
        assertTrue(begun.containsAll(ids(CANCELLATION, received)), "cancelled, though not begun: " + received);
    }

    /** Keeps discovery's connection: the director takes a silent one for dead, and news written to it is lost. */
    private static final class Heartbeats {
        private static final long INTERVAL_NS = 200_000_000;
        /** Nothing new since event 2, the last in the director's file. */
        private static final String NOTHING_NEW = "00000009 0000000000000002 00";
        private final Outside discovery;
        private long dueAt = System.nanoTime();

        Heartbeats(Outside discovery) {
            this.discovery = discovery;
        }

        void sendWhenDue() {
            long now = System.nanoTime();
            if (now < dueAt) return;
            dueAt = now + INTERVAL_NS;
            try {
                discovery.write(NOTHING_NEW, false);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** How the first attempt of a request ended, and whether it had been handed to the socket and wholly written. */
    private record FirstAttempt(String id, int outcome, boolean handed, boolean written) { }

    /** Records the first attempts at one node as they end, under the lock that guards handing them to a socket. */
    private static final class FirstAttempts implements HopObserver {
        private final int nodePort;
        private final List<FirstAttempt> ended = new ArrayList<>();

        FirstAttempts(int nodePort) {
            this.nodePort = nodePort;
        }

        @Override public synchronized void hopEnded(Hop hop) {
            if (hop.number > 0 || hop.node.address.getPort() != nodePort) return;
            boolean handed = hop.writeFuture != null;
            boolean written = handed && hop.writeFuture.isWritten();
            ended.add(new FirstAttempt(Bytes.decode(hop.lookup.idHex), hop.outcome, handed, written));
        }

        @Override public void roundFinished(Director to) { }

        synchronized int ended() {
            return ended.size();
        }

        synchronized List<FirstAttempt> handed(boolean handed) {
            return ended.stream().filter(a -> a.handed == handed).toList();
        }
    }

    private static Set<String> ids(List<FirstAttempt> attempts) {
        return attempts.stream().map(FirstAttempt::id).collect(Collectors.toSet());
    }

    private static Set<String> ids(Pattern command, String received) {
        return command.matcher(received).results().map(m -> m.group(1)).collect(Collectors.toSet());
    }

    /** Sends one request with a large body from a new client. */
    private static Outside ask(DirectorServer life, int i) throws IOException {
        Outside client = Outside.client("c" + i, life.port());
        client.write(String.format(ASK, i, i + 1, BODY.length(), BODY), false);
        return client;
    }

    private static long notSent(DirectorServer life) {
        return ends(life, Director.NOT_SENT);
    }

    private static long ends(DirectorServer life, int how) {
        life.dispatcher().enter();
        try {
            return life.dispatcher().counters.outcomes[how];
        } finally {
            life.dispatcher().leave();
        }
    }

    private static int waits(DirectorServer life) {
        life.dispatcher().enter();
        try {
            return life.dispatcher().nodeConnections.all.stream().mapToInt(NodeConnection::waitingHops).sum();
        } finally {
            life.dispatcher().leave();
        }
    }
}
