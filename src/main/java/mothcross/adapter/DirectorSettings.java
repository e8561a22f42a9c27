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

/** Reads what a director is told at its start into the records the module starts from. */
public final class DirectorSettings {
    private static final Map<String, Integer> REPORT_PLACE = Map.of(
        "busy_reqs", Director.REPORT_ACTIVE_REQUESTS, "pending", Director.REPORT_QUEUED_REQUESTS, "cpu_share", Director.REPORT_CPU_SHARE,
        "svc_ms", Director.REPORT_SERVICE_MS, "served_ps", Director.REPORT_SUCCEEDED_PER_S,
        "failed_ps", Director.REPORT_FAILED_PER_S, "x0", Director.REPORT_HIT_RATIO, "x1", Director.REPORT_LINK_UTILIZATION);

    public final Map<String, Integer> workloads = new HashMap<>();
    public final Workload[] workloadTable;
    public final List<String> zones;
    public final List<String> kinds;
    /** For each value of a load report, in its sender's order, the place the module knows it by, or -1. */
    public final int[] reportIndices;
    public final String[] reportFields;
    /** What one connection to a node may carry, how long making one takes at most, and when idle ones end. */
    public final int maxStreamsPerConnection;
    public final double connectMs, idleMs;
    /** The pace of one answer's bytes as the settings tell it, or infinite. */
    public final double flowKbPerMs;
    public final boolean probingAllowed, cancellation;
    /** The longest advice to clients when to come back, 0 where none is carried; and who shares this place. */
    public final double maxRetryAfterMs;
    public final int directorsInZone;
    /** How long after it was issued a purge may still matter. */
    public final double purgeRetentionMs;
    /** Where the edges' own chance starts from, apart from the module's. */
    public final long edgeSeed;
    public final Director director;

    public DirectorSettings(FieldMap l, long seed) {
        zones = Arrays.asList(l.list("Zones"));
        kinds = Arrays.asList(l.list("Kinds"));
        reportFields = l.list("Report.Fields");
        reportIndices = new int[reportFields.length];
        for (int i = 0; i < reportFields.length; i++) {
            reportIndices[i] = REPORT_PLACE.getOrDefault(reportFields[i], -1);
        }
        maxStreamsPerConnection = Math.max(1, l.intValue("Caps.StreamsPerConn", 100));
        connectMs = l.milliseconds("Caps.ConnectTimeout", 1000);
        idleMs = l.milliseconds("Caps.IdleClose", 30_000);
        probingAllowed = l.flag("Caps.Probing");
        cancellation = l.flag("Caps.Cancel");
        purgeRetentionMs = 2 * l.milliseconds("FamilyInfo.PurgeTakes", 0) + 10_000;
        edgeSeed = ~seed;

        double[] fresh = l.numbers("FamilyInfo.GoodFor");
        double[] stale = l.numbers("FamilyInfo.StaleFor");
        double[] staleShare = l.numbers("FamilyInfo.OldCopyWorth");
        String[] neverKept = l.list("FamilyInfo.NeverKept");
        workloadTable = new Workload[l.intValue("Services.count")];
        for (int i = 0; i < workloadTable.length; i++) {
            String at = "Services." + i + ".";
            workloads.put(l.text(at + "Name"), i);
            workloadTable[i] = new Workload(effect(l, at + "Effect"), group(l, at + "KeyScope"),
                l.milliseconds(at + "Window", 0), l.milliseconds(at + "OnTime"), l.number(at + "AimStretch", 0),
                l.milliseconds(at + "HardLimit"), l.number(at + "Credit", 1), l.number(at + "LateValue", 0),
                1000 * part(fresh, i, 0), 1000 * part(stale, i, 0), part(staleShare, i, 0),
                i < neverKept.length && neverKept[i].equals("true"));
        }
        int own = zones.indexOf(l.text("Zone"));
        if (own < 0) throw l.malformed("Zone", l.text("Zone"));
        int total = l.intValue("Balancers");
        double[] crew = l.numbers("FamilyInfo.CrewByZone");
        int[] directorsAt = new int[zones.size()];
        for (int i = 0; i < directorsAt.length; i++) directorsAt[i] = (int) part(crew, i, total);
        double flow = l.number("FamilyInfo.OneFlowKbPerS", 0);
        flowKbPerMs = flow > 0 ? flow / 1000 : Double.POSITIVE_INFINITY;
        double span = l.milliseconds("Rules.TipAfter", 2000);
        maxRetryAfterMs = l.flag("Caps.RetryAfter") ? l.milliseconds("Caps.MaxRetryAfter", 0) : 0;
        directorsInZone = Math.max(1, directorsAt[own]);
        director = new CacheDirector(seed, workloadTable,
            new Topology(own, directorsAt, total, l.intValue("FamilyInfo.MidKind", -1),
                l.intValue("FamilyInfo.MasterKind", -1)),
            new Capabilities(l.intValue("Caps.MaxAttempts"), l.flag("Caps.SecondCopies"), l.flag("Caps.Cancel"),
                l.flag("FamilyInfo.PassThroughOk"), l.flag("FamilyInfo.SharesFills"),
                maxRetryAfterMs),
            new SiteParameters(l.text("Weights", "silent").equals("nominal"),
                l.text("FamilyInfo.Detail", "silent").equals("all"),
                l.text("MembershipMode", "pushed").equals("on_request"),
                flow / 1000, flow > 0 ? part(l.numbers("FamilyInfo.InletKbPerS"), own, 0) / flow : 0),
            new SlowStartLimits(l.number("Rules.ColdFrom", 1), l.milliseconds("Rules.Cold", 0),
                l.number("Rules.OverloadFactor", 1), span),
            new SlowStartLimits(l.number("FamilyInfo.ParentFloor", 1), l.milliseconds("FamilyInfo.ParentCold", 0),
                l.number("FamilyInfo.ParentBreaksAt", 1), span),
            l.milliseconds("FamilyInfo.PurgeTakes", 0));
    }

    /** A load report as the module takes it; what was not told is NaN. */
    public double[] decodeReport(double[] told) {
        double[] known = new double[Director.REPORT_SIZE];
        Arrays.fill(known, Double.NaN);
        for (int i = 0; i < told.length && i < reportIndices.length; i++) {
            if (reportIndices[i] >= 0) known[reportIndices[i]] = told[i];
        }
        return known;
    }

    /** A node's standing by its word in the list, -1 for a word that is not known. */
    public static int parseNodeStatus(String word) {
        return switch (word) {
            case "in_service" -> Director.IN_SERVICE;
            case "terminating" -> Director.DRAINING;
            case "terminated" -> Director.REMOVED;
            default -> -1;
        };
    }

    private static double part(double[] all, int i, double otherwise) {
        return i < all.length ? all[i] : otherwise;
    }

    private static Workload.Effect effect(FieldMap l, String field) {
        return switch (l.text(field)) {
            case "safe" -> Workload.Effect.IDEMPOTENT;
            case "keyed" -> Workload.Effect.DEDUPLICATED;
            case "unsafe" -> Workload.Effect.NON_IDEMPOTENT;
            default -> throw l.malformed(field, l.text(field));
        };
    }

    private static Workload.DeduplicationScope group(FieldMap l, String field) {
        return switch (l.text(field, "all")) {
            case "all" -> Workload.DeduplicationScope.ALL;
            case "zone" -> Workload.DeduplicationScope.ZONE;
            case "cell" -> Workload.DeduplicationScope.CELL;
            default -> throw l.malformed(field, l.text(field));
        };
    }
}
