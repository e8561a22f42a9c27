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
 * IDLE --begin--> ASKS --enough promises--> OFFERS --enough have accepted--> DONE
 * ASKS, OFFERS --a later turn is promised--> LOST
 * </pre>
 */
public final class Writer {
    public enum State { IDLE, ASKS, OFFERS, DONE, LOST }

    private final String name;
    private final long life;
    private final Set<String> founders;
    private long round;
    private State state = State.IDLE;
    private Turn turn = Turn.NONE;
    private Book known, offered;
    private Move move;
    private boolean own;
    private String refused;
    // The sets of voters that have to be heard: the known ones, and those of a later book that was found.
    private final List<Voters> asked = new ArrayList<>();
    private final Map<String, Said.Promised> promises = new TreeMap<>();
    private final Map<String, String> accepted = new TreeMap<>();

    public Writer(String name, long life, Set<String> founders) {
        this.name = name;
        this.life = life;
        this.founders = founders;
    }

    public Writer(Writer w) {
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

    public Turn turn() {
        return turn;
    }

    /** What is being tried; null where only what others left is finished. */
    public Move move() {
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
        for (Voters v : sets()) {
            for (String n : v.names()) {
                String mark = state == State.ASKS ? promises.containsKey(n) ? promises.get(n).mark() : null
                    : accepted.get(n);
                if (mark == null || !v.has(n, mark)) all.put(n, true);
            }
        }
        return List.copyOf(all.keySet());
    }

    private List<Voters> sets() {
        List<Voters> all = new ArrayList<>(asked);
        if (state == State.OFFERS && !all.contains(offered.voters())) all.add(offered.voters());
        return all;
    }

    /** By name what each voter is to be told now; to be said again as long as it does not answer. */
    public Map<String, Said> says() {
        Map<String, Said> all = new LinkedHashMap<>();
        if (state != State.ASKS && state != State.OFFERS) return all;
        Said s = state == State.ASKS ? new Said.Prepare(turn, known.revision() == 0 ? founders : Set.of())
            : new Said.Accept(turn, offered);
        for (String n : waitsFor()) all.put(n, s);
        return all;
    }

    /** {@code move} null: only to find out, and finish what another began. */
    public void begin(Book knownNow, Move toTry) {
        known = knownNow;
        move = toTry;
        turn = new Turn(++round, name, life);
        state = State.ASKS;
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

    public void on(Said.Late l) {
        round = Math.max(round, l.promised().round());
        if (l.turn().equals(turn) && (state == State.ASKS || state == State.OFFERS)) state = State.LOST;
    }

    public void on(String from, Said.Promised p) {
        if (state != State.ASKS || !p.turn().equals(turn)) return;
        promises.put(from, p);
        while (enoughPromises()) {
            Book latest = latest();
            if (latest == null || asked.contains(latest.voters())) {
                offer(latest);
                return;
            }
            asked.add(latest.voters());                 // it may have been decided, and others after it by those
        }
    }

    private boolean enoughPromises() {
        Map<String, String> marks = new HashMap<>();
        promises.forEach((n, p) -> marks.put(n, p.mark()));
        for (Voters v : asked) if (!v.enough(marks)) return false;
        return true;
    }

    /** Of what those that count have accepted, the one of the latest turn. */
    private Book latest() {
        Turn at = Turn.NONE;
        Book b = null;
        for (Map.Entry<String, Said.Promised> e : promises.entrySet()) {
            Said.Promised p = e.getValue();
            if (p.accepted() == null || p.at().compareTo(at) <= 0) continue;
            boolean counts = false;
            for (Voters v : asked) counts |= v.has(e.getKey(), p.mark());
            if (!counts) continue;
            at = p.at();
            b = p.accepted();
        }
        return b;
    }

    private void offer(Book latest) {
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
                offered = (founds ? new Move.Found(marks()) : move).after(founds ? known : latest);
                own = !founds;
            } catch (Move.Refused e) {
                refused = e.getMessage();
            }
        }
        if (offered == null && (latest == null || refused != null)) {
            state = refused != null ? State.LOST : State.DONE;
            return;
        }
        if (offered == null) offered = latest;
        state = State.OFFERS;
    }

    public void on(String from, Said.Accepted a) {
        if (state != State.OFFERS || !a.turn().equals(turn)) return;
        accepted.put(from, a.mark());
        for (Voters v : sets()) if (!v.enough(accepted)) return;
        state = State.DONE;
    }

    /** What is decided now, once it is done; null where nothing ever was. */
    public Book decided() {
        return state == State.DONE ? offered : null;
    }

    /** By name the marks that voters answered with, also where they do not count. */
    public Map<String, String> marks() {
        Map<String, String> all = new TreeMap<>();
        promises.forEach((n, p) -> all.put(n, p.mark()));
        return all;
    }

    /** All that the next step depends on, but for what each voter said: {@link #of}. */
    public String shown() {
        StringBuilder s = new StringBuilder().append(state).append(turn).append(round).append('o').append(offered)
            .append('m').append(move).append('k').append(known == null ? 0 : known.revision());
        for (Voters v : asked) s.append(v.number());
        return s.toString();
    }

    /** What one voter has said in this attempt. */
    public String of(String voter) {
        Said.Promised p = promises.get(voter);
        return (p == null ? "" : p.mark() + p.at().round() + p.at().by() + p.accepted()) + ';' + accepted.get(voter);
    }
}
