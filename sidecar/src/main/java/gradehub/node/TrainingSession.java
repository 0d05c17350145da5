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
 * Takes one sidecar through all its paths on loopback, the troubled ones first of all: its peers, its environment and
 * its clients. The sidecar itself is started by whoever holds the session.
 */
final class TrainingSession implements Closeable {

    /** How a sidecar comes by the list of upstreams. */
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
    private static final long LOOK_MS = 20;
    private static final long READY_MS = 60_000;

    private final TrainingPeers peers = new TrainingPeers();
    private final Membership membership;
    private final Path config;
    private final InetSocketAddress listen;

    /** One whose files are in this folder. */
    TrainingSession(Membership membership, Path folder) throws IOException {
        this.membership = membership;
        config = folder.resolve("config-" + membership + ".json");
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            listen = (InetSocketAddress) free.getLocalSocketAddress();
        }
        writeConfig(peers.firstDiscovery());
    }

    /** What the platform tells the sidecar. */
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

    /** Waits until the sidecar says that it is ready. */
    void awaitReady() throws IOException, InterruptedException {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS);
        while (!isReady()) {
            if (System.nanoTime() > untilNanos) {
                throw new IOException("the sidecar did not become ready");
            }
            Thread.sleep(LOOK_MS);
        }
    }

    private boolean isReady() {
        try (TrainingConnection wire = new TrainingConnection(new Socket(listen.getAddress(), listen.getPort()))) {
            wire.send("GET /ready HTTP/1.1\r\n\r\n");
            TrainingConnection.Message answer = wire.read();
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false; // it does not listen yet
        }
    }

    /** Clients and discovery make trouble, and traffic goes on; returns the statuses of all answers. */
    Set<Integer> runTraffic() throws IOException, InterruptedException, ExecutionException {
        Set<Integer> statuses = new TrainingTraffic(listen).runTraffic();
        peers.awaitSteadyWatch();
        statuses.addAll(new TrainingTraffic(listen).runTraffic());
        return statuses;
    }

    /**
     * Sends the process that runs the sidecar a configuration of no use, and when it has read that, one with another
     * discovery. The files are named pipes, which hold the writer until the sidecar reads.
     */
    void reload(long pid) throws IOException, InterruptedException {
        placePipe();
        signal(pid, "HUP");
        try (OutputStream useless = Files.newOutputStream(config)) {
            placePipe(); // for the next read, before this one comes to its end
            useless.write("no configuration".getBytes(StandardCharsets.US_ASCII));
        }
        writeConfig(peers.secondDiscovery());
        if (!peers.awaitDiscoverySwitch(READY_MS)) {
            throw new IOException("the sidecar did not move to the other discovery");
        }
    }

    /** Puts a named pipe in the place of the configuration. */
    private void placePipe() throws IOException, InterruptedException {
        Path pipe = config.resolveSibling("pipe");
        run("mkfifo " + pipe);
        Files.move(pipe, config, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Sends a process a signal of this name. */
    static void signal(long pid, String name) throws IOException, InterruptedException {
        run("kill -" + name + " " + pid);
    }

    private static void run(String command) throws IOException, InterruptedException {
        int status = new ProcessBuilder("/bin/sh", "-c", command).start().waitFor();
        if (status != 0) {
            throw new IOException(command + " ended with status " + status);
        }
    }

    @Override
    public void close() throws IOException {
        peers.close();
    }
}
