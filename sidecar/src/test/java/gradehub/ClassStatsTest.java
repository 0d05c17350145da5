package gradehub;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradehub.Balancer.Effect;
import gradehub.Balancer.Group;
import java.util.Random;
import org.junit.jupiter.api.Test;

class ClassStatsTest {

    private static final double DEADLINE_MS = 4000; // by TestSettings, as is an aim of 1000
    private static final double DRIFT = 0.005;
    private static final double DRIFT_STARVED = 0.05;

    private final ClassStats stats =
            new ClassStats(TestSettings.requestClass(Effect.SAFE, Group.ALL, 1), TestSettings.TICK_MS);

    private double elapsedMs(double nowMs, double timeoutMs, boolean repeat, boolean repeatsMarked) {
        return stats.elapsedMs(nowMs, new Balancer.Request(1, 0, 0, timeoutMs, repeat, 0), repeatsMarked);
    }

    private void answers(int count, double latencyMs) {
        for (int i = 0; i < count; i++) {
            stats.recordAnswer(latencyMs);
        }
    }

    @Test
    void theTypicalLatencyIsAnEighthOfTheAimUntilAnswersTell() {
        assertEquals(125, stats.medianMs);
        assertEquals(125, stats.baselineMs());
        answers(200, 40);
        assertEquals(40, stats.medianMs, 1);
    }

    @Test
    void theTypicalLatencyIsTheMedianAndTheTailLiesOverMostAnswers() {
        Random random = new Random(1);
        int slower = 0;
        int beyondTail = 0;
        for (int i = 0; i < 20_000; i++) {
            double latencyMs = 50 * Math.exp(random.nextGaussian());
            if (i >= 1000) {
                slower += latencyMs > stats.medianMs ? 1 : 0;
                beyondTail += latencyMs > stats.tailRatio * stats.medianMs ? 1 : 0;
            }
            stats.recordAnswer(latencyMs);
        }
        assertEquals(0.5, slower / 19_000.0, 0.02);
        assertEquals(0.03, beyondTail / 19_000.0, 0.015);
    }

    @Test
    void theQuietLatencyIsKnownAfterEnoughAnswersAndForgetsSlowly() {
        answers(31, 40);
        stats.tick(false);
        assertEquals(0, stats.baselineMs);
        answers(200, 40);
        stats.tick(false);
        double baselineMs = stats.baselineMs;
        assertEquals(40, baselineMs, 1);
        answers(500, 400);
        stats.tick(false);
        assertEquals(baselineMs * (1 + DRIFT), stats.baselineMs, 1e-9);
        assertTrue(stats.medianMs > 300);
        stats.tick(true);
        assertEquals(baselineMs * (1 + DRIFT) * (1 + DRIFT_STARVED), stats.baselineMs, 1e-9);
    }

    @Test
    void whatWasOfferedAndServedFades() {
        stats.offered = 100;
        stats.served = 50;
        stats.tick(false);
        assertEquals(98, stats.offered, 1e-9);
        assertEquals(49, stats.served, 1e-9);
    }

    @Test
    void aMarkedRepeatTellsHowLongItsClientHasWaited() {
        assertEquals(0, elapsedMs(10_000, 3000, false, true));
        assertEquals(1000, elapsedMs(10_000, 3000, true, true));
        assertEquals(0, elapsedMs(10_000, DEADLINE_MS + 1, true, true));
    }

    @Test
    void anUnmarkedRepeatIsKnownByAFirstTryThatEndedUnserved() {
        for (int i = 0; i < 5; i++) {
            assertEquals(0, elapsedMs(10_000, 2500, false, false));
        }
        assertEquals(0, elapsedMs(11_000, 3000, false, false)); // none came 1,000 ms ago
        stats.unservedRequests.add(10_000);
        assertEquals(1000, elapsedMs(11_000, 3000, false, false));
        assertEquals(0, elapsedMs(11_000, 3000, false, false)); // that one has come again
    }
}
