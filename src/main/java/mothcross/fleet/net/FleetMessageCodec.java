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
 * Encodes and decodes messages. Wire format, version 2; numbers are big-endian, texts are UTF-8 after a length byte:
 * <pre>
 * version:1 keyId:1 length:4 fleet count:8 kind:1 from incarnation:8 host port:2 to seq:4 subject pingReceived:1
 * viewNumber:8 viewDigest:8 items:2 each(type:1 ...)
 * viewMembers:4 each(name incarnation:8 host port:2 status:1 evictions:2) body:4 bytes checksum:16
 * </pre>
 * The length is that of the whole message; the checksum is the first half of the HMAC-SHA-256 of all bytes before it.
 * The count grows with each message of an incarnation, and a message is accepted only once. Invalid messages are
 * counted by reason and never answered. Not thread-safe.
 */
public final class FleetMessageCodec {
    /** Why a message was dropped; also the names of the counters. */
    public enum Dropped { SHORT, LONG, VERSION, LENGTH, KEY, CHECKSUM, FLEET, REPLAYED, MALFORMED }

    /** Whole views are sent on a stream instead of a datagram. */
    static final int MAX_DATAGRAM_BYTES = 1400;
    static final int MAX_STREAM_BYTES = 4 << 20;
    private static final int MIN_MESSAGE_BYTES = 64;
    private static final int CHECKSUM_BYTES = 16;
    private static final int LENGTH_OFFSET = 2;
    private static final int VERSION = 2;
    private static final int MAX_SENDERS = 4096;
    private static final int MAX_TEXT_BYTES = 255;
    private static final String MAC_ALGORITHM = "HmacSHA256";
    private static final Message.Kind[] KINDS = Message.Kind.values();
    private static final MemberRecord.Status[] STATUSES = MemberRecord.Status.values();
    private static final GossipItem.LinkStatus[] LINK_STATUSES = GossipItem.LinkStatus.values();

    /** A shared key of the fleet: the first one configured signs, all of them verify. */
    public record Key(int id, byte[] secret) { }

    /** The message counts recently accepted from one incarnation of a sender, against replays. */
    private static final class ReplayWindow {
        private static final int SIZE = 1024;
        private long highest;
        private final BitSet accepted = new BitSet(SIZE);

        boolean accept(long count) {
            if (count <= 0 || count <= highest - SIZE) return false;
            if (count > highest) {
                if (count - highest >= SIZE) accepted.clear();
                else for (long i = highest + 1; i <= count; i++) accepted.clear((int) (i % SIZE));
                highest = count;
            }
            int index = (int) (count % SIZE);
            if (accepted.get(index)) return false;
            accepted.set(index);
            return true;
        }
    }

