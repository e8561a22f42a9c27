package mothcross.net;

import java.nio.ByteBuffer;
import java.util.Arrays;
import mothcross.RouteConstraints;
import mothcross.Workload;
import mothcross.route.RouteTable;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.WriteFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * HTTP/1.1 with one client, one lookup at a time. Pipelined requests wait until the lookup before them is answered;
 * nothing is written between two answers. Header fields that could not stand in a line of the node protocol are
 * never passed on.
 *
 * <p>How a connection ends, whichever side begins:
 * <pre>
 * state       meaning                                                next
 * OPEN        requests are read and answered in order                last answer written: FLUSHING; idle timeout, or
 *                                                                    the process stops and nothing is open: LINGERING
 * FLUSHING    the last answer is being written, no request is taken  all of it passed to the system: LINGERING
 * LINGERING   our direction is shut; what still arrives is read and  LINGER_MS: CLOSED
 *             discarded, since closing with unread bytes would reset
 *             the connection and lose the answer
 * CLOSED      the client has closed or reset (from any state), or
 *             was evicted; an open lookup is over
 * </pre>
 */
final class ClientConnection extends Connection {
    private static final Logger LOG = LoggerFactory.getLogger(ClientConnection.class);

    private static final int MAX_HEAD_BYTES = 8192;
    /** How much is read and discarded after the last answer before reading is suspended. */
    private static final int MAX_DISCARDED_BYTES = 256 << 10;
    /** How much a client may send ahead of its turn. */
    private static final int MAX_READ_AHEAD_BYTES = 128 << 10;
    /** How much of one client is read at a time, so that one that sends without end does not hold up others. */
    private static final int MAX_READ_AT_ONCE_BYTES = 512 << 10;
    /** Past so many answers that are not written yet, the next request waits for them. */
    private static final int MAX_UNSENT_ANSWERS = 8;

    /**
     * By when the first request has to be whole, from connecting, and a later one, from its first byte. Clients must
     * get an answer within 3 s.
     */
    private static final double REQUEST_TIMEOUT_MS = 2000;
    /**
     * Clients usually close a connection that has been idle for 4 s, counted from when they have read the answer,
     * and send their request on a new one. One that is idle for much longer has been left behind.
     */
    private static final double IDLE_TIMEOUT_MS = 7000;
    /** Clients usually send a request as soon as they are connected; one that has not by then may be evicted. */
    private static final double FIRST_REQUEST_GRACE_MS = 300;
    private static final double LINGER_MS = 500;
    /** How long a request may have been received by the system and not been read yet. */
    private static final double UNREAD_GRACE_MS = 100;
    /**
     * Times a workload's timeout. No client waits for that long, nor could an object of the size that takes as long
     * be sent in time.
     */
    private static final double MAX_TIMEOUT_FACTOR = 10;

    private static final String PATH = "/api/v2/";
    private static final String PART_PREFIX = "piece-";
    private static final String HEALTH_PATH = "/-/healthy";
    private static final int REQUEST_FIELDS_CHARS = 96;
    private static final int RESPONSE_HEAD_CHARS = 160;

    /** Which clients are evicted first if descriptors run short, see {@link Dispatcher#admit}. */
    enum EvictionPriority { CLOSING, NO_REQUEST, IDLE, AWAITING_FIRST_REQUEST, NEWEST, IN_USE }

    private enum State { OPEN, FLUSHING, LINGERING, CLOSED }

    /** What is expected from the client next. */
    private enum Awaited { NOTHING, REST_OF_REQUEST, NEXT_REQUEST }

    private Lookup lookup;
    /** The plan that decides the latest lookup, or -1. */
    private long plan = -1;
    private State state = State.OPEN;
    private boolean closeAfterAnswer;
    /** While a request is processed: an answer given now is not followed by the next request at once. */
    private boolean processing;
    /** Whether further requests wait until it is this client's turn, see {@link RequestTurns}. */
    private boolean awaitingTurn;
    private boolean hasSentValidRequest;
    private boolean idleSuspected;
    /** Whether bytes sent ahead were dropped, so that nothing after them can be read. */
    private boolean readAheadTruncated;
    /** How many bytes were not consumed when they were received last. */
    private int unreadBytes;
    private final ArrivalTimes arrivalTimes = new ArrivalTimes();
    /** Of the latest answer. */
    private WriteFuture lastWrite;
    /** How many bytes of an incomplete head have been searched for its end. */
    private int scannedBytes;
    private int discardedBytes;
    private Awaited awaited = Awaited.NOTHING;
    /** This connection's part of {@link Dispatcher#unreadMemory}, without the body of an open lookup. */
    private int countedBytes;
    private double idleSince;

