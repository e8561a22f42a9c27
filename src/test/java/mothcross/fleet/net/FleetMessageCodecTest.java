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

/** The wire format: encoded messages decode to the same message, and everything else is dropped. */
public class FleetMessageCodecTest {
    private static final FleetMessageCodec.Key OLD_KEY =
        new FleetMessageCodec.Key(1, "the old secret, shared".getBytes());
    private static final FleetMessageCodec.Key NEW_KEY =
        new FleetMessageCodec.Key(2, "the new secret, shared".getBytes());

    private static FleetMessageCodec codec() {
        return new FleetMessageCodec("f", List.of(NEW_KEY));
    }

    private static Message message(long incarnation, List<MemberRecord> viewMembers) {
        BitSet leaving = BitSet.valueOf(new long[] {5, 1L << 40});
        return new Message(Message.Kind.PING, "n\u00e91", incarnation, "127.0.0.1", 65_535, "n2", -7, "n3", true, 9, -1,
            List.of(new GossipItem.Accusation("a", 1, "b", 2, 3, GossipItem.LinkStatus.REFUSED),
            new GossipItem.Refutation("c", 4, 5),
            new GossipItem.Candidate(new MemberRecord("d", 6, "127.0.0.1", 7, MemberRecord.Status.LEFT, 8)),
            new GossipItem.Proposal(10, 11, 12, "e", leaving, List.of(13L, -14L), new BitSet())), viewMembers);
    }

    private static long droppedCount(FleetMessageCodec codec) {
        return Arrays.stream(codec.dropped).sum();
    }

    @Test public void encodedMessagesDecodeToTheSame() {
        FleetMessageCodec sender = codec();
        FleetMessageCodec receiver = codec();
        for (List<MemberRecord> viewMembers : Arrays.asList(null, List.<MemberRecord>of(),
            List.of(new MemberRecord("x", -1, "10.0.0.1", 1, MemberRecord.Status.EVICTED, 2)))) {
            byte[] bytes = sender.encode(message(3, viewMembers));
            assertEquals(receiver.decode(bytes, bytes.length, false), message(3, viewMembers));
        }
        assertEquals(droppedCount(receiver), 0);
    }

    /** During a key change both keys verify; after it the old one does not. */
    @Test public void bothKeysAreValidDuringAKeyChange() {
        FleetMessageCodec oldOnly = new FleetMessageCodec("f", List.of(OLD_KEY));
        FleetMessageCodec both = new FleetMessageCodec("f", List.of(NEW_KEY, OLD_KEY));
        FleetMessageCodec newOnly = codec();
        byte[] signedByOld = oldOnly.encode(message(1, null));
        byte[] signedByNew = both.encode(message(2, null));
        assertNotNull(both.decode(signedByOld, signedByOld.length, false));
        assertNotNull(newOnly.decode(signedByNew, signedByNew.length, false));
        assertNull(newOnly.decode(signedByOld, signedByOld.length, false));
        assertEquals(newOnly.dropped[Dropped.KEY.ordinal()], 1);
    }

    @Test public void everyFlippedBitAndEveryTruncationIsDropped() {
        FleetMessageCodec receiver = codec();
        byte[] bytes = codec().encode(message(1, List.of()));
        for (int i = 0; i < 8 * bytes.length; i++) {
            byte[] corrupted = bytes.clone();
            corrupted[i / 8] ^= (byte) (1 << i % 8);
            assertNull(receiver.decode(corrupted, corrupted.length, false), "bit " + i);
        }
        for (int n = 0; n < bytes.length; n++) assertNull(receiver.decode(bytes, n, false), "truncated to " + n);
        assertEquals(droppedCount(receiver), 9L * bytes.length);
        assertNotNull(receiver.decode(bytes, bytes.length, false), "the intact message is still accepted");
    }

    /**
     * Message counts in any order within the window are accepted once and older ones never, also after the sender has
     * started a new incarnation.
     */
    @Test public void replayedMessagesAreDropped() {
        FleetMessageCodec sender = codec();
        FleetMessageCodec receiver = codec();
        List<byte[]> sent = new ArrayList<>();
        for (int i = 0; i < 3000; i++) sent.add(sender.encode(message(1, null)));
        SplittableRandom random = new SplittableRandom(4);
        Set<Integer> accepted = new HashSet<>();
        int highest = 0;
        for (int i = 0; i < 20_000; i++) {
            int n = Math.max(0, Math.min(2999, i / 7 + random.nextInt(80) - 40));
            boolean decoded = receiver.decode(sent.get(n), sent.get(n).length, false) != null;
            boolean beforeWindow = n <= highest - 1024;
            assertEquals(decoded, !beforeWindow && accepted.add(n), "number " + n);
            if (decoded) highest = Math.max(highest, n);
        }
        byte[] newIncarnation = sender.encode(message(2, null));
        assertNotNull(receiver.decode(newIncarnation, newIncarnation.length, false));
        assertNull(receiver.decode(sent.get(highest), sent.get(highest).length, false),
            "replay from an earlier incarnation");
    }

    /** {@code -Dforged=1000000} sets the number of messages: none is accepted, and none leaves state behind. */
    @Test public void forgedMessagesAreDroppedAndLeaveNoState() {
        int messages = Integer.getInteger("forged", 30_000);
        FleetMessageCodec receiver = codec();
        FleetMessageCodec wrongKey = new FleetMessageCodec("f",
            List.of(new FleetMessageCodec.Key(2, "a guess at it, no more".getBytes())));
        FleetMessageCodec otherFleet = new FleetMessageCodec("g", List.of(NEW_KEY));
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < messages; i++) {
            byte[] bytes;
            switch (random.nextInt(4)) {
                case 0 -> bytes = new byte[random.nextInt(3000)];
                case 1 -> bytes = wrongKey.encode(message(i, null));
                case 2 -> bytes = otherFleet.encode(message(i, null));
                default -> {
                    byte[] whole = receiver.encode(message(i, null));
                    bytes = Arrays.copyOf(whole, 1 + random.nextInt(whole.length - 1));
                }
            }
            if (bytes.length > 0 && random.nextBoolean()) {
                bytes[random.nextInt(bytes.length)] ^= (byte) (1 + random.nextInt(255));
            }
            assertNull(receiver.decode(bytes, bytes.length, false), "message " + i);
        }
        assertEquals(droppedCount(receiver), messages);
        assertEquals(receiver.rememberedSenders(), 0, "no sender is remembered");
        for (Dropped reason : List.of(Dropped.SHORT, Dropped.LONG, Dropped.VERSION, Dropped.CHECKSUM, Dropped.FLEET,
            Dropped.LENGTH)) {
            assertTrue(receiver.dropped[reason.ordinal()] > 0, reason.toString());
        }
    }

    /** Not even senders that hold the key can make memory grow without bound. */
    @Test public void rememberedSendersAreBounded() {
        FleetMessageCodec sender = codec();
        FleetMessageCodec receiver = codec();
        for (int i = 0; i < 6000; i++) {
            Message message = new Message(Message.Kind.JOIN, "n" + i, 1, "127.0.0.1", 1, "", 0, "", false, 0, 0,
                List.of(), null);
            byte[] bytes = sender.encode(message);
            assertNotNull(receiver.decode(bytes, bytes.length, false));
        }
        assertTrue(receiver.rememberedSenders() <= 4096);
    }
}
