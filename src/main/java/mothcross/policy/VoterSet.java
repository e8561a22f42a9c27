package mothcross.policy;

import com.google.gson.annotations.SerializedName;
import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Who decides: a fixed, numbered set. A voter is its name and its mark, drawn when its disk was first written: one
 * whose disk is gone comes back under another mark, and counts no more. Number 0 is what the operators' files name,
 * before
 * any mark is known: there all have to agree, not only most.
 */
public record VoterSet(long number, @SerializedName("marks") Map<String, String> storeIds) {
    public VoterSet {
        storeIds = Collections.unmodifiableMap(new TreeMap<>(storeIds));
    }

    /** As the operators' files name them. */
    public static VoterSet initial(Iterable<String> names) {
        Map<String, String> all = new TreeMap<>();
        for (String n : names) all.put(n, "");
        return new VoterSet(0, all);
    }

    public Set<String> names() {
        return storeIds.keySet();
    }

    public boolean contains(String name, String mark) {
        String m = storeIds.get(name);
        return m != null && (number == 0 || m.equals(mark));
    }

    /** Whether these answers, by name the mark that came with each, are enough. */
    boolean isQuorum(Map<String, String> answered) {
        int n = 0;
        for (Map.Entry<String, String> e : answered.entrySet()) if (contains(e.getKey(), e.getValue())) n++;
        return number == 0 ? n == storeIds.size() : 2 * n > storeIds.size();
    }
}
