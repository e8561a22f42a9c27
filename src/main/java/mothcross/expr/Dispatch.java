package mothcross.expr;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

/**
 * Finds the first of many boolean expressions (rules) that is true, without evaluating all of them. Conditions that
 * compare a value with constants (equality, membership, prefix, range) are indexed by that value: one lookup yields the
 * set of rules that may hold for it. The intersection of these sets is evaluated in order. It never excludes a rule
 * that is true, since the order of the rules decides.
 */
public final class Dispatch {
    private static final int MAX_INDEXES = 4;
    /** The lookup in an index for a single rule would cost about as much as evaluating that rule. */
    private static final int MIN_RULES_PER_INDEX = 2;

    private enum Form { EXACT, PREFIX, INTERVAL }

    /**
     * A condition that a rule imposes on one value: to be equal to one of {@code byteStrings}, to start with the only
     * one, to be one of {@code integers}, or, if that is null, to be in the range from {@code low} to {@code high}.
     */
    private record Condition(Node subject, Form form, List<byte[]> byteStrings, long low, long high, long[] integers) {
        static Condition equalToAny(Node subject, List<byte[]> byteStrings) {
            return new Condition(subject, Form.EXACT, byteStrings, 0, 0, null);
        }

        static Condition startsWith(Node subject, byte[] prefix) {
            return new Condition(subject, Form.PREFIX, List.of(prefix), 0, 0, null);
        }

        static Condition oneOf(Node subject, long[] integers) {
            return new Condition(subject, Form.INTERVAL, null, 0, 0, integers);
        }

        static Condition inRange(Node subject, long low, long high) {
            return new Condition(subject, Form.INTERVAL, null, low, high, null);
        }
    }

    /** An index of rules by one value. Sets of rules are bit sets. */
    private abstract static class Index {
        final Node subject;
        /** The rules without a condition on this value. */
        final long[] unconditional;

        Index(Node subject, long[] unconditional) {
            this.subject = subject;
            this.unconditional = unconditional;
        }

        /** The rules whose condition holds for the value in the frame; null stands for the empty set. */
        abstract long[] candidates(Frame frame);
    }

    private final Program.Expression[] rules;
    private final Index[] indexes;
    /** The set of rules that may hold for the current request; reused, so that dispatch allocates nothing. */
    private final long[] candidates;

    public Dispatch(List<Program.Expression> rules) {
        this.rules = rules.toArray(Program.Expression[]::new);
        candidates = new long[(this.rules.length + 63) / 64];
        Map<String, Map<Integer, Condition>> conditionsByIndex = new LinkedHashMap<>();
        for (int rule = 0; rule < this.rules.length; rule++) {
            List<Condition> conditions = new ArrayList<>();
            collectConditions(this.rules[rule].root, conditions);
            for (Condition condition : conditions) {
                String key = condition.form + " " + condition.subject.slot;
                conditionsByIndex.computeIfAbsent(key, k -> new LinkedHashMap<>()).putIfAbsent(rule, condition);
            }
        }
        List<Map<Integer, Condition>> mostUsed = new ArrayList<>(conditionsByIndex.values());
        mostUsed.removeIf(conditions -> conditions.size() < MIN_RULES_PER_INDEX);
        mostUsed.sort(Comparator.comparingInt(conditions -> -conditions.size()));
        indexes = mostUsed.stream().limit(MAX_INDEXES).map(this::buildIndex).toArray(Index[]::new);
    }

    /** How many values are looked up before any rule is evaluated. */
    public int indexCount() {
        return indexes.length;
    }

    /** The number of the first rule that is true, or -1. */
    public int first(Frame frame) {
        Arrays.fill(candidates, -1L);
        for (Index index : indexes) {
            index.subject.evaluate(frame);
            long[] matching = index.candidates(frame);
            long[] unconditional = index.unconditional;
            for (int word = 0; word < candidates.length; word++) {
                candidates[word] &= matching == null ? unconditional[word] : matching[word] | unconditional[word];
            }
        }
        for (int word = 0; word < candidates.length; word++) {
            for (long remaining = candidates[word]; remaining != 0; remaining &= remaining - 1) {
                int rule = 64 * word + Long.numberOfTrailingZeros(remaining);
                if (rule < rules.length && rules[rule].evaluateBoolean(frame)) return rule;
            }
        }
        return -1;
    }

    /** The result of {@link #first} by evaluating all rules in order; for tests and benchmarks. */
    public int firstByLinearScan(Frame frame) {
        for (int rule = 0; rule < rules.length; rule++) if (rules[rule].evaluateBoolean(frame)) return rule;
        return -1;
    }

