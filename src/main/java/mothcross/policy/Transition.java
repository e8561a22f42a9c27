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
 * One step from a decided book to the next, as data: any director may try any of them, and the register decides which
 * comes. Owns what each needs to be allowed; must never rest on anything but the book and its own fields.
 */
public sealed interface Transition {
    /** It does not fit the book any more, or never did; the reason is for operators. */
    final class RejectedException extends Exception {
        private static final long serialVersionUID = 1;

        RejectedException(String why) {
            super(why, null, false, false);
        }
    }

    /** The next book; {@link PolicyRegister#nextRevision} has been called. */
    PolicyRegister apply(PolicyRegister b) throws RejectedException;

    default PolicyRegister applyTo(PolicyRegister b) throws RejectedException {
        if (b.revision() == 0 && !(this instanceof Bootstrap)) {
            throw new RejectedException("the fleet's register is not founded yet");
        }
        return apply(b.nextRevision());
    }

    private static void need(boolean holds, String otherwise) throws RejectedException {
        if (!holds) throw new RejectedException(otherwise);
    }

    /** The register begins: the voters that the files name, with the marks that all of them answered with. */
    record Bootstrap(Map<String, String> storeIds) implements Transition {
        @Override public PolicyRegister apply(PolicyRegister b) throws RejectedException {
            need(b.revision() == 1, "the register was founded before");
            need(storeIds.keySet().equals(b.voters().names()), "not all voters have answered");
            return b.with(new VoterSet(1, storeIds));
        }
    }

    /** Directors that are about to serve. One whose former life may still run, elsewhere, has to wait for its end. */
    record RegisterDirectors(Map<String, Registration> registrations) implements Transition {
        @Override public PolicyRegister apply(PolicyRegister b) throws RejectedException {
            Map<String, Registration> roll = new TreeMap<>(b.registrations());
            boolean any = false;
            for (Map.Entry<String, Registration> e : registrations.entrySet()) {
                Registration s = e.getValue(), before = roll.get(e.getKey());
                if (!fits(before, s)) continue;
                roll.put(e.getKey(), new Registration(s.incarnation(), s.host(), s.port(), false));
                any = true;
            }
            need(any, "their names are taken by processes that may still run");
            return b.with(roll);
        }

        /** Who holds the address of the former life has outlived it: an address is held by one process. */
        static boolean fits(Registration before, Registration s) {
            if (before == null) return true;
            if (s.incarnation() < before.incarnation()) return false;
            if (s.incarnation() == before.incarnation()) return before.excluded();
            return s.host().equals(before.host()) && s.port() == before.port();
        }
    }

    /**
     * A director that serves no more: it said so, nobody holds its address, its lease is over, or an operator's word.
     */
    record RemoveDirector(String name, long incarnation, String reason) implements Transition {
        @Override public PolicyRegister apply(PolicyRegister b) throws RejectedException {
            need(b.registration(name, incarnation) != null, name + " is not on the roll in that life");
            Map<String, Registration> roll = new TreeMap<>(b.registrations());
            roll.remove(name);
            return b.with(roll);
        }
    }

    /** Gets no lease any more; when the last one is over the change goes on without it. */
    record ExcludeDirectors(Map<String, Long> incarnations) implements Transition {
        @Override public PolicyRegister apply(PolicyRegister b) throws RejectedException {
            need(b.plan().leases(), "leases are off: nobody can be left out while it may serve");
            Map<String, Registration> roll = new TreeMap<>(b.registrations());
            for (Map.Entry<String, Long> e : incarnations.entrySet()) {
                Registration s = b.registration(e.getKey(), e.getValue());
                if (s != null) roll.put(e.getKey(), new Registration(s.incarnation(), s.host(), s.port(), true));
            }
            need(!roll.equals(b.registrations()), "none of them is on the roll");
            return b.with(roll);
        }
    }

    record Propose(String id, String digest, int size, String by, String note, Change.Mode mode, double deadlineMs,
                   Plan.Canary canary, boolean leases) implements Transition {
        @Override public PolicyRegister apply(PolicyRegister b) throws RejectedException {
            need(b.change() == null, b.change() == null ? "" : "change " + b.change().id() + " of " + b.change().by()
                + " is under way");
            Plan p = b.plan();
            need(!digest.equals(p.main()) || leases != p.leases(), "that is in force already");
            need(mode == Change.Mode.HOLD || p.leases(), "mode stop needs leases, and they are off: policy leases on");
            need(canary.isNone() || leases == p.leases(), "leases are not tried by a part of the fleet");
            Plan to = canary.isNone() ? new Plan(p.number() + 1, digest, "", Plan.Canary.NONE, leases)
                : new Plan(p.number() + 1, p.main(), digest, canary, leases);
            return b.with(p, new Change(id, digest, size, by, note, mode, deadlineMs, canary, Stage.BINDING,
                b.revision(), to));
        }
    }

