package mothcross.experiment;

import com.google.gson.GsonBuilder;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.VectorGraphicsEncoder;

/**
 * What rows come to: a table as CSV and JSON, paired comparisons, charts as SVG and PNG, and one page. Owns these
 * files; every
 * figure in them is computed from the rows, and bears the plan's hash and the commit.
 */
public final class Report {
    private final ExperimentPlan plan;
    private final ResultRows rows;
    private final String plans, commit;

    public Report(ExperimentPlan plan, ResultRows rows, String planHash, String commit) {
        this.plan = plan;
        this.rows = rows;
        this.plans = planHash;
        this.commit = commit;
    }

    private static double[] values(Map<Integer, Double> m) {
        return m.values().stream().mapToDouble(x -> x).toArray();
    }

    private Sample sample(ExperimentPlan.Cell c, String metric) {
        return Sample.of(values(rows.figures(c.name(), metric)));
    }

    private static String text(double d) {
        return Double.isNaN(d) ? "" : String.format(Locale.ROOT, "%.4f", d);
    }

    /** A line a cell: for each figure its mean and interval, and how many seeds. */
    public String csv() {
        StringBuilder s = new StringBuilder("cell,seeds");
        for (String m : plan.metrics) s.append(String.format(",%s,%s_low,%s_high", m, m, m));
        for (ExperimentPlan.Cell c : plan.cells) {
            s.append('\n').append(c.name()).append(',').append(rows.count(c.name()));
            for (String m : plan.metrics) {
                Sample x = sample(c, m);
                for (double d : new double[] {x.mean(), x.low(), x.high()}) s.append(',').append(text(d));
            }
        }
        return s.append('\n').toString();
    }

    public String json() {
        JsonObject all = new JsonObject();
        all.addProperty("plan", plans);
        all.addProperty("commit", commit);
        JsonObject cells = new JsonObject();
        for (ExperimentPlan.Cell c : plan.cells) {
            JsonObject o = new JsonObject();
            o.addProperty("seeds", rows.count(c.name()));
            for (String m : plan.metrics) {
                Sample x = sample(c, m);
                JsonObject f = new JsonObject();
                if (x.n() > 0) {
                    f.addProperty("mean", x.mean());
                    f.addProperty("low", x.low());
                    f.addProperty("high", x.high());
                }
                o.add(m, f);
            }
            cells.add(c.name(), o);
        }
        all.add("cells", cells);
        return new GsonBuilder().setPrettyPrinting().create().toJson(all) + "\n";
    }

    /** Two policies over the same seeds, in every cell that has both: the difference, its interval, its size. */
    public List<String> compare(String one, String other) {
        List<String> lines = new ArrayList<>();
        lines.add(String.format("| cell | figure | %s less %s | 95 %% interval | effect | seeds | |", one, other));
        lines.add("| --- | --- | --- | --- | --- | --- | --- |");
        for (ExperimentPlan.Cell c : plan.cells) {
            if (!c.policy().equals(one)) continue;
            String twin = c.name().replace("policy=" + one, "policy=" + other);
            for (String m : plan.metrics) {
                Map<Integer, Double> a = rows.figures(c.name(), m), b = rows.figures(twin, m);
                double[] d = a.keySet().stream().filter(b::containsKey).mapToDouble(s -> a.get(s) - b.get(s)).toArray();
                if (d.length == 0) continue;
                Sample x = Sample.of(d);
                String word = x.few() ? "too few seeds to tell" : x.low() > 0 ? one + " is higher" : x.high() < 0
                    ? other
                    + " is higher" : "no difference shown";
                lines.add(String.format(Locale.ROOT, "| %s | %s | %+.4f | %+.4f to %+.4f | %.2f | %d | %s |",
                    c.name().replace(
                    " policy=" + one, ""), m, x.mean(), x.low(), x.high(), d.length < 2 ? 0 : Sample.effect(d), x.n(),
                        word));
            }
        }
        return lines;
    }

    /** One chart a figure, a series a policy; then a page with all of them and the table. */
    public void write(Path dir) throws IOException {
        Files.createDirectories(dir);
        Files.writeString(dir.resolve("table.csv"), csv());
        Files.writeString(dir.resolve("table.json"), json());
        StringBuilder page = new StringBuilder("<!doctype html><meta charset=utf-8><title>").append(plans)
            .append("</title><style>body{font:14px sans-serif;margin:2em}td,th{padding:2px 8px;text-align:right}"
                + "td:first-child{text-align:left}</style><p>Figures of the emulator, plan ").append(plans)
            .append(", commit ")
            .append(commit).append("; intervals are 95 % by bootstrap over seeds.</p>\n");
        for (String m : plan.metrics) {
            CategoryChart chart = chart(m);
            VectorGraphicsEncoder.saveVectorGraphic(chart, dir.resolve(m).toString(),
                VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
            BitmapEncoder.saveBitmap(chart, dir.resolve(m).toString(), BitmapEncoder.BitmapFormat.PNG);
            page.append(String.format("<h2>%s</h2><img src=\"%s.svg\" alt=\"%s\">%n", m, m, m));
        }
        page.append("<table>");
        for (String line : csv().split("\n")) {
            page.append("<tr>");
            for (String cell : line.split(",", -1)) page.append("<td>").append(cell);
            page.append("\n");
        }
        Files.writeString(dir.resolve("index.html"), page.append("</table>\n").toString());
    }

    private CategoryChart chart(String metric) {
        Set<String> where = new LinkedHashSet<>(), policies = new LinkedHashSet<>();
        for (ExperimentPlan.Cell c : plan.cells) {
            where.add(c.name().replace(" policy=" + c.policy(), "").replace("policy=" + c.policy(), "all"));
            policies.add(c.policy());
        }
        CategoryChart chart = new CategoryChartBuilder().width(Math.max(700,
            60 * where.size())).height(420).title(metric)
            .yAxisTitle(metric).build();
        chart.getStyler().setXAxisLabelRotation(60).setErrorBarsColorSeriesColor(true);
        for (String p : policies) {
            List<Double> mean = new ArrayList<>(), error = new ArrayList<>();
            for (String w : where) {
                Sample x = Sample.of(values(rows.figures(w.equals("all") ? "policy=" + p : w + " policy=" + p,
                    metric)));
                mean.add(x.n() == 0 ? 0 : x.mean());
                error.add(x.n() == 0 ? 0 : x.halfWidth());
            }
            chart.addSeries(p, new ArrayList<>(where), mean, error);
        }
        return chart;
    }
}
