package gradehub;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradehub.Balancer.ListKind;
import gradehub.Balancer.Outcome;
import gradehub.Balancer.Status;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** The normal path: requests are distributed by share, and shares move by the step of the design. */
class SharesTest {

    private static final int DRAWS = 20_000;
    private static final double TOLERANCE = 0.015;
    private static final double NEVER_SENT = 0;

    /** Sends requests, answers each at once with its upstream's latency, and returns the fraction sent to each. */
    private static Map<Integer, Double> draw(FakeSidecar sidecar, int draws, Map<Integer, Double> latencyMs) {
        Map<Integer, Double> fractions = new HashMap<>();
        for (int i = 0; i < draws; i++) {
            sidecar.request(0);
            FakeSidecar.SentAttempt attempt = sidecar.lastAttempt();
            double elapsedMs = latencyMs.getOrDefault(attempt.upstream, 100.0);
            attempt.outcome = elapsedMs == NEVER_SENT ? Outcome.NOT_SENT : Outcome.OK;
            sidecar.balancer.attemptEnded(
                    sidecar.now,
                    new Balancer.AttemptEnd(
                            attempt.request,
                            attempt.number,
                            attempt.upstream,
                            attempt.outcome,
                            elapsedMs,
                            true,
                            new double[0]));
            fractions.merge(attempt.upstream, 1.0 / draws, Double::sum);
        }
        return fractions;
    }

    private static FakeSidecar sidecar(int upstreams) {
        FakeSidecar sidecar = new FakeSidecar(TestSettings.safe(), 7);
        sidecar.listReady(upstreams);
        return sidecar;
    }

    @Test
    void requestsAreDistributedEquallyAtTheStart() {
        Map<Integer, Double> fractions = draw(sidecar(4), DRAWS, Map.of());
        for (int upstream = 1; upstream <= 4; upstream++) {
            assertEquals(0.25, fractions.get(upstream), TOLERANCE);
        }
    }

    /** A tick needs open requests, so the first round is counted with the second. */
    private static void tick(FakeSidecar sidecar, int ticks, int draws, Map<Integer, Double> latencyMs) {
        for (int round = 0; round <= ticks; round++) {
            draw(sidecar, draws, latencyMs);
            sidecar.advance(1100);
        }
    }

    @Test
    void tickMovesSharesByTheCalculatedStep() {
        // l = 100, 150; mean 125; deviations -0.2, +0.2; factors 1.04, 0.96 (2,000 samples: confidence 0.998).
        FakeSidecar sidecar = sidecar(2);
        Map<Integer, Double> latencyMs = Map.of(1, 100.0, 2, 150.0);
        tick(sidecar, 5, 4000, latencyMs);
        // After five ticks 0.5 x 1.04^5 to 0.5 x 0.96^5: 0.6083 to 0.4077, over their sum 0.599 and 0.401.
        Map<Integer, Double> fractions = draw(sidecar, DRAWS, latencyMs);
        assertEquals(0.599, fractions.get(1), TOLERANCE);
        assertEquals(0.401, fractions.get(2), TOLERANCE);
    }

    @Test
    void upstreamWithoutSamplesInATickKeepsItsShare() {
        // Upstreams 1 and 2 as above; 3 has no samples (its attempts are not sent). After five ticks
        // 0.3333 x 1.2167, 0.3333 x 0.8154 and 0.3333, over their sum 1.0107: 0.401, 0.269, 0.330.
        FakeSidecar sidecar = sidecar(3);
        Map<Integer, Double> latencyMs = Map.of(1, 100.0, 2, 150.0, 3, NEVER_SENT);
        tick(sidecar, 5, 6000, latencyMs);
        Map<Integer, Double> fractions = draw(sidecar, DRAWS, latencyMs);
        assertEquals(0.401, fractions.get(1), TOLERANCE);
        assertEquals(0.269, fractions.get(2), TOLERANCE);
        assertEquals(0.330, fractions.get(3), TOLERANCE);
    }

    @Test
    void stepIsSmallerWithFewSamples() {
        // About two answers of each in a tick: confidence about 2 / (2 + 4), a third of the full step.
        Map<Integer, Double> latencyMs = Map.of(1, 100.0, 2, 150.0);
        FakeSidecar few = sidecar(2);
        tick(few, 12, 4, latencyMs);
        FakeSidecar many = sidecar(2);
        tick(many, 12, 4000, latencyMs);
        double fewMoved = draw(few, DRAWS, latencyMs).get(1) - 0.5;
        double manyMoved = draw(many, DRAWS, latencyMs).get(1) - 0.5;
        assertTrue(fewMoved > 0.02 && fewMoved < 0.6 * manyMoved, fewMoved + " of " + manyMoved);
    }

    @Test
    void slowOutlierKeepsAMinimumShareAndRecovers() {
        FakeSidecar sidecar = sidecar(10);
        for (int tick = 0; tick < 40; tick++) {
            draw(sidecar, 500, Map.of(3, 900_000.0));
            sidecar.advance(3000);
        }
        Map<Integer, Double> fractions = draw(sidecar, DRAWS, Map.of());
        double low = fractions.getOrDefault(3, 0.0);
        assertTrue(low > 0.003 && low < 0.03, "minimum of a tenth of the mean share, but was " + low);
        for (int tick = 0; tick < 120; tick++) {
            Map<Integer, Double> latencyMs = new HashMap<>();
            for (int upstream = 1; upstream <= 10; upstream++) {
                latencyMs.put(upstream, 50 + 500 * fractions.getOrDefault(upstream, 0.0)); // latency grows with load
            }
            fractions = draw(sidecar, 500, latencyMs);
            sidecar.advance(3000);
        }
        double high = draw(sidecar, DRAWS, Map.of()).get(3);
        assertTrue(high > 0.07, "recovered to nearly the mean share, but was " + high);
    }

    @Test
    void drainingMemberOfASubsetOfTenIsReplacedAtTheMeanShare() {
        FakeSidecar sidecar = new FakeSidecar(
                TestSettings.settings(
                        12,
                        new Balancer.Limits(4, true, true, false, 0),
                        false,
                        List.of(),
                        TestSettings.requestClass(Balancer.Effect.SAFE, Balancer.Group.ALL, 1)),
                7);
        sidecar.listReady(14);
        draw(sidecar, 200, Map.of()); // first answers, before the median latency is known
        sidecar.advance(2000);
        Map<Integer, Double> before = draw(sidecar, DRAWS, Map.of());
        assertEquals(10, before.size());
        int drained = before.keySet().iterator().next();
        sidecar.updateList(ListKind.DELTA, FakeSidecar.upstream(drained, Status.DRAINING, 0));
        Map<Integer, Double> after = draw(sidecar, DRAWS, Map.of());
        assertEquals(10, after.size(), after + ", drained " + drained);
        assertFalse(after.containsKey(drained));
        List<Integer> replacements =
                after.keySet().stream().filter(id -> !before.containsKey(id)).collect(Collectors.toList());
        assertEquals(1, replacements.size());
        assertEquals(0.1, after.get(replacements.get(0)), TOLERANCE);
    }
}
