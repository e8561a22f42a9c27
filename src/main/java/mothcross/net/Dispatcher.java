package mothcross.net;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Predicate;
import mothcross.DecisionWriter;
import mothcross.Director;
import mothcross.EventBatch;
import mothcross.RouteConstraints;
import mothcross.Workload;
import mothcross.adapter.DirectorSettings;
import mothcross.adapter.LookupIndexAllocator;
import org.apache.mina.core.service.IoConnector;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Where all sides meet. Owns the module and the one lock it runs under, the indices of lookups and nodes,
 * the timers, and the count of what is open; turns what comes in into calls on the module, and what the
 * module writes into hops and answers. Must never decide where a lookup goes, send what the module did not
 * write, answer a lookup twice, or call the module while it is at work.
 */
final class Dispatcher implements DecisionWriter {
    private static final Logger LOG = LoggerFactory.getLogger(Dispatcher.class);
    private static final double BACKSTOP_MS = 20;
    private static final int MOST_CONNECTIONS = 8;

    final ReentrantLock lock = new ReentrantLock();
    final Counters counters = new Counters();
    final Timers timers;
    final DirectorSettings settings;
    final IoConnector connector;
    private final Director director;
    private final LookupIndexAllocator slots = new LookupIndexAllocator();
    private final int maxHops;
    private Lookup[] lookups = new Lookup[64];
    // By the client's id, while open; an id that is open already is not taken again.
    private final Map<Long, Lookup> open = new HashMap<>();
    final Nodes nodes = new Nodes();
    final AnswerTimes answerTimes;
    ActiveRoutes activeRoutes;                                 // null where the operators have no routes
    ServingPermit servingPermit;                              // null where nobody else decides what is in force
    boolean exposePlan;                                  // of tests only
    private HopObserver hopObserver;                        // null where nobody wants to know
    // Every connection to a node that is up or on its way; each takes itself out when it ends.
    final Set<NodeConnection> nodeConnections = new LinkedHashSet<>();
    // Filled while the module is at work, empty whenever the lock is free.
    private final ArrayDeque<Hop> ended = new ArrayDeque<>();
    private final ArrayDeque<ClientConnection> goOn = new ArrayDeque<>();
    // Clients in the order in which they came; bounded by the descriptors the director is given.
    private final LinkedHashSet<ClientConnection> clients = new LinkedHashSet<>();
    private int mostClients, nodeSockets;
    private long mostUnwritten;
    /** Bytes that clients have sent ahead of their turn, and the bodies of what is open. */
    long readAheadBytes;
    /** Told to end: every answer ends its connection. */
    boolean draining;
    private boolean atWork, closing;
    private double now;
    volatile boolean ready;

    Dispatcher(DirectorSettings opening, IoConnector connector, int mostHops) {
        this.settings = opening;
        this.connector = connector;
        this.director = opening.director;
        this.maxHops = mostHops;
        this.timers = new Timers(this);
        this.answerTimes = new AnswerTimes(opening.workloadTable.length);
    }

    /** Usual clients hold a third of the descriptors at most; nodes and the process itself need three eighths. */
    void setLimits(int sockets, double memoryMb) {
        mostClients = sockets * 5 / 8;
        nodeSockets = sockets / 6;
        mostUnwritten = (long) (memoryMb * (1 << 20) / 8);
    }

    // ---- the lock and the clock ----

    void enter() {
        lock.lock();
    }

    /** Settles what has ended, then lets go of the lock. */
    void leave() {
        try {
            if (lock.getHoldCount() == 1) processCompletedHops();
        } catch (RuntimeException | AssertionError e) {
            recordInternalError(e);                                   // the thread that came with it goes on
        } finally {
            lock.unlock();
        }
    }

    void runLocked(Runnable what) {
        enter();
        try {
            what.run();
        } finally {
            leave();
        }
    }

    /** The system's Unix clock in ms; it never runs backwards here. */
    double clock() {
        Instant t = Instant.now();
        return now = Math.max(now, t.getEpochSecond() * 1e3 + t.getNano() / 1e6);
    }

    void processBatch(EventBatch in) {
        counters.checkInvariant(lock.isHeldByCurrentThread() && !atWork, "the module is called once at a time");
        atWork = true;
        try {
            director.process(clock(), in, this);
        } catch (RuntimeException | AssertionError e) {
            recordInternalError(e);
        } finally {
            atWork = false;
        }
    }