    /** The head that was read last. */
    private final RequestParser head = new RequestParser();
    private byte[] address;

    /** The only timeout of the connection, for when no lookup is open: request, idle or linger timeout. */
    private final Timers.Timer timeout = new Timers.Timer() {
        @Override void fire() {
            if (lookup != null || state == State.FLUSHING) return;
            if (state != State.OPEN) {
                close();
            } else if (remaining() == 0 && !idleSuspected) {
                closeIfStillIdle();
            } else if (remaining() == 0) {
                dispatcher.counters.idle++;
                shutDown();
            } else {
                dispatcher.counters.slowHead++;
                refuseRequest("408 Request Timeout");
            }
        }
    };

    ClientConnection(Dispatcher dispatcher) {
        super(dispatcher);
    }

    @Override void opened() {
        idleSince = dispatcher.clock();
        awaited = Awaited.REST_OF_REQUEST;
        dispatcher.timers.set(timeout, idleSince + REQUEST_TIMEOUT_MS);
        dispatcher.admit(this);
    }

    @Override void closed() {
        state = State.CLOSED;
        dispatcher.timers.cancel(timeout);
        dispatcher.clientClosed(this);
        dispatcher.turns.remove(this);
        bufferChanged(0);
        if (lookup != null) {
            Lookup abandoned = lookup;
            lookup = null;
            dispatcher.clientDisconnected(abandoned);
        }
    }

    EvictionPriority evictionPriority() {
        if (lookup != null || session.getScheduledWriteBytes() > 0) return EvictionPriority.IN_USE;
        if (state != State.OPEN) return EvictionPriority.CLOSING;
        if (!hasSentValidRequest) {
            return idleMs() > FIRST_REQUEST_GRACE_MS
                ? EvictionPriority.NO_REQUEST : EvictionPriority.AWAITING_FIRST_REQUEST;
        }
        return remaining() == 0 && !idleSuspected ? EvictionPriority.IDLE : EvictionPriority.IN_USE;
    }

    double idleMs() {
        return dispatcher.clock() - idleSince;
    }

    /** Closes at once; a request that arrives meanwhile is lost. */
    void close() {
        state = State.CLOSED;
        abort();
    }

    /** Takes no further requests; the client gets what was written, if anything, before the end of the connection. */
    private void shutDown() {
        if (state != State.OPEN) return;
        state = State.FLUSHING;
        from = to;
        if (lastWrite == null) linger();
        else lastWrite.addListener(future -> dispatcher.runLocked(this::linger));
    }

    private void linger() {
        if (state != State.FLUSHING) return;
        state = State.LINGERING;
        Processor.shutdownOutput(session);
        dispatcher.timers.set(timeout, dispatcher.clock() + LINGER_MS);
    }

    /** Called when the process stops; a client with a lookup or a request under way is closed after its answer. */
    void closeIfAtRest() {
        if (lookup == null && remaining() == 0) shutDown();
    }

    /** Counts the array that holds unprocessed bytes; the dispatcher limits their sum over all clients. */
    @Override void bufferChanged(int heldBytes) {
        int held = state == State.CLOSED ? 0 : heldBytes;
        dispatcher.unreadMemory.add(held - countedBytes);
        countedBytes = held;
    }

    /** A request may have been received and not been read yet, if the process had no CPU for a while: waits for it. */
    void closeIfStillIdle() {
        idleSuspected = true;
        dispatcher.timers.set(timeout, dispatcher.clock() + UNREAD_GRACE_MS);
    }

