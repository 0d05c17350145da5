package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ServerSocket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that changes during a request's wait are detected before its first byte is sent upstream. */
class PreSendCheckTest {

    private static final String READY_REQUEST = "GET /ready HTTP/1.1\r\n\r\n";

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

    private static String singleMemberList(String phase, ServerSocket listener) {
        return SidecarFixture.list(1, true, SidecarFixture.member("u1", SidecarFixture.address(listener), phase));
    }

    /** The event loop reads the request and the close in one iteration, the request first. */
    @Test
    void doesNotForwardRequestReadAfterClientClosed() throws Throwable {
        fixture.start(singleMemberList("active", upstream));
        RawConnection closingClient = fixture.client();
        try (RawConnection other = fixture.client()) {
            closingClient.send(READY_REQUEST).read();
            other.send(READY_REQUEST).read();
            fixture.whileEventLoopBlocked(() -> {
                closingClient
                        .send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"))
                        .close();
                other.send(SidecarFixture.postRequest(SidecarFixture.requestId(2), "x"));
            });
            assertEquals(
                    SidecarFixture.requestId(2),
                    SidecarFixture.accept(upstream).read().header("X-Txn"),
                    "the first request that reached the upstream");
        }
    }

    /** The request waits in the queue; the list that ends the wait arrives just before the client's close. */
    @Test
    void doesNotForwardQueuedRequestAfterClientClosed() throws Throwable {
        fixture.start(singleMemberList("leaving", upstream));
        RawConnection closingClient = fixture.client();
        try (RawConnection watch = fixture.acceptWatch();
                RawConnection other = fixture.client()) {
            closingClient.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            fixture.awaitRequestsInFlight(1);
            fixture.whileEventLoopBlocked(() -> {
                watch.send(SidecarFixture.chunk(SidecarFixture.list(
                        2, false, SidecarFixture.member("u1", SidecarFixture.address(upstream), "active"))));
                closingClient.close();
            });
            fixture.awaitRequestsInFlight(0);
            other.send(SidecarFixture.postRequest(SidecarFixture.requestId(2), "x"));
            assertEquals(
                    SidecarFixture.requestId(2),
                    SidecarFixture.accept(upstream).read().header("X-Txn"));
        }
    }

    /** The close is behind 60,000 bytes of unread input. */
    @Test
    void doesNotForwardQueuedRequestAfterClientSentMoreAndClosed() throws Throwable {
        fixture.start(singleMemberList("leaving", upstream));
        RawConnection closingClient = fixture.client();
        try (RawConnection watch = fixture.acceptWatch();
                RawConnection other = fixture.client()) {
            closingClient.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            fixture.awaitRequestsInFlight(1);
            fixture.whileEventLoopBlocked(() -> {
                watch.send(SidecarFixture.chunk(SidecarFixture.list(
                        2, false, SidecarFixture.member("u1", SidecarFixture.address(upstream), "active"))));
                closingClient
                        .send(SidecarFixture.postRequest(SidecarFixture.requestId(2), "y".repeat(60_000)))
                        .close();
            });
            fixture.awaitRequestsInFlight(0);
            other.send(SidecarFixture.postRequest(SidecarFixture.requestId(3), "x"));
            assertEquals(
                    SidecarFixture.requestId(3),
                    SidecarFixture.accept(upstream).read().header("X-Txn"));
        }
    }

    /** The upstream resets the first attempt just as the client closes, so there must be no second attempt. */
    @Test
    void doesNotRetryRequestWhoseClientClosesAsAttemptFails() throws Throwable {
        fixture.start(singleMemberList("active", upstream));
        RawConnection closingClient = fixture.client();
        try (RawConnection other = fixture.client()) {
            closingClient.send(SidecarFixture.getRequest(SidecarFixture.requestId(1)));
            RawConnection upstreamConnection = SidecarFixture.accept(upstream);
            upstreamConnection.read();
            fixture.whileEventLoopBlocked(() -> {
                upstreamConnection.reset();
                closingClient.close();
            });
            fixture.awaitRequestsInFlight(0);
            other.send(SidecarFixture.postRequest(SidecarFixture.requestId(2), "x"));
            assertEquals(
                    SidecarFixture.requestId(2),
                    SidecarFixture.accept(upstream).read().header("X-Txn"));
        }
    }

