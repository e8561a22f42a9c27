package mothcross.fleet.net;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import mothcross.fleet.GossipItem;
import mothcross.fleet.MemberRecord;
import mothcross.fleet.Message;

/**
 * The form of a message on the wire, version 2, numbers big-endian, texts as a length of one byte and UTF-8:
 * <pre>
 * version:1 key:1 length:4 fleet count:8 kind:1 from life:8 host port:2 to seq:4 about heard:1 number:8 digest:8
 * items:2 each(type:1 ...) facts:4 each(name life:8 host port:2 standing:1 turn:2) body:4 bytes checksum:16
 * </pre>
 * The length counts all; the checksum is the first half of HMAC-SHA-256 over what stands before it. {@code count}
 * grows with each message of a life, and none is taken twice. Owns the keys and the windows; what does not fit is
 * counted by its reason and never answered. Used by one thread at a time.
 */
public final class FleetMessageCodec {
    public enum Dropped { SHORT, LONG, VERSION, LENGTH, KEY, CHECKSUM, FLEET, REPLAYED, MALFORMED }

    /** At most so many bytes in a datagram; a whole view goes by a stream. */
    static final int DATAGRAM = 1400, STREAM = 4 << 20;
    private static final int CHECKSUM = 16, VERSION = 2, MOST_SENDERS = 4096, LEAST = 64;
    private static final Message.Kind[] KINDS = Message.Kind.values();
    private static final MemberRecord.Status[] STANDINGS = MemberRecord.Status.values();
    private static final GossipItem.LinkStatus[] EDGES = GossipItem.LinkStatus.values();

    /** A key of the operators; the first given signs, any of them is taken. */
    public record Key(int id, byte[] secret) { }

    /** The numbers of one sender's life that were taken lately. */
    private static final class Window {
        private static final int SIZE = 1024;
        private long top;
        private final BitSet taken = new BitSet(SIZE);

        boolean takes(long n) {
            if (n <= 0 || n <= top - SIZE) return false;
            if (n > top) {
                if (n - top >= SIZE) taken.clear();
                else for (long i = top + 1; i <= n; i++) taken.clear((int) (i % SIZE));
                top = n;
            }
            int at = (int) (n % SIZE);
            if (taken.get(at)) return false;
            taken.set(at);
            return true;
        }
    }

