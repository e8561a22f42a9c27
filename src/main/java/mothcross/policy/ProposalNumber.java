package mothcross.policy;

/**
 * The number of one attempt to write the register; of two, one is always before the other. {@code incarnation} is the
 * writer's incarnation, so that none is ever used twice, whatever a writer forgets.
 */
public record ProposalNumber(long round, String proposer, long incarnation) implements Comparable<ProposalNumber> {
    public static final ProposalNumber NONE = new ProposalNumber(0, "", 0);

    @Override public int compareTo(ProposalNumber o) {
        int c = Long.compare(round, o.round);
        if (c == 0) c = proposer.compareTo(o.proposer);
        return c != 0 ? c : Long.compare(incarnation, o.incarnation);
    }
}
