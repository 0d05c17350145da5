package gradehub.scale.experiment;

import java.util.List;

/**
 * The machines and services of an experiment. Each machine runs one instance of a service, which is an upstream of its
 * callers, and one sidecar. Services are arranged in layers: layer 0 serves the outside clients, and the services of
 * each layer call those of the next.
 *
 * @param upstreams number of machines, each of which is one upstream
 * @param services number of services in all layers together
 * @param minServiceSize least number of upstreams of a service
 * @param maxServiceSize greatest number of upstreams of a service
 * @param hops number of layers below layer 0, which is the depth of the call tree
 * @param calledServices number of services of the next layer that each service calls; more if some of them would
 *     otherwise have no caller, fewer if the next layer has fewer services
 * @param utilisation mean fraction of an upstream's cores that is busy at the planned rate of calls
 * @param regions the regions with their zones
 */
public record Fleet(
        int upstreams,
        int services,
        int minServiceSize,
        int maxServiceSize,
        int hops,
        int calledServices,
        double utilisation,
        List<Region> regions) {

    /** Creates a fleet with an immutable copy of the regions. */
    public Fleet {
        regions = List.copyOf(regions);
    }

    /** A group of zones that are close to each other. */
    public record Region(String name, List<Zone> zones) {
        /** Creates a region with an immutable copy of the zones. */
        public Region {
            zones = List.copyOf(zones);
        }
    }

    /** A zone; the probability that a machine is placed in it is proportional to its weight. */
    public record Zone(String name, double weight) {}

    /** Number of layers, including layer 0. */
    public int layers() {
        return hops + 1;
    }

    /**
     * Returns this fleet with another number of machines. The number of services is scaled in proportion, within the
     * bounds that the number of layers and the size limits of a service set.
     */
    public Fleet scaledTo(int newUpstreams) {
        int scaledServices = (int) Math.round((double) services * newUpstreams / upstreams);
        int maxServices = newUpstreams / minServiceSize;
        int minServices = Math.max(layers(), (newUpstreams + maxServiceSize - 1) / maxServiceSize);
        return new Fleet(
                newUpstreams,
                Math.max(minServices, Math.min(maxServices, scaledServices)),
                minServiceSize,
                maxServiceSize,
                hops,
                calledServices,
                utilisation,
                regions);
    }
}
