package gradehub.scale.model;

import gradehub.Balancer.Outcome;

/** One attempt of a sidecar's request at an upstream; as an event, its time-out. */
final class Attempt implements Event {

    final ServiceClient client;
    final ServiceClient.OpenRequest request;
    final int number;
    final SimulatedUpstream upstream;
    final long sentMicros;
    /** When the sidecar stops waiting for it. */
    final long deadlineMicros;
    /** Whether the sidecar knows its end. */
    boolean ended;
    /** Its place among those that the upstream has in hand, or -1. */
    int inProgressIndex = -1;

    Attempt(
            ServiceClient client,
            ServiceClient.OpenRequest request,
            int number,
            SimulatedUpstream upstream,
            long sentMicros,
            long deadlineMicros) {
        this.client = client;
        this.request = request;
        this.number = number;
        this.upstream = upstream;
        this.sentMicros = sentMicros;
        this.deadlineMicros = deadlineMicros;
    }

    @Override
    public void fire(long nowMicros) {
        client.attemptEnded(nowMicros, this, Outcome.TIMEOUT);
    }

    @Override
    public boolean isObsolete() {
        return ended;
    }
}
