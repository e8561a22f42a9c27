package mothcross.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Plays the scenario files of the director on sockets: a real one on loopback, its clients, nodes and bulletin by
 * stand-ins. A line names one of them and what it does: {@code >} writes, {@code drip} writes byte by byte, {@code
 * <} reads one answer, command or number and matches it whole, {@code close}, {@code reset}, {@code gone} (the
 * director must have ended the connection), {@code ends} (it must have ended without a reset), {@code eof} (its
 * side has ended, ours goes on). {@code keep} sets its connection aside, so that the next one comes beside it; {@code
 * swap} goes on with the one set aside last, {@code holds} and {@code dropped} ask that the director has kept or has
 * ended all that are set aside. {@code |} stands for CR LF, {@code @F} for a number that is filled in. First
 * {@code start KEY=VALUE}, {@code node NAME KIND}, {@code refused NAME KIND} (nothing listens there) and {@code
 * mute NAME KIND} (connections never come up), {@code narrow NAME KIND} (until it is told to {@code fill} its
 * queue); later {@code end} (as SIGTERM), {@code ended}, {@code probe}, {@code counter NAME N} ({@code nodes} and
 * {@code timers}: how many are held). No step waits for a time: each reads until what it names has come, or fails
 * after some seconds.
 */
public class ServeTest {
    @DataProvider
    public Object[][] scenarios() throws Exception {
        URL at = ServeTest.class.getResource("/serve");
        try (Stream<Path> all = Files.list(Path.of(at.toURI()))) {
            return all.sorted().map(p -> new Object[] {p.getFileName().toString(), p}).toArray(Object[][]::new);
        }
    }

    @Test(dataProvider = "scenarios", timeOut = 60_000)
    public void plays(String name, Path file) throws Exception {
        Map<String, String> start = new TreeMap<>();
        Map<String, Outside> parties = new TreeMap<>();
        Run director = null;
        int number = 0, checks = 0;
        try {
            for (String raw : Files.readAllLines(file)) {
                number++;
                String line = raw.replaceAll("^#.*", "").strip();
                if (line.isEmpty()) continue;
                String[] p = line.split(" +", 3);
                String where = name + ":" + number + " ", rest = p.length > 2 ? p[2] : "";
                switch (p[0]) {
                    case "start" -> {
                        for (String x : line.substring(6).split(" ")) start.put(x.split("=")[0], x.split("=")[1]);
                        continue;
                    }
                    case "node", "refused", "mute", "narrow" -> {
                        parties.put(p[1], Outside.listening(p[0], rest, parties.size()));
                        continue;
                    }
                    default -> { }
                }
                if (director == null) {
                    parties.put("bulletin", Outside.listening("node", "bulletin", 99));
                    director = new Run(start, parties);
                }
                switch (p[0]) {
                    case "end" -> director.end();
                    case "ended" -> director.ended();
                    case "probe" -> director.probe();
                    case "counter" -> director.counter(where, p[1], Long.parseLong(rest));
                    default -> {
                        int port = director.port;
                        Outside who = parties.computeIfAbsent(p[0], n -> Outside.client(n, port));
                        if (p[1].equals("<") || p[1].equals("gone") || p[1].equals("ends")) checks++;
                        step(where, who, p[1], director.fill(rest, parties));
                    }
                }
            }
            assertTrue(checks > 0, name + " checks nothing");
            director.counter(name, "faults", 0);
            director.counter(name, "broken", 0);
            director.counter(name, "unanswered", 0);
        } finally {
            for (Outside o : parties.values()) o.release();
            if (director != null) director.life.release();
        }
    }

    private static void step(String where, Outside who, String what, String rest) throws Exception {
        switch (what) {
            case ">" -> who.write(rest, false);
            case "drip" -> who.write(rest, true);
            case "<" -> {
                String got;
                try {
                    got = who.read();
                } catch (java.io.IOException e) {
                    throw new AssertionError(where + "waits for " + rest + ": " + e, e);
                }
                assertTrue(Pattern.compile(rest, Pattern.DOTALL).matcher(got).matches(), where + "got " + got);
            }
            case "gone" -> assertTrue(who.gone(), where + "still open");
            case "ends" -> assertTrue(who.ends(), where + "reset, or still open");
            case "close" -> who.close(false);
            case "reset" -> who.close(true);
            case "accept" -> who.accept();
            case "keep" -> who.keep();
            case "swap" -> who.swap();
            case "holds" -> assertTrue(who.keptAreOpen(), where + "ended");
            case "dropped" -> assertTrue(who.keptAreGone(), where + "still open");
            case "clear" -> who.clear();
            case "fill" -> who.fill();
            case "eof" -> assertEquals(who.in.read(), -1, where);
            case "shut" -> who.server.close();
            default -> throw new IllegalArgumentException(where + what);
        }
    }

