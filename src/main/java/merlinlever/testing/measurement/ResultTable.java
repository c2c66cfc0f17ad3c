package merlinlever.testing.measurement;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.CategorySeries;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.style.Styler;

/** One table of results; written as CSV, as Markdown and as a chart. */
final class ResultTable {

    private final String name;
    private final String title;
    private final List<String> columns;
    private final List<List<String>> rows = new ArrayList<>();

    ResultTable(String name, String title, String... columns) {
        this.name = name;
        this.title = title;
        this.columns = List.of(columns);
    }

    void row(Object... cells) {
        List<String> row = new ArrayList<>();
        for (Object cell : cells) {
            row.add(
                    cell instanceof Double d
                            ? d >= 100 ? String.format(Locale.ROOT, "%.0f", d) : String.format(Locale.ROOT, "%.3g", d)
                            : String.valueOf(cell));
        }
        rows.add(row);
        System.out.println("  " + String.join("  ", row));
    }

    private double number(int row, int column) {
        return Double.parseDouble(rows.get(row).get(column));
    }

    /**
     * Writes all three.
     *
     * @param labels columns that together name a row
     * @param shown columns that the chart shows
     */
    String write(Path folder, String unit, List<Integer> labels, List<Integer> shown, boolean logarithmic)
            throws IOException {
        Files.createDirectories(folder);
        StringBuilder csv = new StringBuilder(String.join(",", columns)).append('\n');
        rows.forEach(row -> csv.append(String.join(",", row)).append('\n'));
        Files.writeString(folder.resolve(name + ".csv"), csv);
        CategoryChart chart = new CategoryChartBuilder()
                .width(900)
                .height(420)
                .title(title)
                .yAxisTitle(unit)
                .build();
        chart.getStyler().setLegendPosition(Styler.LegendPosition.InsideNW);
        chart.getStyler().setYAxisLogarithmic(logarithmic);
        if (logarithmic) {
            // Bars have no foot on such an axis.
            chart.getStyler().setDefaultSeriesRenderStyle(CategorySeries.CategorySeriesRenderStyle.Line);
        }
        chart.getStyler().setXAxisLabelRotation(30);
        List<String> at = new ArrayList<>();
        for (List<String> row : rows) {
            at.add(labels.stream().map(row::get).collect(Collectors.joining(" ")));
        }
        for (int column : shown) {
            List<Double> values = new ArrayList<>();
            for (int i = 0; i < rows.size(); i++) {
                values.add(number(i, column));
            }
            chart.addSeries(columns.get(column), at, values);
        }
        VectorGraphicsEncoder.saveVectorGraphic(
                chart, folder.resolve(name + ".svg").toString(), VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
        StringBuilder page = new StringBuilder("## ")
                .append(title)
                .append("\n\n| ")
                .append(String.join(" | ", columns))
                .append(" |\n|")
                .append(" --- |".repeat(columns.size()))
                .append('\n');
        rows.forEach(row -> page.append("| ").append(String.join(" | ", row)).append(" |\n"));
        return page.append("\n![")
                .append(title)
                .append("](")
                .append(name)
                .append(".svg)\n\n")
                .toString();
    }
}
