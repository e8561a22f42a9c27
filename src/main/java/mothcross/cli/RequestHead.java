package mothcross.cli;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import mothcross.expr.Frame;
import mothcross.expr.Inputs;
import mothcross.route.RequestInputs;

/**
 * A request told on the command line, as the routes read it: a target and headers, both as bytes. Owns the words for
 * it;
 * the director itself reads heads where they stand and never uses this.
 */
final class RequestHead implements Frame.Request {
    private final byte[] target;
    private final String[] parts;
    private final String[] names;
    private final List<String[]> fields = new ArrayList<>();

    /** {@code head}: a request line's target, then lines {@code Name: value}. */
    RequestHead(String head, String[] headers) {
        String[] lines = head.split("\r?\n");
        String first = lines[0].strip();
        String t = first.startsWith("GET ") ? first.split(" ")[1] : first;
        target = t.getBytes(StandardCharsets.ISO_8859_1);
        parts = t.split("/", -1);
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon <= 0) continue;
            fields.add(new String[] {lines[i].substring(0, colon).toLowerCase(Locale.ROOT), lines[i].substring(colon
                + 1).strip()});
        }
        names = headers;
    }

    /** The workload's name as the target has it. */
    String workload() {
        return at(3);
    }

    private String at(int i) {
        return i < parts.length ? parts[i] : "";
    }

    private String field(String name) {
        for (String[] f : fields) if (f[0].equals(name)) return f[1];
        return null;
    }

    @Override public void read(int number, Frame f, int slot) {
        if (number >= Inputs.FIRST_HEADER) {
            String v = field(names[number - Inputs.FIRST_HEADER]);
            if (v != null) put(f, slot, v);
            return;
        }
        String v = switch (number) {
            case RequestInputs.PART -> at(5).replaceAll("^piece-", "");
            case RequestInputs.GROUP -> field("x-lot");
            case RequestInputs.SIZE -> field("req-kb");
            case RequestInputs.WAIT -> field("req-wait-ms");
            default -> null;
        };
        try {
            switch (number) {
                case RequestInputs.WORKLOAD -> put(f, slot, workload());
                case RequestInputs.OBJECT -> put(f, slot, at(4));
                case RequestInputs.TARGET -> f.put(slot, target, 0, target.length);
                case RequestInputs.RETRY -> f.put(slot, "1".equals(field("req-retry")) ? 1L : 0L);
                case RequestInputs.CLIENT -> f.put(slot, new byte[] {127, 0, 0, 1}, 0, 4);
                case RequestInputs.PART, RequestInputs.GROUP -> {
                    if (v != null && !v.isEmpty()) f.put(slot, Long.parseLong(v));
                }
                case RequestInputs.SIZE -> {
                    if (v != null) f.put(slot, 1000 * Double.parseDouble(v));
                }
                case RequestInputs.WAIT -> {
                    if (v != null) f.put(slot, Double.parseDouble(v));
                }
                default -> { }
            }
        } catch (NumberFormatException e) {
            f.absent(slot);
        }
    }

    private static void put(Frame f, int slot, String v) {
        byte[] b = v.getBytes(StandardCharsets.ISO_8859_1);
        f.put(slot, b, 0, b.length);
    }
}
