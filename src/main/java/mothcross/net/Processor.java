package mothcross.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * The thread that reads and writes all sockets, extended by what MINA does not expose: whether the peer had closed by
 * the time its last bytes were read, reading at once what has arrived meanwhile, running a task on this thread, and
 * closing only our direction of a connection. What belongs to a session is kept as its attributes.
 */
final class Processor extends NioProcessor {
    private static final String CHANNEL_ATTRIBUTE = "channel";
    private static final String END_OF_INPUT_ATTRIBUTE = "end of input";
    private static final int READ_BYTES = 16 << 10;

    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    /** Used by this thread only. */
    private final ByteBuffer received = ByteBuffer.allocate(READ_BYTES);

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

    @Override protected int select(long timeout) throws Exception {
        int selected = super.select(timeout);
        for (Runnable task; (task = tasks.poll()) != null;) task.run();
        return selected;
    }

    /** Runs the task soon on the thread that reads the session. */
    static void execute(IoSession session, Runnable task) {
        Processor processor = (Processor) ((NioSession) session).getProcessor();
        processor.tasks.add(task);
        processor.wakeup();
    }

    /**
     * Reads what the system has received for the session, up to a buffer's size; null where there is nothing, or only
     * the end of the input. To be called on the thread that reads the session; the buffer is used again.
     */
    static ByteBuffer readAvailable(IoSession session) {
        ByteBuffer buffer = ((Processor) ((NioSession) session).getProcessor()).received.clear();
        int length;
        try {
            length = ((SocketChannel) session.getAttribute(CHANNEL_ATTRIBUTE)).read(buffer);
        } catch (IOException | RuntimeException e) {
            length = -1;                                    // reset or closed
        }
        if (length < 0) session.setAttribute(END_OF_INPUT_ATTRIBUTE);
        return length > 0 ? buffer.flip() : null;
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
