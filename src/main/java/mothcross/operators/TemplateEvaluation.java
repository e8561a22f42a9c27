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
 * Evaluates the operators' template in a process of its own, with a heap, a stack, a time and an output that are
 * bounded whatever the template does, and whose library the director itself never loads. Owns that process;
 * must never outlive it, nor wait for it longer than the bound.
 */
record TemplateEvaluation(String text, String fault) {
    static final int HEAP_MB = 96, TIME_MS = 20_000, LONGEST = 4 << 20;
    /** How the child ends where the template is at fault; its standard output then holds the reason. */
    static final int AT_FAULT = 4;

    static TemplateEvaluation of(Path file) {
        return of(file, HEAP_MB, TIME_MS);
    }

    static TemplateEvaluation of(Path file, int heapMb, int timeMs) {
        if (!Files.isReadable(file)) return bad("can't be read");
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        Process p;
        try {
            p = new ProcessBuilder(java, "-Xmx" + heapMb + "m", "-Xss2m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
                "-XX:+ExitOnOutOfMemoryError", "-XX:-UsePerfData", "-cp", classPath(), Template.class.getName(),
                file.toAbsolutePath().toString()).redirectError(ProcessBuilder.Redirect.DISCARD).start();
        } catch (IOException e) {
            return bad("no process to evaluate it can be started: " + e.getMessage());
        }
        Thread end = new Thread(() -> {
            try {
                if (!p.waitFor(timeMs, TimeUnit.MILLISECONDS)) p.destroyForcibly();
            } catch (InterruptedException e) {
                p.destroyForcibly();
            }
        }, "evaluation");
        end.setDaemon(true);
        end.start();
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeMs);
        try (InputStream in = p.getInputStream()) {
            byte[] out = in.readNBytes(LONGEST + 1);
            if (out.length > LONGEST) return bad("its value is longer than " + LONGEST + " bytes");
            int status = p.waitFor();
            String text = new String(out, StandardCharsets.UTF_8);
            if (status == 0) return new TemplateEvaluation(text, null);
            if (status == AT_FAULT) return bad(text.strip());
            if (System.nanoTime() >= until) return bad("not evaluated within " + timeMs / 1000.0 + " s");
            return bad("not evaluated within a heap of " + heapMb + " MB");
        } catch (IOException e) {
            return bad("its evaluation can't be read: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return bad("interrupted");
        } finally {
            p.destroyForcibly();
            end.interrupt();
        }
    }

    private static TemplateEvaluation bad(String why) {
        return new TemplateEvaluation(null, why);
    }

    /** What this program runs from, and the libraries beside it that only tools use. */
    private static String classPath() {
        StringBuilder s = new StringBuilder(System.getProperty("java.class.path"));
        try {
            Path here = Path.of(TemplateEvaluation.class.getProtectionDomain().getCodeSource().getLocation().toURI());
            Path more = here.resolveSibling("lib").resolve("more");
            for (String part : List.of(here.toString(), more + File.separator + "*")) {
                s.append(File.pathSeparator).append(part);
            }
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);             // a place that a class was loaded from is a URI
        }
        return s.toString();
    }
}
