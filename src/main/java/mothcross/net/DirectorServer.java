package mothcross.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import mothcross.Workload;
import mothcross.membership.WriteScheduler;
import mothcross.operators.MembershipSettings;
import mothcross.policy.Plan;
import mothcross.route.RouteRules;
import mothcross.route.RouteTable;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A director's life: it starts on what it is told, listens, gets ready, serves, and after SIGTERM answers
 * what it has taken and ends. Owns the threads (one for all sockets, one each that accepts and connects, one
 * for timers) and the order of start and end. Must never touch a node before a lookup asks for one, and never
 * say that it is ready before it is.
 */
public final class DirectorServer {
    private static final Logger LOG = LoggerFactory.getLogger("mothcross");
    private static final double COUNTERS_MS = 10_000;
    private static final int CLIENT_READ = 16 << 10;
    private static final long LAST_WRITE_MS = 500;

    private StartupConfig config;
    private MembershipSettings remembering;
    private RouteRules routes;
    private final Dispatcher dispatcher;
    private final DiscoveryWatch watch;
    private final PersistentMembership persistentMembership;  // null where the operators leave it off
    private final Acceptor acceptor;
    private final NioSocketConnector connector;
    private final IoProcessor<NioSession> processor;
    private final CountDownLatch over = new CountDownLatch(1);
    private final ShutdownSequence ending = new ShutdownSequence();
    private double share = 1;

    /** Accepts no faster than clients that have to go make room, so that descriptors never run out. */
    private static final class Acceptor extends NioSocketAcceptor {
        private static final int HELD_UP_MS = 50;
        volatile int most;
        volatile double cameAt;
        private final AtomicInteger held = new AtomicInteger();

        Acceptor(Executor threads, IoProcessor<NioSession> processor) {
            super(threads, processor);
        }

