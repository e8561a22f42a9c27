package mothcross.net;

import java.util.Arrays;
import mothcross.RouteConstraints;
import mothcross.Workload;
import mothcross.route.RouteTable;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.WriteFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * HTTP/1.1 with one client, a lookup at a time. Owns the head being read, the lookup that is open and the
 * bytes still to be written. Must never write after a lookup's answer but for the next lookup, start a
 * second lookup before the first is answered, or send on a field that it could not use.
 *
 * <p>How it ends, whichever side begins:
 * <pre>
 * state       what holds                                             left
 * OPEN        requests are read and answered, in their order         a last answer: FLUSHING; idle too long, or the
 *                                                                    process ends and nothing is open: LINGERING
 * FLUSHING    the last answer is on its way, nothing more is taken   all of it is with the system: LINGERING
 * LINGERING   our side is shut; what still comes is read and thrown  LINGER_MS: CLOSED
 *             away, since a close over unread bytes would reset the
 *             connection and take the answer with it
 * CLOSED      the client has closed or reset (from any state), or
 *             was put out to make room; an open request is over
 * </pre>
 */
final class ClientConnection extends Connection {
    private static final Logger LOG = LoggerFactory.getLogger(ClientConnection.class);
    // What a read may bring along, and a write (the protocol page's largest object).
    private static final int LONGEST_HEAD = 8192, LARGEST_BODY = 16_384, LARGEST_WRITE = 240_000,
        MOST_PASSED_OVER = 256 << 10, MOST_AHEAD = 128 << 10;
    // A first message is to be whole so long after connecting, a later one after its first byte; clients are
    // owed a word within 3 s. Usual ones keep an idle connection for 4 s, counted from when they have read the
    // answer, and ask at once on a new one: what is idle much longer is left over, what says nothing at first silent.
    private static final double WHOLE_MS = 2000, IDLE_MS = 7000, LINGER_MS = 500,
        UNREAD_MS = 100, SILENT_MS = 300;
    private static final int NOTHING = 0, REST = 1, NEXT = 2;     // what it awaits of its client
    /** What a connection is worth keeping where descriptors run short, see {@link Dispatcher#admit}. */
    static final int REFUSED = 0, SILENT = 1, IDLE = 2, YOUNG = 3, NEW = 4, IN_USE = 5;
    private static final String PATH = "/api/v2/", PART = "piece-", HEALTHY = "/-/healthy";
    private static final int LAST_GROUP = 255;
    // Nobody waits for ten times the time in which a workload is abandoned, nor could so many bytes come in it.
    private static final double BEYOND = 10;

    private Lookup lookup;
    private long plan = -1;                             // that the latest lookup is decided by
    private enum State { OPEN, FLUSHING, LINGERING, CLOSED }

    private State state = State.OPEN;
    private boolean close, proven, suspected, cut;
    private WriteFuture written;                        // the latest answer's
    private int scanned, passedOver, awaits, held;
    private double idleSince;
    // The head just read, as places in the bytes; -1 where absent.
    private int target, targetEnd, known, knownEnd, id, idEnd, token, tokenEnd;
    private double wait, sizeKb;
    private long bodyLength, group;
    private boolean repeat, usable, writes;
    private int seen;
    private byte[] address;

    /** The one time that the connection waits for while no lookup is open on it. */
    private final Timers.Timer patience = new Timers.Timer() {
        @Override void fire() {
            if (lookup != null || state == State.FLUSHING) return;
            if (state != State.OPEN) {
                close();
            } else if (remaining() == 0 && !suspected) {
                closeIfStillIdle();
            } else if (remaining() == 0) {
                dispatcher.counters.idle++;
                shut();
            } else {
                dispatcher.counters.slowHead++;
                refuseHead("408 Request Timeout");
            }
        }
    };

    ClientConnection(Dispatcher desk) {
        super(desk);
    }

    @Override void opened() {
        idleSince = dispatcher.clock();
        awaits = REST;
        dispatcher.timers.set(patience, idleSince + WHOLE_MS);
        dispatcher.admit(this);
    }

    @Override void closed() {
        state = State.CLOSED;
        dispatcher.timers.cancel(patience);
        dispatcher.clientClosed(this);
        holds(0);
        if (lookup != null) {
            Lookup l = lookup;
            lookup = null;
            dispatcher.clientDisconnected(l);
        }
    }

