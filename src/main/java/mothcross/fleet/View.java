package mothcross.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Who takes part, as one number and one digest: equal digests are equal members in equal lives. Owns the order of the
 * members and who watches whom: on each of some rings, in an order of its own, a member is watched by the one before
 * it, so watchers are spread over the fleet and every member watches about as many as watch it. Never changes.
 */
public final class View {
    public final long number, digest;
    private final List<MemberRecord> members;                   // by name
    private final Map<String, Integer> at = new HashMap<>();
    private final int rings;
    private int[][] watchers, watched;                  // made when first asked for: many views are only compared

    View(long number, Collection<MemberRecord> in, int rings) {
        this.number = number;
        List<MemberRecord> sorted = new ArrayList<>(in);
        sorted.sort(Comparator.comparing(MemberRecord::name));
        members = List.copyOf(sorted);
        long d = 0;
        for (int i = 0; i < members.size(); i++) {
            MemberRecord f = members.get(i);
            at.put(f.name(), i);
            d = mix(d ^ mix(hash(f.name()) + f.incarnation()));
        }
        digest = d;
        this.rings = Math.min(rings, members.size() - 1);
    }

    /** For those outside who compare. */
    public static View of(long number, Collection<MemberRecord> in, int rings) {
        return new View(number, in, rings);
    }

    /** The same members under another number. */
    private View(View same, long number) {
        this.number = number;
        digest = same.digest;
        members = same.members;
        at.putAll(same.at);
        rings = same.rings;
        watchers = same.watchers;
        watched = same.watched;
    }

    View numbered(long n) {
        return n == number ? this : new View(this, n);
    }

    private void watch() {
        if (watchers != null) return;
        int n = members.size();
        watchers = new int[n][];
        watched = new int[n][];
        long[] hash = new long[n];
        for (int i = 0; i < n; i++) hash[i] = hash(members.get(i).name());
        int[] most = new int[n];
        int[][] by = new int[n][Math.max(0, rings)];
        for (int r = 0; r < rings; r++) {
            long salt = mix(r + 1);
            Integer[] ring = new Integer[n];
            for (int i = 0; i < n; i++) ring[i] = i;
            Arrays.sort(ring, Comparator.comparingLong(i -> mix(hash[i] ^ salt)));
            for (int k = 0; k < n; k++) {
                int subject = ring[k];
                // The nearest before it on this ring that does not watch it yet.
                for (int back = 1; back < n; back++) {
                    int w = ring[(k - back + n) % n];
                    if (contains(by[subject], r, w)) continue;
                    by[subject][r] = w;
                    most[w]++;
                    break;
                }
            }
        }
        for (int i = 0; i < n; i++) {
            watchers[i] = by[i];
            watched[i] = new int[most[i]];
        }
        int[] fill = new int[n];
        for (int s = 0; s < n; s++) for (int w : by[s]) watched[w][fill[w]++] = s;
    }

    private static boolean contains(int[] in, int upTo, int x) {
        for (int i = 0; i < upTo; i++) if (in[i] == x) return true;
        return false;
    }

    public int size() {
        return members.size();
    }

    public List<MemberRecord> members() {
        return members;
    }

    MemberRecord member(int i) {
        return members.get(i);
    }

    /** Its place in the order of names, -1 where it is not in. */
    int place(String name) {
        Integer i = at.get(name);
        return i == null ? -1 : i;
    }

    public boolean contains(String name) {
        return at.containsKey(name);
    }

    public MemberRecord of(String name) {
        Integer i = at.get(name);
        return i == null ? null : members.get(i);
    }

    /** Those that watch the one at this place. */
    int[] watchers(int place) {
        watch();
        return watchers[place];
    }

    int[] watched(int place) {
        watch();
        return watched[place];
    }

    static long hash(String s) {
        long h = 0;
        for (int i = 0; i < s.length(); i++) h = mix(h * 31 + s.charAt(i));
        return h;
    }

    static long mix(long x) {                           // finalizer of a 64-bit mixing hash
        x = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        x = (x ^ (x >>> 27)) * 0x94d049bb133111ebL;
        return x ^ (x >>> 31);
    }

    @Override public String toString() {
        return "view " + number + " of " + size() + " (" + Long.toHexString(digest) + ")";
    }
}
