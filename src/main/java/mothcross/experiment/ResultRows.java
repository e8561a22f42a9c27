package mothcross.experiment;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import mothcross.emulator.SimulationResult;

/**
 * The results of an experiment: a CSV with one line a run, appended as runs end, so that a kill loses no more than
 * the runs under
 * way. Owns the file; a last line cut off is dropped when it is read again, and a file of another plan is refused.
 */
public final class ResultRows {
    private final Path file;
    private final String head;
    // By cell, by seed: the figures in the order of their names.
    private final Map<String, TreeMap<Integer, double[]>> all = new LinkedHashMap<>();

    /** {@code plan}: a hash of the experiment file; results of another one are not mixed in. */
    public ResultRows(Path file, String plan) throws IOException {
        this.file = file;
        this.head = "# plan " + plan + "\ncell,seed," + String.join(",", SimulationResult.names()) + "\n";
        if (!Files.exists(file)) {
            Files.createDirectories(file.toAbsolutePath().getParent());
            Files.writeString(file, head);
            return;
        }
        String text = Files.readString(file);
        if (!text.startsWith(head)) throw new IOException(file + " holds results of another plan; move it away");
        int whole = text.lastIndexOf('\n') + 1;
        if (whole < text.length()) Files.writeString(file, text.substring(0, whole));
        for (String line : text.substring(head.length(), whole).split("\n")) if (!line.isEmpty()) take(line);
    }

    private void take(String line) {
        String[] p = line.split(",");
        double[] v = new double[SimulationResult.names().size()];
        for (int i = 0; i < v.length; i++) v[i] = Double.parseDouble(p[i + 2]);
        all.computeIfAbsent(p[0], k -> new TreeMap<>()).put(Integer.parseInt(p[1]), v);
    }

    public synchronized boolean has(String cell, int seed) {
        return all.getOrDefault(cell, new TreeMap<>()).containsKey(seed);
    }

    public synchronized void add(String cell, int seed, SimulationResult r) throws IOException {
        StringBuilder s = new StringBuilder(cell).append(',').append(seed);
        r.figures().values().forEach(v -> s.append(',').append(String.format(Locale.ROOT, "%.6f", v)));
        take(s.toString());
        Files.write(file, s.append('\n').toString().getBytes(StandardCharsets.UTF_8), StandardOpenOption.APPEND);
    }

    public synchronized int count(String cell) {
        return all.getOrDefault(cell, new TreeMap<>()).size();
    }

    /** One figure of a cell by seed. */
    public synchronized Map<Integer, Double> figures(String cell, String metric) {
        int at = SimulationResult.names().indexOf(metric);
        Map<Integer, Double> m = new TreeMap<>();
        all.getOrDefault(cell, new TreeMap<>()).forEach((seed, v) -> m.put(seed, v[at]));
        return m;
    }

    public synchronized List<String> cells() {
        return List.copyOf(new HashMap<>(all).keySet()).stream().sorted().toList();
    }
}
