package mothcross.net;

import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import mothcross.net.ServeTest.Outside;
import org.testng.annotations.Test;

/** A director's process that is not run for a while, as on a machine that is too busy, takes nobody else for late. */
@Test(timeOut = 60_000)
public class PausedProcessTest {
    private static final long CONNECT_TIMEOUT_MS = 2500;
    /** Past the time-out, and before that of the library below, which is a second longer. */
    private static final long PAUSE_ENDS_AFTER_MS = CONNECT_TIMEOUT_MS + 300;
    private static final long POLL_MS = 5;
    /** State of a connection in the tables of /proc/net whose first packet is not answered yet. */
    private static final String SYN_SENT = "02";

    private static boolean isConnectingTo(int port) throws Exception {
        String remotePort = String.format(":%04X", port);
        for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
            for (String line : Files.readAllLines(Path.of(table))) {
                String[] fields = line.trim().split("\\s+");
                if (fields[2].endsWith(remotePort) && fields[3].equals(SYN_SENT)) return true;
            }
        }
        return false;
    }

    private static void signal(Process process, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Guards against a connection that came up in time being given up, as it was not looked at before its time-out. */
    @Test public void aConnectionThatCameUpInTimeIsUsed() throws Exception {
        Path file = Files.createTempFile("mothcross", ".json");
        Outside node = Outside.listening("mute", "cache", 0);
        Map<String, Outside> parties = new TreeMap<>(Map.of("n1", node,
            "bulletin", Outside.listening("node", "bulletin", 99)));
        Files.writeString(file, Outside.told(Map.of("connect", Double.toString(CONNECT_TIMEOUT_MS / 1000.0)), parties));
        Process director = Outside.program("serve", "--config", file.toString());
        Outside client = null;
        try {
            String line = director.errorReader().readLine();
            client = Outside.client("a", Integer.parseInt(line.replaceAll(".*:", "")));
            client.write("GET /api/v2/books/0a HTTP/1.1|Req-Id: 00000000000000a1|Req-Wait-Ms: 20000||", false);
            while (!isConnectingTo(node.port())) Thread.sleep(POLL_MS);
            long connectingSince = System.nanoTime();
            signal(director, "STOP");
            node.clear();
            node.accept();                              // the system completes the connection; the process is paused
            long acceptedAfterMs = (System.nanoTime() - connectingSince) / 1_000_000;
            assertTrue(acceptedAfterMs < CONNECT_TIMEOUT_MS, "up after ms: " + acceptedAfterMs);
            Thread.sleep(PAUSE_ENDS_AFTER_MS - acceptedAfterMs);
            signal(director, "CONT");
            String command = node.read();
            assertTrue(command.startsWith("want 00000000000000a1 "), command);
        } finally {
            director.destroyForcibly();
            if (client != null) client.release();
            for (Outside party : List.copyOf(parties.values())) party.release();
        }
    }
}
