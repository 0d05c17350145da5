package gradehub.scale.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradehub.scale.TestExperiments;
import gradehub.scale.experiment.Experiment;
import gradehub.scale.experiment.Fault;
import gradehub.scale.result.RunResult;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;

/** Whole runs: they are reproducible, can be stopped, and answer each call by its deadline under any faults. */
class SimulationTest {

    private static final Fault[] ALL_FAULTS = {
        new Fault.UpstreamsFail(3.5, 1, 4, 0.3, 0.8),
        new Fault.UpstreamsSlow(4, 1, 6, 0.5, 5),
        new Fault.MachinesLost(3.2, 2, 3),
        new Fault.Restarts(3, 3, 5, 0.5),
        new Fault.ZoneLost(4, 2, "south-2"),
        new Fault.RegionPartitioned(5, 1, "south"),
        new Fault.ListServiceDown(3.1, 1.5),
        new Fault.ConfigurationChange(5.5, 1)
    };

    private static Experiment withAllFaults() {
        return TestExperiments.withFaults(TestExperiments.small(), 3, 5, ALL_FAULTS);
    }

    private static RunResult run(Experiment experiment) {
        return new Simulation(experiment).run((seconds, calls) -> true);
    }

    @Test
    void runsWithTheSameSeedHaveTheSameDigestAndOtherSeedsAnotherOne() {
        String digest = run(withAllFaults()).digest();
        assertTrue(digest.matches("[0-9a-f]{64}"));
        assertEquals(digest, run(withAllFaults()).digest());
        assertNotEquals(digest, run(withAllFaults().withSeed(2)).digest());
    }

    @Test
    void aStoppedRunReturnsItsMeasurements() {
        List<Double> reportedSeconds = new ArrayList<>();
        RunResult result = new Simulation(TestExperiments.small()).run((seconds, calls) -> {
            reportedSeconds.add(seconds);
            return seconds < 5;
        });
        assertEquals(List.of(1.0, 2.0, 3.0, 4.0, 5.0), reportedSeconds);
        assertFalse(result.complete());
        assertEquals(2, result.figure("measured-time"), 1e-9);
        assertTrue(result.figure("root-calls") > 300);
        assertTrue(run(TestExperiments.small()).complete());
    }

    @Test
    void servicesHaveTheConfiguredSizesAndEachServiceBelowLayerZeroHasACaller() {
        Experiment experiment = TestExperiments.small().scaledTo(750);
        Topology topology = new SimulationContext(experiment).topology;
        assertEquals(750, topology.machines.size());
        for (Topology.Service service : topology.services) {
            int size = service.machines().size();
            assertTrue(size >= 3 && size <= 8, size + " upstreams");
            assertEquals(service.layer() > 0, service.callerCount() > 0);
            assertEquals(service.layer() < 7, !service.callees().isEmpty());
        }
        double leafRate = topology.servicesInLayer(7).stream()
                .mapToDouble(Topology.Service::plannedRate)
                .sum();
        assertEquals(experiment.calls().rootCallsPerSecond(), leafRate, 1e-6);
    }

    @Provide
    Arbitrary<List<Fault>> faults() {
        Arbitrary<Double> starts = Arbitraries.doubles().between(0, 6);
        Arbitrary<Double> durations = Arbitraries.doubles().between(0, 4);
        Arbitrary<Integer> kinds = Arbitraries.integers().between(0, ALL_FAULTS.length - 1);
        return Combinators.combine(starts, durations, kinds)
                .as(SimulationTest::fault)
                .list()
                .ofMaxSize(5);
    }

    private static Fault fault(double atSeconds, double forSeconds, int kind) {
        return switch (kind) {
            case 0 -> new Fault.UpstreamsFail(atSeconds, forSeconds, 1 + (int) atSeconds, 0.7, 0.5);
            case 1 -> new Fault.UpstreamsSlow(atSeconds, forSeconds, 1 + (int) atSeconds, 0.7, 30);
            case 2 -> new Fault.MachinesLost(atSeconds, forSeconds, 10);
            case 3 -> new Fault.Restarts(atSeconds, forSeconds, 12, forSeconds / 4);
            case 4 -> new Fault.ZoneLost(atSeconds, forSeconds, "north-1");
            case 5 -> new Fault.RegionPartitioned(atSeconds, forSeconds, "north");
            case 6 -> new Fault.ListServiceDown(atSeconds, forSeconds);
            default -> new Fault.ConfigurationChange(atSeconds, forSeconds);
        };
    }

    /** Random faults at random times: no sidecar answers after the deadline, and every root call ends. */
    @Property(tries = 25, seed = "20", shrinking = ShrinkingMode.OFF)
    void eachCallIsAnsweredByItsDeadlineUnderRandomFaults(@ForAll("faults") List<Fault> faults, @ForAll long seed) {
        Experiment small = TestExperiments.withRate(TestExperiments.small(), 150);
        Experiment experiment = TestExperiments.withFaults(small, 0, 8, faults.toArray(new Fault[0]))
                .withSeed(seed);
        SimulationContext context = new SimulationContext(experiment);
        new Simulation(context).run((seconds, calls) -> true);
        Measurements measurements = context.measurements;
        assertEquals(0, measurements.lateAnswers);
        long restarts = context.sidecars.stream()
                .mapToInt(SimulatedSidecar::incarnation)
                .sum();
        long pendingAtEnd = measurements.rootOffered - measurements.rootServed - measurements.rootFailed;
        // Root calls of the last 2.1 s (their deadline is 2 s), and at most 30 per ended sidecar process.
        double maxPending = 150 * 2.1 + restarts * 30;
        assertTrue(
                pendingAtEnd >= 0 && pendingAtEnd <= maxPending,
                pendingAtEnd + " of " + measurements.rootOffered + " root calls are pending");
    }
}
