package mothcross.adapter;

import java.util.Arrays;

/** Named values as a director's start or a line of the simulator's wire has them; seconds come out as ms. */
public class FieldMap {
    /** What was told can't be used; the text says where and why, on one line. */
    public static final class MalformedFieldException extends RuntimeException {
        private static final long serialVersionUID = 1;

        public MalformedFieldException(String text) {
            super(text);
        }
    }

    private final String where;
    private String[] keys = new String[16];
    private String[] values = new String[16];
    private int count;

    public FieldMap(String where) {
        this.where = where;
    }

    public final void add(String key, String value) {
        if (count == keys.length) {
            keys = Arrays.copyOf(keys, 2 * count);
            values = Arrays.copyOf(values, 2 * count);
        }
        keys[count] = key;
        values[count++] = value;
    }

    public MalformedFieldException malformed(String field, String value) {
        return new MalformedFieldException(where + ": field " + field + " has unusable value '" + value + "'");
    }

    public String text(String field, String otherwise) {
        for (int i = 0; i < count; i++) if (keys[i].equals(field)) return values[i];
        return otherwise;
    }

    public String text(String field) {
        String v = text(field, null);
        if (v == null) throw new MalformedFieldException(where + ": required field " + field + " is missing");
        return v;
    }

    public double number(String field, double otherwise) {
        String v = text(field, null);
        return v == null ? otherwise : parse(field, v);
    }

    public double number(String field) {
        return parse(field, text(field));
    }

    public double milliseconds(String field, double otherwise) {
        return 1000 * number(field, otherwise / 1000);
    }

    public double milliseconds(String field) {
        return 1000 * number(field);
    }

    public long longValue(String field, long otherwise) {
        String v = text(field, null);
        return v == null ? otherwise : parseWhole(field, v);
    }

    public long longValue(String field) {
        return parseWhole(field, text(field));
    }

    public int intValue(String field, int otherwise) {
        long v = longValue(field, otherwise);
        if (v != (int) v) throw malformed(field, Long.toString(v));
        return (int) v;
    }

    public int intValue(String field) {
        text(field);
        return intValue(field, 0);
    }

    public boolean flag(String field) {
        String v = text(field, "0");
        return v.equals("1") || v.equals("true");
    }

    public String[] list(String field) {
        String v = text(field, "");
        return v.isEmpty() ? new String[0] : v.split(",", -1);
    }

    public double[] numbers(String field) {
        String[] parts = list(field);
        double[] all = new double[parts.length];
        for (int i = 0; i < parts.length; i++) all[i] = parse(field, parts[i]);
        return all;
    }

    private double parse(String field, String v) {
        try {
            double d = Double.parseDouble(v);
            if (Double.isNaN(d) || Double.isInfinite(d)) throw malformed(field, v);
            return d;
        } catch (NumberFormatException e) {
            throw malformed(field, v);
        }
    }

    private long parseWhole(String field, String v) {
        try {
            return Long.parseLong(v);
        } catch (NumberFormatException e) {
            double d = parse(field, v);
            if (d != Math.rint(d)) throw malformed(field, v);
            return (long) d;
        }
    }
}
