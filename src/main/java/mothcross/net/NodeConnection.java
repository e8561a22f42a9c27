package mothcross.net;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;
import mothcross.Director;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The line protocol on one long-lived connection to a node. Holds the hops that wait for the connection or are in
 * flight on it, and reports how each ended. A hop whose connection was never made, or whose request was never wholly
 * written, was not executed; one whose connection was lost after writing may have been executed; one without an
 * answer ends at its deadline.
 *
 * <p>A hop is never sent again from here. Answers that no hop waits for are discarded, and after malformed input the
 * connection is closed, so that bytes of one answer can't be taken for another's.
 */
final class NodeConnection extends Connection {
    private static final Logger LOG = LoggerFactory.getLogger(NodeConnection.class);
    private static final int MAX_LINE_BYTES = 4096;
    private static final int MAX_BODY_BYTES = 240_000;
    private static final int MAX_ETAG_BYTES = 128;
    private static final int REQUEST_FIELDS_CHARS = 96;
    /** Connections idle for this share of the node's idle timeout are closed from here. */
    private static final double IDLE_TIMEOUT_SHARE = 0.9;
    /** How long bytes may have been received by the system and not been read yet. */
    private static final double UNREAD_GRACE_MS = 50;
    /** The values of the field "n", in the order of the notes of {@link Director}, from {@link Director#HIT}. */
    private static final String[] NOTES = {"mem", "parent", "origin", "shared", "old", "denied", "unreached",
        "absent", "crowded", "behind"};
    /** The values of the field "opts", by the bits of {@link mothcross.DecisionWriter}. */
    private static final String[] FETCH_OPTIONS = {"share", "peek", "pass", "swr"};
    private static final byte[] WANT = Bytes.encode("want ");
    private static final byte[] END_OF_LINE = Bytes.encode("\r\n");
    private static final int END_OF_LINE_BYTES = 2;
    /** The value of {@link #remainingBodyBytes} while a line is read. */
    private static final int NO_BODY = -1;
    /** The value of {@link #timedUnit} while the read timeout is not set. */
    private static final long NOT_TIMED = -1;

    private final Node node;
    private final ArrayDeque<Hop> waiting = new ArrayDeque<>();
    /** Written hops by request id, the oldest first. */
    private final Map<Long, Hop> inFlight = new LinkedHashMap<>();
    private final Map<String, Probe> probes = new HashMap<>();
    /**
     * The hop given to the socket last. The next one follows only when this has been written, so that news about a
     * node still finds here the hops that have not.
     */
    private Hop lastWritten;
    private boolean awaitingWrite;
    private long probeCount;
    /** Null while the connection waits for a descriptor. */
    ConnectFuture connectFuture;
    private boolean up;
    private boolean ended;
    private boolean retired;
    private double lastReceivedAt;
    private double lastUsedAt;
    /** How many bytes of the answer being read are still to come, with its line end. */
    private int remainingBodyBytes = NO_BODY;
    /** The hop that the answer being read belongs to, or null if it is discarded. */
    private Hop bodyHop;
    private int scannedBytes;
    /** How many lines and bodies have been received whole. */
    private long completeUnits;
    /** The value of {@link #completeUnits} at which the read timeout was set. */
    private long timedUnit = NOT_TIMED;
    private boolean readTimeoutSuspected;
    /** Whether the whole node, not only this connection, has been found unresponsive. */
    private boolean nodeUnresponsive;
    /** 0 while no liveness probe is out; 1 when one has been sent; 2 in the grace time for an unread reply. */
    private int livenessStage;
    /** Liveness probes sent since the last answer to a hop; each that was answered was a false suspicion. */
    private int falseSuspicions;

