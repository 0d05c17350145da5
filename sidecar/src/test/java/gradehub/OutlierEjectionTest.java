package gradehub;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradehub.Balancer.Effect;
import gradehub.Balancer.Group;
import gradehub.Balancer.Status;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class OutlierEjectionTest {

    private static final double TYPICAL_MS = 100;

    private final List<String> logs = new ArrayList<>();
    private final OutlierEjection ejection = new OutlierEjection(new NoOpActions() {
        @Override
        public void log(String line) {
            logs.add(line);
        }
    });
    private final UpstreamState upstream = new UpstreamState(FakeSidecar.upstream(3, Status.READY, 0));
    private final ClassStats reads = stats();
    private final ClassStats writes = stats();

    private static ClassStats stats() {
        ClassStats stats = new ClassStats(TestSettings.requestClass(Effect.SAFE, Group.ALL, 1), TestSettings.TICK_MS);
        stats.medianMs = TYPICAL_MS;
        return stats;
    }

    private void fails(double nowMs, ClassStats stats, int times) {
        for (int i = 0; i < times; i++) {
            ejection.failed(nowMs, upstream, stats);
        }
    }

    private Attempt sent(double nowMs) {
        Call call = new Call(new Balancer.Request(1, 0, 0, 4000, false, 0), reads, 1, 0, 1000, 1000);
        call.startAttempt(upstream, nowMs);
        return call.attempt(0);
    }

    @Test
    void threeFailuresInARowEject() {
        fails(0, reads, 2);
        assertFalse(ejection.excludes(0, upstream, reads));
        fails(0, writes, 1);
        assertTrue(ejection.excludes(0, upstream, reads));
        assertTrue(ejection.excludes(0, upstream, writes));
        assertEquals(List.of("upstream 3 is set aside, it failed 3 times in a row; trying it now and then"), logs);
    }

    @Test
    void anAnswerEndsARowOfFailures() {
        fails(0, reads, 2);
        ejection.answered(0, upstream, 4);
        ejection.served(upstream, reads);
        fails(0, reads, 2);
        assertFalse(ejection.excludes(0, upstream, reads));
        assertEquals(List.of(), logs);
    }

    @Test
    void failuresOfOneClassEjectForThatClassAlone() {
        for (int i = 0; i < 3; i++) {
            fails(0, reads, 1);
            ejection.answered(0, upstream, 4);
            ejection.served(upstream, writes);
        }
        assertTrue(ejection.excludes(0, upstream, reads));
        assertFalse(ejection.excludes(0, upstream, writes));
        ejection.served(upstream, reads);
        assertFalse(ejection.excludes(0, upstream, reads));
        assertEquals(
                List.of(
                        "upstream 3 is set aside for class alone, which it failed 3 times in a row; trying it"
                                + " now and then",
                        "upstream 3 serves class again"),
                logs);
    }

    @Test
    void trialsOfAnEjectedUpstreamAreEverRarer() {
        ejection.eject(0, upstream, "for the test");
        double nowMs = 0;
        for (double gapMs : new double[] {500, 1000, 2000, 4000, 4000}) {
            assertTrue(ejection.excludes(nowMs + gapMs - 1, upstream, reads), gapMs + " ms");
            assertFalse(ejection.excludes(nowMs + gapMs, upstream, reads), gapMs + " ms");
            nowMs += gapMs;
            ejection.sent(nowMs, upstream, reads);
        }
    }

    @Test
    void anAnswerEndsAnEjection() {
        ejection.eject(0, upstream, "for the test");
        ejection.eject(1, upstream, "a second time, which is not told");
        upstream.share = 0.01;
        ejection.answered(2, upstream, 4);
        assertEquals(0.25, upstream.share); // the mean of four
        upstream.share = 0.01;
        ejection.answered(3, upstream, 4);
        assertEquals(0.01, upstream.share); // it was not ejected any more
        assertFalse(ejection.excludes(3, upstream, reads));
        assertEquals(
                List.of(
                        "upstream 3 is set aside, for the test; trying it now and then",
                        "upstream 3 answers again and is back in the draw"),
                logs);
    }

    @Test
    void oneSilentAttemptMayTakeAsLongAsTheTailOfItsClass() {
        Attempt oldest = sent(1000);
        reads.tailRatio = 8;
        ejection.checkSilence(1000 + 8 * TYPICAL_MS, upstream, oldest);
        assertEquals(List.of(), logs);
        ejection.checkSilence(1000 + 8 * TYPICAL_MS + 1, upstream, oldest);
        assertEquals(List.of("upstream 3 is set aside, silent for 801 ms; trying it now and then"), logs);
    }

    @Test
    void severalSilentAttemptsTellSooner() {
        Attempt oldest = sent(1000);
        sent(1000);
        sent(1000);
        sent(1000);
        ejection.checkSilence(1000 + 2 * TYPICAL_MS, upstream, oldest);
        assertFalse(upstream.probation.ejected);
        ejection.checkSilence(1000 + 2 * TYPICAL_MS + 1, upstream, oldest);
        assertTrue(upstream.probation.ejected);
    }

    @Test
    void anotherAnswerInTheMeantimeIsNoSilence() {
        Attempt oldest = sent(1000);
        ejection.answered(1500, upstream, 4);
        ejection.checkSilence(1500 + 8 * TYPICAL_MS, upstream, oldest);
        assertFalse(upstream.probation.ejected);
    }
}
