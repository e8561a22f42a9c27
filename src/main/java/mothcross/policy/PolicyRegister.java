package mothcross.policy;

import com.google.gson.annotations.SerializedName;
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
 * one follows from another is {@link Transition}'s. {@code complete} false: the roll has only the one it was cut for.
 */
public record PolicyRegister(long revision, double leaseMs, VoterSet voters,
                             @SerializedName("roll") Map<String, Registration> registrations, Plan plan, Change change,
                             @SerializedName("lately") List<CompletedChange> recentChanges,
                             @SerializedName("whole") boolean complete) {
    /**
     * A director that may serve: its process's life, where it is reached, and whether its lease is being waited out.
     */
    public record Registration(@SerializedName("life") long incarnation, String host, int port, boolean excluded) { }

    /** How a change ended; {@code plan} is the number that was in force from then on. */
    public record CompletedChange(String id, String digest, String by, Outcome outcome,
                                  @SerializedName("why") String reason, long plan, long revision) { }

    public enum Outcome { COMMITTED, ABORTED, WITHDRAWN }

    static final int MAX_RECENT_CHANGES = 16;

    public PolicyRegister {
        registrations = Collections.unmodifiableMap(new TreeMap<>(registrations));
        recentChanges = List.copyOf(recentChanges);
    }

    /** Before anything was decided. */
    public static PolicyRegister initial(VoterSet v, double leaseMs) {
        return new PolicyRegister(0, leaseMs, v, Map.of(), Plan.FIRST, null, List.of(), true);
    }

    public Registration registration(String name, long life) {
        Registration s = registrations.get(name);
        return s != null && s.incarnation == life ? s : null;
    }

    /** Whether this life of a director may serve, as far as the book goes. */
    public boolean isRegistered(String name, long life) {
        Registration s = registration(name, life);
        return s != null && !s.excluded;
    }

    /** What one director needs of it. */
    public PolicyRegister brief(String name) {
        Registration s = registrations.get(name);
        return new PolicyRegister(revision, leaseMs, voters, s == null ? Map.of() : Map.of(name, s), plan, change,
            recentChanges, false);
    }

    PolicyRegister with(Map<String, Registration> seats) {
        return new PolicyRegister(revision, leaseMs, voters, seats, plan, change, recentChanges, complete);
    }

    PolicyRegister with(VoterSet v) {
        return new PolicyRegister(revision, leaseMs, v, registrations, plan, change, recentChanges, complete);
    }

    PolicyRegister with(Plan p, Change c) {
        return new PolicyRegister(revision, leaseMs, voters, registrations, p, c, recentChanges, complete);
    }

    PolicyRegister withChangeEnded(Outcome o, String why) {
        List<CompletedChange> all = new ArrayList<>(recentChanges);
        if (all.size() == MAX_RECENT_CHANGES) all.remove(0);
        all.add(new CompletedChange(change.id(), change.digest(), change.by(), o, why, plan.number(), revision));
        return new PolicyRegister(revision, leaseMs, voters, registrations, plan, null, all, complete);
    }

    PolicyRegister nextRevision() {
        return new PolicyRegister(revision + 1, leaseMs, voters, registrations, plan, change, recentChanges, complete);
    }

    /** Short, and the same for equal books only. */
    @Override public String toString() {
        StringBuilder s = new StringBuilder().append(revision).append(complete ? "" : "~").append(" v")
            .append(voters.number()).append(voters.storeIds().values()).append(" p").append(plan.number())
            .append(plan.main())
            .append('/').append(plan.trial()).append(plan.leases() ? "L" : "");
        registrations.forEach((n, x) -> s.append(' ').append(n).append('@').append(x.incarnation).append(x.excluded
            ? "!" : ""));
        if (change != null) {
            s.append(" c").append(change.id()).append(change.stage()).append(change.stageRevision()).append('>')
                .append(change.target().number()).append(change.target().main()).append(change.target().trial());
        }
        for (CompletedChange e : recentChanges) s.append(' ').append(e.id).append(e.outcome);
        return s.toString();
    }

    public CompletedChange outcome(String id) {
        for (CompletedChange e : recentChanges) if (Objects.equals(e.id, id)) return e;
        return null;
    }
}
