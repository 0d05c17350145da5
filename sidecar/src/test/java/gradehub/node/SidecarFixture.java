package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.function.Executable;

/** A sidecar on loopback with listeners for its upstreams and for discovery, which the test itself plays. */
final class SidecarFixture implements AutoCloseable {

    static final String SAFE_CLASS = "window-read";
    static final String UNSAFE_CLASS = "event-submit";

    private static final String SETTINGS = """
            {"instances":1,"tickMs":5.0,"membershipMode":"push","failureDomains":["a","b"],"kinds":["k"],
             "lanes":[
              {"name":"window-read","aimMs":20000,"hardLimitMs":60000,"idempotency":"retryable","group":"all"},
              {"name":"event-submit","aimMs":20000,"hardLimitMs":60000,"idempotency":"fragile","group":"all",
               "worth":10}],
             "limits":{"maxAttempts":6,"cancel":true,"secondCopies":true,"retryAfter":true,"maxRetryAfterMs":2000.0,
              "connIdleMs":60000.0,"connectTimeoutMs":5000.0},
             "contract":{"coldFrom":0.12,"coldMs":22000.0,"overloadFactor":2.5,"fallMs":2000.0,"answerSlackMs":20.0},
             "report":{"via":"inline","fields":["rps","cpu","err_rps"]}}
            """;

    private final List<ServerSocket> sockets = new ArrayList<>();
    final ServerSocket discovery;
    private Sidecar sidecar;

    SidecarFixture() throws IOException {
        discovery = listener();
    }

    ServerSocket listener() throws IOException {
        ServerSocket socket = new ServerSocket(0, 50, RawConnection.loopback());
        socket.setSoTimeout(RawConnection.TIMEOUT_MS);
        sockets.add(socket);
        return socket;
    }

    static String address(ServerSocket socket) {
        return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
    }

    /** An address on which nothing listens. */
    String unusedAddress() throws IOException {
        ServerSocket socket = listener();
        socket.close();
        return address(socket);
    }

