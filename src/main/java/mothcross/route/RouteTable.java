package mothcross.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mothcross.Workload;
import mothcross.expr.Dispatch;
import mothcross.expr.ExpressionException;
import mothcross.expr.Frame;
import mothcross.expr.Inputs;
import mothcross.expr.Program;
import mothcross.expr.Type;

/**
 * The ordered rules, compiled: the first whose match holds takes a lookup, and says as what it goes on. Owns the
 * program,
 * its frame, and the limits' buckets; must never widen what the settings or the five rules allow: importance and hops
 * only fall, a workload only becomes one at least as strict, and a placement key is the same for a client's retry.
 */
public final class RouteTable {
    public static final int MAX_RULES = 2000;

    /** How a lookup goes on; used again for the next one. */
    public static final class Outcome {
        /** The rule that took it, or -1; the workload it counts as; the status it is refused with, or 0. */
        public int rule, workload, status, maxHops;
        /** Whether {@code placedBy} stands in for the object where cache and parent are ranked. */
        public boolean hasPlacementKey;
        public long placementKey;
        public double importanceShare, retryAfterMs;
        /** Why it is refused: "rule", "limit" or the input that was too long; null where it goes on. */
        public String reason;
    }

    private record Compiled(RouteRules.Rule rule, Program.Expression match, Program.Expression key,
                            Program.Expression limitKey, RateLimiter limit, int workload) { }

    private final Program program;
    private final List<Compiled> rules;
    private final Dispatch dispatch;
    private final Frame frame;
    private final String[] headers;
    private final List<String> notes;
    private final long[] taken, limited;
    private long tooLong, passed;
    private final Outcome out = new Outcome();

    private RouteTable(Program program, Inputs inputs, List<Compiled> rules, List<String> notes) {
        this.program = program;
        this.rules = rules;
        this.notes = notes;
        dispatch = new Dispatch(rules.stream().map(Compiled::match).toList());
        frame = new Frame(program);
        headers = inputs.headers();
        taken = new long[rules.size()];
        limited = new long[rules.size()];
    }

    /**
     * Compiles what the operators wrote; each fault goes to {@code faults}, and the table is null where there is one.
     * {@code workloads} null: names of workloads can't be checked. {@code before}: the table in force, whose limits
     * keep
     * their counts where rule and key are the same. {@code directorsHere} share each limit.
     */
    public static RouteTable compile(RouteRules from, Map<String, Integer> workloads, Workload[] all, int directorsHere,
                                     int mostHops, RouteTable before, List<String> faults) {
        Inputs inputs = RequestInputs.inputs();
        from.inputs().forEach((name, r) -> {
            Inputs.Overflow past = r.rejectOversized() ? Inputs.Overflow.REJECT : Inputs.Overflow.TRUNCATE;
            if (name.startsWith("header:")) inputs.header(name.substring(7), r.maxLength(), past, r.sameOnRetry());
            else if (name.equals("target")) inputs.add(name, Type.bytes(r.maxLength()), RequestInputs.TARGET, past, true);
            else faults.add("routes.reads." + name
                + " is no input that can be declared; 'target' and 'header:NAME' are");
        });
        Program p = new Program(inputs);
        List<String> notes = new ArrayList<>();
        from.definitions().forEach((name, text) -> {
            try {
                if (!name.matches("[a-z_][a-z0-9_]{0,39}")) faults.add("routes.names." + name + " is no name");
                else p.define(name, text);
            } catch (ExpressionException e) {
                faults.add("routes.names." + name + ": " + e.describe());
            }
        });
        List<Compiled> rules = new ArrayList<>();
        Map<String, Integer> seen = new HashMap<>();
        for (RouteRules.Rule r : from.rules()) {
            int n = rules.size() + (int) faults.stream().filter(f -> f.startsWith("routes.rules[")).count();
            String at = "routes.rules[" + from.rules().indexOf(r) + "]";
            if (seen.putIfAbsent(r.name(), n) != null) faults.add(at + ".name = \"" + r.name() + "\" is used twice");
            Program.Expression match = expression(p, at + ".match", r.match(), from, Type.Kind.BOOL, faults, notes);
            Program.Expression key = expression(p, at + ".key", r.key(), from, null, faults, notes);
            Program.Expression limitKey = r.limit() == null ? null
                : expression(p, at + ".limit.key", r.limit().key(), from, null, faults, notes);
            if (key != null && key.retryVariantInput() != null) {
                faults.add(at + ".key reads " + key.retryVariantInput()
                    + ", which may differ between a lookup and its retry; a header that does not is declared with "
                    + "same_on_retry: true");
            }
            if (r.hops() >= mostHops) faults.add(at + ".hops = " + r.hops() + " is no narrowing; the settings allow "
                + (mostHops - 1) + " further hops");
            int workload = workload(at, r, match, workloads, all, faults);
            RateLimiter limit = r.limit() == null ? null : limit(r, before, directorsHere);
            rules.add(new Compiled(r, match, key, limitKey, limit, workload));
        }
        if (p.worstCaseSteps() > from.requestSteps()) {
            faults.add("routes: one request could cost " + p.worstCaseSteps() + " steps, request_steps is "
                + from.requestSteps());
        }
        return faults.isEmpty() ? new RouteTable(p, inputs, List.copyOf(rules), notes) : null;
    }

