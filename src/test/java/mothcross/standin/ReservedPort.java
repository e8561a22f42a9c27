package mothcross.standin;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;

/** A loopback port that stays bound while nothing listens on it, so that no other socket gets it meanwhile. */
final class ReservedPort implements AutoCloseable {
    private static final long BIND_TIMEOUT_NS = 5_000_000_000L;
    private final SocketChannel reservation = SocketChannel.open();
    final int port;

    /** Reserves {@code requestedPort}, or any free port for 0. */
    ReservedPort(int requestedPort) throws IOException {
        reservation.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        retryBind(() -> reservation.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), requestedPort)));
        port = ((InetSocketAddress) reservation.getLocalAddress()).getPort();
    }

    private interface BindAction {
        void bind() throws IOException;
    }

    /** Retries, as a closed listening socket keeps its address until the thread that accepts on it has noticed. */
    private static void retryBind(BindAction action) throws IOException {
        long deadline = System.nanoTime() + BIND_TIMEOUT_NS;
        while (true) {
            try {
                action.bind();
                return;
            } catch (BindException e) {
                if (System.nanoTime() > deadline) throw e;
            }
        }
    }

    /** Listens on the port. */
    ServerSocket listen(int backlog) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        retryBind(() -> server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), backlog));
        return server;
    }

    @Override public void close() throws IOException {
        reservation.close();
    }
}
