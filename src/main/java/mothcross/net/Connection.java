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
 * A TCP connection, accepted or made, and the bytes received on it that have not been consumed. Every callback from
 * MINA runs under the dispatcher's lock, and completed hops are processed before the lock is released. An exception
 * on one connection closes that connection only.
 */
abstract class Connection {
    private static final Logger LOG = LoggerFactory.getLogger(Connection.class);
    private static final String SESSION_ATTRIBUTE = "connection";
    private static final byte[] NO_BYTES = new byte[0];

    final Dispatcher dispatcher;
    IoSession session;
    /** Received bytes not yet consumed: {@code bytes} from {@code from} to {@code to}. */
    byte[] bytes = NO_BYTES;
    int from;
    int to;

    Connection(Dispatcher dispatcher) {
        this.dispatcher = dispatcher;
    }

    /** Called when the connection is up. */
    abstract void opened();

    /** Consumes what it can of {@link #bytes}; the rest is kept for the next call. */
    abstract void received();

    /** Called when the connection has been closed by either side. */
    abstract void closed();

    final void bindSession(IoSession newSession) {
        session = newSession;
        newSession.setAttribute(SESSION_ATTRIBUTE, this);
    }

    /** The number of bytes not yet consumed. */
    final int remaining() {
        return to - from;
    }

    /** Discards what was received and closes the session without flushing it. */
    final void abort() {
        from = to = 0;
        bytes = NO_BYTES;
        if (session != null) session.closeNow();
    }

    /** Parses the read buffer in place; only unconsumed bytes are copied, so that the buffer can be collected. */
    private void append(IoBuffer input) {
        int length = input.remaining();
        if (from == to && input.hasArray()) {
            bytes = input.array();
            from = input.arrayOffset() + input.position();
            to = from + length;
        } else {
            byte[] joined = new byte[remaining() + length];
            System.arraycopy(bytes, from, joined, 0, remaining());
            input.get(joined, remaining(), length);
            bytes = joined;
            from = 0;
            to = joined.length;
        }
        input.position(input.limit());
        received();
        if (from == to) {
            bytes = NO_BYTES;
            from = to = 0;
        } else if (bytes.length > 2 * remaining()) {
            bytes = Arrays.copyOfRange(bytes, from, to);
            to -= from;
            from = 0;
        }
    }

    /** Forwards MINA's callbacks to connections; accepted sessions become client connections. */
    static final class SessionHandler extends IoHandlerAdapter {
        private final Dispatcher dispatcher;
        private final boolean acceptsClients;

        SessionHandler(Dispatcher dispatcher, boolean acceptsClients) {
            this.dispatcher = dispatcher;
            this.acceptsClients = acceptsClients;
        }

        @Override public void sessionCreated(IoSession session) {
            if (acceptsClients) new ClientConnection(dispatcher).bindSession(session);
        }

        @Override public void sessionOpened(IoSession session) {
            runLocked(session, connection -> {
                connection.session = session;
                connection.opened();
            });
        }

        @Override public void messageReceived(IoSession session, Object message) {
            runLocked(session, connection -> connection.append((IoBuffer) message));
        }

        @Override public void sessionClosed(IoSession session) {
            runLocked(session, Connection::closed);
        }

        private void runLocked(IoSession session, Consumer<Connection> action) {
            Connection connection = (Connection) session.getAttribute(SESSION_ATTRIBUTE);
            if (connection != null) dispatcher.runLocked(() -> action.accept(connection));
        }

        @Override public void inputClosed(IoSession session) {
            session.closeNow();
        }

        @Override public void exceptionCaught(IoSession session, Throwable cause) {
            if (cause instanceof IOException) LOG.debug("connection failed: {}", cause.toString());
            else {
                dispatcher.counters.faults++;
                LOG.error("internal error on a connection; closing it", cause);
            }
            session.closeNow();
        }
    }
}
