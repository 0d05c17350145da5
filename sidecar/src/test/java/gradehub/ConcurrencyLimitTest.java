package gradehub;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ConcurrencyLimitTest {

    private static final double WARM = 1;
    private static final double TYPICAL_MS = 100;

    private static ConcurrencyLimit limit(double attempts) {
        ConcurrencyLimit limit = new ConcurrencyLimit();
        limit.reset(attempts);
        return limit;
    }

    /** The most attempts that may be in flight. */
    private static int most(ConcurrencyLimit limit, double nowMs, double warmth) {
        int inFlight = 0;
        while (limit.admits(nowMs, inFlight, warmth)) {
            inFlight++;
        }
        return inFlight;
    }

    private static void answers(ConcurrencyLimit limit, int count, int inFlight, double headroom) {
        for (int i = 0; i < count; i++) {
            limit.adjust(0, inFlight, headroom, 0.5, TYPICAL_MS);
        }
    }

    @Test
    void startsAtWhatItIsGivenButAtOneAtLeast() {
        assertEquals(4, most(limit(4), 0, WARM));
        assertEquals(1, most(limit(0.2), 0, WARM));
        assertTrue(limit(0.2).atMostOne());
        assertFalse(limit(4).atMostOne());
    }

    @Test
    void aPartlyWarmUpstreamGetsItsPartButOneAtLeast() {
        assertEquals(2, most(limit(8), 0, 0.25));
        assertEquals(1, most(limit(8), 0, 0.01));
    }

    @Test
    void quickAnswersRaiseItByAQuarterEachAtMost() {
        ConcurrencyLimit limit = limit(4);
        answers(limit, 4, 4, 10);
        assertEquals(5, most(limit, 0, WARM));
        answers(limit, 10, 5, 0.1);
        assertEquals(6, most(limit, 0, WARM));
    }

    @Test
    void quickAnswersOfAnUpstreamThatIsHardlyUsedLeaveIt() {
        ConcurrencyLimit limit = limit(8);
        answers(limit, 100, 2, 10);
        assertEquals(8, most(limit, 0, WARM));
        answers(limit, 4, 3, 10);
        assertEquals(9, most(limit, 0, WARM));
    }

    @Test
    void slowAnswersLowerItByAHalfEachAtMost() {
        ConcurrencyLimit limit = limit(4);
        answers(limit, 2, 4, -0.9);
        assertEquals(3, most(limit, 0, WARM));
        answers(limit, 4, 3, -0.25);
        assertEquals(2, most(limit, 0, WARM));
    }

    @Test
    void belowOneAttemptItSetsAPace() {
        ConcurrencyLimit limit = limit(1);
        answers(limit, 10, 0, -0.9); // to the minimum of a half: a second attempt's time lies between two
        assertTrue(limit.atMostOne());
        assertEquals(0, most(limit, TYPICAL_MS - 1, WARM));
        assertEquals(1, most(limit, TYPICAL_MS, WARM));
        answers(limit, 1, 0, 0.1); // one quick answer lets single attempts through again
        assertEquals(1, most(limit, TYPICAL_MS, WARM));
    }
}
