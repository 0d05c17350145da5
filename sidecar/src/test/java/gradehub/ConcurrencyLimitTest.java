package gradehub;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ConcurrencyLimitTest {

    private static final double WARM = 1;
    private static final double MEDIAN_MS = 100;

    private static ConcurrencyLimit limit(double attempts) {
        ConcurrencyLimit limit = new ConcurrencyLimit();
        limit.reset(attempts);
        return limit;
    }

    /** The number of attempts that the limit admits at once. */
    private static int admittedAtOnce(ConcurrencyLimit limit, double nowMs, double capacityFraction) {
        int inFlight = 0;
        while (limit.admits(nowMs, inFlight, capacityFraction)) {
            inFlight++;
        }
        return inFlight;
    }

    private static void adjustRepeatedly(ConcurrencyLimit limit, int count, int inFlight, double headroom) {
        for (int i = 0; i < count; i++) {
            limit.adjust(0, inFlight, headroom, 0.5, MEDIAN_MS);
        }
    }

    @Test
    void startsAtTheInitialLimitButAtLeastAtOne() {
        assertEquals(4, admittedAtOnce(limit(4), 0, WARM));
        assertEquals(1, admittedAtOnce(limit(0.2), 0, WARM));
        assertTrue(limit(0.2).atMostOne());
        assertFalse(limit(4).atMostOne());
    }

    @Test
    void coldUpstreamGetsAFractionOfTheLimitButAtLeastOne() {
        assertEquals(2, admittedAtOnce(limit(8), 0, 0.25));
        assertEquals(1, admittedAtOnce(limit(8), 0, 0.01));
    }

    @Test
    void fastAnswersRaiseTheLimitByAtMostAQuarterEach() {
        ConcurrencyLimit limit = limit(4);
        adjustRepeatedly(limit, 4, 4, 10);
        assertEquals(5, admittedAtOnce(limit, 0, WARM));
        adjustRepeatedly(limit, 10, 5, 0.1);
        assertEquals(6, admittedAtOnce(limit, 0, WARM));
    }

    @Test
    void fastAnswersOfALightlyLoadedUpstreamDoNotChangeTheLimit() {
        ConcurrencyLimit limit = limit(8);
        adjustRepeatedly(limit, 100, 2, 10);
        assertEquals(8, admittedAtOnce(limit, 0, WARM));
        adjustRepeatedly(limit, 4, 3, 10);
        assertEquals(9, admittedAtOnce(limit, 0, WARM));
    }

    @Test
    void slowAnswersLowerTheLimitByAtMostAHalfEach() {
        ConcurrencyLimit limit = limit(4);
        adjustRepeatedly(limit, 2, 4, -0.9);
        assertEquals(3, admittedAtOnce(limit, 0, WARM));
        adjustRepeatedly(limit, 4, 3, -0.25);
        assertEquals(2, admittedAtOnce(limit, 0, WARM));
    }

    @Test
    void limitBelowOneSetsAMinimumInterval() {
        ConcurrencyLimit limit = limit(1);
        adjustRepeatedly(limit, 10, 0, -0.9); // down to the minimum of 0.5: attempts are one median latency apart
        assertTrue(limit.atMostOne());
        assertEquals(0, admittedAtOnce(limit, MEDIAN_MS - 1, WARM));
        assertEquals(1, admittedAtOnce(limit, MEDIAN_MS, WARM));
        adjustRepeatedly(limit, 1, 0, 0.1); // one fast answer ends the interval
        assertEquals(1, admittedAtOnce(limit, MEDIAN_MS, WARM));
    }
}
