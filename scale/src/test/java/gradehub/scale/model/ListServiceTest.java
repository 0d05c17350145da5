package gradehub.scale.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradehub.scale.TestExperiments;
import gradehub.scale.experiment.Experiment;
import gradehub.scale.experiment.Fault;
import gradehub.scale.experiment.ListServiceModel;
import gradehub.scale.experiment.ListServiceModel.Scope;
import gradehub.scale.result.RunResult;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the calls and bytes at the list service, and how soon sidecars receive its changes. */
class ListServiceTest {

    private static final double UPDATE_DEADLINE_MILLIS = 6000;
    /** An empty line of 6 bytes, chunk included, every two seconds. */
    private static final int KEEP_ALIVE_BYTES_PER_SECOND = 3;

    private static final ListServiceModel SERVICE_SCOPE =
            new ListServiceModel(Scope.SERVICE, 1000, 2, 3000, 10_000, 2000, 100, 1000);

    /** An experiment without application calls, so that list traffic is the only traffic. */
    private static Experiment idleExperiment(int upstreams, ListServiceModel model, double seconds, Fault... faults) {
        Experiment small = TestExperiments.withFleet(TestExperiments.small(), upstreams, upstreams / 5, 8);
        return TestExperiments.withFaults(
                TestExperiments.withRate(TestExperiments.withListService(small, model), 0), 1, seconds, faults);
    }

    private static ListServiceModel serviceWithScope(Scope scope) {
        return new ListServiceModel(scope, 1000, 2, 3000, 10_000, 2000, 100, 1000);
    }

    private static RunResult run(Experiment experiment) {
        return new Simulation(experiment).run((seconds, calls) -> true);
    }

    @ParameterizedTest
    @EnumSource(Scope.class)
    void withoutChangesOnlyKeepAlivesAreSent(Scope scope) {
        for (int size : new int[] {60, 240}) {
            RunResult result = run(idleExperiment(size, serviceWithScope(scope), 20));
            assertEquals(KEEP_ALIVE_BYTES_PER_SECOND, result.figure("list-bytes-per-sidecar"), 1e-9);
            assertEquals(0, result.figure("list-calls"));
        }
    }

    /** Bytes per sidecar over the run, without keep-alives. */
    private static double changeBytesPerSidecar(int size, int changes) {
        // Each lost machine is listed as left, which is one change.
        Fault lost = new Fault.MachinesLost(2, 17, changes);
        SimulationContext context =
                new SimulationContext(idleExperiment(size, serviceWithScope(Scope.FLEET), 10, lost));
        long total = totalBytes(context);
        assertEquals(changes, context.measurements.listChanges);
        long keepAlives = 0;
        for (SimulatedSidecar sidecar : context.sidecars) {
            // A watch stays open to the end of the run, or until 15 s after its machine is lost.
            keepAlives += ListJson.KEEP_ALIVE_BYTES * 5;
            assertTrue(sidecar.isRunning()
                    || !context.upstreams.get(sidecar.machine().number()).isUp());
        }
        return (total - keepAlives) / (double) size;
    }

    private static long totalBytes(SimulationContext context) {
        new Simulation(context).run((seconds, calls) -> true);
        return context.measurements.listBytesIn + context.measurements.listBytesOut;
    }

    @Test
    void bytesPerSidecarGrowWithChangesAndNotWithTheFleet() {
        double one = changeBytesPerSidecar(120, 1);
        double ten = changeBytesPerSidecar(120, 10);
        double twenty = changeBytesPerSidecar(120, 20);
        assertTrue(one > 100, "a change must be written, bytes per sidecar: " + one);
        double perChange = (ten - one) / 9;
        assertEquals(perChange, (twenty - ten) / 10, 0.02 * perChange, "bytes must grow linearly with changes");
        assertEquals(
                ten,
                changeBytesPerSidecar(480, 10),
                0.02 * ten,
                "bytes must not grow with a fleet four times the size");
    }

    /** A configuration change costs a full list of the fleet for each sidecar. */
    @Test
    void anAddressChangeCausesFullListsWhichGrowWithTheFleet() {
        Fault addressChange = new Fault.ConfigurationChange(2, 0);
        SimulationContext small =
                new SimulationContext(idleExperiment(60, serviceWithScope(Scope.FLEET), 10, addressChange));
        SimulationContext large =
                new SimulationContext(idleExperiment(240, serviceWithScope(Scope.FLEET), 10, addressChange));
        double bytesInSmall = totalBytes(small) / 60.0;
        double bytesInLarge = totalBytes(large) / 240.0;
        assertEquals(60, small.measurements.listWholeLists);
        assertEquals(240, large.measurements.listWholeLists);
        assertEquals(4, bytesInLarge / bytesInSmall, 0.3);
    }

