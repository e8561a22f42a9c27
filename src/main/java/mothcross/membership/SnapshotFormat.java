package mothcross.membership;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;
import mothcross.Director;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The bytes that a kept list rests in: a head of 24 bytes (magic 8, version 4, length of the body 4, CRC32C of
 * the body 4, CRC32C of the 20 bytes before 4), then the body. Big-endian; texts as a length of two bytes and
 * UTF-8. Owns the form only; must never give back half a list, or one that it is not sure of.
 */
public final class SnapshotFormat {
    /** Why bytes are no list that may be used; each has a counter and a row in the operators' page. */
    public enum ReadError { EMPTY, NOT_A_LIST, OTHER_VERSION, TORN, DAMAGED, OTHER_FLEET, OTHER_DIRECTOR, FUTURE,
        UNREADABLE }

    /** The reason and the text beside it; failure is a value here. */
    public record Result(MembershipSnapshot snapshot, ReadError error, String text) {
        public static Result failed(ReadError r, String text) {
            return new Result(null, r, text);
        }
    }

    private static final long MAGIC = 0x6d6f74686c697374L;            // "mothlist"
    private static final int VERSION = 1, HEAD = 24, UNBACKED = 4;

    private SnapshotFormat() { }

    public static byte[] encode(MembershipSnapshot k) {
        Writer w = new Writer();
        w.room(HEAD).position(HEAD);
        w.text(k.fleet());
        w.text(k.director());
        w.number(k.savedAt());
        w.room(8).putLong(k.lastEvent());
        w.number(k.confirmedAt());
        // Places and kinds are few: each is written once.
        Map<String, Integer> names = new HashMap<>();
        List<String> order = new ArrayList<>();
        for (ListedNode t : k.entries().values()) {
            for (String s : List.of(t.zone(), t.kind())) {
                if (names.putIfAbsent(s, order.size()) == null) order.add(s);
            }
        }
        w.room(4).putInt(order.size());
        order.forEach(w::text);
        w.room(4).putInt(k.entries().size());
        for (ListedNode t : k.entries().values()) {
            w.text(t.id());
            w.text(t.host());
            w.room(17).putInt(t.port()).putInt(names.get(t.zone())).putInt(names.get(t.kind())).putInt(t.cell())
                .put((byte) (t.status() | (t.confirmed() ? 0 : UNBACKED)));
            w.number(t.units());
            w.number(t.startedAt());
            w.number(t.listedAt());
            w.number(t.answeredAt());
        }
        w.room(4).putInt(k.purges().size());
        for (Purge p : k.purges()) w.room(20).putLong(p.object()).putInt(p.group()).putDouble(p.at());
        return w.sealed();
    }

    /** The list in these bytes, if it is one of this fleet and director (null: of any) and not from later on. */
    public static Result decode(byte[] bytes, String fleet, String director, double now, double skew) {
        if (bytes.length == 0) return Result.failed(ReadError.EMPTY, "the file is empty");
        if (bytes.length < HEAD) return Result.failed(ReadError.TORN, "only " + bytes.length + " bytes, a head has "
            + HEAD);
        ByteBuffer in = ByteBuffer.wrap(bytes);
        if (in.getLong() != MAGIC) return Result.failed(ReadError.NOT_A_LIST, "it does not begin as a kept list does");
        int version = in.getInt(), length = in.getInt(), sum = in.getInt(), headSum = in.getInt();
        if (headSum != sum(bytes, 0, HEAD - 4)) return Result.failed(ReadError.DAMAGED, "its head is damaged");
        if (version != VERSION) {
            return Result.failed(ReadError.OTHER_VERSION, "version " + version + ", this program reads " + VERSION);
        }
        if (length != bytes.length - HEAD) {
            return Result.failed(ReadError.TORN, "its body has " + (bytes.length - HEAD) + " bytes in place of "
                + length);
        }
        if (sum != sum(bytes, HEAD, length)) return Result.failed(ReadError.DAMAGED, "its body is damaged");
        MembershipSnapshot k;
        try {
            k = body(in);
        } catch (BufferUnderflowException | IndexOutOfBoundsException | IllegalArgumentException e) {
            return Result.failed(ReadError.DAMAGED, "its body does not fit its form");
        }
        if (fleet != null && !fleet.equals(k.fleet())) {
            return Result.failed(ReadError.OTHER_FLEET, "it is of fleet '" + k.fleet() + "', this is '" + fleet + "'");
        }
        if (director != null && !director.equals(k.director())) {
            return Result.failed(ReadError.OTHER_DIRECTOR,
                "it is of director '" + k.director() + "', this is '" + director + "'");
        }
        if (k.savedAt() > now + skew) {
            return Result.failed(ReadError.FUTURE, String.format(java.util.Locale.ROOT,
                "it was written %.0f s from now: the clock went back", (k.savedAt() - now) / 1000));
        }
        return new Result(k, null, "");
    }