    /** The director under test with what it was told. */
    private static final class Run {
        final DirectorServer life;
        final int port;
        private Thread ending;

        Run(Map<String, String> start, Map<String, Outside> parties) throws Exception {
            life = new DirectorServer(StartupConfig.parse(
                com.google.gson.JsonParser.parseString(Outside.told(start, parties)).getAsJsonObject(), null, true, 0));
            life.start();
            port = life.port();
        }

        void end() throws InterruptedException {
            ending = new Thread(() -> {
                try {
                    life.stop();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            ending.start();
            while (life.dispatcher().ready) Thread.onSpinWait();
        }

        /** Of the node listed first. */
        void probe() {
            life.dispatcher().runLocked(() -> life.dispatcher().probe(0));
        }

        void ended() throws InterruptedException {
            ending.join(5000);
            assertTrue(!ending.isAlive(), "ended");
        }

        /** What is counted a moment later, on another thread, is waited for. */
        void counter(String where, String name, long want) throws Exception {
            long until = System.nanoTime() + 5_000_000_000L;
            while (counted(name) != want && System.nanoTime() < until) Thread.onSpinWait();
            assertEquals(counted(name), want, where + name);
        }

        private long counted(String name) throws Exception {
            life.dispatcher().enter();
            try {
                Counters c = life.dispatcher().counters;
                if (name.equals("nodes")) return life.dispatcher().nodes.size();
                if (name.equals("timers")) return life.dispatcher().timers.size();
                return name.startsWith("end") ? c.outcomes[name.charAt(3) - '0']
                    : Counters.class.getDeclaredField(name).getLong(c);
            } finally {
                life.dispatcher().leave();
            }
        }

        /** {@code @NAME.} becomes a party's address as hex, {@code @now} the time, @long and @body many letters. */
        String fill(String text, Map<String, Outside> parties) {
            String s = text.replace("@long", "x".repeat(4000)).replace("@body", "y".repeat(200_000))
                .replace("@now",
                String.format("%016x", System.currentTimeMillis()));
            for (Map.Entry<String, Outside> e : parties.entrySet()) {
                s = s.replace("@" + e.getKey() + ".", e.getValue().hexAddress());
            }
            return s;
        }
    }

    @Test public void readsNumbersAndWordsInPlace() {
        byte[] b = Bytes.encode("x12.5yFfG 900000000000000000");
        assertEquals(Bytes.parseDecimal(b, 1, 5), 12.5);
        assertEquals(Bytes.parseHex(b, 6, 8), 255);
        assertTrue(Bytes.isHex(b, 6, 8) && !Bytes.isHex(b, 6, 9) && !Bytes.isHex(b, 6, 6));
        assertEquals(Bytes.parseInteger(b, 1, 3), 12);
        assertEquals(Bytes.parseInteger(b, 10, b.length), -1, "too long for a number");
        assertTrue(Double.isNaN(Bytes.parseDecimal(b, 0, 5)) && Bytes.parseInteger(b, 3, 3) == -1);
    }

    /** Who owes an answer is asked whether it is there when that is unusual, and ever later while it is. */
    @Test public void silenceIsUnusualByWhatAnswersTake() {
        AnswerTimes t = new AnswerTimes(2);
        assertEquals(t.unusualAfterMs(0, 0), 1000.0, "nothing is known");
        t.record(0, 400);
        assertEquals(t.unusualAfterMs(0, 0), 400 + 4 * 200.0);
        for (int i = 0; i < 200; i++) t.record(0, i % 10 == 0 ? 1800 : 300);
        double at = t.unusualAfterMs(0, 0);
        assertTrue(at > 900 && at < 3600, "one in ten takes six times as long: " + at);
        assertEquals(t.unusualAfterMs(0, 2), 4 * at);
        assertEquals(t.unusualAfterMs(0, 100), 64 * at, "bounded");
        assertEquals(t.unusualAfterMs(1, 0), 1000.0, "another workload");
        for (int i = 0; i < 100; i++) t.record(0, 50);
        assertTrue(t.unusualAfterMs(0, 0) < 60, "as quick as it has become");
    }

    /** The program itself: bad starts end it with one plain line, SIGTERM with 0 after the last answer. */
    @Test(timeOut = 60_000) public void programEndsAsItShould() throws Exception {
        Path dir = Files.createTempDirectory("mothcross");
        Path file = dir.resolve("config.json");
        Map<String, Outside> parties = new TreeMap<>(Map.of("n1", Outside.listening("node", "cache", 0),
            "bulletin", Outside.listening("node", "bulletin", 99)));
        Files.writeString(file, Outside.told(Map.of(), parties));
        String[][] bad = {{"serve", "--config", dir.resolve("none").toString()}, {"serve"},
            {"serve", "--config", file.toString(), "--listen", "127.0.0.1:" + parties.get("n1").port()},
            {"check", "--config", write(dir, "{}")}, {"check", "--config", write(dir, "no json")},
            {"check", "--config", write(dir, Files.readString(file).replace("\"safe\"", "\"often\""))}};
        for (String[] args : bad) {
            Process p = Outside.program(args);
            String said = new String(p.getErrorStream().readAllBytes());
            assertEquals(p.waitFor(), 2, said);
            assertTrue(said.startsWith("mothcross: ") && said.strip().lines().count() == 1,
                Arrays.toString(args) + said);
        }
        Process p = Outside.program("serve", "--config", file.toString());
        try {
            String line = p.errorReader().readLine();
            Outside a = Outside.client("a", Integer.parseInt(line.replaceAll(".*:", "")));
            a.write("GET /api/v2/books/0a HTTP/1.1|Req-Id: 00000000000000a1|Req-Wait-Ms: 2000||", false);
            assertTrue(parties.get("n1").read().startsWith("want 00000000000000a1 sort=books,asset=0a"));
            p.destroy();                                    // SIGTERM
            parties.get("n1").write("00000000000000a1 DONE n=mem 2|ok|", false);
            assertTrue(a.read().endsWith("||ok"));
            assertEquals(p.waitFor(), 0);
            a.release();
        } finally {
            p.destroyForcibly();
            for (Outside o : parties.values()) o.release();
        }
    }

    /** SIGHUP under load: the new file's bulletin is followed, what is open stays; a bad file changes nothing. */
    @Test(timeOut = 60_000) public void programReadsAnewOnHangup() throws Exception {
        Path file = Files.createTempFile("mothcross", ".json");
        Map<String, Outside> parties = new TreeMap<>(Map.of("n1", Outside.listening("node", "cache", 0),
            "bulletin", Outside.listening("node", "bulletin", 99)));
        Outside second = Outside.listening("node", "bulletin", 98), first = parties.get("bulletin");
        Files.writeString(file, Outside.told(Map.of(), parties));
        Process p = Outside.program("serve", "--config", file.toString());
        try {
            String line = p.errorReader().readLine();
            Outside a = Outside.client("a", Integer.parseInt(line.replaceAll(".*:", "")));
            a.write("GET /api/v2/books/0a HTTP/1.1|Req-Id: 00000000000000a1|X-Lot: 17||", false);
            assertTrue(parties.get("n1").read().startsWith("want 00000000000000a1 "));
            assertEquals(first.read(), "2");
            Files.writeString(file, "no json");
            hangUp(p, "reload: .*; all stays as it was");
            parties.put("bulletin", second);
            Files.writeString(file, Outside.told(Map.of(), parties));
            hangUp(p, "reload: the file is read anew");
            assertEquals(second.read(), "2");
            assertTrue(first.isOpen(), "kept until the new address has told something");
            String now = String.format("%016x", System.currentTimeMillis());
            second.write("00000013 0000000000000003 04 0011 " + now, false);
            assertTrue(first.gone());
            parties.get("n1").write("00000000000000a1 DONE n=mem 2|ok|", false);
            assertTrue(a.read().endsWith("||ok"));
            second.close(false);
            assertEquals(second.read(), "3", "the numbers go on");
            a.write("GET /api/v2/books/0a HTTP/1.1|Req-Id: 00000000000000a2|X-Lot: 17||", false);
            assertTrue(parties.get("n1").read().contains(",fresh="));
        } finally {
            p.destroyForcibly();
            for (Outside o : List.of(first, second, parties.get("n1"))) o.release();
        }
    }

    private static void hangUp(Process p, String says) throws Exception {
        hangUp(p, p.errorReader(), says);
    }

    static void hangUp(Process p, BufferedReader err, String says) throws Exception {
        new ProcessBuilder("kill", "-HUP", Long.toString(p.pid())).start().waitFor();
        awaitLine(err, ".*" + says);
    }

    static void awaitLine(BufferedReader err, String says) throws IOException {
        for (String line; !(line = String.valueOf(err.readLine())).matches(says);) {
            assertTrue(!line.equals("null"), "ended before " + says);
        }
    }

    @Test public void badInputCanNotFloodTheLog() {
        Counters c = new Counters();
        int lines = 0;
        for (int i = 0; i < 1000; i++) if (c.mayWarn()) lines++;
        assertTrue(lines > 0 && lines < 100 && c.line().contains("kept back " + (1000 - lines)));
        assertTrue(c.mayWarn(), "after a line of counters");
    }

    private static String write(Path dir, String text) throws Exception {
        return Files.writeString(Files.createTempFile(dir, "c", ".json"), text).toString();
    }

    /** A stand-in for a client, a node or the bulletin: one connection at a time, driven step by step. */
    static final class Outside {
        private static final int PATIENCE_MS = 8000;
        private final String kind;
        private final int index, clientOf;
        private ServerSocket server;
        private final List<Socket> crowd = new ArrayList<>();
        private Socket socket;
        private InputStream in;

        private Outside(String kind, int index, int clientOf) {
            this.kind = kind;
            this.index = index;
            this.clientOf = clientOf;
        }

        static Outside client(String name, int port) {
            return new Outside("client", 0, port);
        }

        static Outside listening(String how, String kind, int index) throws IOException {
            Outside o = new Outside(kind, index, 0);
            o.server = new ServerSocket();
            int requestedPort = how.equals("refused") ? o.reservePort() : 0;
            if (how.equals("tight")) o.server.setReceiveBufferSize(4096);       // little is taken that nobody reads
            o.server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), requestedPort),
                how.matches("mute|narrow") ? 1 : 50);
            o.server.setSoTimeout(PATIENCE_MS);
            if (how.equals("refused")) o.server.close();
            if (how.equals("mute")) o.fill();
            return o;
        }

