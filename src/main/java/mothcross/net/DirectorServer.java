package mothcross.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
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
 * The process of a director: starts from its configuration, connects to discovery, listens, serves, reloads on SIGHUP
 * and shuts down on SIGTERM.
 *
 * <p>Has one thread for all sockets, one each that accepts and connects, and one for timers. It connects to a node
 * only when a lookup needs it, and reports ready only once it can serve. State that is shared with the dispatcher is
 * changed under the dispatcher's lock.
 */
public final class DirectorServer {
    private static final Logger LOG = LoggerFactory.getLogger("mothcross");
    private static final double COUNTERS_INTERVAL_MS = 10_000;
    private static final int MAX_CLIENT_READ_BYTES = 16 << 10;
    private static final int ACCEPT_BACKLOG = 512;
    private static final int WRITE_TIMEOUT_S = 10;
    private static final long CONNECT_TIMEOUT_MARGIN_MS = 1000;
    private static final long SHUTDOWN_POLL_MS = 5;
    private static final double MAX_LAST_WRITE_MS = 500;
    /** Left for the last write even where the last clients stayed until the platform may kill the process. */
    private static final double MIN_LAST_WRITE_MS = 20;

    private StartupConfig config;
    private MembershipSettings membershipSettings;
    private RouteRules routeRules;
    private final Dispatcher dispatcher;
    private final DiscoveryListener discoveryListener;
    private final DiscoveryWatch discoveryWatch;
    private final PersistentMembership persistentMembership;  // null where the operators leave it off
    private final Acceptor acceptor;
    private final NioSocketConnector connector;
    private final IoProcessor<NioSession> processor;
    private final CountDownLatch terminated = new CountDownLatch(1);
    private final ShutdownSequence shutdown = new ShutdownSequence();
    private double limitScale = 1;
    private volatile Runnable fatalErrorAction = () -> { };

    /** Accepts clients no faster than evicted ones make room, so that file descriptors never run out. */
    private static final class Acceptor extends NioSocketAcceptor {
        private static final int MAX_ACCEPT_DELAY_MS = 50;
        private final DescriptorBudget descriptors;
        volatile double lastAcceptedAt;

        Acceptor(Executor threads, IoProcessor<NioSession> processor, DescriptorBudget descriptors) {
            super(threads, processor);
            this.descriptors = descriptors;
        }