    /**
     * The read timeout. A line has to be received whole, and the next bytes of an answer have to follow, within the
     * time that a connect may take. An answer that no hop waits for any more may take until its hop's deadline, or
     * that time if it is later. Past that the connection is closed: an answer that never ends would block all
     * answers behind it.
     */
    private final Timers.Timer readTimeout = new Timers.Timer() {
        @Override void fire() {
            if (ended) return;
            if (readTimeoutSuspected) malformed("stalls within an answer");
            else dispatcher.timers.set(this, dispatcher.clock() + UNREAD_GRACE_MS); // it may be received but unread
            readTimeoutSuspected = true;
        }
    };

    /**
     * The liveness probe. A node that owes answers and sends nothing for unusually long is asked whether it is
     * there. If it does not reply to that either, the connection is treated as lost: the machine has vanished, is
     * cut off, or never received what was written. Each reply delays the next probe.
     */
    private final Timers.Timer livenessTimer = new Timers.Timer() {
        @Override void fire() {
            if (ended || inFlight.isEmpty()) {
                livenessStage = 0;
                return;
            }
            Hop oldest = inFlight.values().iterator().next();
            double now = dispatcher.clock();
            double stepMs = dispatcher.settings.connectMs / 4;
            double silentSince = Math.max(lastReceivedAt, oldest.writtenAt);
            double unusualMs = Math.max(2 * stepMs,
                dispatcher.answerTimes.unusualAfterMs(oldest.lookup.workload, falseSuspicions));
            boolean nodeSilent = node.lastReceivedAt <= silentSince;
            if (livenessStage == 0) {
                boolean suspect = now - silentSince >= unusualMs && dispatcher.settings.probingAllowed
                    && (nodeSilent || inFlight.size() > 1);
                if (suspect) {
                    livenessStage = 1;
                    falseSuspicions++;
                    session.write(IoBuffer.wrap(Bytes.encode("there l" + probeCount++ + "\r\n")));
                }
                dispatcher.timers.set(this,
                    suspect ? now + stepMs : Math.max(now + stepMs, silentSince + unusualMs));
            } else if (livenessStage++ == 1) {
                dispatcher.timers.set(this, now + UNREAD_GRACE_MS);
            } else {
                dispatcher.counters.unresponsive++;
                LOG.debug("{} is unresponsive with {} hops in flight", node.id, inFlight.size());
                abort();
                nodeUnresponsive = nodeSilent;
                closed();
            }
        }
    };

    /**
     * A connection not up in time counts as failed to connect. Where the timer itself is late, the process was not run
     * for a while, and a connection that has come up may not have been looked at yet. The attempt is left to the
     * connector's own time-out, see {@link DirectorServer}: cancelling it could stop the connector.
     */
    final Timers.Timer connectTimeout = new Timers.Timer() {
        private boolean extended;

        @Override void fire() {
            if (up || ended) return;
            double now = dispatcher.clock();
            if (!extended && now - dueAt() > UNREAD_GRACE_MS) {
                extended = true;
                dispatcher.timers.set(this, now + UNREAD_GRACE_MS);
                return;
            }
            closed();
        }
    };

    /** A health probe of the node, requested by the director. */
    private final class Probe extends Timers.Timer {
        final double startedAt = dispatcher.clock();
        final String tag;

        Probe(String tag) {
            this.tag = tag;
        }

        @Override void fire() {
            finish(Director.TIMED_OUT, null);
        }

        void finish(int outcome, double[] report) {
            dispatcher.timers.cancel(this);
            if (probes.remove(tag) != null) {
                dispatcher.probeCompleted(node, outcome, dispatcher.clock() - startedAt, report);
            }
        }
    }

    private NodeConnection(Dispatcher dispatcher, Node node) {
        super(dispatcher);
        this.node = node;
        node.connections.add(this);
        lastUsedAt = dispatcher.clock();
        dispatcher.timers.set(connectTimeout, lastUsedAt + dispatcher.settings.connectMs);
        dispatcher.nodeConnections.open(this);
    }

