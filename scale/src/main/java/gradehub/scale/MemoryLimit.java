package gradehub.scale;

import com.sun.management.OperatingSystemMXBean;
import gradehub.scale.experiment.Experiment;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;

/**
 * Rejects experiments that would need more memory than allowed, which is half of the machine's memory or the maximum
 * heap size of this process, whichever is less.
 *
 * @param bytes allowed memory
 */
record MemoryLimit(long bytes) {

    private static final long MODULE_BYTES = 24_000;
    private static final long LIST_ENTRY_BYTES = 700;
    private static final long CALL_IN_FLIGHT_BYTES = 1_500;
    private static final long SIMULATED_SECOND_BYTES = 200;

    static MemoryLimit ofThisProcess() {
        OperatingSystemMXBean machine = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
        return new MemoryLimit(
                Math.min(machine.getTotalMemorySize() / 2, Runtime.getRuntime().maxMemory()));
    }

    /** Returns an upper estimate of the memory that a run of an experiment needs, in bytes. */
    static long estimate(Experiment experiment) {
        long sidecars = experiment.fleet().upstreams();
        long modules = sidecars * experiment.fleet().calledServices();
        double callsPerSecond = 0;
        double layerCalls = experiment.calls().rootCallsPerSecond();
        for (int hop = 0; hop < experiment.fleet().hops(); hop++) {
            layerCalls *= experiment.calls().callsPerRequest();
            callsPerSecond += layerCalls;
        }
        double callsInFlight = callsPerSecond * experiment.calls().deadlineMillis() / 1000;
        return modules * (MODULE_BYTES + LIST_ENTRY_BYTES * experiment.fleet().maxServiceSize())
                + sidecars * sidecars * Long.BYTES
                + Math.round(callsInFlight * CALL_IN_FLIGHT_BYTES)
                + Math.round(experiment.totalSeconds() * SIMULATED_SECOND_BYTES);
    }

    /** Rejects an experiment if {@code parallel} runs of it at the same time need more memory than the limit. */
    void check(Path file, Experiment experiment, int parallel) throws InvalidExperimentException {
        long needed = estimate(experiment) * parallel;
        if (needed > bytes) {
            throw new InvalidExperimentException(
                    file + ": " + experiment.fleet().upstreams() + " upstreams with "
                            + experiment.calls().rootCallsPerSecond() + " root calls a second need about "
                            + needed / 1_000_000 + " MB; the limit is " + bytes / 1_000_000
                            + " MB (half of the machine's memory or the maximum heap size, whichever is less)",
                    null);
        }
    }
}
