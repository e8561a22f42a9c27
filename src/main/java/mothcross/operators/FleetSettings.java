package mothcross.operators;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The part {@code fleet}: how this director takes part in the fleet of directors. */
public record FleetSettings(String fleet, String listen, List<String> seeds, List<Key> keys, Path file, double periodMs,
                        double silentMs, double holdMs, double leaseMs, int directors) {
    /** The first of them signs, each is taken. */
    public record Key(int id, String secret) { }

    private static final int LEAST_SECRET = 16;

    static FleetSettings read(Section s) {
        String fleet = s.text("fleet", "the fleet that the directors are of", 100, null);
        String listen = address(s, "listen", null);
        List<String> seeds = new ArrayList<>();
        for (Section x : s.list("seeds", 64)) {
            seeds.add(address(x, "at", null));
            x.end();
        }
        List<Key> keys = new ArrayList<>();
        Set<Integer> ids = new HashSet<>();
        for (Section x : s.list("keys", 2)) {
            int id = x.whole("id", "the key's number", 0, 255, -1);
            String secret = x.secret("secret", LEAST_SECRET, 1000);
            x.require(ids.add(id), "id", "is used twice");
            keys.add(new Key(id, secret));
            x.end();
        }
        s.require(!keys.isEmpty(), "keys", "is to hold one key, or two during a change; the first signs");
        String file = s.text("file", "the path of what is kept for the next start", 4096, null);
        double period = s.number("period_ms", "milliseconds", 100, 60_000, 500);
        double silent = s.number("silent_s", "seconds", 1, 86_400, 30);
        s.require(silent * 1000 >= 4 * period, "silent_s", "is less than four rounds of period_ms");
        double hold = s.number("steady_s", "seconds", 0, 3600, 5);
        double lease = s.number("lease_s", "seconds", 0.5, 3600, 5);
        int directors = s.whole("directors", "directors that share each limit, 0: as the platform tells", 0, 100_000,
            0);
        return new FleetSettings(fleet, listen, seeds, keys, Path.of(file.indexOf('\0') >= 0 ? "" : file), period,
            silent * 1000, hold * 1000, lease * 1000, directors);
    }

    /** {@code HOST:PORT}, the host an address in figures: no name is looked up. */
    private static String address(Section s, String field, String otherwise) {
        String a = s.text(field, "ADDRESS:PORT", 60, otherwise);
        boolean fits = a.matches("(\\d{1,3}\\.){3}\\d{1,3}:\\d{1,5}")
            && Integer.parseInt(a.substring(a.indexOf(':') + 1)) < 65_536;
        s.require(fits || a.isEmpty(), field, "is no ADDRESS:PORT in figures; names are not looked up");
        return a;
    }
}
