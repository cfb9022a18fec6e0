package io.pollenreach.bench.experiment;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

/** Prints rows as a Markdown table: the mean over the seeds, with the lowest and highest. Immutable. */
final class TableReport {
    private TableReport() {}

    static void print(List<Experiment.Row> rows, PrintStream out) {
        for (Experiment.Demand d : Experiment.Demand.values()) {
            if (rows.stream().noneMatch(r -> r.demand() == d)) {
                continue;
            }
            out.println();
            out.println("### " + d.name().toLowerCase(Locale.ROOT));
            out.println();
            out.println(header(d));
            rows.stream().filter(r -> r.demand() == d).forEach(r -> out.println(line(r)));
        }
    }

    private static String header(Experiment.Demand d) {
        StringBuilder titles = new StringBuilder("| deployment | scenario | policy |");
        StringBuilder rule = new StringBuilder("|---|---|---|");
        for (Measure m : Measure.values()) {
            if (d.measures(m)) {
                titles.append(' ')
                        .append(m.title())
                        .append(", ")
                        .append(m.unit())
                        .append(" |");
                rule.append("---|");
            }
        }
        return titles + System.lineSeparator() + rule;
    }

    private static String line(Experiment.Row r) {
        StringBuilder s = new StringBuilder("| " + r.workload() + " | "
                + r.scenario().name().toLowerCase(Locale.ROOT) + " | "
                + r.version().name().toLowerCase(Locale.ROOT) + " |");
        for (Measure m : Measure.values()) {
            if (r.demand().measures(m)) {
                s.append(String.format(Locale.ROOT, " %s [%s-%s] |", text(r.mean(m)), text(r.min(m)), text(r.max(m))));
            }
        }
        return s.toString();
    }

    private static String text(double value) {
        return String.format(Locale.ROOT, Math.abs(value) >= 100 ? "%.0f" : "%.1f", value);
    }
}
