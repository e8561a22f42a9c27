package mothcross.net;

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
 * The measurements of starting while discovery is down, on loopback and stand-ins: {@code share}, {@code drains},
 * {@code lists}, {@code start [JAR-BEFORE]}. Prints the tables of docs/measured/membership.md. Never part of CI.
 */
public final class MeasureMembership {
    private static final double HOUR = 3_600_000;
    private static final AgeLimits BELIEVES_ALL = new AgeLimits(3650 * Fleet.DAY, 3650 * Fleet.DAY, 30_000, 1_000_000,
        200, 1000, 0.5, 30_000, 5000);

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

    /** A director of this fleet is ready; how many of the lookups of its first 10 s are handled? */
    private static void share(String only) throws Exception {
        ExecutorService some = Executors.newFixedThreadPool(3);
        System.out.println("| withheld | entries | this | no list | believes all | falls over: this, believes all |");
        System.out.println("| --- | --- | --- | --- | --- | --- |");
        List<Future<String>> rows = new ArrayList<>();
        for (String mix : List.of("recent", "old", "mixed, a quarter gone", "old, all back cold")) {
            if (!mix.contains(only)) continue;
            for (int withheld : new int[] {0, 5, 30, 300}) {
                rows.add(some.submit(() -> {
                    double[] ours = run(mix, withheld, Fleet.AGES, true), none = run(mix, withheld, Fleet.AGES, false),
                        all = run(mix, withheld, BELIEVES_ALL, true);
                    return String.format(Locale.ROOT, "| %d s | %s | %.3f | %.3f | %.3f | %.0f, %.0f |", withheld,
                        mix, ours[0],
                        none[0], all[0], ours[1], all[1]);
                }));
            }
        }
        for (Future<String> row : rows) System.out.println(row.get());
        some.shutdown();
    }

    private static double[] run(String mix, int withheld, AgeLimits ages, boolean list) throws Exception {
        try (Fleet f = new Fleet(8)) {
            f.configParameters.put("directors", "2");
            boolean mixed = mix.startsWith("mixed");
            List<FakeNode> old = mixed ? f.caches.subList(0, 4) : List.of();
            double age = mix.startsWith("old") ? HOUR : 60_000;
            List<String> names = List.of("d1", "d2");
            if (list) for (String n : names) f.writeSnapshot(n, age, HOUR, old, f.all());
            List<FakeNode> there = new ArrayList<>(List.of(f.all()));
            if (mixed) {
                there.remove(f.caches.get(0).stop());
                there.remove(f.caches.get(4).stopAnsweringConnects());
            }
            List<FakeNode> cold = new ArrayList<>();
            if (mix.endsWith("cold")) {
                for (FakeNode b : f.caches) {
                    double now = System.currentTimeMillis();
                    cold.add(f.closeWithFleet(b.replacedBy(b.number(), now, (long) now).setLookupSize(250)));
                    there.set(there.indexOf(b), cold.get(cold.size() - 1));
                }
            }
            f.discovery.restartNumbering(11);
            f.discovery.sendSnapshot(there.toArray(FakeNode[]::new));
            if (withheld == 0) f.discovery.startListening();
            List<FakeClients> load = new ArrayList<>();
            for (String n : names) load.add(new FakeClients(f.director(n, f.membershipSettings(n, ages)).port(), 6, 10, 250,
                5000 * load.size()));
            long begun = System.nanoTime();
            boolean open = withheld == 0;
            for (long t; (t = System.nanoTime() - begun) < 10_000_000_000L; Thread.sleep(5)) {
                if (open || t < withheld * 1_000_000_000L) continue;
                f.discovery.startListening();
                open = true;
            }
            double handled = 0, asked = 0;
            for (FakeClients c : load) {
                handled += c.handled.get();
                asked += c.handled.get() + c.refused.get() + c.failed.get();
                c.close();
            }
            return new double[] {handled / asked, cold.stream().filter(FakeNode::overloaded).count()};
        }
    }

    /** From when a drain had been written to the director to the last lookup that came to the box. */
    private static void drains(int n) throws Exception {
        try (Fleet f = new Fleet(4)) {
            f.discovery.sendSnapshot(f.all());
            f.discovery.startListening();
            DirectorServer d = f.director("d1");
            double[] last = new double[n];
            int sentAfter = 0;
            try (FakeClients load = new FakeClients(d.port(), 8, 0, 10, 0)) {
                load.awaitHandled(2000);
                for (int i = 0; i < n; i++) {
                    FakeNode b = f.caches.get(i % 4);
                    long event = f.discovery.sendChanges(FakeDiscovery.DRAINING, b);
                    long told = f.discovery.sentAtNanos.get(event);
                    Fleet.awaitTrue("event", () -> Fleet.lastEvent(d) == event);
                    Thread.sleep(30);
                    List<FakeNode.Arrival> all = b.arrivals();
                    double late = all.isEmpty() ? 0 : (all.get(all.size() - 1).nano() - told) / 1e6;
                    last[i] = Math.max(0, late);
                    if (late > 0) sentAfter++;
                    f.discovery.sendChanges(FakeDiscovery.READY, b);
                }
                Arrays.sort(last);
                System.out.printf(Locale.ROOT, "%d drains under %d lookups: p50 %.2f ms, p99 %.2f ms, most %.2f ms; "
                    + "sent after being "
                    + "written in %d%n", n, load.handled.get(), last[n / 2], last[n * 99 / 100], last[n - 1],
                        sentAfter);
            }
        }
    }

