package mothcross.rig;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.DelayQueue;
import java.util.concurrent.Delayed;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import mothcross.fleet.Message;
import mothcross.fleet.net.AdminClient;
import mothcross.fleet.net.FleetMessageCodec;

/**
 * A script played among real processes of this program on loopback. All that a director sends to another goes through
 * a link of ours, which loses, delays and cuts by the script; pauses are SIGSTOP and SIGCONT. Owns the processes it
 * started, by id, and ends them, also when a play fails; must never listen off loopback.
 */
public final class ProcessFleet implements AutoCloseable {
    private static final InetAddress HERE = InetAddress.getLoopbackAddress();
    private static final Pattern VIEW = Pattern.compile(".*view=(\\d+) digest=([0-9a-f]+) cause=(\\w+) apart=(\\w+) "
        + "life=(\\d+) size=(\\d+) members=\\[(.*)] fleet: view");
    private static final Pattern VOTES = Pattern.compile(".*base=([0-9a-f]+) round=\\d+ fleet: votes");
    private static final Pattern PHASE = Pattern.compile(".*phase=(\\w+) life=(\\d+) fleet: this director");
    private static final Pattern SERVES = Pattern.compile(".* serves on /127\\.0\\.0\\.1:(\\d+).*");
    private static final Pattern DECIDED = Pattern.compile(".*revision=(\\d+) plan=(\\d+) change=(\\w*) stage=(\\w*) "
        + "outcome=(\\w*) policy: decided");
    private static final Pattern TAKEN = Pattern.compile(".*plan=(\\d+) revision=\\d+ policy: taken up");
    private static final double SETTLES_MS = 60_000, STARTS_MS = 60_000;
    private static final int VOTERS = 3;

    /** One process of the program and the link that all it sends goes through. */
    private final class Proc {
        final int id, index, port;
        final String name;
        final DatagramSocket link;
        final ServerSocket streams;
        Process process;
        volatile boolean dead, asked;                       // asked: it was told to end
        volatile long life;
        volatile String lastWords = "";
        double startedAt;
        volatile int clients;                               // the port for lookups, once it serves
        private final AtomicInteger says = new AtomicInteger(-1);
              // so many more words about the policy before it dies

        Proc(int index, int port) throws IOException {
            this.index = index;
            this.port = port;
            this.name = "n" + index;
            synchronized (history) {
                id = procs.size();
                procs.add(this);
                at.put(port, this);
            }
            // The link has one port for both, as the one it stands before has.
            DatagramSocket d = null;
            ServerSocket s = null;
            while (s == null) {
                d = new DatagramSocket(0, HERE);
                try {
                    s = new ServerSocket(d.getLocalPort(), 50, HERE);
                } catch (IOException e) {
                    d.close();
                }
            }
            link = d;
            streams = s;
            thread(this::carryDatagrams);
            thread(this::carryStreams);
            start();
        }

        private void start() throws IOException {
            Path told = Files.writeString(dir.resolve("told-" + id + ".json"), told(index));
            Path operators = Files.writeString(dir.resolve("operators-" + id + ".json"), operators(index, port));
            String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
            List<String> args = new ArrayList<>(List.of(java, "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-Xmx96m",
                "-cp", System.getProperty("java.class.path"), "mothcross.cli.Main", "serve", "--config",
                told.toString(), "--operators", operators.toString(), "--fleet-relay", "127.0.0.1:"
                + link.getLocalPort(), "--tell-plan", "--skew-ms", Long.toString(skews.getOrDefault(index, 0L))));
            ProcessBuilder b = new ProcessBuilder(args);
            b.environment().keySet().removeIf(k -> k.startsWith("ROUTER_"));
            startedAt = now();
            record(History.Kind.STARTS, this, 0);
            synchronized (history) {
                if (id >= script.members) limits.starts();
            }
            process = b.redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
            thread(this::read);
            process.onExit().thenAccept(p -> endedBy(p.exitValue()));
        }

