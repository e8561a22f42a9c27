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
    private static final int MAX_INDEXES = 4, MIN_RULES_PER_INDEX = 2;

    private enum Form { EXACT, PREFIX, INTERVAL }

    /** What one truth asks of one value. */
    private record Condition(Node subject, Form form, List<byte[]> byteStrings, long low, long high,
        long[] integers) { }

    /** One value, and which truths may hold by it. */
    private abstract static class Index {
        final Node subject;
        final long[] unconditional;                                   // those that ask nothing of it

        Index(Node subject, long[] any) {
            this.subject = subject;
            this.unconditional = any;
        }

        /** The set for the value in the frame, or null: only those that ask nothing. */
        abstract long[] candidates(Frame f);
    }

    private final Program.Expression[] rules;
    private final Index[] indexes;
    private final long[] candidates;

    public Dispatch(List<Program.Expression> truths) {
        rules = truths.toArray(Program.Expression[]::new);
        candidates = new long[(rules.length + 63) / 64];
        Map<String, Map<Integer, Condition>> found = new LinkedHashMap<>();
        for (int i = 0; i < rules.length; i++) {
            List<Condition> asks = new ArrayList<>();
            collectConditions(rules[i].root, asks);
            for (Condition a : asks) {
                found.computeIfAbsent(a.form + " " + a.subject.slot, k -> new LinkedHashMap<>()).putIfAbsent(i, a);
            }
        }
        List<Map<Integer, Condition>> best = new ArrayList<>(found.values());
        best.removeIf(m -> m.size() < MIN_RULES_PER_INDEX);
        best.sort(Comparator.comparingInt(m -> -m.size()));
        indexes = best.stream().limit(MAX_INDEXES).map(this::buildIndex).toArray(Index[]::new);
    }

    /** How many values are looked up before any truth is tried. */
    public int indexCount() {
        return indexes.length;
    }

    /** The first that holds, or -1. */
    public int first(Frame f) {
        Arrays.fill(candidates, -1L);
        for (Index x : indexes) {
            x.subject.evaluate(f);
            long[] by = x.candidates(f);
            for (int w = 0; w < candidates.length; w++) {
                candidates[w] &= by == null ? x.unconditional[w] : by[w] | x.unconditional[w];
            }
        }
        for (int w = 0; w < candidates.length; w++) {
            for (long left = candidates[w]; left != 0; left &= left - 1) {
                int i = 64 * w + Long.numberOfTrailingZeros(left);
                if (i < rules.length && rules[i].evaluateBoolean(f)) return i;
            }
        }
        return -1;
    }

    /** The same by trying all in order: what {@link #first} has to equal. */
    public int firstByLinearScan(Frame f) {
        for (int i = 0; i < rules.length; i++) if (rules[i].evaluateBoolean(f)) return i;
        return -1;
    }

    private static void collectConditions(Node n, List<Condition> into) {
        if (n instanceof Node.BooleanOperation l && l.operator == '&') {
            collectConditions(l.left, into);
            collectConditions(l.right, into);
        } else if (n instanceof Node.BytesEquality s && !s.isNegated()) {
            Node.Constant c = s.right instanceof Node.Constant x ? x : s.left instanceof Node.Constant y ? y : null;
            if (c != null) into.add(new Condition(c == s.right ? s.left : s.right, Form.EXACT, List.of(c.bytes), 0, 0,
                null));
        } else if (n instanceof Node.InSet a) {
            if (a.integers != null) into.add(new Condition(a.operand, Form.INTERVAL, null, 0, 0, a.integers));
            else into.add(new Condition(a.operand, Form.EXACT,
                Arrays.stream(a.byteStrings).filter(t -> t != null).toList(), 0, 0, null));
        } else if (n instanceof Node.InRange w && !w.operand.type.isFractional()) {
            into.add(new Condition(w.operand, Form.INTERVAL, null, w.lowLong, w.highLong, null));
        } else if (n instanceof Node.SubstringTest s && s.anchor == '^') {
            into.add(new Condition(s.operand, Form.PREFIX, List.of(s.pattern), 0, 0, null));
        } else if (n instanceof Node.NumberComparison c && c.right instanceof Node.Constant k && c.left.type.kind()
            == Type.Kind.INT
            && k.type.kind() == Type.Kind.INT) {
            long v = k.longValue;
            boolean none = c.operator.equals("<") && v == Long.MIN_VALUE || c.operator.equals(">")
                && v == Long.MAX_VALUE;
            if (none || c.operator.equals("!=")) return;
            long low = c.operator.equals("<") || c.operator.equals("<=") ? Long.MIN_VALUE : c.operator.equals(">") ? v
                + 1 : v;
            long high = c.operator.equals(">") || c.operator.equals(">=") ? Long.MAX_VALUE : c.operator.equals("<")
                ? v - 1 : v;
            into.add(new Condition(c.left, Form.INTERVAL, null, low, high, null));
        }
    }

    private static void setBit(long[] bits, int i) {
        bits[i / 64] |= 1L << i % 64;
    }

    private Index buildIndex(Map<Integer, Condition> asks) {
        long[] any = new long[candidates.length];
        Arrays.fill(any, -1L);
        asks.keySet().forEach(i -> any[i / 64] &= ~(1L << i % 64));
        Condition one = asks.values().iterator().next();
        return switch (one.form) {
            case EXACT -> new ExactIndex(one.subject, any, asks);
            case PREFIX -> new PrefixIndex(one.subject, any, asks);
            case INTERVAL -> new IntervalIndex(one.subject, any, asks);
        };
    }

    private final class ExactIndex extends Index {
        private final byte[][] keys;
        private final long[][] rulesByKey;

        ExactIndex(Node subject, long[] any, Map<Integer, Condition> asks) {
            super(subject, any);
            int n = asks.values().stream().mapToInt(a -> a.byteStrings.size()).sum();
            int size = Integer.highestOneBit(Math.max(2, n) * 4 - 1);
            keys = new byte[size][];
            rulesByKey = new long[size][];
            asks.forEach((i, a) -> {
                for (byte[] t : a.byteStrings) {
                    int at = find(t, 0, t.length);
                    keys[at] = t;
                    if (rulesByKey[at] == null) rulesByKey[at] = new long[candidates.length];
                    setBit(rulesByKey[at], i);
                }
            });
        }

        private int find(byte[] b, int from, int to) {
            int at = (int) Node.Hash.of(b, from, to) & keys.length - 1;
            while (keys[at] != null && !Arrays.equals(keys[at], 0, keys[at].length, b, from, to)) {
                at = at + 1 & keys.length - 1;
            }
            return at;
        }

        @Override long[] candidates(Frame f) {
            // Longer than any constant is like none, and is not gone through.
            int slot = subject.slot;
            if (f.ends[slot] - f.starts[slot] > maxLength()) return null;
            return rulesByKey[find(f.bytes[slot], f.starts[slot], f.ends[slot])];
        }

        private int maxLength = -1;

        private int maxLength() {
            if (maxLength < 0) for (byte[] t : keys) maxLength = Math.max(maxLength, t == null ? 0 : t.length);
            return maxLength;
        }
    }

    /** A tree of bytes; each place knows all whose prefix ends on the way to it. */
    private final class PrefixIndex extends Index {
        private static final class TrieNode {
            byte[] keys = new byte[0];
            TrieNode[] children = new TrieNode[0];
            long[] rules;

            TrieNode child(byte b) {
                for (int i = 0; i < keys.length; i++) if (keys[i] == b) return children[i];
                return null;
            }
        }

        private final TrieNode root = new TrieNode();

        PrefixIndex(Node subject, long[] any, Map<Integer, Condition> asks) {
            super(subject, any);
            root.rules = new long[candidates.length];
            asks.forEach((i, a) -> {
                TrieNode p = root;
                for (byte b : a.byteStrings.get(0)) {
                    TrieNode c = p.child(b);
                    if (c == null) {
                        int n = p.keys.length;
                        p.keys = Arrays.copyOf(p.keys, n + 1);
                        p.children = Arrays.copyOf(p.children, n + 1);
                        p.keys[n] = b;
                        p.children[n] = c = new TrieNode();
                        c.rules = new long[candidates.length];
                    }
                    p = c;
                }
                setBit(p.rules, i);
            });
            inherit(root);
        }

        private void inherit(TrieNode p) {
            for (TrieNode c : p.children) {
                for (int w = 0; w < candidates.length; w++) c.rules[w] |= p.rules[w];
                inherit(c);
            }
        }

        @Override long[] candidates(Frame f) {
            byte[] b = f.bytes[subject.slot];
            TrieNode p = root;
            for (int i = f.starts[subject.slot]; i < f.ends[subject.slot]; i++) {
                TrieNode c = p.child(b[i]);
                if (c == null) break;
                p = c;
            }
            return p.rules;
        }
    }

    /** Between two neighbouring ends of ranges all numbers are alike. */
    private final class IntervalIndex extends Index {
        // of stretches; the first begins at the least number
        private final long[] intervalStarts;
        private final long[][] rulesByInterval;

        IntervalIndex(Node subject, long[] any, Map<Integer, Condition> asks) {
            super(subject, any);
            TreeSet<Long> cuts = new TreeSet<>(List.of(Long.MIN_VALUE));
            for (Condition a : asks.values()) {
                for (long[] r : ranges(a)) {
                    cuts.add(r[0]);
                    if (r[1] < Long.MAX_VALUE) cuts.add(r[1] + 1);
                }
            }
            intervalStarts = cuts.stream().mapToLong(x -> x).toArray();
            rulesByInterval = new long[intervalStarts.length][candidates.length];
            asks.forEach((i, a) -> {
                for (long[] r : ranges(a)) {
                    int at = Arrays.binarySearch(intervalStarts, r[0]);
                    for (; at < intervalStarts.length && intervalStarts[at] <= r[1]; at++) {
                        setBit(rulesByInterval[at], i);
                    }
                }
            });
        }

        private static List<long[]> ranges(Condition a) {
            if (a.integers == null) return List.of(new long[] {a.low, a.high});
            return Arrays.stream(a.integers).mapToObj(w -> new long[] {w, w}).toList();
        }

        @Override long[] candidates(Frame f) {
            int at = Arrays.binarySearch(intervalStarts, f.longs[subject.slot]);
            return rulesByInterval[at >= 0 ? at : -at - 2];
        }
    }

    /** The values of an input that a truth admits, where it says so with constants: null where it does not. */
    public static List<String> exactValues(Program.Expression e, String input) {
        List<Condition> asks = new ArrayList<>();
        collectConditions(e.root, asks);
        Map<String, Boolean> all = null;
        for (Condition a : asks) {
            if (a.form != Form.EXACT || !(a.subject instanceof Node.ReadInput r) || !r.input.name().equals(input)) {
                continue;
            }
            Map<String, Boolean> here = new HashMap<>();
            for (byte[] t : a.byteStrings) here.put(new String(t, java.nio.charset.StandardCharsets.ISO_8859_1), true);
            if (all == null) all = here;
            else all.keySet().retainAll(new HashSet<>(here.keySet()));
        }
        return all == null ? null : List.copyOf(all.keySet());
    }
}
