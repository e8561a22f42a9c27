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

/** The command line. */
@Command(name = "mothcross", description = "Decides where objects are served, kept and filled from.",
    mixinStandardHelpOptions = true, versionProvider = Main.Version.class,
    subcommands = {Main.Serve.class, Main.Check.class, Main.Sim.class, Main.VersionCommand.class})
public final class Main implements Callable<Integer> {
    private static final int USAGE = 2;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    private Main() { }

    public static void main(String[] args) {
        CommandLine all = new CommandLine(new Main());
        // A director's start costs neither the time nor the memory of what looks at tools' commands.
        if (args.length == 0 || !List.of("serve", "simhost").contains(args[0])) Commands.add(all);
        System.exit(all.execute(args));
    }

    /** Those that look and try; a class of its own, so that it is not loaded without them. */
    private static final class Commands {
        static void add(CommandLine to) {
            to.addSubcommand(new ListCommand()).addSubcommand(new ExprCommand()).addSubcommand(new EmulateCommand())
                .addSubcommand(new ExperimentCommand()).addSubcommand(new FleetCommand())
                .addSubcommand(new PolicyCommand()).addSubcommand(new RigCommand());
            // Its own options are read by the tool itself, on the tools' loader.
            to.getSubcommands().get("experiment").setUnmatchedOptionsArePositionalParams(true);
            to.getSubcommands().get("rig").getSubcommands().get("explore").setUnmatchedOptionsArePositionalParams(true);
        }
    }

    @Override public Integer call() {
        spec.commandLine().usage(System.err);
        return USAGE;
    }

    static final class Version implements CommandLine.IVersionProvider {
        @Override public String[] getVersion() {
            String v = Main.class.getPackage().getImplementationVersion();
            return new String[] {"mothcross " + (v == null ? "(not from a package)" : v)};
        }
    }

    private static final class ConfigOptions {
        @Option(names = "--config", paramLabel = "FILE", defaultValue = "${env:ROUTER_CONFIG}",
            description = "what the director is told, as JSON (default: $ROUTER_CONFIG)")
        private Path config;

        @Option(names = "--listen", paramLabel = "HOST:PORT", defaultValue = "${env:ROUTER_LISTEN}",
            description = "where clients connect (default: $ROUTER_LISTEN, else the file's)")
        private String listen;

        @Option(names = "--operators", paramLabel = "FILE",
            description = "the operators' own file, Jsonnet; without it every feature of its is off")
        private Path operators;

        /** Both files, or neither: what can't be used in one leaves the other unused as well. */
        LoadedConfig read() throws StartupConfig.InvalidConfigException, OperatorsFile.InvalidOperatorsFileException {
            OperatorsFile features = operators == null ? null : OperatorsFile.read(operators);
            MembershipSettings list = features == null ? null : features.part(SettingsPart.MEMBERSHIP);
            StartupConfig start = config == null ? null : StartupConfig.read(config, listen, list == null);
            return new LoadedConfig(start, features, list, features == null ? null : features.part(SettingsPart.ROUTES),
                features == null ? null : features.part(SettingsPart.FLEET), features == null ? null
                : features.part(SettingsPart.POLICY));
        }
    }

    private record LoadedConfig(StartupConfig start, OperatorsFile features, MembershipSettings list, RouteRules routes,
                        FleetSettings fleet, PolicySettings changes) { }

    /** What {@code serve} begins beside the director, and has to end: before it ends itself, and after. */
    interface FleetService {
        default void beforeStop() { }

        void afterStop() throws InterruptedException;
    }

    static int printError(OperatorsFile.InvalidOperatorsFileException e) {
        for (String fault : e.problems()) printError(e.file() + ": " + fault);
        return USAGE;
    }

    static int printError(String text) {
        System.err.println("mothcross: " + text);
        return USAGE;
    }

    @Command(name = "serve", description = "One director on sockets, until SIGTERM.",
        mixinStandardHelpOptions = true)
    static final class Serve implements Callable<Integer> {
        @CommandLine.Mixin private ConfigOptions told;

        @Option(names = "--fleet-relay", paramLabel = "HOST:PORT", hidden = true,
            description = "of tests only: where messages to other directors go, led by their address")
        private String relay;

        @Option(names = "--skew-ms", hidden = true, defaultValue = "0",
            description = "of tests only: by how much its Unix clock is off for the fleet")
        private long skewMs;

        @Option(names = "--tell-plan", hidden = true,
            description = "of tests only: answers name the plan that decided them")
        private boolean tellsPlan;

        private volatile FleetService beside;

