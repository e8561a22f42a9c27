import java.util.*;
import java.util.concurrent.*;

/**
 * Case: right after the start of the directors one bad client sends each of them a request of each class with a size
 * that is out of range and an id that no cache node knows. Then an upper cache starts, and the usual clients come.
 */
public final class Poison {
    static final int DIRECTORS = 20;
    static final double PER_S = 510.0 / DIRECTORS;
    static final double SECONDS = 12;
    static final double MISSES = 0.34;
    /** Mean sending times of the classes, ms, and the share of the first. */
    static final double VOLUME_MS = 400;
    static final double INDEX_MS = 70;
    static final double VOLUMES = 0.55;
    static final double MEAN_MS = VOLUMES * VOLUME_MS + (1 - VOLUMES) * INDEX_MS;
    /** Load of the fleet, and the room of a parent's link over the fills at full load. */
    static final double LOAD = 0.7;
    static final double ROOM = 1.2;
    static final double FLOOR = 0.069;
    static final double WARM_MS = 21_000;
    static final double MULTIPLE = 2;
    static final double WINDOW_MS = 1500;

    record Fill(double at, double workMs) { }

    public static void main(String[] args) {
        Stage.run(args, Poison::play);
    }

    static double workMs(long object, boolean volume) {
        double sigma = volume ? 0.65 : 0.76;
        double mean = volume ? VOLUME_MS : INDEX_MS;
        return mean * Math.exp(sigma * new Random(object).nextGaussian() - sigma * sigma / 2);
    }

    private static void play(Stage stage) throws Exception {
        int parents = 2;
        double flows = DIRECTORS * PER_S / LOAD * MISSES * MEAN_MS / 1000 / parents * ROOM;
        double cacheFlows = DIRECTORS * PER_S / LOAD * MEAN_MS / 1000 / 12;
        Queue<Fill> fills = new ConcurrentLinkedQueue<>();
        String[] cold = new String[1];
        Bulletin bulletin = new Bulletin(stage, 1);
        Node.Behaviour behaviour = request -> {
            long object = Long.parseUnsignedLong(request.asset(), 16);
            boolean volume = request.sort().equals("volume-pages");
            String via = request.fields.get("via");
            boolean known = object >>> 48 != 0xbad;
            boolean miss = new Random(object ^ 0x5555).nextDouble() < MISSES;
            boolean toParent = request.node.kind == Node.PARENT;
            if ((miss || !known) && request.node.kind == Node.CACHE && via != null && via.equals(cold[0])
                || toParent && request.node.id().equals(cold[0])) {
                fills.add(new Fill(request.atMs, volume ? VOLUME_MS : INDEX_MS));
                stage.note("fill for %s of %s reaches the cold parent", request.id, request.sort());
            }
            double took = known ? workMs(object, volume) : 30;
            stage.timers.schedule(() -> {
                if (!known) request.link.answer(request, "BROKE", "-", new byte[0]);
                else if (miss && via == null && request.node.kind == Node.CACHE) request.link.answer(request, "LACK", "-", new byte[0]);
                else request.link.answer(request, "DONE", "n=" + (!miss ? "mem" : "s-00000001".equals(via) ? "origin" : "parent")
                    + (miss ? ",lag=20" : "") + ",l=busy_reqs:5;cpu_share:0.6;x1:0.5,tag=t,minted=" + System.currentTimeMillis(),
                    new byte[(int) Math.min(240_000, 310 * took)]);
                return null;
            }, (long) took, TimeUnit.MILLISECONDS);
        };
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < 12; i++) nodes.add(new Node(stage, 0x100 + i, Node.CACHE, cacheFlows, behaviour));
        nodes.add(new Node(stage, 0x10, Node.PARENT, flows, behaviour));
        nodes.add(new Node(stage, 1, Node.ORIGIN, 60, behaviour));
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < DIRECTORS; i++) {
            Stage.Config config = new Stage.Config();
            config.name = "n" + (i + 1);
            config.seed = String.format("%016x", ThreadLocalRandom.current().nextLong());
            config.directors = DIRECTORS;
            for (Node node : nodes) config.members.add(node.member("in_service", 0));
            ports.add(Stage.freePort());
            config.listen = "127.0.0.1:" + ports.get(i);
            config.bulletin = bulletin.address();
            stage.director(config.name, stage.write(config.name + ".json", config.json()), config.listen, "", "");
        }
        for (int port : ports) if (!stage.ready(port, 30_000)) stage.cannotRun("a director is not ready");
        Stage.sleep(500);

        if (stage.trouble) {
            for (int port : ports) {
                for (String sort : List.of("volume-pages", "index-cards")) {
                    try (Client client = new Client(port)) {
                        long id = 0xbadL << 48 | ThreadLocalRandom.current().nextInt(1 << 30);
                        client.send(Client.request(sort, id, 0, id, 2000, 5, 0).replace("\r\n\r\n", "\r\nReq-Kb: 0.001\r\n\r\n"));
                        Client.Answer answer = client.read(3000);
                        stage.note("bad client at %d: %s", port, answer == null ? "no answer" : "" + answer.status());
                    }
                }
            }
        }
        Node parent = new Node(stage, 0x11, Node.PARENT, flows, behaviour);
        cold[0] = parent.id();
        long started = System.currentTimeMillis();
        double startedMs = stage.ms();
        bulletin.change(Bulletin.READY, started, parent);
        Stage.sleep(100);
        List<Load> loads = new ArrayList<>();
        List<Future<?>> clients = new ArrayList<>();
        for (int port : ports) {
            Load load = new Load(stage, port, 341, 50);
            loads.add(load);
            clients.add(load.start(PER_S, SECONDS, port, random -> {
                long object = random.nextLong() >>> 8;
                boolean volume = random.nextDouble() < VOLUMES;
                return new Load.Ask(volume ? "volume-pages" : "index-cards", object, volume ? 6000 : 2500,
                    (int) (310 * workMs(object, volume)));
            }));
        }
        for (Future<?> task : clients) task.get();
        for (Load load : loads) {
            load.finish();
            stage.say("%s", load.text());
        }
        // The budget of any span of 1.5 s: multiple x what it can give then x span.
        List<Fill> all = new ArrayList<>(fills);
        all.sort(Comparator.comparingDouble(Fill::at));
        double worst = 0;
        String worstText = "";
        for (int i = 0; i < all.size(); i++) {
            double from = all.get(i).at;
            double work = 0;
            for (int j = i; j < all.size() && all.get(j).at < from + WINDOW_MS; j++) work += all.get(j).workMs;
            double share = Math.min(1, FLOOR + (1 - FLOOR) * Math.max(0, from + WINDOW_MS / 2 - startedMs) / WARM_MS);
            double n = MULTIPLE * share * flows * WINDOW_MS / MEAN_MS;
            double limit = n < 30 ? n + 3 * Math.sqrt(n) + 2 : n + 2 * Math.sqrt(n) + 2;
            if (work / MEAN_MS / limit > worst) {
                worst = work / MEAN_MS / limit;
                worstText = String.format(Locale.ROOT, "from %.0f ms after its start: %.1f requests of mean work, N %.1f, limit %.1f",
                    from - startedMs, work / MEAN_MS, n, limit);
            }
        }
        stage.say("%d fills reached the cold parent; the fullest 1.5 s %s", all.size(), worstText);
        if (all.isEmpty()) stage.cannotRun("no fill reached the cold parent");
        stage.verdict(worst > 1, "the cold parent got " + String.format(Locale.ROOT, "%.2f", worst) + " of what makes it fall");
    }
}