    private void processCompletedHops() {
        while (true) {
            if (!ended.isEmpty()) processBatch(this::deliverEnded);
            else if (!goOn.isEmpty()) goOn.poll().resume();
            else return;
        }
    }

    void recordInternalError(Throwable e) {
        counters.faults++;
        LOG.error("fault; what is open is answered when its time is up", e);
    }

    // ---- lookups ----

    /** Whether this director is sure enough to be up to date to decide what starts now. */
    boolean mayStart() {
        return servingPermit == null || servingPermit.mayStart();
    }

    /** False where a lookup of this id is open already. */
    boolean startLookup(Lookup l, int workload, int part, double sizeKb, boolean repeat, RouteConstraints by) {
        if (open.putIfAbsent(l.id, l) != null) return false;
        counters.lookups++;
        readAheadBytes += l.body.length;
        int at = l.index = slots.allocate();
        l.workload = workload;
        if (at >= lookups.length) lookups = Arrays.copyOf(lookups, 2 * lookups.length);
        lookups[at] = l;
        timers.set(l, l.expiresAt + BACKSTOP_MS);
        processBatch(to -> to.lookup(at, workload, l.expiresAt, l.object, part, l.group, sizeKb, repeat, false, by));
        return true;
    }

    int openLookupCount() {
        return open.size();
    }

    int maxHops() {
        return maxHops;
    }

    private boolean isOver(Lookup l) {
        return open.get(l.id) != l;
    }

    private void over(Lookup l) {
        ended(l);
        release(l);
    }

    /** Nobody waits any more: what has not been written is not sent, whether or not calling off is allowed. */
    private void ended(Lookup l) {
        timers.cancel(l);
        open.remove(l.id, l);
        slots.markOver(l.index);
        readAheadBytes -= l.body.length;
        for (int i = 0; i < l.hopCount(); i++) {
            Hop h = l.hop(i);
            if (h.ended || h.writeFuture != null) continue;
            if (h.connection != null) h.connection.abandon(h);
            endHop(h, Director.NOT_SENT);
        }
    }

    private void release(Lookup l) {
        if (slots.release(l.index)) lookups[l.index] = null;
    }

    void clientDisconnected(Lookup l) {
        if (isOver(l)) return;
        counters.cancelled++;
        ended(l);
        processBatch(to -> to.clientDisconnected(l.index));
        release(l);
    }

    /** The module answers in time by itself; this only keeps a fault of it from leaving a client waiting. */
    void lookupTimedOut(Lookup l) {
        if (isOver(l)) return;
        counters.unanswered++;
        LOG.error("lookup without an answer when its time was up");
        l.client.sendFailure();
        over(l);
        callBack(l);
    }

    // ---- clients ----

    /**
     * Where descriptors run short, one that has its refusal goes first, then one that has said nothing sound for
     * long, then the one longest idle, which may ask again elsewhere, then one that has not asked yet, the oldest
     * first. Never one that is owed an answer: the new one has to go where all of them are.
     */
    void admit(ClientConnection c) {
        clients.add(c);
        if (clients.size() <= mostClients) return;
        counters.evicted++;
        ClientConnection out = c;
        int least = ClientConnection.NEW;
        for (ClientConnection x : clients) {
            int worth = x == c ? ClientConnection.NEW : x.evictionPriority();
            boolean longer = worth == least && worth == ClientConnection.IDLE && x.idleMs() > out.idleMs();
            if (worth >= least && !longer) continue;
            least = worth;
            out = x;
            if (worth == 0) break;
        }
        if (least == ClientConnection.IDLE) {
            out.closeIfStillIdle();
            return;
        }
        clients.remove(out);
        out.close();
    }

    /** Answers then tell clients to ask on a new connection, so that none is closed that may be asking. */
    boolean underDescriptorPressure() {
        return clients.size() > mostClients * 3 / 4;
    }

    void clientClosed(ClientConnection c) {
        clients.remove(c);
    }

    int clientCount() {
        return clients.size();
    }

    /** Where clients together have sent much ahead, each may only a little. */
    boolean readAheadLimitExceeded() {
        return readAheadBytes > mostUnwritten;
    }

