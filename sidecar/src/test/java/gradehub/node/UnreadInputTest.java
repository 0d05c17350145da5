package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradehub.node.PipeliningClient.Leaving;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Clients that send more than the sidecar reads ahead: behind it, the end of their connection can't be seen. */
class UnreadInputTest {

    private static final String LONG_BODY = "b".repeat(60_000);
    private static final int PIPELINED_REQUESTS = 60;
    private static final int REMAINING_MS = 10_000;
    private static final int WAITED_MS = 500;
    /** The time passed on to an upstream may exceed what is left by this much. */
    private static final int SLACK_MS = 150;

    private static final int REQUESTS_UNTIL_PAUSE = 4;

    /** Sends on a connection of either kind. */
    private interface Sender {
        void send(String request) throws IOException;
    }

    private SidecarFixture fixture;
    private ServerSocket upstream;
    private int requests;

    @BeforeEach
    void open() throws Exception {
        fixture = new SidecarFixture();
        upstream = fixture.listener();
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private static String list(int revision, ServerSocket listener, String phase) {
        return SidecarFixture.list(
                revision, revision == 1, SidecarFixture.member("u1", SidecarFixture.address(listener), phase));
    }

    private String nextRequest() {
        return SidecarFixture.postRequest(SidecarFixture.requestId(++requests), LONG_BODY);
    }

    /** Sends one request after another, which the upstream holds, until the reading of the connection pauses. */
    private List<RawConnection> holdUntilPaused(Sender client) throws IOException {
        List<RawConnection> held = new ArrayList<>();
        for (int i = 0; i < REQUESTS_UNTIL_PAUSE; i++) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(++requests), "x"));
            RawConnection attempt = SidecarFixture.accept(upstream);
            attempt.read();
            held.add(attempt);
        }
        return held;
    }

    /** Asserts that the first request which reaches the upstream is that of another client. */
    private void assertNothingElseIsForwarded() throws IOException {
        try (RawConnection other = fixture.client()) {
            String id = SidecarFixture.requestId(++requests);
            other.send(SidecarFixture.postRequest(id, "x"));
            assertEquals(id, SidecarFixture.accept(upstream).read().header("X-Txn"));
        }
    }

    /** Guards against first attempts for queued requests whose client has left behind unread input. */
    @ParameterizedTest
    @EnumSource
    void queuedRequestsAreNotForwardedAfterTheirClientLeft(Leaving leaving) throws Exception {
        fixture.start(list(1, upstream, "leaving"));
        try (RawConnection watch = fixture.acceptWatch();
                PipeliningClient client = new PipeliningClient(fixture.sidecar().address())) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(++requests), "x"));
            fixture.awaitRequestsInFlight(1);
            client.fillBuffers(this::nextRequest);
            client.leave(leaving);
            watch.send(SidecarFixture.chunk(list(2, upstream, "active")));
            fixture.awaitRequestsInFlight(0);
            long ended = fixture.countOf(RequestLog.Event.UNREAD_INPUT) + fixture.countOf(RequestLog.Event.CLIENT_LEFT);
            assertTrue(ended > 0, "why the request ended is counted");
            assertNothingElseIsForwarded();
        }
    }

    /** Guards against the first byte on a connection that comes up after the client has left; nothing is cancelled. */
    @ParameterizedTest
    @EnumSource
    void connectingRequestIsNotForwardedAfterItsClientLeft(Leaving leaving) throws Exception {
        try (SidecarFixture.FullBacklogListener slow = new SidecarFixture.FullBacklogListener()) {
            fixture.startWithSetting(list(1, slow.listener, "active"), "\"cancel\":true", "\"cancel\":false");
            try (PipeliningClient client =
                    new PipeliningClient(fixture.sidecar().address())) {
                client.send(SidecarFixture.postRequest(SidecarFixture.requestId(++requests), "x"));
                fixture.awaitRequestsInFlight(1);
                client.fillBuffers(this::nextRequest);
                client.leave(leaving);
            }
            assertTrue(slow.drainAndAccept().awaitClose(), "nothing is written to the connection");
        }
    }

    /** Guards against attempts that run on for a client that has left, while the reading of its requests is paused. */
    @Test
    void attemptsAreCancelledWhenTheClientOfUnreadRequestsLeaves() throws Exception {
        fixture.start(list(1, upstream, "active"));
        List<RawConnection> held;
        try (PipeliningClient client = new PipeliningClient(fixture.sidecar().address())) {
            held = holdUntilPaused(client::send);
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(++requests), "x"));
            client.leave(Leaving.CLOSE);
        }
        fixture.sidecar().loop().submit(fixture.sidecar()::checkClients).get();
        assertEquals(0, fixture.requestsInFlight());
        for (RawConnection connection : held) {
            assertTrue(connection.awaitClose());
        }
    }

    /** Guards against a request that has its whole time again after it has waited behind others of its connection. */
    @Test
    void timeSpentBehindOtherRequestsCounts() throws Exception {
        fixture.start(list(1, upstream, "active"));
        try (PipeliningClient client = new PipeliningClient(fixture.sidecar().address())) {
            List<RawConnection> held = holdUntilPaused(client::send);
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(++requests), REMAINING_MS));
            long sentNanos = System.nanoTime();
            while (System.nanoTime() - sentNanos < TimeUnit.MILLISECONDS.toNanos(WAITED_MS)) {
                Thread.onSpinWait();
            }
            held.get(0).send(SidecarFixture.answer("200 OK", "", "Connection: close"));
            String remaining = SidecarFixture.accept(upstream).read().header("X-Remaining-Ms");
            assertTrue(Integer.parseInt(remaining) <= REMAINING_MS - WAITED_MS + SLACK_MS, remaining);
        }
    }

    /** Guards against review case 7: of several held requests, those behind the first had their whole time again. */
    @Test
    void timeBehindOtherRequestsCountsForAllThatAreReadAtOnce() throws Throwable {
        fixture.start(list(1, upstream, "active"));
        try (PipeliningClient client = new PipeliningClient(fixture.sidecar().address())) {
            List<RawConnection> held = holdUntilPaused(client::send);
            client.sendUntilFull(
                    REQUESTS_UNTIL_PAUSE,
                    () -> SidecarFixture.getRequest(SidecarFixture.requestId(++requests), REMAINING_MS));
            long sentNanos = System.nanoTime();
            while (System.nanoTime() - sentNanos < TimeUnit.MILLISECONDS.toNanos(WAITED_MS)) {
                Thread.onSpinWait();
            }
            fixture.whileEventLoopBlocked(() -> {
                for (RawConnection connection : held) {
                    connection.send(SidecarFixture.answer("200 OK", "", "Connection: close"));
                }
            });
            for (int i = 0; i < REQUESTS_UNTIL_PAUSE; i++) {
                String remaining = SidecarFixture.accept(upstream).read().header("X-Remaining-Ms");
                assertTrue(Integer.parseInt(remaining) <= REMAINING_MS - WAITED_MS + SLACK_MS, remaining);
            }
        }
    }

    /** Guards against a later request that is charged with the time of an earlier wait. */
    @Test
    void timeOfAnEarlierWaitDoesNotCount() throws Exception {
        fixture.start(list(1, upstream, "active"));
        try (RawConnection client = fixture.client()) {
            List<RawConnection> held = holdUntilPaused(client::send);
            for (RawConnection connection : held) {
                connection.send(SidecarFixture.answer("200 OK", "", "Connection: close"));
                client.read();
            }
            long answeredNanos = System.nanoTime();
            while (System.nanoTime() - answeredNanos < TimeUnit.MILLISECONDS.toNanos(WAITED_MS)) {
                Thread.onSpinWait();
            }
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(++requests), REMAINING_MS));
            String remaining = SidecarFixture.accept(upstream).read().header("X-Remaining-Ms");
            assertTrue(Integer.parseInt(remaining) > REMAINING_MS - WAITED_MS, remaining);
        }
    }

    /** Guards against pipelined requests that are lost because they are more than can be read ahead. */
    @Test
    void eachPipelinedRequestOfAClientThatStaysIsAnswered() throws Exception {
        try (StubServer answering = StubServer.upstream();
                RawConnection client = startWith(answering)) {
            Thread sender = new Thread(() -> sendPipelined(client));
            sender.start();
            for (int i = 0; i < PIPELINED_REQUESTS; i++) {
                int status = client.read().status();
                assertTrue(status == 200 || status == 503, "status " + status);
            }
            sender.join();
        }
    }

    private RawConnection startWith(StubServer answering) throws Exception {
        fixture.start(SidecarFixture.listOf(answering.address()));
        return fixture.client();
    }

    private void sendPipelined(RawConnection client) {
        try {
            for (int i = 0; i < PIPELINED_REQUESTS; i++) {
                client.send(nextRequest());
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }
}
