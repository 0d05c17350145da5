package gradehub.scale.model;

import gradehub.scale.experiment.NetworkModel;

/**
 * Message delays between machines and the connectivity of regions. Messages between disconnected regions are lost
 * without an error. The list service runs in the first region, outside the zones of the fleet.
 */
final class Network {

    /** Distance between two machines. */
    enum Distance {
        SAME_ZONE,
        OTHER_ZONE,
        OTHER_REGION
    }

    private static final int LIST_SERVICE_REGION = 0;

    private final NetworkModel model;
    private final boolean[] isolated;
    private final long[] reconnectedMicros;

    Network(NetworkModel model, int regionCount) {
        this.model = model;
        this.isolated = new boolean[regionCount];
        this.reconnectedMicros = new long[regionCount];
    }

    NetworkModel model() {
        return model;
    }

    static Distance distance(Topology.Machine from, Topology.Machine to) {
        if (from.region() != to.region()) {
            return Distance.OTHER_REGION;
        }
        return from.zone() == to.zone() ? Distance.SAME_ZONE : Distance.OTHER_ZONE;
    }

    /** The one-way delay of a message over this distance. */
    long delayMicros(Distance distance) {
        return switch (distance) {
            case SAME_ZONE -> model.sameZoneMicros();
            case OTHER_ZONE -> model.otherZoneMicros();
            case OTHER_REGION -> model.otherRegionMicros();
        };
    }

    /** The one-way delay of a message to or from the list service. */
    long listServiceDelayMicros(Topology.Machine machine) {
        return delayMicros(machine.region() == LIST_SERVICE_REGION ? Distance.OTHER_ZONE : Distance.OTHER_REGION);
    }

    boolean areConnected(Topology.Machine from, Topology.Machine to) {
        return areRegionsConnected(from.region(), to.region());
    }

    boolean isListServiceReachable(Topology.Machine machine) {
        return areRegionsConnected(machine.region(), LIST_SERVICE_REGION);
    }

    /** When the machine's path to the list service was last restored; 0 if it was never interrupted. */
    long listServiceReconnectedMicros(Topology.Machine machine) {
        return machine.region() == LIST_SERVICE_REGION
                ? 0
                : Math.max(reconnectedMicros[machine.region()], reconnectedMicros[LIST_SERVICE_REGION]);
    }

    /** Disconnects a region from all others. */
    void isolateRegion(int region) {
        isolated[region] = true;
    }

    /** Connects a region to the others again. */
    void reconnectRegion(long nowMicros, int region) {
        isolated[region] = false;
        reconnectedMicros[region] = nowMicros;
    }

    private boolean areRegionsConnected(int from, int to) {
        return from == to || !isolated[from] && !isolated[to];
    }
}