    /** Reads the next pipelined request after an answer, once it is known whether the client is still there. */
    void resume() {
        if (state != State.OPEN) return;
        if (remaining() == 0) {
            consume();
        } else {
            awaitingTurn = true;                            // nothing is read until then
            Processor.execute(session, () -> dispatcher.runLocked(this::resumeOnReadingThread));
        }
    }

    private void resumeOnReadingThread() {
        awaitingTurn = false;
        if (state == State.OPEN) consume();
    }

    /**
     * Reads what the system has received meanwhile; false where there is nothing. That a client has gone is seen only
     * behind all that it has sent, and nothing may be sent on for it any more.
     */
    private boolean readAvailable() {
        boolean any = false;
        ByteBuffer input = Processor.readAvailable(session);
        for (int total = 0; input != null && total < MAX_READ_AT_ONCE_BYTES; input = Processor.readAvailable(session)) {
            total += input.remaining();
            boolean kept = !readAheadTruncated && remaining() < MAX_HEAD_BYTES + RequestParser.MAX_WRITE_BODY_BYTES;
            if (kept) {
                arrivalTimes.received(input.remaining(), dispatcher.clock());
                append(input);
            }
            else truncate(remaining());
            any = true;
        }
        return any;
    }

    /** Reads the next request after one that was answered without a node. */
    void takeTurn() {
        awaitingTurn = false;
        resume();
    }

    /** Lets the requests of other clients go first, and answers that are not written yet. */
    private void awaitTurn() {
        awaitingTurn = true;
        if (session.getScheduledWriteMessages() <= MAX_UNSENT_ANSWERS) {
            dispatcher.turns.enqueue(this);
        } else {
            lastWrite.addListener(future -> dispatcher.runLocked(() -> {
                if (state == State.OPEN) dispatcher.turns.enqueue(this);
            }));
        }
    }

    @Override void received() {
        if (state != State.OPEN) dispatcher.counters.receivedAfterClose++;
        idleSuspected = false;
        if (readAheadTruncated) to = from + unreadBytes;    // nothing after the dropped bytes can be read
        arrivalTimes.received(remaining() - unreadBytes, dispatcher.clock());
        if (!awaitingTurn) readRequests();
        if (state != State.OPEN) {                          // the last answer is being written
            discardedBytes += remaining();
            from = to;
            if (discardedBytes > MAX_DISCARDED_BYTES) session.suspendRead();
        } else if (lookup != null || awaitingTurn) {
            awaited = Awaited.NOTHING;
            dispatcher.timers.cancel(timeout);
            truncateReadAhead();
        } else if (readAheadTruncated) {
            shutDown();                                     // every whole request has been answered
        } else if (remaining() > 0) {
            if (awaited != Awaited.REST_OF_REQUEST) {
                dispatcher.timers.set(timeout, dispatcher.clock() + REQUEST_TIMEOUT_MS);
            }
            awaited = Awaited.REST_OF_REQUEST;
        } else if (awaited == Awaited.NOTHING) {
            awaited = Awaited.NEXT_REQUEST;
            idleSince = dispatcher.clock();
            dispatcher.timers.set(timeout, idleSince + IDLE_TIMEOUT_MS);
        }
        unreadBytes = remaining();
    }

    /**
     * Drops what the client has sent too far ahead of its turn. Reading is not suspended: that a client has
     * disconnected is seen only after everything it has sent.
     */
    private void truncateReadAhead() {
        int maxBytes = Math.min(MAX_READ_AHEAD_BYTES, dispatcher.maxUnreadBytes());
        if (remaining() <= maxBytes) return;
        truncate(maxBytes);
        trim(1);
    }

    /** Keeps so many of the received bytes; what is behind them is not read any more. */
    private void truncate(int keptBytes) {
        if (!readAheadTruncated) dispatcher.counters.readAheadTruncated++;
        readAheadTruncated = true;
        arrivalTimes.dropped(remaining() - keptBytes);
        unreadBytes = keptBytes;
        to = from + keptBytes;
    }

