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

/** The whole sidecar over loopback sockets, with the test as client, upstream and discovery. */
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

    private RawConnection startWithOne() throws Exception {
        return fixture.start(SidecarFixture.list(
                        1, true, SidecarFixture.member("u1", SidecarFixture.address(upstream), "active")))
                .client();
    }

    @Test
    void requestIsForwardedUnchangedAndItsAnswerReturned() throws Exception {
        try (RawConnection client = startWithOne()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "payload"));
            RawConnection up = SidecarFixture.accept(upstream);
            Message request = up.read();
            assertEquals("POST /event-submit HTTP/1.1", request.startLine());
            assertEquals("payload", request.body());
            assertEquals(SidecarFixture.requestId(1), request.header("X-Txn"));
            long left = Long.parseLong(request.header("X-Remaining-Ms"));
            assertTrue(left > 0 && left <= 30_000, "it tells how long the sidecar waits: " + left);
            up.send(SidecarFixture.answer("200 OK", "done", "X-Pressure: rps=1,cpu=0.5,err_rps=0"));
            Message answer = client.read();
            assertEquals(200, answer.status());
            assertEquals("done", answer.body());
        }
    }

    @Test
    void hopByHopHeadersAreNotForwarded() throws Exception {
        try (RawConnection client = startWithOne()) {
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
        try (RawConnection client = startWithOne()) {
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

    /** Clients with short deadlines were mistaken for late retries and refused at once. */
    @Test
    void firstAttemptWithShortDeadlineIsServed() throws Exception {
        try (RawConnection client = startWithOne()) {
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

    /** Clients that sent one request and stayed connected held descriptors for at least two seconds each. */
    @Test
    void connectionClosesAfterItsFirstAnswerWhenClientsAreCrowded() throws Exception {
        String ask = "GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n";
        int maxRequests = 20; // requests: half of the descriptors above the reserve
        fixture.start(
                SidecarFixture.list(1, true, SidecarFixture.member("u1", SidecarFixture.address(upstream), "active")),
                SocketBudget.RESERVED_DESCRIPTORS + 2 * maxRequests);
        RawConnection known = fixture.client().send(ask + SidecarFixture.getRequest(SidecarFixture.requestId(0)));
        assertNull(known.read().header("Connection"), "there is room");
        RawConnection up = SidecarFixture.accept(upstream);
        assertEquals(SidecarFixture.requestId(0), up.read().header("X-Txn"));
        for (int i = 1; i < maxRequests; i++) {
            fixture.client().send(SidecarFixture.getRequest(SidecarFixture.requestId(i)));
        }
        try (RawConnection added = fixture.client().send(ask)) {
            assertEquals("close", added.read().header("Connection"));
            assertTrue(added.awaitClose());
        }
        fixture.client();
        up.send(SidecarFixture.answer("200 OK", ""));
        assertNull(known.read().header("Connection"), "it has come back before");
    }

    /** When client connections ran out, the most valuable requests were lost as often as the least valuable. */
    @Test
    void lastClientConnectionsAreKeptForMoreValuableRequests() throws Exception {
        int maxRequests = 6; // requests: half of the descriptors above the reserve
        int held = 3; // further connections are kept for more valuable requests
        fixture.start(
                SidecarFixture.list(1, true, SidecarFixture.member("u1", SidecarFixture.address(upstream), "active")),
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
        for (int i = 2; i <= held; i++) {
            fixture.client().send(SidecarFixture.getRequest(SidecarFixture.requestId(i)));
            assertEquals(
                    SidecarFixture.requestId(i),
                    SidecarFixture.accept(upstream).read().header("X-Txn"));
        }
        try (RawConnection last = fixture.client()
                .send(SidecarFixture.getRequest(SidecarFixture.requestId(held + 1))
                        + SidecarFixture.postRequest(SidecarFixture.requestId(held + 2), "x"))) {
            Message refused = last.read();
            assertEquals(503, refused.status());
            assertNotNull(refused.header("Retry-After"));
            RawConnection up = SidecarFixture.accept(upstream);
            assertEquals(SidecarFixture.requestId(held + 2), up.read().header("X-Txn"));
            up.send(SidecarFixture.answer("200 OK", ""));
            assertEquals(200, last.read().status());
        }
    }

    /** An unsafe request may have run once its last byte is sent: a lost connection is a failure, not a refusal or retry. */
    @Test
    void unsafeRequestThatMayHaveRunFails() throws Exception {
        try (RawConnection client = startWithOne()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            up.reset();
            assertEquals(502, client.read().status());
        }
    }

    @Test
    void unsafeRequestOnAReusedConnectionFails() throws Exception {
        try (RawConnection client = startWithOne()) {
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
        try (RawConnection client = startWithOne()) {
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

    /** Rejects every attempt before it runs: the balancer may retry at will, and finally refuses the request. */
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
        // Upstreams are drawn at random: a request that draws the dead one first must be retried on the other.
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
        try (RawConnection client = startWithOne()) {
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
        try (RawConnection client = startWithOne()) {
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
        try (RawConnection client = startWithOne()) {
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
        try (RawConnection client = startWithOne()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            up.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf").close();
            assertEquals(502, client.read().status());
        }
    }

    @Test
    void malformedRequestsAreAnsweredAndNeverForwarded() throws Exception {
        startWithOne().close();
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
            assertTrue(client.awaitClose(), "where the next request begins is not known");
        }
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(7)));
            assertEquals(
                    SidecarFixture.requestId(7),
                    SidecarFixture.accept(upstream).read().header("X-Txn"),
                    "the first that any upstream saw");
        }
    }

    private void assertStatus(int status, String request) throws Exception {
        try (RawConnection client = fixture.client()) {
            assertEquals(status, client.send(request).read().status(), request);
        }
    }

    @Test
    void clientDisconnectCancelsItsAttempt() throws Exception {
        RawConnection client = startWithOne();
        client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1)));
        RawConnection up = SidecarFixture.accept(upstream);
        up.read();
        client.close();
        assertTrue(up.awaitClose(), "giving up an attempt closes its connection");
    }

    /** A hung upstream accepts but never answers: the client still gets one answer at its deadline. */
    @Test
    void requestToAHungUpstreamIsAnsweredAtItsDeadline() throws Exception {
        try (RawConnection client = startWithOne()) {
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
        try (RawConnection client = startWithOne()) {
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1))
                    + SidecarFixture.getRequest(SidecarFixture.requestId(2)).replace("window-read", "unheard-of"));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            up.send(SidecarFixture.answer("200 OK", "first"));
            assertEquals("first", client.read().body());
            assertEquals(404, client.read().status());
        }
    }

    /** Beyond the descriptor limit an accept fails and its request is lost, so upstreams leave sockets for clients. */
    @Test
    void upstreamConnectionsLeaveSocketsForClients() throws Exception {
        fixture.start(
                SidecarFixture.list(1, true, SidecarFixture.member("u1", SidecarFixture.address(upstream), "active")),
                SocketBudget.RESERVED_DESCRIPTORS + 4);
        try (RawConnection first = fixture.client();
                RawConnection second = fixture.client()) {
            first.send(SidecarFixture.getRequest(SidecarFixture.requestId(1)));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            first.send(SidecarFixture.getRequest(SidecarFixture.requestId(3)));
            SidecarFixture.accept(upstream).read();
            second.send(SidecarFixture.getRequest(SidecarFixture.requestId(2)));
            assertEquals(503, second.read().status(), "it could not connect, and is refused");
            up.send(SidecarFixture.answer("200 OK", "one"));
            assertEquals("one", first.read().body());
        }
    }

    /** Shutdown as on SIGTERM: accepted requests are answered and new ones served before the sidecar stops. */
    @Test
    void stopAnswersAcceptedAndNewRequests() throws Exception {
        try (RawConnection client = startWithOne()) {
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
            while (listening()) {
                Thread.onSpinWait(); // it keeps accepting for a while; the test checks the state after that
            }
            assertTrue(stop.isAlive(), "one request is still in hand");
            up.send(SidecarFixture.answer("200 OK", "one"));
            assertEquals("one", client.read().body());
            stop.join(RawConnection.TIMEOUT_MS);
            assertFalse(stop.isAlive());
        }
    }

    private boolean listening() {
        try {
            fixture.client().close();
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
