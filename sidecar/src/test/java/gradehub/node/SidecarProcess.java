package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The packaged sidecar as a separate process, with a configuration and optionally injected faults. */
final class SidecarProcess implements AutoCloseable {

    /** The memory limit of the scored days. */
    static final long MEMORY_LIMIT_KB = 192 * 1024;

    /** Part of the path of requests that ask the upstream for a large answer. */
    static final String LARGE = "large";

    private static final long POLL_MS = 5;

    private final Path config;
    private final Path output;
    private final InetSocketAddress address;
    private final Process process;

    private SidecarProcess(Path config, Path output, InetSocketAddress address, Process process) {
        this.config = config;
        this.output = output;
        this.address = address;
        this.process = process;
    }

    /** Starts a sidecar with its files in this folder; sets the listen address in {@code root} to a free port. */
    static SidecarProcess start(Path folder, ObjectNode root, Map<String, String> environment) throws IOException {
        InetSocketAddress address;
        try (ServerSocket free = new ServerSocket(0, 1, ownLoopbackAddress())) {
            address = (InetSocketAddress) free.getLocalSocketAddress();
            root.put("listen", SidecarFixture.address(free));
        }
        Path config = folder.resolve("config.json");
        Path output = folder.resolve("sidecar.log");
        Files.writeString(config, root.toString());
        Map<String, String> variables = new HashMap<>(environment);
        variables.put("BALANCER_CONFIG", config.toAbsolutePath().toString());
        return new SidecarProcess(config, output, address, PackagedSidecar.start(variables, output));
    }

    /**
     * Returns a loopback address that only the sidecars of this JVM listen on. The free port could be taken before the
     * sidecar binds it, for example by its own warm-up, which listens on 127.0.0.1 and answers readiness checks.
     */
    private static InetAddress ownLoopbackAddress() throws IOException {
        long pid = ProcessHandle.current().pid();
        return InetAddress.getByAddress(new byte[] {127, 77, (byte) (pid >> Byte.SIZE), (byte) pid});
    }

    Process process() {
        return process;
    }

    Path config() {
        return config;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Returns the most memory that the process has held so far. */
    long peakMemoryKb() throws IOException {
        String status = Files.readString(Path.of("/proc/" + process.pid() + "/status"));
        String peak = status.lines()
                .filter(line -> line.startsWith("VmHWM:"))
                .findFirst()
                .orElseThrow();
        return Long.parseLong(peak.replaceAll("\\D", ""));
    }

    String log() throws IOException {
        return Files.readString(output);
    }

    RawConnection client() throws IOException {
        return RawConnection.connect(address);
    }

    /** Opens a connection without a reader of its answers. */
    Socket socket() throws IOException {
        return new Socket(address.getAddress(), address.getPort());
    }

    /** Whether {@code /ready} answers 200; false if the sidecar does not listen. */
    boolean isReady() {
        try (RawConnection client = client()) {
            return client.send("GET /ready HTTP/1.1\r\n\r\n").read().status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady() throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RawConnection.TIMEOUT_MS);
        while (!isReady()) {
            assertTrue(process.isAlive(), "the process ended: " + log());
            assertTrue(System.nanoTime() < deadlineNanos, "the sidecar did not become ready: " + log());
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
    }

    void signal(String name) throws IOException, InterruptedException {
        TrainingSession.signal(process.pid(), name);
    }

    /** Sends SIGTERM; returns whether the process exits within this time. */
    boolean exitsOnSigterm(long withinMs) throws IOException, InterruptedException {
        signal("TERM");
        return process.waitFor(withinMs, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        process.destroyForcibly().onExit().join();
    }
}