        /** Nobody asked it to: a fault of the program, or of what it was told, which no promise allows for. */
        private void endedBy(int state) {
            synchronized (history) {
                if (dead || asked || closed) return;
                dead = true;
                String how = name + " ended by itself with state " + state + " after "
                    + Math.round(now() - startedAt) + " ms; its last words: " + lastWords;
                fell.add(how);
                policy.broken.add(0, how);
                history.add(now(), History.Kind.ENDS, id, name, life);
                history.notifyAll();
            }
        }

        /** What it says of itself goes into the history in the order in which it says it. */
        private void read() {
            try (BufferedReader in = process.errorReader();
                 var out = logs == null ? null : Files.newBufferedWriter(logs.resolve(name + "-" + id + ".log"))) {
                for (String line; (line = in.readLine()) != null;) {
                    if (out != null) {
                        out.write(line + "\n");
                        out.flush();
                    }
                    lastWords = line;
                    said(line);
                }
            } catch (IOException e) {
                // it has ended
            }
        }

        private void said(String line) {
            Matcher m = VIEW.matcher(line);
            synchronized (history) {
                if (m.matches()) {
                    life = Long.parseLong(m.group(5));
                    List<String> members = m.group(7).isEmpty() ? List.of() : List.of(m.group(7).split(", "));
                    history.view(now(), id, name, life, Long.parseLong(m.group(1)),
                        Long.parseUnsignedLong(m.group(2), 16), Boolean.parseBoolean(m.group(4)), members, m.group(3));
                    last.put(this, m.group(1) + "/" + m.group(2) + "/" + m.group(4) + "/" + m.group(6));
                } else if ((m = VOTES.matcher(line)).matches()) {
                    history.votes(now(), id, name, life, Long.parseUnsignedLong(m.group(1), 16));
                } else if ((m = PHASE.matcher(line)).matches()) {
                    if (!m.group(1).equals("STEPPED_BACK")) return;
                    record(History.Kind.STEPPED_BACK, this, Long.parseLong(m.group(2)));
                    steppedBack.add(this);
                } else if ((m = SERVES.matcher(line)).matches()) {
                    clients = Integer.parseInt(m.group(1));
                } else if ((m = DECIDED.matcher(line)).matches()) {
                    policy.decided(now(), name, Long.parseLong(m.group(1)), Long.parseLong(m.group(2)), m.group(3),
                        m.group(4), m.group(5));
                } else if ((m = TAKEN.matcher(line)).matches()) {
                    policy.takes(now(), name, Long.parseLong(m.group(1)));
                }
                history.notifyAll();
            }
        }

        private void carryDatagrams() {
            byte[] b = new byte[65_536];
            while (!link.isClosed()) {
                try {
                    DatagramPacket p = new DatagramPacket(b, b.length);
                    link.receive(p);
                    if (p.getLength() < 7) continue;
                    int to = (b[4] & 0xff) << 8 | b[5] & 0xff;
                    byte[] message = Arrays.copyOfRange(b, 6, p.getLength());
                    boolean counts = says.get() >= 0 && message[15 + message[6]] == Message.Kind.POLICY.ordinal();
                    if (counts && says.decrementAndGet() < 0) end(this, false);
                    if (dead) continue;
                    Proc there = at.get(to);
                    if (there == null || there.dead) {
                        // As the system of a machine that runs would say that nobody holds the port.
                        boolean told = there != null && !vanished.contains(to) && carries(this, there, true) >= 0
                            && carries(there, this, true) >= 0;
                        if (told) link.send(new DatagramPacket(new byte[1], 1, p.getSocketAddress()));
                        continue;
                    }
                    double after = carries(this, there, false);
                    if (after >= 0) due.add(new Due(System.nanoTime() + (long) (after * 1e6), message, there));
                } catch (IOException | InterruptedException e) {
                    return;
                }
            }
        }

