package gradehub;

import java.util.ArrayList;
import java.util.List;

/** What {@link LoadShiftingBalancer} remembers of one request in hand. */
final class Call {

    static final int MAX_PROBES = 6; // upstreams probed for their load for one request
    private static final double WAIT_PART = 0.6; // of the time left, that a request may take by a report

    final int id;
    final ClassStats stats;
    final double value; // what an answer is worth where not all can be served
    final long arrival; // sequence number
    final double aimDeadlineMs;
    final double deadlineMs;
    final double costMs;
    final List<Attempt> attempts = new ArrayList<>(2);
    int inFlight;
    int probes; // upstreams probed for their load on behalf of this request
    UpstreamState probedUpstream; // the one probed now, or null
    double probedMs; // since when
    boolean done;
    boolean served;
    boolean streaming;
    double firstArrivalMs; // when its client's first try came

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

    /** Its worth over the time for which it is likely to hold its client's connection. */
    double valuePerMs() {
        return value / stats.medianMs;
    }

    /** Whether it would miss its aim there by the latest report; after some probes more will do. */
    boolean wouldMissAim(double nowMs, UpstreamState upstream) {
        double latencyMs = upstream.load * stats.baselineMs() - (nowMs - upstream.loadUpdatedMs);
        return latencyMs > (2 * probes > MAX_PROBES ? 1 : WAIT_PART) * (aimDeadlineMs - nowMs);
    }

    void probe(UpstreamState upstream, double nowMs) {
        probes++;
        probedUpstream = upstream;
        probedMs = nowMs;
    }

    /** Notes an attempt that is sent now, for as long as its answer is of use. */
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
