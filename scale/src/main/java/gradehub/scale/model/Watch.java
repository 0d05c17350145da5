package gradehub.scale.model;

/** A call for a watch on the list, with its state at the sidecar and at the list service. */
final class Watch {

    final ListClient client;
    final Topology.Machine machine;
    /** Whether the sidecar keeps the watch open. */
    boolean openAtSidecar = true;
    /** Whether the list service has answered the call and pushes changes. */
    boolean answered;
    /** The revision last written by the list service or, before that, stated in the call; negative for none. */
    int revision;

    Watch(ListClient client, Topology.Machine machine, int revision) {
        this.client = client;
        this.machine = machine;
        this.revision = revision;
    }
}
