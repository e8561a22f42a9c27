package mothcross.cli;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import mothcross.expr.Frame;
import mothcross.expr.Inputs;
import mothcross.route.RequestInputs;

/**
 * A request given on the command line, as input of the routes: a target and headers, both as bytes. A director parses
 * request heads in place and does not use this class.
 */
final class RequestHead implements Frame.Request {
    /** Segments of the target {@code /api/v2/WORKLOAD/OBJECT/piece-N}, whose first segment is empty. */
    private static final int WORKLOAD_SEGMENT = 3;
    private static final int OBJECT_SEGMENT = 4;
    private static final int PIECE_SEGMENT = 5;
    private static final byte[] CLIENT_ADDRESS = {127, 0, 0, 1};
    private static final int BYTES_PER_KB = 1000;

    private final byte[] target;
    private final String[] segments;
    /** The names of the headers that the routes read, by number from {@link Inputs#FIRST_HEADER}. */
    private final String[] headerNames;
    private final List<Header> headers = new ArrayList<>();

    private record Header(String name, String value) { }

    /** {@code head}: the target, or a request line with it, then lines {@code Name: value}. */
    RequestHead(String head, String[] headerNames) {
        String[] lines = head.split("\r?\n");
        String firstLine = lines[0].strip();
        String targetText = firstLine.startsWith("GET ") ? firstLine.split(" ")[1] : firstLine;
        target = targetText.getBytes(StandardCharsets.ISO_8859_1);
        segments = targetText.split("/", -1);
        for (int i = 1; i < lines.length; i++) {
            String line = lines[i];
            int colon = line.indexOf(':');
            if (colon <= 0) continue;
            headers.add(new Header(line.substring(0, colon).toLowerCase(Locale.ROOT),
                line.substring(colon + 1).strip()));
        }
        this.headerNames = headerNames;
    }

    /** The workload's name as the target has it. */
    String workload() {
        return segment(WORKLOAD_SEGMENT);
    }

    private String segment(int index) {
        return index < segments.length ? segments[index] : "";
    }

    /** The value of the first header of this name; null if there is none. */
    private String header(String name) {
        for (Header header : headers) {
            if (header.name.equals(name)) return header.value;
        }
        return null;
    }

    @Override public void read(int number, Frame frame, int slot) {
        if (number >= Inputs.FIRST_HEADER) {
            String value = header(headerNames[number - Inputs.FIRST_HEADER]);
            if (value != null) putString(frame, slot, value);
            return;
        }
        String value = switch (number) {
            case RequestInputs.PART -> segment(PIECE_SEGMENT).replaceAll("^piece-", "");
            case RequestInputs.GROUP -> header("x-lot");
            case RequestInputs.SIZE -> header("req-kb");
            case RequestInputs.WAIT -> header("req-wait-ms");
            default -> null;
        };
        try {
            switch (number) {
                case RequestInputs.WORKLOAD -> putString(frame, slot, workload());
                case RequestInputs.OBJECT -> putString(frame, slot, segment(OBJECT_SEGMENT));
                case RequestInputs.TARGET -> frame.put(slot, target, 0, target.length);
                case RequestInputs.RETRY -> frame.put(slot, "1".equals(header("req-retry")) ? 1L : 0L);
                case RequestInputs.CLIENT -> frame.put(slot, CLIENT_ADDRESS, 0, CLIENT_ADDRESS.length);
                case RequestInputs.PART, RequestInputs.GROUP -> {
                    if (value != null && !value.isEmpty()) frame.put(slot, Long.parseLong(value));
                }
                case RequestInputs.SIZE -> {
                    if (value != null) frame.put(slot, BYTES_PER_KB * Double.parseDouble(value));
                }
                case RequestInputs.WAIT -> {
                    if (value != null) frame.put(slot, Double.parseDouble(value));
                }
                default -> { }
            }
        } catch (NumberFormatException e) {
            frame.putAbsent(slot);
        }
    }

    private static void putString(Frame frame, int slot, String value) {
        byte[] bytes = value.getBytes(StandardCharsets.ISO_8859_1);
        frame.put(slot, bytes, 0, bytes.length);
    }
}
