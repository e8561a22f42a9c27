package mothcross.route;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mothcross.Workload;
import mothcross.expr.Dispatch;
import mothcross.expr.ExpressionException;
import mothcross.expr.Frame;
import mothcross.expr.Inputs;
import mothcross.expr.Program;
import mothcross.expr.Type;

/**
 * The compiled routing rules, in order. The first rule whose match is true is applied to a lookup and decides how it
 * continues, or that it is rejected.
 *
 * <p>A rule can only restrict what the settings allow: it lowers importance and the number of hops, replaces a workload
 * only by one that is at least as strict, and its placement key is the same for a lookup and the client's retry.
 * Routing a lookup allocates no memory. A table is used by one thread at a time.
 */
public final class RouteTable {
    /** The most rules that a table may have. */
    public static final int MAX_RULES = 2000;

    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_HEADER_FIELDS_TOO_LARGE = 431;

    /** How a lookup continues. The instance is reused for the next lookup. */
    public static final class Outcome {
        /** The index of the rule that was applied; -1: none matched. */
        public int rule;
        /** The workload that the lookup counts as. */
        public int workload;
        /** The status that the lookup is rejected with; 0: it continues. */
        public int status;
        /** The most hops that the lookup may take. */
        public int maxHops;
        /** Whether {@code placementKey} replaces the object's key where caches and parents are ranked. */
        public boolean hasPlacementKey;
        public long placementKey;
        /** The factor applied to the workload's importance, at most 1. */
        public double importanceShare;
        /** When a rate-limited client may retry; 0 where it was not rate-limited. */
        public double retryAfterMs;
        /** Why it is rejected: "rule", "limit" or the name of the oversized input; null where it continues. */
        public String reason;
    }

    private record CompiledRule(RouteRules.Rule rule, Program.Expression match, Program.Expression key,
                                Program.Expression limitKey, RateLimiter limiter, int workload) { }

    private final Program program;
    private final List<CompiledRule> rules;
    private final Dispatch dispatch;
    private final Frame frame;
    private final String[] headers;
    private final List<String> notes;
    private final long[] matched;
    private final long[] rateLimited;
    private long oversizedInputs;
    private long unmatched;
    private final Outcome outcome = new Outcome();

    private RouteTable(Program program, Inputs inputs, List<CompiledRule> rules, List<String> notes) {
        this.program = program;
        this.rules = rules;
        this.notes = notes;
        dispatch = new Dispatch(rules.stream().map(CompiledRule::match).toList());
        frame = new Frame(program);
        headers = inputs.headers();
        matched = new long[rules.size()];
        rateLimited = new long[rules.size()];
    }

    // ---- compilation ----

    /**
     * Compiles the operators' rules.
     *
     * @param workloadIndex the workloads of the settings by name; null: workload names cannot be checked
     * @param workloads the workloads by index
     * @param directorsInZone how many directors share each rate limit
     * @param maxHops the most hops that the settings allow
     * @param previous the table in force, whose rate limiters keep their state where rule name and key are the same;
     *     null: none
     * @param faults receives every fault found
     * @return null where there are faults
     */
    public static RouteTable compile(RouteRules rules, Map<String, Integer> workloadIndex, Workload[] workloads,
                                     int directorsInZone, int maxHops, RouteTable previous, List<String> faults) {
        return new TableCompiler(rules, workloadIndex, workloads, maxHops, faults).compile(directorsInZone, previous);
    }

    /** Compiles one table; collects all faults instead of stopping at the first. */
    private static final class TableCompiler {
        private final RouteRules source;
        private final Map<String, Integer> workloadIndex;
        private final Workload[] workloads;
        private final int maxHops;
        private final List<String> faults;
        private final List<String> notes = new ArrayList<>();
        private final Inputs inputs = RequestInputs.inputs();
        private Program program;

        TableCompiler(RouteRules source, Map<String, Integer> workloadIndex, Workload[] workloads, int maxHops,
                      List<String> faults) {
            this.source = source;
            this.workloadIndex = workloadIndex;
            this.workloads = workloads;
            this.maxHops = maxHops;
            this.faults = faults;
        }