    private void readRequests() {
        boolean upToDate = false;
        while (lookup == null && state == State.OPEN && remaining() > 0) {
            // Empty lines before a request are skipped, as RFC 9112 asks of servers.
            while (remaining() > 1 && bytes[from] == '\r' && bytes[from + 1] == '\n') {
                from += 2;
                scannedBytes = 0;
            }
            int headEnd = findHeadEnd();
            if (headEnd < 0) {
                if (remaining() > MAX_HEAD_BYTES) refuseLongHead();
                else refuseIfTooLarge();
                return;
            }
            if (headEnd - from > MAX_HEAD_BYTES) {
                refuseLongHead();
                return;
            }
            if (LOG.isTraceEnabled()) LOG.trace("request head {}", Bytes.decode(bytes, from, headEnd));
            String errorStatus = head.parse(bytes, from, headEnd, dispatcher.activeRoutes);
            if (errorStatus != null) {
                dispatcher.counters.badHead++;
                refuseRequest(errorStatus);
                return;
            }
            closeAfterAnswer = head.close;
            if (to - headEnd < head.bodyLength) {       // the rest of the body is still to come
                refuseIfTooLarge();
                return;
            }
            if (!upToDate) {
                upToDate = true;
                if (readAvailable()) continue;          // the array may be another: the head is parsed anew
            }
            if (Processor.endOfInput(session)) {        // nobody waits for an answer
                dispatcher.counters.cancelledUnread++;
                state = State.CLOSED;
                return;
            }
            scannedBytes = 0;
            from = headEnd + (int) head.bodyLength;     // consumed first: the answer may close the connection
            awaited = Awaited.NOTHING;
            processing = true;
            processRequest(headEnd, arrivalTimes.consumed(remaining(), dispatcher.clock()));
            processing = false;
            if (lookup == null && state == State.OPEN && remaining() > 0) {
                awaitTurn();
                return;
            }
        }
    }

    /** Guards against many incomplete requests at once, which would fill the memory. */
    private void refuseIfTooLarge() {
        if (remaining() <= dispatcher.maxUnreadBytes()) return;
        dispatcher.counters.outOfMemory++;
        refuseRequest("503 Service Unavailable");
    }

    private void refuseLongHead() {
        dispatcher.counters.longHead++;
        refuseRequest("431 Request Header Fields Too Large");
    }

    /** Returns the position after the empty line, or -1. Bytes searched before are not searched again. */
    private int findHeadEnd() {
        for (int i = Math.max(from + 3, from + scannedBytes); i < to; i++) {
            if (bytes[i] == '\n' && bytes[i - 1] == '\r' && bytes[i - 2] == '\n') return i + 1;
        }
        scannedBytes = remaining();
        return -1;
    }

