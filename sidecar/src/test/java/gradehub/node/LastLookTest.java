package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ServerSocket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What has changed while a request waited is seen before its first byte goes out. */
class LastLookTest {

    private static final String READY = "GET /ready HTTP/1.1\r\n\r\n";

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

    private static String one(String phase, ServerSocket at) {
        return Rig.list(1, true, Rig.member("u1", Rig.address(at), phase));
    }

    /** The event loop reads the request and the close behind it in one go, but the request first. */
    @Test
    void aRequestThatIsReadAfterItsClientHasLeftIsNotSentOn() throws Throwable {
        rig.start(one("active", upstream));
        Wire leaving = rig.client();
        try (Wire other = rig.client()) {
            leaving.send(READY).read();
            other.send(READY).read();
            rig.whileHeld(() -> {
                leaving.send(Rig.post(Rig.id(1), "x")).close();
                other.send(Rig.post(Rig.id(2), "x"));
            });
            assertEquals(Rig.id(2), Rig.accept(upstream).read().header("X-Txn"), "the first that the upstream saw");
        }
    }

    /** It waits in the module's queue; the list that ends the wait comes just before the client's close. */
    @Test
    void aRequestWhoseClientLeavesTheQueueIsNotSentOn() throws Throwable {
        rig.start(one("leaving", upstream));
        Wire leaving = rig.client();
        try (Wire watch = rig.watch();
                Wire other = rig.client()) {
            leaving.send(Rig.post(Rig.id(1), "x"));
            rig.awaitInHand(1);
            rig.whileHeld(() -> {
                watch.send(Rig.chunk(Rig.list(2, false, Rig.member("u1", Rig.address(upstream), "active"))));
                leaving.close();
            });
            rig.awaitInHand(0);
            other.send(Rig.post(Rig.id(2), "x"));
            assertEquals(Rig.id(2), Rig.accept(upstream).read().header("X-Txn"));
        }
    }

    /** Before its close it has sent much more, which lies unread in front of that. */
    @Test
    void aRequestWhoseClientSendsMuchAndLeavesTheQueueIsNotSentOn() throws Throwable {
        rig.start(one("leaving", upstream));
        Wire leaving = rig.client();
        try (Wire watch = rig.watch();
                Wire other = rig.client()) {
            leaving.send(Rig.post(Rig.id(1), "x"));
            rig.awaitInHand(1);
            rig.whileHeld(() -> {
                watch.send(Rig.chunk(Rig.list(2, false, Rig.member("u1", Rig.address(upstream), "active"))));
                leaving.send(Rig.post(Rig.id(2), "y".repeat(60_000))).close();
            });
            rig.awaitInHand(0);
            other.send(Rig.post(Rig.id(3), "x"));
            assertEquals(Rig.id(3), Rig.accept(upstream).read().header("X-Txn"));
        }
    }

    /** Its first attempt breaks just as it leaves: nothing more goes out for it. */
    @Test
    void aRequestWhoseClientLeavesAsItsAttemptFailsIsNotSentAgain() throws Throwable {
        rig.start(one("active", upstream));
        Wire leaving = rig.client();
        try (Wire other = rig.client()) {
            leaving.send(Rig.get(Rig.id(1)));
            Wire up = Rig.accept(upstream);
            up.read();
            rig.whileHeld(() -> {
                up.reset();
                leaving.close();
            });
            rig.awaitInHand(0);
            other.send(Rig.post(Rig.id(2), "x"));
            assertEquals(Rig.id(2), Rig.accept(upstream).read().header("X-Txn"));
        }
    }

    /** What a look finds on the client's connection is no close, and is not lost. */
    @Test
    void aClientThatSendsMoreHasNotLeft() throws Throwable {
        rig.start(one("leaving", upstream));
        try (Wire watch = rig.watch();
                Wire client = rig.client()) {
            client.send(Rig.post(Rig.id(1), "x"));
            rig.awaitInHand(1);
            rig.whileHeld(() -> {
                watch.send(Rig.chunk(Rig.list(2, false, Rig.member("u1", Rig.address(upstream), "active"))));
                client.send(Rig.post(Rig.id(2), "y".repeat(60_000)));
            });
            for (int i = 1; i <= 2; i++) {
                Wire up = Rig.accept(upstream);
                String id = up.read().header("X-Txn");
                up.send(Rig.answer("200 OK", id, "Connection: close"));
            }
            assertEquals(Rig.id(1), client.read().body());
            assertEquals(Rig.id(2), client.read().body());
        }
    }

