package gradehub.scale.model;

import gradehub.scale.experiment.Fault;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.ObjDoubleConsumer;

/** Schedules the faults of an experiment on the event queue. */
final class FaultSchedule {

    /** How long a machine is listed as leaving before its process ends for a restart. */
    private static final long DRAIN_MICROS = SimulationContext.MICROS_PER_SECOND;

    private final SimulationContext context;
    private final Random random;

    FaultSchedule(SimulationContext context) {
        this.context = context;
        this.random = new Random(context.newRandom().nextLong());
    }

    /** Schedules the start and the end of a fault. */
    void add(Fault fault) {
        long startMicros = SimulationContext.toMicros(fault.startSeconds());
        long endMicros = SimulationContext.toMicros(fault.startSeconds() + fault.durationSeconds());
        if (fault instanceof Fault.UpstreamsFail fail) {
            scheduleOnFraction(
                    startMicros,
                    endMicros,
                    fail.layer(),
                    fail.fraction(),
                    SimulatedUpstream::setErrorFraction,
                    fail.errorFraction(),
                    0);
        } else if (fault instanceof Fault.UpstreamsSlow slow) {
            scheduleOnFraction(
                    startMicros,
                    endMicros,
                    slow.layer(),
                    slow.fraction(),
                    SimulatedUpstream::setSlowdownFactor,
                    slow.factor(),
                    1);
        } else if (fault instanceof Fault.MachinesLost lost) {
            scheduleLoss(startMicros, endMicros, drawMachines(lost.count()));
        } else if (fault instanceof Fault.Restarts restarts) {
            scheduleRestarts(startMicros, endMicros - startMicros, restarts);
        } else if (fault instanceof Fault.ZoneLost lost) {
            scheduleLoss(startMicros, endMicros, machinesInZone(lost.zone()));
        } else if (fault instanceof Fault.RegionPartitioned partition) {
            int region = context.topology.regions.indexOf(partition.region());
            context.queue.scheduleAt(startMicros, now -> context.network.isolateRegion(region));
            context.queue.scheduleAt(endMicros, now -> context.network.reconnectRegion(now, region));
        } else if (fault instanceof Fault.ListServiceDown) {
            context.queue.scheduleAt(startMicros, context.listService::startOutage);
            context.queue.scheduleAt(endMicros, context.listService::endOutage);
        } else if (fault instanceof Fault.ConfigurationChange) {
            scheduleAddressChange(startMicros, endMicros - startMicros);
        }
    }

    /** Draws the fraction from each service of the layer, so that no service has all its upstreams affected by chance. */
    private void scheduleOnFraction(
            long startMicros,
            long endMicros,
            int layer,
            double fraction,
            ObjDoubleConsumer<SimulatedUpstream> setter,
            double faultyValue,
            double normalValue) {
        for (Topology.Service service : context.topology.servicesInLayer(layer)) {
            List<Topology.Machine> machines = new ArrayList<>(service.machines());
            Collections.shuffle(machines, random);
            int count = (int) Math.floor(fraction * machines.size() + random.nextDouble());
            for (Topology.Machine machine : machines.subList(0, Math.min(count, machines.size()))) {
                SimulatedUpstream upstream = context.upstreams.get(machine.number());
                context.queue.scheduleAt(startMicros, now -> setter.accept(upstream, faultyValue));
                context.queue.scheduleAt(endMicros, now -> setter.accept(upstream, normalValue));
            }
        }
    }

    private List<Topology.Machine> drawMachines(int count) {
        List<Topology.Machine> machines = new ArrayList<>(context.topology.machines);
        Collections.shuffle(machines, random);
        return machines.subList(0, Math.min(count, machines.size()));
    }

    private List<Topology.Machine> machinesInZone(String name) {
        return context.topology.machines.stream()
                .filter(machine ->
                        context.topology.zones.get(machine.zone()).name().equals(name))
                .toList();
    }

    private void scheduleLoss(long startMicros, long endMicros, List<Topology.Machine> machines) {
        for (Topology.Machine machine : machines) {
            context.queue.scheduleAt(startMicros, now -> {
                context.upstreams.get(machine.number()).loseMachine();
                context.sidecars.get(machine.number()).stop(now);
                context.listService.scheduleLossDetection(now, machine);
            });
            context.queue.scheduleAt(endMicros, now -> restartMachine(now, machine));
        }
    }

    private void scheduleRestarts(long startMicros, long spreadMicros, Fault.Restarts restarts) {
        List<Topology.Machine> machines = drawMachines(restarts.count());
        for (int i = 0; i < machines.size(); i++) {
            Topology.Machine machine = machines.get(i);
            SimulatedUpstream upstream = context.upstreams.get(machine.number());
            long drainStartMicros = startMicros + spreadMicros * i / machines.size();
            long drainEndMicros = drainStartMicros + DRAIN_MICROS;
            context.queue.scheduleAt(
                    drainStartMicros,
                    now -> context.listService.updateEntry(
                            now, machine, ListEntry.Phase.LEAVING, upstream.startedMicros()));
            context.queue.scheduleAt(drainEndMicros, now -> {
                upstream.kill(now);
                context.sidecars.get(machine.number()).stop(now);
            });
            context.queue.scheduleAt(
                    drainEndMicros + SimulationContext.toMicros(restarts.downSeconds()),
                    now -> restartMachine(now, machine));
        }
    }

    private void restartMachine(long nowMicros, Topology.Machine machine) {
        context.upstreams.get(machine.number()).start(nowMicros);
        context.listService.updateEntry(nowMicros, machine, ListEntry.Phase.ACTIVE, nowMicros);
        SimulatedSidecar sidecar = context.sidecars.get(machine.number());
        sidecar.start(nowMicros, context.listService.fullList(machine));
    }

    private void scheduleAddressChange(long startMicros, long spreadMicros) {
        List<SimulatedSidecar> sidecars = context.sidecars;
        for (int i = 0; i < sidecars.size(); i++) {
            SimulatedSidecar sidecar = sidecars.get(i);
            context.queue.scheduleAt(
                    startMicros + spreadMicros * i / sidecars.size(),
                    now -> sidecar.listClient().changeAddress(now));
        }
    }
}