        @Override protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel from)
            throws Exception {
            boolean taken = descriptors.tryTakeForClient();
            for (int i = 0; !taken && i < MAX_ACCEPT_DELAY_MS; i++) {
                Thread.sleep(1);
                taken = descriptors.tryTakeForClient();
            }
            if (!taken) return null;
            NioSession session = null;
            try {
                session = super.accept(processor, from);
            } finally {
                if (session == null) descriptors.clientClosed();
            }
            if (session == null) return null;
            lastAcceptedAt = System.currentTimeMillis();
            session.getCloseFuture().addListener(future -> descriptors.clientClosed());
            return session;
        }
    }

    private Thread serviceThread(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.setUncaughtExceptionHandler((failed, error) -> threadFailed(failed, error));
        return thread;
    }

    /** Without one of its threads the director would accept requests and answer none. */
    private void threadFailed(Thread failed, Throwable error) {
        try {
            LOG.error("thread {} has failed; no request can be answered any more", failed.getName(), error);
        } finally {
            fatalErrorAction.run();                         // also where there is no memory left to log
        }
    }

    /** Before the start: what to do when the director cannot go on; nothing by default. */
    public void onFatalError(Runnable action) {
        fatalErrorAction = action;
    }

    private void applyLimits() {
        dispatcher.setLimits(config.sockets, config.memoryMb);
    }

    /** A director without persistent membership and without route rules. */
    public DirectorServer(StartupConfig config) {
        this(config, null);
    }

    /** With {@code membershipSettings} null, the list is the configured one as updated by discovery. */
    public DirectorServer(StartupConfig config, MembershipSettings membershipSettings) {
        this(config, membershipSettings, membershipSettings == null ? null
            : new SnapshotFileStore(membershipSettings.file(), membershipSettings.fleet(), config.name));
    }

    /** With {@code routeRules} null, no rule applies to any lookup. */
    public DirectorServer(StartupConfig config, MembershipSettings membershipSettings, RouteRules routeRules) {
        this(config, membershipSettings);
        this.routeRules = routeRules;
    }

    DirectorServer(StartupConfig config, MembershipSettings membershipSettings, SnapshotStore store) {
        this.config = config;
        this.membershipSettings = membershipSettings;
        Executor threads = Executors.newCachedThreadPool(task -> {
            return serviceThread(task, "sockets");
        });
        processor = new Processor(threads);
        connector = new NioSocketConnector(threads, processor);
        dispatcher = new Dispatcher(config.directorSettings, connector, config.maxHops);
        acceptor = new Acceptor(threads, processor, dispatcher.descriptors);
        applyLimits();
        persistentMembership = membershipSettings == null ? null : new PersistentMembership(dispatcher,
            membershipSettings.ages(),
            new WriteScheduler(membershipSettings.urgentWriteDelayMs(), membershipSettings.writeIntervalMs()),
            store, membershipSettings.fleet(), config.name, System.currentTimeMillis());
        discoveryListener = persistentMembership == null ? new DiscoveryListener.Direct(dispatcher)
            : persistentMembership;
        discoveryWatch = new DiscoveryWatch(dispatcher, discoveryListener, config.discovery);
        connector.setHandler(new Connection.SessionHandler(dispatcher, false));
        acceptor.setHandler(new Connection.SessionHandler(dispatcher, true));
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(ACCEPT_BACKLOG);
        acceptor.setCloseOnDeactivation(false);         // connections survive another listen address and shutdown
        for (SocketSessionConfig session : List.of(connector.getSessionConfig(), acceptor.getSessionConfig())) {
            session.setTcpNoDelay(true);
            session.setWriteTimeout(WRITE_TIMEOUT_S);
        }
        acceptor.getSessionConfig().setMaxReadBufferSize(MAX_CLIENT_READ_BYTES);
        // The dispatcher's own timer for a connect fires earlier; this one ends the attempt. It is never cancelled: a
        // cancel that crosses the moment in which it comes up makes MINA's connector miscount, and stop.
        connector.setConnectTimeoutMillis((long) config.directorSettings.connectMs + CONNECT_TIMEOUT_MARGIN_MS);
    }

    /** Starts to serve; throws where the configured list or rules can't be used, or the address can't be bound. */
    public void start() throws IOException, StartupConfig.InvalidConfigException {
        RouteTable table = compileRoutes(routeRules, config, null);
        if (table != null) {
            dispatcher.activeRoutes = new ActiveRoutes(config.name);
            dispatcher.activeRoutes.scaleLimits(limitScale);
            dispatcher.activeRoutes.activate(null, table, null);
        }
        dispatcher.enter();
        try {
            if (persistentMembership == null) ConfiguredList.apply(config.known, dispatcher, discoveryListener);
            else persistentMembership.start(config.known == null ? null : ConfiguredList.toSnapshot(config.known,
                membershipSettings.fleet(), config.name, config.writtenAt));
        } catch (RuntimeException e) {
            throw new StartupConfig.InvalidConfigException("field known can't be used: " + e.getMessage());
        } finally {
            dispatcher.leave();
        }
        serviceThread(dispatcher.timers, "timers").start();
        dispatcher.runLocked(discoveryWatch::advance);
        awaitDiscovery();
        acceptor.bind(config.listen);
        dispatcher.runLocked(() -> {
            scheduleCounterLine();
            // A SIGTERM may have arrived meanwhile.
            dispatcher.ready = shutdown.state() == ShutdownSequence.State.SERVING;
        });
        LOG.info("{} serves on {}", config.name, acceptor.getLocalAddress());
    }

    /**
     * Waits for discovery before the director listens: whoever sees an open port may send, and a drain or purge that
     * was announced after the configuration was written must already count then. Where discovery does not answer, the
     * configured list is used.
     */
    private void awaitDiscovery() {
        try {
            if (!discoveryWatch.awaitFirstFrame()) LOG.debug("discovery has not answered; using the known list");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Compiles the rules for this configuration; null where there are none. Throws with all errors of the rules. */
    private static RouteTable compileRoutes(RouteRules rules, StartupConfig config, RouteTable previous)
        throws StartupConfig.InvalidConfigException {
        if (rules == null) return null;
        List<String> errors = new ArrayList<>();
        RouteTable table = compile(rules, config, previous, errors);
        if (table == null) throw new StartupConfig.InvalidConfigException(String.join("; ", errors));
        for (String note : table.notes()) {
            LOG.atWarn().addKeyValue("note", note).log("routes: a part can never have an effect");
        }
        LOG.atInfo().addKeyValue("rules", table.size()).addKeyValue("worst_steps", table.worstCaseSteps())
            .log("routes: compiled");
        return table;
    }

    private static RouteTable compile(RouteRules rules, StartupConfig config, RouteTable previous,
                                      List<String> errors) {
        return RouteTable.compile(rules, config.directorSettings.workloads, config.directorSettings.workloadTable,
            config.directorSettings.directorsInZone, config.maxHops, previous, errors);
    }

    /** Sets this director's share of each rate limit, as a factor of the configured limit; from any thread. */
    public void scaleLimits(double scale) {
        dispatcher.runLocked(() -> {
            limitScale = scale;
            if (dispatcher.activeRoutes != null) dispatcher.activeRoutes.scaleLimits(scale);
        });
    }

    /** Before the start: uses the fleet's policy, which supplies the route tables and permits lookups to start. */
    public void usePolicy(ServingPermit permit, boolean exposePlan) {
        dispatcher.runLocked(() -> {
            dispatcher.servingPermit = permit;
            dispatcher.exposePlan = exposePlan;
            dispatcher.activeRoutes = new ActiveRoutes(config.name);
            dispatcher.activeRoutes.scaleLimits(limitScale);
        });
    }

    /** Compiles the rules of a policy for this director; null with the errors added where they are invalid. */
    public RouteTable compilePolicy(RouteRules rules, List<String> errors) {
        RouteTable[] previous = new RouteTable[1];
        dispatcher.runLocked(() ->
            previous[0] = dispatcher.activeRoutes == null ? null : dispatcher.activeRoutes.table());
        return compile(rules, config, previous[0], errors);
    }

    /** Uses the tables from the next lookup on; lookups that are open keep the outcome of the previous ones. */
    public void activatePolicy(Plan plan, RouteTable main, RouteTable trial) {
        dispatcher.runLocked(() -> dispatcher.activeRoutes.activate(plan, main, trial));
    }

    /** SIGHUP: applies a new configuration while serving; open connections stay. */
    public void reload(StartupConfig newConfig) {
        try {
            reload(newConfig, membershipSettings, routeRules);
        } catch (StartupConfig.InvalidConfigException e) {
            reloadFailed(e.getMessage());
        }
    }

    /** The same with the operators' file read again; switching a feature on or off takes a restart. */
    public void reload(StartupConfig newConfig, MembershipSettings newMembershipSettings, RouteRules newRules)
        throws StartupConfig.InvalidConfigException {
        // Everything is compiled first, so that the next lookup sees the new table as a whole.
        boolean ownRoutes = dispatcher.servingPermit == null;   // else the tables come from the fleet's policy
        RouteTable table = ownRoutes ? compileRoutes(newRules, config,
            dispatcher.activeRoutes == null ? null : dispatcher.activeRoutes.table()) : null;
        List<InetSocketAddress> oldAddresses = List.of(config.listen);
        boolean addressChanged = !newConfig.listen.equals(config.listen);
        if (addressChanged) {
            try {
                acceptor.bind(newConfig.listen);
            } catch (IOException e) {
                LOG.warn("reload: can't listen on {} ({}); all stays as it was", newConfig.listen, e.getMessage());
                return;
            }
        }
        dispatcher.runLocked(() -> {
            boolean membershipNeedsRestart = needsRestart(newMembershipSettings);
            routeRules = newRules;
            if (ownRoutes && table == null) dispatcher.activeRoutes = null;
            if (table != null) {
                if (dispatcher.activeRoutes == null) dispatcher.activeRoutes = new ActiveRoutes(config.name);
                dispatcher.activeRoutes.scaleLimits(limitScale);
                dispatcher.activeRoutes.activate(null, table, null);
            }
            boolean needsRestart = membershipNeedsRestart || !newConfig.settings.equals(config.settings);
            if (!membershipNeedsRestart && newMembershipSettings != null
                && !newMembershipSettings.equals(membershipSettings)) {
                persistentMembership.reload(newMembershipSettings.ages(),
                    newMembershipSettings.urgentWriteDelayMs(), newMembershipSettings.writeIntervalMs());
                membershipSettings = newMembershipSettings;
            }
            config = newConfig;
            applyLimits();
            discoveryWatch.moveTo(newConfig.discovery);
            dispatcher.counters.reloads++;
            LOG.info("reload: the file is read anew{}", needsRestart ? "; its settings wait for the next start" : "");
        });
        if (addressChanged) acceptor.unbind(oldAddresses);
    }

    /** Whether the persistent membership is switched on or off, or has another file or fleet. */
    private boolean needsRestart(MembershipSettings newSettings) {
        return membershipSettings == null != (newSettings == null) || newSettings != null
            && !(newSettings.file().equals(membershipSettings.file())
                && newSettings.fleet().equals(membershipSettings.fleet()));
    }

    /** Reports that the reloaded file can't be used. */
    public void reloadFailed(String reason) {
        LOG.warn("reload: {}; all stays as it was", reason);
    }

    Dispatcher dispatcher() {
        return dispatcher;
    }

    DiscoveryWatch discoveryWatch() {
        return discoveryWatch;
    }

    PersistentMembership persistentMembership() {
        return persistentMembership;
    }

    /** The port that it listens on. */
    public int port() {
        return acceptor.getLocalAddress().getPort();
    }

    private void scheduleCounterLine() {
        dispatcher.timers.set(new Timers.Timer() {
            @Override void fire() {
                logCounters();
                scheduleCounterLine();
            }
        }, dispatcher.clock() + COUNTERS_INTERVAL_MS);
    }

    private void logCounters() {
        Runtime runtime = Runtime.getRuntime();
        LOG.info("{}{}; open {}, clients {}, nodes {}, timers {}, heap {} MB", dispatcher.counters.line(),
            (persistentMembership == null ? "" : persistentMembership.counterLine())
                + (dispatcher.activeRoutes == null ? "" : dispatcher.activeRoutes.line()),
            dispatcher.openLookupCount(), dispatcher.clientCount(), dispatcher.nodes.size(),
            dispatcher.timers.size(), (runtime.totalMemory() - runtime.freeMemory()) >> 20);
    }

    /**
     * SIGTERM: serves as long as requests may arrive, answers all that are open, then returns; see
     * {@link ShutdownSequence}.
     */
    public void stop() throws InterruptedException {
        double longestMs = 0;
        for (Workload workload : config.directorSettings.workloadTable) {
            longestMs = Math.max(longestMs, workload.timeoutMs());
        }
        dispatcher.enter();
        try {
            dispatcher.ready = false;
            dispatcher.draining = true;
            shutdown.start(dispatcher.clock(), longestMs);
            dispatcher.timers.set(new Timers.Timer() {
                @Override void fire() {
                    dispatcher.stopSending();
                }
            }, shutdown.answerDeadline());
        } finally {
            dispatcher.leave();
        }
        LOG.info("shutting down: answering open requests");
        for (boolean listening = true;; Thread.sleep(SHUTDOWN_POLL_MS)) {
            ShutdownSequence.State state;
            dispatcher.enter();
            try {
                state = shutdown.step(dispatcher.clock(), acceptor.lastAcceptedAt, dispatcher.clientCount());
            } finally {
                dispatcher.leave();
            }
            if (state == ShutdownSequence.State.CLOSING && listening) {
                listening = false;
                acceptor.unbind();
                dispatcher.runLocked(dispatcher::closeIdleClients);
            }
            if (state == ShutdownSequence.State.TERMINATED) break;
        }
        dispatcher.runLocked(() -> {
            discoveryWatch.stop();
            logCounters();
        });
        if (persistentMembership != null) {
            double leftMs = Math.min(MAX_LAST_WRITE_MS, shutdown.killAt() - System.currentTimeMillis());
            persistentMembership.stop((long) Math.max(MIN_LAST_WRITE_MS, leftMs));
        }
        dispatcher.runLocked(dispatcher.timers::stop);
        terminated.countDown();
    }

    /** Closes the sockets at once and without answers, for tests that start several directors in one process. */
    public void release() {
        if (persistentMembership != null) persistentMembership.kill();
        dispatcher.runLocked(() -> {
            dispatcher.refuseSends();                   // a connector that is disposed of connects no more
            discoveryWatch.stop();
            dispatcher.timers.stop();
        });
        acceptor.dispose(false);
        connector.dispose(false);
        processor.dispose();
        terminated.countDown();
    }

    /** Waits until the director has shut down. */
    public void await() throws InterruptedException {
        terminated.await();
    }
}