    /** {@code readAt} is when the last byte of the request was read. */
    private void processRequest(int bodyStart, double readAt) {
        double now = dispatcher.clock();
        if (!head.put && Bytes.matches(bytes, head.targetStart, head.targetEnd, HEALTH_PATH)) {
            answerHealthCheck();
            return;
        }
        int nameStart = head.targetStart + PATH.length();
        boolean knownPath = nameStart <= head.targetEnd && Bytes.matches(bytes, head.targetStart, nameStart, PATH);
        int nameEnd = knownPath ? Bytes.indexOf(bytes, nameStart, head.targetEnd, '/') : -1;
        if (nameEnd < 0) {
            dispatcher.counters.badPath++;
            write(response("404 Not Found", "", ""));
            return;
        }
        int objectStart = nameEnd + 1;
        int slash = Bytes.indexOf(bytes, objectStart, head.targetEnd, '/');
        int objectEnd = slash < 0 ? head.targetEnd : slash;
        String name = Bytes.decode(bytes, nameStart, nameEnd);
        Integer workloadIndex = dispatcher.settings.workloads.get(name);
        boolean hasPart = slash >= 0;
        long part = hasPart ? parsePart(slash + 1) : 0;
        Workload workload = workloadIndex == null ? null : dispatcher.settings.workloadTable[workloadIndex];
        // Writes are PUT, reads are GET. Nodes are not told the method, and would answer either by its workload.
        if (workload == null || head.put != workload.uncacheable() || !head.fieldsValid || head.idStart < 0 || part < 0
            || part > Integer.MAX_VALUE || !Bytes.isHex(bytes, objectStart, objectEnd)
            || head.waitMs > MAX_TIMEOUT_FACTOR * workload.timeoutMs()
            || head.sizeKb > MAX_TIMEOUT_FACTOR * workload.timeoutMs() * dispatcher.settings.flowKbPerMs) {
            dispatcher.counters.badField++;
            write(response("400 Bad Request", "", ""));
            return;
        }
        String clientEtag = head.etagStart < 0 ? null : Bytes.decode(bytes, head.etagStart, head.etagEnd);
        String requestFields = requestFields(name, objectStart, objectEnd, hasPart, part, clientEtag);
        plan = -1;
        double expiresAt = readAt + (Double.isNaN(head.waitMs) ? workload.timeoutMs() : head.waitMs);
        if (now >= expiresAt) {
            hasSentValidRequest = true;
            dispatcher.counters.expiredInTurn++;
            write(response("503 Service Unavailable", "", ""));
            return;
        }
        if (dispatcher.memoryIsShort(head.bodyLength)) {
            hasSentValidRequest = true;
            dispatcher.counters.outOfMemory++;
            write(response("503 Service Unavailable", retryAfterField(dispatcher.settings.maxRetryAfterMs), ""));
            return;
        }
        if (!dispatcher.mayStart()) {
            hasSentValidRequest = true;
            dispatcher.counters.notCurrent++;
            String retryAfter = retryAfterField(dispatcher.servingPermit.retryAfterMs());
            write(response("503 Service Unavailable", retryAfter, ""));
            return;
        }
        byte[] body = Arrays.copyOfRange(bytes, bodyStart, bodyStart + (int) head.bodyLength);
        byte[] id = Arrays.copyOfRange(bytes, head.idStart, head.idEnd);
        Lookup newLookup = new Lookup(this, id, Bytes.encode(requestFields), body, clientEtag,
            Bytes.parseHex(bytes, objectStart, objectEnd) & Long.MAX_VALUE, (int) head.group,
            expiresAt, dispatcher.maxHops());
        int decidedAs = workloadIndex;
        RouteConstraints constraints = null;
        Routing routing = dispatcher.activeRoutes == null ? null : dispatcher.activeRoutes.forObject(newLookup.object);
        if (dispatcher.activeRoutes != null) plan = dispatcher.activeRoutes.planNumber();
        if (routing != null) {
            routing.setTarget(bytes, head.targetStart, head.targetEnd, nameStart, nameEnd, objectStart, objectEnd);
            routing.setRequestFields(this, hasPart, part, head.group, head.sizeKb, head.waitMs, head.repeat);
            RouteTable.Outcome outcome = routing.route(workloadIndex, dispatcher.maxHops(), now);
            if (outcome.status != 0) {
                hasSentValidRequest = true;
                double retryAfterMs = Math.min(outcome.retryAfterMs, dispatcher.settings.maxRetryAfterMs);
                write(response(statusLine(outcome.status), retryAfterField(retryAfterMs), ""));
                return;
            }
            decidedAs = outcome.workload;
            constraints = Routing.constraints(outcome, dispatcher.maxHops());
        }
        lookup = newLookup;
        if (dispatcher.startLookup(newLookup, decidedAs, (int) part, head.sizeKb, head.repeat, constraints)) {
            hasSentValidRequest = true;
            return;
        }
        lookup = null;
        dispatcher.counters.badField++;
        write(response("400 Bad Request", "", ""));
    }

    private void answerHealthCheck() {
        hasSentValidRequest = true;
        if (dispatcher.ready && dispatcher.mayStart()) write(response("200 OK", "", "ready\n"));
        else write(response("503 Service Unavailable", "", "not ready\n"));
    }

    /** The number of the object's part, the last segment of the path, or -1 if it is malformed. */
    private long parsePart(int start) {
        int number = start + PART_PREFIX.length();
        boolean prefixed = number < head.targetEnd && Bytes.matches(bytes, start, number, PART_PREFIX);
        return prefixed ? Bytes.parseInteger(bytes, number, head.targetEnd) : -1;
    }

