import java.util.*;
import java.util.concurrent.*;

/**
 * Case: a fleet of sixteen times the cache nodes, and directors with 256 descriptors. The clients hold a third of the
 * descriptors at most; every request of theirs has to get an answer.
 */
public final class Wide {
    static final int SOCKETS = 256;
    static final int CACHES = 14;
    static final int TIMES = 16;
    static final double PER_S = 170;
    static final double SECONDS = 30;

    public static void main(String[] args) {
        Stage.run(args, Wide::play);
    }

    private static void play(Stage stage) throws Exception {
        Stage.Config config = new Stage.Config();
        config.sockets = SOCKETS;
        Bulletin bulletin = new Bulletin(stage, 1);
        Node.Behaviour behaviour = request -> stage.timers.schedule(() -> {
            request.link.answer(request, "DONE", "n=mem,l=busy_reqs:5;cpu_share:0.4;x1:0.4,tag=t" + request.asset()
                + ",minted=" + System.currentTimeMillis(), new byte[20_000]);
            return null;
        }, 60 + ThreadLocalRandom.current().nextInt(60), TimeUnit.MILLISECONDS);
        // The capacity of all cache nodes together stays the same.
        int caches = stage.trouble ? TIMES * CACHES : CACHES;
        double units = stage.trouble ? 1 : TIMES;
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < caches; i++) nodes.add(new Node(stage, 0x100 + i, Node.CACHE, units, behaviour));
        for (int i = 0; i < 2; i++) nodes.add(new Node(stage, 0x10 + i, Node.PARENT, 16, behaviour));
        nodes.add(new Node(stage, 1, Node.ORIGIN, 16, behaviour));
        for (Node node : nodes) config.members.add(node.member("in_service", 0));
        int port = Stage.freePort();
        config.listen = "127.0.0.1:" + port;
        config.bulletin = bulletin.address();
        // "A process may hold `sockets` file descriptors": the platform's limit, set here for this process alone.
        Process director = stage.director("n1", stage.write("told.json", config.json()), config.listen,
            "ulimit -n " + SOCKETS + "; ", "");
        if (!stage.ready(port, 30_000)) stage.cannotRun("the director is not ready");

        Load load = new Load(stage, port, SOCKETS / 3, 10);
        Future<?> clients = load.start(PER_S, SECONDS, 1,
            random -> new Load.Ask("index-cards", random.nextLong() >>> 1, 2500, 20_000));
        for (; !clients.isDone(); Stage.sleep(2000)) {
            String[] open = new java.io.File("/proc/" + director.pid() + "/fd").list();
            stage.say("%s; descriptors of the director: %s, its connections to cache nodes: %d", load.text(),
                open == null ? "not known" : "" + open.length, nodes.stream().mapToInt(n -> n.links.size()).sum());
        }
        load.finish();
        long lost = load.count(0);
        stage.say("%s", load.text());
        if (load.count(200) == 0) stage.cannotRun("nothing was served");
        stage.verdict(lost > 0, lost + " requests without an answer half a second after their time");
    }
}