    /** Input that the check reads from the client's connection is not a close and must not be lost. */
    @Test
    void servesPipelinedRequestFoundByTheCheck() throws Throwable {
        fixture.start(singleMemberList("leaving", upstream));
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
                RawConnection upstreamConnection = SidecarFixture.accept(upstream);
                String id = upstreamConnection.read().header("X-Txn");
                upstreamConnection.send(SidecarFixture.answer("200 OK", id, "Connection: close"));
            }
            assertEquals(SidecarFixture.requestId(1), client.read().body());
            assertEquals(SidecarFixture.requestId(2), client.read().body());
        }
    }

    /** With cancellation off the module does not cancel attempts; an attempt not yet sent must not be sent. */
    @Test
    void doesNotForwardRequestWhoseClientClosedDuringConnect() throws Throwable {
        try (SidecarFixture.FullBacklogListener slow = new SidecarFixture.FullBacklogListener()) {
            fixture.startWithSetting(singleMemberList("active", slow.listener), "\"cancel\":true", "\"cancel\":false");
            try (RawConnection client = fixture.client()) {
                client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
                fixture.awaitRequestsInFlight(1);
            }
            fixture.awaitOnEventLoop(() -> fixture.sidecar().clients() == 0);
            assertTrue(slow.drainAndAccept().awaitClose(), "nothing is written to the connection");
            fixture.awaitRequestsInFlight(0);
        }
    }

    /** The deadline timer is due, but the event loop processes sockets before timers. */
    @Test
    void doesNotForwardRequestPastItsDeadlineAfterConnect() throws Throwable {
        int remainingMs = 3000;
        try (SidecarFixture.FullBacklogListener slow = new SidecarFixture.FullBacklogListener()) {
            fixture.start(singleMemberList("active", slow.listener));
            try (RawConnection client = fixture.client()) {
                client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x")
                        .replace("30000", "" + remainingMs));
                fixture.awaitRequestsInFlight(1);
                long acceptedNanos = System.nanoTime();
                AtomicReference<RawConnection> upstreamConnection = new AtomicReference<>();
                fixture.whileEventLoopBlocked(() -> {
                    upstreamConnection.set(slow.drainAndAccept());
                    while (System.nanoTime() - acceptedNanos < TimeUnit.MILLISECONDS.toNanos(remainingMs)) {
                        Thread.onSpinWait();
                    }
                });
                assertTrue(upstreamConnection.get().awaitClose(), "nothing is written to the connection");
                assertEquals(503, client.read().status(), "the request was not executed");
            }
        }
    }

    @Test
    void reroutesRequestConnectingToLeavingUpstream() throws Throwable {
        try (SidecarFixture.FullBacklogListener slow = new SidecarFixture.FullBacklogListener()) {
            fixture.start(singleMemberList("active", slow.listener));
            try (RawConnection watch = fixture.acceptWatch();
                    RawConnection client = fixture.client()) {
                client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
                fixture.awaitRequestsInFlight(1);
                watch.send(SidecarFixture.chunk(SidecarFixture.list(
                        2,
                        false,
                        SidecarFixture.member("u1", SidecarFixture.address(slow.listener), "leaving"),
                        SidecarFixture.member("u2", SidecarFixture.address(upstream), "active"))));
                RawConnection upstreamConnection = SidecarFixture.accept(upstream);
                assertEquals(
                        SidecarFixture.requestId(1), upstreamConnection.read().header("X-Txn"));
                upstreamConnection.send(SidecarFixture.answer("200 OK", "done"));
                assertEquals("done", client.read().body());
            }
        }
    }

    /** The upstream has dropped the key by the time the connection opens, so the request would run twice. */
    @Test
    void doesNotRetryKeyedRequestAfterDedupWindow() throws Throwable {
        int windowMs = 1500;
        try (SidecarFixture.FullBacklogListener slow = new SidecarFixture.FullBacklogListener()) {
            fixture.startWithSetting(
                    singleMemberList("active", upstream),
                    "\"fragile\",\"group\":\"all\"",
                    "\"dedup\",\"group\":\"all\",\"windowMs\":" + windowMs);
            try (RawConnection watch = fixture.acceptWatch();
                    RawConnection client = fixture.client()) {
                client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x")
                        .replace("Host:", "Idempotency-Key: k1\r\nHost:"));
                RawConnection upstreamConnection = SidecarFixture.accept(upstream);
                upstreamConnection.read();
                long sentNanos = System.nanoTime();
                watch.send(SidecarFixture.chunk(SidecarFixture.list(
                        2, false, SidecarFixture.member("u2", SidecarFixture.address(slow.listener), "active"))));
                fixture.awaitOnEventLoop(() -> fixture.sidecar().engine().upstreamCount() == 2);
                upstreamConnection.reset();
                while (System.nanoTime() - sentNanos < TimeUnit.MILLISECONDS.toNanos(windowMs)) {
                    Thread.onSpinWait();
                }
                assertTrue(slow.drainAndAccept().awaitClose(), "nothing is written to the connection");
            }
        }
    }
}