    int evictionPriority() {
        if (lookup != null || session.getScheduledWriteBytes() > 0) return IN_USE;
        if (state != State.OPEN) return REFUSED;
        if (!proven) return idleMs() > SILENT_MS ? SILENT : YOUNG;
        return remaining() == 0 && !suspected ? IDLE : IN_USE;
    }

    double idleMs() {
        return dispatcher.clock() - idleSince;
    }

    /** It goes now; what crosses that is not taken. */
    void close() {
        state = State.CLOSED;
        abort();
    }

    /** Nothing more is taken; what was written, if anything, reaches the client before the end does. */
    private void shut() {
        if (state != State.OPEN) return;
        state = State.FLUSHING;
        from = to;
        if (written == null) linger();
        else written.addListener(f -> dispatcher.runLocked(this::linger));
    }

    private void linger() {
        if (state != State.FLUSHING) return;
        state = State.LINGERING;
        Processor.shutdownOutput(session);
        dispatcher.timers.set(patience, dispatcher.clock() + LINGER_MS);
    }

    /** The process ends: where nothing is open or on its way in, the client is told to go; else after its answer. */
    void closeIfAtRest() {
        if (lookup == null && remaining() == 0) shut();
    }

    /** What is held here of what the client has sent ahead; all clients together hold so much of the memory at most. */
    private void holds(int bytes) {
        dispatcher.readAheadBytes += bytes - held;
        held = bytes;
    }

    /** What it asked may be here and not read yet, where the process had no core for a while: that is awaited. */
    void closeIfStillIdle() {
        suspected = true;
        dispatcher.timers.set(patience, dispatcher.clock() + UNREAD_MS);
    }

    void resume() {
        if (state == State.OPEN) received();
    }

    @Override void received() {
        if (state != State.OPEN) dispatcher.counters.receivedAfterClose++;
        if (state == State.OPEN && lookup == null && remaining() > 0 && Processor.endOfInput(session)) {
            dispatcher.counters.cancelledUnread++;                   // it asked and went before that was read: nobody waits
            state = State.CLOSED;
        }
        suspected = false;
        if (cut) to = from + held;                          // what comes after what was cut can't be read
        readHeads();
        if (state != State.OPEN) {                          // its last answer is on its way
            passedOver += remaining();
            from = to;
            if (passedOver > MOST_PASSED_OVER) session.suspendRead();
        } else if (lookup != null) {
            awaits = NOTHING;
            dispatcher.timers.cancel(patience);
            // Reading goes on: a client that has gone shows itself only behind all that it has sent.
            int most = dispatcher.readAheadLimitExceeded() ? LONGEST_HEAD + LARGEST_BODY : MOST_AHEAD;
            if (remaining() > most) {
                if (!cut) dispatcher.counters.readAheadTruncated++;
                cut = true;
                to = from + most;
            }
        } else if (cut) {
            shut();                                         // all that was whole has its answer
        } else if (remaining() > 0) {
            if (awaits != REST) dispatcher.timers.set(patience, dispatcher.clock() + WHOLE_MS);
            awaits = REST;
        } else if (awaits == NOTHING) {
            awaits = NEXT;
            idleSince = dispatcher.clock();
            dispatcher.timers.set(patience, idleSince + IDLE_MS);
        }
        holds(remaining());
    }

    private void readHeads() {
        while (lookup == null && state == State.OPEN && remaining() > 0) {
            // Empty lines before a head are let pass, as the standard asks of servers.
            while (scanned == 0 && remaining() > 1 && bytes[from] == '\r' && bytes[from + 1] == '\n') from += 2;
            int end = headEnd();
            if (end < 0) {
                if (remaining() > LONGEST_HEAD) {
                    dispatcher.counters.longHead++;
                    refuseHead("431 Request Header Fields Too Large");
                }
                return;
            }
            if (end - from > LONGEST_HEAD) {
                dispatcher.counters.longHead++;
                refuseHead("431 Request Header Fields Too Large");
                return;
            }
            if (LOG.isTraceEnabled()) LOG.trace("head {}", Bytes.decode(bytes, from, end));
            String fault = head(end);
            if (fault != null) {
                dispatcher.counters.badHead++;
                refuseHead(fault);
                return;
            }
            if (to - end < bodyLength) {                // the rest of the body is still to come
                // Guards against many large bodies at once, which would fill the memory half read.
                if (dispatcher.readAheadLimitExceeded() && remaining() > LONGEST_HEAD + LARGEST_BODY) refuseHead("503 Service Unavailable");
                return;
            }
            scanned = 0;
            from = end + (int) bodyLength;              // before it is asked: its answer may end the connection
            awaits = NOTHING;
            ask(end);
        }
    }

