package io.pollenreach.bench.experiment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

/**
 * Compares the policies over the workloads in virtual time and prints the measures. Not safe for use by many threads.
 */
@Command(name = "experiment", description = "Compares routing and placement policies in virtual time")
public final class ExperimentCommand implements Runnable {
    private static final String VERSION = "0.1.0";

    @Option(name = "--seed", description = "First seed")
    private long seed = 1;

    @Option(name = "--seeds", description = "How many seeds, counted up from the first")
    private int seeds = 5;

    @Option(name = "--workload", description = "retorno or cascade; both when absent")
    private List<String> workloads = new ArrayList<>();

    @Option(name = "--policy", description = "A policy by name; all when absent")
    private List<String> policies = new ArrayList<>();

    @Option(name = "--demand", description = "REQUESTS or JOBS; both when absent")
    private List<String> demands = new ArrayList<>();

    @Option(name = "--html", description = "A file for the report with plots")
    private String html = "";

    @Override
    public void run() {
        List<Long> list = new ArrayList<>();
        for (int i = 0; i < seeds; i++) {
            list.add(seed + i);
        }
        List<PolicyVersion> versions = new ArrayList<>();
        policies.forEach(p -> versions.add(PolicyVersion.valueOf(p)));
        List<Experiment.Demand> kinds = new ArrayList<>();
        demands.forEach(d -> kinds.add(Experiment.Demand.valueOf(d)));
        Experiment experiment = new Experiment(
                versions.isEmpty() ? List.of(PolicyVersion.values()) : versions,
                kinds.isEmpty() ? List.of(Experiment.Demand.values()) : kinds,
                list);
        List<Experiment.Row> rows = new ArrayList<>();
        for (String w : workloads.isEmpty() ? List.of("retorno", "cascade") : workloads) {
            rows.addAll(experiment.run(w));
        }
        String title = "pollenreach " + VERSION + ", seeds " + list + ", mean over the seeds [lowest-highest]";
        System.out.println(title);
        TableReport.print(rows, System.out);
        writeHtml(title, rows);
    }

    private void writeHtml(String title, List<Experiment.Row> rows) {
        if (html.isEmpty()) {
            return;
        }
        System.setProperty("java.awt.headless", "true");
        try {
            HtmlReport.write(title, rows, Path.of(html));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
