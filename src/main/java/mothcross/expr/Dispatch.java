package mothcross.expr;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Which of many truths is the first that holds, without trying all: what each asks of a value with constants (the
 * same as, among, begins with, within) is looked up once by that value, and gives the set of those that may hold.
 * Owns these sets; must never leave out one that holds, since the order of the table decides.
 */
public final class Dispatch {
    private static final int MOST_AXES = 4, FEWEST = 2;

    private enum Form { TEXT, PREFIX, WHOLE }

    /** What one truth asks of one value. */
    private record Asks(Node subject, Form form, List<byte[]> texts, long low, long high, long[] wholes) { }

    /** One value, and which truths may hold by it. */
    private abstract static class Axis {
        final Node subject;
        final long[] any;                                   // those that ask nothing of it

        Axis(Node subject, long[] any) {
            this.subject = subject;
            this.any = any;
        }

        /** The set for the value in the frame, or null: only those that ask nothing. */
        abstract long[] by(Frame f);
    }

    private final Program.Expression[] all;
    private final Axis[] axes;
    private final long[] may;

    public Dispatch(List<Program.Expression> truths) {
        all = truths.toArray(Program.Expression[]::new);
        may = new long[(all.length + 63) / 64];
        Map<String, Map<Integer, Asks>> found = new LinkedHashMap<>();
        for (int i = 0; i < all.length; i++) {
            List<Asks> asks = new ArrayList<>();
            conjuncts(all[i].root, asks);
            for (Asks a : asks) {
                found.computeIfAbsent(a.form + " " + a.subject.slot, k -> new LinkedHashMap<>()).putIfAbsent(i, a);
            }
        }
        List<Map<Integer, Asks>> best = new ArrayList<>(found.values());
        best.removeIf(m -> m.size() < FEWEST);
        best.sort(Comparator.comparingInt(m -> -m.size()));
        axes = best.stream().limit(MOST_AXES).map(this::axis).toArray(Axis[]::new);
    }

    /** How many values are looked up before any truth is tried. */
    public int axes() {
        return axes.length;
    }

    /** The first that holds, or -1. */
    public int first(Frame f) {
        Arrays.fill(may, -1L);
        for (Axis x : axes) {
            x.subject.need(f);
            long[] by = x.by(f);
            for (int w = 0; w < may.length; w++) may[w] &= by == null ? x.any[w] : by[w] | x.any[w];
        }
        for (int w = 0; w < may.length; w++) {
            for (long left = may[w]; left != 0; left &= left - 1) {
                int i = 64 * w + Long.numberOfTrailingZeros(left);
                if (i < all.length && all[i].evaluateBoolean(f)) return i;
            }
        }
        return -1;
    }

    /** The same by trying all in order: what {@link #first} has to equal. */
    public int firstByLinearScan(Frame f) {
        for (int i = 0; i < all.length; i++) if (all[i].evaluateBoolean(f)) return i;
        return -1;
    }

    private static void conjuncts(Node n, List<Asks> into) {
        if (n instanceof Node.Logic l && l.op == '&') {
            conjuncts(l.a, into);
            conjuncts(l.b, into);
        } else if (n instanceof Node.Same s && !s.not()) {
            Node.Const c = s.b instanceof Node.Const x ? x : s.a instanceof Node.Const y ? y : null;
            if (c != null) into.add(new Asks(c == s.b ? s.a : s.b, Form.TEXT, List.of(c.bytes), 0, 0, null));
        } else if (n instanceof Node.Among a) {
            if (a.wholes != null) into.add(new Asks(a.a, Form.WHOLE, null, 0, 0, a.wholes));
            else into.add(new Asks(a.a, Form.TEXT, Arrays.stream(a.texts).filter(t -> t != null).toList(), 0, 0, null));
        } else if (n instanceof Node.Within w && !w.a.type.isFractional()) {
            into.add(new Asks(w.a, Form.WHOLE, null, w.lowWhole, w.highWhole, null));
        } else if (n instanceof Node.Stands s && s.where == '^') {
            into.add(new Asks(s.a, Form.PREFIX, List.of(s.what), 0, 0, null));
        } else if (n instanceof Node.Compare c && c.b instanceof Node.Const k && c.a.type.kind() == Type.Kind.INT
            && k.type.kind() == Type.Kind.INT) {
            long v = k.whole;
            boolean none = c.op.equals("<") && v == Long.MIN_VALUE || c.op.equals(">") && v == Long.MAX_VALUE;
            if (none || c.op.equals("!=")) return;
            long low = c.op.equals("<") || c.op.equals("<=") ? Long.MIN_VALUE : c.op.equals(">") ? v + 1 : v;
            long high = c.op.equals(">") || c.op.equals(">=") ? Long.MAX_VALUE : c.op.equals("<") ? v - 1 : v;
            into.add(new Asks(c.a, Form.WHOLE, null, low, high, null));
        }
    }

    private static void set(long[] bits, int i) {
        bits[i / 64] |= 1L << i % 64;
    }

    private Axis axis(Map<Integer, Asks> asks) {
        long[] any = new long[may.length];
        Arrays.fill(any, -1L);
        asks.keySet().forEach(i -> any[i / 64] &= ~(1L << i % 64));
        Asks one = asks.values().iterator().next();
        return switch (one.form) {
            case TEXT -> new Texts(one.subject, any, asks);
            case PREFIX -> new Prefixes(one.subject, any, asks);
            case WHOLE -> new Wholes(one.subject, any, asks);
        };
    }

