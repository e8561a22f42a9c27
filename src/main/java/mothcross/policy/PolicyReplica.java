package mothcross.policy;

import java.util.Set;
import java.util.TreeSet;

/**
 * One director's replica of the register: the latest decided register that it knows, the plan it decides lookups by,
 * and whether it requires a lease. With a lease required it decides lookups only until the lease expires. A majority of
 * the voters grants a lease, and it counts from when it was asked for. A director binds itself to a stage when it
 * reports that it is ready, and is released when that stage is over. It decides only by a decided plan, never by an
 * older one than it has heard of. All times are of the own monotonic clock; only differences matter.
 */
public final class PolicyReplica {
    /** Why the director decides no lookups; the status JSON shows these names. NO: it does decide them. */
    public enum StopReason { NO, NOT_SEATED, NO_TEXT, LEASE_OVER }

    /** A lease is asked for this many times while one lasts. */
    private static final int REQUESTS_PER_LEASE = 4;

    private final String name;
    private long incarnation;
    private PolicyRegister register;
    // Number of the plan that lookups are decided by; -1: none.
    private long plan = -1;
    // First revision of the stage that this director has bound itself to; -1: none.
    private long boundStage = -1;
    private double leaseExpiresAt = Double.NEGATIVE_INFINITY;
    private long requestNumber;
    private double lastRequestAt = Double.NEGATIVE_INFINITY;
    // Those that are sent while one lease lasts.
    private final OpenLeaseRequests openRequests;
    // Names of the voters that refused the last request.
    private final Set<String> refusedBy = new TreeSet<>();
    // Digests of the texts that are on disk and compiled here.
    private final Set<String> texts = new TreeSet<>();

    /** {@code stored} is the register to begin with. */
    public PolicyReplica(String name, long incarnation, PolicyRegister stored) {
        this.name = name;
        this.incarnation = incarnation;
        this.register = stored;
        this.openRequests = new OpenLeaseRequests(REQUESTS_PER_LEASE);
        texts.add("");
    }

    /** A copy, for the state explorer. */
    public PolicyReplica(PolicyReplica other) {
        name = other.name;
        incarnation = other.incarnation;
        register = other.register;
        openRequests = new OpenLeaseRequests(other.openRequests);
        plan = other.plan;
        boundStage = other.boundStage;
        leaseExpiresAt = other.leaseExpiresAt;
        requestNumber = other.requestNumber;
        lastRequestAt = other.lastRequestAt;
        refusedBy.addAll(other.refusedBy);
        texts.addAll(other.texts);
    }

    /** The latest decided register that is known here. */
    public PolicyRegister register() {
        return register;
    }

    /** The number of the plan that lookups are decided by; -1: none. */
    public long plan() {
        return plan;
    }

    public long incarnation() {
        return incarnation;
    }

    /** When the lease expires; it matters only where one is required. */
    public double leaseExpiresAt() {
        return leaseExpiresAt;
    }

    /** Digests of the texts that are on disk and compiled here; "" is always among them. */
    public Set<String> texts() {
        return texts;
    }

    /** The register has a higher incarnation, since the clock went back and the disk is new: continues above it. */
    void restartAbove(long registeredIncarnation) {
        if (!isRegistered()) incarnation = registeredIncarnation + 1;
    }

    /** A text is on disk and compiled, or is not stored any more. */
    public void setTextAvailable(String digest, boolean available) {
        if (available) texts.add(digest);
        else if (!digest.isEmpty()) texts.remove(digest);
        activatePlan();
    }

    public boolean isRegistered() {
        return register.isRegistered(name, incarnation);
    }

    /** Whether it may decide lookups only while it has a lease. */
    public boolean requiresLease() {
        return register.plan().leases() || boundStage >= 0;
    }

    /** Takes a decided register, complete or cut for this director; false where it is nothing new. */
    public boolean learn(PolicyRegister decided) {
        boolean sameRevision = decided.revision() == register.revision();
        boolean completes = sameRevision && decided.complete() && !register.complete();
        if (decided.revision() < register.revision() || sameRevision && !completes) return false;
        register = decided;
        Change change = decided.change();
        if (boundStage >= 0 && (change == null || change.stageRevision() != boundStage)) boundStage = -1;
        openRequests.dropEarlier();
        if (!refusedBy.isEmpty() || openRequests.lastHasGrants()) closeRequests();
        activatePlan();
        return true;
    }

    /** Activates the decided plan as soon as its texts are here; until then no older plan is decided by either. */
    private void activatePlan() {
        Plan decided = register.plan();
        if (decided.number() == plan || register.revision() == 0) return;
        boolean textsAvailable = texts.contains(decided.main()) && texts.contains(decided.trial());
        plan = textsAvailable ? decided.number() : -1;
    }

    /**
     * Binds this director to a stage, where it is ready for it: from now on it decides by the old plan only under a
     * lease. False where it is not ready.
     */
    public boolean bind(long stageRevision, double now) {
        Change change = register.change();
        boolean ready = change != null && change.stage() == Change.Stage.BINDING
            && change.stageRevision() == stageRevision && isRegistered()
            && texts.contains(change.target().main()) && texts.contains(change.target().trial());
        if (!ready) return false;
        if (!requiresLease()) leaseExpiresAt = now + register.leaseMs();
        boundStage = stageRevision;
        return true;
    }

    /** Whether a lookup that starts now may be decided here, and if not, why. */
    public StopReason stopReason(double now) {
        if (!isRegistered()) return StopReason.NOT_SEATED;
        if (plan < 0) return StopReason.NO_TEXT;
        return requiresLease() && now >= leaseExpiresAt ? StopReason.LEASE_OVER : StopReason.NO;
    }

    // ---- leases ----

    /** The next lease request, to be sent to each voter; null where none is due. */
    public PolicyMessage.LeaseRequest nextLeaseRequest(double now) {
        if (!requiresLease() || !isRegistered() || plan < 0) return null;
        if (now - lastRequestAt < register.leaseMs() / REQUESTS_PER_LEASE) return null;
        lastRequestAt = now;
        refusedBy.clear();
        openRequests.sent(++requestNumber, now);
        return new PolicyMessage.LeaseRequest(incarnation, plan, register.voters().number(), requestNumber);
    }

    /** What voters said under an earlier register does not count under this one. */
    private void closeRequests() {
        openRequests.clear();
        refusedBy.clear();
    }

    /** Counts a voter's reply; true where that voter knows of a later register. */
    public boolean onLeaseReply(String from, PolicyMessage.LeaseReply reply) {
        if (reply.granted()) {
            double askedAt = openRequests.granted(reply.number(), from, reply.storeId(), register.voters());
            if (!Double.isNaN(askedAt)) leaseExpiresAt = Math.max(leaseExpiresAt, askedAt + register.leaseMs());
        } else if (openRequests.isLast(reply.number())) {
            refusedBy.add(from);
        }
        return !reply.granted() && reply.revision() > register.revision();
    }

    /** Names of the voters that refused the last request. */
    public Set<String> refusedBy() {
        return refusedBy;
    }

    /** First revision of the stage that this director has bound itself to; -1: none. */
    public long boundStage() {
        return boundStage;
    }
}