    /** Collects the conditions that must all hold for a node to be true, as far as they can be indexed. */
    private static void collectConditions(Node node, List<Condition> into) {
        if (node instanceof Node.BooleanOperation operation && operation.operator == '&') {
            collectConditions(operation.left, into);
            collectConditions(operation.right, into);
        } else if (node instanceof Node.BytesEquality equality && !equality.isNegated()) {
            if (equality.right instanceof Node.Constant constant) {
                into.add(Condition.equalToAny(equality.left, List.of(constant.bytes)));
            } else if (equality.left instanceof Node.Constant constant) {
                into.add(Condition.equalToAny(equality.right, List.of(constant.bytes)));
            }
        } else if (node instanceof Node.InSet set) {
            if (set.integers != null) into.add(Condition.oneOf(set.operand, set.integers));
            else into.add(Condition.equalToAny(set.operand,
                Arrays.stream(set.byteStrings).filter(Objects::nonNull).toList()));
        } else if (node instanceof Node.InRange range && !range.operand.type.isFractional()) {
            into.add(Condition.inRange(range.operand, range.lowLong, range.highLong));
        } else if (node instanceof Node.SubstringTest test && test.anchor == '^') {
            into.add(Condition.startsWith(test.operand, test.pattern));
        } else if (node instanceof Node.NumberComparison comparison) {
            collectComparison(comparison, into);
        }
    }

    /** A comparison of an integer with a constant is a range. */
    private static void collectComparison(Node.NumberComparison comparison, List<Condition> into) {
        boolean isInteger = comparison.right instanceof Node.Constant
            && comparison.left.type.kind() == Type.Kind.INT
            && comparison.right.type.kind() == Type.Kind.INT;
        if (!isInteger) return;
        long constant = ((Node.Constant) comparison.right).longValue;
        switch (comparison.operator) {
            case "==" -> into.add(Condition.inRange(comparison.left, constant, constant));
            case "<=" -> into.add(Condition.inRange(comparison.left, Long.MIN_VALUE, constant));
            case ">=" -> into.add(Condition.inRange(comparison.left, constant, Long.MAX_VALUE));
            case "<" -> {
                if (constant == Long.MIN_VALUE) return;
                into.add(Condition.inRange(comparison.left, Long.MIN_VALUE, constant - 1));
            }
            case ">" -> {
                if (constant == Long.MAX_VALUE) return;
                into.add(Condition.inRange(comparison.left, constant + 1, Long.MAX_VALUE));
            }
            default -> { }
        }
    }

    private static void setBit(long[] bits, int bit) {
        bits[bit / 64] |= 1L << bit % 64;
    }

    private static void clearBit(long[] bits, int bit) {
        bits[bit / 64] &= ~(1L << bit % 64);
    }

    private Index buildIndex(Map<Integer, Condition> conditions) {
        long[] unconditional = new long[candidates.length];
        Arrays.fill(unconditional, -1L);
        conditions.keySet().forEach(rule -> clearBit(unconditional, rule));
        Condition any = conditions.values().iterator().next();
        return switch (any.form) {
            case EXACT -> new ExactIndex(any.subject, unconditional, conditions);
            case PREFIX -> new PrefixIndex(any.subject, unconditional, conditions);
            case INTERVAL -> new IntervalIndex(any.subject, unconditional, conditions);
        };
    }

    /** Rules by equality of bytes: a hash table with open addressing. */
    private final class ExactIndex extends Index {
        private final byte[][] keys;
        private final long[][] rulesByKey;
        private final int maxLength;

        ExactIndex(Node subject, long[] unconditional, Map<Integer, Condition> conditions) {
            super(subject, unconditional);
            int keyCount = conditions.values().stream().mapToInt(condition -> condition.byteStrings.size()).sum();
            int size = Integer.highestOneBit(Math.max(2, keyCount) * 4 - 1);
            keys = new byte[size][];
            rulesByKey = new long[size][];
            conditions.forEach(this::add);
            maxLength = Arrays.stream(keys).filter(Objects::nonNull).mapToInt(key -> key.length).max().orElse(0);
        }

        private void add(int rule, Condition condition) {
            for (byte[] key : condition.byteStrings) {
                int index = find(key, 0, key.length);
                keys[index] = key;
                if (rulesByKey[index] == null) rulesByKey[index] = new long[candidates.length];
                setBit(rulesByKey[index], rule);
            }
        }

        /** The place of a key, or the empty place where it belongs. */
        private int find(byte[] bytes, int start, int end) {
            int index = (int) Node.Hash.of(bytes, start, end) & keys.length - 1;
            while (keys[index] != null && !Arrays.equals(keys[index], 0, keys[index].length, bytes, start, end)) {
                index = index + 1 & keys.length - 1;
            }
            return index;
        }

