package mothcross.operators;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One object of the operators' file, read field by field, with the checks that every feature shares: type, unit, range
 * and unknown fields. Every problem is added to one list, so that all of them are reported at once; reading never
 * stops at the first. A field that no feature asked for is a problem too.
 */
public final class Section {
    /** The largest edit distance at which a known field is suggested in place of an unknown one. */
    private static final int MAX_SUGGESTION_DISTANCE = 3;
    private static final int MAX_SHOWN_VALUE_CHARS = 60;
    private static final String ELLIPSIS = "...";
    /** Every whole number below this is exact as a double. */
    private static final double MAX_FORMATTED_INTEGER = 1e15;

    private final String path;
    private final JsonObject json;
    private final List<String> problems;
    /** The values read, with the defaults filled in: the output of {@code check --show}. */
    private final JsonObject effective = new JsonObject();
    /** The fields asked for, each with a description of its valid values. */
    private final Map<String, String> knownFields = new LinkedHashMap<>();

    Section(String path, JsonObject json, List<String> problems) {
        this.path = path;
        this.json = json;
        this.problems = problems;
    }

    public JsonObject effective() {
        return effective;
    }

    public boolean has(String field) {
        return json.has(field);
    }

    /** A number in the unit that the name of the field ends with; required if {@code defaultValue} is NaN. */
    public double number(String field, String unit, double min, double max, double defaultValue) {
        knownFields.put(field, "a number of " + unit + " from " + format(min) + " to " + format(max));
        JsonElement element = json.get(field);
        if (element == null && Double.isNaN(defaultValue)) {
            return addProblem(field, null, "is missing; it is " + knownFields.get(field));
        }
        double value = defaultValue;
        if (element != null) {
            boolean isNumber = element.isJsonPrimitive() && element.getAsJsonPrimitive().isNumber();
            if (!isNumber) return addProblem(field, element, "is not " + knownFields.get(field));
            value = element.getAsDouble();
            boolean inRange = value >= min && value <= max;
            if (!inRange) return addProblem(field, element, "is out of range; it is " + knownFields.get(field));
        }
        effective.addProperty(field, value);
        return value;
    }

    /** A whole number; required if {@code defaultValue} is less than {@code min}. */
    public int integer(String field, String unit, int min, int max, int defaultValue) {
        double value = number(field, unit, min, max, defaultValue < min ? Double.NaN : defaultValue);
        if (Double.isNaN(value)) return defaultValue;
        if (value == Math.rint(value)) return (int) value;
        addProblem(field, json.get(field), "is not whole; it is " + knownFields.get(field));
        return defaultValue;
    }

    /** A string of 1 to {@code maxLength} characters; required if {@code defaultValue} is null. */
    public String string(String field, String description, int maxLength, String defaultValue) {
        knownFields.put(field, "a text, " + description + ", of 1 to " + maxLength + " characters");
        JsonElement element = json.get(field);
        if (element == null && defaultValue == null) {
            addProblem(field, null, "is missing; it is " + knownFields.get(field));
            return "";
        }
        String value = defaultValue;
        if (element != null) {
            value = isString(element) ? element.getAsString() : "";
            if (value.isEmpty() || value.length() > maxLength) {
                addProblem(field, element, "is not " + knownFields.get(field));
                return "";
            }
        }
        effective.addProperty(field, value);
        return value;
    }

    /** A required string that neither {@link #effective} nor a problem shows; surrounding white space is ignored. */
    public String secret(String field, int minLength, int maxLength) {
        knownFields.put(field, "a secret of " + minLength + " to " + maxLength + " characters");
        JsonElement element = json.get(field);
        String value = element != null && isString(element) ? element.getAsString().strip() : "";
        if (value.length() < minLength || value.length() > maxLength) {
            String reason = element == null ? "is missing; it is " : "is not ";
            addProblem(field, null, reason + knownFields.get(field));
            return "";
        }
        effective.addProperty(field, "(" + value.length() + " characters)");
        return value;
    }

    private static boolean isString(JsonElement element) {
        return element.isJsonPrimitive() && element.getAsJsonPrimitive().isString();
    }

    /** An object within this one; null if it is missing or not an object. */
    public Section section(String field) {
        knownFields.put(field, "an object");
        JsonElement element = json.get(field);
        if (element == null) return null;
        if (!element.isJsonObject()) {
            addProblem(field, element, "is not an object");
            return null;
        }
        Section section = new Section(pathOf(field), element.getAsJsonObject(), problems);
        effective.add(field, section.effective);
        return section;
    }

