package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Requests that are received late in the shutdown, while upstreams are in trouble: SIGKILL comes as early as the longest
 * deadline (counted as 3 s at most) and 0.7 s after SIGTERM, and each of them has to have its answer by then.
 */
class StopDeadlineTest {

    private static final String TIMES = "\"aimMs\":20000,\"hardLimitMs\":60000";
    private static final int COUNTED_DEADLINE_MS = 3000;
    private static final int KILL_DELAY_MS = 700;
    /** Requests that arrive later than this after SIGTERM are owed an answer before SIGKILL. */
    private static final int LATE_MS = 750;

    private static final int BYTE_EVERY_MS = 10;
    private static final int BODY_BYTES = 64 * 1024;
    private static final int LATE_RESET_MS = 2000;

    private final CountDownLatch ended = new CountDownLatch(1);
    private SidecarFixture fixture;
    private StubServer upstream;
    private Thread stop;
    private long stopNanos;

    @BeforeEach
    void open() throws Exception {
        fixture = new SidecarFixture();
    }

    @AfterEach
    void close() throws Exception {
        ended.countDown();
        if (stop != null) {
            stop.join(RawConnection.TIMEOUT_MS);
            assertFalse(stop.isAlive(), "the sidecar did not stop");
        }
        fixture.close();
        if (upstream != null) {
            upstream.close();
        }
    }

    private void start(String trouble, int longestDeadlineMs) throws Exception {
        upstream = StubServer.answering(behaviour(trouble));
        String phase = trouble.equals("waits for an upstream") ? "leaving" : "active";
        fixture.startWithSetting(
                SidecarFixture.list(
                        1,
                        true,
                        SidecarFixture.member("u1", upstream.address(), phase),
                        SidecarFixture.member("u2", upstream.address(), phase)),
                TIMES,
                "\"aimMs\":" + longestDeadlineMs + ",\"hardLimitMs\":" + longestDeadlineMs);
    }

    /** What the upstreams do; null closes the connection with no answer. */
    private Function<RawConnection.Message, String> behaviour(String trouble) {
        return request -> {
            switch (trouble) {
                case "turns away" -> {
                    return SidecarFixture.answer("503 Service Unavailable", "", "X-Turned-Away: 1");
                }
                case "resets late" -> awaitEnd(LATE_RESET_MS);
                case "answers in part" -> {
                    return "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart";
                }
                default -> awaitEnd(RawConnection.TIMEOUT_MS);
            }
            return null;
        };
    }

    private void awaitEnd(int atMostMs) {
        try {
            ended.await(atMostMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void stop() {
        stopNanos = System.nanoTime();
        stop = new Thread(() -> {
            try {
                fixture.sidecar().stop();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        stop.start();
    }

    private long sinceStopMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stopNanos);
    }

    private static String request(String requestClass) {
        return requestClass.equals(SidecarFixture.SAFE_CLASS)
                ? SidecarFixture.getRequest(SidecarFixture.requestId(1))
                : SidecarFixture.postRequest(SidecarFixture.requestId(1), "b".repeat(BODY_BYTES));
    }

    /** Sends a request slowly, so that its last byte is written late in the shutdown. */
    private void sendSlowly(RawConnection client, String request) throws Exception {
        client.send(request.substring(0, 1));
        for (int sent = 1; sinceStopMs() <= LATE_MS; sent++) {
            client.send(request.substring(sent, sent + 1));
            TimeUnit.MILLISECONDS.sleep(BYTE_EVERY_MS);
            if (sinceStopMs() > LATE_MS) {
                client.send(request.substring(sent + 1));
            }
        }
    }

    private void assertAnsweredBefore(long killMs, RawConnection client) throws IOException {
        client.setReadTimeoutMs((int) Math.max(1, killMs - sinceStopMs()));
        int status = client.read().status();
        assertTrue(sinceStopMs() < killMs, "status " + status + " after " + sinceStopMs() + " ms");
    }

    /** Guards against review case 3: a request taken late in the shutdown had its whole time, which SIGKILL cut off. */
    @ParameterizedTest
    @CsvSource({
        "hangs, window-read, 60000",
        "hangs, event-submit, 60000",
        "hangs, window-read, 800",
        "hangs, event-submit, 800",
        "hangs, event-submit, 400",
        "resets late, window-read, 60000",
        "resets late, event-submit, 60000",
        "turns away, event-submit, 60000",
        "answers in part, window-read, 2000",
        "waits for an upstream, window-read, 60000",
        "waits for an upstream, event-submit, 800",
    })
    void requestReceivedLateInTheShutdownIsAnsweredBeforeTheKill(
            String trouble, String requestClass, int longestDeadlineMs) throws Exception {
        start(trouble, longestDeadlineMs);
        try (RawConnection client = fixture.client()) {
            client.send("GET /ready HTTP/1.1\r\n\r\n").read();
            stop();
            sendSlowly(client, request(requestClass));
            assertAnsweredBefore(Math.min(longestDeadlineMs, COUNTED_DEADLINE_MS) + KILL_DELAY_MS, client);
        }
    }

    /** Guards against the same end for a request from before the shutdown whose deadline lies after SIGKILL. */
    @Test
    void requestInFlightIsAnsweredBeforeTheKill() throws Exception {
        start("hangs", 60_000);
        try (RawConnection client = fixture.client()) {
            client.send(request(SidecarFixture.UNSAFE_CLASS));
            fixture.awaitRequestsInFlight(1);
            stop();
            assertAnsweredBefore(COUNTED_DEADLINE_MS + KILL_DELAY_MS, client);
        }
    }
}
