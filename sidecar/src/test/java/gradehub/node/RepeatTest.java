package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ServerSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What goes out again and what does not, by what the settings say of its class. */
class RepeatTest {

    private static final String EFFECT_OF_SAFE = "60000,\"idempotency\":\"retryable\"";
    private static final String EFFECT_OF_UNSAFE = "60000,\"idempotency\":\"fragile\"";

    private Rig rig;
    private ServerSocket upstream;
    private String list;

    @BeforeEach
    void open() throws Exception {
        rig = new Rig();
        upstream = rig.listener();
        list = Rig.list(1, true, Rig.member("u1", Rig.address(upstream), "active"));
    }

    @AfterEach
    void close() throws Exception {
        rig.close();
    }

    /** An upstream's connection with nothing on it, after one request of a client's. */
    private Wire idle(Wire client) throws Exception {
        client.send(Rig.post(Rig.id(1), "x"));
        Wire up = Rig.accept(upstream);
        up.read();
        up.send(Rig.answer("200 OK", ""));
        assertEquals(200, client.read().status());
        rig.awaitRested();
        return up;
    }

    private void assertNextIs(int id, Wire client) throws Exception {
        client.send(Rig.post(Rig.id(id), "x"));
        Wire up = Rig.accept(upstream);
        assertEquals(Rig.id(id), up.read().header("X-Txn"), "nothing came before it");
        up.send(Rig.answer("200 OK", "done"));
        assertEquals("done", client.read().body());
    }

    /** The close lies unread in the socket when the request is about to be written: it goes over a new connection. */
    @Test
    void anIdleConnectionThatHasJustBeenClosedIsNotWrittenTo() throws Throwable {
        rig.start(list);
        try (Wire client = rig.client()) {
            Wire up = idle(client);
            rig.whileHeld(() -> {
                client.send(Rig.post(Rig.id(2), "x"));
                up.close();
            });
            Wire next = Rig.accept(upstream);
            assertEquals(Rig.id(2), next.read().header("X-Txn"));
            next.send(Rig.answer("200 OK", "two"));
            assertEquals("two", client.read().body());
        }
    }

    /** The last byte is out, and the upstream closes without having read it: it may have run all the same. */
    @Test
    void whatClosesRightBehindAnUnsafeRequestBringsNoRepeat() throws Exception {
        rig.start(list);
        try (Wire client = rig.client()) {
            Wire up = idle(client);
            client.send(Rig.post(Rig.id(2), "x"));
            up.awaitInput();
            up.close();
            assertEquals(502, client.read().status());
            assertNextIs(3, client);
        }
    }

    @Test
    void aClassThatTheSettingsCallUnsafeIsNotRepeated() throws Exception {
        rig.startWith(list, EFFECT_OF_SAFE, EFFECT_OF_UNSAFE);
        try (Wire client = rig.client()) {
            client.send(Rig.post(Rig.id(1), "x").replace(Rig.UNSAFE, Rig.SAFE));
            Wire up = Rig.accept(upstream);
            up.read();
            up.reset();
            assertEquals(502, client.read().status());
            assertNextIs(2, client);
        }
    }

    @Test
    void aClassThatTheSettingsCallSafeIsRepeated() throws Exception {
        rig.startWith(list, EFFECT_OF_UNSAFE, EFFECT_OF_SAFE);
        try (Wire client = rig.client()) {
            client.send(Rig.get(Rig.id(1)).replace(Rig.SAFE, Rig.UNSAFE));
            Wire up = Rig.accept(upstream);
            up.read();
            up.reset();
            Wire again = Rig.accept(upstream);
            assertEquals(Rig.id(1), again.read().header("X-Txn"));
            again.send(Rig.answer("200 OK", "again"));
            assertEquals("again", client.read().body());
        }
    }

    @Test
    void aSafeClassIsRepeatedOnlyAsOftenAsTheSettingsAllow() throws Exception {
        rig.startWith(list, "\"maxAttempts\":6", "\"maxAttempts\":1");
        try (Wire client = rig.client()) {
            client.send(Rig.get(Rig.id(1)));
            Wire up = Rig.accept(upstream);
            up.read();
            up.reset();
            assertEquals(503, client.read().status());
            assertNextIs(2, client);
        }
    }

    /** A client may state more patience than its class has. */
    @Test
    void theDeadlineOfTheSettingsEndsARequest() throws Exception {
        rig.startWith(
                list,
                "20000,\"hardLimitMs\":60000,\"idempotency\":\"fragile\"",
                "2000,\"hardLimitMs\":2000,\"idempotency\":\"fragile\"");
        try (Wire client = rig.client()) {
            client.send(Rig.post(Rig.id(1), "x"));
            Wire up = Rig.accept(upstream);
            long stated = Long.parseLong(up.read().header("X-Remaining-Ms"));
            assertTrue(stated <= 2000, "the upstream is told " + stated);
            assertEquals(502, client.read().status());
            assertTrue(up.ends());
        }
    }
}