    /** Starts to connect; a descriptor has been taken for it, which is released when the socket is closed. */
    void connect() {
        dispatcher.counters.connects++;
        dispatcher.timers.set(connectTimeout, dispatcher.clock() + dispatcher.settings.connectMs);
        connectFuture = dispatcher.connector.connect(node.address, (session, future) -> bindSession(session));
        connectFuture.addListener(future -> {
            if (connectFuture.getException() != null) dispatcher.runLocked(this::connectFailed);
            else connectFuture.getSession().getCloseFuture().addListener(closed -> dispatcher.runLocked(
                () -> dispatcher.nodeConnections.descriptorReleased(this)));
        });
    }

    private void connectFailed() {
        dispatcher.nodeConnections.descriptorReleased(this);
        closed();
    }

    /**
     * Selects the least loaded connection to a node, with those that are up first. If even that one has load, one
     * more connection is opened for later hops.
     */
    private static NodeConnection select(Dispatcher dispatcher, Node node) {
        NodeConnection best = null;
        boolean connecting = false;
        for (NodeConnection candidate : new ArrayList<>(node.connections)) {
            if (candidate.idleTooLong()) candidate.retire();
            else if (candidate.load() >= dispatcher.settings.maxStreamsPerConnection) continue;
            else if (best == null || candidate.betterThan(best)) best = candidate;
            connecting |= !candidate.up;
        }
        boolean needsMore = best != null && best.load() > 0 && !connecting;
        int maxConnections = dispatcher.nodeConnections.maxPerNode(dispatcher.nodes.listedCount());
        if (needsMore && node.connections.size() < maxConnections && dispatcher.nodeConnections.hasSpare()) {
            new NodeConnection(dispatcher, node);
        }
        return best != null ? best : new NodeConnection(dispatcher, node);
    }

    /**
     * The node closes connections that have been idle for long. They are closed here a little earlier, so that no
     * request crosses that close.
     */
    private boolean idleTooLong() {
        return up && load() == 0
            && dispatcher.clock() - lastUsedAt > IDLE_TIMEOUT_SHARE * dispatcher.settings.idleMs;
    }

    private boolean betterThan(NodeConnection other) {
        return up && !other.up || up == other.up && load() < other.load();
    }

    private int load() {
        return inFlight.size() + waiting.size() + probes.size();
    }

    /** Whether nothing is open on it or waits for it. */
    boolean isUnused() {
        return load() == 0;
    }

    /** Whether it can be closed without ending anything. */
    boolean isIdle() {
        return up && !ended && !retired && isUnused();
    }

    double lastUsedAt() {
        return lastUsedAt;
    }

    /** The number of hops that wait for the connection to come up or for the previous write to complete. */
    int waitingHops() {
        return waiting.size();
    }

    static void send(Dispatcher dispatcher, Hop hop) {
        NodeConnection connection = select(dispatcher, hop.node);
        hop.connection = connection;
        if (connection.ended) {
            dispatcher.endHop(hop, Director.CONNECT_FAILED);
            return;
        }
        connection.waiting.add(hop);
        if (connection.up) connection.writeWaiting();
    }

    /** Writes waiting hops for as long as the socket accepts them; the rest keeps waiting here. */
    private void writeWaiting() {
        while (up && !waiting.isEmpty()) {
            if (lastWritten != null && !lastWritten.writeFuture.isDone()) {
                boolean listening = awaitingWrite;
                // Set before the listener is added: if the write has completed by now, that runs at once.
                awaitingWrite = true;
                if (!listening) {
                    lastWritten.writeFuture.addListener(future -> dispatcher.runLocked(this::resumeWriting));
                }
                return;
            }
            Hop hop = waiting.poll();
            if (dispatcher.mayBeSent(hop)) write(hop);
            else dispatcher.endHop(hop, Director.NOT_SENT);
        }
    }

    private void resumeWriting() {
        awaitingWrite = false;
        writeWaiting();
        closeWhenRetired();
    }

    static void probe(Dispatcher dispatcher, Node node) {
        NodeConnection connection = select(dispatcher, node);
        Probe probe = connection.new Probe("p" + connection.probeCount++);
        connection.probes.put(probe.tag, probe);
        dispatcher.timers.set(probe, dispatcher.clock() + dispatcher.settings.connectMs);
        if (connection.up) connection.writeProbe(probe);
    }

