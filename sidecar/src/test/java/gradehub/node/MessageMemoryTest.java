package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The memory that all messages hold together stays within a budget; what exceeds it is refused or fails. */
class MessageMemoryTest {

    private static final int LONG_BODY_BYTES = 60 * 1024;
    private static final String LONG_BODY = "b".repeat(LONG_BODY_BYTES);

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

    private MemoryBudget memory() {
        return fixture.sidecar().memory();
    }

    /** Reserves all of the budget, as other messages would. */
    private MemoryBudget.Reservation useUpBudget() throws Exception {
        MemoryBudget.Reservation reservation = memory().reservation();
        fixture.sidecar()
                .loop()
                .submit(() -> reservation.grow(memory().limitBytes()))
                .get();
        return reservation;
    }

    /**
     * Completes once a long body is counted. The event loop looks by itself: an incomplete answer is given up after half a
     * second, within which a thread of the test may get no processor time.
     */
    private void watchUsedBytes(CompletableFuture<Void> counted) {
        fixture.sidecar()
                .loop()
                .schedule(
                        () -> {
                            if (memory().usedBytes() >= LONG_BODY_BYTES) {
                                counted.complete(null);
                            } else if (!counted.isDone()) {
                                watchUsedBytes(counted);
                            }
                        },
                        1,
                        TimeUnit.MILLISECONDS);
    }

    private void release(MemoryBudget.Reservation reservation) throws Exception {
        fixture.sidecar().loop().submit(reservation::release).get();
    }

    /** Guards against bodies of requests that are limited on each connection, but not in sum. */
    @Test
    void longRequestBeyondTheBudgetIsRefusedOnceItIsWhole() throws Exception {
        MemoryBudget.Reservation others = useUpBudget();
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), LONG_BODY));
            assertEquals(503, client.read().status());
            fixture.assertServed(2, upstream); // a short request is admitted all the same
            release(others);
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(3), LONG_BODY));
            RawConnection up = SidecarFixture.accept(upstream);
            assertEquals(LONG_BODY, up.read().body());
            fixture.awaitOnEventLoop(() -> memory().usedBytes() >= LONG_BODY_BYTES); // kept until the answer
            up.send(SidecarFixture.answer("200 OK", ""));
            assertEquals(200, client.read().status());
        }
        fixture.awaitOnEventLoop(() -> memory().usedBytes() == 0);
    }

    /** Guards against long requests that are refused for as long as stalled ones hold the memory. */
    @Test
    void stalledRequestMakesRoomForOthers() throws Exception {
        MemoryBudget.Reservation others = memory().reservation();
        fixture.sidecar()
                .loop()
                .submit(() -> others.grow(memory().limitBytes() - 2 * LONG_BODY_BYTES))
                .get();
        try (RawConnection stalled = fixture.client();
                RawConnection client = fixture.client()) {
            String request = SidecarFixture.postRequest(SidecarFixture.requestId(1), LONG_BODY);
            stalled.send(request.substring(0, request.length() - 1));
            assertEquals(503, stalled.read().status(), "not 408, after the time limit of requests");
            assertEquals(1, fixture.countOf(RequestLog.Event.NO_MEMORY));
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(2), LONG_BODY));
            assertEquals(LONG_BODY, SidecarFixture.accept(upstream).read().body());
        }
        release(others);
    }

    /** Guards against answers that are limited on each connection to an upstream, but not in sum. */
    @Test
    void longAnswerBeyondTheBudgetIsAFailedAttempt() throws Exception {
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            MemoryBudget.Reservation others = useUpBudget();
            up.send(SidecarFixture.answer("200 OK", LONG_BODY));
            assertEquals(502, client.read().status(), "the request may have run");
            release(others);
        }
        fixture.awaitOnEventLoop(() -> memory().usedBytes() == 0);
    }

    /** Guards against a lack of memory here that counts against the upstream, which other requests then avoid. */
    @Test
    void longAnswerBeyondTheBudgetIsNotRetried() throws Exception {
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1)));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            MemoryBudget.Reservation others = useUpBudget();
            up.send(SidecarFixture.answer("200 OK", LONG_BODY));
            assertEquals(502, client.read().status());
            assertEquals(0, fixture.countOf(RequestLog.Event.RETRIED));
            assertEquals(1, fixture.countOf(RequestLog.Event.NO_MEMORY));
            fixture.assertServed(2, upstream);
            release(others);
        }
        fixture.awaitOnEventLoop(() -> memory().usedBytes() == 0);
    }

    /** Guards against answers that wait for an earlier one on their connection, or to be written, without being counted. */
    @Test
    void answerIsCountedUntilItIsWritten() throws Exception {
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1)));
            RawConnection first = SidecarFixture.accept(upstream);
            first.read();
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(2)));
            RawConnection second = SidecarFixture.accept(upstream);
            second.read();
            second.send(SidecarFixture.answer("200 OK", LONG_BODY));
            fixture.awaitRequestsInFlight(1);
            fixture.awaitOnEventLoop(() -> memory().usedBytes() >= LONG_BODY_BYTES);
            first.send(SidecarFixture.answer("200 OK", ""));
            assertEquals(200, client.read().status());
            assertEquals(LONG_BODY, client.read().body());
            fixture.awaitOnEventLoop(() -> memory().usedBytes() == 0);
        }
    }

    /** Guards against an answer that is being received without being counted. */
    @Test
    void answerIsCountedWhileItIsReceived() throws Exception {
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            String answer = SidecarFixture.answer("200 OK", LONG_BODY);
            CompletableFuture<Void> counted = new CompletableFuture<>();
            watchUsedBytes(counted);
            up.send(answer.substring(0, answer.length() - 1));
            counted.get(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }
        fixture.awaitOnEventLoop(() -> memory().usedBytes() == 0);
    }
}
