package mothcross.net;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import mothcross.RouteConstraints;
import mothcross.expr.Frame;
import mothcross.expr.Inputs;
import mothcross.route.RequestInputs;
import mothcross.route.RouteTable;

/**
 * Routes one request head at a time by a table. Keeps the positions of the head's fields in the buffer that was
 * received, and nothing that a client sent is copied. The table makes the decision. Used under the dispatcher's lock.
 */
final class Routing implements Frame.Request {
    private RouteTable table;
    private double limitScale = 1;
    /** The headers that the table reads; the value of each, where sent, is between the two positions. */
    private String[] headers = new String[0];
    private int[] headerStarts = new int[0];
    private int[] headerEnds = new int[0];
    private byte[] bytes;
    private int workloadStart;
    private int workloadEnd;
    private int objectStart;
    private int objectEnd;
    private int targetStart;
    private int targetEnd;
    private boolean hasPart;
    private long part;
    private long group;
    private double sizeKb;
    private double waitMs;
    private boolean retry;
    private ClientConnection client;

    RouteTable table() {
        return table;
    }

    /** Uses the new table from the next lookup on. */
    void activate(RouteTable newTable) {
        table = newTable;
        if (newTable != null) newTable.scaleLimits(limitScale);
        headers = newTable == null ? new String[0] : newTable.headers();
        headerStarts = new int[headers.length];
        headerEnds = new int[headers.length];
    }

    /** Sets this director's share of each rate limit, as a factor of the configured limit. */
    void scaleLimits(double scale) {
        limitScale = scale;
        if (table != null) table.scaleLimits(scale);
    }

    // ---- the request head as it is parsed ----

    void headStarted() {
        for (int i = 0; i < headerStarts.length; i++) headerStarts[i] = -1;
    }

    /** Keeps the position of a header's value; the first header of a name counts. */
    void headerField(byte[] head, int name, int nameEnd, int value, int valueEnd) {
        for (int i = 0; i < headers.length; i++) {
            if (headerStarts[i] >= 0 || !Bytes.matchesIgnoreCase(head, name, nameEnd, headers[i])) continue;
            headerStarts[i] = value;
            headerEnds[i] = valueEnd;
        }
    }

    /** Keeps the positions of the request target, and of the workload's name and the object in it. */
    void setTarget(byte[] head, int target, int targetLimit, int workload, int workloadLimit, int object,
                   int objectLimit) {
        bytes = head;
        targetStart = target;
        targetEnd = targetLimit;
        workloadStart = workload;
        workloadEnd = workloadLimit;
        objectStart = object;
        objectEnd = objectLimit;
    }

    /** Keeps the request's parsed fields; a negative group or wait and a size of 0 stand for absent ones. */
    void setRequestFields(ClientConnection sender, boolean partPresent, long partNumber, long groupNumber,
                          double objectSizeKb, double clientWaitMs, boolean isRetry) {
        client = sender;
        hasPart = partPresent;
        part = partNumber;
        group = groupNumber;
        sizeKb = objectSizeKb;
        waitMs = clientWaitMs;
        retry = isRetry;
    }

    /** Evaluates the table for the head that has been parsed, and drops the references to it. */
    RouteTable.Outcome route(int workload, int maxHops, double now) {
        RouteTable.Outcome outcome = table.route(this, workload, maxHops, now);
        bytes = null;
        client = null;
        return outcome;
    }

    /** The constraints that an outcome puts on the lookup; null where there are none. */
    static RouteConstraints constraints(RouteTable.Outcome outcome, int maxHops) {
        if (!outcome.hasPlacementKey && outcome.importanceShare == 1 && outcome.maxHops == maxHops) return null;
        return new RouteConstraints(outcome.hasPlacementKey, outcome.placementKey, outcome.maxHops,
            outcome.importanceShare);
    }

    @Override public void read(int input, Frame frame, int slot) {
        if (input >= Inputs.FIRST_HEADER) {
            int i = input - Inputs.FIRST_HEADER;
            if (headerStarts[i] >= 0) frame.put(slot, bytes, headerStarts[i], headerEnds[i]);
            return;
        }
        switch (input) {
            case RequestInputs.WORKLOAD -> frame.put(slot, bytes, workloadStart, workloadEnd);
            case RequestInputs.OBJECT -> frame.put(slot, bytes, objectStart, objectEnd);
            case RequestInputs.TARGET -> frame.put(slot, bytes, targetStart, targetEnd);
            case RequestInputs.PART -> {
                if (hasPart) frame.put(slot, part);
            }
            case RequestInputs.GROUP -> {
                if (group >= 0) frame.put(slot, group);
            }
            case RequestInputs.SIZE -> {
                if (sizeKb > 0) frame.put(slot, 1000 * sizeKb);
            }
            case RequestInputs.WAIT -> {
                if (waitMs >= 0) frame.put(slot, waitMs);
            }
            case RequestInputs.RETRY -> frame.put(slot, retry ? 1L : 0L);
            case RequestInputs.CLIENT -> {
                byte[] address = client.address();
                frame.put(slot, address, 0, address.length);
            }
            default -> { }
        }
    }

    /** The IP address in network byte order; 0.0.0.0 where there is none. */
    static byte[] addressBytes(SocketAddress address) {
        if (address instanceof InetSocketAddress inet && inet.getAddress() != null) {
            return inet.getAddress().getAddress();
        }
        return new byte[4];
    }
}