    private void writeProbe(Probe probe) {
        session.write(IoBuffer.wrap(Bytes.encode("busy " + probe.tag + "\r\n")));
    }

    private void write(Hop hop) {
        Lookup lookup = hop.lookup;
        double now = dispatcher.clock();
        StringBuilder fields = new StringBuilder(REQUEST_FIELDS_CHARS);
        fields.append(",patience=").append(Math.max(1, (long) (hop.deadline - now)));
        if (hop.source != hop.node) fields.append(",via=").append(hop.source.id);
        if (hop.rank > 0) fields.append(",tier=").append(hop.rank);
        if (hop.maxAge > 0) fields.append(",fresh=").append(Math.max(1, (long) hop.maxAge));
        boolean first = true;
        for (int i = 0; i < FETCH_OPTIONS.length; i++) {
            if ((hop.fetchOptions & 1 << i) == 0) continue;
            fields.append(first ? ",opts=" : "+").append(FETCH_OPTIONS[i]);
            first = false;
        }
        fields.append(' ').append(lookup.body.length).append("\r\n");
        byte[] hopFields = Bytes.encode(fields.toString());
        if (LOG.isTraceEnabled()) LOG.trace("to {}: {}{}", node.id, Bytes.decode(lookup.requestFields), fields);
        int length = lookup.idHex.length + lookup.requestFields.length + hopFields.length + lookup.body.length;
        IoBuffer request = IoBuffer.allocate(WANT.length + 1 + length + END_OF_LINE.length);
        request.put(WANT).put(lookup.idHex).put((byte) ' ').put(lookup.requestFields).put(hopFields)
            .put(lookup.body).put(END_OF_LINE).flip();
        hop.writtenAt = lastUsedAt = now;
        if (inFlight.isEmpty()) dispatcher.timers.set(livenessTimer, now + dispatcher.settings.connectMs / 2);
        inFlight.put(lookup.id, hop);
        lastWritten = hop;
        hop.writeFuture = session.write(request);
    }

    /** Stops waiting for a hop. Returns whether nothing at all was received on the connection since it was sent. */
    boolean abandon(Hop hop) {
        if (hop.writeFuture == null) {
            waiting.remove(hop);
            return false;
        }
        inFlight.remove(hop.lookup.id, hop);
        if (!up) return false;
        if (bodyHop == hop) {
            bodyHop = null;
            setReadTimeout(Math.max(hop.deadline, dispatcher.clock() + dispatcher.settings.connectMs));
        }
        if (dispatcher.settings.cancellation) {
            session.write(IoBuffer.wrap(Bytes.encode("never_mind " + Bytes.decode(hop.lookup.idHex) + "\r\n")));
        }
        boolean unresponsive = lastReceivedAt < hop.writtenAt;
        closeWhenRetired();
        return unresponsive;
    }

    /** Ends waiting hops that match as not sent; none of them was executed. */
    void withdraw(Predicate<Hop> affected) {
        waiting.removeIf(hop -> {
            if (!affected.test(hop)) return false;
            dispatcher.endHop(hop, Director.NOT_SENT);
            return true;
        });
    }

    /** Takes no further hops, and closes once those waiting or in flight have ended. */
    void retire() {
        node.connections.remove(this);
        retired = true;
        closeWhenRetired();
    }

    private void closeWhenRetired() {
        boolean drained = inFlight.isEmpty() && waiting.isEmpty() && probes.isEmpty();
        if (retired && drained && up && !ended) session.closeOnFlush();
    }

    @Override void opened() {
        if (ended) {
            session.closeNow();
            return;
        }
        up = true;
        dispatcher.counters.up++;
        dispatcher.timers.cancel(connectTimeout);
        writeWaiting();
        for (Probe probe : probes.values()) writeProbe(probe);
        lastUsedAt = dispatcher.clock();
        closeWhenRetired();
    }

