package mothcross.fleet.net;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import mothcross.fleet.Message;

/** Sends an operator's request to a running director, signed with the fleet's key. The response is JSON. */
public final class AdminClient {
    private static final int TIMEOUT_MS = 5000;

    private AdminClient() { }

    /** Sends a request without a body; the response. */
    public static String request(InetSocketAddress to, String fleet, List<FleetMessageCodec.Key> keys, String what)
        throws IOException {
        return request(to, fleet, keys, what, new byte[0]);
    }

    /** Sends a request with a body; the response. */
    public static String request(InetSocketAddress to, String fleet, List<FleetMessageCodec.Key> keys, String what,
        byte[] body) throws IOException {
        String from = "operator-" + Long.toHexString(new SplittableRandom().nextLong());
        Message request = new Message(Message.Kind.ADMIN, from, System.currentTimeMillis(), "127.0.0.1", 0, "", 0, what,
            false, 0, 0, List.of(), null, body);
        byte[] bytes = new FleetMessageCodec(fleet, keys).encode(request);
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(TIMEOUT_MS);
            socket.connect(to, TIMEOUT_MS);
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(bytes.length);
            out.write(bytes);
            out.flush();
            DataInputStream in = new DataInputStream(socket.getInputStream());
            int length = in.readInt();
            if (length < 0 || length > FleetMessageCodec.MAX_STREAM_BYTES) {
                throw new IOException("the response has an invalid length: " + length);
            }
            return new String(in.readNBytes(length), StandardCharsets.UTF_8);
        }
    }
}
