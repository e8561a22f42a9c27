package mothcross.net;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import mothcross.Director;
import mothcross.membership.AgeLimits;
import mothcross.membership.ListedNode;
import mothcross.membership.Membership;
import mothcross.membership.MembershipSnapshot;
import mothcross.membership.SnapshotFormat;
import mothcross.standin.FakeClients;
import mothcross.standin.FakeDiscovery;
import mothcross.standin.FakeNode;
import org.pcollections.HashTreePMap;

/**
 * Measures starts while discovery is unavailable, on loopback with stand-ins: {@code share}, {@code drains},
 * {@code lists}, {@code start [JAR-BEFORE]}. Prints the tables of docs/measured/membership.md; not run by CI.
 */
public final class MeasureMembership {
    private static final double HOUR_MS = 3_600_000;
    private static final AgeLimits TRUST_EVERYTHING = new AgeLimits(3650 * Fleet.DAY_MS, 3650 * Fleet.DAY_MS, 30_000,
        1_000_000, 200, 1000, 0.5, 30_000, 5000);

    private MeasureMembership() { }

    public static void main(String[] args) throws Exception {
        Thread.setDefaultUncaughtExceptionHandler((t, e) -> {
            e.printStackTrace();
            System.exit(1);
        });
        switch (args[0]) {
            case "share" -> share(args.length > 1 ? args[1] : "");
            case "drains" -> drains(args.length > 1 ? Integer.parseInt(args[1]) : 1000);
            case "lists" -> lists();
            case "start" -> starts(args.length > 1 ? args[1] : null);
            default -> throw new IllegalArgumentException(args[0]);
        }
        System.exit(0);
    }

    /** The share of lookups that are handled in the first 10 s after directors of this fleet have started. */
    private static void share(String only) throws Exception {
        ExecutorService executor = Executors.newFixedThreadPool(3);
        System.out.println("| withheld | entries | this | no list | believes all | falls over: this, believes all |");
        System.out.println("| --- | --- | --- | --- | --- | --- |");
        List<Future<String>> rows = new ArrayList<>();
        for (String mix : List.of("recent", "old", "mixed, a quarter gone", "old, all back cold")) {
            if (!mix.contains(only)) continue;
            for (int withheldS : new int[] {0, 5, 30, 300}) {
                rows.add(executor.submit(() -> {
                    double[] usual = run(mix, withheldS, Fleet.AGES, true);
                    double[] withoutList = run(mix, withheldS, Fleet.AGES, false);
                    double[] trusting = run(mix, withheldS, TRUST_EVERYTHING, true);
                    return String.format(Locale.ROOT, "| %d s | %s | %.3f | %.3f | %.3f | %.0f, %.0f |", withheldS,
                        mix, usual[0], withoutList[0], trusting[0], usual[1], trusting[1]);
                }));
            }
        }
        for (Future<String> row : rows) System.out.println(row.get());
        executor.shutdown();
    }

    /** The share of handled lookups, and the number of cold nodes that failed under load. */
    private static double[] run(String mix, int withheldS, AgeLimits ages, boolean withList) throws Exception {
        try (Fleet fleet = new Fleet(8)) {
            fleet.configParameters.put("directors", "2");
            boolean mixed = mix.startsWith("mixed");
            List<FakeNode> old = mixed ? fleet.caches.subList(0, 4) : List.of();
            double age = mix.startsWith("old") ? HOUR_MS : 60_000;
            List<String> names = List.of("d1", "d2");
            if (withList) for (String name : names) fleet.writeSnapshot(name, age, HOUR_MS, old, fleet.all());
            List<FakeNode> listed = new ArrayList<>(List.of(fleet.all()));
            if (mixed) {
                listed.remove(fleet.caches.get(0).stop());
                listed.remove(fleet.caches.get(4).stopAnsweringConnects());
            }
            List<FakeNode> cold = new ArrayList<>();
            if (mix.endsWith("cold")) {
                for (FakeNode node : fleet.caches) {
                    double now = System.currentTimeMillis();
                    cold.add(fleet.closeWithFleet(node.replacedBy(node.number(), now, (long) now).setLookupSize(250)));
                    listed.set(listed.indexOf(node), cold.get(cold.size() - 1));
                }
            }
            fleet.discovery.restartNumbering(11);
            fleet.discovery.sendSnapshot(listed.toArray(FakeNode[]::new));
            if (withheldS == 0) fleet.discovery.startListening();
            List<FakeClients> load = new ArrayList<>();
            for (String name : names) {
                DirectorServer director = fleet.director(name, fleet.membershipSettings(name, ages));
                load.add(new FakeClients(director.port(), 6, 10, 250, 5000 * load.size()));
            }
            long startedAt = System.nanoTime();
            boolean open = withheldS == 0;
            for (long elapsedNs; (elapsedNs = System.nanoTime() - startedAt) < 10_000_000_000L; Thread.sleep(5)) {
                if (open || elapsedNs < withheldS * 1_000_000_000L) continue;
                fleet.discovery.startListening();
                open = true;
            }
            double handled = 0;
            double asked = 0;
            for (FakeClients c : load) {
                handled += c.handled.get();
                asked += c.handled.get() + c.refused.get() + c.failed.get();
                c.close();
            }
            return new double[] {handled / asked, cold.stream().filter(FakeNode::overloaded).count()};
        }
    }