    private final String fleet;
    private final Map<Integer, Mac> keys = new LinkedHashMap<>();
    private final int signs;
    private final Map<String, Window> windows = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override protected boolean removeEldestEntry(Map.Entry<String, Window> e) {
            return size() > MOST_SENDERS;
        }
    };
    private long count;
    public final long[] dropped = new long[Dropped.values().length];

    public FleetMessageCodec(String fleet, List<Key> keys) {
        this.fleet = fleet;
        this.signs = keys.get(0).id;
        try {
            for (Key k : keys) {
                Mac m = Mac.getInstance("HmacSHA256");
                m.init(new SecretKeySpec(k.secret, "HmacSHA256"));
                this.keys.put(k.id, m);
            }
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);         // every JDK has it
        }
    }

    /** How many senders' numbers are remembered: bounded, whatever comes. */
    int senders() {
        return windows.size();
    }

    // ---- out ----

    public byte[] encode(Message m) {
        ByteArrayOutputStream all = new ByteArrayOutputStream(256);
        try (DataOutputStream out = new DataOutputStream(all)) {
            out.writeByte(VERSION);
            out.writeByte(signs);
            out.writeInt(0);
            text(out, fleet);
            out.writeLong(++count);
            out.writeByte(m.kind().ordinal());
            text(out, m.from());
            out.writeLong(m.incarnation());
            text(out, m.host());
            out.writeShort(m.port());
            text(out, m.to());
            out.writeInt(m.seq());
            text(out, m.subject());
            out.writeBoolean(m.pingReceived());
            out.writeLong(m.viewNumber());
            out.writeLong(m.viewDigest());
            out.writeShort(m.items().size());
            for (GossipItem i : m.items()) item(out, i);
            out.writeInt(m.viewMembers() == null ? -1 : m.viewMembers().size());
            if (m.viewMembers() != null) for (MemberRecord f : m.viewMembers()) fact(out, f);
            out.writeInt(m.body().length);
            out.write(m.body());
        } catch (IOException e) {
            throw new UncheckedIOException(e);          // memory only
        }
        byte[] bytes = Arrays.copyOf(all.toByteArray(), all.size() + CHECKSUM);
        ByteBuffer.wrap(bytes).putInt(2, bytes.length);
        Mac mac = keys.get(signs);
        mac.update(bytes, 0, bytes.length - CHECKSUM);
        System.arraycopy(mac.doFinal(), 0, bytes, bytes.length - CHECKSUM, CHECKSUM);
        return bytes;
    }

    private static void text(DataOutputStream out, String s) throws IOException {
        byte[] b = s.getBytes(StandardCharsets.UTF_8);
        out.writeByte(b.length);
        out.write(b, 0, Math.min(255, b.length));
    }

    private static void fact(DataOutputStream out, MemberRecord f) throws IOException {
        text(out, f.name());
        out.writeLong(f.incarnation());
        text(out, f.host());
        out.writeShort(f.port());
        out.writeByte(f.status().ordinal());
        out.writeShort(f.evictions());
    }

    private static void bits(DataOutputStream out, BitSet b) throws IOException {
        byte[] bytes = b.toByteArray();
        out.writeShort(bytes.length);
        out.write(bytes);
    }

    private static void item(DataOutputStream out, GossipItem i) throws IOException {
        if (i instanceof GossipItem.Accusation a) {
            out.writeByte(1);
            text(out, a.watcher());
            out.writeLong(a.watcherIncarnation());
            text(out, a.subject());
            out.writeLong(a.incarnation());
            out.writeInt(a.seq());
            out.writeByte(a.linkStatus().ordinal());
        } else if (i instanceof GossipItem.Refutation r) {
            out.writeByte(2);
            text(out, r.name());
            out.writeLong(r.incarnation());
            out.writeInt(r.count());
        } else if (i instanceof GossipItem.Candidate c) {
            out.writeByte(3);
            fact(out, c.member());
        } else if (i instanceof GossipItem.Proposal p) {
            out.writeByte(4);
            out.writeLong(p.baseDigest());
            out.writeLong(p.baseNumber());
            out.writeInt(p.round());
            text(out, p.proposer());
            bits(out, p.leaving());
            out.writeByte(p.joining().size());
            for (long m : p.joining()) out.writeLong(m);
            bits(out, p.votes());
        }
    }

    // ---- in ----

    /** The message, or null where it does not fit; then the reason is counted. */
    public Message decode(byte[] bytes, int length, boolean stream) {
        if (length < LEAST) return drop(Dropped.SHORT);
        if (length > (stream ? STREAM : DATAGRAM)) return drop(Dropped.LONG);
        ByteBuffer in = ByteBuffer.wrap(bytes, 0, length);
        if (in.get() != VERSION) return drop(Dropped.VERSION);
        Mac mac = keys.get(in.get() & 0xff);
        if (mac == null) return drop(Dropped.KEY);
        if (in.getInt() != length) return drop(Dropped.LENGTH);
        mac.update(bytes, 0, length - CHECKSUM);
        byte[] right = Arrays.copyOf(mac.doFinal(), CHECKSUM);
        if (!MessageDigest.isEqual(right, Arrays.copyOfRange(bytes, length - CHECKSUM, length))) {
            return drop(Dropped.CHECKSUM);
        }
        in.limit(length - CHECKSUM);
        try {
            if (!text(in).equals(fleet)) return drop(Dropped.FLEET);
            long number = in.getLong();
            Message m = decode(in);
            if (in.hasRemaining()) return drop(Dropped.MALFORMED);
            // Of each life its own: whether an earlier one still counts is the member's to say.
            Window w = windows.computeIfAbsent(m.from() + '@' + m.incarnation(), k -> new Window());
            return w.takes(number) ? m : drop(Dropped.REPLAYED);
        } catch (BufferUnderflowException | IllegalArgumentException | IndexOutOfBoundsException e) {
            return drop(Dropped.MALFORMED);
        }
    }

    private Message drop(Dropped why) {
        dropped[why.ordinal()]++;
        return null;
    }

    private static Message decode(ByteBuffer in) {
        Message.Kind kind = KINDS[in.get()];
        String from = text(in);
        long life = in.getLong();
        String host = text(in);
        int port = in.getShort() & 0xffff;
        String to = text(in);
        int seq = in.getInt();
        String about = text(in);
        boolean heard = in.get() != 0;
        long number = in.getLong(), digest = in.getLong();
        int n = in.getShort();
        List<GossipItem> items = new ArrayList<>();
        for (int i = 0; i < n; i++) items.add(item(in));
        int facts = in.getInt();
        List<MemberRecord> state = facts < 0 ? null : new ArrayList<>();
        for (int i = 0; i < facts; i++) state.add(fact(in));
        int length = in.getInt();
        if (length < 0 || length > in.remaining()) throw new IllegalArgumentException("body");
        if (length == 0) {
            return new Message(kind, from, life, host, port, to, seq, about, heard, number, digest, items, state);
        }
        byte[] body = new byte[length];
        in.get(body);
        return new Message(kind, from, life, host, port, to, seq, about, heard, number, digest, items, state, body);
    }

    private static String text(ByteBuffer in) {
        byte[] b = new byte[in.get() & 0xff];
        in.get(b);
        return new String(b, StandardCharsets.UTF_8);
    }

    private static MemberRecord fact(ByteBuffer in) {
        return new MemberRecord(text(in), in.getLong(), text(in), in.getShort() & 0xffff, STANDINGS[in.get()], in.getShort());
    }

    private static BitSet bits(ByteBuffer in) {
        byte[] b = new byte[in.getShort() & 0xffff];
        in.get(b);
        return BitSet.valueOf(b);
    }

    private static GossipItem item(ByteBuffer in) {
        switch (in.get()) {
            case 1 -> {
                return new GossipItem.Accusation(text(in), in.getLong(), text(in), in.getLong(), in.getInt(),
                    EDGES[in.get()]);
            }
            case 2 -> {
                return new GossipItem.Refutation(text(in), in.getLong(), in.getInt());
            }
            case 3 -> {
                return new GossipItem.Candidate(fact(in));
            }
            case 4 -> {
                long base = in.getLong(), number = in.getLong();
                int round = in.getInt();
                String maker = text(in);
                BitSet gone = bits(in);
                List<Long> marks = new ArrayList<>();
                for (int i = in.get() & 0xff; i > 0; i--) marks.add(in.getLong());
                return new GossipItem.Proposal(base, number, round, maker, gone, marks, bits(in));
            }
            default -> throw new IllegalArgumentException("item");
        }
    }
}
