package mothcross.fleet;

import java.util.BitSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import mothcross.fleet.GossipItem.Proposal;

/**
 * The proposals to change one view, and the votes on them. A proposal is open for {@link #LASTS_MS} from when it was
 * first heard of here; what is passed on of a round that is closed opens nothing again. This member has one vote a
 * round, so of two proposals of a round at most one gets more than half. Owns the rounds and the own vote; must never
 * judge whether a proposal is right.
 */
final class Ballot {
    static final double LASTS_MS = 2500;

    private record Open(Proposal proposal, double since) { }

    private final View view;
    private final Map<Object, Open> open = new TreeMap<>(java.util.Comparator.comparing(Object::toString));
    private int round, votedIn, closed;

    Ballot(View view) {
        this.view = view;
    }

    /** Whether it is about this view, by one of its members, in a round that is not over. */
    boolean concerns(Proposal p) {
        return p.baseDigest() == view.digest && p.round() > closed && view.place(p.proposer()) >= 0;
    }

    List<Proposal> open() {
        return open.values().stream().map(Open::proposal).toList();
    }

    void expire(double now) {
        for (Iterator<Open> i = open.values().iterator(); i.hasNext();) {
            Open o = i.next();
            if (now - o.since <= LASTS_MS) continue;
            closed = Math.max(closed, o.proposal.round());
            i.remove();
        }
    }

    int nextRound() {
        return ++round;
    }

    /** With all votes heard of so far; the same object as is known already where there is nothing new. */
    Proposal heard(Proposal p, double now) {
        Open known = open.get(p.key());
        round = Math.max(round, p.round());
        BitSet votes = known == null ? new BitSet() : (BitSet) known.proposal.votes().clone();
        votes.or(p.votes());
        votes.clear(view.size(), Math.max(view.size(), votes.length()));
        if (known != null && votes.equals(known.proposal.votes())) return known.proposal;
        return put(p.with(votes), known == null ? now : known.since);
    }

    private Proposal put(Proposal p, double since) {
        open.put(p.key(), new Open(p, since));
        return p;
    }

    boolean mayVote(Proposal p) {
        return p.round() > votedIn;
    }

    /** The own vote, the only one of this round. */
    Proposal votes(Proposal p, int self, double now) {
        votedIn = p.round();
        BitSet votes = (BitSet) p.votes().clone();
        votes.set(self);
        Open known = open.get(p.key());
        return put(p.with(votes), known == null ? now : known.since);
    }

    boolean isCarried(Proposal p) {
        return 2 * p.votes().cardinality() > view.size();
    }
}