    /** The time from sending a drain to the director until the last lookup that arrives at the node. */
    private static void drains(int n) throws Exception {
        try (Fleet fleet = new Fleet(4)) {
            fleet.discovery.sendSnapshot(fleet.all());
            fleet.discovery.startListening();
            DirectorServer d = fleet.director("d1");
            double[] lastArrivalMs = new double[n];
            int sentAfter = 0;
            try (FakeClients load = new FakeClients(d.port(), 8, 0, 10, 0)) {
                load.awaitHandled(2000);
                for (int i = 0; i < n; i++) {
                    FakeNode node = fleet.caches.get(i % 4);
                    long event = fleet.discovery.sendChanges(FakeDiscovery.DRAINING, node);
                    long sentAt = fleet.discovery.sentAtNanos.get(event);
                    Fleet.awaitTrue("event", () -> Fleet.lastEvent(d) == event);
                    Thread.sleep(30);
                    List<FakeNode.Arrival> arrivals = node.arrivals();
                    double lateMs = arrivals.isEmpty() ? 0 : (arrivals.get(arrivals.size() - 1).nano() - sentAt) / 1e6;
                    lastArrivalMs[i] = Math.max(0, lateMs);
                    if (lateMs > 0) sentAfter++;
                    fleet.discovery.sendChanges(FakeDiscovery.READY, node);
                }
                Arrays.sort(lastArrivalMs);
                System.out.printf(Locale.ROOT, "%d drains under %d lookups: p50 %.2f ms, p99 %.2f ms, most %.2f ms; "
                    + "sent after being written in %d%n", n, load.handled.get(), lastArrivalMs[n / 2],
                    lastArrivalMs[n * 99 / 100], lastArrivalMs[n - 1], sentAfter);
            }
        }
    }

