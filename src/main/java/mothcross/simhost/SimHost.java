package mothcross.simhost;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mothcross.adapter.DirectorSettings;
import mothcross.adapter.FieldMap;

/**
 * Hosts directors in the simulator's protocol: reads batches of lines until the input ends, hands each instance its
 * lines, and writes one reply for each batch.
 */
public final class SimHost {
    private final BufferedReader in;
    private final PrintStream out;
    private final PrintStream err;
    private final StringBuilder reply = new StringBuilder();
    private final Map<Integer, SimulatorAdapter> instances = new HashMap<>();
    /** The lines of the current batch for the target instance. */
    private final List<WireLine> lines = new ArrayList<>();
    /** The instance that lines are for, -1 before the batch names one. */
    private int target = -1;
    private double now;

    public SimHost(InputStream in, PrintStream out, PrintStream err) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = out;
        this.err = err;
    }

    /** Returns 0 at the end of the input, 1 after a malformed line or a failure of a director. */
    public int run() throws IOException {
        long number = 0;
        boolean inBatch = false;
        try {
            for (String text; (text = in.readLine()) != null;) {
                number++;
                if (text.isBlank()) continue;
                WireLine line = new WireLine(text, number);
                if (line.name.equals("SYNC")) {
                    now = line.milliseconds("Now");
                    inBatch = true;
                    target = -1;
                } else if (!inBatch) {
                    throw new FieldMap.MalformedFieldException("line " + number + " (" + line.name
                        + "): outside a batch");
                } else {
                    handle(line);
                    inBatch = !line.name.equals("YOUR_TURN");
                }
            }
            return 0;
        } catch (FieldMap.MalformedFieldException e) {
            return fault(e.getMessage());
        } catch (RuntimeException e) {
            e.printStackTrace(err);
            return fault("the director failed near line " + number + ": " + e);
        }
    }

    /** Handles a line within a batch. */
    private void handle(WireLine line) {
        switch (line.name) {
            case "YOUR_TURN" -> {
                processLines();
                send("END\n");
            }
            case "TARGET_INSTANCE" -> {
                processLines();
                target = line.intValue("I");
            }
            case "CREATE" -> {
                processLines();
                int instance = requireTarget(line);
                DirectorSettings settings = new DirectorSettings(line, line.longValue("RandomSeed"));
                instances.put(instance, new SimulatorAdapter(instance, settings, reply));
            }
            case "HALT" -> {
                processLines();
                instances.remove(requireTarget(line));
            }
            default -> {
                requireTarget(line);
                lines.add(line);
            }
        }
    }

    private int requireTarget(WireLine line) {
        if (target < 0) {
            throw new FieldMap.MalformedFieldException("line " + line.number + " (" + line.name
                + "): no TARGET_INSTANCE before it");
        }
        return target;
    }

    private void processLines() {
        if (lines.isEmpty()) return;
        SimulatorAdapter instance = instances.get(target);
        if (instance != null) instance.process(now, lines);
        lines.clear();
    }

    private void send(String lastLines) {
        reply.append(lastLines);
        byte[] bytes = reply.toString().getBytes(StandardCharsets.UTF_8);
        out.write(bytes, 0, bytes.length);
        out.flush();
        reply.setLength(0);
    }

    /** Reports a failure to the simulator, in place of the reply, and on standard error. */
    private int fault(String message) {
        err.println("mothcross: " + message);
        err.flush();
        reply.setLength(0);
        if (target >= 0) reply.append("CONTEXT I=").append(target).append('\n');
        send("GIVE_IN BodyText=" + message.replace('\n', ' ') + "\nEND\n");
        return 1;
    }
}
