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
 * The sidecar of one machine: one balancer for each service that its application calls, and one list service client for
 * all of them. The first balancer decides when to subscribe to the list again.
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

    List<Integer> calledServices() {
        return calledServices;
    }

    /** The number of processes that have ended on this machine; tells a restarted process from an earlier one. */
    int incarnation() {
        return incarnation;
    }

    boolean isRunning() {
        return running;
    }

    ListClient listClient() {
        return listClient;
    }

    /** One client for each called service; a single client without a service if the application calls none. */
    List<ServiceClient> serviceClients() {
        return serviceClients;
    }

    /** Starts a process with the list that was cached before the restart. */
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

    /** The process ends, alone or with its machine. */
    void stop(long nowMicros) {
        running = false;
        incarnation++;
        serviceClients.forEach(ServiceClient::stop);
        serviceClients.clear();
        listClient.stop(nowMicros);
    }

    /** The settings of a balancer whose service is called by {@code callerCount} sidecars. */
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

    /** Handles only the first balancer's subscription: as in the real sidecar, all balancers share one watch. */
    void subscribe(ServiceClient client, boolean on) {
        if (on && client == serviceClients.get(0)) {
            listClient.subscribe(context.queue.nowMicros());
        }
    }

    /** The watch has failed; the first balancer decides when to subscribe again. */
    void watchFailed(long nowMicros) {
        serviceClients.get(0).updateUpstreams(nowMicros, ListKind.FAILED, List.of());
    }

    /** Passes to each balancer the entries for its own service. */
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

    /** Samples the number of calls that serving the next request takes; its mean is {@code callsPerRequest}. */
    int sampleCallCount() {
        if (calledServices.isEmpty()) {
            return 0;
        }
        double mean = context.experiment.calls().callsPerRequest();
        int wholeCalls = (int) mean;
        boolean extraCall = mean > wholeCalls && random.nextDouble() < mean - wholeCalls;
        return wholeCalls + (extraCall ? 1 : 0);
    }

    /** Picks the client for the next call, uniformly at random. */
    ServiceClient pickClient() {
        return serviceClients.get(serviceClients.size() == 1 ? 0 : random.nextInt(serviceClients.size()));
    }
}
