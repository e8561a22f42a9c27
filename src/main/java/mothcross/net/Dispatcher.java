package mothcross.net;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
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
 * Connects client connections, node connections, discovery and timers to the decision module. Incoming events
 * become calls on the {@link Director}; what the director writes becomes hops and answers.
 *
 * <p>Everything here runs under {@link #lock}, and the director is never called while it is processing a batch:
 * a hop that completes meanwhile is queued, and delivered before the lock is released. The dispatcher makes no
 * routing decisions, sends only what the director wrote, and answers each lookup once.
 */
final class Dispatcher implements DecisionWriter {
    private static final Logger LOG = LoggerFactory.getLogger(Dispatcher.class);
    /** How long after a lookup's deadline it is failed here, if the director has not answered it. */
    private static final double FALLBACK_DELAY_MS = 20;
    private static final int INITIAL_LOOKUPS = 64;
    /** Enough for the head of a usual request. */
    private static final int MIN_UNREAD_SHARE_BYTES = 2048;

    final ReentrantLock lock = new ReentrantLock();
    final Counters counters = new Counters();
    final Timers timers;
    final RequestTurns turns;
    final DirectorSettings settings;
    final IoConnector connector;
    private final Director director;
    private final LookupIndexAllocator lookupIndices = new LookupIndexAllocator();
    private final int maxHops;
    private Lookup[] lookups = new Lookup[INITIAL_LOOKUPS];
    /** Open lookups by the client's request id; a second lookup with the id of an open one is refused. */
    private final Map<Long, Lookup> openLookups = new HashMap<>();
    private final RecentRequests recentRequests = new RecentRequests();
    final Nodes nodes = new Nodes();
    final AnswerTimes answerTimes;
    /** Null if the operators have configured no routes. */
    ActiveRoutes activeRoutes;
    /** Null if the policy in force comes from this director's own settings alone. */
    ServingPermit servingPermit;
    /** Whether answers name the plan that decided them; for tests only. */
    boolean exposePlan;
    /** Null if nothing observes hops. */
    private HopObserver hopObserver;
    final DescriptorBudget descriptors = new DescriptorBudget();
    final NodeConnections nodeConnections = new NodeConnections(descriptors, counters);
    /** Completed hops that the director has not been told of; empty whenever the lock is free. */
    private final ArrayDeque<Hop> completedHops = new ArrayDeque<>();
    /** Clients whose next pipelined request can be read; empty whenever the lock is free. */
    private final ArrayDeque<ClientConnection> resumableClients = new ArrayDeque<>();
    /** In the order of arrival; bounded by the descriptors that the director is given. */
    final LinkedHashSet<ClientConnection> clients = new LinkedHashSet<>();
    private int maxClients;
    /** What clients have sent and nobody has processed yet, and the bodies of open lookups. */
    final MemoryBudget unreadMemory = new MemoryBudget();
    /** Answers of nodes that are being received. */
    final MemoryBudget answerMemory = new MemoryBudget();
    /** Bounds what all clients have left unread of their answers. */
    private long maxWriteBacklogBytes;
    /** The process has been asked to stop: every answer closes its connection. */
    boolean draining;
    private boolean directorRunning;
    private boolean sendingStopped;
    private double now;
    volatile boolean ready;

    Dispatcher(DirectorSettings settings, IoConnector connector, int maxHops) {
        this.settings = settings;
        this.connector = connector;
        this.director = settings.director;
        this.maxHops = maxHops;
        this.timers = new Timers(this);
        this.turns = new RequestTurns(this);
        this.answerTimes = new AnswerTimes(settings.workloadTable.length);
    }

    /** Sets the limits that follow from the process's descriptors and memory. */
    void setLimits(int sockets, double memoryMb) {
        descriptors.setLimit(sockets);
        maxClients = descriptors.maxServedClients();
        long memory = (long) Math.min(memoryMb * (1 << 20), Runtime.getRuntime().maxMemory());
        unreadMemory.setLimit(memory / 8);
        answerMemory.setLimit(memory * 3 / 8);
        maxWriteBacklogBytes = memory / 8;
    }

    // ---- lock and clock ----

    void enter() {
        lock.lock();
    }

    /** Processes completed hops, then releases the lock. */
    void leave() {
        try {
            if (lock.getHoldCount() == 1) processCompletedHops();
        } catch (RuntimeException | AssertionError e) {
            recordInternalError(e);                     // the calling thread, which may serve all sockets, goes on
        } finally {
            lock.unlock();
        }
    }

    void runLocked(Runnable action) {
        enter();
        try {
            action.run();
        } finally {
            leave();
        }
    }

    /** Unix time in ms; unlike the system clock it never runs backwards. */
    double clock() {
        Instant systemTime = Instant.now();
        double time = Math.max(now, systemTime.getEpochSecond() * 1e3 + systemTime.getNano() / 1e6);
        now = time;
        return time;
    }

    /** Has the director process a batch of events; must not be called while it is processing another. */
    void processBatch(EventBatch batch) {
        counters.checkInvariant(lock.isHeldByCurrentThread() && !directorRunning,
            "the director is called by one thread at a time and not from within a call");
        directorRunning = true;
        try {
            director.process(clock(), batch, this);
        } catch (RuntimeException | AssertionError e) {
            recordInternalError(e);
        } finally {
            directorRunning = false;
        }
    }

    private void processCompletedHops() {
        while (true) {
            if (!completedHops.isEmpty()) processBatch(this::deliverCompletedHops);
            else if (!resumableClients.isEmpty()) resumableClients.poll().resume();
            else if (sendingStopped || !nodeConnections.openWaiting() && completedHops.isEmpty()) return;
        }
    }

    void recordInternalError(Throwable error) {
        counters.faults++;
        LOG.error("internal error; open lookups are answered at their deadlines", error);
    }

    // ---- lookups ----

    /** Whether this director is sufficiently sure that its policy is current to decide new lookups. */
    boolean mayStart() {
        return servingPermit == null || servingPermit.mayStart();
    }

    /** Returns false if a lookup with this id is already open, or may have run a short time ago. */
    boolean startLookup(Lookup lookup, int workload, int part, double sizeKb, boolean repeat,
                        RouteConstraints constraints) {
        if (recentRequests.contains(lookup.id, now)) {
            counters.repeatedIds++;
            return false;
        }
        if (openLookups.putIfAbsent(lookup.id, lookup) != null) return false;
        counters.lookups++;
        unreadMemory.add(lookup.body.length);
        int index = lookupIndices.allocate();
        lookup.index = index;
        lookup.workload = workload;
        if (index >= lookups.length) lookups = Arrays.copyOf(lookups, 2 * lookups.length);
        lookups[index] = lookup;
        timers.set(lookup, lookup.expiresAt + FALLBACK_DELAY_MS);
        processBatch(to -> to.lookup(index, workload, lookup.expiresAt, lookup.object, part, lookup.group, sizeKb,
            repeat, false, constraints));
        return true;
    }

    int openLookupCount() {
        return openLookups.size();
    }

    int maxHops() {
        return maxHops;
    }

    private boolean isOver(Lookup lookup) {
        return openLookups.get(lookup.id) != lookup;
    }

    private void finish(Lookup lookup) {
        end(lookup);
        releaseIndex(lookup);
    }

    /** No client waits any more: hops not yet written are not sent, even where cancellation is switched off. */
    private void end(Lookup lookup) {
        timers.cancel(lookup);
        openLookups.remove(lookup.id, lookup);
        lookupIndices.markOver(lookup.index);
        unreadMemory.add(-lookup.body.length);
        for (int i = 0; i < lookup.hopCount(); i++) {
            Hop hop = lookup.hop(i);
            if (hop.ended || hop.writeFuture != null) continue;
            if (hop.connection != null) hop.connection.abandon(hop);
            endHop(hop, Director.NOT_SENT);
        }
        if (mayHaveRun(lookup)) recentRequests.add(lookup.id, now);
    }

    private static boolean mayHaveRun(Lookup lookup) {
        for (int i = 0; i < lookup.hopCount(); i++) {
            if (mayHaveRun(lookup.hop(i))) return true;
        }
        return false;
    }

    private static boolean mayHaveRun(Hop hop) {
        return hop.writeFuture != null && !(hop.ended && neverExecuted(hop.outcome));
    }

    private void releaseIndex(Lookup lookup) {
        if (lookupIndices.release(lookup.index)) lookups[lookup.index] = null;
    }

    void clientDisconnected(Lookup lookup) {
        if (isOver(lookup)) return;
        counters.cancelled++;
        end(lookup);
        processBatch(to -> to.clientDisconnected(lookup.index));
        releaseIndex(lookup);
    }

    /** Fails a lookup that the director has left unanswered; happens only after an internal error. */
    void lookupTimedOut(Lookup lookup) {
        if (isOver(lookup)) return;
        counters.unanswered++;
        LOG.error("the director has not answered a lookup by its deadline");
        lookup.client.sendFailure();
        finish(lookup);
        timeOutHops(lookup);
    }

    // ---- clients ----

    /**
     * Adds a client. If descriptors run short, one client is evicted, in the order of
     * {@link ClientConnection.EvictionPriority}: one that is closing anyway, then one that has sent no valid
     * request for long, then the one idle for longest, which may ask again on another connection, then the oldest
     * that has not asked yet. A client that is owed an answer is never evicted: where all are, the new one goes.
     */
    void admit(ClientConnection newClient) {
        clients.add(newClient);
        if (clients.size() <= maxClients) return;
        counters.evicted++;
        ClientConnection evicted = newClient;
        ClientConnection.EvictionPriority lowest = ClientConnection.EvictionPriority.NEWEST;
        for (ClientConnection client : clients) {
            ClientConnection.EvictionPriority priority =
                client == newClient ? ClientConnection.EvictionPriority.NEWEST : client.evictionPriority();
            boolean idleLonger = priority == lowest && priority == ClientConnection.EvictionPriority.IDLE
                && client.idleMs() > evicted.idleMs();
            if (priority.compareTo(lowest) >= 0 && !idleLonger) continue;
            lowest = priority;
            evicted = client;
            if (priority == ClientConnection.EvictionPriority.CLOSING) break;
        }
        if (lowest == ClientConnection.EvictionPriority.IDLE) {
            evicted.closeIfStillIdle();
            return;
        }
        clients.remove(evicted);
        evicted.close();
    }

    /**
     * Whether descriptors are getting short. Answers then ask clients to reconnect for their next request, so that
     * no connection has to be closed on which a request may be arriving.
     */
    boolean underDescriptorPressure() {
        return clients.size() > maxClients * 3 / 4;
    }

    void clientClosed(ClientConnection client) {
        clients.remove(client);
    }

    int clientCount() {
        return clients.size();
    }

    /** How much one client may have sent that is not processed yet; its equal share once all together are too much. */
    int maxUnreadBytes() {
        if (!unreadMemory.exceeded()) return Integer.MAX_VALUE;
        return (int) Math.max(MIN_UNREAD_SHARE_BYTES, unreadMemory.limitBytes() / maxClients);
    }

    /** Whether a new lookup with a body of this size is refused, so that those that are open get their answers. */
    boolean memoryIsShort(long bodyLength) {
        return answerMemory.usedBytes() > answerMemory.limitBytes() * 3 / 4
            || bodyLength > 0 && unreadMemory.exceeded();
    }

    /**
     * Closes the clients with nothing open, once the process is stopping and no more can connect; the others are
     * closed after their answer.
     */
    void closeIdleClients() {
        for (ClientConnection client : new ArrayList<>(clients)) client.closeIfAtRest();
    }

    long writeBacklogBytes() {
        long sum = 0;
        for (ClientConnection client : clients) sum += client.session.getScheduledWriteBytes();
        return sum;
    }

    /** Bounds the memory that slow readers hold: past the limit, the one with the largest backlog is closed. */
    void enforceWriteBacklogLimit(ClientConnection writer) {
        // The backlogs are summed only if this client's share is exceeded, that is if it has left more than one
        // answer unread; most clients never do.
        if (writer.session.getScheduledWriteBytes() <= maxWriteBacklogBytes / maxClients) return;
        if (writeBacklogBytes() <= maxWriteBacklogBytes) return;
        counters.slowReaders++;
        ClientConnection slowest = writer;
        for (ClientConnection client : clients) {
            if (client.session.getScheduledWriteBytes() > slowest.session.getScheduledWriteBytes()) slowest = client;
        }
        slowest.abort();
    }

    // ---- hops ----

    private void send(int lookupIndex, int node, int source, double giveUpAt, int rank, double maxAge,
                      int fetchOptions) {
        Lookup lookup = lookups[lookupIndex];
        if (lookup == null || isOver(lookup) || lookup.hopLimitReached()) {
            counters.checkInvariant(false, "hops are sent only for open lookups, within the limit per lookup");
            return;
        }
        Hop hop = new Hop(lookup, lookupIndices.hopSent(lookupIndex), nodes.get(node), nodes.get(source), rank, maxAge,
            fetchOptions, now, giveUpAt > 0 ? Math.min(giveUpAt, lookup.expiresAt) : lookup.expiresAt);
        lookup.add(hop);
        counters.hops++;
        hop.node.activeHops++;
        hop.source.activeHops++;
        if (sendingStopped || now >= hop.deadline) {
            endHop(hop, sendingStopped ? Director.NOT_SENT : Director.TIMED_OUT);
            return;
        }
        timers.set(hop, hop.deadline);
        NodeConnection.send(this, hop);
    }

    /**
     * Called right before a hop's first byte is written. Guards against what may have changed while the hop waited
     * for its connection: the lookup is over, or the origin may no longer drop the request as a duplicate of an
     * earlier hop.
     */
    boolean mayBeSent(Hop hop) {
        Lookup lookup = hop.lookup;
        boolean open = !isOver(lookup);
        counters.checkInvariant(open, "nothing is sent for a lookup that is over");
        if (!open) return false;
        Workload workload = settings.workloadTable[lookup.workload];
        if (workload.effect() != Workload.Effect.DEDUPLICATED) return true;
        double time = clock();
        for (int i = 0; i < hop.number; i++) {
            Hop earlier = lookup.hop(i);
            if (mayHaveRun(earlier) && time >= earlier.writtenAt + workload.deduplicationWindowMs()) return false;
        }
        return true;
    }

    /** Whether the protocol guarantees, for this outcome, that the request was not executed. */
    private static boolean neverExecuted(int outcome) {
        return outcome == Director.REJECTED || outcome == Director.CONNECT_FAILED || outcome == Director.NOT_SENT
            || outcome == Director.MISS;
    }

    void hopTimedOut(Hop hop) {
        NodeConnection connection = hop.connection;
        boolean unresponsive = connection != null && connection.abandon(hop);
        endHop(hop, Director.TIMED_OUT);
        if (unresponsive) connection.retire();
    }

    /** Records the outcome of a hop; the director is told when it is not processing a batch. */
    void endHop(Hop hop, int outcome) {
        if (hop.ended) return;
        hop.ended = true;
        hop.outcome = outcome;
        hop.connection = null;
        timers.cancel(hop);
        hop.node.activeHops--;
        hop.source.activeHops--;
        counters.outcomes[outcome]++;
        completedHops.add(hop);
    }

    private void deliverCompletedHops(Director to) {
        for (Hop hop; (hop = completedHops.poll()) != null;) {
            Lookup lookup = hop.lookup;
            if (hop.outcome == Director.SUCCEEDED && !isOver(lookup)) {
                counters.succeeded++;
                if (hop.notModified) counters.unchanged++;
                lookup.client.sendSuccess(hop);
                end(lookup);
            }
            if (hop.answer != null) hop.answer.release();
            hop.answer = null;
            boolean last = isOver(lookup);
            boolean known = lookupIndices.hopEnded(lookup.index, hop.number);
            counters.checkInvariant(known, "a hop ends once");
            if (known) {
                to.hopEnded(lookup.index, hop.number, hop.node.index, hop.outcome, last, hop.note, now - hop.sentAt,
                    hop.sourceWait, hop.report);
            }
            if (hopObserver != null) hopObserver.hopEnded(hop);
            releaseIndex(lookup);
        }
        if (hopObserver != null) hopObserver.roundFinished(to);
    }

    // ---- node list and purges, called while the director is processing a batch ----

    void listStarted(Director to, int news) {
        nodes.listStarted(to, news);
    }

    void nodeListed(Director to, String id, InetSocketAddress address, int zone, int kind, int cell,
                    int status, double units, double startedAt) {
        nodes.nodeListed(to, id, address, zone, kind, cell, status, units, startedAt);
    }

    void listFinished(Director to) {
        nodes.listFinished(to);
        withdrawHops(hop -> !nodes.mayReceive(hop.node) || !nodes.mayReceive(hop.source));
    }

    void setHopObserver(HopObserver observer) {
        hopObserver = observer;
    }

    void purged(Director to, long object, int group, double at) {
        to.purged(object, group, Math.max(0, now - at));
        withdrawHops(hop -> object >= 0 ? hop.lookup.object == object : hop.lookup.group == group);
    }

    /** Returns hops that still wait for a connection to the director, which decides anew with the latest news. */
    private void withdrawHops(Predicate<Hop> affected) {
        nodeConnections.withdraw(affected);
    }

    void probeCompleted(Node node, int outcome, double spentMs, double[] report) {
        counters.probes++;
        if (outcome == Director.SUCCEEDED) counters.probesFit++;
        processBatch(to -> to.probeCompleted(node.index, outcome, spentMs, report));
    }

    // ---- shutdown ----

    /** Sends no further hops and probes; hops that are open go on. */
    void refuseSends() {
        sendingStopped = true;
    }

    /** Sends no further hops: open hops end as not sent or timed out, so that their lookups are answered. */
    void stopSending() {
        refuseSends();
        for (Lookup lookup : new ArrayList<>(openLookups.values())) timeOutHops(lookup);
    }

    private void timeOutHops(Lookup lookup) {
        for (int i = 0; i < lookup.hopCount(); i++) {
            if (!lookup.hop(i).ended) hopTimedOut(lookup.hop(i));
        }
    }

    void resumeLater(ClientConnection client) {
        resumableClients.add(client);
    }

    // ---- decisions written by the director ----

    @Override public void sendCacheOnly(int lookup, int node, double giveUpAt) {
        send(lookup, node, node, giveUpAt, 0, 0, 0);
    }

    @Override public void sendFetch(int lookup, int node, double giveUpAt, int source, int rank, double maxAge,
                                int fetchOptions) {
        send(lookup, node, source, giveUpAt, rank, maxAge, fetchOptions);
    }

    @Override public void cancelHop(int lookupIndex, int hopNumber) {
        Lookup lookup = lookups[lookupIndex];
        Hop hop = lookup == null ? null : lookup.hop(hopNumber);
        if (hop == null || hop.ended) return;
        if (hop.connection != null) hop.connection.abandon(hop);
        endHop(hop, hop.writeFuture == null ? Director.NOT_SENT : Director.CANCELLED);
    }

    @Override public void reject(int lookupIndex, double retryAfterMs) {
        Lookup lookup = lookups[lookupIndex];
        if (answerOwed(lookup)) {
            counters.rejected++;
            lookup.client.sendRejection(retryAfterMs);
            finish(lookup);
        }
    }

    @Override public void fail(int lookupIndex) {
        Lookup lookup = lookups[lookupIndex];
        if (answerOwed(lookup)) {
            counters.failed++;
            lookup.client.sendFailure();
            finish(lookup);
        }
    }

    private boolean answerOwed(Lookup lookup) {
        boolean owed = lookup != null && !isOver(lookup);
        counters.checkInvariant(owed, "a lookup gets one final answer");
        return owed;
    }

    @Override public void probe(int node) {
        if (!sendingStopped) NodeConnection.probe(this, nodes.get(node));
    }

    @Override public void setTimer(double at, long name) {
        timers.set(new Timers.Timer() {
            @Override void fire() {
                processBatch(to -> to.timerFired(name));
            }
        }, at);
    }

    /** Ignored: discovery is followed for as long as the process runs. */
    @Override public void watchNodeList(boolean on) { }

    @Override public void log(String text) {
        LOG.info("{}", text);
    }
}
