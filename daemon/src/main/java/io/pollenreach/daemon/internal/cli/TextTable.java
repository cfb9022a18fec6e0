package io.pollenreach.daemon.internal.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Rows of text in aligned columns. For use by one thread. */
final class TextTable {
    private static final String GAP = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    TextTable(String... titles) {
        rows.add(List.of(titles));
    }

    /** Adds a row with one text for each title. */
    void add(List<String> row) {
        if (row.size() != rows.get(0).size()) {
            throw new IllegalArgumentException("expected " + rows.get(0).size() + " columns, got " + row.size());
        }
        rows.add(List.copyOf(row));
    }

    /** Writes the titles and all rows. */
    void print(PrintStream out) {
        int columns = rows.get(0).size();
        int[] widths = new int[columns];
        for (List<String> row : rows) {
            for (int i = 0; i < columns; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        rows.forEach(r -> out.println(line(r, widths)));
    }

    private static String line(List<String> row, int[] widths) {
        StringBuilder line = new StringBuilder();
        for (int i = 0; i < row.size(); i++) {
            line.append(i == 0 ? "" : GAP).append(row.get(i));
            line.append(" ".repeat(widths[i] - row.get(i).length()));
        }
        return line.toString().stripTrailing();
    }
}
