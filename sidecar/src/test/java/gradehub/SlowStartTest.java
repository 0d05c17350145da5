package gradehub;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradehub.Balancer.Contract;
import gradehub.Balancer.Status;
import org.junit.jupiter.api.Test;

class SlowStartTest {

    private static final double STARTED_MS = 1000;
    /** A quarter at the start, all after 10 s, and a budget of three times that over 2 s. */
    private static final Contract CONTRACT = new Contract(0.25, 10_000, 3, 2000, 10_000);

    private final SlowStart slowStart = new SlowStart(CONTRACT);
    private final TokenBucket budget = new TokenBucket();

    private double warmth(double nowMs, double startedMs) {
        return slowStart.warmth(nowMs, FakeSidecar.upstream(1, Status.READY, startedMs));
    }

    /** Lets the rate settle at this many attempts in each tick. */
    private void sendEachTick(int attempts) {
        for (int tick = 0; tick < 60; tick++) {
            for (int i = 0; i < attempts; i++) {
                slowStart.sent(new TokenBucket(), 0);
            }
            slowStart.tick();
        }
    }

    /** The attempts that a cold upstream is sent from 0 to {@code untilMs}, each as soon as it may be. */
    private int admitted(double untilMs, double warmth, double part, double costMs) {
        budget.start(0, 0);
        int admitted = 0;
        for (double nowMs = 1; nowMs <= untilMs; nowMs++) {
            while (slowStart.admits(nowMs, budget, warmth, part)) {
                slowStart.sent(budget, costMs);
                admitted++;
            }
        }
        return admitted;
    }

    @Test
    void warmthGrowsEvenlyOverTheTimeOfTheContract() {
        assertEquals(0.25, warmth(STARTED_MS, STARTED_MS));
        assertEquals(0.625, warmth(STARTED_MS + 5000, STARTED_MS));
        assertEquals(1, warmth(STARTED_MS + 10_000, STARTED_MS));
    }

    @Test
    void whatStartedLongAgoIsWarmAndWhatIsYetToStartIsCold() {
        assertEquals(1, warmth(5, 0));
        assertEquals(0.25, warmth(STARTED_MS - 5, STARTED_MS));
    }

    @Test
    void aColdUpstreamIsSentOneAndAHalfTimesItsWarmPartOfWhatIsSent() {
        sendEachTick(100); // 1.5 x 100 a second x 0.2 of the members' weight x 0.5 warm: 15 a second
        assertEquals(150, admitted(10_000, 0.5, 0.2, 0), 1);
    }

    @Test
    void heavyRequestsUseUpMoreOfTheBudget() {
        sendEachTick(100);
        for (int i = 0; i < 100; i++) {
            slowStart.requested(10);
            slowStart.requested(0); // tells nothing of the mean
        }
        assertEquals(50, admitted(10_000, 0.5, 0.2, 30), 1);
    }

    @Test
    void aSlowContractAllowsLess() {
        SlowStart careful = new SlowStart(new Contract(0.25, 10_000, 2, 2000, 10_000));
        for (int i = 0; i < 1000; i++) {
            careful.sent(new TokenBucket(), 0);
        }
        careful.tick(); // half of 1 attempt a ms; the rate is half of the factor: 1
        budget.start(0, 0);
        assertFalse(careful.admits(19, budget, 0.5, 0.2));
        assertTrue(careful.admits(20, budget, 0.5, 0.2));
    }

    @Test
    void aBudgetThatIsNotUsedLapses() {
        sendEachTick(100);
        budget.start(0, 0);
        slowStart.admits(60_000, budget, 0.5, 0.2); // 15 a second for a minute
        int saved = 0;
        while (slowStart.admits(60_000, budget, 0.5, 0.2)) {
            slowStart.sent(budget, 0);
            saved++;
        }
        assertEquals(4, saved); // one, and what a quarter of a tick brings
    }

    @Test
    void withoutAttemptsThereIsNoBudget() {
        budget.start(0, 0);
        assertFalse(slowStart.admits(100_000, budget, 1, 1));
    }
}
