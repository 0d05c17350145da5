package gradehub.node;

import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * Exercises all paths of one sidecar on loopback, error paths in particular: provides its upstreams, discovery services,
 * environment and clients. The caller starts the sidecar.
 */
final class TrainingSession implements Closeable {

    /** How the sidecar receives the list of upstreams. */
    enum Membership {
        PUSH,
        ASK
    }

    private static final String CONFIG = """
            {"name":"n1","listen":"%1$s","discovery":"%2$s","seed":"8c1f30d27a5be964",
             "limits":{"cores":0.25,"memory_mb":128,"sockets":160},
             "known":{"revision":1,"complete":true,"members":[]},
             "settings":{"instances":2,"tickMs":5.0,"membershipMode":"%3$s","failureDomains":["a","b"],"kinds":["k"],
              "lanes":[
               {"name":"read","aimMs":600,"hardLimitMs":2000,"idempotency":"retryable","group":"all","worth":1},
               {"name":"write","aimMs":600,"hardLimitMs":2000,"idempotency":"fragile","group":"all","worth":5},
               {"name":"keyed","aimMs":600,"hardLimitMs":2000,"idempotency":"dedup","group":"all","windowMs":1500},
               {"name":"zoned","aimMs":600,"hardLimitMs":2000,"idempotency":"dedup","group":"zone","windowMs":1500},
               {"name":"celled","aimMs":600,"hardLimitMs":2000,"idempotency":"dedup","group":"cell","windowMs":1500}],
              "tenants":[{"name":"t0","portion":0.5,"quotaPerS":9},{"name":"t1","portion":0.5,"quotaPerS":9}],
              "limits":{"maxAttempts":4,"cancel":true,"secondCopies":true,"retryAfter":true,"maxRetryAfterMs":2000.0,
               "connIdleMs":1500.0,"connectTimeoutMs":250.0},
              "contract":{"coldFrom":0.12,"coldMs":2000.0,"overloadFactor":4,"fallMs":2000.0,"answerSlackMs":20.0},
              "report":{"via":"inline","fields":["rps","cpu"]}}}
            """;
    private static final long POLL_INTERVAL_MS = 20;
    private static final long TIMEOUT_MS = 60_000;

    private final TrainingPeers peers = new TrainingPeers();
    private final Membership membership;
    private final Path config;
    private final InetSocketAddress listen;

    /** Creates a session that keeps its configuration file in the given folder. */
    TrainingSession(Membership membership, Path folder) throws IOException {
        this.membership = membership;
        config = folder.resolve("config-" + membership + ".json");
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            listen = (InetSocketAddress) socket.getLocalSocketAddress();
        }
        writeConfig(peers.firstDiscovery());
    }

    /** Returns the environment variables that the platform sets for the sidecar. */
    Map<String, String> environment() {
        Map<String, String> environment = new HashMap<>();
        environment.put("BALANCER_NAME", "n1");
        environment.put("BALANCER_LISTEN", address());
        environment.put("BALANCER_DISCOVERY", peers.firstDiscovery());
        environment.put("BALANCER_CONFIG", config.toString());
        return environment;
    }

    private String address() {
        return listen.getAddress().getHostAddress() + ":" + listen.getPort();
    }

    private void writeConfig(String discovery) throws IOException {
        Files.writeString(
                config, CONFIG.formatted(address(), discovery, membership.name().toLowerCase(Locale.ROOT)));
    }

    /** Waits until the sidecar reports readiness. */
    void awaitReady() throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (!isReady()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IOException("sidecar did not become ready in time");
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    private boolean isReady() {
        try (TrainingConnection connection =
                new TrainingConnection(new Socket(listen.getAddress(), listen.getPort()))) {
            connection.send("GET /ready HTTP/1.1\r\n\r\n");
            TrainingConnection.Message answer = connection.read();
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false; // not listening yet
        }
    }

    /** Runs the clients during and after the faults of discovery. Returns the statuses of all answers. */
    Set<Integer> runTraffic() throws IOException, InterruptedException, ExecutionException {
        Set<Integer> statuses = new TrainingTraffic(listen).runTraffic();
        peers.awaitSteadyWatch();
        statuses.addAll(new TrainingTraffic(listen).runTraffic());
        return statuses;
    }

    /**
     * Makes the process of the sidecar reload an invalid configuration and then one with the second discovery service.
     * The configuration file is replaced by named pipes, which block the writer until the sidecar reads.
     */
    void reload(long pid) throws IOException, InterruptedException {
        replaceConfigWithPipe();
        signal(pid, "HUP");
        try (OutputStream invalidConfig = Files.newOutputStream(config)) {
            replaceConfigWithPipe(); // for the next read; must exist before the current read ends
            invalidConfig.write("no configuration".getBytes(StandardCharsets.US_ASCII));
        }
        writeConfig(peers.secondDiscovery());
        if (!peers.awaitDiscoverySwitch(TIMEOUT_MS)) {
            throw new IOException("sidecar did not switch to the second discovery service");
        }
    }

    /** Replaces the configuration file with a named pipe. */
    private void replaceConfigWithPipe() throws IOException, InterruptedException {
        Path pipe = config.resolveSibling("pipe");
        runCommand("mkfifo " + pipe);
        Files.move(pipe, config, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Sends the named signal to a process. */
    static void signal(long pid, String name) throws IOException, InterruptedException {
        runCommand("kill -" + name + " " + pid);
    }

    private static void runCommand(String command) throws IOException, InterruptedException {
        int status = new ProcessBuilder("/bin/sh", "-c", command).start().waitFor();
        if (status != 0) {
            throw new IOException(command + " exited with status " + status);
        }
    }

    @Override
    public void close() throws IOException {
        peers.close();
    }
}