    /** Where attempts can't be called off the module lets them be: one that has not begun is not to begin. */
    @Test
    void aRequestWhoseClientLeftWhileItsConnectionCameUpIsNotSentOn() throws Throwable {
        try (Rig.Gate slow = new Rig.Gate()) {
            rig.startWith(one("active", slow.listener), "\"cancel\":true", "\"cancel\":false");
            try (Wire client = rig.client()) {
                client.send(Rig.post(Rig.id(1), "x"));
                rig.awaitInHand(1);
            }
            rig.await(() -> rig.sidecar().clients() == 0);
            assertTrue(slow.open().ends(), "nothing is written to it");
            rig.awaitInHand(0);
        }
    }

    /** The timer that ends it is due, but what comes from sockets is seen first. */
    @Test
    void aRequestThatIsOutOfTimeWhenItsConnectionIsUpIsNotSentOn() throws Throwable {
        int remainingMs = 3000;
        try (Rig.Gate slow = new Rig.Gate()) {
            rig.start(one("active", slow.listener));
            try (Wire client = rig.client()) {
                client.send(Rig.post(Rig.id(1), "x").replace("30000", "" + remainingMs));
                rig.awaitInHand(1);
                long takenNanos = System.nanoTime();
                AtomicReference<Wire> up = new AtomicReference<>();
                rig.whileHeld(() -> {
                    up.set(slow.open());
                    while (System.nanoTime() - takenNanos < TimeUnit.MILLISECONDS.toNanos(remainingMs)) {
                        Thread.onSpinWait();
                    }
                });
                assertTrue(up.get().ends(), "nothing is written to it");
                assertEquals(503, client.read().status(), "and so it never ran");
            }
        }
    }

    @Test
    void aRequestThatWaitsForAnUpstreamThatLeavesGoesToAnother() throws Throwable {
        try (Rig.Gate slow = new Rig.Gate()) {
            rig.start(one("active", slow.listener));
            try (Wire watch = rig.watch();
                    Wire client = rig.client()) {
                client.send(Rig.post(Rig.id(1), "x"));
                rig.awaitInHand(1);
                watch.send(Rig.chunk(Rig.list(
                        2,
                        false,
                        Rig.member("u1", Rig.address(slow.listener), "leaving"),
                        Rig.member("u2", Rig.address(upstream), "active"))));
                Wire up = Rig.accept(upstream);
                assertEquals(Rig.id(1), up.read().header("X-Txn"));
                up.send(Rig.answer("200 OK", "done"));
                assertEquals("done", client.read().body());
            }
        }
    }

    /** Its key is forgotten by the time that its connection is up: it would run twice. */
    @Test
    void aKeyedRequestThatMayHaveRunIsNotRepeatedAfterItsWindow() throws Throwable {
        int windowMs = 1500;
        try (Rig.Gate slow = new Rig.Gate()) {
            rig.startWith(
                    one("active", upstream),
                    "\"fragile\",\"group\":\"all\"",
                    "\"dedup\",\"group\":\"all\",\"windowMs\":" + windowMs);
            try (Wire watch = rig.watch();
                    Wire client = rig.client()) {
                client.send(Rig.post(Rig.id(1), "x").replace("Host:", "Idempotency-Key: k1\r\nHost:"));
                Wire up = Rig.accept(upstream);
                up.read();
                long sentNanos = System.nanoTime();
                watch.send(Rig.chunk(Rig.list(2, false, Rig.member("u2", Rig.address(slow.listener), "active"))));
                rig.await(() -> rig.sidecar().engine().listed() == 2);
                up.reset();
                while (System.nanoTime() - sentNanos < TimeUnit.MILLISECONDS.toNanos(windowMs)) {
                    Thread.onSpinWait();
                }
                assertTrue(slow.open().ends(), "nothing is written to it");
            }
        }
    }
}
