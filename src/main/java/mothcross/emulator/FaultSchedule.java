package mothcross.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import mothcross.Director;

/**
 * The faults of a run as lines of text: a time in ms, a kind, a target and a duration; faults may overlap. The
 * notation is described in docs/operate/emulator.md. Faults do not depend on the decisions of the policy.
 */
public final class FaultSchedule {
    /** One parsed line. */
    private record Line(double atMs, String kind, String target, double value, double durationMs, String text) { }

    private static final List<String> KINDS = List.of("crash", "vanish", "drain", "slow", "stall", "purge",
        "origin-slow", "origin-stop", "link", "news", "cut", "hot", "scan", "load", "kill", "rolling");
    private final List<Line> lines = new ArrayList<>();

    /** Parses a schedule; throws with the line number where a line is invalid. */
    public static FaultSchedule of(String text) {
        FaultSchedule schedule = new FaultSchedule();
        int number = 0;
        for (String raw : text.split("\n")) {
            number++;
            String line = raw.replaceAll("#.*", "").strip();
            if (!line.isEmpty()) schedule.add(line, number);
        }
        return schedule;
    }

    private void add(String line, int number) {
        String[] words = line.split(" +");
        try {
            double atMs = Double.parseDouble(words[0]);
            if (!KINDS.contains(words[1])) {
                throw new IllegalArgumentException("no such fault '" + words[1] + "', known are " + KINDS);
            }
            String target = "";
            double value = 1;
            double durationMs = 0;
            for (int i = 2; i < words.length; i++) {
                if (words[i].equals("for")) durationMs = Double.parseDouble(words[++i]);
                else if (words[i].equals("by")) value = Double.parseDouble(words[++i]);
                else target = target.isEmpty() ? words[i] : target + " " + words[i];
            }
            checkTarget(target, words[1]);
            lines.add(new Line(atMs, words[1], target, value, durationMs, line));
        } catch (ArrayIndexOutOfBoundsException | NumberFormatException e) {
            throw new IllegalArgumentException("line " + number + " '" + line
                + "': AT WHAT [WHOM] [by N] [for MS] is expected", e);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("line " + number + " '" + line + "': " + e.getMessage(), e);
        }
    }

    /**
     * Checks a target: {@code cache 3}, {@code caches 0.25}, {@code place 1}, {@code parent 0}, {@code parents 0.5},
     * {@code director 2} or empty.
     */
    private static void checkTarget(String target, String kind) {
        if (!target.matches("|(cache|parent|place|director) [0-9]+|(caches|parents|directors) [0-9.]+")) {
            throw new IllegalArgumentException("'" + target + "' is not a target");
        }
        boolean required = List.of("crash", "vanish", "drain", "slow", "stall", "link", "cut", "kill").contains(kind);
        if (required && target.isEmpty()) throw new IllegalArgumentException("a target is required");
    }

    public int size() {
        return lines.size();
    }

    /** A copy without one line, for shrinking a schedule to the faults that matter. */
    public FaultSchedule without(int index) {
        FaultSchedule schedule = new FaultSchedule();
        schedule.lines.addAll(lines);
        schedule.lines.remove(index);
        return schedule;
    }

    /**
     * A copy with each duration halved and each factor above 1 moved half way to 1: the same faults in a milder form.
     */
    public FaultSchedule milder() {
        FaultSchedule schedule = new FaultSchedule();
        for (Line line : lines) {
            double value = line.value > 1 ? 1 + (line.value - 1) / 2 : line.value;
            double durationMs = line.durationMs / 2;
            String target = line.target.isEmpty() ? "" : " " + line.target;
            String text = line.atMs + " " + line.kind + target
                + String.format(Locale.ROOT, " by %s for %s", value, durationMs);
            schedule.lines.add(new Line(line.atMs, line.kind, line.target, value, durationMs, text));
        }
        return schedule;
    }

