package mothcross.membership;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.zip.CRC32C;
import mothcross.Director;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The binary form of a saved {@link MembershipSnapshot}: a header of 24 bytes (magic 8, version 4, body length 4,
 * CRC32C of the body 4, CRC32C of the preceding 20 bytes 4), then the body. Numbers are big-endian; strings are a
 * length of two bytes and UTF-8. Decoding returns a whole, verified snapshot or an error, never a part of one.
 */
public final class SnapshotFormat {
    /** Why bytes cannot be used as a snapshot; each has a counter and a row in the operators' page. */
    public enum ReadError {
        EMPTY,
        /** Not a snapshot: an unknown magic number, or a file too large. */
        NOT_A_LIST,
        OTHER_VERSION,
        /** Shorter or longer than its header says. */
        TORN,
        /** A checksum does not match, or the body is malformed. */
        DAMAGED,
        OTHER_FLEET,
        OTHER_DIRECTOR,
        /** Saved in the future by this machine's clock. */
        FUTURE,
        /** An I/O error. */
        UNREADABLE
    }

    /**
     * The result of reading a snapshot. Where one of several copies can't be used, it has both another one's snapshot
     * and an error.
     *
     * @param snapshot null where reading failed
     * @param error null where reading succeeded
     * @param text describes the error; empty where reading succeeded
     */
    public record Result(MembershipSnapshot snapshot, ReadError error, String text) {
        /** A failed read. */
        public static Result failed(ReadError error, String text) {
            return new Result(null, error, text);
        }
    }

    private static final long MAGIC = 0x6d6f74686c697374L;            // "mothlist"
    private static final int VERSION = 2;
    /** The version of earlier builds, which lacks the numbering: it is read as numbering 0. */
    private static final int VERSION_WITHOUT_NUMBERING = 1;
    private static final int HEADER_BYTES = 24;
    /** Where the body's length stands in the header. */
    private static final int BODY_LENGTH_AT = 12;
    /** Added to a node's status where no confirmation of the whole list covers it. */
    private static final int UNCONFIRMED_FLAG = 4;
    /** Port, zone, kind and cell of a node as int, its status and flag as one byte. */
    private static final int NODE_INTS_BYTES = 17;
    /** The shortest node: two empty strings, {@link #NODE_INTS_BYTES}, four doubles. */
    private static final int MIN_NODE_BYTES = 53;
    private static final int MIN_STRING_BYTES = 2;
    private static final int PURGE_BYTES = 20;
    private static final int INITIAL_BUFFER_BYTES = 4096;
    private static final int MAX_STRING_BYTES = 0xffff;

    private SnapshotFormat() { }

    /** The snapshot in its binary form. */
    public static byte[] encode(MembershipSnapshot snapshot) {
        Writer writer = new Writer();
        writer.reserve(HEADER_BYTES).position(HEADER_BYTES);
        writer.putString(snapshot.fleet());
        writer.putString(snapshot.director());
        writer.putDouble(snapshot.savedAt());
        writer.reserve(Long.BYTES).putLong(snapshot.numbering());
        writer.reserve(Long.BYTES).putLong(snapshot.lastEvent());
        writer.putDouble(snapshot.confirmedAt());
        // There are few zones and kinds: each name is written once.
        Map<String, Integer> nameIndex = new HashMap<>();
        List<String> names = new ArrayList<>();
        for (ListedNode node : snapshot.entries().values()) {
            for (String name : List.of(node.zone(), node.kind())) {
                if (nameIndex.putIfAbsent(name, names.size()) == null) names.add(name);
            }
        }
        writer.putInt(names.size());
        names.forEach(writer::putString);
        writer.putInt(snapshot.entries().size());
        for (ListedNode node : snapshot.entries().values()) writeNode(writer, node, nameIndex);
        writer.putInt(snapshot.purges().size());
        for (Purge purge : snapshot.purges()) {
            writer.reserve(PURGE_BYTES).putLong(purge.object()).putInt(purge.group()).putDouble(purge.at());
        }
        return writer.finish();
    }