        /** Binds a free port until the release, without listening, so that no other process can listen on it. */
        private int reservePort() throws IOException {
            Socket reservation = new Socket();
            crowd.add(reservation);
            reservation.setReuseAddress(true);
            reservation.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
            server.setReuseAddress(true);
            return reservation.getLocalPort();
        }

        int port() {
            return server.getLocalPort();
        }

        String hexAddress() {
            return server == null ? "" : String.format("7f000001%04x", port());
        }

        void accept() throws IOException {
            close(false);
            socket = server == null ? new Socket(InetAddress.getByName("127.0.0.1"), clientOf) : server.accept();
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(PATIENCE_MS);
            in = new BufferedInputStream(socket.getInputStream());
        }

        /** The next connection comes beside this one. */
        void keep() {
            crowd.add(socket);
            socket = null;
        }

        /** Another party at the same address, for the connection that comes beside this one's. */
        Outside beside() {
            Outside other = new Outside(kind, index, 0);
            other.server = server;
            return other;
        }

        /** Goes on with the connection that was set aside last, and sets the present one aside. */
        void swap() throws IOException {
            Socket last = crowd.remove(crowd.size() - 1);
            if (socket != null) crowd.add(socket);
            socket = last;
            in = new BufferedInputStream(socket.getInputStream());
        }

