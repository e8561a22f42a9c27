package mothcross;

import java.util.*;

/** Plays the events of a scenario into one director and records its decisions as text. */
final class ScenarioHarness implements DecisionWriter {
    private static final int MAX_LOOKUPS = 4096;

    /** The decisions since this list was last cleared; timers are kept apart and fire by themselves. */
    final List<String> written = new ArrayList<>();
    int checks;
    private final Map<String, String> settings = new HashMap<>(Map.ofEntries(
        Map.entry("effect", "IDEMPOTENT"), Map.entry("scope", "ALL"), Map.entry("fresh", "0"),
        Map.entry("stale", "0"), Map.entry("hops", "4"), Map.entry("hedging", "1"), Map.entry("bypass", "0"),
        Map.entry("capacityKnown", "1"), Map.entry("reasons", "1"), Map.entry("directors", "2"),
        Map.entry("directorsInZone", "1")));
    private final Map<String, Integer> nodeIndices = new HashMap<>();
    private final List<String> nodeNames = new ArrayList<>();
    /** Pairs of time and timer name. */
    private final PriorityQueue<double[]> timers = new PriorityQueue<>((a, b) -> Double.compare(a[0], b[0]));
    private final int[] hopCounts = new int[MAX_LOOKUPS];
    private final int[] lastNode = new int[MAX_LOOKUPS];
    private final String[] lastSource = new String[MAX_LOOKUPS];
    private final Director director;

    /** Each line of {@code start} has settings of the form KEY=VALUE, separated by spaces. */
    ScenarioHarness(List<String> start) {
        for (String line : start) {
            for (String setting : line.split(" ")) settings.put(setting.split("=")[0], setting.split("=")[1]);
        }
        Workload workload = new Workload(Workload.Effect.valueOf(settings.get("effect")),
            Workload.DeduplicationScope.valueOf(settings.get("scope")), 5000, 400, 2, 6000, 2, 0.15,
            setting("fresh"), setting("stale"), 0.5, settings.containsKey("uncacheable"));
        Topology topology = new Topology(1, new int[] {0, (int) setting("directorsInZone"), 1},
            (int) setting("directors"), 1, 2);
        Capabilities capabilities = new Capabilities((int) setting("hops"), setting("hedging") > 0, true,
            setting("bypass") > 0, true, 1000);
        SiteParameters siteParameters = new SiteParameters(setting("capacityKnown") > 0, setting("reasons") > 0,
            settings.containsKey("listOnRequest"), 10, 0);
        director = new CacheDirector(7, new Workload[] {workload}, topology, capabilities, siteParameters,
            new SlowStartLimits(0.2, 10_000, 3, 1000), new SlowStartLimits(0.1, 20_000, 2, 1000), 6000);
    }

    private double setting(String key) {
        return Double.parseDouble(settings.get(key));
    }

    /**
     * Plays one event, after the timers that are due by then. {@link ScenarioTest} describes the events.
     */
    void play(double time, String line) {
        while (!timers.isEmpty() && timers.peek()[0] <= time) {
            double[] timer = timers.poll();
            director.process(timer[0], to -> to.timerFired((long) timer[1]), this);
        }
        String[] words = line.split(" ");
        switch (words[0]) {
            case "serve", "originfail" -> askAndEnd(time, line);
            case "error" -> askAndFailAll(time, line);
            default -> director.process(time, to -> deliver(to, time, line, words), this);
        }
    }

    /** Ends the lookup's first hop at once, with a hit or a failure of the origin, where one is sent. */
    private void askAndEnd(double time, String line) {
        int before = written.size();
        play(time, "ask" + line.substring(line.indexOf(' ')));
        if (written.size() > before && written.get(before).startsWith("fetch")) {
            play(time, "end " + line.split(" ")[1] + (line.startsWith("serve") ? " 0 note=1" : " 2 note=10"));
        }
    }

    /** Ends every hop of the lookup at once with an error. */
    private void askAndFailAll(double time, String line) {
        play(time, "ask" + line.substring(line.indexOf(' ')));
        int lookup = Integer.parseInt(line.split(" ")[1]);
        int ended = -1;
        while (ended != hopCounts[lookup]) {
            ended = hopCounts[lookup];
            play(time, "end " + lookup + " 1");
        }
    }

