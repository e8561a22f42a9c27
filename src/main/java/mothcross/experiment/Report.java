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
 * Reports on result rows: a table as CSV and JSON, paired comparisons, charts as SVG and PNG, and an HTML page. Every
 * figure is computed from the rows and carries the plan hash and the commit.
 */
public final class Report {
    private final ExperimentPlan plan;
    private final ResultRows rows;
    private final String planHash;
    private final String commit;

    public Report(ExperimentPlan plan, ResultRows rows, String planHash, String commit) {
        this.plan = plan;
        this.rows = rows;
        this.planHash = planHash;
        this.commit = commit;
    }

    private static double[] values(Map<Integer, Double> metric) {
        return metric.values().stream().mapToDouble(x -> x).toArray();
    }

    private Sample sample(ExperimentPlan.Cell cell, String metric) {
        return Sample.of(values(rows.figures(cell.name(), metric)));
    }

    private static String formatted(double value) {
        return Double.isNaN(value) ? "" : String.format(Locale.ROOT, "%.4f", value);
    }

    /** One line per cell: the number of seeds, and the mean and interval of each metric. */
    public String csv() {
        StringBuilder text = new StringBuilder("cell,seeds");
        for (String metric : plan.metrics) text.append(String.format(",%s,%s_low,%s_high", metric, metric, metric));
        for (ExperimentPlan.Cell cell : plan.cells) {
            text.append('\n').append(cell.name()).append(',').append(rows.count(cell.name()));
            for (String metric : plan.metrics) {
                Sample sample = sample(cell, metric);
                for (double value : new double[] {sample.mean(), sample.low(), sample.high()}) {
                    text.append(',').append(formatted(value));
                }
            }
        }
        return text.append('\n').toString();
    }

    public String json() {
        JsonObject report = new JsonObject();
        report.addProperty("plan", planHash);
        report.addProperty("commit", commit);
        JsonObject cells = new JsonObject();
        for (ExperimentPlan.Cell cell : plan.cells) {
            JsonObject metrics = new JsonObject();
            metrics.addProperty("seeds", rows.count(cell.name()));
            for (String metric : plan.metrics) {
                Sample sample = sample(cell, metric);
                JsonObject statistics = new JsonObject();
                if (sample.count() > 0) {
                    statistics.addProperty("mean", sample.mean());
                    statistics.addProperty("low", sample.low());
                    statistics.addProperty("high", sample.high());
                }
                metrics.add(metric, statistics);
            }
            cells.add(cell.name(), metrics);
        }
        report.add("cells", cells);
        return new GsonBuilder().setPrettyPrinting().create().toJson(report) + "\n";
    }

    /**
     * Compares two policies over the same seeds in every cell that has both: the difference, its interval and its
     * effect size.
     */
    public List<String> compare(String one, String other) {
        List<String> lines = new ArrayList<>();
        lines.add(String.format("| cell | figure | %s less %s | 95 %% interval | effect | seeds | |", one, other));
        lines.add("| --- | --- | --- | --- | --- | --- | --- |");
        for (ExperimentPlan.Cell cell : plan.cells) {
            if (!cell.policy().equals(one)) continue;
            String otherCell = cell.name().replace("policy=" + one, "policy=" + other);
            for (String metric : plan.metrics) {
                Map<Integer, Double> oneBySeed = rows.figures(cell.name(), metric);
                Map<Integer, Double> otherBySeed = rows.figures(otherCell, metric);
                double[] differences = oneBySeed.keySet().stream().filter(otherBySeed::containsKey).mapToDouble(s ->
                    oneBySeed.get(s) - otherBySeed.get(s)).toArray();
                if (differences.length == 0) continue;
                Sample sample = Sample.of(differences);
                String verdict = sample.isTooSmall() ? "too few seeds to tell"
                    : sample.low() > 0 ? one + " is higher"
                    : sample.high() < 0 ? other + " is higher" : "no difference shown";
                lines.add(String.format(Locale.ROOT, "| %s | %s | %+.4f | %+.4f to %+.4f | %.2f | %d | %s |",
                    cell.name().replace(" policy=" + one, ""), metric, sample.mean(), sample.low(), sample.high(),
                    differences.length < 2 ? 0 : Sample.effectSize(differences), sample.count(), verdict));
            }
        }
        return lines;
    }

    /** Writes one chart per metric with a series per policy, and a page with all charts and the table. */
    public void write(Path dir) throws IOException {
        Files.createDirectories(dir);
        Files.writeString(dir.resolve("table.csv"), csv());
        Files.writeString(dir.resolve("table.json"), json());
        StringBuilder page = new StringBuilder("<!doctype html><meta charset=utf-8><title>").append(planHash)
            .append("</title><style>body{font:14px sans-serif;margin:2em}td,th{padding:2px 8px;text-align:right}"
                + "td:first-child{text-align:left}</style><p>Figures of the emulator, plan ").append(planHash)
            .append(", commit ")
            .append(commit).append("; intervals are 95 % by bootstrap over seeds.</p>\n");
        for (String metric : plan.metrics) {
            CategoryChart chart = chart(metric);
            VectorGraphicsEncoder.saveVectorGraphic(chart, dir.resolve(metric).toString(),
                VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
            BitmapEncoder.saveBitmap(chart, dir.resolve(metric).toString(), BitmapEncoder.BitmapFormat.PNG);
            page.append(String.format("<h2>%s</h2><img src=\"%s.svg\" alt=\"%s\">%n", metric, metric, metric));
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
        Set<String> settings = new LinkedHashSet<>();
        Set<String> policies = new LinkedHashSet<>();
        for (ExperimentPlan.Cell cell : plan.cells) {
            settings.add(cell.name().replace(" policy=" + cell.policy(), "").replace("policy=" + cell.policy(), "all"));
            policies.add(cell.policy());
        }
        CategoryChart chart = new CategoryChartBuilder().width(Math.max(700,
            60 * settings.size())).height(420).title(metric)
            .yAxisTitle(metric).build();
        chart.getStyler().setXAxisLabelRotation(60).setErrorBarsColorSeriesColor(true);
        for (String policy : policies) {
            List<Double> means = new ArrayList<>();
            List<Double> errors = new ArrayList<>();
            for (String setting : settings) {
                Sample sample = Sample.of(values(rows.figures(setting.equals("all") ? "policy=" + policy : setting
                    + " policy=" + policy, metric)));
                means.add(sample.count() == 0 ? 0 : sample.mean());
                errors.add(sample.count() == 0 ? 0 : sample.halfWidth());
            }
            chart.addSeries(policy, new ArrayList<>(settings), means, errors);
        }
        return chart;
    }
}
