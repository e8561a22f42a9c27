package mothcross.cli;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.DoubleConsumer;
import mothcross.fleet.FailureDetectorSettings;
import mothcross.fleet.LimitShare;
import mothcross.fleet.net.AdminClient;
import mothcross.fleet.net.FleetMessageCodec;
import mothcross.fleet.net.FleetNode;
import mothcross.net.StartupConfig;
import mothcross.operators.FleetSettings;
import mothcross.operators.OperatorsFile;
import mothcross.operators.SettingsPart;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * {@code mothcross fleet}: how a running director sees the other members of the fleet. Exit status: 0 all is well; 1
 * the director is cut off from the majority, not a member, or some member ({@code explain}: that member) is not FINE;
 * 2 the request failed or was not understood.
 */
@Command(name = "fleet", description = "Shows how a running director sees the other directors.",
    mixinStandardHelpOptions = true)
final class FleetCommand implements Callable<Integer> {
    private static final int OK = 0;
    private static final int NOT_FINE = 1;
    private static final int USAGE = 2;
    private static final long WATCH_INTERVAL_MS = 500;
    private static final double ACK_TIMEOUT_PERIODS = 0.3;
    private static final double LIMIT_SHARE_PERIODS = 4;
    private static final double MAX_WATCH_NS = 9e18;

    @Spec private CommandSpec spec;

    /** The fleet member that the operators' settings describe, not started yet. */
    static FleetNode createNode(FleetSettings settings, StartupConfig startup, String relay, long skewMs,
                                DoubleConsumer onShareChange) {
        FailureDetectorSettings defaults = FailureDetectorSettings.DEFAULTS;
        double periodMs = settings.periodMs();
        FailureDetectorSettings detector = new FailureDetectorSettings(periodMs, ACK_TIMEOUT_PERIODS * periodMs,
            defaults.indirectProbes(), defaults.suspicionRounds(), defaults.rings(), defaults.lowShare(),
            defaults.highShare(), settings.evictionDelayMs(), defaults.proposalDelayMs(), settings.rejoinDelayMs(),
            defaults.forgetAfterMs());
        int directorCount = settings.fixedDirectorCount() > 0 ? settings.fixedDirectorCount()
            : startup.directorSettings.directorsInZone;
        List<InetSocketAddress> seeds = settings.seeds().stream().map(FleetCommand::parseAddress).toList();
        LimitShare limitShare = new LimitShare(directorCount, settings.leaseMs(), LIMIT_SHARE_PERIODS * periodMs);
        return new FleetNode(settings.fleet(), startup.name, parseAddress(settings.listen()), seeds, keys(settings),
            settings.stateFile(), detector, limitShare, relay == null ? null : parseAddress(relay), skewMs,
            onShareChange);
    }

    /** Closes the node, which announces that it leaves, before the director stops. */
    static Main.FleetService closeBeforeStop(FleetNode node) {
        return new Main.FleetService() {
            @Override public void beforeStop() {
                node.close();
            }

            @Override public void afterStop() { }
        };
    }

    static List<FleetMessageCodec.Key> keys(FleetSettings settings) {
        return settings.keys().stream()
            .map(key -> new FleetMessageCodec.Key(key.id(), key.secret().getBytes(StandardCharsets.UTF_8)))
            .toList();
    }

    static InetSocketAddress parseAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    @Override public Integer call() {
        spec.commandLine().usage(System.err);
        return USAGE;
    }

    /** The director that is asked, and the keys for it. */
    static final class AdminTarget {
        @Option(names = "--operators", paramLabel = "FILE", required = true,
            description = "the operators' file, for the fleet's name and keys")
        private Path operators;

        private FleetSettings settings;

        @Option(names = "--at", paramLabel = "HOST:PORT",
            description = "the director's address in the fleet (default: the file's)")
        private String at;

        JsonObject request(String command) throws IOException, OperatorsFile.InvalidOperatorsFileException {
            return request(command, new byte[0]);
        }

