package gradehub.scale.model;

import gradehub.scale.experiment.NetworkModel;

/**
 * Delays between machines, and which regions reach each other; messages over a cut path are lost in silence. The list
 * service stands in the first region, in no zone of the fleet.
 */
final class Network {

    /** What lies between two machines. */
    enum Distance {
        SAME_ZONE,
        OTHER_ZONE,
        OTHER_REGION
    }

    private static final int LIST_SERVICE_REGION = 0;

    private final NetworkModel model;
    private final boolean[] isolated;
    private final long[] reconnectedMicros;

    Network(NetworkModel model, int regions) {
        this.model = model;
        this.isolated = new boolean[regions];
        this.reconnectedMicros = new long[regions];
    }

    NetworkModel model() {
        return model;
    }

    static Distance distance(Topology.Machine one, Topology.Machine other) {
        if (one.region() != other.region()) {
            return Distance.OTHER_REGION;
        }
        return one.zone() == other.zone() ? Distance.SAME_ZONE : Distance.OTHER_ZONE;
    }

    /** The time that a message takes. */
    long delayMicros(Distance distance) {
        return switch (distance) {
            case SAME_ZONE -> model.sameZoneMicros();
            case OTHER_ZONE -> model.otherZoneMicros();
            case OTHER_REGION -> model.otherRegionMicros();
        };
    }

    /** The time that a message to or from the list service takes. */
    long listServiceDelayMicros(Topology.Machine machine) {
        return delayMicros(machine.region() == LIST_SERVICE_REGION ? Distance.OTHER_ZONE : Distance.OTHER_REGION);
    }

    boolean isReachable(Topology.Machine one, Topology.Machine other) {
        return areRegionsConnected(one.region(), other.region());
    }

    boolean isListServiceReachable(Topology.Machine machine) {
        return areRegionsConnected(machine.region(), LIST_SERVICE_REGION);
    }

    /** When the path to the list service was last whole again; 0 if it was never cut. */
    long listServiceReconnectedMicros(Topology.Machine machine) {
        return machine.region() == LIST_SERVICE_REGION
                ? 0
                : Math.max(reconnectedMicros[machine.region()], reconnectedMicros[LIST_SERVICE_REGION]);
    }

    /** Cuts a region off from the others. */
    void isolateRegion(int region) {
        isolated[region] = true;
    }

    /** Makes a region's paths whole again. */
    void reconnectRegion(long nowMicros, int region) {
        isolated[region] = false;
        reconnectedMicros[region] = nowMicros;
    }

    private boolean areRegionsConnected(int one, int other) {
        return one == other || !isolated[one] && !isolated[other];
    }
}
