package gradehub.scale.model;

import gradehub.scale.experiment.Experiment;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** The parts of one simulated fleet, with the clock, the random numbers and the measurements that they share. */
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

    /** Splits off a random number generator, so that each part of the fleet draws from its own. */
    SplittableRandom newRandom() {
        return random.split();
    }

    static double toMillis(long micros) {
        return micros / (double) MICROS_PER_MILLI;
    }

    static long toMicros(double seconds) {
        return Math.round(seconds * MICROS_PER_SECOND);
    }

    /** Whether messages pass between two machines: neither is lost, and their regions are connected. */
    boolean isReachable(Topology.Machine from, Topology.Machine to) {
        return !upstreams.get(from.number()).isMachineLost()
                && !upstreams.get(to.number()).isMachineLost()
                && network.areConnected(from, to);
    }

    /** The one-way delay of a message between two machines. */
    long delayMicros(Topology.Machine from, Topology.Machine to) {
        return network.delayMicros(Network.distance(from, to));
    }
}
