package mothcross.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Decides when a further connection to discovery is opened, and which of several are given up. Reads no clock and
 * opens no socket: time and events are passed in, and the caller carries out what is returned.
 *
 * <p>A connection is never given up for being silent, since discovery may need any time for its first frame, for the
 * next one or for a long list, and would need the same time again on the next connection. Silence only opens a
 * successor beside it, as soon as a whole frame is overdue. A connection is given up once a later one has brought a
 * whole frame.
 *
 * <table>
 * <caption>States of a connection, and what moves it</caption>
 * <tr><th>state</th><th>event</th><th>next state</th><th>effect</th></tr>
 * <tr><td>CONNECTING</td><td>up</td><td>UNHEARD</td><td></td></tr>
 * <tr><td>CONNECTING, UNHEARD, HEARD</td><td>whole frame</td><td>HEARD</td><td>earlier ones are given up; a successor
 * that was due is not opened</td></tr>
 * <tr><td>any</td><td>ended</td><td>(removed)</td><td>a successor is due after a delay, unless a later connection is
 * under way and this one was never heard</td></tr>
 * <tr><td>any</td><td>discovery has another address</td><td>the same, superseded</td><td>a successor is due
 * now</td></tr>
 * <tr><td>all of the current address</td><td>silent for too long</td><td>the same</td><td>a successor is due after a
 * delay</td></tr>
 * </table>
 *
 * <p>A superseded connection, that is one to an earlier address, is kept until a later one is heard, but its frames
 * say nothing about whether the current address answers.
 *
 * <p>Sockets are bounded by {@link #MAX_SOCKETS}. At the bound a connection in the middle is given up for the next
 * one: never the earliest to the current address, the latest, or the one heard last. Which one is chosen so that the
 * ages of the rest stay spaced by about the same factor, so that some connection reaches every age.
 *
 * @param <C> a connection; compared by identity
 */
public final class DiscoverySupervisor<C> {
    /** What is to be done now. */
    public enum Action {
        NOTHING,
        /** No whole frame has come in time: to be reported; a successor follows. */
        REPORT_SILENCE,
        /** A further connection is to be opened. */
        OPEN
    }

    private enum State { CONNECTING, UNHEARD, HEARD }

    /** How long discovery may bring no whole frame before a successor is opened; heartbeats come every second. */
    public static final double FRAME_TIMEOUT_MS = 2000;
    static final double MIN_RECONNECT_DELAY_MS = 50;
    static final double MAX_RECONNECT_DELAY_MS = 500;
    /** Sockets in use at a time, also those given up whose descriptors are not released yet. */
    static final int MAX_SOCKETS = 8;
    /** Attempts at a time that may take as long as the system allows: they can't be ended before. */
    private static final int MAX_UNLIMITED_ATTEMPTS = MAX_SOCKETS / 2;

    private final class Feed {
        final C connection;
        final double openedAt;
        State state = State.CONNECTING;
        boolean superseded;
        /** When the attempt was made, the connection came up, or its last whole frame came. */
        double progressAt;

        Feed(C connection, double now) {
            this.connection = connection;
            openedAt = now;
            progressAt = now;
        }

        double overdueAt() {
            return progressAt + (state == State.CONNECTING ? connectTimeoutMs : FRAME_TIMEOUT_MS);
        }
    }

    private final double connectTimeoutMs;
    /** The connections that have neither ended nor been given up, the earliest first. */
    private final List<Feed> feeds = new ArrayList<>();
    private final Set<C> unreleased = Collections.newSetFromMap(new IdentityHashMap<>());
    private final Set<C> unlimitedAttempts = Collections.newSetFromMap(new IdentityHashMap<>());
    /** When a further connection is due; infinite where none is. The first one is due at once. */
    private double openAt = Double.NEGATIVE_INFINITY;
    private double reconnectDelayMs = MIN_RECONNECT_DELAY_MS;

    /** @param connectTimeoutMs how long a connection may take to come up before a successor is opened */
    public DiscoverySupervisor(double connectTimeoutMs) {
        this.connectTimeoutMs = connectTimeoutMs;
    }

    // ---- what is to be done ----

    /** What is due at {@code now}; to be asked until it is nothing. */
    public Action advance(double now) {
        if (openAt == Double.POSITIVE_INFINITY) {
            if (now < overdueAt()) return Action.NOTHING;
            openLater(now);
            return Action.REPORT_SILENCE;
        }
        if (now < openAt || unreleased.size() >= MAX_SOCKETS) return Action.NOTHING;
        openAt = Double.POSITIVE_INFINITY;
        return Action.OPEN;
    }

    /** When to ask again; infinite where that is after {@link #released}. */
    public double nextAdvanceAt() {
        if (openAt == Double.POSITIVE_INFINITY) return overdueAt();
        boolean socketFree = unreleased.size() < MAX_SOCKETS;
        return socketFree || hasSurplus() ? openAt : Double.POSITIVE_INFINITY;
    }

    /** The delay after which the next connection is opened; meaningful where one is due. */
    public double openDelayMs(double now) {
        return Math.max(0, openAt - now);
    }

    /** The connections to be given up, since a further one is due and there is no socket for it. */
    public List<C> takeSurplus(double now) {
        if (now < openAt || !hasSurplus()) return List.of();
        Feed surplus = mostRedundant(now);
        feeds.remove(surplus);
        return List.of(surplus.connection);
    }

    /** Whether there is no socket left, none is about to be released, and a connection can be given up for one. */
    private boolean hasSurplus() {
        boolean exhausted = unreleased.size() >= MAX_SOCKETS && feeds.size() == unreleased.size();
        return exhausted && mostRedundant(Double.POSITIVE_INFINITY) != null;
    }

    /** Whether the current address of discovery has brought a whole frame that is not overdue. */
    public boolean isHeard(double now) {
        return current().anyMatch(feed -> feed.state == State.HEARD && now < feed.overdueAt());
    }

    /** Whether the connection has neither ended nor been given up. */
    public boolean isActive(C connection) {
        return find(connection) != null;
    }

    /** Whether the connection is to an earlier address of discovery. */
    public boolean isSuperseded(C connection) {
        Feed feed = find(connection);
        return feed == null || feed.superseded;
    }

    /** The connections that have neither ended nor been given up, the earliest first. */
    public List<C> active() {
        return feeds.stream().map(feed -> feed.connection).toList();
    }

    // ---- what has happened ----

    /**
     * An attempt to connect is being made. Returns whether it may take as long as the system allows; else it has to
     * fail soon after the time in which a connection usually comes up.
     */
    public boolean attempted(C connection, double now) {
        boolean unlimited = unlimitedAttempts.size() < MAX_UNLIMITED_ATTEMPTS
            && current().noneMatch(feed -> unlimitedAttempts.contains(feed.connection));
        feeds.add(new Feed(connection, now));
        unreleased.add(connection);
        if (unlimited) unlimitedAttempts.add(connection);
        return unlimited;
    }

    /** The connection is up. */
    public void established(C connection, double now) {
        unlimitedAttempts.remove(connection);
        Feed feed = find(connection);
        if (feed == null) return;
        feed.state = State.UNHEARD;
        feed.progressAt = now;
    }

    /**
     * A whole frame has come. Returns the earlier connections, which are to be given up.
     *
     * @param useful false for a frame that was known already, after which a failure is delayed as before
     */
    public List<C> frameReceived(C connection, boolean useful, double now) {
        Feed feed = find(connection);
        if (feed == null) return List.of();
        feed.state = State.HEARD;
        feed.progressAt = now;
        if (!feed.superseded) {
            openAt = Double.POSITIVE_INFINITY;
            if (useful) reconnectDelayMs = MIN_RECONNECT_DELAY_MS;
        }
        List<Feed> earlier = feeds.subList(0, feeds.indexOf(feed));
        List<C> givenUp = earlier.stream().map(each -> each.connection).toList();
        earlier.clear();
        return givenUp;
    }

    /** The connection has ended or could not be made. Returns whether a successor was scheduled for it. */
    public boolean ended(C connection, double now) {
        Feed feed = find(connection);
        if (feed == null) return false;
        boolean latest = feeds.indexOf(feed) == feeds.size() - 1;
        feeds.remove(feed);
        boolean needsSuccessor = !feed.superseded && (latest || feed.state == State.HEARD);
        if (!needsSuccessor || openAt < Double.POSITIVE_INFINITY) return false;
        openLater(now);
        return true;
    }

    /** The socket of an attempt or a connection is closed; it has ended or been given up before. */
    public void released(C connection) {
        unreleased.remove(connection);
        unlimitedAttempts.remove(connection);
    }

    /** Discovery has another address. */
    public void addressChanged(double now) {
        for (Feed feed : feeds) feed.superseded = true;
        reconnectDelayMs = MIN_RECONNECT_DELAY_MS;
        openAt = now;
    }

    private void openLater(double now) {
        openAt = now + reconnectDelayMs;
        reconnectDelayMs = Math.min(MAX_RECONNECT_DELAY_MS, 2 * reconnectDelayMs);
    }

    /**
     * When the current address is overdue: the one heard last or, where that was attempted since, the latest of the
     * others. Now where there is none.
     */
    private double overdueAt() {
        double heardAt = current().filter(feed -> feed.state == State.HEARD).mapToDouble(feed -> feed.progressAt).max()
            .orElse(Double.NEGATIVE_INFINITY);
        return current().filter(feed -> feed.state == State.HEARD || feed.openedAt > heardAt)
            .mapToDouble(Feed::overdueAt).max().orElse(Double.NEGATIVE_INFINITY);
    }

    /** The connections to the current address. */
    private Stream<Feed> current() {
        return feeds.stream().filter(feed -> !feed.superseded);
    }

    private Feed find(C connection) {
        for (Feed feed : feeds) {
            if (feed.connection == connection) return feed;
        }
        return null;
    }

    /**
     * The established connection whose neighbours are closest in age, relative to its own; null where each is one of
     * those that are never given up. An attempt is not chosen: its socket could not be released soon.
     */
    private Feed mostRedundant(double now) {
        Feed earliest = current().findFirst().orElse(null);
        Feed heardLast = feeds.stream().filter(feed -> feed.state == State.HEARD)
            .reduce((first, second) -> second.progressAt >= first.progressAt ? second : first).orElse(null);
        Feed best = null;
        double smallestGap = Double.POSITIVE_INFINITY;
        for (int i = 0; i < feeds.size() - 1; i++) {
            Feed feed = feeds.get(i);
            if (feed == earliest || feed == heardLast || feed.state == State.CONNECTING) continue;
            double before = i == 0 ? feed.openedAt : feeds.get(i - 1).openedAt;
            double gap = (feeds.get(i + 1).openedAt - before) / Math.max(1, now - feed.openedAt);
            if (gap >= smallestGap) continue;
            smallestGap = gap;
            best = feed;
        }
        return best;
    }
}
