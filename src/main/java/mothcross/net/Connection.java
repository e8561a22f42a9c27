package mothcross.net;

import java.io.IOException;
import java.nio.ByteBuffer;
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
    /** How much larger than its content the array may be; a smaller factor would copy more often. */
    private static final int MAX_UNUSED_FACTOR = 4;

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

    /** Called after bytes have been received or consumed; {@code heldBytes} is the size of their array. */
    void bufferChanged(int heldBytes) { }

    /** Parses the read buffer in place where nothing is left from before. */
    private void receive(IoBuffer input) {
        int length = input.remaining();
        if (from == to && input.hasArray()) {
            bytes = input.array();
            from = input.arrayOffset() + input.position();
            to = from + length;
            input.position(input.limit());
        } else {
            append(input.buf());
        }
        consume();
    }

    /** Adds bytes behind those that were received before. */
    final void append(ByteBuffer input) {
        int length = input.remaining();
        reserve(length);
        input.get(bytes, to, length);
        to += length;
    }

    /** Consumes what it can of what was received, and releases the memory that the rest does not need. */
    final void consume() {
        received();
        trim(MAX_UNUSED_FACTOR);
        bufferChanged(bytes.length);
    }

    /** Makes room behind the received bytes. The array is doubled, since bytes may arrive one by one. */
    private void reserve(int length) {
        if (bytes.length - to >= length) return;
        int needed = remaining() + length;
        boolean fits = needed <= bytes.length && remaining() <= bytes.length / 2;
        byte[] target = fits ? bytes : new byte[Math.max(needed, 2 * remaining())];
        System.arraycopy(bytes, from, target, 0, remaining());
        to = remaining();
        from = 0;
        bytes = target;
    }

    /** Copies the received bytes to an array of their size where this one is larger by more than the factor. */
    final void trim(int maxUnusedFactor) {
        if (from == to) {
            bytes = NO_BYTES;
            from = to = 0;
        } else if (bytes.length / maxUnusedFactor > remaining()) {
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
            runLocked(session, connection -> connection.receive((IoBuffer) message));
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
