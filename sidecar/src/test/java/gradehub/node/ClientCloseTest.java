package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The sidecar closes a client connection while a request arrives that a blocked event loop reads late. */
class ClientCloseTest {

    private static final String READY = "GET /ready HTTP/1.1\r\n\r\n";
    private static final int REQUEST_MS = 2200; // the limit for receiving a request
    private static final int IDLE_MS = 2000; // the idle limit when sockets run short

    private SidecarFixture fixture;
    private ServerSocket upstream;

    @BeforeEach
    void open() throws Exception {
        fixture = new SidecarFixture();
        upstream = fixture.listener();
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private void start(int sockets) throws Exception {
        fixture.start(SidecarFixture.listOf(SidecarFixture.address(upstream)), sockets);
    }

    private RawConnection ready() throws Exception {
        RawConnection client = fixture.client();
        assertEquals(200, client.send(READY).read().status());
        return client;
    }

    private void assertServed(String id, RawConnection client) throws Exception {
        RawConnection up = SidecarFixture.accept(upstream);
        assertEquals(id, up.read().header("X-Txn"));
        up.send(SidecarFixture.answer("200 OK", id, "Connection: close"));
        assertEquals(id, client.read().body());
    }

    private static void spin(long ms) {
        long startNanos = System.nanoTime();
        while (System.nanoTime() - startNanos < TimeUnit.MILLISECONDS.toNanos(ms)) {
            Thread.onSpinWait();
        }
    }

    /** Runs the check for overdue connections before the input that has arrived meanwhile is read. */
    private void closeOverdueAfter(long ms, RawConnection client, String request) throws Throwable {
        fixture.whileEventLoopBlocked(() -> {
            spin(ms);
            fixture.sidecar().loop().execute(fixture.sidecar()::checkClients);
            client.send(request);
        });
    }

    @Test
    void completeRequestIsNotRejectedAsSlow() throws Throwable {
        start(1024);
        String request = SidecarFixture.postRequest(SidecarFixture.requestId(1), "body");
        try (RawConnection client = fixture.client();
                RawConnection later = fixture.client()) {
            client.send(request.substring(0, request.length() - 2));
            later.send(READY).read(); // the first part has been read by now
            closeOverdueAfter(REQUEST_MS + 100, client, request.substring(request.length() - 2));
            assertServed(SidecarFixture.requestId(1), client);
        }
    }

    @Test
    void connectionWithUnreadRequestIsNotTreatedAsSilent() throws Throwable {
        start(1024);
        try (RawConnection client = fixture.client()) {
            fixture.awaitOnEventLoop(() -> fixture.sidecar().clients() == 1);
            closeOverdueAfter(REQUEST_MS + 100, client, SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            assertServed(SidecarFixture.requestId(1), client);
        }
    }

    /** Sockets are always short here: fewer than those kept free for new connections. */
    @Test
    void idleConnectionWithUnreadRequestIsNotClosed() throws Throwable {
        start(SocketBudget.RESERVED_DESCRIPTORS + 16);
        try (RawConnection client = ready()) {
            closeOverdueAfter(IDLE_MS + 100, client, SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            assertServed(SidecarFixture.requestId(1), client);
        }
    }

    /** A new connection is about to send a request, so shutdown must not treat it as idle too early. */
    @Test
    void newConnectionIsNotClosedBeforeItsRequestArrives() throws Throwable {
        start(1024);
        try (RawConnection client = fixture.client()) {
            fixture.whileEventLoopBlocked(() -> {
                fixture.sidecar().loop().execute(fixture.sidecar()::endConnections);
                fixture.sidecar().loop().execute(() -> sendRequest(client));
            });
            assertServed(SidecarFixture.requestId(1), client);
        }
    }

    private static void sendRequest(RawConnection client) {
        try {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** The backlog holds connections with complete requests, which closing the listener would reset. */
    @Test
    void pendingConnectionsAreServedWhenTheListenerCloses() throws Throwable {
        start(1024);
        ready().close();
        RawConnection[] clients = new RawConnection[3];
        fixture.whileEventLoopBlocked(() -> {
            fixture.sidecar().loop().execute(fixture.sidecar()::stopListening);
            for (int i = 0; i < clients.length; i++) {
                clients[i] = fixture.client().send(SidecarFixture.postRequest(SidecarFixture.requestId(i + 1), "x"));
            }
        });
        for (int i = 0; i < clients.length; i++) {
            RawConnection up = SidecarFixture.accept(upstream);
            String id = up.read().header("X-Txn");
            up.send(SidecarFixture.answer("200 OK", id, "Connection: close"));
        }
        for (int i = 0; i < clients.length; i++) {
            assertEquals(SidecarFixture.requestId(i + 1), clients[i].read().body());
            clients[i].close();
        }
    }

    /** Output is shut down before the close, so that what the client still sends is read rather than reset. */
    @Test
    void idleConnectionShutsDownOutputBeforeClosing() throws Throwable {
        start(1024);
        CompletableFuture<Integer> open = new CompletableFuture<>();
        try (RawConnection client = ready()) {
            fixture.whileEventLoopBlocked(() -> {
                fixture.sidecar().loop().execute(fixture.sidecar()::endConnections);
                // A close is reported by a separate task; the count is taken after it.
                fixture.sidecar()
                        .loop()
                        .execute(() -> fixture.sidecar()
                                .loop()
                                .execute(() -> open.complete(fixture.sidecar().clients())));
            });
            assertTrue(client.awaitClose());
        }
        assertEquals(1, open.get(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        fixture.awaitOnEventLoop(() -> fixture.sidecar().clients() == 0);
    }
}
