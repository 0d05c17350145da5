package gradehub;

import java.util.ArrayList;
import java.util.List;

/** The state of one request until it is answered and each of its attempts has ended. */
final class Call {

    static final int MAX_PROBES = 6; // for one request
    private static final double MAX_LATENCY_PART = 0.6; // of the time left, as predicted by the load report

    final int id;
    final ClassStats stats;
    final double value; // of an answer: sets the priority under overload
    final long arrival; // sequence number of the request
    final double aimDeadlineMs;
    final double deadlineMs;
    final double costMs;
    final List<Attempt> attempts = new ArrayList<>(2);
    int inFlight;
    int probes; // sent before dispatch to learn an upstream's load
    UpstreamState probedUpstream; // by the latest probe, or null
    double probedMs; // time of that probe
    boolean done;
    boolean served;
    boolean streaming;
    double firstArrivalMs; // arrival of the client's first try

    Call(
            Balancer.Request request,
            ClassStats stats,
            double value,
            long arrival,
            double aimDeadlineMs,
            double deadlineMs) {
        this.id = request.id();
        this.stats = stats;
        this.value = value;
        this.arrival = arrival;
        this.aimDeadlineMs = aimDeadlineMs;
        this.deadlineMs = deadlineMs;
        this.costMs = request.costMs();
    }

    /** The value per millisecond for which the request is expected to occupy a client connection. */
    double valuePerMs() {
        return value / stats.medianMs;
    }

    /** Whether the latest load report predicts a missed aim; relaxed after half of the probes. */
    boolean wouldMissAim(double nowMs, UpstreamState upstream) {
        double latencyMs = upstream.load * stats.baselineMs() - (nowMs - upstream.loadUpdatedMs);
        return latencyMs > (2 * probes > MAX_PROBES ? 1 : MAX_LATENCY_PART) * (aimDeadlineMs - nowMs);
    }

    void probe(UpstreamState upstream, double nowMs) {
        probes++;
        probedUpstream = upstream;
        probedMs = nowMs;
    }

    /** Records an attempt that is sent now and times out at the request's deadline. */
    void startAttempt(UpstreamState upstream, double nowMs) {
        Attempt attempt = new Attempt(this, upstream, nowMs, deadlineMs - nowMs);
        attempts.add(attempt);
        inFlight++;
        upstream.inFlight++;
        upstream.attempts.addLast(attempt);
    }

    Attempt attempt(int number) {
        return number >= 0 && number < attempts.size() ? attempts.get(number) : null;
    }

    boolean hasTried(UpstreamState upstream) {
        for (Attempt attempt : attempts) {
            if (attempt.upstream == upstream) {
                return true;
            }
        }
        return false;
    }

    boolean provenNotRun() {
        for (Attempt attempt : attempts) {
            if (attempt.mayHaveRun()) {
                return false;
            }
        }
        return true;
    }
}
