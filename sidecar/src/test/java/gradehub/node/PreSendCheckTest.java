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
class PreSendCheckTest {

    private static final String READY = "GET /ready HTTP/1.1\r\n\r\n";

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

    private static String one(String phase, ServerSocket at) {
        return SidecarFixture.list(1, true, SidecarFixture.member("u1", SidecarFixture.address(at), phase));
    }

    /** The event loop reads the request and the close behind it in one go, but the request first. */
    @Test
    void aRequestThatIsReadAfterItsClientHasLeftIsNotSentOn() throws Throwable {
        fixture.start(one("active", upstream));
        RawConnection leaving = fixture.client();
        try (RawConnection other = fixture.client()) {
            leaving.send(READY).read();
            other.send(READY).read();
            fixture.whileEventLoopBlocked(() -> {
                leaving.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"))
                        .close();
                other.send(SidecarFixture.postRequest(SidecarFixture.requestId(2), "x"));
            });
            assertEquals(
                    SidecarFixture.requestId(2),
                    SidecarFixture.accept(upstream).read().header("X-Txn"),
                    "the first that the upstream saw");
        }
    }

    /** It waits in the module's queue; the list that ends the wait comes just before the client's close. */
    @Test
    void aRequestWhoseClientLeavesTheQueueIsNotSentOn() throws Throwable {
        fixture.start(one("leaving", upstream));
        RawConnection leaving = fixture.client();
        try (RawConnection watch = fixture.acceptWatch();
                RawConnection other = fixture.client()) {
            leaving.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            fixture.awaitRequestsInFlight(1);
            fixture.whileEventLoopBlocked(() -> {
                watch.send(SidecarFixture.chunk(SidecarFixture.list(
                        2, false, SidecarFixture.member("u1", SidecarFixture.address(upstream), "active"))));
                leaving.close();
            });
            fixture.awaitRequestsInFlight(0);
            other.send(SidecarFixture.postRequest(SidecarFixture.requestId(2), "x"));
            assertEquals(
                    SidecarFixture.requestId(2),
                    SidecarFixture.accept(upstream).read().header("X-Txn"));
        }
    }

    /** Before its close it has sent much more, which lies unread in front of that. */
    @Test
    void aRequestWhoseClientSendsMuchAndLeavesTheQueueIsNotSentOn() throws Throwable {
        fixture.start(one("leaving", upstream));
        RawConnection leaving = fixture.client();
        try (RawConnection watch = fixture.acceptWatch();
                RawConnection other = fixture.client()) {
            leaving.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            fixture.awaitRequestsInFlight(1);
            fixture.whileEventLoopBlocked(() -> {
                watch.send(SidecarFixture.chunk(SidecarFixture.list(
                        2, false, SidecarFixture.member("u1", SidecarFixture.address(upstream), "active"))));
                leaving.send(SidecarFixture.postRequest(SidecarFixture.requestId(2), "y".repeat(60_000)))
                        .close();
            });
            fixture.awaitRequestsInFlight(0);
            other.send(SidecarFixture.postRequest(SidecarFixture.requestId(3), "x"));
            assertEquals(
                    SidecarFixture.requestId(3),
                    SidecarFixture.accept(upstream).read().header("X-Txn"));
        }
    }

    /** Its first attempt breaks just as it leaves: nothing more goes out for it. */
    @Test
    void aRequestWhoseClientLeavesAsItsAttemptFailsIsNotSentAgain() throws Throwable {
        fixture.start(one("active", upstream));
        RawConnection leaving = fixture.client();
        try (RawConnection other = fixture.client()) {
            leaving.send(SidecarFixture.getRequest(SidecarFixture.requestId(1)));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            fixture.whileEventLoopBlocked(() -> {
                up.reset();
                leaving.close();
            });
            fixture.awaitRequestsInFlight(0);
            other.send(SidecarFixture.postRequest(SidecarFixture.requestId(2), "x"));
            assertEquals(
                    SidecarFixture.requestId(2),
                    SidecarFixture.accept(upstream).read().header("X-Txn"));
        }
    }

    /** What a look finds on the client's connection is no close, and is not lost. */
    @Test
    void aClientThatSendsMoreHasNotLeft() throws Throwable {
        fixture.start(one("leaving", upstream));
        try (RawConnection watch = fixture.acceptWatch();
                RawConnection client = fixture.client()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            fixture.awaitRequestsInFlight(1);
            fixture.whileEventLoopBlocked(() -> {
                watch.send(SidecarFixture.chunk(SidecarFixture.list(
                        2, false, SidecarFixture.member("u1", SidecarFixture.address(upstream), "active"))));
                client.send(SidecarFixture.postRequest(SidecarFixture.requestId(2), "y".repeat(60_000)));
            });
            for (int i = 1; i <= 2; i++) {
                RawConnection up = SidecarFixture.accept(upstream);
                String id = up.read().header("X-Txn");
                up.send(SidecarFixture.answer("200 OK", id, "Connection: close"));
            }
            assertEquals(SidecarFixture.requestId(1), client.read().body());
            assertEquals(SidecarFixture.requestId(2), client.read().body());
        }
    }

