import java.io.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * Case: in a wide fleet the archive runs 5.2 times slower for 14 s, so that a third of the answers, those that are
 * filled from it, come slowly. Every request has to get an answer, and the director has to go on.
 */
public final class SlowArchive {
    static final int CACHES = 640;
    static final double PER_S = 155;
    static final double SECONDS = 32;
    static final double SLOW_FROM_MS = 5000;
    static final double SLOW_UNTIL_MS = 19_000;
    static final double TIMES_SLOWER = 5.2;
    static final double MISSES = 0.34;
    static final int BYTES = 240_000;
    static final double FLOW_BYTES_PER_MS = 310;
    static final int PIECE = 8000;

    public static void main(String[] args) {
        Stage.run(args, SlowArchive::play);
    }

    private static void play(Stage stage) throws Exception {
        Stage.Config config = new Stage.Config();
        Bulletin bulletin = new Bulletin(stage, 1);
        AtomicBoolean slow = new AtomicBoolean();
        AtomicInteger sending = new AtomicInteger();
        byte[] body = new byte[BYTES];
        Node.Behaviour behaviour = request -> {
            boolean miss = new Random(Long.parseUnsignedLong(request.asset(), 16)).nextDouble() < MISSES;
            double tookMs = BYTES / FLOW_BYTES_PER_MS * (miss && slow.get() ? TIMES_SLOWER : 1);
            stage.threads.execute(() -> {
                try {
                    synchronized (request.link.sending) {   // the bytes of two answers on a connection can't be mixed
                        if (!request.link.open.remove(request.id, request)) return;
                        sending.incrementAndGet();
                        try {
                            String head = request.id + " DONE n=" + (miss ? "origin,lag=30" : "mem")
                                + ",l=busy_reqs:5;cpu_share:0.4;x1:0.4,tag=t" + request.asset() + ",minted="
                                + System.currentTimeMillis() + " " + BYTES + "\r\n";
                            request.link.write(head.getBytes());
                            double begun = stage.ms();
                            for (int at = 0; at < BYTES; at += PIECE) {
                                request.link.write(Arrays.copyOfRange(body, at, Math.min(BYTES, at + PIECE)));
                                Stage.sleep(begun + tookMs * (at + PIECE) / BYTES - stage.ms());
                            }
                            request.link.write(new byte[] {'\r', '\n'});
                        } finally {
                            sending.decrementAndGet();
                        }
                    }
                } catch (IOException e) {
                    return;
                }
            });
        };
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < CACHES; i++) nodes.add(new Node(stage, 0x1000 + i, Node.CACHE, 1.1, behaviour));
        for (int i = 0; i < 2; i++) nodes.add(new Node(stage, 0x10 + i, Node.PARENT, 200, behaviour));
        nodes.add(new Node(stage, 1, Node.ORIGIN, 200, behaviour));
        for (Node node : nodes) config.members.add(node.member("in_service", 0));
        int port = Stage.freePort();
        config.listen = "127.0.0.1:" + port;
        config.bulletin = bulletin.address();
        Process director = stage.director("n1", stage.write("told.json", config.json()), config.listen, "", "");
        if (!stage.ready(port, 30_000)) stage.cannotRun("the director is not ready");
        double start = stage.ms();
        Load load = new Load(stage, port, config.sockets / 3, 50);
        Future<?> clients = load.start(PER_S, SECONDS, 3,
            random -> new Load.Ask("volume-pages", random.nextLong() >>> 1, 6000, BYTES));
        for (; !clients.isDone(); Stage.sleep(1000)) {
            boolean now = stage.trouble && stage.ms() > start + SLOW_FROM_MS && stage.ms() < start + SLOW_UNTIL_MS;
            if (slow.getAndSet(now) != now) stage.note("the archive is %s", now ? "slow" : "as before");
            stage.say("%s; answers being sent by cache nodes: %d", load.text(), sending.get());
        }
        load.finish();
        boolean healthy = stage.ready(port, 5000);
        long lost = load.count(0);
        long lostLater = load.ends.stream()
            .filter(end -> end.status() == 0 && end.sentAt() > start + SLOW_UNTIL_MS + 2000).count();
        stage.say("%s", load.text());
        stage.say("no answer: %d, of these sent over 2 s after the archive was as before: %d; the process is %s, "
            + "GET /-/healthy within 5 s: %s", lost, lostLater, director.isAlive() ? "alive" : "gone",
            healthy ? "200" : "no answer");
        if (load.count(200) == 0) stage.cannotRun("nothing was served");
        // Broken only where requests were lost; that the director did not go on is asked for beside it.
        stage.verdict(lost > 0 && (lostLater > 0 || !healthy || !director.isAlive()),
            lost + " requests without an answer");
    }
}
