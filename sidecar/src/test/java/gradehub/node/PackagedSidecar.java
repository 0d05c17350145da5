package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts the packaged jar by the command of the deploy file. */
final class PackagedSidecar {

    /** The repository, from the folder in which the tests run. */
    private static final Path ROOT = Path.of("..");

    private static final Pattern RUN = Pattern.compile("^run = \"(.*)\"$", Pattern.MULTILINE);

    private PackagedSidecar() {}

    /** All that is added to the command are these options of the virtual machine. */
    static Process start(TrainingSession session, String options, Path output) throws IOException {
        Matcher run = RUN.matcher(Files.readString(ROOT.resolve("deploy/balancer.toml")));
        assertTrue(run.find(), "the deploy file says how to run a sidecar");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1))
                .directory(ROOT.toAbsolutePath().toFile())
                .redirectErrorStream(true)
                .redirectOutput(output.toFile());
        builder.environment().putAll(session.environment());
        builder.environment().put("JAVA_TOOL_OPTIONS", options);
        return builder.start();
    }
}
