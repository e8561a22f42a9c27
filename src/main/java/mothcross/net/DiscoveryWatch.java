package mothcross.net;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import mothcross.membership.DiscoverySupervisor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the event stream of service discovery.
 *
 * <p>Keeps the number of the last event through its {@link DiscoveryListener} and resumes from that number on each new
 * connection. When a connection is opened and when one is given up is decided by {@link DiscoverySupervisor}; frames
 * are applied by {@link DiscoveryFrames}, from whichever connection they come. All methods except
 * {@link #awaitFirstFrame} run under the dispatcher's lock.
 */
final class DiscoveryWatch {
    static final Logger LOG = LoggerFactory.getLogger(DiscoveryWatch.class);
    /** The protocol page promises a frame at least this often. */
    private static final double FRAME_INTERVAL_MS = 1000;
    /** Connections that may fail without a frame before the start no longer waits for discovery. */
    private static final int MAX_CONNECTIONS_WITHOUT_FRAME = 2;
    /** What all connections together may hold of frames that are not whole yet. */
    private static final long MAX_PARTIAL_FRAME_BYTES =
        DiscoveryFrames.LENGTH_BYTES + DiscoveryFrames.MAX_FRAME_BYTES;

    private final Dispatcher dispatcher;
    private final DiscoveryListener listener;
    private final DiscoveryFrames frames;
    private final DiscoverySupervisor<DiscoveryConnection> supervisor;
    private InetSocketAddress address;
    private boolean stopped;
    private int connectionsWithoutFrame;
    /** Released by the first frame since the start, or once enough connections have failed without one. */
    private final CountDownLatch firstFrame = new CountDownLatch(1);
    private final Timers.Timer timer = new Timers.Timer() {
        @Override void fire() {
            advance();
        }
    };

    DiscoveryWatch(Dispatcher dispatcher, DiscoveryListener listener, InetSocketAddress address) {
        this.dispatcher = dispatcher;
        this.listener = listener;
        this.address = address;
        this.frames = new DiscoveryFrames(dispatcher, listener);
        this.supervisor = new DiscoverySupervisor<>(dispatcher.settings.connectMs);
    }

    /**
     * Waits, without the lock, until discovery has caught this director up on events from before its start: until the
     * first frame, or two connections without one, at most for the time of a connect or a frame interval. Returns
     * false where discovery has not answered; the connections stay, so that it is heard whenever it does.
     */
    boolean awaitFirstFrame() throws InterruptedException {
        long timeoutMs = (long) Math.min(FRAME_INTERVAL_MS, dispatcher.settings.connectMs);
        boolean released = firstFrame.await(timeoutMs, TimeUnit.MILLISECONDS);
        return released && connectionsWithoutFrame < MAX_CONNECTIONS_WITHOUT_FRAME;
    }

    // ---- what the supervisor decides ----

    /** Starts to follow discovery, or goes on with what is due. */
    void advance() {
        if (stopped) return;
        for (DiscoveryConnection surplus : supervisor.takeSurplus(dispatcher.clock())) giveUp(surplus);
        DiscoverySupervisor.Action action;
        while ((action = supervisor.advance(dispatcher.clock())) != DiscoverySupervisor.Action.NOTHING) {
            if (action == DiscoverySupervisor.Action.OPEN) open();
            else reportSilence();
        }
        double nextAt = supervisor.nextAdvanceAt();
        if (nextAt == Double.POSITIVE_INFINITY) dispatcher.timers.cancel(timer);
        else dispatcher.timers.set(timer, nextAt);
    }

    private void open() {
        DiscoveryConnection connection = new DiscoveryConnection(dispatcher, this);
        dispatcher.counters.discoveryConnects++;
        boolean unlimited = supervisor.attempted(connection, dispatcher.clock());
        connection.connect(address, unlimited);
    }

    /** No whole frame has come for too long. All connections are kept; another one follows. */
    private void reportSilence() {
        dispatcher.counters.discoverySilences++;
        List<DiscoveryConnection> kept = supervisor.active();
        reportLost("no frame in time", kept.get(kept.size() - 1));
    }

    private void reportLost(String reason, DiscoveryConnection connection) {
        if (dispatcher.counters.mayWarn()) {
            LOG.info("discovery: {} ({}); reconnecting from event {} in {} ms", reason, connection.describe(),
                listener.lastEvent(), Math.round(supervisor.openDelayMs(dispatcher.clock())));
        }
        if (++connectionsWithoutFrame >= MAX_CONNECTIONS_WITHOUT_FRAME) firstFrame.countDown();
        if (!supervisor.isHeard(dispatcher.clock())) listener.connectionLost(reason);
    }

    private void giveUp(DiscoveryConnection connection) {
        if (!connection.isHeard()) dispatcher.counters.discoveryUnheard++;
        connection.abort();
    }

    // ---- the address ----

    /**
     * Switches to another address of discovery, which continues the same event numbers. The connections to the earlier
     * one are kept until the new one is heard.
     */
    void moveTo(InetSocketAddress newAddress) {
        if (newAddress.equals(address) || stopped) return;
        LOG.info("discovery: moved from {} to {} at event {}", address, newAddress, listener.lastEvent());
        address = newAddress;
        supervisor.addressChanged(dispatcher.clock());
        advance();
    }

    void stop() {
        stopped = true;
        dispatcher.timers.cancel(timer);
        for (DiscoveryConnection connection : supervisor.active()) connection.abort();
    }

    // ---- what its connections report ----

    long lastEvent() {
        return listener.lastEvent();
    }

    /** Whether the connection has neither ended nor been given up. */
    boolean isActive(DiscoveryConnection connection) {
        return !stopped && supervisor.isActive(connection);
    }

    /** The connection is up; false where it is not needed any more. */
    boolean established(DiscoveryConnection connection) {
        supervisor.established(connection, dispatcher.clock());
        if (!isActive(connection)) return false;
        advance();
        return true;
    }

    void attemptFailed(DiscoveryConnection connection) {
        ended(connection, "connect failed");
        released(connection);
    }

    /** The socket of the connection is closed. */
    void released(DiscoveryConnection connection) {
        supervisor.released(connection);
        advance();
    }

    /** The connection can't be used any more; does nothing where it was given up before. */
    void ended(DiscoveryConnection connection, String reason) {
        if (!isActive(connection)) return;
        if (!connection.isHeard()) dispatcher.counters.discoveryUnheard++;
        if (supervisor.ended(connection, dispatcher.clock())) reportLost(reason, connection);
        connection.abort();
        advance();
    }

    void malformedLength(DiscoveryConnection connection, long length) {
        frames.malformed("length " + length);
        ended(connection, "malformed frame");
    }

    /** A whole frame has come: it is applied, and the connections made before this one are given up. */
    void frameReceived(DiscoveryConnection connection, byte[] bytes, int start, int end) {
        DiscoveryFrames.Result result = frames.apply(bytes, start, end, supervisor.isSuperseded(connection));
        switch (result) {
            case MALFORMED -> ended(connection, "malformed frame");
            case STARTED_OVER -> ended(connection, "its event numbers are older than the known list");
            case APPLIED, REPEATED -> heard(connection, result == DiscoveryFrames.Result.APPLIED);
        }
    }

    private void heard(DiscoveryConnection connection, boolean useful) {
        dispatcher.counters.discoveryFrames++;
        connection.countFrame();
        connectionsWithoutFrame = 0;
        firstFrame.countDown();
        List<DiscoveryConnection> earlier = supervisor.frameReceived(connection, useful, dispatcher.clock());
        if (!earlier.isEmpty()) {
            LOG.info("discovery: heard on a connection made {} ms ago; {} made before it are closed",
                Math.round(connection.ageMs()), earlier.size());
        }
        for (DiscoveryConnection each : earlier) giveUp(each);
        advance();
    }

    /** Bounds the memory held for frames that are not whole yet; the connection that is furthest goes on. */
    void partialFrameHeld(DiscoveryConnection connection) {
        List<DiscoveryConnection> all = supervisor.active();
        long held = all.stream().mapToLong(DiscoveryConnection::remaining).sum();
        long most = all.stream().mapToLong(DiscoveryConnection::remaining).max().orElse(0);
        if (held > MAX_PARTIAL_FRAME_BYTES && connection.remaining() < most) ended(connection, "too many bytes held");
    }
}
