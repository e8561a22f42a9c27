package mothcross.policy;

import com.google.gson.annotations.SerializedName;

/**
 * The number of one attempt to write the register, totally ordered by round, proposer and incarnation. The incarnation
 * is that of the proposer's process, so that no number is used twice even where a proposer loses all its state.
 */
public record ProposalNumber(long round, @SerializedName("by") String proposer,
                             @SerializedName("life") long incarnation) implements Comparable<ProposalNumber> {
    /** Precedes the number of every attempt. */
    public static final ProposalNumber NONE = new ProposalNumber(0, "", 0);

    @Override public int compareTo(ProposalNumber other) {
        int order = Long.compare(round, other.round);
        if (order == 0) order = proposer.compareTo(other.proposer);
        return order != 0 ? order : Long.compare(incarnation, other.incarnation);
    }
}
