package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradehub.node.RawConnection.Message;
import java.io.IOException;
import java.net.ServerSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** End-to-end tests of the sidecar over loopback sockets; the test acts as client, upstream and discovery. */
class SidecarTest {

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

    private RawConnection startWithOneUpstream() throws Exception {
        return fixture.start(SidecarFixture.listOf(SidecarFixture.address(upstream)))
                .client();
    }

    @Test
    void requestIsForwardedUnchangedAndItsAnswerReturned() throws Exception {
        try (RawConnection client = startWithOneUpstream()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "payload"));
            RawConnection up = SidecarFixture.accept(upstream);
            Message request = up.read();
            assertEquals("POST /event-submit HTTP/1.1", request.startLine());
            assertEquals("payload", request.body());
            assertEquals(SidecarFixture.requestId(1), request.header("X-Txn"));
            long remainingMs = Long.parseLong(request.header("X-Remaining-Ms"));
            assertTrue(
                    remainingMs > 0 && remainingMs <= 30_000,
                    "X-Remaining-Ms is how long the sidecar waits: " + remainingMs);
            up.send(SidecarFixture.answer("200 OK", "done", "X-Pressure: rps=1,cpu=0.5,err_rps=0"));
            Message answer = client.read();
            assertEquals(200, answer.status());
            assertEquals("done", answer.body());
        }
    }

    @Test
    void hopByHopHeadersAreNotForwarded() throws Exception {
        try (RawConnection client = startWithOneUpstream()) {
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1))
                    .replace("X-Lane", "Connection: X-Private\r\nX-Private: 1\r\nX-Lane"));
            Message request = SidecarFixture.accept(upstream).read();
            assertEquals("GET /window-read/x?y=1 HTTP/1.1", request.startLine());
            assertNull(request.header("X-Private"));
            assertNull(request.header("Connection"));
        }
    }

    /** A new connection costs an upstream tens of milliseconds of work, so the second request reuses the first's. */
    @Test
    void upstreamConnectionIsReused() throws Exception {
        try (RawConnection client = startWithOneUpstream()) {
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1)));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            up.send(SidecarFixture.answer("200 OK", "one"));
            assertEquals("one", client.read().body());
            fixture.awaitIdleUpstreams();
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(2)));
            assertEquals(SidecarFixture.requestId(2), up.read().header("X-Txn"));
            up.send(SidecarFixture.answer("200 OK", "two"));
            assertEquals("two", client.read().body());
        }
    }

    /** Guards against taking clients with short deadlines for late retries, which are refused at once. */
    @Test
    void firstAttemptWithShortDeadlineIsServed() throws Exception {
        try (RawConnection client = startWithOneUpstream()) {
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(0)));
            RawConnection up = SidecarFixture.accept(upstream);
            for (int i = 1; i < 6; i++) {
                assertEquals(SidecarFixture.requestId(i - 1), up.read().header("X-Txn"));
                up.send(SidecarFixture.answer("200 OK", ""));
                assertEquals(200, client.read().status());
                fixture.awaitIdleUpstreams();
                client.send(
                        SidecarFixture.getRequest(SidecarFixture.requestId(i)).replace("30000", "9" + i + "00"));
            }
            assertEquals(SidecarFixture.requestId(5), up.read().header("X-Txn"));
        }
    }

    /**
     * Guards against clients that send one request each and stay connected: every one of them held a descriptor for at
     * least two seconds.
     */
    @Test
    void newConnectionClosesAfterFirstAnswerWhenClientsExceedMaxRequests() throws Exception {
        String readinessRequest = "GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n";
        int maxRequests = 20; // half of the descriptors above the reserve
        fixture.start(
                SidecarFixture.listOf(SidecarFixture.address(upstream)),
                SocketBudget.RESERVED_DESCRIPTORS + 2 * maxRequests);
        RawConnection reusedClient =
                fixture.client().send(readinessRequest + SidecarFixture.getRequest(SidecarFixture.requestId(0)));
        assertNull(reusedClient.read().header("Connection"), "the number of clients is below the limit");
        RawConnection up = SidecarFixture.accept(upstream);
        assertEquals(SidecarFixture.requestId(0), up.read().header("X-Txn"));
        for (int i = 1; i < maxRequests; i++) {
            fixture.client().send(SidecarFixture.getRequest(SidecarFixture.requestId(i)));
        }
        try (RawConnection newClient = fixture.client().send(readinessRequest)) {
            assertEquals("close", newClient.read().header("Connection"));
            assertTrue(newClient.awaitClose());
        }
        fixture.client();
        up.send(SidecarFixture.answer("200 OK", ""));
        assertNull(reusedClient.read().header("Connection"), "a reused connection stays open");
    }

    /**
     * Guards against losing the most valuable requests as often as the least valuable ones when client connections run
     * out.
     */
    @Test
    void lastClientConnectionsAreKeptForMoreValuableRequests() throws Exception {
        int maxRequests = 6; // half of the descriptors above the reserve
        int heldConnections = 3; // the other connections are kept for more valuable requests
        fixture.start(
                SidecarFixture.listOf(SidecarFixture.address(upstream)),
                SocketBudget.RESERVED_DESCRIPTORS + 2 * maxRequests);
        RawConnection first = fixture.client()
                .send(SidecarFixture.postRequest(SidecarFixture.requestId(0), "x")
                        + SidecarFixture.getRequest(SidecarFixture.requestId(1)));
        for (int i = 0; i < 2; i++) {
            RawConnection up = SidecarFixture.accept(upstream);
            if (up.read().header("X-Txn").equals(SidecarFixture.requestId(0))) {
                up.send(SidecarFixture.answer("200 OK", "", "Connection: close"));
            }
        }
        assertEquals(200, first.read().status());
        for (int i = 2; i <= heldConnections; i++) {
            fixture.client().send(SidecarFixture.getRequest(SidecarFixture.requestId(i)));
            assertEquals(
                    SidecarFixture.requestId(i),
                    SidecarFixture.accept(upstream).read().header("X-Txn"));
        }
        try (RawConnection last = fixture.client()
                .send(SidecarFixture.getRequest(SidecarFixture.requestId(heldConnections + 1))
                        + SidecarFixture.postRequest(SidecarFixture.requestId(heldConnections + 2), "x"))) {
            Message refused = last.read();
            assertEquals(503, refused.status());
            assertNotNull(refused.header("Retry-After"));
            RawConnection up = SidecarFixture.accept(upstream);
            assertEquals(
                    SidecarFixture.requestId(heldConnections + 2), up.read().header("X-Txn"));
            up.send(SidecarFixture.answer("200 OK", ""));
            assertEquals(200, last.read().status());
        }
    }

    /**
     * An unsafe request may have run once its last byte is sent, so a lost connection is a failure: the request is
     * neither refused nor retried.
     */
    @Test
    void unsafeRequestThatMayHaveRunFails() throws Exception {
        try (RawConnection client = startWithOneUpstream()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            up.reset();
            assertEquals(502, client.read().status());
        }
    }

    @Test
    void unsafeRequestOnAReusedConnectionFails() throws Exception {
        try (RawConnection client = startWithOneUpstream()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            up.send(SidecarFixture.answer("200 OK", ""));
            assertEquals(200, client.read().status());
            fixture.awaitIdleUpstreams();
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(2), "x"));
            up.read();
            up.close();
            assertEquals(502, client.read().status());
        }
    }

    /** A 503 alone does not prove that nothing ran: it may come from a server behind the upstream. */
    @Test
    void status503IsARefusalOnlyIfTheUpstreamReportsThatNothingRan() throws Exception {
        try (RawConnection client = startWithOneUpstream()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            up.send(SidecarFixture.answer(
                    "503 Service Unavailable", "", "Connection: close")); // the next request opens a new connection
            assertEquals(502, client.read().status());
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(2), "x"));
            rejectAllAttempts();
            Message refused = client.read();
            assertEquals(503, refused.status());
            assertNotNull(refused.header("Retry-After"));
        }
    }

    /** Rejects every attempt as not run, so that the balancer may retry it and finally refuses the request. */
    private void rejectAllAttempts() {
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    RawConnection up = SidecarFixture.accept(upstream);
                    up.read();
                    up.send(SidecarFixture.answer("504 Gateway Timeout", "", "X-Turned-Away: 1"));
                }
            } catch (IOException e) {
                // The listener is closed at the end of the test.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    @Test
    void attemptThatCannotConnectIsRetriedOnAnotherUpstream() throws Exception {
        fixture.start(SidecarFixture.list(
                1,
                true,
                SidecarFixture.member("dead", fixture.unusedAddress(), "active"),
                SidecarFixture.member("u1", SidecarFixture.address(upstream), "active")));
        // Upstreams are chosen at random: a request sent to the unreachable one must be retried on the other.
        RawConnection up = null;
        for (int i = 0; i < 6; i++) {
            try (RawConnection client = fixture.client()) {
                client.send(SidecarFixture.postRequest(SidecarFixture.requestId(i), "x"));
                up = up == null ? SidecarFixture.accept(upstream) : up;
                assertEquals(SidecarFixture.requestId(i), up.read().header("X-Txn"));
                up.send(SidecarFixture.answer("200 OK", "ok"));
                assertEquals(200, client.read().status());
                fixture.awaitIdleUpstreams();
            }
        }
    }

    @Test
    void malformedAnswerIsAFailedAttempt() throws Exception {
        try (RawConnection client = startWithOneUpstream()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            up.send("no HTTP at all\r\n\r\n");
            assertEquals(502, client.read().status());
            assertTrue(up.awaitClose());
        }
    }

    @Test
    void oversizedAnswerIsAFailedAttempt() throws Exception {
        try (RawConnection client = startWithOneUpstream()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            up.send("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n");
            assertEquals(502, client.read().status());
        }
    }

    @Test
    void bodyOf64KiBIsTransferredBothWays() throws Exception {
        String body = "b".repeat(Upstreams.MAX_BODY_BYTES);
        try (RawConnection client = startWithOneUpstream()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), body));
            RawConnection up = SidecarFixture.accept(upstream);
            assertEquals(body, up.read().body());
            up.send(SidecarFixture.answer("200 OK", body));
            assertEquals(body, client.read().body());
        }
    }

    /** An answer shorter than its Content-Length is incomplete and does not count. */
    @Test
    void truncatedAnswerIsAFailedAttempt() throws Exception {
        try (RawConnection client = startWithOneUpstream()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            up.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf").close();
            assertEquals(502, client.read().status());
        }
    }

    @Test
    void malformedRequestsAreAnsweredAndNeverForwarded() throws Exception {
        startWithOneUpstream().close();
        assertStatus(404, SidecarFixture.getRequest(SidecarFixture.requestId(1)).replace("window-read", "unheard-of"));
        assertStatus(
                400,
                SidecarFixture.getRequest(SidecarFixture.requestId(1))
                        .replace("X-Remaining-Ms: 30000", "X-Remaining-Ms: soon"));
        assertStatus(
                400,
                SidecarFixture.getRequest(SidecarFixture.requestId(1))
                        .replace("X-Txn: " + SidecarFixture.requestId(1) + "\r\n", ""));
        assertStatus(
                405,
                SidecarFixture.postRequest(SidecarFixture.requestId(1), "x").replace("POST", "GET"));
        assertStatus(
                413,
                "POST /event-submit HTTP/1.1\r\nX-Txn: " + SidecarFixture.requestId(1)
                        + "\r\nContent-Length: 65537\r\n\r\n");
        try (RawConnection client = fixture.client()) {
            client.send("what is this\r\n\r\n");
            assertEquals(400, client.read().status());
            assertTrue(client.awaitClose(), "the start of the next request is unknown");
        }
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(7)));
            assertEquals(
                    SidecarFixture.requestId(7),
                    SidecarFixture.accept(upstream).read().header("X-Txn"),
                    "the first request that is forwarded");
        }
    }

    private void assertStatus(int status, String request) throws Exception {
        try (RawConnection client = fixture.client()) {
            assertEquals(status, client.send(request).read().status(), request);
        }
    }

    @Test
    void clientDisconnectCancelsItsAttempt() throws Exception {
        RawConnection client = startWithOneUpstream();
        client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1)));
        RawConnection up = SidecarFixture.accept(upstream);
        up.read();
        client.close();
        assertTrue(up.awaitClose(), "cancelling an attempt closes its connection");
    }

    /** A hung upstream accepts but never answers: the client still gets one answer at its deadline. */
    @Test
    void requestToAHungUpstreamIsAnsweredAtItsDeadline() throws Exception {
        try (RawConnection client = startWithOneUpstream()) {
            client.send(
                    SidecarFixture.postRequest(SidecarFixture.requestId(1), "x").replace("30000", "1500"));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            assertEquals(502, client.read().status());
            assertTrue(up.awaitClose());
        }
    }

    @Test
    void answersKeepTheOrderOfTheRequestsOnAConnection() throws Exception {
        try (RawConnection client = startWithOneUpstream()) {
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1))
                    + SidecarFixture.getRequest(SidecarFixture.requestId(2)).replace("window-read", "unheard-of"));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            up.send(SidecarFixture.answer("200 OK", "first"));
            assertEquals("first", client.read().body());
            assertEquals(404, client.read().status());
        }
    }

    /** Without free descriptors an accept fails and a request is lost, so upstreams leave sockets for clients. */
    @Test
    void upstreamConnectionsLeaveSocketsForClients() throws Exception {
        fixture.start(SidecarFixture.listOf(SidecarFixture.address(upstream)), SocketBudget.RESERVED_DESCRIPTORS + 4);
        try (RawConnection first = fixture.client();
                RawConnection second = fixture.client()) {
            first.send(SidecarFixture.getRequest(SidecarFixture.requestId(1)));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            first.send(SidecarFixture.getRequest(SidecarFixture.requestId(3)));
            SidecarFixture.accept(upstream).read();
            second.send(SidecarFixture.getRequest(SidecarFixture.requestId(2)));
            assertEquals(503, second.read().status(), "no upstream connection could be opened for it");
            up.send(SidecarFixture.answer("200 OK", "one"));
            assertEquals("one", first.read().body());
        }
    }

    /** Shutdown as on SIGTERM: accepted requests are answered and new ones served before the sidecar stops. */
    @Test
    void stopAnswersAcceptedAndNewRequests() throws Exception {
        try (RawConnection client = startWithOneUpstream()) {
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1)));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            Thread stop = new Thread(() -> {
                try {
                    fixture.sidecar().stop();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            stop.start();
            try (RawConnection late = fixture.client()) {
                late.send(SidecarFixture.getRequest(SidecarFixture.requestId(2)));
                RawConnection second = SidecarFixture.accept(upstream);
                second.read();
                second.send(SidecarFixture.answer("200 OK", "two"));
                assertEquals("two", late.read().body());
            }
            while (isListening()) {
                Thread.onSpinWait(); // the sidecar goes on accepting for a while after the start of its shutdown
            }
            assertTrue(stop.isAlive(), "one request is still open");
            up.send(SidecarFixture.answer("200 OK", "one"));
            assertEquals("one", client.read().body());
            stop.join(RawConnection.TIMEOUT_MS);
            assertFalse(stop.isAlive());
        }
    }

    private boolean isListening() {
        try {
            fixture.client().close();
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
