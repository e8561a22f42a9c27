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
public final class PolicyReplica {
    /** Why it decides nothing. */
    public enum StopReason { NO, NOT_SEATED, NO_TEXT, LEASE_OVER }

    private final String name;
    private long incarnation;
    private PolicyRegister register;
    private long plan = -1;                                 // what it decides by; -1: nothing yet
    private long boundStage = -1;                           // the stage, by its first revision; -1: free of it
    private double leaseExpiresAt = Double.NEGATIVE_INFINITY;  // end of the lease, where it is bound
    private long question;
    private double askedAt = Double.NaN, askedLast = Double.NEGATIVE_INFINITY;
    private final Map<String, String> yes = new TreeMap<>();
    private final Set<String> no = new TreeSet<>();
    private final Set<String> texts = new TreeSet<>();      // digests that are on disk and compiled here

    public PolicyReplica(String name, long life, PolicyRegister kept) {
        this.name = name;
        this.incarnation = life;
        this.register = kept;
        texts.add("");
    }

    public PolicyReplica(PolicyReplica h) {
        this(h.name, h.incarnation, h.register);
        plan = h.plan;
        boundStage = h.boundStage;
        leaseExpiresAt = h.leaseExpiresAt;
        question = h.question;
        askedAt = h.askedAt;
        askedLast = h.askedLast;
        yes.putAll(h.yes);
        no.addAll(h.no);
        texts.addAll(h.texts);
    }

    public PolicyRegister register() {
        return register;
    }

    public long plan() {
        return plan;
    }

    public long incarnation() {
        return incarnation;
    }

    public double leaseExpiresAt() {
        return leaseExpiresAt;
    }

    public Set<String> texts() {
        return texts;
    }

    /** Its clock went back and its disk is new: its seat is a former life's, which this one has outlived. */
    void restartAbove(long above) {
        if (!isRegistered()) incarnation = above + 1;
    }

    /** A text is on disk and compiled, or is not held any more. */
    public void setTextAvailable(String digest, boolean here) {
        if (here) texts.add(digest);
        else if (!digest.isEmpty()) texts.remove(digest);
        activatePlan();
    }

    public boolean isRegistered() {
        return register.isRegistered(name, incarnation);
    }

    /** It decides only while it has a lease. */
    public boolean requiresLease() {
        return register.plan().leases() || boundStage >= 0;
    }

    /** A decided book; false where it is no news. A brief one is cut for this director. */
    public boolean learn(PolicyRegister b) {
        boolean fuller = b.revision() == register.revision() && b.complete() && !register.complete();
        if (b.revision() < register.revision() || b.revision() == register.revision() && !fuller) return false;
        register = b;
        Change c = b.change();
        if (boundStage >= 0 && (c == null || c.stageRevision() != boundStage)) boundStage = -1;
        if (no.size() > 0 || !yes.isEmpty()) forgetAnswers();
        activatePlan();
        return true;
    }

    /** The decided plan is taken up as soon as its texts are here, and no older one is decided by from then on. */
    private void activatePlan() {
        Plan p = register.plan();
        if (p.number() == plan || register.revision() == 0) return;
        plan = texts.contains(p.main()) && texts.contains(p.trial()) ? p.number() : -1;
    }

    /** Its own word that it is ready for this stage: from now on it decides by the old plan only under a lease. */
    public boolean bind(long since, double now) {
        Change c = register.change();
        boolean fits = c != null && c.stage() == Change.Stage.BINDING && c.stageRevision() == since && isRegistered()
            && texts.contains(c.target().main()) && texts.contains(c.target().trial());
        if (!fits) return false;
        if (!requiresLease()) leaseExpiresAt = now + register.leaseMs();
        boundStage = since;
        return true;
    }

    /** Whether a lookup that starts now may be decided here, and if not, why. */
    public StopReason stopReason(double now) {
        if (!isRegistered()) return StopReason.NOT_SEATED;
        if (plan < 0) return StopReason.NO_TEXT;
        return requiresLease() && now >= leaseExpiresAt ? StopReason.LEASE_OVER : StopReason.NO;
    }

    // ---- leases ----

    /** The next question for a lease where one is due; null where none is. Each voter is asked the same. */
    public PolicyMessage.LeaseRequest nextLeaseRequest(double now) {
        if (!requiresLease() || !isRegistered() || plan < 0 || now - askedLast < register.leaseMs() / 4) return null;
        forgetAnswers();
        askedLast = askedAt = now;
        return new PolicyMessage.LeaseRequest(incarnation, plan, register.voters().number(), ++question);
    }

    private void forgetAnswers() {
        yes.clear();
        no.clear();
        askedAt = Double.NaN;
    }

    /** True where a voter knows of a later book. */
    public boolean onLeaseReply(String from, PolicyMessage.LeaseReply y) {
        if (y.number() == question && !Double.isNaN(askedAt)) {
            if (y.granted()) yes.put(from, y.storeId());
            else no.add(from);
            if (y.granted() && register.voters().number() > 0 && register.voters().isQuorum(yes)) {
                leaseExpiresAt = Math.max(leaseExpiresAt, askedAt + register.leaseMs());
            }
        }
        return !y.granted() && y.revision() > register.revision();
    }

    /** Who said no to the last question. */
    public Set<String> refusedBy() {
        return no;
    }

    /** The stage that it has bound itself for, by its first revision; -1: none. */
    public long boundStage() {
        return boundStage;
    }
}
