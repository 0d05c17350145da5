package gradehub;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradehub.Balancer.Effect;
import gradehub.Balancer.Group;
import gradehub.Balancer.Outcome;
import gradehub.Balancer.Status;
import org.junit.jupiter.api.Test;

class RetryPolicyTest {

    private static final double TYPICAL_MS = 100;
    private static final double USEFUL_UNTIL_MS = 1000;

    private final RetryPolicy retries = new RetryPolicy();
    /** In zone 1 and cell 1; upstream 3 shares its zone, upstream 4 its cell. */
    private final UpstreamState first = upstream(1);

    private static UpstreamState upstream(int id) {
        return new UpstreamState(FakeSidecar.upstream(id, Status.READY, 0));
    }

    private static Call call(Effect effect, Group group) {
        ClassStats stats = new ClassStats(TestSettings.requestClass(effect, group, 1), TestSettings.TICK_MS);
        stats.medianMs = TYPICAL_MS;
        return new Call(new Balancer.Request(1, 0, 0, 4000, false, 0), stats, 1, 0, USEFUL_UNTIL_MS, USEFUL_UNTIL_MS);
    }

    /** A call with one attempt, which ended with the outcome or, if that is null, is in flight. */
    private Call callWithAttempt(Effect effect, Group group, Outcome outcome) {
        Call call = call(effect, group);
        call.startAttempt(first, 0);
        if (outcome != null) {
            call.attempt(0).end(outcome);
        }
        return call;
    }

    @Test
    void budgetStartsHalfFullAndRetriesUseIt() {
        Call call = callWithAttempt(Effect.SAFE, Group.ALL, Outcome.ERROR);
        int retried = 0;
        while (retries.allowsRetry(0, call, 3)) {
            retries.recordAttempt(call);
            retried++;
        }
        assertEquals(10, retried);
    }

    @Test
    void fourRequestsAddOneRetryUpToTwenty() {
        Call call = callWithAttempt(Effect.SAFE, Group.ALL, Outcome.ERROR);
        for (int i = 0; i < 10; i++) {
            retries.recordAttempt(call);
        }
        for (int i = 0; i < 3; i++) {
            retries.recordRequest();
        }
        assertFalse(retries.allowsRetry(0, call, 3));
        retries.recordRequest();
        assertTrue(retries.allowsRetry(0, call, 3));
        for (int i = 0; i < 1000; i++) {
            retries.recordRequest();
        }
        for (int i = 0; i < 19; i++) {
            retries.recordAttempt(call);
        }
        assertTrue(retries.allowsRetry(0, call, 3));
        retries.recordAttempt(call);
        assertFalse(retries.allowsRetry(0, call, 3));
    }

    @Test
    void firstAttemptsDoNotUseTheBudget() {
        for (int i = 0; i < 100; i++) {
            retries.recordAttempt(call(Effect.SAFE, Group.ALL));
        }
        assertTrue(retries.allowsRetry(0, callWithAttempt(Effect.SAFE, Group.ALL, Outcome.ERROR), 3));
    }

    @Test
    void attemptsStayWithinTheLimit() {
        Call call = callWithAttempt(Effect.SAFE, Group.ALL, Outcome.ERROR);
        call.startAttempt(upstream(2), 0);
        assertTrue(retries.allowsRetry(0, call, 3));
        call.startAttempt(upstream(3), 0);
        assertFalse(retries.allowsRetry(0, call, 3));
    }

    @Test
    void noRetryWithLessThanATypicalLatencyLeft() {
        Call call = callWithAttempt(Effect.SAFE, Group.ALL, Outcome.ERROR);
        assertTrue(retries.allowsRetry(USEFUL_UNTIL_MS - TYPICAL_MS, call, 3));
        assertFalse(retries.allowsRetry(USEFUL_UNTIL_MS - TYPICAL_MS + 1, call, 3));
    }

    @Test
    void unsafeRequestIsRetriedOnlyIfItCannotHaveRun() {
        for (Outcome outcome : Outcome.values()) {
            assertEquals(
                    outcome.provesNotRun(),
                    retries.allowsRetry(0, callWithAttempt(Effect.UNSAFE, Group.ALL, outcome), 3),
                    outcome.name());
        }
        assertFalse(retries.allowsRetry(0, callWithAttempt(Effect.UNSAFE, Group.ALL, null), 3));
    }

    @Test
    void keyedRequestThatMayHaveRunStaysInItsGroup() {
        Call zonal = callWithAttempt(Effect.KEYED, Group.ZONE, Outcome.TIMEOUT);
        assertTrue(retries.allowsRetryAt(1, zonal, upstream(3)));
        assertFalse(retries.allowsRetryAt(1, zonal, upstream(4)));
        Call cellular = callWithAttempt(Effect.KEYED, Group.CELL, null);
        assertFalse(retries.allowsRetryAt(1, cellular, upstream(3)));
        assertTrue(retries.allowsRetryAt(1, cellular, upstream(4)));
        assertTrue(retries.allowsRetryAt(1, callWithAttempt(Effect.KEYED, Group.ALL, Outcome.RESET), upstream(2)));
    }

    @Test
    void keyedRequestThatMayHaveRunIsNotRetriedAfterItsWindow() {
        Call call = callWithAttempt(Effect.KEYED, Group.ALL, Outcome.TIMEOUT); // TestSettings has a window of 600 ms
        assertTrue(retries.allowsRetryAt(599, call, upstream(2)));
        assertFalse(retries.allowsRetryAt(600, call, upstream(2)));
        assertTrue(
                retries.allowsRetryAt(600, callWithAttempt(Effect.KEYED, Group.ZONE, Outcome.REJECTED), upstream(2)));
        assertTrue(retries.allowsRetryAt(600, callWithAttempt(Effect.SAFE, Group.ZONE, Outcome.TIMEOUT), upstream(2)));
    }

    @Test
    void isSafeToRepeatOnlyIfNothingUnsafeCanRunTwice() {
        assertTrue(retries.isSafeToRetry(callWithAttempt(Effect.SAFE, Group.ZONE, Outcome.TIMEOUT)));
        assertTrue(retries.isSafeToRetry(callWithAttempt(Effect.KEYED, Group.ALL, Outcome.TIMEOUT)));
        assertFalse(retries.isSafeToRetry(callWithAttempt(Effect.KEYED, Group.ZONE, Outcome.TIMEOUT)));
        assertFalse(retries.isSafeToRetry(callWithAttempt(Effect.UNSAFE, Group.ALL, Outcome.TIMEOUT)));
        assertTrue(retries.isSafeToRetry(callWithAttempt(Effect.UNSAFE, Group.ALL, Outcome.CONNECT_FAILED)));
        assertTrue(retries.isSafeToRetry(call(Effect.UNSAFE, Group.ALL)));
    }
}
