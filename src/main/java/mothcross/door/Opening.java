package mothcross.door;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mothcross.Allowances;
import mothcross.ColdStart;
import mothcross.Decide;
import mothcross.Director;
import mothcross.Knowledge;
import mothcross.Places;
import mothcross.Workload;

/** Reads what a director is told at its start into the records the module starts from. */
public final class Opening {
    private static final Map<String, Integer> REPORT_PLACE = Map.of(
        "busy_reqs", Director.HELD, "pending", Director.WAITING, "cpu_share", Director.CORES_BUSY,
        "svc_ms", Director.SERVICE_MS, "served_ps", Director.HANDLED_PER_S,
        "failed_ps", Director.FAILED_PER_S, "x0", Director.HIT_SHARE, "x1", Director.LINK_FILL);

    public final Map<String, Integer> workloads = new HashMap<>();
    public final Workload[] all;
    public final List<String> places;
    public final List<String> kinds;
    /** For each value of a load report, in its sender's order, the place the module knows it by, or -1. */
    public final int[] reportPlaces;
    public final String[] reportFields;
    /** What one connection to a node may carry, how long making one takes at most, and when idle ones end. */
    public final int streams;
    public final double connectMs, idleMs;
    /** The pace of one answer's bytes as the settings tell it, or infinite. */
    public final double flowKbPerMs;
    public final boolean probes, callsOff;
    /** The longest advice to clients when to come back, 0 where none is carried; and who shares this place. */
    public final double longestWaitMs;
    public final int directorsHere;
    /** How long after it was issued a purge may still matter. */
    public final double purgesRunMs;
    /** Where the edges' own chance starts from, apart from the module's. */
    public final long chanceOfEdges;
    public final Director director;

    public Opening(Fields l, long seed) {
        places = Arrays.asList(l.list("Zones"));
        kinds = Arrays.asList(l.list("Kinds"));
        reportFields = l.list("Report.Fields");
        reportPlaces = new int[reportFields.length];
        for (int i = 0; i < reportFields.length; i++) {
            reportPlaces[i] = REPORT_PLACE.getOrDefault(reportFields[i], -1);
        }
        streams = Math.max(1, l.small("Caps.StreamsPerConn", 100));
        connectMs = l.ms("Caps.ConnectTimeout", 1000);
        idleMs = l.ms("Caps.IdleClose", 30_000);
        probes = l.flag("Caps.Probing");
        callsOff = l.flag("Caps.Cancel");
        purgesRunMs = 2 * l.ms("FamilyInfo.PurgeTakes", 0) + 10_000;
        chanceOfEdges = ~seed;

        double[] fresh = l.numbers("FamilyInfo.GoodFor");
        double[] stale = l.numbers("FamilyInfo.StaleFor");
        double[] staleShare = l.numbers("FamilyInfo.OldCopyWorth");
        String[] neverKept = l.list("FamilyInfo.NeverKept");
        all = new Workload[l.small("Services.count")];
        for (int i = 0; i < all.length; i++) {
            String at = "Services." + i + ".";
            workloads.put(l.text(at + "Name"), i);
            all[i] = new Workload(effect(l, at + "Effect"), group(l, at + "KeyScope"),
                l.ms(at + "Window", 0), l.ms(at + "OnTime"), l.number(at + "AimStretch", 0),
                l.ms(at + "HardLimit"), l.number(at + "Credit", 1), l.number(at + "LateValue", 0),
                1000 * part(fresh, i, 0), 1000 * part(stale, i, 0), part(staleShare, i, 0),
                i < neverKept.length && neverKept[i].equals("true"));
        }
        int own = places.indexOf(l.text("Zone"));
        if (own < 0) throw l.bad("Zone", l.text("Zone"));
        int total = l.small("Balancers");
        double[] crew = l.numbers("FamilyInfo.CrewByZone");
        int[] directorsAt = new int[places.size()];
        for (int i = 0; i < directorsAt.length; i++) directorsAt[i] = (int) part(crew, i, total);
        double flow = l.number("FamilyInfo.OneFlowKbPerS", 0);
        flowKbPerMs = flow > 0 ? flow / 1000 : Double.POSITIVE_INFINITY;
        double span = l.ms("Rules.TipAfter", 2000);
        longestWaitMs = l.flag("Caps.RetryAfter") ? l.ms("Caps.MaxRetryAfter", 0) : 0;
        directorsHere = Math.max(1, directorsAt[own]);
        director = new Decide(seed, all,
            new Places(own, directorsAt, total, l.small("FamilyInfo.MidKind", -1),
                l.small("FamilyInfo.MasterKind", -1)),
            new Allowances(l.small("Caps.MaxAttempts"), l.flag("Caps.SecondCopies"), l.flag("Caps.Cancel"),
                l.flag("FamilyInfo.PassThroughOk"), l.flag("FamilyInfo.SharesFills"),
                longestWaitMs),
            new Knowledge(l.text("Weights", "silent").equals("nominal"),
                l.text("FamilyInfo.Detail", "silent").equals("all"),
                l.text("MembershipMode", "pushed").equals("on_request"),
                flow / 1000, flow > 0 ? part(l.numbers("FamilyInfo.InletKbPerS"), own, 0) / flow : 0),
            new ColdStart(l.number("Rules.ColdFrom", 1), l.ms("Rules.Cold", 0),
                l.number("Rules.OverloadFactor", 1), span),
            new ColdStart(l.number("FamilyInfo.ParentFloor", 1), l.ms("FamilyInfo.ParentCold", 0),
                l.number("FamilyInfo.ParentBreaksAt", 1), span),
            l.ms("FamilyInfo.PurgeTakes", 0));
    }

    /** A load report as the module takes it; what was not told is NaN. */
    public double[] report(double[] told) {
        double[] known = new double[Director.REPORT_SIZE];
        Arrays.fill(known, Double.NaN);
        for (int i = 0; i < told.length && i < reportPlaces.length; i++) {
            if (reportPlaces[i] >= 0) known[reportPlaces[i]] = told[i];
        }
        return known;
    }

    /** A node's standing by its word in the list, -1 for a word that is not known. */
    public static int standing(String word) {
        return switch (word) {
            case "in_service" -> Director.IN_SERVICE;
            case "terminating" -> Director.DRAINING;
            case "terminated" -> Director.GONE;
            default -> -1;
        };
    }

    private static double part(double[] all, int i, double otherwise) {
        return i < all.length ? all[i] : otherwise;
    }

    private static Workload.Effect effect(Fields l, String field) {
        return switch (l.text(field)) {
            case "safe" -> Workload.Effect.REPEATABLE;
            case "keyed" -> Workload.Effect.TAGGED;
            case "unsafe" -> Workload.Effect.ONCE_ONLY;
            default -> throw l.bad(field, l.text(field));
        };
    }

    private static Workload.Group group(Fields l, String field) {
        return switch (l.text(field, "all")) {
            case "all" -> Workload.Group.ALL;
            case "zone" -> Workload.Group.PLACE;
            case "cell" -> Workload.Group.CELL;
            default -> throw l.bad(field, l.text(field));
        };
    }
}
