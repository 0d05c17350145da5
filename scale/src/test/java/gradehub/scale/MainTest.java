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

/** The command line: its exit codes, its errors and its files. */
class MainTest {

    @TempDir
    private Path folder;

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    private int execute(String... arguments) {
        PrintStream out = System.out;
        PrintStream err = System.err;
        System.setOut(new PrintStream(output, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(errors, true, StandardCharsets.UTF_8));
        try {
            return Main.execute(arguments);
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
    }

    private Path file(String text) throws IOException {
        return Files.writeString(folder.resolve("experiment.yaml"), text);
    }

    @Test
    void helpAndVersionAreNoErrors() {
        assertEquals(0, execute("--help"));
        assertEquals(0, execute("--version"));
        assertTrue(output.toString(StandardCharsets.UTF_8).contains("Exit codes"));
    }

    @Test
    void badUsageIsToldByItsCode() {
        assertEquals(2, execute("fly"));
        assertEquals(2, execute("model"));
        assertEquals(2, execute("check", "file", "--sizes", "many"));
    }

    @Test
    void aFileThatCannotBeReadIsAFailure() {
        assertEquals(1, execute("check", folder.resolve("none.yaml").toString()));
    }

    @Test
    void aBadFileIsRefusedWithItsPlaceBeforeAnythingStarts() throws IOException {
        Path file = file(TestExperiments.smallYaml().replace("cores: 2", "cores: none"));
        Path out = folder.resolve("out");
        assertEquals(2, execute("model", file.toString(), "--out", out.toString()));
        assertTrue(errors.toString(StandardCharsets.UTF_8).contains("upstream.cores"));
        assertTrue(errors.toString(StandardCharsets.UTF_8).contains("line "));
        assertFalse(Files.exists(out));
    }

    @Test
    void anExperimentThatNeedsTooMuchMemoryIsRefused() throws IOException {
        Path file = file(TestExperiments.smallYaml());
        assertEquals(2, execute("check", file.toString(), "--sizes", "100000000"));
        assertTrue(errors.toString(StandardCharsets.UTF_8).contains("half of the machine's memory"));
    }

    @Test
    void aSizeThatIsTooSmallForTheTreeIsRefused() throws IOException {
        assertEquals(2, execute("check", file(TestExperiments.smallYaml()).toString(), "--sizes", "23"));
        assertTrue(errors.toString(StandardCharsets.UTF_8).contains("needs 24"));
    }

    @Test
    void runsAtOnceGiveTheResultsOfRunsInTurn() throws IOException {
        Path file = file(TestExperiments.smallYaml().replace("measuredSeconds: 5", "measuredSeconds: 1"));
        String inTurn = folder.resolve("in-turn").toString();
        String atOnce = folder.resolve("at-once").toString();
        assertEquals(0, execute("model", file.toString(), "--seeds", "1,2,3", "--out", inTurn));
        assertEquals(0, execute("model", file.toString(), "--seeds", "1,2,3", "--out", atOnce, "--parallel", "3"));
        assertEquals(
                Files.readString(Path.of(inTurn, "summary.csv")), Files.readString(Path.of(atOnce, "summary.csv")));
        assertEquals(2, execute("model", file.toString(), "--out", atOnce, "--parallel", "0"));
    }

    @Test
    void theModelWritesItsResultsAndSlopesReadsThem() throws IOException {
        Path file = file(TestExperiments.smallYaml().replace("measuredSeconds: 5", "measuredSeconds: 1"));
        Path out = folder.resolve("out");
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
