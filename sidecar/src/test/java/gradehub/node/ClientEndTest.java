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
class ClientEndTest {

    private static final String READY = "GET /ready HTTP/1.1\r\n\r\n";
    private static final int REQUEST_MS = 2200; // more than a request's bytes are waited for
    private static final int REST_MS = 2000; // more than a connection may rest where room is short

    private Rig rig;
    private ServerSocket upstream;

    @BeforeEach
    void open() throws Exception {
        rig = new Rig();
        upstream = rig.listener();
    }

    @AfterEach
    void close() throws Exception {
        rig.close();
    }

    private void start(int sockets) throws Exception {
        rig.start(Rig.list(1, true, Rig.member("u1", Rig.address(upstream), "active")), sockets);
    }

    private Wire ready() throws Exception {
        Wire client = rig.client();
        assertEquals(200, client.send(READY).read().status());
        return client;
    }

    private void assertServed(String id, Wire client) throws Exception {
        Wire up = Rig.accept(upstream);
        assertEquals(id, up.read().header("X-Txn"));
        up.send(Rig.answer("200 OK", id, "Connection: close"));
        assertEquals(id, client.read().body());
    }

    private static void pass(long ms) {
        long startNanos = System.nanoTime();
        while (System.nanoTime() - startNanos < TimeUnit.MILLISECONDS.toNanos(ms)) {
            Thread.onSpinWait();
        }
    }

    /** The look at what is overdue comes before the read of what has come meanwhile. */
    private void lookAfter(long ms, Wire client, String request) throws Throwable {
        rig.whileHeld(() -> {
            pass(ms);
            rig.sidecar().loop().execute(rig.sidecar()::lookAtClients);
            client.send(request);
        });
    }

    @Test
    void aRequestThatHasComeWholeIsNotTurnedDownAsSlow() throws Throwable {
        start(1024);
        String request = Rig.post(Rig.id(1), "body");
        try (Wire client = rig.client();
                Wire later = rig.client()) {
            client.send(request.substring(0, request.length() - 2));
            later.send(READY).read(); // by now the first part has been read
            lookAfter(REQUEST_MS + 100, client, request.substring(request.length() - 2));
            assertServed(Rig.id(1), client);
        }
    }

    @Test
    void aConnectionWithAnUnreadRequestIsNotTakenForSilent() throws Throwable {
        start(1024);
        try (Wire client = rig.client()) {
            rig.await(() -> rig.sidecar().clients() == 1);
            lookAfter(REQUEST_MS + 100, client, Rig.post(Rig.id(1), "x"));
            assertServed(Rig.id(1), client);
        }
    }

    /** Room is always short here: less than what is kept free for those that come. */
    @Test
    void aRestingConnectionWithAnUnreadRequestMakesNoRoom() throws Throwable {
        start(SocketBudget.LEAST + 16);
        try (Wire client = ready()) {
            lookAfter(REST_MS + 100, client, Rig.post(Rig.id(1), "x"));
            assertServed(Rig.id(1), client);
        }
    }

    /** Whoever has just connected is about to ask: the sidecar ends, and takes nothing for an idle one too early. */
    @Test
    void aNewConnectionIsNotEndedBeforeItsRequestComes() throws Throwable {
        start(1024);
        try (Wire client = rig.client()) {
            rig.whileHeld(() -> {
                rig.sidecar().loop().execute(rig.sidecar()::endConnections);
                rig.sidecar().loop().execute(() -> sendsItself(client));
            });
            assertServed(Rig.id(1), client);
        }
    }

    private static void sendsItself(Wire client) {
        try {
            client.send(Rig.post(Rig.id(1), "x"));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** In its backlog lie connections with whole requests: to close it would reset them. */
    @Test
    void whoWaitsAsTheListenerClosesIsServed() throws Throwable {
        start(1024);
        ready().close();
        Wire[] clients = new Wire[3];
        rig.whileHeld(() -> {
            rig.sidecar().loop().execute(rig.sidecar()::stopListening);
            for (int i = 0; i < clients.length; i++) {
                clients[i] = rig.client().send(Rig.post(Rig.id(i + 1), "x"));
            }
        });
        for (int i = 0; i < clients.length; i++) {
            Wire up = Rig.accept(upstream);
            String id = up.read().header("X-Txn");
            up.send(Rig.answer("200 OK", id, "Connection: close"));
        }
        for (int i = 0; i < clients.length; i++) {
            assertEquals(Rig.id(i + 1), clients[i].read().body());
            clients[i].close();
        }
    }

    /** The client hears of the end before its connection is closed: what it sends meanwhile is read, not reset. */
    @Test
    void anIdleConnectionIsShutBeforeItIsClosed() throws Throwable {
        start(1024);
        CompletableFuture<Integer> open = new CompletableFuture<>();
        try (Wire client = ready()) {
            rig.whileHeld(() -> {
                rig.sidecar().loop().execute(rig.sidecar()::endConnections);
                // A close is told of by a task of its own: the count comes behind that.
                rig.sidecar()
                        .loop()
                        .execute(() -> rig.sidecar()
                                .loop()
                                .execute(() -> open.complete(rig.sidecar().clients())));
            });
            assertTrue(client.ends());
        }
        assertEquals(1, open.get(Wire.PATIENCE_MS, TimeUnit.MILLISECONDS));
        rig.await(() -> rig.sidecar().clients() == 0);
    }
}
