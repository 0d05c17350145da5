package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Slow start must last for its configured duration even if wall clocks are stepped. */
class StartTimesTest {

    private static final double NOW_MS = 1e12;
    private static final double HOUR_MS = 3.6e6;
    private static final double SILENT_MS = 2000;

    private final StartTimes starts = new StartTimes();

    private double startedMs(String member, double reportedMs, double nowMs) {
        return starts.startedMs(member, reportedMs, nowMs, SILENT_MS);
    }

    @Test
    void newPlausibleStartIsKept() {
        assertEquals(NOW_MS - 300, startedMs("u1", NOW_MS - 300, NOW_MS));
        assertEquals(0, startedMs("u2", 0, NOW_MS), "a start of 0 means long ago");
    }

    /** Guards against a clock step of an hour that makes a cold upstream look warm. */
    @Test
    void newStartFarInThePastIsReplacedByReportTime() {
        assertEquals(NOW_MS, startedMs("u1", NOW_MS - HOUR_MS, NOW_MS));
        assertEquals(NOW_MS, startedMs("u1", NOW_MS - HOUR_MS, NOW_MS + 5000), "the same start, reported again");
    }

    /** Guards against a clock step of an hour that keeps an upstream in slow start for that hour. */
    @Test
    void startInTheFutureIsReplacedByReportTime() {
        assertEquals(NOW_MS, startedMs("u1", NOW_MS + HOUR_MS, NOW_MS));
    }

    /** After an outage and in a process's first list, any start since the last message from discovery is plausible. */
    @Test
    void startDuringDiscoveryOutageIsKept() {
        assertEquals(NOW_MS - 9000, starts.startedMs("u1", NOW_MS - 9000, NOW_MS, 8000));
        double first = starts.startedMs("u2", NOW_MS - HOUR_MS, NOW_MS, Double.POSITIVE_INFINITY);
        assertEquals(NOW_MS - HOUR_MS, first);
    }

    @Test
    void upstreamReturningWithoutRestartIsNotNew() {
        starts.startedMs("u1", NOW_MS - HOUR_MS, NOW_MS, Double.POSITIVE_INFINITY);
        assertEquals(NOW_MS - HOUR_MS, startedMs("u1", NOW_MS - HOUR_MS, NOW_MS + 5000));
        assertEquals(NOW_MS + 4900, startedMs("u1", NOW_MS + 4900, NOW_MS + 5000), "a restart is a new start");
    }
}
