package gradehub.scale;

import com.sun.management.OperatingSystemMXBean;
import gradehub.scale.experiment.Experiment;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;

/**
 * Refuses experiments that would need too much memory: more than half of the machine's, or than the heap that this
 * process may have.
 */
record MemoryLimit(long bytes) {

    private static final long PER_MODULE = 24_000;
    private static final long PER_ENTRY_OF_A_LIST = 700;
    private static final long PER_CALL_IN_HAND = 1_500;
    private static final long PER_SECOND_OF_RUN = 200;

    static MemoryLimit ofThisMachine() {
        OperatingSystemMXBean machine = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
        return new MemoryLimit(
                Math.min(machine.getTotalMemorySize() / 2, Runtime.getRuntime().maxMemory()));
    }

    /** An upper estimate of what an experiment needs. */
    static long estimate(Experiment experiment) {
        long sidecars = experiment.fleet().upstreams();
        long modules = sidecars * experiment.fleet().calledServices();
        double callsPerSecond = 0;
        double layerCalls = experiment.calls().rootCallsPerSecond();
        for (int hop = 0; hop < experiment.fleet().hops(); hop++) {
            layerCalls *= experiment.calls().callsPerRequest();
            callsPerSecond += layerCalls;
        }
        double inHand = callsPerSecond * experiment.calls().deadlineMillis() / 1000;
        return modules * (PER_MODULE + PER_ENTRY_OF_A_LIST * experiment.fleet().maxServiceSize())
                + sidecars * sidecars * Long.BYTES
                + Math.round(inHand * PER_CALL_IN_HAND)
                + Math.round(experiment.totalSeconds() * PER_SECOND_OF_RUN);
    }

    /** Checks one of so many like runs that are played at once. */
    void check(Path file, Experiment experiment, int parallel) throws BadExperimentException {
        long needed = estimate(experiment) * parallel;
        if (needed > bytes) {
            throw new BadExperimentException(
                    file + ": " + experiment.fleet().upstreams() + " upstreams with "
                            + experiment.calls().rootCallsPerSecond() + " root calls a second need about "
                            + needed / 1_000_000 + " MB, allowed are " + bytes / 1_000_000
                            + " MB (half of the machine's memory, or the heap if that is less)",
                    null);
        }
    }
}
