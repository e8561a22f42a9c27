package mothcross.operators;

import java.nio.file.Path;
import mothcross.membership.AgeLimits;

/** The part {@code membership}: where the list rests on disk, whose it is, and how long what may be believed. */
public record MembershipSettings(Path file, String fleet, AgeLimits ages, double urgentMs, double gatherMs) {
    private static final double WEEK_S = 7 * 86_400, TEN_YEARS_S = 3650.0 * 86_400;

    static MembershipSettings read(Section s) {
        AgeLimits u = AgeLimits.DEFAULTS;
        String file = s.text("file", "the path of the kept list", 4096, null);
        String fleet = s.text("fleet", "the fleet that the list is of", 200, null);
        double recent = s.number("recent_s", "seconds", 1, WEEK_S, u.recentMs() / 1000);
        double old = s.number("old_s", "seconds", 1, TEN_YEARS_S, u.oldMs() / 1000);
        s.require(!(old < recent), "old_s", "is less than recent_s; what is old was recent before");
        double hold = s.number("answers_hold_s", "seconds", 0.1, 3600, u.answerValidMs() / 1000);
        int refusals = s.whole("refusals", "refused connections in a row", 1, 100, u.maxRefusals());
        double again = s.number("try_again_s", "seconds", 0.05, 3600, u.retryMs() / 1000);
        double most = s.number("try_again_most_s", "seconds", 0.05, 86_400, u.maxRetryMs() / 1000);
        s.require(!(most < again), "try_again_most_s", "is less than try_again_s");
        double shrunk = s.number("shrunk_below", "share of the boxes in service", 0, 1, u.shrunkBelow());
        double withheld = s.number("withheld_s", "seconds", 0, 86_400, u.withheldMs() / 1000);
        double skew = s.number("skew_s", "seconds", 0, 3600, u.clockSkewMs() / 1000);
        double urgent = s.number("drain_on_disk_ms", "milliseconds", 20, 10_000, 100);
        double gather = s.number("write_every_ms", "milliseconds", 20, 600_000, 1000);
        s.require(!(gather < urgent), "write_every_ms", "is less than drain_on_disk_ms");
        Path path = file.indexOf('\0') >= 0 ? Path.of("") : Path.of(file);
        return new MembershipSettings(path, fleet, new AgeLimits(recent * 1000, old * 1000, hold * 1000, refusals,
            again * 1000, most * 1000, shrunk, withheld * 1000, skew * 1000), urgent, gather);
    }
}
