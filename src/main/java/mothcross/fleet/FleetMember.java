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
import java.util.function.UnaryOperator;
import mothcross.fleet.GossipItem.Accusation;
import mothcross.fleet.GossipItem.Candidate;
import mothcross.fleet.GossipItem.LinkStatus;
import mothcross.fleet.GossipItem.Proposal;
import mothcross.fleet.GossipItem.Refutation;
import mothcross.fleet.Message.Kind;
import mothcross.fleet.Message.Send;

/**
 * One director's part in the fleet. Time, chance and messages are passed in, what is to be sent comes back; nothing
 * else leaves it but news. Owns what is held of every name, the view, and the own edges. Must never put out a member
 * on fewer than HIGH of its watchers' word, change a view without more than half of it, or accuse while it is late
 * itself. docs/design/fleet.md has the promises by number.
 */
public final class FleetMember {
    /** What the one beside it wants to know. */
    public interface MemberListener {
        void onViewChange(View v, boolean apart, ViewCause cause);

        /** It agrees to a change of the view with this digest. */
        void onVote(long base, int round);

        void onHealthChange(String name, MemberHealth from, MemberHealth to, int accusing);

        void onPhaseChange(Phase p, long life);
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

    public record Address(String host, int port) { }

    private static final double UNSTABLE_HOLDS_UP = 3000, SAY_AGAIN = 10_000, AGREES_AT = 0.8,
        SAID_HOLDS = 40_000, ALONE_AGAIN = 10_000, NEWCOMER = 10_000,
        WHO_WAITS = 3000;
    private static final int MOST_IN_A_BATCH = 100, MOST_HEALTH = 8, MOST_DOUBLINGS = 5, JOIN_AT = 3, FAREWELLS = 8,
        MOST_CONTACTS = 256;

    public final String name;
    private final String host;
    private final int port;
    private final FailureDetectorSettings pace;
    private final SplittableRandom chance;
    private final MemberListener news;
    private final UnaryOperator<View> shared;
    private final List<Address> contacts = new ArrayList<>();
    private final Map<String, PeerState> peers = new HashMap<>();
    private final Map<String, LinkMonitor> watches = new LinkedHashMap<>();
    private final Set<String> accused = new HashSet<>(), candidates = new java.util.TreeSet<>();
    private final GossipQueue rumours = new GossipQueue();
    private final List<Send> out = new ArrayList<>();
    public final FleetCounters counters = new FleetCounters();
    private long incarnation;
    private Phase phase = Phase.JOINING;
    private View view;
    private boolean apart;
    private Ballot ballot;
    private int seq, refutals, health, tries;
    private double startedAt = Double.NaN, due, roundAt, askAt = Double.POSITIVE_INFINITY, roundSince, steadyAt;
    private double proposeJitter, proposableSince = Double.NaN, mismatchSince = Double.NaN;
    private double wantedAt = Double.NEGATIVE_INFINITY;
    private double outSteadySince = Double.NaN, outHeardAt = Double.NEGATIVE_INFINITY;
    private double lastAnswer = Double.NEGATIVE_INFINITY, viewHeardAt, toldOfLater = Double.NEGATIVE_INFINITY;
    private MemberRecord rival;
    private double rivalAt;

    /**
     * {@code incarnation} is this start's incarnation, higher than any before; {@code contacts} are the seeds and the
     * addresses kept. {@code shared} may give back an equal view that exists already.
     */
    public FleetMember(String name, long incarnation, String host, int port, Collection<Address> contacts,
                       FailureDetectorSettings pace, SplittableRandom chance, MemberListener news,
                       UnaryOperator<View> shared) {
        this.name = name;
        this.incarnation = incarnation;
        this.host = host;
        this.port = port;
        this.pace = pace;
        this.chance = chance;
        this.news = news;
        this.shared = shared;
        for (Address a : contacts) if (!a.equals(new Address(host, port))) this.contacts.add(a);
        this.seq = chance.nextInt(1 << 20);
    }

