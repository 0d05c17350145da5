package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ServerSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests which requests are retried, depending on the settings of their class. */
class RetryTest {

    private static final String SAFE_CLASS_SETTINGS = "60000,\"idempotency\":\"retryable\"";
    private static final String UNSAFE_CLASS_SETTINGS = "60000,\"idempotency\":\"fragile\"";

    private SidecarFixture fixture;
    private ServerSocket upstream;
    private String list;

    @BeforeEach
    void open() throws Exception {
        fixture = new SidecarFixture();
        upstream = fixture.listener();
        list = SidecarFixture.listOf(SidecarFixture.address(upstream));
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    /** Returns an idle upstream connection that has served one request. */
    private RawConnection idleUpstreamConnection(RawConnection client) throws Exception {
        client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
        RawConnection up = SidecarFixture.accept(upstream);
        up.read();
        up.send(SidecarFixture.answer("200 OK", ""));
        assertEquals(200, client.read().status());
        fixture.awaitIdleUpstreams();
        return up;
    }

    private void assertNextRequestIs(int id, RawConnection client) throws Exception {
        client.send(SidecarFixture.postRequest(SidecarFixture.requestId(id), "x"));
        RawConnection up = SidecarFixture.accept(upstream);
        assertEquals(SidecarFixture.requestId(id), up.read().header("X-Txn"), "another request arrived first");
        up.send(SidecarFixture.answer("200 OK", "done"));
        assertEquals("done", client.read().body());
    }

    /** The upstream's close has not been read when the next request is sent; the request must use a new connection. */
    @Test
    void closedIdleConnectionIsNotReused() throws Throwable {
        fixture.start(list);
        try (RawConnection client = fixture.client()) {
            RawConnection up = idleUpstreamConnection(client);
            fixture.whileEventLoopBlocked(() -> {
                client.send(SidecarFixture.postRequest(SidecarFixture.requestId(2), "x"));
                up.close();
            });
            RawConnection next = SidecarFixture.accept(upstream);
            assertEquals(SidecarFixture.requestId(2), next.read().header("X-Txn"));
            next.send(SidecarFixture.answer("200 OK", "two"));
            assertEquals("two", client.read().body());
        }
    }

    /** The upstream closes after the request was fully written, without answering: it may still have been executed. */
    @Test
    void unsafeRequestIsNotRetriedAfterClose() throws Exception {
        fixture.start(list);
        try (RawConnection client = fixture.client()) {
            RawConnection up = idleUpstreamConnection(client);
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(2), "x"));
            up.awaitInput();
            up.close();
            assertEquals(502, client.read().status());
            assertNextRequestIs(3, client);
        }
    }

    @Test
    void requestOfClassConfiguredUnsafeIsNotRetried() throws Exception {
        fixture.startWithSetting(list, SAFE_CLASS_SETTINGS, UNSAFE_CLASS_SETTINGS);
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x")
                    .replace(SidecarFixture.UNSAFE_CLASS, SidecarFixture.SAFE_CLASS));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            up.reset();
            assertEquals(502, client.read().status());
            assertNextRequestIs(2, client);
        }
    }

    @Test
    void requestOfClassConfiguredSafeIsRetried() throws Exception {
        fixture.startWithSetting(list, UNSAFE_CLASS_SETTINGS, SAFE_CLASS_SETTINGS);
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1))
                    .replace(SidecarFixture.SAFE_CLASS, SidecarFixture.UNSAFE_CLASS));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            up.reset();
            RawConnection again = SidecarFixture.accept(upstream);
            assertEquals(SidecarFixture.requestId(1), again.read().header("X-Txn"));
            again.send(SidecarFixture.answer("200 OK", "again"));
            assertEquals("again", client.read().body());
        }
    }

    @Test
    void retriesStopAtConfiguredMaxAttempts() throws Exception {
        fixture.startWithSetting(list, "\"maxAttempts\":6", "\"maxAttempts\":1");
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1)));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            up.reset();
            assertEquals(503, client.read().status());
            assertNextRequestIs(2, client);
        }
    }

    /** A client may send a longer deadline than its class allows; the deadline in the settings applies. */
    @Test
    void configuredDeadlineEndsRequest() throws Exception {
        fixture.startWithSetting(
                list,
                "20000,\"hardLimitMs\":60000,\"idempotency\":\"fragile\"",
                "2000,\"hardLimitMs\":2000,\"idempotency\":\"fragile\"");
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            RawConnection up = SidecarFixture.accept(upstream);
            long remainingMs = Long.parseLong(up.read().header("X-Remaining-Ms"));
            assertTrue(remainingMs <= 2000, "X-Remaining-Ms sent to the upstream is " + remainingMs);
            assertEquals(502, client.read().status());
            assertTrue(up.awaitClose());
        }
    }
}