    private static void writeNode(Writer writer, ListedNode node, Map<String, Integer> nameIndex) {
        writer.putString(node.id());
        writer.putString(node.host());
        writer.reserve(NODE_INTS_BYTES)
            .putInt(node.port())
            .putInt(nameIndex.get(node.zone()))
            .putInt(nameIndex.get(node.kind()))
            .putInt(node.cell())
            .put((byte) (node.status() | (node.confirmed() ? 0 : UNCONFIRMED_FLAG)));
        writer.putDouble(node.units());
        writer.putDouble(node.startedAt());
        writer.putDouble(node.listedAt());
        writer.putDouble(node.answeredAt());
    }

    /**
     * Reads a snapshot.
     *
     * @param fleet the fleet that it must belong to; null: any
     * @param director the director that must have saved it; null: any
     * @param clockSkewMs how far after {@code now} it may have been saved
     */
    public static Result decode(byte[] bytes, String fleet, String director, double now, double clockSkewMs) {
        if (bytes.length == 0) return Result.failed(ReadError.EMPTY, "the file is empty");
        if (bytes.length < HEADER_BYTES) {
            return Result.failed(ReadError.TORN, "only " + bytes.length + " bytes, the header has " + HEADER_BYTES);
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        if (in.getLong() != MAGIC) {
            return Result.failed(ReadError.NOT_A_LIST, "not a membership snapshot: unknown magic number");
        }
        int version = in.getInt();
        int bodyLength = in.getInt();
        int bodyChecksum = in.getInt();
        int headerChecksum = in.getInt();
        if (headerChecksum != checksum(bytes, 0, HEADER_BYTES - Integer.BYTES)) {
            return Result.failed(ReadError.DAMAGED, "checksum mismatch in the header");
        }
        if (version != VERSION && version != VERSION_WITHOUT_NUMBERING) {
            return Result.failed(ReadError.OTHER_VERSION, "version " + version + ", this program reads "
                + VERSION_WITHOUT_NUMBERING + " and " + VERSION);
        }
        if (bodyLength != bytes.length - HEADER_BYTES) {
            return Result.failed(ReadError.TORN, "the body has " + (bytes.length - HEADER_BYTES)
                + " bytes, the header says " + bodyLength);
        }
        if (bodyChecksum != checksum(bytes, HEADER_BYTES, bodyLength)) {
            return Result.failed(ReadError.DAMAGED, "checksum mismatch in the body");
        }
        MembershipSnapshot snapshot;
        try {
            snapshot = readBody(in, version);
        } catch (BufferUnderflowException | IndexOutOfBoundsException | IllegalArgumentException e) {
            return Result.failed(ReadError.DAMAGED, "the body is malformed");
        }
        if (fleet != null && !fleet.equals(snapshot.fleet())) {
            return Result.failed(ReadError.OTHER_FLEET,
                "saved for fleet '" + snapshot.fleet() + "', this is '" + fleet + "'");
        }
        if (director != null && !director.equals(snapshot.director())) {
            return Result.failed(ReadError.OTHER_DIRECTOR,
                "saved by director '" + snapshot.director() + "', this is '" + director + "'");
        }
        if (snapshot.savedAt() > now + clockSkewMs) {
            return Result.failed(ReadError.FUTURE, String.format(Locale.ROOT,
                "saved %.0f s in the future: the clock went back", (snapshot.savedAt() - now) / 1000));
        }
        return new Result(snapshot, null, "");
    }

    /**
     * The bytes of the snapshot that a file begins with, without what is left behind it of an earlier, longer one. All
     * bytes where the header can't be used.
     */
    public static byte[] withoutTrailingBytes(byte[] bytes) {
        if (bytes.length < HEADER_BYTES) return bytes;
        int bodyLength = ByteBuffer.wrap(bytes).getInt(BODY_LENGTH_AT);
        if (bodyLength < 0 || bodyLength > bytes.length - HEADER_BYTES) return bytes;
        return Arrays.copyOf(bytes, HEADER_BYTES + bodyLength);
    }

    private static MembershipSnapshot readBody(ByteBuffer in, int version) {
        String fleet = readString(in);
        String director = readString(in);
        double savedAt = readDouble(in);
        long numbering = version == VERSION_WITHOUT_NUMBERING ? 0 : in.getLong();
        long lastEvent = in.getLong();
        double confirmedAt = readDouble(in);
        String[] names = new String[readCount(in, MIN_STRING_BYTES)];
        for (int i = 0; i < names.length; i++) names[i] = readString(in);
        Map<String, ListedNode> nodes = new HashMap<>();
        for (int i = readCount(in, MIN_NODE_BYTES); i > 0; i--) {
            ListedNode node = readNode(in, names);
            nodes.put(node.id(), node);
        }
        List<Purge> purges = new ArrayList<>();
        for (int i = readCount(in, PURGE_BYTES); i > 0; i--) {
            purges.add(new Purge(in.getLong(), in.getInt(), readDouble(in)));
        }
        if (in.hasRemaining()) throw new IllegalArgumentException("trailing bytes");
        PMap<String, ListedNode> entries = HashTreePMap.from(nodes);
        return new MembershipSnapshot(fleet, director, savedAt, numbering, lastEvent, confirmedAt, entries, purges);
    }

    private static ListedNode readNode(ByteBuffer in, String[] names) {
        String id = readString(in);
        String host = readString(in);
        int port = in.getInt();
        int zone = in.getInt();
        int kind = in.getInt();
        int cell = in.getInt();
        int flags = in.get();
        int status = flags & ~UNCONFIRMED_FLAG;
        if (status < Director.IN_SERVICE || status > Director.REMOVED) {
            throw new IllegalArgumentException("unknown node status");
        }
        boolean confirmed = (flags & UNCONFIRMED_FLAG) == 0;
        double units = readDouble(in);
        double startedAt = readDouble(in);
        double listedAt = readDouble(in);
        double answeredAt = readDouble(in);
        return new ListedNode(id, host, port, names[zone], names[kind], cell, status, units, startedAt, listedAt,
            answeredAt, confirmed);
    }

    /** A number of items; the remaining bytes must be able to hold them. */
    private static int readCount(ByteBuffer in, int minItemBytes) {
        int count = in.getInt();
        if (count < 0 || count > in.remaining() / minItemBytes) throw new IllegalArgumentException("implausible count");
        return count;
    }

    private static double readDouble(ByteBuffer in) {
        double value = in.getDouble();
        if (Double.isNaN(value)) throw new IllegalArgumentException("number is NaN");
        return value;
    }

    private static String readString(ByteBuffer in) {
        byte[] bytes = new byte[in.getShort() & MAX_STRING_BYTES];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static int checksum(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }

    /** A buffer that grows as it is written to. */
    private static final class Writer {
        private ByteBuffer buffer = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);

        ByteBuffer reserve(int byteCount) {
            if (buffer.remaining() < byteCount) {
                int capacity = Math.max(2 * buffer.capacity(), buffer.capacity() + byteCount);
                buffer = ByteBuffer.allocate(capacity).put(buffer.flip());
            }
            return buffer;
        }

        void putInt(int value) {
            reserve(Integer.BYTES).putInt(value);
        }

        void putDouble(double value) {
            reserve(Double.BYTES).putDouble(value);
        }

        void putString(String value) {
            byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
            if (bytes.length > MAX_STRING_BYTES) {
                throw new IllegalArgumentException("a string of " + bytes.length + " bytes; at most "
                    + MAX_STRING_BYTES + " can be saved");
            }
            reserve(MIN_STRING_BYTES + bytes.length).putShort((short) bytes.length).put(bytes);
        }

        /** All bytes, with the header filled in. */
        byte[] finish() {
            byte[] bytes = new byte[buffer.position()];
            buffer.flip().get(bytes);
            int bodyLength = bytes.length - HEADER_BYTES;
            ByteBuffer header = ByteBuffer.wrap(bytes);
            header.putLong(MAGIC).putInt(VERSION).putInt(bodyLength).putInt(checksum(bytes, HEADER_BYTES, bodyLength));
            header.putInt(checksum(bytes, 0, HEADER_BYTES - Integer.BYTES));
            return bytes;
        }
    }
}