    /** Just past the empty line, or -1; what was looked through is not looked through again. */
    private int headEnd() {
        for (int i = Math.max(from + 3, from + scanned); i < to; i++) {
            if (bytes[i] == '\n' && bytes[i - 1] == '\r' && bytes[i - 2] == '\n') return i + 1;
        }
        scanned = remaining();
        return -1;
    }

    /** Reads the head where it stands; the status to refuse it with, or null. */
    private String head(int end) {
        target = known = id = token = -1;
        sizeKb = 0;
        wait = Double.NaN;
        group = -1;
        bodyLength = -1;
        repeat = false;
        usable = true;
        seen = 0;
        if (dispatcher.activeRoutes != null) dispatcher.activeRoutes.headStarted();
        int eol = Bytes.indexOf(bytes, from, end, '\n');
        if (eol == from || bytes[eol - 1] != '\r') return "400 Bad Request";
        int a = Bytes.indexOf(bytes, from, eol, ' '), b = a < 0 ? -1 : Bytes.indexOf(bytes, a + 1, eol, ' ');
        if (a <= from || b <= a + 1) return "400 Bad Request";
        boolean old = Bytes.matches(bytes, b + 1, eol - 1, "HTTP/1.0");
        if (!old && !Bytes.matches(bytes, b + 1, eol - 1, "HTTP/1.1")) return "400 Bad Request";
        writes = Bytes.matches(bytes, from, a, "PUT");
        if (!writes && !Bytes.matches(bytes, from, a, "GET")) return "405 Method Not Allowed";
        target = a + 1;
        targetEnd = b;
        close = old;
        for (int at = eol + 1; at < end - 2; at = eol + 1) {
            eol = Bytes.indexOf(bytes, at, end, '\n');
            int colon = Bytes.indexOf(bytes, at, eol, ':');
            if (bytes[eol - 1] != '\r' || colon <= at || !isToken(at, colon)) return "400 Bad Request";
            int v = colon + 1, e = eol - 1;
            while (v < e && (bytes[v] == ' ' || bytes[v] == '\t')) v++;
            while (e > v && (bytes[e - 1] == ' ' || bytes[e - 1] == '\t')) e--;
            for (int i = v; i < e; i++) {
                if (bytes[i] >= 0 && bytes[i] < ' ' && bytes[i] != '\t') return "400 Bad Request";
            }
            if (Bytes.matchesIgnoreCase(bytes, at, colon, "content-length")) {
                long n = Bytes.parseInteger(bytes, v, e);
                if (n < 0 || bodyLength >= 0 && bodyLength != n) return "400 Bad Request";
                if (n > (writes ? LARGEST_WRITE : LARGEST_BODY)) return "413 Content Too Large";
                bodyLength = n;
            } else if (Bytes.matchesIgnoreCase(bytes, at, colon, "transfer-encoding")) {
                return "501 Not Implemented";
            } else {
                field(at, colon, v, e);
            }
        }
        bodyLength = Math.max(0, bodyLength);
        return null;
    }

    private boolean isToken(int a, int b) {
        for (int i = a; i < b; i++) {
            int c = bytes[i];
            boolean letter = c >= '0' && c <= '9' || (c | 32) >= 'a' && (c | 32) <= 'z';
            if (!letter && "!#$%&'*+-.^_`|~".indexOf(c) < 0) return false;
        }
        return true;
    }

    private void field(int name, int nameEnd, int v, int e) {
        if (dispatcher.activeRoutes != null) dispatcher.activeRoutes.headerField(bytes, name, nameEnd, v, e);
        if (Bytes.matchesIgnoreCase(bytes, name, nameEnd, "connection")) {
            close = Bytes.matchesIgnoreCase(bytes, v, e, "close") || close && !Bytes.matchesIgnoreCase(bytes, v, e, "keep-alive");
        } else if (Bytes.matchesIgnoreCase(bytes, name, nameEnd, "req-id")) {
            once(1, e - v == 16 && Bytes.isHex(bytes, v, e));
            id = v;
            idEnd = e;
        } else if (Bytes.matchesIgnoreCase(bytes, name, nameEnd, "req-wait-ms")) {
            wait = Bytes.parseDecimal(bytes, v, e);
            once(2, wait >= 0);
        } else if (Bytes.matchesIgnoreCase(bytes, name, nameEnd, "req-retry")) {
            repeat = Bytes.matches(bytes, v, e, "1");
        } else if (Bytes.matchesIgnoreCase(bytes, name, nameEnd, "x-lot")) {
            group = Bytes.parseInteger(bytes, v, e);
            once(4, group >= 0 && group <= LAST_GROUP);
        } else if (Bytes.matchesIgnoreCase(bytes, name, nameEnd, "req-kb")) {
            sizeKb = Bytes.parseDecimal(bytes, v, e);
            once(8, sizeKb >= 0);
        } else if (Bytes.matchesIgnoreCase(bytes, name, nameEnd, "req-token")) {
            once(16, fitsALine(v, e));
            token = v;
            tokenEnd = e;
        } else if (Bytes.matchesIgnoreCase(bytes, name, nameEnd, "if-none-match")) {
            // One strong tag that can stand in a line of the node's protocol; any other is as if absent.
            if (e - v < 3 || bytes[v] != '"' || bytes[e - 1] != '"' || !fitsALine(v + 1, e - 1)) return;
            known = v + 1;
            knownEnd = e - 1;
        }
    }

