package gradehub.scale.model;

import gradehub.scale.experiment.Experiment;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** All parts of one simulated fleet, which find each other here. */
final class SimulationContext {

    static final long MICROS_PER_MILLI = 1000;
    static final long MICROS_PER_SECOND = 1_000_000;

    final Experiment experiment;
    final EventQueue queue = new EventQueue();
    final Topology topology;
    final Network network;
    final Measurements measurements;
    final ListService listService;
    final List<SimulatedUpstream> upstreams = new ArrayList<>();
    final List<SimulatedSidecar> sidecars = new ArrayList<>();
    private final SplittableRandom random;

    SimulationContext(Experiment experiment) {
        this.experiment = experiment;
        this.random = new SplittableRandom(experiment.seed());
        this.topology = new Topology(experiment.fleet(), experiment.calls(), random.nextLong());
        this.network = new Network(experiment.network(), topology.regions.size());
        this.measurements = new Measurements(experiment, topology);
        this.listService = new ListService(this);
        for (Topology.Machine machine : topology.machines) {
            upstreams.add(new SimulatedUpstream(this, machine));
            sidecars.add(new SimulatedSidecar(this, machine));
        }
    }

    /** A source of random numbers of its own for a part of the fleet. */
    SplittableRandom newRandom() {
        return random.split();
    }

    static double toMillis(long micros) {
        return micros / (double) MICROS_PER_MILLI;
    }

    static long toMicros(double seconds) {
        return Math.round(seconds * MICROS_PER_SECOND);
    }

    /** Whether messages get through between two machines: neither is silent, and no path is cut. */
    boolean isReachable(Topology.Machine one, Topology.Machine other) {
        return !upstreams.get(one.number()).isMachineLost()
                && !upstreams.get(other.number()).isMachineLost()
                && network.isReachable(one, other);
    }

    /** The delay of a message between two machines. */
    long delayMicros(Topology.Machine one, Topology.Machine other) {
        return network.delayMicros(Network.distance(one, other));
    }
}
