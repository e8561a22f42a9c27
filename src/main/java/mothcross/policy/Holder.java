package mothcross.policy;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What one director holds of the policy: the latest decided book it has heard of, the plan it decides by, and whether
 * it is bound. A bound director decides only until its lease is over; leases are given by most of the voters and count
 * from when they were asked for. It binds itself when it says that it is ready, and is free once the stage is over.
 * Spans on the own clock only. Owns that; must never decide by a plan that is not decided, by an older one than it has
 * heard of, or past its lease.
 */
public final class Holder {
    /** Why it decides nothing. */
    public enum Stopped { NO, NOT_SEATED, NO_TEXT, LEASE_OVER }

    private final String name;
    private long life;
    private Book known;
    private long plan = -1;                                 // what it decides by; -1: nothing yet
    private long boundFor = -1;                             // the stage, by its first revision; -1: free of it
    private double until = Double.NEGATIVE_INFINITY;        // end of the lease, where it is bound
    private long question;
    private double askedAt = Double.NaN, askedLast = Double.NEGATIVE_INFINITY;
    private final Map<String, String> yes = new TreeMap<>();
    private final Set<String> no = new TreeSet<>();
    private final Set<String> texts = new TreeSet<>();      // digests that are on disk and compiled here

    public Holder(String name, long life, Book kept) {
        this.name = name;
        this.life = life;
        this.known = kept;
        texts.add("");
    }

    public Holder(Holder h) {
        this(h.name, h.life, h.known);
        plan = h.plan;
        boundFor = h.boundFor;
        until = h.until;
        question = h.question;
        askedAt = h.askedAt;
        askedLast = h.askedLast;
        yes.putAll(h.yes);
        no.addAll(h.no);
        texts.addAll(h.texts);
    }

    public Book known() {
        return known;
    }

    public long plan() {
        return plan;
    }

    public long life() {
        return life;
    }

    public double until() {
        return until;
    }

    public Set<String> texts() {
        return texts;
    }

    /** Its clock went back and its disk is new: its seat is a former life's, which this one has outlived. */
    void relives(long above) {
        if (!isSeated()) life = above + 1;
    }

    /** A text is on disk and compiled, or is not held any more. */
    public void has(String digest, boolean here) {
        if (here) texts.add(digest);
        else if (!digest.isEmpty()) texts.remove(digest);
        take();
    }

    public boolean isSeated() {
        return known.seats(name, life);
    }

    /** It decides only while it has a lease. */
    public boolean isBound() {
        return known.plan().leases() || boundFor >= 0;
    }

    /** A decided book; false where it is no news. A brief one is cut for this director. */
    public boolean heard(Book b) {
        boolean fuller = b.revision() == known.revision() && b.whole() && !known.whole();
        if (b.revision() < known.revision() || b.revision() == known.revision() && !fuller) return false;
        known = b;
        Change c = b.change();
        if (boundFor >= 0 && (c == null || c.since() != boundFor)) boundFor = -1;
        if (no.size() > 0 || !yes.isEmpty()) forgetAnswers();
        take();
        return true;
    }

    /** The decided plan is taken up as soon as its texts are here, and no older one is decided by from then on. */
    private void take() {
        Plan p = known.plan();
        if (p.number() == plan || known.revision() == 0) return;
        plan = texts.contains(p.main()) && texts.contains(p.trial()) ? p.number() : -1;
    }

    /** Its own word that it is ready for this stage: from now on it decides by the old plan only under a lease. */
    public boolean binds(long since, double now) {
        Change c = known.change();
        boolean fits = c != null && c.stage() == Change.Stage.BINDING && c.since() == since && isSeated()
            && texts.contains(c.target().main()) && texts.contains(c.target().trial());
        if (!fits) return false;
        if (!isBound()) until = now + known.leaseMs();
        boundFor = since;
        return true;
    }

    /** Whether a lookup that starts now may be decided here, and if not, why. */
    public Stopped stopped(double now) {
        if (!isSeated()) return Stopped.NOT_SEATED;
        if (plan < 0) return Stopped.NO_TEXT;
        return isBound() && now >= until ? Stopped.LEASE_OVER : Stopped.NO;
    }

    // ---- leases ----

    /** The next question for a lease where one is due; null where none is. Each voter is asked the same. */
    public Said.MayI asks(double now) {
        if (!isBound() || !isSeated() || plan < 0 || now - askedLast < known.leaseMs() / 4) return null;
        forgetAnswers();
        askedLast = askedAt = now;
        return new Said.MayI(life, plan, known.voters().number(), ++question);
    }

    private void forgetAnswers() {
        yes.clear();
        no.clear();
        askedAt = Double.NaN;
    }

    /** True where a voter knows of a later book. */
    public boolean on(String from, Said.YouMay y) {
        if (y.number() == question && !Double.isNaN(askedAt)) {
            if (y.yes()) yes.put(from, y.mark());
            else no.add(from);
            if (y.yes() && known.voters().number() > 0 && known.voters().enough(yes)) {
                until = Math.max(until, askedAt + known.leaseMs());
            }
        }
        return !y.yes() && y.revision() > known.revision();
    }

    /** Who said no to the last question. */
    public Set<String> refusedBy() {
        return no;
    }

    /** The stage that it has bound itself for, by its first revision; -1: none. */
    public long boundFor() {
        return boundFor;
    }
}