    /** Can stand as a value in a line of the node's protocol. */
    private boolean fitsALine(int v, int e) {
        for (int i = v; i < e; i++) if (bytes[i] <= ' ' || bytes[i] == '"' || bytes[i] == ',') return false;
        return e > v && e - v <= 128;
    }

    /** A field that the lookup stands on: sound, and told only once. */
    private void once(int field, boolean sound) {
        usable &= sound && (seen & field) == 0;
        seen |= field;
    }

    private void ask(int bodyAt) {
        double now = dispatcher.clock();
        if (!writes && Bytes.matches(bytes, target, targetEnd, HEALTHY)) {
            proven = true;
            if (dispatcher.ready && dispatcher.mayStart()) write(whole("200 OK", "", "ready\n"));
            else write(whole("503 Service Unavailable", "", "not ready\n"));
            return;
        }
        int a = target + PATH.length();
        boolean ours = a <= targetEnd && Bytes.matches(bytes, target, a, PATH);
        int b = ours ? Bytes.indexOf(bytes, a, targetEnd, '/') : -1;
        if (b < 0) {
            dispatcher.counters.badPath++;
            write(whole("404 Not Found", "", ""));
            return;
        }
        int c = Bytes.indexOf(bytes, b + 1, targetEnd, '/'), objectEnd = c < 0 ? targetEnd : c;
        String name = Bytes.decode(bytes, a, b);
        Integer workload = dispatcher.settings.workloads.get(name);
        long part = 0;
        boolean parted = c >= 0;
        if (parted) {
            int n = c + 1 + PART.length();
            part = n < targetEnd && Bytes.matches(bytes, c + 1, n, PART) ? Bytes.parseInteger(bytes, n, targetEnd) : -1;
        }
        Workload w = workload == null ? null : dispatcher.settings.workloadTable[workload];
        // Writes are PUT, reads are GET: a node is not told which, and would answer either by its class.
        if (w == null || writes != w.uncacheable() || !usable || id < 0 || part < 0 || part > Integer.MAX_VALUE
            || !Bytes.isHex(bytes, b + 1, objectEnd) || wait > BEYOND * w.timeoutMs()
            || sizeKb > BEYOND * w.timeoutMs() * dispatcher.settings.flowKbPerMs) {
            dispatcher.counters.badField++;
            write(whole("400 Bad Request", "", ""));
            return;
        }
        StringBuilder asked = new StringBuilder(96).append("sort=").append(name).append(",asset=")
            .append(Bytes.decode(bytes, b + 1, objectEnd));
        if (parted) asked.append(",slice=").append(part);
        String copy = known < 0 ? null : Bytes.decode(bytes, known, knownEnd);
        if (copy != null) asked.append(",known=").append(copy);
        // What marks a tagged request goes on with every attempt: by it the origin drops repeats.
        if (token >= 0) asked.append(",op=").append(Bytes.decode(bytes, token, tokenEnd));
        plan = -1;
        if (!dispatcher.mayStart()) {
            proven = true;
            dispatcher.counters.notCurrent++;
            write(whole("503 Service Unavailable", advice(dispatcher.servingPermit.retryAfterMs()), ""));
            return;
        }
        byte[] body = Arrays.copyOfRange(bytes, bodyAt, bodyAt + (int) bodyLength);
        Lookup l = new Lookup(this, Arrays.copyOfRange(bytes, id, idEnd), Bytes.encode(asked.toString()), body, copy,
            Bytes.parseHex(bytes, b + 1, objectEnd) & Long.MAX_VALUE, (int) group,
            now + (Double.isNaN(wait) ? w.timeoutMs() : wait), dispatcher.maxHops());
        int as = workload;
        RouteConstraints by = null;
        Routing rules = dispatcher.activeRoutes == null ? null : dispatcher.activeRoutes.forObject(l.object);
        if (dispatcher.activeRoutes != null) plan = dispatcher.activeRoutes.planNumber();
        if (rules != null) {
            rules.setTarget(bytes, target, targetEnd, a, b, b + 1, objectEnd);
            rules.setRequestFields(this, parted, part, group, sizeKb, wait, repeat);
            RouteTable.Outcome o = rules.route(workload, dispatcher.maxHops(), now);
            if (o.status != 0) {
                proven = true;
                write(whole(status(o.status), advice(Math.min(o.retryAfterMs, dispatcher.settings.maxRetryAfterMs)), ""));
                return;
            }
            as = o.workload;
            by = Routing.constraints(o, dispatcher.maxHops());
        }
        lookup = l;
        if (dispatcher.startLookup(l, as, (int) part, sizeKb, repeat, by)) {
            proven = true;
            return;
        }
        lookup = null;
        dispatcher.counters.badField++;
        write(whole("400 Bad Request", "", ""));
    }

