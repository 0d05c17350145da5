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

/** What all sidecars together send to upstreams that have just started. */
class ColdReturnTest {

    private static final UpstreamModel MODEL = new UpstreamModel(2, 64, 1, 0.1, 20_000, 4, 2000);

    /** A zone returns whole; in a trial without the module's guard one of these pushed an upstream over. */
    @ParameterizedTest
    @CsvSource({"1, 4, 0.5", "1, 2.5, 0.7", "1, 1.5, 0.7", "2, 1.5, 0.7", "3, 1.5, 0.7"})
    void aZoneThatReturnsToAFleetOf120IsNotPushedOver(long seed, double overloadFactor, double utilisation) {
        Experiment small = TestExperiments.small().scaledTo(120).withSeed(seed);
        UpstreamModel upstream = new UpstreamModel(2, 64, 1, 0.12, 24_000, overloadFactor, 2000);
        Experiment fleet = TestExperiments.withUpstreams(small, upstream, utilisation);
        RunResult result = new Simulation(
                        TestExperiments.withFaults(fleet, 3, 40, new Fault.ZoneLost(3, 10, "north-2")))
                .run((seconds, calls) -> true);
        assertEquals(0, result.figure("cold-falls"));
        assertTrue(result.figure("cold-attempts") > 1000, "cold upstreams are sent something");
        assertTrue(result.figure("cold-load-most") <= 1, "at most " + result.figure("cold-load-most"));
    }

    @Test
    void anUpstreamCanTakeItsBudgetWithSlackForChanceAndNoMore() {
        ColdStart budget = new ColdStart(MODEL, 0.0001); // 100 a second when warm
        budget.start(1_000_000);
        assertTrue(budget.isCold(20_999_999));
        assertFalse(budget.isCold(21_000_000));
        assertEquals(0.1, budget.capacityFraction(1_000_000), 1e-9);
        assertEquals(0.55, budget.capacityFraction(11_000_000), 1e-9);
        assertEquals(1, budget.capacityFraction(21_000_000), 1e-9);
        double most = 80 + 2 * Math.sqrt(80) + 2; // 4 times a tenth of 100 a second, over 2 s
        double load = 0;
        for (int i = 0; i < 99; i++) {
            load = budget.recordArrival(1_000_000, 1);
        }
        assertEquals(99 / most, load, 1e-9);
        assertTrue(load <= 1);
        assertTrue(budget.recordArrival(1_000_000, 1) > 1);
        assertTrue(budget.recordArrival(3_000_001, 1) < 0.1, "the span has passed");
    }

    /** The rule bites: the first request of an upstream that can take hardly any pushes it over. */
    @Test
    void upstreamsThatCanTakeAlmostNothingFallAndStayDown() {
        UpstreamModel frail = new UpstreamModel(2, 64, 1, 0.01, 20_000, 0.1, 2000);
        Experiment small = TestExperiments.withUpstreams(TestExperiments.small().scaledTo(120), frail, 0.5);
        Experiment experiment = TestExperiments.withFaults(small, 3, 30, new Fault.ZoneLost(3, 5, "north-2"));
        SimulationContext context = new SimulationContext(experiment);
        RunResult result = new Simulation(context).run((seconds, calls) -> true);
        assertTrue(result.figure("cold-falls") > 0);
        assertEquals(
                result.figure("cold-falls"),
                context.upstreams.stream().filter(upstream -> !upstream.isUp()).count());
    }
}
