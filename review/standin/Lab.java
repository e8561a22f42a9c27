import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;

/** What the cases share: a record of what happened, ports, settings of a small deployment, and directors as processes. */
final class Lab implements AutoCloseable {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    final Path root = Path.of(System.getProperty("root"));
    final Path tmp;
    private final PrintWriter record;
    private final long startedNanos = System.nanoTime();
    private final List<Process> processes = Collections.synchronizedList(new ArrayList<>());
    private final List<Closeable> parties = Collections.synchronizedList(new ArrayList<>());

    Lab(Path folder) throws IOException {
        tmp = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    double ms() {
        return (System.nanoTime() - startedNanos) / 1e6;
    }

    synchronized void log(String text) {
        String line = String.format(Locale.ROOT, "%9.1f ms  %s", ms(), text);
        record.println(line);
        record.flush();
        if (System.getenv("QUIET") == null) System.out.println(line);
    }

    <T extends Closeable> T add(T party) {
        parties.add(party);
        return party;
    }

    static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return s.getLocalPort();
        }
    }

    /** The line "run" of the deploy file. */
    String runCommand() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) return line.substring(7, line.lastIndexOf('"'));
        }
        throw new IOException("no line 'run' in the deploy file");
    }

    /** Starts a director as the deploy file does, with further arguments, and waits until it is healthy. */
    Process director(String name, int port, Path config, String arguments) throws Exception {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c",
            "echo $$ >> \"$PIDS\"; " + runCommand() + arguments);
        builder.directory(root.toFile());
        builder.environment().put("ROUTER_NAME", name);
        builder.environment().put("ROUTER_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("ROUTER_CONFIG", config.toString());
        builder.environment().put("TMPDIR", tmp.toString());
        builder.redirectErrorStream(true);
        Process process = builder.start();
        processes.add(process);
        Thread reader = new Thread(() -> {
            try (BufferedReader lines = process.inputReader()) {
                for (String line; (line = lines.readLine()) != null;) log("[" + name + "] " + line);
            } catch (IOException e) {
                log("[" + name + "] output ended");
            }
        });
        reader.setDaemon(true);
        reader.start();
        long until = System.nanoTime() + 30_000_000_000L;
        while (System.nanoTime() < until && process.isAlive()) {
            if (healthy(port, 1000)) {
                log(name + " is healthy, process " + process.pid());
                return process;
            }
            Thread.sleep(20);
        }
        throw new IllegalStateException(name + " did not become healthy");
    }

    static boolean healthy(int port, int timeoutMs) {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress("127.0.0.1", port), timeoutMs);
            s.setSoTimeout(timeoutMs);
            s.getOutputStream().write("GET /-/healthy HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n"
                .getBytes(StandardCharsets.US_ASCII));
            byte[] head = s.getInputStream().readNBytes(12);
            return new String(head, StandardCharsets.US_ASCII).equals("HTTP/1.1 200");
        } catch (IOException e) {
            return false;
        }
    }

    static void signal(Process process, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** One entry of a list in the configuration. */
    static String member(Node node, String phase) {
        return "{\"id\":\"" + node.id() + "\",\"host_port\":\"127.0.0.1:" + node.port + "\",\"locality\":\"main\",\"flavor\":\""
            + List.of("standard", "parent", "origin").get(node.kind) + "\",\"cell\":0,\"phase\":\"" + phase
            + "\",\"size\":" + node.units + ",\"up_since_ms\":" + node.startedAt + "}";
    }

    /** The items of "known" up to the event that the bulletin has now. */
    Path config(String name, int port, Bulletin bulletin, String known, Map<String, String> changes) throws IOException {
        String settings = SETTINGS;
        for (Map.Entry<String, String> change : changes.entrySet()) {
            if (!settings.contains(change.getKey())) throw new IllegalArgumentException(change.getKey());
            settings = settings.replace(change.getKey(), change.getValue());
        }
        String text = "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"seed\":\""
            + String.format("%016x", new Random().nextLong()) + "\",\n\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\n"
            + "\"bulletin\":\"127.0.0.1:" + bulletin.port + "\",\"flow_bytes_per_s\":310000,\"link_bytes_per_s\":1240000,\n"
            + "\"known\":" + known + ",\n\"settings\":" + settings + "}\n";
        Path file = tmp.resolve(name + "-" + System.nanoTime() + ".json");
        Files.writeString(file, text);
        return file;
    }

    /** The settings of the wire page's example, for one director and one zone. */
    static final String SETTINGS = """
        {"Zone":"main","Zones":["main"],"Kinds":["standard","parent","origin"],"Balancers":1,"Family":"edge",
         "MembershipMode":"pushed","Weights":"nominal","WorthBy":"request","Rank":0,"Tier":0,"Realms":[],
         "Stages":["office-cache"],"OverShareWorth":0.1,"Round":0.002,
         "Blend":{"Whole":0.65,"WorstClass":0.2,"WorstTenant":0.0,"WorstWindow":0.15},
         "Caps":{"Cancel":true,"ConnectTimeout":0.4,"CpuUsPerRequest":0.0,"CpuUsPerS":463521,"IdleClose":30.0,
          "MaxAttempts":6,"MaxOpen":23176,"MaxRetryAfter":1.0,"Peers":false,"Probing":true,"RetryAfter":true,
          "SecondCopies":true,"StreamsPerConn":100},
         "Clients":{"MarksRetry":true},
         "Deductions":{"Connection":0.0,"CrossZone":0.01,"Handshake":0.0,"LateFail":0.045,"MembershipMode":0.0,
          "Moves":0.0,"Origin":0.05,"Peer":0.0,"Probe":0.01,"Waste":0.11},
         "FamilyInfo":{"AttachedTo":[0],"CrewByZone":[1],"Detail":"all","GoodFor":[0.0,5.0],"HeedWithin":0.3,
          "InletKbPerS":[0.0],"Lateral":"any","MasterKind":2,"MidKind":1,"MultiPart":[true,false],
          "NeverKept":[false,false],"OldCopyWorth":[0.7,0.5],"OneFlowKbPerS":9200.0,"OriginFall":3.0,
          "ParentBreaksAt":2.0,"ParentCold":21.0,"ParentFloor":0.069,"PassThroughOk":true,"PurgeTakes":6.0,
          "RootFallMultiple":2.5,"SharesFills":true,"StaleFor":[0.0,10.0],"TransitPrice":0.02},
         "Report":{"Fields":["busy_reqs","cpu_share","x1"],"How":"piggyback"},
         "Rules":{"AnswerSlack":0.008,"AskWithin":10.0,"Cold":14.0,"ColdFrom":0.15,"DrainGrace":0.25,
          "OverloadFactor":3.0,"TipAfter":1.5},
         "Services":[
          {"Name":"volume-pages","AimStretch":2.0,"Credit":2.0,"Effect":"safe","HardLimit":6.0,"KeyScope":"all",
           "LateValue":0.15,"OnTime":0.4,"Stream":false,"Window":5.0},
          {"Name":"index-cards","AimStretch":2.0,"Credit":1.0,"Effect":"safe","HardLimit":2.5,"KeyScope":"all",
           "LateValue":0.2,"OnTime":0.25,"Stream":false,"Window":5.0}]}""";

    @Override public void close() {
        for (Process process : List.copyOf(processes)) process.destroyForcibly();
        for (Closeable party : List.copyOf(parties)) {
            try {
                party.close();
            } catch (IOException e) {
                continue;
            }
        }
        processes.clear();
        parties.clear();
        try (var files = Files.walk(tmp)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException | UncheckedIOException e) {
            return;
        }
    }
}
