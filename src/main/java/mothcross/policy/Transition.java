package mothcross.policy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import mothcross.policy.Change.Stage;
import mothcross.policy.PolicyRegister.Outcome;
import mothcross.policy.PolicyRegister.Registration;

/**
 * One step from a decided register to the next, as data. Any director may propose any of them; consensus decides which
 * one is applied. A transition depends on nothing but the register and its own fields.
 */
public sealed interface Transition {
    /** The transition does not apply to the register, or no longer does; the reason is shown to operators. */
    final class RejectedException extends Exception {
        private static final long serialVersionUID = 1;

        RejectedException(String reason) {
            super(reason, null, false, false);
        }
    }

    /** Makes the next register of one whose revision {@link PolicyRegister#nextRevision} has already raised. */
    PolicyRegister apply(PolicyRegister register) throws RejectedException;

    /** The register that follows the given one. */
    default PolicyRegister applyTo(PolicyRegister register) throws RejectedException {
        if (register.revision() == 0 && !(this instanceof Bootstrap)) {
            throw new RejectedException("the fleet's register is not initialized yet");
        }
        return apply(register.nextRevision());
    }

    private static void require(boolean condition, String reason) throws RejectedException {
        if (!condition) throw new RejectedException(reason);
    }

    /** Initializes the register with the voters that the files name, and the store ids that all of them gave. */
    record Bootstrap(Map<String, String> storeIds) implements Transition {
        @Override public PolicyRegister apply(PolicyRegister register) throws RejectedException {
            require(register.revision() == 1, "the register is initialized already");
            require(storeIds.keySet().equals(register.voters().names()), "not all voters have answered");
            return register.withVoters(new VoterSet(1, storeIds));
        }
    }

    /**
     * Registers directors that are about to serve. A director whose former incarnation may still run at another address
     * has to wait until that one is removed.
     */
    record RegisterDirectors(Map<String, Registration> registrations) implements Transition {
        @Override public PolicyRegister apply(PolicyRegister register) throws RejectedException {
            Map<String, Registration> registered = new TreeMap<>(register.registrations());
            boolean changed = false;
            for (Map.Entry<String, Registration> entry : registrations.entrySet()) {
                Registration requested = entry.getValue();
                if (!mayReplace(registered.get(entry.getKey()), requested)) continue;
                registered.put(entry.getKey(),
                    new Registration(requested.incarnation(), requested.host(), requested.port(), false));
                changed = true;
            }
            require(changed, "their names are registered for processes that may still run");
            return register.withRegistrations(registered);
        }

        /** A later incarnation at the same address proves that the former one has ended: one process holds a port. */
        static boolean mayReplace(Registration former, Registration requested) {
            if (former == null) return true;
            if (requested.incarnation() < former.incarnation()) return false;
            if (requested.incarnation() == former.incarnation()) return former.excluded();
            return requested.host().equals(former.host()) && requested.port() == former.port();
        }
    }

    /**
     * Removes a director that serves no more: it left, its address refuses connections, its lease is over, or an
     * operator says so.
     */
    record RemoveDirector(String name, long incarnation, String reason) implements Transition {
        @Override public PolicyRegister apply(PolicyRegister register) throws RejectedException {
            require(register.registration(name, incarnation) != null,
                name + " is not registered with that incarnation");
            Map<String, Registration> registered = new TreeMap<>(register.registrations());
            registered.remove(name);
            return register.withRegistrations(registered);
        }
    }

    /** Excludes directors: they get no lease any more, and the change goes on without them when the last is over. */
    record ExcludeDirectors(Map<String, Long> incarnations) implements Transition {
        @Override public PolicyRegister apply(PolicyRegister register) throws RejectedException {
            require(register.plan().leases(), "leases are off: no director can be excluded while it may serve");
            Map<String, Registration> registered = new TreeMap<>(register.registrations());
            for (Map.Entry<String, Long> entry : incarnations.entrySet()) {
                Registration former = register.registration(entry.getKey(), entry.getValue());
                if (former == null) continue;
                registered.put(entry.getKey(),
                    new Registration(former.incarnation(), former.host(), former.port(), true));
            }
            require(!registered.equals(register.registrations()), "none of them is registered");
            return register.withRegistrations(registered);
        }
    }

    /** Begins a change. */
    record Propose(String id, String digest, int size, String by, String note, Change.Mode mode, double deadlineMs,
                   Plan.Canary canary, boolean leases) implements Transition {
        @Override public PolicyRegister apply(PolicyRegister register) throws RejectedException {
            Change current = register.change();
            require(current == null,
                current == null ? "" : "change " + current.id() + " of " + current.by() + " is under way");
            Plan plan = register.plan();
            require(!digest.equals(plan.main()) || leases != plan.leases(), "that is in force already");
            require(mode == Change.Mode.HOLD || plan.leases(),
                "mode stop needs leases, and they are off: policy leases on");
            require(canary.isNone() || leases == plan.leases(), "leases can't be on trial in a part of the fleet");
            Plan target = canary.isNone() ? new Plan(plan.number() + 1, digest, "", Plan.Canary.NONE, leases)
                : new Plan(plan.number() + 1, plan.main(), digest, canary, leases);
            return register.withPlan(plan, new Change(id, digest, size, by, note, mode, deadlineMs, canary,
                Stage.BINDING, register.revision(), target));
        }
    }