        RouteTable compile(int directorsInZone, RouteTable previous) {
            source.inputs().forEach(this::declareInput);
            program = new Program(inputs);
            source.definitions().forEach(this::define);
            List<CompiledRule> rules = new ArrayList<>();
            Set<String> ruleNames = new HashSet<>();
            for (RouteRules.Rule rule : source.rules()) {
                String path = "routes.rules[" + source.rules().indexOf(rule) + "]";
                if (!ruleNames.add(rule.name())) faults.add(path + ".name = \"" + rule.name() + "\" is used twice");
                rules.add(compileRule(path, rule, directorsInZone, previous));
            }
            if (program.worstCaseSteps() > source.requestSteps()) {
                faults.add("routes: one request could cost " + program.worstCaseSteps() + " steps, request_steps is "
                    + source.requestSteps());
            }
            return faults.isEmpty() ? new RouteTable(program, inputs, List.copyOf(rules), notes) : null;
        }

        private void declareInput(String name, RouteRules.InputDeclaration declaration) {
            Inputs.Overflow overflow = declaration.rejectOversized() ? Inputs.Overflow.REJECT
                : Inputs.Overflow.TRUNCATE;
            int maxLength = declaration.maxLength();
            if (name.startsWith("header:")) {
                inputs.header(name.substring("header:".length()), maxLength, overflow, declaration.sameOnRetry());
            } else if (name.equals("target")) {
                inputs.add(name, Type.bytes(maxLength), RequestInputs.TARGET, overflow, true);
            } else {
                faults.add("routes.reads." + name + " cannot be declared; only 'target' and 'header:NAME' can");
            }
        }

        private void define(String name, String text) {
            try {
                if (!name.matches("[a-z_][a-z0-9_]{0,39}")) {
                    faults.add("routes.names." + name
                        + " is not a valid name: at most 40 of a-z, 0-9 and _, not beginning with a digit");
                } else {
                    program.define(name, text);
                }
            } catch (ExpressionException e) {
                faults.add("routes.names." + name + ": " + e.describe());
            }
        }

        private CompiledRule compileRule(String path, RouteRules.Rule rule, int directorsInZone, RouteTable previous) {
            RouteRules.RateLimit limit = rule.limit();
            Program.Expression match = compileCondition(path + ".match", rule.match());
            Program.Expression key = compileKey(path + ".key", rule.key());
            Program.Expression limitKey = limit == null ? null : compileKey(path + ".limit.key", limit.key());
            if (key != null && key.retryVariantInput() != null) {
                faults.add(path + ".key reads " + key.retryVariantInput()
                    + ", which may differ between a lookup and its retry; declare a header that stays the same with "
                    + "same_on_retry: true");
            }
            if (rule.hops() >= maxHops) {
                faults.add(path + ".hops = " + rule.hops() + " is no narrowing; the settings allow " + (maxHops - 1)
                    + " further hops");
            }
            int workload = replacementWorkload(path, rule, match);
            RateLimiter limiter = limit == null ? null : rateLimiter(rule, previous, directorsInZone);
            return new CompiledRule(rule, match, key, limitKey, limiter, workload);
        }

        private Program.Expression compileCondition(String path, String text) {
            return compileExpression(path, text, true);
        }

        private Program.Expression compileKey(String path, String text) {
            return compileExpression(path, text, false);
        }

        private Program.Expression compileExpression(String path, String text, boolean isCondition) {
            if (text == null) return null;
            try {
                Program.Expression expression = program.compile(text, source.expressionSteps());
                Type type = expression.type();
                boolean isKey = !type.optional() && (type.kind() == Type.Kind.BYTES || type.kind() == Type.Kind.INT);
                if (!(isCondition ? type.equals(Type.BOOL) : isKey)) {
                    faults.add(path + ": " + (isCondition ? "is to be a truth" : "is to be bytes or an integer")
                        + ", this is " + type + (type.optional() ? "; write x ?? '' for when it is absent" : ""));
                    return null;
                }
                if (type.maxLength() == Type.UNBOUNDED) {
                    faults.add(path
                        + ": has no bound, its cost would grow with what a client sends; write first(x, 64)");
                    return null;
                }
                for (String note : expression.notes()) notes.add(path + ": " + note);
                return expression;
            } catch (ExpressionException e) {
                faults.add(path + ": " + e.describe());
                return null;
            }
        }

