package merlinlever.cli.fleet;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;

/** A table of text with aligned columns. */
final class TextTable {

    private static final String COLUMN_GAP = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    TextTable(String... headings) {
        rows.add(List.of(headings));
    }

    /** Adds a row with one cell for each heading. */
    void addRow(String... cells) {
        rows.add(List.of(cells));
    }

    void print(PrintWriter out) {
        int[] widths = new int[rows.get(0).size()];
        for (List<String> row : rows) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < widths.length; i++) {
                String cell = row.get(i);
                line.append(cell).append(" ".repeat(widths[i] - cell.length())).append(COLUMN_GAP);
            }
            out.println(line.toString().stripTrailing());
        }
        out.flush();
    }
}
