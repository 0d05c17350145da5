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

    private Rig rig;
    private ServerSocket upstream;
    private Thread stop;

    @BeforeEach
    void open() throws Exception {
        rig = new Rig();
        upstream = rig.listener();
    }

    @AfterEach
    void close() throws Exception {
        rig.close();
    }

    private void start(String phase) throws Exception {
        rig.start(Rig.list(1, true, Rig.member("u1", Rig.address(upstream), phase)));
    }

    private void stop() {
        stop = new Thread(() -> {
            try {
                rig.sidecar().stop();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        stop.start();
    }

    private void ended() throws Exception {
        stop.join(Wire.PATIENCE_MS);
        assertFalse(stop.isAlive());
    }

    private Wire ready() throws Exception {
        Wire client = rig.client();
        assertEquals(200, client.send(READY).read().status());
        return client;
    }

    /** A connection that rests ends when the sidecar no longer takes requests on it: from then on it closes them. */
    private void awaitClosing(Wire resting) throws Exception {
        assertTrue(resting.ends());
    }

    private void serve(String id) throws Exception {
        Wire up = Rig.accept(upstream);
        assertEquals(id, up.read().header("X-Txn"));
        up.send(Rig.answer("200 OK", id, "Connection: close"));
    }

    private static void assertLast(String id, Wire client) throws Exception {
        Wire.Message answer = client.read();
        assertEquals(id, answer.body());
        assertEquals("close", answer.header("Connection"));
        assertTrue(client.ends());
    }

    /** Whoever has sent a part of a request goes on sending: a close then would lose what was taken meanwhile. */
    @Test
    void aRequestThatIsHalfReadIsReadToItsEndAndServed() throws Exception {
        start("active");
        String request = Rig.post(Rig.id(1), "body");
        try (Wire client = ready();
                Wire resting = ready()) {
            client.send(request.substring(0, request.length() - 2));
            try (Wire later = ready()) {
                stop();
                awaitClosing(later);
            }
            awaitClosing(resting);
            client.send(request.substring(request.length() - 2));
            serve(Rig.id(1));
            assertLast(Rig.id(1), client);
        }
        ended();
    }

    /** The end of the sidecar does not wait for a request that never ends, but it does not break it off either. */
    @Test
    void aRequestThatStaysHalfReadIsAnsweredBeforeTheEnd() throws Exception {
        start("active");
        try (Wire client = ready()) {
            client.send(Rig.post(Rig.id(1), "body").substring(0, 80));
            stop();
            assertEquals(408, client.read().status());
            assertTrue(client.ends());
        }
        ended();
    }

    /** The request lies in the socket when the sidecar closes what is idle: it has not been read, but it is there. */
    @Test
    void aRequestThatCrossesTheCloseIsServed() throws Throwable {
        start("active");
        try (Wire client = ready()) {
            rig.whileHeld(() -> {
                rig.sidecar().loop().execute(rig.sidecar()::endConnections);
                client.send(Rig.post(Rig.id(1), "x")); // the event loop has the close to do before it reads this
            });
            serve(Rig.id(1));
            assertLast(Rig.id(1), client);
        }
    }

    @Test
    void whatWaitsInTheQueueIsServedWhenAnUpstreamComes() throws Exception {
        start("leaving");
        try (Wire watch = rig.watch();
                Wire client = ready();
                Wire resting = ready()) {
            client.send(Rig.post(Rig.id(1), "x"));
            rig.awaitInHand(1);
            stop();
            awaitClosing(resting);
            watch.send(Rig.chunk(Rig.list(2, false, Rig.member("u1", Rig.address(upstream), "active"))));
            serve(Rig.id(1));
            assertLast(Rig.id(1), client);
        }
        ended();
    }

    @Test
    void requestsOnNewAndOnKeptConnectionsAreServedMeanwhile() throws Exception {
        start("active");
        try (Wire kept = ready();
                Wire inFlight = ready()) {
            inFlight.send(Rig.post(Rig.id(1), "x"));
            Wire up = Rig.accept(upstream);
            up.read();
            stop();
            kept.send(Rig.get(Rig.id(2)));
            serve(Rig.id(2));
            assertEquals(Rig.id(2), kept.read().body());
            try (Wire added = rig.client()) {
                added.send(Rig.get(Rig.id(3)));
                serve(Rig.id(3));
                assertEquals(Rig.id(3), added.read().body());
                awaitClosing(added);
            }
            awaitClosing(kept);
            up.send(Rig.answer("200 OK", Rig.id(1)));
            assertLast(Rig.id(1), inFlight);
        }
        ended();
    }

    /** SIGTERM may come as soon as the program runs: what comes through the listener after that is answered. */
    @Test
    void aStopThatComesBeforeItListensIsNoOtherThanALaterOne() throws Exception {
        Config config = Config.of(rig.config(Rig.list(1, true, Rig.member("u1", Rig.address(upstream), "active"))));
        Sidecar sidecar = Sidecar.create(config);
        CompletableFuture<Void> stopped = CompletableFuture.runAsync(() -> {
            try {
                sidecar.stop();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        stopped.get(Wire.PATIENCE_MS, TimeUnit.MILLISECONDS);
        assertTrue(sidecar.loop().isShuttingDown(), "it has ended without having listened");
    }
}