        /** The director has not ended the present connection so far; there is nothing to be read on it. */
        boolean isOpen() throws IOException {
            return isOpen(socket);
        }

        private static boolean isOpen(Socket connection) throws IOException {
            connection.setSoTimeout(1);
            try {
                return connection.getInputStream().read() >= 0;
            } catch (SocketTimeoutException e) {
                return true;
            } catch (SocketException e) {
                return false;
            } finally {
                connection.setSoTimeout(PATIENCE_MS);
            }
        }

        boolean keptAreOpen() throws IOException {
            boolean open = !crowd.isEmpty();
            for (Socket kept : crowd) open &= isOpen(kept);
            return open;
        }

        boolean keptAreGone() throws IOException {
            boolean gone = !crowd.isEmpty();
            for (Socket kept : crowd) {
                try {
                    gone &= kept.getInputStream().read() < 0;
                } catch (SocketTimeoutException e) {
                    return false;
                } catch (SocketException e) {
                    continue;                               // reset
                }
            }
            crowd.clear();
            return gone;
        }

        /** From now on connections never come up: its queue full, the system answers no more. */
        void fill() throws IOException {
            crowd.clear();
            for (int i = 0; i < 2; i++) crowd.add(new Socket(server.getInetAddress(), server.getLocalPort()));
        }

        /** Takes what filled the queue out of it, so that connections come up. */
        void clear() throws IOException {
            for (Socket s : crowd) {
                server.accept().close();
                s.close();
            }
        }