        private void carryStreams() {
            while (!streams.isClosed()) {
                try {
                    Socket s = streams.accept();
                    thread(() -> carry(s));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void carry(Socket s) {
            try (s) {
                s.setSoTimeout(5000);
                DataInputStream in = new DataInputStream(s.getInputStream());
                in.readInt();
                Proc there = at.get(in.readUnsignedShort());
                if (there == null || there.dead || carries(this, there, true) < 0) return;
                try (Socket on = new Socket(HERE, there.port); InputStream from = s.getInputStream();
                     OutputStream to = on.getOutputStream()) {
                    from.transferTo(to);
                }
            } catch (IOException e) {
                // cut off, as streams are
            }
        }
    }

    /** A datagram on its way. */
    private record Due(long when, byte[] message, Proc to) implements Delayed {
        @Override public long getDelay(TimeUnit unit) {
            return unit.convert(when - System.nanoTime(), TimeUnit.NANOSECONDS);
        }

        @Override public int compareTo(Delayed o) {
            return Long.compare(when, ((Due) o).when);
        }
    }

    public final History history = new History(false);
    /** What was seen of changes of the policy, and of lookups. */
    public final PolicyRules policy = new PolicyRules(false);
    public final LimitRules limits;
    private final FaultScript script;
    private final SplittableRandom chance;
    private final Path dir, logs;
    private final long begin = System.nanoTime();
    private final List<Proc> procs = new CopyOnWriteArrayList<>();
    private final Map<Integer, Proc> at = new java.util.concurrent.ConcurrentHashMap<>();
    private final Map<Integer, Proc> byIndex = new HashMap<>();
    private final Map<Proc, String> last = new HashMap<>();
    private final Set<Proc> steppedBack = new HashSet<>();
    private final Set<Integer> vanished = java.util.concurrent.ConcurrentHashMap.newKeySet();
    private final List<double[]> losses = new CopyOnWriteArrayList<>();
    private final List<int[]> cuts = new CopyOnWriteArrayList<>();
    private volatile double delayed;
    private final DelayQueue<Due> due = new DelayQueue<>();
    private final ServerSocket bulletin = new ServerSocket(0, 50, HERE);
    private final List<Integer> seeds = new ArrayList<>();
    private final Map<Integer, Long> skews = new java.util.concurrent.ConcurrentHashMap<>();
    private final List<StandIn> boxes = new ArrayList<>();
    private final List<Clients> clients = new CopyOnWriteArrayList<>();
    private final List<String> fell = new CopyOnWriteArrayList<>();
    private volatile boolean closed;
    private final AtomicInteger asking = new AtomicInteger();
    private double zero;

    public ProcessFleet(FaultScript script, long seed, Path logs) throws IOException {
        this.script = script;
        this.chance = new SplittableRandom(seed);
        this.logs = logs;
        if (logs != null) Files.createDirectories(logs);
        this.dir = Files.createTempDirectory("mothcross-rig");
        this.limits = new LimitRules(script.limit, script.members);
        for (StandIn.Kind k : StandIn.Kind.values()) boxes.add(new StandIn(boxes.size() + 1, k));
        thread(this::tellNothing);
        thread(this::deliver);
    }

    private double now() {
        return (System.nanoTime() - begin) / 1e6;
    }

    private static void thread(Runnable r) {
        Thread t = new Thread(r, "rig");
        t.setDaemon(true);
        t.start();
    }

    private void record(History.Kind k, Proc p, long life) {
        synchronized (history) {
            history.add(now(), k, p.id, p.name, life);
        }
    }

    /** Discovery, which has nothing new. */
    private void tellNothing() {
        while (!bulletin.isClosed()) {
            try {
                Socket s = bulletin.accept();
                thread(() -> {
                    try (s) {
                        long last = new DataInputStream(s.getInputStream()).readLong();
                        byte[] nothing = ByteBuffer.allocate(13).putInt(9).putLong(last).put((byte) 0).array();
                        while (!bulletin.isClosed()) {
                            s.getOutputStream().write(nothing);
                            Thread.sleep(1000);         // the pulse of the wire, which no check waits for
                        }
                    } catch (IOException | InterruptedException e) {
                        // the director has gone
                    }
                });
            } catch (IOException e) {
                return;
            }
        }
    }

    private void deliver() {
        try (DatagramSocket out = new DatagramSocket(0, HERE)) {
            while (true) {
                Due d = due.take();
                out.send(new DatagramPacket(d.message, d.message.length, HERE, d.to.port));
            }
        } catch (IOException | InterruptedException e) {
            // the play is over
        }
    }

    /** How many ms later it gets there, or -1 where it does not. */
    private synchronized double carries(Proc from, Proc to, boolean stream) {
        for (int[] c : cuts) {
            if ((c[0] < 0 || c[0] == from.index) && (c[1] < 0 || c[1] == to.index)) return -1;
        }
        for (double[] l : losses) {
            boolean meant = l[0] < 0 || l[0] == from.index || l[0] == to.index;
            if (meant && !stream && chance.nextDouble() < l[1]) return -1;
        }
        return delayed * chance.nextDouble();
    }

    // ---- what each is told ----

    private String told(int index) {
        StringBuilder list = new StringBuilder();
        for (StandIn b : boxes) list.append(list.length() > 0 ? "," : "").append(b.listed());
        return "{\"name\":\"n" + index + "\",\"listen\":\"127.0.0.1:0\",\"seed\":\"1" + index + "\",\"limits\":"
            + "{\"memory_mb\":128,\"sockets\":256},\"bulletin\":\"127.0.0.1:" + bulletin.getLocalPort()
            + "\",\"known\":{\"no\":1,\"items\":[{\"no\":1,\"roster\":{\"revision\":1,\"complete\":true,\"members\":["
            + list + "]}}]},\"settings\":{\"Zone\":\"here\",\"Zones\":[\"here\"],\"Kinds\":"
            + "[\"cache\",\"parent\",\"origin\"],\"Balancers\":" + script.members + ",\"Caps\":{\"MaxAttempts\":4,"
            + "\"SecondCopies\":true,\"Cancel\":true,\"Probing\":false,\"RetryAfter\":true,\"MaxRetryAfter\":1.0},"
            + "\"Report\":{\"Fields\":[]},\"Rules\":{\"Cold\":14.0},\"FamilyInfo\":{\"CrewByZone\":[" + script.members
            + "],\"MasterKind\":2,\"MidKind\":1,\"PassThroughOk\":true,\"SharesFills\":true,\"PurgeTakes\":6.0},"
            + "\"Services\":[{\"Name\":\"books\",\"Effect\":\"safe\",\"OnTime\":0.4,\"HardLimit\":3.0}]}}";
    }

    private String operators(int index, int port) {
        StringBuilder s = new StringBuilder();
        for (int p : seeds) s.append(s.length() > 0 ? "," : "").append("{\"at\":\"127.0.0.1:").append(p).append("\"}");
        String more = "";
        if (script.hasPolicy()) {
            StringBuilder v = new StringBuilder();
            for (int i = 0; i < Math.min(VOTERS, script.members); i++) {
                v.append(v.length() > 0 ? "," : "").append("{\"name\":\"n").append(i).append("\"}");
            }
            more = ",\"policy\":{\"voters\":[" + v + "],\"lease_s\":" + LEASE_MS / 1000 + ",\"dir\":\""
                + policyDir(index)
                + "\"}";
        } else if (script.limit > 0) {
            more = ",\"routes\":" + limited(script.limit, script.members);
        }
        return "{\"fleet\":{\"fleet\":\"rig\",\"listen\":\"127.0.0.1:" + port + "\",\"seeds\":[" + s + "],\"keys\":"
            + "[{\"id\":1,\"secret\":\"of this play and no other\"}],\"lease_s\":1,\"file\":\""
            + dir.resolve("kept-n" + index) + "\"}" + more + "}";
    }

    /** One limit for all lookups; at once, two for each director. */
    private static String limited(double perS, int members) {
        return "{\"rules\":[{\"name\":\"all\",\"match\":\"workload == 'books'\",\"limit\":{\"key\":\"workload\","
            + "\"per_s\":" + perS + ",\"at_once\":" + 2 * members + "}}]}";
    }

    static final double LEASE_MS = 2000;

    private Path policyDir(int index) {
        return dir.resolve("policy-n" + index);
    }

    // ---- the play ----

    public void play() throws IOException, InterruptedException {
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < script.members; i++) ports.add(PortReservation.take());
        seeds.addAll(ports.subList(0, Math.min(3, ports.size())));
        for (int i = 0; i < script.members; i++) byIndex.put(i, new Proc(i, ports.get(i)));
        awaitOneView(STARTS_MS);
        awaitServing(STARTS_MS);
        zero = now();
        List<Object[]> steps = new ArrayList<>();
        for (FaultScript.Line l : script.lines) {
            steps.add(new Object[] {l.at(), (Step) () -> befalls(l, true)});
            // Of lookups and of what is asked the time is a bound: the play does not wait for it.
            boolean ends = l.lasts() > 0 && l.what().compareTo(FaultScript.What.LOOKUPS) < 0;
            if (ends) steps.add(new Object[] {l.at() + l.lasts(), (Step) () -> befalls(l, false)});
            if (l.what() == FaultScript.What.FLAP) {
                for (double t = l.by(); t < l.lasts(); t += l.by()) {
                    boolean on = Math.round(t / l.by()) % 2 == 0;
                    steps.add(new Object[] {l.at() + t, (Step) () -> befalls(l, on)});
                }
            }
        }
        steps.sort(Comparator.comparingDouble(s -> (double) s[0]));
        for (Object[] s : steps) {
            pause(zero + (double) s[0] - now());
            ((Step) s[1]).run();
        }
        pause(zero + script.ends - now());
        awaitOneView(SETTLES_MS);
        if (script.hasPolicy()) awaitCalm(SETTLES_MS);
        for (Clients c : clients) c.close();
    }

    /**
     * Waits until no change is under way and all that run decide by one plan; the checkers say where that does not
     * come.
     */
    private void awaitCalm(double most) throws InterruptedException {
        double until = now() + most;
        while (now() < until && !isCalm()) {
            synchronized (history) {
                history.wait(100);
            }
        }
        Map<String, Long> running = new HashMap<>();
        for (Proc p : procs) if (!p.dead && !steppedBack.contains(p)) running.put(p.name, policy.planOf(p.name));
        policy.ends(now(), running);
    }

    private boolean isCalm() {
        synchronized (history) {
            if (!policy.isCalm()) return false;
            for (Proc p : procs) {
                if (!p.dead && !steppedBack.contains(p) && policy.planOf(p.name) != policy.plan()) return false;
            }
            return true;
        }
    }

    /**
     * Until all that was asked is answered, no change is under way, and all that run are up and decide by one plan;
     * what
     * the script has later comes so much later.
     */
    private void awaitAll(double at) throws IOException, InterruptedException {
        double until = now() + SETTLES_MS;
        awaitServing(SETTLES_MS);
        while (now() < until && !(asking.get() == 0 && nothingUnderWay() && isCalm())) {
            synchronized (history) {
                history.wait(50);                           // between two questions; its bell is rung by what is said
            }
        }
        zero = Math.max(zero, now() - at);
    }

    /** As they say themselves: what they decide is in their logs a little later. */
    private boolean nothingUnderWay() {
        for (Proc p : procs) {
            if (p.dead || steppedBack.contains(p)) continue;
            try {
                if (ask(p, "policy status", new byte[0]).has("change")) return false;
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }

    /** Waits until each that runs has a port for lookups. */
    private void awaitServing(double most) throws InterruptedException {
        double until = now() + most;
        synchronized (history) {
            while (now() < until && procs.stream().anyMatch(p -> !p.dead && !steppedBack.contains(p)
                && p.clients == 0)) history.wait(200);
        }
    }

    /** The port for lookups of a member's latest process, 0 while it has none. */
    int clientsOf(int index) {
        Proc p = byIndex.get(index);
        return p == null || p.dead ? 0 : p.clients;
    }

    private interface Step {
        void run() throws IOException, InterruptedException;
    }

    /** The script's times are of the play itself; no check rests on them. */
    private static void pause(double ms) throws InterruptedException {
        if (ms > 0) Thread.sleep((long) ms);
    }

    /** Waits until all that run tell of one view that has them all; the checkers say so where it does not come. */
    public boolean awaitOneView(double most) throws InterruptedException {
        double until = now() + most;
        synchronized (history) {
            while (now() < until) {
                Set<String> views = new HashSet<>();
                int running = 0;
                for (Proc p : procs) {
                    if (p.dead || steppedBack.contains(p)) continue;
                    running++;
                    views.add(String.valueOf(last.get(p)));
                }
                if (views.size() == 1 && views.iterator().next().endsWith("/false/" + running)) return true;
                history.wait(Math.max(1, Math.min(1000, (long) (until - now()))));
            }
        }
        return false;
    }

    private void befalls(FaultScript.Line l, boolean begins) throws IOException, InterruptedException {
        synchronized (history) {
            if (begins) history.fault(now(), l.text());
        }
        List<Integer> whom = l.whom().size() == script.members && l.what() != FaultScript.What.PAUSE ? List.of(-1)
            : l.whom();
        List<Integer> to = l.to().size() == script.members ? List.of(-1) : l.to();
        for (int i : l.whom()) {
            Proc p = byIndex.get(i);
            switch (l.what()) {
                case PAUSE -> signal(p, begins ? "STOP" : "CONT");
                case KILL, VANISH -> end(p, l.what() == FaultScript.What.VANISH);
                case RESTART, FORGET, MOVE -> {
                    if (begins) {
                        end(p, false);
                        if (l.what() == FaultScript.What.FORGET) {
                            Files.deleteIfExists(dir.resolve("kept-n" + i));
                            delete(policyDir(i));
                        }
                    } else {
                        byIndex.put(i, new Proc(i, l.what() == FaultScript.What.MOVE ? PortReservation.take() : p.port));
                    }
                }
                case SKEW -> skews.put(i, (long) l.by());
                case DIE -> {
                    if (begins) p.says.set((int) l.by());
                    else if (p.says.getAndSet(-1) < 0 && p.dead) {
                        p.process.waitFor();
                        byIndex.put(i, new Proc(i, p.port));
                    }
                }
                case REFUSE -> {
                    // Its folder is away, as a disk that is: nothing can be written there.
                    Path away = dir.resolve("away-n" + i);
                    if (begins) Files.move(policyDir(i), away);
                    else Files.move(away, policyDir(i));
                }
                case LOOKUPS -> {
                    if (begins) clients.add(new Clients(this, i, l.by(), l.lasts()));
                }
                case PROPOSE, STOP, TRIAL, PROMOTE, ABORT, LEASES, VOTERS -> {
                    if (begins) asks(i, l);
                }
                case TWIN -> {
                    if (begins) byIndex.put(i, new Proc(i, PortReservation.take()));
                }
                case LEAVE -> {
                    p.asked = true;
                    record(History.Kind.ENDS, p, p.life);
                    p.process.destroy();
                    p.process.waitFor(10, TimeUnit.SECONDS);
                    p.dead = true;
                }
                default -> { }
            }
        }
        switch (l.what()) {
            case AWAIT -> awaitAll(l.at());
            case LOSS -> {
                for (int i : whom) {
                    if (begins) losses.add(new double[] {i, l.by()});
                    else losses.removeIf(x -> x[0] == i && x[1] == l.by());
                }
            }
            case DELAY -> delayed = begins ? l.by() : 0;
            case CUT -> {
                for (int a : whom) for (int b : to) cut(a, b, begins);
            }
            case FLAP -> {
                for (int a : l.whom()) {
                    cut(a, -1, begins);
                    cut(-1, a, begins);
                }
            }
            default -> { }
        }
    }

    /** As an operator's command would, without waiting for one to start; how it ends is in the logs. */
    private void asks(int i, FaultScript.Line l) {
        Proc p = byIndex.get(i);
        if (p.dead) return;
        asking.incrementAndGet();
        thread(() -> {
            String how;
            try {
                how = asked(p, l);
            } catch (IOException | InterruptedException e) {
                how = String.valueOf(e.getMessage());
            }
            synchronized (history) {
                history.fault(now(), l.text() + ": " + how);
                said.add(l.text() + ": " + how);
                asking.decrementAndGet();
                history.notifyAll();
            }
        });
    }

    private String asked(Proc p, FaultScript.Line l) throws IOException, InterruptedException {
        String key = "k" + p.id + "at" + (long) l.at();
        switch (l.what()) {
            case PROMOTE, ABORT -> ask(p, "policy " + l.what().name().toLowerCase(java.util.Locale.ROOT) + " " + key
                + " "
                + policy.underWay(), new byte[0]);
            case VOTERS -> {
                List<String> named = new ArrayList<>();
                for (int i : l.to()) {
                    named.add("n" + i + "=" + ask(byIndex.get(i), "policy status",
                        new byte[0]).get("mark").getAsString());
                }
                ask(p, "policy voters " + key + " " + String.join(",", named), new byte[0]);
            }
            case LEASES -> ask(p, "policy propose", proposal(key, ask(p, "policy status", new byte[0]).getAsJsonObject(
                "plan").get("main").getAsString(), l, l.by() > 0));
            default -> {
                byte[] text = text((int) l.by()).getBytes(java.nio.charset.StandardCharsets.UTF_8);
                String digest = java.util.HexFormat.of().formatHex(sha256(text)), state = "checking";
                ask(p, "policy bring " + digest, text);
                while (state.equals("checking")) {
                    state = ask(p, "policy brought " + digest, new byte[0]).get("state").getAsString();
                    Thread.sleep(5);                        // between two questions; no check rests on it
                }
                if (!state.equals("kept")) return state;
                boolean leases = ask(p, "policy status", new byte[0]).getAsJsonObject("plan").get("leases")
                    .getAsBoolean();
                proposedAt.add(now());
                ask(p, "policy propose", proposal(key, digest, l, leases));
            }
        }
        while (true) {
            JsonObject o = ask(p, "policy tried " + key, new byte[0]);
            if (o.has("outcome")) return o.get("outcome").getAsString();
            Thread.sleep(20);                               // likewise
        }
    }

    private static byte[] sha256(byte[] b) {
        try {
            return java.security.MessageDigest.getInstance("SHA-256").digest(b);
        } catch (java.security.NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);             // every JDK has it
        }
    }

    private static byte[] proposal(String key, String digest, FaultScript.Line l, boolean leases) {
        JsonObject o = new JsonObject(), canary = new JsonObject();
        canary.add("names", new com.google.gson.JsonArray());
        canary.addProperty("share", l.what() == FaultScript.What.TRIAL ? 0.3 : 0);
        o.addProperty("id", key);
        o.addProperty("digest", digest);
        o.addProperty("note", "");
        o.addProperty("mode", l.what() == FaultScript.What.STOP ? "STOP" : "HOLD");
        o.addProperty("deadlineMs", l.lasts());
        o.add("canary", canary);
        o.addProperty("leases", leases);
        return o.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
    }

    private static JsonObject ask(Proc p, String what, byte[] body) throws IOException {
        JsonObject o = JsonParser.parseString(AdminClient.ask(new InetSocketAddress(HERE, p.port), "rig",
            List.of(new FleetMessageCodec.Key(1,
                "of this play and no other".getBytes(java.nio.charset.StandardCharsets.UTF_8))),
            what, body)).getAsJsonObject();
        if (o.has("failed")) throw new IOException(o.get("failed").getAsString());
        return o;
    }

    /** When each change of the script was proposed, its text kept already where it was brought. */
    public final List<Double> proposedAt = new CopyOnWriteArrayList<>();

    /** What the commands of the script said. */
    public final List<String> said = new CopyOnWriteArrayList<>();

    /** Text number {@code n}: each another table, and the odd ones with a limit where the script has one. */
    private String text(int n) {
        if (n == 9) return "{\"routes\":{\"rules\":[{\"name\":\"x\",\"match\":\"workload === 1\"}]}}";
        return "{\"routes\":{\"rules\":[{\"name\":\"text" + n + "\",\"match\":\"workload == 'none" + n + "'\"}"
            + (script.limit > 0 ? "," + limited(script.limit, script.members).replaceAll("^.*?\\[|]}$", "") : "")
                + "]}}";
    }

    private static void delete(Path folder) throws IOException {
        if (!Files.exists(folder)) return;
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path f : all.sorted(Comparator.reverseOrder()).toList()) Files.deleteIfExists(f);
        }
    }

