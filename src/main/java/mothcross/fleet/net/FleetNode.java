package mothcross.fleet.net;

import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.PortUnreachableException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.DoubleConsumer;
import java.util.function.UnaryOperator;
import mothcross.fleet.FailureDetectorSettings;
import mothcross.fleet.FleetMember;
import mothcross.fleet.LimitShare;
import mothcross.fleet.MemberHealth;
import mothcross.fleet.MemberRecord;
import mothcross.fleet.Message;
import mothcross.fleet.View;
import mothcross.storage.FileReplacer;
import mothcross.storage.SyncedFileReplacer;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IdleStatus;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioDatagramAcceptor;
import org.apache.mina.transport.socket.nio.NioDatagramConnector;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs a {@link FleetMember} on sockets: datagrams for the protocol, TCP connections of one message each for whole
 * views, large policy messages and operators' requests. One thread drives the member's timers; one lock guards the
 * member, the codec and the sessions. Decides nothing about membership, resolves no names, and does not answer messages
 * that fail to decode.
 */
public final class FleetNode implements FleetMember.MemberListener, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger("mothcross.fleet");
    private static final int MAX_DATAGRAM_SESSIONS = 64;
    private static final int MAX_STREAMS = 64;
    private static final int STREAM_TIMEOUT_MS = 3000;
    private static final int SAVE_INTERVAL_MS = 10_000;
    private static final int DATAGRAM_RECEIVE_BUFFER_BYTES = 1 << 20;
    private static final int READ_BUFFER_BYTES = 65_536;
    private static final int MAX_LOGGED_MEMBERS = 64;
    private static final int LENGTH_BYTES = 4;
    private static final int RELAY_HEADER_BYTES = 6;
    private static final double MAX_WAIT_MS = 100;
    private static final double MIN_WAIT_MS = 0.5;
    private static final String POLICY_REQUEST = "policy ";
    private static final String EXPLAIN_REQUEST = "explain ";
    /** Session attribute: the destination of a datagram session. */
    private static final String DESTINATION = "to";
    /** Session attribute: the bytes received so far on a stream. */
    private static final String RECEIVED = "got";

    /** The policy component, which shares this transport: receives its messages and the operators' requests to it. */
    public interface MessageHandler {
        void onMessage(String from, byte[] body);

        void onConnectionRefused(String host, int port);

        String onAdminRequest(String what, byte[] body);
    }

    /** What is kept for the next start. */
    private record SavedState(long incarnation, List<String> addresses) { }

    private final String fleet;
    private final String name;
    private volatile MessageHandler handler;
    private volatile List<String> memberNames = List.of();
    private final FleetMessageCodec codec;
    private final FleetStateFile stateFile;
    /** Writes the state file; one at a time, the latest state next. */
    private final ExecutorService disk = Executors.newSingleThreadExecutor(task -> {
        Thread diskThread = new Thread(task, "fleet-disk");
        diskThread.setDaemon(true);
        return diskThread;
    });
    private final AtomicReference<SavedState> stateToWrite = new AtomicReference<>();
    private final FleetMember member;
    private final LimitShare limitShare;
    private final DoubleConsumer onShareChange;
    private final InetSocketAddress listen;
    private final InetSocketAddress relay;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition wakeUp = lock.newCondition();
    private final NioDatagramAcceptor datagramAcceptor = new NioDatagramAcceptor();
    private final NioDatagramConnector datagramConnector = new NioDatagramConnector();
    private final NioSocketAcceptor streamAcceptor = new NioSocketAcceptor(1);
    private final NioSocketConnector streamConnector = new NioSocketConnector(1);
    /** By destination, the least recently used first. */
    private final Map<InetSocketAddress, IoSession> datagramSessions = new LinkedHashMap<>(16, 0.75f, true);
    private final Set<IoSession> streams = new LinkedHashSet<>();
    private double shareMultiplier;
    private double savedAt;
    private long unsendable;
    private boolean stopped;
    private View savedView;
    private final List<String> previousAddresses;
    private final long initialIncarnation;

    /**
     * @param relay of tests only: where everything is sent, prefixed with its real destination; else null
     * @param skewMs of tests only: the offset of this process's wall clock
     * @param onShareChange receives the multiple of the fixed share of limits whenever it changes
     */
    public FleetNode(String fleet, String name, InetSocketAddress listen, List<InetSocketAddress> seeds,
                     List<FleetMessageCodec.Key> keys, Path file, FailureDetectorSettings settings,
                     LimitShare limitShare, InetSocketAddress relay, long skewMs, DoubleConsumer onShareChange) {
        this(fleet, name, listen, seeds, keys, file, settings, limitShare, relay, skewMs, onShareChange,
            new SyncedFileReplacer());
    }

    FleetNode(String fleet, String name, InetSocketAddress listen, List<InetSocketAddress> seeds,
              List<FleetMessageCodec.Key> keys, Path file, FailureDetectorSettings settings, LimitShare limitShare,
              InetSocketAddress relay, long skewMs, DoubleConsumer onShareChange, FileReplacer replacer) {
        this.fleet = fleet;
        this.name = name;
        this.listen = listen;
        this.relay = relay;
        this.codec = new FleetMessageCodec(fleet, keys);
        this.limitShare = limitShare;
        this.onShareChange = onShareChange;
        this.stateFile = new FleetStateFile(replacer, file, fleet, name);
        StringBuilder why = new StringBuilder();
        FleetStateFile.State saved = stateFile.read(why);
        if (why.length() > 0) {
            LOG.atWarn().addKeyValue("file", file).addKeyValue("why", why).log("fleet: state file ignored");
        }
        previousAddresses = saved == null ? List.of() : List.copyOf(saved.addresses());
        Set<FleetMember.Address> contacts = new LinkedHashSet<>();
        for (InetSocketAddress seed : seeds) {
            contacts.add(new FleetMember.Address(seed.getHostString(), seed.getPort()));
        }
        if (saved != null) for (String address : saved.addresses()) {
            int colon = address.lastIndexOf(':');
            contacts.add(new FleetMember.Address(address.substring(0, colon),
                Integer.parseInt(address.substring(colon + 1))));
        }
        // Higher than the saved incarnation and, where none was saved, than any drawn earlier by a clock that advances.
        initialIncarnation = Math.max(saved == null ? 0 : saved.incarnation() + 1, System.currentTimeMillis() + skewMs);
        member = new FleetMember(name, initialIncarnation, listen.getHostString(), listen.getPort(), contacts, settings,
            new SplittableRandom(), this, UnaryOperator.identity());
    }

    /** Sets the policy component; to be called before {@link #start}. */
    public void attach(MessageHandler messageHandler) {
        handler = messageHandler;
    }

    /** The incarnation that this process started with: higher than any earlier one of its name, as far as known. */
    public long initialIncarnation() {
        return initialIncarnation;
    }

    /** Binds the sockets and starts the member. */
    public void start() throws IOException {
        // The incarnation is on disk before the first message bears it.
        writeState(currentState());
        datagramAcceptor.setHandler(new DatagramHandler());
        datagramAcceptor.getSessionConfig().setReceiveBufferSize(DATAGRAM_RECEIVE_BUFFER_BYTES);
        datagramAcceptor.getSessionConfig().setMaxReadBufferSize(READ_BUFFER_BYTES);
        datagramAcceptor.getSessionConfig().setReadBufferSize(READ_BUFFER_BYTES);
        datagramConnector.setHandler(new OutgoingDatagramHandler());
        streamAcceptor.setHandler(new StreamHandler());
        streamAcceptor.setReuseAddress(true);
        streamAcceptor.getSessionConfig().setBothIdleTime(STREAM_TIMEOUT_MS / 1000);
        streamConnector.setHandler(new StreamHandler());
        streamConnector.setConnectTimeoutMillis(STREAM_TIMEOUT_MS);
        streamConnector.getSessionConfig().setBothIdleTime(STREAM_TIMEOUT_MS / 1000);
        streamAcceptor.bind(listen);
        datagramAcceptor.bind(listen);
        Thread thread = new Thread(this::run, "fleet");
        thread.setDaemon(true);
        thread.start();
    }

    private static double now() {
        return System.nanoTime() / 1e6;
    }

    private void run() {
        lock.lock();
        try {
            while (!stopped) {
                double now = now();
                sendAll(member.tick(now));
                now = now();
                updateLimitShare(now);
                if (now - savedAt > SAVE_INTERVAL_MS && member.view() != savedView) saveState();
                double waitMs = Math.max(MIN_WAIT_MS, Math.min(MAX_WAIT_MS, member.nextTickAt() - now));
                wakeUp.awaitNanos((long) (waitMs * 1e6));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            LOG.error("fleet: internal error; this director no longer takes part in the fleet", e);
        } finally {
            lock.unlock();
        }
    }

    private void updateLimitShare(double now) {
        double multiplier = limitShare.multiplier(now, member.phase() == FleetMember.Phase.IN, member.incarnation(),
            member.isUpToDate(now), member.view().size(), member.endedCount());
        if (multiplier == shareMultiplier) return;
        shareMultiplier = multiplier;
        LOG.atInfo().addKeyValue("times", multiplier).addKeyValue("members", member.view().size())
            .addKeyValue("ended", member.endedCount()).log("fleet: share of the limits changed");
        onShareChange.accept(multiplier);
    }

    /** Hands the state over to be written; the lock is never held while the disk is waited for. */
    private void saveState() {
        if (stopped) return;
        boolean queued = stateToWrite.getAndSet(currentState()) != null;
        if (!queued) disk.execute(() -> writeState(stateToWrite.getAndSet(null)));
    }

    private SavedState currentState() {
        savedAt = now();
        savedView = member.view();
        List<String> addresses = new ArrayList<>();
        if (savedView != null) for (FleetMember.Address address : member.addresses()) {
            addresses.add(address.host() + ":" + address.port());
        }
        // A member alone in its view keeps the addresses that it knew before.
        if (addresses.isEmpty()) addresses.addAll(previousAddresses);
        return new SavedState(member.incarnation(), addresses);
    }

    private void writeState(SavedState state) {
        try {
            stateFile.write(state.incarnation(), state.addresses());
        } catch (IOException e) {
            LOG.atWarn().addKeyValue("why", e).log("fleet: state file could not be written");
        }
    }

    // ---- sending ----

    private void sendAll(List<Message.Send> messages) {
        for (Message.Send send : messages) {
            byte[] bytes = codec.encode(send.message());
            InetSocketAddress to = new InetSocketAddress(address(send.host()), send.port());
            if (send.message().kind() == Message.Kind.VIEW) sendStream(to, bytes);
            else if (bytes.length <= FleetMessageCodec.MAX_DATAGRAM_BYTES) sendDatagram(to, bytes);
            else unsendable++;
        }
    }

    /** Parses an IPv4 address without a name lookup; the loopback address where it is malformed. */
    private static InetAddress address(String ipv4) {
        try {
            String[] parts = ipv4.split("\\.");
            byte[] bytes = new byte[4];
            for (int i = 0; i < 4; i++) bytes[i] = (byte) Integer.parseInt(parts[i]);
            return InetAddress.getByAddress(bytes);
        } catch (IOException | RuntimeException e) {
            return InetAddress.getLoopbackAddress();
        }
    }

    private void sendDatagram(InetSocketAddress to, byte[] bytes) {
        IoSession session = datagramSessions.get(to);
        if (session == null || !session.isActive()) {
            ConnectFuture connect = datagramConnector.connect(relay != null ? relay : to,
                (opened, future) -> opened.setAttribute(DESTINATION, to));
            connect.awaitUninterruptibly();             // only opens a local socket: no packet is exchanged
            if (!connect.isConnected()) {
                unsendable++;
                return;
            }
            session = connect.getSession();
            datagramSessions.put(to, session);
            if (datagramSessions.size() > MAX_DATAGRAM_SESSIONS) {
                var eldest = datagramSessions.entrySet().iterator();
                eldest.next().getValue().closeNow();
                eldest.remove();
            }
        }
        session.write(frame(to, bytes, 0));
    }

    /** The bytes to write: prefixed with the destination where a relay is used, and with their length on a stream. */
    private IoBuffer frame(InetSocketAddress to, byte[] bytes, int lengthBytes) {
        IoBuffer buffer = IoBuffer.allocate(bytes.length + RELAY_HEADER_BYTES + lengthBytes);
        if (relay != null) buffer.put(to.getAddress().getAddress()).putShort((short) to.getPort());
        if (lengthBytes > 0) buffer.putInt(bytes.length);
        return buffer.put(bytes).flip();
    }

    /** The names in the current view; may be called by any thread. */
    public List<String> members() {
        return memberNames;
    }

    /** Sends a message of the policy component to a member. Delivery is not guaranteed. */
    public void send(String to, byte[] body) {
        lock.lock();
        try {
            FleetMember.Address address = stopped ? null : member.addressOf(to);
            if (address == null) {
                unsendable++;
                return;
            }
            byte[] bytes = codec.encode(new Message(Message.Kind.POLICY, name, initialIncarnation,
                listen.getHostString(), listen.getPort(), to, 0, "", false, 0, 0, List.of(), null, body));
            InetSocketAddress destination = new InetSocketAddress(address(address.host()), address.port());
            if (bytes.length <= FleetMessageCodec.MAX_DATAGRAM_BYTES) sendDatagram(destination, bytes);
            else sendStream(destination, bytes);
        } finally {
            lock.unlock();
        }
    }

    private void sendStream(InetSocketAddress to, byte[] bytes) {
        if (bytes.length > FleetMessageCodec.MAX_STREAM_BYTES || streams.size() >= MAX_STREAMS) {
            unsendable++;
            return;
        }
        streamConnector.connect(relay != null ? relay : to).addListener(future -> {
            IoSession session = ((ConnectFuture) future).getSession();
            if (session == null) return;
            session.write(frame(to, bytes, LENGTH_BYTES));
            session.closeOnFlush();
        });
    }

    // ---- receiving ----

    /** Handles received bytes; {@code session} is the stream to respond on, null for a datagram. */
    private void receive(byte[] bytes, int length, boolean stream, IoSession session) {
        Message forHandler = null;
        lock.lock();
        try {
            Message message = codec.decode(bytes, length, stream);
            if (message == null || stopped) return;
            boolean policyRequest = message.kind() == Message.Kind.ADMIN
                && message.subject().startsWith(POLICY_REQUEST);
            if (message.kind() == Message.Kind.POLICY && message.to().equals(name) || policyRequest) {
                forHandler = message;
            } else if (message.kind() == Message.Kind.ADMIN) {
                if (stream) respond(message, session);
            } else {
                sendAll(member.onMessage(now(), message));
                wakeUp.signal();
            }
        } catch (RuntimeException e) {
            LOG.error("fleet: internal error while handling a message", e);
        } finally {
            lock.unlock();
        }
        MessageHandler currentHandler = handler;
        if (forHandler == null || currentHandler == null) return;
        if (forHandler.kind() == Message.Kind.POLICY) {
            currentHandler.onMessage(forHandler.from(), forHandler.body());
        } else if (stream) {
            String request = forHandler.subject().substring(POLICY_REQUEST.length());
            respond(currentHandler.onAdminRequest(request, forHandler.body()), session);
        }
    }

    private static byte[] toBytes(Object received) {
        IoBuffer buffer = (IoBuffer) received;
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        return bytes;
    }

    private final class DatagramHandler extends IoHandlerAdapter {
        @Override public void messageReceived(IoSession session, Object received) {
            byte[] bytes = toBytes(received);
            receive(bytes, bytes.length, false, null);
        }

        @Override public void exceptionCaught(IoSession session, Throwable cause) {
            LOG.debug("fleet: {}", cause.toString());
        }
    }

    private final class OutgoingDatagramHandler extends IoHandlerAdapter {
        /** Only a relay of tests sends anything here: one byte where no process listens at the destination. */
        @Override public void messageReceived(IoSession session, Object received) {
            if (relay != null && toBytes(received).length == 1) onRefused(session);
        }

        @Override public void exceptionCaught(IoSession session, Throwable cause) {
            if (cause instanceof PortUnreachableException) onRefused(session);
            else LOG.debug("fleet: {}", cause.toString());
        }
    }

    private void onRefused(IoSession session) {
        InetSocketAddress to = (InetSocketAddress) session.getAttribute(DESTINATION);
        if (to == null) return;
        lock.lock();
        try {
            member.onConnectionRefused(to.getHostString(), to.getPort());
        } finally {
            lock.unlock();
        }
        MessageHandler currentHandler = handler;
        if (currentHandler != null) currentHandler.onConnectionRefused(to.getHostString(), to.getPort());
    }

    /** Reads one message per connection, preceded by its length in 4 bytes. */
    private final class StreamHandler extends IoHandlerAdapter {
        @Override public void sessionOpened(IoSession session) {
            lock.lock();
            try {
                if (streams.size() >= MAX_STREAMS) session.closeNow();
                else streams.add(session);
            } finally {
                lock.unlock();
            }
        }

        @Override public void sessionClosed(IoSession session) {
            lock.lock();
            try {
                streams.remove(session);
            } finally {
                lock.unlock();
            }
        }

        @Override public void messageReceived(IoSession session, Object received) {
            IoBuffer buffer = (IoBuffer) session.getAttribute(RECEIVED);
            if (buffer == null) {
                buffer = IoBuffer.allocate(1024).setAutoExpand(true);
                session.setAttribute(RECEIVED, buffer);
            }
            buffer.put((IoBuffer) received);
            if (buffer.position() < LENGTH_BYTES) return;
            int length = buffer.getInt(0);
            if (length < 0 || length > FleetMessageCodec.MAX_STREAM_BYTES
                || buffer.position() > LENGTH_BYTES + length) {
                session.closeNow();
                return;
            }
            if (buffer.position() < LENGTH_BYTES + length) return;
            byte[] bytes = new byte[length];
            buffer.flip().skip(LENGTH_BYTES).get(bytes);
            session.removeAttribute(RECEIVED);
            receive(bytes, length, true, session);
        }

        @Override public void sessionIdle(IoSession session, IdleStatus status) {
            session.closeNow();
        }

        @Override public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow();
        }
    }

    // ---- the member's events ----

    @Override public void onViewChange(View view, boolean partitioned, FleetMember.ViewCause cause) {
        List<String> names = new ArrayList<>();
        for (MemberRecord record : view.members()) names.add(record.name() + "@" + record.incarnation());
        memberNames = view.members().stream().map(MemberRecord::name).toList();
        LOG.atInfo().addKeyValue("view", view.number).addKeyValue("digest", Long.toHexString(view.digest))
            .addKeyValue("cause", cause).addKeyValue("apart", partitioned)
            .addKeyValue("life", member == null ? 0 : member.incarnation()).addKeyValue("size", view.size())
            .addKeyValue("members", names.size() > MAX_LOGGED_MEMBERS ? names.subList(0, MAX_LOGGED_MEMBERS) : names)
            .log("fleet: view");
    }

    @Override public void onVote(long base, int round) {
        LOG.atInfo().addKeyValue("base", Long.toHexString(base)).addKeyValue("round", round).log("fleet: votes");
    }

    @Override public void onHealthChange(String subject, MemberHealth from, MemberHealth to, int accusing) {
        LOG.atInfo().addKeyValue("name", subject).addKeyValue("from", from).addKeyValue("to", to)
            .addKeyValue("accusing", accusing).log("fleet: member health changed");
    }

    @Override public void onPhaseChange(FleetMember.Phase phase, long incarnation) {
        LOG.atInfo().addKeyValue("phase", phase).addKeyValue("life", incarnation).log("fleet: this director");
        if (savedView != null) saveState();
    }

    // ---- admin requests ----

    private void respond(Message request, IoSession session) {
        String subject = request.subject();
        respond(subject.startsWith(EXPLAIN_REQUEST) ? explain(subject.substring(EXPLAIN_REQUEST.length())) : status(),
            session);
    }

    private static void respond(String text, IoSession session) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        session.write(IoBuffer.allocate(bytes.length + LENGTH_BYTES).putInt(bytes.length).put(bytes).flip());
        session.closeOnFlush();
    }

    private String explain(String memberName) {
        JsonObject answer = new JsonObject();
        JsonArray lines = new JsonArray();
        member.explain(memberName, now()).forEach(lines::add);
        answer.addProperty("name", memberName);
        answer.add("lines", lines);
        return answer.toString();
    }

    private String status() {
        JsonObject status = new JsonObject();
        View view = member.view();
        status.addProperty("fleet", fleet);
        status.addProperty("name", name);
        status.addProperty("phase", member.phase().toString());
        status.addProperty("life", member.incarnation());
        status.addProperty("view", view.number);
        status.addProperty("digest", Long.toHexString(view.digest));
        status.addProperty("apart", member.isPartitioned());
        status.addProperty("part_of_limits", shareMultiplier);
        JsonArray members = new JsonArray();
        for (MemberRecord record : view.members()) members.add(memberStatus(record));
        status.add("members", members);
        status.add("counts", counters());
        return new GsonBuilder().setPrettyPrinting().create().toJson(status);
    }

    private JsonObject memberStatus(MemberRecord record) {
        MemberHealth health = record.name().equals(name) ? MemberHealth.FINE : member.healthOf(record.name());
        JsonObject status = new JsonObject();
        status.addProperty("name", record.name());
        status.addProperty("life", record.incarnation());
        status.addProperty("at", record.host() + ":" + record.port());
        status.addProperty("judged", health.toString());
        return status;
    }

    private JsonObject counters() {
        JsonObject counters = new JsonObject();
        member.counters.nonZero().forEach(counters::addProperty);
        for (FleetMessageCodec.Dropped reason : FleetMessageCodec.Dropped.values()) {
            long count = codec.dropped[reason.ordinal()];
            if (count > 0) counters.addProperty("dropped_" + reason.name().toLowerCase(Locale.ROOT), count);
        }
        counters.addProperty("unsendable", unsendable);
        return counters;
    }

    /** Sends the leave announcements and closes the sockets. */
    @Override public void close() {
        lock.lock();
        try {
            if (stopped) return;
            sendAll(member.leave(now()));
            stopped = true;
            disk.shutdown();
            wakeUp.signal();
        } finally {
            lock.unlock();
        }
        datagramConnector.dispose(true);
        streamConnector.dispose(false);
        datagramAcceptor.dispose(false);
        streamAcceptor.dispose(false);
    }
}
