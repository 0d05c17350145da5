package gradehub.scale.result;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Line fits over runs of several fleet sizes, and the format of their numbers. */
class SlopesTest {

    @TempDir
    private Path directory;

    @Test
    void fitsALineAndReportsTheRangeOfTheRatios() throws IOException {
        try (ResultFiles files = ResultFiles.create(directory, true)) {
            for (int size : new int[] {10, 20, 40}) {
                files.write(new RunResult(
                        "day",
                        size,
                        1,
                        true,
                        List.of(new RunResult.Figure("bytes", 5 + 3 * size, "B/s")),
                        List.of(),
                        List.of()));
            }
        }
        Slopes.LinearFit fit =
                Slopes.read(directory.resolve(ResultFiles.SUMMARY)).get(0);
        assertEquals(3, fit.slope(), 1e-9);
        assertEquals(5, fit.intercept(), 1e-9);
        assertEquals(3.125, fit.minRatio(), 1e-9);
        assertEquals(3.5, fit.maxRatio(), 1e-9);
        assertEquals(Map.of(10, 35.0, 20, 65.0, 40, 125.0), fit.meansBySize());
        assertEquals(3, fit.runs());
        StringBuilder csv = new StringBuilder();
        Slopes.write(List.of(fit), csv);
        assertEquals(
                "day,bytes,B/s,3,5,3.125,3.5,3,10:35 20:65 40:125,125,125",
                csv.toString().lines().skip(1).findFirst().orElseThrow());
    }

    @Test
    void numbersAreFormattedWithSixSignificantDigits() {
        assertEquals("0.333333", RunResult.format(1.0 / 3));
        assertEquals("12345700", RunResult.format(12345678));
        assertEquals("0", RunResult.format(0));
        assertEquals("NaN", RunResult.format(Double.NaN));
    }
}
