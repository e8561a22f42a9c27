package mothcross.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import mothcross.Director;

/**
 * What goes wrong in a run, as lines of text: a time in ms, what, whom, and for how long; lines overlap as they will.
 * Owns the
 * notation (docs/operate/emulator.md has it); must never depend on what the policy does.
 */
public final class FaultSchedule {
    /** One line, taken apart. */
    private record Line(double at, String what, String whom, double value, double lasts, String text) { }

    private static final List<String> KINDS = List.of("crash", "vanish", "drain", "slow", "stall", "purge",
        "origin-slow",
        "origin-stop", "link", "news", "cut", "hot", "scan", "load", "kill", "rolling");
    private final List<Line> lines = new ArrayList<>();

    /** Throws with the line's number where one can't be read. */
    public static FaultSchedule of(String text) {
        FaultSchedule s = new FaultSchedule();
        int number = 0;
        for (String raw : text.split("\n")) {
            number++;
            String line = raw.replaceAll("#.*", "").strip();
            if (!line.isEmpty()) s.add(line, number);
        }
        return s;
    }

    private void add(String line, int number) {
        String[] p = line.split(" +");
        try {
            double at = Double.parseDouble(p[0]);
            if (!KINDS.contains(p[1])) throw new IllegalArgumentException("no such fault '" + p[1] + "', known are "
                + KINDS);
            String whom = "";
            double value = 1, lasts = 0;
            for (int i = 2; i < p.length; i++) {
                if (p[i].equals("for")) lasts = Double.parseDouble(p[++i]);
                else if (p[i].equals("by")) value = Double.parseDouble(p[++i]);
                else whom = whom.isEmpty() ? p[i] : whom + " " + p[i];
            }
            whom(whom, p[1]);
            lines.add(new Line(at, p[1], whom, value, lasts, line));
        } catch (ArrayIndexOutOfBoundsException | NumberFormatException e) {
            throw new IllegalArgumentException("line " + number + " '" + line
                + "': AT WHAT [WHOM] [by N] [for MS] is expected", e);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("line " + number + " '" + line + "': " + e.getMessage(), e);
        }
    }

    /** {@code cache 3}, {@code caches 0.25}, {@code place 1}, {@code parent 0}, {@code parents 0.5},
        {@code director 2}, empty. */
    private static void whom(String whom, String what) {
        if (!whom.matches("|(cache|parent|place|director) [0-9]+|(caches|parents|directors) [0-9.]+")) {
            throw new IllegalArgumentException("'" + whom + "' names nobody");
        }
        boolean needs = List.of("crash", "vanish", "drain", "slow", "stall", "link", "cut", "kill").contains(what);
        if (needs && whom.isEmpty()) throw new IllegalArgumentException("whom does it befall?");
    }

    public int size() {
        return lines.size();
    }

    /** Without one of its lines: for shrinking a script to what matters. */
    public FaultSchedule without(int i) {
        FaultSchedule s = new FaultSchedule();
        s.lines.addAll(lines);
        s.lines.remove(i);
        return s;
    }

    /** With each span halved, or each number nearer to harmless: the same kinds in a milder form. */
    public FaultSchedule milder() {
        FaultSchedule s = new FaultSchedule();
        for (Line l : lines) {
            double value = l.value > 1 ? 1 + (l.value - 1) / 2 : l.value;
            Line m = new Line(l.at, l.what, l.whom, value, l.lasts / 2, null);
            s.lines.add(new Line(l.at, l.what, l.whom, value, l.lasts / 2, m.at + " " + m.what + (m.whom.isEmpty()
                ? "" : " " + m.whom)
                + String.format(Locale.ROOT, " by %s for %s", value, m.lasts)));
        }
        return s;
    }

    /** A script drawn by chance: so many faults over a run of these seconds. */
    public static FaultSchedule drawn(SplittableRandom r, int faults, ScenarioParameters t) {
        StringBuilder s = new StringBuilder();
        int caches = t.count("caches") * t.count("places");
        for (int i = 0; i < faults; i++) {
            int at = 2000 + r.nextInt((int) (700 * t.get("seconds"))), lasts = 1000 + r.nextInt(9000);
            String cache = "cache " + r.nextInt(caches), some = String.format(Locale.ROOT, "caches %.2f", 0.1
                + 0.4 * r.nextDouble());
            String what = switch (r.nextInt(14)) {
                case 0 -> "crash " + (r.nextBoolean() ? cache : some);
                case 1 -> "vanish " + cache;
                case 2 -> "drain " + (r.nextBoolean() ? cache : some);
                case 3 -> "slow " + cache + " by " + (2 + r.nextInt(8));
                case 4 -> "stall " + cache;
                case 5 -> "purge by " + (1 + r.nextInt(40));
                case 6 -> "origin-slow by " + (2 + r.nextInt(4));
                case 7 -> "origin-stop";
                case 8 -> "link place " + r.nextInt(t.count("places")) + " by " + (2 + r.nextInt(3));
                case 9 -> "news by " + (2 + r.nextInt(4));
                case 10 -> "scan by " + String.format(Locale.ROOT, "%.2f", 0.05 + 0.2 * r.nextDouble());
                case 11 -> "load by " + String.format(Locale.ROOT, "%.2f", 1.2 + r.nextDouble());
                case 12 -> "crash parent " + r.nextInt(t.count("parents"));
                default -> "kill director " + r.nextInt(t.count("directors") * t.count("places"));
            };
            s.append(at).append(' ').append(what).append(" for ").append(lasts).append('\n');
        }
        return of(s.toString());
    }