    /**
     * Puts the target in force. Each registered director is in {@code ready}, that is has bound itself for this stage,
     * or is excluded and in {@code leaseOver}; both hold {@link #directorKey}s.
     */
    record Commit(String id, long stageRevision, Set<String> ready, Set<String> leaseOver) implements Transition {
        /** Names one incarnation of a director. */
        static String directorKey(String name, long incarnation) {
            return name + "@" + incarnation;
        }

        @Override public PolicyRegister apply(PolicyRegister register) throws RejectedException {
            Change change = register.change();
            require(change != null && change.id().equals(id) && change.stage() == Stage.BINDING
                && change.stageRevision() == stageRevision, "the change is past that stage");
            List<String> missing = missing(register, ready, leaseOver);
            require(missing.isEmpty(), "not ready: " + missing);
            return register.withPlan(change.target(),
                change.withStage(Stage.SETTLING, register.revision(), change.target()));
        }

        /** Names of the registered directors that a commit has to wait for. */
        static List<String> missing(PolicyRegister register, Set<String> ready, Set<String> leaseOver) {
            List<String> missing = new ArrayList<>();
            for (Map.Entry<String, Registration> entry : register.registrations().entrySet()) {
                String key = directorKey(entry.getKey(), entry.getValue().incarnation());
                Set<String> required = entry.getValue().excluded() ? leaseOver : ready;
                if (!required.contains(key)) missing.add(entry.getKey());
            }
            return missing;
        }
    }

    /** No director decides by the previous plan any more: all have reported so, or the longest lease is over. */
    record Settle(long plan) implements Transition {
        @Override public PolicyRegister apply(PolicyRegister register) throws RejectedException {
            Change change = register.change();
            Plan current = register.plan();
            require(change != null && change.stage() == Stage.SETTLING && current.number() == plan,
                "there is nothing to settle");
            if (current.isTrial()) {
                return register.withPlan(current, change.withStage(Stage.TRIAL, register.revision(), current));
            }
            return current.main().equals(change.digest()) ? register.withChangeEnded(Outcome.COMMITTED, "")
                : register.withChangeEnded(Outcome.WITHDRAWN, change.note());
        }
    }

    /**
     * Ends a change; one that is on trial is taken back through the same stages. A {@code stageRevision} below 0 stands
     * for any stage.
     */
    record Abort(String id, long stageRevision, String reason) implements Transition {
        @Override public PolicyRegister apply(PolicyRegister register) throws RejectedException {
            Change change = register.change();
            require(change != null && change.id().equals(id)
                && (stageRevision < 0 || change.stageRevision() == stageRevision), "that change is over");
            require(change.stage() != Stage.SETTLING, "it is committed: undo it by a new change");
            Plan plan = register.plan();
            if (change.stage() == Stage.TRIAL) {
                Plan target = new Plan(plan.number() + 1, plan.main(), "", Plan.Canary.NONE, plan.leases());
                return register.withPlan(plan, change.withStage(Stage.BINDING, register.revision(), target));
            }
            if (plan.isTrial()) {
                return register.withPlan(plan, change.withStage(Stage.TRIAL, register.revision(), plan));
            }
            return register.withChangeEnded(Outcome.ABORTED, reason);
        }
    }

    /** Ends a trial by binding all directors to the plan with its text for all lookups. */
    record Promote(String id) implements Transition {
        @Override public PolicyRegister apply(PolicyRegister register) throws RejectedException {
            Change change = register.change();
            require(change != null && change.id().equals(id) && change.stage() == Stage.TRIAL, "it is not on trial");
            Plan plan = register.plan();
            Plan target = new Plan(plan.number() + 1, change.digest(), "", Plan.Canary.NONE, plan.leases());
            return register.withPlan(plan, change.withStage(Stage.BINDING, register.revision(), target));
        }
    }

    /** Changes nothing: trying it shows which voters answer. */
    record Probe() implements Transition {
        @Override public PolicyRegister apply(PolicyRegister register) throws RejectedException {
            throw new RejectedException("nothing to decide");
        }
    }

    /**
     * Replaces the voters, by name and store id; it needs a majority of the old and a majority of the new ones.
     */
    record ChangeVoters(long previousNumber, Map<String, String> storeIds) implements Transition {
        @Override public PolicyRegister apply(PolicyRegister register) throws RejectedException {
            VoterSet voters = register.voters();
            require(voters.number() == previousNumber, "the voters have changed meanwhile");
            require(!storeIds.isEmpty() && !storeIds.containsValue(""), "a voter is named without its mark");
            require(new HashSet<>(storeIds.values()).size() == storeIds.size(), "one mark is given twice");
            require(!storeIds.equals(voters.storeIds()), "these are the voters already");
            return register.withVoters(new VoterSet(previousNumber + 1, storeIds));
        }
    }
}
