package gradehub.scale.result;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.DoubleSummaryStatistics;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVPrinter;
import org.apache.commons.csv.CSVRecord;

/** Fits the growth of each figure with the size of the fleet: a least-squares line through all runs of a summary. */
public final class Slopes {

    private static final CSVFormat INPUT =
            CSVFormat.DEFAULT.builder().setHeader().setSkipHeaderRecord(true).build();
    private static final CSVFormat OUTPUT = CSVFormat.DEFAULT
            .builder()
            .setRecordSeparator('\n')
            .setHeader(
                    "experiment",
                    "figure",
                    "unit",
                    "slope",
                    "intercept",
                    "least-ratio",
                    "most-ratio",
                    "runs",
                    "means",
                    "least-at-largest",
                    "most-at-largest")
            .build();

    private Slopes() {}

    /**
     * The line fitted to a figure of an experiment: {@code value = intercept + slope * size}.
     *
     * @param minRatio the smallest quotient of value and size over all runs
     * @param maxRatio the largest quotient of value and size over all runs
     * @param valuesBySize statistics of the values of all runs of a size, by ascending size
     */
    public record LinearFit(
            String experiment,
            String figure,
            String unit,
            double intercept,
            double slope,
            double minRatio,
            double maxRatio,
            TreeMap<Integer, DoubleSummaryStatistics> valuesBySize) {

        /** The number of runs that the line is fitted to. */
        public long runs() {
            return valuesBySize.values().stream()
                    .mapToLong(DoubleSummaryStatistics::getCount)
                    .sum();
        }

        /** The mean value of the runs of each size. */
        public Map<Integer, Double> meansBySize() {
            Map<Integer, Double> means = new TreeMap<>();
            valuesBySize.forEach((size, values) -> means.put(size, values.getAverage()));
            return means;
        }

        private boolean isZero() {
            return valuesBySize.values().stream().allMatch(values -> values.getMin() == 0 && values.getMax() == 0);
        }
    }

    private record Point(int size, double value) {}

    /** Reads a summary file and fits a line to each figure of each experiment. */
    public static List<LinearFit> read(Path summary) throws IOException {
        Map<List<String>, List<Point>> points = new LinkedHashMap<>();
        try (CSVParser rows = CSVParser.parse(summary, StandardCharsets.UTF_8, INPUT)) {
            for (CSVRecord row : rows) {
                if (!row.get("figure").equals("digest")) {
                    List<String> key = List.of(row.get("experiment"), row.get("figure"), row.get("unit"));
                    points.computeIfAbsent(key, unused -> new ArrayList<>())
                            .add(new Point(Integer.parseInt(row.get("size")), Double.parseDouble(row.get("value"))));
                }
            }
        }
        List<LinearFit> fits = new ArrayList<>();
        points.forEach((key, figurePoints) -> fits.add(fit(key, figurePoints)));
        return fits;
    }

    /** Writes the fits as CSV, without figures that are 0 in all runs. */
    public static void write(List<LinearFit> fits, Appendable output) throws IOException {
        CSVPrinter rows = new CSVPrinter(output, OUTPUT);
        for (LinearFit fit : fits) {
            if (!fit.isZero()) {
                DoubleSummaryStatistics largest = fit.valuesBySize().lastEntry().getValue();
                rows.printRecord(
                        fit.experiment(),
                        fit.figure(),
                        fit.unit(),
                        RunResult.format(fit.slope()),
                        RunResult.format(fit.intercept()),
                        RunResult.format(fit.minRatio()),
                        RunResult.format(fit.maxRatio()),
                        fit.runs(),
                        formatMeans(fit.meansBySize()),
                        RunResult.format(largest.getMin()),
                        RunResult.format(largest.getMax()));
            }
        }
        rows.flush();
    }

    private static String formatMeans(Map<Integer, Double> means) {
        List<String> entries = new ArrayList<>();
        means.forEach((size, mean) -> entries.add(size + ":" + RunResult.format(mean)));
        return String.join(" ", entries);
    }

    private static LinearFit fit(List<String> key, List<Point> points) {
        double meanSize = points.stream().mapToDouble(Point::size).average().orElseThrow();
        double meanValue = points.stream().mapToDouble(Point::value).average().orElseThrow();
        double sumOfProducts = 0;
        double sumOfSquares = 0;
        DoubleSummaryStatistics ratios = new DoubleSummaryStatistics();
        TreeMap<Integer, DoubleSummaryStatistics> valuesBySize = new TreeMap<>();
        for (Point point : points) {
            sumOfProducts += (point.size() - meanSize) * (point.value() - meanValue);
            sumOfSquares += (point.size() - meanSize) * (point.size() - meanSize);
            ratios.accept(point.value() / point.size());
            valuesBySize
                    .computeIfAbsent(point.size(), unused -> new DoubleSummaryStatistics())
                    .accept(point.value());
        }
        double slope = sumOfSquares == 0 ? 0 : sumOfProducts / sumOfSquares;
        return new LinearFit(
                key.get(0),
                key.get(1),
                key.get(2),
                meanValue - slope * meanSize,
                slope,
                ratios.getMin(),
                ratios.getMax(),
                valuesBySize);
    }
}