    @Override public String toString() {
        StringBuilder s = new StringBuilder();
        for (Line l : lines) s.append(l.text).append('\n');
        return s.toString();
    }

    // ---- what each does ----

    void set(Simulation w) {
        for (Line l : lines) w.clock.in(l.at, () -> befalls(w, l));
    }

    private static List<SimulatedNode> boxes(Simulation w, String whom) {
        String[] p = whom.split(" ");
        List<SimulatedNode> caches = w.boxes.stream().filter(b -> b.kind == SimulatedNode.CACHE).toList();
        List<SimulatedNode> parents = w.boxes.stream().filter(b -> b.kind == SimulatedNode.PARENT).toList();
        double n = Double.parseDouble(p[1]);
        return switch (p[0]) {
            case "cache" -> List.of(caches.get((int) n % caches.size()));
            case "parent" -> List.of(parents.get((int) n % parents.size()));
            case "place" -> caches.stream().filter(b -> b.place == (int) n).toList();
            case "caches" -> some(caches, n);
            case "parents" -> some(parents, n);
            default -> List.of();
        };
    }

    /** Every so manieth, spread over all: the same ones in each run. */
    private static <T> List<T> some(List<T> all, double share) {
        List<T> some = new ArrayList<>();
        for (int i = 0; i < all.size(); i++) if ((int) ((i + 1) * share) > (int) (i * share)) some.add(all.get(i));
        return some;
    }

    private static void befalls(Simulation w, Line l) {
        EventQueue c = w.clock;
        switch (l.what) {
            case "crash" -> boxes(w, l.whom).forEach(b -> {
                b.stop();
                w.tell(b, Director.REMOVED);
                c.in(l.lasts, () -> back(w, b));
            });
            case "vanish" -> boxes(w, l.whom).forEach(b -> {
                b.silent = true;
                c.in(l.lasts, () -> {
                    if (b.silent && b.up) b.stop();
                    back(w, b);
                });
            });
            case "drain" -> boxes(w, l.whom).forEach(b -> {
                w.tell(b, Director.DRAINING);
                // A release waits for the news and what is open before it ends the process.
                c.in(4 * w.town.get("news_ms"), () -> {
                    if (b.standing != Director.DRAINING) return;
                    b.stop();
                    w.tell(b, Director.REMOVED);
                    c.in(l.lasts, () -> back(w, b));
                });
            });
            case "slow" -> boxes(w, l.whom).forEach(b -> {
                b.slowed(l.value);
                c.in(l.lasts, () -> b.slowed(1));
            });
            case "stall" -> boxes(w, l.whom).forEach(b -> b.stalledUntil = c.now + l.lasts);
            case "purge" -> {
                for (int i = 0; i < l.value; i++) {
                    int group = i;
                    c.in(l.lasts * i / Math.max(1, l.value), () -> w.purge(group));
                }
            }
            case "origin-slow" -> {
                w.origin().slowed(l.value);
                c.in(l.lasts, () -> w.origin().slowed(1));
            }
            case "origin-stop" -> {
                w.origin().up = false;
                c.in(l.lasts, () -> w.origin().up = true);
            }
            case "link" -> {
                int place = place(w, l.whom);
                w.linkOf(place).flows(w.town.get("link_flows") / l.value);
                c.in(l.lasts, () -> w.linkOf(place).flows(w.town.get("link_flows")));
            }
            case "news" -> {
                w.newsTimes = l.value;
                c.in(l.lasts, () -> w.newsTimes = 1);
            }
            case "cut" -> {
                int place = place(w, l.whom);
                w.cutOff.add(place);
                c.in(l.lasts, () -> w.cutOff.remove(place));
            }
            case "hot", "scan", "load" -> {
                for (int p = 0; p < w.town.count("places"); p++) {
                    LoadGenerator d = w.demandAt(p);
                    demand(d, l.what, l.value);
                    c.in(l.lasts, () -> demand(d, l.what, l.what.equals("load") ? 1 : 0));
                }
            }
            case "kill" -> hosts(w, l.whom).forEach(h -> kill(w, h, l.lasts));
            default -> {
                double each = l.lasts / Math.max(1, w.hosts.size());
                for (int i = 0; i < w.hosts.size(); i++) {
                    SimulatedDirector h = w.hosts.get(i);
                    c.in(each * i, () -> kill(w, h, Math.max(500, each)));
                }
            }
        }
    }

    private static void kill(Simulation w, SimulatedDirector h, double lasts) {
        if (h.dead) return;
        h.kill();
        w.clock.in(lasts, h::begin);
    }

    private static int place(Simulation w, String whom) {
        return (int) Double.parseDouble(whom.split(" ")[1]) % w.town.count("places");
    }

    private static List<SimulatedDirector> hosts(Simulation w, String whom) {
        String[] p = whom.split(" ");
        double n = Double.parseDouble(p[1]);
        return p[0].equals("director") ? List.of(w.hosts.get((int) n % w.hosts.size())) : some(w.hosts, n);
    }

    private static void demand(LoadGenerator d, String what, double value) {
        if (what.equals("load")) d.times = value;
        else if (what.equals("hot")) d.hotShare = value;
        else d.scanShare = value;
    }

    private static void back(Simulation w, SimulatedNode b) {
        if (b.up && !b.silent || b.fell) return;
        b.start(w.clock.now);
        w.tell(b, Director.IN_SERVICE);
    }
}