    private final String fleet;
    private final Map<Integer, Mac> macs = new LinkedHashMap<>();
    private final int signingKeyId;
    private final Map<String, ReplayWindow> windows = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override protected boolean removeEldestEntry(Map.Entry<String, ReplayWindow> e) {
            return size() > MAX_SENDERS;
        }
    };
    private long sentCount;
    /** The number of dropped messages, by ordinal of the reason. */
    public final long[] dropped = new long[Dropped.values().length];

    public FleetMessageCodec(String fleet, List<Key> keys) {
        this.fleet = fleet;
        this.signingKeyId = keys.get(0).id;
        try {
            for (Key key : keys) {
                Mac mac = Mac.getInstance(MAC_ALGORITHM);
                mac.init(new SecretKeySpec(key.secret, MAC_ALGORITHM));
                macs.put(key.id, mac);
            }
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);         // every JDK provides the algorithm
        }
    }

    /** The number of incarnations of senders whose replay windows are kept; bounded. */
    int rememberedSenders() {
        return windows.size();
    }

    // ---- encoding ----

    public byte[] encode(Message message) {
        ByteArrayOutputStream buffer = new ByteArrayOutputStream(256);
        try (DataOutputStream out = new DataOutputStream(buffer)) {
            out.writeByte(VERSION);
            out.writeByte(signingKeyId);
            out.writeInt(0);                            // the length, set below
            writeText(out, fleet);
            out.writeLong(++sentCount);
            out.writeByte(message.kind().ordinal());
            writeText(out, message.from());
            out.writeLong(message.incarnation());
            writeText(out, message.host());
            out.writeShort(message.port());
            writeText(out, message.to());
            out.writeInt(message.seq());
            writeText(out, message.subject());
            out.writeBoolean(message.pingReceived());
            out.writeLong(message.viewNumber());
            out.writeLong(message.viewDigest());
            out.writeShort(message.items().size());
            for (GossipItem item : message.items()) writeItem(out, item);
            out.writeInt(message.viewMembers() == null ? -1 : message.viewMembers().size());
            if (message.viewMembers() != null) {
                for (MemberRecord record : message.viewMembers()) writeRecord(out, record);
            }
            out.writeInt(message.body().length);
            out.write(message.body());
        } catch (IOException e) {
            throw new UncheckedIOException(e);          // cannot occur in memory
        }
        byte[] bytes = Arrays.copyOf(buffer.toByteArray(), buffer.size() + CHECKSUM_BYTES);
        ByteBuffer.wrap(bytes).putInt(LENGTH_OFFSET, bytes.length);
        Mac mac = macs.get(signingKeyId);
        mac.update(bytes, 0, bytes.length - CHECKSUM_BYTES);
        System.arraycopy(mac.doFinal(), 0, bytes, bytes.length - CHECKSUM_BYTES, CHECKSUM_BYTES);
        return bytes;
    }

    private static void writeText(DataOutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.writeByte(bytes.length);
        out.write(bytes, 0, Math.min(MAX_TEXT_BYTES, bytes.length));
    }

    private static void writeRecord(DataOutputStream out, MemberRecord record) throws IOException {
        writeText(out, record.name());
        out.writeLong(record.incarnation());
        writeText(out, record.host());
        out.writeShort(record.port());
        out.writeByte(record.status().ordinal());
        out.writeShort(record.evictions());
    }

    private static void writeBits(DataOutputStream out, BitSet bits) throws IOException {
        byte[] bytes = bits.toByteArray();
        out.writeShort(bytes.length);
        out.write(bytes);
    }

    private static void writeItem(DataOutputStream out, GossipItem item) throws IOException {
        if (item instanceof GossipItem.Accusation accusation) {
            out.writeByte(1);
            writeText(out, accusation.watcher());
            out.writeLong(accusation.watcherIncarnation());
            writeText(out, accusation.subject());
            out.writeLong(accusation.incarnation());
            out.writeInt(accusation.seq());
            out.writeByte(accusation.linkStatus().ordinal());
        } else if (item instanceof GossipItem.Refutation refutation) {
            out.writeByte(2);
            writeText(out, refutation.name());
            out.writeLong(refutation.incarnation());
            out.writeInt(refutation.count());
        } else if (item instanceof GossipItem.Candidate candidate) {
            out.writeByte(3);
            writeRecord(out, candidate.member());
        } else if (item instanceof GossipItem.Proposal proposal) {
            out.writeByte(4);
            out.writeLong(proposal.baseDigest());
            out.writeLong(proposal.baseNumber());
            out.writeInt(proposal.round());
            writeText(out, proposal.proposer());
            writeBits(out, proposal.leaving());
            out.writeByte(proposal.joining().size());
            for (long memberId : proposal.joining()) out.writeLong(memberId);
            writeBits(out, proposal.votes());
        }
    }

    // ---- decoding ----

    /** The message; null where it is invalid, then the reason is counted. */
    public Message decode(byte[] bytes, int length, boolean stream) {
        if (length < MIN_MESSAGE_BYTES) return drop(Dropped.SHORT);
        if (length > (stream ? MAX_STREAM_BYTES : MAX_DATAGRAM_BYTES)) return drop(Dropped.LONG);
        ByteBuffer in = ByteBuffer.wrap(bytes, 0, length);
        if (in.get() != VERSION) return drop(Dropped.VERSION);
        Mac mac = macs.get(in.get() & 0xff);
        if (mac == null) return drop(Dropped.KEY);
        if (in.getInt() != length) return drop(Dropped.LENGTH);
        mac.update(bytes, 0, length - CHECKSUM_BYTES);
        byte[] expected = Arrays.copyOf(mac.doFinal(), CHECKSUM_BYTES);
        if (!MessageDigest.isEqual(expected, Arrays.copyOfRange(bytes, length - CHECKSUM_BYTES, length))) {
            return drop(Dropped.CHECKSUM);
        }
        in.limit(length - CHECKSUM_BYTES);
        try {
            if (!readText(in).equals(fleet)) return drop(Dropped.FLEET);
            long count = in.getLong();
            Message message = readMessage(in);
            if (in.hasRemaining()) return drop(Dropped.MALFORMED);
            // One window per incarnation: whether an earlier incarnation is still valid is for the member to decide.
            ReplayWindow window = windows.computeIfAbsent(message.from() + '@' + message.incarnation(),
                sender -> new ReplayWindow());
            return window.accept(count) ? message : drop(Dropped.REPLAYED);
        } catch (BufferUnderflowException | IllegalArgumentException | IndexOutOfBoundsException e) {
            return drop(Dropped.MALFORMED);
        }
    }

    private Message drop(Dropped reason) {
        dropped[reason.ordinal()]++;
        return null;
    }

    private static Message readMessage(ByteBuffer in) {
        Message.Kind kind = KINDS[in.get()];
        String from = readText(in);
        long incarnation = in.getLong();
        String host = readText(in);
        int port = in.getShort() & 0xffff;
        String to = readText(in);
        int seq = in.getInt();
        String subject = readText(in);
        boolean pingReceived = in.get() != 0;
        long viewNumber = in.getLong();
        long viewDigest = in.getLong();
        int itemCount = in.getShort();
        List<GossipItem> items = new ArrayList<>();
        for (int i = 0; i < itemCount; i++) items.add(readItem(in));
        int recordCount = in.getInt();
        List<MemberRecord> viewMembers = recordCount < 0 ? null : new ArrayList<>();
        for (int i = 0; i < recordCount; i++) viewMembers.add(readRecord(in));
        int bodyLength = in.getInt();
        if (bodyLength < 0 || bodyLength > in.remaining()) throw new IllegalArgumentException("invalid body length");
        if (bodyLength == 0) {
            return new Message(kind, from, incarnation, host, port, to, seq, subject, pingReceived, viewNumber,
                viewDigest, items, viewMembers);
        }
        byte[] body = new byte[bodyLength];
        in.get(body);
        return new Message(kind, from, incarnation, host, port, to, seq, subject, pingReceived, viewNumber, viewDigest,
            items, viewMembers, body);
    }

    private static String readText(ByteBuffer in) {
        byte[] bytes = new byte[in.get() & 0xff];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static MemberRecord readRecord(ByteBuffer in) {
        return new MemberRecord(readText(in), in.getLong(), readText(in), in.getShort() & 0xffff, STATUSES[in.get()],
            in.getShort());
    }

    private static BitSet readBits(ByteBuffer in) {
        byte[] bytes = new byte[in.getShort() & 0xffff];
        in.get(bytes);
        return BitSet.valueOf(bytes);
    }

    private static GossipItem readItem(ByteBuffer in) {
        switch (in.get()) {
            case 1 -> {
                return new GossipItem.Accusation(readText(in), in.getLong(), readText(in), in.getLong(), in.getInt(),
                    LINK_STATUSES[in.get()]);
            }
            case 2 -> {
                return new GossipItem.Refutation(readText(in), in.getLong(), in.getInt());
            }
            case 3 -> {
                return new GossipItem.Candidate(readRecord(in));
            }
            case 4 -> {
                long baseDigest = in.getLong();
                long baseNumber = in.getLong();
                int round = in.getInt();
                String proposer = readText(in);
                BitSet leaving = readBits(in);
                List<Long> joining = new ArrayList<>();
                for (int i = in.get() & 0xff; i > 0; i--) joining.add(in.getLong());
                return new GossipItem.Proposal(baseDigest, baseNumber, round, proposer, leaving, joining, readBits(in));
            }
            default -> throw new IllegalArgumentException("unknown item type");
        }
    }
}
