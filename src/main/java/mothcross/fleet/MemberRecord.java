package mothcross.fleet;

/**
 * What is recorded of one member: its incarnation, its address, whether it is in the view, and how often its name was
 * evicted. Of two records of one name that with the higher incarnation supersedes the other, then that with the later
 * status, so that records merge to the same result in any order.
 */
public record MemberRecord(String name, long incarnation, String host, int port, Status status, int evictions) {
    /** Of two records of the same incarnation the one with the later status supersedes the other. */
    public enum Status {
        IN("IN"), EVICTED("OUT"), LEFT("LEFT");

        private final String label;

        Status(String label) {
            this.label = label;
        }

        /** The name in {@code fleet explain}. */
        @Override public String toString() {
            return label;
        }
    }

    boolean supersedes(MemberRecord other) {
        if (other == null || incarnation != other.incarnation) return other == null || incarnation > other.incarnation;
        return status.compareTo(other.status) > 0;
    }

    /** The record that supersedes the other, with the higher count of evictions; null only where both are. */
    static MemberRecord merge(MemberRecord first, MemberRecord second) {
        if (first == null || second == null) return first == null ? second : first;
        MemberRecord newer = second.supersedes(first) ? second : first;
        int evictions = Math.max(first.evictions, second.evictions);
        return newer.evictions == evictions ? newer : newer.with(newer.status, evictions);
    }

    MemberRecord with(Status newStatus, int newEvictions) {
        return new MemberRecord(name, incarnation, host, port, newStatus, newEvictions);
    }

    /** A hash of name and incarnation: stands for this record in proposals, where few bytes are available. */
    long memberId() {
        return View.mix(View.hash(name) + incarnation);
    }

    boolean isIn() {
        return status == Status.IN;
    }
}
