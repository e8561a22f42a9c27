import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;

/**
 * What every case of this review needs: the record, the director's process, its settings, and free ports. The director
 * is started with the line {@code run} of deploy/balancer.toml. Every process that was started is ended by {@link #end}.
 */
public final class Stage {
    final Path root;
    final Path folder;
    final Path temp;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final PrintWriter record;
    private boolean ended;
    private final long startNanos = System.nanoTime();
    private final List<Process> processes = new CopyOnWriteArrayList<>();
    private final List<Closeable> closeables = new CopyOnWriteArrayList<>();
    final ScheduledExecutorService timers = Executors.newScheduledThreadPool(4, Stage::daemon);
    final ExecutorService threads = Executors.newCachedThreadPool(Stage::daemon);

    /** The case's folder and the repository's root are given by run.sh. */
    Stage(String[] args) throws IOException {
        root = Path.of(args[0]).toAbsolutePath();
        folder = Path.of(args[1]).toAbsolutePath();
        temp = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), false);
        note("trouble %s", trouble ? "on" : "off");
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    }

    interface Play {
        void on(Stage stage) throws Exception;
    }

    /** Runs a case; what goes wrong in the case itself ends it as one that could not run. */
    static void run(String[] args, Play play) {
        Stage stage = null;
        try {
            stage = new Stage(args);
            play.on(stage);
            stage.cannotRun("no verdict");
        } catch (Throwable e) {
            e.printStackTrace();
            if (stage != null) stage.cannotRun(e.toString());
            System.exit(2);
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(null, task, "stage", 256 << 10);
        thread.setDaemon(true);
        return thread;
    }

    /** Milliseconds since the start of the case. */
    double ms() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    /** One line of the record. */
    void note(String format, Object... values) {
        String line = String.format(Locale.ROOT, "%9.1f  ", ms()) + String.format(Locale.ROOT, format, values);
        synchronized (record) {
            record.println(line);
        }
    }

    /** One line of the record, shown on the screen as well. */
    void say(String format, Object... values) {
        note(format, values);
        System.out.println(String.format(Locale.ROOT, format, values));
    }

    static void sleep(double ms) {
        try {
            Thread.sleep(Math.max(0, (long) ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    <T extends Closeable> T closing(T closeable) {
        closeables.add(closeable);
        return closeable;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** The value of a key of deploy/balancer.toml. */
    String deployLine(String key) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(key + " = \"")) return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
        throw new IOException("no line " + key);
    }

    /** Starts a director; {@code before} is put in front of the run line, {@code after} behind it. */
    synchronized Process director(String name, Path config, String listen, String before, String after)
        throws IOException {
        if (ended) throw new IOException("the case has ended");
        String line = before + deployLine("run") + after;
        // The shell writes its id, which the director keeps, before it starts it: run.sh ends what is left.
        String noted = System.getenv("PIDS") == null ? line : "echo $$ >> \"$PIDS\"; " + line;
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", noted).directory(root.toFile());
        builder.environment().put("ROUTER_NAME", name);
        builder.environment().put("ROUTER_LISTEN", listen);
        builder.environment().put("ROUTER_CONFIG", config.toString());
        builder.redirectErrorStream(true);
        Process process = builder.start();
        processes.add(process);
        note("director %s: process %d: %s", name, process.pid(), line);
        threads.execute(() -> {
            try (BufferedReader reader = process.inputReader()) {
                for (String text; (text = reader.readLine()) != null;) note("log of %s: %s", name, text);
            } catch (IOException e) {
                note("log of %s ended: %s", name, e);
            }
        });
        return process;
    }

    /** Waits until {@code GET /-/healthy} is answered with 200. */
    boolean ready(int port, double withinMs) {
        for (double until = ms() + withinMs; ms() < until; sleep(20)) {
            try (Client client = new Client(port)) {
                client.send("GET /-/healthy HTTP/1.1\r\nHost: origin.svc\r\n\r\n");
                Client.Answer answer = client.read(1000);
                if (answer != null && answer.status() == 200) return true;
            } catch (IOException e) {
                continue;
            }
        }
        return false;
    }

    void signal(Process process, String signal) throws IOException, InterruptedException {
        note("signal %s to process %d", signal, process.pid());
        new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
    }

    /** Ends all processes that were started, and the record. */
    synchronized void end() {
        ended = true;
        for (Process process : processes) {
            if (process.isAlive()) process.destroyForcibly();
        }
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        processes.clear();
        for (Closeable closeable : closeables) {
            try {
                closeable.close();
            } catch (IOException e) {
                continue;
            }
        }
        closeables.clear();
        synchronized (record) {
            record.flush();
        }
        File[] files = temp.toFile().listFiles();
        if (files != null) for (File file : files) file.delete();
        temp.toFile().delete();
    }

    /** Ends the case: 1 where the rule was broken, 0 where it held. */
    void verdict(boolean broken, String text) {
        say("%s: %s", broken ? "BROKEN" : "held", text);
        end();
        System.exit(broken ? 1 : 0);
    }

    /** Ends the case as one that could not run. */
    void cannotRun(String why) {
        say("could not run: %s", why);
        end();
        System.exit(2);
    }

    /** Writes a file of the configuration in whole. */
    Path write(String name, String text) throws IOException {
        Path file = temp.resolve(name);
        Path part = temp.resolve(name + ".part");
        Files.writeString(part, text, StandardCharsets.UTF_8);
        Files.move(part, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        return file;
    }

    /** The configuration of a director as kit/real/DEPLOY.md shows it, with the classes of member-offices. */
    static final class Config {
        String name = "n1";
        int directors = 3;
        int sockets = 1024;
        int memoryMb = 192;
        String listen;
        String bulletin;
        String weights = "nominal";
        String effect = "safe";
        double window = 5;
        boolean cancel = true;
        boolean probing = true;
        boolean second = true;
        double flowKb = 9200;
        double idle = 30;
        double goodFor = 5;
        double staleFor = 10;
        long known = 1;
        String seed = "8c1f30d27a5be964";
        /** Members of the list, see {@link Node#member}. */
        final List<String> members = new ArrayList<>();
        /** Further items of {@code known}. */
        final List<String> items = new ArrayList<>();

        String json() {
            StringBuilder moreItems = new StringBuilder();
            for (String item : items) moreItems.append(",").append(item);
            return "{\"name\":\"" + name + "\",\"listen\":\"" + listen + "\",\"seed\":\"" + seed + "\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets + "},"
                + "\"bulletin\":\"" + bulletin + "\",\"flow_bytes_per_s\":310000,\"link_bytes_per_s\":1240000,"
                + "\"known\":{\"no\":" + known + ",\"items\":[{\"no\":1,\"roster\":{\"revision\":1,\"complete\":true,"
                + "\"members\":[" + String.join(",", members) + "]}}" + moreItems + "]},"
                + "\"settings\":{\"Balancers\":" + directors + ",\"Rank\":0,\"Tier\":0,\"Stages\":[\"office-cache\"],"
                + "\"Zone\":\"main\",\"Zones\":[\"main\"],\"Kinds\":[\"standard\",\"parent\",\"origin\"],"
                + "\"MembershipMode\":\"pushed\",\"Weights\":\"" + weights + "\",\"WorthBy\":\"request\","
                + "\"Family\":\"edge\",\"Round\":0.002,\"Clients\":{\"MarksRetry\":true},"
                + "\"Caps\":{\"Cancel\":" + cancel + ",\"ConnectTimeout\":0.4,\"IdleClose\":" + idle
                + ",\"MaxAttempts\":6,\"MaxOpen\":23176,\"MaxRetryAfter\":1.0,\"Peers\":false,\"Probing\":" + probing
                + ",\"RetryAfter\":true,\"SecondCopies\":" + second + ",\"StreamsPerConn\":100},"
                + "\"Report\":{\"How\":\"piggyback\",\"Fields\":[\"busy_reqs\",\"cpu_share\",\"x1\"]},"
                + "\"Rules\":{\"AnswerSlack\":0.008,\"AskWithin\":10.0,\"Cold\":14.0,\"ColdFrom\":0.15,"
                + "\"DrainGrace\":0.25,\"OverloadFactor\":3.0,\"TipAfter\":1.5},"
                + "\"FamilyInfo\":{\"AttachedTo\":[0],\"CrewByZone\":[" + directors + "],\"Detail\":\"all\","
                + "\"GoodFor\":[0.0," + goodFor + "],\"HeedWithin\":0.3,\"InletKbPerS\":[0.0],\"Lateral\":\"any\","
                + "\"MasterKind\":2,\"MidKind\":1,\"MultiPart\":[true,false],\"NeverKept\":[false,false],"
                + "\"OldCopyWorth\":[0.7,0.5],\"OneFlowKbPerS\":" + flowKb + ",\"OriginFall\":3.0,"
                + "\"ParentBreaksAt\":2.0,\"ParentCold\":21.0,\"ParentFloor\":0.069,\"PassThroughOk\":true,"
                + "\"PurgeTakes\":6.0,\"RootFallMultiple\":2.5,\"SharesFills\":true,"
                + "\"StaleFor\":[0.0," + staleFor + "],\"TransitPrice\":0.02},"
                + "\"Services\":[{\"Name\":\"volume-pages\",\"Effect\":\"" + effect + "\",\"KeyScope\":\"all\","
                + "\"OnTime\":0.4,\"AimStretch\":2.0,\"HardLimit\":6.0,\"Credit\":2.0,\"LateValue\":0.15,"
                + "\"Stream\":false,\"Window\":" + window + "},"
                + "{\"Name\":\"index-cards\",\"Effect\":\"" + effect + "\",\"KeyScope\":\"all\",\"OnTime\":0.25,"
                + "\"AimStretch\":2.0,\"HardLimit\":2.5,\"Credit\":1.0,\"LateValue\":0.2,\"Stream\":false,"
                + "\"Window\":" + window + "}]}}";
        }
    }
}
