package mothcross.simhost;

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

/** Reads an instance's first message into the records the module starts from. */
final class Opening {
    private static final Map<String, Integer> REPORT_PLACE = Map.of(
        "busy_reqs", Director.HELD, "pending", Director.WAITING, "cpu_share", Director.CORES_BUSY,
        "svc_ms", Director.SERVICE_MS, "served_ps", Director.HANDLED_PER_S,
        "failed_ps", Director.FAILED_PER_S, "x0", Director.HIT_SHARE, "x1", Director.LINK_FILL);

    final Map<String, Integer> workloads = new HashMap<>();
    final List<String> places;
    final List<String> kinds;
    final int[] reportPlaces;
    final Director director;

    Opening(WireLine l) {
        places = Arrays.asList(l.list("Zones"));
        kinds = Arrays.asList(l.list("Kinds"));
        String[] fields = l.list("Report.Fields");
        reportPlaces = new int[fields.length];
        for (int i = 0; i < fields.length; i++) reportPlaces[i] = REPORT_PLACE.getOrDefault(fields[i], -1);

        double[] fresh = l.numbers("FamilyInfo.GoodFor");
        double[] stale = l.numbers("FamilyInfo.StaleFor");
        double[] staleShare = l.numbers("FamilyInfo.OldCopyWorth");
        String[] neverKept = l.list("FamilyInfo.NeverKept");
        Workload[] all = new Workload[l.small("Services.count")];
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
        double span = l.ms("Rules.TipAfter", 2000);
        director = new Decide(l.whole("RandomSeed"), all,
            new Places(own, directorsAt, total, l.small("FamilyInfo.MidKind", -1),
                l.small("FamilyInfo.MasterKind", -1)),
            new Allowances(l.small("Caps.MaxAttempts"), l.flag("Caps.SecondCopies"), l.flag("Caps.Cancel"),
                l.flag("FamilyInfo.PassThroughOk"), l.flag("FamilyInfo.SharesFills"),
                l.flag("Caps.RetryAfter") ? l.ms("Caps.MaxRetryAfter", 0) : 0),
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

    private static double part(double[] all, int i, double otherwise) {
        return i < all.length ? all[i] : otherwise;
    }

    private static Workload.Effect effect(WireLine l, String field) {
        return switch (l.text(field)) {
            case "safe" -> Workload.Effect.REPEATABLE;
            case "keyed" -> Workload.Effect.TAGGED;
            case "unsafe" -> Workload.Effect.ONCE_ONLY;
            default -> throw l.bad(field, l.text(field));
        };
    }

    private static Workload.Group group(WireLine l, String field) {
        return switch (l.text(field, "all")) {
            case "all" -> Workload.Group.ALL;
            case "zone" -> Workload.Group.PLACE;
            case "cell" -> Workload.Group.CELL;
            default -> throw l.bad(field, l.text(field));
        };
    }
}
