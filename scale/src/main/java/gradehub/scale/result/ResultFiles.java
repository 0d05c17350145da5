package gradehub.scale.result;

import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;

/** Writes results as CSV: one summary of all runs and, for each run, a file of its seconds and one of its services. */
public final class ResultFiles implements Closeable {

    /** File name of the summary. */
    public static final String SUMMARY = "summary.csv";

    private static final CSVFormat FORMAT =
            CSVFormat.DEFAULT.builder().setRecordSeparator('\n').build();

    private final Path directory;
    private final boolean summaryOnly;
    private final CSVPrinter summary;

    private ResultFiles(Path directory, boolean summaryOnly, CSVPrinter summary) {
        this.directory = directory;
        this.summaryOnly = summaryOnly;
        this.summary = summary;
    }

    /** Creates the directory if needed and opens its summary file, replacing an existing one. */
    public static ResultFiles create(Path directory, boolean summaryOnly) throws IOException {
        Files.createDirectories(directory);
        CSVPrinter summary = openCsv(
                directory.resolve(SUMMARY), "experiment", "size", "seed", "complete", "figure", "value", "unit");
        return new ResultFiles(directory, summaryOnly, summary);
    }

    /** Appends a run to the summary and, unless {@code summaryOnly}, writes its own files. */
    public void write(RunResult result) throws IOException {
        for (RunResult.Figure figure : result.figures()) {
            summary.printRecord(
                    result.experiment(),
                    result.size(),
                    result.seed(),
                    result.complete(),
                    figure.name(),
                    RunResult.format(figure.value()),
                    figure.unit());
        }
        summary.printRecord(
                result.experiment(),
                result.size(),
                result.seed(),
                result.complete(),
                "digest",
                result.digest(),
                "sha-256");
        summary.flush();
        if (!summaryOnly) {
            writeSeconds(result);
            writeServices(result);
        }
    }

    private void writeSeconds(RunResult result) throws IOException {
        Path file = directory.resolve(fileName(result, "seconds"));
        try (CSVPrinter rows = openCsv(
                file,
                "second",
                "root-offered",
                "root-served",
                "attempts",
                "leaf-attempts",
                "list-calls",
                "list-calls-failed",
                "list-bytes-in",
                "list-bytes-out",
                "restored",
                "configured")) {
            for (RunResult.Second row : result.seconds()) {
                rows.printRecord(
                        row.second(),
                        row.rootOffered(),
                        row.rootServed(),
                        row.attempts(),
                        row.leafAttempts(),
                        row.listCalls(),
                        row.listCallsFailed(),
                        row.listBytesIn(),
                        row.listBytesOut(),
                        row.restored(),
                        row.configured());
            }
        }
    }

    private void writeServices(RunResult result) throws IOException {
        Path file = directory.resolve(fileName(result, "services"));
        try (CSVPrinter rows = openCsv(file, "service", "layer", "upstreams", "callers", "per-upstream", "spread")) {
            for (RunResult.ServiceLoad row : result.services()) {
                rows.printRecord(
                        row.service(),
                        row.layer(),
                        row.upstreams(),
                        row.callers(),
                        RunResult.format(row.perUpstream()),
                        RunResult.format(row.spread()));
            }
        }
    }

    private static String fileName(RunResult result, String kind) {
        return result.experiment() + "-" + result.size() + "-" + result.seed() + "-" + kind + ".csv";
    }

    private static CSVPrinter openCsv(Path file, String... header) throws IOException {
        CSVPrinter printer = new CSVPrinter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), FORMAT);
        printer.printRecord((Object[]) header);
        return printer;
    }

    @Override
    public void close() throws IOException {
        summary.close();
    }
}
