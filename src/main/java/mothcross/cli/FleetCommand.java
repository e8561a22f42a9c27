package mothcross.cli;

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
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * {@code mothcross fleet}: what a running director holds of the others. Exit states: 0 all is well; 1 the director is
 * apart, not in, or some member is not fine ({@code explain}: that name is not); 2 it can't be asked, or not so.
 */
@Command(name = "fleet", description = "What a running director holds of the other directors.",
    mixinStandardHelpOptions = true)
final class FleetCommand implements Callable<Integer> {
    private static final int OK = 0, TROUBLE = 1, USAGE = 2;

    @Spec private CommandSpec spec;

    /** The member that the operators' part asks for, before it begins. */
    static FleetNode createNode(FleetSettings d, StartupConfig start, String relay, long skewMs, DoubleConsumer share) {
        FailureDetectorSettings u = FailureDetectorSettings.DEFAULTS;
        FailureDetectorSettings pace = new FailureDetectorSettings(d.periodMs(), 0.3 * d.periodMs(),
            u.indirectProbes(), u.suspicionRounds(), u.rings(), u.lowShare(),
            u.highShare(), d.evictionDelayMs(), u.proposalDelayMs(), d.rejoinDelayMs(), u.forgetAfterMs());
        int fixed = d.fixedDirectorCount() > 0 ? d.fixedDirectorCount() : start.directorSettings.directorsInZone;
        List<InetSocketAddress> seeds = d.seeds().stream().map(FleetCommand::parseAddress).toList();
        return new FleetNode(d.fleet(), start.name, parseAddress(d.listen()), seeds, keys(d), d.stateFile(), pace,
            new LimitShare(fixed, d.leaseMs(), 4 * d.periodMs()), relay == null ? null : parseAddress(relay), skewMs,
            share);
    }

    /** Says farewell before the director ends. */
    static Main.FleetService closeBeforeStop(FleetNode n) {
        return new Main.FleetService() {
            @Override public void beforeStop() {
                n.close();
            }

            @Override public void afterStop() { }
        };
    }

    static List<FleetMessageCodec.Key> keys(FleetSettings d) {
        return d.keys().stream().map(k -> new FleetMessageCodec.Key(k.id(),
            k.secret().getBytes(StandardCharsets.UTF_8))).toList();
    }

    static InetSocketAddress parseAddress(String at) {
        int colon = at.lastIndexOf(':');
        return new InetSocketAddress(at.substring(0, colon), Integer.parseInt(at.substring(colon + 1)));
    }

    @Override public Integer call() {
        spec.commandLine().usage(System.err);
        return USAGE;
    }

    /** Whom to ask, and with which key. */
    static final class AdminTarget {
        @Option(names = "--operators", paramLabel = "FILE", required = true,
            description = "the operators' file, for the fleet's name and keys") private Path operators;

        private FleetSettings known;

        @Option(names = "--at", paramLabel = "HOST:PORT",
            description = "the director's address in the fleet (default: the file's)") private String at;

        JsonObject request(String what) throws IOException, OperatorsFile.InvalidOperatorsFileException {
            return request(what, new byte[0]);
        }

        JsonObject request(String what, byte[] body) throws IOException, OperatorsFile.InvalidOperatorsFileException {
            if (known == null) known = OperatorsFile.read(operators).part(SettingsPart.FLEET);
            FleetSettings d = known;
            if (d == null) throw new IOException("the file has no part fleet");
            InetSocketAddress to = parseAddress(at == null ? d.listen() : at);
            try {
                String answer = AdminClient.request(to, d.fleet(), keys(d), what, body);
                return JsonParser.parseString(answer).getAsJsonObject();
            } catch (IOException e) {
                throw new IOException("no answer from " + to + ": " + e.getMessage(), e);
            }
        }
    }

    static int reportFailure(Exception e) {
        return e instanceof OperatorsFile.InvalidOperatorsFileException u ? Main.printError(u)
            : Main.printError(e.getMessage());
    }

    /** One line for the view, one for each member; the exit state. */
    private static int show(JsonObject o, boolean all) {
        boolean apart = o.get("apart").getAsBoolean(), in = o.get("phase").getAsString().equals("IN");
        List<String> lines = new ArrayList<>();
        int trouble = 0;
        for (JsonElement e : o.getAsJsonArray("members")) {
            JsonObject m = e.getAsJsonObject();
            boolean fine = m.get("judged").getAsString().equals("FINE");
            if (!fine) trouble++;
            if (all || !fine) lines.add(String.format("%-8s %s  life %s  %s", m.get("judged").getAsString(),
                m.get("name").getAsString(), m.get("life").getAsString(), m.get("at").getAsString()));
        }
        System.out.println(o.get("name").getAsString() + " is " + o.get("phase").getAsString()
            + (apart ? ", APART" : "") + "; view " + o.get("view").getAsString() + " " + o.get("digest").getAsString()
            + ", members " + o.getAsJsonArray("members").size() + ", not fine " + trouble + "; "
            + o.get("part_of_limits").getAsString() + " of its fixed part of limits");
        lines.forEach(System.out::println);
        return in && !apart && trouble == 0 ? OK : TROUBLE;
    }

    @Command(name = "status", description = "The view, its members, and how each is judged.",
        mixinStandardHelpOptions = true)
    int status(@picocli.CommandLine.Mixin AdminTarget whom, @Option(names = "--json") boolean json) {
        try {
            JsonObject o = whom.request("status");
            if (!json) return show(o, true);
            System.out.println(o);
            return OK;
        } catch (IOException | OperatorsFile.InvalidOperatorsFileException e) {
            return reportFailure(e);
        }
    }

    @Command(name = "watch", description = "A line whenever the view or a judgement changes.",
        mixinStandardHelpOptions = true)
    int watch(@picocli.CommandLine.Mixin AdminTarget whom,
              @Option(names = "--for", paramLabel = "S", defaultValue = "1e9",
        description = "ends after so many seconds") double seconds) throws InterruptedException {
        long end = System.nanoTime() + (long) Math.min(9e18, seconds * 1e9);
        String before = "";
        int state = OK;
        try {
            while (System.nanoTime() < end) {
                JsonObject o = whom.request("status");
                o.remove("counts");
                if (!o.toString().equals(before)) state = show(o, false);
                before = o.toString();
                Thread.sleep(500);
            }
            return state;
        } catch (IOException | OperatorsFile.InvalidOperatorsFileException e) {
            return reportFailure(e);
        }
    }

    @Command(name = "explain", description = "Why a name is judged as it is: which edges, whose word.",
        mixinStandardHelpOptions = true)
    int explain(@picocli.CommandLine.Mixin AdminTarget whom, @Parameters(paramLabel = "NAME") String name) {
        try {
            JsonObject o = whom.request("explain " + name);
            var lines = o.getAsJsonArray("lines");
            if (lines.isEmpty()) return Main.printError(name + " is not known there");
            lines.forEach(l -> System.out.println(l.getAsString()));
            return lines.get(0).getAsString().contains("judged FINE") && lines.get(0).getAsString().contains(" is IN ")
                ? OK : TROUBLE;
        } catch (IOException | OperatorsFile.InvalidOperatorsFileException e) {
            return reportFailure(e);
        }
    }
}
