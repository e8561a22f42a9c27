package mothcross.operators;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The settings part {@code fleet}: how this director takes part in the fleet of directors.
 *
 * @param listen             {@code HOST:PORT} for messages of other directors and requests of operators
 * @param stateFile          what is kept for the next start
 * @param evictionDelayMs    the shortest silence after which a member is evicted
 * @param rejoinDelayMs      how long an evicted member has to be stable before it rejoins
 * @param fixedDirectorCount the directors that share each limit; 0: as the platform configures
 */
public record FleetSettings(String fleet, String listen, List<String> seeds, List<Key> keys, Path stateFile,
                            double periodMs, double evictionDelayMs, double rejoinDelayMs, double leaseMs,
                            int fixedDirectorCount) {
    /** A key of the fleet. The first key of the list signs; messages signed with any of them are accepted. */
    public record Key(int id, String secret) { }

    private static final int MAX_SEEDS = 64;
    /** One key, or two during a change of keys. */
    private static final int MAX_KEYS = 2;
    private static final int MIN_SECRET_CHARS = 16;
    private static final int MAX_SECRET_CHARS = 1000;
    private static final int MIN_EVICTION_PERIODS = 4;

    static FleetSettings read(Section section) {
        String fleet = section.string("fleet", "the fleet that the directors are of", 100, null);
        String listen = readAddress(section, "listen");
        List<String> seeds = readSeeds(section);
        List<Key> keys = readKeys(section);
        String file = section.string("file", "the path of what is kept for the next start", 4096, null);
        double periodMs = section.number("period_ms", "milliseconds", 100, 60_000, 500);
        double evictionDelayS = section.number("silent_s", "seconds", 1, 86_400, 30);
        section.require(evictionDelayS * 1000 >= MIN_EVICTION_PERIODS * periodMs, "silent_s",
            "is less than four rounds of period_ms");
        double rejoinDelayS = section.number("steady_s", "seconds", 0, 3600, 5);
        double leaseS = section.number("lease_s", "seconds", 0.5, 3600, 5);
        int directors = section.integer("directors", "directors that share each limit, 0: as the platform tells", 0,
            100_000, 0);
        Path stateFile = Path.of(file.indexOf('\0') >= 0 ? "" : file);
        return new FleetSettings(fleet, listen, seeds, keys, stateFile, periodMs, evictionDelayS * 1000,
            rejoinDelayS * 1000, leaseS * 1000, directors);
    }

    private static List<String> readSeeds(Section section) {
        List<String> seeds = new ArrayList<>();
        for (Section seed : section.sections("seeds", MAX_SEEDS)) {
            seeds.add(readAddress(seed, "at"));
            seed.rejectUnknownFields();
        }
        return seeds;
    }

    private static List<Key> readKeys(Section section) {
        List<Key> keys = new ArrayList<>();
        Set<Integer> ids = new HashSet<>();
        for (Section key : section.sections("keys", MAX_KEYS)) {
            int id = key.integer("id", "the key's number", 0, 255, -1);
            String secret = key.secret("secret", MIN_SECRET_CHARS, MAX_SECRET_CHARS);
            key.require(ids.add(id), "id", "is used twice");
            keys.add(new Key(id, secret));
            key.rejectUnknownFields();
        }
        section.require(!keys.isEmpty(), "keys", "is to hold one key, or two during a change; the first signs");
        return keys;
    }

    /** A required {@code HOST:PORT} whose host is a numeric address, as names are not looked up. */
    private static String readAddress(Section section, String field) {
        String address = section.string(field, "ADDRESS:PORT", 60, null);
        boolean isValid = address.matches("(\\d{1,3}\\.){3}\\d{1,3}:\\d{1,5}")
            && Integer.parseInt(address.substring(address.indexOf(':') + 1)) < 65_536;
        section.require(isValid || address.isEmpty(), field,
            "is no ADDRESS:PORT in figures; names are not looked up");
        return address;
    }
}
