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

    private static World play(Experiment experiment) {
        World world = new World(experiment);
        new Simulation(world).run((seconds, calls) -> true);
        return world;
    }

    /** Attempts to a layer for each request that its callers take: at most a quarter more, and what was saved up. */
    private static void assertBounded(World world) {
        Measurements counted = world.measurements;
        double bound = counted.rootOffered;
        for (int layer = 1; layer <= HOPS; layer++) {
            int callers = world.topology.layer(layer - 1).stream()
                    .mapToInt(service ->
                            service.machines().size() * service.called().size())
                    .sum();
            double mostOfHop = (1 + EXTRA) * counted.callsByLayer[layer] + EXTRA_SAVED * callers;
            assertTrue(
                    counted.sentByLayer[layer] <= mostOfHop,
                    "layer " + layer + ": " + counted.sentByLayer[layer] + " attempts for "
                            + counted.callsByLayer[layer] + " calls");
            bound = (1 + EXTRA) * bound + EXTRA_SAVED * callers;
        }
        assertTrue(
                counted.arrivedByLayer[HOPS] <= bound, counted.arrivedByLayer[HOPS] + " at the leaf, at most " + bound);
    }

    @Test
    void aSoundTreeServesAllWithHardlyMoreThanOneAttemptACall() {
        World world = play(TestExperiments.small());
        Measurements counted = world.measurements;
        assertTrue(counted.rootOffered > 1500);
        assertEquals(counted.rootOffered, counted.rootServed, 0.05 * counted.rootOffered); // some are out at the end
        assertEquals(0, counted.rootFailed);
        assertTrue(counted.sentByLayer[HOPS] < 1.25 * counted.rootOffered);
        assertEquals(0, counted.lateAnswers);
        assertBounded(world);
    }

    @ParameterizedTest
    @CsvSource({"1, 0.1", "4, 0.1", "4, 0.3", "4, 0.5", "7, 0.1", "7, 0.3", "7, 0.5"})
    void failuresOfALayerMultiplyAttemptsByNoMoreThanTheBudget(int layer, double part) {
        Experiment small = TestExperiments.small();
        World world = play(TestExperiments.withFaults(small, 2, 8, new Fault.UpstreamsFail(1, 9, layer, part, 1)));
        assertTrue(world.measurements.outcomes[Outcome.ERROR.ordinal()] > 0, "some fail");
        assertBounded(world);
    }

    @ParameterizedTest
    @CsvSource({"4, 0.5, 10", "7, 0.3, 50", "7, 0.5, 4"})
    void slownessOfALayerMultipliesAttemptsByNoMoreThanTheBudget(int layer, double part, double factor) {
        Experiment small = TestExperiments.small();
        World world = play(TestExperiments.withFaults(small, 2, 8, new Fault.UpstreamsSlow(1, 9, layer, part, factor)));
        assertBounded(world);
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
