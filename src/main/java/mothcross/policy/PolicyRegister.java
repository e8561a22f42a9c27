package mothcross.policy;

import com.google.gson.annotations.SerializedName;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * The one value of the replicated register: who votes, which directors are registered to serve, the plan in force, the
 * change under way, how the last changes ended, and the length of a lease, which is the same for all. Each decided
 * register has the revision after that of the register it was made from; {@link Transition} says how one follows from
 * another. Where {@code complete} is false, {@code registrations} holds only the one of the director that asked.
 */
public record PolicyRegister(long revision, double leaseMs, VoterSet voters,
                             @SerializedName("roll") Map<String, Registration> registrations, Plan plan, Change change,
                             @SerializedName("lately") List<CompletedChange> recentChanges,
                             @SerializedName("whole") boolean complete) {
    /**
     * A director that may serve: the incarnation of its process, its address, and whether it is excluded, that is gets
     * no lease any more.
     */
    public record Registration(@SerializedName("life") long incarnation, String host, int port, boolean excluded) { }

    /** How a change ended; {@code plan} is the number of the plan in force from then on. */
    public record CompletedChange(String id, String digest, String by, Outcome outcome,
                                  @SerializedName("why") String reason, long plan, long revision) { }

    /** COMMITTED: its text is in force; ABORTED: it never was; WITHDRAWN: it was on trial and was taken back. */
    public enum Outcome { COMMITTED, ABORTED, WITHDRAWN }

    static final int MAX_RECENT_CHANGES = 16;

    public PolicyRegister {
        registrations = Collections.unmodifiableMap(new TreeMap<>(registrations));
        recentChanges = List.copyOf(recentChanges);
    }

    /** The register before anything was decided. */
    public static PolicyRegister initial(VoterSet voters, double leaseMs) {
        return new PolicyRegister(0, leaseMs, voters, Map.of(), Plan.FIRST, null, List.of(), true);
    }

    /** The registration of a director's incarnation; null where there is none. */
    public Registration registration(String name, long incarnation) {
        Registration registration = registrations.get(name);
        return registration != null && registration.incarnation == incarnation ? registration : null;
    }

    /** Whether this incarnation of a director is registered and not excluded. */
    public boolean isRegistered(String name, long incarnation) {
        Registration registration = registration(name, incarnation);
        return registration != null && !registration.excluded;
    }

    /** A copy with only the named director's registration. */
    public PolicyRegister brief(String name) {
        Registration registration = registrations.get(name);
        Map<String, Registration> own = registration == null ? Map.of() : Map.of(name, registration);
        return new PolicyRegister(revision, leaseMs, voters, own, plan, change, recentChanges, false);
    }

    PolicyRegister withRegistrations(Map<String, Registration> others) {
        return new PolicyRegister(revision, leaseMs, voters, others, plan, change, recentChanges, complete);
    }

    PolicyRegister withVoters(VoterSet others) {
        return new PolicyRegister(revision, leaseMs, others, registrations, plan, change, recentChanges, complete);
    }

    PolicyRegister withPlan(Plan newPlan, Change newChange) {
        return new PolicyRegister(revision, leaseMs, voters, registrations, newPlan, newChange, recentChanges,
            complete);
    }

    /** Without the change under way, which is recorded with its outcome. */
    PolicyRegister withChangeEnded(Outcome outcome, String reason) {
        List<CompletedChange> completed = new ArrayList<>(recentChanges);
        if (completed.size() == MAX_RECENT_CHANGES) completed.remove(0);
        completed.add(new CompletedChange(change.id(), change.digest(), change.by(), outcome, reason, plan.number(),
            revision));
        return new PolicyRegister(revision, leaseMs, voters, registrations, plan, null, completed, complete);
    }

    PolicyRegister nextRevision() {
        return new PolicyRegister(revision + 1, leaseMs, voters, registrations, plan, change, recentChanges, complete);
    }

    /** A short form, the same for equal registers only. */
    @Override public String toString() {
        StringBuilder text = new StringBuilder().append(revision).append(complete ? "" : "~")
            .append(" v").append(voters.number()).append(voters.storeIds().values())
            .append(" p").append(plan.number()).append(plan.main()).append('/').append(plan.trial())
            .append(plan.leases() ? "L" : "");
        registrations.forEach((name, registration) -> text.append(' ').append(name).append('@')
            .append(registration.incarnation).append(registration.excluded ? "!" : ""));
        if (change != null) {
            text.append(" c").append(change.id()).append(change.stage()).append(change.stageRevision()).append('>')
                .append(change.target().number()).append(change.target().main()).append(change.target().trial());
        }
        for (CompletedChange completed : recentChanges) {
            text.append(' ').append(completed.id).append(completed.outcome);
        }
        return text.toString();
    }

    /** How the change with this id ended; null where it has not, or too long ago. */
    public CompletedChange outcome(String id) {
        for (CompletedChange completed : recentChanges) if (Objects.equals(completed.id, id)) return completed;
        return null;
    }
}
