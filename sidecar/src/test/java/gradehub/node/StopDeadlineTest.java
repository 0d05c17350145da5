package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
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
    private static final int BODY_BYTES = 64 * 1024;
    private static final int LATE_RESET_MS = 2000;

    private SidecarFixture fixture;
    private StubServer upstream;
    private Thread stop;

    @BeforeEach
    void open() throws Exception {
        fixture = new SidecarFixture();
    }

    @AfterEach
    void close() throws Exception {
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
        upstream = upstream(trouble);
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

    private static StubServer upstream(String trouble) throws IOException {
        return switch (trouble) {
            case "resets late" -> StubServer.hanging(LATE_RESET_MS);
            case "turns away" ->
                StubServer.answering(
                        request -> SidecarFixture.answer("503 Service Unavailable", "", "X-Turned-Away: 1"));
            case "answers in part" ->
                StubServer.answering(request -> "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
            default -> StubServer.hanging(RawConnection.TIMEOUT_MS);
        };
    }

    private ShutdownTimeline stop(int longestDeadlineMs) {
        ShutdownTimeline timeline = new ShutdownTimeline(longestDeadlineMs);
        stop = fixture.stopInBackground();
        return timeline;
    }

    private static String request(String requestClass) {
        return requestClass.equals(SidecarFixture.SAFE_CLASS)
                ? SidecarFixture.getRequest(SidecarFixture.requestId(1))
                : SidecarFixture.postRequest(SidecarFixture.requestId(1), "b".repeat(BODY_BYTES));
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
            ShutdownTimeline timeline = stop(longestDeadlineMs);
            timeline.sendLate(client, request(requestClass));
            timeline.assertAnsweredBeforeKill(client);
        }
    }

    /** Guards against the same end for a request from before the shutdown whose deadline lies after SIGKILL. */
    @Test
    void requestInFlightIsAnsweredBeforeTheKill() throws Exception {
        start("hangs", 60_000);
        try (RawConnection client = fixture.client()) {
            client.send(request(SidecarFixture.UNSAFE_CLASS));
            fixture.awaitRequestsInFlight(1);
            stop(60_000).assertAnsweredBeforeKill(client);
        }
    }
}
