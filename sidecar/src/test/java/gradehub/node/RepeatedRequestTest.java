package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gradehub.node.PipeliningClient.Leaving;
import java.net.ServerSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A request whose identifier has been used before: what it gets depends on whether the earlier one may have run. */
class RepeatedRequestTest {

    private static final String ID = SidecarFixture.requestId(1);
    private static final String UNSAFE = SidecarFixture.postRequest(ID, "x");
    private static final int REQUESTS_UNTIL_PAUSE = 4;

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

    private void startWithUpstream() throws Exception {
        fixture.start(SidecarFixture.listOf(SidecarFixture.address(upstream)));
    }

    private RawConnection acceptAttempt() throws Exception {
        RawConnection attempt = SidecarFixture.accept(upstream);
        assertEquals(ID, attempt.read().header("X-Txn"));
        return attempt;
    }

    private int statusOf(String request) throws Exception {
        try (RawConnection client = fixture.client()) {
            return client.send(request).read().status();
        }
    }

    /** Guards against a second run after an answer that may be a success or an error. */
    @ParameterizedTest
    @ValueSource(strings = {"200 OK", "500 Error"})
    void unsafeRequestThatMayHaveRunIsRejected(String answer) throws Exception {
        startWithUpstream();
        try (RawConnection client = fixture.client()) {
            client.send(UNSAFE);
            acceptAttempt().send(SidecarFixture.answer(answer, "", "Connection: close"));
            client.read();
        }
        assertEquals(409, statusOf(UNSAFE));
        assertEquals(1, fixture.countOf(RequestLog.Event.IDENTIFIER_USED));
    }

    /** Guards against rejecting the retry of a request that a refusal has promised to be harmless. */
    @Test
    void unsafeRequestThatWasTurnedAwayIsSentAgain() throws Exception {
        fixture.startWithSetting(
                SidecarFixture.listOf(SidecarFixture.address(upstream)), "\"maxAttempts\":6", "\"maxAttempts\":1");
        for (int i = 0; i < 2; i++) {
            try (RawConnection client = fixture.client()) {
                client.send(UNSAFE);
                acceptAttempt().send(SidecarFixture.answer("503 Busy", "", "X-Turned-Away: 1", "Connection: close"));
                assertEquals(503, client.read().status());
            }
        }
    }

    /** Guards against rejecting a request whose first client left before anything was sent. */
    @Test
    void unsafeRequestThatWasNeverWrittenIsSentAgain() throws Exception {
        try (SidecarFixture.FullBacklogListener slow = new SidecarFixture.FullBacklogListener()) {
            fixture.start(SidecarFixture.listOf(SidecarFixture.address(slow.listener)));
            try (RawConnection client = fixture.client()) {
                client.send(UNSAFE);
                fixture.awaitRequestsInFlight(1);
            }
            fixture.awaitRequestsInFlight(0);
            try (RawConnection again = fixture.client()) {
                again.send(UNSAFE);
                fixture.awaitRequestsInFlight(1);
                assertEquals(0, fixture.countOf(RequestLog.Event.IDENTIFIER_USED));
                slow.drainAndAccept().close(); // of the first client's attempt
            }
        }
    }

    /** Guards against rejecting a safe request because its first client's close is unread, or its attempt still out. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void safeRequestIsSentAgainAsSoonAsItsClientHasLeft(boolean cancel) throws Exception {
        fixture.startWithSetting(
                SidecarFixture.listOf(SidecarFixture.address(upstream)), "\"cancel\":true", "\"cancel\":" + cancel);
        try (PipeliningClient client = new PipeliningClient(fixture.sidecar().address())) {
            for (int i = 1; i <= REQUESTS_UNTIL_PAUSE; i++) {
                client.send(SidecarFixture.getRequest(SidecarFixture.requestId(i)));
                SidecarFixture.accept(upstream).read();
            }
            client.leave(Leaving.CLOSE);
        }
        try (RawConnection again = fixture.client()) {
            again.send(SidecarFixture.getRequest(ID));
            RawConnection attempt = acceptAttempt();
            attempt.send(SidecarFixture.answer("200 OK", ""));
            assertEquals(200, again.read().status());
        }
    }
}
