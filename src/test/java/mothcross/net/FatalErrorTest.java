package mothcross.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.gson.JsonParser;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import mothcross.net.ServeTest.Outside;
import org.testng.annotations.Test;

/** A director whose thread of all sockets fails. */
public class FatalErrorTest {
    private static final int FATAL_ERROR_STATUS = 3;

    /** The main class of a process whose thread of all sockets runs out of memory. */
    public static final class FailingDirector {
        private FailingDirector() { }

        public static void main(String[] args) throws Exception {
            DirectorServer director = new DirectorServer(StartupConfig.parse(
                JsonParser.parseString(Files.readString(Path.of(args[0]))).getAsJsonObject(), null, true, 0));
            director.onFatalError(() -> Runtime.getRuntime().halt(FATAL_ERROR_STATUS));
            director.start();
            try (Socket client = new Socket("127.0.0.1", director.port())) {
                Fleet.awaitTrue("the client is there", () -> director.dispatcher().clientCount() > 0);
                Processor.execute(director.dispatcher().clients.iterator().next().session, () -> {
                    throw new OutOfMemoryError("by the test");
                });
                Thread.currentThread().join();
            }
        }
    }

    /** Guards against a process that stays when it can't serve any more: it accepted requests and answered none. */
    @Test(timeOut = 60_000) public void theProcessEndsWithItsThreadOfSockets() throws Exception {
        Map<String, Outside> parties = new TreeMap<>(Map.of("bulletin", Outside.listening("node", "bulletin", 99)));
        Path config = Files.createTempFile("mothcross", ".json");
        Files.writeString(config, Outside.told(Map.of(), parties));
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        Process process = new ProcessBuilder(java, "-cp", System.getProperty("java.class.path"),
            FailingDirector.class.getName(), config.toString()).redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .redirectError(ProcessBuilder.Redirect.DISCARD).start();
        try {
            assertTrue(process.waitFor(30, TimeUnit.SECONDS), "the process stays");
            assertEquals(process.exitValue(), FATAL_ERROR_STATUS);
        } finally {
            process.destroyForcibly().waitFor();
            for (Outside party : parties.values()) party.release();
        }
    }
}
