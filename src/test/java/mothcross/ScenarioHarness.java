package mothcross;

import java.util.*;

/** One director on a stage: plays scenario lines into it and notes what it writes. */
final class ScenarioHarness implements DecisionWriter {
    final List<String> written = new ArrayList<>();
    int checks;
    private final Map<String, String> told = new HashMap<>(Map.of("effect", "IDEMPOTENT", "group", "ALL",
        "fresh", "0", "stale", "0", "hops", "4", "copies", "1", "straight", "0", "links", "1",
        "explained", "1", "directors", "2"));
    private final Map<String, Integer> nodes = new HashMap<>();
    private final List<String> names = new ArrayList<>();
    private final PriorityQueue<double[]> bells = new PriorityQueue<>((a, b) -> Double.compare(a[0], b[0]));
    private final int[] hops = new int[4096], lastNode = new int[4096];
    private final String[] lastSource = new String[4096];
    private final Director director;

    ScenarioHarness(List<String> start) {
        told.put("here", "1");
        for (String s : start) for (String p : s.split(" ")) told.put(p.split("=")[0], p.split("=")[1]);
        Workload w = new Workload(Workload.Effect.valueOf(told.get("effect")),
            Workload.DeduplicationScope.valueOf(told.get("group")), 5000, 400, 2, 6000, 2, 0.15, n("fresh"),
            n("stale"), 0.5, told.containsKey("never"));
        director = new CacheDirector(7, new Workload[] {w},
            new Topology(1, new int[] {0, (int) n("here"), 1}, (int) n("directors"), 1, 2),
            new Capabilities((int) n("hops"), n("copies") > 0, true, n("straight") > 0, true, 1000),
            new SiteParameters(n("links") > 0, n("explained") > 0, told.containsKey("follow"), 10, 0),
            new SlowStartLimits(0.2, 10_000, 3, 1000), new SlowStartLimits(0.1, 20_000, 2, 1000), 6000);
    }

    private double n(String key) {
        return Double.parseDouble(told.get(key));
    }

    /** {@code ask L KEY [kb=] [group=] [wait=]}, {@code end L OUTCOME [note=] [spent=] [hop=] [last=]}, ... */
    void play(double t, String line) {
        while (!bells.isEmpty() && bells.peek()[0] <= t) {
            double[] b = bells.poll();
            director.process(b[0], to -> to.timerFired((long) b[1]), this);
        }
        if (line.startsWith("serve ") || line.startsWith("fail ")) {   // asked, and ended if a hop went out
            int before = written.size();
            play(t, "ask" + line.substring(line.indexOf(' ')));
            if (written.size() > before && written.get(before).startsWith("fetch")) {
                play(t, "end " + line.split(" ")[1] + (line.startsWith("serve") ? " 0 note=1" : " 2 note=10"));
            }
            return;
        }
        if (line.startsWith("err ")) {                                  // every node it is sent to gives an error
            play(t, "ask" + line.substring(3));
            for (int l = Integer.parseInt(line.split(" ")[1]), n = -1; n != hops[l];) {
                n = hops[l];
                play(t, "end " + l + " 1");
            }
            return;
        }
        String[] p = line.split(" ");
        Map<String, String> f = new HashMap<>();
        for (String x : p) if (x.indexOf('=') > 0) f.put(x.split("=")[0], x.split("=")[1]);
        director.process(t, to -> {
            switch (p[0]) {
                case "ask" -> {
                    int l = Integer.parseInt(p[1]);
                    hops[l] = 0;
                    lastSource[l] = null;
                    to.lookup(l, 0, t + num(f, "wait", 6000), Long.parseLong(p[2]), (int) num(f, "part", 0),
                        (int) num(f, "group", 0), num(f, "kb", 1000), false, f.containsKey("write"), narrowing(f));
                }
                case "end" -> {
                    int l = Integer.parseInt(p[1]), outcome = Integer.parseInt(p[2]);
                    double[] report = new double[Director.REPORT_SIZE];
                    Arrays.fill(report, Double.NaN);
                    to.hopEnded(l, (int) num(f, "hop", hops[l] - 1), lastNode[l], outcome,
                        num(f, "last", outcome == 0 ? 1 : 0) > 0, (int) num(f, "note", 0),
                        num(f, "spent", 100), num(f, "wait", 0), report);
                }
                case "source" -> {                          // ends every hop out that names this source
                    for (int l = 0; l < hops.length; l++) {
                        if (!p[1].equals(lastSource[l])) continue;
                        lastSource[l] = null;
                        to.hopEnded(l, hops[l] - 1, lastNode[l], Integer.parseInt(p[2]), true,
                            (int) num(f, "note", 0), num(f, "spent", 100), num(f, "wait", 0), null);
                    }
                }
                case "left" -> to.clientDisconnected(Integer.parseInt(p[1]));
                case "purge" -> to.purged(Long.parseLong(p[1]), (int) num(f, "group", -1), num(f, "ago", 0));
                case "list" -> {
                    to.listStarted(Integer.parseInt(p[1]));
                    for (int i = 2; i < p.length; i++) entry(to, p[i].split(","));
                    to.listFinished();
                }
                default -> throw new IllegalArgumentException(line);
            }
        }, this);
    }

