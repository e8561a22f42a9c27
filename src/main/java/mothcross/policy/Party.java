package mothcross.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;
import mothcross.policy.Change.Stage;

/**
 * One director's whole part in changes of the policy: what it holds, the voter where it is one, the writer that it
 * tries steps with, and the driver. Time, chance, messages and the ends of writes are passed in; what is to be sent and
 * written comes back. Owns who is told what and when; must never send what rests on a write before that has ended.
 * docs/design/policy-change.md has the promises by number.
 */
public final class Party {
    public record Send(String to, Said what) { }

    /** What the edge has to do before it sends what comes with it, in this order. */
    public sealed interface Work { }

    /** To be kept and synced; then {@link #synced}. */
    public record KeepVoter(Voter.State state) implements Work { }

    public record KeepBook(Book book) implements Work { }

    /** To be compared with its digest, compiled, kept and synced; then {@link #checked}. */
    public record Check(String digest, byte[] bytes) implements Work { }

    public record Drop(String digest) implements Work { }

    /** From now on it decides by this plan; lookups under way keep what they began with. */
    public record Take(Plan plan) implements Work { }

    /** What is to be told to operators' logs. */
    public record Tell(String what, Map<String, Object> with) implements Work { }

    /** What a Party counts; each number only grows. */
    public enum Count { WRITES_BEGUN, WRITES_DONE, WRITES_LOST, SYNCS, DECIDED_HEARD, LEASES, LEASE_REFUSALS, POLLS,
        TAKEOVERS, DOUBTS_ENDED }

    private static final double AGAIN = 200, LEARN = 300, ENROL = 500, POLL = 250, IDLE_LEARN = 3000, TAKEOVER = 1500,
        RANK = 700, LOST_MIN = 50, LOST_RANDOM = 250, SAYS_AGAIN = 1000, FETCH_AGAIN = 400;
    private static final int MOST_RANKS = 20, MOST_TRIED = 64;

    public final String name;
    private final String host;
    private final int port;
    private final Set<String> founders;
    private final Supplier<Collection<String>> contacts;
    private final SplittableRandom chance;
    private final Voter voter;
    private final Holder holder;
    private final Writer writer;
    private final Driver driver = new Driver();
    private final Texts texts = new Texts();
    private final List<Send> out = new ArrayList<>();
    private final List<Work> works = new ArrayList<>();
    // The last whole book heard of: it may be older than the holder's, and then no step is tried from it.
    private Book whole;
    private boolean leaving, left;
    private double nextAt = Double.NEGATIVE_INFINITY;
    private double writerSaid, writerAgainAt = Double.NEGATIVE_INFINITY;
    private double learnAt = Double.NEGATIVE_INFINITY, enrolAt = Double.NEGATIVE_INFINITY;
    private double pollAt = Double.NEGATIVE_INFINITY, fetchAt = Double.NEGATIVE_INFINITY;
    private double saidAt = Double.NEGATIVE_INFINITY, leaveAt = Double.NEGATIVE_INFINITY;
    private double otherDrove = Double.NEGATIVE_INFINITY;
    private boolean drives;
    private double doubtsSince = Double.NaN;                // something later may be decided than is known here
    private Turn undecided = Turn.NONE;                     // what was accepted in it was found not to be decided
    private Said.AskThem pointed;
    private String fetchedFirst = "";
    private Said.Standing saidLast;
    private long taken = -1;
    private final Map<String, Book.Seat> enrols = new LinkedHashMap<>();
    private final Map<String, Long> leaves = new LinkedHashMap<>();
    // What operators asked for, in order, and how it went; by a key of theirs.
    private final Map<String, Move> asked = new LinkedHashMap<>();
    private final Map<String, String> outcomes = new LinkedHashMap<>();
    private final Map<String, String> marksSeen = new TreeMap<>();
    public final long[] count = new long[Count.values().length];

    /**
     * {@code kept} is what was on disk: of the voter, null where this is none or its disk is new; the last book, null
     * where there is none; texts by digest. {@code mark} is drawn anew for a new disk. {@code founders} are named by
     * the operators' file; {@code contacts} are all that are known to be there, whether they vote or not.
     */
    public Party(String name, long life, String host, int port, Set<String> founders,
                 Supplier<Collection<String>> contacts, double leaseMs, Voter.State kept, String mark, Book book,
                     Map<String, byte[]> held,
                 SplittableRandom chance) {
        this.name = name;
        this.host = host;
        this.port = port;
        this.founders = new TreeSet<>(founders);
        this.contacts = contacts;
        this.chance = chance;
        voter = new Voter(name, this.founders, kept != null ? kept : Voter.State.blank(mark));
        holder = new Holder(name, life, book != null ? book : Book.first(Voters.named(founders), leaseMs));
        writer = new Writer(name, life, this.founders);
        whole = holder.known().whole() ? holder.known() : null;
        held.forEach((d, b) -> {
            texts.kept(d, b);
            holder.has(d, true);
        });
        driver.heard(holder.known(), Double.NEGATIVE_INFINITY);
    }

