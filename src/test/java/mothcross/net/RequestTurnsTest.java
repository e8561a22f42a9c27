package mothcross.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.gson.JsonParser;
import java.util.Map;
import java.util.TreeMap;
import mothcross.net.ServeTest.Outside;
import org.testng.annotations.Test;

/** Clients that send many requests which need no node, beside others. */
@Test(timeOut = 30_000)
public class RequestTurnsTest {
    private static final int UNSOUND_REQUESTS = 2000;

    private static boolean readingThreadWaits(Dispatcher dispatcher) {
        return Thread.getAllStackTraces().keySet().stream().anyMatch(thread -> !thread.getName().equals("timers")
            && dispatcher.lock.hasQueuedThread(thread));
    }

    private static long unsoundAnswered(DirectorServer director) {
        director.dispatcher().enter();
        try {
            return director.dispatcher().counters.badPath;
        } finally {
            director.dispatcher().leave();
        }
    }

    /**
     * Guards against one client whose requests are answered in one go: hundreds of unsound ones at once held up all
     * others for as long as it took.
     */
    @Test public void requestsOfOthersAreServedBetweenThoseOfOneClient() throws Exception {
        Outside node = Outside.listening("node", "cache", 1);
        Map<String, Outside> parties = new TreeMap<>(Map.of("n1", node,
            "bulletin", Outside.listening("node", "bulletin", 99)));
        DirectorServer director = new DirectorServer(StartupConfig.parse(JsonParser.parseString(
            Outside.told(Map.of(), parties)).getAsJsonObject(), null, true, 0));
        director.start();
        Dispatcher dispatcher = director.dispatcher();
        Outside many = Outside.client("many", director.port());
        Outside other = Outside.client("other", director.port());
        try {
            other.write("GET /-/healthy HTTP/1.1||", false);
            assertTrue(other.read().startsWith("HTTP/1.1 200 "));
            many.write("GET /api/v2/books/0a HTTP/1.1|Req-Id: 00000000000000a1|Req-Wait-Ms: 20000||", false);
            assertTrue(node.read().startsWith("want 00000000000000a1 "));
            String unsound = "GET /x HTTP/1.1||";
            many.write(unsound.repeat(UNSOUND_REQUESTS), false);
            Fleet.awaitTrue("all are received", () -> dispatcher.unreadMemory.usedBytes()
                >= (long) UNSOUND_REQUESTS * unsound.replace("|", "\r\n").length());
            dispatcher.enter();
            try {
                // The thread of all sockets reads the answer, and the unsound requests are next; then the other.
                node.write("00000000000000a1 DONE n=mem 2|ok|", false);
                Fleet.awaitTrue("the answer is read", () -> readingThreadWaits(dispatcher));
                other.write("GET /-/healthy HTTP/1.1||", false);
            } finally {
                dispatcher.leave();
            }
            assertTrue(other.read().startsWith("HTTP/1.1 200 "));
            long answered = unsoundAnswered(director);
            assertTrue(answered < UNSOUND_REQUESTS, "unsound requests answered before it: " + answered);
            assertTrue(many.read().startsWith("HTTP/1.1 200 "));
            for (int i = 0; i < UNSOUND_REQUESTS; i++) assertTrue(many.read().startsWith("HTTP/1.1 404 "));
            assertEquals(unsoundAnswered(director), UNSOUND_REQUESTS);
        } finally {
            director.release();
            many.release();
            other.release();
            for (Outside party : parties.values()) party.release();
        }
    }
}
