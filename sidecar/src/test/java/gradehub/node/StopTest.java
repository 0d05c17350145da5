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

/** What SIGTERM begins: whatever a client has begun to ask is answered before the sidecar ends. */
class StopTest {

    private static final String READY = "GET /ready HTTP/1.1\r\n\r\n";

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
        stop = new Thread(() -> {
            try {
                fixture.sidecar().stop();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        stop.start();
    }

    private void ended() throws Exception {
        stop.join(RawConnection.TIMEOUT_MS);
        assertFalse(stop.isAlive());
    }

    private RawConnection ready() throws Exception {
        RawConnection client = fixture.client();
        assertEquals(200, client.send(READY).read().status());
        return client;
    }

    /** A connection that rests ends when the sidecar no longer takes requests on it: from then on it closes them. */
    private void awaitClosing(RawConnection resting) throws Exception {
        assertTrue(resting.awaitClose());
    }

    private void serve(String id) throws Exception {
        RawConnection up = SidecarFixture.accept(upstream);
        assertEquals(id, up.read().header("X-Txn"));
        up.send(SidecarFixture.answer("200 OK", id, "Connection: close"));
    }

    private static void assertLast(String id, RawConnection client) throws Exception {
        RawConnection.Message answer = client.read();
        assertEquals(id, answer.body());
        assertEquals("close", answer.header("Connection"));
        assertTrue(client.awaitClose());
    }

    /** Whoever has sent a part of a request goes on sending: a close then would lose what was taken meanwhile. */
    @Test
    void aRequestThatIsHalfReadIsReadToItsEndAndServed() throws Exception {
        start("active");
        String request = SidecarFixture.postRequest(SidecarFixture.requestId(1), "body");
        try (RawConnection client = ready();
                RawConnection resting = ready()) {
            client.send(request.substring(0, request.length() - 2));
            try (RawConnection later = ready()) {
                stop();
                awaitClosing(later);
            }
            awaitClosing(resting);
            client.send(request.substring(request.length() - 2));
            serve(SidecarFixture.requestId(1));
            assertLast(SidecarFixture.requestId(1), client);
        }
        ended();
    }

    /** The end of the sidecar does not wait for a request that never ends, but it does not break it off either. */
    @Test
    void aRequestThatStaysHalfReadIsAnsweredBeforeTheEnd() throws Exception {
        start("active");
        try (RawConnection client = ready()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "body")
                    .substring(0, 80));
            stop();
            assertEquals(408, client.read().status());
            assertTrue(client.awaitClose());
        }
        ended();
    }

    /** The request lies in the socket when the sidecar closes what is idle: it has not been read, but it is there. */
    @Test
    void aRequestThatCrossesTheCloseIsServed() throws Throwable {
        start("active");
        try (RawConnection client = ready()) {
            fixture.whileEventLoopBlocked(() -> {
                fixture.sidecar().loop().execute(fixture.sidecar()::endConnections);
                client.send(SidecarFixture.postRequest(
                        SidecarFixture.requestId(1), "x")); // the event loop has the close to do before it reads this
            });
            serve(SidecarFixture.requestId(1));
            assertLast(SidecarFixture.requestId(1), client);
        }
    }

    @Test
    void whatWaitsInTheQueueIsServedWhenAnUpstreamComes() throws Exception {
        start("leaving");
        try (RawConnection watch = fixture.acceptWatch();
                RawConnection client = ready();
                RawConnection resting = ready()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            fixture.awaitRequestsInFlight(1);
            stop();
            awaitClosing(resting);
            watch.send(SidecarFixture.chunk(SidecarFixture.list(
                    2, false, SidecarFixture.member("u1", SidecarFixture.address(upstream), "active"))));
            serve(SidecarFixture.requestId(1));
            assertLast(SidecarFixture.requestId(1), client);
        }
        ended();
    }

    @Test
    void requestsOnNewAndOnKeptConnectionsAreServedMeanwhile() throws Exception {
        start("active");
        try (RawConnection kept = ready();
                RawConnection inFlight = ready()) {
            inFlight.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            stop();
            kept.send(SidecarFixture.getRequest(SidecarFixture.requestId(2)));
            serve(SidecarFixture.requestId(2));
            assertEquals(SidecarFixture.requestId(2), kept.read().body());
            try (RawConnection added = fixture.client()) {
                added.send(SidecarFixture.getRequest(SidecarFixture.requestId(3)));
                serve(SidecarFixture.requestId(3));
                assertEquals(SidecarFixture.requestId(3), added.read().body());
                awaitClosing(added);
            }
            awaitClosing(kept);
            up.send(SidecarFixture.answer("200 OK", SidecarFixture.requestId(1)));
            assertLast(SidecarFixture.requestId(1), inFlight);
        }
        ended();
    }

    /** SIGTERM may come as soon as the program runs: what comes through the listener after that is answered. */
    @Test
    void aStopThatComesBeforeItListensIsNoOtherThanALaterOne() throws Exception {
        Config config = Config.parse(fixture.config(
                SidecarFixture.list(1, true, SidecarFixture.member("u1", SidecarFixture.address(upstream), "active"))));
        Sidecar sidecar = Sidecar.create(config);
        CompletableFuture<Void> stopped = CompletableFuture.runAsync(() -> {
            try {
                sidecar.stop();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        stopped.get(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertTrue(sidecar.loop().isShuttingDown(), "it has ended without having listened");
    }
}
