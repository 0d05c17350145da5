package gradehub.scale.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradehub.scale.TestExperiments;
import gradehub.scale.experiment.Experiment;
import gradehub.scale.experiment.Fault;
import gradehub.scale.experiment.UpstreamModel;
import gradehub.scale.result.RunResult;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a fleet of sidecars that together overload upstreams which have just started. */
class ColdStartTest {

    private static final UpstreamModel MODEL = new UpstreamModel(2, 64, 1, 0.1, 20_000, 4, 2000);

    /**
     * All machines of a zone return at once. In a trial without the balancer's protection of cold upstreams, one of
     * these cases crashed an upstream.
     */
    @ParameterizedTest
    @CsvSource({"1, 4, 0.5", "1, 2.5, 0.7", "1, 1.5, 0.7", "2, 1.5, 0.7", "3, 1.5, 0.7"})
    void returningZoneInFleetOf120IsNotOverloaded(long seed, double overloadFactor, double utilisation) {
        Experiment small = TestExperiments.small().scaledTo(120).withSeed(seed);
        UpstreamModel upstream = new UpstreamModel(2, 64, 1, 0.12, 24_000, overloadFactor, 2000);
        Experiment fleet = TestExperiments.withUpstreams(small, upstream, utilisation);
        RunResult result = new Simulation(
                        TestExperiments.withFaults(fleet, 3, 40, new Fault.ZoneLost(3, 10, "north-2")))
                .run((seconds, calls) -> true);
        assertEquals(0, result.figure("cold-falls"));
        assertTrue(result.figure("cold-attempts") > 1000, "too few attempts to cold upstreams");
        assertTrue(result.figure("cold-load-most") <= 1, "highest cold load " + result.figure("cold-load-most"));
    }

    @Test
    void overloadLimitIsTheBudgetPlusAMarginForRandomVariation() {
        ColdStart coldStart = new ColdStart(MODEL, 0.0001); // 100 requests per second when warm
        coldStart.start(1_000_000);
        assertTrue(coldStart.isCold(20_999_999));
        assertFalse(coldStart.isCold(21_000_000));
        assertEquals(0.1, coldStart.capacityFraction(1_000_000), 1e-9);
        assertEquals(0.55, coldStart.capacityFraction(11_000_000), 1e-9);
        assertEquals(1, coldStart.capacityFraction(21_000_000), 1e-9);
        double limit = 80 + 2 * Math.sqrt(80) + 2; // 4 times a tenth of 100 requests per second, over 2 s
        double load = 0;
        for (int i = 0; i < 99; i++) {
            load = coldStart.recordArrival(1_000_000, 1);
        }
        assertEquals(99 / limit, load, 1e-9);
        assertTrue(load <= 1);
        assertTrue(coldStart.recordArrival(1_000_000, 1) > 1);
        assertTrue(coldStart.recordArrival(3_000_001, 1) < 0.1, "earlier arrivals must be outside of the window");
    }

    /** Checks that overload is detected: an upstream with almost no cold capacity crashes at its first request. */
    @Test
    void upstreamsWithAlmostNoColdCapacityCrashAndStayDown() {
        UpstreamModel fragile = new UpstreamModel(2, 64, 1, 0.01, 20_000, 0.1, 2000);
        Experiment small = TestExperiments.withUpstreams(TestExperiments.small().scaledTo(120), fragile, 0.5);
        Experiment experiment = TestExperiments.withFaults(small, 3, 30, new Fault.ZoneLost(3, 5, "north-2"));
        SimulationContext context = new SimulationContext(experiment);
        RunResult result = new Simulation(context).run((seconds, calls) -> true);
        assertTrue(result.figure("cold-falls") > 0);
        assertEquals(
                result.figure("cold-falls"),
                context.upstreams.stream().filter(upstream -> !upstream.isUp()).count());
    }
}
