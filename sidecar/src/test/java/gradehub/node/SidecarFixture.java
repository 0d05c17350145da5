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

/** Runs a sidecar on loopback, with listeners on which the test acts as the upstreams and as discovery. */
final class SidecarFixture implements AutoCloseable {

    static final String SAFE_CLASS = "window-read";
    static final String UNSAFE_CLASS = "event-submit";

    private static final int FIRST_REQUESTS = 40;
    /** Above the identifiers that tests use. */
    private static final int FIRST_REQUEST_ID = 1 << 20;

    private static final String WATCH_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
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

    /** Returns an address on which nothing listens. */
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

    /** Returns a full list with a single upstream, ready at this address. */
    static String listOf(String address) {
        return list(1, true, member("u1", address, "active"));
    }

    /** Returns a configuration for this fixture; {@code known} may be null. */
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

    /** Starts the sidecar with {@code sockets} as its descriptor limit. */
    SidecarFixture start(String known, int sockets) throws Exception {
        ObjectNode config = config(known);
        config.withObject("/limits").put("sockets", sockets);
        sidecar = Sidecar.start(Config.parse(config));
        return this;
    }

    /** Starts the sidecar with one setting replaced; both arguments are fragments of {@link #SETTINGS}. */
    SidecarFixture startWithSetting(String known, String setting, String replacement) throws Exception {
        assertTrue(SETTINGS.contains(setting), setting);
        ObjectNode config = config(known);
        config.set("settings", Config.JSON.readTree(SETTINGS.replace(setting, replacement)));
        sidecar = Sidecar.start(Config.parse(config));
        return this;
    }

    /** Starts the sidecar with a custom factory for the channels of outgoing connections. */
    SidecarFixture start(String known, Supplier<ReadAheadChannel> channelFactory) throws Exception {
        Config config = Config.parse(config(known));
        sidecar = Sidecar.create(config, channelFactory);
        sidecar.listen(config);
        return this;
    }

    /** Runs an action while the event loop is blocked, as it is when the process gets no CPU time. */
    void whileEventLoopBlocked(Executable action) throws Throwable {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch released = new CountDownLatch(1);
        sidecar.loop().execute(() -> {
            blocked.countDown();
            try {
                released.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        blocked.await();
        try {
            action.execute();
        } finally {
            released.countDown();
        }
    }

    /** An upstream listener with a full backlog: connection attempts stay pending until the backlog is drained. */
    static final class FullBacklogListener implements AutoCloseable {
        private static final int BACKLOG_CONNECTIONS = 2; // Linux queues one connection more than a backlog of 1
        private final List<Socket> fillers = new ArrayList<>();
        final ServerSocket listener;

        FullBacklogListener() throws IOException {
            listener = new ServerSocket(0, BACKLOG_CONNECTIONS - 1, RawConnection.loopback());
            listener.setSoTimeout(RawConnection.TIMEOUT_MS);
            for (int i = 0; i < BACKLOG_CONNECTIONS; i++) {
                fillers.add(new Socket(RawConnection.loopback(), listener.getLocalPort()));
            }
        }

        /** Drains the backlog and accepts the connection that was pending. */
        RawConnection drainAndAccept() throws IOException {
            for (int i = 0; i < BACKLOG_CONNECTIONS; i++) {
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

    int requestsInFlight() throws Exception {
        return sidecar.loop().submit(sidecar.engine()::requestsInFlight).get();
    }

    /** Waits until the sidecar has exactly this many requests in flight. */
    void awaitRequestsInFlight(int requests) throws Exception {
        awaitOnEventLoop(() -> sidecar.engine().requestsInFlight() == requests);
    }

    /** Returns how many requests have had this event. */
    long countOf(RequestLog.Event event) throws Exception {
        return sidecar.loop()
                .submit(() -> sidecar.engine().requestLog().count(event))
                .get();
    }

    /** Waits until idle upstream connections may be reused. */
    void awaitIdleUpstreams() throws Exception {
        awaitOnEventLoop(() -> sidecar.engine().canReuseIdleConnections());
    }

    /** Waits until the condition, evaluated on the event loop, is true. */
    void awaitOnEventLoop(Callable<Boolean> condition) throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RawConnection.TIMEOUT_MS);
        while (!sidecar.loop().submit(condition).get()) {
            assertTrue(System.nanoTime() < deadlineNanos, "timed out waiting for the condition");
            Thread.onSpinWait();
        }
    }

    Sidecar sidecar() {
        return sidecar;
    }

    /** Shuts the sidecar down as SIGTERM does, on a thread that ends with the shutdown. */
    Thread stopInBackground() {
        Thread stop = new Thread(() -> {
            try {
                sidecar.stop();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        stop.start();
        return stop;
    }

    RawConnection client() throws IOException {
        return RawConnection.connect((InetSocketAddress) sidecar.address());
    }

    /** Asserts that a request with this number reaches this upstream and that its answer reaches the client. */
    void assertServed(int number, ServerSocket upstream) throws IOException {
        try (RawConnection client = client()) {
            client.send(postRequest(requestId(number), "x"));
            RawConnection connection = accept(upstream);
            assertEquals(requestId(number), connection.read().header("X-Txn"));
            connection.send(answer("200 OK", "", "Connection: close"));
            assertEquals(200, client.read().status());
        }
    }

    /** Sends requests with much time: the sidecar refuses those with little until it knows the latency of their class. */
    void learnLatency() throws IOException {
        try (RawConnection client = client()) {
            for (int i = 0; i < FIRST_REQUESTS; i++) {
                client.send(getRequest(requestId(FIRST_REQUEST_ID + i)));
                assertEquals(200, client.read().status());
            }
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

    /** A GET request whose client waits for {@code remainingMs}. */
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

    /** Accepts the watch and sends the answer headers; the lines of the list follow as chunks. */
    RawConnection acceptWatch() throws IOException {
        RawConnection watch = accept(discovery);
        watch.read();
        return watch.send(WATCH_HEAD);
    }

    /** Returns the answer to a watch up to the end of this line. */
    static String watchAnswer(String line) {
        return WATCH_HEAD + chunk(line);
    }

    static String chunk(String line) {
        return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
    }

    /** Waits until the event loop has terminated: it could otherwise connect to ports that the next fixture gets. */
    @Override
    public void close() throws IOException {
        if (sidecar != null) {
            sidecar.halt();
            boolean terminated = sidecar.loop().terminationFuture().awaitUninterruptibly(RawConnection.TIMEOUT_MS);
            assertTrue(terminated, "the event loop did not terminate");
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
    }
}
