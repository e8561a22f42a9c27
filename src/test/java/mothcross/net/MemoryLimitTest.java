package mothcross.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import mothcross.standin.FakeClients;
import mothcross.standin.FakeDiscovery;
import mothcross.standin.FakeNode;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Clients that make a director hold much, against a director's process with a small heap. */
@Test(timeOut = 60_000)
public class MemoryLimitTest {
    private static final String[] SMALL_HEAP = {"-Xmx32m", "-Xmn6m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"};
    private static final Map<String, String> PARAMETERS = Map.of("sockets", "2000", "memory", "192");
    /** The first that is not in told.json. */
    private static final int FIRST_EVENT = 3;
    private static final int CLIENTS = 180;
    private static final int OBJECT_KB = 10;
    /** So many answers at a time are no load for the node. */
    private static final double NODE_UNITS = 1000;

    private final List<Socket> sockets = new ArrayList<>();
    private ExecutorService threads;
    private DirectorProcess director;
    private FakeDiscovery discovery;
    private FakeNode cache;

    @BeforeMethod public void startDirector() throws Exception {
        threads = Executors.newCachedThreadPool();
        discovery = new FakeDiscovery();
        discovery.restartNumbering(FIRST_EVENT);
        cache = new FakeNode(1, FakeNode.CACHE, NODE_UNITS, 0, 0, 0);
        discovery.sendSnapshot(cache);
        discovery.startListening();
        Map<String, String> parameters = new TreeMap<>(PARAMETERS);
        parameters.put("bulletin", Integer.toString(discovery.port()));
        director = new DirectorProcess(parameters, Map.of(), SMALL_HEAP);
    }

    @AfterMethod(alwaysRun = true) public void endDirector() throws Exception {
        threads.shutdownNow();
        for (Socket socket : sockets) socket.close();
        sockets.clear();
        if (director != null) director.close();
        cache.close();
        discovery.close();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), director.port), 5000);
        synchronized (sockets) {
            sockets.add(socket);
        }
        return socket;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Runs the action for each of the clients at once, and waits for all of them. */
    private void forEachClient(Callable<Void> action) throws Exception {
        List<Future<Void>> results = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) results.add(threads.submit(action));
        for (Future<Void> result : results) result.get();
    }

    /** Every lookup is answered, and served in the end; one may be refused while the node counts as slow. */
    private void assertServes() throws IOException {
        try (FakeClients.Client client = new FakeClients.Client(director.port)) {
            int status = 503;
            for (int i = 0; i < 2000 && status == 503; i++) status = client.status(i, OBJECT_KB, 0);
            assertEquals(status, 200);
        }
        assertTrue(director.log.stream().noneMatch(line -> line.contains("OutOfMemoryError")), "out of memory");
        assertTrue(director.process.isAlive());
    }

    /**
     * Guards against requests that clients begin, write slowly and do not finish: a head of very many short fields, and
     * a large body.
     */
    @Test public void unfinishedRequestsDoNotFillTheHeap() throws Exception {
        String manyFields = "GET /api/v2/books/0a HTTP/1.1\r\nReq-Id: 00000000000000aa\r\n" + "a:\r\n".repeat(1900);
        String bodyHead = "PUT /api/v2/books/0a HTTP/1.1\r\nReq-Id: 00000000000000bb\r\n"
            + "Content-Length: 240000\r\n\r\n";
        String piece = "y".repeat(2000);
        forEachClient(() -> {
            write(connect(), manyFields);
            Socket slow = connect();
            write(slow, bodyHead);
            try {
                for (int i = 0; i < 110; i++) write(slow, piece);
            } catch (IOException e) {
                return null;                                // refused
            }
            return null;
        });
        assertServes();
    }

    /** Guards against answers that nobody reads: small ones weigh many times their bytes. */
    @Test public void unreadAnswersDoNotFillTheHeap() throws Exception {
        byte[] requests = "GET /-/healthy HTTP/1.1\r\n\r\n".repeat(4000).getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i < CLIENTS; i++) {
            Socket socket = connect();
            threads.submit(() -> {
                for (int j = 0; j < 20; j++) socket.getOutputStream().write(requests);
                return null;
            });
        }
        long until = System.nanoTime() + 5_000_000_000L;
        while (System.nanoTime() < until) {
            assertServes();
            Thread.sleep(50);                           // the interval between checks
        }
    }
}