        /**
         * The index of the workload that the rule sets, or -1. Each workload that the match admits may only be replaced
         * by one that is at least as strict: a write must not run more often (rule 2 of the operators), and a client
         * must not get an older copy than its own workload allows.
         */
        private int replacementWorkload(String path, RouteRules.Rule rule, Program.Expression match) {
            if (rule.workload() == null || workloadIndex == null) return -1;
            Integer replacement = workloadIndex.get(rule.workload());
            if (replacement == null) {
                faults.add(path + ".workload = \"" + rule.workload() + "\" is not in the settings: "
                    + workloadIndex.keySet());
                return -1;
            }
            List<String> admitted = match == null ? null : Dispatch.exactValues(match, "workload");
            for (Map.Entry<String, Integer> sent : workloadIndex.entrySet()) {
                if (admitted != null && !admitted.contains(sent.getKey())) continue;
                Workload from = workloads[sent.getValue()];
                Workload to = workloads[replacement];
                String relaxed = relaxation(from, to);
                if (relaxed == null || from == to) continue;
                faults.add(path + ".workload = \"" + rule.workload() + "\" " + relaxed + " than \"" + sent.getKey()
                    + "\", which the match admits; restrict the match, for example by workload == '" + rule.workload()
                    + "'");
            }
            return replacement;
        }

        /** In what {@code to} is less strict than {@code from}; null where it is at least as strict. */
        private static String relaxation(Workload from, Workload to) {
            if (to.effect().compareTo(from.effect()) < 0) return "may run again";
            boolean bothDeduplicated = from.effect() == Workload.Effect.DEDUPLICATED
                && to.effect() == Workload.Effect.DEDUPLICATED;
            if (bothDeduplicated && (to.deduplicationScope().compareTo(from.deduplicationScope()) < 0
                || to.deduplicationWindowMs() > from.deduplicationWindowMs())) {
                return "is deduplicated by more nodes or for longer";
            }
            double freshMs = freshMs(to);
            boolean older = freshMs > freshMs(from) || freshMs + to.staleMs() > freshMs(from) + from.staleMs();
            return older ? "takes older copies" : null;
        }

        /** How long copies are fresh; the setting 0 means until they are purged. */
        private static double freshMs(Workload workload) {
            return workload.freshMs() == 0 ? Double.POSITIVE_INFINITY : workload.freshMs();
        }

        private static RateLimiter rateLimiter(RouteRules.Rule rule, RouteTable previous, int directorsInZone) {
            RouteRules.RateLimit limit = rule.limit();
            double ratePerSecond = limit.ratePerSecond() / directorsInZone;
            double burst = Math.max(1, limit.burst() / directorsInZone);
            if (previous != null) {
                for (CompiledRule old : previous.rules) {
                    boolean same = old.limiter != null && old.rule.name().equals(rule.name())
                        && old.rule.limit().key().equals(limit.key())
                        && old.rule.limit().maxKeys() == limit.maxKeys();
                    if (same) return old.limiter.withRates(ratePerSecond, burst);
                }
            }
            return new RateLimiter(ratePerSecond, burst, limit.maxKeys());
        }
    }

    /**
     * Scales this director's share of every rate limit: by more than 1 where other directors take no part, by less
     * while this one may not take its full share yet.
     */
    public void scaleLimits(double factor) {
        for (CompiledRule rule : rules) {
            if (rule.limiter != null) rule.limiter.setShare(factor);
        }
    }

    // ---- routing ----

