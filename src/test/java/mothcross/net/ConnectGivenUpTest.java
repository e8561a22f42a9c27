package mothcross.net;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.gson.JsonParser;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import mothcross.net.ServeTest.Outside;
import org.apache.mina.core.future.ConnectFuture;
import org.testng.annotations.Test;

/** A connect that is given up in the moment in which it comes up leaves the connector as it was. */
@Test(timeOut = 30_000)
public class ConnectGivenUpTest {
    /** So long that no time-out of the director's own comes in between. */
    private static final String CONNECT_TIMEOUT_S = "8";
    private static final long TOLD_WITHIN_MS = 5000;
    private static final long POLL_MS = 2;

    private static boolean processorWaitsForLock(Dispatcher dispatcher) {
        return Thread.getAllStackTraces().keySet().stream()
            .anyMatch(thread -> thread.getName().contains("Processor") && dispatcher.lock.hasQueuedThread(thread));
    }

    /**
     * Guards against a connector that stops: the library miscounts a connect that is cancelled after the system has
     * completed it and before the sockets' thread has seen it, and may never tell again that a connection is up.
     */
    @Test public void furtherConnectsAreToldOf() throws Exception {
        Outside node = Outside.listening("mute", "cache", 0);
        Outside other = Outside.listening("mute", "cache", 1);
        Map<String, Outside> parties = new TreeMap<>(Map.of("n1", node,
            "bulletin", Outside.listening("node", "bulletin", 99)));
        DirectorServer director = new DirectorServer(StartupConfig.parse(JsonParser.parseString(
            Outside.told(Map.of("connect", CONNECT_TIMEOUT_S), parties)).getAsJsonObject(), null, true, 0));
        Dispatcher dispatcher = director.dispatcher();
        director.start();
        Outside client = Outside.client("a", director.port());
        Outside secondClient = Outside.client("b", director.port());
        try {
            client.write("GET /api/v2/books/0a HTTP/1.1|Req-Id: 00000000000000a1|Req-Wait-Ms: 20000||", false);
            Fleet.awaitTrue("it connects", () -> !dispatcher.nodeConnections.all.isEmpty());
            dispatcher.enter();
            try {
                NodeConnection connecting = dispatcher.nodeConnections.all.iterator().next();
                // The thread of all sockets waits for the lock while the system completes the connection.
                secondClient.write("GET /-/healthy HTTP/1.1||", false);
                while (!processorWaitsForLock(dispatcher)) Thread.sleep(POLL_MS);
                node.clear();
                node.accept();
                while (connecting.session == null) Thread.sleep(POLL_MS);
                connecting.connectTimeout.fire();
                assertFalse(connecting.connectFuture.isCanceled(), "left to the connector's own time-out");
            } finally {
                dispatcher.leave();
            }
            ConnectFuture next = dispatcher.connector.connect(new InetSocketAddress(
                InetAddress.getByName("127.0.0.1"), other.port()));
            other.clear();
            other.accept();
            assertTrue(next.await(TOLD_WITHIN_MS, TimeUnit.MILLISECONDS) && next.isConnected(),
                "the next connection is up and the director is told of it");
            next.getSession().closeNow();
        } finally {
            director.release();
            client.release();
            secondClient.release();
            other.release();
            for (Outside party : parties.values()) party.release();
        }
    }
}
