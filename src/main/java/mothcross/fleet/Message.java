package mothcross.fleet;

import java.util.List;

/**
 * One message between two directors.
 *
 * @param to the name of the recipient; empty where only its address is known
 * @param subject a third member: the target of a ping request, or in a proxied ping the member that requested it; the
 *     request itself in an ADMIN message
 * @param pingReceived in an indirect ack: whether the probed member has received the direct ping as well
 * @param viewNumber the number of the sender's view
 * @param viewDigest the digest of the sender's view
 * @param viewMembers all records that the sender knows, in a VIEW message only; else null
 * @param body the payload of the kinds ADMIN and POLICY, which members carry without reading it
 */
public record Message(Kind kind, String from, long incarnation, String host, int port, String to, int seq,
                      String subject, boolean pingReceived, long viewNumber, long viewDigest, List<GossipItem> items,
                      List<MemberRecord> viewMembers, byte[] body) {
    private static final byte[] NO_BODY = {};

    /** A message without a body. */
    public Message(Kind kind, String from, long incarnation, String host, int port, String to, int seq, String subject,
                   boolean pingReceived, long viewNumber, long viewDigest, List<GossipItem> items,
                   List<MemberRecord> viewMembers) {
        this(kind, from, incarnation, host, port, to, seq, subject, pingReceived, viewNumber, viewDigest, items,
            viewMembers, NO_BODY);
    }

    /** The kinds of messages. The wire carries the ordinal, so the order is fixed. */
    public enum Kind {
        PING,
        ACK,
        /** Asks another member to probe the subject. */
        PING_REQUEST,
        /** The ping sent on a ping request. */
        PROXY_PING,
        /** The probed member's answer to a proxied ping. */
        PROXY_ACK,
        /** The answer to a ping request, once the proxied ping is acknowledged. */
        PING_REQUEST_ACK,
        /** Sent by a member that is not in the view, and to find other parts of a split fleet. */
        JOIN,
        VIEW_REQUEST,
        VIEW,
        /** Asks at an address whether the holder of a conflicting name runs there. */
        NAME_QUERY,
        NAME_REPLY,
        /** A request of an operator. */
        ADMIN,
        /** A message of the policy component that shares the transport; not handled by the member. */
        POLICY
    }

    /** A message and the address that it goes to. */
    public record Send(String host, int port, Message message) { }
}
