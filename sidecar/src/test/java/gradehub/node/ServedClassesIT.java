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
 * The packaged sidecar, started as the deploy file says, with its clients, upstreams and discovery in trouble. What it
 * loads from the jar or generates while it serves stands in the way of requests on its event loop.
 */
class ServedClassesIT {

    private static final Pattern LOADED = Pattern.compile("^(\\S+) source: (.*)$");
    private static final String ARCHIVED = "shared objects file";
    /** The kinds of answers that show that the troubled paths were taken. */
    private static final Set<Integer> STATUSES = Set.of(200, 400, 404, 405, 408, 409, 413, 417, 431, 502, 503);

    @TempDir
    private Path folder;

    @ParameterizedTest
    @EnumSource
    void eachClassThatIsLoadedAfterReadinessComesFromTheArchive(Membership membership) throws Exception {
        List<String> loaded = loadedWhileServing(membership);
        assertTrue(loaded.size() > 0, "classes are logged");
        assertEquals(
                "",
                String.join(
                        "\n", loaded.stream().filter(line -> !isArchived(line)).toList()));
    }

    private static boolean isArchived(String line) {
        Matcher parts = LOADED.matcher(line);
        return parts.matches() && parts.group(2).startsWith(ARCHIVED);
    }

    /** The virtual machine's log of the classes that were loaded from readiness to the end, line by line. */
    private List<String> loadedWhileServing(Membership membership) throws Exception {
        Path log = folder.resolve("classes.log");
        Path output = folder.resolve("output.log");
        try (TrainingSession session = new TrainingSession(membership, folder)) {
            Process sidecar = PackagedSidecar.start(session, "-Xlog:class+load:file=" + log + ":none", output);
            try {
                session.awaitReady();
                long before = Files.readAllLines(log).size();
                Set<Integer> statuses = session.runTraffic();
                assertTrue(statuses.containsAll(STATUSES), statuses + " came");
                session.reload(sidecar.pid());
                TrainingSession.signal(sidecar.pid(), "TERM");
                assertTrue(sidecar.waitFor(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS), "it ends by SIGTERM");
                assertEquals(0, sidecar.exitValue(), () -> read(output));
                return Files.readAllLines(log).stream().skip(before).toList();
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
