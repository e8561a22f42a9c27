package mothcross.net;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import mothcross.net.ServeTest.Outside;

/** A director in a process of its own, with the options of the Java runtime that a test needs. */
final class DirectorProcess implements AutoCloseable {
    final Process process;
    final int port;
    /** The lines of its log so far. */
    final Queue<String> log = new ConcurrentLinkedQueue<>();

    /** Starts it, told by the parameters of told.json, and waits until it serves. */
    DirectorProcess(Map<String, String> parameters, Map<String, Outside> parties, String... runtimeOptions)
        throws Exception {
        Path config = Files.createTempFile("mothcross", ".json");
        Files.writeString(config, Outside.told(parameters, parties));
        ProcessBuilder builder = Outside.builder("serve", "--config", config.toString());
        List<String> command = new ArrayList<>(builder.command());
        command.addAll(command.indexOf("-cp"), List.of(runtimeOptions));
        process = builder.command(command).start();
        BufferedReader reader = process.errorReader();
        String line = reader.readLine();
        while (line != null && !line.contains(" serves on ")) {
            log.add(line);
            line = reader.readLine();
        }
        if (line == null) throw new IOException("the director has ended: " + log);
        port = Integer.parseInt(line.replaceAll(".*:", ""));
        Thread rest = new Thread(() -> reader.lines().forEach(log::add), "log");
        rest.setDaemon(true);
        rest.start();
    }

    @Override public void close() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }
}