    /** A random schedule with a number of faults, for a run of the given scenario. */
    public static FaultSchedule random(SplittableRandom random, int faults, ScenarioParameters scenario) {
        StringBuilder text = new StringBuilder();
        int cacheCount = scenario.count("caches") * scenario.count("places");
        for (int i = 0; i < faults; i++) {
            int atMs = 2000 + random.nextInt((int) (700 * scenario.get("seconds")));
            int durationMs = 1000 + random.nextInt(9000);
            String cache = "cache " + random.nextInt(cacheCount);
            String caches = String.format(Locale.ROOT, "caches %.2f", 0.1 + 0.4 * random.nextDouble());
            String fault = switch (random.nextInt(14)) {
                case 0 -> "crash " + (random.nextBoolean() ? cache : caches);
                case 1 -> "vanish " + cache;
                case 2 -> "drain " + (random.nextBoolean() ? cache : caches);
                case 3 -> "slow " + cache + " by " + (2 + random.nextInt(8));
                case 4 -> "stall " + cache;
                case 5 -> "purge by " + (1 + random.nextInt(40));
                case 6 -> "origin-slow by " + (2 + random.nextInt(4));
                case 7 -> "origin-stop";
                case 8 -> "link place " + random.nextInt(scenario.count("places")) + " by " + (2 + random.nextInt(3));
                case 9 -> "news by " + (2 + random.nextInt(4));
                case 10 -> "scan by " + String.format(Locale.ROOT, "%.2f", 0.05 + 0.2 * random.nextDouble());
                case 11 -> "load by " + String.format(Locale.ROOT, "%.2f", 1.2 + random.nextDouble());
                case 12 -> "crash parent " + random.nextInt(scenario.count("parents"));
                default -> "kill director " + random.nextInt(scenario.count("directors") * scenario.count("places"));
            };
            text.append(atMs).append(' ').append(fault).append(" for ").append(durationMs).append('\n');
        }
        return of(text.toString());
    }

    @Override public String toString() {
        StringBuilder text = new StringBuilder();
        for (Line line : lines) text.append(line.text).append('\n');
        return text.toString();
    }

    // ---- injection ----

    void scheduleOn(Simulation simulation) {
        for (Line line : lines) simulation.clock.scheduleAfter(line.atMs, () -> inject(simulation, line));
    }

    private static List<SimulatedNode> nodes(Simulation simulation, String target) {
        String[] words = target.split(" ");
        List<SimulatedNode> caches = simulation.nodes.stream().filter(b -> b.kind == SimulatedNode.CACHE).toList();
        List<SimulatedNode> parents = simulation.nodes.stream().filter(b -> b.kind == SimulatedNode.PARENT).toList();
        double number = Double.parseDouble(words[1]);
        return switch (words[0]) {
            case "cache" -> List.of(caches.get((int) number % caches.size()));
            case "parent" -> List.of(parents.get((int) number % parents.size()));
            case "place" -> caches.stream().filter(b -> b.zone == (int) number).toList();
            case "caches" -> spread(caches, number);
            case "parents" -> spread(parents, number);
            default -> List.of();
        };
    }

    /** Selects a share of the list at even distances: the same elements in each run. */
    private static <T> List<T> spread(List<T> all, double share) {
        List<T> selected = new ArrayList<>();
        for (int i = 0; i < all.size(); i++) if ((int) ((i + 1) * share) > (int) (i * share)) selected.add(all.get(i));
        return selected;
    }

