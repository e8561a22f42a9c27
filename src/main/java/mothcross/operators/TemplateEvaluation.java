package mothcross.operators;

import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The result of evaluating the operators' template: its value as JSON, or the error. Evaluation runs in a child process
 * whose heap, stack, time and output are bounded whatever the template does, and whose Jsonnet library is never loaded
 * by the director itself. The child is ended, and no longer waited for, once the time is up.
 */
record TemplateEvaluation(String json, String error) {
    static final int MAX_HEAP_MB = 96;
    static final int TIMEOUT_MS = 20_000;
    static final int MAX_OUTPUT_BYTES = 4 << 20;
    /** The exit status of the child for an error in the template; its standard output then holds the reason. */
    static final int TEMPLATE_ERROR_STATUS = 4;

    static TemplateEvaluation of(Path file) {
        return of(file, MAX_HEAP_MB, TIMEOUT_MS);
    }

    static TemplateEvaluation of(Path file, int heapMb, int timeoutMs) {
        if (!Files.isReadable(file)) return failed("can't be read");
        Process child;
        try {
            child = startChild(file, heapMb);
        } catch (IOException e) {
            return failed("no process to evaluate it can be started: " + e.getMessage());
        }
        Thread watchdog = startWatchdog(child, timeoutMs);
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        try (InputStream output = child.getInputStream()) {
            byte[] bytes = output.readNBytes(MAX_OUTPUT_BYTES + 1);
            if (bytes.length > MAX_OUTPUT_BYTES) {
                return failed("its value is longer than " + MAX_OUTPUT_BYTES + " bytes");
            }
            int status = child.waitFor();
            String text = new String(bytes, StandardCharsets.UTF_8);
            if (status == 0) return new TemplateEvaluation(text, null);
            if (status == TEMPLATE_ERROR_STATUS) return failed(text.strip());
            if (System.nanoTime() >= deadlineNs) return failed("not evaluated within " + timeoutMs / 1000.0 + " s");
            return failed("not evaluated within a heap of " + heapMb + " MB");
        } catch (IOException e) {
            return failed("its evaluation can't be read: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return failed("interrupted");
        } finally {
            child.destroyForcibly();
            watchdog.interrupt();
        }
    }

    private static TemplateEvaluation failed(String reason) {
        return new TemplateEvaluation(null, reason);
    }

    private static Process startChild(Path file, int heapMb) throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        return new ProcessBuilder(java, "-Xmx" + heapMb + "m", "-Xss2m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
            "-XX:+ExitOnOutOfMemoryError", "-XX:-UsePerfData", "-cp", classPath(), Template.class.getName(),
            file.toAbsolutePath().toString()).redirectError(ProcessBuilder.Redirect.DISCARD).start();
    }

    /** Starts a thread that ends the child when the time is up, or when the thread is interrupted. */
    private static Thread startWatchdog(Process child, int timeoutMs) {
        Thread watchdog = new Thread(() -> {
            try {
                if (!child.waitFor(timeoutMs, TimeUnit.MILLISECONDS)) child.destroyForcibly();
            } catch (InterruptedException e) {
                child.destroyForcibly();
            }
        }, "evaluation");
        watchdog.setDaemon(true);
        watchdog.start();
        return watchdog;
    }

    /** The class path of this process, and the libraries beside it that only the command-line tools use. */
    private static String classPath() {
        StringBuilder classPath = new StringBuilder(System.getProperty("java.class.path"));
        try {
            Path here = Path.of(TemplateEvaluation.class.getProtectionDomain().getCodeSource().getLocation().toURI());
            Path toolLibraries = here.resolveSibling("lib").resolve("more");
            for (String entry : List.of(here.toString(), toolLibraries + File.separator + "*")) {
                classPath.append(File.pathSeparator).append(entry);
            }
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);             // the location that a class was loaded from is a URI
        }
        return classPath.toString();
    }
}
