package mothcross.adapter;

import java.util.Arrays;

/** Named values of a director's settings or of a line of the simulator's protocol; times in seconds become ms. */
public class FieldMap {
    /** A field is missing or unusable; the message says where and why, on one line. */
    public static final class MalformedFieldException extends RuntimeException {
        private static final long serialVersionUID = 1;

        public MalformedFieldException(String message) {
            super(message);
        }
    }

    /** Says in error messages where the values come from. */
    private final String location;
    private String[] keys = new String[16];
    private String[] values = new String[16];
    private int count;

    /** {@code location} says in error messages where the values come from. */
    public FieldMap(String location) {
        this.location = location;
    }

    /** Adds a field; of several with the same key the first counts. */
    public final void add(String key, String value) {
        if (count == keys.length) {
            keys = Arrays.copyOf(keys, 2 * count);
            values = Arrays.copyOf(values, 2 * count);
        }
        keys[count] = key;
        values[count] = value;
        count++;
    }

    /** The exception to throw for a field whose value can't be used. */
    public MalformedFieldException malformed(String field, String value) {
        return new MalformedFieldException(location + ": field " + field + " has unusable value '" + value + "'");
    }

    // Each reader below takes a default for a field that is missing, or throws where it takes none.

    public String text(String field, String defaultValue) {
        for (int i = 0; i < count; i++) {
            if (keys[i].equals(field)) return values[i];
        }
        return defaultValue;
    }

    public String text(String field) {
        String value = text(field, null);
        if (value == null) throw new MalformedFieldException(location + ": required field " + field + " is missing");
        return value;
    }

    public double number(String field, double defaultValue) {
        String value = text(field, null);
        return value == null ? defaultValue : parse(field, value);
    }

    public double number(String field) {
        return parse(field, text(field));
    }

    /** A time given in seconds. */
    public double milliseconds(String field, double defaultMs) {
        return 1000 * number(field, defaultMs / 1000);
    }

    /** A time given in seconds. */
    public double milliseconds(String field) {
        return 1000 * number(field);
    }

    public long longValue(String field, long defaultValue) {
        String value = text(field, null);
        return value == null ? defaultValue : parseWhole(field, value);
    }

    public long longValue(String field) {
        return parseWhole(field, text(field));
    }

    public int intValue(String field, int defaultValue) {
        long value = longValue(field, defaultValue);
        if (value != (int) value) throw malformed(field, Long.toString(value));
        return (int) value;
    }

    public int intValue(String field) {
        text(field);
        return intValue(field, 0);
    }

    /** False where the field is missing. */
    public boolean flag(String field) {
        String value = text(field, "0");
        return value.equals("1") || value.equals("true");
    }

    /** The items of a comma-separated list, empty where the field is missing. */
    public String[] list(String field) {
        String value = text(field, "");
        return value.isEmpty() ? new String[0] : value.split(",", -1);
    }

    /** The numbers of a comma-separated list, empty where the field is missing. */
    public double[] numbers(String field) {
        String[] items = list(field);
        double[] numbers = new double[items.length];
        for (int i = 0; i < items.length; i++) numbers[i] = parse(field, items[i]);
        return numbers;
    }

    private double parse(String field, String value) {
        try {
            double number = Double.parseDouble(value);
            if (Double.isNaN(number) || Double.isInfinite(number)) throw malformed(field, value);
            return number;
        } catch (NumberFormatException e) {
            throw malformed(field, value);
        }
    }

    private long parseWhole(String field, String value) {
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            double number = parse(field, value);
            if (number != Math.rint(number)) throw malformed(field, value);
            return (long) number;
        }
    }
}