    public Holder holder() {
        return holder;
    }

    public Voter voter() {
        return voter;
    }

    public Driver driver() {
        return driver;
    }

    public Texts texts() {
        return texts;
    }

    public Book known() {
        return holder.known();
    }

    /** By name the mark that each voter last answered under. */
    public Map<String, String> marksSeen() {
        return marksSeen;
    }

    public double next() {
        return nextAt;
    }

    private boolean isVoter() {
        return known().voters().names().contains(name) || known().revision() == 0 && founders.contains(name);
    }

    private void count(Count c) {
        count[c.ordinal()]++;
    }

    private void tell(String what, Object... with) {
        Map<String, Object> m = new LinkedHashMap<>();
        for (int i = 0; i < with.length; i += 2) m.put((String) with[i], with[i + 1]);
        works.add(new Tell(what, m));
    }

    private void say(String to, Said what) {
        out.add(new Send(to, what));
    }

    public List<Send> sends() {
        List<Send> all = List.copyOf(out);
        out.clear();
        return all;
    }

    /** To be done before the sends are taken; {@link #synced} and {@link #checked} may bring more of both. */
    public List<Work> works() {
        List<Work> all = List.copyOf(works);
        works.clear();
        return all;
    }

    // ---- time ----

    public void tick(double now) {
        if (left) return;
        nextAt = now + 100;
        Book b = known();
        // Whoever is not seated asks what is decided, then for its seat; whoever is asks now and then.
        if (now >= learnAt) {
            boolean urgent = !holder.isSeated() || holder.stopped(now) != Holder.Stopped.NO;
            boolean needsWhole = drives && !isWholeNow();
            learnAt = now + (urgent || needsWhole ? LEARN : IDLE_LEARN * (0.8 + 0.4 * chance.nextDouble()));
            // The voters that it knows may all be gone: now and then anybody is asked who is one now.
            String v = urgent && chance.nextInt(4) == 0 ? anybody() : someVoter();
            if (v != null) say(v, new Said.Learn(b.revision(), needsWhole || isVoter()));
        }
        if (!holder.isSeated() && !leaving && now >= enrolAt) {
            enrolAt = now + ENROL * (0.7 + 0.6 * chance.nextDouble());
            Book.Seat former = b.roll().get(name);
            boolean here = former != null && former.host().equals(host) && former.port() == port;
            if (here && former.life() > holder.life()) holder.relives(former.life());
            Said.Enrol e = new Said.Enrol(holder.life(), host, port);
            String v = someVoter();
            if (v == null) on(now, name, e);
            else say(v, e);
        }
        if (leaving && now >= leaveAt) {
            leaveAt = now + AGAIN;
            String v = someVoter();
            if (v != null) say(v, new Said.Leave(holder.life()));
        }
        Said.MayI m = holder.asks(now);
        if (m != null) {
            count(Count.LEASES);
            for (String v : b.voters().names()) tell(v, m, now);
        }
        fetch(now);
        stand(now, false);
        drive(now);
        write(now);
    }

    /** A message to a voter, which may be this one. */
    private void tell(String v, Said what, double now) {
        if (v.equals(name)) on(now, name, what);
        else say(v, what);
    }

    private String anybody() {
        List<String> all = new ArrayList<>(contacts.get());
        all.remove(name);
        return all.isEmpty() ? someVoter() : all.get(chance.nextInt(all.size()));
    }

    /** Those that it knows as voters, and those that others know as later ones. */
    private String someVoter() {
        Set<String> names = new TreeSet<>(known().voters().names());
        if (pointed != null && pointed.voters() > known().voters().number()) names.addAll(pointed.names());
        List<String> all = new ArrayList<>(names);
        all.remove(name);
        return all.isEmpty() ? null : all.get(chance.nextInt(all.size()));
    }

    private boolean isWholeNow() {
        return whole != null && whole.revision() == known().revision();
    }

