package gradehub;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradehub.Balancer.Contract;
import gradehub.Balancer.Status;
import org.junit.jupiter.api.Test;

class SlowStartTest {

    private static final double STARTED_MS = 1000;
    /** Capacity grows from a quarter to all of it within 10 s; the budget is three times the capacity over 2 s. */
    private static final Contract CONTRACT = new Contract(0.25, 10_000, 3, 2000, 10_000);

    private final SlowStart slowStart = new SlowStart(CONTRACT);
    private final TokenBucket budget = new TokenBucket();

    private double capacityFraction(double nowMs, double startedMs) {
        return slowStart.capacityFraction(nowMs, FakeSidecar.upstream(1, Status.READY, startedMs));
    }

    /** Ticks until the measured rate has converged to this many attempts per tick. */
    private void sendEachTick(int attempts) {
        for (int tick = 0; tick < 60; tick++) {
            for (int i = 0; i < attempts; i++) {
                slowStart.recordAttempt(new TokenBucket(), 0);
            }
            slowStart.tick();
        }
    }

    /** The number of attempts admitted to a cold upstream up to {@code untilMs}, each as soon as possible. */
    private int admitted(double untilMs, double capacityFraction, double part, double costMs) {
        budget.reset(0, 0);
        int admitted = 0;
        for (double nowMs = 1; nowMs <= untilMs; nowMs++) {
            while (slowStart.admits(nowMs, budget, capacityFraction, part)) {
                slowStart.recordAttempt(budget, costMs);
                admitted++;
            }
        }
        return admitted;
    }

    @Test
    void capacityGrowsLinearlyOverTheColdTimeOfTheContract() {
        assertEquals(0.25, capacityFraction(STARTED_MS, STARTED_MS));
        assertEquals(0.625, capacityFraction(STARTED_MS + 5000, STARTED_MS));
        assertEquals(1, capacityFraction(STARTED_MS + 10_000, STARTED_MS));
    }

    @Test
    void unknownStartIsWarmAndFutureStartIsCold() {
        assertEquals(1, capacityFraction(5, 0));
        assertEquals(0.25, capacityFraction(STARTED_MS - 5, STARTED_MS));
    }

    @Test
    void coldUpstreamGetsOneAndAHalfTimesItsCapacityPartOfTheLoad() {
        sendEachTick(100); // 1.5 x 100/s x 0.2 of the members' weight x 0.5 of the capacity = 15/s
        assertEquals(150, admitted(10_000, 0.5, 0.2, 0), 1);
    }

    @Test
    void costlyRequestsUseMoreOfTheBudget() {
        sendEachTick(100);
        for (int i = 0; i < 100; i++) {
            slowStart.recordRequest(10);
            slowStart.recordRequest(0); // without a hint: not part of the mean
        }
        assertEquals(50, admitted(10_000, 0.5, 0.2, 30), 1);
    }

    @Test
    void lowerOverloadFactorAdmitsLess() {
        SlowStart stricter = new SlowStart(new Contract(0.25, 10_000, 2, 2000, 10_000));
        for (int i = 0; i < 1000; i++) {
            stricter.recordAttempt(new TokenBucket(), 0);
        }
        stricter.tick(); // measures half of 1 attempt/ms; the rate is half of the overload factor: 1
        budget.reset(0, 0);
        assertFalse(stricter.admits(19, budget, 0.5, 0.2));
        assertTrue(stricter.admits(20, budget, 0.5, 0.2));
    }

    @Test
    void unusedBudgetLapses() {
        sendEachTick(100);
        budget.reset(0, 0);
        slowStart.admits(60_000, budget, 0.5, 0.2); // 15/s for a minute
        int burst = 0;
        while (slowStart.admits(60_000, budget, 0.5, 0.2)) {
            slowStart.recordAttempt(budget, 0);
            burst++;
        }
        assertEquals(4, burst); // one, plus the tokens of a quarter of a tick
    }

    @Test
    void noBudgetWithoutAttempts() {
        budget.reset(0, 0);
        assertFalse(slowStart.admits(100_000, budget, 1, 1));
    }
}
