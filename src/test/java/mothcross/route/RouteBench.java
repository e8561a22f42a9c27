package mothcross.route;

import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.TimeUnit;
import mothcross.expr.Dispatch;
import mothcross.expr.ExpressionException;
import mothcross.expr.Frame;
import mothcross.expr.Inputs;
import mothcross.expr.Program;
import mothcross.expr.ReferenceExpression;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Time and allocation per request to find the matching rule: by the dispatch index, by evaluating the rules in order,
 * and by walking syntax trees. The rules test ranges of volumes, offices by header, and prefixes of objects.
 * {@code make bench} runs it with JMH's allocation profiler.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class RouteBench {
    private static final int REQUEST_COUNT = 256;
    private static final long MAX_EXPRESSION_STEPS = 100_000;

    @Param({"1", "10", "100", "1000"})
    public int rules;

    private Dispatch dispatch;
    private Frame frame;
    private final Frame.Request[] requests = new Frame.Request[REQUEST_COUNT];
    private final List<Map<String, Object>> requestValues = new ArrayList<>();
    private ReferenceExpression[] trees;
    private int nextRequest;

    /** Compiles the rules and prepares the requests. */
    @Setup(Level.Trial)
    public void prepare() throws ExpressionException {
        Inputs inputs = RequestInputs.inputs().header("X-Office", 32, Inputs.Overflow.TRUNCATE, true);
        Program program = new Program(inputs);
        program.define("volume", "hex(object) ?? -1");
        List<Program.Expression> matches = new ArrayList<>();
        trees = new ReferenceExpression[rules];
        for (int i = 0; i < rules; i++) {
            String text = matchText(i);
            matches.add(program.compile(text, MAX_EXPRESSION_STEPS));
            trees[i] = new ReferenceExpression(text.replace("volume", "(hex(object) ?? -1)"));
        }
        dispatch = new Dispatch(matches);
        frame = new Frame(program);
        for (int i = 0; i < REQUEST_COUNT; i++) prepareRequest(i);
    }

    private static String matchText(int rule) {
        return switch (rule % 4) {
            case 0 -> "workload == 'pages' && volume in " + 100 * rule + ".." + (100 * rule + 99);
            case 1 -> "(header('X-Office') ?? '') == 'office-" + rule + "'";
            case 2 -> "workload in ['pages', 'cards'] && starts(object, '" + Integer.toHexString(4096 + rule) + "')";
            default -> "volume == " + 100 * rule + " && (header('X-Office') ?? '') != ''";
        };
    }

    private void prepareRequest(int index) {
        byte[] workload = latin1(index % 2 == 0 ? "pages" : "cards");
        byte[] object = latin1(Integer.toHexString(index * 397 % (100 * rules)));
        byte[] office = index % 3 == 0 ? null : latin1("office-" + index * 7 % rules);
        requests[index] = (number, target, slot) -> {
            byte[] value = number == RequestInputs.WORKLOAD ? workload : number == RequestInputs.OBJECT ? object
                : office;
            if (value != null) target.put(slot, value, 0, value.length);
        };
        Map<String, Object> values = new HashMap<>(Map.of("workload", workload, "object", object));
        if (office != null) values.put("header:x-office", office);
        requestValues.add(values);
    }

    private static byte[] latin1(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private Frame beginRequest() {
        frame.begin(requests[nextRequest++ & REQUEST_COUNT - 1], 0);
        return frame;
    }

    /** The dispatch index, as the router uses it. */
    @Benchmark
    public int byIndex() {
        return dispatch.first(beginRequest());
    }

    /** The compiled rules one after another. */
    @Benchmark
    public int inPlainOrder() {
        return dispatch.firstByLinearScan(beginRequest());
    }

    /** The reference interpreter on syntax trees. */
    @Benchmark
    public int byWalkingTrees() {
        Map<String, Object> values = requestValues.get(nextRequest++ & REQUEST_COUNT - 1);
        for (int i = 0; i < trees.length; i++) {
            if (trees[i].evaluateBoolean(values)) return i;
        }
        return -1;
    }
}
