package gradehub.scale.model;

import gradehub.scale.experiment.ListServiceModel;
import gradehub.scale.experiment.ListServiceModel.Scope;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The simulated discovery service: a single server that handles calls sequentially, each for a fixed time plus a time
 * per entry. It answers a call for a watch with the changes since the caller's revision or with the full list, pushes
 * later changes over the watch and writes an empty line every two seconds as a keep-alive. Traffic is counted in the
 * byte lengths of the protocol's messages.
 */
final class ListService {

    private static final long KEEP_ALIVE_INTERVAL_MICROS = 2 * SimulationContext.MICROS_PER_SECOND;
    /** Time after which a half-open connection, whose peer has become unreachable, is closed. */
    private static final long HALF_OPEN_TIMEOUT_MICROS = 15 * SimulationContext.MICROS_PER_SECOND;

    private final SimulationContext context;
    private final ListServiceModel model;
    private final ListEntry[] entries;
    /** The machines in the lists of a service's sidecars, by service number. */
    private final List<List<Topology.Machine>> listedMachines = new ArrayList<>();
    /** Pending calls and open watches, in order of arrival. */
    private final Set<Watch> watches = new LinkedHashSet<>();

    private int revision = 1;
    private boolean up = true;
    private int outageCount;
    private long upSinceMicros;
    private long busyUntilMicros;
    private boolean pushScheduled;

    ListService(SimulationContext context) {
        this.context = context;
        this.model = context.experiment.listService();
        this.entries = new ListEntry[context.topology.machines.size()];
        for (Topology.Machine machine : context.topology.machines) {
            entries[machine.number()] = newEntry(machine, ListEntry.Phase.ACTIVE, -1, 0);
        }
        for (Topology.Service service : context.topology.services) {
            listedMachines.add(
                    model.scope() == Scope.FLEET ? context.topology.machines : machinesOf(service.callees()));
        }
    }

    private List<Topology.Machine> machinesOf(List<Integer> services) {
        List<Topology.Machine> machines = new ArrayList<>();
        services.forEach(service ->
                machines.addAll(context.topology.services.get(service).machines()));
        return machines;
    }

    int revision() {
        return revision;
    }

    /** Whether messages get through between the service and this machine. */
    boolean isReachableFrom(Topology.Machine machine) {
        return !context.upstreams.get(machine.number()).isMachineLost()
                && context.network.isListServiceReachable(machine);
    }

    /** The time since when the service has been up and not partitioned from this machine. */
    long reachableSinceMicros(Topology.Machine machine) {
        return Math.max(upSinceMicros, context.network.listServiceReconnectedMicros(machine));
    }

    /** The current list for this machine's sidecar, without machines that have left. */
    List<ListEntry> fullList(Topology.Machine machine) {
        List<ListEntry> list = new ArrayList<>();
        for (Topology.Machine other : listedMachines.get(machine.service())) {
            ListEntry entry = entries[other.number()];
            if (entry.phase() != ListEntry.Phase.LEFT) {
                list.add(entry);
            }
        }
        return list;
    }

    // ---- Changes to the list.

    /** Updates a machine's entry under a new revision and schedules a push; does nothing if the entry is unchanged. */
    void updateEntry(long nowMicros, Topology.Machine machine, ListEntry.Phase phase, long startedMicros) {
        ListEntry previous = entries[machine.number()];
        if (previous.phase() == phase && previous.startedMicros() == startedMicros) {
            return;
        }
        revision++;
        entries[machine.number()] = newEntry(machine, phase, startedMicros, nowMicros);
        context.measurements.listEntryChanged(nowMicros);
        if (!pushScheduled) {
            pushScheduled = true;
            context.queue.scheduleAt(
                    nowMicros + model.pushPeriodMillis() * SimulationContext.MICROS_PER_MILLI, this::pushChanges);
        }
    }

    /** Lists a lost machine as left after the detection delay, unless it has restarted by then. */
    void scheduleLossDetection(long nowMicros, Topology.Machine machine) {
        context.queue.scheduleAt(nowMicros + model.lossDetectionMillis() * SimulationContext.MICROS_PER_MILLI, now -> {
            if (!context.upstreams.get(machine.number()).isUp()) {
                updateEntry(now, machine, ListEntry.Phase.LEFT, entries[machine.number()].startedMicros());
            }
        });
    }

    private ListEntry newEntry(
            Topology.Machine machine, ListEntry.Phase phase, long startedMicros, long changedMicros) {
        String zone = context.topology.zones.get(machine.zone()).name();
        return ListEntry.of(machine, zone, phase, startedMicros, revision, changedMicros);
    }

    private void pushChanges(long nowMicros) {
        pushScheduled = false;
        if (!up) {
            return;
        }
        for (Watch watch : watches) {
            List<ListEntry> changes = watch.answered ? changesSince(watch) : List.of();
            if (!changes.isEmpty()) {
                long writtenMicros = occupyServer(nowMicros, model.entryMicros() * changes.size());
                writeUpdate(writtenMicros, watch, new ListUpdate(revision, false, changes), 0);
            }
        }
    }