        @Override protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel from)
            throws Exception {
            for (int i = 0; held.get() >= most && i < HELD_UP_MS; i++) Thread.sleep(1);
            NioSession s = held.get() >= most ? null : super.accept(processor, from);
            if (s == null) return null;
            cameAt = System.currentTimeMillis();
            held.incrementAndGet();
            s.getCloseFuture().addListener(f -> held.decrementAndGet());
            return s;
        }
    }

    private void limits() {
        dispatcher.setLimits(config.sockets, config.memoryMb);
        acceptor.most = config.sockets * 11 / 16 + 1;
    }

    public DirectorServer(StartupConfig start) {
        this(start, null);
    }

    /** {@code remembering} null: only what is told counts, from the file's list on. */
    public DirectorServer(StartupConfig start, MembershipSettings remembering) {
        this(start, remembering, remembering == null ? null
            : new SnapshotFileStore(remembering.file(), remembering.fleet(), start.name));
    }

    /** {@code routes} null: every lookup goes as it was asked. */
    public DirectorServer(StartupConfig start, MembershipSettings remembering, RouteRules routes) {
        this(start, remembering);
        this.routes = routes;
    }

    DirectorServer(StartupConfig start, MembershipSettings remembering, SnapshotStore keeper) {
        this.config = start;
        this.remembering = remembering;
        Executor threads = Executors.newCachedThreadPool(r -> {
            Thread t = new Thread(r, "sockets");
            t.setDaemon(true);
            return t;
        });
        processor = new Processor(threads);
        connector = new NioSocketConnector(threads, processor);
        acceptor = new Acceptor(threads, processor);
        dispatcher = new Dispatcher(start.directorSettings, connector, start.maxHops);
        limits();
        persistentMembership = remembering == null ? null : new PersistentMembership(dispatcher, remembering.ages(),
            new WriteScheduler(remembering.urgentWriteDelayMs(), remembering.writeIntervalMs()),
            keeper, remembering.fleet(), start.name, System.currentTimeMillis());
        watch = new DiscoveryWatch(dispatcher, persistentMembership == null ? new DiscoveryListener.Direct(dispatcher) : persistentMembership,
            start.discovery);
        connector.setHandler(new Connection.SessionHandler(dispatcher, false));
        acceptor.setHandler(new Connection.SessionHandler(dispatcher, true));
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(512);
        acceptor.setCloseOnDeactivation(false);         // another address, or the end, leaves open what is open
        for (SocketSessionConfig c : List.of(connector.getSessionConfig(), acceptor.getSessionConfig())) {
            c.setTcpNoDelay(true);
            c.setWriteTimeout(10);
        }
        acceptor.getSessionConfig().setMaxReadBufferSize(CLIENT_READ);
        // The desk's timer fires sooner.
        connector.setConnectTimeoutMillis((long) start.directorSettings.connectMs + 1000);
    }

    /** Throws where what is known can't be used, or where it can't listen. */
    public void start() throws IOException, StartupConfig.InvalidConfigException {
        RouteTable table = table(routes, config, null);
        if (table != null) {
            dispatcher.activeRoutes = new ActiveRoutes(config.name);
            dispatcher.activeRoutes.scaleLimits(share);
            dispatcher.activeRoutes.activate(null, table, null);
        }
        dispatcher.enter();
        try {
            if (persistentMembership == null) watch.start(config.known);
            else persistentMembership.start(config.known == null ? null : DiscoveryWatch.toSnapshot(config.known, remembering.fleet(),
                config.name, config.writtenAt));
        } catch (RuntimeException e) {
            throw new StartupConfig.InvalidConfigException("field known can't be used: " + e.getMessage());
        } finally {
            dispatcher.leave();
        }
        Thread timers = new Thread(dispatcher.timers, "timers");
        timers.setDaemon(true);
        timers.start();
        dispatcher.runLocked(watch::connect);
        awaitNews();
        acceptor.bind(config.listen);
        dispatcher.runLocked(() -> {
            counters();
            dispatcher.ready = ending.state() == ShutdownSequence.State.SERVING;  // it may have been told to end meanwhile
        });
        LOG.info("{} serves on {}", config.name, acceptor.getLocalAddress());
    }

    /**
     * Nobody can ask before it listens, and it listens once discovery has spoken: what was told between the file and
     * now (a drain, a purge) counts as told, and whoever sees an open port may send. Where it does not speak, the
     * file's list has to do.
     */
    private void awaitNews() {
        try {
            if (!watch.awaitFirstFrame()) LOG.debug("discovery has not spoken: what the file knows has to do");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The rules compiled for what this director is told; null where there are none. */
    private static RouteTable table(RouteRules rules, StartupConfig told, RouteTable before)
        throws StartupConfig.InvalidConfigException {
        if (rules == null) return null;
        List<String> faults = new ArrayList<>();
        RouteTable t = RouteTable.compile(rules, told.directorSettings.workloads, told.directorSettings.workloadTable,
            told.directorSettings.directorsInZone, told.maxHops, before, faults);
        if (t == null) throw new StartupConfig.InvalidConfigException(String.join("; ", faults));
        for (String n : t.notes()) LOG.atWarn().addKeyValue("note", n).log("routes: a part can never matter");
        LOG.atInfo().addKeyValue("rules", t.size()).addKeyValue("worst_steps", t.worstCaseSteps())
            .log("routes: compiled");
        return t;
    }

    /** This director's part of each limit, in parts of the fixed one; from any thread. */
    public void scaleLimits(double times) {
        dispatcher.runLocked(() -> {
            share = times;
            if (dispatcher.activeRoutes != null) dispatcher.activeRoutes.scaleLimits(times);
        });
    }

    /** Before it begins: somebody else says whether it is up to date, and brings its tables. */
    public void usePolicy(ServingPermit current, boolean tellsPlan) {
        dispatcher.runLocked(() -> {
            dispatcher.servingPermit = current;
            dispatcher.exposePlan = tellsPlan;
            dispatcher.activeRoutes = new ActiveRoutes(config.name);
            dispatcher.activeRoutes.scaleLimits(share);
        });
    }

    /** Rules made ready for what this director is told; null with their faults. */
    public RouteTable compilePolicy(RouteRules rules, List<String> faults) {
        RouteTable[] before = new RouteTable[1];
        dispatcher.runLocked(() -> before[0] = dispatcher.activeRoutes == null ? null : dispatcher.activeRoutes.table());
        return RouteTable.compile(rules, config.directorSettings.workloads, config.directorSettings.workloadTable,
            config.directorSettings.directorsInZone, config.maxHops, before[0], faults);
    }

    /** From the next lookup on; those under way keep what they began with. */
    public void activatePolicy(Plan plan, RouteTable main, RouteTable trial) {
        dispatcher.runLocked(() -> dispatcher.activeRoutes.activate(plan, main, trial));
    }

    /** SIGHUP: takes over what another file tells, under load; nothing that is open is touched. */
    public void reload(StartupConfig anew) {
        try {
            reload(anew, remembering, routes);
        } catch (StartupConfig.InvalidConfigException e) {
            reloadFailed(e.getMessage());
        }
    }

    /** The same with the operators' file read anew; what switches a feature on or off waits for the next start. */
    public void reload(StartupConfig anew, MembershipSettings features, RouteRules rules)
        throws StartupConfig.InvalidConfigException {
        // All is compiled first; a lookup under way keeps what it came under, the next one meets the new table whole.
        boolean own = dispatcher.servingPermit == null;                 // else its tables come from the fleet
        RouteTable table = own ? table(rules, config, dispatcher.activeRoutes == null ? null : dispatcher.activeRoutes.table()) : null;
        List<InetSocketAddress> old = List.of(config.listen);
        boolean moves = !anew.listen.equals(config.listen);
        if (moves) {
            try {
                acceptor.bind(anew.listen);
            } catch (IOException e) {
                LOG.warn("reload: can't listen on {} ({}); all stays as it was", anew.listen, e.getMessage());
                return;
            }
        }
        dispatcher.runLocked(() -> {
            boolean waits = remembering == null != (features == null) || features != null
                && !(features.file().equals(remembering.file()) && features.fleet().equals(remembering.fleet()));
            routes = rules;
            if (own && table == null) dispatcher.activeRoutes = null;
            if (table != null) {
                if (dispatcher.activeRoutes == null) dispatcher.activeRoutes = new ActiveRoutes(config.name);
                dispatcher.activeRoutes.scaleLimits(share);
                dispatcher.activeRoutes.activate(null, table, null);
            }
            boolean others = waits || !anew.settings.equals(config.settings);
            if (!waits && features != null && !features.equals(remembering)) {
                persistentMembership.reload(features.ages(), new WriteScheduler(features.urgentWriteDelayMs(),
                    features.writeIntervalMs()));
                remembering = features;
            }
            config = anew;
            limits();
            watch.moveTo(anew.discovery);
            dispatcher.counters.reloads++;
            LOG.info("reload: the file is read anew{}", others ? "; its settings wait for the next start" : "");
        });
        if (moves) acceptor.unbind(old);
    }

    /** The new file can't be used. */
    public void reloadFailed(String why) {
        LOG.warn("reload: {}; all stays as it was", why);
    }

    Dispatcher dispatcher() {
        return dispatcher;
    }

    PersistentMembership persistentMembership() {
        return persistentMembership;
    }

    public int port() {
        return acceptor.getLocalAddress().getPort();
    }

    private void counters() {
        dispatcher.timers.set(new Timers.Timer() {
            @Override void fire() {
                log();
                counters();
            }
        }, dispatcher.clock() + COUNTERS_MS);
    }

    private void log() {
        Runtime r = Runtime.getRuntime();
        LOG.info("{}{}; open {}, clients {}, nodes {}, timers {}, heap {} MB", dispatcher.counters.line(),
            (persistentMembership == null ? "" : persistentMembership.counterLine()) + (dispatcher.activeRoutes == null ? "" : dispatcher.activeRoutes.line()),
            dispatcher.openLookupCount(), dispatcher.clientCount(), dispatcher.nodes.size(), dispatcher.timers.size(),
            (r.totalMemory() - r.freeMemory()) >> 20);
    }

    /**
     * SIGTERM: serves as long as requests may come, answers all that is open, then returns: {@link ShutdownSequence}.
     */
    public void stop() throws InterruptedException {
        double longest = 0;
        for (Workload w : config.directorSettings.workloadTable) longest = Math.max(longest, w.timeoutMs());
        dispatcher.enter();
        try {
            dispatcher.ready = false;
            dispatcher.draining = true;
            ending.start(dispatcher.clock(), longest);
            dispatcher.timers.set(new Timers.Timer() {
                @Override void fire() {
                    dispatcher.stopSending();
                }
            }, ending.answerDeadline());
        } finally {
            dispatcher.leave();
        }
        LOG.info("told to end: answering what is open");
        for (boolean listens = true;; Thread.sleep(5)) {
            ShutdownSequence.State s;
            dispatcher.enter();
            try {
                s = ending.step(dispatcher.clock(), acceptor.cameAt, dispatcher.clientCount());
            } finally {
                dispatcher.leave();
            }
            if (s == ShutdownSequence.State.CLOSING && listens) {
                listens = false;
                acceptor.unbind();
                dispatcher.runLocked(dispatcher::closeIdleClients);
            }
            if (s == ShutdownSequence.State.TERMINATED) break;
        }
        dispatcher.runLocked(() -> {
            watch.stop();
            log();
        });
        if (persistentMembership != null) persistentMembership.stop(LAST_WRITE_MS);
        dispatcher.runLocked(dispatcher.timers::stop);
        over.countDown();
    }

    /** Lets go of the sockets; for those who start several lives in one process. */
    public void release() {
        if (persistentMembership != null) persistentMembership.kill();
        dispatcher.runLocked(() -> {
            watch.stop();
            dispatcher.timers.stop();
        });
        acceptor.dispose(false);
        connector.dispose(false);
        processor.dispose();
        over.countDown();
    }

    public void await() throws InterruptedException {
        over.await();
    }
}
