package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Requests that arrive while the event loop is blocked: the time they wait unread counts against their deadline. */
class LateReadTest {

    private static final String READY = "GET /ready HTTP/1.1\r\n\r\n";
    private static final int STALL_MS = 1700;
    private static final int SHORT_MS = 1500; // expires during the stall; forwarded if the wait does not count
    private static final int LONG_MS = 10_000; // below the aim of the class, which also limits the remaining time

    private SidecarFixture fixture;
    private ServerSocket upstream;

    @BeforeEach
    void open() throws Exception {
        fixture = new SidecarFixture();
        upstream = fixture.listener();
        fixture.start(SidecarFixture.listOf(SidecarFixture.address(upstream)));
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private static String request(int number, int remainingMs) {
        return SidecarFixture.postRequest(SidecarFixture.requestId(number), "x")
                .replaceAll("X-Remaining-Ms: \\d+", "X-Remaining-Ms: " + remainingMs);
    }

    private static void stall() {
        long startNanos = System.nanoTime();
        while (System.nanoTime() - startNanos < TimeUnit.MILLISECONDS.toNanos(STALL_MS)) {
            Thread.onSpinWait();
        }
    }

    /** Checks that the first request to reach the upstream is one sent after the expired ones. */
    private void assertNoneIsForwarded() throws Exception {
        try (RawConnection later = fixture.client()) {
            later.send(request(99, LONG_MS));
            assertEquals(
                    SidecarFixture.requestId(99),
                    SidecarFixture.accept(upstream).read().header("X-Txn"));
        }
    }

    @Test
    void requestExpiredBeforeItIsReadIsRefusedAtOnce() throws Throwable {
        try (RawConnection client = fixture.client()) {
            client.send(READY).read();
            fixture.whileEventLoopBlocked(() -> {
                client.send(request(1, SHORT_MS));
                stall();
            });
            assertEquals(503, client.read().status());
        }
        assertNoneIsForwarded();
    }

    /** The periodic check of client connections runs after the stalled task, before the sockets are read. */
    @Test
    void lagIsKeptUntilTheSocketsHaveBeenRead() throws Throwable {
        try (RawConnection client = fixture.client()) {
            client.send(READY).read();
            fixture.whileEventLoopBlocked(() -> {
                fixture.sidecar().loop().execute(fixture.sidecar()::checkClients);
                client.send(request(1, SHORT_MS));
                stall();
            });
            assertEquals(503, client.read().status());
        }
        assertNoneIsForwarded();
    }

    @Test
    void waitBeforeAcceptCountsForEveryClient() throws Throwable {
        List<RawConnection> clients = new ArrayList<>();
        fixture.whileEventLoopBlocked(() -> {
            for (int i = 0; i < 10; i++) {
                clients.add(fixture.client().send(request(i, SHORT_MS)));
            }
            stall();
        });
        for (RawConnection client : clients) {
            assertEquals(503, client.read().status());
            client.close();
        }
        assertNoneIsForwarded();
    }

    @Test
    void upstreamReceivesTheRemainingTime() throws Throwable {
        try (RawConnection client = fixture.client()) {
            client.send(READY).read();
            fixture.whileEventLoopBlocked(() -> {
                client.send(request(1, LONG_MS));
                stall();
            });
            int receivedMs =
                    Integer.parseInt(SidecarFixture.accept(upstream).read().header("X-Remaining-Ms"));
            assertTrue(receivedMs <= LONG_MS - SHORT_MS, "X-Remaining-Ms is " + receivedMs);
        }
    }

    /** The lag ends once the sockets have been read; later requests have not waited. */
    @Test
    void requestAfterAStallHasItsFullTime() throws Throwable {
        fixture.whileEventLoopBlocked(LateReadTest::stall);
        fixture.awaitOnEventLoop(() -> fixture.sidecar().lagMs() == 0);
        try (RawConnection client = fixture.client()) {
            client.send(request(1, LONG_MS));
            int receivedMs =
                    Integer.parseInt(SidecarFixture.accept(upstream).read().header("X-Remaining-Ms"));
            assertTrue(receivedMs > LONG_MS - SHORT_MS, "X-Remaining-Ms is " + receivedMs);
        }
    }
}
