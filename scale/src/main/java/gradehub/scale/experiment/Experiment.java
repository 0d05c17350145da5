package gradehub.scale.experiment;

import java.util.List;

/**
 * An experiment, as described by its file.
 *
 * @param name short name; part of the names of result files
 * @param seed seed of the random number generators
 * @param warmupSeconds simulated time before measurement starts
 * @param measuredSeconds simulated duration of the measurement
 */
public record Experiment(
        String name,
        long seed,
        double warmupSeconds,
        double measuredSeconds,
        Fleet fleet,
        NetworkModel network,
        UpstreamModel upstream,
        CallModel calls,
        ListServiceModel listService,
        List<Fault> faults) {

    /** Creates an experiment with an immutable copy of the faults. */
    public Experiment {
        faults = List.copyOf(faults);
    }

    /** Returns this experiment with another seed. */
    public Experiment withSeed(long newSeed) {
        return new Experiment(
                name, newSeed, warmupSeconds, measuredSeconds, fleet, network, upstream, calls, listService, faults);
    }

    /**
     * Returns this experiment with a fleet of another size. The rate of root calls and the numbers of machines
     * in faults are scaled in proportion; the latter are at least 1.
     */
    public Experiment scaledTo(int upstreams) {
        double ratio = (double) upstreams / fleet.upstreams();
        CallModel scaledCalls = new CallModel(
                calls.rootCallsPerSecond() * ratio,
                calls.callsPerRequest(),
                calls.aimMillis(),
                calls.deadlineMillis(),
                calls.maxAttempts(),
                calls.secondCopies(),
                calls.rootTries(),
                calls.innerTries(),
                calls.retryPauseMillis());
        return new Experiment(
                name,
                seed,
                warmupSeconds,
                measuredSeconds,
                fleet.scaledTo(upstreams),
                network,
                upstream,
                scaledCalls,
                listService,
                faults.stream().map(fault -> scaledFault(fault, ratio)).toList());
    }

    /** Simulated duration of the whole run, warm-up included. */
    public double totalSeconds() {
        return warmupSeconds + measuredSeconds;
    }

    private static Fault scaledFault(Fault fault, double ratio) {
        if (fault instanceof Fault.MachinesLost lost) {
            return new Fault.MachinesLost(
                    lost.startSeconds(), lost.durationSeconds(), scaledCount(lost.count(), ratio));
        }
        if (fault instanceof Fault.Restarts restarts) {
            return new Fault.Restarts(
                    restarts.startSeconds(),
                    restarts.durationSeconds(),
                    scaledCount(restarts.count(), ratio),
                    restarts.downSeconds());
        }
        return fault;
    }

    private static int scaledCount(int count, double ratio) {
        return Math.max(1, (int) Math.round(count * ratio));
    }
}
