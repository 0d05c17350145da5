package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertThrows;

import gradehub.node.ClientRequest.RejectedException;
import org.junit.jupiter.api.Test;

/** Which identifiers may be used again, and when. */
class RequestIdsTest {

    private static final int MANY = 100_000;

    private final RequestIds ids = new RequestIds();

    private void open(String id, double nowMs) throws RejectedException {
        ids.open(id, () -> {}, nowMs);
    }

    private void assertRejected(String id, double nowMs) {
        assertThrows(RejectedException.class, () -> open(id, nowMs));
    }

    /** Guards against a second run, and against identifiers that are never free again. */
    @Test
    void requestThatMustNotRepeatIsRememberedForALimitedTime() throws Exception {
        open("a", 1);
        ids.close("a", true, 2);
        assertRejected("a", 2);
        assertRejected("a", 2 + RequestIds.RETENTION_MS);
        open("a", 3 + RequestIds.RETENTION_MS);
    }

    /** Guards against refusing a request that has never run. */
    @Test
    void requestThatMayRepeatIsNotRemembered() throws Exception {
        open("a", 1);
        assertRejected("a", 1);
        ids.close("a", false, 2);
        assertDoesNotThrow(() -> open("a", 2));
    }

    /** Guards against memory that grows with the number of identifiers. */
    @Test
    void oldestIsDroppedWhenTooManyAreRemembered() throws Exception {
        for (int i = 0; i < MANY; i++) {
            open("id" + i, 1);
            ids.close("id" + i, true, 1);
        }
        open("id0", 1);
        assertRejected("id" + (MANY - 1), 1);
    }
}
