package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradehub.node.TrainingSession.Membership;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Runs the packaged sidecar, started as in the deploy file, with faulty clients, upstreams and discovery. A class that it
 * loads from the jar or generates while it serves delays requests on its event loop.
 */
class ServedClassesIT {

    private static final Pattern LOADED_CLASS = Pattern.compile("^(\\S+) source: (.*)$");
    private static final String ARCHIVE_SOURCE = "shared objects file";
    /** Statuses that show that the error paths were taken. */
    private static final Set<Integer> EXPECTED_STATUSES = Set.of(200, 400, 404, 405, 408, 409, 413, 417, 431, 502, 503);

    @TempDir
    private Path folder;

    @ParameterizedTest
    @EnumSource
    void classesLoadedAfterReadinessComeFromArchive(Membership membership) throws Exception {
        List<String> loaded = loadedWhileServing(membership);
        assertTrue(loaded.size() > 0, "no loaded classes were logged");
        assertEquals(
                "",
                String.join(
                        "\n", loaded.stream().filter(line -> !isArchived(line)).toList()));
    }

    private static boolean isArchived(String line) {
        Matcher parts = LOADED_CLASS.matcher(line);
        return parts.matches() && parts.group(2).startsWith(ARCHIVE_SOURCE);
    }

    /** Returns the lines of the JVM's class loading log from readiness to exit. */
    private List<String> loadedWhileServing(Membership membership) throws Exception {
        Path log = folder.resolve("classes.log");
        Path output = folder.resolve("output.log");
        try (TrainingSession session = new TrainingSession(membership, folder)) {
            Process sidecar = PackagedSidecar.start(session, "-Xlog:class+load:file=" + log + ":none", output);
            try {
                session.awaitReady();
                long linesBefore = Files.readAllLines(log).size();
                Set<Integer> statuses = session.runTraffic();
                assertTrue(statuses.containsAll(EXPECTED_STATUSES), "statuses received: " + statuses);
                session.reload(sidecar.pid());
                TrainingSession.signal(sidecar.pid(), "TERM");
                assertTrue(sidecar.waitFor(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS), "exits after SIGTERM");
                assertEquals(0, sidecar.exitValue(), () -> read(output));
                return Files.readAllLines(log).stream().skip(linesBefore).toList();
            } finally {
                sidecar.destroyForcibly();
            }
        }
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            return e.getMessage();
        }
    }
}
