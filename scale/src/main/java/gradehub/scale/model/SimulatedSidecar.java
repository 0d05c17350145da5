package gradehub.scale.model;

import gradehub.Balancer.Contract;
import gradehub.Balancer.Effect;
import gradehub.Balancer.Goal;
import gradehub.Balancer.Group;
import gradehub.Balancer.Limits;
import gradehub.Balancer.ListKind;
import gradehub.Balancer.RequestClass;
import gradehub.Balancer.Settings;
import gradehub.Balancer.Upstream;
import gradehub.scale.experiment.CallModel;
import gradehub.scale.experiment.Experiment;
import gradehub.scale.experiment.UpstreamModel;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A machine's sidecar: one decision module for each service that its application calls, and one client of the list
 * service for all of them. The first module decides when the list is asked for again.
 */
final class SimulatedSidecar {

    private static final double TICK_MILLIS = 5;
    private static final double LATE_WORTH = 0.5;
    private static final double LIST_FETCH_INTERVAL_MILLIS = 10_000;

    private final SimulationContext context;
    private final Topology.Machine machine;
    private final SplittableRandom random;
    private final ListClient listClient;
    private final List<Integer> calledServices;
    private final List<ServiceClient> serviceClients = new ArrayList<>();
    private int incarnation;
    private boolean running;

    SimulatedSidecar(SimulationContext context, Topology.Machine machine) {
        this.context = context;
        this.machine = machine;
        this.random = context.newRandom();
        this.calledServices = context.topology.services.get(machine.service()).callees();
        this.listClient = new ListClient(context, this);
    }

    Topology.Machine machine() {
        return machine;
    }

    /** The services that its application calls. */
    List<Integer> calledServices() {
        return calledServices;
    }

    /** Counts the processes that have run here. */
    int incarnation() {
        return incarnation;
    }

    boolean isRunning() {
        return running;
    }

    ListClient listClient() {
        return listClient;
    }

    /** The decision modules' hosts, one for each called service; one without a service where it calls none. */
    List<ServiceClient> serviceClients() {
        return serviceClients;
    }

    /** Starts a process, with the list as the sidecar last had it. */
    void start(long nowMicros, List<ListEntry> cachedList) {
        running = true;
        for (int i = 0; i < Math.max(1, calledServices.size()); i++) {
            int callerCount = calledServices.isEmpty()
                    ? 1
                    : context.topology.services.get(calledServices.get(i)).callerCount();
            serviceClients.add(
                    new ServiceClient(context, this, settings(context.experiment, callerCount), random.nextLong()));
        }
        listClient.start(nowMicros);
        updateUpstreams(nowMicros, ListKind.CACHED, cachedList);
        serviceClients.forEach(client -> client.start(nowMicros));
    }

    /** The process ends, by itself or with its machine. */
    void stop(long nowMicros) {
        running = false;
        incarnation++;
        serviceClients.forEach(ServiceClient::stop);
        serviceClients.clear();
        listClient.stop(nowMicros);
    }

    /** What a module is told whose service is called by so many sidecars. */
    static Settings settings(Experiment experiment, int callerCount) {
        CallModel calls = experiment.calls();
        UpstreamModel upstream = experiment.upstream();
        RequestClass requestClass = new RequestClass(
                "call", calls.aimMillis(), calls.deadlineMillis(), 1, LATE_WORTH, Effect.SAFE, Group.ALL, 0, false);
        Contract contract = new Contract(
                upstream.coldFrom(),
                upstream.coldMillis(),
                upstream.overloadFactor(),
                upstream.overloadWindowMillis(),
                LIST_FETCH_INTERVAL_MILLIS);
        Limits limits = new Limits(calls.maxAttempts(), calls.secondCopies(), true, false, 0);
        return new Settings(
                List.of(requestClass),
                List.of(),
                callerCount,
                true,
                true,
                TICK_MILLIS,
                1,
                List.of(),
                false,
                limits,
                contract,
                new Goal(1, 0, 0));
    }

    /** Only the first module's wish counts: the network code keeps one watch for all. */
    void subscribe(ServiceClient client, boolean on) {
        if (on && client == serviceClients.get(0)) {
            listClient.subscribe(context.queue.nowMicros());
        }
    }

    /** The watch has failed: the first module decides when it is opened again. */
    void watchFailed(long nowMicros) {
        serviceClients.get(0).updateUpstreams(nowMicros, ListKind.FAILED, List.of());
    }

    /** Tells each module of the listed machines of its service. */
    void updateUpstreams(long nowMicros, ListKind kind, List<ListEntry> list) {
        for (int i = 0; i < serviceClients.size(); i++) {
            List<Upstream> entries = new ArrayList<>();
            for (ListEntry entry : list) {
                if (i < calledServices.size() && entry.machine().service() == calledServices.get(i)) {
                    entries.add(entry.upstream());
                }
            }
            serviceClients.get(i).updateUpstreams(nowMicros, kind, entries);
        }
    }

    /** How many calls the next operation makes. */
    int sampleCallCount() {
        if (calledServices.isEmpty()) {
            return 0;
        }
        double mean = context.experiment.calls().callsPerRequest();
        int wholeCalls = (int) mean;
        boolean extraCall = mean > wholeCalls && random.nextDouble() < mean - wholeCalls;
        return wholeCalls + (extraCall ? 1 : 0);
    }

    /** The service that the next call goes to: each as often. */
    ServiceClient pickClient() {
        return serviceClients.get(serviceClients.size() == 1 ? 0 : random.nextInt(serviceClients.size()));
    }
}
