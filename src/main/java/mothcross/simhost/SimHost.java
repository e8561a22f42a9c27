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

/** Hosts directors on the simulator's wire: one reply for each batch, until the input ends. */
public final class SimHost {
    private final BufferedReader in;
    private final PrintStream out, err;
    private final StringBuilder reply = new StringBuilder();
    private final Map<Integer, SimulatorAdapter> doors = new HashMap<>();
    private final List<WireLine> lines = new ArrayList<>();
    private int target = -1;
    private double now;

    public SimHost(InputStream in, PrintStream out, PrintStream err) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = out;
        this.err = err;
    }

    /** 0 at the end of the input, 1 after a line that could not be used or a fault of the module. */
    public int run() throws IOException {
        long number = 0;
        boolean inBatch = false;
        try {
            for (String text; (text = in.readLine()) != null;) {
                number++;
                if (text.isBlank()) continue;
                WireLine l = new WireLine(text, number);
                if (l.name.equals("SYNC")) {
                    now = l.milliseconds("Now");
                    inBatch = true;
                    target = -1;
                } else if (!inBatch) {
                    throw new FieldMap.MalformedFieldException("line " + number + " (" + l.name + "): outside a batch");
                } else {
                    switch (l.name) {
                        case "YOUR_TURN" -> {
                            flushRound();
                            inBatch = false;
                            send("END\n");
                        }
                        case "TARGET_INSTANCE" -> {
                            flushRound();
                            target = l.intValue("I");
                        }
                        case "CREATE" -> {
                            flushRound();
                            doors.put(needTarget(l), new SimulatorAdapter(target,
                                new DirectorSettings(l, l.longValue("RandomSeed")), reply));
                        }
                        case "HALT" -> {
                            flushRound();
                            doors.remove(needTarget(l));
                        }
                        default -> {
                            needTarget(l);
                            lines.add(l);
                        }
                    }
                }
            }
            return 0;
        } catch (FieldMap.MalformedFieldException e) {
            return fault(e.getMessage());
        } catch (RuntimeException e) {
            e.printStackTrace(err);
            return fault("the module failed near line " + number + ": " + e);
        }
    }

    private int needTarget(WireLine l) {
        if (target < 0) {
            throw new FieldMap.MalformedFieldException("line " + l.number + " (" + l.name
                + "): no TARGET_INSTANCE before it");
        }
        return target;
    }

    private void flushRound() {
        if (lines.isEmpty()) return;
        SimulatorAdapter door = doors.get(target);
        if (door != null) door.round(now, lines);
        lines.clear();
    }

    private void send(String closing) {
        reply.append(closing);
        byte[] bytes = reply.toString().getBytes(StandardCharsets.UTF_8);
        out.write(bytes, 0, bytes.length);
        out.flush();
        reply.setLength(0);
    }

    /** The wire's own report of a fault, and the same on standard error. */
    private int fault(String text) {
        err.println("mothcross: " + text);
        err.flush();
        reply.setLength(0);
        if (target >= 0) reply.append("CONTEXT I=").append(target).append('\n');
        send("GIVE_IN BodyText=" + text.replace('\n', ' ') + "\nEND\n");
        return 1;
    }
}