    /** Every director on the roll has bound itself for this stage, or is left out and its lease waited out. */
    record Commit(String id, long stageRevision, Set<String> ready, Set<String> leaseOver) implements Transition {
        static String directorKey(String name, long life) {
            return name + "@" + life;
        }

        @Override public PolicyRegister apply(PolicyRegister b) throws RejectedException {
            Change c = b.change();
            need(c != null && c.id().equals(id) && c.stage() == Stage.BINDING && c.stageRevision() == stageRevision,
                "the change is past that stage");
            List<String> missing = missing(b, ready, leaseOver);
            need(missing.isEmpty(), "not ready: " + missing);
            return b.with(c.target(), c.withStage(Stage.SETTLING, b.revision(), c.target()));
        }

        static List<String> missing(PolicyRegister b, Set<String> ready, Set<String> over) {
            List<String> all = new ArrayList<>();
            for (Map.Entry<String, Registration> e : b.registrations().entrySet()) {
                String w = directorKey(e.getKey(), e.getValue().incarnation());
                if (!(e.getValue().excluded() ? over : ready).contains(w)) all.add(e.getKey());
            }
            return all;
        }
    }

    /** Nobody decides by the plan before any more: all said so, or the longest lease is over. */
    record Settle(long plan) implements Transition {
        @Override public PolicyRegister apply(PolicyRegister b) throws RejectedException {
            Change c = b.change();
            need(c != null && c.stage() == Stage.SETTLING && b.plan().number() == plan, "there is nothing to settle");
            if (b.plan().isTrial()) return b.with(b.plan(), c.withStage(Stage.TRIAL, b.revision(), b.plan()));
            return b.plan().main().equals(c.digest()) ? b.withChangeEnded(Outcome.COMMITTED, "")
                : b.withChangeEnded(Outcome.WITHDRAWN, c.note());
        }
    }

    /** Ends it; one that is on trial is taken back under the same rules as it came. */
    record Abort(String id, long stageRevision, String reason) implements Transition {
        @Override public PolicyRegister apply(PolicyRegister b) throws RejectedException {
            Change c = b.change();
            need(c != null && c.id().equals(id) && (stageRevision < 0 || c.stageRevision() == stageRevision),
                "that change is over");
            need(c.stage() != Stage.SETTLING, "it is committed: undo it by a new change");
            if (c.stage() == Stage.TRIAL) {
                Plan p = b.plan();
                Plan to = new Plan(p.number() + 1, p.main(), "", Plan.Canary.NONE, p.leases());
                return b.with(p, c.withStage(Stage.BINDING, b.revision(), to));
            }
            if (b.plan().isTrial()) return b.with(b.plan(), c.withStage(Stage.TRIAL, b.revision(), b.plan()));
            return b.withChangeEnded(Outcome.ABORTED, reason);
        }
    }

    record Promote(String id) implements Transition {
        @Override public PolicyRegister apply(PolicyRegister b) throws RejectedException {
            Change c = b.change();
            need(c != null && c.id().equals(id) && c.stage() == Stage.TRIAL, "it is not on trial");
            Plan p = b.plan();
            return b.with(p, c.withStage(Stage.BINDING, b.revision(), new Plan(p.number() + 1, c.digest(), "",
                Plan.Canary.NONE, p.leases())));
        }
    }

    /** Changes nothing: whoever tries it learns who answers. */
    record Probe() implements Transition {
        @Override public PolicyRegister apply(PolicyRegister b) throws RejectedException {
            throw new RejectedException("nothing to decide");
        }
    }

    /** Other voters, by name and mark; decided by most of the old and most of the new. */
    record ChangeVoters(long previousNumber, Map<String, String> storeIds) implements Transition {
        @Override public PolicyRegister apply(PolicyRegister b) throws RejectedException {
            need(b.voters().number() == previousNumber, "the voters have changed meanwhile");
            need(!storeIds.isEmpty() && !storeIds.containsValue(""), "a voter is named without its mark");
            need(new HashSet<>(storeIds.values()).size() == storeIds.size(), "one mark is given twice");
            need(!storeIds.equals(b.voters().storeIds()), "these are the voters already");
            return b.with(new VoterSet(previousNumber + 1, storeIds));
        }
    }
}
