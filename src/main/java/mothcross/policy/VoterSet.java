package mothcross.policy;

import com.google.gson.annotations.SerializedName;
import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A fixed, numbered set of voters. A voter is identified by its name and its store id, which is drawn at random when
 * its disk is first written: a voter whose disk is lost returns with another id and counts no more. Number 0 is the set
 * that the operators' files name, before any store id is known; there all voters have to agree, not only a majority.
 */
public record VoterSet(long number, @SerializedName("marks") Map<String, String> storeIds) {
    public VoterSet {
        storeIds = Collections.unmodifiableMap(new TreeMap<>(storeIds));
    }

    /** The set number 0, as the operators' files name it. */
    public static VoterSet initial(Iterable<String> names) {
        Map<String, String> storeIds = new TreeMap<>();
        for (String name : names) storeIds.put(name, "");
        return new VoterSet(0, storeIds);
    }

    public Set<String> names() {
        return storeIds.keySet();
    }

    /** Whether an answer under this name and store id counts. */
    public boolean contains(String name, String storeId) {
        String expected = storeIds.get(name);
        return expected != null && (number == 0 || expected.equals(storeId));
    }

    /** Whether those that answered (by name, the store id of the answer) are enough to decide. */
    boolean isQuorum(Map<String, String> answers) {
        int counted = 0;
        for (Map.Entry<String, String> answer : answers.entrySet()) {
            if (contains(answer.getKey(), answer.getValue())) counted++;
        }
        return number == 0 ? counted == storeIds.size() : 2 * counted > storeIds.size();
    }
}