    /** Of the other side, 4 or 16 bytes; made once a connection. */
    byte[] address() {
        if (address == null) address = Routing.addressBytes(session.getRemoteAddress());
        return address;
    }

    private static String status(int code) {
        return switch (code) {
            case 400 -> "400 Bad Request";
            case 403 -> "403 Forbidden";
            case 404 -> "404 Not Found";
            case 429 -> "429 Too Many Requests";
            case 431 -> "431 Request Header Fields Too Large";
            default -> "503 Service Unavailable";
        };
    }

    // ---- answers, each of them final ----

    void sendSuccess(Hop h) {
        close |= dispatcher.underDescriptorPressure() || dispatcher.draining;
        IoBuffer b = h.answer;
        int end = b.position(), length = end - NodeConnection.RESPONSE_HEAD_ROOM_BYTES;
        StringBuilder s = new StringBuilder(160);
        if (h.notModified) s.append("HTTP/1.1 304 Not Modified\r\n");
        else {
            s.append("HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: ")
                .append(length).append("\r\n");
        }
        if (h.etag != null) s.append("ETag: \"").append(h.etag).append("\"\r\n");
        if (close) s.append("Connection: close\r\n");
        s.append(byPlan());
        byte[] head = Bytes.encode(s.append("\r\n").toString());
        // The head goes right before the bytes, so that both leave in one write.
        int at = NodeConnection.RESPONSE_HEAD_ROOM_BYTES - head.length;
        b.position(at);
        b.put(head);
        b.position(at);
        b.limit(h.notModified ? NodeConnection.RESPONSE_HEAD_ROOM_BYTES : end);
        answered(b);
    }

    void sendRejection(double comeBackAfter) {
        answered(whole("503 Service Unavailable", advice(comeBackAfter), ""));
    }

    /** Of tests only: by which plan the lookup that is being answered was decided. */
    private String byPlan() {
        return dispatcher.exposePlan && plan >= 0 ? "Policy-Plan: " + plan + "\r\n" : "";
    }

    private static String advice(double comeBackAfter) {
        return comeBackAfter >= 1 ? "Srv-Wait-Ms: " + (long) comeBackAfter + "\r\n" : "";
    }

    void sendFailure() {
        answered(whole("502 Bad Gateway", "", ""));
    }

    private void answered(IoBuffer answer) {
        lookup = null;
        write(answer);
        dispatcher.resumeLater(this);
    }

    private IoBuffer whole(String status, String fields, String body) {
        close |= dispatcher.underDescriptorPressure() || dispatcher.draining;
        String end = close ? "\r\nConnection: close\r\n\r\n" : "\r\n\r\n";
        return IoBuffer.wrap(Bytes.encode("HTTP/1.1 " + status + "\r\n" + fields + byPlan() + "Content-Length: "
            + body.length() + end + body));
    }

    private void write(IoBuffer b) {
        if (state != State.OPEN) return;
        written = session.write(b);
        dispatcher.enforceWriteBacklogLimit(this);
        if (close) shut();
    }

    private void refuseHead(String status) {
        LOG.debug("head refused: {}", status);
        close = true;
        write(whole(status, status.startsWith("405") ? "Allow: GET, PUT\r\n" : "", ""));
    }
}
