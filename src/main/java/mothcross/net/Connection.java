package mothcross.net;

import java.io.IOException;
import java.util.Arrays;
import java.util.function.Consumer;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One TCP connection as an object with callbacks, whichever side opened it, and the bytes that came in on
 * it and are not used up yet. Owns the way from the socket library into the desk's lock: every callback
 * runs under it, and whatever ended meanwhile is settled before it is let go. Must never decide anything,
 * never start a thread or a timer, and never let a fault of one connection reach another.
 */
abstract class Connection {
    private static final Logger LOG = LoggerFactory.getLogger(Connection.class);
    private static final String SELF = "connection";
    private static final byte[] NONE = new byte[0];

    final Dispatcher dispatcher;
    IoSession session;
    /** What came in and is not used up: {@code bytes} from {@code from} to {@code to}. */
    byte[] bytes = NONE;
    int from, to;

    Connection(Dispatcher desk) {
        this.dispatcher = desk;
    }

    /** The connection is up. */
    abstract void opened();

    /** Uses up what it can of {@link #bytes}; the rest stays for the next call. */
    abstract void received();

    /** The connection has ended, from whichever side. */
    abstract void closed();

    final void bindSession(IoSession to) {
        session = to;
        to.setAttribute(SELF, this);
    }

    final int remaining() {
        return to - from;
    }

    final void abort() {
        from = to = 0;
        bytes = NONE;
        if (session != null) session.closeNow();
    }

    /** The read buffer is used where it stands; only what is left of it is copied, so that it can go. */
    private void take(IoBuffer in) {
        int n = in.remaining();
        if (from == to && in.hasArray()) {
            bytes = in.array();
            from = in.arrayOffset() + in.position();
            to = from + n;
        } else {
            byte[] joined = new byte[remaining() + n];
            System.arraycopy(bytes, from, joined, 0, remaining());
            in.get(joined, remaining(), n);
            bytes = joined;
            from = 0;
            to = joined.length;
        }
        in.position(in.limit());
        received();
        if (from == to) {
            bytes = NONE;
            from = to = 0;
        } else if (bytes.length > 2 * remaining()) {
            bytes = Arrays.copyOfRange(bytes, from, to);
            to -= from;
            from = 0;
        }
    }

    /** The socket library's side of all connections; accepted ones become clients. */
    static final class SessionHandler extends IoHandlerAdapter {
        private final Dispatcher desk;
        private final boolean accepts;

        SessionHandler(Dispatcher desk, boolean accepts) {
            this.desk = desk;
            this.accepts = accepts;
        }

        @Override public void sessionCreated(IoSession session) {
            if (accepts) new ClientConnection(desk).bindSession(session);
        }

        @Override public void sessionOpened(IoSession session) {
            with(session, c -> {
                c.session = session;
                c.opened();
            });
        }

        @Override public void messageReceived(IoSession session, Object message) {
            with(session, c -> c.take((IoBuffer) message));
        }

        @Override public void sessionClosed(IoSession session) {
            with(session, Connection::closed);
        }

        private void with(IoSession session, Consumer<Connection> what) {
            Connection c = (Connection) session.getAttribute(SELF);
            if (c != null) desk.runLocked(() -> what.accept(c));
        }

        @Override public void inputClosed(IoSession session) {
            session.closeNow();
        }

        @Override public void exceptionCaught(IoSession session, Throwable cause) {
            if (cause instanceof IOException) LOG.debug("connection broke off: {}", cause.toString());
            else {
                desk.counters.faults++;
                LOG.error("fault on a connection, which is closed", cause);
            }
            session.closeNow();
        }
    }
}
