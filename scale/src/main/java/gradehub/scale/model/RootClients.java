package gradehub.scale.model;

import java.util.SplittableRandom;

/** The outside clients of one machine of layer 0: open arrivals at random times, whatever becomes of earlier ones. */
final class RootClients {

    private final World world;
    private final Topology.Machine machine;
    private final SplittableRandom random;
    private final double meanGapMicros;
    private final long deadlineMicros;

    private RootClients(World world, Topology.Machine machine, double callsPerSecond) {
        this.world = world;
        this.machine = machine;
        this.random = world.newRandom();
        this.meanGapMicros = World.MICROS_PER_SECOND / callsPerSecond;
        this.deadlineMicros = world.experiment.calls().deadlineMillis() * World.MICROS_PER_MILLI;
    }

    /** Schedules the first arrival at each machine of layer 0. */
    static void start(World world) {
        for (Topology.Service service : world.topology.layer(0)) {
            double callsPerSecond = service.planned() / service.machines().size();
            for (Topology.Machine machine : service.machines()) {
                if (callsPerSecond > 0) {
                    new RootClients(world, machine, callsPerSecond).scheduleNext(0);
                }
            }
        }
    }

    private void scheduleNext(long intendedMicros) {
        double gap = -Math.log(1 - random.nextDouble()) * meanGapMicros;
        world.queue.scheduleAt(intendedMicros + Math.max(1, Math.round(gap)), this::arrive);
    }

    /** Clients of a machine that is down go elsewhere, outside of the fleet. */
    private void arrive(long nowMicros) {
        SimulatedSidecar sidecar = world.sidecars.get(machine.number());
        if (sidecar.isRunning()) {
            world.measurements.rootOffered(nowMicros);
            int tries = world.experiment.calls().rootTries();
            FanOut.begin(
                    world,
                    sidecar,
                    nowMicros,
                    nowMicros + deadlineMicros,
                    tries,
                    (now, served) -> world.measurements.rootEnded(now, nowMicros, served));
        }
        scheduleNext(nowMicros);
    }
}
