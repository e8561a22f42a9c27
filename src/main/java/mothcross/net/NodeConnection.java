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
 * The line protocol with one node, on one of its long-lived connections. Owns the hops that wait for the connection
 * or are out on it, and tells how each ended: not made or never wholly written, it never ran; reset after
 * writing, it may have run; silence ends with the hop's time. Must never send a hop again by itself, keep
 * an answer that no hop waits for, or let bytes of one answer reach another.
 */
final class NodeConnection extends Connection {
    private static final Logger LOG = LoggerFactory.getLogger(NodeConnection.class);
    static final int RESPONSE_HEAD_ROOM_BYTES = 320;
    private static final int LONGEST_LINE = 4096, LARGEST_BODY = 240_000;
    private static final double USED_OF_IDLE = 0.9, UNREAD_MS = 50;
    private static final String[] NOTES = {"mem", "parent", "origin", "shared", "old", "denied", "unreached",
        "absent", "crowded", "behind"};
    private static final byte[] WANT = Bytes.encode("want "), END_OF_LINE = Bytes.encode("\r\n");
    private static final String[] HOW = {"share", "peek", "pass", "swr"};

    private final Node node;
    private final ArrayDeque<Hop> waiting = new ArrayDeque<>();
    private final Map<Long, Hop> out = new LinkedHashMap<>();       // the one longest out first
    private final Map<String, Probe> probes = new HashMap<>();
    // The one given to the socket last: the next follows when it has left, so that news finds here what has not.
    private Hop handed;
    private boolean stuck;
    private long probeCount;
    private ConnectFuture connecting;
    private boolean up, ended, retired;
    private double heardAt, usedAt;
    // The answer whose bytes are coming in: how many are still to come, line end included, and for whom.
    private int bodyLeft = -1;
    private Hop bodyFor;
    private int scanned;
    // Lines and answers that have come in whole; and the count at which patience was set.
    private static final long NOTHING_BEGUN = -1;
    private long begun, timed = NOTHING_BEGUN;
    private boolean suspected, nodeSilent;
    private int doubts, wrongly;                        // how often it was asked, and was there, since its last answer

    /**
     * A line, and an answer's bytes from one to the next, may take the time that a connection may; an answer that
     * nobody waits for any more has until its hop's time was up, or that long. Else what is here is spoilt: one that
     * never ends would hold up for ever what comes behind it.
     */
    private final Timers.Timer patience = new Timers.Timer() {
        @Override void fire() {
            if (ended) return;
            if (suspected) malformed("stalls within an answer");
            else dispatcher.timers.set(this, dispatcher.clock() + UNREAD_MS);    // it may have come, and not been read yet
            suspected = true;
        }
    };

    /**
     * A node that owes answers and says nothing for unusually long is asked whether it is there; where that is not
     * answered either, the connection is as good as ended: its machine has vanished, or is cut off, or never took up
     * what it got. Each word that it is there makes the next question come later.
     */
    private final Timers.Timer quiet = new Timers.Timer() {
        @Override void fire() {
            if (ended || out.isEmpty()) {
                doubts = 0;
                return;
            }
            Hop first = out.values().iterator().next();
            double now = dispatcher.clock(), step = dispatcher.settings.connectMs / 4, since = Math.max(heardAt, first.writtenAt);
            double unusual = Math.max(2 * step, dispatcher.answerTimes.unusualAfterMs(first.lookup.workload, wrongly));
            boolean nodeToo = node.lastReceivedAt <= since;
            if (doubts == 0) {
                boolean doubtful = now - since >= unusual && dispatcher.settings.probingAllowed && (nodeToo || out.size() > 1);
                if (doubtful) {
                    doubts = 1;
                    wrongly++;
                    session.write(IoBuffer.wrap(Bytes.encode("there l" + probeCount++ + "\r\n")));
                }
                dispatcher.timers.set(this, doubtful ? now + step : Math.max(now + step, since + unusual));
            } else if (doubts++ == 1) {
                dispatcher.timers.set(this, now + UNREAD_MS);
            } else {
                dispatcher.counters.unresponsive++;
                LOG.debug("{} says nothing, {} hops are out", node.id, out.size());
                abort();
                nodeSilent = nodeToo;
                closed();
            }
        }
    };

