package mothcross.simhost;

import mothcross.adapter.FieldMap;

/** One line of the wire: its message name and its name=value parts. */
final class WireLine extends FieldMap {
    final long number;
    final String name;

    WireLine(String text, long number) {
        super(where(text, number));
        this.number = number;
        int end = text.indexOf(' ');
        name = end < 0 ? text : text.substring(0, end);
        int at = end < 0 ? text.length() : end + 1;
        while (at < text.length()) {
            int stop = text.indexOf(' ', at);
            if (stop < 0) stop = text.length();
            int eq = text.indexOf('=', at);
            if (stop > at) {
                if (eq <= at || eq > stop) {
                    throw new MalformedFieldException(where(text, number) + ": part '" + text.substring(at, stop)
                        + "' is not name=value");
                }
                add(text.substring(at, eq), text.substring(eq + 1, stop));
            }
            at = stop + 1;
        }
    }

    private static String where(String text, long number) {
        int end = text.indexOf(' ');
        return "line " + number + " (" + (end < 0 ? text : text.substring(0, end)) + ")";
    }
}
