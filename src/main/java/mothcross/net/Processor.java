package mothcross.net;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * The thread that reads and writes all sockets, extended by two things that MINA does not expose: whether the peer
 * had closed by the time its last bytes were read, and closing only our direction of a connection. Both are kept as
 * attributes of the session.
 */
final class Processor extends NioProcessor {
    private static final String CHANNEL_ATTRIBUTE = "channel";
    private static final String END_OF_INPUT_ATTRIBUTE = "end of input";

    Processor(Executor threads) {
        super(threads);
    }

    @Override protected void init(NioSession session) throws Exception {
        super.init(session);
        for (SelectionKey key : selector.keys()) {
            if (key.attachment() == session) session.setAttribute(CHANNEL_ATTRIBUTE, key.channel());
        }
    }

    /** MINA reads until nothing is left, and passes the bytes on before it reports the end of input after them. */
    @Override protected int read(NioSession session, IoBuffer buffer) throws Exception {
        int length = super.read(session, buffer);
        if (length < 0) session.setAttribute(END_OF_INPUT_ATTRIBUTE);
        return length;
    }

    /** Whether the peer has closed its direction; what it sent before may not have been processed yet. */
    static boolean endOfInput(IoSession session) {
        return session.containsAttribute(END_OF_INPUT_ATTRIBUTE);
    }

    /** Half-closes: the peer reads what was written and then the end; what it still sends can be read. */
    static void shutdownOutput(IoSession session) {
        try {
            ((SocketChannel) session.getAttribute(CHANNEL_ATTRIBUTE)).shutdownOutput();
        } catch (IOException | RuntimeException e) {
            session.closeNow();                             // closed meanwhile, or never connected
        }
    }
}