    double time() {
        return now();
    }

    void answered(int index, double sent, double at, int status, long plan) {
        synchronized (history) {
            policy.answered(sent, "n" + index, status, plan);
            // Where the limit comes by a change, what was decided before it is under none.
            if (!script.hasPolicy() || plan > 0) limits.answered(sent, at, status);
            answers.add(new double[] {sent, at, status, plan, index});
        }
    }

    /** Of each lookup: sent, answered, status, plan, director. */
    public final List<double[]> answers = new ArrayList<>();

    private void cut(int a, int b, boolean on) {
        cuts.removeIf(c -> c[0] == a && c[1] == b);
        if (on) cuts.add(new int[] {a, b});
    }

    private static void signal(Proc p, String name) throws IOException, InterruptedException {
        if (p.dead) return;
        new ProcessBuilder("kill", "-" + name, Long.toString(p.process.pid())).start().waitFor();
    }

    /** The latest process of a member, for a test that does to it what the script does not say. */
    ProcessHandle processOf(int index) {
        return byIndex.get(index).process.toHandle();
    }

    private void end(Proc p, boolean machineToo) throws InterruptedException {
        if (p.dead) return;
        if (machineToo) vanished.add(p.port);
        synchronized (history) {
            history.add(now(), History.Kind.ENDS, p.id, p.name, p.life);
            p.dead = true;
        }
        p.clients = 0;
        p.process.destroyForcibly().waitFor();
    }

