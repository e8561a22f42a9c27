package mothcross.policy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import mothcross.policy.Book.Outcome;
import mothcross.policy.Book.Seat;
import mothcross.policy.Change.Stage;

/**
 * One step from a decided book to the next, as data: any director may try any of them, and the register decides which
 * comes. Owns what each needs to be allowed; must never rest on anything but the book and its own fields.
 */
public sealed interface Move {
    /** It does not fit the book any more, or never did; the reason is for operators. */
    final class Refused extends Exception {
        private static final long serialVersionUID = 1;

        Refused(String why) {
            super(why, null, false, false);
        }
    }

    /** The next book; {@link Book#next} has been called. */
    Book on(Book b) throws Refused;

    default Book after(Book b) throws Refused {
        if (b.revision() == 0 && !(this instanceof Found)) throw new Refused("the fleet's register is not founded yet");
        return on(b.next());
    }

    private static void need(boolean holds, String otherwise) throws Refused {
        if (!holds) throw new Refused(otherwise);
    }

    /** The register begins: the voters that the files name, with the marks that all of them answered with. */
    record Found(Map<String, String> marks) implements Move {
        @Override public Book on(Book b) throws Refused {
            need(b.revision() == 1, "the register was founded before");
            need(marks.keySet().equals(b.voters().names()), "not all voters have answered");
            return b.with(new Voters(1, marks));
        }
    }

    /** Directors that are about to serve. One whose former life may still run, elsewhere, has to wait for its end. */
    record Enrol(Map<String, Seat> who) implements Move {
        @Override public Book on(Book b) throws Refused {
            Map<String, Seat> roll = new TreeMap<>(b.roll());
            boolean any = false;
            for (Map.Entry<String, Seat> e : who.entrySet()) {
                Seat s = e.getValue(), before = roll.get(e.getKey());
                if (!fits(before, s)) continue;
                roll.put(e.getKey(), new Seat(s.life(), s.host(), s.port(), false));
                any = true;
            }
            need(any, "their names are taken by processes that may still run");
            return b.with(roll);
        }

        /** Who holds the address of the former life has outlived it: an address is held by one process. */
        static boolean fits(Seat before, Seat s) {
            if (before == null) return true;
            if (s.life() < before.life()) return false;
            if (s.life() == before.life()) return before.excluded();
            return s.host().equals(before.host()) && s.port() == before.port();
        }
    }

    /**
     * A director that serves no more: it said so, nobody holds its address, its lease is over, or an operator's word.
     */
    record Strike(String name, long life, String why) implements Move {
        @Override public Book on(Book b) throws Refused {
            need(b.seat(name, life) != null, name + " is not on the roll in that life");
            Map<String, Seat> roll = new TreeMap<>(b.roll());
            roll.remove(name);
            return b.with(roll);
        }
    }

    /** Gets no lease any more; when the last one is over the change goes on without it. */
    record Exclude(Map<String, Long> who) implements Move {
        @Override public Book on(Book b) throws Refused {
            need(b.plan().leases(), "leases are off: nobody can be left out while it may serve");
            Map<String, Seat> roll = new TreeMap<>(b.roll());
            for (Map.Entry<String, Long> e : who.entrySet()) {
                Seat s = b.seat(e.getKey(), e.getValue());
                if (s != null) roll.put(e.getKey(), new Seat(s.life(), s.host(), s.port(), true));
            }
            need(!roll.equals(b.roll()), "none of them is on the roll");
            return b.with(roll);
        }
    }

    record Propose(String id, String digest, int size, String by, String note, Change.Mode mode, double deadlineMs,
                   Plan.Canary canary, boolean leases) implements Move {
        @Override public Book on(Book b) throws Refused {
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
    record Commit(String id, long since, Set<String> ready, Set<String> over) implements Move {
        static String who(String name, long life) {
            return name + "@" + life;
        }

        @Override public Book on(Book b) throws Refused {
            Change c = b.change();
            need(c != null && c.id().equals(id) && c.stage() == Stage.BINDING && c.since() == since,
                "the change is past that stage");
            List<String> missing = missing(b, ready, over);
            need(missing.isEmpty(), "not ready: " + missing);
            return b.with(c.target(), c.at(Stage.SETTLING, b.revision(), c.target()));
        }

        static List<String> missing(Book b, Set<String> ready, Set<String> over) {
            List<String> all = new ArrayList<>();
            for (Map.Entry<String, Seat> e : b.roll().entrySet()) {
                String w = who(e.getKey(), e.getValue().life());
                if (!(e.getValue().excluded() ? over : ready).contains(w)) all.add(e.getKey());
            }
            return all;
        }
    }

    /** Nobody decides by the plan before any more: all said so, or the longest lease is over. */
    record Settle(long plan) implements Move {
        @Override public Book on(Book b) throws Refused {
            Change c = b.change();
            need(c != null && c.stage() == Stage.SETTLING && b.plan().number() == plan, "there is nothing to settle");
            if (b.plan().isTrial()) return b.with(b.plan(), c.at(Stage.TRIAL, b.revision(), b.plan()));
            return b.plan().main().equals(c.digest()) ? b.ended(Outcome.COMMITTED, "")
                : b.ended(Outcome.WITHDRAWN, c.note());
        }
    }

    /** Ends it; one that is on trial is taken back under the same rules as it came. */
    record Abort(String id, long since, String why) implements Move {
        @Override public Book on(Book b) throws Refused {
            Change c = b.change();
            need(c != null && c.id().equals(id) && (since < 0 || c.since() == since), "that change is over");
            need(c.stage() != Stage.SETTLING, "it is committed: undo it by a new change");
            if (c.stage() == Stage.TRIAL) {
                Plan p = b.plan();
                Plan to = new Plan(p.number() + 1, p.main(), "", Plan.Canary.NONE, p.leases());
                return b.with(p, c.at(Stage.BINDING, b.revision(), to));
            }
            if (b.plan().isTrial()) return b.with(b.plan(), c.at(Stage.TRIAL, b.revision(), b.plan()));
            return b.ended(Outcome.ABORTED, why);
        }
    }

    record Promote(String id) implements Move {
        @Override public Book on(Book b) throws Refused {
            Change c = b.change();
            need(c != null && c.id().equals(id) && c.stage() == Stage.TRIAL, "it is not on trial");
            Plan p = b.plan();
            return b.with(p, c.at(Stage.BINDING, b.revision(), new Plan(p.number() + 1, c.digest(), "",
                Plan.Canary.NONE, p.leases())));
        }
    }

    /** Changes nothing: whoever tries it learns who answers. */
    record Probe() implements Move {
        @Override public Book on(Book b) throws Refused {
            throw new Refused("nothing to decide");
        }
    }

    /** Other voters, by name and mark; decided by most of the old and most of the new. */
    record Vote(long before, Map<String, String> marks) implements Move {
        @Override public Book on(Book b) throws Refused {
            need(b.voters().number() == before, "the voters have changed meanwhile");
            need(!marks.isEmpty() && !marks.containsValue(""), "a voter is named without its mark");
            need(new HashSet<>(marks.values()).size() == marks.size(), "one mark is given twice");
            need(!marks.equals(b.voters().marks()), "these are the voters already");
            return b.with(new Voters(before + 1, marks));
        }
    }
}