    /** The process ends and nobody can come any more: who rests is told to go, who is answered goes after it. */
    void closeIdleClients() {
        for (ClientConnection c : new ArrayList<>(clients)) c.closeIfAtRest();
    }

    long writeBacklogBytes() {
        long sum = 0;
        for (ClientConnection c : clients) sum += c.session.getScheduledWriteBytes();
        return sum;
    }

    /** Clients that read slowly hold so much of the memory at most; past it, the one that holds most goes. */
    void enforceWriteBacklogLimit(ClientConnection writer) {
        // The sum is looked at only when this one has more than one answer unread: most never have.
        if (writer.session.getScheduledWriteBytes() <= mostUnwritten / mostClients) return;
        if (writeBacklogBytes() <= mostUnwritten) return;
        counters.slowReaders++;
        ClientConnection most = writer;
        for (ClientConnection c : clients) {
            if (c.session.getScheduledWriteBytes() > most.session.getScheduledWriteBytes()) most = c;
        }
        most.abort();
    }

    // ---- hops ----

    private void send(int lookup, int node, int source, double giveUpAt, int rank, double maxAge, int how) {
        Lookup l = lookups[lookup];
        if (l == null || isOver(l) || l.hopLimitReached()) {
            counters.checkInvariant(false, "a hop for a lookup that is over, or one too many");
            return;
        }
        Hop h = new Hop(l, slots.hopSent(lookup), nodes.get(node), nodes.get(source), rank, maxAge, how, now,
            giveUpAt > 0 ? Math.min(giveUpAt, l.expiresAt) : l.expiresAt);
        l.add(h);
        counters.hops++;
        h.node.activeHops++;
        h.source.activeHops++;
        if (closing || now >= h.deadline) {
            endHop(h, closing ? Director.NOT_SENT : Director.TIMED_OUT);
            return;
        }
        timers.set(h, h.deadline);
        NodeConnection.send(this, h);
    }

    /**
     * Asked when a hop's first byte is about to be written, by whatever way it came there. Guards against what changed
     * while it waited for its connection: nobody waits any more, or its repeats are dropped no longer.
     */
    boolean mayBeSent(Hop h) {
        Lookup l = h.lookup;
        boolean waitedFor = !isOver(l);
        counters.checkInvariant(waitedFor, "nothing is sent for a request that is over");
        if (!waitedFor) return false;
        Workload w = settings.workloadTable[l.workload];
        if (w.effect() != Workload.Effect.DEDUPLICATED) return true;
        double t = clock();
        for (int i = 0; i < h.number; i++) {
            Hop x = l.hop(i);
            boolean ran = x.writeFuture != null && !(x.ended && neverRan(x.outcome));
            if (ran && t >= x.writtenAt + w.deduplicationWindowMs()) return false;
        }
        return true;
    }

    /** What the protocol says of an end: the request was not taken up. */
    private static boolean neverRan(int outcome) {
        return outcome == Director.REJECTED || outcome == Director.CONNECT_FAILED || outcome == Director.NOT_SENT
            || outcome == Director.MISS;
    }

    /** A hop's time limit. */
    void hopTimedOut(Hop h) {
        NodeConnection on = h.connection;
        boolean silent = on != null && on.abandon(h);
        endHop(h, Director.TIMED_OUT);
        if (silent) on.retire();
    }

    /** Notes the end of a hop; the module hears of it when it is not at work. */
    void endHop(Hop h, int outcome) {
        if (h.ended) return;
        h.ended = true;
        h.outcome = outcome;
        h.connection = null;
        timers.cancel(h);
        h.node.activeHops--;
        h.source.activeHops--;
        counters.outcomes[outcome]++;
        ended.add(h);
    }

    private void deliverEnded(Director to) {
        for (Hop h; (h = ended.poll()) != null;) {
            Lookup l = h.lookup;
            if (h.outcome == Director.SUCCEEDED && !isOver(l)) {
                counters.succeeded++;
                if (h.notModified) counters.unchanged++;
                l.client.sendSuccess(h);
                ended(l);
            }
            h.answer = null;
            boolean last = isOver(l), known = slots.hopEnded(l.index, h.number);
            counters.checkInvariant(known, "a hop ends once");
            if (known) {
                to.hopEnded(l.index, h.number, h.node.index, h.outcome, last, h.note, now - h.sentAt,
                    h.sourceWait, h.report);
            }
            if (hopObserver != null) hopObserver.hopEnded(h);
            release(l);
        }
        if (hopObserver != null) hopObserver.roundFinished(to);
    }

