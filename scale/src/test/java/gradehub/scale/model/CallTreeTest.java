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

/** Calls and attempts in a tree of seven hops. */
class CallTreeTest {

    private static final int HOPS = 7;
    /** Further attempts that a module may make for each request, and how many it may have saved up at the start. */
    private static final double EXTRA = 0.25;

    private static final double EXTRA_SAVED = 20;

    private static SimulationContext play(Experiment experiment) {
        SimulationContext context = new SimulationContext(experiment);
        new Simulation(context).run((seconds, calls) -> true);
        return context;
    }

    /** Attempts to a layer for each request that its callers take: at most a quarter more, and what was saved up. */
    private static void assertBounded(SimulationContext context) {
        Measurements counted = context.measurements;
        double bound = counted.rootOffered;
        for (int layer = 1; layer <= HOPS; layer++) {
            int callers = context.topology.servicesInLayer(layer - 1).stream()
                    .mapToInt(service ->
                            service.machines().size() * service.callees().size())
                    .sum();
            double mostOfHop = (1 + EXTRA) * counted.callsByLayer[layer] + EXTRA_SAVED * callers;
            assertTrue(
                    counted.attemptsSentByLayer[layer] <= mostOfHop,
                    "layer " + layer + ": " + counted.attemptsSentByLayer[layer] + " attempts for "
                            + counted.callsByLayer[layer] + " calls");
            bound = (1 + EXTRA) * bound + EXTRA_SAVED * callers;
        }
        assertTrue(
                counted.attemptsArrivedByLayer[HOPS] <= bound,
                counted.attemptsArrivedByLayer[HOPS] + " at the leaf, at most " + bound);
    }

    @Test
    void aSoundTreeServesAllWithHardlyMoreThanOneAttemptACall() {
        SimulationContext context = play(TestExperiments.small());
        Measurements counted = context.measurements;
        assertTrue(counted.rootOffered > 1500);
        assertEquals(counted.rootOffered, counted.rootServed, 0.05 * counted.rootOffered); // some are out at the end
        assertEquals(0, counted.rootFailed);
        assertTrue(counted.attemptsSentByLayer[HOPS] < 1.25 * counted.rootOffered);
        assertEquals(0, counted.lateAnswers);
        assertBounded(context);
    }

    @ParameterizedTest
    @CsvSource({"1, 0.1", "4, 0.1", "4, 0.3", "4, 0.5", "7, 0.1", "7, 0.3", "7, 0.5"})
    void failuresOfALayerMultiplyAttemptsByNoMoreThanTheBudget(int layer, double part) {
        Experiment small = TestExperiments.small();
        SimulationContext context =
                play(TestExperiments.withFaults(small, 2, 8, new Fault.UpstreamsFail(1, 9, layer, part, 1)));
        assertTrue(context.measurements.outcomes[Outcome.ERROR.ordinal()] > 0, "some fail");
        assertBounded(context);
    }

    @ParameterizedTest
    @CsvSource({"4, 0.5, 10", "7, 0.3, 50", "7, 0.5, 4"})
    void slownessOfALayerMultipliesAttemptsByNoMoreThanTheBudget(int layer, double part, double factor) {
        Experiment small = TestExperiments.small();
        SimulationContext context =
                play(TestExperiments.withFaults(small, 2, 8, new Fault.UpstreamsSlow(1, 9, layer, part, factor)));
        assertBounded(context);
    }

    /** A tenth of a layer fails at once: with what is left there is room for all. */
    @Test
    void aTenthThatFailsCostsHardlyARootCall() {
        Experiment small = TestExperiments.small();
        RunResult result = result(TestExperiments.withFaults(small, 3, 10, new Fault.UpstreamsFail(1, 12, 4, 0.1, 1)));
        assertTrue(result.figure("root-served-part") > 0.99, "served " + result.figure("root-served-part"));
    }

    private static RunResult result(Experiment experiment) {
        return new Simulation(experiment).run((seconds, calls) -> true);
    }
}
