package io.pollenreach.bench.experiment;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.VectorGraphicsEncoder;

/**
 * Writes rows as one page with the table and a plot for each deployment, demand and measure.
 *
 * <p>Each bar is the mean over the seeds, its line as long as from the lowest to the highest. Stateless.
 */
final class HtmlReport {
    private static final int WIDTH = 640;
    private static final int HEIGHT = 320;

    private HtmlReport() {}

    static void write(String title, List<Experiment.Row> rows, Path file) throws IOException {
        StringBuilder page = new StringBuilder("<!DOCTYPE html><html><head><meta charset=\"utf-8\"><title>");
        page.append(title).append("</title></head><body><h1>").append(title).append("</h1><pre>");
        page.append(table(rows)).append("</pre>");
        Set<String> workloads = new LinkedHashSet<>();
        rows.forEach(r -> workloads.add(r.workload()));
        for (String w : workloads) {
            page.append("<h2>").append(w).append("</h2>");
            for (Experiment.Demand d : Experiment.Demand.values()) {
                for (Measure m : Measure.values()) {
                    if (d.measures(m)) {
                        page.append(plot(w, d, m, rows));
                    }
                }
            }
        }
        Files.writeString(file, page.append("</body></html>"), StandardCharsets.UTF_8);
    }

    private static String table(List<Experiment.Row> rows) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        TableReport.print(rows, new PrintStream(bytes, true, StandardCharsets.UTF_8));
        return bytes.toString(StandardCharsets.UTF_8);
    }

    private static String plot(String workload, Experiment.Demand demand, Measure m, List<Experiment.Row> rows)
            throws IOException {
        CategoryChart chart = new CategoryChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(demand + ": " + m.title())
                .yAxisTitle(m.unit())
                .build();
        Map<PolicyVersion, List<Experiment.Row>> byPolicy = new LinkedHashMap<>();
        for (Experiment.Row r : rows) {
            if (r.workload().equals(workload) && r.demand() == demand) {
                byPolicy.computeIfAbsent(r.version(), v -> new ArrayList<>()).add(r);
            }
        }
        byPolicy.forEach((v, list) -> addSeries(chart, v, list, m));
        ByteArrayOutputStream svg = new ByteArrayOutputStream();
        VectorGraphicsEncoder.saveVectorGraphic(chart, svg, VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
        String text = svg.toString(StandardCharsets.UTF_8);
        return text.substring(Math.max(0, text.indexOf("<svg")));
    }

    private static void addSeries(CategoryChart chart, PolicyVersion v, List<Experiment.Row> rows, Measure m) {
        List<String> scenarios = new ArrayList<>();
        List<Double> means = new ArrayList<>();
        List<Double> errors = new ArrayList<>();
        for (Experiment.Row r : rows) {
            scenarios.add(r.scenario().name());
            means.add(r.mean(m));
            errors.add((r.max(m) - r.min(m)) / 2);
        }
        chart.addSeries(v.name(), scenarios, means, errors);
    }
}
