package mothcross.fleet;

import java.util.BitSet;
import java.util.List;

/** A piece of information that spreads with the messages between members. A newer item replaces one of equal key. */
public sealed interface GossipItem {
    Object key();

    /** The approximate size on the wire in bytes. */
    int size();

    /** The status of a monitored link as its watcher sees it. */
    enum LinkStatus { FINE, SILENT, REFUSED }

    /** A watcher's report on a link, also when it is fine again; {@code seq} grows with each report on it. */
    record Accusation(String watcher, long watcherIncarnation, String subject, long incarnation, int seq,
        LinkStatus linkStatus) implements GossipItem {
        @Override public Object key() {
            return watcher + "\n" + subject;
        }

        @Override public int size() {
            return 24 + watcher.length() + subject.length();
        }
    }

    /** An accused member's own announcement that it is alive: it receives accusations and can send. */
    record Refutation(String name, long incarnation, int count) implements GossipItem {
        @Override public Object key() {
            return name;
        }

        @Override public int size() {
            return 15 + name.length();
        }
    }

    /** A record that is not part of the view yet: a new member, a new incarnation or a leave announcement. */
    record Candidate(MemberRecord member) implements GossipItem {
        @Override public Object key() {
            return "c\n" + member.name();
        }

        @Override public int size() {
            return member.name().length() + member.host().length() + 20;
        }
    }

    /**
     * A view change put to the vote: the members at the indexes {@code leaving} leave the view {@code baseDigest}, the
     * candidates whose member ids are in {@code joining} join it. {@code votes} has the indexes of the members that
     * agree; votes are only ever added.
     */
    record Proposal(long baseDigest, long baseNumber, int round, String proposer, BitSet leaving, List<Long> joining,
        BitSet votes) implements GossipItem {
        @Override public Object key() {
            return "p\n" + round + proposer + baseDigest;
        }

        @Override public int size() {
            return 32 + proposer.length() + leaving.length() / 8 + votes.length() / 8 + 8 * joining.size();
        }

        Proposal with(BitSet newVotes) {
            return new Proposal(baseDigest, baseNumber, round, proposer, leaving, joining, newVotes);
        }
    }
}