    /** When it wants to be told the time again at the latest. */
    public double nextTickAt() {
        return Math.min(askAt, roundAt);
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

    /** It sees too little of the view to change it: it puts nobody out, and knows that it may be the one cut off. */
    public boolean isPartitioned() {
        return apart;
    }

    public MemberHealth healthOf(String of) {
        PeerState p = peers.get(of);
        return p == null ? MemberHealth.FINE : p.judged;
    }

    // ---- time ----

    public List<Send> tick(double now) {
        out.clear();
        if (over()) return out;
        if (Double.isNaN(startedAt)) begin(now);
        if (now < nextTickAt()) return out;
        double late = now - due;
        if (late > pace.probePeriodMs()) overslept(now, late);
        if (now >= askAt) askHelpers();
        if (now >= roundAt) round(now);
        judgeAll(now);
        propose(now);
        due = nextTickAt();
        return out;
    }

    private boolean over() {
        return phase == Phase.LEFT || phase == Phase.SUPERSEDED;
    }

    private void begin(double now) {
        startedAt = due = roundAt = roundSince = viewHeardAt = now;
        MemberRecord own = own();
        peer(name).fact = own;
        view = shared.apply(new View(1, List.of(own), pace.rings()));
        ballot = new Ballot(view);
        become(Phase.IN);
        news.onViewChange(view, false, ViewCause.STARTED);
    }

    private MemberRecord own() {
        PeerState p = peers.get(name);
        return new MemberRecord(name, incarnation, host, port, MemberRecord.Status.IN, p == null || p.fact == null ? 0
            : p.fact.evictions());
    }

    private void become(Phase p) {
        if (phase == p) return;
        phase = p;
        counters.add(FleetCounters.Event.PHASE_CHANGED);
        news.onPhaseChange(p, incarnation);
    }

    /** A pause, a starved core or a step of the clock: what was not heard meanwhile is nobody's fault. */
    private void overslept(double now, double late) {
        counters.add(FleetCounters.Event.LOCAL_DELAY);
        steadyAt = now + 2 * pace.probePeriodMs();
        health = Math.min(MOST_HEALTH, health + 2);
        for (LinkMonitor w : watches.values()) w.silentRounds = 0;
        for (String n : accused) peers.get(n).late(late);
        viewHeardAt += late;
        askAt = Double.POSITIVE_INFINITY;
        roundSince = roundAt = now;
    }

    private void round(double now) {
        int good = 0, bad = 0;
        if (now >= steadyAt && roundSince > startedAt) {
            for (LinkMonitor w : watches.values()) {
                if (w.roundTrip >= roundSince) good++;
                else bad++;
                boolean changes = w.judge(roundSince, pace.suspicionRounds() + health / 2);
                // Taking a word back may get lost like any other: that, too, is said again, while it may still hold.
                boolean again = now - w.toldAt > SAY_AGAIN && (w.told != LinkStatus.FINE
                    || now - w.clearedAt < SAID_HOLDS);
                if (changes || again) accuse(w, now);
            }
            if (bad * 2 > good + bad) health = Math.min(MOST_HEALTH, health + 1);
            else if (bad == 0) health = Math.max(0, health - 1);
        }
        roundSince = now;
        double period = pace.probePeriodMs() * (1 + health / 4.0);
        roundAt = now + period;
        askAt = watches.isEmpty() ? Double.POSITIVE_INFINITY : now + Math.min(pace.ackTimeoutMs() * (1 + health),
            0.6 * period);
        for (LinkMonitor w : watches.values()) {
            MemberRecord f = peers.get(w.name).latest();
            w.asked = ++seq;
            send(f.host(), f.port(), Kind.PING, w.name, w.asked, "", false);
        }
        seeWhetherApart(now);
        if (phase != Phase.IN && !view.contains(name) && now - viewHeardAt > ALONE_AGAIN) beginAnew(now);
        if (phase == Phase.EVICTED) steady(now);
        if (phase != Phase.IN || view.size() == 1) knock();
        else if (chance.nextInt(4) == 0) reach();
        if (rival != null && now - rivalAt > WHO_WAITS) takeOver();
        forget(now);
    }

    /** Those that have not answered yet are asked through others. */
    private void askHelpers() {
        askAt = Double.POSITIVE_INFINITY;
        for (LinkMonitor w : watches.values()) {
            if (w.roundTrip >= roundSince) continue;
            for (int i = 0, tries = 0; i < pace.indirectProbes() && tries < 4 * pace.indirectProbes(); tries++) {
                MemberRecord h = view.member(chance.nextInt(view.size()));
                if (h.name().equals(name) || h.name().equals(w.name)) continue;
                if (peers.get(h.name()).judged == MemberHealth.SILENT) continue;
                i++;
                MemberRecord to = peers.get(h.name()).latest();
                send(to.host(), to.port(), Kind.PING_REQUEST, h.name(), w.asked, w.name, false);
            }
        }
    }

    // ---- one that is not in ----

    private void knock() {
        for (int i = 0; i < JOIN_AT; i++) {
            Address a = someone(phase != Phase.IN && chance.nextBoolean());
            if (a == null) return;
            send(a.host, a.port, Kind.JOIN, "", ++seq, "", false);
        }
    }

    /** One that is known and not in the view: how two parts of a fleet find each other again. */
    private void reach() {
        List<MemberRecord> gone = new ArrayList<>();
        for (PeerState p : peers.values()) {
            if (p.fact != null && p.fact.status() == MemberRecord.Status.EVICTED) gone.add(p.latest());
        }
        Address a = someone(false);
        if (!gone.isEmpty() && (a == null || chance.nextBoolean())) {
            MemberRecord f = gone.get(chance.nextInt(gone.size()));
            a = new Address(f.host(), f.port());
        }
        if (a != null) send(a.host, a.port, Kind.JOIN, "", ++seq, "", false);
    }

    private Address someone(boolean inView) {
        if ((inView || contacts.isEmpty()) && (view.size() > 1 || !view.contains(name))) {
            MemberRecord f = view.member(chance.nextInt(view.size()));
            return f.name().equals(name) ? null : new Address(f.host(), f.port());
        }
        return contacts.isEmpty() ? null : contacts.get(chance.nextInt(contacts.size()));
    }

    /** It was put out: only after a steady time, longer with each turn, does it ask to be let in, in a new life. */
    private void steady(double now) {
        if (now - outHeardAt > 2 * pace.probePeriodMs()) outSteadySince = Double.NaN;
        else if (Double.isNaN(outSteadySince)) outSteadySince = now;
        if (Double.isNaN(outSteadySince) || now - outSteadySince < hold(peer(name).fact.evictions())) return;
        anew(incarnation + 1);
    }

    private double hold(int turn) {
        return turn <= 0 ? 0 : pace.rejoinDelayMs() * (1 << Math.min(turn - 1, MOST_DOUBLINGS));
    }

    /** Nobody of the view that it wants to be in is to be heard any more: it is its own again, and looks for others. */
    private void beginAnew(double now) {
        counters.add(FleetCounters.Event.RESTARTED_ALONE);
        for (Map.Entry<String, PeerState> e : peers.entrySet()) {
            MemberRecord f = e.getValue().fact;
            if (f == null || e.getKey().equals(name)) continue;
            Address a = new Address(f.host(), f.port());
            if (f.in() && contacts.size() < MOST_CONTACTS && !contacts.contains(a)) contacts.add(a);
            e.getValue().fact = null;
            e.getValue().candidate = null;
        }
        PeerState self = peer(name);
        if (self.fact != null && !self.fact.in()) incarnation++;
        self.candidate = null;
        self.fact = own();
        viewHeardAt = now;
        adopt(viewOf(view.number + 1), ViewCause.STARTED, now);
    }

    private void anew(long to) {
        incarnation = to;
        counters.add(FleetCounters.Event.NEW_INCARNATION);
        candidate(own());
        phase = Phase.EVICTED;
        become(Phase.JOINING);
    }

    private void candidate(MemberRecord f) {
        peer(f.name()).candidate = f;
        candidates.add(f.name());
        rumours.tell(new Candidate(f));
    }

    /** Two processes by this name: the later one stays. This one has not been heard of by the other, or it is gone. */
    private void takeOver() {
        long above = rival.incarnation() + 1;
        rival = null;
        if (above > incarnation) anew(above);
    }

    public List<Send> leave(double now) {
        out.clear();
        if (over() || view == null) return out;
        if (phase == Phase.IN) {
            MemberRecord f = own().with(MemberRecord.Status.LEFT, own().evictions());
            rumours.tell(new Candidate(f));
            for (int i = 0; i < FAREWELLS && view.size() > 1; i++) {
                MemberRecord to = view.member((view.place(name) + 1 + i) % view.size());
                if (!to.name().equals(name)) send(to.host(), to.port(), Kind.PING, to.name(), ++seq, "", false);
            }
            for (LinkMonitor w : watches.values()) {
                MemberRecord to = peers.get(w.name).latest();
                send(to.host(), to.port(), Kind.PING, w.name, ++seq, "", false);
            }
        }
        become(Phase.LEFT);
        return out;
    }

    // ---- messages ----

    public List<Send> onMessage(double now, Message m) {
        out.clear();
        if (over() || view == null) return out;
        if (!m.to().isEmpty() && !m.to().equals(name) || m.from().equals(name) && m.kind() != Kind.NAME_REPLY
            && m.kind() != Kind.NAME_QUERY) {
            counters.add(FleetCounters.Event.MISADDRESSED);
            return out;
        }
        PeerState from = peers.get(m.from());
        if (from != null && from.fact != null && m.incarnation() < from.life() && m.kind() != Kind.NAME_QUERY) {
            counters.add(FleetCounters.Event.STALE_INCARNATION);
            tellOfLater(m, from.latest(), now);
            return out;
        }
        LinkMonitor w = watches.get(m.from());
        if (w != null) w.inWorked = now;
        if (view.contains(m.from())) viewHeardAt = now;
        for (GossipItem i : m.items()) absorb(i, now);
        switch (m.kind()) {
            case PING, JOIN -> reply(m, Kind.ACK, "", false);
            case ACK -> {
                if (w != null && current(w, m.seq())) w.answered(now, true, true);
                if (m.viewDigest() == view.digest) lastAnswer = now;
                outHeardAt = now;
            }
            case PING_REQUEST -> {
                PeerState p = peers.get(m.subject());
                if (p == null || p.fact == null) break;
                MemberRecord f = p.latest();
                send(f.host(), f.port(), Kind.PROXY_PING, m.subject(), m.seq(), m.from(), false);
            }
            case PROXY_PING -> reply(m, Kind.PROXY_ACK, m.subject(), hadPing(m.subject(), m.seq()));
            case PROXY_ACK -> {
                PeerState p = peers.get(m.subject());
                if (p == null || p.fact == null) break;
                MemberRecord f = p.latest();
                send(f.host(), f.port(), Kind.PING_REQUEST_ACK, m.subject(), m.seq(), m.from(), m.pingReceived());
            }
            case PING_REQUEST_ACK -> {
                LinkMonitor about = watches.get(m.subject());
                if (about != null && current(about, m.seq())) about.answered(now, false, m.pingReceived());
            }
            case VIEW_REQUEST -> out.add(new Send(m.host(), m.port(), message(Kind.VIEW, m.from(), m.seq(), "", false,
                facts())));
            case VIEW -> merge(m, now);
            case NAME_QUERY -> {
                if (m.seq() == 0) reply(m, Kind.NAME_REPLY, "", false);
            }
            case ADMIN, POLICY -> { }                    // the edge's
            case NAME_REPLY -> {
                if (rival != null && m.incarnation() == rival.incarnation()) rivalAnswers(now);
            }
        }
        if (m.kind() == Kind.PING) lastPing.put(m.from(), m.seq());
        if (!over() && m.kind() != Kind.VIEW && m.kind() != Kind.NAME_QUERY && m.kind() != Kind.NAME_REPLY) {
            compare(m, now);
        }
        return out;
    }

    /**
     * One that runs under a name that another has taken since has to hear of it, and one whose clock went back and that
     * kept nothing that there were later lives of its own; seldom, as it may be an echo, which harms nobody.
     */
    private void tellOfLater(Message m, MemberRecord later, double now) {
        if (now - toldOfLater < pace.probePeriodMs()) return;
        toldOfLater = now;
        out.add(new Send(m.host(), m.port(), new Message(Kind.ACK, name, incarnation, host, port, m.from(), 0, "",
            false, view.number, view.digest, List.of(new Candidate(later)), null)));
    }

    /** By watcher, the number of its last question that came straight. */
    private final Map<String, Integer> lastPing = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override protected boolean removeEldestEntry(Map.Entry<String, Integer> e) {
            return size() > 64;
        }
    };

