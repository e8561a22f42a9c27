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

/** An operator's question to a running director, under the fleet's key; the answer is JSON. */
public final class AdminClient {
    private static final int PATIENCE_MS = 5000;

    private AdminClient() { }

    public static String request(InetSocketAddress at, String fleet, List<FleetMessageCodec.Key> keys, String what)
        throws IOException {
        return request(at, fleet, keys, what, new byte[0]);
    }

    /** {@code body} goes along with the question, to whom it is for. */
    public static String request(InetSocketAddress at, String fleet, List<FleetMessageCodec.Key> keys, String what,
        byte[] body) throws IOException {
        String from = "operator-" + Long.toHexString(new SplittableRandom().nextLong());
        Message m = new Message(Message.Kind.ADMIN, from, System.currentTimeMillis(), "127.0.0.1", 0, "", 0, what,
            false, 0, 0, List.of(), null, body);
        byte[] b = new FleetMessageCodec(fleet, keys).encode(m);
        try (Socket s = new Socket()) {
            s.setSoTimeout(PATIENCE_MS);
            s.connect(at, PATIENCE_MS);
            DataOutputStream out = new DataOutputStream(s.getOutputStream());
            out.writeInt(b.length);
            out.write(b);
            out.flush();
            DataInputStream in = new DataInputStream(s.getInputStream());
            int length = in.readInt();
            if (length < 0 || length > FleetMessageCodec.STREAM) throw new IOException("no answer that can be read");
            return new String(in.readNBytes(length), StandardCharsets.UTF_8);
        }
    }
}
