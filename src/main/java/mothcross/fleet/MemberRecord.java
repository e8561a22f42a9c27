package mothcross.fleet;

/**
 * What is held of one director: in which life it takes part, where it is reached, whether it is in. Of two facts about
 * a name the higher incarnation stands, then what ends over what begins; so any order of hearing gives the same.
 * {@code evictions} counts how often the name was taken out.
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

    boolean over(MemberRecord other) {
        if (other == null || incarnation != other.incarnation) return other == null || incarnation > other.incarnation;
        return status.compareTo(other.status) > 0;
    }

    /** The one that stands, with the higher count of turns. */
    static MemberRecord merge(MemberRecord a, MemberRecord b) {
        if (a == null || b == null) return a == null ? b : a;
        MemberRecord f = b.over(a) ? b : a;
        int turn = Math.max(a.evictions, b.evictions);
        return f.evictions == turn ? f : f.with(f.status, turn);
    }

    MemberRecord with(Status s, int turns) {
        return new MemberRecord(name, incarnation, host, port, s, turns);
    }

    /** What stands for this name in this life where only few bytes can be told. */
    long mark() {
        return View.mix(View.hash(name) + incarnation);
    }

    boolean in() {
        return status == Status.IN;
    }
}
