package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradehub.node.RequestLog.Event;
import org.junit.jupiter.api.Test;

/** Lines are limited in rate; the counts are not. */
class RequestLogTest {

    /** Guards against events that are missing in the counts because their line was suppressed. */
    @Test
    void eachEventIsCounted() {
        RequestLog log = new RequestLog();
        for (int i = 0; i < 3; i++) {
            log.record(Event.CLIENT_LEFT, SidecarFixture.requestId(i), 1, "in a test");
        }
        assertEquals(3, log.count(Event.CLIENT_LEFT));
        assertTrue(log.totals().startsWith("event=request-totals client-left=3 "), log.totals());
    }
}
