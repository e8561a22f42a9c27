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

/**
 * Connects one director to the simulator's protocol: delivers its lines as events, writes decisions as lines, and
 * maps the simulator's ids to the director's indices.
 */
final class SimulatorAdapter implements EventBatch, DecisionWriter {
    private final int instance;
    private final DirectorSettings settings;
    private final StringBuilder reply;
    private final Map<String, Integer> nodeIndices = new HashMap<>();
    /** Address of a node by its index. */
    private final List<String> nodes = new ArrayList<>();
    private final Map<Long, Integer> lookupIndices = new HashMap<>();
    private final LookupIndexAllocator allocator = new LookupIndexAllocator();
    /** The simulator's id of a lookup by its index. */
    private long[] lookupIds = new long[64];
    private List<WireLine> lines = List.of();
    /** The reply names this instance before its first line of a round. */
    private boolean instanceWritten;

    SimulatorAdapter(int instance, DirectorSettings settings, StringBuilder reply) {
        this.instance = instance;
        this.settings = settings;
        this.reply = reply;
    }

    /** Delivers the lines of one moment and appends the decisions to the reply. */
    void process(double now, List<WireLine> in) {
        lines = in;
        instanceWritten = false;
        settings.director.process(now, this, this);
        lines = List.of();
    }

    // ---- events ----

    @Override public void deliverTo(Director director) {
        for (int i = 0; i < lines.size(); i++) {
            WireLine line = lines.get(i);
            switch (line.name) {
                case "SUBMIT" -> submit(line, director);
                case "ATTEMPT_END" -> attemptEnd(line, director);
                case "DROPPED" -> dropped(line, director);
                case "STREAMING" -> {
                    Integer lookup = lookupIndices.get(line.longValue("Corr"));
                    if (lookup != null) director.streamStarted(lookup, line.intValue("RoundNo", 0));
                }
                case "BELL" -> director.timerFired(line.longValue("Name"));
                case "SUPERSEDED" -> {
                    long object = line.longValue("Item", -1);
                    int group = object < 0 ? line.intValue("Tag") : line.intValue("Tag", -1);
                    director.purged(object, group, line.milliseconds("AgeSpan", 0));
                }
                case "HEALTH_RESULT" -> {
                    Integer node = nodeIndices.get(line.text("Node"));
                    if (node != null) {
                        director.probeCompleted(node, line.intValue("Disposition"), line.milliseconds("Spent", 0),
                            report(line));
                    }
                }
                case "TARGETS" -> i = targets(line, i, director);
                // Unknown messages are ignored.
                default -> { }
            }
        }
    }

    private void submit(WireLine line, Director director) {
        long id = line.longValue("Corr");
        Integer workload = settings.workloads.get(line.text("Class"));
        if (workload == null) throw line.malformed("Class", line.text("Class"));
        double expires = line.milliseconds("Expires");
        if (lookupIndices.containsKey(id)) return;
        int lookup = allocator.allocate();
        if (lookup == lookupIds.length) lookupIds = Arrays.copyOf(lookupIds, 2 * lookup);
        lookupIds[lookup] = id;
        lookupIndices.put(id, lookup);
        director.lookup(lookup, workload, expires, line.longValue("Item", 0), (int) line.number("Segment", 0),
            (int) line.number("Group", -1), line.number("BytesK", 0), line.flag("IsRetry"), line.flag("IsWrite"));
    }

    private void attemptEnd(WireLine line, Director director) {
        long id = line.longValue("Corr");
        int hop = line.intValue("RoundNo");
        int outcome = line.intValue("Disposition");
        Integer lookup = lookupIndices.get(id);
        Integer node = nodeIndices.get(line.text("Node"));
        if (lookup == null || node == null || !allocator.hopEnded(lookup, hop)) return;
        boolean last = line.flag("Last");
        if (last) allocator.markOver(lookup);
        director.hopEnded(lookup, hop, node, outcome, last, line.intValue("Note", 0), line.milliseconds("Spent", 0),
            line.milliseconds("SourceWait", 0), report(line));
        release(lookup);
    }

    private void dropped(WireLine line, Director director) {
        Integer lookup = lookupIndices.get(line.longValue("Corr"));
        if (lookup == null || allocator.isOver(lookup)) return;
        allocator.markOver(lookup);
        director.clientDisconnected(lookup);
        release(lookup);
    }

