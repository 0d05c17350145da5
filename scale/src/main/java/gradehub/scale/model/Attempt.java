package gradehub.scale.model;

import gradehub.Balancer.Outcome;

/** One attempt of a sidecar to serve a request at an upstream. As an event it is the attempt's timeout. */
final class Attempt implements Event {

    final ServiceClient client;
    final ServiceClient.OpenRequest request;
    final int number;
    final SimulatedUpstream upstream;
    final long sentMicros;
    /** When the sidecar times the attempt out. */
    final long deadlineMicros;
    /** Whether the end of the attempt has been reported to the sidecar. */
    boolean ended;
    /** Index in the upstream's list of attempts in progress, or -1. */
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