        void write(String text, boolean byteByByte) throws IOException {
            if (socket == null) accept();
            byte[] bytes = kind.equals("bulletin") ? bytesOfHex(text)
                : text.replace("|", "\r\n").getBytes(StandardCharsets.ISO_8859_1);
            if (!byteByByte) socket.getOutputStream().write(bytes);
            else for (byte b : bytes) socket.getOutputStream().write(b);
        }

        private static byte[] bytesOfHex(String hex) {
            String s = hex.replaceAll("\\s", "");
            byte[] b = new byte[s.length() / 2];
            for (int i = 0; i < b.length; i++) b[i] = (byte) Integer.parseInt(s.substring(2 * i, 2 * i + 2), 16);
            return b;
        }

        /** One answer for a client, one command for a node, one number for the bulletin. */
        String read() throws IOException {
            if (socket == null) accept();
            if (kind.equals("bulletin")) {
                long n = 0;
                for (int i = 0; i < 8; i++) n = n << 8 | need();
                return Long.toString(n);
            }
            StringBuilder s = new StringBuilder();
            String line;
            int length = 0;
            if (!kind.equals("client")) {
                s.append(line = line());
                if (line.startsWith("want")) length = Integer.parseInt(line.substring(line.lastIndexOf(' ') + 1)) + 2;
            } else {
                do {
                    s.append(line = line()).append('|');
                    if (line.startsWith("Content-Length: ")) length = Integer.parseInt(line.substring(16));
                } while (!line.isEmpty());
            }
            for (int i = 0; i < length; i++) s.append((char) need());
            return s.toString().replace("\r\n", "|");
        }

        private int need() throws IOException {
            int b = in.read();
            if (b < 0) throw new IOException("ended");
            return b;
        }

        private String line() throws IOException {
            StringBuilder s = new StringBuilder();
            for (int b; (b = need()) != '\n';) s.append((char) b);
            return s.toString().stripTrailing();
        }

        /** All bytes that can still be read, until the director's end of the connection. */
        String readToEnd() throws IOException {
            if (socket == null) accept();
            return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
        }

        /** Something is there to be read. */
        boolean answered() {
            try {
                return in.available() > 0;
            } catch (IOException e) {
                return false;
            }
        }

        boolean gone() throws IOException {
            try {
                return in.read() < 0;
            } catch (SocketException e) {
                return true;                                    // reset
            } finally {
                close(false);
            }
        }

        /** Ended as it should: all that was written could be read, and no reset took its place. */
        boolean ends() throws IOException {
            try {
                return in.read() < 0;
            } catch (SocketException e) {
                return false;
            } finally {
                close(false);
            }
        }

        void close(boolean reset) throws IOException {
            if (socket == null) return;
            if (reset) socket.setSoLinger(true, 0);
            socket.close();
            socket = null;
        }

        void release() {
            try {
                close(false);
                for (Socket s : crowd) s.close();
                if (server != null) server.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        // ---- what the director is told ----

        static String told(Map<String, String> start, Map<String, Outside> parties) throws Exception {
            StringBuilder list = new StringBuilder();
            for (Outside o : parties.values()) {
                if (o.server == null || o.kind.equals("bulletin")) continue;
                list.append(list.length() > 0 ? "," : "").append(String.format("{\"id\":\"s-%08x\",\"host_port\":"
                    + "\"127.0.0.1:%d\",\"locality\":\"here\",\"flavor\":\"%s\",\"cell\":0,\"phase\":\"in_service\","
                    + "\"size\":4,\"up_since_ms\":0}", o.index, o.port(), o.kind));
            }
            Map<String, String> all = new TreeMap<>(start);
            all.put("list", list.toString());
            if (!start.containsKey("bulletin")) all.put("bulletin", Integer.toString(parties.get("bulletin").port()));
            String text = Files.readString(Path.of(ServeTest.class.getResource("/told.json").toURI()));
            return Pattern.compile("\\$\\{(\\w+)=?([^}]*)}").matcher(text)
                .replaceAll(m -> all.getOrDefault(m.group(1), m.group(2)));
        }

        /** The program in a process of its own. */
        static Process program(String... args) throws IOException {
            return builder(args).start();
        }

        static ProcessBuilder builder(String... args) {
            String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
            String path = System.getProperty("java.class.path");
            // Whoever runs the tests may have SIGHUP ignored, and the JVM would leave it so.
            List<String> all = new ArrayList<>(List.of("env", "--default-signal=HUP", java, "-cp", path,
                "mothcross.cli.Main"));
            all.addAll(List.of(args));
            ProcessBuilder b = new ProcessBuilder(all);
            b.environment().keySet().removeIf(k -> k.startsWith("ROUTER_"));
            return b.redirectOutput(ProcessBuilder.Redirect.DISCARD);
        }
    }
}