    public boolean flag(String field, boolean defaultValue) {
        knownFields.put(field, "true or false");
        JsonElement element = json.get(field);
        boolean isBoolean = element != null && element.isJsonPrimitive() && element.getAsJsonPrimitive().isBoolean();
        if (element != null && !isBoolean) addProblem(field, element, "is not true or false");
        boolean value = isBoolean ? element.getAsBoolean() : defaultValue;
        effective.addProperty(field, value);
        return value;
    }

    /** The objects of a list, in order; empty if the list is missing. */
    public List<Section> sections(String field, int maxCount) {
        knownFields.put(field, "a list of at most " + maxCount + " objects");
        List<Section> sections = new ArrayList<>();
        JsonElement element = json.get(field);
        if (element == null) return sections;
        if (!element.isJsonArray() || element.getAsJsonArray().size() > maxCount) {
            addProblem(field, element, "is not " + knownFields.get(field));
            return sections;
        }
        JsonArray effectiveItems = new JsonArray();
        for (JsonElement item : element.getAsJsonArray()) {
            String name = field + "[" + effectiveItems.size() + "]";
            boolean isObject = item.isJsonObject();
            if (!isObject) addProblem(name, item, "is not an object");
            JsonObject object = isObject ? item.getAsJsonObject() : new JsonObject();
            Section section = new Section(pathOf(name), object, problems);
            if (isObject) sections.add(section);
            effectiveItems.add(section.effective);
        }
        effective.add(field, effectiveItems);
        return sections;
    }

    /** The objects within an object whose field names the operators choose. */
    public Map<String, Section> sectionsByName(String field) {
        Map<String, Section> sections = new LinkedHashMap<>();
        Section parent = section(field);
        if (parent == null) return sections;
        for (String name : parent.json.keySet()) {
            Section section = parent.section(name);
            if (section != null) sections.put(name, section);
        }
        return sections;
    }

    /** The strings within an object whose field names the operators choose. */
    public Map<String, String> strings(String field, String description, int maxLength) {
        Map<String, String> strings = new LinkedHashMap<>();
        Section parent = section(field);
        if (parent == null) return strings;
        for (String name : parent.json.keySet()) strings.put(name, parent.string(name, description, maxLength, null));
        return strings;
    }

    private String pathOf(String field) {
        return path.isEmpty() ? field : path + "." + field;
    }

    /** Adds a problem unless the condition holds, for example between fields that are each valid on their own. */
    public void require(boolean condition, String field, String reason) {
        if (!condition) addProblem(field, json.get(field), reason);
    }

    /** Adds a problem for each field that was not asked for; to be called once all known fields were. */
    void rejectUnknownFields() {
        for (Map.Entry<String, JsonElement> entry : json.entrySet()) {
            String field = entry.getKey();
            if (knownFields.containsKey(field)) continue;
            String suggestion = closestKnownField(field);
            String hint = suggestion == null ? "; known here: " + String.join(", ", knownFields.keySet())
                : "; did you mean " + suggestion + "?";
            addProblem(field, entry.getValue(), "is not known" + hint);
        }
    }

    private double addProblem(String field, JsonElement value, String reason) {
        String shownValue = value == null ? "" : " = " + abbreviate(value.toString());
        problems.add(pathOf(field) + shownValue + " " + reason);
        return Double.NaN;
    }

    private static String abbreviate(String value) {
        String redacted = value.replaceAll("(\"secret\":)\"[^\"]*\"", "$1...");
        if (redacted.length() <= MAX_SHOWN_VALUE_CHARS) return redacted;
        return redacted.substring(0, MAX_SHOWN_VALUE_CHARS - ELLIPSIS.length()) + ELLIPSIS;
    }

    private static String format(double number) {
        boolean isInteger = number == Math.rint(number) && Math.abs(number) < MAX_FORMATTED_INTEGER;
        return isInteger ? Long.toString((long) number) : Double.toString(number);
    }

    private String closestKnownField(String unknown) {
        String closest = null;
        int leastDistance = MAX_SUGGESTION_DISTANCE + 1;
        for (String field : knownFields.keySet()) {
            int distance = editDistance(unknown, field);
            if (distance >= leastDistance) continue;
            leastDistance = distance;
            closest = field;
        }
        return closest;
    }

    /** The Levenshtein distance: how many letters have to be inserted, deleted or replaced. */
    static int editDistance(String first, String second) {
        int[] row = new int[second.length() + 1];
        for (int j = 0; j < row.length; j++) row[j] = j;
        for (int i = 1; i <= first.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= second.length(); j++) {
                int replace = diagonal + (first.charAt(i - 1) == second.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(replace, 1 + Math.min(row[j], row[j - 1]));
            }
        }
        return row[second.length()];
    }
}
