package gradehub.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Wall clocks that are stepped: slow start is a span of real time, whatever they say. */
class StartTimesTest {

    private static final double NOW_MS = 1e12;
    private static final double HOUR_MS = 3.6e6;
    private static final double LINE_MS = 2000;

    private final StartTimes starts = new StartTimes();

    private double startedMs(String member, double toldMs, double nowMs) {
        return starts.startedMs(member, toldMs, nowMs, LINE_MS);
    }

    @Test
    void aStartThatIsNewsIsTakenAsTold() {
        assertEquals(NOW_MS - 300, startedMs("u1", NOW_MS - 300, NOW_MS));
        assertEquals(0, startedMs("u2", 0, NOW_MS), "long ago");
    }

    /** A clock that was stepped by an hour made a cold upstream look warm. */
    @Test
    void aStartThatIsNewsAndSeemsLongAgoCountsFromWhenItWasTold() {
        assertEquals(NOW_MS, startedMs("u1", NOW_MS - HOUR_MS, NOW_MS));
        assertEquals(NOW_MS, startedMs("u1", NOW_MS - HOUR_MS, NOW_MS + 5000), "and is told again");
    }

    /** A clock that was stepped by an hour kept an upstream in slow start for that hour. */
    @Test
    void aStartInTheFutureCountsFromWhenItWasTold() {
        assertEquals(NOW_MS, startedMs("u1", NOW_MS + HOUR_MS, NOW_MS));
    }

    /** After an outage, and in the first list of a process, starts may be of any time since discovery was heard. */
    @Test
    void aStartDuringSilenceIsTakenAsTold() {
        assertEquals(NOW_MS - 9000, starts.startedMs("u1", NOW_MS - 9000, NOW_MS, 8000));
        double first = starts.startedMs("u2", NOW_MS - HOUR_MS, NOW_MS, Double.POSITIVE_INFINITY);
        assertEquals(NOW_MS - HOUR_MS, first);
    }

    @Test
    void oneThatComesBackWithoutARestartIsNotNew() {
        starts.startedMs("u1", NOW_MS - HOUR_MS, NOW_MS, Double.POSITIVE_INFINITY);
        assertEquals(NOW_MS - HOUR_MS, startedMs("u1", NOW_MS - HOUR_MS, NOW_MS + 5000));
        assertEquals(NOW_MS + 4900, startedMs("u1", NOW_MS + 4900, NOW_MS + 5000), "but a restart is");
    }
}
