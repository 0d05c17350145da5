package gradehub.scale.result;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;

/** How the figures of a summary grow with the size of the fleet: a straight line through all runs by least squares. */
public final class Slopes {

    private static final CSVFormat FORMAT =
            CSVFormat.DEFAULT.builder().setHeader().setSkipHeaderRecord(true).build();

    private Slopes() {}

    /**
     * A figure over sizes: {@code value = intercept + slope * size}.
     *
     * @param leastRatio the least value over size of any run
     * @param mostRatio the greatest value over size of any run
     * @param means the mean value of the runs of each size
     */
    public record Slope(
            String experiment,
            String figure,
            String unit,
            double intercept,
            double slope,
            double leastRatio,
            double mostRatio,
            int runs,
            Map<Integer, Double> means) {

        @Override
        public String toString() {
            StringBuilder text = new StringBuilder(experiment + " " + figure + " [" + unit + "]: slope "
                    + RunResult.format(slope) + ", intercept " + RunResult.format(intercept) + ", value/size "
                    + RunResult.format(leastRatio) + " to " + RunResult.format(mostRatio) + " in " + runs
                    + " runs; means");
            means.forEach(
                    (size, mean) -> text.append(' ').append(size).append(": ").append(RunResult.format(mean)));
            return text.toString();
        }
    }

    private record Point(int size, double value) {}

    /** Reads a summary and fits each of its figures. */
    public static List<Slope> read(Path summary) throws IOException {
        Map<List<String>, List<Point>> points = new LinkedHashMap<>();
        try (CSVParser rows = CSVParser.parse(summary, StandardCharsets.UTF_8, FORMAT)) {
            for (CSVRecord row : rows) {
                if (!row.get("figure").equals("digest")) {
                    List<String> key = List.of(row.get("experiment"), row.get("figure"), row.get("unit"));
                    points.computeIfAbsent(key, unused -> new ArrayList<>())
                            .add(new Point(Integer.parseInt(row.get("size")), Double.parseDouble(row.get("value"))));
                }
            }
        }
        List<Slope> slopes = new ArrayList<>();
        points.forEach((key, ofFigure) -> slopes.add(fit(key, ofFigure)));
        return slopes;
    }

    private static Slope fit(List<String> key, List<Point> points) {
        double meanSize = points.stream().mapToDouble(Point::size).average().orElseThrow();
        double meanValue = points.stream().mapToDouble(Point::value).average().orElseThrow();
        double products = 0;
        double squares = 0;
        Map<Integer, Double> sums = new TreeMap<>();
        Map<Integer, Integer> counts = new TreeMap<>();
        for (Point point : points) {
            products += (point.size() - meanSize) * (point.value() - meanValue);
            squares += (point.size() - meanSize) * (point.size() - meanSize);
            sums.merge(point.size(), point.value(), Double::sum);
            counts.merge(point.size(), 1, Integer::sum);
        }
        double slope = squares == 0 ? 0 : products / squares;
        sums.replaceAll((size, sum) -> sum / counts.get(size));
        double least = points.stream()
                .mapToDouble(point -> point.value() / point.size())
                .min()
                .orElseThrow();
        double most = points.stream()
                .mapToDouble(point -> point.value() / point.size())
                .max()
                .orElseThrow();
        return new Slope(
                key.get(0),
                key.get(1),
                key.get(2),
                meanValue - slope * meanSize,
                slope,
                least,
                most,
                points.size(),
                sums);
    }
}