    private boolean hadPing(String from, int number) {
        Integer n = lastPing.get(from);
        return n != null && n == number;
    }

    /** An answer to this round's question, or to one of the last few. */
    private boolean current(LinkMonitor w, int number) {
        return number == w.asked || number > w.asked - 4 * (watches.size() + 4) && number < w.asked;
    }

    /** The system says that nobody holds that port. */
    public void onConnectionRefused(String atHost, int atPort) {
        for (LinkMonitor w : watches.values()) {
            MemberRecord f = peers.get(w.name).latest();
            if (f.port() == atPort && f.host().equals(atHost)) w.refused = true;
        }
    }

    /** Another view under a number as high as ours, for longer than a change takes to spread: it is asked for. */
    private void compare(Message m, double now) {
        if (m.viewDigest() == view.digest) {
            if (m.viewNumber() > view.number) {
                view = view.numbered(m.viewNumber());
                news.onViewChange(view, apart, ViewCause.RENUMBERED);
            }
            return;
        }
        boolean lonely = view.size() == 1 || phase != Phase.IN;
        if (m.viewNumber() < view.number && !lonely && peers.containsKey(m.from()) && view.contains(m.from())) return;
        if (Double.isNaN(mismatchSince)) mismatchSince = now;
        if (!lonely && now - mismatchSince < 3 * pace.probePeriodMs() || now - wantedAt < 2 * pace.probePeriodMs()) {
            return;
        }
        wantedAt = now;
        counters.add(FleetCounters.Event.VIEW_REQUESTED);
        out.add(new Send(m.host(), m.port(), message(Kind.VIEW_REQUEST, m.from(), ++seq, "", false, null)));
    }