    /** Not up in time counts as not reached. */
    private final Timers.Timer notUp = new Timers.Timer() {
        @Override void fire() {
            if (up || ended) return;
            connecting.cancel();
            closed();
        }
    };

    /** A question about the node itself. */
    private final class Probe extends Timers.Timer {
        final double askedAt = dispatcher.clock();
        final String tag;

        Probe(String tag) {
            this.tag = tag;
        }

        @Override void fire() {
            finish(Director.TIMED_OUT, null);
        }

        void finish(int outcome, double[] report) {
            dispatcher.timers.cancel(this);
            if (probes.remove(tag) != null) dispatcher.probeCompleted(node, outcome, dispatcher.clock() - askedAt, report);
        }
    }

    private NodeConnection(Dispatcher desk, Node node) {
        super(desk);
        this.node = node;
        node.connections.add(this);
        desk.nodeConnections.add(this);
        desk.counters.connects++;
        desk.timers.set(notUp, desk.clock() + desk.settings.connectMs);
        connecting = desk.connector.connect(node.address, (session, future) -> bindSession(session));
        connecting.addListener(f -> {
            if (connecting.getException() != null || connecting.isCanceled()) desk.runLocked(this::closed);
        });
    }

    /** The one that is up and carries least; where even that one carries something, one more is made for later. */
    private static NodeConnection to(Dispatcher desk, Node node) {
        NodeConnection best = null;
        boolean coming = false;
        for (NodeConnection c : new ArrayList<>(node.connections)) {
            // The node closes what has been idle for long; not to cross that, it is closed here a little sooner.
            if (c.up && c.load() == 0 && desk.clock() - c.usedAt > USED_OF_IDLE * desk.settings.idleMs) c.retire();
            else if (c.load() >= desk.settings.maxStreamsPerConnection) continue;
            else if (best == null || c.up && !best.up || c.up == best.up && c.load() < best.load()) best = c;
            coming |= !c.up;
        }
        boolean more = best != null && best.load() > 0 && !coming;
        if (more && node.connections.size() < desk.connectionsPerNode()) new NodeConnection(desk, node);
        return best != null ? best : new NodeConnection(desk, node);
    }

    private int load() {
        return out.size() + waiting.size() + probes.size();
    }

    /** How many hops wait for the connection to come up, or for its socket to take what went before. */
    int waitingHops() {
        return waiting.size();
    }

    static void send(Dispatcher desk, Hop h) {
        NodeConnection c = to(desk, h.node);
        h.connection = c;
        if (c.ended) {
            desk.endHop(h, Director.CONNECT_FAILED);
            return;
        }
        c.waiting.add(h);
        if (c.up) c.flow();
    }

    /** Writes what waits for as long as the socket takes it; where it does not, the rest stays here. */
    private void flow() {
        while (up && !waiting.isEmpty()) {
            if (handed != null && !handed.writeFuture.isDone()) {
                boolean asked = stuck;
                stuck = true;                           // before: it may have left by now, and goes on at once
                if (!asked) handed.writeFuture.addListener(f -> dispatcher.runLocked(this::goesOn));
                return;
            }
            Hop h = waiting.poll();
            if (dispatcher.mayBeSent(h)) write(h);
            else dispatcher.endHop(h, Director.NOT_SENT);
        }
    }

    private void goesOn() {
        stuck = false;
        flow();
        retireWhenDone();
    }

    static void probe(Dispatcher desk, Node node) {
        NodeConnection c = to(desk, node);
        Probe p = c.new Probe("p" + c.probeCount++);
        c.probes.put(p.tag, p);
        desk.timers.set(p, desk.clock() + desk.settings.connectMs);
        if (c.up) c.writeProbe(p);
    }

    private void writeProbe(Probe p) {
        session.write(IoBuffer.wrap(Bytes.encode("busy " + p.tag + "\r\n")));
    }