        JsonObject request(String command, byte[] body)
            throws IOException, OperatorsFile.InvalidOperatorsFileException {
            if (settings == null) settings = OperatorsFile.read(operators).part(SettingsPart.FLEET);
            if (settings == null) throw new IOException("the file has no part fleet");
            InetSocketAddress address = parseAddress(at == null ? settings.listen() : at);
            try {
                String answer = AdminClient.request(address, settings.fleet(), keys(settings), command, body);
                return JsonParser.parseString(answer).getAsJsonObject();
            } catch (IOException e) {
                throw new IOException("no answer from " + address + ": " + e.getMessage(), e);
            }
        }
    }

    static int reportFailure(Exception e) {
        if (e instanceof OperatorsFile.InvalidOperatorsFileException invalid) return Main.printError(invalid);
        return Main.printError(e.getMessage());
    }

    /** Prints a line for the view and one for each member; returns the exit status. */
    private static int print(JsonObject status, boolean allMembers) {
        boolean apart = status.get("apart").getAsBoolean();
        boolean isIn = status.get("phase").getAsString().equals("IN");
        List<String> lines = new ArrayList<>();
        int notFine = 0;
        for (JsonElement element : status.getAsJsonArray("members")) {
            JsonObject member = element.getAsJsonObject();
            String judged = member.get("judged").getAsString();
            boolean fine = judged.equals("FINE");
            if (!fine) notFine++;
            if (!allMembers && fine) continue;
            lines.add(String.format("%-8s %s  life %s  %s", judged, member.get("name").getAsString(),
                member.get("life").getAsString(), member.get("at").getAsString()));
        }
        System.out.println(status.get("name").getAsString() + " is " + status.get("phase").getAsString()
            + (apart ? ", APART" : "") + "; view " + status.get("view").getAsString() + " "
            + status.get("digest").getAsString() + ", members " + status.getAsJsonArray("members").size()
            + ", not fine " + notFine + "; " + status.get("part_of_limits").getAsString()
            + " of its fixed part of limits");
        lines.forEach(System.out::println);
        return isIn && !apart && notFine == 0 ? OK : NOT_FINE;
    }

    @Command(name = "status", description = "Prints the view, its members, and how each is judged.",
        mixinStandardHelpOptions = true)
    int status(@Mixin AdminTarget target, @Option(names = "--json") boolean json) {
        try {
            JsonObject status = target.request("status");
            if (!json) return print(status, true);
            System.out.println(status);
            return OK;
        } catch (IOException | OperatorsFile.InvalidOperatorsFileException e) {
            return reportFailure(e);
        }
    }

    @Command(name = "watch", description = "Prints the view whenever it or the judgement of a member changes.",
        mixinStandardHelpOptions = true)
    int watch(@Mixin AdminTarget target, @Option(names = "--for", paramLabel = "S", defaultValue = "1e9",
        description = "ends after this many seconds") double seconds) throws InterruptedException {
        long endNs = System.nanoTime() + (long) Math.min(MAX_WATCH_NS, seconds * 1e9);
        String previous = "";
        int exitStatus = OK;
        try {
            while (System.nanoTime() < endNs) {
                JsonObject status = target.request("status");
                status.remove("counts");
                String current = status.toString();
                if (!current.equals(previous)) exitStatus = print(status, false);
                previous = current;
                Thread.sleep(WATCH_INTERVAL_MS);
            }
            return exitStatus;
        } catch (IOException | OperatorsFile.InvalidOperatorsFileException e) {
            return reportFailure(e);
        }
    }

    @Command(name = "explain", description = "Explains how a member is judged: which edges, reported by whom.",
        mixinStandardHelpOptions = true)
    int explain(@Mixin AdminTarget target, @Parameters(paramLabel = "NAME") String name) {
        try {
            JsonArray lines = target.request("explain " + name).getAsJsonArray("lines");
            if (lines.isEmpty()) return Main.printError(name + " is not known there");
            lines.forEach(line -> System.out.println(line.getAsString()));
            String summary = lines.get(0).getAsString();
            return summary.contains("judged FINE") && summary.contains(" is IN ") ? OK : NOT_FINE;
        } catch (IOException | OperatorsFile.InvalidOperatorsFileException e) {
            return reportFailure(e);
        }
    }
}