    private List<MemberRecord> facts() {
        List<MemberRecord> all = new ArrayList<>(peers.size());
        for (PeerState p : peers.values()) if (p.fact != null) all.add(p.fact);
        return all;
    }

    private void merge(Message m, double now) {
        List<MemberRecord> told = m.viewMembers();
        if (told == null) return;
        boolean strangers = true;
        int in = 0;
        for (MemberRecord f : told) {
            if (f.in()) in++;
            if (f.in() && view.contains(f.name()) && !f.name().equals(name)) strangers = false;
        }
        if (view.size() == 1 && view.contains(name) && told.stream().noneMatch(f -> f.name().equals(name) && f.in())
            || strangers) {
            if (strangers && !joins(in, m.viewDigest())) return;
            adoptOthers(told, m.viewNumber(), now);
            return;
        }
        boolean changed = false;
        for (MemberRecord f : told) {
            if (f.name().equals(name) && !fits(f, now)) continue;
            PeerState p = peer(f.name());
            MemberRecord merged = MemberRecord.merge(p.fact, f);
            if (merged.equals(p.fact)) continue;
            changed = true;
            p.ended = false;
            if (!merged.in()) p.outAt = now;
            p.fact = merged;
        }
        if (over()) return;
        View v = viewOf(Math.max(view.number, m.viewNumber()));
        if (v.digest == m.viewDigest()) {
            if (v.digest != view.digest) adopt(v, ViewCause.RECEIVED, now);
        } else if (v.digest != view.digest) {
            adopt(v.numbered(v.number + 1), ViewCause.MERGED, now);
        } else if (!changed && m.viewNumber() >= view.number) {
            // All that is told there is known here, and more: under a higher number the other will ask for it.
            view = view.numbered(m.viewNumber() + 1);
            news.onViewChange(view, apart, ViewCause.RENUMBERED);
        }
    }

    /** Of two views that share nobody the smaller asks to join the larger, of equals the one of lower digest. */
    private boolean joins(int theirSize, long theirDigest) {
        return theirSize != view.size() ? theirSize > view.size() : Long.compareUnsigned(view.digest, theirDigest) < 0;
    }

