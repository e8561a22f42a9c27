package mothcross.net;

import java.net.InetSocketAddress;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.service.IoConnector;

/**
 * One connection to discovery, from the attempt to connect until its socket is closed. Reads frames and reports to the
 * {@link DiscoveryWatch} what happens; that decides how long the connection is kept.
 */
final class DiscoveryConnection extends Connection {
    /** The system ends an attempt long before. */
    private static final long UNLIMITED_CONNECT_TIMEOUT_MS = 600_000;

    private final DiscoveryWatch watch;
    private final double attemptedAt;
    private boolean established;
    private long frames;

    DiscoveryConnection(Dispatcher dispatcher, DiscoveryWatch watch) {
        super(dispatcher);
        this.watch = watch;
        this.attemptedAt = dispatcher.clock();
    }

    /** Starts to connect; {@code unlimited} where the attempt may take as long as the system allows. */
    void connect(InetSocketAddress address, boolean unlimited) {
        IoConnector connector = dispatcher.connector;
        long usualTimeoutMs = connector.getConnectTimeoutMillis();
        // The connector takes the time-out over when an attempt begins. All attempts begin under the dispatcher's lock.
        if (unlimited) connector.setConnectTimeoutMillis(UNLIMITED_CONNECT_TIMEOUT_MS);
        ConnectFuture connecting;
        try {
            connecting = connector.connect(address, (session, future) -> bindSession(session));
        } finally {
            connector.setConnectTimeoutMillis(usualTimeoutMs);
        }
        connecting.addListener(future -> {
            if (connecting.getException() != null) {
                dispatcher.runLocked(() -> watch.attemptFailed(this));
            } else {
                connecting.getSession().getCloseFuture().addListener(
                    closing -> dispatcher.runLocked(() -> watch.released(this)));
            }
        });
    }

    @Override void opened() {
        established = true;
        if (!watch.established(this)) {
            abort();
            return;
        }
        session.write(IoBuffer.allocate(DiscoveryFrames.EVENT_BYTES).putLong(watch.lastEvent()).flip());
    }

    @Override void closed() {
        watch.ended(this, "connection closed");
    }

    @Override void received() {
        while (watch.isActive(this) && remaining() >= DiscoveryFrames.LENGTH_BYTES) {
            long length = DiscoveryFrames.readUnsigned(bytes, from, DiscoveryFrames.LENGTH_BYTES);
            if (length < DiscoveryFrames.MIN_FRAME_BYTES || length > DiscoveryFrames.MAX_FRAME_BYTES) {
                watch.malformedLength(this, length);
                break;
            }
            if (remaining() < DiscoveryFrames.LENGTH_BYTES + length) break;
            int frameStart = from + DiscoveryFrames.LENGTH_BYTES;
            from = frameStart + (int) length;
            watch.frameReceived(this, bytes, frameStart, from);
        }
        if (!watch.isActive(this)) from = to;
        else if (remaining() > 0) watch.partialFrameHeld(this);
    }

    void countFrame() {
        frames++;
    }

    /** Whether it has brought a whole frame that could be used. */
    boolean isHeard() {
        return frames > 0;
    }

    /** How long ago the attempt to connect was made, in ms. */
    double ageMs() {
        return dispatcher.clock() - attemptedAt;
    }

    /** What has come of the connection, for the log. */
    String describe() {
        return String.format("%s after %.0f ms: %d frames, %d bytes of the next", established ? "up" : "not up",
            ageMs(), frames, remaining());
    }
}