    @Override void closed() {
        if (ended) return;
        ended = true;
        dispatcher.nodeConnections.ended(this);
        node.connections.remove(this);
        dispatcher.timers.cancel(readTimeout);
        dispatcher.timers.cancel(connectTimeout);
        dispatcher.timers.cancel(livenessTimer);
        endHops(waiting, null);
        endHops(inFlight.values(), bodyHop);
        int outcome = up ? Director.CONNECTION_LOST : Director.CONNECT_FAILED;
        for (Probe probe : probes.values()) {
            // By a timer, not at once: the director may be processing a batch.
            dispatcher.timers.set(new Timers.Timer() {
                @Override void fire() {
                    probe.finish(outcome, null);
                }
            }, dispatcher.clock());
        }
        up = false;
    }

    /**
     * Ends all hops with the connection. One failure is one piece of evidence about the node: only the hop that
     * caused it, or else the first, counts, and the rest is noted as collateral. If the whole node is unresponsive,
     * every hop counts.
     */
    private void endHops(Collection<Hop> hops, Hop culprit) {
        Hop first = culprit;
        for (Hop hop : hops) {
            if (first == null) first = hop;
            if (hop != first && !nodeUnresponsive) hop.note = Director.COLLATERAL_FAILURE;
            // A write that is still being made while we close may yet go out. Only a hop whose write has failed is
            // known not to have been executed.
            boolean mayHaveRun = hop.writeFuture != null && (hop.writeFuture.isWritten() || !hop.writeFuture.isDone());
            int notExecuted = connectFuture == null ? Director.NOT_SENT : Director.CONNECT_FAILED;
            dispatcher.endHop(hop, mayHaveRun ? Director.CONNECTION_LOST : notExecuted);
        }
        hops.clear();
    }

    // ---- answers ----

    @Override void received() {
        lastReceivedAt = lastUsedAt = node.lastReceivedAt = dispatcher.clock();
        livenessStage = 0;
        readAnswers();
        if (ended) return;
        if (remaining() == 0 && remainingBodyBytes < 0) {
            dispatcher.timers.cancel(readTimeout);
            timedUnit = NOT_TIMED;
        } else if (completeUnits != timedUnit || bodyHop != null) {
            // Not extended by bytes that trickle in within a line.
            setReadTimeout(lastReceivedAt + dispatcher.settings.connectMs);
        }
    }

    /** Sets by when the line being read has to be whole, or the answer being read has to continue. */
    private void setReadTimeout(double deadline) {
        timedUnit = completeUnits;
        readTimeoutSuspected = false;
        dispatcher.timers.set(readTimeout, deadline);
    }

    private void readAnswers() {
        while (remaining() > 0) {
            if (remainingBodyBytes >= 0) {
                readBody();
                if (remainingBodyBytes >= 0) return;
                continue;
            }
            int lineFeed = Bytes.indexOf(bytes, from + scannedBytes, to, '\n');
            if (lineFeed < 0) {
                scannedBytes = remaining();
                if (scannedBytes > MAX_LINE_BYTES) malformed("line too long");
                return;
            }
            scannedBytes = 0;
            completeUnits++;
            if (lineFeed == from || bytes[lineFeed - 1] != '\r') {
                malformed("line does not end in CR LF");
                return;
            }
            int start = from;
            from = lineFeed + 1;
            if (LOG.isTraceEnabled()) LOG.trace("from {}: {}", node.id, Bytes.decode(bytes, start, lineFeed - 1));
            if (!readLine(start, lineFeed - 1)) return;
        }
    }

