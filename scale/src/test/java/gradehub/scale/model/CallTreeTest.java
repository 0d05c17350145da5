package gradehub.scale.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradehub.Balancer.Outcome;
import gradehub.scale.TestExperiments;
import gradehub.scale.experiment.Experiment;
import gradehub.scale.experiment.Fault;
import gradehub.scale.result.RunResult;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against retries that multiply from layer to layer in a call tree of seven hops. */
class CallTreeTest {

    private static final int HOPS = 7;
    /** The attempts beyond the first that a balancer may make for each request, on average. */
    private static final double EXTRA_ATTEMPTS_PER_REQUEST = 0.25;

    /** The extra attempts that a balancer may have saved up at the start. */
    private static final double INITIAL_EXTRA_ATTEMPTS = 20;

    private static SimulationContext run(Experiment experiment) {
        SimulationContext context = new SimulationContext(experiment);
        new Simulation(context).run((seconds, calls) -> true);
        return context;
    }

    /**
     * Each layer is sent at most 1.25 attempts for each call to it, plus 20 for each balancer that calls it. The bound
     * on attempts that arrive at the last layer compounds these limits over all hops.
     */
    private static void assertAttemptsWithinBudget(SimulationContext context) {
        Measurements counted = context.measurements;
        double maxLastLayerAttempts = counted.rootOffered;
        for (int layer = 1; layer <= HOPS; layer++) {
            int callerBalancers = context.topology.servicesInLayer(layer - 1).stream()
                    .mapToInt(service ->
                            service.machines().size() * service.callees().size())
                    .sum();
            double maxLayerAttempts = (1 + EXTRA_ATTEMPTS_PER_REQUEST) * counted.callsByLayer[layer]
                    + INITIAL_EXTRA_ATTEMPTS * callerBalancers;
            assertTrue(
                    counted.attemptsSentByLayer[layer] <= maxLayerAttempts,
                    "layer " + layer + ": " + counted.attemptsSentByLayer[layer] + " attempts for "
                            + counted.callsByLayer[layer] + " calls");
            maxLastLayerAttempts =
                    (1 + EXTRA_ATTEMPTS_PER_REQUEST) * maxLastLayerAttempts + INITIAL_EXTRA_ATTEMPTS * callerBalancers;
        }
        assertTrue(
                counted.attemptsArrivedByLayer[HOPS] <= maxLastLayerAttempts,
                counted.attemptsArrivedByLayer[HOPS] + " attempts at the last layer, limit " + maxLastLayerAttempts);
    }

    @Test
    void healthyTreeServesAllCallsWithFewExtraAttempts() {
        SimulationContext context = run(TestExperiments.small());
        Measurements counted = context.measurements;
        assertTrue(counted.rootOffered > 1500);
        assertEquals(counted.rootOffered, counted.rootServed, 0.05 * counted.rootOffered); // some are still in progress
        assertEquals(0, counted.rootFailed);
        assertTrue(counted.attemptsSentByLayer[HOPS] < 1.25 * counted.rootOffered);
        assertEquals(0, counted.lateAnswers);
        assertAttemptsWithinBudget(context);
    }

    @ParameterizedTest
    @CsvSource({"1, 0.1", "4, 0.1", "4, 0.3", "4, 0.5", "7, 0.1", "7, 0.3", "7, 0.5"})
    void failuresInALayerIncreaseAttemptsWithinTheBudget(int layer, double fraction) {
        Experiment small = TestExperiments.small();
        SimulationContext context =
                run(TestExperiments.withFaults(small, 2, 8, new Fault.UpstreamsFail(1, 9, layer, fraction, 1)));
        assertTrue(context.measurements.outcomes[Outcome.ERROR.ordinal()] > 0, "some attempts must fail");
        assertAttemptsWithinBudget(context);
    }

    @ParameterizedTest
    @CsvSource({"4, 0.5, 10", "7, 0.3, 50", "7, 0.5, 4"})
    void slownessInALayerIncreasesAttemptsWithinTheBudget(int layer, double fraction, double factor) {
        Experiment small = TestExperiments.small();
        SimulationContext context =
                run(TestExperiments.withFaults(small, 2, 8, new Fault.UpstreamsSlow(1, 9, layer, fraction, factor)));
        assertAttemptsWithinBudget(context);
    }

    /** The upstreams that remain after a tenth of a layer fails have capacity for all calls. */
    @Test
    void failureOfATenthOfALayerFailsFewRootCalls() {
        Experiment small = TestExperiments.small();
        RunResult result =
                runForResult(TestExperiments.withFaults(small, 3, 10, new Fault.UpstreamsFail(1, 12, 4, 0.1, 1)));
        assertTrue(result.figure("root-served-part") > 0.99, "served fraction " + result.figure("root-served-part"));
    }

    private static RunResult runForResult(Experiment experiment) {
        return new Simulation(experiment).run((seconds, calls) -> true);
    }
}