    private void adoptOthers(List<MemberRecord> told, long number, double now) {
        List<MemberRecord> ours = view.members();
        for (MemberRecord f : ours) {
            PeerState p = peer(f.name());
            if (p.candidate == null || f.over(p.candidate)) candidate(f);
            p.fact = null;
        }
        for (MemberRecord f : told) {
            if (f.name().equals(name) && f.incarnation() >= incarnation) incarnation = f.incarnation() + 1;
            peer(f.name()).fact = MemberRecord.merge(peer(f.name()).fact, f);
        }
        candidate(own());
        adopt(viewOf(Math.max(number, view.number)), ViewCause.RECEIVED, now);
    }

    private View viewOf(long number) {
        List<MemberRecord> in = new ArrayList<>();
        for (PeerState p : peers.values()) if (p.fact != null && p.fact.in()) in.add(p.fact);
        return new View(number, in, pace.rings());
    }

    /** What is told of this name; false where it must not be taken as it is. */
    private boolean fits(MemberRecord f, double now) {
        if (f.incarnation() > incarnation) {
            if (f.host().equals(host) && f.port() == port) anew(f.incarnation() + 1);
            else if (rival == null || f.incarnation() > rival.incarnation()) {
                rival = f;
                rivalAt = now;
                out.add(new Send(f.host(), f.port(), message(Kind.NAME_QUERY, "", 0, "", false, null)));
            }
            return false;
        }
        return true;
    }

    private void rivalAnswers(double now) {
        if (now - startedAt < NEWCOMER) {
            takeOver();
            return;
        }
        counters.add(FleetCounters.Event.SUPERSEDED);
        become(Phase.SUPERSEDED);
    }

    // ---- what rides on messages ----

    private void absorb(GossipItem item, double now) {
        if (item instanceof Accusation a) accusation(a, now);
        else if (item instanceof Refutation r) refutal(r, now);
        else if (item instanceof Candidate c) candidate(c.member(), now);
        else if (item instanceof Proposal p) proposal(p, now);
    }

    private void accuse(LinkMonitor w, double now) {
        PeerState p = peers.get(w.name);
        LinkStatus before = w.told;
        w.told = w.should(pace.suspicionRounds() + health / 2);
        if (w.told == LinkStatus.FINE && before != LinkStatus.FINE) w.clearedAt = now;
        counters.add(w.told == LinkStatus.FINE ? FleetCounters.Event.CLEARED : FleetCounters.Event.ACCUSED);
        Accusation a = new Accusation(name, incarnation, w.name, p.life(), ++w.seq, w.told);
        take(a, p, now);
    }

    private void take(Accusation a, PeerState p, double now) {
        p.accuse(a, now);
        accused.add(a.subject());
        rumours.tell(a);
    }

    private void accusation(Accusation a, double now) {
        if (a.watcher().equals(name)) return;
        if (a.subject().equals(name)) {
            // Only what is newer than the last word against it has to be answered.
            PeerState self = peer(name);
            Accusation before = self.accusation(a.watcher());
            boolean known = before != null && before.watcherIncarnation() == a.watcherIncarnation()
                && before.seq() >= a.seq();
            if (known || a.incarnation() != incarnation) return;
            self.accuse(a, now);
            if (a.linkStatus() != LinkStatus.FINE) refute();
            return;
        }
        PeerState p = peers.get(a.subject());
        if (p == null || p.fact == null || a.incarnation() != p.life()) return;
        Accusation before = p.accusation(a.watcher());
        if (before != null && (before.watcherIncarnation() > a.watcherIncarnation()
            || before.watcherIncarnation() == a.watcherIncarnation() && before.seq() >= a.seq())) return;
        take(a, p, now);
    }

    private void refute() {
        counters.add(FleetCounters.Event.REFUTED);
        health = Math.min(MOST_HEALTH, health + 1);
        rumours.tell(new Refutation(name, incarnation, ++refutals));
    }

    private void refutal(Refutation r, double now) {
        PeerState p = peers.get(r.name());
        if (p == null || p.fact == null || r.name().equals(name) || r.incarnation() != p.life()) return;
        if (p.refutal != null && p.refutal.incarnation() == r.incarnation() && p.refutal.count() >= r.count()) return;
        p.refutal = r;
        p.refutedAt = now;
        rumours.tell(r);
    }

    private void candidate(MemberRecord f, double now) {
        if (f.name().equals(name)) {
            fits(f, now);
            return;
        }
        PeerState p = peer(f.name());
        if (p.fact != null && !f.over(p.fact) || p.candidate != null && !f.over(p.candidate)) return;
        p.candidate = f;
        candidates.add(f.name());
        rumours.tell(new Candidate(f));
        LinkMonitor w = watches.get(f.name());
        if (w != null) w.silentRounds = 0;
    }

    // ---- judging ----

    private PeerState peer(String of) {
        return peers.computeIfAbsent(of, k -> new PeerState());
    }

    private void judgeAll(double now) {
        accused.removeIf(n -> {
            PeerState p = peers.get(n);
            int place = view.place(n);
            if (p == null || place < 0) return true;
            judge(n, p, place, now);
            return p.judged == MemberHealth.FINE && p.accusing == 0;
        });
    }