    private void write(Hop h) {
        Lookup l = h.lookup;
        double now = dispatcher.clock();
        StringBuilder s = new StringBuilder(96);
        s.append(",patience=").append(Math.max(1, (long) (h.deadline - now)));
        if (h.source != h.node) s.append(",via=").append(h.source.id);
        if (h.rank > 0) s.append(",tier=").append(h.rank);
        if (h.maxAge > 0) s.append(",fresh=").append(Math.max(1, (long) h.maxAge));
        for (int i = 0, first = 1; i < HOW.length; i++) {
            if ((h.fetchOptions & 1 << i) == 0) continue;
            s.append(first == 1 ? ",opts=" : "+").append(HOW[i]);
            first = 0;
        }
        s.append(' ').append(l.body.length).append("\r\n");
        byte[] orders = Bytes.encode(s.toString());
        if (LOG.isTraceEnabled()) LOG.trace("{} is asked {}{}", node.id, Bytes.decode(l.requestFields), s);
        int length = l.idHex.length + l.requestFields.length + orders.length + l.body.length;
        IoBuffer b = IoBuffer.allocate(WANT.length + 1 + length + END_OF_LINE.length);
        b.put(WANT).put(l.idHex).put((byte) ' ').put(l.requestFields).put(orders).put(l.body).put(END_OF_LINE).flip();
        h.writtenAt = usedAt = now;
        if (out.isEmpty()) dispatcher.timers.set(quiet, now + dispatcher.settings.connectMs / 2);
        out.put(l.id, h);
        handed = h;
        h.writeFuture = session.write(b);
    }

    /** Nobody waits for the hop any more. True where the node has said nothing at all since it was sent. */
    boolean abandon(Hop h) {
        if (h.writeFuture == null) {
            waiting.remove(h);
            return false;
        }
        out.remove(h.lookup.id, h);
        if (!up) return false;
        if (bodyFor == h) {
            bodyFor = null;
            times(Math.max(h.deadline, dispatcher.clock() + dispatcher.settings.connectMs));
        }
        if (dispatcher.settings.cancellation) {
            session.write(IoBuffer.wrap(Bytes.encode("never_mind " + Bytes.decode(h.lookup.idHex) + "\r\n")));
        }
        boolean silent = heardAt < h.writtenAt;
        retireWhenDone();
        return silent;
    }

    /** What has not been written yet and fits goes back: it never ran. */
    void withdraw(Predicate<Hop> which) {
        waiting.removeIf(h -> {
            if (!which.test(h)) return false;
            dispatcher.endHop(h, Director.NOT_SENT);
            return true;
        });
    }

    /** The next hop gets a new connection; this one ends with what is out on it. */
    void retire() {
        node.connections.remove(this);
        retired = true;
        retireWhenDone();
    }

    private void retireWhenDone() {
        boolean done = out.isEmpty() && waiting.isEmpty() && probes.isEmpty();
        if (retired && done && up && !ended) session.closeOnFlush();
    }

    @Override void opened() {
        if (ended) {
            session.closeNow();
            return;
        }
        up = true;
        dispatcher.counters.up++;
        dispatcher.timers.cancel(notUp);
        flow();
        for (Probe p : probes.values()) writeProbe(p);
        usedAt = dispatcher.clock();
        retireWhenDone();
    }

    @Override void closed() {
        if (ended) return;
        ended = true;
        dispatcher.nodeConnections.remove(this);
        node.connections.remove(this);
        dispatcher.timers.cancel(patience);
        dispatcher.timers.cancel(notUp);
        dispatcher.timers.cancel(quiet);
        endAll(waiting, null);
        endAll(out.values(), bodyFor);
        int outcome = up ? Director.CONNECTION_LOST : Director.CONNECT_FAILED;
        for (Probe p : probes.values()) {
            dispatcher.timers.set(new Timers.Timer() {              // not at once: the module may be at work
                @Override void fire() {
                    p.finish(outcome, null);
                }
            }, dispatcher.clock());
        }
        up = false;
    }

