package mothcross.adapter;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mothcross.CacheDirector;
import mothcross.Capabilities;
import mothcross.Director;
import mothcross.SiteParameters;
import mothcross.SlowStartLimits;
import mothcross.Topology;
import mothcross.Workload;

/** The settings of a director, read from named values, and the director started with them. */
public final class DirectorSettings {
    private static final Map<String, Integer> REPORT_INDEX = Map.of(
        "busy_reqs", Director.REPORT_ACTIVE_REQUESTS,
        "pending", Director.REPORT_QUEUED_REQUESTS,
        "cpu_share", Director.REPORT_CPU_SHARE,
        "svc_ms", Director.REPORT_SERVICE_MS,
        "served_ps", Director.REPORT_SUCCEEDED_PER_S,
        "failed_ps", Director.REPORT_FAILED_PER_S,
        "x0", Director.REPORT_HIT_RATIO,
        "x1", Director.REPORT_LINK_UTILIZATION);
    /** Margin of the purge retention, beyond twice the time that a purge takes. */
    private static final int PURGE_RETENTION_MARGIN_MS = 10_000;

    /** Index in {@link #workloadTable} by the name of the workload. */
    public final Map<String, Integer> workloads = new HashMap<>();
    public final Workload[] workloadTable;
    public final List<String> zones;
    public final List<String> kinds;
    /** For each value of a load report, in its sender's order, its index in {@link Director}, or -1. */
    public final int[] reportIndices;
    /** The names of the values of a load report, in its sender's order. */
    public final String[] reportFields;
    /** Most lookups in flight on one connection to a node. */
    public final int maxStreamsPerConnection;
    /** Longest time to make a connection to a node. */
    public final double connectMs;
    /** Time after which an idle connection to a node is closed. */
    public final double idleMs;
    /** Pace of one flow, infinite where it is not configured. */
    public final double flowKbPerMs;
    public final boolean probingAllowed;
    public final boolean cancellation;
    /** Longest retry-after time that clients are given, 0 where they are given none. */
    public final double maxRetryAfterMs;
    /** Number of directors in this director's zone, itself included. */
    public final int directorsInZone;
    /** How long after it was issued a purge may still matter. */
    public final double purgeRetentionMs;
    /** Seed of random choices made outside the director, independent of the director's own. */
    public final long edgeSeed;
    public final Director director;

    /** Reads the settings and starts a director; throws where a required one is missing or one is unusable. */
    public DirectorSettings(FieldMap fields, long seed) {
        zones = Arrays.asList(fields.list("Zones"));
        kinds = Arrays.asList(fields.list("Kinds"));
        reportFields = fields.list("Report.Fields");
        reportIndices = new int[reportFields.length];
        for (int i = 0; i < reportFields.length; i++) {
            reportIndices[i] = REPORT_INDEX.getOrDefault(reportFields[i], -1);
        }
        maxStreamsPerConnection = Math.max(1, fields.intValue("Caps.StreamsPerConn", 100));
        connectMs = fields.milliseconds("Caps.ConnectTimeout", 1000);
        idleMs = fields.milliseconds("Caps.IdleClose", 30_000);
        probingAllowed = fields.flag("Caps.Probing");
        cancellation = fields.flag("Caps.Cancel");
        double purgeTakesMs = fields.milliseconds("FamilyInfo.PurgeTakes", 0);
        purgeRetentionMs = 2 * purgeTakesMs + PURGE_RETENTION_MARGIN_MS;
        edgeSeed = ~seed;
        workloadTable = readWorkloads(fields);
        int ownZone = zones.indexOf(fields.text("Zone"));
        if (ownZone < 0) throw fields.malformed("Zone", fields.text("Zone"));
        int directors = fields.intValue("Balancers");
        double[] directorCounts = fields.numbers("FamilyInfo.CrewByZone");
        int[] directorsPerZone = new int[zones.size()];
        for (int i = 0; i < directorsPerZone.length; i++) {
            directorsPerZone[i] = (int) valueAt(directorCounts, i, directors);
        }
        double flowKbPerS = fields.number("FamilyInfo.OneFlowKbPerS", 0);
        flowKbPerMs = flowKbPerS > 0 ? flowKbPerS / 1000 : Double.POSITIVE_INFINITY;
        double overloadWindowMs = fields.milliseconds("Rules.TipAfter", 2000);
        maxRetryAfterMs = fields.flag("Caps.RetryAfter") ? fields.milliseconds("Caps.MaxRetryAfter", 0) : 0;
        directorsInZone = Math.max(1, directorsPerZone[ownZone]);
        Topology topology = new Topology(ownZone, directorsPerZone, directors,
            fields.intValue("FamilyInfo.MidKind", -1), fields.intValue("FamilyInfo.MasterKind", -1));
        Capabilities capabilities = new Capabilities(fields.intValue("Caps.MaxAttempts"),
            fields.flag("Caps.SecondCopies"), cancellation, fields.flag("FamilyInfo.PassThroughOk"),
            fields.flag("FamilyInfo.SharesFills"), maxRetryAfterMs);
        SiteParameters siteParameters = new SiteParameters(
            fields.text("Weights", "silent").equals("nominal"),
            fields.text("FamilyInfo.Detail", "silent").equals("all"),
            fields.text("MembershipMode", "pushed").equals("on_request"),
            flowKbPerS / 1000,
            flowKbPerS > 0 ? valueAt(fields.numbers("FamilyInfo.InletKbPerS"), ownZone, 0) / flowKbPerS : 0);
        SlowStartLimits caches = new SlowStartLimits(fields.number("Rules.ColdFrom", 1),
            fields.milliseconds("Rules.Cold", 0), fields.number("Rules.OverloadFactor", 1), overloadWindowMs);
        SlowStartLimits parents = new SlowStartLimits(fields.number("FamilyInfo.ParentFloor", 1),
            fields.milliseconds("FamilyInfo.ParentCold", 0), fields.number("FamilyInfo.ParentBreaksAt", 1),
            overloadWindowMs);
        director = new CacheDirector(seed, workloadTable, topology, capabilities, siteParameters, caches, parents,
            purgeTakesMs);
    }

