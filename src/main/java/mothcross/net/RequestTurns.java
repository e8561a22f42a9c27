package mothcross.net;

import java.util.LinkedHashSet;

/**
 * The clients that have further requests ready after one that was answered without a node. They are served in turn, one
 * request each, and only so many in an interval, so that they leave the process's time to the requests of others.
 * Accessed under the dispatcher's lock.
 */
final class RequestTurns {
    private static final double INTERVAL_MS = 1;
    private static final int REQUESTS_PER_INTERVAL = 4;

    private final Dispatcher dispatcher;
    private final LinkedHashSet<ClientConnection> waiting = new LinkedHashSet<>();
    private boolean scheduled;

    private final Timers.Timer timer = new Timers.Timer() {
        @Override void fire() {
            scheduled = false;
            serve();
            schedule();
        }
    };

    RequestTurns(Dispatcher dispatcher) {
        this.dispatcher = dispatcher;
    }

    /** Puts a client at the end of the queue, unless it is in it. */
    void enqueue(ClientConnection client) {
        waiting.add(client);
        schedule();
    }

    void remove(ClientConnection client) {
        waiting.remove(client);
    }

    private void schedule() {
        if (scheduled || waiting.isEmpty()) return;
        scheduled = true;
        dispatcher.timers.set(timer, dispatcher.clock() + INTERVAL_MS);
    }

    private void serve() {
        for (int i = 0; i < REQUESTS_PER_INTERVAL && !waiting.isEmpty(); i++) {
            ClientConnection next = waiting.iterator().next();
            waiting.remove(next);
            next.takeTurn();
        }
    }
}
