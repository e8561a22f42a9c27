package mothcross.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import mothcross.policy.Change.Mode;
import mothcross.policy.Change.Stage;

/**
 * What the change under way wants next, by what directors have said and how long it has been so. Any director may
 * drive, several at once, and one may go on where another stopped: nothing here outlasts a crash, and all of it is
 * asked again. Owns that; must never count what was said of another stage, by another life, or before a lease that it
 * waits for was over. Spans on the own clock only.
 */
public final class ChangeCoordinator {
    /** Clocks that run at other rates, and what lies between a clock's reading and its use. */
    static final double DRIFT = 0.02, GRACE_MS = 50;
    private static final double PATIENCE_LEASES = 1;

    /** How far a director was, by its own last word. */
    record Word(long life, PolicyMessage.Progress far, String why) { }

    private long since = -1;
    private Stage stage;
    private double began;                                   // when this one heard of the stage
    private final Map<String, Word> words = new HashMap<>();
    // Lives that nobody can be any more: their address was refused; and when it heard that one is left out.
    private final Map<String, Long> ended = new TreeMap<>();
    private final Map<String, Double> excludedAt = new TreeMap<>();

    public ChangeCoordinator() { }

    public ChangeCoordinator(ChangeCoordinator d) {
        since = d.since;
        stage = d.stage;
        began = d.began;
        words.putAll(d.words);
        ended.putAll(d.ended);
        excludedAt.putAll(d.excludedAt);
    }

    /** The latest decided book is heard of. */
    public void learn(PolicyRegister b, double now) {
        Change c = b.change();
        long s = c == null ? -1 : c.stageRevision();
        Stage at = c == null ? null : c.stage();
        if (s != since || at != stage) {
            words.clear();
            began = now;
            since = s;
            stage = at;
        }
        if (!b.complete()) return;
        excludedAt.keySet().retainAll(excluded(b));
        for (String w : excluded(b)) excludedAt.putIfAbsent(w, now);
        ended.entrySet().removeIf(e -> b.registration(e.getKey(), e.getValue()) == null);
    }

    private static Set<String> excluded(PolicyRegister b) {
        Set<String> all = new HashSet<>();
        b.registrations().forEach((n, s) -> {
            if (s.excluded()) all.add(Transition.Commit.directorKey(n, s.incarnation()));
        });
        return all;
    }

    /** Nobody holds the address that this life had: it has ended, whatever comes there later. */
    public void onConnectionRefused(PolicyRegister b, String host, int port) {
        b.registrations().forEach((n, s) -> {
            if (s.host().equals(host) && s.port() == port) ended.put(n, s.incarnation());
        });
    }

    public void onProgress(PolicyRegister b, String from, PolicyMessage.ProgressReport s) {
        if (b.change() == null || s.stageRevision() != since) return;
        Word w = words.get(from);
        if (w == null || w.life() <= s.incarnation()) words.put(from,
            new Word(s.incarnation(), s.progress(), s.reason()));
    }

    /** What it has heard of all of them, for another that drives. */
    public Map<String, PolicyMessage.ProgressReport> reports(long plan) {
        Map<String, PolicyMessage.ProgressReport> all = new TreeMap<>();
        words.forEach((n, w) -> all.put(n, new PolicyMessage.ProgressReport(w.life(), since, plan, w.far(), w.why())));
        return all;
    }

    /** Who has to be asked again: on the roll, and not yet where this stage wants it. */
    public List<String> awaitedDirectors(PolicyRegister b) {
        List<String> all = new ArrayList<>();
        if (b.change() == null || b.change().stage() == Stage.TRIAL) return all;
        PolicyMessage.Progress wanted = b.change().stage() == Stage.BINDING ? PolicyMessage.Progress.READY
            : PolicyMessage.Progress.TAKEN;
        for (Map.Entry<String, PolicyRegister.Registration> e : b.registrations().entrySet()) {
            Word w = words.get(e.getKey());
            boolean there = w != null && w.life() == e.getValue().incarnation() && w.far() == wanted;
            if (!there && !e.getValue().excluded()) all.add(e.getKey());
        }
        return all;
    }

