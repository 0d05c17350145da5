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
    private static final long DRAIN_MICROS = World.MICROS_PER_SECOND;

    private final World world;
    private final Random random;

    FaultSchedule(World world) {
        this.world = world;
        this.random = new Random(world.newRandom().nextLong());
    }

    /** Schedules a fault. */
    void add(Fault fault) {
        long from = World.micros(fault.startSeconds());
        long until = World.micros(fault.startSeconds() + fault.durationSeconds());
        if (fault instanceof Fault.UpstreamsFail fail) {
            onPart(from, until, fail.layer(), fail.fraction(), ModelUpstream::setErrorPart, fail.errorFraction(), 0);
        } else if (fault instanceof Fault.UpstreamsSlow slow) {
            onPart(from, until, slow.layer(), slow.fraction(), ModelUpstream::setSlowFactor, slow.factor(), 1);
        } else if (fault instanceof Fault.MachinesLost lost) {
            lose(from, until, drawn(lost.count()));
        } else if (fault instanceof Fault.Restarts restarts) {
            restart(from, until - from, restarts);
        } else if (fault instanceof Fault.ZoneLost lost) {
            lose(from, until, inZone(lost.zone()));
        } else if (fault instanceof Fault.RegionPartitioned parted) {
            int region = world.topology.regions.indexOf(parted.region());
            world.queue.scheduleAt(from, now -> world.network.part(region));
            world.queue.scheduleAt(until, now -> world.network.join(now, region));
        } else if (fault instanceof Fault.ListServiceDown) {
            world.queue.scheduleAt(from, world.listService::startOutage);
            world.queue.scheduleAt(until, world.listService::endOutage);
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
            ObjDoubleConsumer<ModelUpstream> setting,
            double faulty,
            double sound) {
        for (Topology.Service service : world.topology.layer(layer)) {
            List<Topology.Machine> machines = new ArrayList<>(service.machines());
            Collections.shuffle(machines, random);
            int count = (int) Math.floor(part * machines.size() + random.nextDouble());
            for (Topology.Machine machine : machines.subList(0, Math.min(count, machines.size()))) {
                ModelUpstream upstream = world.upstreams.get(machine.number());
                world.queue.scheduleAt(from, now -> setting.accept(upstream, faulty));
                world.queue.scheduleAt(until, now -> setting.accept(upstream, sound));
            }
        }
    }

    private List<Topology.Machine> drawn(int count) {
        List<Topology.Machine> machines = new ArrayList<>(world.topology.machines);
        Collections.shuffle(machines, random);
        return machines.subList(0, Math.min(count, machines.size()));
    }

    private List<Topology.Machine> inZone(String name) {
        return world.topology.machines.stream()
                .filter(machine ->
                        world.topology.zones.get(machine.zone()).name().equals(name))
                .toList();
    }

    private void lose(long from, long until, List<Topology.Machine> machines) {
        for (Topology.Machine machine : machines) {
            world.queue.scheduleAt(from, now -> {
                world.upstreams.get(machine.number()).lose();
                world.sidecars.get(machine.number()).stop(now);
                world.listService.scheduleLossDetection(now, machine);
            });
            world.queue.scheduleAt(until, now -> startAgain(now, machine));
        }
    }

    private void restart(long from, long spreadMicros, Fault.Restarts restarts) {
        List<Topology.Machine> machines = drawn(restarts.count());
        for (int i = 0; i < machines.size(); i++) {
            Topology.Machine machine = machines.get(i);
            ModelUpstream upstream = world.upstreams.get(machine.number());
            long leaves = from + spreadMicros * i / machines.size();
            long ends = leaves + DRAIN_MICROS;
            world.queue.scheduleAt(
                    leaves,
                    now -> world.listService.updateEntry(
                            now, machine, ListEntry.Phase.LEAVING, upstream.startedMicros()));
            world.queue.scheduleAt(ends, now -> {
                upstream.kill(now);
                world.sidecars.get(machine.number()).stop(now);
            });
            world.queue.scheduleAt(ends + World.micros(restarts.downSeconds()), now -> startAgain(now, machine));
        }
    }

    private void startAgain(long nowMicros, Topology.Machine machine) {
        world.upstreams.get(machine.number()).start(nowMicros);
        world.listService.updateEntry(nowMicros, machine, ListEntry.Phase.ACTIVE, nowMicros);
        ModelSidecar sidecar = world.sidecars.get(machine.number());
        sidecar.start(nowMicros, world.listService.fullList(machine));
    }

    private void configure(long from, long spreadMicros) {
        List<ModelSidecar> sidecars = world.sidecars;
        for (int i = 0; i < sidecars.size(); i++) {
            ModelSidecar sidecar = sidecars.get(i);
            world.queue.scheduleAt(
                    from + spreadMicros * i / sidecars.size(),
                    now -> sidecar.listClient().changeAddress(now));
        }
    }
}
