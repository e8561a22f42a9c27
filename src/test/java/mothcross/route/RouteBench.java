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
 * Time and bytes to find the rule of a request: by the index, in plain order, and by walking trees; volumes in ranges,
 * offices by header, prefixes of objects. {@code make bench} runs it with JMH's allocation profiler.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class RouteBench {
    private static final int REQUESTS = 256;

    @Param({"1", "10", "100", "1000"})
    public int rules;

    private Dispatch dispatch;
    private Frame frame;
    private final Frame.Request[] asked = new Frame.Request[REQUESTS];
    private final List<String> texts = new ArrayList<>();
    private final List<Map<String, Object>> values = new ArrayList<>();
    private ReferenceExpression[] trees;
    private int next;

    @Setup(Level.Trial)
    public void prepare() throws ExpressionException {
        Inputs in = RequestInputs.inputs().header("X-Office", 32, Inputs.Overflow.TRUNCATE, true);
        Program p = new Program(in);
        p.define("volume", "hex(object) ?? -1");
        List<Program.Expression> all = new ArrayList<>();
        for (int i = 0; i < rules; i++) {
            String text = switch (i % 4) {
                case 0 -> "workload == 'pages' && volume in " + 100 * i + ".." + (100 * i + 99);
                case 1 -> "(header('X-Office') ?? '') == 'office-" + i + "'";
                case 2 -> "workload in ['pages', 'cards'] && starts(object, '" + Integer.toHexString(4096 + i) + "')";
                default -> "volume == " + 100 * i + " && (header('X-Office') ?? '') != ''";
            };
            texts.add(text);
            all.add(p.compile(text, 100_000));
        }
        dispatch = new Dispatch(all);
        frame = new Frame(p);
        for (int i = 0; i < REQUESTS; i++) {
            byte[] workload = bytes(i % 2 == 0 ? "pages" : "cards"),
                object = bytes(Integer.toHexString(i * 397 % (100 * rules)));
            byte[] office = i % 3 == 0 ? null : bytes("office-" + i * 7 % rules);
            asked[i] = (number, f, slot) -> {
                byte[] b = number == RequestInputs.WORKLOAD ? workload : number == RequestInputs.OBJECT ? object
                    : office;
                if (b != null) f.put(slot, b, 0, b.length);
            };
            Map<String, Object> v = new HashMap<>(Map.of("workload", workload, "object", object));
            if (office != null) v.put("header:x-office", office);
            values.add(v);
        }
        trees = new ReferenceExpression[rules];
        for (int i = 0; i < rules; i++) {
            trees[i] = new ReferenceExpression(texts.get(i).replace("volume", "(hex(object) ?? -1)"));
        }
    }

    private static byte[] bytes(String s) {
        return s.getBytes(StandardCharsets.ISO_8859_1);
    }

    private Frame begin() {
        frame.begin(asked[next++ & REQUESTS - 1], 0);
        return frame;
    }

    @Benchmark
    public int byIndex() {
        return dispatch.first(begin());
    }

    @Benchmark
    public int inPlainOrder() {
        return dispatch.firstByLinearScan(begin());
    }

    @Benchmark
    public int byWalkingTrees() {
        Map<String, Object> v = values.get(next++ & REQUESTS - 1);
        for (int i = 0; i < trees.length; i++) if (trees[i].evaluateBoolean(v)) return i;
        return -1;
    }
}
