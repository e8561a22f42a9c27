package mothcross.fleet;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.UnaryOperator;
import mothcross.fleet.GossipItem.Accusation;
import mothcross.fleet.GossipItem.Candidate;
import mothcross.fleet.GossipItem.LinkStatus;
import mothcross.fleet.GossipItem.Proposal;
import mothcross.fleet.GossipItem.Refutation;
import mothcross.fleet.Message.Kind;
import mothcross.fleet.Message.Send;

/**
 * The membership protocol of one director: SWIM-style probing with suspicion and refutation, cut detection on the
 * reports of the monitoring rings, and numbered views that change by a majority vote.
 *
 * <p>It does no I/O: time, messages and the random generator are passed in, messages to send are returned, and events
 * go to a {@link MemberListener}. It is not thread-safe. Three invariants hold: no member is evicted on the reports of
 * fewer watchers than the high watermark; no view changes by proposal without the votes of more than half of it; and a
 * member that is delayed itself accuses nobody. docs/design/fleet.md numbers all guarantees.
 */
public final class FleetMember {
    /** Receives the events of one member. */
    public interface MemberListener {
        /** The view, its number, or whether this member is partitioned has changed. */
        void onViewChange(View view, boolean partitioned, ViewCause cause);

        /** This member votes for a change of the view with digest {@code base}. */
        void onVote(long base, int round);

        /** The health of another member has changed; {@code accusing} watchers count against it. */
        void onHealthChange(String name, MemberHealth from, MemberHealth to, int accusing);

        void onPhaseChange(Phase phase, long incarnation);
    }

    /** Why a view is reported. {@code RENUMBERED} and {@code PARTITION_CHANGED} leave the members as they were. */
    public enum ViewCause {
        /** The member's own view, on which it is alone. */
        STARTED("BEGINS"),
        /** A proposal that more than half of the previous view voted for. */
        VOTED("VOTED"),
        /** The own view merged with a differing one of another member. */
        MERGED("MERGED"),
        /** The view of another member, taken over as it is. */
        RECEIVED("TOLD"),
        RENUMBERED("NUMBERED"),
        PARTITION_CHANGED("APART");

        private final String label;

        ViewCause(String label) {
            this.label = label;
        }

        /** The name in logs and histories. */
        @Override public String toString() {
            return label;
        }
    }

    /** What part this member takes in the fleet. */
    public enum Phase {
        /** Not in the view, or in it only with an older incarnation. */
        JOINING("JOINING"),
        IN("IN"),
        /** Evicted; waits for a time of stability before it asks to join again. */
        EVICTED("OUT"),
        /** Another process holds this name; terminal. */
        SUPERSEDED("STEPPED_BACK"),
        /** Announced that it leaves; terminal. */
        LEFT("LEFT");

        private final String label;

        Phase(String label) {
            this.label = label;
        }

        /** The name in logs, in the status and in histories. */
        @Override public String toString() {
            return label;
        }
    }

    /** Where a member is reached. */
    public record Address(String host, int port) { }

    /** How long an unstable member holds up a view change that evicts others. */
    private static final double UNSTABLE_BLOCKS_VIEW_MS = 3000;
    private static final double RESEND_ACCUSATION_MS = 10_000;
    /** Share of the eviction timeout after which a member votes for an eviction that another has proposed. */
    private static final double AGREEMENT_DELAY_SHARE = 0.8;
    private static final double ACCUSATION_TTL_MS = 40_000;
    /** A member outside the view that hears nobody of it for so long starts over with a view of its own. */
    private static final double ISOLATION_TIMEOUT_MS = 10_000;
    /** For so long after its start a member claims a conflicting name instead of giving way. */
    private static final double NEWCOMER_GRACE_MS = 10_000;
    private static final double NAME_QUERY_TIMEOUT_MS = 3000;
    private static final int MAX_JOINS_PER_PROPOSAL = 100;
    private static final int MAX_LOCAL_DEGRADATION = 8;
    private static final int MAX_BACKOFF_DOUBLINGS = 5;
    private static final int MAX_PROPOSER_RANK = 30;
    private static final int MAX_REMEMBERED_PINGS = 64;
    /** Contacts that a join request goes to in each round. */
    private static final int JOIN_CONTACTS = 3;
    /** Members, besides those monitored, that are told of a departure directly. */
    private static final int LEAVE_ANNOUNCEMENTS = 8;
    private static final int MAX_CONTACTS = 256;