    @ParameterizedTest
    @CsvSource({"SERVICE, 1", "FLEET, 2", "FLEET, 3"})
    void all750SidecarsAreUpToDateWithinSixSecondsOfAnOutage(Scope scope, long seed) {
        Fault outage = new Fault.ListServiceDown(2, 9);
        Fault change = new Fault.MachinesLost(3, 100, 5);
        Experiment experiment =
                idleExperiment(750, serviceWithScope(scope), 20, outage, change).withSeed(seed);
        SimulationContext context = new SimulationContext(experiment);
        RunResult result = new Simulation(context).run((seconds, calls) -> true);
        assertEquals(
                745, result.figure("restored-count"), "all running sidecars must have lost and reopened their watches");
        assertEquals(745, result.figure("sidecars-with-watch-at-end"));
        assertTrue(
                result.figure("restored-last") <= UPDATE_DEADLINE_MILLIS,
                "last watch restored after ms: " + result.figure("restored-last"));
        assertTrue(
                result.figure("told-last") <= UPDATE_DEADLINE_MILLIS,
                "last change received after ms: " + result.figure("told-last"));
        assertTrue(result.figure("told-count") >= (scope == Scope.FLEET ? 745 : 1));
        for (SimulatedSidecar sidecar : context.sidecars) {
            boolean running = sidecar.isRunning();
            assertTrue(!running || sidecar.listClient().revision() == context.listService.revision());
        }
    }

    /** 750 calls of 10 ms each take 7.5 s: those that would wait for more than 1 s fail, and all succeed in the end. */
    @Test
    void callsThatWaitTooLongFailAndAreRetried() {
        ListServiceModel slow = new ListServiceModel(Scope.SERVICE, 10_000, 0, 1000, 10_000, 2000, 100, 1000);
        RunResult result = run(idleExperiment(750, slow, 40, new Fault.ListServiceDown(12, 1)));
        assertTrue(result.figure("list-calls-failed") > 0);
        assertTrue(result.figure("list-longest-backlog") <= 1000 + 10);
        assertEquals(750, result.figure("sidecars-with-watch-at-end"));
        assertTrue(result.figure("restored-last") > UPDATE_DEADLINE_MILLIS, "750 calls must take longer than 6 s");
    }

    @Test
    void callersBeyondTheLimitAreRejected() {
        ListServiceModel limited = new ListServiceModel(Scope.SERVICE, 0, 0, 3000, 50, 2000, 100, 1000);
        RunResult result = run(idleExperiment(60, limited, 10));
        assertEquals(50, result.figure("sidecars-with-watch-at-end"));
        assertTrue(result.figure("list-calls-failed") > 0);
    }

    /** The path is cut without a reset: changes made meanwhile arrive once the partition heals. */
    @Test
    void aPartitionedRegionIsUpdatedOnceItReconnects() {
        Fault partition = new Fault.RegionPartitioned(2, 12, "south");
        SimulationContext context = new SimulationContext(
                idleExperiment(120, SERVICE_SCOPE, 30, partition, new Fault.MachinesLost(6, 100, 4)));
        RunResult result = new Simulation(context).run((seconds, calls) -> true);
        long south = context.sidecars.stream()
                .filter(sidecar -> sidecar.machine().region() == 1 && sidecar.isRunning())
                .count();
        assertTrue(south > 20);
        assertEquals(south, result.figure("restored-count"));
        assertTrue(result.figure("restored-last") <= UPDATE_DEADLINE_MILLIS);
        assertEquals(116, result.figure("sidecars-with-watch-at-end"));
    }

    @Test
    void aRestartedMachineIsListedAsLeavingAndThenWithANewStartTime() {
        SimulationContext context =
                new SimulationContext(idleExperiment(60, SERVICE_SCOPE, 20, new Fault.Restarts(5, 0, 1, 4)));
        new Simulation(context).run((seconds, calls) -> true);
        assertEquals(2, context.measurements.listChanges);
        assertEquals(
                1,
                context.sidecars.stream()
                        .filter(sidecar -> sidecar.incarnation() == 1)
                        .count());
        assertEquals(
                1,
                context.upstreams.stream()
                        .filter(upstream -> upstream.startedMicros() == 10_000_000)
                        .count());
    }
}
