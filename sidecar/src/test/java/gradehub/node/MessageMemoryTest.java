package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The memory that all messages hold together stays within a budget; what exceeds it is refused or fails. */
class MessageMemoryTest {

    /** The smallest memory limit that can be configured: about 200 KiB are for messages, three long bodies. */
    private static final int MEMORY_MB = 1;

    private static final int LONG_BODY_BYTES = 60 * 1024;
    private static final int LONG_BODIES = 3;

    private SidecarFixture fixture;
    private ServerSocket upstream;
    private int requests;

    @BeforeEach
    void open() throws Exception {
        fixture = new SidecarFixture();
        upstream = fixture.listener();
        fixture.startWithMemory(
                SidecarFixture.list(1, true, SidecarFixture.member("u1", SidecarFixture.address(upstream), "active")),
                MEMORY_MB);
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private MemoryBudget memory() {
        return fixture.sidecar().memory();
    }

    /** Sends a long request up to its last byte. */
    private RawConnection sendWithoutLastByte() throws Exception {
        String body = "b".repeat(LONG_BODY_BYTES);
        String request = SidecarFixture.postRequest(SidecarFixture.requestId(++requests), body);
        return fixture.client().send(request.substring(0, request.length() - 1));
    }

    private void awaitUsedBytes(long atLeast) throws Exception {
        fixture.awaitOnEventLoop(() -> memory().usedBytes() >= atLeast);
    }

    /** Guards against bodies that are limited on each connection, but not in sum. */
    @Test
    void longRequestBeyondTheBudgetIsRefusedOnceItIsWhole() throws Exception {
        List<RawConnection> admitted = new ArrayList<>();
        for (int i = 1; i <= LONG_BODIES; i++) {
            admitted.add(sendWithoutLastByte());
            awaitUsedBytes((long) i * LONG_BODY_BYTES);
        }
        try (RawConnection refused = sendWithoutLastByte()) {
            assertEquals(503, refused.send("b").read().status());
            fixture.assertServed(100, upstream); // a short request is admitted all the same
            for (RawConnection connection : admitted) {
                connection.close();
            }
            fixture.awaitOnEventLoop(() -> memory().usedBytes() == 0);
            refused.send(SidecarFixture.postRequest(SidecarFixture.requestId(101), "b".repeat(LONG_BODY_BYTES)));
            RawConnection up = SidecarFixture.accept(upstream);
            assertEquals(LONG_BODY_BYTES, up.read().body().length());
            assertTrue(memory().usedBytes() >= LONG_BODY_BYTES, "the request's body is kept until its answer");
            up.send(SidecarFixture.answer("200 OK", ""));
            assertEquals(200, refused.read().status());
        }
        fixture.awaitOnEventLoop(() -> memory().usedBytes() == 0);
    }
}
