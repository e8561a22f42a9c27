package mothcross.rig;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Reads a history and says which promises of docs/design/fleet.md it breaks. Shares no code with what it checks.
 * Times count only where the history is of virtual time.
 */
public final class FleetRules {
    public final List<String> broken = new ArrayList<>();
    /** Lives put out of some view though their process ran, never paused or cut for as long as that takes. */
    public int falseRemovals;
    private final History h;

    private static final class Process {
        String name;
        double from, until = Double.POSITIVE_INFINITY;
        boolean steppedBack;
        History.Event view;
        final Set<Long> lives = new HashSet<>();
    }

    // By the digest of a view: the names that agreed to change it.
    private final Map<Long, Set<String>> votes = new HashMap<>();
    private final Map<Integer, Process> processes = new TreeMap<>();

    public FleetRules(History h) {
        this.h = h;
    }

    private void breaks(int promise, String what) {
        if (broken.size() < 20) broken.add("promise " + promise + ": " + what);
    }

    /** Of members that are excused the script kept their word from the fleet for longer than silence is borne. */
    public FleetRules check(Set<String> excused) {
        Map<String, List<String>> byDigest = new HashMap<>();
        Set<String> removed = new HashSet<>();
        // What real processes say comes by ways of their own: there a vote may be read after what it led to.
        if (!h.ordered) for (History.Event e : h.events) if (e.kind() == History.Kind.VOTES) votes(e);
        for (History.Event e : h.events) {
            Process p = processes.get(e.member());
            switch (e.kind()) {
                case STARTS -> {
                    p = new Process();
                    p.name = e.name();
                    p.from = e.at();
                    processes.put(e.member(), p);
                }
                case ENDS -> p.until = Math.min(p.until, e.at());
                case VOTES -> votes(e);
                case STEPPED_BACK -> p.steppedBack = true;
                case VIEW -> view(e, p, byDigest, removed, excused);
                default -> { }
            }
        }
        agreesInTheEnd();
        return this;
    }

    private void votes(History.Event e) {
        votes.computeIfAbsent(e.digest(), k -> new HashSet<>()).add(e.name());
    }

    private void view(History.Event e, Process p, Map<String, List<String>> byDigest, Set<String> removed,
                      Set<String> excused) {
        String key = e.number() + "/" + e.digest();
        List<String> same = byDigest.putIfAbsent(key, e.members());
        if (same != null && !same.equals(e.members())) breaks(2, "view " + key + " has two sets of members");
        History.Event before = p.view;
        p.view = e;
        p.lives.add(e.life());
        if (before == null) return;
        if (e.number() < before.number() && !joinsOthers(before, e)) {
            breaks(3, e.name() + " went from view " + before.number() + " back to " + e.number());
        }
        Set<String> now = new HashSet<>(e.members());
        Set<String> names = new HashSet<>();
        for (String m : e.members()) names.add(m.substring(0, m.lastIndexOf('@')));
        for (String m : before.members()) {
            String name = m.substring(0, m.lastIndexOf('@'));
            if (now.contains(m) || names.contains(name) || joinsOthers(before, e) || !removed.add(m)) continue;
            if (excused.contains(name)) continue;
            Process running = running(name, e.at());
            if (running == null || running.steppedBack || !running.lives.contains(life(m))) continue;
            falseRemovals++;
            breaks(1, m + " was put out by " + e.name() + " at " + Math.round(e.at()) + " though it takes part");
        }
        if (same == null && e.text().equals("VOTED") && !now.containsAll(before.members())) {
            int agreed = votes.getOrDefault(before.digest(), Set.of()).size();
            if (2 * agreed <= before.members().size()) breaks(4, e.name() + " put members out at " + Math.round(e.at())
                + " with " + agreed + " votes of " + before.members().size());
        }
    }

    /** One alone, or of a part that shares nobody with what it joins. */
    private static boolean joinsOthers(History.Event before, History.Event after) {
        for (String m : before.members()) {
            if (after.members().contains(m) && !m.startsWith(after.name() + "@")) return false;
        }
        return true;
    }

    private static long life(String member) {
        return Long.parseLong(member.substring(member.lastIndexOf('@') + 1));
    }

    private Process running(String name, double at) {
        Process found = null;
        for (Process p : processes.values()) if (p.name.equals(name) && p.from <= at && p.until > at) found = p;
        return found;
    }

    /** When the history ends, long after the last fault, all that run have one view, and it has just them. */
    private void agreesInTheEnd() {
        Set<String> alive = new TreeSet<>();
        for (Process p : processes.values()) {
            if (p.until == Double.POSITIVE_INFINITY && !p.steppedBack) alive.add(p.name);
        }
        History.Event first = null;
        for (Process p : processes.values()) {
            if (p.until != Double.POSITIVE_INFINITY || p.steppedBack) continue;
            if (p.view == null) {
                breaks(5, p.name + " never had a view");
                continue;
            }
            // A view that half of its members have left for good, unsaid, can't change any more: as promised.
            Set<String> of = new TreeSet<>();
            for (String m : p.view.members()) of.add(m.substring(0, m.lastIndexOf('@')));
            if (2 * of.stream().filter(alive::contains).count() <= of.size()) continue;
            if (first == null) first = p.view;
            if (p.view.number() != first.number() || p.view.digest() != first.digest()) {
                breaks(5, p.name + " has view " + p.view.number() + " " + p.view.members() + ", " + first.name()
                    + " has " + first.number() + " " + first.members());
            }
            Set<String> names = new TreeSet<>();
            for (String m : p.view.members()) names.add(m.substring(0, m.lastIndexOf('@')));
            if (!names.containsAll(alive)) breaks(5, p.name + " has " + names + " in the end, of " + alive);
            if (!alive.containsAll(names) && 2 * alive.size() > names.size()) {
                breaks(6, p.name + " still has " + names + " in the end, there are " + alive);
            }
            if (p.view.apart() && 2 * alive.size() > names.size()) breaks(4, p.name + " is apart in calm");
        }
    }
}
