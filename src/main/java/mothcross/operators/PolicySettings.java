package mothcross.operators;

import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;

/**
 * The settings part {@code policy}: the directors that vote on changes of the policy, the directory for this
 * director's state of it, and the length of its lease.
 */
public record PolicySettings(Set<String> voters, Path stateDirectory, double leaseMs) {
    private static final int MAX_VOTERS = 9;

    static PolicySettings read(Section section) {
        Set<String> voters = new TreeSet<>();
        for (Section voter : section.sections("voters", MAX_VOTERS)) {
            String name = voter.string("name", "the name of a director", 100, null);
            voter.require(voters.add(name) || name.isEmpty(), "name", "is given twice");
            voter.rejectUnknownFields();
        }
        section.require(!voters.isEmpty(), "voters",
            "is to name the directors that decide, 3 or 5 as a rule, at most " + MAX_VOTERS);
        String directory = section.string("dir", "the path of a folder that lasts, this director's own", 4096, null);
        double leaseS = section.number("lease_s", "seconds", 0.2, 3600, 3);
        Path stateDirectory = Path.of(directory.indexOf('\0') >= 0 ? "" : directory);
        return new PolicySettings(voters, stateDirectory, leaseS * 1000);
    }
}
