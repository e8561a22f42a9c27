package mothcross.fleet;

import java.util.List;

/**
 * One message between two directors. {@code subject} names a third: whom a helper is to ask, or on whose behalf it asks.
 * {@code pingReceived} in an answer: the one asked has had the asker's own question. {@code viewNumber} and {@code viewDigest} are
 * the sender's view; {@code viewMembers} is set only where a whole view is told. {@code body} is carried for others, unread.
 */
public record Message(Kind kind, String from, long incarnation, String host, int port, String to, int seq, String subject,
                      boolean pingReceived, long viewNumber, long viewDigest, List<GossipItem> items, List<MemberRecord> viewMembers, byte[] body) {
    private static final byte[] NONE = {};

    public Message(Kind kind, String from, long life, String host, int port, String to, int seq, String about,
                   boolean heard, long number, long digest, List<GossipItem> items, List<MemberRecord> state) {
        this(kind, from, life, host, port, to, seq, about, heard, number, digest, items, state, NONE);
    }

    /**
     * Asked and answered directly; through a helper: asked to help, the helper's question, its answer, and the answer
     * passed on; one that is not in asks to be; a whole view asked for and told; a question to whoever holds a name;
     * the operators' own; one of the policy's, which is no member's to read.
     */
    public enum Kind { PING, ACK, PING_REQUEST, PROXY_PING, PROXY_ACK, PING_REQUEST_ACK, JOIN, VIEW_REQUEST, VIEW, NAME_QUERY, NAME_REPLY, ADMIN, POLICY }

    /** To whom, and where it is reached. */
    public record Send(String host, int port, Message message) { }
}