    // ---- the list and purges, called by a reader in the module's round ----

    void listStarted(Director to, int news) {
        nodes.listStarted(to, news);
    }

    void nodeListed(Director to, String id, InetSocketAddress address, int place, int kind, int cell,
                int standing, double units, double startedAt) {
        nodes.nodeListed(to, id, address, place, kind, cell, standing, units, startedAt);
    }

    /** What goes down with one connection is less where there are several; descriptors set how many. */
    int connectionsPerNode() {
        return Math.max(1, Math.min(MOST_CONNECTIONS, nodeSockets / nodes.nodeListed()));
    }

    void listFinished(Director to) {
        nodes.listFinished(to);
        withdrawHops(h -> !usable(h.node) || !usable(h.source));
    }

    private static boolean usable(Node n) {
        return n.status == Director.IN_SERVICE || n.status == Director.UNCONFIRMED;
    }

    void setHopObserver(HopObserver w) {
        hopObserver = w;
    }

    void purged(Director to, long object, int group, double at) {
        to.purged(object, group, Math.max(0, now - at));
        withdrawHops(h -> object >= 0 ? h.lookup.object == object : h.lookup.group == group);
    }

    /** What still waits for a connection and is touched by news goes back to the module, which knows better. */
    private void withdrawHops(Predicate<Hop> which) {
        for (NodeConnection c : nodeConnections) c.withdraw(which);
    }

    void probeCompleted(Node node, int outcome, double spent, double[] report) {
        counters.probes++;
        if (outcome == Director.SUCCEEDED) counters.probesFit++;
        processBatch(to -> to.probeCompleted(node.index, outcome, spent, report));
    }

    // ---- the end ----

    /** From now on nothing new goes out: what is open ends as not sent or out of time, and is answered. */
    void stopSending() {
        closing = true;
        for (Lookup l : new ArrayList<>(open.values())) callBack(l);
    }

    private void callBack(Lookup l) {
        for (int i = 0; i < l.hopCount(); i++) if (!l.hop(i).ended) hopTimedOut(l.hop(i));
    }

    void resumeLater(ClientConnection client) {
        goOn.add(client);
    }

    // ---- what the module writes ----

    @Override public void sendCacheOnly(int lookup, int node, double giveUpAt) {
        send(lookup, node, node, giveUpAt, 0, 0, 0);
    }

    @Override public void sendFetch(int lookup, int node, double giveUpAt, int source, int rank, double maxAge,
                                int how) {
        send(lookup, node, source, giveUpAt, rank, maxAge, how);
    }

    @Override public void cancelHop(int lookup, int hop) {
        Lookup l = lookups[lookup];
        Hop h = l == null ? null : l.hop(hop);
        if (h == null || h.ended) return;
        if (h.connection != null) h.connection.abandon(h);
        endHop(h, h.writeFuture == null ? Director.NOT_SENT : Director.CANCELLED);
    }

    @Override public void reject(int lookup, double comeBackAfter) {
        Lookup l = lookups[lookup];
        if (answerOwed(l)) {
            counters.rejected++;
            l.client.sendRejection(comeBackAfter);
            over(l);
        }
    }

    @Override public void fail(int lookup) {
        Lookup l = lookups[lookup];
        if (answerOwed(l)) {
            counters.failed++;
            l.client.sendFailure();
            over(l);
        }
    }

    private boolean answerOwed(Lookup l) {
        boolean owed = l != null && !isOver(l);
        counters.checkInvariant(owed, "one final answer for each lookup");
        return owed;
    }

    @Override public void probe(int node) {
        NodeConnection.probe(this, nodes.get(node));
    }

    @Override public void setTimer(double at, long name) {
        timers.set(new Timers.Timer() {
            @Override void fire() {
                processBatch(to -> to.timerFired(name));
            }
        }, at);
    }

    /** Discovery is followed from the start to the end. */
    @Override public void watchNodeList(boolean on) { }

    @Override public void log(String text) {
        LOG.info("{}", text);
    }
}