    public PolicyMessage.Progress progress(String name) {
        Word w = words.get(name);
        return w == null ? null : w.far();
    }

    /** For operators: who holds it up, and how. */
    public Map<String, String> blockers(PolicyRegister b, double now) {
        Map<String, String> all = new LinkedHashMap<>();
        for (String n : awaitedDirectors(b)) {
            Word w = words.get(n);
            all.put(n, w == null ? "has not answered for " + Math.round(now - began) + " ms"
                : w.far() + (w.why().isEmpty() ? "" : ": " + w.why()));
        }
        b.registrations().forEach((n, s) -> {
            if (s.excluded()) all.put(n, "left out; its lease is waited for");
        });
        return all;
    }

    public double stageElapsed(double now) {
        return now - began;
    }

    private double leaseOver(PolicyRegister b) {
        return b.leaseMs() * (1 + DRIFT) + GRACE_MS;
    }

    private Set<String> over(PolicyRegister b, double now) {
        Set<String> all = new HashSet<>();
        excludedAt.forEach((w, at) -> {
            if (now - at >= leaseOver(b)) all.add(w);
        });
        return all;
    }

    /** The next step that all it has heard allows; null where it has to wait. {@code b} has to be whole. */
    public Transition nextTransition(PolicyRegister b, double now) {
        Change c = b.change();
        if (c == null || c.stage() == Stage.TRIAL || c.stageRevision() != since) return null;
        for (Map.Entry<String, Long> e : ended.entrySet()) {
            if (b.registration(e.getKey(), e.getValue()) != null) {
                return new Transition.RemoveDirector(e.getKey(), e.getValue(), "nobody holds its address");
            }
        }
        return c.stage() == Stage.BINDING ? binding(b, c, now) : settling(b, now);
    }

    private Transition binding(PolicyRegister b, Change c, double now) {
        StringBuilder no = new StringBuilder();
        Set<String> ready = new HashSet<>();
        b.registrations().forEach((n, s) -> {
            Word w = words.get(n);
            if (w == null || w.life() != s.incarnation()) return;
            if (w.far() == PolicyMessage.Progress.READY) ready.add(Transition.Commit.directorKey(n, s.incarnation()));
            if (w.far() == PolicyMessage.Progress.NO && no.length() < 500) {
                no.append(no.isEmpty() ? "" : "; ").append(n).append(": ").append(w.why());
            }
        });
        if (!no.isEmpty() && !c.isWithdrawn()) return new Transition.Abort(c.id(), c.stageRevision(), no.toString());
        Set<String> over = over(b, now);
        List<String> missing = Transition.Commit.missing(b, ready, over);
        if (missing.isEmpty()) return new Transition.Commit(c.id(), c.stageRevision(), ready, over);
        if (now - began >= c.deadlineMs()) {
            return new Transition.Abort(c.id(), c.stageRevision(), "not ready by the deadline: " + missing);
        }
        if (c.mode() == Mode.STOP && now - began >= PATIENCE_LEASES * b.leaseMs()) {
            Map<String, Long> late = new TreeMap<>();
            for (String n : missing) if (!b.registrations().get(n).excluded()) late.put(n,
                b.registrations().get(n).incarnation());
            if (!late.isEmpty()) return new Transition.ExcludeDirectors(late);
        }
        return null;
    }

    /** Whoever has not said that it decides by the new plan decides by none, once its last lease is over. */
    private Transition settling(PolicyRegister b, double now) {
        boolean all = awaitedDirectors(b).isEmpty() && over(b, now).containsAll(excluded(b));
        return all || now - began >= leaseOver(b) ? new Transition.Settle(b.plan().number()) : null;
    }

    /**
     * All that what comes next depends on, times as spans from now, at most {@code span}; the stage up to the blank.
     */
    public String fingerprint(double now, double span) {
        StringBuilder s = new StringBuilder().append(since).append(stage).append(' ').append(Math.min(span,
            now - began))
            .append(new TreeMap<>(words)).append(ended);
        excludedAt.forEach((w, at) -> s.append(w).append(Math.min(span, now - at)));
        return s.toString();
    }
}
