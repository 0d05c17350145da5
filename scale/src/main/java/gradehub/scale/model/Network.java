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
    private final boolean[] parted;
    private final long[] joinedMicros;

    Network(NetworkModel model, int regions) {
        this.model = model;
        this.parted = new boolean[regions];
        this.joinedMicros = new long[regions];
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

    boolean reaches(Topology.Machine one, Topology.Machine other) {
        return regionsReach(one.region(), other.region());
    }

    boolean reachesListService(Topology.Machine machine) {
        return regionsReach(machine.region(), LIST_SERVICE_REGION);
    }

    /** When the path to the list service was last whole again; 0 if it was never cut. */
    long listServiceJoinedMicros(Topology.Machine machine) {
        return machine.region() == LIST_SERVICE_REGION
                ? 0
                : Math.max(joinedMicros[machine.region()], joinedMicros[LIST_SERVICE_REGION]);
    }

    /** Cuts a region off from the others. */
    void part(int region) {
        parted[region] = true;
    }

    /** Makes a region's paths whole again. */
    void join(long nowMicros, int region) {
        parted[region] = false;
        joinedMicros[region] = nowMicros;
    }

    private boolean regionsReach(int one, int other) {
        return one == other || !parted[one] && !parted[other];
    }
}