    private static Program.Expression expression(Program p, String at, String text, RouteRules from, Type.Kind kind,
                                                 List<String> faults, List<String> notes) {
        if (text == null) return null;
        try {
            Program.Expression e = p.compile(text, from.expressionSteps());
            Type t = e.type();
            boolean fits = kind != null ? t.equals(Type.BOOL) : !t.optional()
                && (t.kind() == Type.Kind.BYTES || t.kind() == Type.Kind.INT);
            if (!fits) {
                faults.add(at + ": " + (kind != null ? "is to be a truth" : "is to be bytes or an integer")
                    + ", this is " + t
                    + (t.optional() ? "; write x ?? '' for when it is absent" : ""));
                return null;
            }
            if (t.maxLength() == Type.UNBOUNDED) {
                faults.add(at + ": has no bound, its cost would grow with what a client sends; write first(x, 64)");
                return null;
            }
            for (String n : e.notes()) notes.add(at + ": " + n);
            return e;
        } catch (ExpressionException e) {
            faults.add(at + ": " + e.describe());
            return null;
        }
    }

    /** Rule 2, and copies no older than the workload as sent allows: only what is at least as strict may be put in. */
    private static int workload(String at, RouteRules.Rule r, Program.Expression match, Map<String, Integer> workloads,
                                Workload[] all, List<String> faults) {
        if (r.workload() == null || workloads == null) return -1;
        Integer to = workloads.get(r.workload());
        if (to == null) {
            faults.add(at + ".workload = \"" + r.workload() + "\" is not in the settings: " + workloads.keySet());
            return -1;
        }
        List<String> only = match == null ? null : Dispatch.admitted(match, "workload");
        for (Map.Entry<String, Integer> w : workloads.entrySet()) {
            if (only != null && !only.contains(w.getKey())) continue;
            Workload a = all[w.getValue()], b = all[to];
            String wider = b.effect().compareTo(a.effect()) < 0 ? "may run again"
                : a.effect() == Workload.Effect.DEDUPLICATED && b.effect() == Workload.Effect.DEDUPLICATED
                    && (b.deduplicationScope().compareTo(a.deduplicationScope()) < 0
                    || b.deduplicationWindowMs() > a.deduplicationWindowMs())
                    ? "is remembered more widely or longer"
                : fresh(b) > fresh(a) || fresh(b) + b.staleMs() > fresh(a) + a.staleMs() ? "takes older copies" : null;
            if (wider == null || a == b) continue;
            faults.add(at + ".workload = \"" + r.workload() + "\" " + wider + " than \"" + w.getKey()
                + "\", which the match admits; let it admit others only, as in workload == '" + r.workload() + "'");
        }
        return to;
    }

    /** 0 stands for good until it is purged. */
    private static double fresh(Workload w) {
        return w.freshMs() == 0 ? Double.POSITIVE_INFINITY : w.freshMs();
    }

