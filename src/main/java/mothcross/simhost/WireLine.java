package mothcross.simhost;

import mothcross.adapter.FieldMap;

/** One line of the simulator's protocol: a message name and its name=value fields, separated by spaces. */
final class WireLine extends FieldMap {
    final long number;
    final String name;

    WireLine(String text, long number) {
        super(location(text, number));
        this.number = number;
        int nameEnd = text.indexOf(' ');
        name = nameEnd < 0 ? text : text.substring(0, nameEnd);
        int start = nameEnd < 0 ? text.length() : nameEnd + 1;
        while (start < text.length()) {
            int end = text.indexOf(' ', start);
            if (end < 0) end = text.length();
            if (end > start) addField(text, start, end);
            start = end + 1;
        }
    }

    private void addField(String text, int start, int end) {
        int equals = text.indexOf('=', start);
        if (equals <= start || equals > end) {
            throw new MalformedFieldException(location(text, number) + ": part '" + text.substring(start, end)
                + "' is not name=value");
        }
        add(text.substring(start, equals), text.substring(equals + 1, end));
    }

    private static String location(String text, long number) {
        int nameEnd = text.indexOf(' ');
        return "line " + number + " (" + (nameEnd < 0 ? text : text.substring(0, nameEnd)) + ")";
    }
}
