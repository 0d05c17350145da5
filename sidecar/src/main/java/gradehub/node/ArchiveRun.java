package gradehub.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ExecutionException;

/**
 * The training run of the build: the virtual machine archives the classes that it has loaded and the lambdas that it
 * has linked by its end. What a sidecar needs beyond that is loaded or generated on its event loop, while requests
 * wait: so this run takes sidecars through all their paths, the rare ones too.
 */
public final class ArchiveRun {

    private ArchiveRun() {}

    /** Ends the process, as SIGTERM ends a sidecar. */
    public static void main() throws IOException, InterruptedException, ExecutionException, Config.BadConfigException {
        Path folder = Files.createTempDirectory("training");
        long pid = ProcessHandle.current().pid();
        TrainingSession pushed = new TrainingSession(TrainingSession.Membership.PUSH, folder);
        Sidecar.main(pushed.environment());
        pushed.awaitReady();
        pushed.play();
        try (TrainingSession asked = new TrainingSession(TrainingSession.Membership.ASK, folder)) {
            Sidecar sidecar = Sidecar.start(Config.load(asked.environment()));
            asked.awaitReady();
            asked.play();
            sidecar.halt();
        }
        pushed.reload(pid);
        TrainingSession.signal(pid, "TERM");
    }
}
