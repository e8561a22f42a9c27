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
 * The results of an experiment: a CSV file with one line per run, appended as runs end, so that a killed process loses
 * only the runs in progress. An incomplete last line is dropped on reading; a file of another plan is rejected.
 */
public final class ResultRows {
    private final Path file;
    private final String header;
    // Metrics in the order of their names, by cell and seed.
    private final Map<String, TreeMap<Integer, double[]>> valuesByCell = new LinkedHashMap<>();

    /** {@code planHash}: a hash of the experiment file; results of another plan are rejected. */
    public ResultRows(Path file, String planHash) throws IOException {
        this.file = file;
        this.header = "# plan " + planHash + "\ncell,seed," + String.join(",", SimulationResult.names()) + "\n";
        if (!Files.exists(file)) {
            Files.createDirectories(file.toAbsolutePath().getParent());
            Files.writeString(file, header);
            return;
        }
        String text = Files.readString(file);
        if (!text.startsWith(header)) throw new IOException(file + " holds results of another plan; move it away");
        int completeLength = text.lastIndexOf('\n') + 1;
        if (completeLength < text.length()) Files.writeString(file, text.substring(0, completeLength));
        for (String line : text.substring(header.length(), completeLength).split("\n")) {
            if (!line.isEmpty()) parse(line);
        }
    }

    private void parse(String line) {
        String[] fields = line.split(",");
        double[] values = new double[SimulationResult.names().size()];
        for (int i = 0; i < values.length; i++) values[i] = Double.parseDouble(fields[i + 2]);
        valuesByCell.computeIfAbsent(fields[0], k -> new TreeMap<>()).put(Integer.parseInt(fields[1]), values);
    }

    public synchronized boolean contains(String cell, int seed) {
        return valuesByCell.getOrDefault(cell, new TreeMap<>()).containsKey(seed);
    }

    public synchronized void add(String cell, int seed, SimulationResult result) throws IOException {
        StringBuilder line = new StringBuilder(cell).append(',').append(seed);
        result.figures().values().forEach(value -> line.append(',').append(String.format(Locale.ROOT, "%.6f", value)));
        parse(line.toString());
        Files.write(file, line.append('\n').toString().getBytes(StandardCharsets.UTF_8), StandardOpenOption.APPEND);
    }

    public synchronized int count(String cell) {
        return valuesByCell.getOrDefault(cell, new TreeMap<>()).size();
    }

    /** One metric of a cell, by seed. */
    public synchronized Map<Integer, Double> figures(String cell, String metric) {
        int column = SimulationResult.names().indexOf(metric);
        Map<Integer, Double> figureBySeed = new TreeMap<>();
        valuesByCell.getOrDefault(cell, new TreeMap<>()).forEach((seed, values) ->
            figureBySeed.put(seed, values[column]));
        return figureBySeed;
    }

    public synchronized List<String> cells() {
        return List.copyOf(new HashMap<>(valuesByCell).keySet()).stream().sorted().toList();
    }
}
