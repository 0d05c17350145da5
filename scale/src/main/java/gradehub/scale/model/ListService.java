package gradehub.scale.model;

import gradehub.scale.experiment.ListServiceModel;
import gradehub.scale.experiment.ListServiceModel.Scope;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The list service: one server that handles calls one after another, each for a time. It answers a call for a watch with
 * what changed since the caller's revision or with the whole list, writes later changes to it, and an empty line every
 * two seconds. What it reads and writes is counted in the bytes of the protocol's messages.
 */
final class ListService {

    private static final long LINE_MICROS = 2 * SimulationContext.MICROS_PER_SECOND;
    /** After that a connection to a machine that says nothing is given up. */
    private static final long HALF_OPEN_MICROS = 15 * SimulationContext.MICROS_PER_SECOND;

    private final SimulationContext context;
    private final ListServiceModel model;
    private final ListEntry[] entries;
    private final List<List<Topology.Machine>> scopes = new ArrayList<>();
    /** Calls that wait and watches that are open, in the order in which they came. */
    private final Set<Watch> callers = new LinkedHashSet<>();

    private int revision = 1;
    private boolean up = true;
    private int life;
    private long upSinceMicros;
    private long busyUntilMicros;
    private boolean pushDue;

    ListService(SimulationContext context) {
        this.context = context;
        this.model = context.experiment.listService();
        this.entries = new ListEntry[context.topology.machines.size()];
        for (Topology.Machine machine : context.topology.machines) {
            entries[machine.number()] = newEntry(machine, ListEntry.Phase.ACTIVE, -1, 0);
        }
        for (Topology.Service service : context.topology.services) {
            scopes.add(model.scope() == Scope.FLEET ? context.topology.machines : machinesOf(service.callees()));
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

    boolean reaches(Topology.Machine machine) {
        return !context.upstreams.get(machine.number()).isMachineLost()
                && context.network.isListServiceReachable(machine);
    }

    /** Since when it is up and the path from this machine is whole. */
    long reachableSinceMicros(Topology.Machine machine) {
        return Math.max(upSinceMicros, context.network.listServiceReconnectedMicros(machine));
    }

    /** The list of this machine's sidecar as it stands now, without those that have left. */
    List<ListEntry> fullList(Topology.Machine machine) {
        List<ListEntry> list = new ArrayList<>();
        for (Topology.Machine other : scopes.get(machine.service())) {
            ListEntry entry = entries[other.number()];
            if (entry.phase() != ListEntry.Phase.LEFT) {
                list.add(entry);
            }
        }
        return list;
    }

    // ---- Changes of the list.

    /** A machine's entry changes now. */
    void updateEntry(long nowMicros, Topology.Machine machine, ListEntry.Phase phase, long startedMicros) {
        ListEntry old = entries[machine.number()];
        if (old.phase() == phase && old.startedMicros() == startedMicros) {
            return;
        }
        revision++;
        entries[machine.number()] = newEntry(machine, phase, startedMicros, nowMicros);
        context.measurements.listEntryChanged(nowMicros);
        if (!pushDue) {
            pushDue = true;
            context.queue.scheduleAt(
                    nowMicros + model.pushPeriodMillis() * SimulationContext.MICROS_PER_MILLI, this::push);
        }
    }

    /** A machine has been lost; that shows in the list after a while, unless it has started anew by then. */
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

    private void push(long nowMicros) {
        pushDue = false;
        if (!up) {
            return;
        }
        for (Watch watch : callers) {
            List<ListEntry> changes = watch.answered ? changesSince(watch) : List.of();
            if (!changes.isEmpty()) {
                long writtenMicros = serve(nowMicros, model.entryMicros() * changes.size());
                write(writtenMicros, watch, new ListUpdate(revision, false, changes), 0);
            }
        }
    }

    private List<ListEntry> changesSince(Watch watch) {
        List<ListEntry> changes = new ArrayList<>();
        for (Topology.Machine other : scopes.get(watch.machine.service())) {
            if (entries[other.number()].revision() > watch.revision) {
                changes.add(entries[other.number()]);
            }
        }
        return changes;
    }

    // ---- Calls.

    /** A call for a watch has come in. */
    void call(long nowMicros, Watch watch) {
        if (!up) {
            tellEnded(nowMicros, watch);
            return;
        }
        context.measurements.listCallReceived(nowMicros, ListJson.callBytes(watch.revision));
        long waitMicros = Math.max(0, busyUntilMicros - nowMicros);
        long timeoutMicros = model.timeoutMillis() * SimulationContext.MICROS_PER_MILLI;
        if (callers.size() >= model.maxCallers()) {
            fail(nowMicros, watch);
        } else if (waitMicros > timeoutMicros) {
            callers.add(watch);
            atThisLife(nowMicros + timeoutMicros, now -> fail(now, watch));
        } else {
            callers.add(watch);
            long costMicros = model.callMicros()
                    + model.entryMicros() * answerTo(watch).entries().size();
            atThisLife(serve(nowMicros, costMicros), now -> answer(now, watch));
        }
    }

    /** Holds the server for a while once it is free, and tells when that ends. */
    private long serve(long nowMicros, long costMicros) {
        busyUntilMicros = Math.max(busyUntilMicros, nowMicros) + costMicros;
        context.measurements.listServiceBusy(nowMicros, costMicros, busyUntilMicros - nowMicros);
        return busyUntilMicros;
    }

    private ListUpdate answerTo(Watch watch) {
        boolean changesAlone = watch.revision >= 0 && revision - watch.revision <= model.retainedRevisions();
        return changesAlone
                ? new ListUpdate(revision, false, changesSince(watch))
                : new ListUpdate(revision, true, fullList(watch.machine));
    }

    private void answer(long nowMicros, Watch watch) {
        if (!callers.contains(watch)) {
            return;
        }
        watch.answered = true;
        write(nowMicros, watch, answerTo(watch), ListJson.headBytes());
        atThisLife(nowMicros + LINE_MICROS, now -> writeLine(now, watch));
    }

    private void fail(long nowMicros, Watch watch) {
        callers.remove(watch);
        context.measurements.listCallFailed(nowMicros, ListJson.FAILURE_BYTES);
        tellEnded(nowMicros, watch);
    }

    private void write(long nowMicros, Watch watch, ListUpdate update, int headBytes) {
        watch.revision = update.revision();
        int bytes = headBytes + ListJson.messageBytes(update.revision(), update.complete(), update.entries());
        context.measurements.listMessageWritten(nowMicros, bytes, update.complete());
        deliver(nowMicros, watch, update);
    }

    private void writeLine(long nowMicros, Watch watch) {
        if (callers.contains(watch)) {
            context.measurements.listKeepAliveWritten(nowMicros, ListJson.LINE_OF_LIFE_BYTES);
            deliver(nowMicros, watch, null);
            atThisLife(nowMicros + LINE_MICROS, now -> writeLine(now, watch));
        }
    }

    private void deliver(long nowMicros, Watch watch, ListUpdate update) {
        if (reaches(watch.machine)) {
            long delay = context.network.listServiceDelayMicros(watch.machine);
            context.queue.scheduleAt(nowMicros + delay, now -> watch.client.heard(now, watch, update));
        }
    }

    private void tellEnded(long nowMicros, Watch watch) {
        if (reaches(watch.machine)) {
            long delay = context.network.listServiceDelayMicros(watch.machine);
            context.queue.scheduleAt(nowMicros + delay, now -> watch.client.ended(now, watch));
        }
    }

    /** A sidecar has closed a watch; over a cut path that shows much later. */
    void closedBySidecar(long nowMicros, Watch watch) {
        long delay = reaches(watch.machine) ? context.network.listServiceDelayMicros(watch.machine) : HALF_OPEN_MICROS;
        context.queue.scheduleAt(nowMicros + delay, now -> callers.remove(watch));
    }

    // ---- Outages.

    /** It goes down: its connections are reset, and new ones refused. */
    void startOutage(long nowMicros) {
        up = false;
        life++;
        callers.forEach(watch -> tellEnded(nowMicros, watch));
        callers.clear();
    }

    /** It is back, with the list as it is by now. */
    void endOutage(long nowMicros) {
        up = true;
        upSinceMicros = nowMicros;
        busyUntilMicros = nowMicros;
    }

    private void atThisLife(long timeMicros, Event event) {
        int ofLife = life;
        context.queue.scheduleAt(timeMicros, now -> {
            if (life == ofLife) {
                event.fire(now);
            }
        });
    }
}
