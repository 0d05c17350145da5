package gradehub.scale.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradehub.scale.TestExperiments;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests reading of valid experiment files, and the position and field given for an error in an invalid one. */
class ExperimentReaderTest {

    /** Replaces a line of the small experiment and expects an error at that line. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "seed: 1                    | seed: one                                | seed                    | whole number",
                "seed: 1                    | seed: 1.5                                | seed                    | whole number",
                "  upstreams: 60            |   upstreams: '60'                        | fleet.upstreams         | whole number",
                "  upstreams: 60            |   upstreams: 1000000                     | fleet.upstreams         | between",
                "  utilisation: 0.5         |   utilisation: .nan                      | fleet.utilisation       | number",
                "  services: 16             |   services: 30                           | fleet.services          | cannot add up to 60",
                "  hops: 7                  |   hopps: 7                               | fleet.hops              | missing",
                "  cores: 2                 |   cores: 2, 3                            | upstream.cores          | whole number",
                "  cores: 2                 |   cores: [2]                             | upstream.cores          | single value",
                "  secondCopies: true       |   secondCopies: 1                        | calls.secondCopies      | true or false",
                "  aimMillis: 600           |   aimMillis: 9000                        | calls.deadlineMillis    | between",
                "  scope: service           |   scope: world                           | listService.scope       | one of",
                "    - name: south          |     - name: north                        | fleet.regions[1].name   | already the name",
                "network:                   | network: 3                               | network                 | object",
                "faults: []                 | faults: {}                               | faults                  | list",
                "faults: []                 | faults: [{kind: flood}]                  | faults[0].kind          | one of",
                "faults: []                 | faults: [{kind: zone-lost, atSeconds: 1, forSeconds: 1, zone: east}] | faults[0].zone | one of",
                "faults: []                 | faults: [{kind: machines-lost, atSeconds: 1, forSeconds: 1, count: 61}] | faults[0].count | between",
                "faults: []                 | faults: [{kind: list-service-down, atSeconds: 99, forSeconds: 1}] | faults[0].atSeconds | between",
                "faults: []                 | faults: [{kind: upstreams-fail, atSeconds: 1, forSeconds: 1, layer: 8, part: 1, errorPart: 1}] | faults[0].layer | between"
            })
    void reportsLineAndFieldOfError(String line, String replacement, String field, String problem) {
        List<String> lines = TestExperiments.smallYaml().lines().toList();
        int index = lines.stream().map(String::strip).toList().indexOf(line.strip());
        assertTrue(index >= 0, "the small experiment lacks the line " + line);
        String indent = lines.get(index).replace(line.strip(), "");
        String text = String.join("\n", lines).replace(lines.get(index), indent + replacement.strip());
        if (replacement.strip().equals("network: 3")) {
            // a scalar cannot be followed by the indented fields of the object that it replaces
            text = text.replaceAll("(?m)^  (local|same|other|connect)\\w+: \\d+\n", "");
        }
        String invalidText = text;
        ExperimentFileException error =
                assertThrows(ExperimentFileException.class, () -> ExperimentReader.parse(invalidText));
        assertEquals(field, error.field());
        assertTrue(error.getMessage().contains(problem), error.getMessage());
        // reported for the enclosing object, or for the field with the range that the replaced line changes
        boolean reportedElsewhere = problem.equals("missing") || field.equals("calls.deadlineMillis");
        if (!reportedElsewhere) {
            assertEquals(index + 1, error.line(), error.getMessage());
        }
    }

    @Test
    void reportsUnknownFieldAtPositionOfItsKey() {
        String text = TestExperiments.smallYaml().replace("  hops: 7\n", "  hops: 7\n  depth: 7\n");
        int line = text.substring(0, text.indexOf("depth: 7")).split("\n").length;
        ExperimentFileException error = assertThrows(ExperimentFileException.class, () -> ExperimentReader.parse(text));
        assertEquals("fleet.depth", error.field());
        assertEquals(line, error.line());
        assertEquals(3, error.column());
    }

    @ParameterizedTest
    @CsvSource({"'name: [', 1", "'', 1", "'name: a\nname: b', 2", "'- 1', 1", "'{\"name\": \"a\",\n \"seed\" 1}', 2"})
    void rejectsTextThatIsNotAValidObject(String text, int line) {
        ExperimentFileException error = assertThrows(ExperimentFileException.class, () -> ExperimentReader.parse(text));
        assertEquals(line, error.line(), error.getMessage());
    }

    @Test
    void readsEachShippedExperiment() throws IOException, ExperimentFileException {
        try (Stream<Path> files = Files.list(Path.of("experiments"))) {
            List<Path> experiments =
                    files.filter(file -> file.toString().endsWith(".yaml")).toList();
            assertTrue(!experiments.isEmpty(), "no experiment files found");
            for (Path file : experiments) {
                String name = file.getFileName().toString().replace(".yaml", "");
                assertEquals(name, ExperimentReader.read(file).name());
            }
        }
    }

    @Test
    void scalingKeepsProportionsOfFleet() {
        Experiment half = TestExperiments.small().scaledTo(30);
        assertEquals(30, half.fleet().upstreams());
        assertEquals(8, half.fleet().services());
        assertEquals(200, half.calls().rootCallsPerSecond());
    }
}
