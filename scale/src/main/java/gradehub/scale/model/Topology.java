package gradehub.scale.model;

import gradehub.scale.experiment.CallModel;
import gradehub.scale.experiment.Fleet;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * The randomly generated layout of a fleet: which machine runs which service in which zone, and which service calls
 * which. The same seed generates the same layout.
 */
final class Topology {

    /** A zone, the number of its region and its weight in the placement of machines. */
    record Zone(int number, String name, int region, double weight) {}

    /** A machine, which runs one instance of a service. */
    record Machine(int number, int service, int zone, int region) {}

    /**
     * A service with its place in the call graph.
     *
     * @param callees numbers of the services that it calls, all in the next layer
     * @param callerCount number of machines that call it
     * @param plannedRate requests per second when root calls come at their planned rate
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
        this.zones = zonesOf(fleet);
        int[] layerOf = assignLayers();
        int[] sizes = drawSizes();
        List<List<Machine>> machinesOf = placeMachines(sizes);
        List<List<Integer>> calleesOf = assignCallees(layerOf);
        double[] plannedRates = plannedRates(layerOf, sizes, calleesOf, calls);
        int[] callerCounts = countCallers(sizes, calleesOf);
        for (int service = 0; service < sizes.length; service++) {
            services.add(new Service(
                    service,
                    layerOf[service],
                    machinesOf.get(service),
                    calleesOf.get(service),
                    callerCounts[service],
                    plannedRates[service]));
        }
    }

    List<Service> servicesInLayer(int layer) {
        return services.stream().filter(service -> service.layer() == layer).toList();
    }

    private static List<Zone> zonesOf(Fleet fleet) {
        List<Zone> zones = new ArrayList<>();
        for (int region = 0; region < fleet.regions().size(); region++) {
            for (Fleet.Zone zone : fleet.regions().get(region).zones()) {
                zones.add(new Zone(zones.size(), zone.name(), region, zone.weight()));
            }
        }
        return List.copyOf(zones);
    }

    private int[] assignLayers() {
        int[] layerOf = new int[fleet.services()];
        for (int service = 0; service < layerOf.length; service++) {
            layerOf[service] = service * fleet.layers() / layerOf.length;
        }
        return layerOf;
    }

    /**
     * Gives each service its minimum size and assigns every further machine to a service drawn by log-normal weights,
     * which leaves most services small.
     */
    private int[] drawSizes() {
        int[] sizes = new int[fleet.services()];
        double[] weights = new double[sizes.length];
        for (int service = 0; service < sizes.length; service++) {
            sizes[service] = fleet.minServiceSize();
            weights[service] = Math.exp(random.nextGaussian());
        }
        int unassigned = fleet.upstreams() - sizes.length * fleet.minServiceSize();
        while (unassigned > 0) {
            int service = drawIndex(weights);
            if (sizes[service] < fleet.maxServiceSize()) {
                sizes[service]++;
                unassigned--;
            } else {
                weights[service] = 0;
            }
        }
        return sizes;
    }

    /** Draws an index with a probability proportional to its weight. */
    private int drawIndex(double[] weights) {
        double sum = 0;
        for (double weight : weights) {
            sum += weight;
        }
        double remaining = random.nextDouble() * sum;
        int drawn = 0;
        for (int i = 0; i < weights.length; i++) {
            if (weights[i] > 0) {
                drawn = i;
                remaining -= weights[i];
                if (remaining < 0) {
                    break;
                }
            }
        }
        return drawn;
    }

    private List<List<Machine>> placeMachines(int[] sizes) {
        double[] weights = zones.stream().mapToDouble(Zone::weight).toArray();
        List<List<Machine>> machinesOf = new ArrayList<>();
        for (int service = 0; service < sizes.length; service++) {
            List<Machine> instances = new ArrayList<>();
            for (int i = 0; i < sizes[service]; i++) {
                Zone zone = zones.get(drawIndex(weights));
                Machine machine = new Machine(machines.size(), service, zone.number(), zone.region());
                machines.add(machine);
                instances.add(machine);
            }
            machinesOf.add(List.copyOf(instances));
        }
        return machinesOf;
    }

    /** Draws the callees of each service; every service below layer 0 gets at least one caller. */
    private List<List<Integer>> assignCallees(int[] layerOf) {
        List<List<Integer>> calleesOf = new ArrayList<>();
        for (int service = 0; service < layerOf.length; service++) {
            calleesOf.add(new ArrayList<>());
        }
        for (int layer = 0; layer < fleet.hops(); layer++) {
            List<Integer> callers = serviceNumbersInLayer(layerOf, layer);
            List<Integer> candidates = serviceNumbersInLayer(layerOf, layer + 1);
            Collections.shuffle(candidates, random);
            for (int i = 0; i < Math.max(candidates.size(), callers.size() * fleet.calledServices()); i++) {
                List<Integer> callees = calleesOf.get(callers.get(i % callers.size()));
                int callee = candidates.get(i % candidates.size());
                if (!callees.contains(callee)) {
                    callees.add(callee);
                }
            }
        }
        return calleesOf;
    }

    private static List<Integer> serviceNumbersInLayer(int[] layerOf, int layer) {
        List<Integer> services = new ArrayList<>();
        for (int service = 0; service < layerOf.length; service++) {
            if (layerOf[service] == layer) {
                services.add(service);
            }
        }
        return services;
    }

    /** Splits the root calls over layer 0 by machines, and the calls of each service evenly over its callees. */
    private static double[] plannedRates(int[] layerOf, int[] sizes, List<List<Integer>> calleesOf, CallModel calls) {
        double[] rates = new double[sizes.length];
        int rootMachines = 0;
        for (int service = 0; service < sizes.length; service++) {
            rootMachines += layerOf[service] == 0 ? sizes[service] : 0;
        }
        for (int service = 0; service < sizes.length; service++) {
            rates[service] += layerOf[service] == 0 ? calls.rootCallsPerSecond() * sizes[service] / rootMachines : 0;
            List<Integer> callees = calleesOf.get(service);
            for (int callee : callees) {
                rates[callee] += rates[service] * calls.callsPerRequest() / callees.size();
            }
        }
        return rates;
    }

    private static int[] countCallers(int[] sizes, List<List<Integer>> calleesOf) {
        int[] counts = new int[sizes.length];
        for (int service = 0; service < sizes.length; service++) {
            for (int callee : calleesOf.get(service)) {
                counts[callee] += sizes[service];
            }
        }
        return counts;
    }
}
