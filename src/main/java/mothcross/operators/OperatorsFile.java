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
 * The operators' own file, evaluated and checked: what each feature that it names is set to. Owns the way from
 * the evaluated text to the parts; must never give out a part while any field of the file is at fault.
 */
public final class OperatorsFile {
    /** The file can't be used; each fault is a line of its own. */
    public static final class InvalidOperatorsFileException extends Exception {
        private static final long serialVersionUID = 1;
        private final transient List<String> faults;
        private final transient Path file;

        InvalidOperatorsFileException(Path file, List<String> faults) {
            super(file + ": " + String.join("; ", faults));
            this.faults = List.copyOf(faults);
            this.file = file;
        }

        public Path file() {
            return file;
        }

        public List<String> faults() {
            return faults;
        }
    }

    private final Map<SettingsPart<?>, Object> parts = new HashMap<>();
    private JsonObject effective;

    private OperatorsFile() { }

    public static OperatorsFile read(Path file) throws InvalidOperatorsFileException {
        TemplateEvaluation e = TemplateEvaluation.of(file);
        if (e.fault() != null) throw new InvalidOperatorsFileException(file, List.of(e.fault()));
        return of(file, e.text());
    }

    /** A template of another kind, evaluated within the same bounds: its value as JSON. */
    public static String evaluated(Path file) throws InvalidOperatorsFileException {
        TemplateEvaluation e = TemplateEvaluation.of(file);
        if (e.fault() != null) throw new InvalidOperatorsFileException(file, List.of(e.fault()));
        return e.text();
    }

    /** A text of the fleet's policy, evaluated: only parts that all directors share may stand in it. */
    public static OperatorsFile policy(String what, String json) throws InvalidOperatorsFileException {
        OperatorsFile all = of(Path.of(what), json);
        List<String> faults = new ArrayList<>();
        for (SettingsPart<?> p : all.parts.keySet()) {
            if (!SettingsPart.SHARED.contains(p)) faults.add(p.name()
                + " is each director's own and stays in its file");
        }
        if (!faults.isEmpty()) throw new InvalidOperatorsFileException(Path.of(what), faults);
        return all;
    }

    static OperatorsFile of(Path file, String json) throws InvalidOperatorsFileException {
        List<String> faults = new ArrayList<>();
        OperatorsFile all = new OperatorsFile();
        JsonElement e;
        try {
            e = JsonParser.parseString(json);
        } catch (JsonParseException | StackOverflowError x) {
            throw new InvalidOperatorsFileException(file, List.of("its value is no JSON that can be read"));
        }
        if (!e.isJsonObject()) throw new InvalidOperatorsFileException(file, List.of("its value is no object"));
        Section top = new Section("", e.getAsJsonObject(), faults);
        for (SettingsPart<?> p : SettingsPart.ALL) {
            Section s = top.section(p.name());
            if (s == null) continue;
            all.parts.put(p, p.reads().apply(s));
            s.end();
        }
        top.end();
        boolean both = all.parts.containsKey(SettingsPart.POLICY) && all.parts.containsKey(SettingsPart.ROUTES);
        if (both) faults.add("routes come by mothcross policy propose where policy is set: take them out of this file");
        if (all.parts.containsKey(SettingsPart.POLICY) && !all.parts.containsKey(SettingsPart.FLEET)) {
            faults.add("policy needs the part fleet: directors talk by it");
        }
        all.effective = top.effective();
        if (!faults.isEmpty()) throw new InvalidOperatorsFileException(file, faults);
        return all;
    }

    /** What the file sets this feature to; null where it leaves it off. */
    public <T> T part(SettingsPart<T> p) {
        return p.type().cast(parts.get(p));
    }

    /** The file as it was understood, defaults filled in. */
    public String show() {
        return new GsonBuilder().setPrettyPrinting().disableHtmlEscaping().create().toJson(effective);
    }
}
