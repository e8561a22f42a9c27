package mothcross.operators;

import com.google.gson.GsonBuilder;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The operators' settings file, evaluated and checked: the settings of each feature that it names. A settings part is
 * given out only if no field of the whole file has a problem.
 */
public final class OperatorsFile {
    /** The file cannot be used; each problem is one line. */
    public static final class InvalidOperatorsFileException extends Exception {
        private static final long serialVersionUID = 1;
        private final transient List<String> problems;
        private final transient Path file;

        InvalidOperatorsFileException(Path file, List<String> problems) {
            super(file + ": " + String.join("; ", problems));
            this.problems = List.copyOf(problems);
            this.file = file;
        }

        public Path file() {
            return file;
        }

        public List<String> problems() {
            return problems;
        }
    }

    private final Map<SettingsPart<?>, Object> parts = new HashMap<>();
    private JsonObject effective;

    private OperatorsFile() { }

    /** Evaluates and checks the operators' file of one director. */
    public static OperatorsFile read(Path file) throws InvalidOperatorsFileException {
        return parse(file, evaluate(file));
    }

    /** Evaluates any Jsonnet file within the bounds of {@link TemplateEvaluation} and returns its value as JSON. */
    public static String evaluate(Path file) throws InvalidOperatorsFileException {
        TemplateEvaluation evaluation = TemplateEvaluation.of(file);
        if (evaluation.error() != null) throw new InvalidOperatorsFileException(file, List.of(evaluation.error()));
        return evaluation.json();
    }

    /** Parses an evaluated text of the fleet's policy, which may only hold parts that all directors share. */
    public static OperatorsFile parsePolicy(String name, String json) throws InvalidOperatorsFileException {
        OperatorsFile policy = parse(Path.of(name), json);
        List<String> problems = new ArrayList<>();
        for (SettingsPart<?> part : policy.parts.keySet()) {
            if (!SettingsPart.SHARED.contains(part)) {
                problems.add(part.name() + " is each director's own and stays in its file");
            }
        }
        if (!problems.isEmpty()) throw new InvalidOperatorsFileException(Path.of(name), problems);
        return policy;
    }

    static OperatorsFile parse(Path file, String json) throws InvalidOperatorsFileException {
        List<String> problems = new ArrayList<>();
        OperatorsFile result = new OperatorsFile();
        JsonElement root;
        try {
            root = JsonParser.parseString(json);
        } catch (JsonParseException | StackOverflowError e) {
            throw new InvalidOperatorsFileException(file, List.of("its value is no JSON that can be read"));
        }
        if (!root.isJsonObject()) throw new InvalidOperatorsFileException(file, List.of("its value is no object"));
        Section top = new Section("", root.getAsJsonObject(), problems);
        for (SettingsPart<?> part : SettingsPart.ALL) {
            Section section = top.section(part.name());
            if (section == null) continue;
            result.parts.put(part, part.reader().apply(section));
            section.rejectUnknownFields();
        }
        top.rejectUnknownFields();
        boolean hasPolicy = result.parts.containsKey(SettingsPart.POLICY);
        if (hasPolicy && result.parts.containsKey(SettingsPart.ROUTES)) {
            problems.add("routes come by mothcross policy propose where policy is set: take them out of this file");
        }
        if (hasPolicy && !result.parts.containsKey(SettingsPart.FLEET)) {
            problems.add("policy needs the part fleet: directors talk by it");
        }
        result.effective = top.effective();
        if (!problems.isEmpty()) throw new InvalidOperatorsFileException(file, problems);
        return result;
    }

    /** The settings of one feature; null if the file leaves the feature off. */
    public <T> T part(SettingsPart<T> part) {
        return part.type().cast(parts.get(part));
    }

    /** The file as JSON with the defaults filled in. */
    public String show() {
        return new GsonBuilder().setPrettyPrinting().disableHtmlEscaping().create().toJson(effective);
    }
}
