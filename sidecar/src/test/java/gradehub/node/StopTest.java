package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the shutdown after SIGTERM: every request that a client has begun to send is answered first. */
class StopTest {

    private static final String READY_REQUEST = "GET /ready HTTP/1.1\r\n\r\n";

    private SidecarFixture fixture;
    private ServerSocket upstream;
    private Thread stop;

    @BeforeEach
    void open() throws Exception {
        fixture = new SidecarFixture();
        upstream = fixture.listener();
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private void start(String phase) throws Exception {
        fixture.start(
                SidecarFixture.list(1, true, SidecarFixture.member("u1", SidecarFixture.address(upstream), phase)));
    }

    private void stop() {
        stop = fixture.stopInBackground();
    }

    private void awaitStopped() throws Exception {
        stop.join(RawConnection.TIMEOUT_MS);
        assertFalse(stop.isAlive());
    }

    private RawConnection connectReady() throws Exception {
        RawConnection client = fixture.client();
        assertEquals(200, client.send(READY_REQUEST).read().status());
        return client;
    }

    /** Waits until the sidecar closes an idle connection, which it does once it closes connections on shutdown. */
    private void awaitIdleClose(RawConnection idle) throws Exception {
        assertTrue(idle.awaitClose());
    }

    private void answerUpstream(String id) throws Exception {
        RawConnection connection = SidecarFixture.accept(upstream);
        assertEquals(id, connection.read().header("X-Txn"));
        connection.send(SidecarFixture.answer("200 OK", id, "Connection: close"));
    }

    private static void assertLastAnswer(String id, RawConnection client) throws Exception {
        RawConnection.Message answer = client.read();
        assertEquals(id, answer.body());
        assertEquals("close", answer.header("Connection"));
        assertTrue(client.awaitClose());
    }

    /** Guards against closing a connection while the client is still sending a request, which would lose the request. */
    @Test
    void partlyReadRequestIsReadCompletelyAndAnswered() throws Exception {
        start("active");
        String request = SidecarFixture.postRequest(SidecarFixture.requestId(1), "body");
        try (RawConnection client = connectReady();
                RawConnection idle = connectReady()) {
            client.send(request.substring(0, request.length() - 2));
            try (RawConnection last = connectReady()) {
                stop();
                awaitIdleClose(last);
            }
            awaitIdleClose(idle);
            client.send(request.substring(request.length() - 2));
            answerUpstream(SidecarFixture.requestId(1));
            assertLastAnswer(SidecarFixture.requestId(1), client);
        }
        awaitStopped();
    }

    /** The shutdown does not wait for a request that never becomes complete, but answers it before closing. */
    @Test
    void incompleteRequestIsAnsweredWith408BeforeTheShutdown() throws Exception {
        start("active");
        try (RawConnection client = connectReady()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "body")
                    .substring(0, 80));
            stop();
            assertEquals(408, client.read().status());
            assertTrue(client.awaitClose());
        }
        awaitStopped();
    }

    /** Guards against losing a request that is in the socket buffer, not yet read, when idle connections are closed. */
    @Test
    void requestThatArrivesDuringTheCloseIsAnswered() throws Throwable {
        start("active");
        try (RawConnection client = connectReady()) {
            fixture.whileEventLoopBlocked(() -> {
                fixture.sidecar().loop().execute(fixture.sidecar()::endConnections);
                // The event loop runs the close before it reads this.
                client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            });
            answerUpstream(SidecarFixture.requestId(1));
            assertLastAnswer(SidecarFixture.requestId(1), client);
        }
    }

    @Test
    void queuedRequestIsAnsweredWhenAnUpstreamAppears() throws Exception {
        start("leaving");
        try (RawConnection watch = fixture.acceptWatch();
                RawConnection client = connectReady();
                RawConnection idle = connectReady()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            fixture.awaitRequestsInFlight(1);
            stop();
            awaitIdleClose(idle);
            watch.send(SidecarFixture.chunk(SidecarFixture.list(
                    2, false, SidecarFixture.member("u1", SidecarFixture.address(upstream), "active"))));
            answerUpstream(SidecarFixture.requestId(1));
            assertLastAnswer(SidecarFixture.requestId(1), client);
        }
        awaitStopped();
    }

    @Test
    void requestsOnNewAndExistingConnectionsAreAnsweredDuringTheShutdown() throws Exception {
        start("active");
        try (RawConnection existing = connectReady();
                RawConnection inFlight = connectReady()) {
            inFlight.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            RawConnection connection = SidecarFixture.accept(upstream);
            connection.read();
            stop();
            existing.send(SidecarFixture.getRequest(SidecarFixture.requestId(2)));
            answerUpstream(SidecarFixture.requestId(2));
            assertEquals(SidecarFixture.requestId(2), existing.read().body());
            try (RawConnection added = fixture.client()) {
                added.send(SidecarFixture.getRequest(SidecarFixture.requestId(3)));
                answerUpstream(SidecarFixture.requestId(3));
                assertEquals(SidecarFixture.requestId(3), added.read().body());
                awaitIdleClose(added);
            }
            awaitIdleClose(existing);
            connection.send(SidecarFixture.answer("200 OK", SidecarFixture.requestId(1)));
            assertLastAnswer(SidecarFixture.requestId(1), inFlight);
        }
        awaitStopped();
    }

    /** SIGTERM may arrive before the sidecar listens; the shutdown is the same, so later requests are answered too. */
    @Test
    void stopBeforeListeningShutsDown() throws Exception {
        Config config = Config.parse(fixture.config(SidecarFixture.listOf(SidecarFixture.address(upstream))));
        Sidecar sidecar = Sidecar.create(config);
        CompletableFuture<Void> stopped = CompletableFuture.runAsync(() -> {
            try {
                sidecar.stop();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        stopped.get(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertTrue(sidecar.loop().isShuttingDown(), "the event loop is not shutting down");
    }
}
