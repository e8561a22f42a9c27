package mothcross.expr;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What expressions may read of a request: each input's name, type, number, what follows past its bound, and whether a
 * client's retry of the same lookup has the same. Owns the table; must never hold a value.
 */
public final class Inputs {
    /** Past the bound: the request is refused, or the value is cut there and marked. */
    public enum Overflow { REJECT, TRUNCATE }

    /** {@code number} is what {@link Frame.Request} knows it by. */
    public record Input(String name, Type type, int number, Overflow overflow, boolean stableOnRetry) { }

    private final Map<String, Input> all = new LinkedHashMap<>();
    private int headers;
    /** Inputs from this number on are headers, in the order in which they were first named. */
    public static final int FIRST_HEADER = 64;

    public Inputs add(String name, Type type, int number, Overflow past, boolean same) {
        all.put(name, new Input(name, type, number, past, same));
        return this;
    }

    /** A header's name is taken without regard to case. */
    public Inputs header(String name, long most, Overflow past, boolean same) {
        String key = headerKey(name);
        Input before = all.get(key);
        int number = before != null ? before.number : FIRST_HEADER + headers++;
        all.put(key, new Input(key, Type.bytes(most).asOptional(), number, past, same));
        return this;
    }

    static String headerKey(String name) {
        return "header:" + name.toLowerCase(java.util.Locale.ROOT);
    }

    Input get(String name) {
        return all.get(name);
    }

    Input headerOrAny(String name) {
        if (all.get(headerKey(name)) == null) header(name, Type.UNBOUNDED, Overflow.TRUNCATE, false);
        return all.get(headerKey(name));
    }

    /** The names of the headers that are read, lower case, by number from {@link #FIRST_HEADER} on. */
    public String[] headers() {
        String[] names = new String[headers];
        for (Input i : all.values()) {
            if (i.number >= FIRST_HEADER) names[i.number - FIRST_HEADER] = i.name.substring("header:".length());
        }
        return names;
    }

    public Iterable<String> names() {
        return all.keySet();
    }
}