    // ---- texts ----

    private Set<String> wanted() {
        Set<String> all = new HashSet<>();
        Book b = known();
        all.add(b.plan().main());
        all.add(b.plan().trial());
        if (b.change() != null) {
            all.add(b.change().target().main());
            all.add(b.change().target().trial());
        }
        for (Move m : asked.values()) if (m instanceof Move.Propose p) all.add(p.digest());
        all.remove("");
        return all;
    }

    private void fetch(double now) {
        if (now < fetchAt) return;
        fetchAt = now + FETCH_AGAIN;
        for (String d : wanted()) {
            texts.wants(d);
            if (!texts.isWanted(d)) continue;
            String from = source(d);
            if (from != null) say(from, new Said.Fetch(d, texts.from(d)));
        }
    }

    /** First whoever brought it, who has it for sure; then any that may have it by now. */
    private String source(String digest) {
        Change by = known().change();
        boolean first = !digest.equals(fetchedFirst);
        fetchedFirst = digest;
        if (first && by != null && by.digest().equals(digest) && !by.by().equals(name)) return by.by();
        List<String> all = new ArrayList<>(known().voters().names());
        Change c = known().change();
        if (c != null && !all.contains(c.by())) all.add(c.by());
        if (whole != null) for (String n : whole.roll().keySet()) if (all.size() < 16 && !all.contains(n)) all.add(n);
        all.remove(name);
        return all.isEmpty() ? null : all.get(chance.nextInt(all.size()));
    }

    /** The edge's word on a text: {@code why} null, and it is on disk; "" where its bytes do not have the digest. */
    public void checked(double now, String digest, byte[] bytes, String why) {
        if (why == null) {
            texts.kept(digest, bytes);
            holder.has(digest, true);
            tell("policy: text kept", "digest", digest, "bytes", bytes.length);
            takes();
        } else if (why.isEmpty()) {
            texts.spoilt(digest);
        } else {
            texts.atFault(digest, why);
            tell("policy: text refused", "digest", digest, "why", why);
        }
        stand(now, true);
    }

    /** A text that an operator brings; it is checked here first. */
    public void bring(String digest, byte[] bytes) {
        texts.checks(digest);
        works.add(new Check(digest, bytes));
    }

    private void dropOthers() {
        Book b = known();
        Set<String> wanted = wanted();
        // Without a change under way, the one before stays, to be taken back to at once.
        if (b.change() == null && texts.all().size() <= 2) return;
        if (b.change() == null && !b.lately().isEmpty()) wanted.add(before(b));
        for (String gone : texts.keepOnly(wanted)) {
            holder.has(gone, false);
            works.add(new Drop(gone));
        }
    }

    /** The text that was in force before the one that is. */
    public static String before(Book b) {
        String now = b.plan().main();
        List<Book.Ended> all = b.lately();
        for (int i = all.size() - 1; i >= 0; i--) {
            if (all.get(i).outcome() == Book.Outcome.COMMITTED && !all.get(i).digest().equals(now)) {
                return all.get(i).digest();
            }
        }
        return "";
    }

    // ---- what is decided ----

    private void heard(Book b, double now) {
        if (b.whole() && (whole == null || b.revision() > whole.revision())) whole = b;
        boolean wasSeated = holder.isSeated();
        Book before = known();
        if (!holder.heard(b)) return;
        count(Count.DECIDED_HEARD);
        driver.heard(known(), now);
        boolean planned = before.plan().number() != b.plan().number();
        Change c = b.change(), o = before.change();
        boolean staged = (c == null) != (o == null) || c != null && o != null && c.since() != o.since();
        if (staged || planned) {
            otherDrove = now;
            boolean same = c != null && o != null && o.id().equals(c.id());
            boolean goesOn = same && o.stage() != Stage.TRIAL;
            drives = c != null && (goesOn ? drives : c.by().equals(name));
            tell("policy: decided", "revision", b.revision(), "plan", b.plan().number(), "change", c == null ? ""
                : c.id(), "stage", c == null ? "" : c.stage(), "outcome", b.lately().isEmpty() ? ""
                : b.lately().get(b.lately().size() - 1).outcome());
        }
        if (wasSeated && !holder.isSeated() && !leaving) tell("policy: has no seat any more", "revision", b.revision());
        if (leaving && !holder.isSeated()) left = true;
        if (staged || planned || b.voters().number() != before.voters().number()) works.add(new KeepBook(b));
        enrols.entrySet().removeIf(e -> b.whole() && b.seats(e.getKey(), e.getValue().life()));
        leaves.entrySet().removeIf(e -> b.whole() && b.seat(e.getKey(), e.getValue()) == null);
        fetchAt = Double.NEGATIVE_INFINITY;
        takes();
        fetch(now);
        stand(now, true);
        dropOthers();
    }

