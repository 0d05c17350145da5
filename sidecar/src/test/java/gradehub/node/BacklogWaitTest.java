package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The time that a request waits in the listener's backlog, while other clients hold all the sockets, counts. */
class BacklogWaitTest {

    private static final int AVAILABLE_DESCRIPTORS = 18;
    /** All sockets that clients may have here, each with an open request. */
    private static final int MAX_CLIENTS = 9;

    /** Enough for all requests to be sent at once. */
    private static final int UPSTREAMS = 3;

    private static final int REMAINING_MS = 10_000; // below the aim of the class, which also limits the remaining time
    private static final int WAIT_MS = 600;

    private SidecarFixture fixture;
    private StubServer upstream;
    private final List<RawConnection> holders = new ArrayList<>();
    /** Until this opens, the requests that hold the sockets are not answered. */
    private final CountDownLatch gate = new CountDownLatch(1);

    /** The time that the latest request to reach the upstream told it. */
    private volatile int toldMs;

    /** Lets clients hold all sockets with open requests. */
    @BeforeEach
    void open() throws Exception {
        fixture = new SidecarFixture();
        upstream = StubServer.answering(this::answer);
        String[] members = new String[UPSTREAMS];
        for (int i = 0; i < UPSTREAMS; i++) {
            members[i] = SidecarFixture.member("u" + i, upstream.address(), "active");
        }
        fixture.start(SidecarFixture.list(1, true, members), SocketBudget.RESERVED_DESCRIPTORS + AVAILABLE_DESCRIPTORS);
        for (int i = 0; i < MAX_CLIENTS; i++) {
            holders.add(fixture.client().send(request(i)));
        }
        fixture.awaitRequestsInFlight(MAX_CLIENTS);
    }

    @AfterEach
    void close() throws Exception {
        gate.countDown();
        for (RawConnection holder : holders) {
            holder.close();
        }
        upstream.close();
        fixture.close();
    }

    private String answer(RawConnection.Message request) {
        toldMs = Integer.parseInt(request.header("X-Remaining-Ms"));
        try {
            if (Long.parseLong(request.header("X-Txn"), 16) < MAX_CLIENTS) {
                gate.await();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return SidecarFixture.answer("200 OK", "");
    }

    /** Returns a request of an unsafe class, of which no second copy is sent. */
    private static String request(int number) {
        return SidecarFixture.postRequest(SidecarFixture.requestId(number), "x")
                .replaceAll("X-Remaining-Ms: \\d+", "X-Remaining-Ms: " + REMAINING_MS);
    }

    private RawConnection sendOnNewConnection(int number) throws Exception {
        return fixture.client().send(request(number));
    }

    private void assertServedOnceASocketIsFree(RawConnection client) throws Exception {
        holders.remove(0).close();
        assertEquals(200, client.read().status());
    }

    private static void hold(long ms) {
        long startNanos = System.nanoTime();
        while (System.nanoTime() - startNanos < TimeUnit.MILLISECONDS.toNanos(ms)) {
            Thread.onSpinWait();
        }
    }

    /** Guards against review case 8: a request had its whole time anew once its connection was accepted. */
    @Test
    void waitCountsAgainstTheTimeOfTheRequest() throws Exception {
        try (RawConnection client = sendOnNewConnection(1000)) {
            hold(WAIT_MS);
            assertServedOnceASocketIsFree(client);
            assertTrue(toldMs <= REMAINING_MS - WAIT_MS, "X-Remaining-Ms is " + toldMs);
        }
    }

    /** Guards against counting a time in which sockets were short, but nobody waited for one. */
    @Test
    void requestThatHasNotWaitedHasItsWholeTime() throws Exception {
        hold(WAIT_MS);
        try (RawConnection client = sendOnNewConnection(1000)) {
            assertServedOnceASocketIsFree(client);
            assertTrue(toldMs > REMAINING_MS - WAIT_MS, "X-Remaining-Ms is " + toldMs);
        }
    }

    /** Guards against counting all the time in which somebody waited, for a client that came at its end. */
    @Test
    void requestWaitsOnlySinceItsClientConnected() throws Exception {
        RawConnection first = sendOnNewConnection(1000);
        RawConnection second = sendOnNewConnection(1001);
        hold(2 * WAIT_MS);
        try (RawConnection late = sendOnNewConnection(1002)) {
            assertServedOnceASocketIsFree(first);
            holders.add(first);
            assertServedOnceASocketIsFree(second);
            holders.add(second);
            assertServedOnceASocketIsFree(late);
            assertTrue(toldMs > REMAINING_MS - WAIT_MS, "X-Remaining-Ms is " + toldMs);
        }
    }

    /** Guards against counting the wait for a request that was sent after its connection had been accepted. */
    @Test
    void requestSentAfterTheWaitHasItsWholeTime() throws Exception {
        String request = request(1000);
        try (RawConnection client = fixture.client().send(request.substring(0, 1))) {
            hold(WAIT_MS);
            holders.remove(0).close();
            fixture.awaitOnEventLoop(() -> fixture.sidecar().engine().requestsInFlight() < MAX_CLIENTS
                    && fixture.sidecar().clients() == MAX_CLIENTS);
            client.send(request.substring(1));
            assertEquals(200, client.read().status());
            assertTrue(toldMs > REMAINING_MS - WAIT_MS, "X-Remaining-Ms is " + toldMs);
        }
    }
}