        @Override public Integer call() throws InterruptedException {
            try {
                LoadedConfig both = told.read();
                StartupConfig start = both.start;
                if (start == null) return printError("no configuration: give --config or set ROUTER_CONFIG");
                DirectorServer life = new DirectorServer(start, both.list, both.routes);
                if (both.fleet != null) life.scaleLimits(0);  // until it knows which part is its own
                Thread end = new Thread(() -> end(life), "end");
                Runtime.getRuntime().addShutdownHook(end);      // before it serves: SIGTERM may come at once
                CountDownLatch serves = new CountDownLatch(1);
                Signal.handle(new Signal("HUP"), s -> reload(life, serves));
                try {
                    if (both.changes != null) beside = PolicyCommand.joinFleet(both.fleet, both.changes, start, life,
                        relay, skewMs, tellsPlan, b -> beside = b);
                    life.start();
                } catch (java.io.IOException | StartupConfig.InvalidConfigException e) {
                    Runtime.getRuntime().removeShutdownHook(end);
                    return printError(e instanceof StartupConfig.InvalidConfigException ? e.getMessage()
                        : "can't begin at " + start.listen + ": " + e.getMessage());
                }
                if (both.fleet != null && both.changes == null) {
                    try {
                        FleetNode n = FleetCommand.createNode(both.fleet, start, relay, skewMs, life::scaleLimits);
                        n.start();
                        beside = FleetCommand.closeBeforeStop(n);
                    } catch (java.io.IOException e) {
                        Runtime.getRuntime().removeShutdownHook(end);
                        return printError("can't take part in the fleet at " + both.fleet.listen() + ": "
                            + e.getMessage());
                    }
                }
                serves.countDown();
                life.await();
                return 0;
            } catch (StartupConfig.InvalidConfigException e) {
                return printError(e.getMessage());
            } catch (OperatorsFile.InvalidOperatorsFileException e) {
                return printError(e);
            }
        }

        private synchronized void reload(DirectorServer life, CountDownLatch serves) {
            try {
                serves.await();
                LoadedConfig both = told.read();
                life.reload(both.start, both.list, both.routes);
            } catch (StartupConfig.InvalidConfigException | OperatorsFile.InvalidOperatorsFileException e) {
                life.reloadFailed(e.getMessage());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        /** The signal's own exit status is not ours: what was taken is answered, then it ends with 0. */
        private void end(DirectorServer life) {
            try {
                FleetService b = beside;
                if (b != null) b.beforeStop();
                life.stop();
                if (b != null) b.afterStop();
                Runtime.getRuntime().halt(0);
            } catch (InterruptedException e) {
                Runtime.getRuntime().halt(1);
            }
        }
    }

    @Command(name = "check", description = "Reads a configuration and says what it holds, without serving.",
        mixinStandardHelpOptions = true)
    static final class Check implements Callable<Integer> {
        @CommandLine.Mixin private ConfigOptions told;

        @Option(names = "--show", description = "prints the operators' file as it was understood, defaults filled in")
        private boolean show;

        @Override public Integer call() {
            try {
                LoadedConfig both = told.read();
                StartupConfig s = both.start;
                if (both.routes != null) {
                    List<String> faults = new ArrayList<>();
                    RouteTable t = ExprCommand.compile(both.routes, s, faults);
                    for (String fault : faults) printError(fault);
                    if (t == null) return USAGE;
                    for (String note : t.notes()) System.err.println("mothcross: " + note);
                }
                if (show && both.features != null) System.out.println(both.features.show());
                if (s == null && both.features == null) {
                    return printError("no configuration: give --config or set ROUTER_CONFIG, or --operators");
                }
                if (s != null) System.out.println(s.name + " listens on " + s.listen + ", discovery " + s.discovery
                    + ", workloads " + s.directorSettings.workloads.keySet() + ", places " + s.directorSettings.zones
                    + ", kinds " + s.directorSettings.kinds);
                return 0;
            } catch (StartupConfig.InvalidConfigException e) {
                return printError(e.getMessage());
            } catch (OperatorsFile.InvalidOperatorsFileException e) {
                return printError(e);
            }
        }
    }

    @Command(name = "simhost", description = "Plays the simulator's wire on standard input and output.",
        mixinStandardHelpOptions = true)
    static final class Sim implements Callable<Integer> {
        @Override public Integer call() throws Exception {
            return new SimHost(System.in, System.out, System.err).run();
        }
    }

    @Command(name = "version", description = "Says which version this is.")
    static final class VersionCommand implements Callable<Integer> {
        @Override public Integer call() {
            System.out.println(new Version().getVersion()[0]);
            return 0;
        }
    }
}
