package mothcross.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * The one value that the register holds: who votes, who may serve, the plan in force, the change under way, and how the
 * last ones ended, and how long a lease is, the same for all. Each decided book has the revision after the one that
 * it was made from. Owns what a book holds; how
 * one follows from another is {@link Event}'s. {@code whole} false: the roll has only the one it was cut for.
 */
public record Book(long revision, double leaseMs, Voters voters, Map<String, Seat> roll, Plan plan, Change change,
                   List<Ended> lately, boolean whole) {
    /**
     * A director that may serve: its process's life, where it is reached, and whether its lease is being waited out.
     */
    public record Seat(long life, String host, int port, boolean excluded) { }

    /** How a change ended; {@code plan} is the number that was in force from then on. */
    public record Ended(String id, String digest, String by, Outcome outcome, String why, long plan, long revision) { }

    public enum Outcome { COMMITTED, ABORTED, WITHDRAWN }

    static final int LATELY = 16;

    public Book {
        roll = Collections.unmodifiableMap(new TreeMap<>(roll));
        lately = List.copyOf(lately);
    }

    /** Before anything was decided. */
    public static Book first(Voters v, double leaseMs) {
        return new Book(0, leaseMs, v, Map.of(), Plan.FIRST, null, List.of(), true);
    }

    public Seat seat(String name, long life) {
        Seat s = roll.get(name);
        return s != null && s.life == life ? s : null;
    }

    /** Whether this life of a director may serve, as far as the book goes. */
    public boolean seats(String name, long life) {
        Seat s = seat(name, life);
        return s != null && !s.excluded;
    }

    /** What one director needs of it. */
    public Book brief(String name) {
        Seat s = roll.get(name);
        return new Book(revision, leaseMs, voters, s == null ? Map.of() : Map.of(name, s), plan, change, lately, false);
    }

    Book with(Map<String, Seat> seats) {
        return new Book(revision, leaseMs, voters, seats, plan, change, lately, whole);
    }

    Book with(Voters v) {
        return new Book(revision, leaseMs, v, roll, plan, change, lately, whole);
    }

    Book with(Plan p, Change c) {
        return new Book(revision, leaseMs, voters, roll, p, c, lately, whole);
    }

    Book ended(Outcome o, String why) {
        List<Ended> all = new ArrayList<>(lately);
        if (all.size() == LATELY) all.remove(0);
        all.add(new Ended(change.id(), change.digest(), change.by(), o, why, plan.number(), revision));
        return new Book(revision, leaseMs, voters, roll, plan, null, all, whole);
    }

    Book next() {
        return new Book(revision + 1, leaseMs, voters, roll, plan, change, lately, whole);
    }

    /** Short, and the same for equal books only. */
    @Override public String toString() {
        StringBuilder s = new StringBuilder().append(revision).append(whole ? "" : "~").append(" v")
            .append(voters.number()).append(voters.marks().values()).append(" p").append(plan.number())
            .append(plan.main())
            .append('/').append(plan.trial()).append(plan.leases() ? "L" : "");
        roll.forEach((n, x) -> s.append(' ').append(n).append('@').append(x.life).append(x.excluded ? "!" : ""));
        if (change != null) {
            s.append(" c").append(change.id()).append(change.stage()).append(change.since()).append('>')
                .append(change.target().number()).append(change.target().main()).append(change.target().trial());
        }
        for (Ended e : lately) s.append(' ').append(e.id).append(e.outcome);
        return s.toString();
    }

    public Ended outcome(String id) {
        for (Ended e : lately) if (Objects.equals(e.id, id)) return e;
        return null;
    }
}