        @Override long[] candidates(Frame frame) {
            int slot = subject.slot;
            // A value longer than every key equals none; hashing it would take time that grows with its length.
            if (frame.ends[slot] - frame.starts[slot] > maxLength) return null;
            return rulesByKey[find(frame.bytes[slot], frame.starts[slot], frame.ends[slot])];
        }
    }

    /** Rules by prefix: a trie of bytes, whose nodes hold the rules for every prefix that ends on the way to them. */
    private final class PrefixIndex extends Index {
        private static final class TrieNode {
            byte[] keys = new byte[0];
            TrieNode[] children = new TrieNode[0];
            final long[] rules;

            TrieNode(int words) {
                rules = new long[words];
            }

            TrieNode child(byte key) {
                for (int i = 0; i < keys.length; i++) if (keys[i] == key) return children[i];
                return null;
            }

            TrieNode childOrNew(byte key) {
                TrieNode child = child(key);
                if (child != null) return child;
                child = new TrieNode(rules.length);
                int count = keys.length;
                keys = Arrays.copyOf(keys, count + 1);
                children = Arrays.copyOf(children, count + 1);
                keys[count] = key;
                children[count] = child;
                return child;
            }

            /** Adds the rules of each node to all nodes below it. */
            void propagate() {
                for (TrieNode child : children) {
                    for (int word = 0; word < rules.length; word++) child.rules[word] |= rules[word];
                    child.propagate();
                }
            }
        }

        private final TrieNode root = new TrieNode(candidates.length);

        PrefixIndex(Node subject, long[] unconditional, Map<Integer, Condition> conditions) {
            super(subject, unconditional);
            conditions.forEach((rule, condition) -> {
                TrieNode node = root;
                for (byte key : condition.byteStrings.get(0)) node = node.childOrNew(key);
                setBit(node.rules, rule);
            });
            root.propagate();
        }

        @Override long[] candidates(Frame frame) {
            byte[] bytes = frame.bytes[subject.slot];
            TrieNode node = root;
            for (int i = frame.starts[subject.slot]; i < frame.ends[subject.slot]; i++) {
                TrieNode child = node.child(bytes[i]);
                if (child == null) break;
                node = child;
            }
            return node.rules;
        }
    }

    /** Rules by ranges of integers: the limits of all ranges cut the integers into intervals with one set each. */
    private final class IntervalIndex extends Index {
        /** In ascending order, from the smallest integer on; an interval ends before the start of the next. */
        private final long[] intervalStarts;
        private final long[][] rulesByInterval;

        IntervalIndex(Node subject, long[] unconditional, Map<Integer, Condition> conditions) {
            super(subject, unconditional);
            TreeSet<Long> starts = new TreeSet<>(List.of(Long.MIN_VALUE));
            for (Condition condition : conditions.values()) {
                for (Range range : ranges(condition)) {
                    starts.add(range.low);
                    if (range.high < Long.MAX_VALUE) starts.add(range.high + 1);
                }
            }
            intervalStarts = starts.stream().mapToLong(start -> start).toArray();
            rulesByInterval = new long[intervalStarts.length][candidates.length];
            conditions.forEach(this::add);
        }

        private void add(int rule, Condition condition) {
            for (Range range : ranges(condition)) {
                int interval = Arrays.binarySearch(intervalStarts, range.low);
                for (; interval < intervalStarts.length && intervalStarts[interval] <= range.high; interval++) {
                    setBit(rulesByInterval[interval], rule);
                }
            }
        }

        @Override long[] candidates(Frame frame) {
            int found = Arrays.binarySearch(intervalStarts, frame.longs[subject.slot]);
            // A value that starts no interval belongs to the one before its insertion point.
            return rulesByInterval[found >= 0 ? found : -found - 2];
        }
    }

    /** A range of integers, both ends inclusive. */
    private record Range(long low, long high) { }

    private static List<Range> ranges(Condition condition) {
        if (condition.integers == null) return List.of(new Range(condition.low, condition.high));
        return Arrays.stream(condition.integers).mapToObj(value -> new Range(value, value)).toList();
    }

    /**
     * The constants that an expression compares an input with, if it can be true for these values only; null if its
     * conditions don't limit the input to certain values.
     */
    public static List<String> exactValues(Program.Expression expression, String input) {
        List<Condition> conditions = new ArrayList<>();
        collectConditions(expression.root, conditions);
        Set<String> values = null;
        for (Condition condition : conditions) {
            if (condition.form != Form.EXACT) continue;
            if (!(condition.subject instanceof Node.ReadInput read) || !read.input.name().equals(input)) continue;
            Set<String> allowed = new HashSet<>();
            for (byte[] bytes : condition.byteStrings) allowed.add(new String(bytes, StandardCharsets.ISO_8859_1));
            if (values == null) values = allowed;
            else values.retainAll(allowed);
        }
        return values == null ? null : List.copyOf(values);
    }
}
