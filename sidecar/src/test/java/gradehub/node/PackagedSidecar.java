package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
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
        Map<String, String> environment = new HashMap<>(session.environment());
        environment.put("JAVA_TOOL_OPTIONS", options);
        return start(environment, output);
    }

    /** Under this environment, which the command and what it starts get on top of the test's own. */
    static Process start(Map<String, String> environment, Path output) throws IOException {
        Matcher run = RUN.matcher(Files.readString(ROOT.resolve("deploy/balancer.toml")));
        assertTrue(run.find(), "the deploy file says how to run a sidecar");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1))
                .directory(ROOT.toAbsolutePath().toFile())
                .redirectErrorStream(true)
                .redirectOutput(output.toFile());
        builder.environment().putAll(environment);
        return builder.start();
    }
}
