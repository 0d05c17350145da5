package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The heap with which the deploy file starts a sidecar follows from its memory limit. */
class ProcessMemoryTest {

    private static final Path ROOT = Path.of("..").toAbsolutePath();
    private static final Pattern HEAP_OPTION = Pattern.compile("-Xmx(\\d+)m");
    private static final int DEFAULT_LIMIT_MB = 192;
    private static final int MAX_LIMIT_MB = 4096;
    /** More than nine tenths of the limit are priced; under a smaller limit than this the process needs them. */
    private static final double MAX_UNPRICED_FRACTION = 0.9;

    private static final int MIN_UNPRICED_LIMIT_MB = 112;
    private static final int LARGE_LIST_MEMBERS = 4096;
    /** Far more than the script takes, and far less than matching patterns on a long line takes. */
    private static final long MAX_SCRIPT_MS = 20_000;

    @TempDir
    private Path folder;

    /** Runs the start script with a stand-in for the JVM that prints its options; returns the limit of the heap. */
    private int heapMb(String config) throws IOException, InterruptedException {
        Path java = folder.resolve("java");
        Files.writeString(java, "#!/bin/sh\necho \"$@\"\n");
        assertTrue(java.toFile().setExecutable(true));
        Path file = Files.writeString(folder.resolve("config.json"), config);
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", ". ./deploy/run.sh")
                .directory(ROOT.toFile())
                .redirectErrorStream(true);
        builder.environment().putAll(Map.of("BALANCER_CONFIG", file.toString(), "PATH", folder.toString()));
        Process script = builder.start();
        Matcher heap = HEAP_OPTION.matcher(new String(script.getInputStream().readAllBytes()));
        script.waitFor();
        assertTrue(heap.find());
        return Integer.parseInt(heap.group(1));
    }

    private static String configWithLimit(int limitMb) {
        return "{\"name\":\"n0\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + limitMb
                + ",\"sockets\":1024},\"settings\":{}}";
    }

    /** Guards against report 405e31: the ceilings came to more than the limit. */
    @Test
    void ceilingsKeepToEachLimit() {
        for (int limitMb = ProcessMemory.MIN_LIMIT_MB; limitMb <= MAX_LIMIT_MB; limitMb++) {
            int ceilingMb = ProcessMemory.ceilingMb(limitMb);
            assertTrue(ceilingMb <= limitMb, limitMb + " MB");
            assertTrue(
                    limitMb < MIN_UNPRICED_LIMIT_MB || ceilingMb <= MAX_UNPRICED_FRACTION * limitMb, limitMb + " MB");
        }
    }

    /** Guards against report 405e31: the heap was the same for each limit, and larger than the least one allows. */
    @ParameterizedTest
    @ValueSource(ints = {ProcessMemory.MIN_LIMIT_MB, 104, 128, 144, 192, 2048})
    void scriptSetsTheHeapThatFollowsFromTheLimit(int limitMb) throws Exception {
        assertEquals(ProcessMemory.heapMb(limitMb), heapMb(configWithLimit(limitMb)));
    }

    @Test
    void scriptReadsTheLimitInEachFormOfJson() throws Exception {
        int expected = ProcessMemory.heapMb(144);
        assertEquals(expected, heapMb("{ \"limits\" : {\n  \"memory_mb\" : 144\n }\n}"));
        assertEquals(expected, heapMb("{\"limits\":{\"memory_mb\":144.0}}"));
        assertEquals(expected, heapMb("{\"known\":{\"note\":\"* ? $(exit) `exit`\"},\"limits\":{\"memory_mb\":144}}"));
        assertEquals(ProcessMemory.heapMb(DEFAULT_LIMIT_MB), heapMb("{\"limits\":{\"sockets\":1024}}"));
    }

    /** Guards against a script whose time grows with the square of the list that the configuration holds. */
    @Test
    void scriptReadsTheLimitBehindALongList() throws Exception {
        String member = SidecarFixture.member("s-0", "127.0.0.1:9000", "active") + ",";
        String config = "{\"known\":{\"members\":[" + member.repeat(LARGE_LIST_MEMBERS)
                + "{}]},\"limits\":{\"memory_mb\":144}}";
        long startNanos = System.nanoTime();
        assertEquals(ProcessMemory.heapMb(144), heapMb(config));
        assertTrue(System.nanoTime() - startNanos < MAX_SCRIPT_MS * 1_000_000L);
    }

    /** Guards against a process that starts under a limit that it passes before its first client. */
    @Test
    void limitInWhichTheProcessCannotRunIsRejected() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture()) {
            ObjectNode config = fixture.config(null);
            config.withObject("/limits").put("memory_mb", ProcessMemory.MIN_LIMIT_MB - 1);
            Exception rejected = assertThrows(Config.InvalidConfigException.class, () -> Config.parse(config));
            assertTrue(
                    rejected.getMessage().startsWith("limits.memory_mb: must be at least 100"), rejected.getMessage());
        }
    }
}
