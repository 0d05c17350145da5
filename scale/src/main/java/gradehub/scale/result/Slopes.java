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

/** How the figures of a summary grow with the size of the fleet: a straight line through all runs by least squares. */
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
     * A figure over sizes: {@code value = intercept + slope * size}.
     *
     * @param leastRatio the least value over size of any run
     * @param mostRatio the greatest value over size of any run
     * @param bySize the values of the runs of each size, in order of size
     */
    public record LinearFit(
            String experiment,
            String figure,
            String unit,
            double intercept,
            double slope,
            double leastRatio,
            double mostRatio,
            TreeMap<Integer, DoubleSummaryStatistics> bySize) {

        /** How many runs it is fitted to. */
        public long runs() {
            return bySize.values().stream()
                    .mapToLong(DoubleSummaryStatistics::getCount)
                    .sum();
        }

        /** The mean of the runs of each size. */
        public Map<Integer, Double> means() {
            Map<Integer, Double> means = new TreeMap<>();
            bySize.forEach((size, values) -> means.put(size, values.getAverage()));
            return means;
        }

        private boolean isZero() {
            return bySize.values().stream().allMatch(values -> values.getMin() == 0 && values.getMax() == 0);
        }
    }

    private record Point(int size, double value) {}

    /** Reads a summary and fits each of its figures. */
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
        List<LinearFit> slopes = new ArrayList<>();
        points.forEach((key, ofFigure) -> slopes.add(fit(key, ofFigure)));
        return slopes;
    }

    /** Writes slopes as CSV; figures that are 0 in all runs are left out. */
    public static void write(List<LinearFit> slopes, Appendable output) throws IOException {
        CSVPrinter rows = new CSVPrinter(output, OUTPUT);
        for (LinearFit slope : slopes) {
            if (!slope.isZero()) {
                DoubleSummaryStatistics largest = slope.bySize().lastEntry().getValue();
                rows.printRecord(
                        slope.experiment(),
                        slope.figure(),
                        slope.unit(),
                        RunResult.format(slope.slope()),
                        RunResult.format(slope.intercept()),
                        RunResult.format(slope.leastRatio()),
                        RunResult.format(slope.mostRatio()),
                        slope.runs(),
                        words(slope.means()),
                        RunResult.format(largest.getMin()),
                        RunResult.format(largest.getMax()));
            }
        }
        rows.flush();
    }

    private static String words(Map<Integer, Double> means) {
        List<String> words = new ArrayList<>();
        means.forEach((size, mean) -> words.add(size + ":" + RunResult.format(mean)));
        return String.join(" ", words);
    }

    private static LinearFit fit(List<String> key, List<Point> points) {
        double meanSize = points.stream().mapToDouble(Point::size).average().orElseThrow();
        double meanValue = points.stream().mapToDouble(Point::value).average().orElseThrow();
        double products = 0;
        double squares = 0;
        DoubleSummaryStatistics ratios = new DoubleSummaryStatistics();
        TreeMap<Integer, DoubleSummaryStatistics> bySize = new TreeMap<>();
        for (Point point : points) {
            products += (point.size() - meanSize) * (point.value() - meanValue);
            squares += (point.size() - meanSize) * (point.size() - meanSize);
            ratios.accept(point.value() / point.size());
            bySize.computeIfAbsent(point.size(), unused -> new DoubleSummaryStatistics())
                    .accept(point.value());
        }
        double slope = squares == 0 ? 0 : products / squares;
        return new LinearFit(
                key.get(0),
                key.get(1),
                key.get(2),
                meanValue - slope * meanSize,
                slope,
                ratios.getMin(),
                ratios.getMax(),
                bySize);
    }
}