    private final class Texts extends Axis {
        private final byte[][] texts;
        private final long[][] sets;

        Texts(Node subject, long[] any, Map<Integer, Asks> asks) {
            super(subject, any);
            int n = asks.values().stream().mapToInt(a -> a.texts.size()).sum();
            int size = Integer.highestOneBit(Math.max(2, n) * 4 - 1);
            texts = new byte[size][];
            sets = new long[size][];
            asks.forEach((i, a) -> {
                for (byte[] t : a.texts) {
                    int at = find(t, 0, t.length);
                    texts[at] = t;
                    if (sets[at] == null) sets[at] = new long[may.length];
                    set(sets[at], i);
                }
            });
        }

        private int find(byte[] b, int from, int to) {
            int at = (int) Node.Hash.of(b, from, to) & texts.length - 1;
            while (texts[at] != null && !Arrays.equals(texts[at], 0, texts[at].length, b, from, to)) {
                at = at + 1 & texts.length - 1;
            }
            return at;
        }

        @Override long[] by(Frame f) {
            // Longer than any constant is like none, and is not gone through.
            int slot = subject.slot;
            if (f.to[slot] - f.from[slot] > longest()) return null;
            return sets[find(f.bytes[slot], f.from[slot], f.to[slot])];
        }

        private int longest = -1;

        private int longest() {
            if (longest < 0) for (byte[] t : texts) longest = Math.max(longest, t == null ? 0 : t.length);
            return longest;
        }
    }

    /** A tree of bytes; each place knows all whose prefix ends on the way to it. */
    private final class Prefixes extends Axis {
        private static final class Place {
            byte[] keys = new byte[0];
            Place[] next = new Place[0];
            long[] set;

            Place child(byte b) {
                for (int i = 0; i < keys.length; i++) if (keys[i] == b) return next[i];
                return null;
            }
        }

        private final Place root = new Place();

        Prefixes(Node subject, long[] any, Map<Integer, Asks> asks) {
            super(subject, any);
            root.set = new long[may.length];
            asks.forEach((i, a) -> {
                Place p = root;
                for (byte b : a.texts.get(0)) {
                    Place c = p.child(b);
                    if (c == null) {
                        int n = p.keys.length;
                        p.keys = Arrays.copyOf(p.keys, n + 1);
                        p.next = Arrays.copyOf(p.next, n + 1);
                        p.keys[n] = b;
                        p.next[n] = c = new Place();
                        c.set = new long[may.length];
                    }
                    p = c;
                }
                set(p.set, i);
            });
            spread(root);
        }

        private void spread(Place p) {
            for (Place c : p.next) {
                for (int w = 0; w < may.length; w++) c.set[w] |= p.set[w];
                spread(c);
            }
        }

        @Override long[] by(Frame f) {
            byte[] b = f.bytes[subject.slot];
            Place p = root;
            for (int i = f.from[subject.slot]; i < f.to[subject.slot]; i++) {
                Place c = p.child(b[i]);
                if (c == null) break;
                p = c;
            }
            return p.set;
        }
    }

    /** Between two neighbouring ends of ranges all numbers are alike. */
    private final class Wholes extends Axis {
        private final long[] begins;                        // of stretches; the first begins at the least number
        private final long[][] sets;

        Wholes(Node subject, long[] any, Map<Integer, Asks> asks) {
            super(subject, any);
            TreeSet<Long> cuts = new TreeSet<>(List.of(Long.MIN_VALUE));
            for (Asks a : asks.values()) {
                for (long[] r : ranges(a)) {
                    cuts.add(r[0]);
                    if (r[1] < Long.MAX_VALUE) cuts.add(r[1] + 1);
                }
            }
            begins = cuts.stream().mapToLong(x -> x).toArray();
            sets = new long[begins.length][may.length];
            asks.forEach((i, a) -> {
                for (long[] r : ranges(a)) {
                    int at = Arrays.binarySearch(begins, r[0]);
                    for (; at < begins.length && begins[at] <= r[1]; at++) set(sets[at], i);
                }
            });
        }

        private static List<long[]> ranges(Asks a) {
            if (a.wholes == null) return List.of(new long[] {a.low, a.high});
            return Arrays.stream(a.wholes).mapToObj(w -> new long[] {w, w}).toList();
        }

        @Override long[] by(Frame f) {
            int at = Arrays.binarySearch(begins, f.whole[subject.slot]);
            return sets[at >= 0 ? at : -at - 2];
        }
    }

    /** The values of an input that a truth admits, where it says so with constants: null where it does not. */
    public static List<String> admitted(Program.Expression e, String input) {
        List<Asks> asks = new ArrayList<>();
        conjuncts(e.root, asks);
        Map<String, Boolean> all = null;
        for (Asks a : asks) {
            if (a.form != Form.TEXT || !(a.subject instanceof Node.Read r) || !r.input.name().equals(input)) continue;
            Map<String, Boolean> here = new HashMap<>();
            for (byte[] t : a.texts) here.put(new String(t, java.nio.charset.StandardCharsets.ISO_8859_1), true);
            if (all == null) all = here;
            else all.keySet().retainAll(new HashSet<>(here.keySet()));
        }
        return all == null ? null : List.copyOf(all.keySet());
    }
}