    static String member(String id, String address, String phase) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"" + address + "\",\"locality\":\"a\",\"flavor\":\"k\","
                + "\"cell\":1,\"phase\":\"" + phase + "\",\"size\":1.0,\"up_since_ms\":0}";
    }

    static String list(int revision, boolean complete, String... members) {
        return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":[" + String.join(",", members)
                + "]}";
    }

    /** A configuration for this fixture; {@code known} may be null. */
    ObjectNode config(String known) throws IOException {
        ObjectNode root = Config.JSON.createObjectNode();
        root.put("name", "n0")
                .put("listen", "127.0.0.1:0")
                .put("discovery", address(discovery))
                .put("seed", "8c1f30d27a5be964");
        root.putObject("limits").put("sockets", 1024).put("unheard_of", true);
        root.set("settings", Config.JSON.readTree(SETTINGS));
        if (known != null) {
            root.set("known", Config.JSON.readTree(known));
        }
        return root;
    }

    SidecarFixture start(String known) throws Exception {
        sidecar = Sidecar.start(Config.parse(config(known)));
        return this;
    }

    /** The same with this many descriptors to use. */
    SidecarFixture start(String known, int sockets) throws Exception {
        ObjectNode config = config(known);
        config.withObject("/limits").put("sockets", sockets);
        sidecar = Sidecar.start(Config.parse(config));
        return this;
    }

    /** The same with the value of one setting replaced; both as they stand in the settings' text. */
    SidecarFixture startWithSetting(String known, String setting, String replaced) throws Exception {
        assertTrue(SETTINGS.contains(setting), setting);
        ObjectNode config = config(known);
        config.set("settings", Config.JSON.readTree(SETTINGS.replace(setting, replaced)));
        sidecar = Sidecar.start(Config.parse(config));
        return this;
    }

    /** The same with another source of sockets to connect with. */
    SidecarFixture start(String known, Supplier<LookingChannel> opened) throws Exception {
        Config config = Config.parse(config(known));
        sidecar = Sidecar.create(config, opened);
        sidecar.listen(config);
        return this;
    }

    /** Does something while the event loop is held, as a shortage of processor time holds it. */
    void whileEventLoopBlocked(Executable action) throws Throwable {
        CountDownLatch holds = new CountDownLatch(1);
        CountDownLatch released = new CountDownLatch(1);
        sidecar.loop().execute(() -> {
            holds.countDown();
            try {
                released.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        holds.await();
        try {
            action.execute();
        } finally {
            released.countDown();
        }
    }

    /** An upstream's listener that lets nobody in until it is opened: who connects meanwhile waits. */
    static final class FullBacklogListener implements AutoCloseable {
        private static final int SLOTS = 2; // a backlog of one has room for two
        private final List<Socket> fillers = new ArrayList<>();
        final ServerSocket listener;

        FullBacklogListener() throws IOException {
            listener = new ServerSocket(0, SLOTS - 1, RawConnection.loopback());
            listener.setSoTimeout(RawConnection.TIMEOUT_MS);
            for (int i = 0; i < SLOTS; i++) {
                fillers.add(new Socket(RawConnection.loopback(), listener.getLocalPort()));
            }
        }

        /** Lets in who has waited. */
        RawConnection drainAndAccept() throws IOException {
            for (int i = 0; i < SLOTS; i++) {
                listener.accept().close();
            }
            return accept(listener);
        }

        @Override
        public void close() throws IOException {
            for (Socket filler : fillers) {
                filler.close();
            }
            listener.close();
        }
    }

    /** Waits until so many requests are in the sidecar's hand. */
    void awaitRequestsInFlight(int requests) throws Exception {
        awaitOnEventLoop(() -> sidecar.engine().inHand() == requests);
    }

    /** Waits until idle connections to upstreams can be used again. */
    void awaitIdleUpstreams() throws Exception {
        awaitOnEventLoop(() -> sidecar.engine().upstreamsHaveRested());
    }

    /** Waits until this holds, looked at on the event loop. */
    void awaitOnEventLoop(Callable<Boolean> condition) throws Exception {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RawConnection.TIMEOUT_MS);
        while (!sidecar.loop().submit(condition).get()) {
            assertTrue(System.nanoTime() < untilNanos, "it never came to that");
            Thread.onSpinWait();
        }
    }

    Sidecar sidecar() {
        return sidecar;
    }

    RawConnection client() throws IOException {
        return RawConnection.connect((InetSocketAddress) sidecar.address());
    }

    /** A request of this number goes to this upstream, and what that answers comes back. */
    void assertServed(int number, ServerSocket upstream) throws IOException {
        try (RawConnection client = client()) {
            client.send(postRequest(requestId(number), "x"));
            RawConnection up = accept(upstream);
            assertEquals(requestId(number), up.read().header("X-Txn"));
            up.send(answer("200 OK", "", "Connection: close"));
            assertEquals(200, client.read().status());
        }
    }

    static RawConnection accept(ServerSocket socket) throws IOException {
        return new RawConnection(socket.accept());
    }

    static String requestId(int number) {
        return String.format("%016x", number);
    }

    static String getRequest(String id) {
        return getRequest(id, 30_000);
    }

    /** From a client that waits for so long. */
    static String getRequest(String id, int remainingMs) {
        return "GET /" + SAFE_CLASS + "/x?y=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: " + id + "\r\nX-Lane: "
                + SAFE_CLASS + "\r\nX-Remaining-Ms: " + remainingMs + "\r\n\r\n";
    }

    static String postRequest(String id, String body) {
        return "POST /" + UNSAFE_CLASS + " HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: " + id + "\r\nX-Lane: " + UNSAFE_CLASS
                + "\r\nX-Remaining-Ms: 30000\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static String answer(String status, String body, String... headers) {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n"
                + (headers.length == 0 ? "" : String.join("\r\n", headers) + "\r\n") + "\r\n" + body;
    }

    /** Opens the watch and says so; lines go out as chunks. */
    RawConnection acceptWatch() throws IOException {
        RawConnection watch = accept(discovery);
        watch.read();
        return watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    static String chunk(String line) {
        return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
    }

    /** Waits for the sidecar's end: it would go on calling ports that the next fixture may be given. */
    @Override
    public void close() throws IOException {
        if (sidecar != null) {
            sidecar.halt();
            boolean ended = sidecar.loop().terminationFuture().awaitUninterruptibly(RawConnection.TIMEOUT_MS);
            assertTrue(ended, "the sidecar goes on");
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
    }
}