    private static RateLimiter limit(RouteRules.Rule r, RouteTable before, int directorsHere) {
        RouteRules.RateLimit h = r.limit();
        double perS = h.ratePerSecond() / directorsHere, atOnce = Math.max(1, h.burst() / directorsHere);
        if (before != null) {
            for (Compiled c : before.rules) {
                boolean same = c.limit != null && c.rule.name().equals(r.name()) && c.rule.limit().key().equals(h.key())
                    && c.rule.limit().maxKeys() == h.maxKeys();
                if (same) return c.limit.withRates(perS, atOnce);
            }
        }
        return new RateLimiter(perS, atOnce, h.maxKeys());
    }

    /** The limits are this director's part of them, so many times: as others take no part, or this one may not yet. */
    public void scaleLimits(double times) {
        for (Compiled c : rules) if (c.limit != null) c.limit.setShare(times);
    }

    // ---- a lookup ----

    /** What becomes of a lookup that counts as {@code workload}; the outcome holds until the next call. */
    public Outcome route(Frame.Request asked, int workload, int mostHops, double now) {
        frame.begin(asked, now);
        try {
            int i = dispatch.first(frame);
            out.rule = i;
            out.workload = workload;
            out.status = 0;
            out.maxHops = mostHops;
            out.hasPlacementKey = false;
            out.importanceShare = 1;
            out.retryAfterMs = 0;
            out.reason = null;
            if (i >= 0) take(i, now);
            else passed++;
            if (frame.overflowedInput() != null) {
                tooLong++;
                out.status = 431;
                out.reason = frame.overflowedInput();
            }
            return out;
        } finally {
            frame.end();
        }
    }

    private void take(int i, double now) {
        Compiled c = rules.get(i);
        taken[i]++;
        if (c.workload >= 0) out.workload = c.workload;
        out.importanceShare = c.rule.importance();
        if (c.rule.hops() >= 0) out.maxHops = Math.min(out.maxHops, 1 + c.rule.hops());
        if (c.key != null) {
            out.hasPlacementKey = true;
            out.placementKey = c.key.hash(frame);
        }
        if (c.rule.status() != 0) {
            out.status = c.rule.status();
            out.reason = "rule";
        } else if (c.limit != null && frame.overflowedInput() == null) {
            double wait = c.limit.acquire(c.limitKey.hash(frame), now);
            if (wait == 0) return;
            limited[i]++;
            out.status = 429;
            out.reason = "limit";
            out.retryAfterMs = wait;
        }
    }

    // ---- what is shown ----

    /** The headers that are read, lower case; the edge answers to them from {@link Inputs#FIRST_HEADER} on. */
    public String[] headers() {
        return headers;
    }

    public int size() {
        return rules.size();
    }

    public String name(int rule) {
        return rule < 0 ? "none" : rules.get(rule).rule.name();
    }

    /** What can never matter in the table. */
    public List<String> notes() {
        return notes;
    }

    /** Worst cost of a request in steps, and of each rule. */
    public long worstCaseSteps() {
        return program.worstCaseSteps();
    }

    public Map<String, Long> costs() {
        Map<String, Long> all = new LinkedHashMap<>();
        for (Compiled c : rules) all.put(c.rule.name(), c.match.worstCaseSteps());
        return all;
    }

    public long steps() {
        return frame.steps();
    }

    /** Every part of the match of the rule that took the lookup routed last, with its value and cost. */
    public List<String> explain(Frame.Request asked, int rule, double now) {
        frame.begin(asked, now);
        Compiled c = rules.get(rule);
        List<String> all = new ArrayList<>(Program.explain(c.match, frame));
        if (c.key != null) all.add("key " + c.key.describe(frame));
        if (c.limitKey != null) all.add("limit by " + c.limitKey.describe(frame));
        return all;
    }

    /** For the line of counters: rules that took lookups, and those held back. */
    public String line() {
        StringBuilder s = new StringBuilder("; routes: none ").append(passed);
        for (int i = 0; i < taken.length; i++) {
            if (taken[i] == 0) continue;
            s.append(", ").append(name(i)).append(' ').append(taken[i]);
            if (limited[i] > 0) s.append(" (held back ").append(limited[i]).append(')');
        }
        return s.append(", too long ").append(tooLong).toString();
    }
}