    /**
     * Routes a lookup.
     *
     * @param workload the workload as the client sent it
     * @param maxHops the most hops that the settings allow
     * @return valid until the next call
     */
    public Outcome route(Frame.Request request, int workload, int maxHops, double now) {
        frame.begin(request, now);
        try {
            int rule = dispatch.first(frame);
            outcome.rule = rule;
            outcome.workload = workload;
            outcome.status = 0;
            outcome.maxHops = maxHops;
            outcome.hasPlacementKey = false;
            outcome.importanceShare = 1;
            outcome.retryAfterMs = 0;
            outcome.reason = null;
            if (rule >= 0) apply(rule, now);
            else unmatched++;
            if (frame.overflowedInput() != null) {
                oversizedInputs++;
                outcome.status = STATUS_HEADER_FIELDS_TOO_LARGE;
                outcome.reason = frame.overflowedInput();
            }
            return outcome;
        } finally {
            frame.end();
        }
    }

    private void apply(int index, double now) {
        CompiledRule rule = rules.get(index);
        matched[index]++;
        if (rule.workload >= 0) outcome.workload = rule.workload;
        outcome.importanceShare = rule.rule.importance();
        if (rule.rule.hops() >= 0) outcome.maxHops = Math.min(outcome.maxHops, 1 + rule.rule.hops());
        if (rule.key != null) {
            outcome.hasPlacementKey = true;
            outcome.placementKey = rule.key.hash(frame);
        }
        if (rule.rule.status() != 0) {
            outcome.status = rule.rule.status();
            outcome.reason = "rule";
        } else if (rule.limiter != null && frame.overflowedInput() == null) {
            double retryAfterMs = rule.limiter.acquire(rule.limitKey.hash(frame), now);
            if (retryAfterMs == 0) return;
            rateLimited[index]++;
            outcome.status = STATUS_TOO_MANY_REQUESTS;
            outcome.reason = "limit";
            outcome.retryAfterMs = retryAfterMs;
        }
    }

    // ---- inspection ----

    /** The lower-case names of the headers that the rules read, by input number from {@link Inputs#FIRST_HEADER} on. */
    public String[] headers() {
        return headers;
    }

    /** The number of rules. */
    public int size() {
        return rules.size();
    }

    /** The name of the rule with this index, "none" for -1. */
    public String name(int rule) {
        return rule < 0 ? "none" : rules.get(rule).rule.name();
    }

    /** The parts of the rules that can never have an effect. */
    public List<String> notes() {
        return notes;
    }

    /** The worst-case cost of a request, in steps. */
    public long worstCaseSteps() {
        return program.worstCaseSteps();
    }

    /** The worst-case cost of each rule's match, in steps, by rule name. */
    public Map<String, Long> costs() {
        Map<String, Long> costs = new LinkedHashMap<>();
        for (CompiledRule rule : rules) costs.put(rule.rule.name(), rule.match.worstCaseSteps());
        return costs;
    }

    /** The steps that the last lookup took. */
    public long steps() {
        return frame.steps();
    }

    /** Each part of the match of the rule that was applied to the last lookup, with its value and cost. */
    public List<String> explain(Frame.Request request, int rule, double now) {
        frame.begin(request, now);
        CompiledRule applied = rules.get(rule);
        List<String> lines = new ArrayList<>(Program.explain(applied.match, frame));
        if (applied.key != null) lines.add("key " + applied.key.describe(frame));
        if (applied.limitKey != null) lines.add("limit by " + applied.limitKey.describe(frame));
        return lines;
    }

    /** The part of the line of counters that shows matched and rate-limited lookups by rule. */
    public String line() {
        StringBuilder line = new StringBuilder("; routes: none ").append(unmatched);
        for (int i = 0; i < matched.length; i++) {
            if (matched[i] == 0) continue;
            line.append(", ").append(name(i)).append(' ').append(matched[i]);
            if (rateLimited[i] > 0) line.append(" (held back ").append(rateLimited[i]).append(')');
        }
        return line.append(", too long ").append(oversizedInputs).toString();
    }
}
