package mothcross.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The members of the fleet, under a number and a digest: equal digests mean equal members in equal incarnations. A view
 * also defines who monitors whom: on each of several rings, which order the members differently, a member is watched
 * by its predecessor. So the watchers are spread over the fleet, and a member watches about as many as watch it.
 * Immutable.
 */
public final class View {
    public final long number;
    public final long digest;
    /** Sorted by name; a member's index is its position here. */
    private final List<MemberRecord> members;
    private final Map<String, Integer> indexByName = new HashMap<>();
    private final int rings;
    /** Computed on first use, as many views are only compared. */
    private int[][] watchers;
    private int[][] watched;

    View(long number, Collection<MemberRecord> members, int rings) {
        this.number = number;
        List<MemberRecord> sorted = new ArrayList<>(members);
        sorted.sort(Comparator.comparing(MemberRecord::name));
        this.members = List.copyOf(sorted);
        long membersDigest = 0;
        for (int i = 0; i < this.members.size(); i++) {
            MemberRecord member = this.members.get(i);
            indexByName.put(member.name(), i);
            membersDigest = mix(membersDigest ^ mix(hash(member.name()) + member.incarnation()));
        }
        digest = membersDigest;
        this.rings = Math.min(rings, this.members.size() - 1);
    }

    /** Creates a view outside the protocol, for comparison. */
    public static View of(long number, Collection<MemberRecord> members, int rings) {
        return new View(number, members, rings);
    }

    private View(View same, long number) {
        this.number = number;
        digest = same.digest;
        members = same.members;
        indexByName.putAll(same.indexByName);
        rings = same.rings;
        watchers = same.watchers;
        watched = same.watched;
    }

    /** The same members under another number. */
    View withNumber(long newNumber) {
        return newNumber == number ? this : new View(this, newNumber);
    }

    private void assignWatchers() {
        if (watchers != null) return;
        int size = members.size();
        watchers = new int[size][];
        watched = new int[size][];
        long[] hashes = new long[size];
        for (int i = 0; i < size; i++) hashes[i] = hash(members.get(i).name());
        int[] watchedCounts = new int[size];
        int[][] watchersOf = new int[size][Math.max(0, rings)];
        for (int ringIndex = 0; ringIndex < rings; ringIndex++) {
            long salt = mix(ringIndex + 1);
            Integer[] ring = new Integer[size];
            for (int i = 0; i < size; i++) ring[i] = i;
            Arrays.sort(ring, Comparator.comparingLong(i -> mix(hashes[i] ^ salt)));
            for (int position = 0; position < size; position++) {
                int subject = ring[position];
                // The nearest predecessor on this ring that does not watch the subject yet.
                for (int back = 1; back < size; back++) {
                    int watcher = ring[(position - back + size) % size];
                    if (contains(watchersOf[subject], ringIndex, watcher)) continue;
                    watchersOf[subject][ringIndex] = watcher;
                    watchedCounts[watcher]++;
                    break;
                }
            }
        }
        for (int i = 0; i < size; i++) {
            watchers[i] = watchersOf[i];
            watched[i] = new int[watchedCounts[i]];
        }
        int[] filled = new int[size];
        for (int subject = 0; subject < size; subject++) {
            for (int watcher : watchersOf[subject]) watched[watcher][filled[watcher]++] = subject;
        }
    }

    private static boolean contains(int[] values, int length, int value) {
        for (int i = 0; i < length; i++) if (values[i] == value) return true;
        return false;
    }

    public int size() {
        return members.size();
    }

    public List<MemberRecord> members() {
        return members;
    }

    MemberRecord member(int index) {
        return members.get(index);
    }

    /** The index of a member; -1 where the name is not in the view. */
    int indexOf(String name) {
        Integer index = indexByName.get(name);
        return index == null ? -1 : index;
    }

    public boolean contains(String name) {
        return indexByName.containsKey(name);
    }

    /** The record of a member; null where the name is not in the view. */
    public MemberRecord of(String name) {
        Integer index = indexByName.get(name);
        return index == null ? null : members.get(index);
    }

    /** The indexes of the members that watch the one at {@code index}. */
    int[] watchers(int index) {
        assignWatchers();
        return watchers[index];
    }

    /** The indexes of the members that the one at {@code index} watches. */
    int[] watched(int index) {
        assignWatchers();
        return watched[index];
    }

    /** A 64-bit hash that is the same in every process. */
    static long hash(String text) {
        long hash = 0;
        for (int i = 0; i < text.length(); i++) hash = mix(hash * 31 + text.charAt(i));
        return hash;
    }

    /** The finalizer of a 64-bit mixing hash. */
    static long mix(long x) {
        x = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        x = (x ^ (x >>> 27)) * 0x94d049bb133111ebL;
        return x ^ (x >>> 31);
    }

    @Override public String toString() {
        return "view " + number + " of " + size() + " (" + Long.toHexString(digest) + ")";
    }
}
