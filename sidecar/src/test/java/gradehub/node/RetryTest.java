package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ServerSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What goes out again and what does not, by what the settings say of its class. */
class RetryTest {

    private static final String EFFECT_OF_SAFE = "60000,\"idempotency\":\"retryable\"";
    private static final String EFFECT_OF_UNSAFE = "60000,\"idempotency\":\"fragile\"";

    private SidecarFixture fixture;
    private ServerSocket upstream;
    private String list;

    @BeforeEach
    void open() throws Exception {
        fixture = new SidecarFixture();
        upstream = fixture.listener();
        list = SidecarFixture.list(1, true, SidecarFixture.member("u1", SidecarFixture.address(upstream), "active"));
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    /** An upstream's connection with nothing on it, after one request of a client's. */
    private RawConnection idle(RawConnection client) throws Exception {
        client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
        RawConnection up = SidecarFixture.accept(upstream);
        up.read();
        up.send(SidecarFixture.answer("200 OK", ""));
        assertEquals(200, client.read().status());
        fixture.awaitIdleUpstreams();
        return up;
    }

    private void assertNextIs(int id, RawConnection client) throws Exception {
        client.send(SidecarFixture.postRequest(SidecarFixture.requestId(id), "x"));
        RawConnection up = SidecarFixture.accept(upstream);
        assertEquals(SidecarFixture.requestId(id), up.read().header("X-Txn"), "nothing came before it");
        up.send(SidecarFixture.answer("200 OK", "done"));
        assertEquals("done", client.read().body());
    }

    /** The close lies unread in the socket when the request is about to be written: it goes over a new connection. */
    @Test
    void anIdleConnectionThatHasJustBeenClosedIsNotWrittenTo() throws Throwable {
        fixture.start(list);
        try (RawConnection client = fixture.client()) {
            RawConnection up = idle(client);
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

    /** The last byte is out, and the upstream closes without having read it: it may have run all the same. */
    @Test
    void whatClosesRightBehindAnUnsafeRequestBringsNoRepeat() throws Exception {
        fixture.start(list);
        try (RawConnection client = fixture.client()) {
            RawConnection up = idle(client);
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(2), "x"));
            up.awaitInput();
            up.close();
            assertEquals(502, client.read().status());
            assertNextIs(3, client);
        }
    }

    @Test
    void aClassThatTheSettingsCallUnsafeIsNotRepeated() throws Exception {
        fixture.startWithSetting(list, EFFECT_OF_SAFE, EFFECT_OF_UNSAFE);
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x")
                    .replace(SidecarFixture.UNSAFE_CLASS, SidecarFixture.SAFE_CLASS));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            up.reset();
            assertEquals(502, client.read().status());
            assertNextIs(2, client);
        }
    }

    @Test
    void aClassThatTheSettingsCallSafeIsRepeated() throws Exception {
        fixture.startWithSetting(list, EFFECT_OF_UNSAFE, EFFECT_OF_SAFE);
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
    void aSafeClassIsRepeatedOnlyAsOftenAsTheSettingsAllow() throws Exception {
        fixture.startWithSetting(list, "\"maxAttempts\":6", "\"maxAttempts\":1");
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.getRequest(SidecarFixture.requestId(1)));
            RawConnection up = SidecarFixture.accept(upstream);
            up.read();
            up.reset();
            assertEquals(503, client.read().status());
            assertNextIs(2, client);
        }
    }

    /** A client may state more patience than its class has. */
    @Test
    void theDeadlineOfTheSettingsEndsARequest() throws Exception {
        fixture.startWithSetting(
                list,
                "20000,\"hardLimitMs\":60000,\"idempotency\":\"fragile\"",
                "2000,\"hardLimitMs\":2000,\"idempotency\":\"fragile\"");
        try (RawConnection client = fixture.client()) {
            client.send(SidecarFixture.postRequest(SidecarFixture.requestId(1), "x"));
            RawConnection up = SidecarFixture.accept(upstream);
            long stated = Long.parseLong(up.read().header("X-Remaining-Ms"));
            assertTrue(stated <= 2000, "the upstream is told " + stated);
            assertEquals(502, client.read().status());
            assertTrue(up.awaitClose());
        }
    }
}
