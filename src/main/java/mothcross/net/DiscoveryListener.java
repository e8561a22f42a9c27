package mothcross.net;

import java.net.InetSocketAddress;
import mothcross.Director;

/**
 * Receives the updates of discovery: the dispatcher directly, or the persistent membership in front of it. Methods
 * with a {@link Director} are called within a batch of events, all of them under the dispatcher's lock. An
 * {@code event} is the number of an event of discovery; an {@code updateKind} is one of Director's LIST constants.
 */
interface DiscoveryListener {
    /** The number of the last event that was applied. */
    long lastEvent();

    /** Whether an event whose number was applied before, or a snapshot under any number, is passed on all the same. */
    boolean acceptsRepeated(boolean snapshot);

    /** A snapshot or delta of the list starts. False where the entries that follow are to be skipped. */
    boolean listStarted(Director to, long event, int updateKind);

    /** One entry of the list that was started; {@code zone} and {@code kind} are indices into the settings. */
    void nodeListed(Director to, String id, InetSocketAddress address, int zone, int kind, int cell, int status,
                    double units, double startedAt);

    void listFinished(Director to);

    /** A purge of one object or of a group issued at {@code at}, Unix ms; the other of the two is -1. */
    void purged(Director to, long event, long object, int group, double at);

    /**
     * An empty frame that confirms {@code event} as the last event of discovery. True where the connection is to be
     * opened again, from the first event on.
     */
    boolean heartbeat(Director to, long event);

    /** The connection to discovery has ended, or an attempt to connect has failed. */
    void connectionLost(String reason);

    /** Passes every event on to the dispatcher in its order. */
    final class Direct implements DiscoveryListener {
        private final Dispatcher dispatcher;
        private long lastEvent;

        Direct(Dispatcher dispatcher) {
            this.dispatcher = dispatcher;
        }

        @Override public long lastEvent() {
            return lastEvent;
        }

        @Override public boolean acceptsRepeated(boolean snapshot) {
            return false;
        }

        @Override public boolean listStarted(Director to, long event, int updateKind) {
            lastEvent = event;
            dispatcher.listStarted(to, updateKind);
            return true;
        }

        @Override public void nodeListed(Director to, String id, InetSocketAddress address, int zone, int kind,
                                         int cell, int status, double units, double startedAt) {
            dispatcher.nodeListed(to, id, address, zone, kind, cell, status, units, startedAt);
        }

        @Override public void listFinished(Director to) {
            dispatcher.listFinished(to);
        }

        @Override public void purged(Director to, long event, long object, int group, double at) {
            lastEvent = event;
            dispatcher.purged(to, object, group, at);
        }

        @Override public boolean heartbeat(Director to, long event) {
            return false;
        }

        @Override public void connectionLost(String reason) { }
    }
}
