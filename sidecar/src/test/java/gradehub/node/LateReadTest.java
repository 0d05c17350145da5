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

/** Requests that come while the event loop stands still: the time that they wait unread is the client's time. */
class LateReadTest {

    private static final String READY = "GET /ready HTTP/1.1\r\n\r\n";
    private static final int STALL_MS = 1700;
    private static final int SHORT_MS = 1500; // over by the end of the stall; enough to be sent on if it were not
    private static final int LONG_MS = 10_000; // under the aim of the class, which bounds it as well

    private SidecarFixture fixture;
    private ServerSocket upstream;

    @BeforeEach
    void open() throws Exception {
        fixture = new SidecarFixture();
        upstream = fixture.listener();
        fixture.start(
                SidecarFixture.list(1, true, SidecarFixture.member("u1", SidecarFixture.address(upstream), "active")));
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

    /** The first that the upstream sees comes behind the ones that were over. */
    private void assertNoneIsSentOn() throws Exception {
        try (RawConnection later = fixture.client()) {
            later.send(request(99, LONG_MS));
            assertEquals(
                    SidecarFixture.requestId(99),
                    SidecarFixture.accept(upstream).read().header("X-Txn"));
        }
    }

    @Test
    void aRequestWhoseTimeIsOverWhenItIsReadIsRefusedAtOnce() throws Throwable {
        try (RawConnection client = fixture.client()) {
            client.send(READY).read();
            fixture.whileEventLoopBlocked(() -> {
                client.send(request(1, SHORT_MS));
                stall();
            });
            assertEquals(503, client.read().status());
        }
        assertNoneIsSentOn();
    }

    /** The periodic task runs behind the one that stalled, and only then the sockets are read. */
    @Test
    void theLagIsRememberedUntilTheSocketsHaveBeenRead() throws Throwable {
        try (RawConnection client = fixture.client()) {
            client.send(READY).read();
            fixture.whileEventLoopBlocked(() -> {
                fixture.sidecar().loop().execute(fixture.sidecar()::closeOverdueClients);
                client.send(request(1, SHORT_MS));
                stall();
            });
            assertEquals(503, client.read().status());
        }
        assertNoneIsSentOn();
    }

    @Test
    void theWaitToBeAcceptedCountsForEachOfManyClients() throws Throwable {
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
        assertNoneIsSentOn();
    }

    @Test
    void anUpstreamIsToldWhatIsLeftToTheClient() throws Throwable {
        try (RawConnection client = fixture.client()) {
            client.send(READY).read();
            fixture.whileEventLoopBlocked(() -> {
                client.send(request(1, LONG_MS));
                stall();
            });
            int toldMs = Integer.parseInt(SidecarFixture.accept(upstream).read().header("X-Remaining-Ms"));
            assertTrue(toldMs <= LONG_MS - SHORT_MS, "told " + toldMs + " ms");
        }
    }

    /** Once the sockets have been read a lag is over: what comes later has not waited. */
    @Test
    void whatComesAfterAStallHasItsWholeTime() throws Throwable {
        fixture.whileEventLoopBlocked(LateReadTest::stall);
        fixture.awaitOnEventLoop(() -> fixture.sidecar().lagMs() == 0);
        try (RawConnection client = fixture.client()) {
            client.send(request(1, LONG_MS));
            int toldMs = Integer.parseInt(SidecarFixture.accept(upstream).read().header("X-Remaining-Ms"));
            assertTrue(toldMs > LONG_MS - SHORT_MS, "told " + toldMs + " ms");
        }
    }
}
