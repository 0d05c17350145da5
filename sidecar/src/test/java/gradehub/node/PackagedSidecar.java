package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts the packaged jar with the run command of the deploy file. */
final class PackagedSidecar {

    /** The root of the repository, relative to the working directory of the tests. */
    private static final Path ROOT = Path.of("..");

    private static final Pattern RUN_COMMAND = Pattern.compile("^run = \"(.*)\"$", Pattern.MULTILINE);

    private PackagedSidecar() {}

    /** Runs the command unchanged, with additional JVM options taken from the environment. */
    static Process start(TrainingSession session, String options, Path output) throws IOException {
        Map<String, String> environment = new HashMap<>(session.environment());
        environment.put("JAVA_TOOL_OPTIONS", options);
        return start(environment, output);
    }

    /** Runs the command with these variables added to the environment of the test. */
    static Process start(Map<String, String> environment, Path output) throws IOException {
        Matcher run = RUN_COMMAND.matcher(Files.readString(ROOT.resolve("deploy/balancer.toml")));
        assertTrue(run.find(), "the deploy file has no run command");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1))
                .directory(ROOT.toAbsolutePath().toFile())
                .redirectErrorStream(true)
                .redirectOutput(output.toFile());
        builder.environment().putAll(environment);
        return builder.start();
    }
}
