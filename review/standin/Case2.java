import java.nio.file.*;
import java.util.*;

/** A planned restart while clients that send many commands at once have some open. */
final class Case2 {
    private static final int CLIENTS = 10;
    private static final int COMMANDS = 8;
    private static final int WAIT_MS = 2500;

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
        for (Node node : all) node.latency = arrival -> 37 + Math.floorMod(arrival.fields().get("asset").hashCode(), 62);
        bulletin.list(true, Bulletin.READY, all);
        int port = Lab.freePort();
        Process director = lab.director("d1", port, lab.config("d1", port, bulletin, bulletin.known(), Map.of()), "");
        Thread.sleep(1000);
        Client[] clients = new Client[CLIENTS];
        String[][] ids = new String[CLIENTS][COMMANDS];
        double[] sentAt = new double[CLIENTS];
        for (int c = 0; c < CLIENTS; c++) {
            clients[c] = lab.add(new Client(port));
            StringBuilder commands = new StringBuilder();
            for (int i = 0; i < COMMANDS; i++) {
                ids[c][i] = Client.newId();
                commands.append(Client.get("index-cards", 100 * c + i, ids[c][i], WAIT_MS, 600));
            }
            clients[c].send(commands.toString());
            sentAt[c] = lab.ms();
            lab.log("client " + c + " sent " + COMMANDS + " commands at once");
        }
        Thread.sleep(150);
        if (Lab.TROUBLE) {
            lab.log("planned restart: SIGTERM");
            Lab.signal(director, "TERM");
        }
        int lost = 0;
        for (int c = 0; c < CLIENTS; c++) {
            boolean ended = false;
            for (int i = 0; i < COMMANDS; i++) {
                Client.Answer answer = ended ? null : clients[c].receive(8000);
                ended |= answer == null;
                if (answer == null) lost++;
                lab.log(String.format(Locale.ROOT, "client %d, command %d, %s: %s at %.0f ms after sending", c, i, ids[c][i],
                    answer == null ? "the connection ended with no answer, lost" : Integer.toString(answer.status()),
                    lab.ms() - sentAt[c]));
            }
        }
        for (Node node : all) {
            for (Node.Arrival arrival : List.copyOf(node.arrivals)) lab.log(node.id() + " ran " + arrival);
        }
        lab.log("lost: " + lost + " of " + CLIENTS * COMMANDS);
        return lost > 0 ? 1 : 0;
    }
}
