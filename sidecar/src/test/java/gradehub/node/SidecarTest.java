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
    void aRequestGoesOnUnchangedAndItsAnswerComesBack() throws Exception {
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
    void headersOfOneHopDoNotGoOn() throws Exception {
        try (RawConnection client = startWithOne()) {
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1))
                    .replace("X-Lane", "Connection: X-Private\r\nX-Private: 1\r\nX-Lane"));
            Message request = SidecarFixture.accept(upstream).read();
            assertEquals("GET /window-read/x?y=1 HTTP/1.1", request.startLine());
            assertNull(request.header("X-Private"));
            assertNull(request.header("Connection"));
        }
    }

    /** A new connection costs an upstream tens of milliseconds of work: the second request takes the first's. */
    @Test
    void anUpstreamsConnectionIsUsedAgain() throws Exception {
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

    /** Clients whose patience is short were taken for ones that come again too late, and refused at once. */
    @Test
    void anImpatientFirstTryIsServed() throws Exception {
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

    /** Those that ask once and stay took what requests could have used, each for two seconds at least. */
    @Test
    void whereClientsAreCrowdedAConnectionEndsWithItsFirstAnswer() throws Exception {
        String ask = "GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n";
        int most = 20; // requests: half of what is beyond the least
        fixture.start(
                SidecarFixture.list(1, true, SidecarFixture.member("u1", SidecarFixture.address(upstream), "active")),
                SocketBudget.RESERVED_DESCRIPTORS + 2 * most);
        RawConnection known = fixture.client().send(ask + SidecarFixture.getRequest(SidecarFixture.requestId(0)));
        assertNull(known.read().header("Connection"), "there is room");
        RawConnection up = SidecarFixture.accept(upstream);
        assertEquals(SidecarFixture.requestId(0), up.read().header("X-Txn"));
        for (int i = 1; i < most; i++) {
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

    /** Where clients had no connection left, what was worth most was lost as often as what was worth least. */
    @Test
    void theLastConnectionsOfClientsAreLeftToWorthierRequests() throws Exception {
        int most = 6; // requests: half of what is beyond the least
        int held = 3; // beyond which what is left is kept
        fixture.start(
                SidecarFixture.list(1, true, SidecarFixture.member("u1", SidecarFixture.address(upstream), "active")),
                SocketBudget.RESERVED_DESCRIPTORS + 2 * most);
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

    /** Once its last byte is out an unsafe request may have run: a break is a failure, never a refusal or a repeat. */
    @Test
    void anUnsafeRequestThatMayHaveRunFails() throws Exception {
        try (RawConnection client = startWithOne()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            up.reset();
            assertEquals(502, client.read().status());
        }
    }

    @Test
    void theSameHoldsOnAConnectionThatWasUsedBefore() throws Exception {
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

    /** A 503 proves nothing by itself: it may come from something behind the upstream. */
    @Test
    void a503IsARefusalOnlyWhereTheUpstreamSaysThatNothingRan() throws Exception {
        try (RawConnection client = startWithOne()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            up.send(SidecarFixture.answer(
                    "503 Service Unavailable", "", "Connection: close")); // the next one is accepted anew
            assertEquals(502, client.read().status());
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(2), "x"));
            turnAway();
            Message refused = client.read();
            assertEquals(503, refused.status());
            assertNotNull(refused.header("Retry-After"));
        }
    }

    /** Turned away unseen, a request may come again as often as the module likes; in the end it is refused. */
    private void turnAway() {
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    RawConnection up = SidecarFixture.accept(upstream);
                    up.read();
                    up.send(SidecarFixture.answer("504 Gateway Timeout", "", "X-Turned-Away: 1"));
                }
            } catch (IOException e) {
                // The listener has closed, and with it the test.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    @Test
    void whatCouldNotConnectGoesToAnotherUpstream() throws Exception {
        fixture.start(SidecarFixture.list(
                1,
                true,
                SidecarFixture.member("dead", fixture.unusedAddress(), "active"),
                SidecarFixture.member("u1", SidecarFixture.address(upstream), "active")));
        // Each of several is drawn at random: whichever come to the dead one first must go on to the other.
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
    void rubbishFromAnUpstreamIsAFailedAttempt() throws Exception {
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
    void anAnswerThatIsTooLongIsAFailedAttempt() throws Exception {
        try (RawConnection client = startWithOne()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            up.send("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n");
            assertEquals(502, client.read().status());
        }
    }

    @Test
    void aBodyOf64KiBGoesBothWays() throws Exception {
        String body = "b".repeat(Upstreams.MAX_BODY_BYTES);
        try (RawConnection client = startWithOne()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), body));
            RawConnection up = SidecarFixture.accept(upstream);
            assertEquals(body, up.read().body());
            up.send(SidecarFixture.answer("200 OK", body));
            assertEquals(body, client.read().body());
        }
    }

    /** A whole answer that is cut short is none: what was promised by its length never came. */
    @Test
    void anAnswerCutShortIsAFailedAttempt() throws Exception {
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
    void aClientThatLeavesEndsItsAttempt() throws Exception {
        RawConnection client = startWithOne();
        client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1)));
        RawConnection up = SidecarFixture.accept(upstream);
        up.read();
        client.close();
        assertTrue(up.awaitClose(), "giving up an attempt closes its connection");
    }

    /** A hung upstream accepts and answers nothing: the client still gets its one answer, at its deadline. */
    @Test
    void aHungUpstreamDoesNotLoseTheRequest() throws Exception {
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
    void answersOfOneConnectionKeepTheOrderOfItsRequests() throws Exception {
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

    /** Past the limit on descriptors an accept fails and its request is lost: upstreams leave room for clients. */
    @Test
    void connectionsToUpstreamsLeaveRoomForClients() throws Exception {
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

    /** What SIGTERM begins: what was taken is answered, what comes is served, and only then it ends. */
    @Test
    void aStopAnswersWhatWasTakenAndWhatStillComes() throws Exception {
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
                Thread.onSpinWait(); // it goes on accepting for a while; what counts is what it does after that
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
