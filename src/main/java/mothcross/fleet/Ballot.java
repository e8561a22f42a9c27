package mothcross.fleet;

import java.util.BitSet;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import mothcross.fleet.GossipItem.Proposal;

/**
 * The proposals to change one view, and the votes on them. A proposal is open for {@link #PROPOSAL_TTL_MS} from when
 * this member first received it; gossip about a closed round does not open it again. A member has one vote a round, so
 * at most one proposal of a round gets a majority. Whether a proposal is right is for the caller to decide.
 */
final class Ballot {
    static final double PROPOSAL_TTL_MS = 2500;

    private record OpenProposal(Proposal proposal, double since) { }

    private final View view;
    private final Map<Object, OpenProposal> openProposals = new TreeMap<>(Comparator.comparing(Object::toString));
    private int lastRound;
    private int votedRound;
    private int closedRound;

    Ballot(View view) {
        this.view = view;
    }

    /** Whether the proposal is about this view, made by one of its members, in a round that is not closed. */
    boolean accepts(Proposal proposal) {
        return proposal.baseDigest() == view.digest && proposal.round() > closedRound
            && view.indexOf(proposal.proposer()) >= 0;
    }

    List<Proposal> openProposals() {
        return openProposals.values().stream().map(OpenProposal::proposal).toList();
    }

    /** Closes the proposals whose time is over, and their rounds. */
    void expire(double now) {
        for (Iterator<OpenProposal> i = openProposals.values().iterator(); i.hasNext();) {
            OpenProposal open = i.next();
            if (now - open.since <= PROPOSAL_TTL_MS) continue;
            closedRound = Math.max(closedRound, open.proposal.round());
            i.remove();
        }
    }

    int nextRound() {
        return ++lastRound;
    }

    /** The proposal with all votes received so far; the known object itself where there is no new vote. */
    Proposal merge(Proposal proposal, double now) {
        OpenProposal known = openProposals.get(proposal.key());
        lastRound = Math.max(lastRound, proposal.round());
        BitSet votes = known == null ? new BitSet() : (BitSet) known.proposal.votes().clone();
        votes.or(proposal.votes());
        votes.clear(view.size(), Math.max(view.size(), votes.length()));
        if (known != null && votes.equals(known.proposal.votes())) return known.proposal;
        return put(proposal.with(votes), known == null ? now : known.since);
    }

    private Proposal put(Proposal proposal, double since) {
        openProposals.put(proposal.key(), new OpenProposal(proposal, since));
        return proposal;
    }

    boolean mayVote(Proposal proposal) {
        return proposal.round() > votedRound;
    }

    /** Casts this member's only vote of the round; the proposal with it. */
    Proposal addOwnVote(Proposal proposal, int ownIndex, double now) {
        votedRound = proposal.round();
        BitSet votes = (BitSet) proposal.votes().clone();
        votes.set(ownIndex);
        OpenProposal known = openProposals.get(proposal.key());
        return put(proposal.with(votes), known == null ? now : known.since);
    }

    boolean hasMajority(Proposal proposal) {
        return 2 * proposal.votes().cardinality() > view.size();
    }
}
