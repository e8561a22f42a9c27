package mothcross.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import mothcross.fleet.net.FleetNode;
import mothcross.net.DirectorServer;
import mothcross.net.StartupConfig;
import mothcross.operators.FleetSettings;
import mothcross.operators.MembershipSettings;
import mothcross.operators.OperatorsFile;
import mothcross.operators.PolicySettings;
import mothcross.operators.SettingsPart;
import mothcross.route.RouteRules;
import mothcross.route.RouteTable;
import mothcross.simhost.SimHost;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sun.misc.Signal;

/** The main class of the program, with the commands {@code serve}, {@code check}, {@code simhost}, {@code version}. */
@Command(name = "mothcross", description = "Decides which cache serves an object, whether it is kept, and where it is "
    + "filled from.",
    mixinStandardHelpOptions = true, versionProvider = Main.Version.class,
    subcommands = {Main.Serve.class, Main.Check.class, Main.Sim.class, Main.VersionCommand.class})
public final class Main implements Callable<Integer> {
    private static final int USAGE = 2;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    private Main() { }

    public static void main(String[] args) {
        CommandLine commandLine = new CommandLine(new Main());
        // The start of a director takes neither time nor memory for the commands of the tools.
        boolean isDirector = args.length > 0 && List.of("serve", "simhost").contains(args[0]);
        if (!isDirector) ToolCommands.addTo(commandLine);
        System.exit(commandLine.execute(args));
    }

    /** The commands of the tools; a class of its own, so that a director does not load them. */
    private static final class ToolCommands {
        static void addTo(CommandLine commandLine) {
            commandLine.addSubcommand(new ListCommand())
                .addSubcommand(new ExprCommand())
                .addSubcommand(new EmulateCommand())
                .addSubcommand(new ExperimentCommand())
                .addSubcommand(new FleetCommand())
                .addSubcommand(new PolicyCommand())
                .addSubcommand(new RigCommand());
            // These tools run on a class loader of their own and parse their options themselves.
            CommandLine experiment = commandLine.getSubcommands().get("experiment");
            experiment.setUnmatchedOptionsArePositionalParams(true);
            CommandLine explore = commandLine.getSubcommands().get("rig").getSubcommands().get("explore");
            explore.setUnmatchedOptionsArePositionalParams(true);
        }
    }

    @Override public Integer call() {
        spec.commandLine().usage(System.err);
        return USAGE;
    }

    static final class Version implements CommandLine.IVersionProvider {
        @Override public String[] getVersion() {
            String version = Main.class.getPackage().getImplementationVersion();
            return new String[] {"mothcross " + (version == null ? "(not from a package)" : version)};
        }
    }

    private static final class ConfigOptions {
        @Option(names = "--config", paramLabel = "FILE", defaultValue = "${env:ROUTER_CONFIG}",
            description = "the director's configuration, as JSON (default: $ROUTER_CONFIG)")
        private Path config;

        @Option(names = "--listen", paramLabel = "HOST:PORT", defaultValue = "${env:ROUTER_LISTEN}",
            description = "where clients connect (default: $ROUTER_LISTEN, else the file's)")
        private String listen;

        @Option(names = "--operators", paramLabel = "FILE",
            description = "the operators' settings file, Jsonnet; without it each of its features is off")
        private Path operators;

        /** Reads both files; an error in either means that neither is used. */
        LoadedConfig read() throws StartupConfig.InvalidConfigException, OperatorsFile.InvalidOperatorsFileException {
            if (operators == null) return new LoadedConfig(readStartup(true), null, null, null, null, null);
            OperatorsFile file = OperatorsFile.read(operators);
            MembershipSettings membership = file.part(SettingsPart.MEMBERSHIP);
            StartupConfig startup = readStartup(membership == null);
            return new LoadedConfig(startup, file, membership, file.part(SettingsPart.ROUTES),
                file.part(SettingsPart.FLEET), file.part(SettingsPart.POLICY));
        }

        private StartupConfig readStartup(boolean withoutMembership) throws StartupConfig.InvalidConfigException {
            return config == null ? null : StartupConfig.read(config, listen, withoutMembership);
        }
    }

    /** The two configuration files; null for each file or settings part that is not there. */
    private record LoadedConfig(StartupConfig startup, OperatorsFile operators, MembershipSettings membership,
                                RouteRules routes, FleetSettings fleet, PolicySettings policy) { }

    /** What {@code serve} runs beside the director, and stops before or after the director itself stops. */
    interface FleetService {
        default void beforeStop() { }

        void afterStop() throws InterruptedException;
    }

    static int printError(OperatorsFile.InvalidOperatorsFileException e) {
        for (String problem : e.problems()) printError(e.file() + ": " + problem);
        return USAGE;
    }

    /** Prints an error; returns the exit status for it. */
    static int printError(String message) {
        System.err.println("mothcross: " + message);
        return USAGE;
    }

    @Command(name = "serve", description = "Runs one director on sockets until SIGTERM.",
        mixinStandardHelpOptions = true)
    static final class Serve implements Callable<Integer> {
        @CommandLine.Mixin private ConfigOptions options;

        @Option(names = "--fleet-relay", paramLabel = "HOST:PORT", hidden = true,
            description = "for tests only: sends messages to other directors here, each preceded by its address")
        private String relay;

        @Option(names = "--skew-ms", hidden = true, defaultValue = "0",
            description = "for tests only: the error of this director's Unix clock within the fleet")
        private long skewMs;

