package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import gradehub.Balancer.Effect;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests reading the configuration, and the exit status of the program. */
class ConfigTest {

    @Test
    void nestedSettingsAreReadLikeTheFlatOnesOfTheSimulator() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            Config config = Config.parse(fixture.config(null));
            assertEquals(2, config.settings().classes().size());
            assertEquals(Effect.UNSAFE, config.settings().classes().get(1).effect());
            assertEquals(3, config.settings().reportFields().size());
            assertEquals(6, config.settings().limits().maxAttempts());
            assertEquals(5000, config.connectTimeoutMs());
            assertEquals(20, config.answerSlackMs());
        }
    }

    @Test
    void messageOfAnInvalidConfigurationStartsWithTheKey() throws Exception {
        assertMessageStartsWith(
                "BALANCER_CONFIG", assertThrows(Config.InvalidConfigException.class, () -> Config.load(Map.of())));
        for (String key : new String[] {"listen", "discovery", "seed", "settings"}) {
            try (SidecarFixture fixture = new SidecarFixture()) {
                ObjectNode root = fixture.config(null);
                root.remove(key);
                assertMessageStartsWith(
                        key, assertThrows(Config.InvalidConfigException.class, () -> Config.parse(root)));
                root.put(key, "neither here nor there");
                assertMessageStartsWith(
                        key, assertThrows(Config.InvalidConfigException.class, () -> Config.parse(root)));
            }
        }
    }

    private static void assertMessageStartsWith(String key, Exception failure) {
        assertTrue(failure.getMessage().startsWith(key), failure.getMessage());
        assertEquals(1, failure.getMessage().lines().count());
    }

    @Test
    void exitsWithStatus2OnAnInvalidConfiguration(@TempDir Path dir) throws Exception {
        Path file = Files.writeString(dir.resolve("config.json"), "{}");
        Process process = serve(file);
        try (BufferedReader log =
                new BufferedReader(new InputStreamReader(process.getErrorStream(), StandardCharsets.UTF_8))) {
            assertEquals("gradehub: settings: missing or not an object", log.readLine());
        }
        assertTrue(process.waitFor(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertEquals(2, process.exitValue());
    }

    /** By default the JVM exits with the status of the signal, and requests in flight are lost. */
    @Test
    void exitsWithStatus0OnSigterm(@TempDir Path dir) throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            Path file = Files.writeString(
                    dir.resolve("config.json"),
                    fixture.config(SidecarFixture.list(1, true)).toString());
            Process process = serve(file);
            // SIGTERM is sent only after the program has logged that it listens.
            try (BufferedReader log =
                    new BufferedReader(new InputStreamReader(process.getErrorStream(), StandardCharsets.UTF_8))) {
                String line = log.readLine();
                while (line != null && !line.contains("listening")) {
                    line = log.readLine();
                }
                process.destroy();
                assertTrue(process.waitFor(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
                assertEquals(0, process.exitValue());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    private static Process serve(Path config) throws Exception {
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "gradehub.Main",
                "serve");
        builder.environment().put("BALANCER_CONFIG", config.toString());
        return builder.start();
    }
}
