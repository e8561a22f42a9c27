package mothcross.policy;

/**
 * The number of one attempt to write the register; of two, one is always before the other. {@code life} is the
 * writer's incarnation, so that none is ever used twice, whatever a writer forgets.
 */
public record Turn(long round, String by, long life) implements Comparable<Turn> {
    public static final Turn NONE = new Turn(0, "", 0);

    @Override public int compareTo(Turn o) {
        int c = Long.compare(round, o.round);
        if (c == 0) c = by.compareTo(o.by);
        return c != 0 ? c : Long.compare(life, o.life);
    }
}