    private double[] report(WireLine line) {
        if (line.text("Stats", null) == null) return null;
        return settings.decodeReport(line.numbers("Stats"));
    }

    /** Delivers a list update, whose entries are the lines after the header; returns the index of the last one. */
    private int targets(WireLine header, int headerIndex, Director director) {
        int entries = header.intValue("Entries", 0);
        String kind = header.text("Kind");
        director.listStarted(switch (kind) {
            case "INCREMENTAL" -> Director.LIST_DELTA;
            case "FULL" -> Director.LIST_SNAPSHOT;
            case "SAVED" -> Director.LIST_RESTORED;
            case "FAILED" -> Director.LIST_UNAVAILABLE;
            default -> throw header.malformed("Kind", kind);
        });
        int last = headerIndex;
        for (int entry = 0; entry < entries; entry++) {
            last++;
            if (last >= lines.size() || !lines.get(last).name.equals("ITEM")) {
                throw header.malformed("Entries", entries + "', but " + entry + " entries follow, not '" + entries);
            }
            nodeListed(lines.get(last), director);
        }
        director.listFinished();
        return last;
    }

    private void nodeListed(WireLine item, Director director) {
        String address = item.text("Node");
        int zone = settings.zones.indexOf(item.text("Locality"));
        int nodeKind = settings.kinds.indexOf(item.text("FamilyType", ""));
        String health = item.text("Health");
        int status = DirectorSettings.parseNodeStatus(health);
        if (status < 0) throw item.malformed("Health", health);
        Integer node = nodeIndices.get(address);
        if (node == null) {
            node = nodes.size();
            nodeIndices.put(address, node);
            nodes.add(address);
        }
        director.nodeListed(node, address, zone, nodeKind, item.intValue("Cluster", 0), status,
            item.number("Units", 1), item.milliseconds("BootTime", 0));
    }

    private void release(int lookup) {
        if (allocator.release(lookup)) lookupIndices.remove(lookupIds[lookup]);
    }

    // ---- decisions ----

    private StringBuilder line(String name) {
        if (!instanceWritten) {
            reply.append("CONTEXT I=").append(instance).append('\n');
            instanceWritten = true;
        }
        return reply.append(name);
    }

    /** Appends a time in seconds, with six decimals. */
    private StringBuilder seconds(double ms) {
        long micros = Math.round(ms * 1000);
        if (micros < 0) {
            reply.append('-');
            micros = -micros;
        }
        reply.append(micros / 1_000_000).append('.');
        String decimals = Long.toString(micros % 1_000_000);
        return reply.append("000000", 0, 6 - decimals.length()).append(decimals);
    }

    private void hop(String name, int lookup, int node, double deadline) {
        allocator.hopSent(lookup);
        line(name).append(" Corr=").append(lookupIds[lookup]).append(" Node=").append(nodes.get(node))
            .append(" ExpireAt=");
        seconds(deadline);
    }

    @Override public void sendCacheOnly(int lookup, int node, double deadline) {
        hop("PLACE", lookup, node, deadline);
        reply.append('\n');
    }

    @Override public void sendFetch(int lookup, int node, double deadline, int source, int rank, double maxAge,
                                    int flags) {
        hop("GET", lookup, node, deadline);
        reply.append(" FromWhere=").append(nodes.get(source));
        reply.append(" Keep=").append(rank);
        if (maxAge > 0) {
            reply.append(" AgeSpan=");
            seconds(maxAge);
        }
        if (flags > 0) reply.append(" Bits=").append(flags);
        reply.append('\n');
    }

    @Override public void cancelHop(int lookup, int hop) {
        line("RECALL").append(" Corr=").append(lookupIds[lookup]).append(" RoundNo=").append(hop).append('\n');
    }

    @Override public void reject(int lookup, double retryAfterMs) {
        line("REFUSE").append(" Corr=").append(lookupIds[lookup]);
        if (retryAfterMs > 0) {
            reply.append(" Backoff=");
            seconds(retryAfterMs);
        }
        reply.append('\n');
        allocator.markOver(lookup);
        release(lookup);
    }

    @Override public void fail(int lookup) {
        line("FAIL").append(" Corr=").append(lookupIds[lookup]).append('\n');
        allocator.markOver(lookup);
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
