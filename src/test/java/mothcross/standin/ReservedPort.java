package mothcross.standin;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;

/** A loopback port that stays ours while nothing listens there, so that no other socket gets it meanwhile. */
final class ReservedPort implements AutoCloseable {
    private static final long PATIENCE_NS = 5_000_000_000L;
    private final SocketChannel holder = SocketChannel.open();
    final int port;

    /** 0: any port. */
    ReservedPort(int at) throws IOException {
        holder.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        again(() -> holder.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), at)));
        port = ((InetSocketAddress) holder.getLocalAddress()).getPort();
    }

    private interface Binds {
        void bind() throws IOException;
    }

    /** An address given up a moment ago is free only when the thread that accepted there has noticed. */
    private static void again(Binds b) throws IOException {
        for (long until = System.nanoTime() + PATIENCE_NS;;) {
            try {
                b.bind();
                return;
            } catch (BindException e) {
                if (System.nanoTime() > until) throw e;
            }
        }
    }

    ServerSocket listen(int backlog) throws IOException {
        ServerSocket s = new ServerSocket();
        s.setReuseAddress(true);
        again(() -> s.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), backlog));
        return s;
    }

    @Override public void close() throws IOException {
        holder.close();
    }
}