    /** One fault is one piece of evidence about the node, the rest only went down with it: but not if all is silent. */
    private void endAll(Collection<Hop> hops, Hop guilty) {
        Hop first = guilty;
        for (Hop h : hops) {
            if (first == null) first = h;
            if (h != first && !nodeSilent) h.note = Director.COLLATERAL_FAILURE;
            // Guards against an end from here while the write is being made: it may leave after this. Only a write that
            // has failed never ran.
            boolean ran = h.writeFuture != null && (h.writeFuture.isWritten() || !h.writeFuture.isDone());
            dispatcher.endHop(h, ran ? Director.CONNECTION_LOST : Director.CONNECT_FAILED);
        }
        hops.clear();
    }

    // ---- answers ----

    @Override void received() {
        heardAt = usedAt = node.lastReceivedAt = dispatcher.clock();
        doubts = 0;
        answers();
        if (ended) return;
        if (remaining() == 0 && bodyLeft < 0) {
            dispatcher.timers.cancel(patience);
            timed = NOTHING_BEGUN;
        } else if (begun != timed || bodyFor != null) {
            times(heardAt + dispatcher.settings.connectMs);        // what trickles within a line gets no more time for it
        }
    }

    /** What is coming in now has to be whole, or for an answer to have gone on, by then. */
    private void times(double by) {
        timed = begun;
        suspected = false;
        dispatcher.timers.set(patience, by);
    }

    private void answers() {
        while (remaining() > 0) {
            if (bodyLeft >= 0) {
                takeBody();
                if (bodyLeft >= 0) return;
                continue;
            }
            int end = Bytes.indexOf(bytes, from + scanned, to, '\n');
            if (end < 0) {
                scanned = remaining();
                if (scanned > LONGEST_LINE) malformed("line too long");
                return;
            }
            scanned = 0;
            begun++;
            if (end == from || bytes[end - 1] != '\r') {
                malformed("line does not end in CR LF");
                return;
            }
            int start = from;
            from = end + 1;
            if (LOG.isTraceEnabled()) LOG.trace("{} says {}", node.id, Bytes.decode(bytes, start, end - 1));
            if (!line(start, end - 1)) return;
        }
    }

    private void takeBody() {
        int n = Math.min(remaining(), bodyLeft - 2);
        if (n > 0) {
            if (bodyFor != null) bodyFor.answer.put(bytes, from, n);
            from += n;
            bodyLeft -= n;
        }
        if (bodyLeft > 2 || remaining() < 2) return;
        if (bytes[from] != '\r' || bytes[from + 1] != '\n') {
            malformed("body does not end in CR LF");
            return;
        }
        from += 2;
        bodyLeft = -1;
        begun++;
        Hop h = bodyFor;
        bodyFor = null;
        if (h != null) {
            out.remove(h.lookup.id, h);
            dispatcher.endHop(h, Director.SUCCEEDED);
        }
        retireWhenDone();
    }

    /** {@code ID WORD FIELDS LENGTH}; false where the connection had to be dropped. */
    private boolean line(int start, int end) {
        int a = Bytes.indexOf(bytes, start, end, ' ');
        int b = a < 0 ? -1 : Bytes.indexOf(bytes, a + 1, end, ' ');
        int c = b < 0 ? -1 : Bytes.indexOf(bytes, b + 1, end, ' ');
        if (a < 0) return malformed("one word");
        int wordEnd = b < 0 ? end : b;
        boolean fit = Bytes.matches(bytes, a + 1, wordEnd, "FIT");
        if (fit || Bytes.matches(bytes, a + 1, wordEnd, "UNFIT")) {
            long length = c < 0 ? -1 : Bytes.parseInteger(bytes, c + 1, end);
            if (c >= 0 && (length < 0 || length > LARGEST_BODY)) return malformed("length");
            bodyLeft = c < 0 ? -1 : (int) length + 2;
            Probe p = probes.get(Bytes.decode(bytes, start, a));
            double[] report = b < 0 ? null : report(b + 1, c < 0 ? end : c);
            if (p != null) p.finish(fit ? Director.SUCCEEDED : Director.REJECTED, report);
            return true;
        }
        if (c < 0) return malformed("fewer than four words");
        int outcome = outcome(a + 1, b);
        long length = Bytes.parseInteger(bytes, c + 1, end);
        if (outcome < 0 || length < 0 || length > LARGEST_BODY) return malformed("word or length");
        bodyLeft = (int) length + 2;
        Hop h = Bytes.isHex(bytes, start, a) ? out.get(Bytes.parseHex(bytes, start, a)) : null;
        if (h == null) return true;                     // given up meanwhile, or nobody's
        if (!fields(h, b + 1, c)) {
            bodyFor = h;
            return malformed("fields");
        }
        wrongly = 0;
        h.notModified = bytes[a + 1] == 'K';
        // Only the copy that the client has named may be called current, and by the node that names it.
        if (h.notModified && (length > 0 || h.lookup.clientEtag == null || !h.lookup.clientEtag.equals(h.etag))) {
            bodyFor = h;
            return malformed("a copy is kept that nobody has");
        }
        if (outcome == Director.SUCCEEDED) {
            dispatcher.answerTimes.record(h.lookup.workload, dispatcher.clock() - h.writtenAt);
            h.answer = IoBuffer.allocate(RESPONSE_HEAD_ROOM_BYTES + (int) length);
            h.answer.position(RESPONSE_HEAD_ROOM_BYTES);
            bodyFor = h;
        } else {
            out.remove(h.lookup.id);
            dispatcher.endHop(h, outcome);
        }
        return true;
    }

