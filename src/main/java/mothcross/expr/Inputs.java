package mothcross.expr;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * The inputs that expressions may read from a request: the name, type and number of each, what happens when a value
 * exceeds its maximum length, and whether a retry of the same lookup sends the same value. Holds declarations only,
 * never the values of a request.
 */
public final class Inputs {
    /** What happens to a value longer than its maximum: the request is rejected, or the value truncated and marked. */
    public enum Overflow { REJECT, TRUNCATE }

    /**
     * One declared input. {@code number} identifies it to {@link Frame.Request}; {@code stableOnRetry} tells whether a
     * client's retry of the same lookup carries the same value.
     */
    public record Input(String name, Type type, int number, Overflow overflow, boolean stableOnRetry) { }

    /** Inputs from this number on are headers, in the order in which they were first declared. */
    public static final int FIRST_HEADER = 64;

    static final String HEADER_PREFIX = "header:";

    private final Map<String, Input> inputsByName = new LinkedHashMap<>();
    private int headerCount;

    /** Declares an input, or replaces the declaration of that name. */
    public Inputs add(String name, Type type, int number, Overflow overflow, boolean stableOnRetry) {
        inputsByName.put(name, new Input(name, type, number, overflow, stableOnRetry));
        return this;
    }

    /** Declares a header, or replaces its declaration and keeps its number. Header names are case-insensitive. */
    public Inputs header(String name, long maxLength, Overflow overflow, boolean stableOnRetry) {
        String key = headerKey(name);
        Input previous = inputsByName.get(key);
        int number = previous != null ? previous.number : FIRST_HEADER + headerCount++;
        inputsByName.put(key, new Input(key, Type.bytes(maxLength).asOptional(), number, overflow, stableOnRetry));
        return this;
    }

    static String headerKey(String name) {
        return HEADER_PREFIX + name.toLowerCase(Locale.ROOT);
    }

    Input get(String name) {
        return inputsByName.get(name);
    }

    /** The declaration of a header. One that is missing is added with unbounded length and as not stable on retry. */
    Input getOrDeclareHeader(String name) {
        if (inputsByName.get(headerKey(name)) == null) header(name, Type.UNBOUNDED, Overflow.TRUNCATE, false);
        return inputsByName.get(headerKey(name));
    }

    /** The names of all headers that are read, in lower case, by their number minus {@link #FIRST_HEADER}. */
    public String[] headers() {
        String[] names = new String[headerCount];
        for (Input input : inputsByName.values()) {
            if (input.number >= FIRST_HEADER) {
                names[input.number - FIRST_HEADER] = input.name.substring(HEADER_PREFIX.length());
            }
        }
        return names;
    }

    /** The names of all inputs; headers are named {@code header:NAME}. */
    public Iterable<String> names() {
        return inputsByName.keySet();
    }
}
