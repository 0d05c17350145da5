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

/** Calls and bytes to and from the list service, counted; and when sidecars have what it tells. */
class ListServiceTest {

    private static final double TOLD_MILLIS = 6000;
    private static final int LINE_BYTES_PER_SECOND = 3;
    private static final ListServiceModel SMALL_SERVICE =
            new ListServiceModel(Scope.SERVICE, 1000, 2, 3000, 10_000, 2000, 100, 1000);

    /** A fleet whose sidecars make no calls, so that only the lists go about. */
    private static Experiment quiet(int upstreams, ListServiceModel model, double seconds, Fault... faults) {
        Experiment small = TestExperiments.withFleet(TestExperiments.small(), upstreams, upstreams / 5, 8);
        return TestExperiments.withFaults(
                TestExperiments.withRate(TestExperiments.withListService(small, model), 0), 1, seconds, faults);
    }

    private static ListServiceModel scope(Scope scope) {
        return new ListServiceModel(scope, 1000, 2, 3000, 10_000, 2000, 100, 1000);
    }

    private static RunResult run(Experiment experiment) {
        return new Simulation(experiment).run((seconds, calls) -> true);
    }

    @ParameterizedTest
    @EnumSource(Scope.class)
    void aDayWithoutChangesCostsTheLinesOfLifeAlone(Scope scope) {
        for (int size : new int[] {60, 240}) {
            RunResult result = run(quiet(size, scope(scope), 20));
            assertEquals(LINE_BYTES_PER_SECOND, result.figure("list-bytes-per-sidecar"), 1e-9);
            assertEquals(0, result.figure("list-calls"));
        }
    }

    /** Bytes for changes alone, per sidecar, over the run. */
    private static double changeBytes(int size, int changes) {
        // Machines that fall silent are listed as having left: one change each.
        Fault lost = new Fault.MachinesLost(2, 17, changes);
        SimulationContext context = new SimulationContext(quiet(size, scope(Scope.FLEET), 10, lost));
        long wholeDay = totalBytes(context);
        assertEquals(changes, context.measurements.listChanges);
        long lines = 0;
        for (SimulatedSidecar sidecar : context.sidecars) {
            // A watch lasts to the end of the run, or until 15 s after its machine has fallen silent.
            lines += ListJson.EMPTY_LINE_BYTES * 5;
            assertTrue(sidecar.isRunning()
                    || !context.upstreams.get(sidecar.machine().number()).isUp());
        }
        return (wholeDay - lines) / (double) size;
    }

    private static long totalBytes(SimulationContext context) {
        new Simulation(context).run((seconds, calls) -> true);
        return context.measurements.listBytesIn + context.measurements.listBytesOut;
    }

    @Test
    void bytesToASidecarGrowWithTheChangesAndNotWithTheFleet() {
        double one = changeBytes(120, 1);
        double ten = changeBytes(120, 10);
        double twenty = changeBytes(120, 20);
        assertTrue(one > 100, "a change is written: " + one);
        double perChange = (ten - one) / 9;
        assertEquals(perChange, (twenty - ten) / 10, 0.02 * perChange, "linear in changes");
        assertEquals(ten, changeBytes(480, 10), 0.02 * ten, "the same in a fleet of four times the size");
    }

    /** The price of a configuration change: a whole list of the fleet for each sidecar. */
    @Test
    void aMoveAsksForWholeListsAndThoseGrowWithTheFleet() {
        Fault move = new Fault.ConfigurationChange(2, 0);
        SimulationContext small = new SimulationContext(quiet(60, scope(Scope.FLEET), 10, move));
        SimulationContext large = new SimulationContext(quiet(240, scope(Scope.FLEET), 10, move));
        double ofSmall = totalBytes(small) / 60.0;
        double ofLarge = totalBytes(large) / 240.0;
        assertEquals(60, small.measurements.listWholeLists);
        assertEquals(240, large.measurements.listWholeLists);
        assertEquals(4, ofLarge / ofSmall, 0.3);
    }

    @ParameterizedTest
    @CsvSource({"SERVICE, 1", "FLEET, 2", "FLEET, 3"})
    void allOf750AreToldWithinSixSecondsOfAnOutage(Scope scope, long seed) {
        Fault outage = new Fault.ListServiceDown(2, 9);
        Fault change = new Fault.MachinesLost(3, 100, 5);
        Experiment experiment = quiet(750, scope(scope), 20, outage, change).withSeed(seed);
        SimulationContext context = new SimulationContext(experiment);
        RunResult result = new Simulation(context).run((seconds, calls) -> true);
        assertEquals(745, result.figure("restored-count"), "all that live have lost their watch and have it again");
        assertEquals(745, result.figure("sidecars-with-watch-at-end"));
        assertTrue(result.figure("restored-last") <= TOLD_MILLIS, "last after " + result.figure("restored-last"));
        assertTrue(result.figure("told-last") <= TOLD_MILLIS, "told after " + result.figure("told-last"));
        assertTrue(result.figure("told-count") >= (scope == Scope.FLEET ? 745 : 1));
        for (SimulatedSidecar sidecar : context.sidecars) {
            boolean lives = sidecar.isRunning();
            assertTrue(!lives || sidecar.listClient().revision() == context.listService.revision());
        }
    }

    /** 750 calls of 10 ms each take 7.5 s: those that wait for more than 3 s fail, and all are through in the end. */
    @Test
    void callsThatWaitTooLongFailAndAreMadeAgain() {
        ListServiceModel slow = new ListServiceModel(Scope.SERVICE, 10_000, 0, 1000, 10_000, 2000, 100, 1000);
        RunResult result = run(quiet(750, slow, 40, new Fault.ListServiceDown(12, 1)));
        assertTrue(result.figure("list-calls-failed") > 0);
        assertTrue(result.figure("list-longest-backlog") <= 1000 + 10);
        assertEquals(750, result.figure("sidecars-with-watch-at-end"));
        assertTrue(result.figure("restored-last") > TOLD_MILLIS, "it can't answer 750 within 6 s");
    }

    @Test
    void callersBeyondTheLimitAreTurnedAway() {
        ListServiceModel limited = new ListServiceModel(Scope.SERVICE, 0, 0, 3000, 50, 2000, 100, 1000);
        RunResult result = run(quiet(60, limited, 10));
        assertEquals(50, result.figure("sidecars-with-watch-at-end"));
        assertTrue(result.figure("list-calls-failed") > 0);
    }

    /** The path is cut in silence: what is told meanwhile comes once the regions are joined. */
    @Test
    void aPartedRegionIsToldOnceItIsJoined() {
        Fault parted = new Fault.RegionPartitioned(2, 12, "south");
        SimulationContext context =
                new SimulationContext(quiet(120, SMALL_SERVICE, 30, parted, new Fault.MachinesLost(6, 100, 4)));
        RunResult result = new Simulation(context).run((seconds, calls) -> true);
        long south = context.sidecars.stream()
                .filter(sidecar -> sidecar.machine().region() == 1 && sidecar.isRunning())
                .count();
        assertTrue(south > 20);
        assertEquals(south, result.figure("restored-count"));
        assertTrue(result.figure("restored-last") <= TOLD_MILLIS);
        assertEquals(116, result.figure("sidecars-with-watch-at-end"));
    }

    @Test
    void aRestartedMachineIsListedAsLeavingAndThenWithANewStart() {
        SimulationContext context = new SimulationContext(quiet(60, SMALL_SERVICE, 20, new Fault.Restarts(5, 0, 1, 4)));
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