    private static void inject(Simulation simulation, Line line) {
        EventQueue clock = simulation.clock;
        switch (line.kind) {
            case "crash" -> nodes(simulation, line.target).forEach(node -> {
                node.stop();
                simulation.publishStatus(node, Director.REMOVED);
                clock.scheduleAfter(line.durationMs, () -> restart(simulation, node));
            });
            case "vanish" -> nodes(simulation, line.target).forEach(node -> {
                node.silent = true;
                clock.scheduleAfter(line.durationMs, () -> {
                    if (node.silent && node.up) node.stop();
                    restart(simulation, node);
                });
            });
            case "drain" -> nodes(simulation, line.target).forEach(node -> {
                simulation.publishStatus(node, Director.DRAINING);
                // A release waits for discovery updates and open hops before it ends the process.
                clock.scheduleAfter(4 * simulation.scenario.get("news_ms"), () -> {
                    if (node.status != Director.DRAINING) return;
                    node.stop();
                    simulation.publishStatus(node, Director.REMOVED);
                    clock.scheduleAfter(line.durationMs, () -> restart(simulation, node));
                });
            });
            case "slow" -> nodes(simulation, line.target).forEach(node -> {
                node.setSlowdown(line.value);
                clock.scheduleAfter(line.durationMs, () -> node.setSlowdown(1));
            });
            case "stall" -> nodes(simulation, line.target).forEach(node -> node.stalledUntil = clock.nowMs
                + line.durationMs);
            case "purge" -> {
                for (int i = 0; i < line.value; i++) {
                    int group = i;
                    clock.scheduleAfter(line.durationMs * i / Math.max(1, line.value), () -> simulation.purge(group));
                }
            }
            case "origin-slow" -> {
                simulation.origin().setSlowdown(line.value);
                clock.scheduleAfter(line.durationMs, () -> simulation.origin().setSlowdown(1));
            }
            case "origin-stop" -> {
                simulation.origin().up = false;
                clock.scheduleAfter(line.durationMs, () -> simulation.origin().up = true);
            }
            case "link" -> {
                int zone = zone(simulation, line.target);
                simulation.zoneLink(zone).setCapacity(simulation.scenario.get("link_flows") / line.value);
                clock.scheduleAfter(line.durationMs,
                    () -> simulation.zoneLink(zone).setCapacity(simulation.scenario.get("link_flows")));
            }
            case "news" -> {
                simulation.discoveryDelayFactor = line.value;
                clock.scheduleAfter(line.durationMs, () -> simulation.discoveryDelayFactor = 1);
            }
            case "cut" -> {
                int zone = zone(simulation, line.target);
                simulation.isolatedZones.add(zone);
                clock.scheduleAfter(line.durationMs, () -> simulation.isolatedZones.remove(zone));
            }
            case "hot", "scan", "load" -> {
                for (int zone = 0; zone < simulation.scenario.count("places"); zone++) {
                    LoadGenerator generator = simulation.loadGenerator(zone);
                    setLoad(generator, line.kind, line.value);
                    clock.scheduleAfter(line.durationMs, () ->
                        setLoad(generator, line.kind, line.kind.equals("load") ? 1 : 0));
                }
            }
            case "kill" -> directors(simulation, line.target).forEach(director ->
                kill(simulation, director, line.durationMs));
            default -> {
                double intervalMs = line.durationMs / Math.max(1, simulation.directors.size());
                for (int i = 0; i < simulation.directors.size(); i++) {
                    SimulatedDirector director = simulation.directors.get(i);
                    clock.scheduleAfter(intervalMs * i, () -> kill(simulation, director, Math.max(500, intervalMs)));
                }
            }
        }
    }

    private static void kill(Simulation simulation, SimulatedDirector director, double durationMs) {
        if (director.down) return;
        director.kill();
        simulation.clock.scheduleAfter(durationMs, director::start);
    }

    private static int zone(Simulation simulation, String target) {
        return (int) Double.parseDouble(target.split(" ")[1]) % simulation.scenario.count("places");
    }

    private static List<SimulatedDirector> directors(Simulation simulation, String target) {
        String[] words = target.split(" ");
        double number = Double.parseDouble(words[1]);
        return words[0].equals("director")
            ? List.of(simulation.directors.get((int) number % simulation.directors.size()))
            : spread(simulation.directors, number);
    }

    private static void setLoad(LoadGenerator generator, String kind, double value) {
        if (kind.equals("load")) generator.rateFactor = value;
        else if (kind.equals("hot")) generator.hotShare = value;
        else generator.scanShare = value;
    }

    private static void restart(Simulation simulation, SimulatedNode node) {
        if (node.up && !node.silent || node.overloaded) return;
        node.start(simulation.clock.nowMs);
        simulation.publishStatus(node, Director.IN_SERVICE);
    }
}