    private Workload[] readWorkloads(FieldMap fields) {
        double[] freshS = fields.numbers("FamilyInfo.GoodFor");
        double[] staleS = fields.numbers("FamilyInfo.StaleFor");
        double[] staleValueShare = fields.numbers("FamilyInfo.OldCopyWorth");
        String[] uncacheable = fields.list("FamilyInfo.NeverKept");
        Workload[] table = new Workload[fields.intValue("Services.count")];
        for (int i = 0; i < table.length; i++) {
            String prefix = "Services." + i + ".";
            workloads.put(fields.text(prefix + "Name"), i);
            table[i] = new Workload(
                effect(fields, prefix + "Effect"),
                deduplicationScope(fields, prefix + "KeyScope"),
                fields.milliseconds(prefix + "Window", 0),
                fields.milliseconds(prefix + "OnTime"),
                fields.number(prefix + "AimStretch", 0),
                fields.milliseconds(prefix + "HardLimit"),
                fields.number(prefix + "Credit", 1),
                fields.number(prefix + "LateValue", 0),
                1000 * valueAt(freshS, i, 0),
                1000 * valueAt(staleS, i, 0),
                valueAt(staleValueShare, i, 0),
                i < uncacheable.length && uncacheable[i].equals("true"));
        }
        return table;
    }

    /** Orders the values of a load report by their index in {@link Director}; missing ones are NaN. */
    public double[] decodeReport(double[] values) {
        double[] report = new double[Director.REPORT_SIZE];
        Arrays.fill(report, Double.NaN);
        for (int i = 0; i < values.length && i < reportIndices.length; i++) {
            if (reportIndices[i] >= 0) report[reportIndices[i]] = values[i];
        }
        return report;
    }

    /** The status in {@link Director} that a word of the node list stands for, -1 for an unknown word. */
    public static int parseNodeStatus(String word) {
        return switch (word) {
            case "in_service" -> Director.IN_SERVICE;
            case "terminating" -> Director.DRAINING;
            case "terminated" -> Director.REMOVED;
            default -> -1;
        };
    }

    private static double valueAt(double[] values, int index, double defaultValue) {
        return index < values.length ? values[index] : defaultValue;
    }

    private static Workload.Effect effect(FieldMap fields, String field) {
        return switch (fields.text(field)) {
            case "safe" -> Workload.Effect.IDEMPOTENT;
            case "keyed" -> Workload.Effect.DEDUPLICATED;
            case "unsafe" -> Workload.Effect.NON_IDEMPOTENT;
            default -> throw fields.malformed(field, fields.text(field));
        };
    }

    private static Workload.DeduplicationScope deduplicationScope(FieldMap fields, String field) {
        return switch (fields.text(field, "all")) {
            case "all" -> Workload.DeduplicationScope.ALL;
            case "zone" -> Workload.DeduplicationScope.ZONE;
            case "cell" -> Workload.DeduplicationScope.CELL;
            default -> throw fields.malformed(field, fields.text(field));
        };
    }
}
