package gradehub.scale.model;

import java.util.SplittableRandom;

/**
 * The outside clients of one machine of layer 0. Root calls arrive in an open loop as a Poisson process, regardless of
 * the outcome of earlier calls.
 */
final class RootClients {

    private final SimulationContext context;
    private final Topology.Machine machine;
    private final SplittableRandom random;
    private final double meanInterarrivalMicros;
    private final long deadlineMicros;

    private RootClients(SimulationContext context, Topology.Machine machine, double callsPerSecond) {
        this.context = context;
        this.machine = machine;
        this.random = context.newRandom();
        this.meanInterarrivalMicros = SimulationContext.MICROS_PER_SECOND / callsPerSecond;
        this.deadlineMicros = context.experiment.calls().deadlineMillis() * SimulationContext.MICROS_PER_MILLI;
    }

    /** Schedules the first arrival at each machine of layer 0. */
    static void start(SimulationContext context) {
        for (Topology.Service service : context.topology.servicesInLayer(0)) {
            double callsPerSecond = service.plannedRate() / service.machines().size();
            for (Topology.Machine machine : service.machines()) {
                if (callsPerSecond > 0) {
                    new RootClients(context, machine, callsPerSecond).scheduleNextArrival(0);
                }
            }
        }
    }

    private void scheduleNextArrival(long previousArrivalMicros) {
        double interarrivalMicros = -Math.log(1 - random.nextDouble()) * meanInterarrivalMicros;
        context.queue.scheduleAt(previousArrivalMicros + Math.max(1, Math.round(interarrivalMicros)), this::arrive);
    }

    /** Handles an arrival; clients of a machine that is down go to another site, outside of the fleet. */
    private void arrive(long nowMicros) {
        SimulatedSidecar sidecar = context.sidecars.get(machine.number());
        if (sidecar.isRunning()) {
            context.measurements.rootCallStarted(nowMicros);
            int maxTries = context.experiment.calls().rootTries();
            FanOut.start(
                    context,
                    sidecar,
                    nowMicros,
                    nowMicros + deadlineMicros,
                    maxTries,
                    (now, served) -> context.measurements.rootCallEnded(now, nowMicros, served));
        }
        scheduleNextArrival(nowMicros);
    }
}