    private void takes() {
        if (holder.plan() < 0 || holder.plan() == taken) return;
        taken = holder.plan();
        works.add(new Take(known().plan()));
        tell("policy: taken up", "plan", taken, "revision", known().revision());
    }

    // ---- how far this director is ----

    /** Says how far it is where that is news, or was said long ago; to the voters and to whom began the change. */
    private void stand(double now, boolean atOnce) {
        Change c = known().change();
        if (c == null || c.stage() == Stage.TRIAL || !holder.isSeated()) {
            saidLast = null;
            return;
        }
        Said.Standing s = standing(now);
        if (s.equals(saidLast) && (atOnce || now - saidAt < SAYS_AGAIN)) return;
        saidLast = s;
        saidAt = now;
        Set<String> to = new TreeSet<>(known().voters().names());
        to.add(c.by());
        for (String n : to) tell(n, s, now);
    }

    private Said.Standing standing(double now) {
        Change c = known().change();
        Said.Far far = Said.Far.BEHIND;
        String why = "";
        if (c.stage() == Stage.SETTLING) {
            if (holder.plan() == known().plan().number()) far = Said.Far.TAKEN;
        } else if (holder.binds(c.since(), now)) {
            far = Said.Far.READY;
        } else {
            far = Said.Far.FETCHING;
            for (String d : List.of(c.target().main(), c.target().trial())) {
                if (texts.isChecking(d)) far = Said.Far.CHECKING;
                if (texts.fault(d) == null) continue;
                far = Said.Far.NO;
                why = texts.fault(d);
            }
        }
        return new Said.Standing(holder.life(), c.since(), known().plan().number(), far, why);
    }

    // ---- driving ----

    /** Whoever began the change drives it; where nobody is heard to, the next one in order goes on with it. */
    private void drive(double now) {
        Change c = known().change();
        if (c == null || c.stage() == Stage.TRIAL) {
            drives = false;
            return;
        }
        if (!drives && now - otherDrove >= TAKEOVER + RANK * rank()) {
            drives = true;
            count(Count.TAKEOVERS);
            tell("policy: drives what another began", "change", c.id(), "by", c.by());
        }
        if (!drives || now < pollAt) return;
        pollAt = now + POLL;
        if (!isWholeNow()) {
            learnAt = Math.min(learnAt, now);
            return;
        }
        count(Count.POLLS);
        Said.HowFar how = new Said.HowFar(known().revision(), c.since(), known().plan().number());
        Set<String> to = new TreeSet<>(driver.waitsFor(whole));
        to.addAll(known().voters().names());
        to.remove(name);
        for (String n : to) say(n, how);
    }

    private int rank() {
        List<String> all = new ArrayList<>(new TreeSet<>(known().voters().names()));
        int r = all.indexOf(name);
        return r >= 0 ? r : all.size() + 1 + Math.floorMod(name.hashCode(), MOST_RANKS);
    }

    // ---- writing ----

    private void write(double now) {
        Writer.State s = writer.state();
        if (s == Writer.State.ASKS || s == Writer.State.OFFERS) {
            if (now - writerSaid >= AGAIN) saysOfWriter(now);
            return;
        }
        if (now < writerAgainAt) return;
        Move m = nextMove(now);
        if (m == null && !doubts(now)) return;
        count(m == null ? Count.DOUBTS_ENDED : Count.WRITES_BEGUN);
        writer.begin(whole != null && isWholeNow() ? whole : known(), m);
        saysOfWriter(now);
    }

    /**
     * A voter that has accepted what nobody has told it to be decided: who put it there may be dead, and the others may
     * wait for its word. After a while, by rank, it finishes that itself.
     */
    private boolean doubts(double now) {
        Book b = voter.state().accepted();
        boolean settled = b == null || b.revision() <= known().revision()
            || voter.state().acceptedAt().equals(undecided);
        if (settled) doubtsSince = Double.NaN;
        else if (Double.isNaN(doubtsSince)) doubtsSince = now;
        return now - doubtsSince >= TAKEOVER + RANK * rank();
    }

