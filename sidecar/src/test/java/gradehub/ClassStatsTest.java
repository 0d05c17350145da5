package gradehub;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradehub.Balancer.Effect;
import gradehub.Balancer.Group;
import java.util.Random;
import org.junit.jupiter.api.Test;

class ClassStatsTest {

    private static final double DEADLINE_MS = 4000; // set in TestSettings, as is the aim of 1000
    private static final double DRIFT = 0.005;
    private static final double DRIFT_STARVED = 0.05;

    private final ClassStats stats =
            new ClassStats(TestSettings.requestClass(Effect.SAFE, Group.ALL, 1), TestSettings.TICK_MS);

    private double elapsedMs(double nowMs, double timeoutMs, boolean retry, boolean retriesMarked) {
        return stats.elapsedMs(nowMs, new Balancer.Request(1, 0, 0, timeoutMs, retry, 0), retriesMarked);
    }

    private void recordAnswers(int count, double latencyMs) {
        for (int i = 0; i < count; i++) {
            stats.recordAnswer(latencyMs);
        }
    }

    @Test
    void medianLatencyIsAnEighthOfTheAimBeforeTheFirstAnswer() {
        assertEquals(125, stats.medianMs);
        assertEquals(125, stats.baselineMs());
        recordAnswers(200, 40);
        assertEquals(40, stats.medianMs, 1);
    }

    @Test
    void tracksTheMedianAndTheTailLatency() {
        Random random = new Random(1);
        int aboveMedian = 0;
        int aboveTail = 0;
        for (int i = 0; i < 20_000; i++) {
            double latencyMs = 50 * Math.exp(random.nextGaussian());
            if (i >= 1000) {
                aboveMedian += latencyMs > stats.medianMs ? 1 : 0;
                aboveTail += latencyMs > stats.tailRatio * stats.medianMs ? 1 : 0;
            }
            stats.recordAnswer(latencyMs);
        }
        assertEquals(0.5, aboveMedian / 19_000.0, 0.02);
        assertEquals(0.03, aboveTail / 19_000.0, 0.015);
    }

    @Test
    void baselineLatencyNeedsEnoughAnswersAndDriftsUpSlowly() {
        recordAnswers(31, 40);
        stats.tick(false);
        assertEquals(0, stats.baselineMs);
        recordAnswers(200, 40);
        stats.tick(false);
        double baselineMs = stats.baselineMs;
        assertEquals(40, baselineMs, 1);
        recordAnswers(500, 400);
        stats.tick(false);
        assertEquals(baselineMs * (1 + DRIFT), stats.baselineMs, 1e-9);
        assertTrue(stats.medianMs > 300);
        stats.tick(true);
        assertEquals(baselineMs * (1 + DRIFT) * (1 + DRIFT_STARVED), stats.baselineMs, 1e-9);
    }

    @Test
    void offeredAndServedCountsDecay() {
        stats.offered = 100;
        stats.served = 50;
        stats.tick(false);
        assertEquals(98, stats.offered, 1e-9);
        assertEquals(49, stats.served, 1e-9);
    }

    @Test
    void elapsedTimeOfAMarkedRetryFollowsFromItsTimeout() {
        assertEquals(0, elapsedMs(10_000, 3000, false, true));
        assertEquals(1000, elapsedMs(10_000, 3000, true, true));
        assertEquals(0, elapsedMs(10_000, DEADLINE_MS + 1, true, true));
    }

    @Test
    void unmarkedRetryIsRecognisedByAnUnservedFirstTry() {
        for (int i = 0; i < 5; i++) {
            assertEquals(0, elapsedMs(10_000, 2500, false, false));
        }
        assertEquals(0, elapsedMs(11_000, 3000, false, false)); // no unserved request arrived 1,000 ms ago
        stats.unservedRequests.add(10_000);
        assertEquals(1000, elapsedMs(11_000, 3000, false, false));
        assertEquals(0, elapsedMs(11_000, 3000, false, false)); // each unserved request matches one retry
    }
}
