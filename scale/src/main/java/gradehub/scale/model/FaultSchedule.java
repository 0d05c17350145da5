package gradehub.scale.model;

import gradehub.scale.experiment.Fault;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.ObjDoubleConsumer;

/** Brings the faults of an experiment about. */
final class FaultSchedule {

    /** A machine that is to be restarted is listed as leaving for so long before its process ends. */
    private static final long DRAIN_MICROS = SimulationContext.MICROS_PER_SECOND;

    private final SimulationContext context;
    private final Random random;

    FaultSchedule(SimulationContext context) {
        this.context = context;
        this.random = new Random(context.newRandom().nextLong());
    }

    /** Schedules a fault. */
    void add(Fault fault) {
        long from = SimulationContext.toMicros(fault.startSeconds());
        long until = SimulationContext.toMicros(fault.startSeconds() + fault.durationSeconds());
        if (fault instanceof Fault.UpstreamsFail fail) {
            onPart(
                    from,
                    until,
                    fail.layer(),
                    fail.fraction(),
                    SimulatedUpstream::setErrorFraction,
                    fail.errorFraction(),
                    0);
        } else if (fault instanceof Fault.UpstreamsSlow slow) {
            onPart(from, until, slow.layer(), slow.fraction(), SimulatedUpstream::setSlowdownFactor, slow.factor(), 1);
        } else if (fault instanceof Fault.MachinesLost lost) {
            lose(from, until, drawn(lost.count()));
        } else if (fault instanceof Fault.Restarts restarts) {
            restart(from, until - from, restarts);
        } else if (fault instanceof Fault.ZoneLost lost) {
            lose(from, until, inZone(lost.zone()));
        } else if (fault instanceof Fault.RegionPartitioned parted) {
            int region = context.topology.regions.indexOf(parted.region());
            context.queue.scheduleAt(from, now -> context.network.isolateRegion(region));
            context.queue.scheduleAt(until, now -> context.network.reconnectRegion(now, region));
        } else if (fault instanceof Fault.ListServiceDown) {
            context.queue.scheduleAt(from, context.listService::startOutage);
            context.queue.scheduleAt(until, context.listService::endOutage);
        } else if (fault instanceof Fault.ConfigurationChange) {
            configure(from, until - from);
        }
    }

    /** Takes the part from each service of the layer, so that none loses all its upstreams by chance. */
    private void onPart(
            long from,
            long until,
            int layer,
            double part,
            ObjDoubleConsumer<SimulatedUpstream> setting,
            double faulty,
            double sound) {
        for (Topology.Service service : context.topology.servicesInLayer(layer)) {
            List<Topology.Machine> machines = new ArrayList<>(service.machines());
            Collections.shuffle(machines, random);
            int count = (int) Math.floor(part * machines.size() + random.nextDouble());
            for (Topology.Machine machine : machines.subList(0, Math.min(count, machines.size()))) {
                SimulatedUpstream upstream = context.upstreams.get(machine.number());
                context.queue.scheduleAt(from, now -> setting.accept(upstream, faulty));
                context.queue.scheduleAt(until, now -> setting.accept(upstream, sound));
            }
        }
    }

    private List<Topology.Machine> drawn(int count) {
        List<Topology.Machine> machines = new ArrayList<>(context.topology.machines);
        Collections.shuffle(machines, random);
        return machines.subList(0, Math.min(count, machines.size()));
    }

    private List<Topology.Machine> inZone(String name) {
        return context.topology.machines.stream()
                .filter(machine ->
                        context.topology.zones.get(machine.zone()).name().equals(name))
                .toList();
    }

    private void lose(long from, long until, List<Topology.Machine> machines) {
        for (Topology.Machine machine : machines) {
            context.queue.scheduleAt(from, now -> {
                context.upstreams.get(machine.number()).loseMachine();
                context.sidecars.get(machine.number()).stop(now);
                context.listService.scheduleLossDetection(now, machine);
            });
            context.queue.scheduleAt(until, now -> startAgain(now, machine));
        }
    }

    private void restart(long from, long spreadMicros, Fault.Restarts restarts) {
        List<Topology.Machine> machines = drawn(restarts.count());
        for (int i = 0; i < machines.size(); i++) {
            Topology.Machine machine = machines.get(i);
            SimulatedUpstream upstream = context.upstreams.get(machine.number());
            long leaves = from + spreadMicros * i / machines.size();
            long ends = leaves + DRAIN_MICROS;
            context.queue.scheduleAt(
                    leaves,
                    now -> context.listService.updateEntry(
                            now, machine, ListEntry.Phase.LEAVING, upstream.startedMicros()));
            context.queue.scheduleAt(ends, now -> {
                upstream.kill(now);
                context.sidecars.get(machine.number()).stop(now);
            });
            context.queue.scheduleAt(
                    ends + SimulationContext.toMicros(restarts.downSeconds()), now -> startAgain(now, machine));
        }
    }

    private void startAgain(long nowMicros, Topology.Machine machine) {
        context.upstreams.get(machine.number()).start(nowMicros);
        context.listService.updateEntry(nowMicros, machine, ListEntry.Phase.ACTIVE, nowMicros);
        SimulatedSidecar sidecar = context.sidecars.get(machine.number());
        sidecar.start(nowMicros, context.listService.fullList(machine));
    }

    private void configure(long from, long spreadMicros) {
        List<SimulatedSidecar> sidecars = context.sidecars;
        for (int i = 0; i < sidecars.size(); i++) {
            SimulatedSidecar sidecar = sidecars.get(i);
            context.queue.scheduleAt(
                    from + spreadMicros * i / sidecars.size(),
                    now -> sidecar.listClient().changeAddress(now));
        }
    }
}
