package mothcross.net;

import java.net.InetSocketAddress;
import mothcross.RouteConstraints;
import mothcross.expr.Frame;
import mothcross.expr.Inputs;
import mothcross.route.RequestInputs;
import mothcross.route.RouteTable;

/**
 * The routes' view of the head that has just been read: where in the bytes what stands. Owns the table in force and
 * those
 * places; under the desk's lock one head at a time is looked at. Must never copy what a client sent, nor decide
 * anything.
 */
final class Routing implements Frame.Request {
    private RouteTable table;
    private double scaleLimits = 1;
    private String[] headers = new String[0];
    private int[] from = new int[0], to = new int[0];
    private byte[] bytes;
    private int nameFrom, nameTo, objectFrom, objectTo, targetFrom, targetTo;
    private long part, group;
    private double sizeKb, wait;
    private boolean parted, repeat;
    private ClientConnection client;

    RouteTable table() {
        return table;
    }

    /** What is being asked goes by the new table from its next lookup on. */
    void activate(RouteTable anew) {
        table = anew;
        if (anew != null) anew.scaleLimits(scaleLimits);
        headers = anew == null ? new String[0] : anew.headers();
        from = new int[headers.length];
        to = new int[headers.length];
    }

    /** What membership says of this director's part of each limit, in parts of the fixed one. */
    void scaleLimits(double times) {
        scaleLimits = times;
        if (table != null) table.scaleLimits(times);
    }

    // ---- the head, as it is read ----

    void headStarted() {
        for (int i = 0; i < from.length; i++) from[i] = -1;
    }

    /** The first of a name counts, as sent. */
    void headerField(byte[] in, int name, int nameEnd, int v, int e) {
        for (int i = 0; i < headers.length; i++) {
            if (from[i] >= 0 || !Bytes.matchesIgnoreCase(in, name, nameEnd, headers[i])) continue;
            from[i] = v;
            to[i] = e;
        }
    }

    void setTarget(byte[] in, int begin, int end, int name, int nameEnd, int object, int objectEnd) {
        bytes = in;
        targetFrom = begin;
        targetTo = end;
        nameFrom = name;
        nameTo = nameEnd;
        objectFrom = object;
        objectTo = objectEnd;
    }

    void setRequestFields(ClientConnection by, boolean hasPart, long number, long lot, double kb, double waitMs, boolean again) {
        client = by;
        parted = hasPart;
        part = number;
        group = lot;
        sizeKb = kb;
        wait = waitMs;
        repeat = again;
    }

    RouteTable.Outcome route(int workload, int mostHops, double now) {
        RouteTable.Outcome o = table.route(this, workload, mostHops, now);
        bytes = null;
        client = null;
        return o;
    }

    static RouteConstraints constraints(RouteTable.Outcome o, int mostHops) {
        if (!o.hasPlacementKey && o.importanceShare == 1 && o.maxHops == mostHops) return null;
        return new RouteConstraints(o.hasPlacementKey, o.placementKey, o.maxHops, o.importanceShare);
    }

    @Override public void read(int number, Frame f, int slot) {
        if (number >= Inputs.FIRST_HEADER) {
            int i = number - Inputs.FIRST_HEADER;
            if (from[i] >= 0) f.put(slot, bytes, from[i], to[i]);
            return;
        }
        switch (number) {
            case RequestInputs.WORKLOAD -> f.put(slot, bytes, nameFrom, nameTo);
            case RequestInputs.OBJECT -> f.put(slot, bytes, objectFrom, objectTo);
            case RequestInputs.TARGET -> f.put(slot, bytes, targetFrom, targetTo);
            case RequestInputs.PART -> {
                if (parted) f.put(slot, part);
            }
            case RequestInputs.GROUP -> {
                if (group >= 0) f.put(slot, group);
            }
            case RequestInputs.SIZE -> {
                if (sizeKb > 0) f.put(slot, 1000 * sizeKb);
            }
            case RequestInputs.WAIT -> {
                if (wait >= 0) f.put(slot, wait);
            }
            case RequestInputs.RETRY -> f.put(slot, repeat ? 1L : 0L);
            case RequestInputs.CLIENT -> {
                byte[] a = client.address();
                f.put(slot, a, 0, a.length);
            }
            default -> { }
        }
    }

    static byte[] addressBytes(java.net.SocketAddress a) {
        return a instanceof InetSocketAddress i && i.getAddress() != null ? i.getAddress().getAddress() : new byte[4];
    }
}