    private void saysOfWriter(double now) {
        writerSaid = now;
        Map<String, Said> all = writer.says();
        all.forEach((n, what) -> {
            if (!n.equals(name)) say(n, what);
        });
        if (all.containsKey(name)) on(now, name, all.get(name));
    }

    private Move nextMove(double now) {
        if (!asked.isEmpty()) return asked.values().iterator().next();
        if (!enrols.isEmpty()) return new Move.Enrol(Map.copyOf(enrols));
        if (!leaves.isEmpty()) {
            Map.Entry<String, Long> e = leaves.entrySet().iterator().next();
            return new Move.Strike(e.getKey(), e.getValue(), "it said so");
        }
        return drives && isWholeNow() ? driver.wants(whole, now) : null;
    }

    private void afterWrite(double now) {
        Writer.State s = writer.state();
        if (s == Writer.State.DONE) {
            Book b = writer.decided();
            boolean own = writer.isOwn();
            Move m = writer.move();
            if (own) count(Count.WRITES_DONE);
            // Most voters know nothing later: what this one has accepted was never decided, and is left at that.
            if (m == null && (b == null || b.revision() <= known().revision())) undecided = voter.state().acceptedAt();
            if (own) settleAsked(m, "done, revision " + b.revision());
            writer.stop();
            if (b != null) {
                announce(b, own ? m : null);
                heard(b, now);
            }
            write(now);
        } else if (s == Writer.State.LOST) {
            count(Count.WRITES_LOST);
            Move m = writer.move();
            if (writer.refused() != null) {
                settleAsked(m, "refused: " + writer.refused());
                if (m instanceof Move.Enrol e) enrols.keySet().removeAll(e.who().keySet());
                if (m instanceof Move.Strike k) leaves.remove(k.name());
            }
            writer.stop();
            writerAgainAt = now + LOST_MIN + LOST_RANDOM * chance.nextDouble();
        }
    }

    private void settleAsked(Move m, String how) {
        if (how == null) return;
        for (Map.Entry<String, Move> e : asked.entrySet()) {
            if (e.getValue() != m) continue;
            if (outcomes.size() >= MOST_TRIED) outcomes.remove(outcomes.keySet().iterator().next());
            outcomes.put(e.getKey(), how);
            asked.remove(e.getKey());
            return;
        }
    }

    /** What concerns all is told to all; who comes and goes only to those and to the voters. */
    private void announce(Book b, Move m) {
        Set<String> to = new TreeSet<>();
        boolean ofFew = m instanceof Move.Enrol || m instanceof Move.Strike || m == null;
        if (!ofFew) to.addAll(b.roll().keySet());
        if (m instanceof Move.Enrol e) to.addAll(e.who().keySet());
        if (m instanceof Move.Strike s) to.add(s.name());
        to.removeAll(b.voters().names());
        to.remove(name);
        for (String n : b.voters().names()) if (!n.equals(name)) say(n, new Said.Decided(b));
        for (String n : to) say(n, new Said.Decided(b.brief(n)));
    }

    // ---- operators ----

    /** Tries a step that an operator wants; {@link #outcome} has the answer under this key. */
    public void asks(double now, String key, Move m) {
        asked.put(key, m);
        write(now);
    }

    /** Null while it is being tried, and where nobody asked. */
    public String outcome(String key) {
        return outcomes.get(key);
    }

    public boolean isAsked(String key) {
        return asked.containsKey(key);
    }

    /** It decides nothing any more, and says so until it is off the roll; {@link #isGone} then. */
    public void leave(double now) {
        leaving = true;
        if (!holder.isSeated()) left = true;
        tick(now);
    }

    public boolean isGone() {
        return left;
    }

    public void refused(String atHost, int atPort) {
        if (whole != null) driver.refused(whole, atHost, atPort);
    }

    // ---- messages ----

