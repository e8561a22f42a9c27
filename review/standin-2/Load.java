import java.io.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * The usual clients of one director: requests at a steady rate, one at a time on a connection, connections kept alive.
 * A client asks with a new id, waits for as long as it says and half a second more, and closes its connection then.
 */
final class Load {
    /** One request: what it asks for and the bytes that it stands for, of which the size in KB follows. */
    record Ask(String workload, long object, int waitMs, int bytes) { }

    /** How a request ended; status 0: no answer in time, -1: the connection was ended without an answer. */
    record End(long id, Ask ask, double sentAt, double endedAt, int status, int length, boolean whole) { }

    interface Source {
        Ask next(Random random);
    }

    private static final double LATE_MS = 500 + 50;
    private static final AtomicLong IDS = new AtomicLong(0x1000);

    private final Stage stage;
    private final int port;
    private final int mostClients;
    /** A connection serves so many requests, in the mean, before its client closes it. */
    private final int requestsPerConnection;
    private final BlockingDeque<Client> resting = new LinkedBlockingDeque<>();
    private final Map<Client, Double> restingSince = new ConcurrentHashMap<>();
    private final AtomicInteger open = new AtomicInteger();
    final Queue<End> ends = new ConcurrentLinkedQueue<>();
    final AtomicInteger sent = new AtomicInteger();
    /** Requests that were not sent, since all clients were waiting. */
    final AtomicInteger held = new AtomicInteger();
    private final List<Future<?>> running = new ArrayList<>();

    Load(Stage stage, int port, int mostClients, int requestsPerConnection) {
        this.stage = stage;
        this.port = port;
        this.mostClients = mostClients;
        this.requestsPerConnection = requestsPerConnection;
    }

    /** Sends requests for so long, then returns; {@link #finish} waits for the answers. */
    void run(double perS, double seconds, long seed, Source source) {
        Random random = new Random(seed);
        double start = stage.ms();
        for (int i = 0; i < perS * seconds; i++) {
            Stage.sleep(start + i * 1000 / perS - stage.ms());
            Ask ask = source.next(random);
            running.add(stage.threads.submit(() -> ask(ask)));
        }
    }

    /** The same on a thread of its own. */
    Future<?> start(double perS, double seconds, long seed, Source source) {
        return stage.threads.submit(() -> run(perS, seconds, seed, source));
    }

    void finish() throws Exception {
        for (Future<?> task : running) task.get();
    }

    private Client connection() throws IOException {
        // Clients close connections that have been idle for 4 s; the one used longest ago comes first.
        for (Client client; (client = resting.pollFirst()) != null;) {
            if (stage.ms() - restingSince.remove(client) < 3800) return client;
            client.close();
            open.decrementAndGet();
        }
        if (open.incrementAndGet() <= mostClients) {
            try {
                return new Client(port);
            } catch (IOException e) {
                open.decrementAndGet();
                throw e;
            }
        }
        open.decrementAndGet();
        return null;
    }

    private void ask(Ask ask) {
        long id = IDS.getAndIncrement();
        Client client = null;
        double at = stage.ms();
        try {
            client = connection();
            if (client == null) {
                held.incrementAndGet();
                return;
            }
            at = stage.ms();
            client.send(Client.request(ask.workload, ask.object, 0, id, ask.waitMs, (int) (ask.object & 255),
                ask.bytes / 310.0 * 9.2));
            sent.incrementAndGet();
            Client.Answer answer = client.read(ask.waitMs + LATE_MS);
            end(id, ask, at, answer == null ? 0 : answer.status(), answer == null ? 0 : answer.body().length,
                answer != null && answer.whole());
            if (answer == null || client.closes() || ThreadLocalRandom.current().nextInt(requestsPerConnection) == 0) {
                client.close();
                open.decrementAndGet();
            } else {
                restingSince.put(client, stage.ms());
                resting.addLast(client);
            }
        } catch (IOException e) {
            if (client == null) {
                stage.note("request %016x not sent: %s", id, e);
                return;
            }
            end(id, ask, at, -1, 0, false);
            open.decrementAndGet();
            try {
                client.close();
            } catch (IOException f) {
                return;
            }
        }
    }

    private void end(long id, Ask ask, double at, int status, int length, boolean whole) {
        ends.add(new End(id, ask, at, stage.ms(), status, length, whole));
        stage.note("request %016x %s %016x sent at %.1f: %s", id, ask.workload, ask.object, at,
            status > 0 ? status + ", " + length + " bytes" : status == 0 ? "no answer within its time and half a second"
            : "connection ended without an answer");
    }

    long count(int status) {
        return ends.stream().filter(end -> end.status == status).count();
    }

    /** Counts by status. */
    String text() {
        Map<String, Integer> counts = new TreeMap<>();
        for (End end : ends) {
            counts.merge(end.status > 0 ? "" + end.status : end.status == 0 ? "no answer" : "closed", 1, Integer::sum);
        }
        return "sent " + sent + ", " + counts + ", not sent " + held + ", clients " + open;
    }
}
