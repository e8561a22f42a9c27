package mothcross.fleet;

import java.util.BitSet;
import java.util.List;

/** What rides on messages until all have it. Each has a key: a newer one of the same key takes its place. */
public sealed interface GossipItem {
    Object key();

    /** About how many bytes it takes on the wire. */
    int size();

    /** How a watcher sees the edge to one that it watches; {@code seq} grows with each change. */
    enum LinkStatus { FINE, SILENT, REFUSED }

    record Accusation(String watcher, long watcherIncarnation, String subject, long incarnation, int seq, LinkStatus linkStatus)
        implements GossipItem {
        @Override public Object key() {
            return watcher + "\n" + subject;
        }

        @Override public int size() {
            return 24 + watcher.length() + subject.length();
        }
    }

    /** Its own word against accusations: it hears them and is heard. */
    record Refutation(String name, long incarnation, int count) implements GossipItem {
        @Override public Object key() {
            return name;
        }

        @Override public int size() {
            return 15 + name.length();
        }
    }

    /** A fact that is no part of the view yet: a newcomer, a new life, a farewell. */
    record Candidate(MemberRecord member) implements GossipItem {
        @Override public Object key() {
            return "c\n" + member.name();
        }

        @Override public int size() {
            return member.name().length() + member.host().length() + 20;
        }
    }

    /**
     * A change of view put to the vote: out of the view with this digest go those at the places set, in come the
     * candidates of these marks. A vote is the place of a member that agrees; sets only grow.
     */
    record Proposal(long baseDigest, long baseNumber, int round, String proposer, BitSet leaving, List<Long> joining, BitSet votes)
        implements GossipItem {
        @Override public Object key() {
            return "p\n" + round + proposer + baseDigest;
        }

        @Override public int size() {
            return 32 + proposer.length() + leaving.length() / 8 + votes.length() / 8 + 8 * joining.size();
        }

        Proposal with(BitSet v) {
            return new Proposal(baseDigest, baseNumber, round, proposer, leaving, joining, v);
        }
    }
}
