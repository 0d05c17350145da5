package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gradehub.node.TrainingSession.Membership;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Full garbage collections of the packaged sidecar: each delays the requests that arrive during it. */
class StartCollectionIT {

    @TempDir
    private Path folder;

    @Test
    void startupGarbageIsCollectedBeforeReadiness() throws Exception {
        Path log = folder.resolve("collections.log");
        Path output = folder.resolve("output.log");
        try (TrainingSession session = new TrainingSession(Membership.PUSH, folder)) {
            Process sidecar = PackagedSidecar.start(session, "-Xlog:gc:file=" + log + ":none", output);
            try {
                session.awaitReady();
                assertEquals(1, fullCollections(log), () -> "full collections before readiness: " + log);
                session.runTraffic();
                assertEquals(1, fullCollections(log), () -> "full collections after the traffic: " + log);
            } finally {
                sidecar.destroyForcibly();
            }
        }
    }

    private static long fullCollections(Path log) throws Exception {
        List<String> lines = Files.readAllLines(log);
        return lines.stream().filter(line -> line.contains("Pause Full")).count();
    }
}
