package gradehub.scale.experiment;

import java.util.List;

/**
 * The machines and services of an experiment: each machine runs one instance of a service, which is an upstream of its
 * callers, and one sidecar. Services stand in layers; layer 0 serves the outside clients, and each layer calls the next.
 *
 * @param upstreams machines, over all services
 * @param services services, over all layers
 * @param minServiceSize upstreams of the smallest service
 * @param maxServiceSize upstreams of the largest service
 * @param hops layers below layer 0, so that a call tree is this deep
 * @param calledServices services that one service calls, at most
 * @param utilisation part of an upstream's cores that is busy at the planned rate
 * @param regions regions with their zones
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

    /** Copies the list. */
    public Fleet {
        regions = List.copyOf(regions);
    }

    /** A region: zones close to each other. */
    public record Region(String name, List<Zone> zones) {
        /** Copies the list. */
        public Region {
            zones = List.copyOf(zones);
        }
    }

    /** A zone, with its part of the machines against the other zones' weights. */
    public record Zone(String name, double weight) {}

    /** The number of layers, layer 0 included. */
    public int layers() {
        return hops + 1;
    }

    /** The same fleet at another size; services go with it, as far as each layer and service size allow. */
    public Fleet scaledTo(int otherUpstreams) {
        int scaled = (int) Math.round((double) services * otherUpstreams / upstreams);
        int most = otherUpstreams / minServiceSize;
        int least = Math.max(layers(), (otherUpstreams + maxServiceSize - 1) / maxServiceSize);
        return new Fleet(
                otherUpstreams,
                Math.max(least, Math.min(most, scaled)),
                minServiceSize,
                maxServiceSize,
                hops,
                calledServices,
                utilisation,
                regions);
    }
}
