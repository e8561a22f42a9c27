package mothcross.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * One attempt at the register: it is heard first by enough voters, finishes what one of them has accepted where that
 * may have been decided, and only else puts its own book there. Owns the attempt; must never offer a book of its own
 * that does not follow the latest decided one, nor count a voter under another mark.
 * <pre>
 * IDLE --begin--> PREPARING --enough promises--> ACCEPTING --enough have accepted--> DONE
 * PREPARING, ACCEPTING --a later turn is promised--> LOST
 * </pre>
 */
public final class Proposer {
    public enum State { IDLE, PREPARING, ACCEPTING, DONE, LOST }

    private final String name;
    private final long life;
    private final Set<String> founders;
    private long round;
    private State state = State.IDLE;
    private ProposalNumber turn = ProposalNumber.NONE;
    private PolicyRegister known, offered;
    private Transition move;
    private boolean own;
    private String refused;
    // The sets of voters that have to be heard: the known ones, and those of a later book that was found.
    private final List<VoterSet> asked = new ArrayList<>();
    private final Map<String, PolicyMessage.Promised> promises = new TreeMap<>();
    private final Map<String, String> accepted = new TreeMap<>();

    public Proposer(String name, long life, Set<String> founders) {
        this.name = name;
        this.life = life;
        this.founders = founders;
    }

    public Proposer(Proposer w) {
        this(w.name, w.life, w.founders);
        round = w.round;
        state = w.state;
        turn = w.turn;
        known = w.known;
        offered = w.offered;
        move = w.move;
        own = w.own;
        refused = w.refused;
        asked.addAll(w.asked);
        promises.putAll(w.promises);
        accepted.putAll(w.accepted);
    }

    public State state() {
        return state;
    }

    public ProposalNumber turn() {
        return turn;
    }

    /** What is being tried; null where only what others left is finished. */
    public Transition move() {
        return move;
    }

    /** Why the move does not fit the book that was found. */
    public String refused() {
        return refused;
    }

    public boolean isOwn() {
        return own;
    }

    /** Those that have to answer next and have not. */
    public List<String> waitsFor() {
        Map<String, Boolean> all = new TreeMap<>();
        for (VoterSet v : sets()) {
            for (String n : v.names()) {
                String mark = state == State.PREPARING ? promises.containsKey(n) ? promises.get(n).storeId() : null
                    : accepted.get(n);
                if (mark == null || !v.has(n, mark)) all.put(n, true);
            }
        }
        return List.copyOf(all.keySet());
    }

    private List<VoterSet> sets() {
        List<VoterSet> all = new ArrayList<>(asked);
        if (state == State.ACCEPTING && !all.contains(offered.voters())) all.add(offered.voters());
        return all;
    }

    /** By name what each voter is to be told now; to be said again as long as it does not answer. */
    public Map<String, PolicyMessage> pendingRequests() {
        Map<String, PolicyMessage> all = new LinkedHashMap<>();
        if (state != State.PREPARING && state != State.ACCEPTING) return all;
        PolicyMessage s = state == State.PREPARING ? new PolicyMessage.Prepare(turn,
            known.revision() == 0 ? founders : Set.of())
            : new PolicyMessage.Accept(turn, offered);
        for (String n : waitsFor()) all.put(n, s);
        return all;
    }

    /** {@code move} null: only to find out, and finish what another began. */
    public void begin(PolicyRegister knownNow, Transition toTry) {
        known = knownNow;
        move = toTry;
        turn = new ProposalNumber(++round, name, life);
        state = State.PREPARING;
        offered = null;
        own = false;
        refused = null;
        asked.clear();
        asked.add(known.voters());
        promises.clear();
        accepted.clear();
    }

    public void stop() {
        state = State.IDLE;
    }

    public void on(PolicyMessage.Rejected l) {
        round = Math.max(round, l.promised().round());
        if (l.number().equals(turn) && (state == State.PREPARING || state == State.ACCEPTING)) state = State.LOST;
    }

    public void on(String from, PolicyMessage.Promised p) {
        if (state != State.PREPARING || !p.number().equals(turn)) return;
        promises.put(from, p);
        while (enoughPromises()) {
            PolicyRegister latest = latest();
            if (latest == null || asked.contains(latest.voters())) {
                offer(latest);
                return;
            }
            asked.add(latest.voters());                 // it may have been decided, and others after it by those
        }
    }

    private boolean enoughPromises() {
        Map<String, String> marks = new HashMap<>();
        promises.forEach((n, p) -> marks.put(n, p.storeId()));
        for (VoterSet v : asked) if (!v.enough(marks)) return false;
        return true;
    }

    /** Of what those that count have accepted, the one of the latest turn. */
    private PolicyRegister latest() {
        ProposalNumber at = ProposalNumber.NONE;
        PolicyRegister b = null;
        for (Map.Entry<String, PolicyMessage.Promised> e : promises.entrySet()) {
            PolicyMessage.Promised p = e.getValue();
            if (p.accepted() == null || p.acceptedNumber().compareTo(at) <= 0) continue;
            boolean counts = false;
            for (VoterSet v : asked) counts |= v.has(e.getKey(), p.storeId());
            if (!counts) continue;
            at = p.acceptedNumber();
            b = p.accepted();
        }
        return b;
    }

    private void offer(PolicyRegister latest) {
        long found = latest == null ? 0 : latest.revision();
        if (found < known.revision()) {
            refused = "the voters have forgotten revision " + known.revision() + ": most of their disks are gone";
            state = State.LOST;
            return;
        }
        // The very first book: that the voters which the files name have these marks.
        boolean founds = latest == null && move != null;
        if (found == known.revision() && move != null) {
            try {
                offered = (founds ? new Transition.Bootstrap(marks()) : move).applyTo(founds ? known : latest);
                own = !founds;
            } catch (Transition.RejectedException e) {
                refused = e.getMessage();
            }
        }
        if (offered == null && (latest == null || refused != null)) {
            state = refused != null ? State.LOST : State.DONE;
            return;
        }
        if (offered == null) offered = latest;
        state = State.ACCEPTING;
    }

    public void on(String from, PolicyMessage.Accepted a) {
        if (state != State.ACCEPTING || !a.number().equals(turn)) return;
        accepted.put(from, a.storeId());
        for (VoterSet v : sets()) if (!v.enough(accepted)) return;
        state = State.DONE;
    }

    /** What is decided now, once it is done; null where nothing ever was. */
    public PolicyRegister decided() {
        return state == State.DONE ? offered : null;
    }

    /** By name the marks that voters answered with, also where they do not count. */
    public Map<String, String> marks() {
        Map<String, String> all = new TreeMap<>();
        promises.forEach((n, p) -> all.put(n, p.storeId()));
        return all;
    }

    /** All that the next step depends on, but for what each voter said: {@link #voterFingerprint}. */
    public String fingerprint() {
        StringBuilder s = new StringBuilder().append(state).append(turn).append(round).append('o').append(offered)
            .append('m').append(move).append('k').append(known == null ? 0 : known.revision());
        for (VoterSet v : asked) s.append(v.number());
        return s.toString();
    }

    /** What one voter has said in this attempt. */
    public String voterFingerprint(String voter) {
        PolicyMessage.Promised p = promises.get(voter);
        return (p == null ? "" : p.storeId() + p.acceptedNumber().round() + p.acceptedNumber().proposer()
            + p.accepted()) + ';' + accepted.get(voter);
    }
}
