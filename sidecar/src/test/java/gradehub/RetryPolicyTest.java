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
    /** In zone 1 and cell 1; 3 is in the same zone, 4 in the same cell. */
    private final UpstreamState first = upstream(1);

    private static UpstreamState upstream(int id) {
        return new UpstreamState(FakeSidecar.upstream(id, Status.READY, 0));
    }

    private static Call call(Effect effect, Group group) {
        ClassStats stats = new ClassStats(TestSettings.requestClass(effect, group, 1), TestSettings.TICK_MS);
        stats.medianMs = TYPICAL_MS;
        return new Call(new Balancer.Request(1, 0, 0, 4000, false, 0), stats, 1, 0, USEFUL_UNTIL_MS, USEFUL_UNTIL_MS);
    }

    /** A call with one attempt that has ended so, or is in flight for null. */
    private Call sent(Effect effect, Group group, Outcome outcome) {
        Call call = call(effect, group);
        call.startAttempt(first, 0);
        if (outcome != null) {
            call.attempt(0).end(outcome);
        }
        return call;
    }

    @Test
    void theBudgetBeginsHalfFullAndIsSpentByRetries() {
        Call call = sent(Effect.SAFE, Group.ALL, Outcome.ERROR);
        int resent = 0;
        while (retries.allows(0, call, 3)) {
            retries.sending(call);
            resent++;
        }
        assertEquals(10, resent);
    }

    @Test
    void fourRequestsEarnOneRetryUpToTwenty() {
        Call call = sent(Effect.SAFE, Group.ALL, Outcome.ERROR);
        for (int i = 0; i < 10; i++) {
            retries.sending(call);
        }
        for (int i = 0; i < 3; i++) {
            retries.requested();
        }
        assertFalse(retries.allows(0, call, 3));
        retries.requested();
        assertTrue(retries.allows(0, call, 3));
        for (int i = 0; i < 1000; i++) {
            retries.requested();
        }
        for (int i = 0; i < 19; i++) {
            retries.sending(call);
        }
        assertTrue(retries.allows(0, call, 3));
        retries.sending(call);
        assertFalse(retries.allows(0, call, 3));
    }

    @Test
    void firstAttemptsTakeNothingFromTheBudget() {
        for (int i = 0; i < 100; i++) {
            retries.sending(call(Effect.SAFE, Group.ALL));
        }
        assertTrue(retries.allows(0, sent(Effect.SAFE, Group.ALL, Outcome.ERROR), 3));
    }

    @Test
    void noMoreAttemptsThanTheLimit() {
        Call call = sent(Effect.SAFE, Group.ALL, Outcome.ERROR);
        call.startAttempt(upstream(2), 0);
        assertTrue(retries.allows(0, call, 3));
        call.startAttempt(upstream(3), 0);
        assertFalse(retries.allows(0, call, 3));
    }

    @Test
    void noRetryThatWouldHardlyBeInTime() {
        Call call = sent(Effect.SAFE, Group.ALL, Outcome.ERROR);
        assertTrue(retries.allows(USEFUL_UNTIL_MS - TYPICAL_MS, call, 3));
        assertFalse(retries.allows(USEFUL_UNTIL_MS - TYPICAL_MS + 1, call, 3));
    }

    @Test
    void anUnsafeRequestIsSentAgainOnlyIfItIsKnownNotToHaveRun() {
        for (Outcome outcome : Outcome.values()) {
            assertEquals(
                    outcome.provesNotRun(),
                    retries.allows(0, sent(Effect.UNSAFE, Group.ALL, outcome), 3),
                    outcome.name());
        }
        assertFalse(retries.allows(0, sent(Effect.UNSAFE, Group.ALL, null), 3));
    }

    @Test
    void aKeyedRequestThatMayHaveRunStaysInItsGroup() {
        Call zonal = sent(Effect.KEYED, Group.ZONE, Outcome.TIMEOUT);
        assertTrue(retries.allowsAt(1, zonal, upstream(3)));
        assertFalse(retries.allowsAt(1, zonal, upstream(4)));
        Call cellular = sent(Effect.KEYED, Group.CELL, null);
        assertFalse(retries.allowsAt(1, cellular, upstream(3)));
        assertTrue(retries.allowsAt(1, cellular, upstream(4)));
        assertTrue(retries.allowsAt(1, sent(Effect.KEYED, Group.ALL, Outcome.RESET), upstream(2)));
    }

    @Test
    void aKeyedRequestThatMayHaveRunIsNotSentOnceItsKeyMayBeForgotten() {
        Call call = sent(Effect.KEYED, Group.ALL, Outcome.TIMEOUT); // for 600 ms, by TestSettings
        assertTrue(retries.allowsAt(599, call, upstream(2)));
        assertFalse(retries.allowsAt(600, call, upstream(2)));
        assertTrue(retries.allowsAt(600, sent(Effect.KEYED, Group.ZONE, Outcome.REJECTED), upstream(2)));
        assertTrue(retries.allowsAt(600, sent(Effect.SAFE, Group.ZONE, Outcome.TIMEOUT), upstream(2)));
    }

    @Test
    void aRefusalNeverInvitesToRunTwiceWhatMustNot() {
        assertTrue(retries.isRepeatHarmless(sent(Effect.SAFE, Group.ZONE, Outcome.TIMEOUT)));
        assertTrue(retries.isRepeatHarmless(sent(Effect.KEYED, Group.ALL, Outcome.TIMEOUT)));
        assertFalse(retries.isRepeatHarmless(sent(Effect.KEYED, Group.ZONE, Outcome.TIMEOUT)));
        assertFalse(retries.isRepeatHarmless(sent(Effect.UNSAFE, Group.ALL, Outcome.TIMEOUT)));
        assertTrue(retries.isRepeatHarmless(sent(Effect.UNSAFE, Group.ALL, Outcome.CONNECT_FAILED)));
        assertTrue(retries.isRepeatHarmless(call(Effect.UNSAFE, Group.ALL)));
    }
}