    /** By the word of its watchers; beyond LOW of them a watcher that is doubtful itself counts as one, too. */
    private void judge(String of, PeerState p, int place, double now) {
        int[] by = view.watchers(place);
        int said = 0, refusals = 0, beside = 0;
        for (int w : by) {
            MemberRecord watcher = view.member(w);
            Accusation a = p.accusation(watcher.name());
            PeerState wp = peers.get(watcher.name());
            boolean counts = a != null && a.linkStatus() != LinkStatus.FINE && a.incarnation() == p.life()
                && now - p.saidAt(watcher.name()) < SAID_HOLDS
                && (a.watcherIncarnation() == wp.life() || a.watcherIncarnation() == watcher.incarnation());
            // The word of one that is silent itself is not news any more: it may never be taken back.
            boolean silent = wp.judged == MemberHealth.SILENT;
            if (counts && !silent) said++;
            if (counts && !silent && a.linkStatus() == LinkStatus.REFUSED) refusals++;
            if (silent || !counts && wp.judged == MemberHealth.UNSTABLE) beside++;
        }
        int low = pace.low(by.length), high = pace.high(by.length);
        int accusing = said >= low ? said + beside : said;
        MemberHealth next = p.judged.next(accusing, low, high);
        p.accusing = accusing;
        p.refusals = refusals + (said >= low ? beside : 0);
        p.confirming = accusing - high;
        if (next == p.judged) return;
        counters.addTransition(p.judged, next);
        news.onHealthChange(of, p.judged, next, accusing);
        if (next == MemberHealth.SILENT) p.silentSince = now;
        if (next == MemberHealth.UNSTABLE) p.unstableSince = now;
        p.judged = next;
    }

    /** It has answered this very director lately: whatever others say, there is a way to it and back. */
    private boolean answersHere(String of, double now) {
        LinkMonitor w = watches.get(of);
        return w != null && now - w.roundTrip < pace.suspicionRounds() * pace.probePeriodMs();
    }

    /** Silent for long enough, or this share of it, without a word of its own: it may be put out. */
    private boolean ripe(PeerState p, int watchers, double share, double now) {
        if (p.judged != MemberHealth.SILENT) return false;
        double since = now - Math.max(p.silentSince, p.refutedAt);
        if (p.refusals >= pace.high(watchers)) return since >= pace.proposalDelayMs();
        int high = pace.high(watchers);
        return since >= share * pace.silentFor(view.size(), p.confirming, watchers - high);
    }

    private void seeWhetherApart(double now) {
        int works = 0, silent = 0;
        double lately = 3 * pace.probePeriodMs() * (1 + health / 4.0);
        for (LinkMonitor w : watches.values()) if (now - w.roundTrip < lately) works++;
        for (String n : accused) if (peers.get(n).judged == MemberHealth.SILENT) silent++;
        boolean is = view.size() > 1 && phase != Phase.EVICTED
            && (2 * works < watches.size() || 2 * silent >= view.size());
        if (is == apart) return;
        apart = is;
        // What it could not hear while it was apart, others may have heard: silence counts from now.
        if (!is) for (String n : accused) peers.get(n).silentSince = now;
        counters.add(is ? FleetCounters.Event.PARTITIONED : FleetCounters.Event.PARTITION_HEALED);
        news.onViewChange(view, apart, ViewCause.PARTITION_CHANGED);
    }

    // ---- changes of view ----

    private void propose(double now) {
        if (phase != Phase.IN && !view.contains(name) || apart || now < steadyAt) return;
        ballot.expire(now);
        for (Proposal p : ballot.open()) vote(p, now);
        BitSet gone = new BitSet();
        boolean unstable = false;
        for (String n : accused) {
            PeerState p = peers.get(n);
            int place = view.place(n);
            if (place < 0) continue;
            if (!answersHere(n, now) && ripe(p, view.watchers(place).length, 1, now)) gone.set(place);
            unstable |= p.judged == MemberHealth.UNSTABLE && now - p.unstableSince < UNSTABLE_HOLDS_UP;
        }
        List<Long> in = new ArrayList<>();
        List<MemberRecord> named = new ArrayList<>();
        for (Map.Entry<String, PeerState> e : waiting().entrySet()) {
            PeerState p = e.getValue();
            int place = view.place(e.getKey());
            if (p.candidate.status() == MemberRecord.Status.LEFT) {
                if (place >= 0) gone.set(place);
            } else if (in.size() < MOST_IN_A_BATCH && now - p.outAt >= hold(p.candidate.evictions()) / 2) {
                in.add(p.candidate.mark());
                named.add(p.candidate);
                if (place >= 0) gone.clear(place);
            }
        }
        // While one is open nobody's turn runs: else all whose turn has passed would propose at once when it ends.
        if (!ballot.open().isEmpty() || gone.isEmpty() && in.isEmpty() || unstable && !gone.isEmpty()) {
            proposableSince = Double.NaN;
            return;
        }
        if (Double.isNaN(proposableSince)) {
            proposableSince = now;
            // Wider with each try that came to nothing: two whose turns fall together do not stay in step.
            proposeJitter = chance.nextDouble() * pace.probePeriodMs() * (1 << Math.min(tries, MOST_DOUBLINGS));
        }
        if (now - proposableSince < pace.proposalDelayMs() + turnToPropose() * 2 * pace.probePeriodMs()
            + proposeJitter) return;
        proposableSince = Double.NaN;
        tries++;
        counters.add(FleetCounters.Event.PROPOSED);
        for (MemberRecord f : named) rumours.tell(new Candidate(f));     // who does not know them can't agree
        proposal(new Proposal(view.digest, view.number, ballot.nextRound(), name, gone, List.copyOf(in), new BitSet()),
            now);
    }

