import java.nio.file.*;
import java.util.*;

/** A client sends many commands at once on one connection; all caches are well, none is slower than usual. */
final class Case3 {
    private static final int COMMANDS = 60;
    /** Half of the class's deadline, as the briefs have it. */
    private static final int WAIT_MS = 1250;
    private static final double LOST_AFTER_MS = WAIT_MS + 500 + 50;

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
        Node[] all = new Node[7];
        for (int i = 0; i < 4; i++) all[i] = lab.add(new Node(i + 1, Node.CACHE));
        all[4] = lab.add(new Node(11, Node.PARENT));
        all[5] = lab.add(new Node(12, Node.PARENT));
        all[6] = lab.add(new Node(21, Node.ORIGIN));
        // 37 to 98 ms to send: the class of small pages in the briefs.
        for (Node node : all) node.latency = arrival -> 37 + Math.floorMod(arrival.fields().get("asset").hashCode(), 62);
        bulletin.list(true, Bulletin.READY, all);
        int port = Lab.freePort();
        lab.director("d1", port, lab.config("d1", port, bulletin, bulletin.known(), Map.of()), "");
        for (int i = 0; i < 50; i++) {
            try (Client client = new Client(port)) {
                client.send(request(1000 + i, Client.newId()));
                Client.Answer answer = client.receive(4000);
                if (answer == null || answer.status() != 200) throw new IllegalStateException("not well: " + answer);
            }
        }
        double[] sentAt = new double[COMMANDS];
        String[] ids = new String[COMMANDS];
        int lost = 0;
        try (Client client = new Client(port)) {
            if (Lab.TROUBLE) {
                StringBuilder commands = new StringBuilder();
                for (int i = 0; i < COMMANDS; i++) {
                    ids[i] = Client.newId();
                    commands.append(request(2000 + i, ids[i]));
                }
                client.send(commands.toString());
                Arrays.fill(sentAt, lab.ms());
                lab.log(COMMANDS + " commands sent at once, " + commands.length() + " bytes");
            }
            for (int i = 0; i < COMMANDS; i++) {
                if (!Lab.TROUBLE) {
                    ids[i] = Client.newId();
                    client.send(request(2000 + i, ids[i]));
                    sentAt[i] = lab.ms();
                }
                Client.Answer answer = client.receive(20_000);
                double tookMs = lab.ms() - sentAt[i];
                boolean isLost = answer == null || tookMs > LOST_AFTER_MS;
                if (isLost) lost++;
                lab.log(String.format(Locale.ROOT, "command %d, %s: %s after %.0f ms%s", i, ids[i],
                    answer == null ? "no answer" : Integer.toString(answer.status()), tookMs, isLost ? ", lost" : ""));
                if (answer == null) break;
            }
        }
        for (Node node : all) {
            for (Node.Arrival arrival : List.copyOf(node.arrivals)) lab.log(node.id() + " ran " + arrival);
        }
        lab.log("lost: " + lost + " of " + COMMANDS);
        return lost > 0 ? 1 : 0;
    }

    private static String request(long object, String id) {
        return Client.get("index-cards", object, id, WAIT_MS, 600);
    }
}
