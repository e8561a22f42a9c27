package mothcross.fleet.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.*;
import mothcross.fleet.GossipItem;
import mothcross.fleet.MemberRecord;
import mothcross.fleet.Message;
import mothcross.fleet.net.FleetMessageCodec.Dropped;
import org.testng.annotations.Test;

/** The wire form: what is written is read, and nothing else is. */
public class WireTest {
    private static final FleetMessageCodec.Key OLD = new FleetMessageCodec.Key(1, "the old secret, shared".getBytes());
    private static final FleetMessageCodec.Key NEW = new FleetMessageCodec.Key(2, "the new secret, shared".getBytes());

    private static Message message(long life, List<MemberRecord> state) {
        BitSet some = BitSet.valueOf(new long[] {5, 1L << 40});
        return new Message(Message.Kind.PING, "n\u00e91", life, "127.0.0.1", 65_535, "n2", -7, "n3", true, 9, -1,
            List.of(new GossipItem.Accusation("a", 1, "b", 2, 3, GossipItem.LinkStatus.REFUSED),
            new GossipItem.Refutation("c", 4, 5),
            new GossipItem.Candidate(new MemberRecord("d", 6, "127.0.0.1", 7, MemberRecord.Status.LEFT, 8)),
            new GossipItem.Proposal(10, 11, 12, "e", some, List.of(13L, -14L), new BitSet())), state);
    }

    private static long dropped(FleetMessageCodec w) {
        return Arrays.stream(w.dropped).sum();
    }

    @Test public void whatIsWrittenIsRead() {
        FleetMessageCodec a = new FleetMessageCodec("f", List.of(NEW)), b = new FleetMessageCodec("f", List.of(NEW));
        for (List<MemberRecord> state : Arrays.asList(null, List.<MemberRecord>of(),
            List.of(new MemberRecord("x", -1, "10.0.0.1", 1, MemberRecord.Status.EVICTED, 2)))) {
            byte[] bytes = a.encode(message(3, state));
            assertEquals(b.decode(bytes, bytes.length, false), message(3, state));
        }
        assertEquals(dropped(b), 0);
    }

    /** During a change of keys both are taken; after it the old one is not. */
    @Test public void twoKeysAreValidDuringAChange() {
        FleetMessageCodec old = new FleetMessageCodec("f", List.of(OLD)),
            both = new FleetMessageCodec("f", List.of(NEW, OLD)), anew = new FleetMessageCodec("f", List.of(NEW));
        byte[] byOld = old.encode(message(1, null)), byNew = both.encode(message(2, null));
        assertNotNull(both.decode(byOld, byOld.length, false));
        assertNotNull(anew.decode(byNew, byNew.length, false));
        assertNull(anew.decode(byOld, byOld.length, false));
        assertEquals(anew.dropped[Dropped.KEY.ordinal()], 1);
    }

    @Test public void eachFlippedBitAndEachCutIsDropped() {
        FleetMessageCodec a = new FleetMessageCodec("f", List.of(NEW)), b = new FleetMessageCodec("f", List.of(NEW));
        byte[] bytes = a.encode(message(1, List.of()));
        for (int i = 0; i < 8 * bytes.length; i++) {
            byte[] bad = bytes.clone();
            bad[i / 8] ^= (byte) (1 << i % 8);
            assertNull(b.decode(bad, bad.length, false), "bit " + i);
        }
        for (int n = 0; n < bytes.length; n++) assertNull(b.decode(bytes, n, false), "cut to " + n);
        assertEquals(dropped(b), 9L * bytes.length);
        assertNotNull(b.decode(bytes, bytes.length, false), "and the whole one is taken still");
    }

    /** Numbers in any order within the window are taken once, older ones never, also after a new life has begun. */
    @Test public void nothingIsTakenTwice() {
        FleetMessageCodec a = new FleetMessageCodec("f", List.of(NEW)), b = new FleetMessageCodec("f", List.of(NEW));
        List<byte[]> sent = new ArrayList<>();
        for (int i = 0; i < 3000; i++) sent.add(a.encode(message(1, null)));
        SplittableRandom r = new SplittableRandom(4);
        Set<Integer> taken = new HashSet<>();
        int top = 0;
        for (int i = 0; i < 20_000; i++) {
            int n = Math.max(0, Math.min(2999, i / 7 + r.nextInt(80) - 40));
            boolean took = b.decode(sent.get(n), sent.get(n).length, false) != null;
            boolean old = n <= top - 1024;
            assertEquals(took, !old && taken.add(n), "number " + n);
            if (took) top = Math.max(top, n);
        }
        byte[] later = a.encode(message(2, null));
        assertNotNull(b.decode(later, later.length, false));
        assertNull(b.decode(sent.get(top), sent.get(top).length, false), "of an earlier life, once more");
    }

    /** {@code -Dforged=1000000} for all of them: nothing is taken, nothing grows. */
    @Test public void whatIsForgedChangesNothing() {
        int all = Integer.getInteger("forged", 30_000);
        FleetMessageCodec ours = new FleetMessageCodec("f", List.of(NEW)),
            theirs = new FleetMessageCodec("f",
                List.of(new FleetMessageCodec.Key(2, "a guess at it, no more".getBytes()))),
            other = new FleetMessageCodec("g", List.of(NEW));
        SplittableRandom r = new SplittableRandom(1);
        for (int i = 0; i < all; i++) {
            byte[] b;
            switch (r.nextInt(4)) {
                case 0 -> b = new byte[r.nextInt(3000)];
                case 1 -> b = theirs.encode(message(i, null));
                case 2 -> b = other.encode(message(i, null));
                default -> {
                    byte[] whole = ours.encode(message(i, null));
                    b = Arrays.copyOf(whole, 1 + r.nextInt(whole.length - 1));
                }
            }
            if (b.length > 0 && r.nextBoolean()) b[r.nextInt(b.length)] ^= (byte) (1 + r.nextInt(255));
            Message m = ours.decode(b, b.length, false);
            assertNull(m, "message " + i);
        }
        assertEquals(dropped(ours), all);
        assertEquals(ours.rememberedSenders(), 0, "nobody is remembered");
        for (Dropped d : List.of(Dropped.SHORT, Dropped.LONG, Dropped.VERSION, Dropped.CHECKSUM, Dropped.FLEET,
            Dropped.LENGTH)) {
            assertTrue(ours.dropped[d.ordinal()] > 0, d.toString());
        }
    }

    /** Even those who hold the key make no memory grow. */
    @Test public void sendersAreBounded() {
        FleetMessageCodec a = new FleetMessageCodec("f", List.of(NEW)), b = new FleetMessageCodec("f", List.of(NEW));
        for (int i = 0; i < 6000; i++) {
            Message m = new Message(Message.Kind.JOIN, "n" + i, 1, "127.0.0.1", 1, "", 0, "", false, 0, 0, List.of(),
                null);
            byte[] bytes = a.encode(m);
            assertNotNull(b.decode(bytes, bytes.length, false));
        }
        assertTrue(b.rememberedSenders() <= 4096);
    }
}