    private List<ListEntry> changesSince(Watch watch) {
        List<ListEntry> changes = new ArrayList<>();
        for (Topology.Machine other : listedMachines.get(watch.machine.service())) {
            if (entries[other.number()].revision() > watch.revision) {
                changes.add(entries[other.number()]);
            }
        }
        return changes;
    }

    // ---- Calls.

    /** Handles a call for a watch. */
    void receiveCall(long nowMicros, Watch watch) {
        if (!up) {
            notifyEnded(nowMicros, watch);
            return;
        }
        context.measurements.listCallReceived(nowMicros, ListJson.callBytes(watch.revision));
        long waitMicros = Math.max(0, busyUntilMicros - nowMicros);
        long timeoutMicros = model.timeoutMillis() * SimulationContext.MICROS_PER_MILLI;
        if (watches.size() >= model.maxCallers()) {
            failCall(nowMicros, watch);
        } else if (waitMicros > timeoutMicros) {
            watches.add(watch);
            scheduleUnlessOutage(nowMicros + timeoutMicros, now -> failCall(now, watch));
        } else {
            watches.add(watch);
            long costMicros = model.callMicros()
                    + model.entryMicros() * buildAnswer(watch).entries().size();
            scheduleUnlessOutage(occupyServer(nowMicros, costMicros), now -> sendAnswer(now, watch));
        }
    }

    /** Occupies the server for a time once it is free; returns when that time ends. */
    private long occupyServer(long nowMicros, long costMicros) {
        busyUntilMicros = Math.max(busyUntilMicros, nowMicros) + costMicros;
        context.measurements.listServiceBusy(nowMicros, costMicros, busyUntilMicros - nowMicros);
        return busyUntilMicros;
    }

    private ListUpdate buildAnswer(Watch watch) {
        boolean deltaSuffices = watch.revision >= 0 && revision - watch.revision <= model.retainedRevisions();
        return deltaSuffices
                ? new ListUpdate(revision, false, changesSince(watch))
                : new ListUpdate(revision, true, fullList(watch.machine));
    }

    private void sendAnswer(long nowMicros, Watch watch) {
        if (!watches.contains(watch)) {
            return;
        }
        watch.answered = true;
        writeUpdate(nowMicros, watch, buildAnswer(watch), ListJson.headBytes());
        scheduleUnlessOutage(nowMicros + KEEP_ALIVE_INTERVAL_MICROS, now -> writeKeepAlive(now, watch));
    }

    private void failCall(long nowMicros, Watch watch) {
        watches.remove(watch);
        context.measurements.listCallFailed(nowMicros, ListJson.FAILURE_BYTES);
        notifyEnded(nowMicros, watch);
    }

    private void writeUpdate(long nowMicros, Watch watch, ListUpdate update, int headBytes) {
        watch.revision = update.revision();
        int bytes = headBytes + ListJson.messageBytes(update.revision(), update.complete(), update.entries());
        context.measurements.listMessageWritten(nowMicros, bytes, update.complete());
        deliver(nowMicros, watch, update);
    }

    private void writeKeepAlive(long nowMicros, Watch watch) {
        if (watches.contains(watch)) {
            context.measurements.listKeepAliveWritten(nowMicros, ListJson.KEEP_ALIVE_BYTES);
            deliver(nowMicros, watch, null);
            scheduleUnlessOutage(nowMicros + KEEP_ALIVE_INTERVAL_MICROS, now -> writeKeepAlive(now, watch));
        }
    }

    private void deliver(long nowMicros, Watch watch, ListUpdate update) {
        if (isReachableFrom(watch.machine)) {
            long delay = context.network.listServiceDelayMicros(watch.machine);
            context.queue.scheduleAt(nowMicros + delay, now -> watch.client.received(now, watch, update));
        }
    }

    private void notifyEnded(long nowMicros, Watch watch) {
        if (isReachableFrom(watch.machine)) {
            long delay = context.network.listServiceDelayMicros(watch.machine);
            context.queue.scheduleAt(nowMicros + delay, now -> watch.client.watchEnded(now, watch));
        }
    }

    /** Handles the close of a watch by its sidecar, which goes unnoticed for much longer if the path is cut. */
    void receiveClose(long nowMicros, Watch watch) {
        long delay = isReachableFrom(watch.machine)
                ? context.network.listServiceDelayMicros(watch.machine)
                : HALF_OPEN_TIMEOUT_MICROS;
        context.queue.scheduleAt(nowMicros + delay, now -> watches.remove(watch));
    }

    // ---- Outages.

    /** Takes the service down: open connections are reset and new ones refused. */
    void startOutage(long nowMicros) {
        up = false;
        outageCount++;
        watches.forEach(watch -> notifyEnded(nowMicros, watch));
        watches.clear();
    }

    /** Brings the service back up, with a list that includes the changes during the outage. */
    void endOutage(long nowMicros) {
        up = true;
        upSinceMicros = nowMicros;
        busyUntilMicros = nowMicros;
    }

    /** Schedules an event that is skipped if an outage starts before it. */
    private void scheduleUnlessOutage(long timeMicros, Event event) {
        int outagesBefore = outageCount;
        context.queue.scheduleAt(timeMicros, now -> {
            if (outageCount == outagesBefore) {
                event.fire(now);
            }
        });
    }
}