    /** The fields of a node request that are the same for every hop. */
    private String requestFields(String workload, int objectStart, int objectEnd, boolean hasPart, long part,
                                 String clientEtag) {
        StringBuilder fields = new StringBuilder(REQUEST_FIELDS_CHARS).append("sort=").append(workload)
            .append(",asset=").append(Bytes.decode(bytes, objectStart, objectEnd));
        if (hasPart) fields.append(",slice=").append(part);
        if (clientEtag != null) fields.append(",known=").append(clientEtag);
        // The client's token is passed on with every hop: the origin drops duplicate requests by it.
        if (head.tokenStart >= 0) fields.append(",op=").append(Bytes.decode(bytes, head.tokenStart, head.tokenEnd));
        return fields.toString();
    }

    /** The client's IP address, 4 or 16 bytes; computed once per connection. */
    byte[] address() {
        if (address == null) address = Routing.addressBytes(session.getRemoteAddress());
        return address;
    }

    private static String statusLine(int code) {
        return switch (code) {
            case 400 -> "400 Bad Request";
            case 403 -> "403 Forbidden";
            case 404 -> "404 Not Found";
            case 429 -> "429 Too Many Requests";
            case 431 -> "431 Request Header Fields Too Large";
            default -> "503 Service Unavailable";
        };
    }

    // ---- final answers ----

    /**
     * Whether the answer being written is to be the last one: the process stops, or descriptors run short, and nothing
     * is read that is still to be answered.
     */
    private boolean shouldClose() {
        return remaining() == 0 && (dispatcher.underDescriptorPressure() || dispatcher.draining);
    }

    void sendSuccess(Hop hop) {
        closeAfterAnswer |= shouldClose();
        StringBuilder fields = new StringBuilder(RESPONSE_HEAD_CHARS);
        if (hop.notModified) fields.append("HTTP/1.1 304 Not Modified\r\n");
        else {
            fields.append("HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: ")
                .append(hop.answer.length()).append("\r\n");
        }
        if (hop.etag != null) fields.append("ETag: \"").append(hop.etag).append("\"\r\n");
        if (closeAfterAnswer) fields.append("Connection: close\r\n");
        fields.append(planField());
        byte[] head = Bytes.encode(fields.append("\r\n").toString());
        lookup = null;
        if (state == State.OPEN) written(hop.answer.write(session, head, hop.notModified));
        dispatcher.resumeLater(this);
    }

    void sendRejection(double retryAfterMs) {
        finishLookup(response("503 Service Unavailable", retryAfterField(retryAfterMs), ""));
    }

    /** For tests only: the plan that decided the lookup being answered. */
    private String planField() {
        return dispatcher.exposePlan && plan >= 0 ? "Policy-Plan: " + plan + "\r\n" : "";
    }

    private static String retryAfterField(double retryAfterMs) {
        return retryAfterMs >= 1 ? "Srv-Wait-Ms: " + (long) retryAfterMs + "\r\n" : "";
    }

    void sendFailure() {
        finishLookup(response("502 Bad Gateway", "", ""));
    }

    private void finishLookup(IoBuffer answer) {
        lookup = null;
        write(answer);
        if (!processing) dispatcher.resumeLater(this);
    }

    private IoBuffer response(String status, String fields, String body) {
        closeAfterAnswer |= shouldClose();
        String end = closeAfterAnswer ? "\r\nConnection: close\r\n\r\n" : "\r\n\r\n";
        return IoBuffer.wrap(Bytes.encode("HTTP/1.1 " + status + "\r\n" + fields + planField() + "Content-Length: "
            + body.length() + end + body));
    }

    private void write(IoBuffer answer) {
        if (state == State.OPEN) written(session.write(answer));
    }

    private void written(WriteFuture write) {
        lastWrite = write;
        dispatcher.enforceWriteBacklogLimit(this);
        if (closeAfterAnswer) shutDown();
    }

    /** Refuses a request that could not be read, and closes the connection after the answer. */
    private void refuseRequest(String status) {
        LOG.debug("request refused: {}", status);
        closeAfterAnswer = true;
        write(response(status, status.startsWith("405") ? "Allow: GET, PUT\r\n" : "", ""));
    }
}