    /** The operators' file of a member's latest process, and where that is asked. */
    public Path operatorsOf(int index) {
        return dir.resolve("operators-" + byIndex.get(index).id + ".json");
    }

    /** None but these may have been put out. */
    public FleetRules check(Set<String> mayBeOut) {
        synchronized (history) {
            FleetRules rules = new FleetRules(history).check(mayBeOut);
            rules.broken.addAll(0, fell);
            return rules;
        }
    }

    /** With real processes only promises that hold at any speed count: whoever a fault names may have been put out. */
    public FleetRules check() {
        Set<String> named = new HashSet<>();
        for (FaultScript.Line l : script.lines) {
            if (l.lasts() < 20_000) continue;
            for (int i : l.whom()) named.add("n" + i);
            for (int i : l.to()) named.add("n" + i);
        }
        return check(named);
    }

    @Override public void close() throws IOException {
        if (closed) return;
        closed = true;
        for (Clients c : clients) c.close();
        for (StandIn b : boxes) b.close();
        for (Proc p : procs) {
            if (p.process != null) p.process.destroyForcibly();
            p.link.close();
            p.streams.close();
        }
        bulletin.close();
        try (Stream<Path> all = Files.walk(dir)) {
            for (Path f : all.sorted(Comparator.reverseOrder()).toList()) Files.deleteIfExists(f);
        }
    }
}
