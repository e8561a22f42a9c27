import java.io.*;
import java.net.Socket;
import java.util.*;
import java.util.concurrent.*;

/**
 * Case: a new configuration names a bulletin that is slow: on each connection it begins to tell 3 s after that was
 * made. A cache node drains meanwhile.
 */
public final class SlowBulletin {
    static final double SLOW_MS = 3000;
    /** After an event: when it counts as told at the latest, the grace of the settings, and the slack on sockets. */
    static final double TOLD_MS = 7000;
    static final double GRACE_MS = 250 + 50;
    /** A send counts from its first byte; here its arrival is seen. */
    static final double ON_ITS_WAY_MS = 200;
    static final double SECONDS = 28;

    record Arrival(double at, String node, String via) { }

    public static void main(String[] args) {
        Stage.run(args, SlowBulletin::play);
    }

    private static void play(Stage stage) throws Exception {
        Stage.Config config = new Stage.Config();
        Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
        Bulletin first = new Bulletin(stage, 1);
        Node.Behaviour behaviour = request -> {
            arrivals.add(new Arrival(request.atMs, request.node.id(), request.fields.get("via")));
            stage.timers.schedule(() -> {
                request.link.answer(request, "DONE", "n=mem,l=busy_reqs:5;cpu_share:0.4;x1:0.4,tag=t,minted="
                    + System.currentTimeMillis(), new byte[5000]);
                return null;
            }, 30 + ThreadLocalRandom.current().nextInt(60), TimeUnit.MILLISECONDS);
        };
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < 12; i++) nodes.add(new Node(stage, 0x100 + i, Node.CACHE, 10, behaviour));
        for (int i = 0; i < 2; i++) nodes.add(new Node(stage, 0x10 + i, Node.PARENT, 10, behaviour));
        nodes.add(new Node(stage, 1, Node.ORIGIN, 10, behaviour));
        for (Node node : nodes) config.members.add(node.member("in_service", 0));
        int port = Stage.freePort();
        config.listen = "127.0.0.1:" + port;
        config.bulletin = first.address();
        Process director = stage.director("n1", stage.write("told.json", config.json()), config.listen, "", "");
        if (!stage.ready(port, 30_000)) stage.cannotRun("the director is not ready");
        Load load = new Load(stage, port, config.sockets / 3, 20);
        Future<?> clients = load.start(60, SECONDS, 5, random -> new Load.Ask("index-cards", random.nextLong() >>> 1, 2500, 2000));

        Stage.sleep(4000);
        Bulletin second = new Bulletin(stage, 1) {
            @Override void beforeServing(Socket socket) {
                if (stage.trouble) Stage.sleep(SLOW_MS);
            }
        };
        config.bulletin = second.address();
        stage.write("told.json", config.json());
        stage.signal(director, "HUP");
        first.moved();
        double hup = stage.ms();
        Stage.sleep(1000);
        Node draining = nodes.get(3);
        second.change(Bulletin.DRAINING, 0, draining);
        double event = stage.ms();
        stage.note("%s drains; counts as told at %.1f at the latest", draining.id(), event + TOLD_MS);
        clients.get();
        load.finish();
        double until = event + TOLD_MS + GRACE_MS + ON_ITS_WAY_MS;
        int late = 0;
        double last = 0;
        for (Arrival arrival : arrivals) {
            boolean names = arrival.node.equals(draining.id()) || draining.id().equals(arrival.via);
            if (!names) continue;
            last = Math.max(last, arrival.at);
            if (arrival.at <= until) continue;
            late++;
            stage.note("request at %s, via %s, %.1f ms after the event", arrival.node, arrival.via, arrival.at - event);
        }
        stage.say("%s", load.text());
        stage.say("SIGHUP at %.1f, event at %.1f, last request to %s %.1f ms after the event", hup, event, draining.id(), last - event);
        if (load.count(200) == 0) stage.cannotRun("nothing was served");
        stage.verdict(late > 0, late + " requests to a draining node, over 7.3 s after the event");
    }
}
