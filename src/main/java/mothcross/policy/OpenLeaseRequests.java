package mothcross.policy;

import java.util.ArrayDeque;
import java.util.Map;
import java.util.TreeMap;

/**
 * The lease requests of a replica that voters may still grant, the earliest first. A lease counts from when it was
 * asked for, so the reply to a request is of use until the lease has passed, also where later requests have been sent
 * since: voters that need long for each reply would otherwise never be heard.
 */
final class OpenLeaseRequests {
    private static final class Request {
        final long number;
        final double askedAt;
        /** Store ids of the voters that have granted it, by name. */
        final Map<String, String> grantedBy = new TreeMap<>();

        Request(long number, double askedAt) {
            this.number = number;
            this.askedAt = askedAt;
        }

        Request(Request other) {
            this(other.number, other.askedAt);
            grantedBy.putAll(other.grantedBy);
        }
    }

    private final int maxOpen;
    private final ArrayDeque<Request> requests = new ArrayDeque<>();

    /** @param maxOpen how many requests are kept; the earliest is dropped for another one */
    OpenLeaseRequests(int maxOpen) {
        this.maxOpen = maxOpen;
    }

    OpenLeaseRequests(OpenLeaseRequests other) {
        this(other.maxOpen);
        for (Request request : other.requests) requests.add(new Request(request));
    }

    /** A request has been sent. */
    void sent(long number, double now) {
        if (requests.size() == maxOpen) requests.removeFirst();
        requests.addLast(new Request(number, now));
    }

    /** Counts a voter's grant; returns when the request was sent where a quorum has granted it now, else NaN. */
    double granted(long number, String voter, String storeId, VoterSet voters) {
        for (Request request : requests) {
            if (request.number != number) continue;
            request.grantedBy.put(voter, storeId);
            return voters.number() > 0 && voters.isQuorum(request.grantedBy) ? request.askedAt : Double.NaN;
        }
        return Double.NaN;
    }

    /** Whether a voter has granted the request that was sent last. */
    boolean lastHasGrants() {
        return !requests.isEmpty() && !requests.getLast().grantedBy.isEmpty();
    }

    /** Whether this request was sent last and has not been dropped. */
    boolean isLast(long number) {
        return !requests.isEmpty() && requests.getLast().number == number;
    }

    /** Drops all requests but the one that was sent last. */
    void dropEarlier() {
        while (requests.size() > 1) requests.removeFirst();
    }

    void clear() {
        requests.clear();
    }
}
