package mothcross.net;

import java.net.InetSocketAddress;
import mothcross.Director;

/**
 * Who takes the news of discovery, within the module's round: the desk as it comes, or what is remembered of the
 * fleet first. {@code number} is that of an event.
 */
interface DiscoveryListener {
    /** The number of the last event that was taken. */
    long lastEvent();

    /** True where an event whose number is had already, or a whole list under any, is to be heard all the same. */
    boolean acceptsRepeated(boolean wholeList);

    /** False where the entries that follow are to be passed over. */
    boolean listStarted(Director to, long number, int news);

    void nodeListed(Director to, String id, InetSocketAddress address, int place, int kind, int cell, int standing,
                double units, double startedAt);

    void listFinished(Director to);

    void purged(Director to, long number, long object, int group, double at);

    /** Discovery has nothing new, its last event is {@code number}. True where it should be asked from the first. */
    boolean heartbeat(Director to, long number);

    /** The connection that brought news has ended. */
    void connectionLost(String why);

    /** As the desk takes them: every event in its order. */
    final class Direct implements DiscoveryListener {
        private final Dispatcher desk;
        private long last;

        Direct(Dispatcher desk) {
            this.desk = desk;
        }

        @Override public long lastEvent() {
            return last;
        }

        @Override public boolean acceptsRepeated(boolean wholeList) {
            return false;
        }

        @Override public boolean listStarted(Director to, long number, int news) {
            last = number;
            desk.listStarted(to, news);
            return true;
        }

        @Override public void nodeListed(Director to, String id, InetSocketAddress address, int place, int kind,
                                     int cell, int standing, double units, double startedAt) {
            desk.nodeListed(to, id, address, place, kind, cell, standing, units, startedAt);
        }

        @Override public void listFinished(Director to) {
            desk.listFinished(to);
        }

        @Override public void purged(Director to, long number, long object, int group, double at) {
            last = number;
            desk.purged(to, object, group, at);
        }

        @Override public boolean heartbeat(Director to, long number) {
            return false;
        }

        @Override public void connectionLost(String why) { }
    }
}