    /** Where attempts can't be called off the module lets them be: one that has not begun is not to begin. */
    @Test
    void aRequestWhoseClientLeftWhileItsConnectionCameUpIsNotSentOn() throws Throwable {
        try (SidecarFixture.FullBacklogListener slow = new SidecarFixture.FullBacklogListener()) {
            fixture.startWithSetting(one("active", slow.listener), "\"cancel\":true", "\"cancel\":false");
            try (RawConnection client = fixture.client()) {
                client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
                fixture.awaitRequestsInFlight(1);
            }
            fixture.awaitOnEventLoop(() -> fixture.sidecar().clients() == 0);
            assertTrue(slow.drainAndAccept().awaitClose(), "nothing is written to it");
            fixture.awaitRequestsInFlight(0);
        }
    }

    /** The timer that ends it is due, but what comes from sockets is seen first. */
    @Test
    void aRequestThatIsOutOfTimeWhenItsConnectionIsUpIsNotSentOn() throws Throwable {
        int remainingMs = 3000;
        try (SidecarFixture.FullBacklogListener slow = new SidecarFixture.FullBacklogListener()) {
            fixture.start(one("active", slow.listener));
            try (RawConnection client = fixture.client()) {
                client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x")
                        .replace("30000", "" + remainingMs));
                fixture.awaitRequestsInFlight(1);
                long takenNanos = System.nanoTime();
                AtomicReference<RawConnection> up = new AtomicReference<>();
                fixture.whileEventLoopBlocked(() -> {
                    up.set(slow.drainAndAccept());
                    while (System.nanoTime() - takenNanos < TimeUnit.MILLISECONDS.toNanos(remainingMs)) {
                        Thread.onSpinWait();
                    }
                });
                assertTrue(up.get().awaitClose(), "nothing is written to it");
                assertEquals(503, client.read().status(), "and so it never ran");
            }
        }
    }

    @Test
    void aRequestThatWaitsForAnUpstreamThatLeavesGoesToAnother() throws Throwable {
        try (SidecarFixture.FullBacklogListener slow = new SidecarFixture.FullBacklogListener()) {
            fixture.start(one("active", slow.listener));
            try (RawConnection watch = fixture.acceptWatch();
                    RawConnection client = fixture.client()) {
                client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
                fixture.awaitRequestsInFlight(1);
                watch.send(SidecarFixture.chunk(SidecarFixture.list(
                        2,
                        false,
                        SidecarFixture.member("u1", SidecarFixture.address(slow.listener), "leaving"),
                        SidecarFixture.member("u2", SidecarFixture.address(upstream), "active"))));
                RawConnection up = SidecarFixture.accept(upstream);
                assertEquals(SidecarFixture.requestId(1), up.read().header("X-Txn"));
                up.send(SidecarFixture.answer("200 OK", "done"));
                assertEquals("done", client.read().body());
            }
        }
    }

    /** Its key is forgotten by the time that its connection is up: it would run twice. */
    @Test
    void aKeyedRequestThatMayHaveRunIsNotRepeatedAfterItsWindow() throws Throwable {
        int windowMs = 1500;
        try (SidecarFixture.FullBacklogListener slow = new SidecarFixture.FullBacklogListener()) {
            fixture.startWithSetting(
                    one("active", upstream),
                    "\"fragile\",\"group\":\"all\"",
                    "\"dedup\",\"group\":\"all\",\"windowMs\":" + windowMs);
            try (RawConnection watch = fixture.acceptWatch();
                    RawConnection client = fixture.client()) {
                client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x")
                        .replace("Host:", "Idempotency-Key: k1\r\nHost:"));
                RawConnection up = SidecarFixture.accept(upstream);
                up.read();
                long sentNanos = System.nanoTime();
                watch.send(SidecarFixture.chunk(SidecarFixture.list(
                        2, false, SidecarFixture.member("u2", SidecarFixture.address(slow.listener), "active"))));
                fixture.awaitOnEventLoop(() -> fixture.sidecar().engine().upstreamCount() == 2);
                up.reset();
                while (System.nanoTime() - sentNanos < TimeUnit.MILLISECONDS.toNanos(windowMs)) {
                    Thread.onSpinWait();
                }
                assertTrue(slow.drainAndAccept().awaitClose(), "nothing is written to it");
            }
        }
    }
}