    private void readBody() {
        int length = Math.min(remaining(), remainingBodyBytes - END_OF_LINE_BYTES);
        if (length > 0) {
            if (bodyHop != null && !bodyHop.answer.append(bytes, from, length)) dropAnswer(bodyHop);
            from += length;
            remainingBodyBytes -= length;
        }
        if (remainingBodyBytes > END_OF_LINE_BYTES || remaining() < END_OF_LINE_BYTES) return;
        if (bytes[from] != '\r' || bytes[from + 1] != '\n') {
            malformed("body does not end in CR LF");
            return;
        }
        from += END_OF_LINE_BYTES;
        remainingBodyBytes = NO_BODY;
        completeUnits++;
        Hop hop = bodyHop;
        bodyHop = null;
        if (hop != null) {
            inFlight.remove(hop.lookup.id, hop);
            dispatcher.endHop(hop, Director.SUCCEEDED);
        }
        closeWhenRetired();
    }

    /** Gives up an answer for which there is no memory; the node is not to blame, and the request has run. */
    private void dropAnswer(Hop hop) {
        dispatcher.counters.outOfMemory++;
        abandon(hop);
        hop.note = Director.COLLATERAL_FAILURE;
        dispatcher.endHop(hop, Director.CONNECTION_LOST);
    }

    /** Reads {@code ID WORD FIELDS LENGTH}; returns false if the connection had to be closed. */
    private boolean readLine(int start, int end) {
        int idEnd = Bytes.indexOf(bytes, start, end, ' ');
        int wordEnd = idEnd < 0 ? -1 : Bytes.indexOf(bytes, idEnd + 1, end, ' ');
        int fieldsEnd = wordEnd < 0 ? -1 : Bytes.indexOf(bytes, wordEnd + 1, end, ' ');
        if (idEnd < 0) return malformed("one word");
        int lastOfWord = wordEnd < 0 ? end : wordEnd;
        boolean fit = Bytes.matches(bytes, idEnd + 1, lastOfWord, "FIT");
        if (fit || Bytes.matches(bytes, idEnd + 1, lastOfWord, "UNFIT")) {
            return readProbeReply(fit, start, idEnd, wordEnd, fieldsEnd, end);
        }
        if (fieldsEnd < 0) return malformed("fewer than four words");
        int outcome = parseOutcome(idEnd + 1, wordEnd);
        long length = Bytes.parseInteger(bytes, fieldsEnd + 1, end);
        if (outcome < 0 || length < 0 || length > MAX_BODY_BYTES) return malformed("word or length");
        remainingBodyBytes = (int) length + END_OF_LINE_BYTES;
        Hop hop = Bytes.isHex(bytes, start, idEnd) ? inFlight.get(Bytes.parseHex(bytes, start, idEnd)) : null;
        if (hop == null) return true;                   // abandoned meanwhile, or an unknown id
        if (!parseFields(hop, wordEnd + 1, fieldsEnd)) {
            bodyHop = hop;
            return malformed("fields");
        }
        falseSuspicions = 0;
        hop.notModified = bytes[idEnd + 1] == 'K';
        // Only the copy that the client has named may be confirmed as current, by an answer with the same tag.
        Lookup lookup = hop.lookup;
        boolean sameTag = lookup.clientEtag != null && lookup.clientEtag.equals(hop.etag);
        if (hop.notModified && (length > 0 || !sameTag)) {
            bodyHop = hop;
            return malformed("confirms a copy that the client does not have");
        }
        if (outcome == Director.SUCCEEDED) {
            dispatcher.answerTimes.record(lookup.workload, dispatcher.clock() - hop.writtenAt);
            hop.answer = new AnswerBuffer(dispatcher.answerMemory, (int) length);
            bodyHop = hop;
        } else {
            inFlight.remove(lookup.id);
            dispatcher.endHop(hop, outcome);
        }
        return true;
    }

