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
 * The one thread that reads and writes all sockets, with two things that the library keeps to itself: whether the
 * other side had closed by the time its last bytes were read, and closing only the side on which we write. Owns
 * nothing but these marks on a session; must never read or write by itself.
 */
final class Processor extends NioProcessor {
    private static final String CHANNEL = "channel", END_OF_INPUT = "end of input";

    Processor(Executor threads) {
        super(threads);
    }

    @Override protected void init(NioSession session) throws Exception {
        super.init(session);
        for (SelectionKey k : selector.keys()) {
            if (k.attachment() == session) session.setAttribute(CHANNEL, k.channel());
        }
    }

    /** The library reads until nothing more is there, and passes the bytes on before it tells of the end after them. */
    @Override protected int read(NioSession session, IoBuffer into) throws Exception {
        int n = super.read(session, into);
        if (n < 0) session.setAttribute(END_OF_INPUT);
        return n;
    }

    /** Whether nothing more can come: the other side has closed, and what it sent before may still be being handled. */
    static boolean endOfInput(IoSession session) {
        return session.containsAttribute(END_OF_INPUT);
    }

    /** Half-close: the other side reads what was written and then the end; what it still sends can be read. */
    static void shutdownOutput(IoSession session) {
        try {
            ((SocketChannel) session.getAttribute(CHANNEL)).shutdownOutput();
        } catch (IOException | RuntimeException e) {
            session.closeNow();                             // it has ended meanwhile, or was never up
        }
    }
}
