package mothcross.operators;

import java.nio.file.Path;
import mothcross.membership.AgeLimits;

/**
 * The settings part {@code membership}: the file of the membership snapshot, the fleet that it belongs to, and how long
 * its contents are valid. Drains, removed nodes and purges are on disk after {@code urgentWriteDelayMs}, all other
 * changes after {@code writeIntervalMs}.
 */
public record MembershipSettings(Path file, String fleet, AgeLimits ages, double urgentWriteDelayMs,
                                 double writeIntervalMs) {
    private static final double WEEK_S = 7 * 86_400;
    private static final double TEN_YEARS_S = 3650.0 * 86_400;

    static MembershipSettings read(Section section) {
        AgeLimits defaults = AgeLimits.DEFAULTS;
        String file = section.string("file", "the path of the kept list", 4096, null);
        String fleet = section.string("fleet", "the fleet that the list is of", 200, null);
        double recentS = section.number("recent_s", "seconds", 1, WEEK_S, defaults.recentMs() / 1000);
        double oldS = section.number("old_s", "seconds", 1, TEN_YEARS_S, defaults.oldMs() / 1000);
        section.require(!(oldS < recentS), "old_s", "is less than recent_s; what is old was recent before");
        double answerValidS = section.number("answers_hold_s", "seconds", 0.1, 3600, defaults.answerValidMs() / 1000);
        int maxRefusals = section.integer("refusals", "refused connections in a row", 1, 100, defaults.maxRefusals());
        double retryS = section.number("try_again_s", "seconds", 0.05, 3600, defaults.retryMs() / 1000);
        double maxRetryS = section.number("try_again_most_s", "seconds", 0.05, 86_400, defaults.maxRetryMs() / 1000);
        section.require(!(maxRetryS < retryS), "try_again_most_s", "is less than try_again_s");
        double shrunkBelow = section.number("shrunk_below", "share of the boxes in service", 0, 1,
            defaults.shrunkBelow());
        double withheldS = section.number("withheld_s", "seconds", 0, 86_400, defaults.withheldMs() / 1000);
        double clockSkewS = section.number("skew_s", "seconds", 0, 3600, defaults.clockSkewMs() / 1000);
        double urgentWriteDelayMs = section.number("drain_on_disk_ms", "milliseconds", 20, 10_000, 100);
        double writeIntervalMs = section.number("write_every_ms", "milliseconds", 20, 600_000, 1000);
        section.require(!(writeIntervalMs < urgentWriteDelayMs), "write_every_ms", "is less than drain_on_disk_ms");
        Path path = file.indexOf('\0') >= 0 ? Path.of("") : Path.of(file);
        AgeLimits ages = new AgeLimits(recentS * 1000, oldS * 1000, answerValidS * 1000, maxRefusals, retryS * 1000,
            maxRetryS * 1000, shrunkBelow, withheldS * 1000, clockSkewS * 1000);
        return new MembershipSettings(path, fleet, ages, urgentWriteDelayMs, writeIntervalMs);
    }
}