    private void deliver(Director to, double time, String line, String[] words) {
        Map<String, String> options = new HashMap<>();
        for (String word : words) {
            if (word.indexOf('=') > 0) options.put(word.split("=")[0], word.split("=")[1]);
        }
        switch (words[0]) {
            case "ask" -> {
                int lookup = Integer.parseInt(words[1]);
                hopCounts[lookup] = 0;
                lastSource[lookup] = null;
                to.lookup(lookup, 0, time + number(options, "wait", 6000), Long.parseLong(words[2]),
                    (int) number(options, "part", 0), (int) number(options, "group", 0),
                    number(options, "kb", 1000), false, options.containsKey("write"), constraints(options));
            }
            case "end" -> {
                int lookup = Integer.parseInt(words[1]);
                int outcome = Integer.parseInt(words[2]);
                double[] report = new double[Director.REPORT_SIZE];
                Arrays.fill(report, Double.NaN);
                to.hopEnded(lookup, (int) number(options, "hop", hopCounts[lookup] - 1), lastNode[lookup], outcome,
                    number(options, "last", outcome == 0 ? 1 : 0) > 0, (int) number(options, "note", 0),
                    number(options, "spent", 100), number(options, "wait", 0), report);
            }
            case "source" -> {
                for (int lookup = 0; lookup < hopCounts.length; lookup++) {
                    if (!words[1].equals(lastSource[lookup])) continue;
                    lastSource[lookup] = null;
                    to.hopEnded(lookup, hopCounts[lookup] - 1, lastNode[lookup], Integer.parseInt(words[2]), true,
                        (int) number(options, "note", 0), number(options, "spent", 100),
                        number(options, "wait", 0), null);
                }
            }
            case "disconnect" -> to.clientDisconnected(Integer.parseInt(words[1]));
            case "purge" -> to.purged(Long.parseLong(words[1]), (int) number(options, "group", -1),
                number(options, "ago", 0));
            case "list" -> {
                to.listStarted(Integer.parseInt(words[1]));
                for (int i = 2; i < words.length; i++) nodeListed(to, words[i].split(","));
                to.listFinished();
            }
            default -> throw new IllegalArgumentException("unknown event: " + line);
        }
    }

    /** The constraints of a route that an 'ask' names, or null. */
    private static RouteConstraints constraints(Map<String, String> options) {
        if (!options.containsKey("key") && !options.containsKey("maxHops") && !options.containsKey("share")) {
            return null;
        }
        return new RouteConstraints(options.containsKey("key"), (long) number(options, "key", 0),
            (int) number(options, "maxHops", 99), number(options, "share", 1));
    }

    /** An entry is NAME,zone,kind,status,units,startedAt; its cell is its zone. */
    private void nodeListed(Director to, String[] entry) {
        Integer index = nodeIndices.get(entry[0]);
        if (index == null) {
            index = nodeNames.size();
            nodeIndices.put(entry[0], index);
            nodeNames.add(entry[0]);
        }
        to.nodeListed(index, entry[0], Integer.parseInt(entry[1]), Integer.parseInt(entry[2]),
            Integer.parseInt(entry[1]), Integer.parseInt(entry[3]), Double.parseDouble(entry[4]),
            Double.parseDouble(entry[5]));
    }

    private static double number(Map<String, String> options, String key, double defaultValue) {
        return options.containsKey(key) ? Double.parseDouble(options.get(key)) : defaultValue;
    }

    @Override public void sendCacheOnly(int lookup, int node, double deadline) {
        hopCounts[lookup]++;
        lastNode[lookup] = node;
        written.add("cacheonly " + lookup + " " + nodeNames.get(node));
    }

    @Override public void sendFetch(int lookup, int node, double deadline, int source, int rank, double maxAge,
                                    int flags) {
        hopCounts[lookup]++;
        lastNode[lookup] = node;
        lastSource[lookup] = nodeNames.get(source);
        written.add("fetch " + lookup + " " + nodeNames.get(node) + " from=" + nodeNames.get(source) + " rank=" + rank
            + " age=" + Math.round(maxAge) + " flags=" + flags + " until=" + Math.round(deadline));
    }

    @Override public void cancelHop(int lookup, int hop) {
        written.add("cancel " + lookup + " " + hop);
    }

    @Override public void reject(int lookup, double retryAfterMs) {
        written.add("reject " + lookup + (retryAfterMs > 0 ? " later" : ""));
    }

    @Override public void fail(int lookup) {
        written.add("fail " + lookup);
    }

    @Override public void probe(int node) {
        written.add("probe " + nodeNames.get(node));
    }

    @Override public void setTimer(double at, long name) {
        timers.add(new double[] {at, name});
    }

    @Override public void watchNodeList(boolean on) {
        written.add("watch " + on);
    }

    @Override public void log(String text) { }
}
