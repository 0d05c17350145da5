package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import gradehub.node.PipeliningClient.Leaving;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Clients of the packaged sidecar that close their connection while their requests wait. */
class ClientLeavesIT {

    private static final String HELD_ID_PREFIX = "e";
    private static final String TURNED_AWAY = SidecarFixture.answer("503 Busy", "", "X-Turned-Away: 1");
    /** Each is answered after a turn of the event loop, in which the sidecar can see what has arrived before. */
    private static final int BARRIER_REQUESTS = 50;

    @TempDir
    private Path folder;

    private final List<String> heldAttempts = new CopyOnWriteArrayList<>();
    private final CountDownLatch attemptReceived = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);

    private SidecarFixture fixture;
    private StubServer upstream;
    private StubServer otherUpstream;
    private StubServer discovery;
    private SidecarProcess sidecar;
    private volatile String heldAnswer = TURNED_AWAY;
    private int requests;

    @BeforeEach
    void open() throws Exception {
        fixture = new SidecarFixture();
        upstream = StubServer.answering(this::holdOrAnswer);
        otherUpstream = StubServer.answering(this::holdOrAnswer);
        discovery = StubServer.discovery(SidecarFixture.list(
                1,
                true,
                SidecarFixture.member("u1", upstream.address(), "active"),
                SidecarFixture.member("u2", otherUpstream.address(), "active")));
    }

    @AfterEach
    void close() throws Exception {
        released.countDown();
        sidecar.close();
        discovery.close();
        upstream.close();
        otherUpstream.close();
        fixture.close();
    }

    private void start(boolean cancel) throws Exception {
        ObjectNode config = fixture.config(null).put("discovery", discovery.address());
        config.withObject("/settings/limits").put("cancel", cancel);
        sidecar = SidecarProcess.start(folder, config, Map.of());
        sidecar.awaitReady();
    }

    /** Holds the requests of the client that leaves, and answers them once they are released. */
    private String holdOrAnswer(RawConnection.Message request) {
        String id = request.header("X-Txn");
        if (!id.startsWith(HELD_ID_PREFIX)) {
            return SidecarFixture.answer("200 OK", id);
        }
        heldAttempts.add(id);
        attemptReceived.countDown();
        try {
            released.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return heldAnswer;
    }

    private String nextHeldId() {
        return HELD_ID_PREFIX + SidecarFixture.requestId(++requests).substring(HELD_ID_PREFIX.length());
    }

    private String nextRequest(int bodyBytes) {
        String id = nextHeldId();
        return bodyBytes == 0 ? SidecarFixture.getRequest(id) : SidecarFixture.postRequest(id, "b".repeat(bodyBytes));
    }

    /** Lets the sidecar read and process all that has arrived. */
    private void awaitProcessed() throws IOException {
        try (RawConnection other = sidecar.client()) {
            for (int i = 0; i < BARRIER_REQUESTS; i++) {
                other.send(SidecarFixture.getRequest(SidecarFixture.requestId(++requests)));
                assertEquals(200, other.read().status());
            }
        }
    }

    /** Guards against attempts for a client whose close lies behind more input than the sidecar reads ahead. */
    @ParameterizedTest
    @CsvSource({"CLOSE, 60000", "RESET, 60000", "CLOSE, 0", "RESET, 0"})
    void nothingIsSentOnAfterTheClientOfUnreadRequestsLeft(Leaving leaving, int bodyBytes) throws Exception {
        start(true);
        try (PipeliningClient client = new PipeliningClient(sidecar.address())) {
            client.send(nextRequest(1)); // alone, so that it is forwarded and waits for its retry
            assertTrue(attemptReceived.await(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            client.fillBuffers(() -> nextRequest(bodyBytes));
            awaitProcessed();
            client.leave(leaving);
        }
        awaitProcessed();
        int before = heldAttempts.size();
        released.countDown();
        awaitProcessed();
        assertEquals(List.of(), heldAttempts.subList(before, heldAttempts.size()), "sent after their client had left");
    }

    /** Guards against a request that runs twice: its identifier comes again after its first client has left. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void unsafeRequestIsNotSentAgainAfterItsClientLeft(boolean cancel) throws Exception {
        start(cancel);
        heldAnswer = SidecarFixture.answer("200 OK", "");
        String request = SidecarFixture.postRequest(nextHeldId(), "x");
        try (RawConnection client = sidecar.client()) {
            client.send(request);
            assertTrue(attemptReceived.await(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        }
        awaitProcessed();
        released.countDown();
        awaitProcessed();
        try (RawConnection again = sidecar.client()) {
            again.send(request);
            assertEquals(409, again.read().status());
        }
        assertEquals(1, heldAttempts.size(), "attempts of one identifier");
    }

    /** A request that may run any number of times is sent again whenever its identifier comes again. */
    @Test
    void safeRequestIsSentAgainAfterItsClientLeft() throws Exception {
        start(true);
        String request = SidecarFixture.getRequest(nextHeldId());
        try (RawConnection client = sidecar.client()) {
            client.send(request);
            assertTrue(attemptReceived.await(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        }
        awaitProcessed();
        int before = heldAttempts.size();
        released.countDown();
        try (RawConnection again = sidecar.client()) {
            again.send(request);
            assertEquals(503, again.read().status(), "the upstreams turn it away");
        }
        assertTrue(heldAttempts.size() > before, "it has been sent again");
    }
}
