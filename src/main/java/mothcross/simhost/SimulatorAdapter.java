package mothcross.simhost;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mothcross.DecisionWriter;
import mothcross.Director;
import mothcross.EventBatch;
import mothcross.adapter.DirectorSettings;
import mothcross.adapter.LookupIndexAllocator;

/** One instance's side of the wire: ids become small indices here, lines calls, and decisions lines. */
final class SimulatorAdapter implements EventBatch, DecisionWriter {
    private final int instance;
    private final DirectorSettings opening;
    private final StringBuilder reply;
    private final Map<String, Integer> nodeOf = new HashMap<>();
    private final List<String> nodes = new ArrayList<>();
    private final Map<Long, Integer> lookupOf = new HashMap<>();
    private final LookupIndexAllocator slots = new LookupIndexAllocator();
    private long[] ids = new long[64];
    private List<WireLine> lines = List.of();
    private boolean named;

    SimulatorAdapter(int instance, DirectorSettings opening, StringBuilder reply) {
        this.instance = instance;
        this.opening = opening;
        this.reply = reply;
    }

    void round(double now, List<WireLine> in) {
        lines = in;
        named = false;
        opening.director.process(now, this, this);
        lines = List.of();
    }

    // ---- reading ----

    @Override public void deliverTo(Director to) {
        for (int i = 0; i < lines.size(); i++) {
            WireLine l = lines.get(i);
            switch (l.name) {
                case "SUBMIT" -> submit(l, to);
                case "ATTEMPT_END" -> attemptEnd(l, to);
                case "DROPPED" -> {
                    Integer at = lookupOf.get(l.longValue("Corr"));
                    if (at != null && !slots.isOver(at)) {
                        slots.markOver(at);
                        to.clientDisconnected(at);
                        release(at);
                    }
                }
                case "STREAMING" -> {
                    Integer at = lookupOf.get(l.longValue("Corr"));
                    if (at != null) to.streamStarted(at, l.intValue("RoundNo", 0));
                }
                case "BELL" -> to.timerFired(l.longValue("Name"));
                case "SUPERSEDED" -> {
                    long item = l.longValue("Item", -1);
                    to.purged(item, item < 0 ? l.intValue("Tag") : l.intValue("Tag", -1), l.milliseconds("AgeSpan", 0));
                }
                case "HEALTH_RESULT" -> {
                    Integer node = nodeOf.get(l.text("Node"));
                    if (node != null) to.probeCompleted(node, l.intValue("Disposition"), l.milliseconds("Spent", 0),
                        report(l));
                }
                case "TARGETS" -> i = targets(l, i, to);
                default -> { }                      // what is not known is skipped
            }
        }
    }

    private void submit(WireLine l, Director to) {
        long id = l.longValue("Corr");
        Integer workload = opening.workloads.get(l.text("Class"));
        if (workload == null) throw l.malformed("Class", l.text("Class"));
        double expires = l.milliseconds("Expires");
        if (lookupOf.containsKey(id)) return;
        int at = slots.allocate();
        if (at == ids.length) ids = Arrays.copyOf(ids, 2 * at);
        ids[at] = id;
        lookupOf.put(id, at);
        to.lookup(at, workload, expires, l.longValue("Item", 0), (int) l.number("Segment", 0),
            (int) l.number("Group", -1), l.number("BytesK", 0), l.flag("IsRetry"), l.flag("IsWrite"));
    }

    private void attemptEnd(WireLine l, Director to) {
        long id = l.longValue("Corr");
        int hop = l.intValue("RoundNo"), outcome = l.intValue("Disposition");
        Integer at = lookupOf.get(id), node = nodeOf.get(l.text("Node"));
        if (at == null || node == null || !slots.hopEnded(at, hop)) return;
        boolean last = l.flag("Last");
        if (last) slots.markOver(at);
        to.hopEnded(at, hop, node, outcome, last, l.intValue("Note", 0), l.milliseconds("Spent", 0),
            l.milliseconds("SourceWait", 0), report(l));
        release(at);
    }

    private double[] report(WireLine l) {
        if (l.text("Stats", null) == null) return null;
        return opening.decodeReport(l.numbers("Stats"));
    }

