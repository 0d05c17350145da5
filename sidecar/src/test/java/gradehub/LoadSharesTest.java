package gradehub;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradehub.Balancer.Effect;
import gradehub.Balancer.Group;
import gradehub.Balancer.Status;
import java.util.List;
import org.junit.jupiter.api.Test;

class LoadSharesTest {

    private static final double MANY = 1e9; // samples, for a confidence of 1
    private static final double TOLERANCE = 1e-6;

    private static UpstreamState member(double share, double latency, double samples) {
        UpstreamState member = new UpstreamState(FakeSidecar.upstream(1, Status.READY, 0));
        member.share = share;
        member.latencyRatioSum = latency * samples;
        member.samples = samples;
        return member;
    }

    @Test
    void sharesMoveByTheStepOfTheDesign() {
        UpstreamState fast = member(0.5, 1, MANY); // mean 1.25: deviations -0.2 and 0.2
        UpstreamState slow = member(0.5, 1.5, MANY);
        LoadShares.update(0, List.of(fast, slow));
        assertEquals(0.52, fast.share, TOLERANCE);
        assertEquals(0.48, slow.share, TOLERANCE);
    }

    @Test
    void memberWithoutSamplesKeepsItsShareAndIsExcludedFromTheMean() {
        UpstreamState fast = member(0.25, 1, MANY);
        UpstreamState slow = member(0.25, 1.5, MANY);
        UpstreamState unknown = member(0.5, 0, 0);
        LoadShares.update(0, List.of(fast, slow, unknown));
        assertEquals(0.26, fast.share, TOLERANCE);
        assertEquals(0.24, slow.share, TOLERANCE);
        assertEquals(0.5, unknown.share, TOLERANCE);
    }

    @Test
    void stepIsSmallerWithFewSamples() {
        UpstreamState few = member(0.5, 3, 4); // confidence 0.5: mean (0.5 x 3 + 1) / 1.5, deviation 0.8
        UpstreamState many = member(0.5, 1, MANY); // deviation -0.4
        LoadShares.update(0, List.of(few, many));
        assertEquals(0.46 / (0.46 + 0.54), few.share, TOLERANCE);
        assertEquals(4 * 0.85 / 2, few.samples, TOLERANCE); // half of them are kept: 8 samples would be enough
        assertEquals(12 * 0.85 / 2, few.latencyRatioSum, TOLERANCE);
        assertEquals(0, many.samples);
    }

    @Test
    void stepAndShareAreBoundedForAnOutlier() {
        UpstreamState[] members = new UpstreamState[10];
        for (int i = 0; i < members.length; i++) {
            members[i] = member(0.1, i == 0 ? 1000 : 1, MANY);
        }
        LoadShares.update(0, List.of(members));
        double others = 0.1 * (1 + 0.2 * (1 - 10 / 1009.0)); // the mean is 100.9
        assertEquals(
                0.06 / (0.06 + 9 * others), members[0].share, TOLERANCE); // deviation limited to two means: 1 - 0.2 x 2
        for (int tick = 0; tick < 50; tick++) {
            for (int i = 0; i < members.length; i++) {
                members[i].samples = MANY;
                members[i].latencyRatioSum = (i == 0 ? 1000 : 1) * MANY;
            }
            LoadShares.update(0, List.of(members));
        }
        assertTrue(
                members[0].share > 0.005, "about a tenth of the mean share after normalisation: " + members[0].share);
    }

    @Test
    void attemptsInFlightLongerThanTheMedianCountWithTheirAge() {
        ClassStats stats = new ClassStats(TestSettings.requestClass(Effect.SAFE, Group.ALL, 1), TestSettings.TICK_MS);
        stats.medianMs = 100;
        UpstreamState hung = member(0.5, 0, 0);
        UpstreamState healthy = member(0.5, 1, MANY);
        for (int i = 0; i < 4; i++) {
            Call call = new Call(new Balancer.Request(i, 0, 0, 4000, false, 0), stats, 1, i, 1000, 1000);
            call.startAttempt(hung, 0);
        }
        LoadShares.update(100, List.of(hung, healthy));
        assertEquals(0.5, hung.share, TOLERANCE); // not older than the median: no sample
        healthy.samples = MANY; // samples of the next tick
        healthy.latencyRatioSum = MANY;
        LoadShares.update(500, List.of(hung, healthy));
        assertEquals(5, hung.meanLatencyRatio, TOLERANCE);
        assertEquals(0.5, hung.confidence, TOLERANCE);
        double mean = (0.5 * 5 + 1) / 1.5;
        double hungFactor = 1 - 0.2 * 0.5 * (5 / mean - 1);
        double healthyFactor = 1 - 0.2 * (1 / mean - 1);
        assertEquals(hungFactor / healthyFactor, hung.share / healthy.share, TOLERANCE);
    }
}