    /** Candidates that stand over what the view has. */
    private Map<String, PeerState> waiting() {
        Map<String, PeerState> all = new TreeMap<>();
        candidates.removeIf(n -> {
            PeerState p = peers.get(n);
            if (p == null || p.candidate == null) return true;
            if (p.candidate.over(p.fact)) {
                all.put(n, p);
                return false;
            }
            p.candidate = null;
            return true;
        });
        return all;
    }

    /** Who is to make the next change, by an order that all with this view share: the others wait for it. */
    private int turnToPropose() {
        long mine = View.mix(View.hash(name) ^ view.digest);
        int before = 0;
        for (MemberRecord f : view.members()) {
            if (peers.get(f.name()).judged == MemberHealth.SILENT) continue;
            if (Long.compareUnsigned(View.mix(View.hash(f.name()) ^ view.digest), mine) < 0) before++;
        }
        return Math.min(before, 30);
    }

    private void proposal(Proposal p, double now) {
        if (!ballot.concerns(p)) return;
        int before = ballot.open().stream().filter(o -> o.key().equals(p.key())).mapToInt(o -> o.votes().cardinality())
            .findAny().orElse(-1);
        Proposal known = ballot.heard(p, now);
        if (known.votes().cardinality() > Math.max(0, before)) rumours.tell(known);
        vote(known, now);
    }

    private void vote(Proposal p, double now) {
        if (!ballot.concerns(p)) return;                // it may have been carried, or closed, just before
        Proposal voted = p;
        int self = view.place(name);
        if (self >= 0 && ballot.mayVote(p) && agrees(p, now)) {
            voted = ballot.votes(p, self, now);
            news.onVote(p.baseDigest(), p.round());
            rumours.tell(voted);
        }
        if (ballot.isCarried(voted)) apply(voted, now);
    }

    private boolean agrees(Proposal p, double now) {
        if (now < steadyAt) return false;
        if (!p.joining().isEmpty()) {
            Set<Long> known = new HashSet<>();
            for (PeerState w : waiting().values()) known.add(w.candidate.mark());
            if (!known.containsAll(p.joining())) return false;
        }
        for (int i = p.leaving().nextSetBit(0); i >= 0; i = p.leaving().nextSetBit(i + 1)) {
            if (i >= view.size()) return false;
            String n = view.member(i).name();
            PeerState s = peers.get(n);
            boolean left = s.candidate != null && s.candidate.status() == MemberRecord.Status.LEFT;
            // By its own books, a little sooner than it would propose it itself.
            if (n.equals(name)) return false;
            if (!left && (answersHere(n, now) || !ripe(s, view.watchers(i).length, AGREES_AT, now))) return false;
        }
        return true;
    }

    private void apply(Proposal p, double now) {
        Map<Long, PeerState> byMark = new HashMap<>();
        for (PeerState w : waiting().values()) byMark.put(w.candidate.mark(), w);
        // Not all is known here yet: it comes, or is asked for.
        if (!byMark.keySet().containsAll(p.joining())) return;
        for (int i = p.leaving().nextSetBit(0); i >= 0; i = p.leaving().nextSetBit(i + 1)) {
            MemberRecord f = view.member(i);
            PeerState s = peers.get(f.name());
            boolean left = s.candidate != null && s.candidate.status() == MemberRecord.Status.LEFT;
            s.fact = left ? s.candidate : f.with(MemberRecord.Status.EVICTED, f.evictions() + 1);
            s.ended = left || s.refusals >= pace.high(view.watchers(i).length);
            s.outAt = now;
        }
        for (long mark : p.joining()) {
            PeerState s = byMark.get(mark);
            s.fact = MemberRecord.merge(s.fact, s.candidate);
            s.ended = false;
        }
        counters.add(FleetCounters.Event.VIEW_CHANGED);
        adopt(viewOf(Math.max(p.baseNumber(), view.number) + 1), ViewCause.VOTED, now);
    }

    private void adopt(View anew, ViewCause cause, double now) {
        View before = view;
        view = shared.apply(anew);
        ballot = new Ballot(view);
        tries = 0;
        mismatchSince = proposableSince = Double.NaN;
        waiting();
        for (String n : List.copyOf(accused)) {
            if (view.of(n) != null && view.of(n).equals(before.of(n))) continue;
            peers.get(n).nobodyAccuses();
            accused.remove(n);
        }
        MemberRecord self = view.of(name);
        boolean in = self != null && self.incarnation() == incarnation;
        MemberRecord own = peer(name).fact;
        if (in) become(Phase.IN);
        else if (own != null && !own.in() && own.incarnation() == incarnation) {
            outSteadySince = Double.NaN;
            become(Phase.EVICTED);
        } else if (phase != Phase.EVICTED) {
            if (peer(name).candidate == null || peer(name).candidate.incarnation() != incarnation) candidate(own());
            become(Phase.JOINING);
        }
        rewatch(now);
        news.onViewChange(view, apart, cause);
    }