    public final String name;
    private final String host;
    private final int port;
    private final FailureDetectorSettings settings;
    private final SplittableRandom random;
    private final MemberListener listener;
    private final UnaryOperator<View> viewInterner;
    private final List<Address> contacts = new ArrayList<>();
    private final Map<String, PeerState> peers = new HashMap<>();
    private final Map<String, LinkMonitor> monitors = new LinkedHashMap<>();
    private final Set<String> accusedNames = new HashSet<>();
    private final Set<String> candidateNames = new TreeSet<>();
    private final GossipQueue gossip = new GossipQueue();
    private final List<Send> outbox = new ArrayList<>();
    public final FleetCounters counters = new FleetCounters();
    private long incarnation;
    private Phase phase = Phase.JOINING;
    private View view;
    private boolean partitioned;
    private Ballot ballot;
    private int seq;
    private int refutationCount;
    /** Lifeguard's local health score: grows with missed acks, refutations and delays, and lengthens the timeouts. */
    private int localDegradation;
    /** Proposals made since the view last changed. */
    private int proposalAttempts;
    private double startedAt = Double.NaN;
    private double tickDueAt;
    private double nextRoundAt;
    private double indirectProbeAt = Double.POSITIVE_INFINITY;
    private double roundStartedAt;
    /** After a local delay: until then this member neither accuses nor proposes nor votes. */
    private double stableAt;
    private double proposeJitter;
    private double proposableSince = Double.NaN;
    private double viewMismatchSince = Double.NaN;
    private double viewRequestedAt = Double.NEGATIVE_INFINITY;
    private double evictedStableSince = Double.NaN;
    private double lastAckAt = Double.NEGATIVE_INFINITY;
    private double lastSameViewAckAt = Double.NEGATIVE_INFINITY;
    private double viewMemberHeardAt;
    private double newerRecordSentAt = Double.NEGATIVE_INFINITY;
    /** A process elsewhere that was announced under this member's name with a higher incarnation. */
    private MemberRecord conflictingHolder;
    private double conflictSince;
    /** Sequence number of the last direct ping, by watcher. */
    private final Map<String, Integer> lastPing = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override protected boolean removeEldestEntry(Map.Entry<String, Integer> e) {
            return size() > MAX_REMEMBERED_PINGS;
        }
    };

    /**
     * Creates a member; its first {@link #tick} starts it.
     *
     * @param incarnation higher than that of any earlier process of this name
     * @param contacts the configured seeds and the addresses kept from the previous run
     * @param viewInterner may return an equal view that exists already
     */
    public FleetMember(String name, long incarnation, String host, int port, Collection<Address> contacts,
                       FailureDetectorSettings settings, SplittableRandom random, MemberListener listener,
                       UnaryOperator<View> viewInterner) {
        this.name = name;
        this.incarnation = incarnation;
        this.host = host;
        this.port = port;
        this.settings = settings;
        this.random = random;
        this.listener = listener;
        this.viewInterner = viewInterner;
        for (Address address : contacts) if (!address.equals(new Address(host, port))) this.contacts.add(address);
        this.seq = random.nextInt(1 << 20);
    }

    /** The latest time for the next {@link #tick}. */
    public double nextTickAt() {
        return Math.min(indirectProbeAt, nextRoundAt);
    }

    public View view() {
        return view;
    }

    public Phase phase() {
        return phase;
    }

    public long incarnation() {
        return incarnation;
    }

    /** Whether this member reaches too little of the view: it may be the one cut off, and evicts nobody. */
    public boolean isPartitioned() {
        return partitioned;
    }

    /** The health of a member as seen from here; {@code FINE} for an unknown name. */
    public MemberHealth healthOf(String memberName) {
        PeerState peer = peers.get(memberName);
        return peer == null ? MemberHealth.FINE : peer.health;
    }

    // ---- time ----

    /** Runs what is due at {@code now}; the messages to send. The list is reused by the next call. */
    public List<Send> tick(double now) {
        outbox.clear();
        if (isTerminated()) return outbox;
        if (Double.isNaN(startedAt)) start(now);
        if (now < nextTickAt()) return outbox;
        double delayMs = now - tickDueAt;
        if (delayMs > settings.probePeriodMs()) handleLocalDelay(now, delayMs);
        if (now >= indirectProbeAt) sendIndirectProbes();
        if (now >= nextRoundAt) runProbeRound(now);
        updateHealth(now);
        propose(now);
        tickDueAt = nextTickAt();
        return outbox;
    }

    private boolean isTerminated() {
        return phase == Phase.LEFT || phase == Phase.SUPERSEDED;
    }

    private void start(double now) {
        startedAt = now;
        tickDueAt = now;
        nextRoundAt = now;
        roundStartedAt = now;
        viewMemberHeardAt = now;
        MemberRecord ownRecord = ownRecord();
        peer(name).record = ownRecord;
        view = viewInterner.apply(new View(1, List.of(ownRecord), settings.rings()));
        ballot = new Ballot(view);
        enterPhase(Phase.IN);
        listener.onViewChange(view, false, ViewCause.STARTED);
    }

    private MemberRecord ownRecord() {
        PeerState self = peers.get(name);
        int evictions = self == null || self.record == null ? 0 : self.record.evictions();
        return new MemberRecord(name, incarnation, host, port, MemberRecord.Status.IN, evictions);
    }

    private void enterPhase(Phase next) {
        if (phase == next) return;
        phase = next;
        counters.add(FleetCounters.Event.PHASE_CHANGED);
        listener.onPhaseChange(next, incarnation);
    }

    /**
     * Handles a late tick: a pause of the process, CPU starvation or a step of the clock. Messages missed meanwhile are
     * not held against other members.
     */
    private void handleLocalDelay(double now, double delayMs) {
        counters.add(FleetCounters.Event.LOCAL_DELAY);
        stableAt = now + 2 * settings.probePeriodMs();
        localDegradation = Math.min(MAX_LOCAL_DEGRADATION, localDegradation + 2);
        for (LinkMonitor monitor : monitors.values()) monitor.silentRounds = 0;
        for (String accused : accusedNames) peers.get(accused).extendTimers(delayMs);
        viewMemberHeardAt += delayMs;
        indirectProbeAt = Double.POSITIVE_INFINITY;
        nextRoundAt = now;
        roundStartedAt = now;
    }

    /** Evaluates the finished probe round and starts the next one. */
    private void runProbeRound(double now) {
        int answered = 0;
        int unanswered = 0;
        if (now >= stableAt && roundStartedAt > startedAt) {
            for (LinkMonitor monitor : monitors.values()) {
                if (monitor.lastRoundTripAt >= roundStartedAt) answered++;
                else unanswered++;
                boolean changed = monitor.endRound(roundStartedAt, settings.suspicionRounds() + localDegradation / 2);
                // A withdrawal can be lost as well: it is resent for as long as the accusation may still be valid.
                boolean resend = now - monitor.announcedAt > RESEND_ACCUSATION_MS
                    && (monitor.announced != LinkStatus.FINE || now - monitor.clearedAt < ACCUSATION_TTL_MS);
                if (changed || resend) announceLink(monitor, now);
            }
            if (unanswered * 2 > answered + unanswered) {
                localDegradation = Math.min(MAX_LOCAL_DEGRADATION, localDegradation + 1);
            } else if (unanswered == 0) {
                localDegradation = Math.max(0, localDegradation - 1);
            }
        }
        roundStartedAt = now;
        double periodMs = settings.probePeriodMs() * (1 + localDegradation / 4.0);
        nextRoundAt = now + periodMs;
        indirectProbeAt = monitors.isEmpty() ? Double.POSITIVE_INFINITY
            : now + Math.min(settings.ackTimeoutMs() * (1 + localDegradation), 0.6 * periodMs);
        for (LinkMonitor monitor : monitors.values()) {
            MemberRecord record = peers.get(monitor.name).latestRecord();
            monitor.lastPingSeq = ++seq;
            send(record.host(), record.port(), Kind.PING, monitor.name, monitor.lastPingSeq, "", false);
        }
        updatePartitioned(now);
        if (phase != Phase.IN && !view.contains(name) && now - viewMemberHeardAt > ISOLATION_TIMEOUT_MS) {
            restartAlone(now);
        }
        if (phase == Phase.EVICTED) waitForStability(now);
        if (phase != Phase.IN || view.size() == 1) sendJoinRequests();
        else if (random.nextInt(4) == 0) discoverOtherPartition();
        if (conflictingHolder != null && now - conflictSince > NAME_QUERY_TIMEOUT_MS) claimName();
        forgetOldPeers(now);
    }

    /** Probes the members that have not acknowledged this round's ping through other members. */
    private void sendIndirectProbes() {
        indirectProbeAt = Double.POSITIVE_INFINITY;
        for (LinkMonitor monitor : monitors.values()) {
            if (monitor.lastRoundTripAt >= roundStartedAt) continue;
            int maxAttempts = 4 * settings.indirectProbes();
            for (int sent = 0, attempts = 0; sent < settings.indirectProbes() && attempts < maxAttempts; attempts++) {
                MemberRecord helper = view.member(random.nextInt(view.size()));
                if (helper.name().equals(name) || helper.name().equals(monitor.name)) continue;
                if (peers.get(helper.name()).health == MemberHealth.SILENT) continue;
                sent++;
                MemberRecord target = peers.get(helper.name()).latestRecord();
                send(target.host(), target.port(), Kind.PING_REQUEST, helper.name(), monitor.lastPingSeq, monitor.name,
                    false);
            }
        }
    }

    // ---- joining ----

    private void sendJoinRequests() {
        for (int i = 0; i < JOIN_CONTACTS; i++) {
            Address contact = pickContact(phase != Phase.IN && random.nextBoolean());
            if (contact == null) return;
            send(contact.host, contact.port, Kind.JOIN, "", ++seq, "", false);
        }
    }

    /** Probes an evicted member or a contact, so that the parts of a split fleet find each other again. */
    private void discoverOtherPartition() {
        List<MemberRecord> removed = new ArrayList<>();
        for (PeerState peer : peers.values()) {
            if (peer.record != null && peer.record.status() == MemberRecord.Status.EVICTED) {
                removed.add(peer.latestRecord());
            }
        }
        Address contact = pickContact(false);
        if (!removed.isEmpty() && (contact == null || random.nextBoolean())) {
            MemberRecord record = removed.get(random.nextInt(removed.size()));
            contact = new Address(record.host(), record.port());
        }
        if (contact != null) send(contact.host, contact.port, Kind.JOIN, "", ++seq, "", false);
    }

    /** A random member of the view or a random contact; null where there is none. */
    private Address pickContact(boolean inView) {
        if ((inView || contacts.isEmpty()) && (view.size() > 1 || !view.contains(name))) {
            MemberRecord record = view.member(random.nextInt(view.size()));
            return record.name().equals(name) ? null : new Address(record.host(), record.port());
        }
        return contacts.isEmpty() ? null : contacts.get(random.nextInt(contacts.size()));
    }

    /** After an eviction: rejoins in a new incarnation once acks have come without a gap for the rejoin delay. */
    private void waitForStability(double now) {
        if (now - lastAckAt > 2 * settings.probePeriodMs()) evictedStableSince = Double.NaN;
        else if (Double.isNaN(evictedStableSince)) evictedStableSince = now;
        if (Double.isNaN(evictedStableSince)) return;
        if (now - evictedStableSince < rejoinDelay(peer(name).record.evictions())) return;
        startNewIncarnation(incarnation + 1);
    }

    /** The delay before rejoining in ms; it doubles with each eviction. */
    private double rejoinDelay(int evictions) {
        return evictions <= 0 ? 0 : settings.rejoinDelayMs() * (1 << Math.min(evictions - 1, MAX_BACKOFF_DOUBLINGS));
    }

    /** Starts over with a view of its own, as nobody of the view that it wants to join is heard any more. */
    private void restartAlone(double now) {
        counters.add(FleetCounters.Event.RESTARTED_ALONE);
        for (Map.Entry<String, PeerState> entry : peers.entrySet()) {
            MemberRecord record = entry.getValue().record;
            if (record == null || entry.getKey().equals(name)) continue;
            Address address = new Address(record.host(), record.port());
            if (record.isIn() && contacts.size() < MAX_CONTACTS && !contacts.contains(address)) contacts.add(address);
            entry.getValue().record = null;
            entry.getValue().candidate = null;
        }
        PeerState self = peer(name);
        if (self.record != null && !self.record.isIn()) incarnation++;
        self.candidate = null;
        self.record = ownRecord();
        viewMemberHeardAt = now;
        adopt(viewFromRecords(view.number + 1), ViewCause.STARTED, now);
    }

    private void startNewIncarnation(long newIncarnation) {
        incarnation = newIncarnation;
        counters.add(FleetCounters.Event.NEW_INCARNATION);
        announceCandidate(ownRecord());
        phase = Phase.EVICTED;
        enterPhase(Phase.JOINING);
    }

    private void announceCandidate(MemberRecord record) {
        peer(record.name()).candidate = record;
        candidateNames.add(record.name());
        gossip.add(new Candidate(record));
    }

    /**
     * Takes the name with an incarnation above the conflicting holder's: of two processes of one name the later keeps
     * it. Either the holder has not answered, or this process has just started.
     */
    private void claimName() {
        long next = conflictingHolder.incarnation() + 1;
        conflictingHolder = null;
        if (next > incarnation) startNewIncarnation(next);
    }

    /** Announces that this member leaves and ends its part in the protocol; the messages to send. */
    public List<Send> leave(double now) {
        outbox.clear();
        if (isTerminated() || view == null) return outbox;
        if (phase == Phase.IN) {
            MemberRecord record = ownRecord().with(MemberRecord.Status.LEFT, ownRecord().evictions());
            gossip.add(new Candidate(record));
            for (int i = 0; i < LEAVE_ANNOUNCEMENTS && view.size() > 1; i++) {
                MemberRecord target = view.member((view.indexOf(name) + 1 + i) % view.size());
                if (target.name().equals(name)) continue;
                send(target.host(), target.port(), Kind.PING, target.name(), ++seq, "", false);
            }
            for (LinkMonitor monitor : monitors.values()) {
                MemberRecord target = peers.get(monitor.name).latestRecord();
                send(target.host(), target.port(), Kind.PING, monitor.name, ++seq, "", false);
            }
        }
        enterPhase(Phase.LEFT);
        return outbox;
    }

    // ---- messages ----

    /** Handles a received message; the messages to send. */
    public List<Send> onMessage(double now, Message message) {
        outbox.clear();
        if (isTerminated() || view == null) return outbox;
        if (!message.to().isEmpty() && !message.to().equals(name) || message.from().equals(name)
            && message.kind() != Kind.NAME_REPLY && message.kind() != Kind.NAME_QUERY) {
            counters.add(FleetCounters.Event.MISADDRESSED);
            return outbox;
        }
        PeerState from = peers.get(message.from());
        if (from != null && from.record != null && message.incarnation() < from.incarnation()
            && message.kind() != Kind.NAME_QUERY) {
            counters.add(FleetCounters.Event.STALE_INCARNATION);
            sendNewerRecord(message, from.latestRecord(), now);
            return outbox;
        }
        LinkMonitor monitor = monitors.get(message.from());
        if (monitor != null) monitor.inboundOkAt = now;
        if (view.contains(message.from())) viewMemberHeardAt = now;
        for (GossipItem item : message.items()) receiveItem(item, now);
        switch (message.kind()) {
            case PING, JOIN -> reply(message, Kind.ACK, "", false);
            case ACK -> {
                if (monitor != null && isRecentPing(monitor, message.seq())) monitor.onAck(now, true, true);
                if (message.viewDigest() == view.digest) lastSameViewAckAt = now;
                lastAckAt = now;
            }
            case PING_REQUEST -> {
                PeerState peer = peers.get(message.subject());
                if (peer == null || peer.record == null) break;
                MemberRecord record = peer.latestRecord();
                send(record.host(), record.port(), Kind.PROXY_PING, message.subject(), message.seq(), message.from(),
                    false);
            }
            case PROXY_PING -> reply(message, Kind.PROXY_ACK, message.subject(),
                receivedPing(message.subject(), message.seq()));
            case PROXY_ACK -> {
                PeerState peer = peers.get(message.subject());
                if (peer == null || peer.record == null) break;
                MemberRecord record = peer.latestRecord();
                send(record.host(), record.port(), Kind.PING_REQUEST_ACK, message.subject(), message.seq(),
                    message.from(), message.pingReceived());
            }
            case PING_REQUEST_ACK -> {
                LinkMonitor aboutMonitor = monitors.get(message.subject());
                if (aboutMonitor != null && isRecentPing(aboutMonitor, message.seq())) {
                    aboutMonitor.onAck(now, false, message.pingReceived());
                }
            }
            case VIEW_REQUEST -> outbox.add(new Send(message.host(), message.port(),
                message(Kind.VIEW, message.from(), message.seq(), "", false, knownRecords())));
            case VIEW -> mergeView(message, now);
            case NAME_QUERY -> {
                if (message.seq() == 0) reply(message, Kind.NAME_REPLY, "", false);
            }
            case ADMIN, POLICY -> { }                    // handled by the transport
            case NAME_REPLY -> {
                if (conflictingHolder != null && message.incarnation() == conflictingHolder.incarnation()) {
                    onConflictConfirmed(now);
                }
            }
        }
        if (message.kind() == Kind.PING) lastPing.put(message.from(), message.seq());
        if (!isTerminated() && message.kind() != Kind.VIEW && message.kind() != Kind.NAME_QUERY
            && message.kind() != Kind.NAME_REPLY) {
            compareViews(message, now);
        }
        return outbox;
    }

    /**
     * Tells the sender of a stale message about the newer incarnation of its name. The sender is either superseded by
     * another process, or restarted without its state file after its clock was set back. Sent at most once a probe
     * period, as the message may just have been delayed.
     */
    private void sendNewerRecord(Message message, MemberRecord newer, double now) {
        if (now - newerRecordSentAt < settings.probePeriodMs()) return;
        newerRecordSentAt = now;
        Message ack = new Message(Kind.ACK, name, incarnation, host, port, message.from(), 0, "", false, view.number,
            view.digest, List.of(new Candidate(newer)), null);
        outbox.add(new Send(message.host(), message.port(), ack));
    }

    private boolean receivedPing(String from, int pingSeq) {
        Integer last = lastPing.get(from);
        return last != null && last == pingSeq;
    }

    /** Whether the number is that of this round's ping or of one of the last few rounds. */
    private boolean isRecentPing(LinkMonitor monitor, int pingSeq) {
        return pingSeq == monitor.lastPingSeq || pingSeq > monitor.lastPingSeq - 4 * (monitors.size() + 4)
            && pingSeq < monitor.lastPingSeq;
    }

    /** The operating system reports that no process listens at this address. */
    public void onConnectionRefused(String refusedHost, int refusedPort) {
        for (LinkMonitor monitor : monitors.values()) {
            MemberRecord record = peers.get(monitor.name).latestRecord();
            if (record.port() == refusedPort && record.host().equals(refusedHost)) monitor.refusedThisRound = true;
        }
    }

    /** Requests the sender's view where it has differed for longer than a view change takes to spread. */
    private void compareViews(Message message, double now) {
        if (message.viewDigest() == view.digest) {
            if (message.viewNumber() > view.number) {
                view = view.withNumber(message.viewNumber());
                listener.onViewChange(view, partitioned, ViewCause.RENUMBERED);
            }
            return;
        }
        boolean needsView = view.size() == 1 || phase != Phase.IN;
        if (message.viewNumber() < view.number && !needsView && peers.containsKey(message.from())
            && view.contains(message.from())) return;
        if (Double.isNaN(viewMismatchSince)) viewMismatchSince = now;
        if (!needsView && now - viewMismatchSince < 3 * settings.probePeriodMs()) return;
        if (now - viewRequestedAt < 2 * settings.probePeriodMs()) return;
        viewRequestedAt = now;
        counters.add(FleetCounters.Event.VIEW_REQUESTED);
        outbox.add(new Send(message.host(), message.port(),
            message(Kind.VIEW_REQUEST, message.from(), ++seq, "", false, null)));
    }

    private List<MemberRecord> knownRecords() {
        List<MemberRecord> records = new ArrayList<>(peers.size());
        for (PeerState peer : peers.values()) if (peer.record != null) records.add(peer.record);
        return records;
    }

    /** Merges a received view with the own one, or joins it where the two share no member. */
    private void mergeView(Message message, double now) {
        List<MemberRecord> received = message.viewMembers();
        if (received == null) return;
        boolean disjoint = true;
        int receivedSize = 0;
        for (MemberRecord record : received) {
            if (record.isIn()) receivedSize++;
            if (record.isIn() && view.contains(record.name()) && !record.name().equals(name)) disjoint = false;
        }
        if (view.size() == 1 && view.contains(name)
            && received.stream().noneMatch(record -> record.name().equals(name) && record.isIn()) || disjoint) {
            if (disjoint && !shouldJoin(receivedSize, message.viewDigest())) return;
            joinOtherView(received, message.viewNumber(), now);
            return;
        }
        boolean changed = false;
        for (MemberRecord record : received) {
            if (record.name().equals(name) && !checkOwnName(record, now)) continue;
            PeerState peer = peer(record.name());
            MemberRecord merged = MemberRecord.merge(peer.record, record);
            if (merged.equals(peer.record)) continue;
            changed = true;
            peer.ended = false;
            if (!merged.isIn()) peer.removedAt = now;
            peer.record = merged;
        }
        if (isTerminated()) return;
        View mergedView = viewFromRecords(Math.max(view.number, message.viewNumber()));
        if (mergedView.digest == message.viewDigest()) {
            if (mergedView.digest != view.digest) adopt(mergedView, ViewCause.RECEIVED, now);
        } else if (mergedView.digest != view.digest) {
            adopt(mergedView.withNumber(mergedView.number + 1), ViewCause.MERGED, now);
        } else if (!changed && message.viewNumber() >= view.number) {
            // The sender knows less than this member: a higher view number makes it request this view.
            view = view.withNumber(message.viewNumber() + 1);
            listener.onViewChange(view, partitioned, ViewCause.RENUMBERED);
        }
    }

    /** Of two disjoint views the smaller joins the larger; of two of one size, the one with the lower digest. */
    private boolean shouldJoin(int otherSize, long otherDigest) {
        return otherSize != view.size() ? otherSize > view.size() : Long.compareUnsigned(view.digest, otherDigest) < 0;
    }

    /** Takes the received view over; the members of the own view become candidates to join it. */
    private void joinOtherView(List<MemberRecord> received, long number, double now) {
        List<MemberRecord> previousMembers = view.members();
        for (MemberRecord record : previousMembers) {
            PeerState peer = peer(record.name());
            if (peer.candidate == null || record.supersedes(peer.candidate)) announceCandidate(record);
            peer.record = null;
        }
        for (MemberRecord record : received) {
            if (record.name().equals(name) && record.incarnation() >= incarnation) {
                incarnation = record.incarnation() + 1;
            }
            peer(record.name()).record = MemberRecord.merge(peer(record.name()).record, record);
        }
        announceCandidate(ownRecord());
        adopt(viewFromRecords(Math.max(number, view.number)), ViewCause.RECEIVED, now);
    }

    private View viewFromRecords(long number) {
        List<MemberRecord> members = new ArrayList<>();
        for (PeerState peer : peers.values()) {
            if (peer.record != null && peer.record.isIn()) members.add(peer.record);
        }
        return new View(number, members, settings.rings());
    }

    /**
     * Checks a received record of this member's own name; false where it is newer and must not be taken over. One with
     * this member's address is from an earlier process; another address means a conflicting holder, which is queried.
     */
    private boolean checkOwnName(MemberRecord record, double now) {
        if (record.incarnation() > incarnation) {
            if (record.host().equals(host) && record.port() == port) startNewIncarnation(record.incarnation() + 1);
            else if (conflictingHolder == null || record.incarnation() > conflictingHolder.incarnation()) {
                conflictingHolder = record;
                conflictSince = now;
                outbox.add(new Send(record.host(), record.port(), message(Kind.NAME_QUERY, "", 0, "", false, null)));
            }
            return false;
        }
        return true;
    }

    /** The conflicting holder answers: a member that has just started claims the name, any other gives way. */
    private void onConflictConfirmed(double now) {
        if (now - startedAt < NEWCOMER_GRACE_MS) {
            claimName();
            return;
        }
        counters.add(FleetCounters.Event.SUPERSEDED);
        enterPhase(Phase.SUPERSEDED);
    }

    // ---- gossip ----

    private void receiveItem(GossipItem item, double now) {
        if (item instanceof Accusation a) receiveAccusation(a, now);
        else if (item instanceof Refutation r) receiveRefutation(r, now);
        else if (item instanceof Candidate c) receiveCandidate(c.member(), now);
        else if (item instanceof Proposal p) receiveProposal(p, now);
    }

    /** Spreads the current status of a monitored link, as an accusation or its withdrawal. */
    private void announceLink(LinkMonitor monitor, double now) {
        PeerState peer = peers.get(monitor.name);
        LinkStatus previous = monitor.announced;
        monitor.announced = monitor.currentStatus(settings.suspicionRounds() + localDegradation / 2);
        if (monitor.announced == LinkStatus.FINE && previous != LinkStatus.FINE) monitor.clearedAt = now;
        counters.add(monitor.announced == LinkStatus.FINE ? FleetCounters.Event.CLEARED : FleetCounters.Event.ACCUSED);
        Accusation accusation = new Accusation(name, incarnation, monitor.name, peer.incarnation(),
            ++monitor.accusationSeq, monitor.announced);
        storeAccusation(accusation, peer, now);
    }

    private void storeAccusation(Accusation accusation, PeerState peer, double now) {
        peer.recordAccusation(accusation, now);
        accusedNames.add(accusation.subject());
        gossip.add(accusation);
    }

    private void receiveAccusation(Accusation accusation, double now) {
        if (accusation.watcher().equals(name)) return;
        if (accusation.subject().equals(name)) {
            // Only an accusation newer than the watcher's last one has to be refuted.
            PeerState self = peer(name);
            Accusation previous = self.accusation(accusation.watcher());
            boolean known = previous != null && previous.watcherIncarnation() == accusation.watcherIncarnation()
                && previous.seq() >= accusation.seq();
            if (known || accusation.incarnation() != incarnation) return;
            self.recordAccusation(accusation, now);
            if (accusation.linkStatus() != LinkStatus.FINE) refute();
            return;
        }
        PeerState peer = peers.get(accusation.subject());
        if (peer == null || peer.record == null || accusation.incarnation() != peer.incarnation()) return;
        Accusation previous = peer.accusation(accusation.watcher());
        if (previous != null && (previous.watcherIncarnation() > accusation.watcherIncarnation()
            || previous.watcherIncarnation() == accusation.watcherIncarnation()
            && previous.seq() >= accusation.seq())) return;
        storeAccusation(accusation, peer, now);
    }

    private void refute() {
        counters.add(FleetCounters.Event.REFUTED);
        localDegradation = Math.min(MAX_LOCAL_DEGRADATION, localDegradation + 1);
        gossip.add(new Refutation(name, incarnation, ++refutationCount));
    }

    private void receiveRefutation(Refutation refutation, double now) {
        PeerState peer = peers.get(refutation.name());
        if (peer == null || peer.record == null || refutation.name().equals(name)) return;
        if (refutation.incarnation() != peer.incarnation()) return;
        Refutation previous = peer.refutation;
        if (previous != null && previous.incarnation() == refutation.incarnation()
            && previous.count() >= refutation.count()) return;
        peer.refutation = refutation;
        peer.refutedAt = now;
        gossip.add(refutation);
    }

    private void receiveCandidate(MemberRecord record, double now) {
        if (record.name().equals(name)) {
            checkOwnName(record, now);
            return;
        }
        PeerState peer = peer(record.name());
        if (peer.record != null && !record.supersedes(peer.record)) return;
        if (peer.candidate != null && !record.supersedes(peer.candidate)) return;
        peer.candidate = record;
        candidateNames.add(record.name());
        gossip.add(new Candidate(record));
        LinkMonitor monitor = monitors.get(record.name());
        if (monitor != null) monitor.silentRounds = 0;
    }

    // ---- cut detection ----

    private PeerState peer(String memberName) {
        return peers.computeIfAbsent(memberName, k -> new PeerState());
    }

    private void updateHealth(double now) {
        accusedNames.removeIf(accused -> {
            PeerState peer = peers.get(accused);
            int index = view.indexOf(accused);
            if (peer == null || index < 0) return true;
            updateHealthOf(accused, peer, index, now);
            return peer.health == MemberHealth.FINE && peer.accuserCount == 0;
        });
    }

    /**
     * Updates the health of a member from its watchers' accusations. From the low watermark on, watchers that are
     * silent, or unstable and do not accuse, count as accusers too.
     */
    private void updateHealthOf(String subject, PeerState peer, int index, double now) {
        int[] watchers = view.watchers(index);
        int accusers = 0;
        int refusedBy = 0;
        int unreliable = 0;
        for (int watcherIndex : watchers) {
            MemberRecord watcher = view.member(watcherIndex);
            Accusation accusation = peer.accusation(watcher.name());
            PeerState watcherState = peers.get(watcher.name());
            boolean counts = accusation != null && accusation.linkStatus() != LinkStatus.FINE
                && accusation.incarnation() == peer.incarnation()
                && now - peer.accusedAt(watcher.name()) < ACCUSATION_TTL_MS
                && (accusation.watcherIncarnation() == watcherState.incarnation()
                || accusation.watcherIncarnation() == watcher.incarnation());
            // The accusation of a silent watcher is outdated: it may never be withdrawn.
            boolean silent = watcherState.health == MemberHealth.SILENT;
            if (counts && !silent) accusers++;
            if (counts && !silent && accusation.linkStatus() == LinkStatus.REFUSED) refusedBy++;
            if (silent || !counts && watcherState.health == MemberHealth.UNSTABLE) unreliable++;
        }
        int low = settings.lowWatermark(watchers.length);
        int high = settings.highWatermark(watchers.length);
        int accusing = accusers >= low ? accusers + unreliable : accusers;
        MemberHealth next = peer.health.next(accusing, low, high);
        peer.accuserCount = accusing;
        peer.refusalCount = refusedBy + (accusers >= low ? unreliable : 0);
        peer.extraAccusers = accusing - high;
        if (next == peer.health) return;
        counters.addTransition(peer.health, next);
        listener.onHealthChange(subject, peer.health, next, accusing);
        if (next == MemberHealth.SILENT) peer.silentSince = now;
        if (next == MemberHealth.UNSTABLE) peer.unstableSince = now;
        peer.health = next;
    }

    /** Whether the member has recently acknowledged a ping of this one: it is reachable, whatever others report. */
    private boolean answersDirectly(String subject, double now) {
        LinkMonitor monitor = monitors.get(subject);
        return monitor != null && now - monitor.lastRoundTripAt < settings.suspicionRounds() * settings.probePeriodMs();
    }

    /** Whether the member was silent, without a refutation, for this share of the eviction timeout. */
    private boolean mayBeEvicted(PeerState peer, int watchers, double share, double now) {
        if (peer.health != MemberHealth.SILENT) return false;
        double silentMs = now - Math.max(peer.silentSince, peer.refutedAt);
        if (peer.refusalCount >= settings.highWatermark(watchers)) return silentMs >= settings.proposalDelayMs();
        int high = settings.highWatermark(watchers);
        return silentMs >= share * settings.evictionTimeoutMs(view.size(), peer.extraAccusers, watchers - high);
    }

    /**
     * This member is partitioned where fewer than half of its monitored links work, or half of the view is silent.
     */
    private void updatePartitioned(double now) {
        int working = 0;
        int silent = 0;
        double recentMs = 3 * settings.probePeriodMs() * (1 + localDegradation / 4.0);
        for (LinkMonitor monitor : monitors.values()) if (now - monitor.lastRoundTripAt < recentMs) working++;
        for (String accused : accusedNames) if (peers.get(accused).health == MemberHealth.SILENT) silent++;
        boolean nowPartitioned = view.size() > 1 && phase != Phase.EVICTED
            && (2 * working < monitors.size() || 2 * silent >= view.size());
        if (nowPartitioned == partitioned) return;
        partitioned = nowPartitioned;
        // Others may have heard refutations that this member missed during the partition: silence counts from now.
        if (!nowPartitioned) for (String accused : accusedNames) peers.get(accused).silentSince = now;
        counters.add(nowPartitioned ? FleetCounters.Event.PARTITIONED : FleetCounters.Event.PARTITION_HEALED);
        listener.onViewChange(view, partitioned, ViewCause.PARTITION_CHANGED);
    }

    // ---- view changes ----

    /** Votes on the open proposals; proposes a view change of its own where one is due and it is this member's turn. */
    private void propose(double now) {
        if (phase != Phase.IN && !view.contains(name) || partitioned || now < stableAt) return;
        ballot.expire(now);
        for (Proposal open : ballot.openProposals()) vote(open, now);
        BitSet leaving = new BitSet();
        boolean unstable = false;
        for (String accused : accusedNames) {
            PeerState peer = peers.get(accused);
            int index = view.indexOf(accused);
            if (index < 0) continue;
            if (!answersDirectly(accused, now) && mayBeEvicted(peer, view.watchers(index).length, 1, now)) {
                leaving.set(index);
            }
            unstable |= peer.health == MemberHealth.UNSTABLE && now - peer.unstableSince < UNSTABLE_BLOCKS_VIEW_MS;
        }
        List<Long> joining = new ArrayList<>();
        List<MemberRecord> joiningRecords = new ArrayList<>();
        for (Map.Entry<String, PeerState> entry : pendingCandidates().entrySet()) {
            PeerState peer = entry.getValue();
            int index = view.indexOf(entry.getKey());
            if (peer.candidate.status() == MemberRecord.Status.LEFT) {
                if (index >= 0) leaving.set(index);
            } else if (joining.size() < MAX_JOINS_PER_PROPOSAL
                && now - peer.removedAt >= rejoinDelay(peer.candidate.evictions()) / 2) {
                joining.add(peer.candidate.memberId());
                joiningRecords.add(peer.candidate);
                if (index >= 0) leaving.clear(index);
            }
        }
        // The wait for the own turn starts over while a proposal is open: otherwise all members whose turn has passed
        // would propose at once when it ends.
        if (!ballot.openProposals().isEmpty() || leaving.isEmpty() && joining.isEmpty()
            || unstable && !leaving.isEmpty()) {
            proposableSince = Double.NaN;
            return;
        }
        if (Double.isNaN(proposableSince)) {
            proposableSince = now;
            // The jitter doubles with each failed attempt, so that two members whose turns coincide get out of step.
            proposeJitter = random.nextDouble() * settings.probePeriodMs()
                * (1 << Math.min(proposalAttempts, MAX_BACKOFF_DOUBLINGS));
        }
        if (now - proposableSince < settings.proposalDelayMs() + proposerRank() * 2 * settings.probePeriodMs()
            + proposeJitter) return;
        proposableSince = Double.NaN;
        proposalAttempts++;
        counters.add(FleetCounters.Event.PROPOSED);
        // A member can only agree to candidates that it knows.
        for (MemberRecord record : joiningRecords) gossip.add(new Candidate(record));
        receiveProposal(new Proposal(view.digest, view.number, ballot.nextRound(), name, leaving,
            List.copyOf(joining), new BitSet()), now);
    }

    /** By name, the candidates that supersede the record in the view; drops the others. */
    private Map<String, PeerState> pendingCandidates() {
        Map<String, PeerState> pending = new TreeMap<>();
        candidateNames.removeIf(candidate -> {
            PeerState peer = peers.get(candidate);
            if (peer == null || peer.candidate == null) return true;
            if (peer.candidate.supersedes(peer.record)) {
                pending.put(candidate, peer);
                return false;
            }
            peer.candidate = null;
            return true;
        });
        return pending;
    }

    /** This member's position in the order of proposers, which is the same for all members with this view. */
    private int proposerRank() {
        long ownHash = View.mix(View.hash(name) ^ view.digest);
        int rank = 0;
        for (MemberRecord record : view.members()) {
            if (peers.get(record.name()).health == MemberHealth.SILENT) continue;
            if (Long.compareUnsigned(View.mix(View.hash(record.name()) ^ view.digest), ownHash) < 0) rank++;
        }
        return Math.min(rank, MAX_PROPOSER_RANK);
    }

    private void receiveProposal(Proposal proposal, double now) {
        if (!ballot.accepts(proposal)) return;
        int votesBefore = ballot.openProposals().stream().filter(open -> open.key().equals(proposal.key()))
            .mapToInt(open -> open.votes().cardinality()).findAny().orElse(-1);
        Proposal known = ballot.merge(proposal, now);
        if (known.votes().cardinality() > Math.max(0, votesBefore)) gossip.add(known);
        vote(known, now);
    }

    private void vote(Proposal proposal, double now) {
        if (!ballot.accepts(proposal)) return;          // it may have been applied or closed just before
        Proposal voted = proposal;
        int self = view.indexOf(name);
        if (self >= 0 && ballot.mayVote(proposal) && agrees(proposal, now)) {
            voted = ballot.addOwnVote(proposal, self, now);
            listener.onVote(proposal.baseDigest(), proposal.round());
            gossip.add(voted);
        }
        if (ballot.hasMajority(voted)) apply(voted, now);
    }

    /** Whether this member would make the same change by its own observations. */
    private boolean agrees(Proposal proposal, double now) {
        if (now < stableAt) return false;
        if (!proposal.joining().isEmpty()) {
            Set<Long> known = new HashSet<>();
            for (PeerState pending : pendingCandidates().values()) known.add(pending.candidate.memberId());
            if (!known.containsAll(proposal.joining())) return false;
        }
        for (int i = proposal.leaving().nextSetBit(0); i >= 0; i = proposal.leaving().nextSetBit(i + 1)) {
            if (i >= view.size()) return false;
            String leavingName = view.member(i).name();
            PeerState peer = peers.get(leavingName);
            boolean left = peer.candidate != null && peer.candidate.status() == MemberRecord.Status.LEFT;
            if (leavingName.equals(name)) return false;
            // This member's own observations decide, after a slightly shorter silence than for its own proposal.
            if (!left && (answersDirectly(leavingName, now)
                || !mayBeEvicted(peer, view.watchers(i).length, AGREEMENT_DELAY_SHARE, now))) return false;
        }
        return true;
    }

    /** Adopts the view that an accepted proposal leads to. */
    private void apply(Proposal proposal, double now) {
        Map<Long, PeerState> candidatesById = new HashMap<>();
        for (PeerState pending : pendingCandidates().values()) {
            candidatesById.put(pending.candidate.memberId(), pending);
        }
        // Some of the candidates are not known here yet: they come by gossip, or with a requested view.
        if (!candidatesById.keySet().containsAll(proposal.joining())) return;
        for (int i = proposal.leaving().nextSetBit(0); i >= 0; i = proposal.leaving().nextSetBit(i + 1)) {
            MemberRecord record = view.member(i);
            PeerState peer = peers.get(record.name());
            boolean left = peer.candidate != null && peer.candidate.status() == MemberRecord.Status.LEFT;
            peer.record = left ? peer.candidate : record.with(MemberRecord.Status.EVICTED, record.evictions() + 1);
            peer.ended = left || peer.refusalCount >= settings.highWatermark(view.watchers(i).length);
            peer.removedAt = now;
        }
        for (long memberId : proposal.joining()) {
            PeerState peer = candidatesById.get(memberId);
            peer.record = MemberRecord.merge(peer.record, peer.candidate);
            peer.ended = false;
        }
        counters.add(FleetCounters.Event.VIEW_CHANGED);
        adopt(viewFromRecords(Math.max(proposal.baseNumber(), view.number) + 1), ViewCause.VOTED, now);
    }

    /** Makes {@code newView} the current view and resets what depends on it. */
    private void adopt(View newView, ViewCause cause, double now) {
        View previous = view;
        view = viewInterner.apply(newView);
        ballot = new Ballot(view);
        proposalAttempts = 0;
        proposableSince = Double.NaN;
        viewMismatchSince = Double.NaN;
        pendingCandidates();
        for (String accused : List.copyOf(accusedNames)) {
            if (view.of(accused) != null && view.of(accused).equals(previous.of(accused))) continue;
            peers.get(accused).clearAccusations();
            accusedNames.remove(accused);
        }
        MemberRecord self = view.of(name);
        boolean in = self != null && self.incarnation() == incarnation;
        MemberRecord own = peer(name).record;
        if (in) enterPhase(Phase.IN);
        else if (own != null && !own.isIn() && own.incarnation() == incarnation) {
            evictedStableSince = Double.NaN;
            enterPhase(Phase.EVICTED);
        } else if (phase != Phase.EVICTED) {
            MemberRecord candidate = peer(name).candidate;
            if (candidate == null || candidate.incarnation() != incarnation) announceCandidate(ownRecord());
            enterPhase(Phase.JOINING);
        }
        rebuildMonitors(now);
        listener.onViewChange(view, partitioned, cause);
    }

    /** Monitors the members that the view assigns to this one, keeping the state of those monitored before. */
    private void rebuildMonitors(double now) {
        Map<String, LinkMonitor> previous = new HashMap<>(monitors);
        monitors.clear();
        int self = view.indexOf(name);
        if (self < 0) return;
        for (int subject : view.watched(self)) {
            String subjectName = view.member(subject).name();
            LinkMonitor monitor = previous.get(subjectName);
            if (monitor == null) {
                monitor = new LinkMonitor(subjectName);
                monitor.lastRoundTripAt = now;          // the first round counts as answered
            }
            monitors.put(subjectName, monitor);
        }
    }

    /** Drops names that left the view long ago, so that memory stays bounded. */
    private void forgetOldPeers(double now) {
        if (random.nextInt(64) != 0) return;
        peers.entrySet().removeIf(entry -> {
            PeerState peer = entry.getValue();
            if (view.contains(entry.getKey()) || entry.getKey().equals(name)) return false;
            if (peer.firstForgetCheckAt == 0) peer.firstForgetCheckAt = now;
            return now - Math.max(peer.firstForgetCheckAt, peer.removedAt) > settings.forgetAfterMs();
        });
    }

    // ---- sending ----

    private Message message(Kind kind, String to, int messageSeq, String subject, boolean pingReceived,
                            List<MemberRecord> viewMembers) {
        int maxSends = 3 + (int) (3 * Math.log(1 + view.size()));
        List<GossipItem> items = kind == Kind.VIEW || kind == Kind.VIEW_REQUEST || kind == Kind.NAME_QUERY
            || kind == Kind.NAME_REPLY ? List.of() : gossip.nextBatch(maxSends);
        if (phase == Phase.JOINING && kind == Kind.JOIN) {
            List<GossipItem> extended = new ArrayList<>(items);
            extended.add(new Candidate(ownRecord()));
            items = extended;
        }
        return new Message(kind, name, incarnation, host, port, to, messageSeq, subject, pingReceived, view.number,
            view.digest, items, viewMembers);
    }

    private void send(String toHost, int toPort, Kind kind, String to, int messageSeq, String subject,
                      boolean pingReceived) {
        outbox.add(new Send(toHost, toPort, message(kind, to, messageSeq, subject, pingReceived, null)));
    }

    private void reply(Message request, Kind kind, String subject, boolean pingReceived) {
        send(request.host(), request.port(), kind, request.from(), request.seq(), subject, pingReceived);
    }

    // ---- status ----

    /**
     * The number of former members that certainly do not run any more: they announced that they leave, or their
     * watchers found no process at their port. One that is only silent may be cut off and still run.
     */
    public int endedCount() {
        int count = 0;
        for (PeerState peer : peers.values()) {
            if (peer.ended && peer.record != null && !peer.record.isIn() && peer.candidate == null) count++;
        }
        return count;
    }

    /** Whether this member is in the view, not partitioned and not delayed, so that decisions of the fleet reach it. */
    public boolean isUpToDate(double now) {
        boolean connected = view.size() == 1 || now - lastSameViewAckAt < 3 * settings.probePeriodMs();
        return phase == Phase.IN && !partitioned && now >= stableAt && Double.isNaN(viewMismatchSince) && connected;
    }

    /** The last known address of a member; null for an unknown name. */
    public Address addressOf(String memberName) {
        PeerState peer = peers.get(memberName);
        if (peer == null || peer.record == null && peer.candidate == null) return null;
        MemberRecord record = peer.latestRecord();
        return new Address(record.host(), record.port());
    }

    /** The addresses of the other members of the view, to be kept as contacts for the next start. */
    public List<Address> addresses() {
        List<Address> addresses = new ArrayList<>();
        for (MemberRecord record : view.members()) {
            if (!record.name().equals(name)) addresses.add(new Address(record.host(), record.port()));
        }
        return addresses;
    }

    /** Describes what is known of a member, for operators: its record, each watcher's report and the own link to it. */
    public List<String> explain(String memberName, double now) {
        List<String> lines = new ArrayList<>();
        PeerState peer = peers.get(memberName);
        if (peer == null || peer.record == null) return lines;
        MemberRecord record = peer.latestRecord();
        lines.add(memberName + " is " + peer.record.status() + " in life " + record.incarnation() + " at "
            + record.host() + ":" + record.port() + ", judged " + peer.health + " by " + peer.accuserCount
            + " of its watchers, taken out " + peer.record.evictions() + " times");
        int index = view.indexOf(memberName);
        if (index >= 0) for (int watcherIndex : view.watchers(index)) {
            String watcherName = view.member(watcherIndex).name();
            Accusation accusation = peer.accusation(watcherName);
            MemberHealth watcherHealth = peers.get(watcherName).health;
            lines.add("watched by " + watcherName + ": "
                + (accusation == null ? LinkStatus.FINE : accusation.linkStatus())
                + (watcherHealth == MemberHealth.FINE ? "" : ", which is " + watcherHealth + " itself"));
        }
        LinkMonitor own = monitors.get(memberName);
        if (own != null) lines.add("watched from here: " + own.directionStatus(now, 4 * settings.probePeriodMs()) + ", "
            + own.silentRounds + " rounds without a word");
        if (peer.health == MemberHealth.SILENT) lines.add("silent for " + Math.round(now - peer.silentSince) + " ms"
            + (peer.refutedAt > peer.silentSince
            ? ", its own word " + Math.round(now - peer.refutedAt) + " ms ago" : ""));
        return lines;
    }
}