    private int targets(WireLine l, int i, Director to) {
        int entries = l.intValue("Entries", 0);
        String kind = l.text("Kind");
        to.listStarted(switch (kind) {
            case "INCREMENTAL" -> Director.LIST_DELTA;
            case "FULL" -> Director.LIST_SNAPSHOT;
            case "SAVED" -> Director.LIST_RESTORED;
            case "FAILED" -> Director.LIST_UNAVAILABLE;
            default -> throw l.malformed("Kind", kind);
        });
        for (int e = 0; e < entries; e++) {
            if (++i >= lines.size() || !lines.get(i).name.equals("ITEM")) {
                throw l.malformed("Entries", entries + "', but " + e + " entries follow, not '" + entries);
            }
            WireLine item = lines.get(i);
            String address = item.text("Node");
            int place = opening.zones.indexOf(item.text("Locality"));
            int nodeKind = opening.kinds.indexOf(item.text("FamilyType", ""));
            String health = item.text("Health");
            int standing = DirectorSettings.parseNodeStatus(health);
            if (standing < 0) throw item.malformed("Health", health);
            Integer node = nodeOf.get(address);
            if (node == null) {
                nodeOf.put(address, node = nodes.size());
                nodes.add(address);
            }
            to.nodeListed(node, address, place, nodeKind, item.intValue("Cluster", 0), standing,
                item.number("Units", 1), item.milliseconds("BootTime", 0));
        }
        to.listFinished();
        return i;
    }

    private void release(int at) {
        if (slots.release(at)) lookupOf.remove(ids[at]);
    }

    // ---- writing ----

    private StringBuilder line(String name) {
        if (!named) {
            reply.append("CONTEXT I=").append(instance).append('\n');
            named = true;
        }
        return reply.append(name);
    }

    private StringBuilder seconds(double ms) {
        long us = Math.round(ms * 1000);
        if (us < 0) {
            reply.append('-');
            us = -us;
        }
        reply.append(us / 1_000_000).append('.');
        String rest = Long.toString(us % 1_000_000);
        return reply.append("000000", 0, 6 - rest.length()).append(rest);
    }

    private void hop(String name, int lookup, int node, double giveUpAt) {
        slots.hopSent(lookup);
        line(name).append(" Corr=").append(ids[lookup]).append(" Node=").append(nodes.get(node))
            .append(" ExpireAt=");
        seconds(giveUpAt);
    }

    @Override public void sendCacheOnly(int lookup, int node, double giveUpAt) {
        hop("PLACE", lookup, node, giveUpAt);
        reply.append('\n');
    }

    @Override public void sendFetch(int lookup, int node, double giveUpAt, int source, int rank, double maxAge,
                                int how) {
        hop("GET", lookup, node, giveUpAt);
        reply.append(" FromWhere=").append(nodes.get(source));
        reply.append(" Keep=").append(rank);
        if (maxAge > 0) {
            reply.append(" AgeSpan=");
            seconds(maxAge);
        }
        if (how > 0) reply.append(" Bits=").append(how);
        reply.append('\n');
    }

    @Override public void cancelHop(int lookup, int hop) {
        line("RECALL").append(" Corr=").append(ids[lookup]).append(" RoundNo=").append(hop).append('\n');
    }

    @Override public void reject(int lookup, double comeBackAfter) {
        line("REFUSE").append(" Corr=").append(ids[lookup]);
        if (comeBackAfter > 0) {
            reply.append(" Backoff=");
            seconds(comeBackAfter);
        }
        reply.append('\n');
        slots.markOver(lookup);
        release(lookup);
    }

    @Override public void fail(int lookup) {
        line("FAIL").append(" Corr=").append(ids[lookup]).append('\n');
        slots.markOver(lookup);
        release(lookup);
    }

    @Override public void probe(int node) {
        line("ASK_LOAD").append(" Node=").append(nodes.get(node)).append('\n');
    }

    @Override public void setTimer(double at, long name) {
        line("REMIND").append(" Moment=");
        seconds(at).append(" Name=").append(name).append('\n');
    }

    @Override public void watchNodeList(boolean on) {
        line("FOLLOW").append(" Want=").append(on ? 1 : 0).append('\n');
    }

    @Override public void log(String text) {
        line("SAY_LOG").append(" BodyText=").append(text.replace('\n', ' ')).append('\n');
    }
}
