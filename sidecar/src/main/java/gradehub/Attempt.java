package gradehub;

/** The state of one attempt. */
final class Attempt {

    final Call call;
    final int number;
    final UpstreamState upstream;
    final Balancer.Upstream upstreamEntry; // as listed when sent: names the deduplication group
    final double sentMs;
    final double timeoutMs;
    Balancer.Outcome outcome; // null while in flight

    Attempt(Call call, UpstreamState upstream, double sentMs, double timeoutMs) {
        this.call = call;
        this.number = call.attempts.size();
        this.upstream = upstream;
        this.upstreamEntry = upstream.listed;
        this.sentMs = sentMs;
        this.timeoutMs = timeoutMs;
    }

    void end(Balancer.Outcome result) {
        outcome = result;
        call.inFlight--;
        upstream.inFlight--;
        upstream.attempts.remove(this);
    }

    boolean mayHaveRun() {
        return outcome == null || !outcome.provesNotRun();
    }

    /** Whether an upstream shares a deduplication group with the target of this attempt when sent. */
    boolean inGroup(Balancer.Group group, Balancer.Upstream other) {
        return switch (group) {
            case ALL -> true;
            case ZONE -> upstreamEntry.zone() == other.zone();
            case CELL -> upstreamEntry.cell() == other.cell();
        };
    }
}
