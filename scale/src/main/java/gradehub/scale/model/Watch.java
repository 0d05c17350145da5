package gradehub.scale.model;

/** One call for a watch on the list, at both of its ends. */
final class Watch {

    final ListClient client;
    final Topology.Machine machine;
    /** Whether the sidecar still waits for it. */
    boolean wanted = true;
    /** Whether the list service has answered it and writes changes to it. */
    boolean answered;
    /** The revision that the list service has written last, or that the sidecar said it has; negative for none. */
    int revision;

    Watch(ListClient client, Topology.Machine machine, int revision) {
        this.client = client;
        this.machine = machine;
        this.revision = revision;
    }
}