        @Option(names = "--tell-plan", hidden = true,
            description = "for tests only: answers name the plan that decided them")
        private boolean tellsPlan;

        /** Exit status of a director that cannot go on and has to be started anew. */
        private static final int FATAL_ERROR_STATUS = 3;

        private volatile FleetService fleetService;

        @Override public Integer call() throws InterruptedException {
            try {
                LoadedConfig config = options.read();
                if (config.startup == null) {
                    return printError("no configuration: give --config or set ROUTER_CONFIG");
                }
                return serve(config);
            } catch (StartupConfig.InvalidConfigException e) {
                return printError(e.getMessage());
            } catch (OperatorsFile.InvalidOperatorsFileException e) {
                return printError(e);
            }
        }

        private int serve(LoadedConfig config) throws InterruptedException, StartupConfig.InvalidConfigException {
            StartupConfig startup = config.startup;
            DirectorServer server = new DirectorServer(startup, config.membership, config.routes);
            server.onFatalError(() -> Runtime.getRuntime().halt(FATAL_ERROR_STATUS));
            if (config.fleet != null) server.scaleLimits(0);    // until the director knows its share of the limits
            Thread shutdown = new Thread(() -> shutDown(server), "end");
            Runtime.getRuntime().addShutdownHook(shutdown);     // before the server starts: SIGTERM may come at once
            CountDownLatch started = new CountDownLatch(1);
            Signal.handle(new Signal("HUP"), signal -> reload(server, started));
            try {
                if (config.policy != null) {
                    fleetService = PolicyCommand.joinFleet(config.fleet, config.policy, startup, server, relay, skewMs,
                        tellsPlan, service -> fleetService = service);
                }
                server.start();
            } catch (java.io.IOException | StartupConfig.InvalidConfigException e) {
                Runtime.getRuntime().removeShutdownHook(shutdown);
                return printError(e instanceof StartupConfig.InvalidConfigException ? e.getMessage()
                    : "can't start at " + startup.listen + ": " + e.getMessage());
            }
            if (config.fleet != null && config.policy == null) {
                try {
                    FleetNode node = FleetCommand.createNode(config.fleet, startup, relay, skewMs,
                        server::scaleLimits);
                    node.start();
                    fleetService = FleetCommand.closeBeforeStop(node);
                } catch (java.io.IOException e) {
                    Runtime.getRuntime().removeShutdownHook(shutdown);
                    return printError("can't join the fleet at " + config.fleet.listen() + ": " + e.getMessage());
                }
            }
            started.countDown();
            server.await();
            return 0;
        }

        private synchronized void reload(DirectorServer server, CountDownLatch started) {
            try {
                started.await();
                LoadedConfig config = options.read();
                server.reload(config.startup, config.membership, config.routes);
            } catch (StartupConfig.InvalidConfigException | OperatorsFile.InvalidOperatorsFileException e) {
                server.reloadFailed(e.getMessage());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        /** Answers what was accepted, then halts with status 0 in place of the exit status of the signal. */
        private void shutDown(DirectorServer server) {
            try {
                FleetService service = fleetService;
                if (service != null) service.beforeStop();
                server.stop();
                if (service != null) service.afterStop();
                Runtime.getRuntime().halt(0);
            } catch (InterruptedException e) {
                Runtime.getRuntime().halt(1);
            }
        }
    }

    @Command(name = "check", description = "Reads a configuration and prints a summary of it, without serving.",
        mixinStandardHelpOptions = true)
    static final class Check implements Callable<Integer> {
        @CommandLine.Mixin private ConfigOptions options;

        @Option(names = "--show", description = "prints the operators' file with the defaults filled in")
        private boolean show;

        @Override public Integer call() {
            try {
                LoadedConfig config = options.read();
                StartupConfig startup = config.startup;
                if (config.routes != null) {
                    List<String> problems = new ArrayList<>();
                    RouteTable table = ExprCommand.compile(config.routes, startup, problems);
                    for (String problem : problems) printError(problem);
                    if (table == null) return USAGE;
                    for (String note : table.notes()) System.err.println("mothcross: " + note);
                }
                if (show && config.operators != null) System.out.println(config.operators.show());
                if (startup == null && config.operators == null) {
                    return printError("no configuration: give --config or set ROUTER_CONFIG, or --operators");
                }
                if (startup != null) {
                    System.out.println(startup.name + " listens on " + startup.listen + ", discovery "
                        + startup.discovery + ", workloads " + startup.directorSettings.workloads.keySet()
                        + ", places " + startup.directorSettings.zones + ", kinds " + startup.directorSettings.kinds);
                }
                return 0;
            } catch (StartupConfig.InvalidConfigException e) {
                return printError(e.getMessage());
            } catch (OperatorsFile.InvalidOperatorsFileException e) {
                return printError(e);
            }
        }
    }

    @Command(name = "simhost", description = "Speaks the simulator's protocol on standard input and output.",
        mixinStandardHelpOptions = true)
    static final class Sim implements Callable<Integer> {
        @Override public Integer call() throws Exception {
            return new SimHost(System.in, System.out, System.err).run();
        }
    }

    @Command(name = "version", description = "Prints the version.")
    static final class VersionCommand implements Callable<Integer> {
        @Override public Integer call() {
            System.out.println(new Version().getVersion()[0]);
            return 0;
        }
    }
}