    private static MembershipSnapshot body(ByteBuffer in) {
        String fleet = text(in), director = text(in);
        double savedAt = number(in);
        long number = in.getLong();
        double heardAt = number(in);
        String[] names = new String[count(in, 2)];
        for (int i = 0; i < names.length; i++) names[i] = text(in);
        Map<String, ListedNode> entries = new HashMap<>();
        for (int i = count(in, 53); i > 0; i--) {
            String id = text(in), host = text(in);
            int port = in.getInt(), place = in.getInt(), kind = in.getInt(), cell = in.getInt(), flags = in.get();
            int told = flags & ~UNBACKED;
            if (told < Director.IN_SERVICE || told > Director.REMOVED) throw new IllegalArgumentException("standing");
            entries.put(id, new ListedNode(id, host, port, names[place], names[kind], cell, told, number(in),
                number(in), number(in), number(in), (flags & UNBACKED) == 0));
        }
        List<Purge> purges = new ArrayList<>();
        for (int i = count(in, 20); i > 0; i--) purges.add(new Purge(in.getLong(), in.getInt(), number(in)));
        if (in.hasRemaining()) throw new IllegalArgumentException("bytes left");
        PMap<String, ListedNode> all = HashTreePMap.from(entries);
        return new MembershipSnapshot(fleet, director, savedAt, number, heardAt, all, purges);
    }

    private static int count(ByteBuffer in, int least) {
        int n = in.getInt();
        if (n < 0 || n > in.remaining() / least) throw new IllegalArgumentException("count");
        return n;
    }

    private static double number(ByteBuffer in) {
        double d = in.getDouble();
        if (Double.isNaN(d)) throw new IllegalArgumentException("number");
        return d;
    }

    private static String text(ByteBuffer in) {
        byte[] b = new byte[in.getShort() & 0xffff];
        in.get(b);
        return new String(b, StandardCharsets.UTF_8);
    }

    private static int sum(byte[] bytes, int from, int length) {
        CRC32C c = new CRC32C();
        c.update(bytes, from, length);
        return (int) c.getValue();
    }

    private static final class Writer {
        private ByteBuffer out = ByteBuffer.allocate(4096);

        ByteBuffer room(int n) {
            if (out.remaining() < n) {
                ByteBuffer more = ByteBuffer.allocate(Math.max(2 * out.capacity(), out.capacity() + n));
                out = more.put(out.flip());
            }
            return out;
        }

        void number(double d) {
            room(8).putDouble(d);
        }

        void text(String s) {
            byte[] b = s.getBytes(StandardCharsets.UTF_8);
            if (b.length > 0xffff) throw new IllegalArgumentException("a name of " + b.length + " bytes");
            room(2 + b.length).putShort((short) b.length).put(b);
        }

        byte[] sealed() {
            byte[] all = new byte[out.position()];
            out.flip().get(all);
            ByteBuffer head = ByteBuffer.wrap(all);
            head.putLong(MAGIC).putInt(VERSION).putInt(all.length - HEAD).putInt(sum(all, HEAD, all.length - HEAD));
            head.putInt(sum(all, 0, HEAD - 4));
            return all;
        }
    }
}
