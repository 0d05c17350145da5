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

/** A client's connection that the sidecar ends just as a request comes, read late because the event loop is held. */
class ClientCloseTest {

    private static final String READY = "GET /ready HTTP/1.1\r\n\r\n";
    private static final int REQUEST_MS = 2200; // more than a request's bytes are waited for
    private static final int REST_MS = 2000; // more than a connection may rest where room is short

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
        fixture.start(
                SidecarFixture.list(1, true, SidecarFixture.member("u1", SidecarFixture.address(upstream), "active")),
                sockets);
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

    private static void pass(long ms) {
        long startNanos = System.nanoTime();
        while (System.nanoTime() - startNanos < TimeUnit.MILLISECONDS.toNanos(ms)) {
            Thread.onSpinWait();
        }
    }

    /** The look at what is overdue comes before the read of what has come meanwhile. */
    private void lookAfter(long ms, RawConnection client, String request) throws Throwable {
        fixture.whileEventLoopBlocked(() -> {
            pass(ms);
            fixture.sidecar().loop().execute(fixture.sidecar()::closeOverdueClients);
            client.send(request);
        });
    }

    @Test
    void aRequestThatHasComeWholeIsNotTurnedDownAsSlow() throws Throwable {
        start(1024);
        String request = SidecarFixture.postRequest(SidecarFixture.requestId(1), "body");
        try (RawConnection client = fixture.client();
                RawConnection later = fixture.client()) {
            client.send(request.substring(0, request.length() - 2));
            later.send(READY).read(); // by now the first part has been read
            lookAfter(REQUEST_MS + 100, client, request.substring(request.length() - 2));
            assertServed(SidecarFixture.requestId(1), client);
        }
    }

    @Test
    void aConnectionWithAnUnreadRequestIsNotTakenForSilent() throws Throwable {
        start(1024);
        try (RawConnection client = fixture.client()) {
            fixture.awaitOnEventLoop(() -> fixture.sidecar().clients() == 1);
            lookAfter(REQUEST_MS + 100, client, SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            assertServed(SidecarFixture.requestId(1), client);
        }
    }

    /** Room is always short here: less than what is kept free for those that come. */
    @Test
    void aRestingConnectionWithAnUnreadRequestMakesNoRoom() throws Throwable {
        start(SocketBudget.RESERVED_DESCRIPTORS + 16);
        try (RawConnection client = ready()) {
            lookAfter(REST_MS + 100, client, SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            assertServed(SidecarFixture.requestId(1), client);
        }
    }

    /** Whoever has just connected is about to ask: the sidecar ends, and takes nothing for an idle one too early. */
    @Test
    void aNewConnectionIsNotEndedBeforeItsRequestComes() throws Throwable {
        start(1024);
        try (RawConnection client = fixture.client()) {
            fixture.whileEventLoopBlocked(() -> {
                fixture.sidecar().loop().execute(fixture.sidecar()::endConnections);
                fixture.sidecar().loop().execute(() -> sendsItself(client));
            });
            assertServed(SidecarFixture.requestId(1), client);
        }
    }

    private static void sendsItself(RawConnection client) {
        try {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** In its backlog lie connections with whole requests: to close it would reset them. */
    @Test
    void whoWaitsAsTheListenerClosesIsServed() throws Throwable {
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

    /** The client hears of the end before its connection is closed: what it sends meanwhile is read, not reset. */
    @Test
    void anIdleConnectionIsShutBeforeItIsClosed() throws Throwable {
        start(1024);
        CompletableFuture<Integer> open = new CompletableFuture<>();
        try (RawConnection client = ready()) {
            fixture.whileEventLoopBlocked(() -> {
                fixture.sidecar().loop().execute(fixture.sidecar()::endConnections);
                // A close is told of by a task of its own: the count comes behind that.
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