    /** {@code by=KEY}, {@code most=HOPS} and {@code weight=SHARE} of an {@code ask}: what a route narrows. */
    private static RouteConstraints narrowing(Map<String, String> f) {
        if (!f.containsKey("by") && !f.containsKey("most") && !f.containsKey("weight")) return null;
        return new RouteConstraints(f.containsKey("by"), (long) num(f, "by", 0), (int) num(f, "most", 99),
            num(f, "weight", 1));
    }

    /** NAME,place,kind,standing,units,startedAt: kind 0 cache, 1 parent, 2 origin. */
    private void entry(Director to, String[] e) {
        Integer at = nodes.get(e[0]);
        if (at == null) {
            nodes.put(e[0], at = names.size());
            names.add(e[0]);
        }
        to.nodeListed(at, e[0], Integer.parseInt(e[1]), Integer.parseInt(e[2]), Integer.parseInt(e[1]),
            Integer.parseInt(e[3]), Double.parseDouble(e[4]), Double.parseDouble(e[5]));
    }

    private static double num(Map<String, String> f, String key, double otherwise) {
        return f.containsKey(key) ? Double.parseDouble(f.get(key)) : otherwise;
    }

    @Override public void sendCacheOnly(int lookup, int node, double giveUpAt) {
        hops[lookup]++;
        lastNode[lookup] = node;
        written.add("look " + lookup + " " + names.get(node));
    }

    @Override public void sendFetch(int lookup, int node, double giveUpAt, int source, int rank, double maxAge,
                                int how) {
        hops[lookup]++;
        lastNode[lookup] = node;
        lastSource[lookup] = names.get(source);
        written.add("fetch " + lookup + " " + names.get(node) + " from=" + names.get(source) + " rank=" + rank
            + " age=" + Math.round(maxAge) + " how=" + how + " until=" + Math.round(giveUpAt));
    }

    @Override public void cancelHop(int lookup, int hop) {
        written.add("calloff " + lookup + " " + hop);
    }

    @Override public void reject(int lookup, double comeBackAfter) {
        written.add("bounce " + lookup + (comeBackAfter > 0 ? " later" : ""));
    }

    @Override public void fail(int lookup) {
        written.add("giveup " + lookup);
    }

    @Override public void probe(int node) {
        written.add("probe " + names.get(node));
    }

    @Override public void setTimer(double at, long name) {
        bells.add(new double[] {at, name});
    }

    @Override public void watchNodeList(boolean on) {
        written.add("follow " + on);
    }

    @Override public void log(String text) { }
}