    private int outcome(int a, int b) {
        if (Bytes.matches(bytes, a, b, "DONE") || Bytes.matches(bytes, a, b, "KEEP")) return Director.SUCCEEDED;
        if (Bytes.matches(bytes, a, b, "LACK")) return Director.MISS;
        if (Bytes.matches(bytes, a, b, "WAIT")) return Director.REJECTED;
        if (Bytes.matches(bytes, a, b, "BROKE")) return Director.ERROR;
        return Bytes.matches(bytes, a, b, "PAST") ? Director.NOT_SENT : -1;
    }

    private boolean fields(Hop h, int a, int b) {
        if (b - a == 1 && bytes[a] == '-') return true;
        while (a < b) {
            int comma = Bytes.indexOf(bytes, a, b, ','), end = comma < 0 ? b : comma;
            int eq = Bytes.indexOf(bytes, a, end, '=');
            if (eq <= a) return false;
            int v = eq + 1;
            if (Bytes.matches(bytes, a, eq, "n")) {
                for (int i = 0; i < NOTES.length; i++) if (Bytes.matches(bytes, v, end, NOTES[i])) h.note = i + 1;
            } else if (Bytes.matches(bytes, a, eq, "lag")) {
                h.sourceWait = Bytes.parseDecimal(bytes, v, end);
                if (Double.isNaN(h.sourceWait)) return false;
            } else if (Bytes.matches(bytes, a, eq, "l")) {
                h.report = report(v, end);
            } else if (Bytes.matches(bytes, a, eq, "tag")) {
                h.etag = end - v <= 128 ? Bytes.decode(bytes, v, end) : null;
            }
            a = end + 1;
        }
        return true;
    }

    /** {@code name:value;name:value}; what is not known is skipped. */
    private double[] report(int a, int b) {
        if (b - a > 2 && bytes[a] == 'l' && bytes[a + 1] == '=') a += 2;
        double[] told = new double[dispatcher.settings.reportFields.length];
        Arrays.fill(told, Double.NaN);
        while (a < b) {
            int semi = Bytes.indexOf(bytes, a, b, ';'), end = semi < 0 ? b : semi;
            int colon = Bytes.indexOf(bytes, a, end, ':');
            for (int i = 0; colon > a && i < told.length; i++) {
                if (!Bytes.matches(bytes, a, colon, dispatcher.settings.reportFields[i])) continue;
                told[i] = Bytes.parseDecimal(bytes, colon + 1, end);
            }
            a = end + 1;
        }
        return dispatcher.settings.decodeReport(told);
    }

    private boolean malformed(String what) {
        dispatcher.counters.badNode++;
        if (dispatcher.counters.mayWarn()) {
            LOG.warn("{} sent what is no answer ({}); its connection is dropped", node.id, what);
        }
        abort();
        closed();
        bodyLeft = -1;
        bodyFor = null;
        return false;
    }
}
