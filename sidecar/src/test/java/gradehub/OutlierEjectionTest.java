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

    private static final double MEDIAN_MS = 100;

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
        stats.medianMs = MEDIAN_MS;
        return stats;
    }

    private void fail(double nowMs, ClassStats stats, int times) {
        for (int i = 0; i < times; i++) {
            ejection.recordFailure(nowMs, upstream, stats);
        }
    }

    private Attempt send(double nowMs) {
        Call call = new Call(new Balancer.Request(1, 0, 0, 4000, false, 0), reads, 1, 0, 1000, 1000);
        call.startAttempt(upstream, nowMs);
        return call.attempt(0);
    }

    @Test
    void threeConsecutiveFailuresEject() {
        fail(0, reads, 2);
        assertFalse(ejection.excludes(0, upstream, reads));
        fail(0, writes, 1);
        assertTrue(ejection.excludes(0, upstream, reads));
        assertTrue(ejection.excludes(0, upstream, writes));
        assertEquals(List.of("upstream 3 is ejected: 3 consecutive failures; sending trial requests"), logs);
    }

    @Test
    void anAnswerResetsTheFailureCount() {
        fail(0, reads, 2);
        ejection.recordAnswer(0, upstream, 4);
        ejection.recordClassSuccess(upstream, reads);
        fail(0, reads, 2);
        assertFalse(ejection.excludes(0, upstream, reads));
        assertEquals(List.of(), logs);
    }

    @Test
    void failuresOfOneClassEjectForThatClassAlone() {
        for (int i = 0; i < 3; i++) {
            fail(0, reads, 1);
            ejection.recordAnswer(0, upstream, 4);
            ejection.recordClassSuccess(upstream, writes);
        }
        assertTrue(ejection.excludes(0, upstream, reads));
        assertFalse(ejection.excludes(0, upstream, writes));
        ejection.recordClassSuccess(upstream, reads);
        assertFalse(ejection.excludes(0, upstream, reads));
        assertEquals(
                List.of(
                        "upstream 3 is ejected for class class only: 3 consecutive failures; sending trial requests",
                        "upstream 3 serves class class again"),
                logs);
    }

    @Test
    void trialsOfAnEjectedUpstreamBackOffExponentially() {
        ejection.eject(0, upstream, "for the test");
        double nowMs = 0;
        for (double backoffMs : new double[] {500, 1000, 2000, 4000, 4000}) {
            assertTrue(ejection.excludes(nowMs + backoffMs - 1, upstream, reads), backoffMs + " ms");
            assertFalse(ejection.excludes(nowMs + backoffMs, upstream, reads), backoffMs + " ms");
            nowMs += backoffMs;
            ejection.recordAttempt(nowMs, upstream, reads);
        }
    }

    @Test
    void anAnswerEndsAnEjection() {
        ejection.eject(0, upstream, "for the test");
        ejection.eject(1, upstream, "a second time, which is not logged");
        upstream.share = 0.01;
        ejection.recordAnswer(2, upstream, 4);
        assertEquals(0.25, upstream.share); // the mean share of four members
        upstream.share = 0.01;
        ejection.recordAnswer(3, upstream, 4);
        assertEquals(0.01, upstream.share); // no longer ejected
        assertFalse(ejection.excludes(3, upstream, reads));
        assertEquals(
                List.of(
                        "upstream 3 is ejected: for the test; sending trial requests",
                        "upstream 3 answers again: ejection ended"),
                logs);
    }

    @Test
    void oneUnansweredAttemptEjectsAfterTheTailLatencyOfItsClass() {
        Attempt oldest = send(1000);
        reads.tailRatio = 8;
        ejection.checkUnresponsive(1000 + 8 * MEDIAN_MS, upstream, oldest);
        assertEquals(List.of(), logs);
        ejection.checkUnresponsive(1000 + 8 * MEDIAN_MS + 1, upstream, oldest);
        assertEquals(List.of("upstream 3 is ejected: no answer for 801 ms; sending trial requests"), logs);
    }

    @Test
    void severalUnansweredAttemptsEjectSooner() {
        Attempt oldest = send(1000);
        send(1000);
        send(1000);
        send(1000);
        ejection.checkUnresponsive(1000 + 2 * MEDIAN_MS, upstream, oldest);
        assertFalse(upstream.ejection.ejected);
        ejection.checkUnresponsive(1000 + 2 * MEDIAN_MS + 1, upstream, oldest);
        assertTrue(upstream.ejection.ejected);
    }

    @Test
    void anAnswerToAnotherAttemptRestartsTheAnswerTimeout() {
        Attempt oldest = send(1000);
        ejection.recordAnswer(1500, upstream, 4);
        ejection.checkUnresponsive(1500 + 8 * MEDIAN_MS, upstream, oldest);
        assertFalse(upstream.ejection.ejected);
    }
}