    /** The best times of writing, reading and reconciling lists of several sizes, in ms. */
    private static void lists() throws Exception {
        Path file = Files.createTempFile("mothcross", ".list");
        System.out.println("| boxes | bytes | encode | write and sync | read and restore "
            + "| whole list anew | tick | snapshot |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
        for (int n : new int[] {10, 1000, 20_000}) {
            double[] best = new double[6];
            Arrays.fill(best, 1e9);
            long bytes = 0;
            for (int round = 0; round < 15; round++) {
                Map<String, ListedNode> entries = new HashMap<>();
                for (int i = 0; i < n; i++) {
                    String host = "10.0." + i / 250 + "." + i % 250;
                    entries.put("s-" + i, new ListedNode("s-" + i, host, 80, "here", "cache", 0, Director.IN_SERVICE,
                        4, 0, 1000, 0, true));
                }
                MembershipSnapshot snapshot = new MembershipSnapshot("fleet", "d1", 1000, 0, 10, 1000,
                    HashTreePMap.from(entries), List.of());
                double[] t = new double[7];
                t[0] = System.nanoTime();
                byte[] encoded = SnapshotFormat.encode(snapshot);
                t[1] = System.nanoTime();
                SnapshotFileStore store = new SnapshotFileStore(file, "fleet", "d1");
                store.write(snapshot);
                store.sync(snapshot);
                t[2] = System.nanoTime();
                Membership membership = new Membership(AgeLimits.DEFAULTS, 1000, new SplittableRandom(1),
                    (e, was, is, cold, why) -> { });
                membership.restore(store.read(2000, 0).snapshot(), 2000);
                t[3] = System.nanoTime();
                membership.listStarted(11, true, 3000);
                for (ListedNode x : entries.values()) {
                    membership.nodeListed(x.id(), x.host(), x.port(), x.zone(), x.kind(), 0, Director.IN_SERVICE, 4, 0,
                        3000);
                }
                membership.listFinished(3000);
                t[4] = System.nanoTime();
                membership.tick(3500);
                t[5] = System.nanoTime();
                membership.snapshot("fleet", "d1", 3500);
                t[6] = System.nanoTime();
                for (int i = 0; i < 6; i++) best[i] = Math.min(best[i], (t[i + 1] - t[i]) / 1e6);
                bytes = encoded.length;
            }
            System.out.printf(Locale.ROOT, "| %d | %d | %.2f | %.2f | %.2f | %.2f | %.3f | %.3f |%n", n, bytes,
                best[0], best[1], best[2], best[3], best[4], best[5]);
        }
        Files.delete(file);
    }

    /** Time to 'serves on' and resident memory 1.5 s later of the deployed command; medians of 9 alternating starts. */
    private static void starts(String before) throws Exception {
        String run = Files.readAllLines(Path.of("deploy", "balancer.toml")).stream()
            .filter(line -> line.startsWith("run ")).findFirst().orElseThrow().replaceAll("^run = \"|\"$", "");
        try (Fleet fleet = new Fleet(3)) {
            fleet.discovery.sendSnapshot(fleet.all());
            fleet.discovery.startListening();
            JsonObject config = JsonParser.parseString(fleet.startupConfigText("d1")).getAsJsonObject();
            config.add("known", JsonParser.parseString("{\"no\": 0, \"items\": []}"));
            Path configFile = Files.writeString(fleet.directory.resolve("told.json"), config.toString());
            Path operators = Files.writeString(fleet.directory.resolve("operators.jsonnet"),
                "{membership: {file: '" + fleet.snapshotFile("d1") + "', fleet: 'fleet'}}");
            Map<String, String> commands = new LinkedHashMap<>();
            if (before != null) commands.put("before", run.replace("target/mothcross.jar", before));
            commands.put("run", run);
            commands.put("with --operators", run + " --operators " + operators);
            Map<String, List<double[]>> samples = new HashMap<>();
            for (int i = 0; i < 9; i++) {
                for (Map.Entry<String, String> w : commands.entrySet()) {
                    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", w.getValue());
                    builder.environment().put("ROUTER_CONFIG", configFile.toString());
                    long t = System.nanoTime();
                    Process p = builder.start();
                    try (var err = p.errorReader()) {
                        err.lines().filter(l -> l.contains(" serves on ")).findFirst().orElseThrow();
                        double ms = (System.nanoTime() - t) / 1e6;
                        Thread.sleep(1500);
                        String status = Files.readString(Path.of("/proc/" + p.pid() + "/status"));
                        double kb = Double.parseDouble(status.replaceAll("(?s).*VmRSS:\\s*(\\d+) kB.*", "$1"));
                        try (var fds = Files.list(Path.of("/proc/" + p.pid() + "/fd"))) {
                            samples.computeIfAbsent(w.getKey(), x -> new ArrayList<>()).add(new double[] {ms, kb / 1024,
                                fds.count()});
                        }
                    } finally {
                        p.destroyForcibly().waitFor();
                    }
                }
            }
            System.out.println("| | start, ms | resident, MB | descriptors |");
            System.out.println("| --- | --- | --- | --- |");
            for (String w : commands.keySet()) {
                double[] medians = new double[3];
                for (int i = 0; i < 3; i++) {
                    int at = i;
                    double[] all = samples.get(w).stream().mapToDouble(x -> x[at]).sorted().toArray();
                    medians[i] = all[all.length / 2];
                }
                System.out.printf(Locale.ROOT, "| %s | %.0f | %.1f | %.0f |%n", w, medians[0], medians[1], medians[2]);
            }
        }
    }
}