    /** The report and the length may be absent: {@code wordEnd} or {@code fieldsEnd} is -1 then. */
    private boolean readProbeReply(boolean fit, int start, int tagEnd, int wordEnd, int fieldsEnd, int end) {
        long length = fieldsEnd < 0 ? -1 : Bytes.parseInteger(bytes, fieldsEnd + 1, end);
        if (fieldsEnd >= 0 && (length < 0 || length > MAX_BODY_BYTES)) return malformed("length");
        remainingBodyBytes = fieldsEnd < 0 ? NO_BODY : (int) length + END_OF_LINE_BYTES;
        Probe probe = probes.get(Bytes.decode(bytes, start, tagEnd));
        double[] report = wordEnd < 0 ? null : parseReport(wordEnd + 1, fieldsEnd < 0 ? end : fieldsEnd);
        if (probe != null) probe.finish(fit ? Director.SUCCEEDED : Director.REJECTED, report);
        return true;
    }

    /** Returns -1 for an unknown word. */
    private int parseOutcome(int start, int end) {
        if (Bytes.matches(bytes, start, end, "DONE") || Bytes.matches(bytes, start, end, "KEEP")) {
            return Director.SUCCEEDED;
        }
        if (Bytes.matches(bytes, start, end, "LACK")) return Director.MISS;
        if (Bytes.matches(bytes, start, end, "WAIT")) return Director.REJECTED;
        if (Bytes.matches(bytes, start, end, "BROKE")) return Director.ERROR;
        return Bytes.matches(bytes, start, end, "PAST") ? Director.NOT_SENT : -1;
    }

    /** Reads {@code name=value,name=value} or {@code -} into the hop; unknown names are ignored. */
    private boolean parseFields(Hop hop, int start, int end) {
        if (end - start == 1 && bytes[start] == '-') return true;
        int position = start;
        while (position < end) {
            int comma = Bytes.indexOf(bytes, position, end, ',');
            int fieldEnd = comma < 0 ? end : comma;
            int equals = Bytes.indexOf(bytes, position, fieldEnd, '=');
            if (equals <= position) return false;
            int value = equals + 1;
            if (Bytes.matches(bytes, position, equals, "n")) {
                for (int i = 0; i < NOTES.length; i++) {
                    if (Bytes.matches(bytes, value, fieldEnd, NOTES[i])) hop.note = i + Director.HIT;
                }
            } else if (Bytes.matches(bytes, position, equals, "lag")) {
                hop.sourceWait = Bytes.parseDecimal(bytes, value, fieldEnd);
                if (Double.isNaN(hop.sourceWait)) return false;
            } else if (Bytes.matches(bytes, position, equals, "l")) {
                hop.report = parseReport(value, fieldEnd);
            } else if (Bytes.matches(bytes, position, equals, "tag")) {
                hop.etag = fieldEnd - value <= MAX_ETAG_BYTES ? Bytes.decode(bytes, value, fieldEnd) : null;
            }
            position = fieldEnd + 1;
        }
        return true;
    }

    /** Reads {@code name:value;name:value}, with or without {@code l=} before it; unknown names are ignored. */
    private double[] parseReport(int start, int end) {
        int position = start;
        if (end - start > 2 && bytes[start] == 'l' && bytes[start + 1] == '=') position += 2;
        double[] values = new double[dispatcher.settings.reportFields.length];
        Arrays.fill(values, Double.NaN);
        while (position < end) {
            int semicolon = Bytes.indexOf(bytes, position, end, ';');
            int fieldEnd = semicolon < 0 ? end : semicolon;
            int colon = Bytes.indexOf(bytes, position, fieldEnd, ':');
            for (int i = 0; colon > position && i < values.length; i++) {
                if (!Bytes.matches(bytes, position, colon, dispatcher.settings.reportFields[i])) continue;
                values[i] = Bytes.parseDecimal(bytes, colon + 1, fieldEnd);
            }
            position = fieldEnd + 1;
        }
        return dispatcher.settings.decodeReport(values);
    }

    /** Counts a protocol violation and closes the connection; returns false for the caller to return. */
    private boolean malformed(String reason) {
        dispatcher.counters.badNode++;
        if (dispatcher.counters.mayWarn()) {
            LOG.warn("{} sent a malformed answer ({}); closing the connection", node.id, reason);
        }
        abort();
        closed();
        remainingBodyBytes = NO_BODY;
        bodyHop = null;
        return false;
    }
}