    private void rewatch(double now) {
        Map<String, LinkMonitor> old = new HashMap<>(watches);
        watches.clear();
        int self = view.place(name);
        if (self < 0) return;
        for (int s : view.watched(self)) {
            String n = view.member(s).name();
            LinkMonitor w = old.get(n);
            if (w == null) {
                w = new LinkMonitor(n);
                w.roundTrip = now;                       // it begins with a round of grace
            }
            watches.put(n, w);
        }
    }

    /** Names that are gone for long; nothing grows with time. */
    private void forget(double now) {
        if (chance.nextInt(64) != 0) return;
        peers.entrySet().removeIf(e -> {
            PeerState p = e.getValue();
            if (view.contains(e.getKey()) || e.getKey().equals(name)) return false;
            if (p.knownAt == 0) p.knownAt = now;
            return now - Math.max(p.knownAt, p.outAt) > pace.forgetAfterMs();
        });
    }

    // ---- sending ----

    private Message message(Kind k, String to, int number, String about, boolean heard, List<MemberRecord> state) {
        int times = 3 + (int) (3 * Math.log(1 + view.size()));
        List<GossipItem> items = k == Kind.VIEW || k == Kind.VIEW_REQUEST || k == Kind.NAME_QUERY
            || k == Kind.NAME_REPLY ? List.of() : rumours.some(times);
        if (phase == Phase.JOINING && k == Kind.JOIN) {
            List<GossipItem> all = new ArrayList<>(items);
            all.add(new Candidate(own()));
            items = all;
        }
        return new Message(k, name, incarnation, host, port, to, number, about, heard, view.number, view.digest, items,
            state);
    }

    private void send(String toHost, int toPort, Kind k, String to, int number, String about, boolean heard) {
        out.add(new Send(toHost, toPort, message(k, to, number, about, heard, null)));
    }

    private void reply(Message m, Kind k, String about, boolean heard) {
        send(m.host(), m.port(), k, m.from(), m.seq(), about, heard);
    }

    // ---- for those who ask ----

    /**
     * How many names took part and can no longer: they said so, or their watchers found nobody at their port. Who is
     * merely silent may be cut off, and go on.
     */
    public int endedCount() {
        int n = 0;
        for (PeerState p : peers.values()) if (p.ended && p.fact != null && !p.fact.in() && p.candidate == null) n++;
        return n;
    }

    /** It takes part, sees most of the fleet, and is not late: what the others decide reaches it. */
    public boolean isUpToDate(double now) {
        boolean hears = view.size() == 1 || now - lastAnswer < 3 * pace.probePeriodMs();
        return phase == Phase.IN && !apart && now >= steadyAt && Double.isNaN(mismatchSince) && hears;
    }

    /** Where a name is reached, or was last; null where it is not known. */
    public Address addressOf(String of) {
        PeerState p = peers.get(of);
        if (p == null || p.fact == null && p.candidate == null) return null;
        MemberRecord f = p.latest();
        return new Address(f.host(), f.port());
    }

    /** Where each name of the view is reached, for the next start. */
    public List<Address> addresses() {
        List<Address> all = new ArrayList<>();
        for (MemberRecord f : view.members()) if (!f.name().equals(name)) all.add(new Address(f.host(), f.port()));
        return all;
    }

    /** One line for each edge and each watcher's word about a name. */
    public List<String> explain(String of, double now) {
        List<String> all = new ArrayList<>();
        PeerState p = peers.get(of);
        if (p == null || p.fact == null) return all;
        MemberRecord f = p.latest();
        all.add(of + " is " + p.fact.status() + " in life " + f.incarnation() + " at " + f.host() + ":" + f.port()
            + ", judged " + p.judged + " by " + p.accusing + " of its watchers, taken out " + p.fact.evictions()
            + " times");
        int place = view.place(of);
        if (place >= 0) for (int w : view.watchers(place)) {
            String n = view.member(w).name();
            Accusation a = p.accusation(n);
            all.add("watched by " + n + ": " + (a == null ? LinkStatus.FINE : a.linkStatus())
                + (peers.get(n).judged == MemberHealth.FINE ? "" : ", which is " + peers.get(n).judged + " itself"));
        }
        LinkMonitor own = watches.get(of);
        if (own != null) all.add("watched from here: " + own.way(now, 4 * pace.probePeriodMs()) + ", "
            + own.silentRounds + " rounds without a word");
        if (p.judged == MemberHealth.SILENT) all.add("silent for " + Math.round(now - p.silentSince) + " ms"
            + (p.refutedAt > p.silentSince ? ", its own word " + Math.round(now - p.refutedAt) + " ms ago" : ""));
        return all;
    }
}
