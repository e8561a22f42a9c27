import java.nio.file.*;
import java.util.*;

/**
 * A director with a kept list is restarted as planned. While it is down, a cache is told to drain and a group is purged:
 * both stand in the new start's configuration and in its bulletin, whose events count from 1 at each start.
 */
final class Case1 {
    private static final int OBJECTS = 40;
    private static final int LOT = 17;
    /** The time limits of the settings and the slack on sockets. */
    private static final double DRAIN_GRACE_MS = 250 + 50;
    private static final double HEED_MS = 300 + 50;
    /** Within PurgeTakes, 6 s. */
    private static final int CACHES_DROP_AFTER_MS = 5500;
    private static final int ASKED_AFTERWARDS = 120;

    public static void main(String[] args) throws Exception {
        int exit = 2;
        try (Lab lab = new Lab(Path.of(args[0]))) {
            exit = run(lab);
        } catch (Throwable e) {
            e.printStackTrace();
        }
        Runtime.getRuntime().halt(exit);
    }

    private static int run(Lab lab) throws Exception {
        Bulletin bulletin = lab.add(new Bulletin());
        Node[] caches = new Node[4];
        for (int i = 0; i < caches.length; i++) caches[i] = lab.add(new Node(i + 1, Node.CACHE));
        Node[] all = {caches[0], caches[1], caches[2], caches[3], lab.add(new Node(11, Node.PARENT)),
            lab.add(new Node(12, Node.PARENT)), lab.add(new Node(21, Node.ORIGIN))};
        Node draining = caches[1];
        bulletin.list(true, Bulletin.READY, all);
        Path operators = lab.tmp.resolve("operators.jsonnet");
        Files.writeString(operators, "{ membership: { file: '" + lab.tmp + "/list', fleet: 'offices' } }\n");
        String arguments = " --operators " + operators;
        int port = Lab.freePort();
        Process director = lab.director("d1", port, lab.config("d1", port, bulletin, bulletin.known(), Map.of()), arguments);

        lab.log("ten seconds of service, with one purge a second");
        for (int i = 0; i < 100; i++) {
            if (i % 10 == 9) lab.log("event " + bulletin.purge(900_000 + i) + ": a purge");
            ask(lab, port, i);
            Thread.sleep(90);
        }
        if (Lab.TROUBLE) {
            lab.log("planned restart: SIGTERM");
            Lab.signal(director, "TERM");
            if (!director.waitFor(20, java.util.concurrent.TimeUnit.SECONDS)) throw new IllegalStateException("does not end");
            bulletin.numberAnew();
            lab.log("event " + bulletin.list(true, Bulletin.READY, all) + " of the new start: the whole list");
        }
        lab.log("event " + bulletin.list(false, Bulletin.DRAINING, draining) + ": " + draining.id() + " drains");
        long issued = System.currentTimeMillis();
        for (Node node : all) node.dropLater(issued, CACHES_DROP_AFTER_MS);
        lab.log("event " + bulletin.purgeGroup(LOT, issued) + ": lot " + LOT + " purged at " + issued);
        if (Lab.TROUBLE) {
            lab.log("the new start's known: " + bulletin.known());
            lab.director("d1", port, lab.config("d1", port, bulletin, bulletin.known(), Map.of()), arguments);
        }
        long told = System.currentTimeMillis();
        lab.log("told by " + told);
        Thread.sleep((long) HEED_MS + 50);
        int answered = 0;
        int purged = 0;
        for (int i = 0; i < ASKED_AFTERWARDS; i++) {
            Client.Answer answer = ask(lab, port, i);
            if (answer == null || answer.status() != 200) continue;
            answered++;
            if (Long.parseLong(answer.body().split(" ")[1]) >= issued) continue;
            purged++;
            lab.log("answered from a copy older than the purge: " + answer.body());
        }
        lab.log("answered afterwards: " + answered + " of " + ASKED_AFTERWARDS
            + "; numbers that the bulletin was asked with: " + bulletin.asked);
        int drained = 0;
        for (Node node : all) {
            for (Node.Arrival arrival : List.copyOf(node.arrivals)) {
                lab.log(node.id() + " ran " + arrival);
                boolean names = node == draining || draining.id().equals(arrival.fields().get("via"));
                if (!names || arrival.at() <= told + DRAIN_GRACE_MS) continue;
                drained++;
                lab.log("new work for the draining cache, " + (arrival.at() - told) + " ms after it was told: " + arrival);
            }
        }
        lab.log("answers from copies older than the purge: " + purged + "; sent to the draining cache: " + drained);
        if (answered < ASKED_AFTERWARDS / 2) return 2;
        return purged + drained > 0 ? 1 : 0;
    }

    private static Client.Answer ask(Lab lab, int port, int i) throws Exception {
        String id = Client.newId();
        try (Client client = new Client(port)) {
            client.send(Client.get("volume-pages", 5000 + i % OBJECTS, id, 3000, 400));
            Client.Answer answer = client.receive(4000);
            lab.log("request " + id + ": " + (answer == null ? "no answer" : answer.status() + " " + answer.body()));
            return answer;
        }
    }
}