    /** Boxes, and how long writing, reading and reconciling take, ms, best of some. */
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
                Map<String, ListedNode> told = new HashMap<>();
                for (int i = 0; i < n; i++) {
                    told.put("s-" + i, new ListedNode("s-" + i, "10.0." + i / 250 + "." + i % 250, 80, "here", "cache",
                        0, Director.IN_SERVICE, 4, 0, 1000, 0, true));
                }
                MembershipSnapshot k = new MembershipSnapshot("fleet", "d1", 1000, 10, 1000, HashTreePMap.from(told),
                    List.of());
                double[] t = new double[7];
                t[0] = System.nanoTime();
                byte[] b = SnapshotFormat.encode(k);
                t[1] = System.nanoTime();
                SnapshotFileStore disk = new SnapshotFileStore(file, "fleet", "d1");
                disk.write(k);
                t[2] = System.nanoTime();
                Membership m = new Membership(AgeLimits.DEFAULTS, 1000, new SplittableRandom(1),
                    (e, was, is, cold, why) -> { });
                m.restore(disk.read(2000, 0).snapshot(), 2000);
                t[3] = System.nanoTime();
                m.listStarted(11, true, 3000);
                for (ListedNode x : told.values()) {
                    m.nodeListed(x.id(), x.host(), x.port(), x.zone(), x.kind(), 0, Director.IN_SERVICE, 4, 0, 3000);
                }
                m.listFinished(3000);
                t[4] = System.nanoTime();
                m.tick(3500);
                t[5] = System.nanoTime();
                m.snapshot("fleet", "d1", 3500);
                t[6] = System.nanoTime();
                for (int i = 0; i < 6; i++) best[i] = Math.min(best[i], (t[i + 1] - t[i]) / 1e6);
                bytes = b.length;
            }
            System.out.printf(Locale.ROOT, "| %d | %d | %.2f | %.2f | %.2f | %.2f | %.3f | %.3f |%n", n, bytes,
                best[0], best[1],
                best[2], best[3], best[4], best[5]);
        }
        Files.delete(file);
    }

    /** Start to 'serves on' and resident memory 1.5 s after, of the run line's process; medians of 9, in turn. */
    private static void starts(String before) throws Exception {
        String run = Files.readAllLines(Path.of("deploy", "balancer.toml")).stream().filter(l ->
            l.startsWith("run ")).findFirst()
            .orElseThrow().replaceAll("^run = \"|\"$", "");
        try (Fleet f = new Fleet(3)) {
            f.discovery.sendSnapshot(f.all());
            f.discovery.startListening();
            com.google.gson.JsonObject o = com.google.gson.JsonParser.parseString(f.startupConfigText("d1")).getAsJsonObject();
            o.add("known", com.google.gson.JsonParser.parseString("{\"no\": 0, \"items\": []}"));
            Path told = Files.writeString(f.directory.resolve("told.json"), o.toString());
            Path features = Files.writeString(f.directory.resolve("operators.jsonnet"),
                "{membership: {file: '" + f.snapshotFile("d1") + "', fleet: 'fleet'}}");
            Map<String, String> ways = new java.util.LinkedHashMap<>();
            if (before != null) ways.put("before", run.replace("target/mothcross.jar", before));
            ways.put("run", run);
            ways.put("with --operators", run + " --operators " + features);
            Map<String, List<double[]>> got = new HashMap<>();
            for (int i = 0; i < 9; i++) {
                for (Map.Entry<String, String> w : ways.entrySet()) {
                    ProcessBuilder b = new ProcessBuilder("/bin/sh", "-c", w.getValue());
                    b.environment().put("ROUTER_CONFIG", told.toString());
                    long t = System.nanoTime();
                    Process p = b.start();
                    try (var err = p.errorReader()) {
                        err.lines().filter(l -> l.contains(" serves on ")).findFirst().orElseThrow();
                        double ms = (System.nanoTime() - t) / 1e6;
                        Thread.sleep(1500);
                        String status = Files.readString(Path.of("/proc/" + p.pid() + "/status"));
                        double kb = Double.parseDouble(status.replaceAll("(?s).*VmRSS:\\s*(\\d+) kB.*", "$1"));
                        try (var fds = Files.list(Path.of("/proc/" + p.pid() + "/fd"))) {
                            got.computeIfAbsent(w.getKey(), x -> new ArrayList<>()).add(new double[] {ms, kb / 1024,
                                fds.count()});
                        }
                    } finally {
                        p.destroyForcibly().waitFor();
                    }
                }
            }
            System.out.println("| | start, ms | resident, MB | descriptors |");
            System.out.println("| --- | --- | --- | --- |");
            for (String w : ways.keySet()) {
                double[] mid = new double[3];
                for (int i = 0; i < 3; i++) {
                    int at = i;
                    double[] all = got.get(w).stream().mapToDouble(x -> x[at]).sorted().toArray();
                    mid[i] = all[all.length / 2];
                }
                System.out.printf(Locale.ROOT, "| %s | %.0f | %.1f | %.0f |%n", w, mid[0], mid[1], mid[2]);
            }
        }
    }
}
