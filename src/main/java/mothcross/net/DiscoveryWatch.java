package mothcross.net;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import mothcross.Director;
import mothcross.adapter.DirectorSettings;
import mothcross.membership.ListedNode;
import mothcross.membership.MembershipSnapshot;
import mothcross.membership.Purge;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.pcollections.HashTreePMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * News of the list and of purges: what is known at the start, then the frames of discovery. Owns the
 * number of the last event and the connection that brings the next; an end, a silence or a frame that can't
 * be used makes it connect anew from that number, each time a little later until frames come again. Must
 * never apply an event twice, skip one, or judge what an event means.
 */
final class DiscoveryWatch {
    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryWatch.class);
    private static final double SILENCE_MS = 2000, FIRST_WAIT_MS = 50, LONGEST_WAIT_MS = 500;
    /** The protocol page's: a frame at least that often. */
    private static final double FRAME_EVERY_MS = 1000;
    private static final int LONGEST_FRAME = 4 << 20, RECORD = 27, TRIES_TO_SPEAK = 2;

    private final Dispatcher desk;
    private final DiscoveryListener news;
    private InetSocketAddress address;
    private FeedConnection feed;
    private double waitMs = FIRST_WAIT_MS;
    private boolean stopped;
    private int failedToSpeak;
    /** Down once it has brought a frame since the start, or can't: what is known may be older than what was told. */
    private final CountDownLatch spoken = new CountDownLatch(1);

    DiscoveryWatch(Dispatcher desk, DiscoveryListener news, InetSocketAddress address) {
        this.desk = desk;
        this.news = news;
        this.address = address;
    }

    // ---- what is known at the start ----

    /** One entry of the list as the told file has it; {@code phase} is checked here, places and kinds by name. */
    private record KnownNode(String id, InetSocketAddress at, String place, String kind, int cell, int standing,
                          double units, double started) {
        static KnownNode of(JsonObject n) {
            String id = n.get("id").getAsString();
            int standing = DirectorSettings.parseNodeStatus(n.get("phase").getAsString());
            if (standing < 0) throw new IllegalArgumentException("phase of " + id);
            return new KnownNode(id, parseAddress(n.get("host_port").getAsString()), n.get("locality").getAsString(),
                n.get("flavor").getAsString(), n.get("cell").getAsInt(), standing, n.get("size").getAsDouble(),
                n.get("up_since_ms").getAsDouble());
        }
    }

    /** {@code {"no":LAST,"items":[...]}}: the list as it stands after all items, without what is gone. */
    private static List<KnownNode> members(JsonArray items) {
        Map<String, JsonObject> list = new LinkedHashMap<>();
        for (JsonElement e : items) {
            JsonObject roster = e.getAsJsonObject().getAsJsonObject("roster");
            if (roster == null) continue;
            if (roster.get("complete").getAsBoolean()) list.clear();
            for (JsonElement m : roster.getAsJsonArray("members")) {
                JsonObject node = m.getAsJsonObject();
                list.put(node.get("id").getAsString(), node);
            }
        }
        list.values().removeIf(n -> n.get("phase").getAsString().equals("terminated"));
        return list.values().stream().map(KnownNode::of).toList();
    }

    private static List<Purge> purges(JsonArray items) {
        List<Purge> all = new ArrayList<>();
        for (JsonElement e : items) {
            JsonObject recall = e.getAsJsonObject().getAsJsonObject("recall");
            if (recall == null) continue;
            JsonElement item = recall.get("item"), lot = recall.get("lot");
            long object = item == null ? -1 : Long.parseUnsignedLong(item.getAsString(), 16) & Long.MAX_VALUE;
            all.add(new Purge(object, lot == null ? -1 : lot.getAsInt(), recall.get("issued").getAsDouble()));
        }
        return all;
    }

    /** The told file's list and purges go to the module as they stand; all is read before it hears of any. */
    void start(JsonObject known) {
        JsonArray items = known.getAsJsonArray("items");
        List<KnownNode> members = members(items);
        List<Purge> purges = purges(items);
        long last = known.get("no").getAsLong();
        desk.processBatch(to -> {
            news.listStarted(to, last, Director.LIST_RESTORED);
            for (KnownNode m : members) {
                news.nodeListed(to, m.id, m.at, desk.settings.zones.indexOf(m.place), desk.settings.kinds.indexOf(m.kind),
                    m.cell, m.standing, m.units, m.started);
            }
            news.listFinished(to);
            for (Purge p : purges) news.purged(to, last, p.object(), p.group(), p.at());
        });
    }

    /** The same as a list that was kept when the file was written. */
    static MembershipSnapshot toSnapshot(JsonObject known, String fleet, String director, double writtenAt) {
        JsonArray items = known.getAsJsonArray("items");
        Map<String, ListedNode> entries = new LinkedHashMap<>();
        for (KnownNode m : members(items)) {
            entries.put(m.id, new ListedNode(m.id, m.at.getHostString(), m.at.getPort(), m.place, m.kind, m.cell,
                m.standing, m.units, m.started, writtenAt, 0, true));
        }
        return new MembershipSnapshot(fleet, director, writtenAt, known.get("no").getAsLong(), writtenAt,
            HashTreePMap.from(entries), purges(items));
    }

    static InetSocketAddress parseAddress(String hostPort) {
        int colon = hostPort.lastIndexOf(':');
        int port = Integer.parseInt(hostPort.substring(colon + 1));
        return new InetSocketAddress(hostPort.substring(0, colon), port);
    }

    // ---- following it ----

    /**
     * Waits, without the lock, until what was told before the start is known: until its first frame, two connections
     * that brought none, or as long as one may take to come up or a frame to follow. False where it has not spoken.
     */
    boolean awaitFirstFrame() throws InterruptedException {
        long most = (long) Math.min(FRAME_EVERY_MS, desk.settings.connectMs);
        boolean in = spoken.await(most, TimeUnit.MILLISECONDS);
        return in && failedToSpeak < TRIES_TO_SPEAK;
    }

    void connect() {
        if (stopped || feed != null) return;
        feed = new FeedConnection();
        feed.connect();
    }

    /** Told of another address: the old one tells nothing more, the numbers go on. */
    void moveTo(InetSocketAddress to) {
        if (to.equals(address) || stopped) return;
        LOG.info("discovery: moved from {} to {} at event {}", address, to, news.lastEvent());
        address = to;
        waitMs = FIRST_WAIT_MS;
        FeedConnection old = feed;
        feed = null;                                    // so that its end is no reason to connect again
        if (old != null) old.leave();
        connect();
    }

    void stop() {
        stopped = true;
        if (feed != null) feed.abort();
    }

    private void again(String why) {
        if (stopped) return;
        if (desk.counters.mayWarn()) {
            LOG.info("discovery: {}; connecting again from event {} in {} ms", why, news.lastEvent(), (long) waitMs);
        }
        feed = null;
        news.connectionLost(why);
        if (++failedToSpeak >= TRIES_TO_SPEAK) spoken.countDown();
        desk.timers.set(new Timers.Timer() {
            @Override void fire() {
                connect();
            }
        }, desk.clock() + waitMs);
        waitMs = Math.min(LONGEST_WAIT_MS, 2 * waitMs);
    }

    private final class FeedConnection extends Connection {
        private ConnectFuture connecting;
        private double wholeAt;                         // when its last whole frame came, or it came up
        private boolean up;

        FeedConnection() {
            super(DiscoveryWatch.this.desk);
        }

        void connect() {
            wholeAt = dispatcher.clock();
            connecting = dispatcher.connector.connect(address, (session, future) -> bindSession(session));
            connecting.addListener(f -> {
                if (connecting.getException() == null && !connecting.isCanceled()) return;
                dispatcher.runLocked(() -> end("can't be reached"));
            });
            watch();
        }

        /**
         * One timer for the whole life of the connection: it looks whether a frame came lately. Bytes are no news: half
         * a frame that trickles would keep a watch that tells nothing.
         */
        private void watch() {
            dispatcher.timers.set(new Timers.Timer() {
                @Override void fire() {
                    if (feed != FeedConnection.this) return;
                    if (dispatcher.clock() < wholeAt + patience()) {
                        watch();
                        return;
                    }
                    end(up ? "silent" : "does not come up");
                    connecting.cancel();
                }
            }, wholeAt + patience());
        }

        private double patience() {
            return up ? SILENCE_MS : dispatcher.settings.connectMs;
        }

        void leave() {
            connecting.cancel();
            abort();
        }

        private void end(String why) {
            if (feed != this) return;
            abort();
            again(why);
        }

        @Override void opened() {
            if (feed != this) {
                abort();
                return;
            }
            up = true;
            wholeAt = dispatcher.clock();
            session.write(IoBuffer.allocate(8).putLong(news.lastEvent()).flip());
        }

        @Override void closed() {
            end("ended");
        }

        @Override void received() {
            if (feed != this) return;
            while (remaining() >= 4) {
                long length = big(from, 4);
                if (length < 9 || length > LONGEST_FRAME) {
                    malformed("length " + length);
                    return;
                }
                if (remaining() < 4 + length) return;
                int at = from + 4, end = at + (int) length;
                if (!frame(big(at, 8), bytes[at + 8], at + 9, end)) return;
                failedToSpeak = 0;
                spoken.countDown();
                wholeAt = dispatcher.clock();
                from = end;
            }
        }

        private boolean frame(long number, int kind, int at, int end) {
            int size = end - at;
            if (kind == 0) {
                waitMs = FIRST_WAIT_MS;
                if (size != 0) return malformed("an empty frame that is not empty");
                boolean[] anew = new boolean[1];
                dispatcher.processBatch(to -> anew[0] = news.heartbeat(to, number));
                if (anew[0]) end("older than what is known");
                // Nothing new after an event that never came: it was lost on the way, and is asked for again.
                else if (number > news.lastEvent()) return malformed("nothing new after event " + number + ", known "
                    + news.lastEvent());
                return !anew[0];
            }
            long last = news.lastEvent();
            boolean whole = kind == 1 && news.acceptsRepeated(true), again = number <= last;
            if (again && !whole && !news.acceptsRepeated(false)) return true;     // had it already
            boolean fits = switch (kind) {
                case 1, 2 -> size % RECORD == 0;
                case 3 -> size == 16;
                case 4 -> size == 10;
                default -> false;
            };
            if (!fits) return malformed("kind " + kind + " of " + size + " bytes");
            if (number > last + 1 && !whole) return malformed("event " + number + " after " + last);
            if (kind <= 2) {
                for (int r = at; r < end; r += RECORD) {
                    int state = bytes[r + 10];
                    if (state < 0 || state > Director.REMOVED) return malformed("state " + state);
                }
            }
            dispatcher.processBatch(to -> {
                if (kind == 3) news.purged(to, number, big(at, 8) & Long.MAX_VALUE, -1, big(at + 8, 8));
                else if (kind == 4) news.purged(to, number, -1, (int) big(at, 2), big(at + 2, 8));
                else list(to, number, kind, at, end);
            });
            waitMs = FIRST_WAIT_MS;
            return true;
        }

        private void list(Director to, long number, int kind, int at, int end) {
            if (!news.listStarted(to, number, kind == 1 ? Director.LIST_SNAPSHOT : Director.LIST_DELTA)) return;
            for (int r = at; r < end; r += RECORD) {
                InetSocketAddress socket;
                try {
                    byte[] address = Arrays.copyOfRange(bytes, r + 4, r + 8);
                    socket = new InetSocketAddress(InetAddress.getByAddress(address), (int) big(r + 8, 2));
                } catch (UnknownHostException e) {
                    throw new IllegalStateException(e);  // four bytes are always an address
                }
                news.nodeListed(to, String.format("s-%08x", big(r, 4)), socket, bytes[r + 11], bytes[r + 12],
                    (int) big(r + 13, 2), bytes[r + 10], big(r + 15, 4) / 1000.0, big(r + 19, 8));
            }
            news.listFinished(to);
        }

        private long big(int at, int size) {
            long n = 0;
            for (int i = 0; i < size; i++) n = n << 8 | bytes[at + i] & 0xff;
            return n;
        }

        private boolean malformed(String what) {
            dispatcher.counters.badFrame++;
            if (dispatcher.counters.mayWarn()) LOG.warn("discovery sent what is no frame ({})", what);
            end("can't be used");
            return false;
        }
    }
}
