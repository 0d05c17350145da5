package gradehub.scale.model;

import gradehub.scale.experiment.CallModel;
import gradehub.scale.experiment.Fleet;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * The fleet drawn from its description: which machine runs which service in which zone, and which service calls which.
 * The same seed draws the same fleet.
 */
final class Topology {

    /** A zone and the region that it lies in. */
    record Zone(int number, String name, int region, double weight) {}

    /** An instance of a service on a machine of its own. */
    record Machine(int number, int service, int zone, int region) {}

    /**
     * A service.
     *
     * @param callees the services that it calls
     * @param callerCount machines that call it
     * @param plannedRate requests a second at the planned rate
     */
    record Service(
            int number,
            int layer,
            List<Machine> machines,
            List<Integer> callees,
            int callerCount,
            double plannedRate) {}

    final List<Zone> zones;
    final List<String> regions;
    final List<Machine> machines = new ArrayList<>();
    final List<Service> services = new ArrayList<>();

    private final Fleet fleet;
    private final Random random;

    Topology(Fleet fleet, CallModel calls, long seed) {
        this.fleet = fleet;
        this.random = new Random(seed);
        this.regions = fleet.regions().stream().map(Fleet.Region::name).toList();
        this.zones = zones(fleet);
        int[] layerOf = layers();
        int[] sizes = sizes();
        List<List<Machine>> machinesOf = place(sizes);
        List<List<Integer>> calledBy = calls(layerOf);
        double[] planned = planned(layerOf, sizes, calledBy, calls);
        int[] callers = callers(sizes, calledBy);
        for (int service = 0; service < sizes.length; service++) {
            services.add(new Service(
                    service,
                    layerOf[service],
                    machinesOf.get(service),
                    calledBy.get(service),
                    callers[service],
                    planned[service]));
        }
    }

    /** The services of a layer. */
    List<Service> servicesInLayer(int layer) {
        return services.stream().filter(service -> service.layer() == layer).toList();
    }

    private static List<Zone> zones(Fleet fleet) {
        List<Zone> zones = new ArrayList<>();
        for (int region = 0; region < fleet.regions().size(); region++) {
            for (Fleet.Zone zone : fleet.regions().get(region).zones()) {
                zones.add(new Zone(zones.size(), zone.name(), region, zone.weight()));
            }
        }
        return List.copyOf(zones);
    }

    private int[] layers() {
        int[] layerOf = new int[fleet.services()];
        for (int service = 0; service < layerOf.length; service++) {
            layerOf[service] = service * fleet.layers() / layerOf.length;
        }
        return layerOf;
    }

    /** Most services are small: each machine that is left over joins a service in proportion to its drawn weight. */
    private int[] sizes() {
        int[] sizes = new int[fleet.services()];
        double[] weights = new double[sizes.length];
        for (int service = 0; service < sizes.length; service++) {
            sizes[service] = fleet.minServiceSize();
            weights[service] = Math.exp(random.nextGaussian());
        }
        int left = fleet.upstreams() - sizes.length * fleet.minServiceSize();
        while (left > 0) {
            int service = draw(weights);
            if (sizes[service] < fleet.maxServiceSize()) {
                sizes[service]++;
                left--;
            } else {
                weights[service] = 0;
            }
        }
        return sizes;
    }

    private int draw(double[] weights) {
        double sum = 0;
        for (double weight : weights) {
            sum += weight;
        }
        double at = random.nextDouble() * sum;
        int drawn = 0;
        for (int i = 0; i < weights.length; i++) {
            if (weights[i] > 0) {
                drawn = i;
                at -= weights[i];
                if (at < 0) {
                    break;
                }
            }
        }
        return drawn;
    }

    private List<List<Machine>> place(int[] sizes) {
        double[] weights = zones.stream().mapToDouble(Zone::weight).toArray();
        List<List<Machine>> machinesOf = new ArrayList<>();
        for (int service = 0; service < sizes.length; service++) {
            List<Machine> ofService = new ArrayList<>();
            for (int i = 0; i < sizes[service]; i++) {
                Zone zone = zones.get(draw(weights));
                Machine machine = new Machine(machines.size(), service, zone.number(), zone.region());
                machines.add(machine);
                ofService.add(machine);
            }
            machinesOf.add(List.copyOf(ofService));
        }
        return machinesOf;
    }

    /** Each service but those of layer 0 is called by one service at least. */
    private List<List<Integer>> calls(int[] layerOf) {
        List<List<Integer>> calledBy = new ArrayList<>();
        for (int service = 0; service < layerOf.length; service++) {
            calledBy.add(new ArrayList<>());
        }
        for (int layer = 0; layer < fleet.hops(); layer++) {
            List<Integer> callers = inLayer(layerOf, layer);
            List<Integer> called = inLayer(layerOf, layer + 1);
            Collections.shuffle(called, random);
            for (int i = 0; i < Math.max(called.size(), callers.size() * fleet.calledServices()); i++) {
                List<Integer> ofCaller = calledBy.get(callers.get(i % callers.size()));
                int service = called.get(i % called.size());
                if (!ofCaller.contains(service)) {
                    ofCaller.add(service);
                }
            }
        }
        return calledBy;
    }

    private static List<Integer> inLayer(int[] layerOf, int layer) {
        List<Integer> services = new ArrayList<>();
        for (int service = 0; service < layerOf.length; service++) {
            if (layerOf[service] == layer) {
                services.add(service);
            }
        }
        return services;
    }

    /** Layer 0 by the number of machines; below it each service calls those under it equally often. */
    private static double[] planned(int[] layerOf, int[] sizes, List<List<Integer>> calledBy, CallModel calls) {
        double[] planned = new double[sizes.length];
        int rootMachines = 0;
        for (int service = 0; service < sizes.length; service++) {
            rootMachines += layerOf[service] == 0 ? sizes[service] : 0;
        }
        for (int service = 0; service < sizes.length; service++) {
            planned[service] += layerOf[service] == 0 ? calls.rootCallsPerSecond() * sizes[service] / rootMachines : 0;
            List<Integer> called = calledBy.get(service);
            for (int other : called) {
                planned[other] += planned[service] * calls.callsPerRequest() / called.size();
            }
        }
        return planned;
    }

    private static int[] callers(int[] sizes, List<List<Integer>> calledBy) {
        int[] callers = new int[sizes.length];
        for (int service = 0; service < sizes.length; service++) {
            for (int other : calledBy.get(service)) {
                callers[other] += sizes[service];
            }
        }
        return callers;
    }
}
