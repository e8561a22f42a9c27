package mothcross.operators;

import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;

/** The part {@code policy}: who decides on changes of the policy, where a director keeps its part, and its lease. */
public record PolicySettings(Set<String> voters, Path dir, double leaseMs) {
    private static final int MOST_VOTERS = 9;

    static PolicySettings read(Section s) {
        Set<String> voters = new TreeSet<>();
        for (Section v : s.list("voters", MOST_VOTERS)) {
            String name = v.text("name", "the name of a director", 100, null);
            v.require(voters.add(name) || name.isEmpty(), "name", "is given twice");
            v.end();
        }
        s.require(!voters.isEmpty(), "voters", "is to name the directors that decide, 3 or 5 as a rule, at most "
            + MOST_VOTERS);
        String dir = s.text("dir", "the path of a folder that lasts, this director's own", 4096, null);
        double lease = s.number("lease_s", "seconds", 0.2, 3600, 3);
        return new PolicySettings(voters, Path.of(dir.indexOf('\0') >= 0 ? "" : dir), lease * 1000);
    }
}
