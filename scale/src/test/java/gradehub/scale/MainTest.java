package gradehub.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the exit codes, the error messages and the result files of the command line. */
class MainTest {

    @TempDir
    private Path directory;

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    private int execute(String... arguments) {
        PrintStream originalOut = System.out;
        PrintStream originalErr = System.err;
        System.setOut(new PrintStream(output, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(errors, true, StandardCharsets.UTF_8));
        try {
            return Main.execute(arguments);
        } finally {
            System.setOut(originalOut);
            System.setErr(originalErr);
        }
    }

    private Path writeExperiment(String text) throws IOException {
        return Files.writeString(directory.resolve("experiment.yaml"), text);
    }

    @Test
    void helpAndVersionExitWithZero() {
        assertEquals(0, execute("--help"));
        assertEquals(0, execute("--version"));
        assertTrue(output.toString(StandardCharsets.UTF_8).contains("Exit codes"));
    }

    @Test
    void invalidUsageExitsWithTwo() {
        assertEquals(2, execute("unknown-command"));
        assertEquals(2, execute("model"));
        assertEquals(2, execute("check", "file", "--sizes", "many"));
    }

    @Test
    void missingFileExitsWithOne() {
        assertEquals(1, execute("check", directory.resolve("missing.yaml").toString()));
    }

    @Test
    void invalidFileIsRejectedWithPositionBeforeAnyRunStarts() throws IOException {
        Path file = writeExperiment(TestExperiments.smallYaml().replace("cores: 2", "cores: none"));
        Path out = directory.resolve("out");
        assertEquals(2, execute("model", file.toString(), "--out", out.toString()));
        assertTrue(errors.toString(StandardCharsets.UTF_8).contains("upstream.cores"));
        assertTrue(errors.toString(StandardCharsets.UTF_8).contains("line "));
        assertFalse(Files.exists(out));
    }

    @Test
    void experimentThatNeedsTooMuchMemoryIsRejected() throws IOException {
        Path file = writeExperiment(TestExperiments.smallYaml());
        assertEquals(2, execute("check", file.toString(), "--sizes", "100000000"));
        assertTrue(errors.toString(StandardCharsets.UTF_8).contains("half of the machine's memory"));
    }

    @Test
    void sizeTooSmallForCallTreeIsRejected() throws IOException {
        assertEquals(
                2, execute("check", writeExperiment(TestExperiments.smallYaml()).toString(), "--sizes", "23"));
        assertTrue(errors.toString(StandardCharsets.UTF_8).contains("needs 24"));
    }

    @Test
    void parallelRunsGiveSameResultsAsSequentialRuns() throws IOException {
        Path file = writeExperiment(TestExperiments.smallYaml().replace("measuredSeconds: 5", "measuredSeconds: 1"));
        String sequential = directory.resolve("sequential").toString();
        String parallel = directory.resolve("parallel").toString();
        assertEquals(0, execute("model", file.toString(), "--seeds", "1,2,3", "--out", sequential));
        assertEquals(0, execute("model", file.toString(), "--seeds", "1,2,3", "--out", parallel, "--parallel", "3"));
        assertEquals(
                Files.readString(Path.of(sequential, "summary.csv")),
                Files.readString(Path.of(parallel, "summary.csv")));
        assertEquals(2, execute("model", file.toString(), "--out", parallel, "--parallel", "0"));
    }

    @Test
    void modelWritesResultFilesAndSlopesReadsSummary() throws IOException {
        Path file = writeExperiment(TestExperiments.smallYaml().replace("measuredSeconds: 5", "measuredSeconds: 1"));
        Path out = directory.resolve("out");
        String[] run = {"model", file.toString(), "--out", out.toString(), "--sizes", "30,60", "--seeds", "1,2"};
        assertEquals(0, execute(run));
        assertEquals(
                4,
                Files.readString(out.resolve("summary.csv"))
                        .lines()
                        .filter(line -> line.contains(",digest,"))
                        .count());
        assertEquals(
                5, Files.readAllLines(out.resolve("small-30-2-seconds.csv")).size());
        assertEquals(0, execute("slopes", out.resolve("summary.csv").toString()));
        assertTrue(output.toString(StandardCharsets.UTF_8).contains("small,calls,1/s,"));
    }
}
