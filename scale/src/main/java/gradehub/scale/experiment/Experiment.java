package gradehub.scale.experiment;

import java.util.List;

/**
 * One experiment, as its file describes it.
 *
 * @param name short name, for result files
 * @param seed seed of all random numbers
 * @param warmupSeconds simulated time before figures count
 * @param measuredSeconds simulated time for which figures count
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

    /** Copies the list. */
    public Experiment {
        faults = List.copyOf(faults);
    }

    /** The same experiment with another seed. */
    public Experiment withSeed(long otherSeed) {
        return new Experiment(
                name, otherSeed, warmupSeconds, measuredSeconds, fleet, network, upstream, calls, listService, faults);
    }

    /** The same experiment with a fleet of another size; rate and counts of machines in faults go with it. */
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
                faults.stream().map(fault -> atRatio(fault, ratio)).toList());
    }

    /** Simulated time of the whole run. */
    public double totalSeconds() {
        return warmupSeconds + measuredSeconds;
    }

    private static Fault atRatio(Fault fault, double ratio) {
        if (fault instanceof Fault.MachinesLost lost) {
            return new Fault.MachinesLost(lost.startSeconds(), lost.durationSeconds(), scaled(lost.count(), ratio));
        }
        if (fault instanceof Fault.Restarts restarts) {
            return new Fault.Restarts(
                    restarts.startSeconds(),
                    restarts.durationSeconds(),
                    scaled(restarts.count(), ratio),
                    restarts.downSeconds());
        }
        return fault;
    }

    private static int scaled(int count, double ratio) {
        return Math.max(1, (int) Math.round(count * ratio));
    }
}
