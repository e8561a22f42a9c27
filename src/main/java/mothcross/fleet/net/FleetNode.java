package mothcross.fleet.net;

import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.PortUnreachableException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
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
import org.apache.mina.core.buffer.IoBuffer;
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
 * A member on sockets: datagrams both ways, a stream for a whole view and for the operators' questions. Owns the
 * sockets, the one thread that tells the member the time, and the lock that it runs under; must never decide anything,
 * look up a name, or answer what does not fit.
 */
public final class FleetNode implements FleetMember.MemberListener, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger("mothcross.fleet");
    private static final int MOST_PEERS = 64, MOST_STREAMS = 64, STREAM_MS = 3000, KEEP_EVERY_MS = 10_000;
    private static final String FROM = "from", TO = "to", GOT = "got";

    /** Who has what is no member's: messages about the policy, and the operators' questions on it. */
    public interface MessageHandler {
        void onMessage(String from, byte[] body);

        void onConnectionRefused(String host, int port);

        String onAdminRequest(String what, byte[] body);
    }

    private final String fleet, name;
    private volatile MessageHandler beside;
    private volatile List<String> inView = List.of();
    private final FleetMessageCodec wire;
    private final FleetStateFile kept;
    private final FleetMember member;
    private final LimitShare parts;
    private final DoubleConsumer share;
    private final InetSocketAddress listen, relay;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition sooner = lock.newCondition();
    private final NioDatagramAcceptor in = new NioDatagramAcceptor();
    private final NioDatagramConnector out = new NioDatagramConnector();
    private final NioSocketAcceptor streamsIn = new NioSocketAcceptor(1);
    private final NioSocketConnector streamsOut = new NioSocketConnector(1);
    private final Map<InetSocketAddress, IoSession> peers = new LinkedHashMap<>(16, 0.75f, true);
    private final Set<IoSession> streams = new LinkedHashSet<>();
    private double times, keptAt;
    private long unsendable;
    private boolean stopped;
    private View keptView;
    private final List<String> keptBefore;
    private final long firstLife;

    /**
     * Of tests only: {@code relay}, where all that is sent goes, led by its address; {@code skewMs}, by which its Unix
     * clock is off.
     */
    public FleetNode(String fleet, String name, InetSocketAddress listen, List<InetSocketAddress> seeds,
                     List<FleetMessageCodec.Key> keys, java.nio.file.Path file, FailureDetectorSettings pace,
                     LimitShare parts, InetSocketAddress relay, long skewMs, DoubleConsumer share) {
        this.fleet = fleet;
        this.name = name;
        this.listen = listen;
        this.relay = relay;
        this.wire = new FleetMessageCodec(fleet, keys);
        this.parts = parts;
        this.share = share;
        this.kept = new FleetStateFile(file, fleet, name);
        StringBuilder why = new StringBuilder();
        FleetStateFile.Kept k = kept.read(why);
        if (why.length() > 0) LOG.atWarn().addKeyValue("file", file).addKeyValue("why", why).log("fleet: not used");
        keptBefore = k == null ? List.of() : List.copyOf(k.addresses());
        Set<FleetMember.Address> contacts = new LinkedHashSet<>();
        for (InetSocketAddress s : seeds) contacts.add(new FleetMember.Address(s.getHostString(), s.getPort()));
        if (k != null) for (String a : k.addresses()) {
            int colon = a.lastIndexOf(':');
            contacts.add(new FleetMember.Address(a.substring(0, colon), Integer.parseInt(a.substring(colon + 1))));
        }
        // Higher than what was kept, and, where nothing was, than any drawn before by a clock that goes on.
        long life = Math.max(k == null ? 0 : k.life() + 1, System.currentTimeMillis() + skewMs);
        firstLife = life;
        member = new FleetMember(name, life, listen.getHostString(), listen.getPort(), contacts, pace,
            new SplittableRandom(), this, UnaryOperator.identity());
    }

    /** To be set before it begins. */
    public void attach(MessageHandler b) {
        beside = b;
    }

    /** The life that this process began with: higher than any before by its name, as far as is known. */
    public long initialIncarnation() {
        return firstLife;
    }

    public void start() throws IOException {
        keep();
        in.setHandler(new Datagrams());
        in.getSessionConfig().setReceiveBufferSize(1 << 20);
        in.getSessionConfig().setMaxReadBufferSize(65_536);
        in.getSessionConfig().setReadBufferSize(65_536);
        out.setHandler(new Outgoing());
        streamsIn.setHandler(new Streams());
        streamsIn.setReuseAddress(true);
        streamsIn.getSessionConfig().setBothIdleTime(STREAM_MS / 1000);
        streamsOut.setHandler(new Streams());
        streamsOut.setConnectTimeoutMillis(STREAM_MS);
        streamsOut.getSessionConfig().setBothIdleTime(STREAM_MS / 1000);
        streamsIn.bind(listen);
        in.bind(listen);
        Thread t = new Thread(this::run, "fleet");
        t.setDaemon(true);
        t.start();
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
                part(now);
                if (now - keptAt > KEEP_EVERY_MS && member.view() != keptView) keep();
                double wait = Math.max(0.5, Math.min(100, member.nextTickAt() - now));
                sooner.awaitNanos((long) (wait * 1e6));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            LOG.error("fleet: a fault; this director takes no part any more", e);
        } finally {
            lock.unlock();
        }
    }

    private void part(double now) {
        double t = parts.multiplier(now, member.phase() == FleetMember.Phase.IN, member.incarnation(),
            member.isUpToDate(now), member.view().size(), member.endedCount());
        if (t == times) return;
        times = t;
        LOG.atInfo().addKeyValue("times", t).addKeyValue("members", member.view().size()).addKeyValue("ended",
            member.endedCount()).log("fleet: part of the limits");
        share.accept(t);
    }

    private void keep() {
        keptAt = now();
        keptView = member.view();
        List<String> all = new ArrayList<>();
        if (keptView != null) for (FleetMember.Address a : member.addresses()) all.add(a.host() + ":" + a.port());
        if (all.isEmpty()) all.addAll(keptBefore);      // one alone still knows whom it knew
        try {
            kept.write(member.incarnation(), all);
        } catch (IOException e) {
            LOG.atWarn().addKeyValue("why", e).log("fleet: can't be kept for the next start");
        }
    }

    // ---- out ----

    private void sendAll(List<Message.Send> all) {
        for (Message.Send s : all) {
            byte[] b = wire.encode(s.message());
            InetSocketAddress to = new InetSocketAddress(address(s.host()), s.port());
            if (s.message().kind() == Message.Kind.VIEW) stream(to, b);
            else if (b.length <= FleetMessageCodec.DATAGRAM) datagram(to, b);
            else unsendable++;
        }
    }

    /** Of figures only: nothing is looked up. */
    private static InetAddress address(String figures) {
        try {
            String[] p = figures.split("\\.");
            byte[] b = new byte[4];
            for (int i = 0; i < 4; i++) b[i] = (byte) Integer.parseInt(p[i]);
            return InetAddress.getByAddress(b);
        } catch (IOException | RuntimeException e) {
            return InetAddress.getLoopbackAddress();
        }
    }

    private void datagram(InetSocketAddress to, byte[] b) {
        IoSession s = peers.get(to);
        if (s == null || !s.isActive()) {
            var f = out.connect(relay != null ? relay : to, (session, future) -> session.setAttribute(TO, to));
            f.awaitUninterruptibly();                   // a datagram's socket is only made, nobody is asked
            if (!f.isConnected()) {
                unsendable++;
                return;
            }
            peers.put(to, s = f.getSession());
            if (peers.size() > MOST_PEERS) {
                var eldest = peers.entrySet().iterator();
                eldest.next().getValue().closeNow();
                eldest.remove();
            }
        }
        s.write(led(to, b, 0));
    }

    private IoBuffer led(InetSocketAddress to, byte[] b, int lengthBytes) {
        IoBuffer buffer = IoBuffer.allocate(b.length + 6 + lengthBytes);
        if (relay != null) buffer.put(to.getAddress().getAddress()).putShort((short) to.getPort());
        if (lengthBytes > 0) buffer.putInt(b.length);
        return buffer.put(b).flip();
    }

    /** Who takes part, as it is believed here now; from any thread. */
    public List<String> members() {
        return inView;
    }

    /** What is not a member's to say; it may get lost, like any other. */
    public void send(String to, byte[] body) {
        lock.lock();
        try {
            FleetMember.Address at = stopped ? null : member.addressOf(to);
            if (at == null) {
                unsendable++;
                return;
            }
            byte[] b = wire.encode(new Message(Message.Kind.POLICY, name, firstLife, listen.getHostString(),
                listen.getPort(), to, 0, "", false, 0, 0, List.of(), null, body));
            InetSocketAddress there = new InetSocketAddress(address(at.host()), at.port());
            if (b.length <= FleetMessageCodec.DATAGRAM) datagram(there, b);
            else stream(there, b);
        } finally {
            lock.unlock();
        }
    }

    private void stream(InetSocketAddress to, byte[] b) {
        if (b.length > FleetMessageCodec.STREAM || streams.size() >= MOST_STREAMS) {
            unsendable++;
            return;
        }
        streamsOut.connect(relay != null ? relay : to).addListener(f -> {
            IoSession session = ((org.apache.mina.core.future.ConnectFuture) f).getSession();
            if (session == null) return;
            session.write(led(to, b, 4));
            session.closeOnFlush();
        });
    }

    // ---- in ----

    private void heard(byte[] b, int length, boolean byStream, IoSession answers) {
        Message others = null;
        lock.lock();
        try {
            Message m = wire.decode(b, length, byStream);
            if (m == null || stopped) return;
            boolean asksBeside = m.kind() == Message.Kind.ADMIN && m.subject().startsWith("policy ");
            if (m.kind() == Message.Kind.POLICY && m.to().equals(name) || asksBeside) {
                others = m;
            } else if (m.kind() == Message.Kind.ADMIN) {
                if (byStream) answer(m, answers);
            } else {
                sendAll(member.onMessage(now(), m));
                sooner.signal();
            }
        } catch (RuntimeException e) {
            LOG.error("fleet: a fault with a message", e);
        } finally {
            lock.unlock();
        }
        MessageHandler there = beside;
        if (others == null || there == null) return;
        if (others.kind() == Message.Kind.POLICY) there.onMessage(others.from(), others.body());
        else if (byStream) answer(there.onAdminRequest(others.subject().substring(7), others.body()), answers);
    }

    private static byte[] taken(Object message) {
        IoBuffer in = (IoBuffer) message;
        byte[] b = new byte[in.remaining()];
        in.get(b);
        return b;
    }

    private final class Datagrams extends IoHandlerAdapter {
        @Override public void messageReceived(IoSession session, Object message) {
            byte[] b = taken(message);
            heard(b, b.length, false, null);
        }

        @Override public void exceptionCaught(IoSession session, Throwable cause) {
            LOG.debug("fleet: {}", cause.toString());
        }
    }

    private final class Outgoing extends IoHandlerAdapter {
        /** Only a relay of tests says anything here: that nobody holds the address. */
        @Override public void messageReceived(IoSession session, Object message) {
            if (relay != null && taken(message).length == 1) refused(session);
        }

        @Override public void exceptionCaught(IoSession session, Throwable cause) {
            if (cause instanceof PortUnreachableException) refused(session);
            else LOG.debug("fleet: {}", cause.toString());
        }
    }

    private void refused(IoSession session) {
        InetSocketAddress to = (InetSocketAddress) session.getAttribute(TO);
        if (to == null) return;
        lock.lock();
        try {
            member.onConnectionRefused(to.getHostString(), to.getPort());
        } finally {
            lock.unlock();
        }
        MessageHandler there = beside;
        if (there != null) there.onConnectionRefused(to.getHostString(), to.getPort());
    }

    /** One message a connection, its length before it. */
    private final class Streams extends IoHandlerAdapter {
        @Override public void sessionOpened(IoSession session) {
            lock.lock();
            try {
                if (streams.size() >= MOST_STREAMS) session.closeNow();
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

        @Override public void messageReceived(IoSession session, Object message) {
            IoBuffer got = (IoBuffer) session.getAttribute(GOT);
            if (got == null) session.setAttribute(GOT, got = IoBuffer.allocate(1024).setAutoExpand(true));
            got.put((IoBuffer) message);
            if (got.position() < 4) return;
            int length = got.getInt(0);
            if (length < 0 || length > FleetMessageCodec.STREAM || got.position() > 4 + length) {
                session.closeNow();
                return;
            }
            if (got.position() < 4 + length) return;
            byte[] b = new byte[length];
            got.flip().skip(4).get(b);
            session.removeAttribute(GOT);
            heard(b, length, true, session);
        }

        @Override public void sessionIdle(IoSession session, IdleStatus status) {
            session.closeNow();
        }

        @Override public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow();
        }
    }

    // ---- news ----

    @Override public void onViewChange(View v, boolean apart, FleetMember.ViewCause cause) {
        List<String> names = new ArrayList<>();
        for (MemberRecord f : v.members()) names.add(f.name() + "@" + f.incarnation());
        inView = v.members().stream().map(MemberRecord::name).toList();
        LOG.atInfo().addKeyValue("view", v.number).addKeyValue("digest", Long.toHexString(v.digest))
            .addKeyValue("cause", cause).addKeyValue("apart", apart).addKeyValue("life", member == null ? 0
                : member.incarnation()).addKeyValue("size", v.size()).addKeyValue("members", names.size() > 64
                ? names.subList(0, 64) : names).log("fleet: view");
    }

    @Override public void onVote(long base, int round) {
        LOG.atInfo().addKeyValue("base", Long.toHexString(base)).addKeyValue("round", round).log("fleet: votes");
    }

    @Override public void onHealthChange(String of, MemberHealth from, MemberHealth to, int accusing) {
        LOG.atInfo().addKeyValue("name", of).addKeyValue("from", from).addKeyValue("to", to).addKeyValue("accusing",
            accusing).log("fleet: judged");
    }

    @Override public void onPhaseChange(FleetMember.Phase p, long life) {
        LOG.atInfo().addKeyValue("phase", p).addKeyValue("life", life).log("fleet: this director");
        if (keptView != null) keep();
    }

    // ---- the operators' questions ----

    private void answer(Message m, IoSession to) {
        answer(m.subject().startsWith("explain ") ? explain(m.subject().substring(8)) : status(), to);
    }

    private static void answer(String text, IoSession to) {
        byte[] b = text.getBytes(StandardCharsets.UTF_8);
        to.write(IoBuffer.allocate(b.length + 4).putInt(b.length).put(b).flip());
        to.closeOnFlush();
    }

    private String explain(String of) {
        JsonObject o = new JsonObject();
        JsonArray lines = new JsonArray();
        member.explain(of, now()).forEach(lines::add);
        o.addProperty("name", of);
        o.add("lines", lines);
        return o.toString();
    }

    private String status() {
        JsonObject o = new JsonObject();
        View v = member.view();
        o.addProperty("fleet", fleet);
        o.addProperty("name", name);
        o.addProperty("phase", member.phase().toString());
        o.addProperty("life", member.incarnation());
        o.addProperty("view", v.number);
        o.addProperty("digest", Long.toHexString(v.digest));
        o.addProperty("apart", member.isPartitioned());
        o.addProperty("part_of_limits", times);
        JsonArray all = new JsonArray();
        for (MemberRecord f : v.members()) {
            JsonObject x = new JsonObject();
            x.addProperty("name", f.name());
            x.addProperty("life", f.incarnation());
            x.addProperty("at", f.host() + ":" + f.port());
            x.addProperty("judged", (f.name().equals(name) ? MemberHealth.FINE : member.healthOf(f.name())).toString());
            all.add(x);
        }
        o.add("members", all);
        JsonObject counts = new JsonObject();
        member.counters.nonZero().forEach(counts::addProperty);
        for (FleetMessageCodec.Dropped d : FleetMessageCodec.Dropped.values()) {
            if (wire.dropped[d.ordinal()] > 0) {
                counts.addProperty("dropped_" + d.name().toLowerCase(java.util.Locale.ROOT), wire.dropped[d.ordinal()]);
            }
        }
        counts.addProperty("unsendable", unsendable);
        o.add("counts", counts);
        return new GsonBuilder().setPrettyPrinting().create().toJson(o);
    }

    /** SIGTERM: says farewell, a few times over, and is gone. */
    @Override public void close() {
        lock.lock();
        try {
            if (stopped) return;
            sendAll(member.leave(now()));
            stopped = true;
            sooner.signal();
        } finally {
            lock.unlock();
        }
        out.dispose(true);
        streamsOut.dispose(false);
        in.dispose(false);
        streamsIn.dispose(false);
    }
}