    public void on(double now, String from, Said s) {
        if (left) return;
        if (s instanceof Said.Prepare p) step(from, voter.on(p), false);
        else if (s instanceof Said.Accept a) step(from, voter.on(a), true);
        else if (s instanceof Said.Promised p) {
            marksSeen.put(from, p.mark());
            writer.on(from, p);
            if (writer.state() == Writer.State.OFFERS) saysOfWriter(now);
            afterWrite(now);
        } else if (s instanceof Said.Accepted a) {
            writer.on(from, a);
            afterWrite(now);
        } else if (s instanceof Said.Late l) {
            writer.on(l);
            afterWrite(now);
        } else if (s instanceof Said.Decided d) {
            heard(d.book(), now);
        } else if (s instanceof Said.Learn l) {
            teach(from, l);
        } else if (s instanceof Said.AskThem a) {
            if (a.voters() > known().voters().number() && (pointed == null || a.voters() > pointed.voters())) {
                pointed = a;
                learnAt = Math.min(learnAt, now);
            }
        } else if (s instanceof Said.Enrol e) {
            enrols.put(from, new Book.Seat(e.life(), e.host(), e.port(), false));
            if (isWholeNow() && whole.seats(from, e.life())) {
                enrols.remove(from);
                say(from, new Said.Decided(whole.brief(from)));
            }
        } else if (s instanceof Said.Leave l) {
            if (isWholeNow() && whole.seat(from, l.life()) == null) say(from, new Said.Decided(whole.brief(from)));
            else leaves.put(from, l.life());
        } else if (s instanceof Said.MayI m) {
            if (isVoter()) tell(from, voter.on(m, from, isWholeNow() ? whole : null), now);
        } else if (s instanceof Said.YouMay y) {
            marksSeen.put(from, y.mark());
            if (!y.yes()) count(Count.LEASE_REFUSALS);
            if (holder.on(from, y)) say(from, new Said.Learn(known().revision(), isVoter()));
        } else if (s instanceof Said.HowFar h) {
            howFar(now, from, h);
        } else if (s instanceof Said.Standing st) {
            driver.said(known(), from, st);
        } else if (s instanceof Said.Words w) {
            if (known().change() != null && w.since() == known().change().since()) {
                w.of().forEach((n, st) -> driver.said(known(), n, st));
            }
        } else if (s instanceof Said.Fetch f) {
            say(from, texts.piece(f));
        } else if (s instanceof Said.Chunk c) {
            piece(from, c);
        } else if (s instanceof Said.NotHere) {
            fetchAt = Math.min(fetchAt, now + FETCH_AGAIN / 4);
        }
        if (s instanceof Said.Enrol || s instanceof Said.Leave || s instanceof Said.Standing
            || s instanceof Said.Words) write(now);
    }

    private void step(String from, Voter.Step s, boolean accepts) {
        if (s.now() != null) say(from, s.now());
        if (s.keep() == null) return;
        rest.add(new Rest(from, accepts));
        works.add(new KeepVoter(s.keep()));
    }

    // Who waits for which write, in the order of the works.
    private final List<Rest> rest = new ArrayList<>();

    private record Rest(String to, boolean accepts) { }

    /** The voter's state is on disk; what rested on it is said now. */
    public void synced(double now, Voter.State kept) {
        count(Count.SYNCS);
        Said.Receipt r = voter.synced(kept);
        Rest x = rest.remove(0);
        tell(x.to, x.accepts ? Said.Accepted.of(r) : Said.Promised.of(r), now);
    }

    /** The disk has refused: what would have rested on it is not said, to anybody. */
    public void notSynced() {
        rest.remove(0);
        voter.unsynced();
    }

    private void teach(String from, Said.Learn l) {
        Book b = isWholeNow() ? whole : null;
        if (b != null && (b.revision() > l.revision() || l.whole() && b.revision() == l.revision())
            && b.revision() > 0) {
            say(from, new Said.Decided(l.whole() ? b : b.brief(from)));
        } else if (b == null && known().revision() > l.revision()) {
            say(from, new Said.AskThem(known().voters().number(), known().voters().names()));
        }
    }

    private void howFar(double now, String from, Said.HowFar h) {
        if (!from.equals(name)) {
            otherDrove = now;
            // Of two that drive the one that began it goes on, else the first by name.
            Change c = known().change();
            boolean yields = c != null && !c.by().equals(name) && (c.by().equals(from) || from.compareTo(name) < 0);
            if (drives && yields) drives = false;
        }
        if (h.revision() > known().revision()) say(from, new Said.Learn(known().revision(), isVoter()));
        Change c = known().change();
        if (c == null || c.since() != h.since()) return;
        if (isVoter()) say(from, new Said.Words(c.since(), driver.words(known().plan().number())));
        if (holder.isSeated() && c.stage() != Stage.TRIAL) say(from, standing(now));
    }

    private void piece(String from, Said.Chunk c) {
        byte[] all = texts.takes(c);
        if (all != null) works.add(new Check(c.digest(), all));
        else if (texts.isWanted(c.digest())) say(from, new Said.Fetch(c.digest(), texts.from(c.digest())));
    }
}
